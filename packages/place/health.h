/*
 * health: outlier detection for one backend server.  It compares the server's
 * latency with the median of its peers (the servers of the same deployment)
 * and counts failures, and tells which share of its requests the server
 * should get (health_share).
 *
 *     normal -> suspect (a slow request: no new requests for a short time)
 *            -> ejected (several slow requests, or a slow median)
 *            -> recovering (a growing share of its requests) -> normal
 *
 * Repeated failures eject a server in the same way.  Each ejection in a row
 * lasts twice as long as the one before, up to a limit.
 */
#ifndef CARDAMOM_PLACE_HEALTH_H
#define CARDAMOM_PLACE_HEALTH_H

#include "contracts/contracts.h"

enum { HEALTH_SAMPLES = 5 };

/* A ring of the last latency samples of one kind. */
struct health_samples {
    int64_t us[HEALTH_SAMPLES]; /* 0: unused */
    int64_t at_ms[HEALTH_SAMPLES];
    int next;
};

/* Median latencies over the servers of the deployment; 0: not known. */
struct health_peers {
    int64_t first_us; /* time to first token */
    int64_t inter_us; /* time between tokens */
    bool may_eject;   /* one more server of the deployment may be ejected */
};

struct health {
    struct health_samples first; /* times to first token */
    struct health_samples inter; /* times between tokens */
    int64_t suspect_until_ms;
    int64_t ejected_until_ms;
    int64_t ejected_since_ms;
    int n_ejections; /* consecutive ejections */
    int n_slow;      /* consecutive slow requests */
    int n_failures;  /* consecutive failures */
};

/* Returns the median of the recent samples in us; 0 if there are too few. */
int64_t health_median(const struct health_samples *samples, int64_t now_ms);
/* Records the result of an attempt and updates the state.  Results that
 * arrive during an ejection are ignored. */
void health_report_outcome(struct health *health,
                           const struct contracts_outcome *outcome,
                           const struct health_peers *peers, int64_t now_ms);
/* Records that a request has waited waited_us and has no first token yet. */
void health_report_wait(struct health *health, int64_t waited_us,
                        const struct health_peers *peers, int64_t now_ms);
/* Returns whether the server is ejected and gets no requests. */
bool health_is_ejected(const struct health *health, int64_t now_ms);
/* Returns the share of requests that the server should get, from 0 to 1, where
 * 1 is what it gets when healthy. */
double health_share(const struct health *health, int64_t now_ms);

#endif
