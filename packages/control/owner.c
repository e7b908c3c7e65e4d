#include "control/control_private.h"

#include <string.h>

enum {
    SWEEP_MS = 1000,
    ANSWER_RETENTION_MS = 10000, /* answers are kept for resent requests */
    AUDIT_AGE_MS = 15000, /* time from a grant or audit to the next audit */
};

/* An admission request that is waiting, or was answered recently. */
struct received_admission {
    uint64_t key;
    uint64_t id;
    char server[CONTROL_SERVER_SIZE];
    uint64_t pool; /* key of the pool; 0: only the server may be granted */
    enum contracts_class class_;
    int64_t work_ms; /* expected slot time; 0: unknown */
    bool is_local;
    struct wire_return back;
    struct base_span span;
    bool has_span;
    bool is_answered;
    int64_t answered_at_ms;
    struct contracts_event event;
};

static void
free_owned_server(gpointer data)
{
    struct control_owned_server *owned = data;
    contracts_controller_free(owned->controller);
    g_free(owned);
}

static void
free_owned_pool(gpointer data)
{
    struct control_owned_pool *owned = data;

    contracts_pool_free(owned->pool);
    g_free(owned);
}

/* Prepares an empty set of owned servers. */
void
control_owner_init(struct control *control)
{
    struct control_owner *owner = &control->owner;

    owner->servers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                           free_owned_server);
    owner->pools = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                         free_owned_pool);
    owner->admissions =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    owner->granted =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    control_handover_init(control);
    control_rebuild_init(control);
    owner->events = g_array_new(FALSE, TRUE, sizeof(struct contracts_event));
    owner->admissions_counter =
        base_counter(control->counters, "control_kept_asks_total");
    owner->not_owner_counter =
        base_counter(control->counters, "control_not_keeper_total");
}

/* Frees the set with its admission controllers. */
void
control_owner_finish(struct control *control)
{
    struct control_owner *owner = &control->owner;

    control_handover_finish(control);
    control_rebuild_finish(control);
    g_hash_table_destroy(owner->admissions);
    g_hash_table_destroy(owner->granted);
    g_hash_table_destroy(owner->pools);
    g_hash_table_destroy(owner->servers);
    if (owner->known_servers != NULL) {
        g_hash_table_destroy(owner->known_servers);
    }
    g_array_free(owner->events, TRUE);
}

static void
send_answer(struct control *control,
            const struct received_admission *admission,
            const struct contracts_event *event)
{
    Control__Answer answer;
    Control__PoolLoad loads[CONTROL_MAX_LOADS];
    Control__PoolLoad *pointers[CONTROL_MAX_LOADS];
    float reduction[CONTRACTS_N_CLASSES];
    int server = admission->pool == 0 || control->world == NULL
                     ? WORLD_NONE
                     : world_find_server(control->world, admission->server);

    control_fill_answer(&answer, event, reduction);
    if (server != WORLD_NONE) {
        control_loads_add_to(control,
                             control->world->servers[server].deployment,
                             &answer, loads, pointers);
    }
    if (admission->is_local) {
        control_client_handle_answer(control, admission->id, &answer);
    }
    else {
        control_reply(control, &admission->back, CONTROL_ANSWER, &answer.base);
    }
}

static void
end_span(struct control *control, struct received_admission *admission,
         const char *result)
{
    if (admission->has_span) {
        admission->has_span = false;
        base_span_attribute(&admission->span, "result", "%s", result);
        base_span_end(&admission->span, control->tracer);
    }
}

/* Records a granted or reported contract, and returns its record. */
static struct control_grant *
note_grant(struct control *control, const struct control_owned_server *owned,
           const char *holder, uint64_t contract, enum contracts_class class_,
           int slots)
{
    uint64_t key = control_key(owned->server, contract);
    struct control_grant *grant =
        g_hash_table_lookup(control->owner.granted, &key);

    if (grant != NULL) {
        grant->slots = slots;
        return grant;
    }
    grant = g_new0(struct control_grant, 1);
    grant->key = key;
    grant->contract = contract;
    grant->class_ = class_;
    grant->slots = slots;
    grant->last_checked_ms = control->now_ms;
    g_strlcpy(grant->server, owned->server, sizeof(grant->server));
    g_strlcpy(grant->holder, holder, sizeof(grant->holder));
    g_hash_table_insert(control->owner.granted, &grant->key, grant);
    return grant;
}

/* Tells an operator why a server was chosen: for what work, and in what time
 * it and the best server would have been done with theirs. */
static void
log_choice(const struct contracts_event *event)
{
    if (event->work_ms > 0) {
        base_log(BASE_LOG_DEBUG, "owner.chosen",
                 "server=%s holder=%s ask=%" G_GINT64_MODIFIER
                 "x work_ms=%" G_GINT64_FORMAT
                 " remaining_ms=%" G_GINT64_FORMAT
                 " best_remaining_ms=%" G_GINT64_FORMAT,
                 event->server, event->holder, event->ask_id, event->work_ms,
                 event->remaining_ms, event->best_remaining_ms);
    }
}

static void
deliver_answer(struct control *control,
               const struct control_owned_server *owned,
               const struct contracts_event *event)
{
    static const char *const RESULTS[] = {"granted", "busy", "refused",
                                          "gone"};
    uint64_t key = control_key(event->holder, event->ask_id);
    struct received_admission *admission =
        g_hash_table_lookup(control->owner.admissions, &key);

    if (admission == NULL || admission->is_answered) {
        return;
    }
    if (event->answer == CONTRACTS_GRANTED) {
        struct control_grant *grant =
            note_grant(control, owned, event->holder, event->contract,
                       admission->class_, event->slots);
        grant->work_ms = admission->work_ms;
        grant->granted_ms = control->now_ms;
        log_choice(event);
    }
    base_log(BASE_LOG_DEBUG, "owner.answered",
             "server=%s holder=%s ask=%" G_GINT64_MODIFIER
             "x class=%d answer=%s window=%d online=%d batch=%d queued=%d",
             owned != NULL ? owned->server : admission->server, event->holder,
             event->ask_id, admission->class_, RESULTS[event->answer],
             event->load.window, event->load.online, event->load.batch,
             event->load.queued);
    end_span(control, admission, RESULTS[event->answer]);
    admission->is_answered = true;
    admission->answered_at_ms = control->now_ms;
    admission->event = *event;
    send_answer(control, admission, event);
}

static void
deliver_preempt(struct control *control,
                const struct control_owned_server *owned,
                const struct contracts_event *event)
{
    Control__Yield preempt = CONTROL__YIELD__INIT;
    int node;

    if (strcmp(event->holder, control->node) == 0) {
        control_client_preempt(control, owned->server, event->contract,
                               event->slots, 0);
        return;
    }
    node = members_view_find(control->view, event->holder);
    if (node < 0) {
        return;
    }
    preempt.server = (char *)owned->server;
    preempt.contract = event->contract;
    preempt.slots = (uint32_t)event->slots;
    control_preempt_send(control, control->view->nodes[node].control_address,
                         &preempt);
}

/* Returns the server of an event; `owned` is the server whose controller made
 * it, or NULL if a pool did. */
static const struct control_owned_server *
server_of_event(struct control *control,
                const struct control_owned_server *owned,
                const struct contracts_event *event)
{
    return event->server[0] == '\0'
               ? owned
               : g_hash_table_lookup(control->owner.servers, event->server);
}

/* Delivers the collected events to the holders.  The event array is replaced
 * first, because delivery to this node itself may call the same controller,
 * which adds events. */
static void
deliver_events(struct control *control,
               const struct control_owned_server *owned)
{
    GArray *events = control->owner.events;

    if (events->len == 0) {
        return;
    }
    control->owner.events =
        g_array_new(FALSE, TRUE, sizeof(struct contracts_event));
    for (guint i = 0; i < events->len; i++) {
        const struct contracts_event *event =
            &g_array_index(events, struct contracts_event, i);
        const struct control_owned_server *server =
            server_of_event(control, owned, event);
        if (event->kind != CONTRACTS_PREEMPT) {
            deliver_answer(control, server, event);
        }
        else if (server != NULL) {
            deliver_preempt(control, server, event);
        }
    }
    g_array_free(events, TRUE);
}

/* Delivers the events of an admission controller to the holders.  If the
 * server belongs to a pool, the pool's waiting requests may be served now. */
void
control_owner_deliver(struct control *control,
                      const struct control_owned_server *owned)
{
    struct control_owned_pool *pool = owned->pool;

    deliver_events(control, owned);
    if (pool != NULL) {
        contracts_pool_serve(pool->pool, control->now_ms,
                             control->owner.events);
        deliver_events(control, NULL);
    }
}

static gboolean
is_of_server(gpointer key, gpointer value, gpointer server)
{
    return strcmp(((struct control_grant *)value)->server, server) == 0;
}

static void
answer_not_owner(struct control *control,
                 const struct received_admission *admission)
{
    Control__Answer answer = CONTROL__ANSWER__INIT;

    answer.answer = CONTRACTS_BUSY;
    answer.not_keeper = true;
    if (admission->is_local) {
        control_client_handle_answer(control, admission->id, &answer);
    }
    else {
        control_reply(control, &admission->back, CONTROL_ANSWER, &answer.base);
    }
}

/* Adds a server to its pool. */
void
control_owner_join_pool(struct control *control,
                        struct control_owned_server *owned, uint64_t key)
{
    struct control_owned_pool *pool =
        g_hash_table_lookup(control->owner.pools, &key);

    if (pool == NULL) {
        pool = g_new0(struct control_owned_pool, 1);
        pool->key = key;
        pool->pool = contracts_pool_new(control->now_ms);
        g_hash_table_insert(control->owner.pools, &pool->key, pool);
    }
    owned->pool = pool;
    contracts_pool_add(pool->pool, owned->server, owned->controller);
}

/* Removes a server from its pool.  Returns the pool's key if that was the last
 * server, else 0. */
static uint64_t
leave_pool(struct control *control, struct control_owned_server *owned)
{
    struct control_owned_pool *pool = owned->pool;
    uint64_t key;

    owned->pool = NULL;
    if (pool == NULL || contracts_pool_remove(pool->pool, owned->server) > 0) {
        return 0;
    }
    key = pool->key;
    g_hash_table_remove(control->owner.pools, &key);
    return key;
}

/* Answers "not the owner" to the requests that wait for a server (NULL: none)
 * or for a pool (0: none), so that clients try the new owner. */
static void
answer_moved(struct control *control, const char *server, uint64_t pool)
{
    GPtrArray *moved = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, control->owner.admissions);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct received_admission *admission = value;
        bool is_moved = admission->pool == 0
                            ? g_strcmp0(admission->server, server) == 0
                            : admission->pool == pool;
        if (is_moved) {
            g_hash_table_iter_steal(&iter);
            g_ptr_array_add(moved, admission);
        }
    }
    for (guint i = 0; i < moved->len; i++) {
        struct received_admission *admission = g_ptr_array_index(moved, i);
        if (!admission->is_answered) {
            end_span(control, admission, "moved");
            answer_not_owner(control, admission);
        }
    }
    g_ptr_array_free(moved, TRUE);
}

/* Moves an owned server to another pool, because the zone's servers were
 * divided into more or fewer pools. */
void
control_owner_change_pool(struct control *control,
                          struct control_owned_server *owned, uint64_t key)
{
    uint64_t left_pool = leave_pool(control, owned);

    control_owner_join_pool(control, owned, key);
    if (left_pool != 0) {
        answer_moved(control, NULL, left_pool);
    }
}

/* Stops owning a server and frees its admission controller.  Waiting requests
 * are answered "not the owner", so that clients try the new owner. */
void
control_owner_remove_server(struct control *control, const char *name)
{
    struct control_owned_server *owned =
        g_hash_table_lookup(control->owner.servers, name);
    char server[CONTROL_SERVER_SIZE];
    uint64_t left_pool;

    g_strlcpy(server, name, sizeof(server));
    base_log(BASE_LOG_INFO, "owner.stopped", "server=%s nodes=%d", server,
             control->view->n_nodes);
    left_pool = owned == NULL ? 0 : leave_pool(control, owned);
    g_hash_table_remove(control->owner.servers, server);
    g_hash_table_foreach_remove(control->owner.granted, is_of_server, server);
    answer_moved(control, server, left_pool);
}

/* ---- admission requests ---- */

static struct received_admission *
note_admission(struct control *control, const char *holder,
               const Control__Ask *message, const struct wire_return *back)
{
    struct received_admission *received = g_new0(struct received_admission, 1);
    struct base_span_context parent;

    received->key = control_key(holder, message->ask_id);
    received->id = message->ask_id;
    g_strlcpy(received->server, message->server, sizeof(received->server));
    received->class_ = (enum contracts_class)message->work_class;
    received->is_local = back == NULL;
    if (back != NULL) {
        received->back = *back;
    }
    if (message->trace_id.len == sizeof(parent.trace_id) &&
        message->span_id.len == sizeof(parent.span_id)) {
        memcpy(parent.trace_id, message->trace_id.data,
               sizeof(parent.trace_id));
        memcpy(parent.span_id, message->span_id.data, sizeof(parent.span_id));
        received->has_span = true;
        base_span_start(&received->span, "contract.keep", &parent);
        base_span_attribute(&received->span, "server", "%s", message->server);
    }
    g_hash_table_insert(control->owner.admissions, &received->key, received);
    return received;
}

static void
fill_admission(const struct control *control, struct contracts_admission *out,
               const char *holder, const Control__Ask *message)
{
    memset(out, 0, sizeof(*out));
    out->ask_id = message->ask_id;
    g_strlcpy(out->holder, holder, sizeof(out->holder));
    g_strlcpy(out->operator_name, message->operator_name,
              sizeof(out->operator_name));
    out->weight = message->weight > 0 ? (double)message->weight : 1;
    out->class_ = (enum contracts_class)message->work_class;
    out->wait_ms = MAX(message->wait_ms, 0);
    out->prefer_ms = MAX(message->prefer_ms, 0);
    out->earlier_ms = MIN(message->earlier_ms, CONTROL_MAX_EARLIER_MS);
    out->slots = (int)CLAMP(message->slots, 1, 1000000);
    out->term_ms = MAX(message->term_ms, 0);
    if (control->cost_routing) {
        out->work_ms = MIN(message->work_ms, WORK_MAX_MS);
    }
    out->renew = message->renew;
    g_strlcpy(out->preferred, message->server, sizeof(out->preferred));
    out->n_avoid = (int)MIN(message->n_avoid, CONTRACTS_MAX_AVOIDED);
    if (out->n_avoid > 0) {
        memcpy(out->avoid, message->avoid,
               (size_t)out->n_avoid * sizeof(out->avoid[0]));
    }
}

/* Handles a node's admission request; `back` is NULL if the request is this
 * node's own.  A resent request gets the same answer again or, if it is not
 * answered yet, continues to wait. */
void
control_owner_admit(struct control *control, const char *holder,
                    const Control__Ask *message,
                    const struct wire_return *back)
{
    struct control_owned_server *owned =
        g_hash_table_lookup(control->owner.servers, message->server);
    uint64_t key = control_key(holder, message->ask_id);
    struct received_admission *known =
        g_hash_table_lookup(control->owner.admissions, &key);
    struct received_admission *received;
    struct contracts_admission admission;

    base_counter_add(control->owner.admissions_counter, 1);
    if (known != NULL) {
        if (back != NULL) {
            known->back = *back;
        }
        if (known->is_answered) {
            send_answer(control, known, &known->event);
        }
        return;
    }
    if (owned == NULL) {
        struct received_admission unowned = {.id = message->ask_id,
                                             .is_local = back == NULL};
        if (back != NULL) {
            unowned.back = *back;
        }
        base_counter_add(control->owner.not_owner_counter, 1);
        answer_not_owner(control, &unowned);
        return;
    }
    received = note_admission(control, holder, message, back);
    fill_admission(control, &admission, holder, message);
    received->work_ms = admission.work_ms;
    if (message->any_server && owned->pool != NULL) {
        received->pool = owned->pool->key;
        contracts_pool_admit(owned->pool->pool, &admission, control->now_ms,
                             control->owner.events);
        deliver_events(control, NULL);
        return;
    }
    contracts_controller_admit(owned->controller, &admission, control->now_ms,
                               control->owner.events);
    control_owner_deliver(control, owned);
}

static void
release_grant(struct control *control, struct control_owned_server *owned,
              uint64_t contract, const struct contracts_outcome *outcome)
{
    uint64_t key = control_key(owned->server, contract);

    g_hash_table_remove(control->owner.granted, &key);
    contracts_controller_release(owned->controller, contract, outcome,
                                 control->now_ms, control->owner.events);
    control_owner_deliver(control, owned);
}

static void
cancel_waiting(struct control *control, const char *holder,
               const struct received_admission *admission)
{
    struct control_owned_pool *pool =
        g_hash_table_lookup(control->owner.pools, &admission->pool);
    struct control_owned_server *owned =
        g_hash_table_lookup(control->owner.servers, admission->server);

    if (admission->pool != 0 && pool != NULL) {
        contracts_pool_cancel(pool->pool, holder, admission->id,
                              control->now_ms, control->owner.events);
        deliver_events(control, NULL);
    }
    else if (admission->pool == 0 && owned != NULL) {
        contracts_controller_cancel(owned->controller, holder, admission->id,
                                    control->now_ms, control->owner.events);
        control_owner_deliver(control, owned);
    }
}

/* Handles the cancellation of an admission request by its sender: removes it
 * from the queue, or releases the contract that was granted. */
void
control_owner_cancel(struct control *control, const char *holder,
                     const Control__Cancel *cancel)
{
    uint64_t key = control_key(holder, cancel->ask_id);
    struct received_admission *admission =
        g_hash_table_lookup(control->owner.admissions, &key);
    struct control_owned_server *granted;
    static const struct contracts_outcome NO_OUTCOME;

    if (admission == NULL || strcmp(admission->server, cancel->server) != 0) {
        return;
    }
    granted = g_hash_table_lookup(control->owner.servers,
                                  admission->event.server[0] != '\0'
                                      ? admission->event.server
                                      : admission->server);
    if (!admission->is_answered) {
        end_span(control, admission, "cancelled");
        cancel_waiting(control, holder, admission);
    }
    else if (admission->event.answer == CONTRACTS_GRANTED && granted != NULL) {
        release_grant(control, granted, admission->event.contract,
                      &NO_OUTCOME);
    }
    g_hash_table_remove(control->owner.admissions, &key);
}

/* Handles the release of a contract or of some of its slots, or the report
 * that the first token of an online contract is late. */
void
control_owner_release(struct control *control, const char *holder,
                      const Control__Release *release)
{
    struct control_owned_server *owned =
        g_hash_table_lookup(control->owner.servers, release->server);
    struct contracts_outcome outcome;

    if (owned == NULL) {
        return;
    }
    control_read_outcome(release->outcome, &outcome);
    if (!release->is_batch && release->slots_left > 0) {
        /* The report of a late first token; the contract stays. */
        contracts_controller_shrink(owned->controller, release->contract, 1,
                                    &outcome, control->now_ms,
                                    control->owner.events);
        control_owner_deliver(control, owned);
        return;
    }
    if (!release->is_batch) {
        release_grant(control, owned, release->contract, &outcome);
        return;
    }
    uint64_t key = control_key(owned->server, release->contract);
    if (release->slots_left == 0) {
        g_hash_table_remove(control->owner.granted, &key);
    }
    else {
        struct control_grant *grant =
            g_hash_table_lookup(control->owner.granted, &key);
        if (grant != NULL) {
            grant->slots = (int)MIN(release->slots_left, (uint32_t)INT32_MAX);
        }
    }
    contracts_controller_shrink(
        owned->controller, release->contract,
        (int)MIN(release->slots_left, (uint32_t)INT32_MAX), &outcome,
        control->now_ms, control->owner.events);
    control_owner_deliver(control, owned);
}

/* Adds the contracts that a holder reports to a server's controller. */
void
control_owner_add_contracts(struct control *control,
                            struct control_owned_server *owned,
                            const char *holder, size_t n_held,
                            Control__Held *const *held)
{
    for (size_t i = 0; i < n_held; i++) {
        enum contracts_class work_class =
            (enum contracts_class)held[i]->work_class;
        int slots = (int)MIN(held[i]->slots, (uint32_t)INT32_MAX);
        struct control_grant *grant;
        if (held[i]->work_class >= CONTRACTS_N_CLASSES || slots == 0) {
            continue;
        }
        contracts_controller_report(owned->controller, holder,
                                    held[i]->contract, work_class, slots,
                                    control->now_ms, control->owner.events);
        grant = note_grant(control, owned, holder, held[i]->contract,
                           work_class, slots);
        if (control->cost_routing && held[i]->work_ms > 0) {
            grant->work_ms = MIN(held[i]->work_ms, WORK_MAX_MS);
            grant->granted_ms = control->now_ms - held[i]->elapsed_ms;
            contracts_controller_set_work(owned->controller, held[i]->contract,
                                          grant->work_ms, held[i]->elapsed_ms,
                                          control->now_ms);
        }
    }
    control_owner_deliver(control, owned);
}

/* Handles a report of contracts that a holder sends to a server's new owner.
 */
void
control_owner_report(struct control *control, const char *holder,
                     const Control__Report *report)
{
    struct control_owned_server *owned =
        g_hash_table_lookup(control->owner.servers, report->server);

    if (owned != NULL) {
        control_owner_add_contracts(control, owned, holder, report->n_held,
                                    report->held);
    }
}

/* Applies what a server has said of itself, if this node owns it. */
void
control_owner_apply_notice(struct control *control, const char *server)
{
    struct control_owned_server *owned =
        g_hash_table_lookup(control->owner.servers, server);

    if (owned != NULL) {
        contracts_controller_set_limit(owned->controller,
                                       control_server_limit(control, server),
                                       control->now_ms, control->owner.events);
        control_owner_deliver(control, owned);
    }
}

/* Passes a server's own load report, made age_ms ago, to its controller. */
void
control_owner_server_report(struct control *control, const char *server,
                            int running, int queued, int64_t age_ms)
{
    struct control_owned_server *owned =
        g_hash_table_lookup(control->owner.servers, server);

    if (owned != NULL) {
        contracts_controller_server_report(owned->controller, running, queued,
                                           age_ms, control->now_ms);
    }
}

static gboolean
is_of_holder(gpointer key, gpointer value, gpointer holder)
{
    return strcmp(((struct control_grant *)value)->holder, holder) == 0;
}

static void
for_each_pool(struct control *control,
              void (*apply)(struct control *control,
                            struct contracts_pool *pool, const char *name),
              const char *name)
{
    GList *all = g_hash_table_get_values(control->owner.pools);

    for (GList *at = all; at != NULL; at = at->next) {
        struct control_owned_pool *owned = at->data;
        apply(control, owned->pool, name);
        deliver_events(control, NULL);
    }
    g_list_free(all);
}

static void
drop_holder(struct control *control, struct contracts_pool *pool,
            const char *name)
{
    contracts_pool_holder_lost(pool, name, control->now_ms,
                               control->owner.events);
}

static void
tick_pool(struct control *control, struct contracts_pool *pool,
          const char *name)
{
    (void)name;
    contracts_pool_tick(pool, control->now_ms, control->owner.events);
}

/* Ends all contracts and requests of a node that died or was restarted. */
void
control_owner_holder_lost(struct control *control, const char *holder)
{
    GList *all = g_hash_table_get_values(control->owner.servers);

    for (GList *at = all; at != NULL; at = at->next) {
        struct control_owned_server *owned = at->data;
        contracts_controller_holder_lost(
            owned->controller, holder, control->now_ms, control->owner.events);
        control_owner_deliver(control, owned);
    }
    g_list_free(all);
    for_each_pool(control, drop_holder, holder);
    g_hash_table_foreach_remove(control->owner.granted, is_of_holder,
                                (gpointer)holder);
}

static void
sweep(struct control *control)
{
    GHashTableIter iter;
    gpointer value;

    control->owner.next_sweep_ms = control->now_ms + SWEEP_MS;
    control_handover_tick(control);
    g_hash_table_iter_init(&iter, control->owner.admissions);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct received_admission *admission = value;
        if (admission->is_answered &&
            control->now_ms - admission->answered_at_ms >=
                ANSWER_RETENTION_MS) {
            g_hash_table_iter_remove(&iter);
        }
    }
    control_owner_audit(control, AUDIT_AGE_MS, false);
}

/* Runs the due work of all owned servers. */
void
control_owner_tick(struct control *control)
{
    GList *all = g_hash_table_get_values(control->owner.servers);

    control_rebuild_tick(control);
    for (GList *at = all; at != NULL; at = at->next) {
        struct control_owned_server *owned = at->data;
        contracts_controller_tick(owned->controller, control->now_ms,
                                  control->owner.events);
        deliver_events(control, owned);
    }
    g_list_free(all);
    for_each_pool(control, tick_pool, NULL);
    if (control->now_ms >= control->owner.next_sweep_ms) {
        sweep(control);
    }
}
