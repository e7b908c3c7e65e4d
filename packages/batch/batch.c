#include "batch/batch_private.h"

#include <stdlib.h>
#include <string.h>

#include "base/http_text.h"

enum { STOP_WAIT_MS = 8000, STOP_POLL_US = 2000 };

/* ---- replies ---- */

static void
send_reply(struct batch_request *request, int status,
           enum base_verdict verdict, json_t *object)
{
    char *text = json_dumps(object, JSON_COMPACT);

    json_decref(object);
    request->status = status;
    request->verdict = verdict;
    g_free(request->json_out);
    request->json_out = g_strdup(text);
    free(text);
    base_call_reply(&request->call);
}

/* Replies with a status and an object, whose reference it takes over. */
void
batch_reply_json(struct batch_request *request, int status, json_t *object)
{
    send_reply(request, status, BASE_RAN, object);
}

/* Replies with an error in the format of the public OpenAI API. */
void
batch_reply_error(struct batch_request *request, int status,
                  enum base_verdict verdict, const char *code,
                  const char *format, ...)
{
    char text[512];
    const char *type = status >= 500   ? "server_error"
                       : status == 429 ? "rate_limit_error"
                                       : "invalid_request_error";
    va_list arguments;

    va_start(arguments, format);
    g_vsnprintf(text, sizeof(text), format, arguments);
    va_end(arguments);
    send_reply(request, status, verdict,
               json_pack("{s:{s:o, s:s, s:s}}", "error", "message",
                         base_json_text(text), "type", type, "code", code));
}

/* Replies to a request whose call to the key-value service failed.  After a
 * failed read the verdict is BASE_NOT_RUN; after a failed write it is the
 * verdict of that write. */
void
batch_reply_kv_error(struct batch_request *request,
                     const struct platform_kv *kv)
{
    bool is_write = kv->op == PLATFORM_PUT_IF || kv->op == PLATFORM_DELETE_IF;
    enum base_verdict verdict = is_write ? kv->verdict : BASE_NOT_RUN;
    bool is_conflict = kv->status == PLATFORM_CONFLICT;

    batch_reply_error(request, is_conflict ? 409 : 503, verdict,
                      is_conflict ? "conflict" : "store_unavailable", "%s",
                      is_conflict ? "another change was made first"
                                  : "the key-value service is unavailable");
}

/* ---- requests ---- */

/* Returns whether the text has only characters that are allowed in the keys of
 * records; in particular no "/". */
static bool
is_safe_name(const char *text)
{
    for (; *text != '\0'; text++) {
        if (!g_ascii_isalnum(*text) && strchr("-_.", *text) == NULL) {
            return false;
        }
    }
    return true;
}

static void
dispatch(struct batch *batch, struct batch_request *request)
{
    switch (request->op) {
    case BATCH_UPLOAD_OPEN:
        batch_upload_open(batch, request);
        break;
    case BATCH_UPLOAD_DATA:
        batch_upload_data(batch, request);
        break;
    case BATCH_UPLOAD_CLOSE:
        batch_upload_close(batch, request);
        break;
    case BATCH_UPLOAD_ABORT:
        batch_upload_abort(batch, request);
        break;
    case BATCH_FILE_GET:
        batch_file_get(batch, request);
        break;
    case BATCH_FILE_LIST:
        batch_file_list(batch, request);
        break;
    case BATCH_FILE_READ:
        batch_file_read(batch, request);
        break;
    case BATCH_FILE_DELETE:
        batch_file_delete(batch, request);
        break;
    case BATCH_JOB_CREATE:
        batch_job_create(batch, request);
        break;
    case BATCH_JOB_GET:
        batch_job_get(batch, request);
        break;
    case BATCH_JOB_LIST:
        batch_job_list(batch, request);
        break;
    case BATCH_JOB_CANCEL:
        batch_job_cancel(batch, request);
        break;
    default:
        batch_reply_error(request, 500, BASE_NOT_RUN, "unknown_operation",
                          "unknown operation %d", (int)request->op);
        break;
    }
}

static void
serve_request(struct base_call *call, void *state)
{
    struct batch *batch = state;
    struct batch_request *request = (struct batch_request *)call;

    if (batch->world == NULL || batch_region(batch)[0] == '\0') {
        batch_reply_error(request, 503, BASE_NOT_RUN, "not_ready",
                          "no configuration on this node yet");
    }
    else if (!is_safe_name(request->id) ||
             !is_safe_name(request->operator_name)) {
        batch_reply_error(request, 404, BASE_NOT_RUN, "not_found",
                          "no such object");
    }
    else {
        dispatch(batch, request);
    }
}

static void
request_done(struct base_call *call, void *state)
{
    struct batch_request *request = (struct batch_request *)call;
    request->answered(request, state);
}

static void
request_drop(struct base_call *call)
{
    batch_request_free((struct batch_request *)call);
}

static const struct base_call_ops REQUEST_OPS = {serve_request, request_done,
                                                 request_drop};

/* Makes a request on behalf of an operator; the caller sets the other request
 * fields. */
struct batch_request *
batch_request_new(enum batch_op op, const char *operator_name)
{
    struct batch_request *request = g_new0(struct batch_request, 1);

    request->op = op;
    g_strlcpy(request->operator_name, operator_name,
              sizeof(request->operator_name));
    return request;
}

void
batch_request_free(struct batch_request *request)
{
    g_free(request->json_in);
    g_free(request->json_out);
    if (request->bytes != NULL) {
        g_bytes_unref(request->bytes);
    }
    g_free(request);
}

/* Sends a request.  `answered` runs on the task `from` and then owns the
 * request. */
void
batch_request_send(struct batch *batch, struct batch_request *request,
                   struct base_task *from,
                   void (*answered)(struct batch_request *request,
                                    void *task_state))
{
    request->answered = answered;
    base_call_send(&request->call, &REQUEST_OPS, &batch->task, from);
}

/* ---- configuration and membership ---- */

struct batch_change {
    struct base_call call;
    struct world *world;
    struct members_view *view;
};

static void
change_drop(struct base_call *call)
{
    struct batch_change *change = (struct batch_change *)call;

    if (change->world != NULL) {
        world_unref(change->world);
    }
    if (change->view != NULL) {
        members_view_unref(change->view);
    }
    g_free(change);
}

static int
find_deployment(const struct world *world, const char *name)
{
    for (int i = 0; i < world->n_deployments; i++) {
        if (strcmp(world->deployments[i].name, name) == 0) {
            return i;
        }
    }
    return WORLD_NONE;
}

static void
remap_deployments(GQueue *items, const int *new_indexes)
{
    for (GList *link = items->head; link != NULL; link = link->next) {
        struct batch_item *item = link->data;
        if (item->deployment != WORLD_NONE) {
            item->deployment = new_indexes[item->deployment];
        }
    }
}

/* Updates the indexes by which items and slot pools refer to the configuration
 * (world) to those of the new configuration. */
static void
remap_indexes(struct batch *batch, const struct world *old,
              const struct world *now)
{
    int *new_indexes = g_new(int, old->n_deployments + 1);
    GHashTableIter iter;
    gpointer value;

    for (int i = 0; i < old->n_deployments; i++) {
        new_indexes[i] = find_deployment(now, old->deployments[i].name);
    }
    for (guint i = 0; i < batch->runs->len; i++) {
        struct batch_run *run = batch->runs->pdata[i];
        remap_deployments(&run->ready, new_indexes);
        remap_deployments(&run->beginning, new_indexes);
    }
    remap_deployments(&batch->running, new_indexes);
    g_free(new_indexes);
    g_hash_table_iter_init(&iter, batch->pools);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct batch_pool *pool = value;
        pool->index = world_find_server(now, pool->server);
    }
}

static void
serve_change(struct base_call *call, void *state)
{
    struct batch *batch = state;
    struct batch_change *change = (struct batch_change *)call;
    struct world *world = batch->world;
    struct members_view *view = batch->view;

    if (world != NULL && change->world != NULL) {
        remap_indexes(batch, world, change->world);
    }
    if (change->world != NULL) {
        batch->world = change->world;
        change->world = world;
    }
    batch->view = change->view;
    change->view = view;
    base_call_reply(call);
}

static const struct base_call_ops CHANGE_OPS = {serve_change, NULL,
                                                change_drop};

/* Sets the configuration and the membership.  If `world` is NULL, the current
 * configuration is kept.  Any thread. */
void
batch_update(struct batch *batch, struct world *world,
             struct members_view *view)
{
    struct batch_change *change = g_new0(struct batch_change, 1);

    change->world = world == NULL ? NULL : world_ref(world);
    change->view = view == NULL ? NULL : members_view_ref(view);
    base_call_send(&change->call, &CHANGE_OPS, &batch->task, NULL);
}

/* ---- the task ---- */

static void
tick(struct batch *batch, int64_t now_ms)
{
    batch->next_tick_ms = now_ms + BATCH_TICK_MS;
    batch_uploads_tick(batch, now_ms);
    batch_snapshots_tick(batch, now_ms);
    batch_open_jobs_tick(batch, now_ms);
    batch_runner_tick(batch, now_ms);
    batch_pools_tick(batch, now_ms);
    batch_maintenance_tick(batch, now_ms);
    g_atomic_int_set(&batch->is_idle,
                     g_atomic_int_get(&batch->is_draining) &&
                         batch->runs->len == 0 && batch->n_claiming == 0 &&
                         g_hash_table_size(batch->uploads) == 0);
}

static void
on_timer(lws_sorted_usec_list_t *timer)
{
    struct batch *batch = lws_container_of(timer, struct batch, timer);

    lws_sul_schedule(batch->lws, 0, &batch->timer, on_timer,
                     BATCH_TICK_MS * LWS_US_PER_MS);
}

static void
run_batch(struct base_task *task)
{
    struct batch *batch = task->state;

    lws_sul_schedule(batch->lws, 0, &batch->timer, on_timer, 1);
    while (!base_task_is_stopping(task)) {
        int64_t now_ms;
        lws_service(batch->lws, 0);
        base_task_drain(task);
        now_ms = base_clock_ms();
        if (now_ms >= batch->next_tick_ms) {
            tick(batch, now_ms);
        }
        if (batch->needs_dispatch) {
            batch->needs_dispatch = false;
            batch_pools_dispatch(batch, now_ms);
        }
    }
}

static void
wake_batch(struct base_task *task)
{
    struct batch *batch = task->state;
    lws_cancel_service(batch->lws);
}

static const struct base_task_ops TASK_OPS = {wake_batch, run_batch};

static void
register_counters(struct batch *batch, struct base_counters *counters)
{
    batch->n_accepted = base_counter(counters, "batch_items_accepted_total");
    batch->n_completed = base_counter(counters, "batch_items_completed_total");
    batch->n_failed = base_counter(counters, "batch_items_failed_total");
    batch->n_claims = base_counter(counters, "batch_shard_claims_total");
    batch->n_takeovers = base_counter(counters, "batch_takeovers_total");
    batch->n_lost_shards = base_counter(counters, "batch_shards_lost_total");
    batch->n_commits = base_counter(counters, "batch_commits_total");
    batch->n_kv_writes = base_counter(counters, "batch_kv_writes_total");
    batch->n_kv_reads = base_counter(counters, "batch_kv_reads_total");
    batch->n_preempted = base_counter(counters, "batch_items_yielded_total");
    batch->n_resumed = base_counter(counters, "batch_items_resumed_total");
    batch->n_retried = base_counter(counters, "batch_items_retried_total");
    batch->n_jobs_accepted =
        base_counter(counters, "batch_jobs_accepted_total");
    batch->n_jobs_ended = base_counter(counters, "batch_jobs_ended_total");
    batch->running_gauge = base_gauge(counters, "batch_items_running");
    batch->shards_gauge = base_gauge(counters, "batch_shards_held");
    batch->at_risk_gauge = base_gauge(counters, "batch_jobs_at_risk");
    batch->slots_gauge = base_gauge(counters, "batch_slots_granted");
    batch->used_gauge = base_gauge(counters, "batch_slots_used");
}

static void
init_tables(struct batch *batch)
{
    batch->uploads = g_hash_table_new(g_str_hash, g_str_equal);
    batch->snapshots = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                             batch_snapshot_free);
    batch->open_jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                             batch_open_job_free);
    batch->recent_usage =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    batch->runners =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    batch->claims_seen =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    batch->missing_since =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    batch->pools =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    batch->runs = g_ptr_array_new();
    g_queue_init(&batch->running);
}

static bool
open_sockets(struct batch *batch, const struct batch_desc *desc,
             struct base_error *err)
{
    struct lws_context_creation_info info = {
        .port = CONTEXT_PORT_NO_LISTEN,
    };
    struct backends_desc backends = {
        .counters = desc->counters,
        .source = desc->source,
    };

    backends_prepare_info(&info);
    batch->lws = lws_create_context(&info);
    if (batch->lws == NULL) {
        base_error_set(err, BASE_INTERNAL, "no libwebsockets context");
        return false;
    }
    backends.context = batch->lws;
    batch->has_backends = backends_init(&batch->backends, &backends, err);
    return batch->has_backends;
}

/* Starts the task.  The objects that desc points to must exist until
 * batch_stop.  Returns NULL on failure. */
struct batch *
batch_start(const struct batch_desc *desc, struct base_error *err)
{
    struct batch *batch = g_new0(struct batch, 1);

    g_strlcpy(batch->node, desc->node, sizeof(batch->node));
    g_strlcpy(batch->zone, desc->zone, sizeof(batch->zone));
    base_random_id(batch->claim, sizeof(batch->claim));
    batch->platform = desc->platform;
    batch->control = desc->control;
    batch->bulk = desc->bulk;
    batch->tracer = desc->tracer;
    batch->is_runner = desc->is_runner;
    batch->write_credit = BATCH_KV_WRITES_BURST;
    batch->last_refill_ms = base_clock_ms();
    register_counters(batch, desc->counters);
    init_tables(batch);
    batch_maintenance_start(batch, desc);
    if (!base_task_init(&batch->task, "batch", &TASK_OPS, batch, err) ||
        !open_sockets(batch, desc, err) ||
        !base_task_start(&batch->task, err)) {
        batch_stop(batch);
        return NULL;
    }
    return batch;
}

/* Starts draining, as batch.h describes.  Any thread. */
void
batch_drain(struct batch *batch)
{
    g_atomic_int_set(&batch->is_draining, 1);
}

/* Returns whether draining has ended: no shard is held and no upload is open.
 * Any thread. */
bool
batch_is_idle(struct batch *batch)
{
    return g_atomic_int_get(&batch->is_idle) != 0;
}

static void
on_barrier_done(struct batch *batch, struct platform_kv *kv, void *context)
{
}

/* Sends a read to the platform's task after the watch was ended.  The task
 * serves calls in order, so after the reply no event of the watch arrives any
 * more. */
static void
send_barrier(struct batch *batch)
{
    struct platform_kv *kv = platform_kv_new(PLATFORM_GET, BATCH_RUNNERS);

    kv->timeout_ms = 1;
    batch_kv(batch, kv, (struct batch_kv_callback){on_barrier_done, NULL});
}

/* Waits, at most STOP_WAIT_MS, for the replies of pending calls to other
 * tasks, since the calls refer to this task. */
static void
wait_for_calls(struct batch *batch)
{
    int64_t until_ms = base_clock_ms() + STOP_WAIT_MS;

    while (batch->n_pending_calls > 0 && base_clock_ms() < until_ms) {
        if (base_task_drain(&batch->task) == 0) {
            g_usleep(STOP_POLL_US);
        }
    }
}

static void
free_tables(struct batch *batch)
{
    GHashTableIter iter;
    gpointer upload;

    g_hash_table_iter_init(&iter, batch->uploads);
    while (g_hash_table_iter_next(&iter, NULL, &upload)) {
        batch_upload_free(upload);
    }
    g_hash_table_unref(batch->uploads);
    g_hash_table_unref(batch->snapshots);
    g_hash_table_unref(batch->open_jobs);
    g_hash_table_unref(batch->recent_usage);
    g_hash_table_unref(batch->runners);
    g_hash_table_unref(batch->claims_seen);
    g_hash_table_unref(batch->missing_since);
    g_hash_table_unref(batch->pools);
    g_ptr_array_unref(batch->runs);
}

/* Stops the task without draining.  Other runners can claim the shards that
 * were not released once this runner's lease has expired. */
void
batch_stop(struct batch *batch)
{
    base_task_stop(&batch->task);
    batch->is_stopped = true;
    if (batch->has_backends) {
        batch_open_jobs_finish(batch);
        send_barrier(batch);
        batch_runner_finish(batch);
        batch_pools_finish(batch);
        wait_for_calls(batch);
        /* A claim that was confirmed during the wait has added a run. */
        batch_runner_finish(batch);
    }
    if (batch->has_backends) {
        backends_finish(&batch->backends);
    }
    if (batch->lws != NULL) {
        lws_context_destroy(batch->lws);
        batch->lws = NULL;
    }
    batch_maintenance_finish(batch);
    base_task_finish(&batch->task);
    free_tables(batch);
    if (batch->world != NULL) {
        world_unref(batch->world);
    }
    if (batch->view != NULL) {
        members_view_unref(batch->view);
    }
    g_free(batch);
}
