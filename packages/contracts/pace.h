/*
 * pace: keeps the requests that an owner grants to a server to the rate that
 * the server named.  Tokens accrue at that rate, up to a small burst, and each
 * grant takes one.
 *
 *     pace_init(&pace);
 *     pace_set(&pace, 2.5, now_ms);
 *     pace_advance(&pace, now_ms);
 *     if (pace_room(&pace) > 0) {
 *         pace_take(&pace, 1);
 *     }
 *
 * A pace starts without tokens, since the server's previous owner may just
 * have used them up.
 */
#ifndef CARDAMOM_CONTRACTS_PACE_H
#define CARDAMOM_CONTRACTS_PACE_H

#include "contracts/contracts.h"

struct pace {
    double limit_per_s; /* as named; INFINITY: no limit */
    double tokens;      /* below 0: granted in advance */
    int64_t advanced_ms;
};

void pace_init(struct pace *pace);
void pace_set(struct pace *pace, double limit_per_s, int64_t now_ms);
void pace_advance(struct pace *pace, int64_t now_ms);
bool pace_is_limited(const struct pace *pace);
double pace_rate(const struct pace *pace);
int pace_room(const struct pace *pace);
int pace_batch_room(const struct pace *pace);
void pace_take(struct pace *pace, int count);

#endif
