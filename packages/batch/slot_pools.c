#include "batch/batch_private.h"

#include <string.h>

/* A lane is the contract that this node's batch work holds on one server.
 * It is asked for when items wait, renewed while items run, and given back
 * slot by slot as soon as they are not needed. */
enum {
    TERM_MS = 5000,
    RENEW_BEFORE_MS = 2500,
    GROW_EVERY_MS = 100, /* least time between asks for more slots */
    /* A keeper may queue an ask for more until there is room: one message for
     * what asking again and again would take many. */
    ADMISSION_WAIT_MS = 1000,
    EXPIRY_MARGIN_MS = 50,
    FIRST_ADMISSION_WAIT_MS = 20,
    MAX_ADMISSION_WAIT_MS = 1000,
};

static struct batch_pool *
pool_of(struct batch *batch, const char *server)
{
    struct batch_pool *lane = g_hash_table_lookup(batch->lanes, server);

    if (lane == NULL) {
        lane = g_new0(struct batch_pool, 1);
        g_strlcpy(lane->server, server, sizeof(lane->server));
        lane->index = WORLD_NONE;
        g_hash_table_insert(batch->lanes, lane->server, lane);
    }
    return lane;
}

static int
free_slots(const struct batch_pool *lane, int64_t now_ms)
{
    if (lane->contract == 0 || now_ms + EXPIRY_MARGIN_MS >= lane->until_ms) {
        return 0;
    }
    return MAX(lane->granted - lane->in_use, 0);
}

/* ---- reports ---- */

static void
add_outcome(struct batch_pool *lane, const struct contracts_outcome *outcome)
{
    struct contracts_outcome *sum = &lane->outcome;
    int n = ++lane->n_outcomes;

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

/* Tells the keeper how many slots are still wanted, and how items went. */
static void
shrink_to(struct batch *batch, struct batch_pool *lane, int slots)
{
    if (lane->contract == 0) {
        return;
    }
    control_shrink(batch->control, lane->contract, slots,
                   lane->n_outcomes > 0 ? &lane->outcome : NULL);
    memset(&lane->outcome, 0, sizeof(lane->outcome));
    lane->n_outcomes = 0;
    lane->granted = slots;
    if (slots == 0) {
        lane->contract = 0;
    }
}

/* ---- stepping aside ---- */

/* How much is lost by cutting an item: the tokens that it got so far can be
 * kept, so the youngest streams go first; those that can't resume count in
 * full. */
static int64_t
progress_of(const struct batch_item *item)
{
    return item->answer.n_tokens - item->first_tokens;
}

static struct batch_item *
least_progressed(struct batch *batch, const struct batch_pool *lane)
{
    struct batch_item *least = NULL;

    for (GList *link = batch->running.tail; link != NULL; link = link->prev) {
        struct batch_item *item = link->data;
        if (item->lane != lane || !item->is_idempotent) {
            continue;
        }
        if (least == NULL || progress_of(item) < progress_of(least)) {
            least = item;
        }
    }
    return least;
}

/* Cuts streams until the lane uses no more than it holds.  Non-idempotent
 * items that were sent run to their end. */
static void
cut_down(struct batch *batch, struct batch_pool *lane)
{
    while (lane->in_use > lane->granted) {
        struct batch_item *item = least_progressed(batch, lane);
        if (item == NULL) {
            return;
        }
        base_counter_add(batch->n_preempted, 1);
        batch_item_cancel(item);
    }
}

static struct batch_pool *
find_contract(struct batch *batch, uint64_t contract)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, batch->lanes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct batch_pool *lane = value;
        if (lane->contract == contract) {
            return lane;
        }
    }
    return NULL;
}

/* The keeper wants slots back for online work. */
static void
preempt_slots(void *task_state, uint64_t contract, int slots)
{
    struct batch *batch = task_state;
    struct batch_pool *lane =
        contract == 0 ? NULL : find_contract(batch, contract);
    int64_t now_ms = base_clock_ms();

    if (lane == NULL) {
        return;
    }
    lane->granted = MAX(lane->granted - slots, 0);
    lane->ask_ms = MAX(lane->ask_ms, now_ms + FIRST_ADMISSION_WAIT_MS);
    lane->grow_ms = now_ms + GROW_EVERY_MS;
    cut_down(batch, lane);
    shrink_to(batch, lane, lane->granted);
}

/* ---- asking ---- */

static void
ask_answered(struct control_admission *ask, void *task_state)
{
    struct batch *batch = task_state;
    struct batch_pool *lane = ask->context;
    int64_t now_ms = base_clock_ms();
    int64_t wait_ms = (int64_t)FIRST_ADMISSION_WAIT_MS << MIN(lane->n_busy, 5);

    batch->n_pending_calls--;
    lane->is_asking = false;
    lane->grow_ms = now_ms + GROW_EVERY_MS;
    if (ask->answer == CONTRACTS_GRANTED && ask->granted_slots > 0) {
        lane->contract = ask->contract;
        lane->granted = ask->granted_slots;
        lane->until_ms = ask->granted_ms;
        lane->n_busy = 0;
        cut_down(batch, lane);
    }
    else {
        lane->n_busy++;
        wait_ms = MIN(wait_ms, MAX_ADMISSION_WAIT_MS);
        lane->ask_ms = now_ms + wait_ms + g_random_int_range(0, 50);
    }
    control_admission_free(ask);
    if (!batch->is_stopped) {
        batch_pools_dispatch(batch, now_ms);
    }
}

static const char *
neediest_operator(const struct batch *batch)
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
request_slots(struct batch *batch, struct batch_pool *lane, int slots)
{
    struct control_admission *ask =
        control_admission_new(lane->server, CONTRACTS_BATCH);

    g_strlcpy(ask->operator_name, neediest_operator(batch),
              sizeof(ask->operator_name));
    ask->slots = slots;
    ask->term_ms = TERM_MS;
    ask->wait_ms = slots > lane->granted ? ADMISSION_WAIT_MS : 0;
    ask->contract = lane->contract;
    ask->preempt = preempt_slots;
    ask->context = lane;
    lane->is_asking = true;
    batch->n_pending_calls++;
    control_admission_send(batch->control, ask, &batch->task, ask_answered);
}

/* ---- demand ---- */

static int
count_ready(const struct batch *batch, int deployment, int64_t now_ms)
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
is_near(const struct batch *batch, const struct world_server *server)
{
    const struct world *world = batch->world;
    int zone = world_find_zone(world, batch->zone);

    return zone != WORLD_NONE &&
           world->zones[server->zone].region == world->zones[zone].region;
}

static bool
has_near_server(const struct batch *batch,
                const struct world_deployment *deployment)
{
    for (int i = 0; i < deployment->n_servers; i++) {
        if (is_near(batch, &batch->world->servers[deployment->servers[i]])) {
            return true;
        }
    }
    return false;
}

/* Asks for slots on the servers of a deployment until the ready items have
 * one each.  Nodes begin at different servers. */
static void
request_deployment_slots(struct batch *batch, int index, int demand,
                         int64_t now_ms)
{
    const struct world_deployment *deployment =
        &batch->world->deployments[index];
    bool is_near_only = has_near_server(batch, deployment);
    uint64_t start = base_hash_text(batch->node, (uint64_t)index);

    for (int i = 0; i < deployment->n_servers && demand > 0; i++) {
        int at =
            (int)((start + (uint64_t)i) % (uint64_t)deployment->n_servers);
        int server_index = deployment->servers[at];
        const struct world_server *server =
            &batch->world->servers[server_index];
        struct batch_pool *lane = pool_of(batch, server->name);
        int wanted;
        lane->index = server_index;
        if (is_near_only && !is_near(batch, server)) {
            continue;
        }
        demand -= free_slots(lane, now_ms);
        wanted = MIN(server->slots, lane->in_use + demand);
        if (demand <= 0 || lane->is_asking || wanted <= lane->granted ||
            now_ms < lane->ask_ms ||
            (lane->contract != 0 && now_ms < lane->grow_ms)) {
            continue;
        }
        request_slots(batch, lane, wanted);
        demand -= wanted - lane->in_use;
    }
}

static void
tick_pool(struct batch *batch, struct batch_pool *lane, int demand,
          int64_t now_ms)
{
    bool is_renewal_due = lane->until_ms - now_ms < RENEW_BEFORE_MS;

    if (lane->contract == 0) {
        return;
    }
    if (now_ms >= lane->until_ms) {
        lane->granted = 0;
        lane->contract = 0;
        cut_down(batch, lane);
        return;
    }
    if (demand == 0 && lane->granted > lane->in_use && !lane->is_asking) {
        shrink_to(batch, lane, lane->in_use);
        return;
    }
    if (is_renewal_due && !lane->is_asking && now_ms >= lane->ask_ms &&
        lane->granted > 0) {
        request_slots(batch, lane, lane->granted);
    }
}

static void
count_slots(struct batch *batch)
{
    GHashTableIter iter;
    gpointer value;
    int n_granted = 0;
    int n_used = 0;

    g_hash_table_iter_init(&iter, batch->lanes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct batch_pool *lane = value;
        n_granted += lane->contract == 0 ? 0 : lane->granted;
        n_used += lane->in_use;
    }
    base_counter_set(batch->slots_gauge, n_granted);
    base_counter_set(batch->used_gauge, n_used);
}

/* Asks for, renews and gives back contracts. */
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
        demands[i] = count_ready(batch, i, now_ms);
        if (demands[i] > 0) {
            request_deployment_slots(batch, i, demands[i], now_ms);
        }
    }
    g_hash_table_iter_init(&iter, batch->lanes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct batch_pool *lane = value;
        int demand =
            lane->index == WORLD_NONE
                ? 0
                : demands[batch->world->servers[lane->index].deployment];
        tick_pool(batch, lane, demand, now_ms);
    }
    g_free(demands);
    batch_pools_dispatch(batch, now_ms);
    count_slots(batch);
}

/* ---- giving items to lanes ---- */

static bool
has_tried(const struct batch_item *item, const char *server)
{
    for (int i = 0; i < item->n_tried; i++) {
        if (strcmp(item->tried[i], server) == 0) {
            return true;
        }
    }
    return false;
}

/* The run whose item goes next to a deployment: by operators' shares, then
 * by slack. */
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
            .served = batch_served(batch, run->job.operator_name),
            .weight = batch_operator_weight(batch, run->job.operator_name),
            .slack_s = batch_slack_s(&progress),
            .is_at_risk = batch_is_at_risk(&progress),
        };
        runs[n_choices++] = run;
    }
    while (n_choices > 0) {
        int best = batch_choose(choices, n_choices);
        struct batch_item *item =
            batch_run_take_item(runs[best], deployment, now_ms);
        if (item != NULL) {
            batch_add_served(batch, runs[best]->job.operator_name, 1.0);
            return item;
        }
        n_choices--;
        choices[best] = choices[n_choices];
        runs[best] = runs[n_choices];
    }
    return NULL;
}

/* The lane with most free slots that the item has not tried; one that it has
 * tried when there is no other. */
static struct batch_pool *
best_pool(struct batch *batch, const struct batch_item *item, int64_t now_ms)
{
    struct batch_pool *best = NULL;
    bool is_best_tried = true;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, batch->lanes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct batch_pool *lane = value;
        bool is_tried = has_tried(item, lane->server);
        int n_free = free_slots(lane, now_ms);
        if (lane->index == WORLD_NONE || n_free == 0 ||
            batch->world->servers[lane->index].deployment !=
                item->deployment) {
            continue;
        }
        if (best == NULL || (is_best_tried && !is_tried) ||
            (is_best_tried == is_tried && n_free > free_slots(best, now_ms))) {
            best = lane;
            is_best_tried = is_tried;
        }
    }
    return best;
}

static int
count_free(const struct batch *batch, int deployment, int64_t now_ms)
{
    GHashTableIter iter;
    gpointer value;
    int n_free = 0;

    g_hash_table_iter_init(&iter, batch->lanes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct batch_pool *lane = value;
        if (lane->index != WORLD_NONE &&
            batch->world->servers[lane->index].deployment == deployment) {
            n_free += free_slots(lane, now_ms);
        }
    }
    return n_free;
}

/* Sends ready items on free slots. */
void
batch_pools_dispatch(struct batch *batch, int64_t now_ms)
{
    for (int i = 0; batch->world != NULL && i < batch->world->n_deployments;
         i++) {
        int n_free = count_free(batch, i, now_ms);
        while (n_free-- > 0 && batch->running.length < BATCH_MAX_RUNNING) {
            struct batch_item *item = next_item(batch, i, now_ms);
            struct batch_pool *lane;
            if (item == NULL) {
                break;
            }
            lane = best_pool(batch, item, now_ms);
            if (lane == NULL) {
                item->run->n_running--;
                batch_run_return_item(item->run, item);
                break;
            }
            batch_item_send(item, lane);
        }
    }
}

/* An item on the lane ended; its slot takes the next one. */
void
batch_pool_item_ended(struct batch *batch, struct batch_pool *lane,
                      const struct contracts_outcome *outcome)
{
    lane->in_use--;
    add_outcome(lane, outcome);
    if (outcome->failed) {
        shrink_to(batch, lane, lane->granted);
    }
    batch->needs_dispatch = true;
}

/* Gives every contract back. */
void
batch_pools_finish(struct batch *batch)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, batch->lanes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        shrink_to(batch, value, 0);
    }
}
