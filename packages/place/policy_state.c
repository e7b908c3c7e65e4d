#include "place/policy.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

enum {
    PEERS_MS = 100, /* the peers' medians are worked out this often */
    LEAST_PEERS = 3,
    HEDGE_SAMPLES = 4, /* fewer tell no quantile */
    LEAST_HEDGE_MS = 5,
    OUT_DIVISOR = 3, /* at most this part of a deployment is out */
};

/* Weight of one answer in what is usual. */
static const double USAGE_WEIGHT = 0.05;
/* A hedge goes out after this quantile of the first token, */
static const double HEDGE_QUANTILE = 0.97;
/* or, since slow servers raise it, where it would lie if the times above the
 * median were spread as those below: in a normal distribution of logarithms
 * it is so many times as far from the median as the tenth percentile is. */
static const double HEDGE_SPREAD = 1.47;
/* With nothing known yet a hedge goes out after this share of the target. */
static const double COLD_HEDGE_SHARE = 0.5;
static const double LEAST_HEDGE_MEDIANS = 1.6;

/* Requests that the server should run at once. */
int
policy_window(const struct policy *policy, int server)
{
    int window = policy->servers[server].load.window;

    return MAX(
        window > 0 ? window : policy->common.world->servers[server].slots, 1);
}

/* How full the server would be with one more request, as last heard. */
double
policy_known_usage(const struct policy *policy, int server)
{
    const struct server_state *state = &policy->servers[server];

    return (state->online + state->load.queued + 1.0) /
           policy_window(policy, server);
}

static bool
is_known(const struct policy *policy, int server)
{
    return server >= 0 && server < policy->n_servers;
}

/* What a keeper said of a server. */
void
policy_load(struct place *place, int server, const struct contracts_load *seen,
            int64_t now_ms)
{
    struct policy *policy = (struct policy *)place;

    if (is_known(policy, server)) {
        policy->servers[server].load = *seen;
        policy->servers[server].load.seen_ms = now_ms;
        policy->servers[server].online = seen->online;
        int deployment = policy->common.world->servers[server].deployment;
        double *usual = &policy->deployments[deployment].usage;
        *usual += (policy_known_usage(policy, server) - *usual) * USAGE_WEIGHT;
    }
}

static int
compare_times(const void *a, const void *b)
{
    int64_t left = *(const int64_t *)a;
    int64_t right = *(const int64_t *)b;

    return (left > right) - (left < right);
}

static int64_t
median_of(int64_t *times, int n)
{
    if (n < LEAST_PEERS) {
        return 0;
    }
    qsort(times, (size_t)n, sizeof(*times), compare_times);
    return times[(n - 1) / 2];
}

/* Works out what the deployment's servers take, when that is due. */
static void
compare_peers(struct policy *policy, int deployment, int64_t now_ms)
{
    const struct world_deployment *own =
        &policy->common.world->deployments[deployment];
    struct deployment_state *state = &policy->deployments[deployment];
    int64_t first[MAX(own->n_servers, 1)];
    int64_t inter[MAX(own->n_servers, 1)];
    int n_first = 0;
    int n_inter = 0;

    if (state->peers_ms != 0 && now_ms - state->peers_ms < PEERS_MS) {
        return;
    }
    state->peers_ms = now_ms;
    for (int i = 0; i < own->n_servers; i++) {
        const struct health *health = &policy->servers[own->servers[i]].health;
        int64_t first_us = health_median(&health->first, now_ms);
        int64_t inter_us = health_median(&health->inter, now_ms);
        if (first_us > 0) {
            first[n_first++] = first_us;
        }
        if (inter_us > 0) {
            inter[n_inter++] = inter_us;
        }
    }
    state->first_us = median_of(first, n_first);
    state->inter_us = median_of(inter, n_inter);
}

static bool
may_eject(const struct policy *policy, int deployment, int64_t now_ms)
{
    const struct world_deployment *own =
        &policy->common.world->deployments[deployment];
    int n_out = 0;

    for (int i = 0; i < own->n_servers; i++) {
        n_out += health_is_ejected(&policy->servers[own->servers[i]].health,
                                   now_ms);
    }
    return n_out < own->n_servers / OUT_DIVISOR;
}

static struct health_peers
peers_of(struct policy *policy, int server, int64_t now_ms)
{
    int deployment = policy->common.world->servers[server].deployment;

    compare_peers(policy, deployment, now_ms);
    return (struct health_peers){policy->deployments[deployment].first_us,
                                 policy->deployments[deployment].inter_us,
                                 may_eject(policy, deployment, now_ms)};
}

static void
take_outcome(struct policy *policy, int server,
             const struct contracts_outcome *result, int64_t now_ms)
{
    struct health_peers peers = peers_of(policy, server, now_ms);
    int deployment = policy->common.world->servers[server].deployment;

    if (result->first_token_us > 0) {
        histogram_add(&policy->deployments[deployment].first,
                      result->first_token_us, now_ms);
    }
    health_outcome(&policy->servers[server].health, result, &peers, now_ms);
}

/* How an attempt went. */
void
policy_outcome(struct place *place, int server,
               const struct contracts_outcome *result, int64_t now_ms)
{
    struct policy *policy = (struct policy *)place;

    if (is_known(policy, server)) {
        struct server_state *state = &policy->servers[server];
        state->online = MAX(state->online - 1, 0);
        take_outcome(policy, server, result, now_ms);
    }
}

/* See place.h. */
void
place_contracts_first_token(struct place *place, int server,
                            int64_t first_token_us, int64_t now_ms)
{
    struct policy *policy = (struct policy *)place;
    struct contracts_outcome result = {.first_token_us = first_token_us};

    if (is_known(policy, server)) {
        take_outcome(policy, server, &result, now_ms);
    }
}

/* See place.h. */
void
place_contracts_waited(struct place *place, int server, int64_t waited_us,
                       int64_t now_ms)
{
    struct policy *policy = (struct policy *)place;

    if (is_known(policy, server)) {
        struct health_peers peers = peers_of(policy, server, now_ms);
        health_waited(&policy->servers[server].health, waited_us, &peers,
                      now_ms);
    }
}

/* See place.h. */
void
place_contracts_health(struct place *place, int server,
                       struct place_health *out, int64_t now_ms)
{
    const struct policy *policy = (struct policy *)place;

    if (is_known(policy, server)) {
        const struct health *health = &policy->servers[server].health;
        out->share = health_share(health, now_ms);
        out->first_token_us = health_median(&health->first, now_ms);
        out->inter_token_us = health_median(&health->inter, now_ms);
    }
}

/* Carries over what is known of a deployment that is in both worlds. */
static void
keep_deployments(struct policy *policy, const struct world *world)
{
    const struct world *old = policy->common.world;
    struct deployment_state *states =
        g_new0(struct deployment_state, (gsize)world->n_deployments);

    for (int i = 0; old != NULL && i < world->n_deployments; i++) {
        for (int j = 0; j < old->n_deployments; j++) {
            if (strcmp(old->deployments[j].name, world->deployments[i].name) ==
                0) {
                states[i] = policy->deployments[j];
            }
        }
    }
    g_free(policy->deployments);
    policy->deployments = states;
    policy->n_deployments = world->n_deployments;
}

static void
keep_servers(struct policy *policy, const struct world *world)
{
    const struct world *old = policy->common.world;
    struct server_state *states =
        g_new0(struct server_state, (gsize)world->n_servers);

    for (int i = 0; i < world->n_servers; i++) {
        const char *name = world->servers[i].name;
        int before = old == NULL ? WORLD_NONE : world_find_server(old, name);
        if (before != WORLD_NONE) {
            states[i] = policy->servers[before];
        }
        states[i].name_hash = base_hash_text(name, 0);
    }
    g_free(policy->servers);
    policy->servers = states;
    policy->n_servers = world->n_servers;
}

/* Takes over a changed configuration; what is known of servers and
 * deployments that stay is kept. */
void
policy_update(struct place *place, struct world *world, int64_t now_ms)
{
    struct policy *policy = (struct policy *)place;

    (void)now_ms;
    keep_servers(policy, world);
    keep_deployments(policy, world);
    place_common_update(&policy->common, world);
}

/* When to hedge, in ms after the start; -1: never. */
int64_t
place_contracts_hedge_ms(struct place *place,
                         const struct place_request *request)
{
    const struct policy *policy = (struct policy *)place;
    const struct histogram *first;

    if (request->deployment < 0 ||
        request->deployment >= policy->n_deployments) {
        return -1;
    }
    first = &policy->deployments[request->deployment].first;
    if (first->total < HEDGE_SAMPLES) {
        double target_ms =
            policy->common.world->deployments[request->deployment]
                .first_token_target_ms;
        return target_ms > 0 ? (int64_t)(target_ms * COLD_HEDGE_SHARE) : -1;
    }
    double middle_us = (double)histogram_quantile(first, 0.5);
    double low_us = (double)histogram_quantile(first, 0.1);
    double late_us = (double)histogram_quantile(first, HEDGE_QUANTILE);
    double spread = pow(middle_us / low_us, HEDGE_SPREAD);
    double clean_us = middle_us * MAX(spread, LEAST_HEDGE_MEDIANS);
    return MAX((int64_t)(MIN(late_us, clean_us) / 1000), LEAST_HEDGE_MS);
}
