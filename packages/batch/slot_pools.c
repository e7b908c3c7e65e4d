#include "batch/batch_private.h"

#include <string.h>

/* A slot pool has the slots that a contract grants to this node on one server
 * for batch items.  The contract is requested when items are ready and renewed
 * while items run; slots are released as soon as they are not needed. */
enum {
    CONTRACT_TERM_MS = 5000,
    RENEW_BEFORE_MS = 2500,
    GROW_EVERY_MS = 100, /* minimum time between requests for more slots */
    /* How long the server's owner may queue a request for more slots until
     * some are free.  It saves the messages of repeated requests. */
    QUEUE_WAIT_MS = 1000,
    EXPIRY_MARGIN_MS = 50,
    FIRST_BACKOFF_MS = 20,
    MAX_BACKOFF_MS = 1000,
};

static struct batch_pool *
get_pool(struct batch *batch, const char *server)
{
    struct batch_pool *pool = g_hash_table_lookup(batch->pools, server);

    if (pool == NULL) {
        pool = g_new0(struct batch_pool, 1);
        g_strlcpy(pool->server, server, sizeof(pool->server));
        pool->index = WORLD_NONE;
        g_hash_table_insert(batch->pools, pool->server, pool);
    }
    return pool;
}

static int
pool_free_slots(const struct batch_pool *pool, int64_t now_ms)
{
    if (pool->contract == 0 || now_ms + EXPIRY_MARGIN_MS >= pool->until_ms) {
        return 0;
    }
    return MAX(pool->granted - pool->in_use, 0);
}

/* ---- reports ---- */

static void
add_outcome(struct batch_pool *pool, const struct contracts_outcome *outcome)
{
    struct contracts_outcome *sum = &pool->outcome;
    int n = ++pool->n_outcomes;

    if (outcome->first_token_us > 0) {
        sum->first_token_us +=
            (outcome->first_token_us - sum->first_token_us) / n;
    }
    if (outcome->inter_token_us > 0) {
        sum->inter_token_us +=
            (outcome->inter_token_us - sum->inter_token_us) / n;
    }
    sum->tokens += outcome->tokens;
    sum->failed |= outcome->failed;
}

/* Reduces the contract to `slots` (0 releases it) and reports the items'
 * outcomes to the server's owner. */
static void
shrink_contract(struct batch *batch, struct batch_pool *pool, int slots)
{
    if (pool->contract == 0) {
        return;
    }
    control_shrink(batch->control, pool->contract, slots,
                   pool->n_outcomes > 0 ? &pool->outcome : NULL);
    memset(&pool->outcome, 0, sizeof(pool->outcome));
    pool->n_outcomes = 0;
    pool->granted = slots;
    if (slots == 0) {
        pool->contract = 0;
    }
}

/* ---- preemption ---- */

/* Returns the number of tokens that this attempt has added.  It is the measure
 * of what preempting the item costs, so the streams that have just started are
 * preempted first.  Tokens of earlier attempts after which this attempt
 * resumed do not count; if it could not resume, all its tokens count. */
static int64_t
count_new_tokens(const struct batch_item *item)
{
    return item->stream_response.n_tokens - item->n_kept_tokens;
}

static struct batch_item *
find_least_progress(struct batch *batch, const struct batch_pool *pool)
{
    struct batch_item *least = NULL;

    for (GList *link = batch->running.tail; link != NULL; link = link->prev) {
        struct batch_item *item = link->data;
        if (item->pool != pool || !item->is_idempotent) {
            continue;
        }
        if (least == NULL ||
            count_new_tokens(item) < count_new_tokens(least)) {
            least = item;
        }
    }
    return least;
}

/* Cancels items until the pool uses no more slots than were granted.
 * Non-idempotent items that were sent run to their end. */
static void
preempt_excess_items(struct batch *batch, struct batch_pool *pool)
{
    while (pool->in_use > pool->granted) {
        struct batch_item *item = find_least_progress(batch, pool);
        if (item == NULL) {
            return;
        }
        base_counter_add(batch->n_preempted, 1);
        batch_item_cancel(item);
    }
}

static struct batch_pool *
find_contract_pool(struct batch *batch, uint64_t contract)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, batch->pools);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct batch_pool *pool = value;
        if (pool->contract == contract) {
            return pool;
        }
    }
    return NULL;
}

/* Called when the server's owner preempts slots for online requests.  Cancels
 * items that exceed the remaining slots, and shrinks the contract. */
static void
preempt_slots(void *task_state, uint64_t contract, int slots)
{
    struct batch *batch = task_state;
    struct batch_pool *pool =
        contract == 0 ? NULL : find_contract_pool(batch, contract);
    int64_t now_ms = base_clock_ms();

    if (pool == NULL) {
        return;
    }
    pool->granted = MAX(pool->granted - slots, 0);
    pool->next_request_ms =
        MAX(pool->next_request_ms, now_ms + FIRST_BACKOFF_MS);
    pool->next_grow_ms = now_ms + GROW_EVERY_MS;
    preempt_excess_items(batch, pool);
    shrink_contract(batch, pool, pool->granted);
}

/* ---- admission requests ---- */

static void
on_admission_done(struct control_admission *admission, void *task_state)
{
    struct batch *batch = task_state;
    struct batch_pool *pool = admission->context;
    int64_t now_ms = base_clock_ms();
    int64_t wait_ms = (int64_t)FIRST_BACKOFF_MS << MIN(pool->n_busy, 5);

    batch->n_pending_calls--;
    pool->is_requesting = false;
    pool->next_grow_ms = now_ms + GROW_EVERY_MS;
    if (admission->answer == CONTRACTS_GRANTED &&
        admission->granted_slots > 0) {
        pool->contract = admission->contract;
        pool->granted = admission->granted_slots;
        pool->until_ms = admission->granted_until_ms;
        pool->n_busy = 0;
        preempt_excess_items(batch, pool);
    }
    else {
        pool->n_busy++;
        wait_ms = MIN(wait_ms, MAX_BACKOFF_MS);
        pool->next_request_ms = now_ms + wait_ms + g_random_int_range(0, 50);
    }
    control_admission_free(admission);
    if (!batch->is_stopped) {
        batch_pools_dispatch(batch, now_ms);
    }
}

static const char *
first_waiting_operator(const struct batch *batch)
{
    for (guint i = 0; i < batch->runs->len; i++) {
        const struct batch_run *run = batch->runs->pdata[i];
        if (!run->is_dead && run->ready.length > 0) {
            return run->job.operator_name;
        }
    }
    return "";
}

static void
request_slots(struct batch *batch, struct batch_pool *pool, int slots)
{
    struct control_admission *admission =
        control_admission_new(pool->server, CONTRACTS_BATCH);

    g_strlcpy(admission->operator_name, first_waiting_operator(batch),
              sizeof(admission->operator_name));
    admission->slots = slots;
    admission->term_ms = CONTRACT_TERM_MS;
    admission->wait_ms = slots > pool->granted ? QUEUE_WAIT_MS : 0;
    admission->contract = pool->contract;
    admission->preempt = preempt_slots;
    admission->context = pool;
    pool->is_requesting = true;
    batch->n_pending_calls++;
    control_admission_send(batch->control, admission, &batch->task,
                           on_admission_done);
}

/* ---- demand ---- */

/* Returns how many ready items of the deployment may be sent now. */
static int
count_ready_items(const struct batch *batch, int deployment, int64_t now_ms)
{
    int n_ready = 0;

    for (guint i = 0; i < batch->runs->len; i++) {
        const struct batch_run *run = batch->runs->pdata[i];
        if (run->is_dead || run->is_stopping || run->is_releasing) {
            continue;
        }
        for (GList *link = run->ready.head; link != NULL; link = link->next) {
            const struct batch_item *item = link->data;
            n_ready += item->deployment == deployment &&
                       item->not_before_ms <= now_ms;
        }
    }
    return n_ready;
}

static bool
is_in_region(const struct batch *batch, const struct world_server *server)
{
    const struct world *world = batch->world;
    int zone = world_find_zone(world, batch->zone);

    return zone != WORLD_NONE &&
           world->zones[server->zone].region == world->zones[zone].region;
}

static bool
has_server_in_region(const struct batch *batch,
                     const struct world_deployment *deployment)
{
    for (int i = 0; i < deployment->n_servers; i++) {
        if (is_in_region(batch,
                         &batch->world->servers[deployment->servers[i]])) {
            return true;
        }
    }
    return false;
}

/* Requests slots on the servers of a deployment until there is one for each of
 * the `demand` ready items.  The first server depends on the node, so that the
 * requests of all nodes are spread over the servers. */
static void
request_deployment_slots(struct batch *batch, int index, int demand,
                         int64_t now_ms)
{
    const struct world_deployment *deployment =
        &batch->world->deployments[index];
    bool is_region_only = has_server_in_region(batch, deployment);
    uint64_t start = base_hash_text(batch->node, (uint64_t)index);

    for (int i = 0; i < deployment->n_servers && demand > 0; i++) {
        int at =
            (int)((start + (uint64_t)i) % (uint64_t)deployment->n_servers);
        int server_index = deployment->servers[at];
        const struct world_server *server =
            &batch->world->servers[server_index];
        struct batch_pool *pool = get_pool(batch, server->name);
        int wanted;
        pool->index = server_index;
        if (is_region_only && !is_in_region(batch, server)) {
            continue;
        }
        demand -= pool_free_slots(pool, now_ms);
        wanted = MIN(server->slots, pool->in_use + demand);
        if (demand <= 0 || pool->is_requesting || wanted <= pool->granted ||
            now_ms < pool->next_request_ms ||
            (pool->contract != 0 && now_ms < pool->next_grow_ms)) {
            continue;
        }
        request_slots(batch, pool, wanted);
        demand -= wanted - pool->in_use;
    }
}

static void
tick_pool(struct batch *batch, struct batch_pool *pool, int demand,
          int64_t now_ms)
{
    bool is_renewal_due = pool->until_ms - now_ms < RENEW_BEFORE_MS;

    if (pool->contract == 0) {
        return;
    }
    if (now_ms >= pool->until_ms) {
        pool->granted = 0;
        pool->contract = 0;
        preempt_excess_items(batch, pool);
        return;
    }
    if (demand == 0 && pool->granted > pool->in_use && !pool->is_requesting) {
        shrink_contract(batch, pool, pool->in_use);
        return;
    }
    if (is_renewal_due && !pool->is_requesting &&
        now_ms >= pool->next_request_ms && pool->granted > 0) {
        request_slots(batch, pool, pool->granted);
    }
}

static void
update_slot_gauges(struct batch *batch)
{
    GHashTableIter iter;
    gpointer value;
    int n_granted = 0;
    int n_used = 0;

    g_hash_table_iter_init(&iter, batch->pools);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct batch_pool *pool = value;
        n_granted += pool->contract == 0 ? 0 : pool->granted;
        n_used += pool->in_use;
    }
    base_counter_set(batch->slots_gauge, n_granted);
    base_counter_set(batch->used_gauge, n_used);
}

/* Requests, renews and releases contracts, and dispatches items. */
void
batch_pools_tick(struct batch *batch, int64_t now_ms)
{
    GHashTableIter iter;
    gpointer value;
    int *demands;

    if (batch->world == NULL || !batch->is_runner) {
        return;
    }
    demands = g_new0(int, batch->world->n_deployments + 1);
    for (int i = 0; i < batch->world->n_deployments; i++) {
        demands[i] = count_ready_items(batch, i, now_ms);
        if (demands[i] > 0) {
            request_deployment_slots(batch, i, demands[i], now_ms);
        }
    }
    g_hash_table_iter_init(&iter, batch->pools);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct batch_pool *pool = value;
        int demand =
            pool->index == WORLD_NONE
                ? 0
                : demands[batch->world->servers[pool->index].deployment];
        tick_pool(batch, pool, demand, now_ms);
    }
    g_free(demands);
    batch_pools_dispatch(batch, now_ms);
    update_slot_gauges(batch);
}

/* ---- dispatch of items ---- */

static bool
has_tried(const struct batch_item *item, const char *server)
{
    for (int i = 0; i < item->n_tried_servers; i++) {
        if (strcmp(item->tried_servers[i], server) == 0) {
            return true;
        }
    }
    return false;
}

/* Returns the next item to send to a deployment, marked as running, or NULL if
 * there is none.  The runs are tried in the order of batch_choose. */
static struct batch_item *
next_item(struct batch *batch, int deployment, int64_t now_ms)
{
    struct batch_choice choices[BATCH_MAX_ACTIVE_SHARDS];
    struct batch_run *runs[BATCH_MAX_ACTIVE_SHARDS];
    int n_choices = 0;
    int64_t now_s = batch_now_s();

    for (guint i = 0;
         i < batch->runs->len && n_choices < BATCH_MAX_ACTIVE_SHARDS; i++) {
        struct batch_run *run = batch->runs->pdata[i];
        const struct batch_open_job *job;
        struct batch_progress progress;
        if (run->ready.length == 0) {
            continue;
        }
        job = g_hash_table_lookup(batch->open_jobs, run->job.id);
        progress = (struct batch_progress){
            .created_s = run->job.created_s,
            .deadline_s = run->job.deadline_s,
            .now_s = now_s,
            .n_items = run->job.n_items,
            .n_ended = job == NULL ? 0 : job->n_ended,
        };
        choices[n_choices] = (struct batch_choice){
            .recent_usage = batch_recent_usage(batch, run->job.operator_name),
            .weight = batch_operator_weight(batch, run->job.operator_name),
            .slack_s = batch_slack_s(&progress),
            .is_at_risk = batch_is_at_risk(&progress),
        };
        runs[n_choices++] = run;
    }
    while (n_choices > 0) {
        int best = batch_choose(choices, n_choices);
        struct batch_item *item =
            batch_run_start_item(runs[best], deployment, now_ms);
        if (item != NULL) {
            batch_add_usage(batch, runs[best]->job.operator_name, 1.0);
            return item;
        }
        n_choices--;
        choices[best] = choices[n_choices];
        runs[best] = runs[n_choices];
    }
    return NULL;
}

/* Returns the pool with the most free slots among the servers that the item
 * was not tried on; if there is none, among all servers of its deployment. */
static struct batch_pool *
choose_pool(struct batch *batch, const struct batch_item *item, int64_t now_ms)
{
    struct batch_pool *best = NULL;
    bool is_best_tried = true;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, batch->pools);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct batch_pool *pool = value;
        bool is_tried = has_tried(item, pool->server);
        int n_free = pool_free_slots(pool, now_ms);
        if (pool->index == WORLD_NONE || n_free == 0 ||
            batch->world->servers[pool->index].deployment !=
                item->deployment) {
            continue;
        }
        if (best == NULL || (is_best_tried && !is_tried) ||
            (is_best_tried == is_tried &&
             n_free > pool_free_slots(best, now_ms))) {
            best = pool;
            is_best_tried = is_tried;
        }
    }
    return best;
}

static int
deployment_free_slots(const struct batch *batch, int deployment,
                      int64_t now_ms)
{
    GHashTableIter iter;
    gpointer value;
    int n_free = 0;

    g_hash_table_iter_init(&iter, batch->pools);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct batch_pool *pool = value;
        if (pool->index != WORLD_NONE &&
            batch->world->servers[pool->index].deployment == deployment) {
            n_free += pool_free_slots(pool, now_ms);
        }
    }
    return n_free;
}

/* Sends ready items while there are free slots. */
void
batch_pools_dispatch(struct batch *batch, int64_t now_ms)
{
    for (int i = 0; batch->world != NULL && i < batch->world->n_deployments;
         i++) {
        int n_free = deployment_free_slots(batch, i, now_ms);
        while (n_free-- > 0 && batch->running.length < BATCH_MAX_RUNNING) {
            struct batch_item *item = next_item(batch, i, now_ms);
            struct batch_pool *pool;
            if (item == NULL) {
                break;
            }
            pool = choose_pool(batch, item, now_ms);
            if (pool == NULL) {
                item->run->n_running--;
                batch_run_requeue_item(item->run, item);
                break;
            }
            batch_item_send(item, pool);
        }
    }
}

/* Frees the slot of an item whose call ended.  A failure is reported to the
 * server's owner at once. */
void
batch_pool_end_item(struct batch *batch, struct batch_pool *pool,
                    const struct contracts_outcome *outcome)
{
    pool->in_use--;
    add_outcome(pool, outcome);
    if (outcome->failed) {
        shrink_contract(batch, pool, pool->granted);
    }
    batch->needs_dispatch = true;
}

/* Releases all contracts. */
void
batch_pools_finish(struct batch *batch)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, batch->pools);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        shrink_contract(batch, value, 0);
    }
}
