#include "place/policy.h"

/* Chooses servers of pooled deployments.  The owner of the chosen server's
 * pool may grant any server of the pool, so the pool is what is chosen; the
 * server is the one that it grants if it has a free slot. */

enum {
    JITTER_SALT = 300, /* plus the index of the pool */
    SERVER_SALT = 200,
};

/* Nodes that know the same loads would all choose the same pool: the costs of
 * pools are compared with random differences up to this. */
static const double JITTER = 0.08;

static bool
is_busy(const struct selection *selection, int pool)
{
    const struct world *world = selection->policy->common.world;
    const struct place_request *request = selection->request;

    for (int i = request->n_failed; i < request->n_tried; i++) {
        if (world->servers[request->tried[i]].pool == pool) {
            return true;
        }
    }
    return false;
}

/* Returns the server of a pool to prefer, or WORLD_NONE: one that was not
 * tried, is healthy if `needs_health`, and has the highest rank for the
 * request's prefix or, without a prefix, is drawn at random. */
static int
prefer_server(const struct selection *selection, int pool, bool needs_health)
{
    const struct world_pool *servers =
        &selection->policy->common.world->pools[pool];
    bool has_prefix = selection->request->prefix_key != 0;
    int best = WORLD_NONE;
    double best_draw = 0;
    uint64_t best_rank = 0;

    for (int i = 0; i < servers->n_servers; i++) {
        int server = servers->servers[i];
        uint64_t rank = has_prefix ? selection_rank(selection, server) : 0;
        double draw =
            place_draw(selection->request, SERVER_SALT + (uint64_t)server);
        if (place_was_tried(selection->request, server) ||
            (needs_health && !selection_is_healthy(selection, server))) {
            continue;
        }
        if (best == WORLD_NONE || rank > best_rank ||
            (rank == best_rank && draw > best_draw)) {
            best = server;
            best_rank = rank;
            best_draw = draw;
        }
    }
    return best;
}

/* The pools that are considered, from the first tier that has any with room.
 */
enum tier {
    IN_REGION, /* healthy servers of the own region */
    HEALTHY,   /* healthy servers of all regions */
    ANY,       /* any server, since a slow response is better than none */
    N_TIERS
};

static bool
is_in_tier(const struct selection *selection, int pool, enum tier tier)
{
    const struct world *world = selection->policy->common.world;
    int region = world->zones[world->pools[pool].zone].region;

    if (&world->deployments[world->pools[pool].deployment] !=
            selection->deployment ||
        is_busy(selection, pool)) {
        return false;
    }
    return tier != IN_REGION || selection->region == WORLD_NONE ||
           selection->request->class_ == CONTRACTS_BATCH ||
           region == selection->region;
}

/* Returns the server to prefer of the pool with the lowest cost in a tier, or
 * WORLD_NONE; *is_full is whether all of its pools are full. */
static int
choose_in_tier(const struct selection *selection, enum tier tier,
               bool *is_full)
{
    const struct world *world = selection->policy->common.world;
    double least_cost = 0;
    int best = WORLD_NONE;

    *is_full = true;
    for (int pool = 0; pool < world->n_pools; pool++) {
        int server;
        double cost;
        if (!is_in_tier(selection, pool, tier)) {
            continue;
        }
        server = prefer_server(selection, pool, tier != ANY);
        if (server == WORLD_NONE) {
            continue;
        }
        *is_full = *is_full && selection_is_full(selection, pool);
        cost = selection_cost(selection, pool) +
               JITTER * place_draw(selection->request,
                                   JITTER_SALT + (uint64_t)pool);
        if (best == WORLD_NONE || cost < least_cost) {
            best = server;
            least_cost = cost;
        }
    }
    return best;
}

/* Returns the server to ask for, or WORLD_NONE when all were tried. */
int
policy_choose_in_pools(const struct selection *selection)
{
    for (enum tier tier = IN_REGION; tier < N_TIERS; tier++) {
        bool is_full;
        int server = choose_in_tier(selection, tier, &is_full);
        if (server != WORLD_NONE && (tier != IN_REGION || !is_full)) {
            return server;
        }
    }
    return WORLD_NONE;
}
