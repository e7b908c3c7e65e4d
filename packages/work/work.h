/*
 * work: what requests cost servers, and how much work servers still have.
 * Work is counted in ms of a slot, from a server's start on a request to its
 * end, at a server of average speed.
 *
 * An estimator learns the work of requests from those that have ended.  It
 * belongs to the task that sends the requests:
 *
 *     work_estimator_init(&estimator);
 *     key = (struct work_key){"deployment", "route", 400, 128};
 *     work_ms = work_estimate(&estimator, &key, now_ms);  0: unknown
 *     ... when the request has ended:
 *     work_observe(&estimator, &key, elapsed_ms, now_ms);
 *     work_estimator_finish(&estimator);
 *
 * A tracker keeps the running requests of one server and learns its speed.  It
 * belongs to the server's owner:
 *
 *     work_tracker_init(&tracker);
 *     work_tracker_start(&tracker, id, work_ms, now_ms);
 *     left_ms = work_tracker_remaining(&tracker, now_ms);
 *     work_tracker_end(&tracker, id, true, now_ms);
 *     work_tracker_finish(&tracker);
 *
 * The package does no input or output and reads no clock.
 */
#ifndef CARDAMOM_WORK_H
#define CARDAMOM_WORK_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
    WORK_MIN_SAMPLES = 8, /* requests seen before a mean is used */
    WORK_MAX_MS = 3600000,
};

/* What is known of a request before it runs. */
struct work_key {
    const char *deployment; /* names */
    const char *route;
    int input_tokens;  /* 0: unknown */
    int output_tokens; /* upper limit; 0: unknown */
};

/* Mean and mean deviation of the work of requests with the same key. */
struct work_mean {
    uint64_t key;
    int count; /* samples, at most those that the mean covers */
    double mean;
    double deviation;
    int64_t used_ms;
};

struct work_estimator {
    GHashTable *means; /* key to struct work_mean */
    int64_t swept_ms;
};

void work_estimator_init(struct work_estimator *estimator);
void work_estimator_finish(struct work_estimator *estimator);
double work_estimate(struct work_estimator *estimator,
                     const struct work_key *key, int64_t now_ms);
double work_deviation(struct work_estimator *estimator,
                      const struct work_key *key, int64_t now_ms);
void work_observe(struct work_estimator *estimator, const struct work_key *key,
                  double value, int64_t now_ms);
int work_estimator_size(const struct work_estimator *estimator);

struct work_tracker {
    GHashTable *running; /* id to struct work_running */
    double actual_ms;    /* mean slot time of ended requests */
    double expected_ms;  /* mean of what was expected of them */
};

void work_tracker_init(struct work_tracker *tracker);
void work_tracker_finish(struct work_tracker *tracker);
void work_tracker_start(struct work_tracker *tracker, uint64_t id,
                        int64_t work_ms, int64_t started_ms);
void work_tracker_end(struct work_tracker *tracker, uint64_t id,
                      bool is_sample, int64_t now_ms);
int work_tracker_count(const struct work_tracker *tracker);
double work_tracker_speed(const struct work_tracker *tracker);
double work_tracker_left(const struct work_tracker *tracker, uint64_t id,
                         int64_t now_ms);
double work_tracker_next_end(const struct work_tracker *tracker,
                             int64_t now_ms);
double work_tracker_remaining(const struct work_tracker *tracker,
                              int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
