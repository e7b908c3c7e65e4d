#include "front/exchange.h"

enum { STATUS_CLASS = 100, SUCCESS = 2 };

/* Prepares the estimator.  Its counters exist only if it is in use. */
void
front_cost_init(struct front *front, bool is_enabled,
                struct base_counters *counters)
{
    struct front_cost *cost = &front->cost;

    cost->is_enabled = is_enabled;
    work_estimator_init(&cost->estimator);
    if (is_enabled) {
        cost->n_known = base_counter(counters, "work_estimates_total");
        cost->n_unknown = base_counter(counters, "work_unknown_total");
    }
}

/* Frees the estimator. */
void
front_cost_finish(struct front *front)
{
    work_estimator_finish(&front->cost.estimator);
}

/* Fills the key of a request; returns false if its deployment has been removed
 * or it has no route. */
static bool
fill_key(const struct exchange *exchange, struct work_key *out)
{
    int deployment = exchange->choice.deployment;

    if (deployment == WORLD_NONE || exchange->route[0] == '\0') {
        return false;
    }
    *out = (struct work_key){
        .deployment = exchange->world->deployments[deployment].name,
        .route = exchange->route,
        .input_tokens = exchange->input_tokens,
        .output_tokens = exchange->output_tokens,
    };
    return true;
}

/* Returns the expected work of a request for its admission; 0: unknown, or the
 * node does not route by cost. */
int64_t
exchange_expected_work(struct exchange *exchange)
{
    struct front_cost *cost = &exchange->front->cost;
    int64_t now_ms = base_clock_ms();
    struct work_key key;
    double work_ms;

    if (!cost->is_enabled || !fill_key(exchange, &key)) {
        return 0;
    }
    work_ms = work_estimate(&cost->estimator, &key, now_ms);
    base_counter_add(work_ms > 0 ? cost->n_known : cost->n_unknown, 1);
    base_log(BASE_LOG_DEBUG, "front.estimated",
             "id=%s route=%s input=%d output=%d work_ms=%.0f "
             "deviation_ms=%.0f",
             exchange->request->id, key.route, key.input_tokens,
             key.output_tokens, work_ms,
             work_deviation(&cost->estimator, &key, now_ms));
    return work_ms > 0 ? MAX((int64_t)work_ms, 1) : 0;
}

/* Learns from the end of an attempt at now_us.  Only complete successful
 * responses tell the work of a request; resumed ones tell a part of it. */
void
attempt_learn_work(const struct attempt *attempt, int64_t now_us)
{
    const struct exchange *exchange = attempt->exchange;
    struct front_cost *cost = &attempt->front->cost;
    struct work_key key;

    if (cost->is_enabled && attempt->is_complete && !attempt->is_resumed &&
        attempt->status / STATUS_CLASS == SUCCESS &&
        fill_key(exchange, &key)) {
        work_observe(&cost->estimator, &key,
                     (double)(now_us - attempt->sent_us) / 1000,
                     now_us / 1000);
    }
}
