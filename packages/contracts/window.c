#include "contracts/window.h"

#include <string.h>

enum {
    ADJUST_MS = 200, /* between adjustments, when there are samples */
    ADJUST_SAMPLES = 4,
    IDLE_MS = 1000,    /* adjust at least this often */
    CEILING_MS = 2000, /* a report's ceiling lasts this long past its age */
};

/* Weight of a new sample in the recent mean. */
static const double RECENT_WEIGHT = 0.2;
/* The no-load minimum creeps up, so that a changed server is learned. */
static const double MINIMUM_RISE_WEIGHT = 0.002;
/* Beyond this many times its no-load minimum a time is due to load. */
static const double LOAD_FACTOR = 1.5;
/* One adjustment never cuts the window below this part of it. */
static const double MAX_CUT = 0.5;
static const double FAILURE_FACTOR = 0.7;
/* A rise of this part of the slots, each IDLE_MS. */
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

/* Starts with all slots. */
void
window_init(struct window *window, int slots, double first_target_ms,
            double inter_target_ms)
{
    memset(window, 0, sizeof(*window));
    window->limit = slots;
    set_targets(window, slots, first_target_ms, inter_target_ms);
}

/* Takes over changed settings and keeps what was measured. */
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

/* Takes in how a request went. */
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

/* Takes in the server's own report, age_ms old.  What runs there beyond the
 * most that contracts held since then is foreign and lowers the ceiling. */
void
window_report(struct window *window, int running, int queued, int64_t age_ms,
              int64_t now_ms)
{
    int own_held = most_held_since(window, age_ms, now_ms);
    int foreign = MAX(running + queued - own_held, 0);

    window->ceiling = MAX(window->slots - foreign, 1);
    window->ceiling_until_ms = foreign > 0 ? now_ms + age_ms + CEILING_MS : 0;
}

/* How far a time is beyond its target because of load; at most 1: it is not.
 * A server that is slower than the target with no load isn't helped by a
 * smaller window. */
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
        window->limit *= FAILURE_FACTOR;
    }
    else if (ratio > 1) {
        window->limit *= MAX(1 / ratio, MAX_CUT);
    }
    else {
        window->limit += window->slots * RISE_SHARE;
    }
    window->limit = CLAMP(window->limit, 1, window->slots);
    window->n_samples = 0;
    window->has_failure = false;
}

/* Adjusts the window when it is time; held are the slots in use now. */
void
window_tick(struct window *window, int held, int64_t now_ms)
{
    int64_t passed_ms = now_ms - window->adjusted_ms;
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
        window->adjusted_ms = now_ms;
    }
}

/* The requests to run at once: at least 1, at most the server's slots. */
int
window_size(const struct window *window)
{
    int size = (int)window->limit;

    if (window->ceiling_until_ms != 0) {
        size = MIN(size, window->ceiling);
    }
    return CLAMP(size, 1, window->slots);
}
