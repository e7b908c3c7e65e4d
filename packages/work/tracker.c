#include "work/work.h"

#include <math.h>

enum {
    /* A request that runs longer than expected still has this part of its work
     * to do. */
    LEAST_LEFT_DIVISOR = 8,
    SPEED_SAMPLES = 20, /* ended requests that the speed covers */
};

static const double MIN_SPEED = 0.25;
static const double MAX_SPEED = 4;

struct work_running {
    uint64_t id;
    double work_ms;
    int64_t started_ms;
};

/* Initializes a tracker of a server that runs nothing, at speed 1. */
void
work_tracker_init(struct work_tracker *tracker)
{
    *tracker =
        (struct work_tracker){.running = g_hash_table_new_full(
                                  g_int64_hash, g_int64_equal, NULL, g_free)};
}

/* Frees the contents of the tracker. */
void
work_tracker_finish(struct work_tracker *tracker)
{
    g_hash_table_destroy(tracker->running);
    tracker->running = NULL;
}

/* Adds a request that the server runs since started_ms.  One whose work is
 * unknown (0) is not tracked; a known id gets the new values. */
void
work_tracker_start(struct work_tracker *tracker, uint64_t id, int64_t work_ms,
                   int64_t started_ms)
{
    struct work_running *running;

    if (work_ms <= 0) {
        return;
    }
    running = g_new0(struct work_running, 1);
    running->id = id;
    running->work_ms = (double)MIN(work_ms, WORK_MAX_MS);
    running->started_ms = started_ms;
    g_hash_table_replace(tracker->running, &running->id, running);
}

/* Adds the time of an ended request to the server's speed.  The speed is the
 * ratio of two means, so that a few short requests with a wrong estimate do
 * not dominate it. */
static void
learn_speed(struct work_tracker *tracker, const struct work_running *running,
            int64_t now_ms)
{
    double actual_ms = (double)MAX(now_ms - running->started_ms, 1);

    if (tracker->expected_ms == 0) {
        tracker->expected_ms = running->work_ms;
        tracker->actual_ms = running->work_ms;
    }
    tracker->expected_ms +=
        (running->work_ms - tracker->expected_ms) / SPEED_SAMPLES;
    tracker->actual_ms += (actual_ms - tracker->actual_ms) / SPEED_SAMPLES;
}

/* Ends a request; an unknown id is ignored.  is_sample is whether the server
 * has done all of its work, so that its time tells the server's speed. */
void
work_tracker_end(struct work_tracker *tracker, uint64_t id, bool is_sample,
                 int64_t now_ms)
{
    const struct work_running *running =
        g_hash_table_lookup(tracker->running, &id);

    if (running == NULL) {
        return;
    }
    if (is_sample) {
        learn_speed(tracker, running, now_ms);
    }
    g_hash_table_remove(tracker->running, &id);
}

/* Returns the number of tracked requests. */
int
work_tracker_count(const struct work_tracker *tracker)
{
    return (int)g_hash_table_size(tracker->running);
}

/* Returns the server's speed: expected by actual slot time. */
double
work_tracker_speed(const struct work_tracker *tracker)
{
    if (tracker->expected_ms == 0) {
        return 1;
    }
    return CLAMP(tracker->expected_ms / tracker->actual_ms, MIN_SPEED,
                 MAX_SPEED);
}

/* Returns the time that a request still needs at a server of this speed. */
static double
time_left(const struct work_running *running, double speed, int64_t now_ms)
{
    double done_ms = (double)(now_ms - running->started_ms) * speed;
    double left_ms =
        MAX(running->work_ms - done_ms, running->work_ms / LEAST_LEFT_DIVISOR);

    return left_ms / speed;
}

/* Returns the time that a request still needs; -1 if it is not tracked. */
double
work_tracker_left(const struct work_tracker *tracker, uint64_t id,
                  int64_t now_ms)
{
    const struct work_running *running =
        g_hash_table_lookup(tracker->running, &id);

    return running == NULL
               ? -1
               : time_left(running, work_tracker_speed(tracker), now_ms);
}

/* Returns the slot time that all tracked requests still need. */
double
work_tracker_remaining(const struct work_tracker *tracker, int64_t now_ms)
{
    double speed = work_tracker_speed(tracker);
    double sum_ms = 0;
    const struct work_running *running;
    GHashTableIter iter;

    g_hash_table_iter_init(&iter, tracker->running);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&running)) {
        sum_ms += time_left(running, speed, now_ms);
    }
    return sum_ms;
}

/* Returns the time until the first of the tracked requests is expected to end;
 * INFINITY if there is none. */
double
work_tracker_next_end(const struct work_tracker *tracker, int64_t now_ms)
{
    double speed = work_tracker_speed(tracker);
    double first_ms = (double)INFINITY;
    const struct work_running *running;
    GHashTableIter iter;

    g_hash_table_iter_init(&iter, tracker->running);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&running)) {
        first_ms = MIN(first_ms, time_left(running, speed, now_ms));
    }
    return first_ms;
}
