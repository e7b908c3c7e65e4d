#include "node/node.h"

#include <string.h>

enum {
    DRAIN_POLL_MS = 20,
    /* A draining node runs at least this long, so that load balancers see it
     * unready before it stops. */
    UNREADY_MS = 1000,
    /* A site's load balancer probes once a second and removes a node after two
     * failed probes. */
    SITE_UNREADY_MS = 2500,
    /* Least time between polls of the registered servers.  Sites require that
     * a server gets no new work 2.5 s after it starts to drain. */
    SITE_MIN_POLL_MS = 800,
    SITE_CALLS_PER_S = 60, /* limit of calls per second to the key-value
                              service, which stores jobs */
};

/* Passes the latest configuration and membership to all tasks that run, once
 * both are known.  The caller holds the lock. */
static void
update_tasks(struct node *node)
{
    if (node->world == NULL || node->view == NULL) {
        return;
    }
    if (node->bulk != NULL) {
        bulk_update(node->bulk, node->world, node->view);
    }
    if (node->batch != NULL) {
        batch_update(node->batch, node->world, node->view);
    }
    if (node->deploy != NULL) {
        deploy_update(node->deploy, node->world, node->view);
    }
    if (node->jobs != NULL) {
        jobs_update(node->jobs, node->world, node->view);
    }
    if (node->front != NULL) {
        front_update(node->front, node->world, node->view);
    }
}

/* Called on the control task with each change of the configuration (NULL:
 * there is none yet) or of the membership. */
static void
on_change(void *context, struct world *world, struct members_view *view)
{
    struct node *node = context;

    pthread_mutex_lock(&node->lock);
    if (world != NULL) {
        world_ref(world);
        if (node->world != NULL) {
            world_unref(node->world);
        }
        node->world = world;
    }
    members_view_ref(view);
    if (node->view != NULL) {
        members_view_unref(node->view);
    }
    node->view = view;
    update_tasks(node);
    pthread_mutex_unlock(&node->lock);
}

/* Returns whether no jobs are left here that other nodes must take over before
 * the host goes away. */
static bool
is_emptied(void *context)
{
    struct node *node = context;
    bool is_idle;

    pthread_mutex_lock(&node->lock);
    is_idle = node->jobs == NULL || jobs_is_idle(node->jobs);
    pthread_mutex_unlock(&node->lock);
    return is_idle;
}

static bool
start_platform(struct node *node, struct base_error *err)
{
    const struct node_settings *settings = node->settings;
    const struct platform_desc desc = {
        .kv = (const char *const *)settings->kv,
        .n_kv = (int)g_strv_length(settings->kv),
        .host_list = settings->hosts,
        .weight_store = settings->weights,
        .source = settings->source,
        .dialect = settings->site.is_set ? node->adapter->store : NULL,
        .min_poll_ms = settings->site.is_set ? SITE_MIN_POLL_MS : 0,
        .calls_per_s = settings->site.is_set ? SITE_CALLS_PER_S : 0,
        .limits = {.value_bytes = settings->value_bytes},
        .counters = &node->counters,
    };

    node->platform = platform_start(&desc, err);
    return node->platform != NULL;
}

static bool
start_bulk(struct node *node, struct base_error *err)
{
    const struct node_settings *settings = node->settings;
    const struct bulk_desc desc = {
        .node = settings->name,
        .folder = settings->data_folder,
        .address = settings->data_folder ? settings->bulk : NULL,
        .source = settings->source,
        .public_key_file = settings->public_key_file,
        .secret_key_file = settings->secret_key_file,
        .peer_keys_file = settings->peer_keys_file,
        .counters = &node->counters,
    };

    node->bulk = bulk_start(&desc, err);
    return node->bulk != NULL;
}

/* Returns the address at which other nodes fetch this node's chunks; NULL: it
 * stores none. */
static const char *
announced_bulk_address(const struct node_settings *settings)
{
    if (settings->data_folder == NULL) {
        return NULL;
    }
    return settings->announce_bulk ? settings->announce_bulk : settings->bulk;
}

static bool
start_control(struct node *node, struct base_error *err)
{
    const struct node_settings *settings = node->settings;
    char *http = settings->site.is_set
                     ? g_strdup(settings->site.callers)
                     : g_strdup_printf("%s:%d", settings->http_address,
                                       settings->http_port);
    const struct control_desc desc = {
        .node = settings->name,
        .zone = settings->zone,
        .environment = settings->environment,
        .control_address = settings->control,
        .announce_address = settings->announce_control,
        .source = settings->source,
        .bulk_address = announced_bulk_address(settings),
        .http_address = http,
        .jobs_address = settings->site.jobs,
        .cpu_milli = settings->cpu_milli,
        .life = node->life,
        .seeds = (const char *const *)settings->seeds,
        .n_seeds = (int)g_strv_length(settings->seeds),
        .public_key_file = settings->public_key_file,
        .secret_key_file = settings->secret_key_file,
        .peer_keys_file = settings->peer_keys_file,
        .platform = node->platform,
        .counters = &node->counters,
        .tracer = &node->tracer,
        .listener = {on_change, is_emptied, node},
        .origin = settings->site.is_set ? node->adapter->source : NULL,
        .site_zones = settings->site.site_zones,
        .n_site_zones = settings->site.n_site_zones,
        .n_watchers = settings->site.n_watchers,
        .may_retire = settings->site.may_retire,
        .is_first_start = settings->site.is_first_start,
        .rate_tolerance = settings->site.rate_tolerance,
        .cost_routing = settings->site.cost_routing,
    };

    node->control = control_start(&desc, err);
    g_free(http);
    return node->control != NULL;
}

static bool
start_batch(struct node *node, struct base_error *err)
{
    const struct batch_desc desc = {
        .node = node->settings->name,
        .zone = node->settings->zone,
        .source = node->settings->source,
        .platform = node->platform,
        .control = node->control,
        .bulk = node->bulk,
        .counters = &node->counters,
        .tracer = &node->tracer,
        .is_runner = node->settings->is_runner,
    };

    node->batch = batch_start(&desc, err);
    return node->batch != NULL;
}

static bool
start_deploy(struct node *node, struct base_error *err)
{
    const struct deploy_desc desc = {
        .node = node->settings->name,
        .zone = node->settings->zone,
        .source = node->settings->source,
        .platform = node->platform,
        .control = node->control,
        .counters = &node->counters,
        .tracer = &node->tracer,
    };

    node->deploy = deploy_start(&desc, err);
    return node->deploy != NULL;
}

static bool
start_jobs(struct node *node, struct base_error *err)
{
    const struct node_settings *settings = node->settings;
    const struct front_protocol *protocol = node->adapter->protocol;
    struct node_memory memory;
    struct jobs_desc desc = {
        .node = settings->name,
        .zone = settings->zone,
        .source = settings->source,
        .platform = node->platform,
        .control = node->control,
        .counters = &node->counters,
        .tracer = &node->tracer,
        .names = {.request_id = protocol->request_id,
                  .expected_server = protocol->expected_server,
                  .last_event_id = protocol->last_event_id,
                  .refused_not_run = protocol->refused_not_run,
                  .request_limit = protocol->request_limit,
                  .leaving = protocol->leaving,
                  .operator_name = protocol->operator_name,
                  .api_key = protocol->api_key,
                  .misdirected_status = protocol->misdirected_status},
        .decode = protocol->decode_job,
        .read_parts = protocol->read_parts,
        .cost_routing = settings->site.cost_routing,
        .life = node->life,
        .rpc_address = settings->site.jobs,
        .public_key_file = settings->public_key_file,
        .secret_key_file = settings->secret_key_file,
        .peer_keys_file = settings->peer_keys_file,
    };

    if (settings->site.jobs == NULL) {
        return true; /* this node runs no jobs */
    }
    node_memory_plan(settings->memory_mb, &memory);
    desc.output_bytes = memory.outputs;
    desc.input_bytes = memory.inputs;
    desc.transfer_bytes = memory.transfers;
    node->jobs = jobs_start(&desc, err);
    return node->jobs != NULL;
}

/* Leaves out addresses that are not set, and joins those that are the same.
 * Returns how many are left, at the start of the list. */
static int
merge_addresses(struct front_site_address *addresses, int n_addresses)
{
    int n_left = 0;

    for (int i = 0; i < n_addresses; i++) {
        int at = 0;
        if (addresses[i].address == NULL) {
            continue;
        }
        while (at < n_left &&
               strcmp(addresses[at].address, addresses[i].address) != 0) {
            at++;
        }
        if (at < n_left) {
            addresses[at].serves |= addresses[i].serves;
        }
        else {
            addresses[n_left++] = addresses[i];
        }
    }
    return n_left;
}

static bool
start_site_front(struct node *node, struct base_error *err)
{
    const struct node_settings *settings = node->settings;
    struct front_site_address addresses[] = {
        {settings->site.callers, FRONT_SERVES_CALLERS},
        {settings->site.probes, FRONT_SERVES_PROBES},
        {settings->site.metrics, FRONT_SERVES_METRICS},
    };
    struct node_memory memory;
    struct front_desc desc = {
        .node = settings->name,
        .zone = settings->zone,
        .source = settings->source,
        .is_naive = settings->is_naive,
        .control = node->control,
        .platform = node->platform,
        .counters = &node->counters,
        .tracer = &node->tracer,
        .protocol = node->adapter->protocol,
        .site_addresses = addresses,
        .jobs = node->jobs,
        .cost_routing = settings->site.cost_routing,
        .count_earlier_waits = settings->site.count_earlier_waits,
    };

    node_memory_plan(settings->memory_mb, &memory);
    desc.body_bytes = memory.bodies;
    desc.n_site_addresses =
        merge_addresses(addresses, G_N_ELEMENTS(addresses));
    node->front = front_start(&desc, err);
    return node->front != NULL;
}

/* Starts the tasks of a site: jobs and front.  A site stores its jobs in the
 * key-value service and its backend servers are not deployed by this system,
 * so the batch, bulk and deploy tasks are not needed. */
static bool
start_site(struct node *node, struct base_error *err)
{
    return start_jobs(node, err) && start_site_front(node, err);
}

static bool
start_front(struct node *node, struct base_error *err)
{
    const struct front_desc desc = {
        .node = node->settings->name,
        .zone = node->settings->zone,
        .source = node->settings->source,
        .address = node->settings->http_address,
        .port = node->settings->http_port,
        .tls_certificate_file = node->settings->certificate_file,
        .tls_key_file = node->settings->key_file,
        .is_naive = node->settings->is_naive,
        .control = node->control,
        .platform = node->platform,
        .batch = node->batch,
        .counters = &node->counters,
        .tracer = &node->tracer,
    };

    node->front = front_start(&desc, err);
    return node->front != NULL;
}

/* Starts all tasks.  `settings` and `adapter` must live as long as the node.
 * On failure err gives the reason; node_stop must still be called. */
bool
node_start(struct node *node, const struct node_settings *settings,
           const struct node_adapter *adapter, struct base_error *err)
{
    bool is_ok;

    memset(node, 0, sizeof(*node));
    node->settings = settings;
    node->adapter = adapter;
    node->life = base_wall_ms();
    pthread_mutex_init(&node->lock, NULL);
    base_counters_init(&node->counters);
    if (!base_tracer_init(&node->tracer, settings->trace_folder,
                          settings->name, err)) {
        return false;
    }
    is_ok = start_platform(node, err) &&
            (settings->site.is_set || start_bulk(node, err)) &&
            start_control(node, err);
    /* on_change may already run on the control task.  The lock keeps it from
     * seeing only some of the tasks below; update_tasks then passes on what it
     * received before. */
    pthread_mutex_lock(&node->lock);
    if (settings->site.is_set) {
        is_ok = is_ok && start_site(node, err);
    }
    else {
        is_ok = is_ok && start_batch(node, err) && start_deploy(node, err) &&
                start_front(node, err);
    }
    if (is_ok) {
        update_tasks(node);
    }
    pthread_mutex_unlock(&node->lock);
    return is_ok;
}

static bool
is_idle(const struct node *node)
{
    return front_is_idle(node->front) &&
           (node->batch == NULL || batch_is_idle(node->batch)) &&
           (node->jobs == NULL || jobs_is_idle(node->jobs));
}

/* Begins a graceful shutdown: reports unready, accepts no new work and waits
 * for running work.  Returns true if no work was left running. */
bool
node_drain(struct node *node)
{
    int64_t start_ms = base_clock_ms();
    int64_t end_ms = start_ms + node->settings->drain_ms;
    int64_t unready_ms =
        node->settings->site.is_set ? SITE_UNREADY_MS : UNREADY_MS;
    bool is_done = false;

    front_drain(node->front, node->settings->drain_ms);
    if (node->batch != NULL) {
        batch_drain(node->batch);
    }
    if (node->jobs != NULL) {
        jobs_drain(node->jobs);
    }
    control_leave(node->control);
    while (!is_done && base_clock_ms() < end_ms) {
        g_usleep(DRAIN_POLL_MS * 1000);
        is_done = is_idle(node) && base_clock_ms() - start_ms >= unready_ms;
    }
    return is_done;
}

/* Applies a changed log level; see the header. */
void
node_reload(struct node *node, const struct node_settings *settings)
{
    base_log_setup(node->settings->name, settings->log_level);
}

/* Stops the tasks that on_change updates.  They are first removed from the
 * node, so that on_change no longer calls them.  Then each task is stopped
 * before the tasks that it calls. */
static void
stop_updated_tasks(struct node *node)
{
    struct front *front = node->front;
    struct deploy *deploy = node->deploy;
    struct batch *batch = node->batch;
    struct jobs *jobs = node->jobs;

    pthread_mutex_lock(&node->lock);
    node->front = NULL;
    node->deploy = NULL;
    node->batch = NULL;
    node->jobs = NULL;
    pthread_mutex_unlock(&node->lock);
    if (front != NULL) {
        front_stop(front);
    }
    jobs_stop(jobs);
    if (deploy != NULL) {
        deploy_stop(deploy);
    }
    if (batch != NULL) {
        batch_stop(batch);
    }
}

/* Stops all tasks and frees the contents of the node.  Tasks that others call
 * are stopped last. */
void
node_stop(struct node *node)
{
    struct bulk *bulk;

    stop_updated_tasks(node);
    if (node->control != NULL) {
        control_stop(node->control);
    }
    bulk = node->bulk;
    node->bulk = NULL;
    if (bulk != NULL) {
        bulk_stop(bulk);
    }
    if (node->platform != NULL) {
        platform_stop(node->platform);
    }
    if (node->world != NULL) {
        world_unref(node->world);
    }
    if (node->view != NULL) {
        members_view_unref(node->view);
    }
    base_tracer_finish(&node->tracer);
    base_counters_finish(&node->counters);
    pthread_mutex_destroy(&node->lock);
}
