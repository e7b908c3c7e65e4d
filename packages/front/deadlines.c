#include "front/deadlines.h"

#include <string.h>

enum {
    N_SAMPLES = 32,    /* latest deadlines of a route that are kept */
    N_USUAL = 17,      /* least number of them that agree */
    N_FIRST = 3,       /* the same while there are fewer samples */
    TOLERANCE_MS = 20, /* time that a first try may have spent on its way */
    /* Of a site that changes its routes all the time; all are then learned
     * anew. */
    MAX_ROUTES = 4096,
};

/* The latest deadlines of a route's requests. */
struct route_deadlines {
    int64_t samples[N_SAMPLES];
    int n_samples;
    int next;
    int64_t usual_ms; /* deadline of first tries; 0: unknown */
};

/* Prepares an empty collection. */
void
front_deadlines_init(struct front_deadlines *deadlines)
{
    deadlines->routes =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/* Frees the collection. */
void
front_deadlines_finish(struct front_deadlines *deadlines)
{
    g_hash_table_destroy(deadlines->routes);
    deadlines->routes = NULL;
}

static struct route_deadlines *
find_route(struct front_deadlines *deadlines, const char *key)
{
    struct route_deadlines *route =
        g_hash_table_lookup(deadlines->routes, key);

    if (route == NULL) {
        if (g_hash_table_size(deadlines->routes) >= MAX_ROUTES) {
            g_hash_table_remove_all(deadlines->routes);
        }
        route = g_new0(struct route_deadlines, 1);
        g_hash_table_insert(deadlines->routes, g_strdup(key), route);
    }
    return route;
}

/* Returns the largest deadline that at least `n` of the samples have, within
 * the tolerance, or 0 if there is none. */
static int64_t
find_common(const struct route_deadlines *route, int n)
{
    int64_t best = 0;

    for (int i = 0; i < route->n_samples; i++) {
        int64_t value = route->samples[i];
        int n_alike = 0;
        for (int j = 0; j < route->n_samples; j++) {
            n_alike += route->samples[j] <= value &&
                       route->samples[j] >= value - TOLERANCE_MS;
        }
        if (n_alike >= n) {
            best = MAX(best, value);
        }
    }
    return best;
}

/* Records the deadline of a request and returns how long its caller had been
 * waiting when it arrived; 0 if that is not known.
 *
 * A node that starts after an outage gets mostly requests that were sent
 * before.  Until it has enough samples, the usual deadline is therefore the
 * route's time limit, or a longer one that some requests have: the limit may
 * have been lowered below what callers send. */
int64_t
front_deadlines_record(struct front_deadlines *deadlines, const char *key,
                       int64_t deadline_ms, int64_t timeout_ms)
{
    struct route_deadlines *route = find_route(deadlines, key);
    int64_t usual_ms;

    route->samples[route->next] = deadline_ms;
    route->next = (route->next + 1) % N_SAMPLES;
    route->n_samples = MIN(route->n_samples + 1, N_SAMPLES);
    if (route->n_samples < N_SAMPLES) {
        usual_ms = MAX(timeout_ms, find_common(route, N_FIRST));
    }
    else {
        if (route->next == 0) {
            route->usual_ms = find_common(route, N_USUAL);
        }
        usual_ms = route->usual_ms;
    }
    if (deadline_ms + TOLERANCE_MS >= usual_ms) {
        return 0;
    }
    return usual_ms - deadline_ms;
}
