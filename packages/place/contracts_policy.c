#include "place/policy.h"

enum {
    /* Servers drawn at random by choose_by_load. */
    DRAWS = 2,
    /* Draws for long requests, to distribute them more evenly. */
    LONG_DRAWS = 4,
    MAX_DRAWS = 4, /* draws if all servers drawn so far are full */
    /* The weight of a load report falls to 0 in this time. */
    MAX_LOAD_AGE_MS = 5000,
    DRAW_SALT = 2,    /* plus the number of the draw */
    SHARE_SALT = 100, /* plus the server's index */
};

/* Usage is the load of a server as a fraction of its window.  In
 * choose_by_prefix a server's usage may be up to this multiple of the mean;
 * beyond it, requests with the prefix go to the next server in rank. */
static const double LOAD_BOUND = 1.25;
/* A server with a free slot and at most this usage is always within the
 * bound. */
static const double LIGHT_USAGE = 0.25;
/* Added to the cost of a server without a free slot. */
static const double NO_SLOT_COST = 0.25;
/* Above this usage a server counts as full.  If all healthy servers of the
 * own region are full, other regions are considered as well. */
static const double FULL_USAGE = 1.0;
/* Added to the cost of a server in another zone, since traffic between zones
 * is billed. */
static const double OTHER_ZONE_COST = 0.06;
/* A link time of this many ms adds 1 to a server's cost, as much as a usage of
 * 1 does. */
static const double LINK_SCALE_MS = 200;

static bool
is_batch(const struct selection *selection)
{
    return selection->request->class_ == CONTRACTS_BATCH;
}

static int
pool_of(const struct selection *selection, int server)
{
    return selection->policy->common.world->servers[server].pool;
}

/* Returns the part of the window that batch work holds, for batch requests;
 * 0 for online requests, which can preempt batch work. */
static double
batch_usage(const struct selection *selection, int pool)
{
    return is_batch(selection)
               ? (double)selection->policy->pools[pool].load.batch /
                     policy_window(selection->policy, pool)
               : 0;
}

/* Returns the usage that a pool would have with this request.  As the last
 * report ages, the deployment's mean usage takes its place. */
double
selection_usage(const struct selection *selection, int pool)
{
    const struct policy *policy = selection->policy;
    int64_t seen_ms = policy->pools[pool].load.seen_ms;
    double age_ms = (double)(selection->now_ms - seen_ms);
    double weight =
        seen_ms == 0 ? 0 : 1 - CLAMP(age_ms / MAX_LOAD_AGE_MS, 0, 1);
    double mean_usage =
        policy->deployments[selection->request->deployment].mean_usage;

    return policy_known_usage(policy, pool) * weight +
           mean_usage * (1 - weight) + batch_usage(selection, pool) * weight;
}

static double
expected_usage(const struct selection *selection, int server)
{
    return selection_usage(selection, pool_of(selection, server));
}

static bool
has_free_slot(const struct selection *selection, int pool)
{
    const struct pool_state *state = &selection->policy->pools[pool];

    return state->online + state->load.batch <
           policy_window(selection->policy, pool);
}

/* Returns whether a pool counts as full. */
bool
selection_is_full(const struct selection *selection, int pool)
{
    return selection_usage(selection, pool) > FULL_USAGE;
}

static bool
is_in_region(const struct selection *selection, int server)
{
    const struct world *world = selection->policy->common.world;

    return selection->region == WORLD_NONE ||
           world->zones[world->servers[server].zone].region ==
               selection->region;
}

/* Returns whether the server may get this request.  A recovering server gets
 * only a share of the requests, selected by the request's key. */
bool
selection_is_healthy(const struct selection *selection, int server)
{
    double share = health_share(&selection->policy->servers[server].health,
                                selection->now_ms);

    return share >= 1 ||
           (share > 0 && place_draw(selection->request,
                                    SHARE_SALT + (uint64_t)server) < share);
}

/* Returns a server's rank for the request's prefix key; the highest is
 * preferred. */
uint64_t
selection_rank(const struct selection *selection, int server)
{
    uint64_t pair[2] = {selection->policy->servers[server].name_hash,
                        selection->request->prefix_key};

    return base_hash(pair, sizeof(pair), 0);
}

/* Fills `out` with the servers that may be chosen and returns their number:
 * the healthy servers of the own region; if there are none or all are full,
 * the healthy servers of all regions; if there are none, any server, since a
 * slow or distant response is better than none.  Batch requests consider all
 * regions at once, since the link time is short compared with their run
 * time. */
static int
find_candidates(const struct selection *selection, int *out)
{
    enum { IN_REGION, HEALTHY, ANY, N_TIERS };
    bool is_full = true;

    for (int tier = IN_REGION; tier < N_TIERS; tier++) {
        int n = 0;
        for (int i = 0; i < selection->deployment->n_servers; i++) {
            int server = selection->deployment->servers[i];
            if (place_was_tried(selection->request, server) ||
                (tier < ANY && !selection_is_healthy(selection, server)) ||
                (tier == IN_REGION && !is_batch(selection) &&
                 !is_in_region(selection, server))) {
                continue;
            }
            is_full = is_full &&
                      selection_is_full(selection, pool_of(selection, server));
            out[n++] = server;
        }
        if (n > 0 && (tier > IN_REGION || !is_full)) {
            return n;
        }
    }
    return 0;
}

/* Chooses by rendezvous hashing with bounded loads, so that equal prefixes go
 * to the same server and hit its prefix cache: of the servers within the load
 * bound, the one with the highest rank for the prefix key; if all exceed the
 * bound, the least used one. */
static int
choose_by_prefix(const struct selection *selection, const int *servers, int n)
{
    double mean = 0;
    uint64_t best_rank = 0;
    int best = WORLD_NONE;
    int least_used = servers[0];

    for (int i = 0; i < n; i++) {
        mean += expected_usage(selection, servers[i]) / n;
    }
    for (int i = 0; i < n; i++) {
        int server = servers[i];
        double server_usage = expected_usage(selection, server);
        bool is_light = server_usage <= LIGHT_USAGE &&
                        has_free_slot(selection, pool_of(selection, server));
        uint64_t rank = selection_rank(selection, server);
        if (server_usage < expected_usage(selection, least_used)) {
            least_used = server;
        }
        if ((is_light || server_usage <= LOAD_BOUND * mean) &&
            (best == WORLD_NONE || rank > best_rank)) {
            best = server;
            best_rank = rank;
        }
    }
    return best != WORLD_NONE ? best : least_used;
}

/* Returns the cost of sending the request to a pool; lower is better. */
double
selection_cost(const struct selection *selection, int pool)
{
    const struct world *world = selection->policy->common.world;
    int zone = world->pools[pool].zone;
    double link_ms =
        selection->request->zone == WORLD_NONE
            ? 0
            : world_link_ms(world, selection->request->zone, zone);

    return selection_usage(selection, pool) + link_ms / LINK_SCALE_MS +
           (selection->request->zone != zone ? OTHER_ZONE_COST : 0) +
           (has_free_slot(selection, pool) ? 0 : NO_SLOT_COST);
}

/* Chooses the server with the lowest cost among a few drawn at random.
 * Comparing all servers would make every node choose the same one until the
 * next load report.  While the best so far is full, more are drawn. */
static int
choose_by_load(const struct selection *selection, const int *servers, int n)
{
    int draws = selection->request->class_ == CONTRACTS_ONLINE_LONG
                    ? LONG_DRAWS
                    : DRAWS;
    double least_cost = 0;
    int best = WORLD_NONE;

    for (int i = 0; i < MAX_DRAWS; i++) {
        double at = place_draw(selection->request, DRAW_SALT + (uint64_t)i);
        int server = servers[(int)(at * n)];
        double server_cost =
            selection_cost(selection, pool_of(selection, server));
        if (best == WORLD_NONE || server_cost < least_cost) {
            best = server;
            least_cost = server_cost;
        }
        if (i + 1 >= draws && least_cost < FULL_USAGE) {
            break;
        }
    }
    return best;
}

static int
choose_server(const struct selection *selection)
{
    const struct place_request *request = selection->request;
    int servers[MAX(selection->deployment->n_servers, 1)];
    int n;

    if (selection->deployment->is_pooled) {
        return policy_choose_in_pools(selection);
    }
    n = find_candidates(selection, servers);
    if (n == 0) {
        return WORLD_NONE;
    }
    return request->prefix_key != 0 && request->class_ != CONTRACTS_ONLINE_LONG
               ? choose_by_prefix(selection, servers, n)
               : choose_by_load(selection, servers, n);
}

static int
choose(struct place *place, const struct place_request *request,
       int64_t now_ms)
{
    struct policy *policy = (struct policy *)place;
    const struct world *world = policy->common.world;
    struct selection selection = {policy, request, NULL, now_ms, WORLD_NONE};
    int chosen;

    if (world == NULL || request->deployment < 0 ||
        request->deployment >= world->n_deployments) {
        return WORLD_NONE;
    }
    selection.deployment = &world->deployments[request->deployment];
    if (request->zone >= 0 && request->zone < world->n_zones) {
        selection.region = world->zones[request->zone].region;
    }
    chosen = choose_server(&selection);
    if (chosen == WORLD_NONE) {
        return WORLD_NONE;
    }
    if (is_batch(&selection)) {
        policy_pool_of(policy, chosen)->load.batch++;
    }
    else {
        policy_pool_of(policy, chosen)->online++;
    }
    return chosen;
}

static void
finish(struct place *place)
{
    struct policy *policy = (struct policy *)place;

    place_common_finish(&policy->common);
    g_free(policy->servers);
    g_free(policy->pools);
    g_free(policy->deployments);
    g_free(policy);
}

static const struct place_ops OPS = {
    .choose = choose,
    .load = policy_load,
    .pool_load = policy_pool_load,
    .outcome = policy_outcome,
    .update = policy_update,
    .finish = finish,
};

/* Makes the default policy. */
struct place *
place_contracts_new(const struct place_desc *desc)
{
    struct policy *policy = g_new0(struct policy, 1);

    place_common_init(&policy->common, &OPS, desc);
    return &policy->common.place;
}
