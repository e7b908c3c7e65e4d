#include <string.h>

#include "deploy/internal.h"

enum {
    READ_EVERY_MS = 3000,     /* states, while nothing is to be done */
    READ_BUSY_EVERY_MS = 500, /* states, while something is under way */
    KEEP_CLAIM_MS = 30000,    /* a claim without need for it */
};

/* ---- finding ---- */

/* This node's controller of a deployment, or NULL. */
struct deploy_controller *
deploy_find_controller(struct deploy *deploy, const char *name)
{
    return g_hash_table_lookup(deploy->controllers, name);
}

/* A server of the controller, or NULL. */
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
find_wanted(const struct deploy_controller *controller)
{
    const struct world *world = controller->deploy->world;
    int found = world_find_deployment(world, controller->name);

    if (found == WORLD_NONE ||
        world->deployments[found].kind != WORLD_ENGINE) {
        return NULL;
    }
    return &world->deployments[found];
}

/* Whether an order is open, or its outcome is. */
bool
deploy_is_busy(const struct deploy_controller *controller)
{
    for (guint i = 0; i < controller->servers->len; i++) {
        const struct deploy_server *server = controller->servers->pdata[i];
        if (server->seen.is_busy) {
            return true;
        }
    }
    return false;
}

/* ---- following the configuration and the membership ---- */

static void
free_server(gpointer data)
{
    struct deploy_server *server = data;

    g_free(server->host);
    g_free(server->weights);
    g_strfreev(server->seen.adapters);
    g_free(server);
}

/* Frees a controller; its claim is released or left to the lease. */
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

/* A server that moved to another address is a new one; it stands in front,
 * so that it is found instead of the old one until that goes. */
static void
follow_server(struct deploy_controller *controller,
              const struct world_server *from)
{
    struct deploy_server *server = deploy_find_server(controller, from->name);

    if (server != NULL && server->port == from->port &&
        strcmp(server->host, from->host) == 0) {
        server->is_kept = true;
        return;
    }
    server = g_new0(struct deploy_server, 1);
    g_strlcpy(server->name, from->name, sizeof(server->name));
    server->host = g_strdup(from->host);
    server->port = from->port;
    server->is_kept = true;
    g_ptr_array_insert(controller->servers, 0, server);
}

static void
follow_servers(struct deploy_controller *controller,
               const struct world_deployment *wanted)
{
    const struct world *world = controller->deploy->world;

    for (guint i = 0; i < controller->servers->len; i++) {
        struct deploy_server *server = controller->servers->pdata[i];
        server->is_kept = false;
    }
    for (int i = 0; wanted != NULL && i < wanted->n_servers; i++) {
        follow_server(controller, &world->servers[wanted->servers[i]]);
    }
    for (guint i = controller->servers->len; i-- > 0;) {
        struct deploy_server *server = controller->servers->pdata[i];
        if (!server->is_kept) {
            g_ptr_array_remove_index(controller->servers, i);
        }
    }
}

/* The node that controls a deployment: rendezvous hash over those that take
 * work, so that the part moves only when its node goes. */
static bool
is_chosen(const struct deploy *deploy, const char *deployment)
{
    const struct members_view *view = deploy->view;
    uint64_t seed = base_hash_text(deployment, 0);
    uint64_t best = 0;
    const char *chosen = "";

    for (int i = 0; i < view->n_nodes; i++) {
        uint64_t score = base_hash_text(view->nodes[i].name, seed);
        if (members_accepts_work(&view->nodes[i]) && score >= best) {
            best = score;
            chosen = view->nodes[i].name;
        }
    }
    return strcmp(chosen, deploy->node) == 0;
}

static void
follow_deployment(struct deploy *deploy, const struct world_deployment *wanted)
{
    struct deploy_controller *controller =
        deploy_find_controller(deploy, wanted->name);
    bool is_mine =
        wanted->kind == WORLD_ENGINE && is_chosen(deploy, wanted->name);

    if (controller == NULL && is_mine) {
        controller = add_controller(deploy, wanted->name);
    }
    if (controller != NULL) {
        controller->is_chosen = is_mine;
        follow_servers(controller, is_mine ? wanted : NULL);
    }
}

/* Controllers whose part ended go once nothing of theirs is open. */
static gboolean
is_over(gpointer key, gpointer value, gpointer data)
{
    struct deploy_controller *controller = value;

    if (controller->is_chosen || controller->is_claiming) {
        return FALSE;
    }
    if (controller->claim.is_held) {
        deploy_claim_release(controller);
    }
    return TRUE;
}

/* Takes up the world and the view as they are now. */
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
        ((struct deploy_controller *)value)->is_chosen = false;
    }
    for (int i = 0; i < deploy->world->n_deployments; i++) {
        follow_deployment(deploy, &deploy->world->deployments[i]);
    }
    g_hash_table_foreach_remove(deploy->controllers, is_over, NULL);
}

/* ---- deciding ---- */

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
    bool is_quick = controller->need != DEPLOY_SETTLED;

    for (guint i = 0; i < controller->servers->len; i++) {
        struct deploy_server *server = controller->servers->pdata[i];
        if (server->is_reading || now_ms < server->read_due_ms) {
            continue;
        }
        server->read_due_ms =
            now_ms + (is_quick ? READ_BUSY_EVERY_MS : READ_EVERY_MS);
        deploy_read(controller, server, now_ms);
    }
}

static enum deploy_need
plan(struct deploy_controller *controller,
     const struct world_deployment *world_wanted, int64_t now_ms,
     GArray *orders)
{
    struct deploy *deploy = controller->deploy;
    struct deploy_wanted wanted = {
        world_wanted->model, world_wanted->version, world_wanted->adapters,
        world_wanted->change_share, world_wanted->min_ready};
    guint n = controller->servers->len;
    struct deploy_seen *seen = g_new0(struct deploy_seen, n);

    for (guint i = 0; i < n; i++) {
        struct deploy_server *server = controller->servers->pdata[i];
        server->seen.is_leaving = is_leaving(deploy, server);
        seen[i] = server->seen;
    }
    controller->claim.until_ms = deploy->lease.until_ms;
    enum deploy_need need =
        deploy_plan(&wanted, seen, (int)n, &controller->claim,
                    deploy->weights_not_before_ms, now_ms, orders);
    g_free(seen);
    return need;
}

static void
note_need(struct deploy_controller *controller, enum deploy_need need,
          int64_t now_ms)
{
    if (need != DEPLOY_SETTLED && need != DEPLOY_BLOCKED) {
        controller->needed_ms = now_ms;
    }
    if (need == controller->need) {
        return;
    }
    controller->need = need;
    if (need == DEPLOY_BLOCKED) {
        base_log(BASE_LOG_WARNING, "deploy.blocked",
                 "deployment=%s reason=min_ready", controller->name);
    }
    else if (need == DEPLOY_OUTDATED) {
        base_log(BASE_LOG_WARNING, "deploy.outdated",
                 "deployment=%s reason=higher_fencing_seen", controller->name);
    }
}

static void
give_orders(struct deploy_controller *controller,
            const struct world_deployment *wanted, const GArray *orders)
{
    for (guint i = 0; i < orders->len; i++) {
        const struct deploy_order *order =
            &g_array_index(orders, struct deploy_order, i);
        deploy_send_order(controller,
                          controller->servers->pdata[order->server], wanted,
                          order);
    }
}

/* One round: reads what is due, plans, and does what the plan says. */
void
deploy_controller_tick(struct deploy_controller *controller, int64_t now_ms)
{
    const struct world_deployment *wanted = find_wanted(controller);

    if (wanted == NULL || !controller->is_chosen) {
        return;
    }
    read_states(controller, now_ms);
    GArray *orders = g_array_new(FALSE, FALSE, sizeof(struct deploy_order));
    enum deploy_need need = plan(controller, wanted, now_ms, orders);
    note_need(controller, need, now_ms);
    if (need == DEPLOY_CLAIM) {
        deploy_claim_take(controller, now_ms);
    }
    else if (need == DEPLOY_OUTDATED ||
             (controller->claim.is_held && !deploy_is_busy(controller) &&
              now_ms - controller->needed_ms > KEEP_CLAIM_MS)) {
        deploy_claim_release(controller);
    }
    give_orders(controller, wanted, orders);
    g_array_free(orders, TRUE);
}
