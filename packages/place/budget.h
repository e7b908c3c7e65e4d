/*
 * budget: a token bucket that limits retries or hedges to a ratio of the
 * requests.  budget_earn adds a fraction of a token for each request and
 * budget_take spends one token.  The bucket starts full.
 */
#ifndef CARDAMOM_PLACE_BUDGET_H
#define CARDAMOM_PLACE_BUDGET_H

#include "base/base.h"

struct budget {
    double tokens;
    double capacity;
    int64_t last_refilled_ms; /* when it was last refilled by time */
};

void budget_init(struct budget *budget, double capacity, int64_t now_ms);
void budget_earn(struct budget *budget, double share);
bool budget_take(struct budget *budget, int64_t now_ms);

#endif
