#include "front/front_private.h"

/* Upper bounds of the histogram of first-token times. */
static const int BUCKETS_MS[FRONT_N_BUCKETS] = {
    5, 10, 25, 50, 100, 200, 380, 500, 1000, 2000, 5000, 10000};

/* Looks up the counters once, because the task updates them often. */
void
front_metrics_init(struct front_metrics *metrics,
                   struct base_counters *counters)
{
    char name[64];

    metrics->counters = counters;
    metrics->tokens = base_counter(counters, "tokens_relayed_total");
    metrics->retries = base_counter(counters, "retries_total");
    metrics->hedges = base_counter(counters, "hedges_total");
    metrics->hedge_wins = base_counter(counters, "hedge_wins_total");
    metrics->resumes = base_counter(counters, "resumes_total");
    metrics->identity_faults = base_counter(counters, "identity_faults_total");
    metrics->open_requests = base_gauge(counters, "open_requests");
    metrics->open_streams = base_gauge(counters, "open_streams");
    metrics->admission_requests =
        base_counter(counters, "contract_asks_total");
    metrics->returned_requests =
        base_counter(counters, "returned_requests_total");
    metrics->first_token_count = base_counter(counters, "first_token_count");
    metrics->first_token_sum_us = base_counter(counters, "first_token_sum_us");
    for (int i = 0; i < FRONT_N_BUCKETS; i++) {
        g_snprintf(name, sizeof(name), "first_token_ms_bucket{le=\"%d\"}",
                   BUCKETS_MS[i]);
        metrics->first_token_buckets[i] = base_counter(counters, name);
    }
}

/* Records the time from the arrival of a request to its first token. */
void
front_metrics_first_token(struct front_metrics *metrics,
                          int64_t since_start_us)
{
    base_counter_add(metrics->first_token_count, 1);
    base_counter_add(metrics->first_token_sum_us, since_start_us);
    for (int i = 0; i < FRONT_N_BUCKETS; i++) {
        if (since_start_us <= (int64_t)BUCKETS_MS[i] * 1000) {
            base_counter_add(metrics->first_token_buckets[i], 1);
        }
    }
}
