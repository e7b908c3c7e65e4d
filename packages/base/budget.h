/*
 * budget: a number of bytes that several holders share.  Safe to use from
 * several threads.
 *
 *     struct base_budget budget;
 *     base_budget_init(&budget, 48 << 20);
 *     if (base_budget_take(&budget, size)) {
 *         ... holds `size` bytes ...
 *         base_budget_give(&budget, size);
 *     }
 */
#ifndef CARDAMOM_BASE_BUDGET_H
#define CARDAMOM_BASE_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct base_budget {
    int64_t limit;
    int64_t used; /* atomic */
};

void base_budget_init(struct base_budget *budget, int64_t limit);
bool base_budget_take(struct base_budget *budget, int64_t bytes);
void base_budget_add(struct base_budget *budget, int64_t bytes);
void base_budget_give(struct base_budget *budget, int64_t bytes);
int64_t base_budget_used(const struct base_budget *budget);

#ifdef __cplusplus
}
#endif

#endif
