#include "control/control_private.h"

#include <string.h>

enum {
    SWEEP_MS = 1000,
    ANSWER_RETENTION_MS = 10000, /* for asks that are sent again */
    AUDIT_AGE_MS = 15000,        /* of online contracts, before a question */
};

/* An ask that waits here, or was answered a short while ago. */
struct received_admission {
    uint64_t key;
    uint64_t id;
    char server[CONTROL_SERVER_SIZE];
    enum contracts_class class_;
    bool is_local;
    struct wire_return back;
    struct base_span span;
    bool has_span;
    bool is_answered;
    int64_t answered_ms;
    struct contracts_event event;
};

static void
free_owned_server(gpointer data)
{
    struct control_owned_server *kept = data;
    contracts_controller_free(kept->controller);
    g_free(kept);
}

/* Prepares an empty set of kept servers. */
void
control_owner_init(struct control *control)
{
    struct control_owner *owner = &control->owner;

    owner->servers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                           free_owned_server);
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

/* Frees the tables of all kept servers. */
void
control_owner_finish(struct control *control)
{
    struct control_owner *owner = &control->owner;

    control_handover_finish(control);
    control_rebuild_finish(control);
    g_hash_table_destroy(owner->admissions);
    g_hash_table_destroy(owner->granted);
    g_hash_table_destroy(owner->servers);
    if (owner->known != NULL) {
        g_hash_table_destroy(owner->known);
    }
    g_array_free(owner->events, TRUE);
}

static void
send_answer(struct control *control, const struct received_admission *ask,
            const struct contracts_event *event)
{
    Control__Answer answer;
    float reduction[CONTRACTS_N_CLASSES];

    control_fill_answer(&answer, event, reduction);
    if (ask->is_local) {
        control_client_answer(control, ask->id, &answer);
    }
    else {
        control_reply(control, &ask->back, CONTROL_ANSWER, &answer.base);
    }
}

static void
end_span(struct control *control, struct received_admission *ask,
         const char *result)
{
    if (ask->has_span) {
        ask->has_span = false;
        base_span_attribute(&ask->span, "result", "%s", result);
        base_span_end(&ask->span, control->tracer);
    }
}

static void
note_grant(struct control *control, const struct control_owned_server *kept,
           const char *holder, uint64_t contract, enum contracts_class class_,
           int slots)
{
    uint64_t key = control_key(kept->server, contract);
    struct control_grant *grant =
        g_hash_table_lookup(control->owner.granted, &key);

    if (grant != NULL) {
        grant->slots = slots;
        return;
    }
    grant = g_new0(struct control_grant, 1);
    grant->key = key;
    grant->contract = contract;
    grant->class_ = class_;
    grant->slots = slots;
    grant->since_ms = control->now_ms;
    g_strlcpy(grant->server, kept->server, sizeof(grant->server));
    g_strlcpy(grant->holder, holder, sizeof(grant->holder));
    g_hash_table_insert(control->owner.granted, &grant->key, grant);
}

static void
deliver_answer(struct control *control,
               const struct control_owned_server *kept,
               const struct contracts_event *event)
{
    static const char *const RESULTS[] = {"granted", "busy", "refused",
                                          "gone"};
    uint64_t key = control_key(event->holder, event->ask_id);
    struct received_admission *ask =
        g_hash_table_lookup(control->owner.admissions, &key);

    if (ask == NULL || ask->is_answered) {
        return;
    }
    if (event->answer == CONTRACTS_GRANTED) {
        note_grant(control, kept, event->holder, event->contract, ask->class_,
                   event->slots);
    }
    base_log(BASE_LOG_DEBUG, "keeper.answered",
             "server=%s holder=%s ask=%" G_GINT64_MODIFIER
             "x class=%d answer=%s window=%d online=%d batch=%d queued=%d",
             kept->server, event->holder, event->ask_id, ask->class_,
             RESULTS[event->answer], event->load.window, event->load.online,
             event->load.batch, event->load.queued);
    end_span(control, ask, RESULTS[event->answer]);
    ask->is_answered = true;
    ask->answered_ms = control->now_ms;
    ask->event = *event;
    send_answer(control, ask, event);
}

static void
deliver_preempt(struct control *control,
                const struct control_owned_server *kept,
                const struct contracts_event *event)
{
    Control__Yield preempt = CONTROL__YIELD__INIT;
    int node;

    if (strcmp(event->holder, control->node) == 0) {
        control_client_preempt(control, kept->server, event->contract,
                               event->slots, 0);
        return;
    }
    node = members_view_find(control->view, event->holder);
    if (node < 0) {
        return;
    }
    preempt.server = (char *)kept->server;
    preempt.contract = event->contract;
    preempt.slots = (uint32_t)event->slots;
    control_preempt_send(control, control->view->nodes[node].control_address,
                         &preempt);
}

/* Delivers what a keeper's table decided.  The events are taken first, since
 * a local answer may lead to the next call of the same table. */
void
control_owner_deliver(struct control *control,
                      const struct control_owned_server *kept)
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
        if (event->kind == CONTRACTS_PREEMPT) {
            deliver_preempt(control, kept, event);
        }
        else {
            deliver_answer(control, kept, event);
        }
    }
    g_array_free(events, TRUE);
}

static gboolean
is_of_server(gpointer key, gpointer value, gpointer server)
{
    return strcmp(((struct control_grant *)value)->server, server) == 0;
}

static void
answer_not_owner(struct control *control, const struct received_admission *ask)
{
    Control__Answer answer = CONTROL__ANSWER__INIT;

    answer.answer = CONTRACTS_BUSY;
    answer.not_keeper = true;
    if (ask->is_local) {
        control_client_answer(control, ask->id, &answer);
    }
    else {
        control_reply(control, &ask->back, CONTROL_ANSWER, &answer.base);
    }
}

/* Ends a table; its waiting askers are sent elsewhere. */
void
control_owner_stop(struct control *control, const char *name)
{
    char server[CONTROL_SERVER_SIZE];
    GHashTableIter iter;
    gpointer value;
    GPtrArray *moved = g_ptr_array_new_with_free_func(g_free);

    g_strlcpy(server, name, sizeof(server));
    base_log(BASE_LOG_INFO, "keeper.stopped", "server=%s nodes=%d", server,
             control->view->n_nodes);
    g_hash_table_remove(control->owner.servers, server);
    g_hash_table_foreach_remove(control->owner.granted, is_of_server, server);
    g_hash_table_iter_init(&iter, control->owner.admissions);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct received_admission *ask = value;
        if (strcmp(ask->server, server) == 0) {
            g_hash_table_iter_steal(&iter);
            g_ptr_array_add(moved, ask);
        }
    }
    for (guint i = 0; i < moved->len; i++) {
        struct received_admission *ask = g_ptr_array_index(moved, i);
        if (!ask->is_answered) {
            end_span(control, ask, "moved");
            answer_not_owner(control, ask);
        }
    }
    g_ptr_array_free(moved, TRUE);
}

/* ---- asks ---- */

static struct received_admission *
note_admission(struct control *control, const char *holder,
               const Control__Ask *ask, const struct wire_return *back)
{
    struct received_admission *kept = g_new0(struct received_admission, 1);
    struct base_span_context parent;

    kept->key = control_key(holder, ask->ask_id);
    kept->id = ask->ask_id;
    g_strlcpy(kept->server, ask->server, sizeof(kept->server));
    kept->class_ = (enum contracts_class)ask->work_class;
    kept->is_local = back == NULL;
    if (back != NULL) {
        kept->back = *back;
    }
    if (ask->trace_id.len == sizeof(parent.trace_id) &&
        ask->span_id.len == sizeof(parent.span_id)) {
        memcpy(parent.trace_id, ask->trace_id.data, sizeof(parent.trace_id));
        memcpy(parent.span_id, ask->span_id.data, sizeof(parent.span_id));
        kept->has_span = true;
        base_span_start(&kept->span, "contract.keep", &parent);
        base_span_attribute(&kept->span, "server", "%s", ask->server);
    }
    g_hash_table_insert(control->owner.admissions, &kept->key, kept);
    return kept;
}

static void
fill_admission(struct contracts_admission *out, const char *holder,
               const Control__Ask *ask)
{
    memset(out, 0, sizeof(*out));
    out->ask_id = ask->ask_id;
    g_strlcpy(out->holder, holder, sizeof(out->holder));
    g_strlcpy(out->operator_name, ask->operator_name,
              sizeof(out->operator_name));
    out->weight = ask->weight > 0 ? (double)ask->weight : 1;
    out->class_ = (enum contracts_class)ask->work_class;
    out->wait_ms = MAX(ask->wait_ms, 0);
    out->prefer_ms = MAX(ask->prefer_ms, 0);
    out->slots = (int)CLAMP(ask->slots, 1, 1000000);
    out->term_ms = MAX(ask->term_ms, 0);
    out->renew = ask->renew;
}

/* An ask of a holder; back is NULL for this node's own.  One that is sent
 * again is answered as it was, or goes on waiting. */
void
control_owner_admit(struct control *control, const char *holder,
                    const Control__Ask *ask, const struct wire_return *back)
{
    struct control_owned_server *kept =
        g_hash_table_lookup(control->owner.servers, ask->server);
    uint64_t key = control_key(holder, ask->ask_id);
    struct received_admission *known =
        g_hash_table_lookup(control->owner.admissions, &key);
    struct contracts_admission question;

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
    if (kept == NULL) {
        struct received_admission stranger = {.id = ask->ask_id,
                                              .is_local = back == NULL};
        if (back != NULL) {
            stranger.back = *back;
        }
        base_counter_add(control->owner.not_owner_counter, 1);
        answer_not_owner(control, &stranger);
        return;
    }
    note_admission(control, holder, ask, back);
    fill_admission(&question, holder, ask);
    contracts_controller_admit(kept->controller, &question, control->now_ms,
                               control->owner.events);
    control_owner_deliver(control, kept);
}

static void
release_grant(struct control *control, struct control_owned_server *kept,
              uint64_t contract, const struct contracts_outcome *outcome)
{
    uint64_t key = control_key(kept->server, contract);

    g_hash_table_remove(control->owner.granted, &key);
    contracts_controller_release(kept->controller, contract, outcome,
                                 control->now_ms, control->owner.events);
    control_owner_deliver(control, kept);
}

/* A holder gave up on an ask: take it from the queue, or take back what was
 * granted to it. */
void
control_owner_cancel(struct control *control, const char *holder,
                     const Control__Cancel *cancel)
{
    struct control_owned_server *kept =
        g_hash_table_lookup(control->owner.servers, cancel->server);
    uint64_t key = control_key(holder, cancel->ask_id);
    struct received_admission *ask =
        g_hash_table_lookup(control->owner.admissions, &key);
    static const struct contracts_outcome NOTHING;

    if (kept == NULL || ask == NULL ||
        strcmp(ask->server, kept->server) != 0) {
        return;
    }
    if (!ask->is_answered) {
        end_span(control, ask, "cancelled");
        contracts_controller_cancel(kept->controller, holder, cancel->ask_id,
                                    control->now_ms, control->owner.events);
        control_owner_deliver(control, kept);
    }
    else if (ask->event.answer == CONTRACTS_GRANTED) {
        release_grant(control, kept, ask->event.contract, &NOTHING);
    }
    g_hash_table_remove(control->owner.admissions, &key);
}

/* A holder gives back a contract or some of its slots, or tells that an
 * online contract's first token is late. */
void
control_owner_release(struct control *control, const char *holder,
                      const Control__Release *release)
{
    struct control_owned_server *kept =
        g_hash_table_lookup(control->owner.servers, release->server);
    struct contracts_outcome outcome;

    if (kept == NULL) {
        return;
    }
    control_read_outcome(release->outcome, &outcome);
    if (!release->is_batch && release->slots_left > 0) {
        /* The contract is kept: its first token is late. */
        contracts_controller_shrink(kept->controller, release->contract, 1,
                                    &outcome, control->now_ms,
                                    control->owner.events);
        control_owner_deliver(control, kept);
        return;
    }
    if (!release->is_batch) {
        release_grant(control, kept, release->contract, &outcome);
        return;
    }
    uint64_t key = control_key(kept->server, release->contract);
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
        kept->controller, release->contract,
        (int)MIN(release->slots_left, (uint32_t)INT32_MAX), &outcome,
        control->now_ms, control->owner.events);
    control_owner_deliver(control, kept);
}

/* Enters what a holder says that it holds. */
void
control_owner_apply(struct control *control, struct control_owned_server *kept,
                    const char *holder, size_t n_held,
                    Control__Held *const *held)
{
    for (size_t i = 0; i < n_held; i++) {
        enum contracts_class work_class =
            (enum contracts_class)held[i]->work_class;
        int slots = (int)MIN(held[i]->slots, (uint32_t)INT32_MAX);
        if (held[i]->work_class >= CONTRACTS_N_CLASSES || slots == 0) {
            continue;
        }
        contracts_controller_report(kept->controller, holder,
                                    held[i]->contract, work_class, slots,
                                    control->now_ms, control->owner.events);
        note_grant(control, kept, holder, held[i]->contract, work_class,
                   slots);
    }
    control_owner_deliver(control, kept);
}

/* A holder tells a new keeper what it holds. */
void
control_owner_report(struct control *control, const char *holder,
                     const Control__Report *report)
{
    struct control_owned_server *kept =
        g_hash_table_lookup(control->owner.servers, report->server);

    if (kept != NULL) {
        control_owner_apply(control, kept, holder, report->n_held,
                            report->held);
    }
}

/* The server's own late load report. */
void
control_owner_server_report(struct control *control, const char *server,
                            int running, int queued, int64_t age_ms)
{
    struct control_owned_server *kept =
        g_hash_table_lookup(control->owner.servers, server);

    if (kept != NULL) {
        contracts_controller_server_report(kept->controller, running, queued,
                                           age_ms, control->now_ms);
    }
}

static gboolean
is_of_holder(gpointer key, gpointer value, gpointer holder)
{
    return strcmp(((struct control_grant *)value)->holder, holder) == 0;
}

/* A node died or was started anew: what it held is free again. */
void
control_owner_holder_lost(struct control *control, const char *holder)
{
    GList *all = g_hash_table_get_values(control->owner.servers);

    for (GList *at = all; at != NULL; at = at->next) {
        struct control_owned_server *kept = at->data;
        contracts_controller_holder_lost(
            kept->controller, holder, control->now_ms, control->owner.events);
        control_owner_deliver(control, kept);
    }
    g_list_free(all);
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
        struct received_admission *ask = value;
        if (ask->is_answered &&
            control->now_ms - ask->answered_ms >= ANSWER_RETENTION_MS) {
            g_hash_table_iter_remove(&iter);
        }
    }
    control_owner_audit(control, AUDIT_AGE_MS, false);
}

/* Lets time pass for the kept servers. */
void
control_owner_tick(struct control *control)
{
    GList *all = g_hash_table_get_values(control->owner.servers);

    control_rebuild_tick(control);
    for (GList *at = all; at != NULL; at = at->next) {
        struct control_owned_server *kept = at->data;
        contracts_controller_tick(kept->controller, control->now_ms,
                                  control->owner.events);
        control_owner_deliver(control, kept);
    }
    g_list_free(all);
    if (control->now_ms >= control->owner.next_sweep_ms) {
        sweep(control);
    }
}
