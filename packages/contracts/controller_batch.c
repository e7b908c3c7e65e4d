#include "contracts/controller.h"

#include <string.h>

enum {
    /* A batch contract may still run for this long after its term. */
    TERM_GRACE_MS = 1000,
    /* Work that is due in the same step counts as due at the same time. */
    DUE_STEP_MS = 1000,
};

/* Returns the most slots that batch may hold, even with no online load. */
static int
batch_cap(const struct contracts_controller *controller)
{
    return (int)(controller->desc.batch_share *
                 window_size(&controller->window));
}

/* Returns the slots that batch leaves free for the next online requests. */
static int
reserved_slots(const struct contracts_controller *controller)
{
    return controller->desc.batch_fills ? 0
                                        : reserve_size(&controller->reserve);
}

/* Returns the slots that batch may be granted now: the free slots less the
 * reserve for online.  There are none while slots are being preempted, since
 * batch would otherwise get back the slots that were preempted from it. */
int
controller_batch_room(const struct contracts_controller *controller)
{
    int free_slots =
        controller_free_slots(controller) - reserved_slots(controller);
    int room = MIN(free_slots,
                   batch_cap(controller) - controller->held[CONTRACTS_BATCH]);

    room = MIN(room, pace_batch_room(&controller->pace));
    if (controller->is_leaving || controller->rebuild_until_ms != 0 ||
        controller->preempting > 0 || controller->wanted > 0 ||
        controller_count_eligible(controller) > 0) {
        return 0;
    }
    return MAX(room, 0);
}

/* Returns when the work of a batch admission request is due.  For work that is
 * late already it is INT64_MAX, so that all other work goes first. */
static int64_t
due_of(const struct contracts_admission *admission, int64_t since_ms)
{
    return admission->prefer_ms > 0 ? since_ms + admission->prefer_ms
                                    : INT64_MAX;
}

static struct contract *
find_renewed(const struct contracts_controller *controller,
             const struct contracts_admission *admission)
{
    struct contract *contract =
        admission->renew == 0
            ? NULL
            : g_hash_table_lookup(controller->contracts, &admission->renew);

    if (contract == NULL || contract->kind != CONTRACTS_BATCH ||
        strcmp(contract->holder, admission->holder) != 0) {
        return NULL;
    }
    return contract;
}

/* Renews the term of a contract, and grows it as far as there is room or
 * shrinks it to the slots requested.  Returns false when the contract would
 * have no slot, or when it can't grow and the admission request may still
 * wait. */
static bool
renew(struct contracts_controller *controller, struct contract *contract,
      const struct contracts_admission *admission, bool may_wait,
      int64_t now_ms)
{
    int remaining = contract->slots - contract->preempting;
    int added = CLAMP(admission->slots - remaining, 0,
                      controller_batch_room(controller));

    if (remaining + added == 0) {
        return false;
    }
    if (may_wait && added == 0 && admission->slots > remaining) {
        /* The contract must not lapse before the answer renews the term. */
        contract->expires_ms =
            MAX(contract->expires_ms, now_ms + admission->wait_ms);
        return false;
    }
    if (admission->slots < remaining) {
        controller_set_slots(controller, contract, admission->slots);
    }
    pace_take(&controller->pace, added);
    contract->slots += added;
    controller->held[CONTRACTS_BATCH] += added;
    contract->expires_ms = now_ms + admission->term_ms;
    return true;
}

/* Grants the free slots, up to the number requested; returns false when
 * nothing was granted. */
static bool
grant_batch(struct contracts_controller *controller,
            const struct contracts_admission *admission, bool may_wait,
            int64_t now_ms, GArray *out)
{
    struct contract *contract = find_renewed(controller, admission);
    int room = controller_batch_room(controller);

    if (contract != NULL) {
        if (!renew(controller, contract, admission, may_wait, now_ms)) {
            return false;
        }
    }
    else if (room == 0) {
        return false;
    }
    else {
        contract = controller_add(controller, controller_next_id(controller),
                                  admission->holder, CONTRACTS_BATCH,
                                  MIN(room, admission->slots), now_ms);
        pace_take(&controller->pace, contract->slots);
        contract->expires_ms = now_ms + admission->term_ms;
        contract->due_ms = due_of(admission, now_ms);
        work_tracker_start(&controller->batch_work, contract->id,
                           admission->work_ms, now_ms);
    }
    controller_answer(controller, admission, CONTRACTS_GRANTED, contract,
                      now_ms, out);
    return true;
}

/* Inserts an entry by due time, after entries with the same due time. */
static void
push_by_due(GQueue *queue, struct queue_entry *entry)
{
    int64_t due_ms = due_of(&entry->admission, entry->since_ms);
    GList *position = queue->tail;

    while (position != NULL) {
        const struct queue_entry *other = position->data;
        if (due_of(&other->admission, other->since_ms) <= due_ms) {
            break;
        }
        position = position->prev;
    }
    if (position == NULL) {
        g_queue_push_head(queue, entry);
    }
    else {
        g_queue_insert_after(queue, position, entry);
    }
}

/* Answers a batch admission request now or, within its wait_ms, when slots
 * become free. */
void
controller_admit_batch(struct contracts_controller *controller,
                       const struct contracts_admission *admission,
                       int64_t now_ms, GArray *out)
{
    struct contracts_admission adjusted = *admission;
    struct queue_entry *entry;

    adjusted.slots = MAX(admission->slots, 1);
    adjusted.term_ms = admission->term_ms > 0 ? admission->term_ms
                                              : CONTROLLER_DEFAULT_TERM_MS;
    if (grant_batch(controller, &adjusted, admission->wait_ms > 0, now_ms,
                    out)) {
        return;
    }
    if (admission->wait_ms <= 0) {
        controller_answer(controller, admission, CONTRACTS_BUSY, NULL, now_ms,
                          out);
        return;
    }
    entry = g_new0(struct queue_entry, 1);
    entry->admission = adjusted;
    entry->since_ms = now_ms;
    entry->until_ms = now_ms + admission->wait_ms;
    push_by_due(&controller->batch_admissions, entry);
}

/* Grants waiting batch admission requests in order of due time and answers
 * those whose wait has ended. */
void
controller_serve_batch(struct contracts_controller *controller, int64_t now_ms,
                       GArray *out)
{
    for (GList *l = controller->batch_admissions.head; l != NULL;) {
        GList *next = l->next;
        struct queue_entry *entry = l->data;
        bool may_wait = entry->until_ms > now_ms;
        bool is_done =
            grant_batch(controller, &entry->admission, may_wait, now_ms, out);
        if (!is_done && !may_wait) {
            controller_answer(controller, &entry->admission, CONTRACTS_BUSY,
                              NULL, now_ms, out);
            is_done = true;
        }
        if (is_done) {
            g_free(entry);
            g_queue_delete_link(&controller->batch_admissions, l);
        }
        l = next;
    }
}

/* A batch contract that may be preempted. */
struct candidate {
    struct contract *contract;
    int slots; /* not yet preempted */
    struct contracts_victim victim;
};

/* See the header. */
bool
contracts_victim_is_before(const struct contracts_victim *a,
                           const struct contracts_victim *b)
{
    bool is_known = a->left_ms >= 0 && b->left_ms >= 0;

    if (is_known && a->due_ms / DUE_STEP_MS == b->due_ms / DUE_STEP_MS) {
        return a->left_ms > b->left_ms;
    }
    return a->due_ms > b->due_ms;
}

/* The contract with more slots comes first, then the one whose slot is
 * preempted first. */
static gint
compare_candidates(gconstpointer left, gconstpointer right)
{
    const struct candidate *a = left;
    const struct candidate *b = right;

    if (a->slots != b->slots) {
        return a->slots > b->slots ? -1 : 1;
    }
    if (contracts_victim_is_before(&a->victim, &b->victim)) {
        return -1;
    }
    if (contracts_victim_is_before(&b->victim, &a->victim)) {
        return 1;
    }
    return a->contract->id < b->contract->id ? -1 : 1;
}

/* Returns the batch contracts that may be preempted, as struct candidate, in
 * the order of preemption.  What is left of them counts only if it is known of
 * all: otherwise there would be no consistent order. */
static GArray *
list_candidates(const struct contracts_controller *controller, int64_t now_ms)
{
    GArray *found = g_array_new(FALSE, FALSE, sizeof(struct candidate));
    bool are_known = true;
    struct contract *contract;
    GHashTableIter iter;

    g_hash_table_iter_init(&iter, controller->contracts);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&contract)) {
        struct candidate made = {
            contract,
            contract->slots - contract->preempting,
            {contract->due_ms, work_tracker_left(&controller->batch_work,
                                                 contract->id, now_ms)}};
        if (contract->kind == CONTRACTS_BATCH && made.slots > 0) {
            are_known = are_known && made.victim.left_ms >= 0;
            g_array_append_val(found, made);
        }
    }
    for (guint i = 0; !are_known && i < found->len; i++) {
        g_array_index(found, struct candidate, i).victim.left_ms = -1;
    }
    g_array_sort(found, compare_candidates);
    return found;
}

/* Returns the batch contract to preempt next, or NULL. */
static struct contract *
next_to_preempt(const struct contracts_controller *controller, int64_t now_ms)
{
    GArray *found = list_candidates(controller, now_ms);
    struct contract *first =
        found->len == 0 ? NULL
                        : g_array_index(found, struct candidate, 0).contract;

    g_array_free(found, TRUE);
    return first;
}

/* See the header. */
bool
contracts_controller_victim(const struct contracts_controller *controller,
                            int n, int64_t now_ms,
                            struct contracts_victim *out)
{
    GArray *found;
    bool is_found = false;

    if (contracts_controller_is_closed(controller)) {
        return false;
    }
    found = list_candidates(controller, now_ms);
    for (guint i = 0; i < found->len && !is_found; i++) {
        const struct candidate *at =
            &g_array_index(found, struct candidate, i);
        n -= at->slots;
        *out = at->victim;
        is_found = n < 0;
    }
    g_array_free(found, TRUE);
    return is_found;
}

static void
preempt_contract(struct contracts_controller *controller,
                 struct contract *contract, int slots, GArray *out)
{
    struct contracts_event event;

    memset(&event, 0, sizeof(event));
    event.kind = CONTRACTS_PREEMPT;
    g_strlcpy(event.holder, contract->holder, sizeof(event.holder));
    event.contract = contract->id;
    event.slots = slots;
    contract->preempting += slots;
    controller->preempting += slots;
    controller->stats.preemptions += slots;
    g_array_append_val(out, event);
}

/* Returns the slots that batch holds beyond what it may hold now. */
static int
excess_slots(const struct contracts_controller *controller)
{
    int batch = controller->held[CONTRACTS_BATCH];
    /* Those that wait for the server's rate gain nothing by a free slot. */
    int n_waiting =
        MIN(controller_count_eligible(controller) + controller->wanted,
            pace_room(&controller->pace));
    int room = window_size(&controller->window) -
               controller_online_held(controller) - n_waiting -
               reserved_slots(controller);

    if (controller->is_leaving) {
        return batch;
    }
    return CLAMP(batch - MIN(room, batch_cap(controller)), 0, batch);
}

/* Preempts the batch slots that online needs, beyond those being preempted
 * already, from the largest contracts first.  A lost message is not repeated:
 * the end of the contract's term bounds the delay. */
void
controller_preempt_batch(struct contracts_controller *controller,
                         int64_t now_ms, GArray *out)
{
    int excess = excess_slots(controller) - controller->preempting;

    while (excess > 0) {
        struct contract *contract = next_to_preempt(controller, now_ms);
        if (contract == NULL) {
            break;
        }
        int remaining = contract->slots - contract->preempting;
        int slots = MIN(excess, (remaining + 1) / 2);
        preempt_contract(controller, contract, slots, out);
        excess -= slots;
    }
}

struct lapse {
    struct contracts_controller *controller;
    int64_t now_ms;
};

static gboolean
is_lapsed(gpointer key, gpointer value, gpointer context)
{
    const struct contract *contract = value;
    const struct lapse *lapse = context;

    (void)key;
    if (contract->kind != CONTRACTS_BATCH ||
        lapse->now_ms < contract->expires_ms + TERM_GRACE_MS) {
        return FALSE;
    }
    lapse->controller->stats.lapsed_slots += contract->slots;
    return TRUE;
}

/* Ends batch contracts whose term ended without renewal, after a grace period
 * in which the holder stops its work.  If the work still runs after that, the
 * server has more requests than its window for a moment; stats.lapsed_slots
 * is the upper bound of such requests. */
void
controller_expire_batch(struct contracts_controller *controller,
                        int64_t now_ms)
{
    struct lapse lapse = {controller, now_ms};

    controller_end_matching(controller, is_lapsed, &lapse);
}
