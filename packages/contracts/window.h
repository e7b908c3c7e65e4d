/*
 * window: how many requests a server should run at once.  It falls when the
 * measured first-token or inter-token time passes the deployment's target
 * and this is not simply the server's own no-load speed, and it rises again
 * while all is well.  The server's late load report only lowers a ceiling.
 */
#ifndef CARDAMOM_CONTRACTS_WINDOW_H
#define CARDAMOM_CONTRACTS_WINDOW_H

#include "contracts/contracts.h"

enum { WINDOW_HISTORY = 64, WINDOW_HISTORY_STEP_MS = 100 };

/* One measured time: its recent mean and its no-load minimum, in us. */
struct window_latency {
    double recent;
    double minimum;
};

struct window {
    int slots;
    double first_target_us; /* 0: no target */
    double inter_target_us;
    double limit;
    struct window_latency first;
    struct window_latency inter;
    int n_samples;    /* since the last adjustment */
    bool has_failure; /* since the last adjustment */
    int64_t adjusted_ms;
    int ceiling; /* from the server's report */
    int64_t ceiling_until_ms;
    int held_history[WINDOW_HISTORY]; /* most slots held in each step */
    int64_t held_history_step;
};

void window_init(struct window *window, int slots, double first_target_ms,
                 double inter_target_ms);
void window_resize(struct window *window, int slots, double first_target_ms,
                   double inter_target_ms);
void window_sample(struct window *window,
                   const struct contracts_outcome *outcome);
void window_report(struct window *window, int running, int queued,
                   int64_t age_ms, int64_t now_ms);
void window_tick(struct window *window, int held_history, int64_t now_ms);
int window_size(const struct window *window);

#endif
