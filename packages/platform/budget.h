/*
 * budget: how many calls a node may make, as a token bucket.  Time comes in
 * as an argument.  Private to platform.
 */
#ifndef CARDAMOM_PLATFORM_BUDGET_H
#define CARDAMOM_PLATFORM_BUDGET_H

#include "base/base.h"

struct platform_budget {
    int64_t per_s;
    int64_t tokens;     /* in thousandths of a call */
    int64_t updated_ms; /* when tokens was true */
};

void platform_budget_init(struct platform_budget *budget, int64_t per_s,
                          int64_t now_ms);
bool platform_budget_take(struct platform_budget *budget, int64_t now_ms);
bool platform_budget_is_used_up(const struct platform_budget *budget);
int64_t platform_budget_wait_ms(const struct platform_budget *budget);

#endif
