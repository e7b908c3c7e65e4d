/*
 * reserve: the number of slots that batch leaves free for the next burst of
 * online requests.  Demand is the number of online contracts held plus the
 * requests that wait.  The reserve is the largest recent growth of demand
 * within RESERVE_STEPS steps, and decays with time.  RESERVE_STEPS steps are
 * the time in which preempted batch slots are released.
 */
#ifndef CARDAMOM_CONTRACTS_RESERVE_H
#define CARDAMOM_CONTRACTS_RESERVE_H

#include "contracts/contracts.h"

enum { RESERVE_STEPS = 10, RESERVE_STEP_MS = 10 };

struct reserve {
    double peak;                   /* slots */
    int min_demand[RESERVE_STEPS]; /* least demand in each recent step */
    int64_t step;                  /* number of the current step */
    int demand;
    int64_t last_admission_ms; /* time of the last online request */
    int64_t last_decay_ms;
};

void reserve_init(struct reserve *reserve, int64_t now_ms);
void reserve_record(struct reserve *reserve, int demand, bool is_admission,
                    int64_t now_ms);
int reserve_size(const struct reserve *reserve);

#endif
