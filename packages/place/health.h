/*
 * health: whether a backend server is much slower than its peers or fails,
 * and how it returns.
 *
 *     normal -> suspect (one slow sign) -> ejected (the median is slow)
 *            -> returning (a growing share of its requests) -> normal
 *
 * A server that fails is backed off in the same way.
 */
#ifndef CARDAMOM_PLACE_HEALTH_H
#define CARDAMOM_PLACE_HEALTH_H

#include "contracts/contracts.h"

enum { HEALTH_SAMPLES = 5 };

/* The last few times of one kind. */
struct health_signal {
    int64_t us[HEALTH_SAMPLES];
    int64_t at_ms[HEALTH_SAMPLES];
    int next;
};

/* What the peers of a server take; 0: not known. */
struct health_peers {
    int64_t first_us;
    int64_t inter_us;
    bool may_eject; /* not too many of the deployment are out already */
};

struct health {
    struct health_signal first;
    struct health_signal inter;
    int64_t suspect_until_ms;
    int64_t ejected_until_ms;
    int64_t ejected_since_ms;
    int n_ejections; /* in a row: each is longer than the last */
    int signs;       /* of slowness, in a row */
    int failures;    /* in a row */
};

int64_t health_median(const struct health_signal *signal, int64_t now_ms);
void health_outcome(struct health *health,
                    const struct contracts_outcome *outcome,
                    const struct health_peers *peers, int64_t now_ms);
void health_waited(struct health *health, int64_t waited_us,
                   const struct health_peers *peers, int64_t now_ms);
bool health_is_ejected(const struct health *health, int64_t now_ms);
/* The share of its usual requests that the server should get, 0 to 1. */
double health_share(const struct health *health, int64_t now_ms);

#endif
