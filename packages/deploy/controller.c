#include <string.h>

#include "deploy/internal.h"

enum {
    READ_EVERY_MS = 3000,      /* time between state reads if DEPLOY_SETTLED */
    READ_FAST_EVERY_MS = 500,  /* time between state reads otherwise */
    MAX_IDLE_CLAIM_MS = 30000, /* an idle claim is released after this */
};

/* ---- look-up ---- */

/* Returns this node's controller of a deployment, or NULL. */
struct deploy_controller *
deploy_find_controller(struct deploy *deploy, const char *name)
{
    return g_hash_table_lookup(deploy->controllers, name);
}

/* Returns a server of the controller, or NULL. */
struct deploy_server *
deploy_find_server(struct deploy_controller *controller, const char *name)
{
    for (guint i = 0; i < controller->servers->len; i++) {
        struct deploy_server *server = controller->servers->pdata[i];
        if (strcmp(server->name, name) == 0) {
            return server;
        }
    }
    return NULL;
}

static const struct world_deployment *
find_deployment(const struct deploy_controller *controller)
{
    const struct world *world = controller->deploy->world;
    int found = world_find_deployment(world, controller->name);

    if (found == WORLD_NONE ||
        world->deployments[found].kind != WORLD_ENGINE) {
        return NULL;
    }
    return &world->deployments[found];
}

/* Returns whether an order or a weight request is under way for any server. */
bool
deploy_is_busy(const struct deploy_controller *controller)
{
    for (guint i = 0; i < controller->servers->len; i++) {
        const struct deploy_server *server = controller->servers->pdata[i];
        if (server->observed.is_busy) {
            return true;
        }
    }
    return false;
}

/* ---- updates of the configuration and the membership ---- */

static void
free_server(gpointer data)
{
    struct deploy_server *server = data;

    g_free(server->host);
    g_free(server->granted_weights);
    g_strfreev(server->observed.adapters);
    g_free(server);
}

/* Frees a controller.  A claim that was not released ends with the lease. */
void
deploy_controller_free(gpointer data)
{
    struct deploy_controller *controller = data;

    g_ptr_array_free(controller->servers, TRUE);
    g_free(controller);
}

static struct deploy_controller *
add_controller(struct deploy *deploy, const char *name)
{
    struct deploy_controller *controller = g_new0(struct deploy_controller, 1);

    controller->deploy = deploy;
    g_strlcpy(controller->name, name, sizeof(controller->name));
    controller->servers = g_ptr_array_new_with_free_func(free_server);
    g_hash_table_insert(deploy->controllers, controller->name, controller);
    return controller;
}

/* Adds a server of the configuration, or marks it if the controller has it
 * already.  A server with a new address is added as a new one at the front, so
 * that a look-up by name finds it instead of the old one, which is removed
 * later. */
static void
update_server(struct deploy_controller *controller,
              const struct world_server *from)
{
    struct deploy_server *server = deploy_find_server(controller, from->name);

    if (server != NULL && server->port == from->port &&
        strcmp(server->host, from->host) == 0) {
        server->is_listed = true;
        return;
    }
    server = g_new0(struct deploy_server, 1);
    g_strlcpy(server->name, from->name, sizeof(server->name));
    server->host = g_strdup(from->host);
    server->port = from->port;
    server->is_listed = true;
    g_ptr_array_insert(controller->servers, 0, server);
}

static void
update_servers(struct deploy_controller *controller,
               const struct world_deployment *desired)
{
    const struct world *world = controller->deploy->world;

    for (guint i = 0; i < controller->servers->len; i++) {
        struct deploy_server *server = controller->servers->pdata[i];
        server->is_listed = false;
    }
    for (int i = 0; desired != NULL && i < desired->n_servers; i++) {
        update_server(controller, &world->servers[desired->servers[i]]);
    }
    for (guint i = controller->servers->len; i-- > 0;) {
        struct deploy_server *server = controller->servers->pdata[i];
        if (!server->is_listed) {
            g_ptr_array_remove_index(controller->servers, i);
        }
    }
}

/* Returns whether this node controls a deployment.  A rendezvous hash over the
 * nodes that accept work selects the node, so that a departure moves only
 * the deployments of the departed node. */
static bool
is_assigned(const struct deploy *deploy, const char *deployment)
{
    const struct members_view *view = deploy->view;
    uint64_t seed = base_hash_text(deployment, 0);
    uint64_t best = 0;
    const char *assigned = "";

    for (int i = 0; i < view->n_nodes; i++) {
        uint64_t score = base_hash_text(view->nodes[i].name, seed);
        if (members_accepts_work(&view->nodes[i]) && score >= best) {
            best = score;
            assigned = view->nodes[i].name;
        }
    }
    return strcmp(assigned, deploy->node) == 0;
}

static void
update_deployment(struct deploy *deploy,
                  const struct world_deployment *desired)
{
    struct deploy_controller *controller =
        deploy_find_controller(deploy, desired->name);
    bool is_local =
        desired->kind == WORLD_ENGINE && is_assigned(deploy, desired->name);

    if (controller == NULL && is_local) {
        controller = add_controller(deploy, desired->name);
    }
    if (controller != NULL) {
        controller->is_assigned = is_local;
        update_servers(controller, is_local ? desired : NULL);
    }
}

/* Returns whether to remove the controller: it is no longer assigned to this
 * node and requests no claim.  Releases its claim first. */
static gboolean
should_remove(gpointer key, gpointer value, gpointer data)
{
    struct deploy_controller *controller = value;

    if (controller->is_assigned || controller->is_claiming) {
        return FALSE;
    }
    if (controller->claim.is_held) {
        deploy_claim_release(controller);
    }
    return TRUE;
}

/* Creates, updates and removes controllers by the current configuration and
 * membership. */
void
deploy_controllers_update(struct deploy *deploy)
{
    GHashTableIter iter;
    gpointer value;

    if (deploy->world == NULL || deploy->view == NULL) {
        return;
    }
    g_hash_table_iter_init(&iter, deploy->controllers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((struct deploy_controller *)value)->is_assigned = false;
    }
    for (int i = 0; i < deploy->world->n_deployments; i++) {
        update_deployment(deploy, &deploy->world->deployments[i]);
    }
    g_hash_table_foreach_remove(deploy->controllers, should_remove, NULL);
}

/* ---- control loop ---- */

static bool
is_leaving(const struct deploy *deploy, const struct deploy_server *server)
{
    char *address = g_strdup_printf(
        strchr(server->host, ':') != NULL ? "[%s]:%d" : "%s:%d", server->host,
        server->port);
    bool is_found = g_hash_table_contains(deploy->leaving, address) ||
                    g_hash_table_contains(deploy->leaving, server->host);

    g_free(address);
    return is_found;
}

static void
read_states(struct deploy_controller *controller, int64_t now_ms)
{
    bool is_quick = controller->status != DEPLOY_SETTLED;

    for (guint i = 0; i < controller->servers->len; i++) {
        struct deploy_server *server = controller->servers->pdata[i];
        if (server->is_reading || now_ms < server->read_due_ms) {
            continue;
        }
        server->read_due_ms =
            now_ms + (is_quick ? READ_FAST_EVERY_MS : READ_EVERY_MS);
        deploy_request_state(controller, server, now_ms);
    }
}

static enum deploy_plan_status
make_plan(struct deploy_controller *controller,
          const struct world_deployment *configured, int64_t now_ms,
          GArray *orders)
{
    struct deploy *deploy = controller->deploy;
    struct deploy_desired desired = {
        configured->model, configured->version, configured->adapters,
        configured->change_share, configured->min_ready};
    guint n = controller->servers->len;
    struct deploy_observed *observed = g_new0(struct deploy_observed, n);

    for (guint i = 0; i < n; i++) {
        struct deploy_server *server = controller->servers->pdata[i];
        server->observed.is_leaving = is_leaving(deploy, server);
        observed[i] = server->observed;
    }
    controller->claim.valid_until_ms = deploy->lease.valid_until_ms;
    enum deploy_plan_status status =
        deploy_plan(&desired, observed, (int)n, &controller->claim,
                    deploy->weights_not_before_ms, now_ms, orders);
    g_free(observed);
    return status;
}

static void
record_status(struct deploy_controller *controller,
              enum deploy_plan_status status, int64_t now_ms)
{
    if (status != DEPLOY_SETTLED && status != DEPLOY_BLOCKED) {
        controller->last_active_ms = now_ms;
    }
    if (status == controller->status) {
        return;
    }
    controller->status = status;
    if (status == DEPLOY_BLOCKED) {
        base_log(BASE_LOG_WARNING, "deploy.blocked",
                 "deployment=%s reason=min_ready", controller->name);
    }
    else if (status == DEPLOY_OUTDATED) {
        base_log(BASE_LOG_WARNING, "deploy.outdated",
                 "deployment=%s reason=higher_fencing_seen", controller->name);
    }
}

static void
send_orders(struct deploy_controller *controller,
            const struct world_deployment *desired, const GArray *orders)
{
    for (guint i = 0; i < orders->len; i++) {
        const struct deploy_order *order =
            &g_array_index(orders, struct deploy_order, i);
        deploy_send_order(controller,
                          controller->servers->pdata[order->server], desired,
                          order);
    }
}

/* Reads the states that are due, plans, and carries out the plan. */
void
deploy_controller_tick(struct deploy_controller *controller, int64_t now_ms)
{
    const struct world_deployment *desired = find_deployment(controller);

    if (desired == NULL || !controller->is_assigned) {
        return;
    }
    read_states(controller, now_ms);
    GArray *orders = g_array_new(FALSE, FALSE, sizeof(struct deploy_order));
    enum deploy_plan_status status =
        make_plan(controller, desired, now_ms, orders);
    record_status(controller, status, now_ms);
    if (status == DEPLOY_NEEDS_CLAIM) {
        deploy_claim_request(controller, now_ms);
    }
    else if (status == DEPLOY_OUTDATED ||
             (controller->claim.is_held && !deploy_is_busy(controller) &&
              now_ms - controller->last_active_ms > MAX_IDLE_CLAIM_MS)) {
        deploy_claim_release(controller);
    }
    send_orders(controller, desired, orders);
    g_array_free(orders, TRUE);
}
