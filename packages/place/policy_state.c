#include "place/policy.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

enum {
    /* Minimum time between updates of the peer medians. */
    PEERS_INTERVAL_MS = 100,
    MIN_PEERS = 3, /* minimum number of servers with a median to compute a peer
                      median */
    /* Minimum number of first-token times to compute a quantile. */
    MIN_HEDGE_SAMPLES = 4,
    MIN_HEDGE_MS = 5,
    MAX_EJECTED_DIVISOR = 3, /* at most a third of a deployment is ejected */
};

/* Weight of one load report in the moving average of the usage. */
static const double USAGE_WEIGHT = 0.05;
/* A hedge is sent after this quantile of the time to first token, or after an
 * estimate of it if that is shorter (see HEDGE_SPREAD_RATIO). */
static const double HEDGE_QUANTILE = 0.97;
/* Slow servers raise the measured quantile, so it is also estimated from the
 * lower half of the times, which they hardly change.  In a log-normal
 * distribution the 97th percentile is 1.47 times as far above the median, on
 * the logarithmic scale, as the 10th percentile is below it. */
static const double HEDGE_SPREAD_RATIO = 1.47;
/* With fewer than MIN_HEDGE_SAMPLES a hedge is sent after this share of the
 * deployment's target for the first token. */
static const double DEFAULT_HEDGE_SHARE = 0.5;
/* The estimate is at least this multiple of the median. */
static const double MIN_HEDGE_MEDIANS = 1.6;

/* Returns the state of the pool that a server belongs to. */
struct pool_state *
policy_pool_of(const struct policy *policy, int server)
{
    return &policy->pools[policy->common.world->servers[server].pool];
}

/* Returns how many requests the servers of a pool should run at once: the
 * window last reported by its owner, else the slots of the configuration. */
int
policy_window(const struct policy *policy, int pool)
{
    const struct world *world = policy->common.world;
    const struct world_pool *configured = &world->pools[pool];
    int window = policy->pools[pool].load.window;

    for (int i = 0; window <= 0 && i < configured->n_servers; i++) {
        window -= world->servers[configured->servers[i]].slots;
    }
    return MAX(abs(window), 1);
}

/* Returns the online requests of a pool, running and queued, plus one for the
 * new request, as a fraction of its window.  The numbers are those last
 * reported, updated for this node's own requests since then. */
double
policy_known_usage(const struct policy *policy, int pool)
{
    const struct pool_state *state = &policy->pools[pool];

    return (state->online + state->load.queued + 1.0) /
           policy_window(policy, pool);
}

static bool
is_known(const struct policy *policy, int server)
{
    return server >= 0 && server < policy->n_servers;
}

/* Stores a load report of the owner of a server's pool; see place_ops.load. */
void
policy_load(struct place *place, int server,
            const struct contracts_load *reported, int64_t now_ms)
{
    struct policy *policy = (struct policy *)place;

    if (is_known(policy, server)) {
        const struct world_server *configured =
            &policy->common.world->servers[server];
        struct pool_state *state = &policy->pools[configured->pool];
        double *mean = &policy->deployments[configured->deployment].mean_usage;
        state->load = *reported;
        state->load.seen_ms = now_ms;
        state->online = reported->online;
        *mean += (policy_known_usage(policy, configured->pool) - *mean) *
                 USAGE_WEIGHT;
    }
}

/* Stores the load of a pool; see place_ops.pool_load. */
void
policy_pool_load(struct place *place, uint64_t key,
                 const struct contracts_load *load)
{
    struct policy *policy = (struct policy *)place;
    const struct world *world = policy->common.world;

    for (int i = 0; world != NULL && i < world->n_pools; i++) {
        struct pool_state *state = &policy->pools[i];
        if (world->pools[i].key == key &&
            load->seen_ms > state->load.seen_ms) {
            state->load = *load;
            state->online = load->online;
        }
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
    if (n < MIN_PEERS) {
        return 0;
    }
    qsort(times, (size_t)n, sizeof(*times), compare_times);
    return times[(n - 1) / 2];
}

/* Recomputes the median latencies over the deployment's servers, at most once
 * in PEERS_INTERVAL_MS. */
static void
update_peer_medians(struct policy *policy, int deployment, int64_t now_ms)
{
    const struct world_deployment *configured =
        &policy->common.world->deployments[deployment];
    struct deployment_state *state = &policy->deployments[deployment];
    int64_t first[MAX(configured->n_servers, 1)];
    int64_t inter[MAX(configured->n_servers, 1)];
    int n_first = 0;
    int n_inter = 0;

    if (state->peers_updated_ms != 0 &&
        now_ms - state->peers_updated_ms < PEERS_INTERVAL_MS) {
        return;
    }
    state->peers_updated_ms = now_ms;
    for (int i = 0; i < configured->n_servers; i++) {
        const struct health *health =
            &policy->servers[configured->servers[i]].health;
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

/* Returns whether another server of the deployment may be ejected. */
static bool
may_eject(const struct policy *policy, int deployment, int64_t now_ms)
{
    const struct world_deployment *configured =
        &policy->common.world->deployments[deployment];
    int n_ejected = 0;

    for (int i = 0; i < configured->n_servers; i++) {
        n_ejected += health_is_ejected(
            &policy->servers[configured->servers[i]].health, now_ms);
    }
    return n_ejected < configured->n_servers / MAX_EJECTED_DIVISOR;
}

static struct health_peers
peers_of(struct policy *policy, int server, int64_t now_ms)
{
    int deployment = policy->common.world->servers[server].deployment;

    update_peer_medians(policy, deployment, now_ms);
    return (struct health_peers){policy->deployments[deployment].first_us,
                                 policy->deployments[deployment].inter_us,
                                 may_eject(policy, deployment, now_ms)};
}

static void
apply_outcome(struct policy *policy, int server,
              const struct contracts_outcome *result, int64_t now_ms)
{
    struct health_peers peers = peers_of(policy, server, now_ms);
    int deployment = policy->common.world->servers[server].deployment;

    if (result->first_token_us > 0) {
        histogram_add(&policy->deployments[deployment].first,
                      result->first_token_us, now_ms);
    }
    health_report_outcome(&policy->servers[server].health, result, &peers,
                          now_ms);
}

/* Records the result of an attempt; see place_ops.outcome. */
void
policy_outcome(struct place *place, int server,
               const struct contracts_outcome *result, int64_t now_ms)
{
    struct policy *policy = (struct policy *)place;

    if (is_known(policy, server)) {
        struct pool_state *state = policy_pool_of(policy, server);
        state->online = MAX(state->online - 1, 0);
        apply_outcome(policy, server, result, now_ms);
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
        apply_outcome(policy, server, &result, now_ms);
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
        health_report_wait(&policy->servers[server].health, waited_us, &peers,
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

/* Carries over the state of deployments that are in both configurations. */
static void
carry_over_deployments(struct policy *policy, const struct world *world)
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
carry_over_servers(struct policy *policy, const struct world *world)
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

static void
carry_over_pools(struct policy *policy, const struct world *world)
{
    const struct world *old = policy->common.world;
    struct pool_state *states =
        g_new0(struct pool_state, (gsize)MAX(world->n_pools, 1));

    for (int i = 0; old != NULL && i < world->n_pools; i++) {
        for (int j = 0; j < old->n_pools; j++) {
            if (old->pools[j].key == world->pools[i].key) {
                states[i] = policy->pools[j];
            }
        }
    }
    g_free(policy->pools);
    policy->pools = states;
}

/* Switches to a changed configuration and carries over the state of the
 * servers, pools and deployments that remain. */
void
policy_update(struct place *place, struct world *world, int64_t now_ms)
{
    struct policy *policy = (struct policy *)place;

    (void)now_ms;
    carry_over_servers(policy, world);
    carry_over_pools(policy, world);
    carry_over_deployments(policy, world);
    place_common_update(&policy->common, world);
}

/* Returns when to hedge a request; see place_hedge_after_ms. */
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
    if (first->total < MIN_HEDGE_SAMPLES) {
        double target_ms =
            policy->common.world->deployments[request->deployment]
                .first_token_target_ms;
        return target_ms > 0 ? (int64_t)(target_ms * DEFAULT_HEDGE_SHARE) : -1;
    }
    double median_us = (double)histogram_quantile(first, 0.5);
    double low_us = (double)histogram_quantile(first, 0.1);
    double late_us = (double)histogram_quantile(first, HEDGE_QUANTILE);
    double spread = pow(median_us / low_us, HEDGE_SPREAD_RATIO);
    double expected_us = median_us * MAX(spread, MIN_HEDGE_MEDIANS);
    return MAX((int64_t)(MIN(late_us, expected_us) / 1000), MIN_HEDGE_MS);
}
