#include "contracts/pool_private.h"

#include <math.h>
#include <string.h>

enum {
    /* The queue holds at most this many online admission requests for each
     * request of the windows. */
    QUEUE_PER_SLOT = 4,
    /* Longest wait of an online request for a preempted batch slot.  The batch
     * holder may be in another region, and the server notices a closed stream
     * only after some ms. */
    PREEMPT_WAIT_MS = 150,
    MS_PER_S = 1000,
};

/* Makes a pool without servers. */
struct contracts_pool *
contracts_pool_new(int64_t now_ms)
{
    struct contracts_pool *pool = g_new0(struct contracts_pool, 1);

    pool->servers = g_ptr_array_new_with_free_func(g_free);
    queue_init(&pool->queue);
    g_queue_init(&pool->batch);
    overload_init(&pool->overload, now_ms);
    reserve_init(&pool->reserve, now_ms);
    return pool;
}

/* Frees the pool, but not the controllers of its servers; waiting admission
 * requests stay unanswered.  NULL is allowed. */
void
contracts_pool_free(struct contracts_pool *pool)
{
    if (pool == NULL) {
        return;
    }
    g_ptr_array_free(pool->servers, TRUE);
    queue_finish(&pool->queue);
    g_queue_clear_full(&pool->batch, g_free);
    overload_finish(&pool->overload);
    g_free(pool);
}

/* Adds a server with its controller, which must stay until the server is
 * removed. */
void
contracts_pool_add(struct contracts_pool *pool, const char *server,
                   struct contracts_controller *controller)
{
    struct pool_server *added = g_new0(struct pool_server, 1);

    g_strlcpy(added->name, server, sizeof(added->name));
    added->controller = controller;
    g_ptr_array_add(pool->servers, added);
}

/* Removes a server; its waiting admission requests are served by others.
 * Returns how many servers are left. */
int
contracts_pool_remove(struct contracts_pool *pool, const char *server)
{
    for (guint i = 0; i < pool->servers->len; i++) {
        const struct pool_server *at = pool->servers->pdata[i];
        if (strcmp(at->name, server) == 0) {
            g_ptr_array_remove_index(pool->servers, i);
            break;
        }
    }
    return (int)pool->servers->len;
}

/* ---- load ---- */

/* Writes the sums over all servers, with seen_ms 0. */
void
contracts_pool_load(const struct contracts_pool *pool,
                    struct contracts_load *load)
{
    memset(load, 0, sizeof(*load));
    for (guint i = 0; i < pool->servers->len; i++) {
        const struct pool_server *server = pool->servers->pdata[i];
        struct contracts_load own;
        contracts_controller_load(server->controller, &own);
        /* A server that may get no request now adds nothing. */
        load->window += contracts_controller_is_closed(server->controller)
                            ? own.online + own.batch
                            : own.window;
        load->online += own.online;
        load->batch += own.batch;
        load->queued += own.queued;
    }
    load->window = MAX(load->window, 1);
    load->queued += queue_count(&pool->queue);
}

/* Returns the online requests a second that the servers take, if some of them
 * have named limits: the sum of the limits or, if others have none, the rate
 * of grants in an overload.  0: none has, or the rate is not known. */
static double
limited_rate(const struct contracts_pool *pool)
{
    double rate = 0;
    bool has_limit = false;

    for (guint i = 0; i < pool->servers->len; i++) {
        const struct pool_server *server = pool->servers->pdata[i];
        double own = contracts_controller_rate(server->controller);
        has_limit = has_limit || (own > 0 && !isinf(own));
        rate += own;
    }
    if (!isinf(rate)) {
        return rate;
    }
    return has_limit && overload_is_active(&pool->overload)
               ? pool->overload.served_rate
               : 0;
}

/* Returns how long an online request would wait behind `position` others for
 * the servers' rate, in ms; 0 if the rate does not limit it. */
static int64_t
wait_for_rate(const struct contracts_pool *pool, double position)
{
    double rate = limited_rate(pool);

    if (rate <= 0) {
        return 0;
    }
    return (int64_t)((position + 1) / rate * MS_PER_S);
}

static void
record_demand(struct contracts_pool *pool, bool is_admission, int64_t now_ms)
{
    struct contracts_load load;

    contracts_pool_load(pool, &load);
    reserve_record(&pool->reserve, load.online + load.queued, is_admission,
                   now_ms);
}

/* ---- answers ---- */

static void
fill_load(const struct contracts_pool *pool, struct contracts_event *event,
          int64_t now_ms)
{
    contracts_pool_load(pool, &event->load);
    event->load.seen_ms = now_ms;
    memset(&event->reduction, 0, sizeof(event->reduction));
}

static void
answer(const struct contracts_pool *pool,
       const struct contracts_admission *admission, enum contracts_answer kind,
       int64_t now_ms, GArray *out)
{
    struct contracts_event event;

    memset(&event, 0, sizeof(event));
    event.kind = CONTRACTS_ANSWER;
    g_strlcpy(event.holder, admission->holder, sizeof(event.holder));
    event.ask_id = admission->ask_id;
    event.answer = kind;
    fill_load(pool, &event, now_ms);
    if (kind == CONTRACTS_BUSY && admission->class_ != CONTRACTS_BATCH) {
        event.retry_ms = wait_for_rate(pool, queue_count(&pool->queue));
    }
    g_array_append_val(out, event);
}

static void
fill_choice(struct contracts_event *event, const struct pool_choice *choice,
            const struct contracts_admission *admission)
{
    event->work_ms =
        admission->class_ != CONTRACTS_BATCH ? admission->work_ms : 0;
    event->remaining_ms = (int64_t)choice->remaining_ms;
    event->best_remaining_ms = (int64_t)choice->best_remaining_ms;
}

static void
grant(struct contracts_pool *pool, const struct pool_choice *choice,
      const struct contracts_admission *admission, int64_t now_ms, GArray *out)
{
    const struct pool_server *server = choice->server;
    guint first = out->len;

    contracts_controller_grant(server->controller, admission, now_ms, out);
    if (admission->class_ != CONTRACTS_BATCH) {
        overload_record_grant(&pool->overload);
    }
    for (guint i = first; i < out->len; i++) {
        struct contracts_event *event =
            &g_array_index(out, struct contracts_event, i);
        g_strlcpy(event->server, server->name, sizeof(event->server));
        if (event->kind == CONTRACTS_ANSWER) {
            fill_load(pool, event, now_ms);
            fill_choice(event, choice, admission);
        }
    }
}

/* ---- service ---- */

static void
serve_online(struct contracts_pool *pool, int64_t now_ms, GArray *out)
{
    static const struct contracts_admission ANY = {.class_ =
                                                       CONTRACTS_ONLINE_SHORT};

    while (queue_count(&pool->queue) > 0) {
        int n_waiting = queue_count(&pool->queue);
        struct pool_choice choice;
        struct queue_entry *entry;
        if (pool_choose_server(pool, &ANY, now_ms).server == NULL &&
            pool_choose_queueing_server(pool, &ANY, n_waiting, now_ms)
                    .server == NULL) {
            return;
        }
        entry = queue_pop(&pool->queue, true, now_ms);
        choice = pool_choose_server(pool, &entry->admission, now_ms);
        if (choice.server == NULL) {
            choice = pool_choose_queueing_server(pool, &entry->admission,
                                                 n_waiting, now_ms);
        }
        if (choice.server != NULL) {
            grant(pool, &choice, &entry->admission, now_ms, out);
        }
        else {
            answer(pool, &entry->admission, CONTRACTS_BUSY, now_ms, out);
        }
        g_free(entry);
    }
}

/* Assigns waiting requests to the slots that are being preempted already.
 * Returns how many requests are left. */
static int
assign_preempting(const struct contracts_pool *pool, int *wanted,
                  int n_waiting)
{
    for (guint i = 0; i < pool->servers->len; i++) {
        const struct pool_server *server = pool->servers->pdata[i];
        wanted[i] = MIN(contracts_controller_preempting(server->controller),
                        n_waiting);
        n_waiting -= wanted[i];
    }
    return n_waiting;
}

/* Returns the index of the server whose next batch slot to preempt is the one
 * to preempt first, or -1 if no batch is left. */
static int
find_victim(const struct contracts_pool *pool, const int *wanted,
            int64_t now_ms)
{
    struct contracts_victim best;
    int found = -1;

    for (guint i = 0; i < pool->servers->len; i++) {
        struct contracts_controller *controller =
            ((struct pool_server *)pool->servers->pdata[i])->controller;
        int n_new = wanted[i] - contracts_controller_preempting(controller);
        struct contracts_victim victim;
        if (contracts_controller_victim(controller, MAX(n_new, 0), now_ms,
                                        &victim) &&
            (found < 0 || contracts_victim_is_before(&victim, &best))) {
            best = victim;
            found = (int)i;
        }
    }
    return found;
}

/* Assigns the waiting requests to batch slots, which their servers then
 * preempt. */
static void
preempt_for_waiting(struct contracts_pool *pool, int64_t now_ms, GArray *out)
{
    int *wanted = g_new0(int, pool->servers->len + 1);
    int n_waiting = assign_preempting(pool, wanted, queue_count(&pool->queue));
    int victim;

    while (n_waiting > 0 &&
           (victim = find_victim(pool, wanted, now_ms)) >= 0) {
        wanted[victim]++;
        n_waiting--;
    }
    for (guint i = 0; i < pool->servers->len; i++) {
        const struct pool_server *server = pool->servers->pdata[i];
        guint first = out->len;
        contracts_controller_set_wanted(server->controller, wanted[i], now_ms,
                                        out);
        for (guint e = first; e < out->len; e++) {
            g_strlcpy(g_array_index(out, struct contracts_event, e).server,
                      server->name, CONTRACTS_SERVER_SIZE);
        }
    }
    g_free(wanted);
}

/* Returns the slots that batch may be granted now: the free ones of all
 * servers less those that the next online requests will need. */
static int
batch_room(const struct contracts_pool *pool, int64_t now_ms)
{
    int room = 0;

    if (queue_count(&pool->queue) > 0) {
        return 0;
    }
    for (guint i = 0; i < pool->servers->len; i++) {
        const struct pool_server *server = pool->servers->pdata[i];
        room += contracts_controller_room(server->controller, CONTRACTS_BATCH,
                                          now_ms);
    }
    return room - reserve_size(&pool->reserve);
}

static void
serve_batch(struct contracts_pool *pool, int64_t now_ms, GArray *out)
{
    GList *next;

    for (GList *at = pool->batch.head; at != NULL; at = next) {
        struct queue_entry *entry = at->data;
        struct pool_choice choice;
        next = at->next;
        if (batch_room(pool, now_ms) <= 0) {
            return;
        }
        choice = pool_choose_server(pool, &entry->admission, now_ms);
        if (choice.server == NULL) {
            continue;
        }
        grant(pool, &choice, &entry->admission, now_ms, out);
        g_free(entry);
        g_queue_delete_link(&pool->batch, at);
    }
}

/* Grants free slots to waiting admission requests, online first, and preempts
 * batch slots for online requests that still wait.  Call it after each change
 * of one of the controllers. */
void
contracts_pool_serve(struct contracts_pool *pool, int64_t now_ms, GArray *out)
{
    serve_online(pool, now_ms, out);
    record_demand(pool, false, now_ms);
    preempt_for_waiting(pool, now_ms, out);
    serve_batch(pool, now_ms, out);
}

/* ---- admission ---- */

/* Returns whether a request would time out in the queue.  This is estimated
 * only under overload, from its position and the rate of grants. */
static bool
would_time_out(const struct contracts_pool *pool,
               const struct contracts_admission *admission)
{
    double rate = pool->overload.served_rate;
    double position = queue_position(&pool->queue, admission);

    return overload_is_active(&pool->overload) && rate > 0 &&
           position / rate * 1000 > (double)admission->wait_ms;
}

/* Limits a request's wait for servers that named limits to the time until it
 * is late, and returns whether it can be served by then: its place in the
 * queue and the servers' rate tell. */
static bool
may_wait_for_rate(const struct contracts_pool *pool,
                  struct contracts_admission *admission)
{
    int64_t expected_ms =
        wait_for_rate(pool, queue_position(&pool->queue, admission));

    if (expected_ms == 0) {
        return true;
    }
    if (admission->prefer_ms > 0) {
        admission->wait_ms = MIN(admission->wait_ms, admission->prefer_ms);
    }
    return expected_ms <= admission->wait_ms;
}

/* Makes room in a full queue by evicting a request of the operator that has
 * the most waiting ones relative to its weight.  Returns false when that is
 * the operator of the new request. */
static bool
make_queue_space(struct contracts_pool *pool,
                 const struct contracts_admission *admission, int64_t now_ms,
                 GArray *out)
{
    struct contracts_load load;
    struct queue_entry *dropped;

    contracts_pool_load(pool, &load);
    if (queue_count(&pool->queue) < QUEUE_PER_SLOT * load.window) {
        return true;
    }
    dropped = queue_evict_for(&pool->queue, admission);
    if (dropped == NULL) {
        return false;
    }
    answer(pool, &dropped->admission, CONTRACTS_BUSY, now_ms, out);
    g_free(dropped);
    return true;
}

static void
enqueue_online(struct contracts_pool *pool,
               const struct contracts_admission *requested, int64_t now_ms,
               GArray *out)
{
    struct contracts_admission admission = *requested;

    if (admission.wait_ms <= 0 &&
        pool_count_batch(pool) > queue_count(&pool->queue)) {
        admission.wait_ms = PREEMPT_WAIT_MS;
    }
    if (admission.wait_ms <= 0 || would_time_out(pool, &admission) ||
        !may_wait_for_rate(pool, &admission) ||
        !make_queue_space(pool, &admission, now_ms, out)) {
        answer(pool, &admission, CONTRACTS_BUSY, now_ms, out);
        return;
    }
    queue_push(&pool->queue, &admission, now_ms);
}

static void
admit_online(struct contracts_pool *pool,
             const struct contracts_admission *admission, int64_t now_ms,
             GArray *out)
{
    struct pool_choice choice = {0};

    overload_record_admission(&pool->overload, admission);
    if (queue_count(&pool->queue) == 0) {
        choice = pool_choose_server(pool, admission, now_ms);
        if (choice.server == NULL) {
            choice = pool_choose_queueing_server(pool, admission, 1, now_ms);
        }
    }
    if (choice.server != NULL) {
        grant(pool, &choice, admission, now_ms, out);
    }
    else {
        enqueue_online(pool, admission, now_ms, out);
    }
    record_demand(pool, true, now_ms);
    preempt_for_waiting(pool, now_ms, out);
}

static int64_t
due_of(const struct queue_entry *entry)
{
    return entry->admission.prefer_ms > 0
               ? entry->since_ms + entry->admission.prefer_ms
               : INT64_MAX;
}

static gint
compare_due(gconstpointer left, gconstpointer right, gpointer context)
{
    int64_t a = due_of(left);
    int64_t b = due_of(right);

    (void)context;
    return (a > b) - (a < b);
}

static void
admit_batch(struct contracts_pool *pool,
            const struct contracts_admission *admission, int64_t now_ms,
            GArray *out)
{
    struct pool_choice choice = {0};
    struct queue_entry *entry;

    if (batch_room(pool, now_ms) > 0) {
        choice = pool_choose_server(pool, admission, now_ms);
    }
    if (choice.server != NULL) {
        grant(pool, &choice, admission, now_ms, out);
        return;
    }
    if (admission->wait_ms <= 0) {
        answer(pool, admission, CONTRACTS_BUSY, now_ms, out);
        return;
    }
    entry = g_new0(struct queue_entry, 1);
    entry->admission = *admission;
    entry->since_ms = now_ms;
    entry->until_ms = now_ms + admission->wait_ms;
    g_queue_insert_sorted(&pool->batch, entry, compare_due, NULL);
}

/* Answers an admission request now or, within its wait_ms, later.  Any server
 * of the pool may be granted but those to avoid. */
void
contracts_pool_admit(struct contracts_pool *pool,
                     const struct contracts_admission *admission,
                     int64_t now_ms, GArray *out)
{
    if (admission->class_ == CONTRACTS_BATCH) {
        admit_batch(pool, admission, now_ms, out);
    }
    else {
        admit_online(pool, admission, now_ms, out);
    }
}

static bool
is_match(const struct queue_entry *entry, const char *holder,
         const uint64_t *ask_id)
{
    return strcmp(entry->admission.holder, holder) == 0 &&
           (ask_id == NULL || entry->admission.ask_id == *ask_id);
}

static void
remove_batch(struct contracts_pool *pool, const char *holder,
             const uint64_t *ask_id)
{
    GList *next;

    for (GList *at = pool->batch.head; at != NULL; at = next) {
        next = at->next;
        if (is_match(at->data, holder, ask_id)) {
            g_free(at->data);
            g_queue_delete_link(&pool->batch, at);
        }
    }
}

/* Withdraws a waiting admission request, which gets no answer. */
void
contracts_pool_cancel(struct contracts_pool *pool, const char *holder,
                      uint64_t ask_id, int64_t now_ms, GArray *out)
{
    g_free(queue_remove(&pool->queue, holder, ask_id));
    remove_batch(pool, holder, &ask_id);
    contracts_pool_serve(pool, now_ms, out);
}

/* Drops the waiting admission requests of a dead node. */
void
contracts_pool_holder_lost(struct contracts_pool *pool, const char *holder,
                           int64_t now_ms, GArray *out)
{
    queue_remove_holder(&pool->queue, holder);
    remove_batch(pool, holder, NULL);
    contracts_pool_serve(pool, now_ms, out);
}

/* Returns the online admission requests that wait because of overload, not for
 * batch slots that are preempted for them. */
static int
count_overloaded(const struct contracts_pool *pool)
{
    return MAX(queue_count(&pool->queue) - pool_count_batch(pool), 0);
}

static void
end_batch_waits(struct contracts_pool *pool, int64_t now_ms, GArray *out)
{
    GList *next;

    for (GList *at = pool->batch.head; at != NULL; at = next) {
        struct queue_entry *entry = at->data;
        next = at->next;
        if (now_ms >= entry->until_ms) {
            answer(pool, &entry->admission, CONTRACTS_BUSY, now_ms, out);
            g_free(entry);
            g_queue_delete_link(&pool->batch, at);
        }
    }
}

/* Does the timed work: ends waits, and serves.  Call it after the ticks of the
 * controllers. */
void
contracts_pool_tick(struct contracts_pool *pool, int64_t now_ms, GArray *out)
{
    struct queue_entry *entry;

    contracts_pool_serve(pool, now_ms, out);
    while ((entry = queue_pop_expired(&pool->queue, now_ms)) != NULL) {
        answer(pool, &entry->admission, CONTRACTS_BUSY, now_ms, out);
        g_free(entry);
    }
    end_batch_waits(pool, now_ms, out);
    overload_tick(&pool->overload, count_overloaded(pool), now_ms);
}
