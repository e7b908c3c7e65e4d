#include "control/control_private.h"

/* The owners of a deployment's pools send each other their loads, and pass
 * them on with each answer to an admission request.  So a node knows all pools
 * of the deployment by its latest answer, and finds the next one with a free
 * slot at the first try. */
enum {
    /* Between reports to owners in the same region.  Loads change within the
     * service time of a request, some hundred ms. */
    REPORT_MS = 250,
    /* Between reports to other regions, whose links are narrow. */
    FAR_REPORT_MS = 1000,
    MAX_AGE_MS = 3000, /* older loads are not passed on */
};

/* The load of a pool that another node owns. */
struct known_load {
    uint64_t key;
    struct contracts_load load;
};

/* Prepares an empty set of known loads. */
void
control_loads_init(struct control *control)
{
    control->loads.known =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
}

/* Frees the set. */
void
control_loads_finish(struct control *control)
{
    g_hash_table_destroy(control->loads.known);
}

static void
fill_load(Control__PoolLoad *out, uint64_t key,
          const struct contracts_load *load, int64_t age_ms)
{
    control__pool_load__init(out);
    out->key = key;
    out->window = (uint32_t)load->window;
    out->online = (uint32_t)load->online;
    out->batch = (uint32_t)load->batch;
    out->queued = (uint32_t)load->queued;
    out->age_ms = (uint32_t)age_ms;
}

/* Reads a load; its seen_ms is on the clock of now_ms. */
void
control_read_pool_load(const Control__PoolLoad *in, int64_t now_ms,
                       struct contracts_load *out)
{
    out->window = (int)MIN(in->window, (uint32_t)INT32_MAX);
    out->online = (int)MIN(in->online, (uint32_t)INT32_MAX);
    out->batch = (int)MIN(in->batch, (uint32_t)INT32_MAX);
    out->queued = (int)MIN(in->queued, (uint32_t)INT32_MAX);
    out->seen_ms = now_ms - (int64_t)in->age_ms;
}

/* ---- sending ---- */

static struct control_owned_pool *
find_owned(struct control *control, int pool)
{
    return g_hash_table_lookup(control->owner.pools,
                               &control->world->pools[pool].key);
}

/* Packs the loads of this node's pools of a deployment. */
static struct control_bytes
pack_own_loads(struct control *control, int deployment)
{
    const struct world *world = control->world;
    Control__Loads message = CONTROL__LOADS__INIT;
    Control__PoolLoad *loads = g_new(Control__PoolLoad, world->n_pools + 1);
    struct control_bytes bytes;

    message.pools = g_new(Control__PoolLoad *, world->n_pools + 1);
    for (int i = 0; i < world->n_pools; i++) {
        struct control_owned_pool *owned = find_owned(control, i);
        struct contracts_load load;
        if (owned == NULL || world->pools[i].deployment != deployment) {
            continue;
        }
        contracts_pool_load(owned->pool, &load);
        fill_load(&loads[message.n_pools], owned->key, &load, 0);
        message.pools[message.n_pools] = &loads[message.n_pools];
        message.n_pools++;
    }
    bytes = control_pack(&message.base);
    g_free(message.pools);
    g_free(loads);
    return bytes;
}

static int
region_of_node(const struct control *control, int node)
{
    int zone =
        world_find_zone(control->world, control->view->nodes[node].zone);

    return zone == WORLD_NONE ? WORLD_NONE
                              : control->world->zones[zone].region;
}

static bool
owns_pool_of(struct control *control, int node, int deployment)
{
    for (int i = 0; i < control->world->n_pools; i++) {
        const struct world_pool *pool = &control->world->pools[i];
        if (pool->deployment == deployment &&
            control_owner_of(control, pool->servers[0]) == node) {
            return true;
        }
    }
    return false;
}

static void
report_to_owners(struct control *control, int deployment, bool to_far)
{
    struct control_bytes bytes = pack_own_loads(control, deployment);
    int own_region = region_of_node(control, control->view->self);

    for (int node = 0; node < control->view->n_nodes; node++) {
        if (control_is_self(control, node) ||
            !owns_pool_of(control, node, deployment) ||
            (!to_far && region_of_node(control, node) != own_region)) {
            continue;
        }
        wire_send(&control->endpoint, control_node_address(control, node),
                  CONTROL_LOADS, bytes.data, bytes.size);
    }
    g_free(bytes.data);
}

static bool
has_pool_of(struct control *control, int deployment)
{
    for (int i = 0; i < control->world->n_pools; i++) {
        if (control->world->pools[i].deployment == deployment &&
            find_owned(control, i) != NULL) {
            return true;
        }
    }
    return false;
}

/* Reports the loads of this node's pools when that is due. */
void
control_loads_tick(struct control *control)
{
    struct control_loads *loads = &control->loads;
    bool to_far = control->now_ms >= loads->next_far_ms;

    if (control->world == NULL || control->now_ms < loads->next_ms ||
        g_hash_table_size(control->owner.pools) == 0) {
        return;
    }
    loads->next_ms = control->now_ms + REPORT_MS;
    if (to_far) {
        loads->next_far_ms = control->now_ms + FAR_REPORT_MS;
    }
    for (int i = 0; i < control->world->n_deployments; i++) {
        if (control->world->deployments[i].is_pooled &&
            has_pool_of(control, i)) {
            report_to_owners(control, i, to_far);
        }
    }
}

/* ---- receiving ---- */

/* Stores the loads that another owner reports; false if the message is
 * malformed. */
bool
control_loads_receive(struct control *control,
                      const struct wire_message *message)
{
    Control__Loads *loads =
        control__loads__unpack(NULL, message->size, message->body);
    bool is_ok = loads != NULL;

    for (size_t i = 0; is_ok && i < loads->n_pools; i++) {
        struct known_load *known = g_new0(struct known_load, 1);
        known->key = loads->pools[i]->key;
        control_read_pool_load(loads->pools[i], control->now_ms, &known->load);
        g_hash_table_replace(control->loads.known, &known->key, known);
    }
    control__loads__free_unpacked(loads, NULL);
    return is_ok;
}

static bool
find_load(struct control *control, int pool, struct contracts_load *out)
{
    struct control_owned_pool *owned = find_owned(control, pool);
    const struct known_load *known = g_hash_table_lookup(
        control->loads.known, &control->world->pools[pool].key);

    if (owned != NULL) {
        contracts_pool_load(owned->pool, out);
        out->seen_ms = control->now_ms;
        return true;
    }
    if (known == NULL || control->now_ms - known->load.seen_ms > MAX_AGE_MS) {
        return false;
    }
    *out = known->load;
    return true;
}

/* Adds the known loads of a deployment's pools to an answer.  `loads` has room
 * for CONTROL_MAX_LOADS, `pointers` too; both must outlive the answer. */
void
control_loads_add_to(struct control *control, int deployment,
                     Control__Answer *answer, Control__PoolLoad *loads,
                     Control__PoolLoad **pointers)
{
    int n_pools = control->world == NULL ? 0 : control->world->n_pools;

    answer->pools = pointers;
    for (int i = 0; i < n_pools && answer->n_pools < CONTROL_MAX_LOADS; i++) {
        struct contracts_load load;
        if (control->world->pools[i].deployment != deployment ||
            !find_load(control, i, &load)) {
            continue;
        }
        fill_load(&loads[answer->n_pools], control->world->pools[i].key, &load,
                  control->now_ms - load.seen_ms);
        pointers[answer->n_pools] = &loads[answer->n_pools];
        answer->n_pools++;
    }
}
