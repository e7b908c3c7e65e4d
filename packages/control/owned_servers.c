#include "control/control_private.h"

#include <string.h>

/* Creates, configures and ends the admission controllers of the servers that
 * this node owns, as the configuration and the membership change. */

static struct contracts_controller_desc
describe_controller(struct control *control, int server, bool is_rebuilding)
{
    const struct world_server *config = &control->world->servers[server];
    const struct world_deployment *deployment =
        &control->world->deployments[config->deployment];
    struct contracts_controller_desc desc = {
        .slots = config->slots,
        .first_token_target_ms = deployment->first_token_target_ms,
        .inter_token_target_ms = deployment->inter_token_target_ms,
        .long_share = deployment->long_share,
        .batch_share = deployment->batch_share,
        .batch_fills = deployment->batch_fills,
        .is_rebuilding = is_rebuilding,
        .now_ms = control->now_ms,
    };

    desc.id_seed = ((uint64_t)g_random_int() << 32) | g_random_int();
    return desc;
}

static void
update_leaving(struct control *control, struct control_owned_server *owned,
               int server)
{
    bool is_leaving = control_is_leaving(control, server);

    if (is_leaving == owned->is_leaving) {
        return;
    }
    owned->is_leaving = is_leaving;
    if (!is_leaving) {
        contracts_controller_undrain(owned->controller);
        return;
    }
    contracts_controller_drain(owned->controller, control->now_ms,
                               control->owner.events);
    control_owner_deliver(control, owned);
}

static bool
is_pooled(const struct control *control, int server)
{
    const struct world *world = control->world;

    return world->deployments[world->servers[server].deployment].is_pooled;
}

static uint64_t
pool_key(const struct control *control, int server)
{
    return control->world->pools[control->world->servers[server].pool].key;
}

static void
start_owning(struct control *control, int server, bool is_rebuilding)
{
    struct control_owned_server *owned =
        g_new0(struct control_owned_server, 1);
    struct contracts_controller_desc desc =
        describe_controller(control, server, is_rebuilding);

    g_strlcpy(owned->server, control->world->servers[server].name,
              sizeof(owned->server));
    owned->controller = contracts_controller_new(&desc);
    owned->is_rebuild_started = !is_rebuilding;
    if (is_pooled(control, server)) {
        control_owner_join_pool(control, owned, pool_key(control, server));
    }
    g_hash_table_insert(control->owner.servers, owned->server, owned);
    base_log(BASE_LOG_INFO, "owner.started",
             "server=%s slots=%d nodes=%d rebuilding=%d", owned->server,
             desc.slots, control->view->n_nodes, is_rebuilding);
    update_leaving(control, owned, server);
    control_owner_apply_notice(control, owned->server);
    control_handover_apply(control, owned);
}

/* Whether other nodes may hold contracts of a server that this node does not
 * know of.  They cannot if the server was not in the last configuration, as no
 * node could grant contracts of it. */
static bool
may_have_contracts(const struct control *control, const char *server)
{
    return control->owner.known_servers == NULL ||
           g_hash_table_contains(control->owner.known_servers, server);
}

static void
remember_servers(struct control *control)
{
    GHashTable *known;

    /* A starting node learns of existing servers one after another.  These
     * must not be mistaken for new servers, so nothing is recorded yet. */
    if (control->world == NULL || g_atomic_int_get(&control->is_ready) == 0) {
        return;
    }
    known = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (int i = 0; i < control->world->n_servers; i++) {
        g_hash_table_add(known, g_strdup(control->world->servers[i].name));
    }
    if (control->owner.known_servers != NULL) {
        g_hash_table_destroy(control->owner.known_servers);
    }
    control->owner.known_servers = known;
}

/* Whether the server has been removed, or another node owns it now. */
static bool
is_moved(struct control *control, int server)
{
    return server == WORLD_NONE ||
           !control_is_self(control, control_owner_of(control, server));
}

static void
stop_moved_servers(struct control *control)
{
    GList *names = g_hash_table_get_keys(control->owner.servers);

    for (GList *at = names; at != NULL; at = at->next) {
        int server = control->world == NULL
                         ? WORLD_NONE
                         : world_find_server(control->world, at->data);
        if (!is_moved(control, server)) {
            continue;
        }
        if (server != WORLD_NONE) {
            control_handover_send(control, at->data);
        }
        control_owner_remove_server(control, at->data);
    }
    g_list_free(names);
}

static void
update_owned_server(struct control *control, int server)
{
    const char *name = control->world->servers[server].name;
    struct control_owned_server *owned =
        g_hash_table_lookup(control->owner.servers, name);
    struct contracts_controller_desc desc;

    if (owned != NULL && owned->pool != NULL &&
        owned->pool->key != pool_key(control, server)) {
        control_owner_change_pool(control, owned, pool_key(control, server));
    }
    if (owned == NULL) {
        start_owning(control, server, may_have_contracts(control, name));
        return;
    }
    desc = describe_controller(control, server, false);
    contracts_controller_configure(owned->controller, &desc);
    update_leaving(control, owned, server);
    control_owner_apply_notice(control, owned->server);
}

/* Applies a change of the configuration or the membership: which servers this
 * node owns, and with which settings. */
void
control_owner_update(struct control *control)
{
    int n_servers = control->world == NULL ? 0 : control->world->n_servers;

    stop_moved_servers(control);
    for (int i = 0; i < n_servers; i++) {
        if (!is_moved(control, i)) {
            update_owned_server(control, i);
        }
    }
    remember_servers(control);
    control_rebuild_begin(control);
}
