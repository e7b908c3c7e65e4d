#include "jobs/jobs_private.h"

#include <string.h>

enum {
    /* Default lease of a runner.  When the runner fails, other nodes can
     * claim its jobs after this time. */
    LEASE_MS = 3000,
    STOP_WAIT_MS = 3000,     /* longest wait for calls to other tasks */
    ARCHIVE_BYTES = 8 << 20, /* results of ended jobs kept for readers */
    INPUT_BYTES = 48 << 20,  /* defaults of the desc */
    TRANSFER_BYTES = 8 << 20,
};

/* ---- jobs, requests, results ---- */

/* Returns an empty job, owned by the caller. */
struct jobs_job *
jobs_job_new(const char *id)
{
    struct jobs_job *job = g_new0(struct jobs_job, 1);

    g_strlcpy(job->id, id, sizeof(job->id));
    job->items = g_ptr_array_new();
    return job;
}

/* Frees a job; NULL is allowed. */
void
jobs_job_free(struct jobs_job *job)
{
    if (job == NULL) {
        return;
    }
    for (guint i = 0; i < job->items->len; i++) {
        struct jobs_item *item = job->items->pdata[i];
        g_free(item->path);
        g_ptr_array_free(item->headers, TRUE);
        if (item->body != NULL) {
            g_bytes_unref(item->body);
        }
        g_free(item);
    }
    g_ptr_array_free(job->items, TRUE);
    g_free(job->host);
    g_free(job->path);
    if (job->text != NULL) {
        g_bytes_unref(job->text);
    }
    g_free(job);
}

/* Frees the submitted text, once the job is stored. */
void
jobs_job_drop_text(struct jobs_job *job)
{
    if (job->text != NULL) {
        g_bytes_unref(job->text);
        job->text = NULL;
    }
}

/* Adds an item, which the caller fills in; the job owns it. */
struct jobs_item *
jobs_job_add(struct jobs_job *job)
{
    struct jobs_item *item = g_new0(struct jobs_item, 1);

    item->headers = g_ptr_array_new_with_free_func(g_free);
    g_ptr_array_add(job->items, item);
    return item;
}

/* Returns a request to the jobs task, which the caller fills in and sends. */
struct jobs_request *
jobs_request_new(enum jobs_op op, const char *id)
{
    struct jobs_request *request = g_new0(struct jobs_request, 1);

    request->op = op;
    g_strlcpy(request->id, id, sizeof(request->id));
    return request;
}

/* Frees a request with its job and its reply. */
void
jobs_request_free(struct jobs_request *request)
{
    jobs_job_free(request->job);
    if (request->answer.results != NULL) {
        g_ptr_array_free(request->answer.results, TRUE);
    }
    if (request->answers != NULL) {
        base_budget_give(request->answers, request->answer_bytes);
        g_atomic_rc_box_release(request->answers);
    }
    if (request->body != NULL) {
        g_bytes_unref(request->body);
    }
    if (request->checks != NULL) {
        g_array_free(request->checks, TRUE);
    }
    g_free(request);
}

/* Replies to a request, which returns it to its sender.  A refusal may wait
 * for the store first, see refusal.c. */
void
jobs_reply(struct jobs *jobs, struct jobs_request *request,
           enum jobs_status status)
{
    request->status = status;
    if (!jobs_refusal_begin(jobs, request)) {
        base_call_reply(&request->call);
    }
}

/* Replies to a request whose call to the key-value service failed. */
void
jobs_reply_kv_error(struct jobs *jobs, struct jobs_request *request,
                    const struct platform_kv *kv)
{
    request->err = kv->err;
    jobs_reply(jobs, request,
               kv->verdict == BASE_NOT_RUN ? JOBS_REFUSED : JOBS_UNCERTAIN);
}

/* Returns the route for a submission in the current configuration, or NULL if
 * there is none or it is of another kind. */
const struct world_ingress *
jobs_find_route(const struct jobs *jobs, const char *host, const char *path)
{
    const struct world_ingress *route =
        jobs->world == NULL ? NULL
                            : world_find_ingress(jobs->world, host, path);

    return route != NULL && route->kind == WORLD_INGRESS_BATCH ? route : NULL;
}

/* Returns the route of an accepted job in the current configuration, or NULL
 * when it has been removed.  A job stays with the route that accepted it while
 * others with longer prefixes come and go.  If that one has another name or
 * prefix now, the path decides. */
const struct world_ingress *
jobs_route_of(const struct jobs *jobs, const struct jobs_head *head)
{
    const struct world *world = jobs->world;

    for (int i = 0; world != NULL && i < world->n_ingress; i++) {
        const struct world_ingress *route = &world->ingress[i];
        if (route->kind == WORLD_INGRESS_BATCH &&
            strcmp(route->name, head->route) == 0 &&
            g_ascii_strcasecmp(route->host, head->host) == 0 &&
            g_str_has_prefix(head->path, route->prefix)) {
            return route;
        }
    }
    return jobs_find_route(jobs, head->host, head->path);
}

/* ---- calls ---- */

static void
serve_request(struct base_call *call, void *task_state)
{
    struct jobs *jobs = task_state;
    struct jobs_request *request = (struct jobs_request *)call;

    switch (request->op) {
    case JOBS_SUBMIT:
        jobs_submit(jobs, request);
        return;
    case JOBS_RESULTS:
        jobs_read_results(jobs, request);
        return;
    case JOBS_INPUT:
        jobs_read_input(jobs, request);
        return;
    case JOBS_END:
        jobs_end(jobs, request);
        return;
    case JOBS_CHECK:
        jobs_check(jobs, request);
        jobs_reply(jobs, request, JOBS_OK);
        return;
    }
}

static void
request_done(struct base_call *call, void *task_state)
{
    struct jobs_request *request = (struct jobs_request *)call;

    request->on_done(request, task_state);
}

static void
drop_request(struct base_call *call)
{
    jobs_request_free((struct jobs_request *)call);
}

/* Sends a request.  `on_done` runs on the task `from`, which then owns the
 * request. */
void
jobs_request_send(struct jobs *jobs, struct jobs_request *request,
                  struct base_task *from,
                  void (*on_done)(struct jobs_request *request,
                                  void *task_state))
{
    static const struct base_call_ops OPS = {serve_request, request_done,
                                             drop_request};

    request->on_done = on_done;
    base_call_send(&request->call, &OPS, &jobs->task, from);
}

/* A new configuration and membership for the task. */
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

/* Returns whether a process of the old view is known to have stopped. */
static bool
has_lost_process(const struct members_view *old,
                 const struct members_view *view)
{
    for (int i = 0; i < old->n_nodes; i++) {
        const struct members_node *before = &old->nodes[i];
        int node = members_view_find(view, before->name);
        if (members_accepts_work(before) &&
            (node < 0 || !members_accepts_work(&view->nodes[node]) ||
             view->nodes[node].life != before->life)) {
            return true;
        }
    }
    return false;
}

static void
free_homes(struct jobs *jobs)
{
    for (int i = 0; i < jobs->n_homes; i++) {
        jobs_homes_finish(&jobs->homes[i].nodes);
    }
    g_free(jobs->homes);
    jobs->homes = NULL;
    jobs->n_homes = 0;
}

static void
update_homes(struct jobs *jobs)
{
    const struct world *world = jobs->world;
    int n_regions = world == NULL ? 0 : world->n_regions;

    free_homes(jobs);
    jobs->n_homes = MAX(n_regions, 1);
    jobs->homes = g_new0(struct jobs_region, jobs->n_homes);
    for (int i = 0; i < jobs->n_homes; i++) {
        if (i < n_regions) {
            g_strlcpy(jobs->homes[i].name, world->regions[i].name,
                      sizeof(jobs->homes[i].name));
        }
        jobs_homes_init(&jobs->homes[i].nodes, world, jobs->view,
                        i < n_regions ? i : WORLD_NONE);
    }
    jobs->region = MAX(jobs_region_of(world, jobs->zone), 0);
}

/* Returns the home of a job of a region, as an index in the view, or
 * WORLD_NONE.  An unknown region means this node's.  `except` is a node that
 * cannot run it, or WORLD_NONE. */
int
jobs_find_home(const struct jobs *jobs, const char *region, const char *id,
               int except)
{
    int index = jobs->region;

    for (int i = 0; i < jobs->n_homes; i++) {
        if (g_strcmp0(jobs->homes[i].name, region) == 0) {
            index = i;
        }
    }
    return jobs->n_homes == 0
               ? WORLD_NONE
               : jobs_homes_find(&jobs->homes[index].nodes, id, except);
}

/* Sends a request to a node of the view, which serves it itself.  Returns
 * false when the node cannot be called. */
bool
jobs_forward(struct jobs *jobs, struct jobs_request *request, int node,
             void (*on_done)(struct jobs_request *request, void *task_state))
{
    const struct members_node *to = &jobs->view->nodes[node];

    if (jobs->rpc == NULL || node == jobs->view->self ||
        to->jobs_address[0] == '\0' || to->state == MEMBERS_DEAD ||
        to->state == MEMBERS_LEFT) {
        return false;
    }
    request->n_forwards++;
    g_strlcpy(request->called_node, to->name, sizeof(request->called_node));
    jobs->n_calls++;
    jobs_rpc_send(jobs->rpc, to->jobs_address, request, &jobs->task, on_done);
    return true;
}

static bool
is_leaving(const struct members_view *view)
{
    return view->self >= 0 && !members_accepts_work(&view->nodes[view->self]);
}

static void
serve_update(struct base_call *call, void *task_state)
{
    struct update *update = (struct update *)call;
    struct jobs *jobs = task_state;
    bool has_lost_nodes =
        jobs->view != NULL && has_lost_process(jobs->view, update->view);

    if (jobs->world != update->world) {
        jobs->world_generation++;
    }
    world_unref(jobs->world);
    jobs->world = world_ref(update->world);
    jobs->place->ops->update(jobs->place, jobs->world, base_clock_ms());
    if (jobs->view != NULL) {
        members_view_unref(jobs->view);
    }
    jobs->view = members_view_ref(update->view);
    update_homes(jobs);
    if (has_lost_nodes) {
        jobs_scan_soon(jobs);
    }
    if (is_leaving(jobs->view) && !g_atomic_int_get(&jobs->is_draining)) {
        jobs_drain(jobs);
    }
    base_call_reply(call);
}

/* Sends a new configuration and membership view to the task.  May be called on
 * any thread. */
void
jobs_update(struct jobs *jobs, struct world *world, struct members_view *view)
{
    static const struct base_call_ops OPS = {serve_update, NULL, drop_update};
    struct update *update = g_new0(struct update, 1);

    update->world = world_ref(world);
    update->view = members_view_ref(view);
    base_call_send(&update->call, &OPS, &jobs->task, NULL);
}

/* ---- the task ---- */

static void
free_stopped_runs(struct jobs *jobs)
{
    for (guint i = 0; i < jobs->stopped_runs->len;) {
        struct jobs_run *run = jobs->stopped_runs->pdata[i];
        if (run->n_references > 0) {
            i++;
            continue;
        }
        g_ptr_array_remove_index_fast(jobs->stopped_runs, i);
        jobs_run_free(run);
    }
}

static void
tick_runs(struct jobs *jobs, int64_t now_ms)
{
    GList *runs = g_hash_table_get_values(jobs->runs);

    for (GList *at = runs; at != NULL; at = at->next) {
        jobs_run_tick(at->data, now_ms);
    }
    g_list_free(runs);
}

/* Returns whether every job here has all its results committed.  Complete jobs
 * stay in memory for readers. */
static bool
are_all_listed(const struct jobs *jobs)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, jobs->runs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct jobs_run *run = value;
        if (!jobs_run_is_complete(run)) {
            return false;
        }
    }
    return true;
}

static void
tick(lws_sorted_usec_list_t *timer)
{
    struct jobs *jobs = lws_container_of(timer, struct jobs, timer);
    int64_t now_ms = base_clock_ms();

    jobs_lease_tick(jobs, now_ms);
    jobs_scan_tick(jobs, now_ms);
    tick_runs(jobs, now_ms);
    jobs_dispatch(jobs, now_ms);
    jobs_serve_waiting_reads(jobs, now_ms);
    free_stopped_runs(jobs);
    base_counter_set(jobs->input_gauge, base_budget_used(&jobs->held));
    g_atomic_int_set(&jobs->is_idle,
                     are_all_listed(jobs) && jobs->n_running == 0 &&
                         g_hash_table_size(jobs->pending_ids) == 0);
    lws_sul_schedule(jobs->lws, 0, &jobs->timer, tick,
                     JOBS_TICK_MS * LWS_US_PER_MS);
}

static void
shut_down(struct jobs *jobs)
{
    int64_t until_ms = base_clock_ms() + STOP_WAIT_MS;
    GList *runs = g_hash_table_get_values(jobs->runs);
    struct jobs_request *request;

    lws_sul_cancel(&jobs->timer);
    for (GList *at = runs; at != NULL; at = at->next) {
        jobs_run_stop(at->data, "the node is stopping");
    }
    g_list_free(runs);
    while ((request = g_queue_pop_head(&jobs->waiting_reads)) != NULL) {
        jobs_reply(jobs, request, JOBS_REFUSED);
    }
    jobs_lease_stop(jobs);
    while (jobs->n_calls > 0 && base_clock_ms() < until_ms) {
        g_usleep(1000);
        base_task_drain(&jobs->task);
    }
    backends_finish(&jobs->backends);
    jobs->has_backends = false;
    free_stopped_runs(jobs);
}

static void
run(struct base_task *task)
{
    struct jobs *jobs = task->state;

    lws_sul_schedule(jobs->lws, 0, &jobs->timer, tick, 1);
    while (!base_task_is_stopping(task)) {
        lws_service(jobs->lws, 0);
        base_task_drain(task);
    }
    shut_down(jobs);
}

static void
wake_task(struct base_task *task)
{
    lws_cancel_service(((struct jobs *)task->state)->lws);
}

static void
make_counters(struct jobs *jobs, struct base_counters *counters)
{
    jobs->counters = counters;
    jobs->n_accepted = base_counter(counters, "jobs_accepted_total");
    jobs->n_refusals_stored =
        base_counter(counters, "jobs_refusals_stored_total");
    jobs->n_commits_rejected =
        base_counter(counters, "jobs_commits_rejected_total");
    jobs->n_completed = base_counter(counters, "job_items_completed_total");
    jobs->n_given_up = base_counter(counters, "job_items_given_up_total");
    jobs->n_claims = base_counter(counters, "jobs_claimed_total");
    jobs->n_lost = base_counter(counters, "jobs_lost_to_others_total");
    jobs->n_preemptions = base_counter(counters, "job_items_yielded_total");
    jobs->n_resumes = base_counter(counters, "job_items_resumed_total");
    jobs->running_gauge = base_gauge(counters, "job_items_running");
    jobs->input_gauge = base_gauge(counters, "job_input_bytes");
}

static void
copy_desc(struct jobs *jobs, const struct jobs_desc *desc)
{
    g_strlcpy(jobs->node, desc->node, sizeof(jobs->node));
    g_strlcpy(jobs->zone, desc->zone, sizeof(jobs->zone));
    /* The start time makes the runner's name unique: jobs of an earlier
     * instance of this process are claimed like those of any runner that has
     * stopped. */
    g_snprintf(jobs->runner, sizeof(jobs->runner), "%s#%" G_GINT64_FORMAT,
               desc->node, desc->life > 0 ? desc->life : base_wall_ms());
    jobs->platform = desc->platform;
    jobs->limits = platform_limits(desc->platform);
    jobs->control = desc->control;
    jobs->names = desc->names;
    jobs->decode = desc->decode;
    jobs->read_parts = desc->read_parts;
    jobs->lease_ms = desc->lease_ms > 0 ? desc->lease_ms : LEASE_MS;
    make_counters(jobs, desc->counters);
    jobs_cost_init(jobs, desc->cost_routing, desc->counters);
    jobs_outputs_init(jobs, desc->output_bytes);
    base_budget_init(&jobs->held,
                     desc->input_bytes > 0 ? desc->input_bytes : INPUT_BYTES);
    base_budget_init(&jobs->transfers, desc->transfer_bytes > 0
                                           ? desc->transfer_bytes
                                           : TRANSFER_BYTES);
    jobs->answers = g_atomic_rc_box_new0(struct base_budget);
    base_budget_init(jobs->answers, jobs->transfers.limit);
    g_queue_init(&jobs->waiting_calls);
}

static bool
open_context(struct jobs *jobs, const struct jobs_desc *desc,
             struct base_error *err)
{
    struct lws_context_creation_info info = {.port = CONTEXT_PORT_NO_LISTEN};
    struct backends_desc backends = {.source = desc->source,
                                     .counters = desc->counters};

    lws_set_log_level(0, NULL);
    backends_prepare_info(&info);
    info.user = jobs;
    jobs->lws = lws_create_context(&info);
    if (jobs->lws == NULL) {
        base_error_set(err, BASE_INTERNAL,
                       "no libwebsockets context could be created");
        return false;
    }
    backends.context = jobs->lws;
    jobs->has_backends = backends_init(&jobs->backends, &backends, err);
    return jobs->has_backends;
}

static bool
start_rpc(struct jobs *jobs, const struct jobs_desc *desc,
          struct base_error *err)
{
    const struct jobs_rpc_desc rpc = {
        .jobs = jobs,
        .node = jobs->node,
        .address = desc->rpc_address,
        .source = desc->source,
        .public_key_file = desc->public_key_file,
        .secret_key_file = desc->secret_key_file,
        .peer_keys_file = desc->peer_keys_file,
        .counters = desc->counters,
        .submission_bytes = jobs->transfers.limit,
    };

    if (desc->rpc_address == NULL) {
        return true;
    }
    jobs->rpc = jobs_rpc_start(&rpc, err);
    return jobs->rpc != NULL;
}

static void
free_jobs(struct jobs *jobs)
{
    jobs_rpc_stop(jobs->rpc);
    base_task_finish(&jobs->task);
    if (jobs->has_backends) {
        backends_finish(&jobs->backends);
    }
    if (jobs->lws != NULL) {
        lws_context_destroy(jobs->lws);
    }
    place_free(jobs->place);
    jobs_cost_finish(jobs);
    g_hash_table_destroy(jobs->runs);
    g_hash_table_destroy(jobs->pending_ids);
    g_hash_table_destroy(jobs->runners);
    jobs_archive_finish(&jobs->archive);
    g_atomic_rc_box_release(jobs->answers);
    g_hash_table_destroy(jobs->submissions);
    jobs_waiting_finish(jobs);
    g_hash_table_destroy(jobs->missing_since);
    g_hash_table_destroy(jobs->orphaned_since);
    free_homes(jobs);
    g_ptr_array_free(jobs->stopped_runs, TRUE);
    world_unref(jobs->world);
    if (jobs->view != NULL) {
        members_view_unref(jobs->view);
    }
    g_free(jobs);
}

/* Starts the task.  Returns NULL with BASE_INTERNAL when a context, socket or
 * thread cannot be created. */
struct jobs *
jobs_start(const struct jobs_desc *desc, struct base_error *err)
{
    struct jobs *jobs = g_new0(struct jobs, 1);
    const struct place_desc place = {.seed = (uint64_t)base_clock_us(),
                                     .counters = desc->counters};
    static const struct base_task_ops OPS = {wake_task, run};

    copy_desc(jobs, desc);
    jobs->runs = g_hash_table_new(g_str_hash, g_str_equal);
    jobs->pending_ids =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    jobs->runners =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    jobs_archive_init(&jobs->archive, ARCHIVE_BYTES);
    jobs->submissions = g_hash_table_new(g_str_hash, g_str_equal);
    jobs_waiting_init(jobs);
    jobs->missing_since =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    jobs->orphaned_since =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_queue_init(&jobs->lease_waits);
    jobs->stopped_runs = g_ptr_array_new();
    jobs->place = place_new(&place);
    g_queue_init(&jobs->waiting_reads);
    if (base_task_init(&jobs->task, "jobs", &OPS, jobs, err) &&
        open_context(jobs, desc, err) && start_rpc(jobs, desc, err) &&
        base_task_start(&jobs->task, err)) {
        return jobs;
    }
    free_jobs(jobs);
    return NULL;
}

/* Stops accepting jobs and releases this node's jobs to other nodes.  May be
 * called on any thread. */
void
jobs_drain(struct jobs *jobs)
{
    g_atomic_int_set(&jobs->is_idle, 0);
    g_atomic_int_set(&jobs->is_draining, 1);
}

/* Returns whether no items run here, every job here has all its results
 * committed, and no job is being accepted or claimed.  May be called on any
 * thread. */
bool
jobs_is_idle(struct jobs *jobs)
{
    return g_atomic_int_get(&jobs->is_idle) != 0;
}

/* Stops the task at once and frees it; NULL is allowed.  Running items are
 * cancelled, and other nodes claim this node's jobs. */
void
jobs_stop(struct jobs *jobs)
{
    if (jobs == NULL) {
        return;
    }
    base_task_stop(&jobs->task);
    free_jobs(jobs);
}
