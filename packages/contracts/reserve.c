#include "contracts/reserve.h"

#include <math.h>
#include <string.h>

enum {
    /* The peak halves in this time, but stays at one slot or more for
     * LAST_SLOT_MS after an online request. */
    HALF_LIFE_MS = 2000,
    /* At least one slot is reserved for this long after an online request. */
    LAST_SLOT_MS = 10000,
};

/* Prepares a reserve without demand. */
void
reserve_init(struct reserve *reserve, int64_t now_ms)
{
    memset(reserve, 0, sizeof(*reserve));
    reserve->step = now_ms / RESERVE_STEP_MS;
    reserve->last_decay_ms = now_ms;
    reserve->last_admission_ms = INT64_MIN / 2;
}

static void
advance_steps(struct reserve *reserve, int64_t now_ms)
{
    int64_t step = now_ms / RESERVE_STEP_MS;
    int64_t elapsed_steps = MIN(step - reserve->step, RESERVE_STEPS);

    for (int64_t i = 0; i < elapsed_steps; i++) {
        reserve->min_demand[(step - i) % RESERVE_STEPS] = reserve->demand;
    }
    reserve->step = MAX(step, reserve->step);
}

static void
decay(struct reserve *reserve, int64_t now_ms)
{
    double passed_ms = (double)(now_ms - reserve->last_decay_ms);
    bool is_recent = now_ms - reserve->last_admission_ms <= LAST_SLOT_MS;
    double floor = is_recent ? 1 : 0;

    if (passed_ms <= 0) {
        return;
    }
    reserve->last_decay_ms = now_ms;
    reserve->peak *= exp2(-passed_ms / HALF_LIFE_MS);
    reserve->peak = MAX(reserve->peak, floor);
}

/* Records the current online demand.  is_admission is whether an online
 * admission request has just arrived. */
void
reserve_record(struct reserve *reserve, int demand, bool is_admission,
               int64_t now_ms)
{
    int least = demand;
    int *current;

    advance_steps(reserve, now_ms);
    reserve->demand = demand;
    if (is_admission) {
        reserve->last_admission_ms = now_ms;
    }
    decay(reserve, now_ms);
    current = &reserve->min_demand[reserve->step % RESERVE_STEPS];
    *current = MIN(*current, demand);
    for (int i = 0; i < RESERVE_STEPS; i++) {
        least = MIN(least, reserve->min_demand[i]);
    }
    reserve->peak = MAX(reserve->peak, demand - least);
}

/* Returns the number of slots that batch must leave free. */
int
reserve_size(const struct reserve *reserve)
{
    return (int)(reserve->peak + 0.5);
}
