#include "contracts/controller.h"

#include <string.h>

enum {
    /* After a change of keeper, the longest time with a cautious share. */
    REBUILD_MS = 2000,
    /* An online contract this old is taken for lost by its holder. */
    ONLINE_MAX_AGE_MS = 900000,
};

/* Makes the table of one server.  Contract numbers begin at a hash of
 * id_seed, or of now_ms where that is 0. */
struct contracts_controller *
contracts_controller_new(const struct contracts_controller_desc *desc)
{
    struct contracts_controller *keeper =
        g_new0(struct contracts_controller, 1);
    uint64_t seed =
        desc->id_seed != 0 ? desc->id_seed : (uint64_t)desc->now_ms;

    keeper->contracts =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    keeper->id_base =
        base_hash(&seed, sizeof(seed), 0) & ~(uint64_t)UINT32_MAX;
    queue_init(&keeper->queue);
    g_queue_init(&keeper->batch_admissions);
    keeper->desc = *desc;
    window_init(&keeper->window, desc->slots, desc->first_token_target_ms,
                desc->inter_token_target_ms);
    reserve_init(&keeper->reserve, desc->now_ms);
    overload_init(&keeper->overload, desc->now_ms);
    stall_init(&keeper->stall);
    if (desc->is_rebuilding) {
        keeper->rebuild_until_ms = desc->now_ms + REBUILD_MS;
    }
    return keeper;
}

/* Frees the table; asks that wait stay unanswered.  NULL is allowed. */
void
contracts_controller_free(struct contracts_controller *keeper)
{
    if (keeper == NULL) {
        return;
    }
    queue_finish(&keeper->queue);
    overload_finish(&keeper->overload);
    g_queue_clear_full(&keeper->batch_admissions, g_free);
    g_hash_table_destroy(keeper->contracts);
    g_free(keeper);
}

/* Takes over changed settings; contracts and asks stay, is_rebuilding and
 * now_ms are not looked at. */
void
contracts_controller_configure(struct contracts_controller *keeper,
                               const struct contracts_controller_desc *desc)
{
    keeper->desc = *desc;
    window_resize(&keeper->window, desc->slots, desc->first_token_target_ms,
                  desc->inter_token_target_ms);
}

/* All holders' reports are in: the table is whole, the caution ends. */
void
contracts_controller_rebuilt(struct contracts_controller *keeper)
{
    keeper->rebuild_until_ms = 0;
}

/* Enters what a holder says it holds.  The contract keeps the number that
 * its former keeper gave it. */
void
contracts_controller_report(struct contracts_controller *keeper,
                            const char *holder, uint64_t contract,
                            enum contracts_class kind, int slots,
                            int64_t now_ms, GArray *out)
{
    struct contract *held = g_hash_table_lookup(keeper->contracts, &contract);

    if (held == NULL && slots > 0) {
        controller_add(keeper, contract, holder, kind, slots, now_ms);
        keeper->stats.reported_slots += slots;
    }
    else if (held != NULL && slots < held->slots) {
        controller_set_slots(keeper, held, MAX(slots, 0));
    }
    controller_serve(keeper, now_ms, out);
}

static gboolean
is_held_by(gpointer key, gpointer value, gpointer holder)
{
    const struct contract *contract = value;

    (void)key;
    return strcmp(contract->holder, holder) == 0;
}

/* A node is dead: its contracts end and its asks are forgotten. */
void
contracts_controller_holder_lost(struct contracts_controller *keeper,
                                 const char *holder, int64_t now_ms,
                                 GArray *out)
{
    char name[CONTRACTS_HOLDER_SIZE];

    g_strlcpy(name, holder, sizeof(name));
    queue_remove_holder(&keeper->queue, name);
    for (GList *l = keeper->batch_admissions.head; l != NULL;) {
        GList *next = l->next;
        struct queue_entry *entry = l->data;
        if (strcmp(entry->ask.holder, name) == 0) {
            g_free(entry);
            g_queue_delete_link(&keeper->batch_admissions, l);
        }
        l = next;
    }
    controller_end_matching(keeper, is_held_by, name);
    controller_serve(keeper, now_ms, out);
}

static void
answer_all(struct contracts_controller *keeper, enum contracts_answer answer,
           int64_t now_ms, GArray *out)
{
    struct queue_entry *entry;

    while ((entry = queue_pop(&keeper->queue, true, now_ms)) != NULL ||
           (entry = g_queue_pop_head(&keeper->batch_admissions)) != NULL) {
        controller_answer(keeper, &entry->ask, answer, NULL, now_ms, out);
        g_free(entry);
    }
}

/* No new grants from now on: waiting asks are answered CONTRACTS_UNAVAILABLE,
 * batch is asked to preempt all, online contracts run to their end. */
void
contracts_controller_drain(struct contracts_controller *keeper, int64_t now_ms,
                           GArray *out)
{
    keeper->is_leaving = true;
    answer_all(keeper, CONTRACTS_UNAVAILABLE, now_ms, out);
    controller_reclaim(keeper, out);
}

/* The server stays after all: grants go on. */
void
contracts_controller_undrain(struct contracts_controller *keeper)
{
    keeper->is_leaving = false;
}

static gboolean
is_lost(gpointer key, gpointer value, gpointer now_ms)
{
    const struct contract *contract = value;

    (void)key;
    return contract->kind != CONTRACTS_BATCH &&
           *(int64_t *)now_ms - contract->granted_ms > ONLINE_MAX_AGE_MS;
}

/* The asks that wait because more is asked for than the server can do.  Asks
 * that wait for batch slots to come back, or for a new keeper's table to be
 * whole, are served soon. */
static int
count_overloaded(const struct contracts_controller *keeper)
{
    if (keeper->rebuild_until_ms != 0 || keeper->held[CONTRACTS_BATCH] > 0) {
        return 0;
    }
    return controller_waiting(keeper);
}

/* Does what is due; to be called every 10 to 50 ms while asks wait, and at
 * least once a second. */
void
contracts_controller_tick(struct contracts_controller *keeper, int64_t now_ms,
                          GArray *out)
{
    struct queue_entry *entry;
    int held = controller_online(keeper) + keeper->held[CONTRACTS_BATCH];

    if (keeper->rebuild_until_ms != 0 && now_ms >= keeper->rebuild_until_ms) {
        contracts_controller_rebuilt(keeper);
    }
    window_tick(&keeper->window, held, now_ms);
    stall_tick(&keeper->stall, now_ms);
    controller_end_matching(keeper, is_lost, &now_ms);
    controller_expire_batch(keeper, now_ms);
    controller_serve(keeper, now_ms, out);
    while ((entry = queue_pop_expired(&keeper->queue, now_ms)) != NULL) {
        controller_answer(keeper, &entry->ask, CONTRACTS_BUSY, NULL, now_ms,
                          out);
        g_free(entry);
    }
    overload_tick(&keeper->overload, count_overloaded(keeper), now_ms);
}
