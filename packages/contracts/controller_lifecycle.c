#include "contracts/controller.h"

#include <string.h>

enum {
    /* The longest time with a provisional limit after a change of owner. */
    REBUILD_MS = 2000,
    /* An online contract is ended at this age, since its holder must have
     * lost it. */
    ONLINE_MAX_AGE_MS = 900000,
};

/* Makes the controller of one server.  A hash of id_seed, or of now_ms if that
 * is 0, is the upper half of its contract numbers. */
struct contracts_controller *
contracts_controller_new(const struct contracts_controller_desc *desc)
{
    struct contracts_controller *controller =
        g_new0(struct contracts_controller, 1);
    uint64_t seed =
        desc->id_seed != 0 ? desc->id_seed : (uint64_t)desc->now_ms;

    controller->contracts =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    controller->id_base =
        base_hash(&seed, sizeof(seed), 0) & ~(uint64_t)UINT32_MAX;
    queue_init(&controller->queue);
    g_queue_init(&controller->batch_admissions);
    controller->desc = *desc;
    window_init(&controller->window, desc->slots, desc->first_token_target_ms,
                desc->inter_token_target_ms);
    reserve_init(&controller->reserve, desc->now_ms);
    overload_init(&controller->overload, desc->now_ms);
    stall_init(&controller->stall);
    pace_init(&controller->pace);
    work_tracker_init(&controller->online_work);
    work_tracker_init(&controller->batch_work);
    if (desc->is_rebuilding) {
        controller->rebuild_until_ms = desc->now_ms + REBUILD_MS;
    }
    return controller;
}

/* Frees the controller; waiting admission requests stay unanswered.  NULL is
 * allowed. */
void
contracts_controller_free(struct contracts_controller *controller)
{
    if (controller == NULL) {
        return;
    }
    queue_finish(&controller->queue);
    overload_finish(&controller->overload);
    work_tracker_finish(&controller->online_work);
    work_tracker_finish(&controller->batch_work);
    g_queue_clear_full(&controller->batch_admissions, g_free);
    g_hash_table_destroy(controller->contracts);
    g_free(controller);
}

/* Applies changed settings; contracts and waiting admission requests stay.
 * is_rebuilding, id_seed and now_ms have no effect. */
void
contracts_controller_configure(struct contracts_controller *controller,
                               const struct contracts_controller_desc *desc)
{
    controller->desc = *desc;
    window_resize(&controller->window, desc->slots,
                  desc->first_token_target_ms, desc->inter_token_target_ms);
}

/* See the header. */
void
contracts_controller_set_limit(struct contracts_controller *controller,
                               double per_s, int64_t now_ms, GArray *out)
{
    if (per_s == controller->pace.limit_per_s) {
        return;
    }
    pace_set(&controller->pace, per_s, now_ms);
    controller_serve(controller, now_ms, out);
}

/* Ends the provisional limit, as all holders have reported. */
void
contracts_controller_rebuilt(struct contracts_controller *controller)
{
    controller->rebuild_until_ms = 0;
}

/* Adds a contract that a holder reports, under the number that the former
 * owner assigned.  If the contract is known already, reduces its slots to
 * those reported. */
void
contracts_controller_report(struct contracts_controller *controller,
                            const char *holder, uint64_t contract_id,
                            enum contracts_class kind, int slots,
                            int64_t now_ms, GArray *out)
{
    struct contract *contract =
        g_hash_table_lookup(controller->contracts, &contract_id);

    if (contract == NULL && slots > 0) {
        controller_add(controller, contract_id, holder, kind, slots, now_ms);
        controller->stats.reported_slots += slots;
    }
    else if (contract != NULL && slots < contract->slots) {
        controller_set_slots(controller, contract, MAX(slots, 0));
    }
    controller_serve(controller, now_ms, out);
}

static gboolean
is_held_by(gpointer key, gpointer value, gpointer holder)
{
    const struct contract *contract = value;

    (void)key;
    return strcmp(contract->holder, holder) == 0;
}

/* Ends the contracts of a dead node and drops its admission requests. */
void
contracts_controller_holder_lost(struct contracts_controller *controller,
                                 const char *holder, int64_t now_ms,
                                 GArray *out)
{
    char name[CONTRACTS_HOLDER_SIZE];

    g_strlcpy(name, holder, sizeof(name));
    queue_remove_holder(&controller->queue, name);
    for (GList *l = controller->batch_admissions.head; l != NULL;) {
        GList *next = l->next;
        struct queue_entry *entry = l->data;
        if (strcmp(entry->admission.holder, name) == 0) {
            g_free(entry);
            g_queue_delete_link(&controller->batch_admissions, l);
        }
        l = next;
    }
    controller_end_matching(controller, is_held_by, name);
    controller_serve(controller, now_ms, out);
}

static void
answer_all(struct contracts_controller *controller,
           enum contracts_answer answer, int64_t now_ms, GArray *out)
{
    struct queue_entry *entry;

    while ((entry = queue_pop(&controller->queue, true, now_ms)) != NULL ||
           (entry = g_queue_pop_head(&controller->batch_admissions)) != NULL) {
        controller_answer(controller, &entry->admission, answer, NULL, now_ms,
                          out);
        g_free(entry);
    }
}

/* Stops grants: answers waiting admission requests with CONTRACTS_UNAVAILABLE
 * and preempts all batch slots.  Online contracts run to their end. */
void
contracts_controller_drain(struct contracts_controller *controller,
                           int64_t now_ms, GArray *out)
{
    controller->is_leaving = true;
    answer_all(controller, CONTRACTS_UNAVAILABLE, now_ms, out);
    controller_preempt_batch(controller, now_ms, out);
}

/* Resumes grants, as the server is no longer leaving. */
void
contracts_controller_undrain(struct contracts_controller *controller)
{
    controller->is_leaving = false;
}

static gboolean
is_too_old(gpointer key, gpointer value, gpointer now_ms)
{
    const struct contract *contract = value;

    (void)key;
    return contract->kind != CONTRACTS_BATCH &&
           *(int64_t *)now_ms - contract->granted_ms > ONLINE_MAX_AGE_MS;
}

/* Returns the online admission requests that wait because of overload.  Those
 * that wait for preempted batch slots, or for the end of a rebuild, are served
 * soon and don't count. */
static int
count_overloaded(const struct contracts_controller *controller)
{
    if (controller->rebuild_until_ms != 0 ||
        controller->held[CONTRACTS_BATCH] > 0) {
        return 0;
    }
    return controller_count_eligible(controller);
}

/* See the header.  Call it every 10 to 50 ms while admission requests wait,
 * and at least once a second. */
void
contracts_controller_tick(struct contracts_controller *controller,
                          int64_t now_ms, GArray *out)
{
    struct queue_entry *entry;
    int held =
        controller_online_held(controller) + controller->held[CONTRACTS_BATCH];

    pace_advance(&controller->pace, now_ms);
    if (controller->rebuild_until_ms != 0 &&
        now_ms >= controller->rebuild_until_ms) {
        contracts_controller_rebuilt(controller);
    }
    window_tick(&controller->window, held, now_ms);
    stall_tick(&controller->stall, now_ms);
    controller_end_matching(controller, is_too_old, &now_ms);
    controller_expire_batch(controller, now_ms);
    controller_serve(controller, now_ms, out);
    while ((entry = queue_pop_expired(&controller->queue, now_ms)) != NULL) {
        controller_answer(controller, &entry->admission, CONTRACTS_BUSY, NULL,
                          now_ms, out);
        g_free(entry);
    }
    overload_tick(&controller->overload, count_overloaded(controller), now_ms);
}
