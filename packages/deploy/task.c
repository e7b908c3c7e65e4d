#include <string.h>

#include "deploy/internal.h"

enum {
    TICK_MS = 250,
    CONNECTIONS = 256,
    /* The platform replies to each call within the call's own time-out; this
     * limit is for a call that gets no reply at all. */
    MAX_SHUTDOWN_MS = 10000,
};

static void
on_tick(lws_sorted_usec_list_t *timer)
{
    struct deploy *deploy = lws_container_of(timer, struct deploy, tick);
    int64_t now_ms = base_clock_ms();
    GHashTableIter iter;
    gpointer value;

    lws_sul_schedule(deploy->lws, 0, &deploy->tick, on_tick,
                     (lws_usec_t)TICK_MS * LWS_US_PER_MS);
    if (deploy->world == NULL || deploy->view == NULL) {
        return;
    }
    deploy_lease_tick(deploy, now_ms);
    if (g_hash_table_size(deploy->controllers) > 0) {
        deploy_request_hosts(deploy, now_ms);
    }
    g_hash_table_iter_init(&iter, deploy->controllers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        deploy_controller_tick(value, now_ms);
    }
}

/* ---- updates from the node ---- */

struct update {
    struct base_call call;
    struct world *world;
    struct members_view *view;
};

static void
drop_update(struct base_call *call)
{
    struct update *update = (struct update *)call;

    world_unref(update->world);
    members_view_unref(update->view);
    g_free(update);
}

static void
serve_update(struct base_call *call, void *state)
{
    struct deploy *deploy = state;
    struct update *update = (struct update *)call;

    world_unref(deploy->world);
    deploy->world = g_steal_pointer(&update->world);
    if (deploy->view != NULL) {
        members_view_unref(deploy->view);
    }
    deploy->view = members_view_ref(update->view);
    deploy_controllers_update(deploy);
    base_call_reply(call);
}

/* Sets a new configuration and membership, and takes references to them; any
 * thread. */
void
deploy_update(struct deploy *deploy, struct world *world,
              struct members_view *view)
{
    static const struct base_call_ops OPS = {serve_update, NULL, drop_update};
    struct update *update = g_new0(struct update, 1);

    update->world = world_ref(world);
    update->view = members_view_ref(view);
    base_call_send(&update->call, &OPS, &deploy->task, NULL);
}

/* ---- the task ---- */

static void
wake(struct base_task *task)
{
    struct deploy *deploy = task->state;
    lws_cancel_service(deploy->lws);
}

/* Revokes the lease, so that other nodes can claim the deployments before it
 * would expire.  Waits for the replies from the platform, because they return
 * to this task. */
static void
shut_down(struct deploy *deploy)
{
    int64_t end_ms = base_clock_ms() + MAX_SHUTDOWN_MS;

    lws_sul_cancel(&deploy->tick);
    backends_finish(&deploy->backends);
    deploy_lease_revoke(deploy);
    while (deploy->open_calls > 0 && base_clock_ms() < end_ms) {
        if (base_task_drain(&deploy->task) == 0) {
            g_usleep(1000);
        }
    }
}

static void
run(struct base_task *task)
{
    struct deploy *deploy = task->state;

    lws_sul_schedule(deploy->lws, 0, &deploy->tick, on_tick, 1);
    while (!base_task_is_stopping(task)) {
        base_task_drain(task);
        if (lws_service(deploy->lws, 0) < 0) {
            break;
        }
    }
    shut_down(deploy);
}

static bool
open_backends(struct deploy *deploy, struct base_error *err)
{
    struct lws_context_creation_info info;

    memset(&info, 0, sizeof(info));
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.gid = (gid_t)-1;
    info.uid = (uid_t)-1;
    backends_prepare_info(&info);
    info.fd_limit_per_thread = CONNECTIONS;
    info.max_http_header_pool = CONNECTIONS;
    deploy->lws = lws_create_context(&info);
    if (deploy->lws == NULL) {
        base_error_set(
            err, BASE_INTERNAL,
            "can't create the libwebsockets context of the deploy task");
        return false;
    }
    const struct backends_desc desc = {.context = deploy->lws,
                                       .counters = deploy->counters,
                                       .source = deploy->source};
    if (!backends_init(&deploy->backends, &desc, err)) {
        lws_context_destroy(deploy->lws);
        return false;
    }
    return true;
}

static void
free_deploy(struct deploy *deploy)
{
    g_hash_table_destroy(deploy->controllers);
    g_hash_table_destroy(deploy->leaving);
    world_unref(deploy->world);
    if (deploy->view != NULL) {
        members_view_unref(deploy->view);
    }
    g_free(deploy);
}

/* Starts the task, which sends no requests before the first deploy_update.
 * Returns NULL with the error set on failure. */
struct deploy *
deploy_start(const struct deploy_desc *desc, struct base_error *err)
{
    static const struct base_task_ops OPS = {wake, run};
    struct deploy *deploy = g_new0(struct deploy, 1);

    g_strlcpy(deploy->node, desc->node, sizeof(deploy->node));
    deploy->platform = desc->platform;
    deploy->source = desc->source;
    deploy->counters = desc->counters;
    deploy->tracer = desc->tracer;
    deploy->controllers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                                deploy_controller_free);
    deploy->leaving =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    if (!open_backends(deploy, err)) {
        free_deploy(deploy);
        return NULL;
    }
    if (!base_task_init(&deploy->task, "deploy", &OPS, deploy, err) ||
        !base_task_start(&deploy->task, err)) {
        base_task_finish(&deploy->task);
        backends_finish(&deploy->backends);
        lws_context_destroy(deploy->lws);
        free_deploy(deploy);
        return NULL;
    }
    return deploy;
}

/* Revokes the node's lease, and with it all claims, and stops the task; NULL
 * is allowed.  The platform task must still run. */
void
deploy_stop(struct deploy *deploy)
{
    if (deploy == NULL) {
        return;
    }
    base_task_stop(&deploy->task);
    base_task_finish(&deploy->task);
    lws_context_destroy(deploy->lws);
    free_deploy(deploy);
}
