#include "control/control_private.h"

#include <jansson.h>

#include "base/http_text.h"

static const char *
state_name(enum members_state state)
{
    static const char *const NAMES[] = {"alive", "suspect", "leaving", "left",
                                        "dead"};
    return NAMES[state];
}

static json_t *
describe_members(const struct members_view *view)
{
    json_t *list = json_array();

    for (int i = 0; i < view->n_nodes; i++) {
        const struct members_node *node = &view->nodes[i];
        json_t *object = json_pack(
            "{s:o, s:o, s:s, s:o, s:o, s:I}", "name",
            base_json_text(node->name), "zone", base_json_text(node->zone),
            "state", state_name(node->state), "control",
            base_json_text(node->control_address), "http",
            base_json_text(node->http_address), "revision",
            (json_int_t)node->world_revision);
        json_array_append_new(list, object);
    }
    return list;
}

static json_t *
describe_owned_servers(struct control *control)
{
    json_t *list = json_array();
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, control->owner.servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct control_owned_server *owned = value;
        int server = world_find_server(control->world, owned->server);
        struct contracts_load load;
        contracts_controller_load(owned->controller, &load);
        json_t *object = json_pack(
            "{s:o, s:i, s:i, s:i, s:i, s:b}", "name",
            base_json_text(owned->server), "window", load.window, "online",
            load.online, "batch", load.batch, "queued", load.queued, "leaving",
            server != WORLD_NONE && control_is_leaving(control, server));
        if (control->cost_routing) {
            json_object_set_new(
                object, "remaining_ms",
                json_integer((json_int_t)contracts_controller_remaining(
                    owned->controller, 0, control->now_ms)));
        }
        json_array_append_new(list, object);
    }
    return list;
}

static json_t *
describe_links(const struct world *world)
{
    json_t *list = json_array();

    for (int i = 0; world != NULL && i < world->n_links; i++) {
        const struct world_link *link = &world->links[i];
        json_t *object = json_pack(
            "{s:[o,o], s:f, s:I}", "between",
            base_json_text(world->regions[link->region_a].name),
            base_json_text(world->regions[link->region_b].name), "one_way_ms",
            link->one_way_ms, "bytes_per_s", (json_int_t)link->bytes_per_s);
        json_array_append_new(list, object);
    }
    return list;
}

/* Returns the node's state as JSON text: itself, the members, the servers that
 * it owns and the links.  The caller frees it with g_free. */
char *
control_status_text(struct control *control)
{
    json_t *root = json_pack(
        "{s:o, s:o, s:o, s:I, s:b, s:b, s:i, s:i}", "node",
        base_json_text(control->node), "zone", base_json_text(control->zone),
        "environment", base_json_text(control->environment), "revision",
        (json_int_t)control->config_sync.revision, "ready",
        g_atomic_int_get(&control->is_ready), "watcher", control->is_watcher,
        "contracts_held", (int)control->client.held.count, "asks_waiting",
        (int)g_hash_table_size(control->client.admissions));
    char *text;
    char *copy;

    json_object_set_new(root, "members", describe_members(control->view));
    json_object_set_new(root, "servers",
                        control->world ? describe_owned_servers(control)
                                       : json_array());
    json_object_set_new(root, "links", describe_links(control->world));
    text = json_dumps(root, JSON_COMPACT);
    copy = g_strdup(text);
    free(text);
    json_decref(root);
    return copy;
}
