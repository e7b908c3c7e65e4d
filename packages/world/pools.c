#include "world/world.h"

#include <string.h>

enum {
    /* A pool has at most this many servers, so that the admissions to a large
     * zone are shared by several owners. */
    MAX_POOL_SERVERS = 12,
};

/* Returns into how many pools the servers of a deployment in a zone are split:
 * a power of two, so that the number changes rarely. */
static uint64_t
count_buckets(const struct world *world, int deployment, int zone)
{
    const struct world_deployment *owner = &world->deployments[deployment];
    int n_servers = 0;
    uint64_t n_buckets = 1;

    for (int i = 0; i < owner->n_servers; i++) {
        n_servers += world->servers[owner->servers[i]].zone == zone;
    }
    while ((uint64_t)n_servers > MAX_POOL_SERVERS * n_buckets) {
        n_buckets *= 2;
    }
    return n_buckets;
}

/* Returns the key of a server's pool.  It is computed from names, since the
 * indices of zones and servers differ from node to node. */
static uint64_t
pool_key(const struct world *world, const struct world_server *server,
         uint64_t n_buckets)
{
    const struct world_deployment *deployment =
        &world->deployments[server->deployment];
    uint64_t name = base_hash_text(server->name, 0);

    if (!deployment->is_pooled) {
        return name;
    }
    return base_hash_text(
        deployment->name,
        base_hash_text(world->zones[server->zone].name, name % n_buckets));
}

static struct world_pool *
find_or_add(struct world *world, uint64_t key)
{
    struct world_pool *pool;

    for (int i = 0; i < world->n_pools; i++) {
        if (world->pools[i].key == key) {
            return &world->pools[i];
        }
    }
    pool = &world->pools[world->n_pools++];
    pool->key = key;
    return pool;
}

static void
add_to_pools(struct world *world, int index, uint64_t n_buckets)
{
    struct world_server *server = &world->servers[index];
    struct world_pool *pool =
        find_or_add(world, pool_key(world, server, n_buckets));

    pool->zone = server->zone;
    pool->deployment = server->deployment;
    pool->servers = g_renew(int, pool->servers, pool->n_servers + 1);
    pool->servers[pool->n_servers++] = index;
    server->pool = (int)(pool - world->pools);
}

/* Divides the servers into pools.  Called once, when the world is complete. */
void
world_make_pools(struct world *world)
{
    world->pools = g_new0(struct world_pool, MAX(world->n_servers, 1));
    for (int d = 0; d < world->n_deployments; d++) {
        const struct world_deployment *deployment = &world->deployments[d];
        uint64_t *n_buckets = g_new0(uint64_t, MAX(world->n_zones, 1));
        for (int i = 0; i < deployment->n_servers; i++) {
            int server = deployment->servers[i];
            int zone = world->servers[server].zone;
            if (n_buckets[zone] == 0) {
                n_buckets[zone] = count_buckets(world, d, zone);
            }
            add_to_pools(world, server, n_buckets[zone]);
        }
        g_free(n_buckets);
    }
}

/* Frees the pools. */
void
world_free_pools(struct world *world)
{
    for (int i = 0; i < world->n_pools; i++) {
        g_free(world->pools[i].servers);
    }
    g_free(world->pools);
}
