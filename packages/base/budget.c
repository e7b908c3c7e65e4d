#include "base/budget.h"

/* Prepares a budget of which nothing is taken. */
void
base_budget_init(struct base_budget *budget, int64_t limit)
{
    budget->limit = limit;
    budget->used = 0;
}

/* Takes bytes if they are left; returns whether they were taken.  A holder
 * that needs more than the whole budget gets it while nobody else holds any,
 * so that nothing waits for ever. */
bool
base_budget_take(struct base_budget *budget, int64_t bytes)
{
    int64_t used = __atomic_load_n(&budget->used, __ATOMIC_RELAXED);

    do {
        if (used > 0 && used + bytes > budget->limit) {
            return false;
        }
    } while (!__atomic_compare_exchange_n(&budget->used, &used, used + bytes,
                                          true, __ATOMIC_RELAXED,
                                          __ATOMIC_RELAXED));
    return true;
}

/* Takes bytes that are held already, whether or not they are left. */
void
base_budget_add(struct base_budget *budget, int64_t bytes)
{
    __atomic_add_fetch(&budget->used, bytes, __ATOMIC_RELAXED);
}

/* Gives back bytes that were taken. */
void
base_budget_give(struct base_budget *budget, int64_t bytes)
{
    __atomic_sub_fetch(&budget->used, bytes, __ATOMIC_RELAXED);
}

/* Returns the bytes that are taken. */
int64_t
base_budget_used(const struct base_budget *budget)
{
    return __atomic_load_n(&budget->used, __ATOMIC_RELAXED);
}
