#include "jobs/jobs_private.h"

#include <string.h>

/* Entries of the transaction that accepts a job, besides the pieces of its
 * text: the head, and conditions on it, on the ended head and on a refusal. */
enum {
    HEAD_ENTRIES = 4,
    /* A longer text is not sent to the job's home but stored without a runner:
     * the home reads it from the store once it has memory. */
    MAX_FORWARDED_BYTES = 1 << 20,
};

/* A job that is being accepted.  The head is written on the condition that the
 * job has none.  This detects a job that was accepted before, and makes a
 * write that takes effect late harmless. */
struct submission {
    GPtrArray *requests; /* of struct jobs_request, for the same job */
    struct jobs_job *job;
    struct jobs_head head;
    char identity[JOBS_SUBMISSION_SIZE]; /* of the first request; or empty */
    int64_t token_limit;         /* waiting tokens of the route; 0: no limit */
    struct jobs_waiting waiting; /* if there is a limit */
    int lease_epoch;             /* when the head was written */
    int64_t held_bytes; /* taken from jobs->held; 0: this node will not be the
                           runner */
};

static void
free_submission(struct submission *submission)
{
    g_ptr_array_free(submission->requests, TRUE);
    jobs_job_free(submission->job);
    jobs_head_finish(&submission->head);
    g_free(submission);
}

static void
finish_submission(struct jobs *jobs, struct submission *submission,
                  enum jobs_status status, const struct base_error *err)
{
    base_log(BASE_LOG_INFO, "jobs.submitted",
             "id=%s items=%u status=%d route=%s error=\"%s\"",
             submission->head.id, submission->head.tokens->len, status,
             submission->head.route, err != NULL ? err->text : "");
    if (submission->token_limit > 0) {
        jobs_waiting_written(jobs, &submission->waiting,
                             status == JOBS_OK || status == JOBS_UNCERTAIN);
    }
    g_hash_table_remove(jobs->submissions, submission->head.id);
    g_hash_table_remove(jobs->pending_ids, submission->head.id);
    base_budget_give(&jobs->held, submission->held_bytes);
    for (guint i = 0; i < submission->requests->len; i++) {
        struct jobs_request *request = submission->requests->pdata[i];
        if (err != NULL) {
            request->err = *err;
        }
        jobs_reply(jobs, request, status);
    }
    free_submission(submission);
}

/* Returns whether the stored head belongs to the operator that submits the
 * job again. */
static bool
is_own_head(const struct submission *submission,
            const struct platform_entry *entry)
{
    struct base_error err = {0};
    struct jobs_head head;
    bool is_own;

    if (!jobs_head_decode(submission->head.id, entry->value, &head, &err)) {
        base_log_error("jobs.head_unreadable", &err, "id=%s",
                       submission->head.id);
        return true;
    }
    is_own = jobs_head_admits(&head, submission->head.operator_name);
    jobs_head_finish(&head);
    return is_own;
}

/* The job was accepted before, and `entry` has its head. */
static void
finish_known(struct jobs *jobs, struct submission *submission,
             const struct platform_entry *entry)
{
    finish_submission(
        jobs, submission,
        is_own_head(submission, entry) ? JOBS_OK : JOBS_NOT_FOUND, NULL);
}

/* The head was not written: the job exists, or the client has been told that
 * it is refused. */
static void
finish_conflict(struct jobs *jobs, struct submission *submission,
                const struct platform_kv *kv)
{
    const struct platform_entry *entry =
        jobs_kv_find_head(kv, submission->head.id);
    struct jobs_check check = {.revision = INT64_MAX};
    struct base_error err = {0};

    if (entry == NULL && submission->identity[0] != '\0') {
        base_error_set(&err, BASE_UNAVAILABLE,
                       "submission %s was refused by the node that forwarded "
                       "it",
                       submission->identity);
        finish_submission(jobs, submission, JOBS_REFUSED, &err);
        return;
    }
    if (entry != NULL && !is_own_head(submission, entry)) {
        finish_submission(jobs, submission, JOBS_NOT_FOUND, NULL);
        return;
    }
    g_strlcpy(check.id, submission->head.id, sizeof(check.id));
    finish_submission(jobs, submission, JOBS_OK, NULL);
    /* If this node is the runner and does not know the job, the reply to that
     * write was lost. */
    jobs_check_head(jobs, &check);
}

/* Starts the run of an accepted job, or leaves the job to its home. */
static void
start_accepted(struct jobs *jobs, struct submission *submission,
               int64_t revision)
{
    if (submission->head.runner[0] == '\0') {
        jobs_release_to_home(jobs, &submission->head, revision);
        return;
    }
    jobs_job_drop_text(submission->job);
    jobs_run_start(jobs, g_steal_pointer(&submission->job), &submission->head,
                   revision, submission->lease_epoch, NULL);
}

static void
on_written(struct jobs *jobs, struct platform_kv *kv, void *context)
{
    struct submission *submission = context;

    switch (kv->status) {
    case PLATFORM_OK:
        base_counter_add(jobs->n_accepted, 1);
        start_accepted(jobs, submission, kv->revision);
        finish_submission(jobs, submission, JOBS_OK, NULL);
        return;
    case PLATFORM_CONFLICT:
        finish_conflict(jobs, submission, kv);
        return;
    case PLATFORM_LEASE_EXPIRED:
    case PLATFORM_UNAVAILABLE:
    case PLATFORM_REJECTED:
        break;
    }
    /* If the write has taken effect, or does so late, the next scan finds the
     * job and notifies this node. */
    finish_submission(
        jobs, submission,
        kv->verdict == BASE_NOT_RUN ? JOBS_REFUSED : JOBS_UNCERTAIN, &kv->err);
}

/* Refuses a job that no later attempt could store either. */
static void
refuse_too_large(struct jobs *jobs, struct submission *submission)
{
    struct base_error err = {0};

    base_error_set(&err, BASE_INVALID,
                   "the job's text has %zu bytes, which the store can't take "
                   "in one transaction",
                   g_bytes_get_size(submission->job->text));
    finish_submission(jobs, submission, JOBS_TOO_LARGE, &err);
}

static void
write_job(struct jobs *jobs, struct submission *submission)
{
    struct platform_kv *kv =
        platform_kv_new(PLATFORM_TXN, submission->job->id);
    GPtrArray *pieces =
        jobs_text_split(submission->job->text, jobs_piece_bytes(jobs->limits));
    char *head_key;
    char *done_key;

    if ((int)pieces->len > jobs->limits->txn_entries - HEAD_ENTRIES) {
        platform_kv_free(kv);
        g_ptr_array_free(pieces, TRUE);
        refuse_too_large(jobs, submission);
        return;
    }
    submission->head.n_input_pieces = (int)pieces->len;
    head_key = jobs_head_key(submission->job->id);
    done_key = jobs_done_key(submission->job->id);
    platform_kv_expect(kv, head_key, PLATFORM_ABSENT);
    platform_kv_expect(kv, done_key, PLATFORM_ABSENT);
    if (submission->identity[0] != '\0') {
        char *refusal_key =
            jobs_refusal_key(submission->job->id, submission->identity);
        platform_kv_expect(kv, refusal_key, PLATFORM_ABSENT);
        g_free(refusal_key);
    }
    platform_kv_write(kv, head_key, jobs_head_encode(&submission->head), 0);
    for (guint i = 0; i < pieces->len; i++) {
        char *key =
            jobs_piece_key(JOBS_INPUT_PREFIX, submission->job->id, (int)i);
        platform_kv_write(kv, key, g_bytes_ref(pieces->pdata[i]), 0);
        g_free(key);
    }
    g_ptr_array_free(pieces, TRUE);
    g_free(head_key);
    g_free(done_key);
    submission->lease_epoch = jobs->lease_epoch;
    jobs_kv_send(jobs, kv, (struct jobs_kv_callback){on_written, submission});
}

static int64_t
tokens_with_job(const struct submission *submission)
{
    return submission->waiting.tokens +
           jobs_head_waiting_tokens(&submission->head);
}

/* Receives the head that the job has if it is complete or has ended.  Such a
 * job was accepted before and takes no room; any other is refused. */
static void
on_done_head(struct jobs *jobs, struct platform_kv *kv, void *context)
{
    struct submission *submission = context;
    const struct platform_entry *entry;
    struct base_error full = {0};

    if (kv->status != PLATFORM_OK) {
        finish_submission(jobs, submission, JOBS_REFUSED, &kv->err);
        return;
    }
    entry = jobs_kv_find_head(kv, submission->head.id);
    if (entry != NULL) {
        finish_known(jobs, submission, entry);
        return;
    }
    base_error_set(&full, BASE_FULL,
                   "%" G_GINT64_FORMAT
                   " tokens would wait on the route, %" G_GINT64_FORMAT
                   " are allowed",
                   tokens_with_job(submission), submission->token_limit);
    finish_submission(jobs, submission, JOBS_FULL, &full);
}

static void
read_done_head(struct jobs *jobs, struct submission *submission)
{
    char *key = jobs_done_key(submission->head.id);

    jobs_kv_send(jobs, platform_kv_new(PLATFORM_GET, key),
                 (struct jobs_kv_callback){on_done_head, submission});
    g_free(key);
}

static void
on_known(struct jobs *jobs, const struct platform_entry *entry, void *context)
{
    finish_known(jobs, context, entry);
}

/* Writes the job if its tokens and those that wait stay within the limit. */
static void
on_counted(struct jobs *jobs, const struct platform_kv *last, void *context)
{
    struct submission *submission = context;

    if (last->status != PLATFORM_OK) {
        finish_submission(jobs, submission, JOBS_REFUSED, &last->err);
    }
    else if (tokens_with_job(submission) > submission->token_limit) {
        read_done_head(jobs, submission);
    }
    else {
        jobs_waiting_write(jobs, &submission->waiting);
        write_job(jobs, submission);
    }
}

static const char *
own_region(const struct jobs *jobs)
{
    return jobs->n_homes == 0 ? "" : jobs->homes[jobs->region].name;
}

static struct submission *
new_submission(struct jobs *jobs, struct jobs_request *request,
               const struct world_ingress *route, bool may_run)
{
    struct submission *submission = g_new0(struct submission, 1);
    struct jobs_head *head = &submission->head;

    submission->requests = g_ptr_array_new();
    g_ptr_array_add(submission->requests, request);
    submission->job = g_steal_pointer(&request->job);
    submission->token_limit = route->max_waiting_tokens;
    g_strlcpy(submission->identity, request->submission,
              sizeof(submission->identity));
    jobs_head_init(head, request->id);
    head->host = g_strdup(submission->job->host);
    head->path = g_strdup(submission->job->path);
    head->route = g_strdup(route->name);
    g_strlcpy(head->operator_name, request->operator_name,
              sizeof(head->operator_name));
    head->region = g_strdup(own_region(jobs));
    head->submitted_ms = base_wall_ms();
    head->config_revision = jobs->world->revision;
    head->epoch = 1;
    head->input_bytes = jobs_job_bytes(submission->job);
    if (may_run && jobs_held_take(jobs, head->input_bytes)) {
        submission->held_bytes = head->input_bytes;
        g_strlcpy(head->runner, jobs->runner, sizeof(head->runner));
    }
    for (guint i = 0; i < submission->job->items->len; i++) {
        const struct jobs_item *item = submission->job->items->pdata[i];
        g_array_append_val(head->tokens, item->tokens);
    }
    g_hash_table_add(jobs->pending_ids, g_strdup(request->id));
    g_hash_table_insert(jobs->submissions, submission->head.id, submission);
    return submission;
}

/* Accepts a job on this node, as its runner if it may be and has memory.  The
 * client does not wait for the node's lease: scans leave the jobs of a live
 * node alone until it had time to register. */
static void
submit_here(struct jobs *jobs, struct jobs_request *request,
            const struct world_ingress *route, bool may_run)
{
    struct submission *submission =
        g_hash_table_lookup(jobs->submissions, request->id);

    const struct jobs_run *run = g_hash_table_lookup(jobs->runs, request->id);

    if ((submission != NULL &&
         !jobs_head_admits(&submission->head, request->operator_name)) ||
        (run != NULL &&
         !jobs_head_admits(&run->head, request->operator_name))) {
        jobs_reply(jobs, request, JOBS_NOT_FOUND);
        return;
    }
    if (submission != NULL) {
        g_ptr_array_add(submission->requests, request);
        return;
    }
    if (run != NULL || g_hash_table_contains(jobs->pending_ids, request->id)) {
        jobs_reply(jobs, request, JOBS_OK);
        return;
    }
    if (g_atomic_int_get(&jobs->is_draining)) {
        base_error_set(&request->err, BASE_UNAVAILABLE,
                       "this node accepts no jobs any more");
        jobs_reply(jobs, request, JOBS_REFUSED);
        return;
    }
    submission = new_submission(jobs, request, route, may_run);
    if (submission->token_limit > 0) {
        submission->waiting = (struct jobs_waiting){
            .head = &submission->head,
            .on_known = on_known,
            .on_counted = on_counted,
            .context = submission,
        };
        jobs_waiting_count(jobs, &submission->waiting);
        return;
    }
    write_job(jobs, submission);
}

/* The home refused the job or did not answer.  Accepting it here is safe even
 * if the home accepts it late, since only one head is written.  Refusing it
 * here is not, see refusal.c. */
static void
on_home_reply(struct jobs_request *request, void *task_state)
{
    struct jobs *jobs = task_state;
    const struct world_ingress *route;

    jobs->n_calls--;
    if (request->status != JOBS_REFUSED) {
        jobs_reply(jobs, request, request->status);
        return;
    }
    route = jobs_find_route(jobs, request->job->host, request->job->path);
    if (route == NULL) {
        jobs_reply(jobs, request, JOBS_NOT_ALLOWED);
        return;
    }
    submit_here(jobs, request, route, true);
}

/* Decodes the text of a job that another node forwarded. */
static bool
decode_forwarded(struct jobs *jobs, struct jobs_request *request)
{
    struct jobs_job *from = request->job;
    gsize size = 0;
    const char *text = g_bytes_get_data(from->text, &size);
    struct jobs_job *job =
        jobs->decode(request->id, text, size, &request->err);

    if (job == NULL) {
        return false;
    }
    job->host = g_steal_pointer(&from->host);
    job->path = g_steal_pointer(&from->path);
    jobs_job_free(from);
    request->job = job;
    return true;
}

/* Answers a submission to a route that the jobs task does not have.  It may
 * get the configuration that has the route a little later than the sender. */
static void
refuse_without_route(struct jobs *jobs, struct jobs_request *request)
{
    if (jobs->world != NULL &&
        jobs->world->revision >= request->config_revision) {
        jobs_reply(jobs, request, JOBS_NOT_ALLOWED);
        return;
    }
    base_error_set(&request->err, BASE_UNAVAILABLE,
                   "this node has no configuration with the route yet");
    jobs_reply(jobs, request, JOBS_REFUSED);
}

/* Accepts a job, on its home if that can be reached.  Replies JOBS_OK also
 * when it was accepted before. */
void
jobs_submit(struct jobs *jobs, struct jobs_request *request)
{
    const struct world_ingress *route =
        jobs_find_route(jobs, request->job->host, request->job->path);
    int home = jobs_find_home(jobs, own_region(jobs), request->id, WORLD_NONE);

    if (!jobs_can_store(request->id, request->job->host, request->job->path,
                        &request->err)) {
        base_log_error("jobs.bad_call", &request->err, "from_peer=%d",
                       request->is_from_peer);
        jobs_reply(jobs, request, JOBS_NOT_ALLOWED);
        return;
    }
    if (route == NULL) {
        refuse_without_route(jobs, request);
        return;
    }
    if (request->is_from_peer && !decode_forwarded(jobs, request)) {
        jobs_reply(jobs, request, JOBS_NOT_ALLOWED);
        return;
    }
    if (!request->is_from_peer && home != WORLD_NONE &&
        home != jobs->view->self &&
        g_bytes_get_size(request->job->text) > MAX_FORWARDED_BYTES) {
        submit_here(jobs, request, route, false);
        return;
    }
    if (!request->is_from_peer && home != WORLD_NONE) {
        base_random_id(request->submission, sizeof(request->submission));
        if (jobs_forward(jobs, request, home, on_home_reply)) {
            return;
        }
        request->submission[0] = '\0';
    }
    submit_here(jobs, request, route, true);
}
