#include "control/control_private.h"

#include <string.h>

enum {
    TICK_MS = 20,
    IDLE_TICK_MS = 100,  /* while no contract is requested, held or granted */
    LEAVE_SEND_MS = 100, /* time to send the leave announcement */
    /* Maximum wait for the platform's last answers on stop. */
    PLATFORM_TIMEOUT_MS = 5000,
    /* Watchers per availability zone of a configuration document. */
    DOCUMENT_WATCHERS = 2,
    /* Applying a change visits every pair of server and node.  The next change
     * is applied 1 ms later for each PAIRS_PER_MS pairs. */
    PAIRS_PER_MS = 1000,
};

/* ---- the view and the configuration ---- */

/* Returns the view index of the node that owns a server, or WORLD_NONE. */
int
control_owner_of(struct control *control, int server)
{
    int pool = control->world->servers[server].pool;

    if (control->owners[pool] == CONTROL_OWNER_UNKNOWN) {
        control->owners[pool] =
            contracts_owner(control->world, control->view, pool);
    }
    return control->owners[pool];
}

/* Returns the control address of a node of the view. */
const char *
control_node_address(struct control *control, int node)
{
    return control->view->nodes[node].control_address;
}

/* Whether `node`, an index in the view or WORLD_NONE, is this node. */
bool
control_is_self(struct control *control, int node)
{
    return node != WORLD_NONE && node == control->view->self;
}

static void
forget_owners(struct control *control)
{
    int n_pools = control->world == NULL ? 0 : control->world->n_pools;

    g_free(control->owners);
    control->owners = g_new(int, n_pools + 1);
    for (int i = 0; i < n_pools; i++) {
        control->owners[i] = CONTROL_OWNER_UNKNOWN;
    }
}

/* Puts a new configuration in force; takes ownership of the reference. */
void
control_world_changed(struct control *control, struct world *world)
{
    if (control->world != NULL) {
        world_unref(control->world);
    }
    control->world = world;
    control_notices_set_servers(control);
    forget_owners(control);
    control_rates_update(control);
    control->is_changed = true;
}

static bool
is_member_running(const struct members_node *node)
{
    return node->state != MEMBERS_DEAD && node->state != MEMBERS_LEFT;
}

static void
report_lost_holders(struct control *control, const struct members_view *old)
{
    for (int i = 0; i < old->n_nodes; i++) {
        const struct members_node *before = &old->nodes[i];
        int index = members_view_find(control->view, before->name);
        bool is_lost = index < 0 ||
                       !is_member_running(&control->view->nodes[index]) ||
                       control->view->nodes[index].life != before->life;
        if (is_member_running(before) && is_lost) {
            control_owner_holder_lost(control, before->name);
        }
    }
}

static void
choose_watchers(struct control *control)
{
    int n_watchers = control->n_watchers;

    if (n_watchers == 0) {
        n_watchers = control->source != NULL
                         ? control_watchers_per_zone(control->view)
                         : DOCUMENT_WATCHERS;
    }
    control->is_watcher = control_should_watch(control->view, n_watchers);
}

static void
refresh_view(struct control *control)
{
    struct members_view *old = control->view;

    if (members_version(control->members) == old->version) {
        return;
    }
    control->view = members_snapshot(control->members);
    forget_owners(control);
    report_lost_holders(control, old);
    members_view_unref(old);
    choose_watchers(control);
    control_prompt_parts_set_nodes(control);
    control->is_changed = true;
}

static void
apply_changes(struct control *control)
{
    int n_servers = control->world == NULL ? 0 : control->world->n_servers;

    if (control->now_ms < control->next_apply_ms) {
        return;
    }
    refresh_view(control);
    if (!control->is_changed) {
        return;
    }
    control->is_changed = false;
    control->next_apply_ms = control->now_ms + (int64_t)n_servers *
                                                   control->view->n_nodes /
                                                   PAIRS_PER_MS;
    control_owner_update(control);
    control_client_update(control);
    if (control->listener.changed != NULL) {
        control->listener.changed(control->listener.context, control->world,
                                  control->view);
    }
}

/* ---- the loop ---- */

static int
tick_ms(const struct control *control)
{
    bool is_busy = g_hash_table_size(control->owner.admissions) > 0 ||
                   g_hash_table_size(control->owner.granted) > 0 ||
                   g_hash_table_size(control->client.admissions) > 0 ||
                   control->client.held.count > 0;
    return is_busy ? TICK_MS : IDLE_TICK_MS;
}

static void
tick(struct control *control)
{
    if (control->now_ms < control->last_tick_ms + tick_ms(control)) {
        return;
    }
    control->last_tick_ms = control->now_ms;
    control_gossip_tick(control);
    control_config_tick(control);
    control_leaving_tick(control);
    control_registry_tick(control);
    control_prompt_parts_tick(control);
    control_notices_tick(control);
    control_retire_tick(control);
    apply_changes(control);
    control_owner_tick(control);
    control_loads_tick(control);
}

static int
run_once(struct control *control)
{
    int wait_ms;

    control->now_ms = base_clock_ms();
    wait_ms = wire_endpoint_service(&control->endpoint, control->now_ms);
    base_task_clear_wake_fd(&control->task);
    base_task_drain(&control->task);
    tick(control);
    wait_ms = MIN(wait_ms, control_rates_tick(control));
    return MIN(wait_ms, tick_ms(control));
}

static void
run(struct base_task *task)
{
    struct control *control = task->state;
    int64_t end_ms;

    while (!base_task_is_stopping(task)) {
        int wait_ms = run_once(control);
        wire_endpoint_wait(&control->endpoint, task->wake_fd, wait_ms);
    }
    control->now_ms = base_clock_ms();
    control_rates_leave(control);
    control_gossip_leave(control, true);
    end_ms = control->now_ms + LEAVE_SEND_MS;
    while (control->now_ms < end_ms) {
        control->now_ms = base_clock_ms();
        wire_endpoint_service(&control->endpoint, control->now_ms);
        wire_endpoint_wait(&control->endpoint, -1, TICK_MS);
    }
}

/* ---- start and stop ---- */

static void
copy_settings(struct control *control, const struct control_desc *desc)
{
    control->node = g_strdup(desc->node);
    control->zone = g_strdup(desc->zone);
    control->environment =
        g_strdup(desc->environment ? desc->environment : "production");
    control->seeds = g_new0(char *, desc->n_seeds + 1);
    for (int i = 0; i < desc->n_seeds; i++) {
        control->seeds[i] = g_strdup(desc->seeds[i]);
    }
    control->key_files[0] = g_strdup(desc->public_key_file);
    control->key_files[1] = g_strdup(desc->secret_key_file);
    control->key_files[2] = g_strdup(desc->peer_keys_file);
    control->platform = desc->platform;
    control->counters = desc->counters;
    control->tracer = desc->tracer;
    control->listener = desc->listener;
    control->source = desc->origin;
    control->may_retire = desc->may_retire;
    control->is_first_start = desc->is_first_start;
    control->cost_routing = desc->cost_routing;
    control->n_watchers = desc->n_watchers;
    control->n_site_zones = desc->n_site_zones;
    control->site_zones =
        g_new0(struct world_site_zone, desc->n_site_zones + 1);
    for (int i = 0; i < desc->n_site_zones; i++) {
        control->site_zones[i].zone = g_strdup(desc->site_zones[i].zone);
        control->site_zones[i].region = g_strdup(desc->site_zones[i].region);
    }
}

static bool
open_endpoint(struct control *control, const struct control_desc *desc,
              struct base_error *err)
{
    const struct wire_endpoint_desc endpoint = {
        .node = control->node,
        .address = desc->control_address,
        .source = desc->source,
        .public_key_file = control->key_files[0],
        .secret_key_file = control->key_files[1],
        .peer_keys_file = control->key_files[2],
        .counters = control->counters,
        .kind_name = control_kind_name,
        .received = control_receive,
        .reopened = control_release_resend,
        .context = control,
    };

    control->has_endpoint =
        wire_endpoint_init(&control->endpoint, &endpoint, err);
    if (control->has_endpoint) {
        control->address = g_strdup(wire_endpoint_address(&control->endpoint));
    }
    return control->has_endpoint;
}

static void
copy_text(char *out, size_t size, const char *text)
{
    g_strlcpy(out, text ? text : "", size);
}

static void
start_members(struct control *control, const struct control_desc *desc)
{
    struct members_desc members = {
        .seeds = (const char *const *)control->seeds,
        .n_seeds = desc->n_seeds,
        .seed = desc->seed ? desc->seed : g_random_int(),
        .now_ms = control->now_ms,
    };
    struct members_node *self = &members.self;

    copy_text(self->name, sizeof(self->name), control->node);
    copy_text(self->zone, sizeof(self->zone), control->zone);
    copy_text(self->control_address, sizeof(self->control_address),
              desc->announce_address ? desc->announce_address
                                     : control->address);
    copy_text(self->bulk_address, sizeof(self->bulk_address),
              desc->bulk_address);
    copy_text(self->http_address, sizeof(self->http_address),
              desc->http_address);
    copy_text(self->jobs_address, sizeof(self->jobs_address),
              desc->jobs_address);
    self->incarnation = (uint64_t)base_wall_ms();
    self->life = desc->life > 0 ? (uint64_t)desc->life : self->incarnation;
    self->cpu_milli = desc->cpu_milli;
    control->members = members_new(&members);
    control->view = members_snapshot(control->members);
    control->is_changed = true;
}

static bool
check_desc(const struct control_desc *desc, struct base_error *err)
{
    struct {
        const char *name;
        const char *value;
        size_t size;
    } texts[] = {
        {"node", desc->node, MEMBERS_NAME_SIZE},
        {"zone", desc->zone, MEMBERS_NAME_SIZE},
        {"control_address", desc->control_address, MEMBERS_ADDRESS_SIZE},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        if (texts[i].value == NULL || texts[i].value[0] == '\0' ||
            !control_is_valid_text(texts[i].value, texts[i].size)) {
            base_error_set(err, BASE_INVALID,
                           "control_desc.%s is empty, too long or not UTF-8",
                           texts[i].name);
            return false;
        }
    }
    return true;
}

static void
free_control(struct control *control)
{
    members_free(control->members);
    members_view_unref(control->view);
    if (control->world != NULL) {
        world_unref(control->world);
    }
    world_site_free(control->site);
    for (int i = 0; i < control->n_site_zones; i++) {
        g_free(control->site_zones[i].zone);
        g_free(control->site_zones[i].region);
    }
    g_free(control->site_zones);
    g_free(control->owners);
    g_array_free(control->actions, TRUE);
    control_rates_free(control->rates);
    g_hash_table_destroy(control->limiters);
    g_hash_table_destroy(control->rate_relays);
    if (control->has_endpoint) {
        wire_endpoint_finish(&control->endpoint);
    }
    g_free(control->node);
    g_free(control->zone);
    g_free(control->environment);
    g_free(control->address);
    g_strfreev(control->seeds);
    for (size_t i = 0; i < G_N_ELEMENTS(control->key_files); i++) {
        g_free(control->key_files[i]);
    }
    g_free(control);
}

static bool
start_task(struct control *control, struct base_error *err)
{
    static const struct base_task_ops OPS = {base_task_wake_fd, run};

    if (!base_task_init(&control->task, "control", &OPS, control, err)) {
        return false;
    }
    control_owner_init(control);
    control_client_init(control);
    control_config_init(control);
    control_leaving_init(control);
    control_loads_init(control);
    control_registry_init(control);
    control_prompt_parts_init(control);
    control_notices_init(control);
    forget_owners(control);
    choose_watchers(control);
    control_retire_watch(control, true);
    return base_task_start(&control->task, err);
}

/* Binds the control address, joins the other nodes and starts the task.
 * Returns NULL with BASE_INVALID for a bad field or key, BASE_UNAVAILABLE for
 * an address in use. */
struct control *
control_start(const struct control_desc *desc, struct base_error *err)
{
    struct control *control;

    if (!check_desc(desc, err)) {
        return NULL;
    }
    control = g_new0(struct control, 1);
    copy_settings(control, desc);
    control->now_ms = base_clock_ms();
    control->actions = g_array_new(FALSE, TRUE, sizeof(struct members_action));
    control->rates = control_rates_new(control);
    control->limiters = control_limiters_new();
    control->rate_relays = control_rate_relays_new();
    control->rate_tolerance = (struct allowance_tolerance){
        desc->rate_tolerance.window_s, desc->rate_tolerance.overage,
        desc->rate_tolerance.slack};
    if (!open_endpoint(control, desc, err)) {
        free_control(control);
        return NULL;
    }
    start_members(control, desc);
    if (!start_task(control, err)) {
        free_control(control);
        return NULL;
    }
    return control;
}

static void
on_drain_call_done(struct platform_hosts *hosts, void *task_state)
{
    struct control *control = task_state;
    control->n_platform_calls--;
}

/* Ends the watches and waits, for at most PLATFORM_TIMEOUT_MS, until all calls
 * to the platform are answered and all its events are delivered.  The answer
 * to a call that is sent after the watches ended follows their last event. */
static void
drain_platform(struct control *control)
{
    int64_t end_ms = base_clock_ms() + PLATFORM_TIMEOUT_MS;

    if (control->platform == NULL) {
        return;
    }
    control_config_watch(control, false);
    control_registry_watch(control, false);
    control_retire_watch(control, false);
    control->n_platform_calls++;
    platform_hosts_send(control->platform, &control->task, NULL,
                        on_drain_call_done);
    while (control->n_platform_calls > 0 && base_clock_ms() < end_ms) {
        base_task_clear_wake_fd(&control->task);
        base_task_drain(&control->task);
        g_usleep(1000);
    }
}

/* Announces that the node has left, ends the task and frees it.  Other tasks
 * must not use it any more.  NULL is allowed. */
void
control_stop(struct control *control)
{
    if (control == NULL) {
        return;
    }
    base_task_stop(&control->task);
    drain_platform(control);
    control_client_finish(control);
    control_owner_finish(control);
    control_config_finish(control);
    control_leaving_finish(control);
    control_loads_finish(control);
    control_registry_finish(control);
    control_prompt_parts_finish(control);
    control_notices_finish(control);
    base_task_finish(&control->task);
    free_control(control);
}
