#include "jobs/jobs_private.h"

#include <string.h>

/* A job that is being accepted.  The head is written on the condition that the
 * job has none.  This detects a job that was accepted before, and makes a
 * write that takes effect late harmless. */
struct submission {
    struct jobs_request *request;
    struct jobs_job *job;
    struct jobs_head head;
    int64_t token_limit; /* waiting tokens of the route; 0: no limit */
};

static void
free_submission(struct submission *submission)
{
    jobs_job_free(submission->job);
    jobs_head_finish(&submission->head);
    g_free(submission);
}

static void
finish_submission(struct jobs *jobs, struct submission *submission,
                  enum jobs_status status)
{
    struct jobs_request *request = submission->request;

    g_hash_table_remove(jobs->pending_ids, request->id);
    base_log(BASE_LOG_INFO, "jobs.submitted",
             "id=%s items=%u status=%d route=%s error=\"%s\"", request->id,
             submission->head.tokens->len, status, submission->head.route,
             request->err.text);
    free_submission(submission);
    jobs_reply(jobs, request, status);
}

static void
on_written(struct jobs *jobs, struct platform_kv *kv, void *context)
{
    struct submission *submission = context;

    switch (kv->status) {
    case PLATFORM_OK:
        base_counter_add(jobs->n_accepted, 1);
        jobs_run_start(jobs, g_steal_pointer(&submission->job),
                       &submission->head, kv->revision, NULL);
        finish_submission(jobs, submission, JOBS_OK);
        return;
    case PLATFORM_CONFLICT:
        /* The job was accepted before.  If this node is its runner, the next
         * scan of the heads finds it. */
        jobs_scan_soon(jobs);
        finish_submission(jobs, submission, JOBS_OK);
        return;
    case PLATFORM_LEASE_EXPIRED:
    case PLATFORM_UNAVAILABLE:
        break;
    }
    submission->request->err = kv->err;
    if (kv->verdict != BASE_NOT_RUN) {
        jobs_scan_soon(jobs);
    }
    finish_submission(jobs, submission,
                      kv->verdict == BASE_NOT_RUN ? JOBS_REFUSED
                                                  : JOBS_UNCERTAIN);
}

static void
write_job(struct jobs *jobs, struct submission *submission)
{
    struct platform_kv *kv =
        platform_kv_new(PLATFORM_TXN, submission->job->id);
    GPtrArray *pieces = jobs_text_split(submission->job->text);
    char *head_key = jobs_head_key(submission->job->id);

    submission->head.n_input_pieces = (int)pieces->len;
    platform_kv_expect(kv, head_key, PLATFORM_ABSENT);
    platform_kv_write(kv, head_key, jobs_head_encode(&submission->head), 0);
    for (guint i = 0; i < pieces->len; i++) {
        char *key =
            jobs_piece_key(JOBS_INPUT_PREFIX, submission->job->id, (int)i);
        platform_kv_write(kv, key, g_bytes_ref(pieces->pdata[i]), 0);
        g_free(key);
    }
    g_ptr_array_free(pieces, TRUE);
    g_free(head_key);
    jobs_kv_send(jobs, kv, (struct jobs_kv_callback){on_written, submission});
}

/* Receives the heads of all jobs.  Writes the new job if its tokens and the
 * tokens that already wait on its route stay within the route's limit. */
static void
on_heads(struct jobs *jobs, struct platform_kv *kv, void *context)
{
    struct submission *submission = context;
    int64_t waiting = jobs_head_waiting_tokens(&submission->head);

    if (kv->status != PLATFORM_OK) {
        submission->request->err = kv->err;
        finish_submission(jobs, submission, JOBS_REFUSED);
        return;
    }
    for (guint i = 0; i < kv->entries->len; i++) {
        const struct platform_entry *entry = kv->entries->pdata[i];
        const char *id = entry->key + strlen(JOBS_HEAD_PREFIX);
        struct jobs_head head;
        struct base_error err = {0};
        if (strcmp(id, submission->head.id) == 0) {
            finish_submission(jobs, submission, JOBS_OK);
            return;
        }
        if (!jobs_head_decode(id, entry->value, &head, &err)) {
            base_log_error("jobs.head_unreadable", &err, "id=%s", id);
            continue;
        }
        if (strcmp(head.route, submission->head.route) == 0) {
            waiting += jobs_head_waiting_tokens(&head);
        }
        jobs_head_finish(&head);
    }
    if (waiting > submission->token_limit) {
        base_error_set(&submission->request->err, BASE_FULL,
                       "%" G_GINT64_FORMAT
                       " tokens would wait on the route, %" G_GINT64_FORMAT
                       " are allowed",
                       waiting, submission->token_limit);
        finish_submission(jobs, submission, JOBS_FULL);
        return;
    }
    write_job(jobs, submission);
}

static struct submission *
new_submission(struct jobs *jobs, struct jobs_request *request,
               const struct world_ingress *route)
{
    struct submission *submission = g_new0(struct submission, 1);
    struct jobs_head *head = &submission->head;

    submission->request = request;
    submission->job = g_steal_pointer(&request->job);
    submission->token_limit = route->max_waiting_tokens;
    jobs_head_init(head, request->id);
    head->host = g_strdup(submission->job->host);
    head->path = g_strdup(submission->job->path);
    head->route = g_strdup(route->name);
    head->submitted_ms = base_wall_ms();
    head->epoch = 1;
    g_strlcpy(head->runner, jobs->runner, sizeof(head->runner));
    for (guint i = 0; i < submission->job->items->len; i++) {
        const struct jobs_item *item = submission->job->items->pdata[i];
        g_array_append_val(head->tokens, item->tokens);
    }
    return submission;
}

/* Accepts a job.  Replies JOBS_OK also when it was accepted before. */
void
jobs_submit(struct jobs *jobs, struct jobs_request *request)
{
    const struct world_ingress *route =
        jobs_find_route(jobs, request->job->host, request->job->path);
    struct submission *submission;

    if (route == NULL || route->kind != WORLD_INGRESS_BATCH) {
        jobs_reply(jobs, request, JOBS_NOT_ALLOWED);
        return;
    }
    if (g_hash_table_contains(jobs->runs, request->id)) {
        jobs_reply(jobs, request, JOBS_OK);
        return;
    }
    if (g_atomic_int_get(&jobs->is_draining) || !jobs_holds_lease(jobs) ||
        g_hash_table_contains(jobs->pending_ids, request->id)) {
        base_error_set(&request->err, BASE_UNAVAILABLE,
                       "this node accepts no jobs at present");
        jobs_reply(jobs, request, JOBS_REFUSED);
        return;
    }
    submission = new_submission(jobs, request, route);
    g_hash_table_add(jobs->pending_ids, g_strdup(request->id));
    if (submission->token_limit > 0) {
        jobs_kv_send(jobs, platform_kv_new(PLATFORM_LIST, JOBS_HEAD_PREFIX),
                     (struct jobs_kv_callback){on_heads, submission});
        return;
    }
    write_job(jobs, submission);
}
