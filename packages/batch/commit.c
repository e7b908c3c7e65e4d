#include "batch/batch_private.h"

/* A commit stores the result lines that were added since the last commit, and
 * then writes the shard's record, which contains the set of done items and the
 * pieces with their results.  Each commit stores the last piece of a stream
 * again with more lines until it is full, so that a shard has few pieces even
 * if its results arrive slowly. */
enum {
    PUT_RETRY_MS = 500,
    WRITE_RETRY_MS = 300,
    MAX_WRITE_RETRY_MS = 3000,
    DEFAULT_COMMIT_MS = 1000,
    DEFAULT_CHUNK_BYTES = 1 << 20,
};

/* Initialises a stream with a copy of the pieces in the shard's record. */
void
batch_stream_init(struct batch_stream *stream, const GArray *sealed)
{
    stream->sealed = g_array_copy((GArray *)sealed);
    stream->tail = g_string_new(NULL);
}

void
batch_stream_finish(struct batch_stream *stream)
{
    g_array_unref(stream->sealed);
    g_string_free(stream->tail, TRUE);
}

static int64_t
chunk_bytes(const struct batch *batch)
{
    int64_t bytes = batch->world == NULL ? 0 : batch->world->batch.chunk_bytes;
    return bytes > 0 ? bytes : DEFAULT_CHUNK_BYTES;
}

struct stream_put {
    struct batch_run *run;
    struct batch_stream *stream;
};

static void
seal_piece(struct batch_stream *stream)
{
    g_array_append_val(stream->sealed, stream->stored);
    g_string_erase(stream->tail, 0, (gssize)stream->stored_size);
    stream->tail_items -= stream->stored_items;
    stream->sealed_bytes += (int64_t)stream->stored_size;
    stream->stored_size = 0;
    stream->stored_items = 0;
}

static void write_if_stored(struct batch_run *run);

static void
on_tail_put_done(struct batch *batch, struct bulk_put *put, void *context)
{
    struct stream_put *stored = context;
    struct batch_run *run = stored->run;
    struct batch_stream *stream = stored->stream;

    stream->is_putting = false;
    if (put->is_ok) {
        stream->stored.chunk = put->chunk;
        stream->stored.items = stream->put_items;
        stream->stored_size = stream->put_size;
        stream->stored_items = stream->put_items;
        if ((int64_t)stream->stored_size >= chunk_bytes(batch)) {
            seal_piece(stream);
        }
    }
    else {
        stream->next_put_ms = base_clock_ms() + PUT_RETRY_MS;
        base_log_error("batch.results_unstored", &put->err, "job=%s shard=%d",
                       run->job.id, run->number);
    }
    g_free(stored);
    write_if_stored(run);
    batch_run_unref(run);
}

/* Stores the first `size` bytes of the tail, which are complete lines, as a
 * piece. */
static void
put_tail(struct batch_run *run, struct batch_stream *stream, size_t size,
         int n_items)
{
    struct stream_put *put = g_new0(struct stream_put, 1);

    put->run = run;
    put->stream = stream;
    batch_run_ref(run);
    stream->is_putting = true;
    stream->put_size = size;
    stream->put_items = n_items;
    batch_put(run->batch, g_bytes_new(stream->tail->str, size),
              run->job.region, true,
              (struct batch_put_callback){on_tail_put_done, put});
}

/* Returns whether all lines of the current commit are stored. */
static bool
is_commit_stored(const struct batch_stream *stream)
{
    return stream->sealed_bytes + (int64_t)stream->stored_size >=
           stream->commit_bytes;
}

/* Stores the lines of the current commit.  Later lines are not stored with
 * them, since a record must not refer to results of items that it does not
 * record as done. */
static void
store_for_commit(struct batch_run *run, struct batch_stream *stream,
                 int64_t now_ms)
{
    if (is_commit_stored(stream) || stream->is_putting ||
        now_ms < stream->next_put_ms) {
        return;
    }
    put_tail(run, stream,
             (size_t)(stream->commit_bytes - stream->sealed_bytes),
             stream->commit_items);
}

/* Stores the tail once it fills a piece.  Called while the write of the record
 * is pending, so that results don't accumulate in memory if it takes long. */
static void
store_full_tail(struct batch_run *run, struct batch_stream *stream,
                int64_t now_ms)
{
    if (stream->is_putting || now_ms < stream->next_put_ms ||
        (int64_t)(stream->tail->len - stream->stored_size) <
            chunk_bytes(run->batch)) {
        return;
    }
    put_tail(run, stream, stream->tail->len, stream->tail_items);
}

/* ---- the record ---- */

static void
end_run(struct batch_run *run)
{
    struct batch *batch = run->batch;
    struct batch_open_job *job =
        g_hash_table_lookup(batch->open_jobs, run->job.id);

    base_log(BASE_LOG_INFO,
             run->tracker.record.is_closed ? "batch.shard_closed"
                                           : "batch.shard_released",
             "job=%s shard=%d completed=%d failed=%d cancelled=%d",
             run->job.id, run->number, run->tracker.record.counts.completed,
             run->tracker.record.counts.failed,
             run->tracker.record.counts.cancelled);
    batch_run_abandon(run);
    if (job != NULL && run->tracker.record.is_closed) {
        job->is_urgent = true;
        job->next_check_ms = 0;
    }
}

static void
handle_conflict(struct batch_run *run, const struct platform_kv *kv)
{
    struct batch_shard current = {0};
    const struct platform_entry *entry =
        kv->entries->len == 0 ? NULL : kv->entries->pdata[0];
    bool is_read = entry != NULL && batch_shard_parse(entry->value, &current);

    run->next_write_ms = 0;
    if (!batch_tracker_conflict(&run->tracker, is_read ? &current : NULL,
                                entry == NULL ? 0 : entry->revision)) {
        base_counter_add(run->batch->n_lost_shards, 1);
        base_log(BASE_LOG_WARNING, "batch.shard_lost",
                 "job=%s shard=%d epoch=%lld now=%lld", run->job.id,
                 run->number, (long long)run->tracker.record.epoch,
                 (long long)current.epoch);
        batch_run_abandon(run);
    }
    if (is_read) {
        batch_shard_finish(&current);
    }
}

static void
on_record_write_done(struct batch *batch, struct platform_kv *kv,
                     void *context)
{
    struct batch_run *run = context;
    int64_t wait_ms = WRITE_RETRY_MS << MIN(run->n_failed_writes, 4);

    run->is_write_sent = false;
    if (run->is_dead) {
        batch_run_unref(run);
        return;
    }
    if (kv->status == PLATFORM_OK) {
        base_counter_add(batch->n_commits, 1);
        batch_tracker_written(&run->tracker, kv->revision);
        run->step = BATCH_COMMIT_IDLE;
        run->n_failed_writes = 0;
        if (run->tracker.record.is_closed ||
            run->tracker.record.runner[0] == '\0') {
            end_run(run);
        }
    }
    else if (kv->status == PLATFORM_CONFLICT) {
        handle_conflict(run, kv);
    }
    else {
        run->n_failed_writes++;
        run->next_write_ms =
            base_clock_ms() + MIN(wait_ms, MAX_WRITE_RETRY_MS);
    }
    batch_run_unref(run);
}

static void
write_record(struct batch_run *run)
{
    run->is_write_sent = true;
    batch_run_ref(run);
    batch_kv_put(run->batch, g_strdup(run->key),
                 batch_shard_format(&run->tracker.next), run->tracker.revision,
                 (struct batch_kv_callback){on_record_write_done, run});
}

static GArray *
list_pieces(const struct batch_stream *stream)
{
    GArray *pieces = g_array_copy(stream->sealed);

    if (stream->stored_size > 0) {
        g_array_append_val(pieces, stream->stored);
    }
    return pieces;
}

/* Writes the record once the lines of the commit are stored. */
static void
write_if_stored(struct batch_run *run)
{
    if (run->is_dead || run->step != BATCH_COMMIT_STORING ||
        !is_commit_stored(&run->outputs) || !is_commit_stored(&run->errors)) {
        return;
    }
    g_array_unref(run->tracker.next.outputs);
    g_array_unref(run->tracker.next.errors);
    run->tracker.next.outputs = list_pieces(&run->outputs);
    run->tracker.next.errors = list_pieces(&run->errors);
    run->step = BATCH_COMMIT_WRITING;
    write_record(run);
}

/* Returns whether the next commit is the last one of this run: all items have
 * results, or the shard is being released and no item is running. */
static bool
is_last_commit(const struct batch_run *run)
{
    return run->tracker.n_open == 0 ||
           (run->is_releasing && run->n_running == 0);
}

static bool
is_commit_due(const struct batch_run *run, int64_t now_ms)
{
    if (!is_last_commit(run) && !batch_tracker_is_dirty(&run->tracker)) {
        return false;
    }
    return is_last_commit(run) || now_ms >= run->next_commit_ms;
}

static void
set_commit_range(struct batch_stream *stream)
{
    stream->commit_bytes = stream->sealed_bytes + (int64_t)stream->tail->len;
    stream->commit_items = stream->tail_items;
}

static void
store_streams(struct batch_run *run, int64_t now_ms)
{
    store_for_commit(run, &run->outputs, now_ms);
    store_for_commit(run, &run->errors, now_ms);
    write_if_stored(run);
}

static void
start_commit(struct batch_run *run, int64_t now_ms)
{
    struct batch *batch = run->batch;
    int64_t commit_ms = batch->world->batch.commit_ms > 0
                            ? batch->world->batch.commit_ms
                            : DEFAULT_COMMIT_MS;
    bool is_release = run->is_releasing && run->n_running == 0;

    /* The last token of the write budget is reserved for claims and last
     * commits, since work continues only after these. */
    if (!batch_take_write_token(batch, now_ms, is_last_commit(run) ? 0 : 1)) {
        return;
    }
    if (run->tracker.is_lost ||
        !(is_release ? batch_tracker_prepare_release(&run->tracker)
                     : batch_tracker_prepare(&run->tracker))) {
        return;
    }
    run->next_commit_ms = now_ms + commit_ms;
    run->step = BATCH_COMMIT_STORING;
    set_commit_range(&run->outputs);
    set_commit_range(&run->errors);
    store_streams(run, now_ms);
}

/* Starts a commit if one is due, and retries the failed steps of the current
 * commit. */
void
batch_commit_tick(struct batch_run *run, int64_t now_ms)
{
    switch (run->step) {
    case BATCH_COMMIT_IDLE:
        if (is_commit_due(run, now_ms)) {
            start_commit(run, now_ms);
        }
        break;
    case BATCH_COMMIT_STORING:
        store_streams(run, now_ms);
        break;
    case BATCH_COMMIT_WRITING:
        if (!run->is_write_sent && now_ms >= run->next_write_ms) {
            write_record(run);
        }
        store_full_tail(run, &run->outputs, now_ms);
        store_full_tail(run, &run->errors, now_ms);
        break;
    }
}
