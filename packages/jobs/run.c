#include "jobs/jobs_private.h"

#include <string.h>

enum {
    /* Between commits of a job, so that one write can contain several
     * results.  Clients read about twice a second. */
    COMMIT_MS = 1000,
    /* A job that is complete, or that is due within this time, is committed
     * at once. */
    DUE_SOON_MS = 2000,
    REJECTED_RETRY_MS = 5000, /* after one that the store refuses for good */
    /* Pieces of the results of a commit.  They fit into a transaction of 32
     * entries with JOBS_MAX_CHECKPOINT_PIECES and four for the heads. */
    MAX_RESULT_PIECES = 20,
    /* Time in which a route that was removed by mistake may come back before
     * the open items of its jobs are given up. */
    ROUTE_REMOVED_MS = 5000,
    MIN_PIECE_BYTES = 4096, /* smaller pieces are not tried */
    /* Complete runs are kept for readers this long; then their results are
     * read from the key-value service. */
    COMPLETE_RUN_MS = 600000,
};

/* ---- start and end ---- */

static void
init_work(struct jobs_run *run, int index)
{
    struct jobs_work *work = &run->works[index];

    work->run = run;
    work->index = index;
    work->server = WORLD_NONE;
    jobs_output_init(work);
}

/* Marks items whose results are committed, so that they do not run again. */
static void
mark_listed(struct jobs_run *run)
{
    run->n_open = (int)run->job->items->len;
    for (guint i = 0; i < run->head.listed->len; i++) {
        int item = g_array_index(run->head.listed, struct jobs_listed, i).item;
        if (run->works[item].state != JOBS_WORK_LISTED) {
            run->works[item].state = JOBS_WORK_LISTED;
            run->n_open--;
        }
    }
}

static void
update_limits(struct jobs_run *run)
{
    const struct world_ingress *route = jobs_route_of(run->jobs, &run->head);

    if (route == NULL) {
        return; /* keeps the old limits; without a route no item is sent */
    }
    run->max_attempts = route->max_attempts;
    run->due_at_ms = run->head.submitted_ms + route->completion_ms;
    run->give_up_at_ms = route->retention_ms > 0
                             ? run->head.submitted_ms + route->retention_ms
                             : INT64_MAX;
}

/* Starts to run a job whose head names this runner.  Takes ownership of the
 * job and of `results`, those of earlier runners; copies the head.  With NULL
 * the listed results are not held here but read from the store. */
struct jobs_run *
jobs_run_start(struct jobs *jobs, struct jobs_job *job, struct jobs_head *head,
               int64_t revision, int lease_epoch, GPtrArray *results)
{
    struct jobs_run *run = g_new0(struct jobs_run, 1);

    run->jobs = jobs;
    run->job = job;
    jobs_head_copy(&run->head, head);
    run->revision = revision;
    run->results = results != NULL
                       ? results
                       : g_ptr_array_new_with_free_func(jobs_result_free);
    run->first_held = (int)(head->listed->len - run->results->len);
    run->works = g_new0(struct jobs_work, job->items->len);
    run->committing = g_array_new(FALSE, TRUE, sizeof(int));
    run->piece_bytes = jobs_piece_bytes(jobs->limits);
    run->max_attempts = 1;
    run->give_up_at_ms = INT64_MAX;
    run->is_unconfirmed = !jobs_is_certain(jobs, lease_epoch);
    jobs_checkpoint_init(run);
    run->last_commit_ms = base_clock_ms();
    for (guint i = 0; i < job->items->len; i++) {
        init_work(run, (int)i);
    }
    mark_listed(run);
    jobs_held_update(run);
    update_limits(run);
    g_hash_table_replace(jobs->runs, run->head.id, run);
    base_log(BASE_LOG_INFO, "jobs.running",
             "id=%s epoch=%" G_GINT64_FORMAT
             " open=%d first_held=%d due_ms=%" G_GINT64_FORMAT
             " revision=%" G_GINT64_FORMAT,
             run->head.id, run->head.epoch, run->n_open, run->first_held,
             run->due_at_ms - base_wall_ms(), revision);
    return run;
}

/* Makes later pieces smaller, after the store has refused some for good: it
 * may take less than its limits say.  Returns false if they are small already.
 */
bool
jobs_run_shrink_pieces(struct jobs_run *run)
{
    if (run->piece_bytes / 2 < MIN_PIECE_BYTES) {
        return false;
    }
    run->piece_bytes /= 2;
    return true;
}

/* Frees a run; no call may refer to it any more. */
void
jobs_run_free(struct jobs_run *run)
{
    for (guint i = 0; i < run->job->items->len; i++) {
        jobs_output_finish(&run->works[i]);
    }
    base_budget_give(&run->jobs->held, run->held_bytes);
    g_free(run->works);
    jobs_job_free(run->job);
    jobs_head_finish(&run->head);
    jobs_head_finish(&run->next_head);
    g_ptr_array_free(run->results, TRUE);
    g_array_free(run->committing, TRUE);
    if (run->commit_pieces != NULL) {
        g_ptr_array_free(run->commit_pieces, TRUE);
    }
    g_free(run);
}

static void
stop_items(struct jobs_run *run)
{
    for (guint i = 0; i < run->job->items->len; i++) {
        struct jobs_work *work = &run->works[i];
        if (work->state == JOBS_WORK_RUNNING) {
            jobs_work_cancel(work);
        }
    }
}

/* Returns the number of committed results. */
int
jobs_run_n_results(const struct jobs_run *run)
{
    return run->first_held + (int)run->results->len;
}

/* Returns whether all items of the job have committed results. */
bool
jobs_run_is_complete(const struct jobs_run *run)
{
    return jobs_run_n_results(run) == (int)run->job->items->len;
}

/* Stops a run: cancels its running items and removes it from jobs->runs. */
void
jobs_run_stop(struct jobs_run *run, const char *why)
{
    struct jobs *jobs = run->jobs;

    if (run->has_stopped) {
        return;
    }
    base_log(BASE_LOG_INFO, "jobs.run_stopped",
             "id=%s epoch=%" G_GINT64_FORMAT " open=%d reason=\"%s\"",
             run->head.id, run->head.epoch, run->n_open, why);
    run->has_stopped = true;
    stop_items(run);
    g_hash_table_remove(jobs->runs, run->head.id);
    g_ptr_array_add(jobs->stopped_runs, run);
}

/* ---- results ---- */

/* Records the final result of an item, which the next commit lists. */
void
jobs_run_item_done(struct jobs_run *run, struct jobs_work *work,
                   bool is_completed)
{
    const struct jobs_item *item = run->job->items->pdata[work->index];

    work->state = JOBS_WORK_DONE;
    work->is_completed = is_completed;
    run->n_open--;
    base_counter_add(
        is_completed ? run->jobs->n_completed : run->jobs->n_given_up, 1);
    base_log(BASE_LOG_INFO, "jobs.item_done",
             "job=%s item=%s completed=%d events=%" G_GINT64_FORMAT
             " failures=%d server=%s",
             run->head.id, item->id, is_completed, work->events.count,
             work->n_failures, work->server_name);
}

static GPtrArray *
make_committed_results(const struct jobs_run *run)
{
    GPtrArray *results = g_ptr_array_new_with_free_func(jobs_result_free);

    for (guint i = 0; i < run->committing->len; i++) {
        const struct jobs_work *work =
            &run->works[g_array_index(run->committing, int, i)];
        const struct jobs_item *item = run->job->items->pdata[work->index];
        g_ptr_array_add(results, jobs_result_new(item->id, work->is_completed,
                                                 work->events.text->str,
                                                 work->events.text->len));
    }
    return results;
}

/* Applies a commit that took effect: its results are in the list now. */
static void
apply_commit(struct jobs_run *run, int64_t revision)
{
    GPtrArray *results = make_committed_results(run);

    for (guint i = 0; i < run->committing->len; i++) {
        struct jobs_work *work =
            &run->works[g_array_index(run->committing, int, i)];
        work->state = JOBS_WORK_LISTED;
        jobs_output_drop(work);
    }
    g_ptr_array_extend_and_steal(run->results, results);
    jobs_held_update(run);
    jobs_head_finish(&run->head);
    run->head = run->next_head;
    memset(&run->next_head, 0, sizeof(run->next_head));
    run->revision = revision;
    run->is_committing = false;
    run->last_commit_ms = base_clock_ms();
    g_array_set_size(run->committing, 0);
    if (run->is_releasing) {
        jobs_release_to_home(run->jobs, &run->head, run->revision);
        jobs_run_stop(run, "released for another node to claim");
    }
    jobs_held_shrink(run->jobs);
}

/* ---- changes of the head by other writers ---- */

static bool
is_own_epoch(const struct jobs_run *run, const struct jobs_head *head)
{
    return head->epoch == run->head.epoch &&
           (strcmp(head->runner, run->jobs->runner) == 0 ||
            (run->is_releasing && head->runner[0] == '\0'));
}

/* Handles a stored head that is newer than the known one: another runner has
 * claimed the job, the client has ended it, or a commit took effect although
 * its reply was lost. */
void
jobs_run_update_head(struct jobs_run *run, const struct jobs_head *head,
                     int64_t revision)
{
    if (run->has_stopped || revision <= run->revision ||
        jobs_run_is_complete(run)) {
        return;
    }
    if (!is_own_epoch(run, head)) {
        base_counter_add(run->jobs->n_lost, 1);
        jobs_run_stop(run, "claimed by another node or process");
        return;
    }
    if (run->is_committing &&
        head->n_result_pieces == run->next_head.n_result_pieces &&
        head->listed->len == run->next_head.listed->len) {
        run->next_head.is_ended = head->is_ended;
        apply_commit(run, revision);
    }
    else {
        run->revision = revision;
        run->head.is_ended = head->is_ended;
        run->next_head.is_ended = head->is_ended;
    }
    if (!run->has_stopped && head->is_ended) {
        jobs_run_stop(run, "ended by the client");
    }
}

/* ---- commits ---- */

static void send_commit(struct jobs_run *run);

static void
on_conflict(struct jobs_run *run, const struct platform_kv *kv)
{
    const struct platform_entry *entry = jobs_kv_find_head(kv, run->head.id);
    struct jobs_check check = {.revision = INT64_MAX};
    struct base_error err = {0};
    struct jobs_head head;

    if (entry == NULL) {
        /* It was moved to the ended jobs. */
        g_strlcpy(check.id, run->head.id, sizeof(check.id));
        jobs_check_head(run->jobs, &check);
        return;
    }
    if (!jobs_head_decode(run->head.id, entry->value, &head, &err)) {
        base_log_error("jobs.head_unreadable", &err, "id=%s", run->head.id);
        jobs_run_stop(run, "its head record is not valid");
        return;
    }
    jobs_run_update_head(run, &head, entry->revision);
    jobs_head_finish(&head);
    run->next_commit_ms = base_clock_ms();
}

/* The store refuses a commit for good.  Unless it may have taken effect, the
 * next one is smaller; results of other items go first then. */
static void
on_commit_rejected(struct jobs_run *run, const struct platform_kv *kv)
{
    bool is_certain = !run->is_commit_uncertain && kv->verdict == BASE_NOT_RUN;
    bool may_shrink =
        is_certain && 2 * run->commit_pieces->len <= MAX_RESULT_PIECES;
    bool is_smaller = may_shrink && jobs_run_shrink_pieces(run);

    base_counter_add(run->jobs->n_commits_rejected, 1);
    base_log(BASE_LOG_ERROR, "jobs.commit_rejected",
             "id=%s items=%u pieces=%u piece_bytes=%" G_GINT64_FORMAT
             " ran=%s error=\"%s\"",
             run->head.id, run->committing->len, run->commit_pieces->len,
             run->piece_bytes, base_verdict_name(kv->verdict), kv->err.text);
    run->next_commit_ms = base_clock_ms() + (is_smaller ? JOBS_WRITE_RETRY_MS
                                                        : REJECTED_RETRY_MS);
    if (is_certain) {
        run->is_committing = false;
        run->is_releasing = false;
    }
}

static void
on_committed(struct jobs *jobs, struct platform_kv *kv, void *context)
{
    struct jobs_run *run = context;

    run->n_references--;
    run->n_writes--;
    if (run->has_stopped) {
        return;
    }
    switch (kv->status) {
    case PLATFORM_OK:
        if (run->is_committing) {
            apply_commit(run, kv->revision);
        }
        return;
    case PLATFORM_CONFLICT:
        on_conflict(run, kv);
        return;
    case PLATFORM_REJECTED:
        on_commit_rejected(run, kv);
        return;
    case PLATFORM_LEASE_EXPIRED:
    case PLATFORM_UNAVAILABLE:
        /* The same commit is sent again, since it may have taken effect or
         * take effect late. */
        run->is_commit_uncertain |= kv->verdict != BASE_NOT_RUN;
        run->next_commit_ms = base_clock_ms() + JOBS_WRITE_RETRY_MS;
        return;
    }
}

/* Adds the writes of the results that a commit lists to its transaction. */
static void
add_results(const struct jobs_run *run, struct platform_kv *kv)
{
    int first = run->head.n_result_pieces;

    for (guint i = 0; i < run->commit_pieces->len; i++) {
        char *key =
            jobs_piece_key(JOBS_RESULTS_PREFIX, run->head.id, first + (int)i);
        platform_kv_write(kv, key, g_bytes_ref(run->commit_pieces->pdata[i]),
                          0);
        g_free(key);
    }
}

static void
send_commit(struct jobs_run *run)
{
    struct platform_kv *kv = platform_kv_new(PLATFORM_TXN, run->head.id);
    char *head_key = jobs_head_key(run->head.id);
    char *done_key = jobs_done_key(run->head.id);

    platform_kv_expect(kv, head_key, run->revision);
    if (jobs_head_is_open(&run->next_head)) {
        platform_kv_write(kv, head_key, jobs_head_encode(&run->next_head), 0);
    }
    else {
        platform_kv_expect(kv, done_key, PLATFORM_ABSENT);
        platform_kv_write(kv, done_key, jobs_head_encode(&run->next_head), 0);
        platform_kv_write(kv, head_key, NULL, 0);
    }
    add_results(run, kv);
    if (run->is_releasing || !jobs_head_is_open(&run->next_head)) {
        jobs_checkpoint_add(run, kv, run->is_releasing);
    }
    g_free(head_key);
    g_free(done_key);
    run->next_commit_ms = base_clock_ms() + JOBS_WRITE_RETRY_MS;
    run->n_references++;
    run->n_writes++;
    jobs_kv_send(run->jobs, kv, (struct jobs_kv_callback){on_committed, run});
}

/* Returns the size of an item's encoded result. */
static int64_t
result_bytes(const struct jobs_run *run, int item)
{
    const struct jobs_item *at = run->job->items->pdata[item];
    const struct jobs_work *work = &run->works[item];

    return jobs_result_bytes(at->id,
                             work->is_completed ? work->events.text->len : 0);
}

/* Adds an item to the pending commit. */
static void
add_to_commit(struct jobs_run *run, int item)
{
    struct jobs_listed listed = {item, run->works[item].is_completed};

    g_array_append_val(run->committing, item);
    g_array_append_val(run->next_head.listed, listed);
}

/* Chooses the results of the next commit, as many as fit into one piece.  A
 * larger one is committed alone, in several pieces, and after all others. */
static void
choose_results(struct jobs_run *run)
{
    int64_t room = run->piece_bytes;
    int largest = -1;

    run->has_more_results = false;
    for (int i = 0; i < (int)run->job->items->len; i++) {
        int64_t size;
        if (run->works[i].state != JOBS_WORK_DONE) {
            continue;
        }
        size = result_bytes(run, i);
        if (size <= room) {
            add_to_commit(run, i);
            room -= size;
            continue;
        }
        run->has_more_results = true;
        largest = size > run->piece_bytes ? i : largest;
    }
    if (run->committing->len == 0 && largest >= 0) {
        add_to_commit(run, largest);
    }
}

/* Starts a commit.  may_release: it releases the job if no finished items are
 * left for another commit. */
static void
begin_commit(struct jobs_run *run, bool may_release)
{
    GPtrArray *results;

    jobs_head_finish(&run->next_head);
    jobs_head_copy(&run->next_head, &run->head);
    g_array_set_size(run->committing, 0);
    choose_results(run);
    results = make_committed_results(run);
    if (run->commit_pieces != NULL) {
        g_ptr_array_free(run->commit_pieces, TRUE);
    }
    run->commit_pieces = jobs_results_split(results, run->piece_bytes);
    g_ptr_array_free(results, TRUE);
    jobs_head_add_pieces(&run->next_head, (int)run->commit_pieces->len,
                         (int)run->head.listed->len);
    run->is_releasing = may_release && !run->has_more_results;
    if (run->is_releasing) {
        run->next_head.runner[0] = '\0';
    }
    run->is_commit_uncertain = false;
    run->is_committing = true;
    send_commit(run);
}

static bool
has_uncommitted_results(const struct jobs_run *run)
{
    for (guint i = 0; i < run->job->items->len; i++) {
        if (run->works[i].state == JOBS_WORK_DONE) {
            return true;
        }
    }
    return false;
}

/* Returns whether the results of finished items are to be committed now. */
static bool
is_commit_due(const struct jobs_run *run, int64_t now_ms)
{
    bool is_urgent = run->n_open == 0 || run->has_more_results ||
                     run->due_at_ms - base_wall_ms() < DUE_SOON_MS ||
                     now_ms >= run->last_commit_ms + COMMIT_MS;

    return is_urgent && has_uncommitted_results(run);
}

/* Returns whether the job's route has been removed for some time.  A node
 * can't tell if its configuration may be older than the route, or than one
 * that has the route again. */
static bool
has_lost_route(struct jobs_run *run, int64_t now_ms)
{
    const struct jobs *jobs = run->jobs;

    if (jobs->world == NULL || run->head.config_revision == 0 ||
        jobs->world->revision <= run->head.config_revision ||
        !jobs_holds_lease(jobs) || !control_has_newest_config(jobs->control) ||
        jobs_route_of(jobs, &run->head) != NULL) {
        run->route_removed_ms = 0;
        return false;
    }
    if (run->route_removed_ms == 0) {
        run->route_removed_ms = now_ms;
        base_log(BASE_LOG_WARNING, "jobs.route_removed",
                 "id=%s route=%s open=%d revision=%" G_GINT64_FORMAT,
                 run->head.id, run->head.route, run->n_open,
                 jobs->world->revision);
    }
    return now_ms >= run->route_removed_ms + ROUTE_REMOVED_MS;
}

/* Gives up waiting items once the retention time of the job is over or its
 * route has been removed. */
static void
give_up_expired(struct jobs_run *run, int64_t now_ms)
{
    if (!has_lost_route(run, now_ms) && base_wall_ms() < run->give_up_at_ms) {
        return;
    }
    for (guint i = 0; i < run->job->items->len; i++) {
        if (run->works[i].state == JOBS_WORK_WAITING) {
            jobs_run_item_done(run, &run->works[i], false);
        }
    }
}

/* Writes a commit or a checkpoint when one is due.  When the node is draining,
 * releases a job with open items. */
void
jobs_run_tick(struct jobs_run *run, int64_t now_ms)
{
    bool is_draining = g_atomic_int_get(&run->jobs->is_draining) != 0;
    bool is_released;

    if (run->has_stopped) {
        return;
    }
    if (jobs_run_is_complete(run)) {
        if (now_ms >= run->last_commit_ms + COMPLETE_RUN_MS) {
            jobs_run_stop(run, "complete, kept long enough for readers");
        }
        return;
    }
    update_limits(run);
    give_up_expired(run, now_ms);
    if (is_draining && run->n_open > 0 && !run->is_committing) {
        stop_items(run);
    }
    if (now_ms < run->next_commit_ms || run->n_writes > 0) {
        return;
    }
    is_released = is_draining && run->n_open > 0 && run->n_active == 0;
    if (run->is_committing) {
        send_commit(run);
    }
    else if (is_commit_due(run, now_ms) || is_released) {
        begin_commit(run, is_released);
    }
    else {
        jobs_checkpoint_tick(run, now_ms);
    }
}
