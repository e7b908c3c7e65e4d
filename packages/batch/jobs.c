#include "batch/batch_private.h"

#include <stdlib.h>
#include <string.h>

#include "base/http_text.h"

enum { MAX_LISTED_JOBS = 100 };

/* ---- job lookup ---- */

struct job_lookup {
    struct batch_find_callback callback;
    char *operator_name;
    char *job_id;
    struct batch_job_view view;
    bool is_ended; /* no open job was found; searching the ended jobs */
};

static void
free_shard(void *argument)
{
    struct batch_shard *shard = argument;

    if (shard != NULL) {
        batch_shard_finish(shard);
        g_free(shard);
    }
}

/* Calls the callback and frees the lookup. */
static void
end_lookup(struct batch *batch, struct job_lookup *lookup, bool is_found,
           const struct platform_kv *failed)
{
    lookup->callback.on_found(batch, is_found ? &lookup->view : NULL, failed,
                              lookup->callback.context);
    if (lookup->view.shards != NULL) {
        g_ptr_array_unref(lookup->view.shards);
    }
    batch_job_finish(&lookup->view.job);
    g_free(lookup->operator_name);
    g_free(lookup->job_id);
    g_free(lookup);
}

/* Adds a shard's record to the view; ignores records that can't be parsed. */
static void
add_shard(struct batch_job_view *view, const struct platform_entry *entry)
{
    const char *slash = strrchr(entry->key, '/');
    guint number = (guint)strtoul(slash == NULL ? "" : slash + 1, NULL, 10);
    struct batch_shard *shard;

    if (number >= view->shards->len || number >= BATCH_MAX_SHARDS) {
        return;
    }
    shard = g_new0(struct batch_shard, 1);
    if (!batch_shard_parse(entry->value, shard)) {
        g_free(shard);
        return;
    }
    free_shard(view->shards->pdata[number]);
    view->shards->pdata[number] = shard;
    view->revisions[number] = entry->revision;
    view->n_claimed++;
    view->n_closed += shard->is_closed;
    view->counts.completed += shard->counts.completed;
    view->counts.failed += shard->counts.failed;
    view->counts.cancelled += shard->counts.cancelled;
}

static void
on_shards_list_done(struct batch *batch, struct platform_kv *kv, void *context)
{
    struct job_lookup *lookup = context;
    struct batch_job_view *view = &lookup->view;

    if (kv->status != PLATFORM_OK) {
        end_lookup(batch, lookup, false, kv);
        return;
    }
    view->shards = g_ptr_array_new_with_free_func(free_shard);
    g_ptr_array_set_size(view->shards, view->job.n_shards);
    for (guint i = 0; i < kv->entries->len; i++) {
        add_shard(view, kv->entries->pdata[i]);
    }
    if (lookup->is_ended) {
        view->counts = view->job.counts;
    }
    end_lookup(batch, lookup, true, NULL);
}

static void on_record_read_done(struct batch *batch, struct platform_kv *kv,
                                void *context);

static void
read_job_record(struct batch *batch, struct job_lookup *lookup,
                const char *prefix)
{
    batch_kv_get(batch,
                 batch_key(prefix, lookup->operator_name, lookup->job_id),
                 (struct batch_kv_callback){on_record_read_done, lookup});
}

static void
on_record_read_done(struct batch *batch, struct platform_kv *kv, void *context)
{
    struct job_lookup *lookup = context;
    struct platform_entry *entry;
    char *prefix;

    if (kv->status != PLATFORM_OK) {
        end_lookup(batch, lookup, false, kv);
        return;
    }
    entry = kv->entries->len == 0 ? NULL : kv->entries->pdata[0];
    if (entry == NULL && !lookup->is_ended) {
        /* When a job ends, its ended record is written before the open one is
         * deleted, so this order of reads can't miss it. */
        lookup->is_ended = true;
        read_job_record(batch, lookup, BATCH_ENDED);
        return;
    }
    if (entry == NULL || !batch_job_parse(entry->value, &lookup->view.job)) {
        end_lookup(batch, lookup, false, NULL);
        return;
    }
    lookup->view.revision = entry->revision;
    prefix = g_strconcat(BATCH_SHARDS, lookup->job_id, "/", NULL);
    batch_kv_list(batch, prefix, NULL, 0,
                  (struct batch_kv_callback){on_shards_list_done, lookup});
}

/* Reads a job, open or ended, and its shards.  struct batch_find_callback
 * describes what the callback receives. */
void
batch_job_find(struct batch *batch, const char *operator_name,
               const char *job_id, struct batch_find_callback callback)
{
    struct job_lookup *lookup = g_new0(struct job_lookup, 1);

    lookup->callback = callback;
    lookup->operator_name = g_strdup(operator_name);
    lookup->job_id = g_strdup(job_id);
    read_job_record(batch, lookup, BATCH_JOBS);
}

/* ---- published batch object ---- */

static const char *
job_status(const struct batch_job_view *view)
{
    static const char *const ENDED[] = {"completed", "cancelled", "expired",
                                        "failed"};

    if (view->job.ended_s != 0) {
        return ENDED[view->job.stop];
    }
    if (view->job.stop == BATCH_CANCELLED) {
        return "cancelling";
    }
    if (view->n_claimed == 0) {
        return "validating";
    }
    return view->n_closed == view->job.n_shards ? "finalizing" : "in_progress";
}

static void
set_time(json_t *object, const char *name, int64_t time_s, bool is_known)
{
    json_object_set_new(object, name,
                        is_known ? json_integer(time_s) : json_null());
}

static void
set_times(json_t *object, const struct batch_job *job)
{
    bool is_ended = job->ended_s != 0;

    set_time(object, "created_at", job->created_s, true);
    set_time(object, "expires_at", job->deadline_s, true);
    set_time(object, "completed_at", job->ended_s,
             is_ended && job->stop == BATCH_NOT_STOPPED);
    set_time(object, "failed_at", job->ended_s,
             is_ended && job->stop == BATCH_FAILED);
    set_time(object, "expired_at", job->ended_s,
             is_ended && job->stop == BATCH_EXPIRED);
    set_time(object, "cancelling_at", job->stop_s,
             job->stop == BATCH_CANCELLED);
    set_time(object, "cancelled_at", job->ended_s,
             is_ended && job->stop == BATCH_CANCELLED);
}

static bool
is_at_risk(const struct batch_job_view *view)
{
    struct batch_progress progress = {
        .created_s = view->job.created_s,
        .deadline_s = view->job.deadline_s,
        .now_s = batch_now_s(),
        .n_items = view->job.n_items,
        .n_ended = view->counts.completed + view->counts.failed +
                   view->counts.cancelled,
    };
    return view->job.ended_s == 0 && view->job.stop == BATCH_NOT_STOPPED &&
           batch_is_at_risk(&progress);
}

/* Returns the published OpenAI batch object with the additional field at_risk.
 * The caller owns the reference. */
json_t *
batch_job_to_json(const struct batch_job_view *view)
{
    const struct batch_job *job = &view->job;
    const char *digits = strchr(job->id, '_') + 1;
    char *window = g_strdup_printf("%llds", (long long)job->window_s);
    json_t *metadata =
        job->metadata == NULL ? NULL : json_loads(job->metadata, 0, NULL);
    json_t *object = json_pack(
        "{s:s, s:s, s:s, s:s, s:s, s:s, s:s++, s:s++, s:{s:i, s:i, s:i, s:i}}",
        "id", job->id, "object", "batch", "endpoint", job->endpoint,
        "input_file_id", job->file_id, "completion_window", window, "status",
        job_status(view), "output_file_id", "file-", digits, "-output",
        "error_file_id", "file-", digits, "-errors", "request_counts", "total",
        job->n_items, "completed", view->counts.completed, "failed",
        view->counts.failed, "cancelled", view->counts.cancelled);

    json_object_set_new(object, "metadata",
                        metadata == NULL ? json_null() : metadata);
    json_object_set_new(object, "at_risk", json_boolean(is_at_risk(view)));
    json_object_set_new(
        object, "errors",
        job->stop_text == NULL ? json_null() : base_json_text(job->stop_text));
    set_times(object, job);
    g_free(window);
    return object;
}

static void
reply_job(struct batch *batch, const struct batch_job_view *view,
          const struct platform_kv *failed, void *context)
{
    struct batch_request *request = context;

    if (failed != NULL) {
        batch_reply_kv_error(request, failed);
    }
    else if (view == NULL) {
        batch_reply_error(request, 404, BASE_NOT_RUN, "batch_not_found",
                          "no such batch");
    }
    else {
        batch_reply_json(request, 200, batch_job_to_json(view));
    }
}

/* Serves BATCH_JOB_GET. */
void
batch_job_get(struct batch *batch, struct batch_request *request)
{
    batch_job_find(batch, request->operator_name, request->id,
                   (struct batch_find_callback){reply_job, request});
}

/* ---- list of jobs ---- */

struct job_listing {
    struct batch_request *request;
    GPtrArray *jobs;       /* of struct batch_job */
    bool is_reading_ended; /* the open jobs have been read */
};

static void
free_job(void *argument)
{
    batch_job_finish(argument);
    g_free(argument);
}

static int
compare_newest_first(const void *left, const void *right)
{
    const struct batch_job *a = *(const struct batch_job *const *)left;
    const struct batch_job *b = *(const struct batch_job *const *)right;

    if (a->created_s != b->created_s) {
        return a->created_s > b->created_s ? -1 : 1;
    }
    return strcmp(a->id, b->id);
}

static void
reply_listing(struct job_listing *listing)
{
    struct batch_request *request = listing->request;
    int64_t limit = request->length > 0 ? MIN(request->length, MAX_LISTED_JOBS)
                                        : MAX_LISTED_JOBS;
    json_t *data = json_array();
    bool is_after = request->id[0] == '\0';
    bool has_more = false;

    g_ptr_array_sort(listing->jobs, compare_newest_first);
    for (guint i = 0; i < listing->jobs->len; i++) {
        const struct batch_job *job = listing->jobs->pdata[i];
        struct batch_job_view view = {.job = *job, .counts = job->counts};
        if (is_after && (int64_t)json_array_size(data) == limit) {
            has_more = true;
            break;
        }
        if (is_after) {
            json_array_append_new(data, batch_job_to_json(&view));
        }
        is_after |= strcmp(job->id, request->id) == 0;
    }
    batch_reply_json(request, 200,
                     json_pack("{s:s, s:o, s:b}", "object", "list", "data",
                               data, "has_more", has_more));
}

static void
on_jobs_list_done(struct batch *batch, struct platform_kv *kv, void *context)
{
    struct job_listing *listing = context;

    if (kv->status != PLATFORM_OK) {
        batch_reply_kv_error(listing->request, kv);
        g_ptr_array_unref(listing->jobs);
        g_free(listing);
        return;
    }
    for (guint i = 0; i < kv->entries->len; i++) {
        struct platform_entry *entry = kv->entries->pdata[i];
        struct batch_job *job = g_new0(struct batch_job, 1);
        if (batch_job_parse(entry->value, job)) {
            g_ptr_array_add(listing->jobs, job);
        }
        else {
            g_free(job);
        }
    }
    if (!listing->is_reading_ended) {
        listing->is_reading_ended = true;
        batch_kv_list(
            batch, batch_key(BATCH_ENDED, listing->request->operator_name, ""),
            NULL, 0, (struct batch_kv_callback){on_jobs_list_done, listing});
        return;
    }
    reply_listing(listing);
    g_ptr_array_unref(listing->jobs);
    g_free(listing);
}

/* Serves BATCH_JOB_LIST, newest jobs first.  The counts of open jobs are 0;
 * only BATCH_JOB_GET reads the shards that hold them. */
void
batch_job_list(struct batch *batch, struct batch_request *request)
{
    struct job_listing *listing = g_new0(struct job_listing, 1);

    listing->request = request;
    listing->jobs = g_ptr_array_new_with_free_func(free_job);
    batch_kv_list(batch, batch_key(BATCH_JOBS, request->operator_name, ""),
                  NULL, 0,
                  (struct batch_kv_callback){on_jobs_list_done, listing});
}

/* ---- cancellation ---- */

static void
on_cancel_write_done(struct batch *batch, struct platform_kv *kv,
                     void *context)
{
    struct batch_request *request = context;

    if (kv->status == PLATFORM_OK) {
        base_log(BASE_LOG_INFO, "batch.job_cancelled", "job=%s operator=%s",
                 request->id, request->operator_name);
        batch_job_get(batch, request);
    }
    else if (kv->status == PLATFORM_CONFLICT) {
        /* The record was changed meanwhile: read it again. */
        batch_job_cancel(batch, request);
    }
    else {
        batch_reply_kv_error(request, kv);
    }
}

static void
mark_job_cancelled(struct batch *batch, struct platform_kv *kv, void *context)
{
    struct batch_request *request = context;
    struct batch_job job = {0};
    struct platform_entry *entry;

    if (kv->status != PLATFORM_OK) {
        batch_reply_kv_error(request, kv);
        return;
    }
    entry = kv->entries->len == 0 ? NULL : kv->entries->pdata[0];
    if (entry == NULL || !batch_job_parse(entry->value, &job) ||
        job.stop != BATCH_NOT_STOPPED) {
        /* The job has ended, is stopping already or doesn't exist: reply as
         * BATCH_JOB_GET does. */
        batch_job_get(batch, request);
        batch_job_finish(&job);
        return;
    }
    job.stop = BATCH_CANCELLED;
    job.stop_s = batch_now_s();
    batch_kv_put(batch, g_strdup(entry->key), batch_job_format(&job),
                 entry->revision,
                 (struct batch_kv_callback){on_cancel_write_done, request});
    batch_job_finish(&job);
}

/* Serves BATCH_JOB_CANCEL: marks the open job's record as cancelled.  Runners
 * watch these records and stop the job's items. */
void
batch_job_cancel(struct batch *batch, struct batch_request *request)
{
    batch_kv_get(batch,
                 batch_key(BATCH_JOBS, request->operator_name, request->id),
                 (struct batch_kv_callback){mark_job_cancelled, request});
}
