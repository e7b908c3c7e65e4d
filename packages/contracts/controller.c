#include "contracts/controller.h"

#include <string.h>

enum {
    /* While rebuilding, contracts for at most 1 / REBUILD_DIVISOR of the slots
     * are granted. */
    REBUILD_DIVISOR = 4,
    /* The queue holds at most this many online admission requests for each
     * request of the window. */
    QUEUE_PER_SLOT = 4,
    /* Longest wait of an online request for a preempted batch slot.  The batch
     * holder may be in another region, and the server notices a closed stream
     * only after some ms. */
    PREEMPT_WAIT_MS = 150,
};

/* Returns the number of online contracts held. */
int
controller_online_held(const struct contracts_controller *controller)
{
    return controller->held[CONTRACTS_ONLINE_SHORT] +
           controller->held[CONTRACTS_ONLINE_LONG];
}

/* Returns how many slots of the window may be granted now, within the rate
 * that the server named, and the provisional limit while rebuilding. */
int
controller_free_slots(const struct contracts_controller *controller)
{
    int free_slots = window_size(&controller->window) -
                     controller_online_held(controller) -
                     controller->held[CONTRACTS_BATCH];

    if (controller->rebuild_until_ms != 0) {
        int share = MAX(controller->desc.slots / REBUILD_DIVISOR, 1);
        free_slots = MIN(free_slots, share - controller->provisional_held);
    }
    return CLAMP(free_slots, 0, pace_room(&controller->pace));
}

/* Returns whether the server has named a limit and may get no request now. */
bool
contracts_controller_is_closed(const struct contracts_controller *controller)
{
    return pace_room(&controller->pace) == 0;
}

/* Returns how many more long online requests may run. */
int
controller_long_room(const struct contracts_controller *controller)
{
    int cap =
        (int)(controller->desc.long_share * window_size(&controller->window));

    return MAX(cap, 1) - controller->held[CONTRACTS_ONLINE_LONG];
}

/* Returns how many waiting online admission requests could run if there were
 * free slots; the others are long ones beyond the share of long requests. */
int
controller_count_eligible(const struct contracts_controller *controller)
{
    return queue_count_eligible(&controller->queue,
                                controller_long_room(controller));
}

/* Returns the window that is reported to holders.  It is 1 in a long stall, so
 * that they prefer other servers.  While rebuilding, or if the server has
 * named a limit, it is the sum of the slots held and those that may be
 * granted. */
static int
reported_window(const struct contracts_controller *controller)
{
    int held =
        controller_online_held(controller) + controller->held[CONTRACTS_BATCH];

    if (stall_is_long(&controller->stall)) {
        return 1;
    }
    if (controller->rebuild_until_ms != 0 ||
        pace_is_limited(&controller->pace)) {
        return MAX(held + controller_free_slots(controller), 1);
    }
    return window_size(&controller->window);
}

/* Writes the load that is reported to holders, with seen_ms 0. */
void
contracts_controller_load(const struct contracts_controller *controller,
                          struct contracts_load *load)
{
    memset(load, 0, sizeof(*load));
    load->window = reported_window(controller);
    load->online = controller_online_held(controller);
    load->batch = controller->held[CONTRACTS_BATCH];
    load->queued = queue_count(&controller->queue);
}

/* Writes the counts since the controller was made. */
void
contracts_controller_stats(const struct contracts_controller *controller,
                           struct contracts_controller_stats *stats)
{
    *stats = controller->stats;
}

/* Appends the answer to an admission request; contract is NULL unless it was
 * granted. */
void
controller_answer(struct contracts_controller *controller,
                  const struct contracts_admission *admission,
                  enum contracts_answer answer,
                  const struct contract *contract, int64_t now_ms, GArray *out)
{
    struct contracts_event event;

    memset(&event, 0, sizeof(event));
    event.kind = CONTRACTS_ANSWER;
    g_strlcpy(event.holder, admission->holder, sizeof(event.holder));
    event.ask_id = admission->ask_id;
    event.answer = answer;
    contracts_controller_load(controller, &event.load);
    event.load.seen_ms = now_ms;
    overload_reduction(&controller->overload, admission->operator_name,
                       &event.reduction);
    if (contract != NULL) {
        event.contract = contract->id;
        event.slots = contract->slots - contract->preempting;
        event.term_ms =
            contract->kind == CONTRACTS_BATCH ? admission->term_ms : 0;
    }
    controller->stats.answers[answer]++;
    g_array_append_val(out, event);
}

/* Returns a number that no other contract of this controller has. */
uint64_t
controller_next_id(struct contracts_controller *controller)
{
    return controller->id_base + ++controller->n_contracts;
}

/* Adds a contract for the given number of slots and returns it. */
struct contract *
controller_add(struct contracts_controller *controller, uint64_t id,
               const char *holder, enum contracts_class kind, int slots,
               int64_t now_ms)
{
    struct contract *contract = g_new0(struct contract, 1);

    contract->id = id;
    g_strlcpy(contract->holder, holder, sizeof(contract->holder));
    contract->kind = kind;
    contract->slots = slots;
    contract->granted_ms = now_ms;
    contract->expires_ms = now_ms + CONTROLLER_DEFAULT_TERM_MS;
    controller->held[kind] += slots;
    g_hash_table_insert(controller->contracts, &contract->id, contract);
    return contract;
}

/* Sets the number of slots that a contract holds; 0 ends and frees it.
 * Preempted slots count as the first ones released. */
void
controller_set_slots(struct contracts_controller *controller,
                     struct contract *contract, int slots)
{
    int n_released = contract->slots - slots;
    int n_preempted_released = CLAMP(n_released, 0, contract->preempting);

    controller->held[contract->kind] -= n_released;
    controller->preempting -= n_preempted_released;
    contract->preempting -= n_preempted_released;
    contract->slots = slots;
    if (slots == 0) {
        /* A released slot may be granted again while rebuilding. */
        controller->provisional_held -= contract->is_provisional ? 1 : 0;
        work_tracker_end(controller_work(controller, contract->kind),
                         contract->id, false, 0);
        g_hash_table_remove(controller->contracts, &contract->id);
    }
}

/* Ends all contracts for which matches() returns TRUE. */
void
controller_end_matching(struct contracts_controller *controller,
                        GHRFunc matches, gpointer context)
{
    GPtrArray *ended = g_ptr_array_new();
    GHashTableIter iter;
    gpointer key;
    gpointer value;

    g_hash_table_iter_init(&iter, controller->contracts);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        if (matches(key, value, context)) {
            g_ptr_array_add(ended, value);
        }
    }
    for (guint i = 0; i < ended->len; i++) {
        controller_set_slots(controller, ended->pdata[i], 0);
    }
    g_ptr_array_free(ended, TRUE);
}

static void
record_demand(struct contracts_controller *controller, bool is_admission,
              int64_t now_ms)
{
    int demand =
        controller_online_held(controller) + queue_count(&controller->queue);

    reserve_record(&controller->reserve, demand, is_admission, now_ms);
}

static void
grant(struct contracts_controller *controller,
      const struct contracts_admission *admission, int64_t now_ms, GArray *out)
{
    struct contract *contract =
        controller_add(controller, controller_next_id(controller),
                       admission->holder, admission->class_, 1, now_ms);

    if (controller->rebuild_until_ms != 0) {
        contract->is_provisional = true;
        controller->provisional_held++;
    }
    work_tracker_start(&controller->online_work, contract->id,
                       admission->work_ms, now_ms);
    pace_take(&controller->pace, 1);
    overload_record_grant(&controller->overload);
    stall_record_grant(&controller->stall, now_ms);
    controller_answer(controller, admission, CONTRACTS_GRANTED, contract,
                      now_ms, out);
}

/* See the header. */
int
contracts_controller_room(const struct contracts_controller *controller,
                          enum contracts_class class_, int64_t now_ms)
{
    if (class_ == CONTRACTS_BATCH) {
        return controller_batch_room(controller);
    }
    if (controller->is_leaving || stall_refuses(&controller->stall, now_ms)) {
        return 0;
    }
    return controller_free_slots(controller) -
           controller_count_eligible(controller);
}

/* See the header. */
void
contracts_controller_grant(struct contracts_controller *controller,
                           const struct contracts_admission *admission,
                           int64_t now_ms, GArray *out)
{
    circuit_record_grant(&controller->circuit, now_ms);
    if (admission->class_ == CONTRACTS_BATCH) {
        controller_admit_batch(controller, admission, now_ms, out);
        return;
    }
    grant(controller, admission, now_ms, out);
    record_demand(controller, true, now_ms);
}

/* See the header. */
bool
contracts_controller_is_failing(const struct contracts_controller *controller,
                                int64_t now_ms)
{
    return circuit_refuses(&controller->circuit, now_ms);
}

/* See the header. */
bool
contracts_controller_may_queue(const struct contracts_controller *controller)
{
    int window = window_size(&controller->window);

    return !controller->is_leaving && controller->rebuild_until_ms == 0 &&
           !controller->stall.is_active &&
           !contracts_controller_is_closed(controller) &&
           window == controller->desc.slots &&
           controller->held[CONTRACTS_BATCH] == 0 &&
           controller_online_held(controller) == window;
}

/* See the header. */
double
contracts_controller_rate(const struct contracts_controller *controller)
{
    return controller->is_leaving ? 0 : pace_rate(&controller->pace);
}

/* See the header. */
int
contracts_controller_preemptible(const struct contracts_controller *controller)
{
    return contracts_controller_is_closed(controller)
               ? 0
               : controller->held[CONTRACTS_BATCH];
}

/* See the header. */
int
contracts_controller_preempting(const struct contracts_controller *controller)
{
    return controller->preempting;
}

/* See the header. */
void
contracts_controller_set_wanted(struct contracts_controller *controller,
                                int wanted, int64_t now_ms, GArray *out)
{
    controller->wanted = wanted;
    controller_preempt_batch(controller, now_ms, out);
}

/* Grants free slots to waiting admission requests, online first, and preempts
 * batch slots when online needs more. */
void
controller_serve(struct contracts_controller *controller, int64_t now_ms,
                 GArray *out)
{
    pace_advance(&controller->pace, now_ms);
    while (!controller->is_leaving && controller_free_slots(controller) > 0) {
        struct queue_entry *entry = queue_pop(
            &controller->queue, controller_long_room(controller) > 0, now_ms);
        if (entry == NULL) {
            break;
        }
        grant(controller, &entry->admission, now_ms, out);
        g_free(entry);
    }
    record_demand(controller, false, now_ms);
    controller_preempt_batch(controller, now_ms, out);
    controller_serve_batch(controller, now_ms, out);
}

/* Returns whether an admission request would time out in the queue.  This is
 * estimated only under overload, from its position and the rate of grants. */
static bool
would_time_out(const struct contracts_controller *controller,
               const struct contracts_admission *admission)
{
    double served_rate = controller->overload.served_rate;
    double position = queue_position(&controller->queue, admission);

    return overload_is_active(&controller->overload) && served_rate > 0 &&
           position / served_rate * 1000 > (double)admission->wait_ms;
}

/* Returns the answer to an admission request that gets no slot:
 * CONTRACTS_REFUSED if the operator is over its share in an overload, else
 * CONTRACTS_BUSY. */
static enum contracts_answer
refusal_answer(const struct contracts_controller *controller,
               const struct contracts_admission *admission)
{
    struct contracts_reduction reduction;

    overload_reduction(&controller->overload, admission->operator_name,
                       &reduction);
    return reduction.share[admission->class_] > 0 ? CONTRACTS_REFUSED
                                                  : CONTRACTS_BUSY;
}

/* Makes room for an admission request in a full queue by evicting one of the
 * operator that has the most waiting requests relative to its weight.  Returns
 * false when that is the operator of the new request. */
static bool
make_queue_space(struct contracts_controller *controller,
                 const struct contracts_admission *admission, int64_t now_ms,
                 GArray *out)
{
    int max_queued = QUEUE_PER_SLOT * window_size(&controller->window);
    struct queue_entry *dropped;

    if (queue_count(&controller->queue) < max_queued) {
        return true;
    }
    dropped = queue_evict_for(&controller->queue, admission);
    if (dropped == NULL) {
        return false;
    }
    controller_answer(controller, &dropped->admission,
                      refusal_answer(controller, &dropped->admission), NULL,
                      now_ms, out);
    g_free(dropped);
    return true;
}

/* Returns whether batch holds more slots than online requests wait, so that
 * one could be preempted for a new online request. */
static bool
may_preempt_for_online(const struct contracts_controller *controller)
{
    return controller->desc.batch_fills && controller->rebuild_until_ms == 0 &&
           contracts_controller_preemptible(controller) >
               queue_count(&controller->queue);
}

static void
admit_online(struct contracts_controller *controller,
             const struct contracts_admission *requested, int64_t now_ms,
             GArray *out)
{
    struct contracts_admission adjusted = *requested;
    const struct contracts_admission *admission = &adjusted;
    bool has_room = admission->class_ == CONTRACTS_ONLINE_SHORT ||
                    controller_long_room(controller) > 0;

    pace_advance(&controller->pace, now_ms);
    overload_record_admission(&controller->overload, admission);
    if (admission->wait_ms <= 0 && stall_refuses(&controller->stall, now_ms)) {
        controller_answer(controller, admission, CONTRACTS_BUSY, NULL, now_ms,
                          out);
        return;
    }
    if (adjusted.wait_ms <= 0 && has_room &&
        may_preempt_for_online(controller)) {
        adjusted.wait_ms = PREEMPT_WAIT_MS;
    }
    if (has_room && controller_count_eligible(controller) == 0 &&
        controller_free_slots(controller) > 0) {
        grant(controller, admission, now_ms, out);
    }
    else if (admission->wait_ms <= 0 ||
             would_time_out(controller, admission) ||
             !make_queue_space(controller, admission, now_ms, out)) {
        controller_answer(controller, admission,
                          refusal_answer(controller, admission), NULL, now_ms,
                          out);
    }
    else {
        queue_push(&controller->queue, admission, now_ms);
    }
    record_demand(controller, true, now_ms);
    controller_preempt_batch(controller, now_ms, out);
}

/* Answers an admission request now or, within its wait_ms, later. */
void
contracts_controller_admit(struct contracts_controller *controller,
                           const struct contracts_admission *admission,
                           int64_t now_ms, GArray *out)
{
    if (controller->is_leaving) {
        controller_answer(controller, admission, CONTRACTS_UNAVAILABLE, NULL,
                          now_ms, out);
    }
    else if (admission->class_ == CONTRACTS_BATCH) {
        controller_admit_batch(controller, admission, now_ms, out);
    }
    else {
        admit_online(controller, admission, now_ms, out);
    }
}

static struct queue_entry *
remove_batch_admission(struct contracts_controller *controller,
                       const char *holder, uint64_t ask_id)
{
    for (GList *l = controller->batch_admissions.head; l != NULL;
         l = l->next) {
        struct queue_entry *entry = l->data;
        if (entry->admission.ask_id == ask_id &&
            strcmp(entry->admission.holder, holder) == 0) {
            g_queue_delete_link(&controller->batch_admissions, l);
            return entry;
        }
    }
    return NULL;
}

/* Withdraws a waiting admission request, which then gets no answer.  One that
 * was answered already is not affected; the holder releases its contract. */
void
contracts_controller_cancel(struct contracts_controller *controller,
                            const char *holder, uint64_t ask_id,
                            int64_t now_ms, GArray *out)
{
    struct queue_entry *entry =
        queue_remove(&controller->queue, holder, ask_id);

    if (entry == NULL) {
        entry = remove_batch_admission(controller, holder, ask_id);
    }
    g_free(entry);
    controller_serve(controller, now_ms, out);
}

/* Ends a contract.  An unknown one, as after a change of owner, is ignored.
 * outcome may be NULL when nothing was measured. */
void
contracts_controller_release(struct contracts_controller *controller,
                             uint64_t contract_id,
                             const struct contracts_outcome *outcome,
                             int64_t now_ms, GArray *out)
{
    contracts_controller_shrink(controller, contract_id, 0, outcome, now_ms,
                                out);
}

static void
update_circuit(struct contracts_controller *controller,
               const struct contract *contract,
               const struct contracts_outcome *outcome, int64_t now_ms)
{
    if (outcome->failed) {
        circuit_record_failure(&controller->circuit, contract->holder,
                               contract->granted_ms, now_ms);
    }
    else if (outcome->tokens > 0 || outcome->first_token_us > 0) {
        circuit_record_success(&controller->circuit, contract->granted_ms,
                               now_ms);
    }
}

static void
apply_outcome(struct contracts_controller *controller,
              const struct contract *contract,
              const struct contracts_outcome *outcome, int64_t now_ms)
{
    int64_t target_us =
        (int64_t)(controller->desc.first_token_target_ms * 1000);

    window_sample(&controller->window, outcome);
    if (contract != NULL) {
        update_circuit(controller, contract, outcome, now_ms);
    }
    if (contract != NULL && outcome->first_token_us > 0 &&
        outcome->first_token_us <= MAX(target_us, 1)) {
        stall_record_recovery(&controller->stall, contract->granted_ms,
                              now_ms);
    }
}

/* Applies a late report: the first token of a running request has not arrived
 * yet (tokens is 0), or it arrived late. */
static void
apply_late_report(struct contracts_controller *controller,
                  const struct contract *contract,
                  const struct contracts_outcome *outcome, int64_t now_ms)
{
    if (outcome->tokens == 0) {
        stall_report_late(&controller->stall, contract->id,
                          contract->granted_ms, outcome->first_token_us,
                          now_ms);
    }
    else {
        stall_record_first_token(&controller->stall, contract->id,
                                 outcome->first_token_us, now_ms);
    }
}

/* Returns whether the request of a contract that ends has run to its end, as
 * far as the outcome tells. */
static bool
has_run(const struct contract *contract,
        const struct contracts_outcome *outcome)
{
    return outcome != NULL && !outcome->failed && outcome->tokens > 0 &&
           contract->preempting == 0;
}

/* See the header.  A number of slots that is not below those held changes
 * nothing.  outcome may be NULL. */
void
contracts_controller_shrink(struct contracts_controller *controller,
                            uint64_t contract_id, int slots,
                            const struct contracts_outcome *outcome,
                            int64_t now_ms, GArray *out)
{
    struct contract *contract =
        g_hash_table_lookup(controller->contracts, &contract_id);

    if (contract != NULL && contract->kind != CONTRACTS_BATCH && slots > 0) {
        if (outcome != NULL) {
            apply_late_report(controller, contract, outcome, now_ms);
        }
        return;
    }
    if (outcome != NULL) {
        apply_outcome(controller, contract, outcome, now_ms);
    }
    if (contract != NULL && slots < contract->slots) {
        if (slots <= 0) {
            work_tracker_end(controller_work(controller, contract->kind),
                             contract_id, has_run(contract, outcome), now_ms);
        }
        controller_set_slots(controller, contract, MAX(slots, 0));
    }
    controller_serve(controller, now_ms, out);
}

/* Applies the server's own load report, age_ms old, which sets a ceiling for
 * the window when the server runs foreign load. */
void
contracts_controller_server_report(struct contracts_controller *controller,
                                   int running, int queued, int64_t age_ms,
                                   int64_t now_ms)
{
    window_report(&controller->window, running, queued, age_ms, now_ms);
}
