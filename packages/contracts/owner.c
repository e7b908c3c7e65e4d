#include "contracts/contracts.h"

#include <string.h>

enum {
    /* While a server's owner is unreachable, all nodes together may use
     * 1 / LOCAL_SHARE_DIVISOR of its slots. */
    LOCAL_SHARE_DIVISOR = 2,
};

/* How near a node is to a server.  Only the nearest of the nodes that accept
 * work may own the server. */
enum nearness {
    ANYWHERE,
    SAME_REGION,
    SAME_ZONE,
};

static enum nearness
nearness_of(const struct world *world, const struct members_node *node,
            int server_zone)
{
    const struct world_zone *zone = &world->zones[server_zone];
    int node_zone;

    if (strcmp(node->zone, zone->name) == 0) {
        return SAME_ZONE;
    }
    node_zone = world_find_zone(world, node->zone);
    if (node_zone != WORLD_NONE &&
        world->zones[node_zone].region == zone->region) {
        return SAME_REGION;
    }
    return ANYWHERE;
}

/* The nodes that may own a pool. */
struct candidates {
    enum nearness nearness;
    int most_cpu_milli; /* largest processor among the nearest nodes */
};

static struct candidates
find_candidates(const struct world *world, const struct members_view *view,
                int zone)
{
    struct candidates found = {ANYWHERE, 0};

    for (int i = 0; i < view->n_nodes; i++) {
        const struct members_node *node = &view->nodes[i];
        enum nearness nearness;
        if (!members_accepts_work(node)) {
            continue;
        }
        nearness = nearness_of(world, node, zone);
        if (nearness > found.nearness) {
            found = (struct candidates){nearness, 0};
        }
        if (nearness == found.nearness) {
            found.most_cpu_milli = MAX(found.most_cpu_milli, node->cpu_milli);
        }
    }
    return found;
}

/* Returns the index in the view of the node that owns a pool of servers, or
 * WORLD_NONE when no node accepts work.  Of the nearest nodes, those with more
 * than half of the largest processor may own it: the requests of a whole zone
 * may pass through the owner.  Equal views and configurations give the same
 * owner on all nodes, and a change of one node moves only the pools that it
 * owned or comes to own.  The cost grows with the number of nodes, so callers
 * cache the result until the view or the configuration changes. */
int
contracts_owner(const struct world *world, const struct members_view *view,
                int pool)
{
    int zone = world->pools[pool].zone;
    struct candidates candidates = find_candidates(world, view, zone);
    uint64_t best_weight = 0;
    int best = WORLD_NONE;

    for (int i = 0; i < view->n_nodes; i++) {
        const struct members_node *node = &view->nodes[i];
        uint64_t weight;
        if (!members_accepts_work(node) ||
            nearness_of(world, node, zone) != candidates.nearness ||
            (candidates.most_cpu_milli > 0 &&
             2 * node->cpu_milli <= candidates.most_cpu_milli)) {
            continue;
        }
        weight = base_hash_text(node->name, world->pools[pool].key);
        if (best == WORLD_NONE || weight > best_weight) {
            best = i;
            best_weight = weight;
        }
    }
    return best;
}

/* Returns how many online requests one of n_nodes may run on a server while
 * the server's owner is unreachable.  It is at least 1, so that the loss of an
 * owner never stops the service. */
int
contracts_local_share(int slots, int n_nodes)
{
    int share = slots / LOCAL_SHARE_DIVISOR / MAX(n_nodes, 1);

    return MAX(share, 1);
}

/* Returns how many requests one of n_nodes may send in each CONTRACTS_LOCAL_MS
 * to a server that has named a limit, while its owner is unreachable.  In any
 * CONTRACTS_LOCAL_MS all nodes together then send at most half of what the
 * limit allows, since two such periods overlap it; the owner may be granting
 * to other nodes meanwhile. */
int
contracts_local_limit(double limit_per_s, int n_nodes)
{
    double period_s = CONTRACTS_LOCAL_MS / 1000.0;
    double share =
        limit_per_s * period_s / 2 / LOCAL_SHARE_DIVISOR / MAX(n_nodes, 1);

    return (int)MIN(share, (double)INT32_MAX);
}
