#include "jobs/jobs_private.h"

/* The work of an item is the number of events that it is still expected to
 * have, times the slot time of an event.  Both are learned by route. */

enum {
    /* Attempts with fewer new events tell too little about the time of one. */
    MIN_EVENTS = 8,
    /* An item that has more events than expected still has this part of the
     * expected number to go. */
    LEAST_LEFT_DIVISOR = 8,
};

/* Prepares the estimators.  Their counters exist only if they are in use. */
void
jobs_cost_init(struct jobs *jobs, bool is_enabled,
               struct base_counters *counters)
{
    struct jobs_cost *cost = &jobs->cost;

    cost->is_enabled = is_enabled;
    work_estimator_init(&cost->events);
    work_estimator_init(&cost->event_times);
    if (is_enabled) {
        cost->n_known = base_counter(counters, "work_estimates_total");
        cost->n_unknown = base_counter(counters, "work_unknown_total");
    }
}

/* Frees the estimators. */
void
jobs_cost_finish(struct jobs *jobs)
{
    work_estimator_finish(&jobs->cost.events);
    work_estimator_finish(&jobs->cost.event_times);
}

/* Fills the key of an item at a server of the world; returns false if the
 * server or the route has been removed. */
static bool
fill_key(const struct jobs_work *work, int server, struct work_key *out)
{
    const struct jobs *jobs = work->run->jobs;
    const struct world_ingress *route = jobs_route_of(jobs, &work->run->head);

    if (route == NULL || server == WORLD_NONE) {
        return false;
    }
    *out = (struct work_key){
        .deployment =
            jobs->world->deployments[jobs->world->servers[server].deployment]
                .name,
        .route = route->name,
    };
    return true;
}

/* Returns the expected work of what is left of an item at a server; 0:
 * unknown, or the node does not route by cost. */
int64_t
jobs_cost_expected(struct jobs_work *work, int server)
{
    struct jobs_cost *cost = &work->run->jobs->cost;
    int64_t now_ms = base_clock_ms();
    struct work_key key;
    double events;
    double event_ms;
    double done;

    if (!cost->is_enabled || !fill_key(work, server, &key)) {
        return 0;
    }
    events = work_estimate(&cost->events, &key, now_ms);
    event_ms = work_estimate(&cost->event_times, &key, now_ms);
    if (events <= 0 || event_ms <= 0) {
        base_counter_add(cost->n_unknown, 1);
        return 0;
    }
    base_counter_add(cost->n_known, 1);
    done =
        jobs_events_may_resume(&work->events) ? (double)work->events.count : 0;
    return MAX(
        (int64_t)(MAX(events - done, events / LEAST_LEFT_DIVISOR) * event_ms),
        1);
}

/* Learns the time of an event from an attempt that has ended at now_us. */
void
jobs_cost_learn_time(struct jobs_work *work, int64_t now_us)
{
    struct jobs_cost *cost = &work->run->jobs->cost;
    int64_t n_new = work->events.count - work->n_earlier_events;
    struct work_key key;

    if (cost->is_enabled && n_new >= MIN_EVENTS &&
        fill_key(work, jobs_work_find_server(work), &key)) {
        work_observe(&cost->event_times, &key,
                     (double)(now_us - work->sent_at_us) / 1000 /
                         (double)n_new,
                     now_us / 1000);
    }
}

/* Learns the number of events of a complete item. */
void
jobs_cost_learn_events(struct jobs_work *work)
{
    struct jobs_cost *cost = &work->run->jobs->cost;
    struct work_key key;

    if (cost->is_enabled &&
        fill_key(work, jobs_work_find_server(work), &key)) {
        work_observe(&cost->events, &key, (double)work->events.count,
                     base_clock_ms());
    }
}
