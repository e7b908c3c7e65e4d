#include "contracts/controller.h"

#include <string.h>

enum {
    /* Of the slots, the part that a rebuilding keeper grants. */
    REBUILD_DIVISOR = 4,
    /* Asks that may wait, for each request of the window. */
    QUEUE_PER_SLOT = 4,
    /* For a slot that batch gives back: its holder may be a region away, and
     * its server notices a closed stream within some ms. */
    DISPLACE_MS = 150,
};

/* Online contracts held. */
int
controller_online(const struct contracts_controller *keeper)
{
    return keeper->held[CONTRACTS_ONLINE_SHORT] +
           keeper->held[CONTRACTS_ONLINE_LONG];
}

/* Slots of the window that nobody holds. */
int
controller_free_slots(const struct contracts_controller *keeper)
{
    int unheld = window_size(&keeper->window) - controller_online(keeper) -
                 keeper->held[CONTRACTS_BATCH];

    if (keeper->rebuild_until_ms != 0) {
        int share = MAX(keeper->desc.slots / REBUILD_DIVISOR, 1);
        unheld = MIN(unheld, share - keeper->rebuild_grants);
    }
    return MAX(unheld, 0);
}

/* How many more long online requests may run. */
int
controller_long_room(const struct contracts_controller *keeper)
{
    int cap = (int)(keeper->desc.long_share * window_size(&keeper->window));

    return MAX(cap, 1) - keeper->held[CONTRACTS_ONLINE_LONG];
}

/* Online asks that wait for nothing but a slot. */
int
controller_waiting(const struct contracts_controller *keeper)
{
    return queue_eligible(&keeper->queue, controller_long_room(keeper));
}

/* The most that may run now: of a table that is being rebuilt, what it holds
 * and its share of the rest. */
static int
shown_window(const struct contracts_controller *keeper)
{
    int held = controller_online(keeper) + keeper->held[CONTRACTS_BATCH];

    if (stall_is_long(&keeper->stall)) {
        return 1;
    }
    if (keeper->rebuild_until_ms != 0) {
        return MAX(held + controller_free_slots(keeper), 1);
    }
    return window_size(&keeper->window);
}

/* What askers are told of the server. */
void
contracts_controller_load(const struct contracts_controller *keeper,
                          struct contracts_load *load)
{
    memset(load, 0, sizeof(*load));
    load->window = shown_window(keeper);
    load->online = controller_online(keeper);
    load->batch = keeper->held[CONTRACTS_BATCH];
    load->queued = queue_count(&keeper->queue);
}

/* What the keeper did since it was made. */
void
contracts_controller_stats(const struct contracts_controller *keeper,
                           struct contracts_controller_stats *stats)
{
    *stats = keeper->stats;
}

/* Appends the answer to an ask; contract is NULL unless it was granted. */
void
controller_answer(struct contracts_controller *keeper,
                  const struct contracts_admission *ask,
                  enum contracts_answer answer,
                  const struct contract *contract, int64_t now_ms, GArray *out)
{
    struct contracts_event event;

    memset(&event, 0, sizeof(event));
    event.kind = CONTRACTS_ANSWER;
    g_strlcpy(event.holder, ask->holder, sizeof(event.holder));
    event.ask_id = ask->ask_id;
    event.answer = answer;
    contracts_controller_load(keeper, &event.load);
    event.load.seen_ms = now_ms;
    overload_reduction(&keeper->overload, ask->operator_name,
                       &event.reduction);
    if (contract != NULL) {
        event.contract = contract->id;
        event.slots = contract->slots - contract->preempting;
        event.term_ms = contract->kind == CONTRACTS_BATCH ? ask->term_ms : 0;
    }
    keeper->stats.answers[answer]++;
    g_array_append_val(out, event);
}

/* A number that no other contract of this keeper has. */
uint64_t
controller_next_id(struct contracts_controller *keeper)
{
    return keeper->id_base + ++keeper->n_contracts;
}

/* Enters a contract over so many slots. */
struct contract *
controller_add(struct contracts_controller *keeper, uint64_t id,
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
    keeper->held[kind] += slots;
    g_hash_table_insert(keeper->contracts, &contract->id, contract);
    return contract;
}

/* Changes how much a contract holds; 0 ends and frees it.  Slots given back
 * settle first what was asked back. */
void
controller_set_slots(struct contracts_controller *keeper,
                     struct contract *contract, int slots)
{
    int returned = contract->slots - slots;
    int settled = CLAMP(returned, 0, contract->preempting);

    keeper->held[contract->kind] -= returned;
    keeper->preempting -= settled;
    contract->preempting -= settled;
    contract->slots = slots;
    if (slots == 0) {
        /* What comes back may be granted again, also while rebuilding. */
        keeper->rebuild_grants -= contract->is_provisional ? 1 : 0;
        g_hash_table_remove(keeper->contracts, &contract->id);
    }
}

/* Ends all contracts for which matches says true. */
void
controller_end_matching(struct contracts_controller *keeper, GHRFunc matches,
                        gpointer context)
{
    GPtrArray *ended = g_ptr_array_new();
    GHashTableIter iter;
    gpointer key;
    gpointer value;

    g_hash_table_iter_init(&iter, keeper->contracts);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        if (matches(key, value, context)) {
            g_ptr_array_add(ended, value);
        }
    }
    for (guint i = 0; i < ended->len; i++) {
        controller_set_slots(keeper, ended->pdata[i], 0);
    }
    g_ptr_array_free(ended, TRUE);
}

static void
note_demand(struct contracts_controller *keeper, bool is_ask, int64_t now_ms)
{
    int demand = controller_online(keeper) + queue_count(&keeper->queue);

    reserve_note(&keeper->reserve, demand, is_ask, now_ms);
}

static void
grant(struct contracts_controller *keeper,
      const struct contracts_admission *ask, int64_t now_ms, GArray *out)
{
    struct contract *contract =
        controller_add(keeper, controller_next_id(keeper), ask->holder,
                       ask->class_, 1, now_ms);

    if (keeper->rebuild_until_ms != 0) {
        contract->is_provisional = true;
        keeper->rebuild_grants++;
    }
    overload_grant(&keeper->overload);
    stall_granted(&keeper->stall, now_ms);
    controller_answer(keeper, ask, CONTRACTS_GRANTED, contract, now_ms, out);
}

/* Hands free slots to those who wait, online first, and asks batch for what
 * is missing. */
void
controller_serve(struct contracts_controller *keeper, int64_t now_ms,
                 GArray *out)
{
    while (!keeper->is_leaving && controller_free_slots(keeper) > 0) {
        struct queue_entry *entry = queue_pop(
            &keeper->queue, controller_long_room(keeper) > 0, now_ms);
        if (entry == NULL) {
            break;
        }
        grant(keeper, &entry->ask, now_ms, out);
        g_free(entry);
    }
    note_demand(keeper, false, now_ms);
    controller_reclaim(keeper, out);
    controller_serve_batch(keeper, now_ms, out);
}

/* Whether an ask would wait in vain: under overload the rate of grants is
 * known, and with it the time until the operator's turn. */
static bool
is_hopeless(const struct contracts_controller *keeper,
            const struct contracts_admission *ask)
{
    double served = keeper->overload.served;
    double turns = queue_turns(&keeper->queue, ask);

    return overload_is_on(&keeper->overload) && served > 0 &&
           turns / served * 1000 > (double)ask->wait_ms;
}

/* An operator over its share is told so, others that the server is busy. */
static enum contracts_answer
refusal(const struct contracts_controller *keeper,
        const struct contracts_admission *ask)
{
    struct contracts_reduction reduction;

    overload_reduction(&keeper->overload, ask->operator_name, &reduction);
    return reduction.share[ask->class_] > 0 ? CONTRACTS_REFUSED
                                            : CONTRACTS_BUSY;
}

/* Makes room for an ask in a full queue at the cost of the operator with
 * the most asks for its weight; false when that is the asker itself. */
static bool
make_room(struct contracts_controller *keeper,
          const struct contracts_admission *ask, int64_t now_ms, GArray *out)
{
    int most = QUEUE_PER_SLOT * window_size(&keeper->window);
    struct queue_entry *dropped;

    if (queue_count(&keeper->queue) < most) {
        return true;
    }
    dropped = queue_drop_for(&keeper->queue, ask);
    if (dropped == NULL) {
        return false;
    }
    controller_answer(keeper, &dropped->ask, refusal(keeper, &dropped->ask),
                      NULL, now_ms, out);
    g_free(dropped);
    return true;
}

/* Whether batch holds a slot that no other waiting ask will get. */
static bool
may_displace(const struct contracts_controller *keeper)
{
    return keeper->desc.batch_fills && keeper->rebuild_until_ms == 0 &&
           keeper->held[CONTRACTS_BATCH] > queue_count(&keeper->queue);
}

static void
admit_online(struct contracts_controller *keeper,
             const struct contracts_admission *asked, int64_t now_ms,
             GArray *out)
{
    struct contracts_admission own = *asked;
    const struct contracts_admission *ask = &own;
    bool has_room = ask->class_ == CONTRACTS_ONLINE_SHORT ||
                    controller_long_room(keeper) > 0;

    overload_offer(&keeper->overload, ask);
    if (ask->wait_ms <= 0 && stall_refuses(&keeper->stall, now_ms)) {
        controller_answer(keeper, ask, CONTRACTS_BUSY, NULL, now_ms, out);
        return;
    }
    if (own.wait_ms <= 0 && has_room && may_displace(keeper)) {
        own.wait_ms = DISPLACE_MS;
    }
    if (has_room && controller_waiting(keeper) == 0 &&
        controller_free_slots(keeper) > 0) {
        grant(keeper, ask, now_ms, out);
    }
    else if (ask->wait_ms <= 0 || is_hopeless(keeper, ask) ||
             !make_room(keeper, ask, now_ms, out)) {
        controller_answer(keeper, ask, refusal(keeper, ask), NULL, now_ms,
                          out);
    }
    else {
        queue_push(&keeper->queue, ask, now_ms);
    }
    note_demand(keeper, true, now_ms);
    controller_reclaim(keeper, out);
}

/* Answers an ask now or, within its wait_ms, later. */
void
contracts_controller_admit(struct contracts_controller *keeper,
                           const struct contracts_admission *ask,
                           int64_t now_ms, GArray *out)
{
    if (keeper->is_leaving) {
        controller_answer(keeper, ask, CONTRACTS_UNAVAILABLE, NULL, now_ms,
                          out);
    }
    else if (ask->class_ == CONTRACTS_BATCH) {
        controller_admit_batch(keeper, ask, now_ms, out);
    }
    else {
        admit_online(keeper, ask, now_ms, out);
    }
}

static struct queue_entry *
remove_batch_admission(struct contracts_controller *keeper, const char *holder,
                       uint64_t ask_id)
{
    for (GList *l = keeper->batch_admissions.head; l != NULL; l = l->next) {
        struct queue_entry *entry = l->data;
        if (entry->ask.ask_id == ask_id &&
            strcmp(entry->ask.holder, holder) == 0) {
            g_queue_delete_link(&keeper->batch_admissions, l);
            return entry;
        }
    }
    return NULL;
}

/* Withdraws a waiting ask; it is not answered any more.  An ask that was
 * answered already is left alone: its contract is given back by a release. */
void
contracts_controller_cancel(struct contracts_controller *keeper,
                            const char *holder, uint64_t ask_id,
                            int64_t now_ms, GArray *out)
{
    struct queue_entry *entry = queue_remove(&keeper->queue, holder, ask_id);

    if (entry == NULL) {
        entry = remove_batch_admission(keeper, holder, ask_id);
    }
    g_free(entry);
    controller_serve(keeper, now_ms, out);
}

/* Ends a contract; an unknown one, as after a change of keeper, is ignored.
 * outcome may be NULL when nothing was measured. */
void
contracts_controller_release(struct contracts_controller *keeper,
                             uint64_t contract,
                             const struct contracts_outcome *outcome,
                             int64_t now_ms, GArray *out)
{
    contracts_controller_shrink(keeper, contract, 0, outcome, now_ms, out);
}

static void
take_outcome(struct contracts_controller *keeper, const struct contract *held,
             const struct contracts_outcome *outcome, int64_t now_ms)
{
    int64_t target_us = (int64_t)(keeper->desc.first_token_target_ms * 1000);

    window_sample(&keeper->window, outcome);
    if (held != NULL && outcome->first_token_us > 0 &&
        outcome->first_token_us <= MAX(target_us, 1)) {
        stall_recovered(&keeper->stall, held->granted_ms, now_ms);
    }
}

/* Word on a request that runs: its first token is late, or came late. */
static void
take_late(struct contracts_controller *keeper, const struct contract *held,
          const struct contracts_outcome *outcome, int64_t now_ms)
{
    if (outcome->tokens == 0) {
        stall_report_late(&keeper->stall, held->id, held->granted_ms,
                          outcome->first_token_us, now_ms);
    }
    else {
        stall_first_token(&keeper->stall, held->id, outcome->first_token_us,
                          now_ms);
    }
}

/* A holder keeps only so many slots from now on; more than it holds changes
 * nothing.  outcome may be NULL.  For an online contract that is kept, it is
 * a sign that the first token is late: it has waited first_token_us; with
 * tokens above 0 it tells that a late one came. */
void
contracts_controller_shrink(struct contracts_controller *keeper,
                            uint64_t contract, int slots,
                            const struct contracts_outcome *outcome,
                            int64_t now_ms, GArray *out)
{
    struct contract *held = g_hash_table_lookup(keeper->contracts, &contract);

    if (held != NULL && held->kind != CONTRACTS_BATCH && slots > 0) {
        if (outcome != NULL) {
            take_late(keeper, held, outcome, now_ms);
        }
        return;
    }
    if (outcome != NULL) {
        take_outcome(keeper, held, outcome, now_ms);
    }
    if (held != NULL && slots < held->slots) {
        controller_set_slots(keeper, held, MAX(slots, 0));
    }
    controller_serve(keeper, now_ms, out);
}

/* The server's own late load report: a ceiling and a sign of foreign load. */
void
contracts_controller_server_report(struct contracts_controller *keeper,
                                   int running, int queued, int64_t age_ms,
                                   int64_t now_ms)
{
    window_report(&keeper->window, running, queued, age_ms, now_ms);
}
