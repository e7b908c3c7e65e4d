#include "control/control_private.h"

#include <string.h>

enum {
    /* Watchers of a site, over all zones, and of each zone.  A node that
     * watches no more notices nothing itself, and membership replaces it only
     * after seconds, so enough others must watch all the while. */
    SITE_WATCHERS = 12,
    MIN_ZONE_WATCHERS = 2,
};

/* Makes the choice of watchers independent of the choice of owners, which
 * uses the same hash. */
#define WATCHER_SEED 0x7761746368657273U

static int
count_zones(const struct members_view *view)
{
    GHashTable *zones = g_hash_table_new(g_str_hash, g_str_equal);
    int n_zones;

    for (int i = 0; i < view->n_nodes; i++) {
        if (members_accepts_work(&view->nodes[i])) {
            g_hash_table_add(zones, (gpointer)view->nodes[i].zone);
        }
    }
    n_zones = (int)g_hash_table_size(zones);
    g_hash_table_destroy(zones);
    return n_zones;
}

/* Returns how many nodes of each zone watch the key-value service of a
 * site. */
int
control_watchers_per_zone(const struct members_view *view)
{
    int n_zones = MAX(count_zones(view), 1);

    return MAX(MIN_ZONE_WATCHERS, (SITE_WATCHERS + n_zones - 1) / n_zones);
}

/* Whether this node is one of the n_watchers nodes of its zone that watch the
 * key-value service.  The nodes whose names have the highest hashes watch, so
 * that all nodes agree on the choice. */
bool
control_should_watch(const struct members_view *view, int n_watchers)
{
    const struct members_node *self = &view->nodes[view->self];
    uint64_t weight = base_hash_text(self->name, WATCHER_SEED);
    int n_higher = 0;

    for (int i = 0; i < view->n_nodes; i++) {
        const struct members_node *node = &view->nodes[i];
        if (members_accepts_work(node) &&
            strcmp(node->zone, self->zone) == 0 &&
            base_hash_text(node->name, WATCHER_SEED) > weight) {
            n_higher++;
        }
    }
    return members_accepts_work(self) && n_higher < n_watchers;
}
