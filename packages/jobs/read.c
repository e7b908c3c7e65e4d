#include "jobs/jobs_private.h"

#include <string.h>

enum {
    MAX_REPLY_BYTES = 900000, /* results in one reply */
    MAX_END_ATTEMPTS = 4, /* writes of a head that others change meanwhile */
    /* Least wait of a read until the runner has confirmed that it still runs
     * the job. */
    CONFIRM_WAIT_MS = 300,
    MAX_FORWARDS = 3, /* to the home, the runner that it names, and the one
                         that the head names */
    MAX_KNOWN_RUNNERS = 4096, /* runners of other nodes' jobs */
};

/* ---- jobs that this node runs ---- */

static struct jobs_result *
copy_result(const struct jobs_result *result)
{
    return jobs_result_new(result->id, result->is_completed, result->text,
                           result->size);
}

/* Returns how many results from the position `at` on go into one reply, and
 * their size. */
static guint
count_in_reply(const GPtrArray *results, guint at, size_t *size)
{
    guint n = 0;

    *size = 0;
    while (at + n < results->len) {
        const struct jobs_result *result = results->pdata[at + n];
        if (n > 0 && *size + result->size > MAX_REPLY_BYTES) {
            break;
        }
        *size += result->size;
        n++;
    }
    return n;
}

/* Takes memory for the results of a reply, until the request is freed. */
static bool
take_answer_bytes(struct jobs *jobs, struct jobs_request *request, size_t size)
{
    if (size == 0) {
        return true;
    }
    if (!base_budget_take(jobs->answers, (int64_t)size)) {
        base_error_set(&request->err, BASE_FULL,
                       "there is no memory for %zu bytes of results now",
                       size);
        return false;
    }
    request->answers = g_atomic_rc_box_acquire(jobs->answers);
    request->answer_bytes = (int64_t)size;
    return true;
}

/* Replies with the results from the position `first` on, or refuses while too
 * many others are read. */
static void
reply_results(struct jobs *jobs, struct jobs_request *request, int total,
              const GPtrArray *results, int first)
{
    struct jobs_answer *answer = &request->answer;
    guint at = (guint)MAX(request->after - first, 0);
    size_t size;
    guint n = count_in_reply(results, at, &size);

    answer->total = total;
    if (!take_answer_bytes(jobs, request, size)) {
        g_strlcpy(request->runner_node, jobs->node,
                  sizeof(request->runner_node));
        jobs_reply(jobs, request, JOBS_REFUSED);
        return;
    }
    answer->results = g_ptr_array_new_with_free_func(jobs_result_free);
    for (guint i = 0; i < n; i++) {
        g_ptr_array_add(answer->results, copy_result(results->pdata[at + i]));
    }
    answer->next = request->after + (int)n;
    jobs_reply(jobs, request, JOBS_OK);
}

/* Returns the run of a job that this node runs, or NULL.  Without a valid
 * lease it returns NULL, since another node may have claimed the job. */
static struct jobs_run *
find_own_run(struct jobs *jobs, const char *id)
{
    struct jobs_run *run = g_hash_table_lookup(jobs->runs, id);
    bool is_certain =
        run != NULL && (jobs_run_is_complete(run) ||
                        (jobs_holds_lease(jobs) && !run->is_unconfirmed));

    return is_certain ? run : NULL;
}

static bool
has_new_results(const struct jobs_run *run, const struct jobs_request *request)
{
    return jobs_run_n_results(run) > request->after ||
           jobs_run_is_complete(run);
}

static void
on_stored_results(struct jobs *jobs, struct jobs_stored_results *stored,
                  void *context)
{
    struct jobs_request *request = context;
    char id[JOBS_ID_SIZE];
    char *operator_name = NULL;
    bool is_final;
    int total;

    if (!stored->is_ok) {
        request->err = stored->err;
        jobs_reply(jobs, request, JOBS_REFUSED);
        return;
    }
    total = request->answer.total;
    is_final = request->is_final && stored->is_all;
    if (is_final) {
        /* The request may be gone after the reply. */
        g_strlcpy(id, request->id, sizeof(id));
        operator_name = g_strdup(request->job_operator);
    }
    reply_results(jobs, request, total, stored->results, stored->first);
    if (is_final) {
        jobs_archive_add(&jobs->archive, id, operator_name, total,
                         g_steal_pointer(&stored->results));
    }
    g_free(operator_name);
}

/* Replies with results as they are stored. */
static void
reply_stored_results(struct jobs *jobs, struct jobs_request *request,
                     const struct jobs_head *head)
{
    request->answer.total = (int)head->tokens->len;
    jobs_stored_read(
        jobs, head, request->after,
        (struct jobs_stored_callback){on_stored_results, request});
}

static void
reply_own_results(struct jobs *jobs, struct jobs_request *request,
                  const struct jobs_run *run)
{
    if (request->after < run->first_held) {
        reply_stored_results(jobs, request, &run->head);
        return;
    }
    reply_results(jobs, request, (int)run->job->items->len, run->results,
                  run->first_held);
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
read_stored_input(struct jobs *jobs, struct jobs_request *request,
                  const struct jobs_head *head)
{
    char *key = g_strconcat(JOBS_INPUT_PREFIX, request->id, "/", NULL);

    jobs_kv_read(jobs, platform_kv_new(PLATFORM_LIST, key),
                 jobs_input_bytes(jobs, head),
                 (struct jobs_kv_callback){on_input, request});
    g_free(key);
}

static void end_job(struct jobs *jobs, struct jobs_request *request,
                    const struct jobs_head *head, int64_t revision);
static void read_head(struct jobs *jobs, struct jobs_request *request);

/* ---- jobs of other nodes, read from their runners ---- */

/* Remembers the runner of a job that another node runs. */
static void
remember_runner(struct jobs *jobs, const struct jobs_head *head)
{
    if (!jobs_head_is_open(head) || head->runner[0] == '\0') {
        g_hash_table_remove(jobs->runners, head->id);
        return;
    }
    if (g_hash_table_size(jobs->runners) >= MAX_KNOWN_RUNNERS) {
        g_hash_table_remove_all(jobs->runners);
    }
    g_hash_table_replace(jobs->runners, g_strdup(head->id),
                         g_strdup(head->runner));
}

/* Returns the node, as an index in the view, of the runner that is known of a
 * job; WORLD_NONE if none is known or its process has stopped since. */
static int
find_runner(const struct jobs *jobs, const char *id)
{
    const char *runner = g_hash_table_lookup(jobs->runners, id);
    char *name;
    int node;

    if (runner == NULL || jobs->view == NULL) {
        return WORLD_NONE;
    }
    name = jobs_runner_node(runner);
    node = members_view_find(jobs->view, name);
    g_free(name);
    if (node < 0 || node == jobs->view->self ||
        (int64_t)jobs->view->nodes[node].life > jobs_runner_life(runner) ||
        jobs->view->nodes[node].state == MEMBERS_DEAD) {
        return WORLD_NONE;
    }
    return node;
}

/* The called node does not run the job, or did not answer.  It may have named
 * the node that does; otherwise the job's head tells. */
static void
on_runner_reply(struct jobs_request *request, void *task_state)
{
    struct jobs *jobs = task_state;
    bool is_runner = strcmp(request->runner_node, request->called_node) == 0;
    int node;

    jobs->n_calls--;
    if (request->status != JOBS_REFUSED || is_runner) {
        jobs_reply(jobs, request, request->status);
        return;
    }
    node = request->runner_node[0] == '\0'
               ? WORLD_NONE
               : members_view_find(jobs->view, request->runner_node);
    request->runner_node[0] = '\0';
    g_hash_table_remove(jobs->runners, request->id);
    if (node < 0 || request->n_forwards >= MAX_FORWARDS ||
        !jobs_forward(jobs, request, node, on_runner_reply)) {
        read_head(jobs, request);
    }
}

/* Forwards a request to the node that runs the job, as far as known: the
 * runner last seen, else the home.  Returns false when that is this node or
 * cannot be called. */
static bool
forward_to_runner(struct jobs *jobs, struct jobs_request *request)
{
    int node = find_runner(jobs, request->id);

    if (node == WORLD_NONE) {
        node = jobs_find_home(jobs, NULL, request->id, WORLD_NONE);
    }
    return node != WORLD_NONE && request->n_forwards < MAX_FORWARDS &&
           jobs_forward(jobs, request, node, on_runner_reply);
}

/* Replies to another node with the runner's name, so that it asks that node
 * next.  Returns false when no other node is known to run the job. */
static bool
name_runner(struct jobs *jobs, struct jobs_request *request)
{
    int node = find_runner(jobs, request->id);

    if (node == WORLD_NONE) {
        return false;
    }
    g_strlcpy(request->runner_node, jobs->view->nodes[node].name,
              sizeof(request->runner_node));
    base_error_set(&request->err, BASE_UNAVAILABLE,
                   "another node runs the job");
    jobs_reply(jobs, request, JOBS_REFUSED);
    return true;
}

static void
serve_from_records(struct jobs *jobs, struct jobs_request *request,
                   const struct jobs_head *head, int64_t revision)
{
    switch (request->op) {
    case JOBS_RESULTS:
        request->answer.total = (int)head->tokens->len;
        request->is_final = !jobs_head_is_open(head);
        if (head->listed->len <= (guint)request->after) {
            GPtrArray *none = g_ptr_array_new();
            reply_results(jobs, request, request->answer.total, none, 0);
            g_ptr_array_free(none, TRUE);
            return;
        }
        reply_stored_results(jobs, request, head);
        return;
    case JOBS_INPUT:
        read_stored_input(jobs, request, head);
        return;
    case JOBS_END:
        end_job(jobs, request, head, revision);
        return;
    case JOBS_SUBMIT:
    case JOBS_CHECK:
        return;
    }
}

static void
on_head(struct jobs *jobs, struct platform_kv *kv, void *context)
{
    struct jobs_request *request = context;
    const struct platform_entry *entry;
    struct jobs_head head;
    struct jobs_run *run;
    bool is_passed_on;

    if (kv->status != PLATFORM_OK && kv->status != PLATFORM_CONFLICT) {
        jobs_reply_kv_error(jobs, request, kv);
        return;
    }
    entry = jobs_kv_find_head(kv, request->id);
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
    if (!jobs_head_admits(&head, request->operator_name)) {
        jobs_head_finish(&head);
        jobs_reply(jobs, request, JOBS_NOT_FOUND);
        return;
    }
    g_strlcpy(request->job_operator, head.operator_name,
              sizeof(request->job_operator));
    run = g_hash_table_lookup(jobs->runs, request->id);
    if (run != NULL) {
        jobs_run_update_head(run, &head, entry->revision);
    }
    remember_runner(jobs, &head);
    is_passed_on = request->is_from_peer
                       ? name_runner(jobs, request)
                       : find_runner(jobs, request->id) != WORLD_NONE &&
                             forward_to_runner(jobs, request);
    if (!is_passed_on) {
        serve_from_records(jobs, request, &head, entry->revision);
    }
    jobs_head_finish(&head);
}

static void
read_head(struct jobs *jobs, struct jobs_request *request)
{
    jobs_read_head(jobs, request->id,
                   (struct jobs_kv_callback){on_head, request});
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
    char *head_key;
    char *done_key;
    struct platform_kv *kv;

    if (!jobs_head_is_open(head)) {
        jobs_reply(jobs, request, JOBS_OK);
        return;
    }
    head_key = jobs_head_key(request->id);
    done_key = jobs_done_key(request->id);
    kv = platform_kv_new(PLATFORM_TXN, request->id);
    jobs_head_copy(&ended, head);
    ended.is_ended = true;
    platform_kv_expect(kv, head_key, revision);
    platform_kv_expect(kv, done_key, PLATFORM_ABSENT);
    platform_kv_write(kv, done_key, jobs_head_encode(&ended), 0);
    platform_kv_write(kv, head_key, NULL, 0);
    jobs_head_finish(&ended);
    g_free(head_key);
    g_free(done_key);
    jobs_kv_send(jobs, kv, (struct jobs_kv_callback){on_end_written, request});
}

/* ---- calls ---- */

/* Serves a request for a job that this node does not run: forwards it to the
 * runner or the home, names the runner to another node, or else reads the
 * job's records. */
static void
serve_remote_job(struct jobs *jobs, struct jobs_request *request)
{
    bool is_passed_on = request->is_from_peer
                            ? name_runner(jobs, request)
                            : forward_to_runner(jobs, request);

    if (!is_passed_on) {
        read_head(jobs, request);
    }
}

/* Replies that there is no such job if this node knows that another operator
 * submitted it.  Returns whether it did. */
static bool
refuse_other_operator(struct jobs *jobs, struct jobs_request *request)
{
    const struct jobs_run *run = g_hash_table_lookup(jobs->runs, request->id);
    const struct jobs_archived *archived =
        jobs_archive_find(&jobs->archive, request->id);
    const char *owner = run != NULL        ? run->head.operator_name
                        : archived != NULL ? archived->operator_name
                                           : "";

    if (owner[0] == '\0' || strcmp(owner, request->operator_name) == 0) {
        return false;
    }
    jobs_reply(jobs, request, JOBS_NOT_FOUND);
    return true;
}

/* Replies with results.  If this node runs the job, the reply waits up to
 * wait_ms for the first new result. */
void
jobs_read_results(struct jobs *jobs, struct jobs_request *request)
{
    struct jobs_run *run = find_own_run(jobs, request->id);
    const struct jobs_archived *archived =
        jobs_archive_find(&jobs->archive, request->id);

    if (refuse_other_operator(jobs, request)) {
        return;
    }
    if (run == NULL && archived != NULL) {
        reply_results(jobs, request, archived->n_items, archived->results, 0);
        return;
    }
    if (run == NULL && !g_hash_table_contains(jobs->runs, request->id)) {
        serve_remote_job(jobs, request);
        return;
    }
    if (run != NULL &&
        (request->wait_ms == 0 || has_new_results(run, request))) {
        reply_own_results(jobs, request, run);
        return;
    }
    request->wait_until_ms =
        base_clock_ms() + (run != NULL
                               ? request->wait_ms
                               : MAX(request->wait_ms, CONFIRM_WAIT_MS));
    request->link.data = request;
    g_queue_push_tail_link(&jobs->waiting_reads, &request->link);
}

/* Refuses a read of a job that this node runs but may have lost.  Other nodes
 * know no more, so the reply names this node. */
static void
refuse_unconfirmed(struct jobs *jobs, struct jobs_request *request)
{
    g_strlcpy(request->runner_node, jobs->node, sizeof(request->runner_node));
    base_error_set(&request->err, BASE_UNAVAILABLE,
                   "the runner cannot confirm that it still runs the job");
    jobs_reply(jobs, request, JOBS_REFUSED);
}

static bool
must_wait(struct jobs *jobs, const struct jobs_request *request,
          const struct jobs_run *run, int64_t now_ms)
{
    return now_ms < request->wait_until_ms &&
           (run != NULL ? !has_new_results(run, request)
                        : g_hash_table_contains(jobs->runs, request->id));
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
        if (must_wait(jobs, request, run, now_ms)) {
            continue;
        }
        g_queue_unlink(&jobs->waiting_reads, at);
        if (run != NULL) {
            reply_own_results(jobs, request, run);
        }
        else if (g_hash_table_contains(jobs->runs, request->id)) {
            refuse_unconfirmed(jobs, request);
        }
        else {
            serve_remote_job(jobs, request);
        }
    }
}

/* Replies with the request body of an item, which never changes. */
void
jobs_read_input(struct jobs *jobs, struct jobs_request *request)
{
    struct jobs_run *run = g_hash_table_lookup(jobs->runs, request->id);

    if (refuse_other_operator(jobs, request)) {
        return;
    }
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
    const struct jobs_run *run = find_own_run(jobs, request->id);

    if (refuse_other_operator(jobs, request)) {
        return;
    }
    if (jobs_archive_find(&jobs->archive, request->id) != NULL) {
        jobs_reply(jobs, request, JOBS_OK);
        return;
    }
    if (run != NULL) {
        end_job(jobs, request, &run->head, run->revision);
        return;
    }
    serve_remote_job(jobs, request);
}
