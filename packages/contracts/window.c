#include "contracts/window.h"

#include <string.h>

enum {
    /* Minimum time between adjustments; one then needs ADJUST_SAMPLES samples
     * or a failure. */
    ADJUST_MS = 200,
    ADJUST_SAMPLES = 4,
    IDLE_MS = 1000, /* after this time an adjustment needs no samples */
    /* A ceiling lasts this long after a load report, plus the report's age. */
    CEILING_MS = 2000,
};

/* Weight of a new sample in the recent mean. */
static const double RECENT_WEIGHT = 0.2;
/* Weight of a sample above the no-load minimum: the minimum rises slowly, to
 * follow a server that has become slower. */
static const double MINIMUM_RISE_WEIGHT = 0.002;
/* A latency above this multiple of its no-load minimum is attributed to
 * load. */
static const double LOAD_FACTOR = 1.5;
/* For high latency, one adjustment multiplies the limit by at least this. */
static const double MIN_CUT_FACTOR = 0.5;
/* After a failure, an adjustment multiplies the limit by this. */
static const double FAILURE_CUT_FACTOR = 0.7;
/* An adjustment raises the limit by this part of the slots. */
static const double RISE_SHARE = 0.125;

static void
set_targets(struct window *window, int slots, double first_target_ms,
            double inter_target_ms)
{
    window->slots = MAX(slots, 1);
    window->first_target_us = first_target_ms * 1000;
    window->inter_target_us = inter_target_ms * 1000;
    window->limit = MIN(window->limit, window->slots);
}

/* Prepares a window of all slots. */
void
window_init(struct window *window, int slots, double first_target_ms,
            double inter_target_ms)
{
    memset(window, 0, sizeof(*window));
    window->limit = slots;
    set_targets(window, slots, first_target_ms, inter_target_ms);
}

/* Applies changed settings.  The measured times stay, and so does the ratio of
 * the limit to the slots. */
void
window_resize(struct window *window, int slots, double first_target_ms,
              double inter_target_ms)
{
    double used = window->limit / window->slots;

    window->limit = slots * used;
    set_targets(window, slots, first_target_ms, inter_target_ms);
}

static void
add_sample(struct window_latency *latency, int64_t us)
{
    double value = (double)us;

    if (us <= 0) {
        return;
    }
    if (latency->recent == 0) {
        latency->recent = value;
        latency->minimum = value;
        return;
    }
    latency->recent += (value - latency->recent) * RECENT_WEIGHT;
    if (value < latency->minimum) {
        latency->minimum = value;
    }
    else {
        latency->minimum += (value - latency->minimum) * MINIMUM_RISE_WEIGHT;
    }
}

/* Adds the measured times of a request. */
void
window_sample(struct window *window, const struct contracts_outcome *outcome)
{
    if (outcome->failed) {
        window->has_failure = true;
    }
    add_sample(&window->first, outcome->first_token_us);
    add_sample(&window->inter, outcome->inter_token_us);
    if (outcome->first_token_us > 0 || outcome->inter_token_us > 0) {
        window->n_samples++;
    }
}

static int64_t
step_of(int64_t now_ms)
{
    return now_ms / WINDOW_HISTORY_STEP_MS;
}

static void
record_held(struct window *window, int held, int64_t now_ms)
{
    int64_t step = step_of(now_ms);
    int *current = &window->held_history[step % WINDOW_HISTORY];

    if (step != window->held_history_step) {
        int64_t missed =
            MIN(step - window->held_history_step - 1, WINDOW_HISTORY);
        for (int64_t i = 1; i <= missed; i++) {
            window->held_history[(step - i) % WINDOW_HISTORY] = held;
        }
        *current = held;
        window->held_history_step = step;
    }
    *current = MAX(*current, held);
}

static int
most_held_since(const struct window *window, int64_t age_ms, int64_t now_ms)
{
    int64_t steps = age_ms / WINDOW_HISTORY_STEP_MS + 2;
    int64_t step = step_of(now_ms);
    int most = 0;

    for (int64_t i = 0; i < MIN(steps, WINDOW_HISTORY) && i <= step; i++) {
        most = MAX(most, window->held_history[(step - i) % WINDOW_HISTORY]);
    }
    return most;
}

/* Applies the server's own load report, age_ms old.  Requests on the server
 * beyond the most slots held since then are foreign load, which lowers the
 * ceiling. */
void
window_report(struct window *window, int running, int queued, int64_t age_ms,
              int64_t now_ms)
{
    int own_held = most_held_since(window, age_ms, now_ms);
    int foreign = MAX(running + queued - own_held, 0);

    window->ceiling = MAX(window->slots - foreign, 1);
    window->ceiling_until_ms = foreign > 0 ? now_ms + age_ms + CEILING_MS : 0;
}

/* Returns the ratio of a measured time to the time allowed; above 1 the server
 * is too slow.
 * The time allowed is at least LOAD_FACTOR times the no-load minimum, as a
 * smaller window doesn't help a server that is slow without load. */
static double
target_ratio(const struct window_latency *latency, double target_us)
{
    double allowed_us = MAX(target_us, latency->minimum * LOAD_FACTOR);

    if (target_us <= 0 || latency->recent == 0) {
        return 0;
    }
    return latency->recent / allowed_us;
}

static void
adjust(struct window *window)
{
    double ratio = MAX(target_ratio(&window->first, window->first_target_us),
                       target_ratio(&window->inter, window->inter_target_us));

    if (window->has_failure) {
        window->limit *= FAILURE_CUT_FACTOR;
    }
    else if (ratio > 1) {
        window->limit *= MAX(1 / ratio, MIN_CUT_FACTOR);
    }
    else {
        window->limit += window->slots * RISE_SHARE;
    }
    window->limit = CLAMP(window->limit, 1, window->slots);
    window->n_samples = 0;
    window->has_failure = false;
}

/* Adjusts the limit when that is due; held is the number of slots in use. */
void
window_tick(struct window *window, int held, int64_t now_ms)
{
    int64_t passed_ms = now_ms - window->last_adjusted_ms;
    bool is_due =
        passed_ms >= IDLE_MS ||
        (passed_ms >= ADJUST_MS &&
         (window->n_samples >= ADJUST_SAMPLES || window->has_failure));

    record_held(window, held, now_ms);
    if (now_ms >= window->ceiling_until_ms) {
        window->ceiling_until_ms = 0;
    }
    if (is_due) {
        adjust(window);
        window->last_adjusted_ms = now_ms;
    }
}

/* Returns the number of requests to run at once: from 1 to the server's
 * slots. */
int
window_size(const struct window *window)
{
    int size = (int)window->limit;

    if (window->ceiling_until_ms != 0) {
        size = MIN(size, window->ceiling);
    }
    return CLAMP(size, 1, window->slots);
}
