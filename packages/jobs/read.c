#include "jobs/jobs_private.h"

#include <string.h>

enum {
    MAX_REPLY_BYTES = 900000, /* results in one reply */
    MAX_END_ATTEMPTS = 4, /* writes of a head that others change meanwhile */
};

/* ---- jobs that this node runs ---- */

static struct jobs_result *
copy_result(const struct jobs_result *result)
{
    return jobs_result_new(result->id, result->is_completed, result->text,
                           result->size);
}

static void
fill_answer(struct jobs_request *request, int total, const GPtrArray *results)
{
    struct jobs_answer *answer = &request->answer;
    size_t size = 0;

    answer->total = total;
    answer->results = g_ptr_array_new_with_free_func(jobs_result_free);
    for (guint i = (guint)request->after; i < results->len; i++) {
        const struct jobs_result *result = results->pdata[i];
        if (answer->results->len > 0 &&
            size + result->size > MAX_REPLY_BYTES) {
            break;
        }
        g_ptr_array_add(answer->results, copy_result(result));
        size += result->size;
    }
    answer->next = request->after + (int)answer->results->len;
}

/* Returns the run of a job that this node runs, or NULL.  Without a valid
 * lease it returns NULL, since another node may have claimed the job. */
static struct jobs_run *
find_own_run(struct jobs *jobs, const char *id)
{
    return jobs_holds_lease(jobs) ? g_hash_table_lookup(jobs->runs, id) : NULL;
}

static bool
has_new_results(const struct jobs_run *run, const struct jobs_request *request)
{
    return run->results->len > (guint)request->after ||
           run->results->len == run->job->items->len;
}

static void
reply_own_results(struct jobs *jobs, struct jobs_request *request,
                  const struct jobs_run *run)
{
    fill_answer(request, (int)run->job->items->len, run->results);
    jobs_reply(jobs, request, JOBS_OK);
}

static const struct jobs_item *
find_item(const struct jobs_job *job, const char *id)
{
    for (guint i = 0; i < job->items->len; i++) {
        const struct jobs_item *item = job->items->pdata[i];
        if (strcmp(item->id, id) == 0) {
            return item;
        }
    }
    return NULL;
}

static void
reply_input(struct jobs *jobs, struct jobs_request *request,
            const struct jobs_job *job)
{
    const struct jobs_item *item = find_item(job, request->item);

    if (item != NULL) {
        request->body = g_bytes_ref(item->body);
    }
    jobs_reply(jobs, request, item != NULL ? JOBS_OK : JOBS_NOT_FOUND);
}

/* ---- jobs of other nodes, read from the key-value service ---- */

static void
on_results(struct jobs *jobs, struct platform_kv *kv, void *context)
{
    struct jobs_request *request = context;
    GPtrArray *results;
    struct base_error err = {0};

    if (kv->status != PLATFORM_OK) {
        jobs_reply_kv_error(jobs, request, kv);
        return;
    }
    results = g_ptr_array_new_with_free_func(jobs_result_free);
    for (guint i = 0; i < kv->entries->len; i++) {
        const struct platform_entry *entry = kv->entries->pdata[i];
        if (jobs_is_checkpoint_key(entry->key)) {
            continue;
        }
        if (!jobs_results_decode(entry->value, results, &err)) {
            base_log_error("jobs.results_unreadable", &err, "key=%s",
                           entry->key);
            request->err = err;
            g_ptr_array_free(results, TRUE);
            jobs_reply(jobs, request, JOBS_REFUSED);
            return;
        }
    }
    fill_answer(request, request->answer.total, results);
    g_ptr_array_free(results, TRUE);
    jobs_reply(jobs, request, JOBS_OK);
}

static void
on_input(struct jobs *jobs, struct platform_kv *kv, void *context)
{
    struct jobs_request *request = context;
    GPtrArray *pieces = g_ptr_array_new();
    struct jobs_job *job = NULL;
    GBytes *text = NULL;
    gsize size = 0;

    for (guint i = 0; i < kv->entries->len; i++) {
        const struct platform_entry *entry = kv->entries->pdata[i];
        g_ptr_array_add(pieces, entry->value);
    }
    if (kv->status == PLATFORM_OK) {
        text = jobs_text_join(pieces, &request->err);
    }
    if (text != NULL) {
        const char *data = g_bytes_get_data(text, &size);
        job = jobs->decode(request->id, data, size, &request->err);
        g_bytes_unref(text);
    }
    g_ptr_array_free(pieces, TRUE);
    if (job == NULL) {
        jobs_reply(jobs, request, JOBS_REFUSED);
        return;
    }
    reply_input(jobs, request, job);
    jobs_job_free(job);
}

static void
list_job_records(struct jobs *jobs, struct jobs_request *request,
                 const char *prefix,
                 void (*on_done)(struct jobs *jobs, struct platform_kv *kv,
                                 void *context))
{
    char *key = g_strconcat(prefix, request->id, "/", NULL);

    jobs_kv_send(jobs, platform_kv_new(PLATFORM_LIST, key),
                 (struct jobs_kv_callback){on_done, request});
    g_free(key);
}

static void end_job(struct jobs *jobs, struct jobs_request *request,
                    const struct jobs_head *head, int64_t revision);
static void read_head(struct jobs *jobs, struct jobs_request *request);

/* ---- jobs of other nodes, read from their runners ---- */

static void
on_runner_reply(struct jobs_request *request, void *task_state)
{
    struct jobs *jobs = task_state;

    jobs->n_calls--;
    if (request->status != JOBS_REFUSED) {
        jobs_reply(jobs, request, request->status);
        return;
    }
    g_hash_table_remove(jobs->runner_nodes, request->id);
    read_head(jobs, request);
}

/* Forwards a request to the node that runs the job.  Returns false when the
 * runner is not known, not reachable or was tried before. */
static bool
forward_to_runner(struct jobs *jobs, struct jobs_request *request)
{
    const char *name = g_hash_table_lookup(jobs->runner_nodes, request->id);
    int node = name == NULL || jobs->view == NULL
                   ? -1
                   : members_view_find(jobs->view, name);

    if (node < 0 || jobs->rpc == NULL || request->is_from_peer ||
        request->has_tried_runner || node == jobs->view->self ||
        jobs->view->nodes[node].jobs_address[0] == '\0' ||
        jobs->view->nodes[node].state == MEMBERS_DEAD ||
        jobs->view->nodes[node].state == MEMBERS_LEFT) {
        return false;
    }
    request->has_tried_runner = true;
    jobs->n_calls++;
    jobs_rpc_send(jobs->rpc, jobs->view->nodes[node].jobs_address, request,
                  &jobs->task, on_runner_reply);
    return true;
}

/* Remembers the node that runs a job. */
static void
remember_runner(struct jobs *jobs, const struct jobs_head *head)
{
    if (head->runner[0] == '\0') {
        g_hash_table_remove(jobs->runner_nodes, head->id);
        return;
    }
    g_hash_table_replace(jobs->runner_nodes, g_strdup(head->id),
                         g_strndup(head->runner, strcspn(head->runner, "#")));
}

static void
serve_from_records(struct jobs *jobs, struct jobs_request *request,
                   const struct jobs_head *head, int64_t revision)
{
    switch (request->op) {
    case JOBS_RESULTS:
        request->answer.total = (int)head->tokens->len;
        if (head->listed->len <= (guint)request->after) {
            GPtrArray *none = g_ptr_array_new();
            fill_answer(request, request->answer.total, none);
            g_ptr_array_free(none, TRUE);
            jobs_reply(jobs, request, JOBS_OK);
            return;
        }
        list_job_records(jobs, request, JOBS_RESULTS_PREFIX, on_results);
        return;
    case JOBS_INPUT:
        list_job_records(jobs, request, JOBS_INPUT_PREFIX, on_input);
        return;
    case JOBS_END:
        end_job(jobs, request, head, revision);
        return;
    case JOBS_SUBMIT:
        return;
    }
}

static void
on_head(struct jobs *jobs, struct platform_kv *kv, void *context)
{
    struct jobs_request *request = context;
    const struct platform_entry *entry;
    struct jobs_head head;

    if (kv->status != PLATFORM_OK && kv->status != PLATFORM_CONFLICT) {
        jobs_reply_kv_error(jobs, request, kv);
        return;
    }
    entry = kv->entries->len > 0 ? kv->entries->pdata[0] : NULL;
    if (entry == NULL) {
        jobs_reply(jobs, request, JOBS_NOT_FOUND);
        return;
    }
    if (!jobs_head_decode(request->id, entry->value, &head, &request->err)) {
        base_log_error("jobs.head_unreadable", &request->err, "id=%s",
                       request->id);
        jobs_reply(jobs, request, JOBS_REFUSED);
        return;
    }
    remember_runner(jobs, &head);
    if (!forward_to_runner(jobs, request)) {
        serve_from_records(jobs, request, &head, entry->revision);
    }
    jobs_head_finish(&head);
}

static void
read_head(struct jobs *jobs, struct jobs_request *request)
{
    char *key = jobs_head_key(request->id);

    jobs_kv_send(jobs, platform_kv_new(PLATFORM_GET, key),
                 (struct jobs_kv_callback){on_head, request});
    g_free(key);
}

/* ---- the end of a job ---- */

static void
on_end_written(struct jobs *jobs, struct platform_kv *kv, void *context)
{
    struct jobs_request *request = context;
    struct jobs_run *run = g_hash_table_lookup(jobs->runs, request->id);

    if (kv->status == PLATFORM_CONFLICT &&
        ++request->after < MAX_END_ATTEMPTS) {
        on_head(jobs, kv, request);
        return;
    }
    if (kv->status != PLATFORM_OK) {
        jobs_reply_kv_error(jobs, request, kv);
        return;
    }
    if (run != NULL) {
        run->head.is_ended = true;
        jobs_run_stop(run, "ended by the client");
    }
    jobs_reply(jobs, request, JOBS_OK);
}

static void
end_job(struct jobs *jobs, struct jobs_request *request,
        const struct jobs_head *head, int64_t revision)
{
    struct jobs_head ended;
    char *key;
    struct platform_kv *kv;

    if (head->is_ended) {
        jobs_reply(jobs, request, JOBS_OK);
        return;
    }
    key = jobs_head_key(request->id);
    kv = platform_kv_new(PLATFORM_PUT_IF, key);
    jobs_head_copy(&ended, head);
    ended.is_ended = true;
    kv->expect_revision = revision;
    kv->value = jobs_head_encode(&ended);
    jobs_head_finish(&ended);
    g_free(key);
    jobs_kv_send(jobs, kv, (struct jobs_kv_callback){on_end_written, request});
}

/* ---- calls ---- */

/* Serves a request for a job that this node does not run: forwards it to the
 * runner if that is known, or else reads the job's records. */
static void
serve_remote_job(struct jobs *jobs, struct jobs_request *request)
{
    if (request->is_from_peer) {
        base_error_set(&request->err, BASE_UNAVAILABLE,
                       "this node does not run the job");
        jobs_reply(jobs, request, JOBS_REFUSED);
        return;
    }
    if (!forward_to_runner(jobs, request)) {
        read_head(jobs, request);
    }
}

/* Replies with results.  If this node runs the job, the reply waits up to
 * wait_ms for the first new result. */
void
jobs_read_results(struct jobs *jobs, struct jobs_request *request)
{
    struct jobs_run *run = find_own_run(jobs, request->id);

    if (run == NULL) {
        serve_remote_job(jobs, request);
        return;
    }
    if (request->wait_ms == 0 || has_new_results(run, request)) {
        reply_own_results(jobs, request, run);
        return;
    }
    request->wait_until_ms = base_clock_ms() + request->wait_ms;
    request->link.data = request;
    g_queue_push_tail_link(&jobs->waiting_reads, &request->link);
}

/* Replies to waiting reads that have results now, or whose wait has ended. */
void
jobs_serve_waiting_reads(struct jobs *jobs, int64_t now_ms)
{
    GList *next;

    for (GList *at = jobs->waiting_reads.head; at != NULL; at = next) {
        struct jobs_request *request = at->data;
        struct jobs_run *run = find_own_run(jobs, request->id);
        next = at->next;
        if (run != NULL && !has_new_results(run, request) &&
            now_ms < request->wait_until_ms) {
            continue;
        }
        g_queue_unlink(&jobs->waiting_reads, at);
        if (run != NULL) {
            reply_own_results(jobs, request, run);
        }
        else {
            serve_remote_job(jobs, request);
        }
    }
}

/* Replies with the request body of an item. */
void
jobs_read_input(struct jobs *jobs, struct jobs_request *request)
{
    struct jobs_run *run = find_own_run(jobs, request->id);

    if (run != NULL) {
        reply_input(jobs, request, run->job);
        return;
    }
    serve_remote_job(jobs, request);
}

/* Ends a job: none of its items is sent any more. */
void
jobs_end(struct jobs *jobs, struct jobs_request *request)
{
    if (find_own_run(jobs, request->id) != NULL) {
        read_head(jobs, request);
        return;
    }
    serve_remote_job(jobs, request);
}
