#include "place/budget.h"

/* Tokens added per second independently of requests, so that an operator with
 * few requests can retry too. */
static const double REFILL_PER_S = 0.5;

/* Initialises a bucket that starts full, with `capacity` tokens. */
void
budget_init(struct budget *budget, double capacity, int64_t now_ms)
{
    budget->capacity = capacity;
    budget->tokens = capacity;
    budget->last_refilled_ms = now_ms;
}

/* Adds a fraction of a token for one request, up to the capacity. */
void
budget_earn(struct budget *budget, double share)
{
    budget->tokens = MIN(budget->tokens + share, budget->capacity);
}

/* Refills the bucket for the time since the last call, then takes a token;
 * returns false if there is less than one. */
bool
budget_take(struct budget *budget, int64_t now_ms)
{
    int64_t passed_ms = MAX(now_ms - budget->last_refilled_ms, 0);

    budget->last_refilled_ms = now_ms;
    budget_earn(budget, REFILL_PER_S * (double)passed_ms / 1000);
    if (budget->tokens < 1) {
        return false;
    }
    budget->tokens -= 1;
    return true;
}
