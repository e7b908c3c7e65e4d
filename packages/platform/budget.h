/*
 * budget: a token bucket that limits the rate of a node's calls to the
 * key-value service.  The caller passes the time.  Private to platform.
 */
#ifndef CARDAMOM_PLATFORM_BUDGET_H
#define CARDAMOM_PLATFORM_BUDGET_H

#include "base/base.h"

struct platform_budget {
    int64_t per_s;      /* calls allowed per second */
    int64_t tokens;     /* one call takes 1,000 */
    int64_t updated_ms; /* time of the last refill */
};

void platform_budget_init(struct platform_budget *budget, int64_t per_s,
                          int64_t now_ms);
bool platform_budget_take(struct platform_budget *budget, int64_t now_ms);
bool platform_budget_is_used_up(const struct platform_budget *budget);
int64_t platform_budget_wait_ms(const struct platform_budget *budget);

#endif
