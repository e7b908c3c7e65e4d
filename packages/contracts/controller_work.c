#include "contracts/controller.h"

/* What is left of the work of a server's contracts.  One of unknown work
 * counts as half done, since nothing tells when the server began with it. */

/* Returns the tracker of the contracts of a class. */
struct work_tracker *
controller_work(struct contracts_controller *controller,
                enum contracts_class kind)
{
    return kind == CONTRACTS_BATCH ? &controller->batch_work
                                   : &controller->online_work;
}

/* See the header. */
void
contracts_controller_set_work(struct contracts_controller *controller,
                              uint64_t contract_id, int64_t work_ms,
                              int64_t elapsed_ms, int64_t now_ms)
{
    const struct contract *contract =
        g_hash_table_lookup(controller->contracts, &contract_id);

    if (contract != NULL) {
        work_tracker_start(controller_work(controller, contract->kind),
                           contract_id, work_ms, now_ms - elapsed_ms);
    }
}

/* See the header. */
double
contracts_controller_speed(const struct contracts_controller *controller)
{
    return work_tracker_speed(&controller->online_work);
}

/* Returns how many online contracts are of unknown work. */
static int
count_unknown(const struct contracts_controller *controller)
{
    return MAX(controller_online_held(controller) -
                   work_tracker_count(&controller->online_work),
               0);
}

/* See the header. */
double
contracts_controller_remaining(const struct contracts_controller *controller,
                               double unknown_ms, int64_t now_ms)
{
    const struct work_tracker *work = &controller->online_work;
    double left_ms =
        work_tracker_remaining(work, now_ms) +
        count_unknown(controller) * unknown_ms / 2 / work_tracker_speed(work);

    return left_ms / MAX(controller->desc.slots, 1);
}

/* See the header. */
double
contracts_controller_next_end(const struct contracts_controller *controller,
                              double unknown_ms, int64_t now_ms)
{
    const struct work_tracker *work = &controller->online_work;
    double end_ms = work_tracker_next_end(work, now_ms);

    if (count_unknown(controller) > 0) {
        end_ms = MIN(end_ms, unknown_ms / 2 / work_tracker_speed(work));
    }
    return end_ms;
}
