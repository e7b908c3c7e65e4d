#include "contracts/controller.h"

#include <string.h>

enum {
    /* A batch contract whose term ended may still be running this long. */
    TERM_GRACE_MS = 1000,
};

/* The most that batch may hold, whatever online does. */
static int
batch_cap(const struct contracts_controller *keeper)
{
    return (int)(keeper->desc.batch_share * window_size(&keeper->window));
}

/* Slots to keep free of batch for the next online asks. */
static int
reserved(const struct contracts_controller *keeper)
{
    return keeper->desc.batch_fills ? 0 : reserve_size(&keeper->reserve);
}

/* Slots that batch may take now: what online and its reserve leave.  While
 * slots are asked back there are none, or they would go round in a circle. */
static int
batch_room(const struct contracts_controller *keeper)
{
    int unheld = controller_free_slots(keeper) - reserved(keeper);
    int room = MIN(unheld, batch_cap(keeper) - keeper->held[CONTRACTS_BATCH]);

    if (keeper->is_leaving || keeper->rebuild_until_ms != 0 ||
        keeper->preempting > 0 || controller_waiting(keeper) > 0) {
        return 0;
    }
    return MAX(room, 0);
}

/* When the work that an ask is for is due.  What is late already goes behind
 * all that can still be in time. */
static int64_t
due_of(const struct contracts_admission *ask, int64_t since_ms)
{
    return ask->prefer_ms > 0 ? since_ms + ask->prefer_ms : INT64_MAX;
}

static struct contract *
find_renewed(const struct contracts_controller *keeper,
             const struct contracts_admission *ask)
{
    struct contract *contract =
        ask->renew == 0 ? NULL
                        : g_hash_table_lookup(keeper->contracts, &ask->renew);

    if (contract == NULL || contract->kind != CONTRACTS_BATCH ||
        strcmp(contract->holder, ask->holder) != 0) {
        return NULL;
    }
    return contract;
}

/* Grows a contract into the room there is, or shrinks it, to what its holder
 * now asks for; false when nothing would be left to run with, or when the
 * holder wants more, there is no room, and the ask may still wait for some. */
static bool
renew(struct contracts_controller *keeper, struct contract *contract,
      const struct contracts_admission *ask, bool may_wait, int64_t now_ms)
{
    int kept = contract->slots - contract->preempting;
    int more = CLAMP(ask->slots - kept, 0, batch_room(keeper));

    if (kept + more == 0) {
        return false;
    }
    if (may_wait && more == 0 && ask->slots > kept) {
        /* The term runs on meanwhile; the answer renews the holder's. */
        contract->expires_ms =
            MAX(contract->expires_ms, now_ms + ask->wait_ms);
        return false;
    }
    if (ask->slots < kept) {
        controller_set_slots(keeper, contract, ask->slots);
    }
    contract->slots += more;
    keeper->held[CONTRACTS_BATCH] += more;
    contract->expires_ms = now_ms + ask->term_ms;
    return true;
}

/* Grants what there is, up to what is asked; false when that is nothing. */
static bool
grant_batch(struct contracts_controller *keeper,
            const struct contracts_admission *ask, bool may_wait,
            int64_t now_ms, GArray *out)
{
    struct contract *contract = find_renewed(keeper, ask);
    int room = batch_room(keeper);

    if (contract != NULL) {
        if (!renew(keeper, contract, ask, may_wait, now_ms)) {
            return false;
        }
    }
    else if (room == 0) {
        return false;
    }
    else {
        contract =
            controller_add(keeper, controller_next_id(keeper), ask->holder,
                           CONTRACTS_BATCH, MIN(room, ask->slots), now_ms);
        contract->expires_ms = now_ms + ask->term_ms;
        contract->due_ms = due_of(ask, now_ms);
    }
    controller_answer(keeper, ask, CONTRACTS_GRANTED, contract, now_ms, out);
    return true;
}

/* Earliest due first, equal ones in their order. */
static void
push_by_due(GQueue *queue, struct queue_entry *entry)
{
    int64_t due_ms = due_of(&entry->ask, entry->since_ms);
    GList *at = queue->tail;

    while (at != NULL) {
        const struct queue_entry *other = at->data;
        if (due_of(&other->ask, other->since_ms) <= due_ms) {
            break;
        }
        at = at->prev;
    }
    if (at == NULL) {
        g_queue_push_head(queue, entry);
    }
    else {
        g_queue_insert_after(queue, at, entry);
    }
}

/* Answers a batch ask now or, within its wait_ms, when slots become free. */
void
controller_admit_batch(struct contracts_controller *keeper,
                       const struct contracts_admission *ask, int64_t now_ms,
                       GArray *out)
{
    struct contracts_admission own = *ask;
    struct queue_entry *entry;

    own.slots = MAX(ask->slots, 1);
    own.term_ms = ask->term_ms > 0 ? ask->term_ms : CONTROLLER_DEFAULT_TERM_MS;
    if (grant_batch(keeper, &own, ask->wait_ms > 0, now_ms, out)) {
        return;
    }
    if (ask->wait_ms <= 0) {
        controller_answer(keeper, ask, CONTRACTS_BUSY, NULL, now_ms, out);
        return;
    }
    entry = g_new0(struct queue_entry, 1);
    entry->ask = own;
    entry->since_ms = now_ms;
    entry->until_ms = now_ms + ask->wait_ms;
    push_by_due(&keeper->batch_admissions, entry);
}

/* Grants waiting batch asks, those due first before others, and answers those
 * whose wait is over. */
void
controller_serve_batch(struct contracts_controller *keeper, int64_t now_ms,
                       GArray *out)
{
    for (GList *l = keeper->batch_admissions.head; l != NULL;) {
        GList *next = l->next;
        struct queue_entry *entry = l->data;
        bool may_wait = entry->until_ms > now_ms;
        bool is_done = grant_batch(keeper, &entry->ask, may_wait, now_ms, out);
        if (!is_done && !may_wait) {
            controller_answer(keeper, &entry->ask, CONTRACTS_BUSY, NULL,
                              now_ms, out);
            is_done = true;
        }
        if (is_done) {
            g_free(entry);
            g_queue_delete_link(&keeper->batch_admissions, l);
        }
        l = next;
    }
}

/* Whether slots are asked back from `a` rather than from `b`: from the one
 * with more of them, then from the one due later. */
static bool
yields_before(const struct contract *a, const struct contract *b)
{
    int slots_a = a->slots - a->preempting;
    int slots_b = b->slots - b->preempting;

    if (slots_a != slots_b) {
        return slots_a > slots_b;
    }
    if (a->due_ms != b->due_ms) {
        return a->due_ms > b->due_ms;
    }
    return a->id < b->id;
}

/* The batch contract to ask for slots next. */
static struct contract *
next_to_preempt(const struct contracts_controller *keeper)
{
    struct contract *best = NULL;
    struct contract *contract;
    GHashTableIter iter;

    g_hash_table_iter_init(&iter, keeper->contracts);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&contract)) {
        if (contract->kind == CONTRACTS_BATCH &&
            contract->slots > contract->preempting &&
            (best == NULL || yields_before(contract, best))) {
            best = contract;
        }
    }
    return best;
}

static void
preempt_contract(struct contracts_controller *keeper,
                 struct contract *contract, int slots, GArray *out)
{
    struct contracts_event event;

    memset(&event, 0, sizeof(event));
    event.kind = CONTRACTS_PREEMPT;
    g_strlcpy(event.holder, contract->holder, sizeof(event.holder));
    event.contract = contract->id;
    event.slots = slots;
    contract->preempting += slots;
    keeper->preempting += slots;
    keeper->stats.preemptions += slots;
    g_array_append_val(out, event);
}

/* Slots that batch holds beyond what it may keep. */
static int
slots_owed(const struct contracts_controller *keeper)
{
    int batch = keeper->held[CONTRACTS_BATCH];
    int room = window_size(&keeper->window) - controller_online(keeper) -
               controller_waiting(keeper) - reserved(keeper);

    if (keeper->is_leaving) {
        return batch;
    }
    return CLAMP(batch - MIN(room, batch_cap(keeper)), 0, batch);
}

/* Asks batch to give back what online needs, from the largest contracts,
 * beyond what has been asked back already.  A lost message is not repeated:
 * the contract's term bounds the harm. */
void
controller_reclaim(struct contracts_controller *keeper, GArray *out)
{
    int owed = slots_owed(keeper) - keeper->preempting;

    while (owed > 0) {
        struct contract *contract = next_to_preempt(keeper);
        if (contract == NULL) {
            break;
        }
        int kept = contract->slots - contract->preempting;
        int slots = MIN(owed, (kept + 1) / 2);
        preempt_contract(keeper, contract, slots, out);
        owed -= slots;
    }
}

struct lapse {
    struct contracts_controller *keeper;
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
    lapse->keeper->stats.lapsed_slots += contract->slots;
    return TRUE;
}

/* Frees batch contracts whose term ended without renewal, after a grace in
 * which the holder winds down.  Should it run on, the server has more than
 * its window for a moment; stats.lapsed_slots counts what that may be. */
void
controller_expire_batch(struct contracts_controller *keeper, int64_t now_ms)
{
    struct lapse lapse = {keeper, now_ms};

    controller_end_matching(keeper, is_lapsed, &lapse);
}
