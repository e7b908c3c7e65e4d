/*
 * window: how many requests a server should run at once.  The limit falls
 * when the measured first-token or inter-token time exceeds the deployment's
 * target, unless the server is as slow without load, and rises again while
 * the targets are met.  The server's load report, which arrives late, only
 * sets a ceiling for some time.
 */
#ifndef CARDAMOM_CONTRACTS_WINDOW_H
#define CARDAMOM_CONTRACTS_WINDOW_H

#include "contracts/contracts.h"

enum { WINDOW_HISTORY = 64, WINDOW_HISTORY_STEP_MS = 100 };

/* A measured time in us: its recent mean and its minimum without load. */
struct window_latency {
    double recent;
    double minimum;
};

struct window {
    int slots;
    double first_target_us; /* 0: no target */
    double inter_target_us;
    double limit; /* number of requests, before the ceiling */
    struct window_latency first;
    struct window_latency inter;
    int n_samples;    /* since the last adjustment */
    bool has_failure; /* since the last adjustment */
    int64_t last_adjusted_ms;
    int ceiling; /* from the server's load report */
    int64_t ceiling_until_ms;
    int held_history[WINDOW_HISTORY]; /* most slots held in each step */
    int64_t held_history_step;        /* number of the current step */
};

void window_init(struct window *window, int slots, double first_target_ms,
                 double inter_target_ms);
void window_resize(struct window *window, int slots, double first_target_ms,
                   double inter_target_ms);
void window_sample(struct window *window,
                   const struct contracts_outcome *outcome);
void window_report(struct window *window, int running, int queued,
                   int64_t age_ms, int64_t now_ms);
void window_tick(struct window *window, int held, int64_t now_ms);
int window_size(const struct window *window);

#endif
