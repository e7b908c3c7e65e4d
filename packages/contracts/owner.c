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

/* Returns the index in the view of the node that owns a server, or WORLD_NONE
 * when no node accepts work.  Equal views and configurations give the same
 * owner on all nodes, and a change of one node moves only the servers that it
 * owned or comes to own.  The cost grows with the number of nodes, so callers
 * cache the result until the view or the configuration changes. */
int
contracts_owner(const struct world *world, const struct members_view *view,
                int server)
{
    const struct world_server *backend = &world->servers[server];
    uint64_t seed = base_hash_text(backend->name, 0);
    enum nearness best_nearness = ANYWHERE;
    uint64_t best_weight = 0;
    int best = WORLD_NONE;

    for (int i = 0; i < view->n_nodes; i++) {
        const struct members_node *node = &view->nodes[i];
        if (!members_accepts_work(node)) {
            continue;
        }
        enum nearness nearness = nearness_of(world, node, backend->zone);
        uint64_t weight = base_hash_text(node->name, seed);
        if (best == WORLD_NONE || nearness > best_nearness ||
            (nearness == best_nearness && weight > best_weight)) {
            best = i;
            best_nearness = nearness;
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
