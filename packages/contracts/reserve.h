/*
 * reserve: the slots kept free of batch for online's next burst.  It follows
 * the decayed peak of how much the online demand grew within one preempt time,
 * the time in which batch gives slots back.
 */
#ifndef CARDAMOM_CONTRACTS_RESERVE_H
#define CARDAMOM_CONTRACTS_RESERVE_H

#include "contracts/contracts.h"

enum { RESERVE_STEPS = 10, RESERVE_STEP_MS = 10 };

struct reserve {
    double peak;
    int lowest[RESERVE_STEPS]; /* least demand in each of the last steps */
    int64_t step;
    int demand;
    int64_t last_admission_ms; /* the last online ask */
    int64_t decayed_ms;
};

void reserve_init(struct reserve *reserve, int64_t now_ms);
void reserve_record(struct reserve *reserve, int demand, bool is_admission,
                    int64_t now_ms);
int reserve_size(const struct reserve *reserve);

#endif
