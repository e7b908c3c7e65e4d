#include "jobs/home.h"

#include <string.h>

enum {
    /* Nodes of a region that scan for jobs without a runner.  Two, so that
     * the scans go on while the loss of one is not known yet. */
    N_SCANNERS = 2,
};

/* Makes the choice of scanners independent of the homes of jobs. */
#define SCANNER_SEED 0x7363616e6e657273U

/* Returns the region of a zone, or WORLD_NONE if it is not known. */
int
jobs_region_of(const struct world *world, const char *zone)
{
    int index = world == NULL ? WORLD_NONE : world_find_zone(world, zone);

    return index == WORLD_NONE ? WORLD_NONE : world->zones[index].region;
}

static bool
may_run_jobs(const struct members_node *node)
{
    return members_accepts_work(node) && node->jobs_address[0] != '\0';
}

static void
keep_if(struct jobs_homes *homes,
        bool (*is_kept)(const struct jobs_homes *homes, int node,
                        int64_t limit),
        int64_t limit)
{
    int n = 0;

    for (int i = 0; i < homes->n; i++) {
        if (is_kept(homes, homes->nodes[i], limit)) {
            homes->nodes[n++] = homes->nodes[i];
        }
    }
    homes->n = n > 0 ? n : homes->n;
}

static bool
is_alive(const struct jobs_homes *homes, int node, int64_t limit)
{
    (void)limit;
    return homes->view->nodes[node].state == MEMBERS_ALIVE;
}

static bool
is_strong(const struct jobs_homes *homes, int node, int64_t limit)
{
    return homes->view->nodes[node].cpu_milli > limit;
}

static void
list_nodes(struct jobs_homes *homes, const struct world *world, int region)
{
    const struct members_view *view = homes->view;

    homes->n = 0;
    for (int i = 0; i < view->n_nodes; i++) {
        const struct members_node *node = &view->nodes[i];
        if (may_run_jobs(node) &&
            (region == WORLD_NONE ||
             jobs_region_of(world, node->zone) == region)) {
            homes->nodes[homes->n++] = i;
        }
    }
}

/* Selects the nodes that run the jobs of a region (WORLD_NONE: of any): those
 * with more than half of the largest processor share, since runners of many
 * jobs must not be late for other work.  Suspects are left out if others
 * remain, and other regions stand in for one without nodes.  Takes a reference
 * to the view. */
void
jobs_homes_init(struct jobs_homes *homes, const struct world *world,
                struct members_view *view, int region)
{
    int64_t most = 0;

    homes->view = members_view_ref(view);
    homes->nodes = g_new(int, view->n_nodes + 1);
    list_nodes(homes, world, region);
    if (homes->n == 0) {
        list_nodes(homes, world, WORLD_NONE);
    }
    keep_if(homes, is_alive, 0);
    for (int i = 0; i < homes->n; i++) {
        most = MAX(most, view->nodes[homes->nodes[i]].cpu_milli);
    }
    keep_if(homes, is_strong, most / 2);
}

/* Frees the selection. */
void
jobs_homes_finish(struct jobs_homes *homes)
{
    g_free(homes->nodes);
    members_view_unref(homes->view);
    memset(homes, 0, sizeof(*homes));
}

/* Returns the node, as an index in the view, that runs a job, or WORLD_NONE if
 * there is none.  `except` is a node that cannot, or WORLD_NONE. */
int
jobs_homes_find(const struct jobs_homes *homes, const char *id, int except)
{
    uint64_t seed = base_hash_text(id, 0);
    uint64_t best_weight = 0;
    int best = WORLD_NONE;

    for (int i = 0; i < homes->n; i++) {
        int node = homes->nodes[i];
        uint64_t weight = base_hash_text(homes->view->nodes[node].name, seed);
        if (node != except && (best == WORLD_NONE || weight > best_weight)) {
            best = node;
            best_weight = weight;
        }
    }
    return best;
}

/* Returns whether a node, an index in the view, scans the region's jobs at the
 * time `wall_ms`.  The nodes take turns; clocks that differ only make the
 * turns of two nodes overlap or leave a gap. */
bool
jobs_homes_scans(const struct jobs_homes *homes, int node, int64_t wall_ms)
{
    uint64_t seed = SCANNER_SEED + (uint64_t)(wall_ms / JOBS_SCAN_TURN_MS);
    uint64_t own = base_hash_text(homes->view->nodes[node].name, seed);
    int n_higher = 0;
    bool is_home = false;

    for (int i = 0; i < homes->n; i++) {
        const char *name = homes->view->nodes[homes->nodes[i]].name;
        n_higher += base_hash_text(name, seed) > own ? 1 : 0;
        is_home = is_home || homes->nodes[i] == node;
    }
    return is_home && n_higher < N_SCANNERS;
}
