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

/* Describes the operators' rate limits as this node applies them. */
static json_t *
describe_rates(struct control *control)
{
    json_t *list = json_array();
    GArray *rates = control_rates_describe(control);

    for (guint i = 0; i < rates->len; i++) {
        const struct control_rate_info *rate =
            &g_array_index(rates, struct control_rate_info, i);
        json_array_append_new(
            list,
            json_pack("{s:o, s:f, s:o, s:b, s:b, s:b, s:f}", "operator",
                      base_json_text(rate->operator_name), "per_s",
                      rate->per_s, "limiter", base_json_text(rate->limiter),
                      "substitute", rate->is_substituted, "relayed",
                      rate->is_relayed, "alone", rate->is_alone, "admitted",
                      rate->fraction));
    }
    g_array_unref(rates);
    return list;
}

/* Describes the buckets of the operators that this node limits. */
static json_t *
describe_limiters(struct control *control)
{
    json_t *list = json_array();
    GHashTableIter iter;
    gpointer name;
    gpointer value;

    g_hash_table_iter_init(&iter, control->limiters);
    while (g_hash_table_iter_next(&iter, &name, &value)) {
        struct allowance_limiter_info info;
        allowance_limiter_describe(value, control->now_ms, &info);
        json_array_append_new(
            list, json_pack("{s:o, s:f, s:f, s:f, s:f, s:f, s:f, s:i, s:i}",
                            "operator", base_json_text(name), "level",
                            info.level, "capacity", info.capacity,
                            "granted_per_s", info.granted_per_s, "held_per_s",
                            info.held_per_s, "demand_per_s", info.demand_per_s,
                            "admitted", info.fraction, "nodes", info.n_nodes,
                            "silent", info.n_silent));
    }
    return list;
}

/* Returns the node's state as JSON text: itself, the members, the servers that
 * it owns, the links and rate limits.  The caller frees it with g_free. */
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
    json_object_set_new(root, "rates", describe_rates(control));
    json_object_set_new(root, "limiters", describe_limiters(control));
    text = json_dumps(root, JSON_COMPACT | JSON_REAL_PRECISION(6));
    copy = g_strdup(text);
    free(text);
    json_decref(root);
    return copy;
}
