#include "front/exchange.h"

/* Returns the only active attempt if it is running and no attempt has won
 * yet, else NULL. */
static struct attempt *
find_only_running_attempt(const struct exchange *exchange)
{
    struct attempt *only = exchange->active[0] != NULL ? exchange->active[0]
                                                       : exchange->active[1];

    if (only == NULL || exchange->winner != NULL ||
        (exchange->active[0] != NULL && exchange->active[1] != NULL) ||
        only->state != ATTEMPT_RUNNING) {
        return NULL;
    }
    return only;
}

/* Reports to the policy and to the server's owner that a first token is late.
 * The outcome of the attempt, with the full delay, follows much later. */
static void
report_late(struct exchange *exchange, struct attempt *attempt)
{
    struct front *front = exchange->front;
    struct contracts_outcome late = {
        .first_token_us = base_clock_us() - attempt->sent_us,
    };

    exchange_sync_world(exchange);
    if (attempt->is_late_reported || attempt->server == WORLD_NONE) {
        return;
    }
    attempt->is_late_reported = true;
    place_report_wait(front->place, attempt->server, late.first_token_us,
                      base_clock_ms());
    if (attempt->contract != 0 && !attempt->is_local_share) {
        control_shrink(front->control, attempt->contract, 1, &late);
    }
}

/* Reports the first token to the policy, and to the server's owner if it was
 * reported as late.  The outcome is only reported after the last token. */
void
exchange_report_first_token(struct exchange *exchange, struct attempt *attempt)
{
    struct front *front = exchange->front;
    struct contracts_outcome arrived = {
        .first_token_us = attempt->first_token_us,
        .tokens = 1,
    };

    exchange_sync_world(exchange);
    if (attempt->server == WORLD_NONE) {
        return;
    }
    place_report_first_token(front->place, attempt->server,
                             arrived.first_token_us, base_clock_ms());
    attempt->is_first_token_reported = true;
    if (attempt->is_late_reported && attempt->contract != 0 &&
        !attempt->is_local_share) {
        control_shrink(front->control, attempt->contract, 1, &arrived);
    }
}

static void
start_second_attempt(struct exchange *exchange, const struct attempt *first)
{
    int slot = exchange->active[0] == NULL ? 0 : 1;

    exchange_note_tried(exchange, first->server);
    attempt_start(exchange, slot == 1);
}

static void on_hedge_timer(lws_sorted_usec_list_t *timer);

/* Schedules the timer for the hedge delay, or for the silence limit if the
 * request was hedged already or has no shorter hedge delay. */
static void
schedule_hedge(struct exchange *exchange, const struct attempt *attempt)
{
    int64_t waited_ms = (base_clock_us() - attempt->sent_us) / 1000;
    int64_t silence_ms = exchange->world->limits.silence_ms;
    int64_t hedge_ms =
        exchange->was_hedged
            ? -1
            : place_hedge_after_ms(exchange->front->place, &exchange->choice);
    int64_t next_ms =
        hedge_ms >= 0 && hedge_ms < silence_ms ? hedge_ms : silence_ms;

    lws_sul_schedule(exchange->front->lws, 0, &exchange->hedge_timer,
                     on_hedge_timer,
                     MAX(next_ms - waited_ms, 1) * LWS_US_PER_MS);
}

/* The first token is late.  After the policy's hedge delay a hedge starts, if
 * the hedge budget allows it.  At the silence limit the server or the
 * connection may have failed, so a second attempt starts if the retry budget
 * allows it, while the first one keeps running. */
static void
on_hedge_timer(lws_sorted_usec_list_t *timer)
{
    struct exchange *exchange =
        lws_container_of(timer, struct exchange, hedge_timer);
    struct attempt *first = find_only_running_attempt(exchange);
    int64_t now_ms = base_clock_ms();

    if (first == NULL) {
        return;
    }
    int64_t waited_ms = (base_clock_us() - first->sent_us) / 1000;
    report_late(exchange, first);
    if (waited_ms >= exchange->world->limits.silence_ms) {
        if (exchange_may_retry(exchange, BASE_MAY_HAVE_RUN)) {
            base_counter_add(exchange->front->metrics.retries, 1);
            start_second_attempt(exchange, first);
        }
        return;
    }
    exchange->was_hedged = true;
    schedule_hedge(exchange, first);
    if (place_take_hedge(exchange->front->place, now_ms)) {
        base_counter_add(exchange->front->metrics.hedges, 1);
        start_second_attempt(exchange, first);
    }
}

/* Starts the timer for the first token if the request is idempotent and has
 * one active attempt.  With the site protocol a stream runs at one server at a
 * time, so a second attempt only starts when the first has ended. */
void
exchange_watch_first_token(struct exchange *exchange)
{
    const struct attempt *only = find_only_running_attempt(exchange);

    if (only != NULL && exchange->protocol == NULL &&
        exchange->choice.is_idempotent && !exchange->front->is_naive) {
        schedule_hedge(exchange, only);
    }
}
