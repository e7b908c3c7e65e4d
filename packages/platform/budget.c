#include "platform/budget.h"

enum { TOKENS_PER_CALL = 1000 };

/* Starts with a full bucket, which allows the calls of one second at once. */
void
platform_budget_init(struct platform_budget *budget, int64_t per_s,
                     int64_t now_ms)
{
    budget->per_s = per_s;
    budget->tokens = per_s * TOKENS_PER_CALL;
    budget->updated_ms = now_ms;
}

/* Takes the tokens of one call; returns false if there are too few. */
bool
platform_budget_take(struct platform_budget *budget, int64_t now_ms)
{
    int64_t passed_ms = MAX(now_ms - budget->updated_ms, 0);

    /* At per_s calls per second, per_s tokens are added every millisecond. */
    budget->tokens = MIN(budget->per_s * TOKENS_PER_CALL,
                         budget->tokens + passed_ms * budget->per_s);
    budget->updated_ms = MAX(budget->updated_ms, now_ms);
    if (platform_budget_is_used_up(budget)) {
        return false;
    }
    budget->tokens -= TOKENS_PER_CALL;
    return true;
}

/* Returns whether the last platform_budget_take left too few tokens for a
 * call. */
bool
platform_budget_is_used_up(const struct platform_budget *budget)
{
    return budget->tokens < TOKENS_PER_CALL;
}

/* Returns the milliseconds from the last platform_budget_take until there are
 * enough tokens for a call. */
int64_t
platform_budget_wait_ms(const struct platform_budget *budget)
{
    int64_t missing = TOKENS_PER_CALL - budget->tokens;

    if (missing <= 0) {
        return 0;
    }
    return (missing + budget->per_s - 1) / budget->per_s;
}
