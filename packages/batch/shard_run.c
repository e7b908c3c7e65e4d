#include "batch/batch_private.h"

#include <stdlib.h>
#include <string.h>

#include "base/http_text.h"

enum {
    MAX_READY_ITEMS = 2048,    /* parsed items of a shard that may be sent */
    MAX_LINES_PER_TICK = 1024, /* lines parsed per tick and shard */
    MAX_BEGINNING_ITEMS = 256, /* non-idempotent items of a shard that wait for
                                  their started record to be committed */
    READ_RETRY_MS = 1000,
    MAX_UNSAVED_BYTES = 8 << 20, /* unstored outputs at which parsing pauses */
};

/* ---- creation and end ---- */

void
batch_run_ref(struct batch_run *run)
{
    run->n_references++;
}

static void
free_run(struct batch_run *run)
{
    struct batch_item *item;

    while ((item = g_queue_pop_head(&run->ready)) != NULL) {
        batch_item_free(item);
    }
    while ((item = g_queue_pop_head(&run->beginning)) != NULL) {
        batch_item_free(item);
    }
    batch_tracker_finish(&run->tracker);
    batch_file_finish(&run->file);
    batch_job_finish(&run->job);
    batch_stream_finish(&run->outputs);
    batch_stream_finish(&run->errors);
    if (run->bytes != NULL) {
        g_bytes_unref(run->bytes);
    }
    g_free(run->key);
    g_free(run);
}

/* Drops a reference, and frees the run with the last one.  Pending calls and
 * items hold references. */
void
batch_run_unref(struct batch_run *run)
{
    if (--run->n_references == 0) {
        free_run(run);
    }
}

/* Makes the run of a shard that this node has claimed. */
struct batch_run *
batch_run_new(struct batch *batch, const struct batch_job *job, int number,
              const struct batch_shard *claimed, int64_t revision)
{
    struct batch_run *run = g_new0(struct batch_run, 1);

    run->batch = batch;
    run->n_references = 1;
    batch_job_copy(&run->job, job);
    run->number = number;
    run->key = batch_shard_key(job->id, number);
    run->first_item = batch_job_first_item(job, number);
    run->claimed_at_ms = base_clock_ms();
    run->next_commit_ms = run->claimed_at_ms;
    batch_tracker_init(&run->tracker, claimed, revision);
    batch_stream_init(&run->outputs, claimed->outputs);
    batch_stream_init(&run->errors, claimed->errors);
    g_queue_init(&run->ready);
    g_queue_init(&run->beginning);
    if (job->stop != BATCH_NOT_STOPPED) {
        batch_run_stop(run);
    }
    return run;
}

/* Returns how many items of the shard have not been started; 0 if the run is
 * stopping or abandoned. */
int
batch_run_count_unstarted(const struct batch_run *run)
{
    int n_items = run->tracker.record.n_items - run->next_item;

    if (run->is_dead || run->is_stopping) {
        return 0;
    }
    return n_items + (int)run->ready.length + (int)run->beginning.length;
}

static void
cancel_running(struct batch_run *run, bool with_non_idempotent)
{
    GPtrArray *items = g_ptr_array_new();

    for (GList *link = run->batch->running.head; link != NULL;
         link = link->next) {
        struct batch_item *item = link->data;
        /* A non-idempotent item that was sent runs to its end. */
        if (item->run == run && (with_non_idempotent || item->is_idempotent)) {
            g_ptr_array_add(items, item);
        }
    }
    for (guint i = 0; i < items->len; i++) {
        batch_item_cancel(items->pdata[i]);
    }
    g_ptr_array_unref(items);
}

static void
drop_unsent(struct batch_run *run)
{
    struct batch_item *item;

    while ((item = g_queue_pop_head(&run->ready)) != NULL) {
        batch_item_free(item);
    }
    while ((item = g_queue_pop_head(&run->beginning)) != NULL) {
        batch_item_free(item);
    }
}

/* Stops the run because the job was cancelled, has expired or failed.
 * Idempotent items that are running are cancelled, and unsent items are
 * dropped. */
void
batch_run_stop(struct batch_run *run)
{
    if (run->is_stopping || run->is_dead) {
        return;
    }
    run->is_stopping = true;
    cancel_running(run, false);
    drop_unsent(run);
}

/* Ends the run without a commit, because the shard was closed, released or
 * claimed by another runner, the job was removed or the task stops.  Running
 * items are cancelled. */
void
batch_run_abandon(struct batch_run *run)
{
    if (run->is_dead) {
        return;
    }
    run->is_dead = true;
    cancel_running(run, true);
    drop_unsent(run);
}

/* ---- results ---- */

static char *
result_line(const struct batch_run *run, int index, const char *custom_id,
            json_t *response, const char *code, const char *text)
{
    char *id = g_strdup_printf("%s-%d", run->job.id, run->first_item + index);
    json_t *line = json_pack("{s:s, s:o, s:o}", "id", id, "custom_id",
                             base_json_text(custom_id), "response",
                             response == NULL ? json_null() : response);
    char *dump;

    json_object_set_new(line, "error",
                        code == NULL
                            ? json_null()
                            : json_pack("{s:s, s:o}", "code", code, "message",
                                        base_json_text(text)));
    dump = json_dumps(line, JSON_COMPACT);
    json_decref(line);
    g_free(id);
    return dump;
}

static void
add_result(struct batch_run *run, int index, const char *custom_id,
           json_t *response, const char *code, const char *text)
{
    enum batch_item_end end =
        code == NULL ? BATCH_ITEM_COMPLETED : BATCH_ITEM_FAILED;
    struct batch_stream *stream = code == NULL ? &run->outputs : &run->errors;
    char *line;

    if (run->is_dead || !batch_tracker_end(&run->tracker, index, end)) {
        json_decref(response);
        return;
    }
    line = result_line(run, index, custom_id, response, code, text);
    g_string_append(stream->tail, line);
    g_string_append_c(stream->tail, '\n');
    stream->tail_items++;
    free(line);
    base_counter_add(
        code == NULL ? run->batch->n_completed : run->batch->n_failed, 1);
}

/* Adds the result of an item and frees the item.  If `code` is NULL, the item
 * succeeded and `response` is its result.  Otherwise `code` and `text`
 * describe the error, and `response` may be NULL.  Takes over the reference to
 * `response`. */
void
batch_run_end_item(struct batch_run *run, struct batch_item *item,
                   json_t *response, const char *code, const char *text)
{
    add_result(run, item->index, item->custom_id, response, code, text);
    batch_item_free(item);
}

/* ---- reading the items ---- */

static void
on_failure_write_done(struct batch *batch, struct platform_kv *kv,
                      void *context)
{
    /* The watch will report the new record.  After a conflict, the next failed
     * read of the file calls fail_job again. */
}

/* Marks the job as failed because its input file no longer exists. */
static void
fail_job(struct batch_run *run)
{
    struct batch *batch = run->batch;
    const struct batch_open_job *open =
        g_hash_table_lookup(batch->open_jobs, run->job.id);
    struct batch_job job;

    if (open == NULL || open->record.stop != BATCH_NOT_STOPPED) {
        return;
    }
    batch_job_copy(&job, &open->record);
    job.stop = BATCH_FAILED;
    job.stop_s = batch_now_s();
    g_free(job.stop_text);
    job.stop_text = g_strdup("the input file is gone");
    batch_kv_put(batch, batch_key(BATCH_JOBS, job.operator_name, job.id),
                 batch_job_format(&job), open->revision,
                 (struct batch_kv_callback){on_failure_write_done, NULL});
    batch_job_finish(&job);
}

static void
on_file_read_done(struct batch *batch, struct platform_kv *kv, void *context)
{
    struct batch_run *run = context;

    run->is_reading = false;
    if (kv->status == PLATFORM_OK && kv->entries->len > 0 && !run->has_file) {
        run->has_file = batch_file_parse(
            ((struct platform_entry *)kv->entries->pdata[0])->value,
            &run->file);
    }
    if (!run->has_file) {
        run->next_read_ms = base_clock_ms() + READ_RETRY_MS;
        base_log(BASE_LOG_WARNING, "batch.input_unread", "job=%s file=%s",
                 run->job.id, run->job.file_id);
        if (kv->status == PLATFORM_OK && kv->entries->len == 0) {
            fail_job(run);
        }
    }
    batch_run_unref(run);
}

static void
on_piece_read_done(struct batch *batch, struct bulk_get *get, void *context)
{
    struct batch_run *run = context;

    run->is_reading = false;
    if (get->is_ok) {
        run->bytes = g_bytes_ref(get->bytes);
        run->position = 0;
        run->line_item = run->piece_item;
    }
    else {
        run->next_read_ms = base_clock_ms() + READ_RETRY_MS;
        base_log_error("batch.chunk_unread", &get->err, "job=%s shard=%d",
                       run->job.id, run->number);
    }
    batch_run_unref(run);
}

/* Moves to the piece that contains the item; returns false if the file has
 * fewer items. */
static bool
find_piece(struct batch_run *run, int file_item)
{
    while (run->piece < run->file.pieces->len) {
        const struct batch_piece *piece =
            &g_array_index(run->file.pieces, struct batch_piece, run->piece);
        if (file_item < run->piece_item + piece->items) {
            return true;
        }
        run->piece_item += piece->items;
        run->piece++;
        g_clear_pointer(&run->bytes, g_bytes_unref);
    }
    return false;
}

/* Returns whether the piece with the next item is in memory; if not, starts to
 * read the file's record or the piece. */
static bool
has_piece(struct batch_run *run, int64_t now_ms)
{
    struct batch *batch = run->batch;

    if (run->has_file && find_piece(run, run->first_item + run->next_item) &&
        run->bytes != NULL) {
        return true;
    }
    if (run->is_reading || now_ms < run->next_read_ms) {
        return false;
    }
    if (run->has_file && run->piece == run->file.pieces->len) {
        run->next_read_ms = now_ms + READ_RETRY_MS;
        return false;
    }
    run->is_reading = true;
    batch_run_ref(run);
    if (!run->has_file) {
        batch_kv_get(
            batch,
            batch_key(BATCH_FILES, run->job.operator_name, run->job.file_id),
            (struct batch_kv_callback){on_file_read_done, run});
        return false;
    }
    batch_get(
        batch,
        &g_array_index(run->file.pieces, struct batch_piece, run->piece).chunk,
        (struct batch_get_callback){on_piece_read_done, run});
    return false;
}

/* Gets the next line of the current piece, without its newline. */
static void
next_line(struct batch_run *run, const char **line, size_t *size)
{
    gsize total;
    const char *data = g_bytes_get_data(run->bytes, &total);
    const char *begin = data + run->position;
    const char *newline = memchr(begin, '\n', total - run->position);

    *line = begin;
    *size =
        newline == NULL ? total - run->position : (size_t)(newline - begin);
    run->position += *size + (newline != NULL);
    run->line_item++;
}

static void
add_line_item(struct batch_run *run, int index, const char *text, size_t size)
{
    struct batch *batch = run->batch;
    struct batch_line line;
    struct batch_target target;
    struct base_error err = {0};
    struct batch_item *item;

    if (!batch_line_parse(text, size, &line, &err)) {
        add_result(run, index, "", NULL, "invalid_line", err.text);
        return;
    }
    if (batch_tracker_state(&run->tracker, index) == BATCH_ITEM_INTERRUPTED) {
        add_result(run, index, line.custom_id, NULL, "may_have_run",
                   "its runner was lost after the item had begun; the item is "
                   "not idempotent and is not sent again");
    }
    else if (!batch_target_find(batch->world, run->job.operator_name, &line,
                                &target, &err)) {
        add_result(run, index, line.custom_id, NULL,
                   err.code == BASE_DENIED ? "not_permitted"
                                           : "deployment_not_found",
                   err.text);
    }
    else {
        item = batch_item_new(run, index, &line, &target);
        if (item->is_idempotent) {
            g_queue_push_tail(&run->ready, item);
        }
        else {
            batch_tracker_request_begin(&run->tracker, index);
            g_queue_push_tail(&run->beginning, item);
        }
    }
    batch_line_finish(&line);
}

/* Returns whether more lines are to be parsed now. */
static bool
wants_items(const struct batch_run *run)
{
    return run->next_item < run->tracker.record.n_items &&
           run->ready.length < MAX_READY_ITEMS &&
           run->beginning.length < MAX_BEGINNING_ITEMS &&
           run->outputs.tail->len - run->outputs.stored_size <
               MAX_UNSAVED_BYTES;
}

/* Parses at most MAX_LINES_PER_TICK of the shard's next lines into items.
 * Stops when enough items are ready or the next piece of the file is not in
 * memory. */
static void
parse_items(struct batch_run *run, int64_t now_ms)
{
    for (int n = 0; n < MAX_LINES_PER_TICK && wants_items(run); n++) {
        const char *line;
        size_t size;
        int index;
        if (!has_piece(run, now_ms)) {
            return;
        }
        while (run->line_item < run->first_item + run->next_item) {
            next_line(run, &line, &size);
        }
        next_line(run, &line, &size);
        index = run->next_item++;
        if (batch_tracker_state(&run->tracker, index) != BATCH_ITEM_DONE) {
            add_line_item(run, index, line, size);
        }
    }
}

/* ---- sending items ---- */

/* Moves the items that are now recorded as begun to the ready queue. */
static void
queue_begun_items(struct batch_run *run)
{
    guint n_items = run->beginning.length;

    for (guint i = 0; i < n_items; i++) {
        struct batch_item *item = g_queue_pop_head(&run->beginning);
        bool is_begun = batch_tracker_state(&run->tracker, item->index) ==
                        BATCH_ITEM_BEGUN;
        g_queue_push_tail(is_begun ? &run->ready : &run->beginning, item);
    }
}

/* Returns the first ready item for the deployment and marks it as running, or
 * returns NULL if there is none.  A non-idempotent item is only started while
 * the lease is valid; without it another runner may have taken over the
 * shard. */
struct batch_item *
batch_run_start_item(struct batch_run *run, int deployment, int64_t now_ms)
{
    if (run->is_dead || run->is_stopping || run->is_releasing) {
        return NULL;
    }
    for (GList *link = run->ready.head; link != NULL; link = link->next) {
        struct batch_item *item = link->data;
        if (item->deployment != deployment || now_ms < item->not_before_ms ||
            (!item->is_idempotent && !batch_has_lease(run->batch))) {
            continue;
        }
        if (!batch_tracker_start(&run->tracker, item->index,
                                 item->is_idempotent)) {
            continue;
        }
        g_queue_delete_link(&run->ready, link);
        run->n_running++;
        return item;
    }
    return NULL;
}

/* Puts a running item without a result back into the ready queue; frees it if
 * the run is stopping or dead. */
void
batch_run_requeue_item(struct batch_run *run, struct batch_item *item)
{
    bool is_requeued = !run->is_dead && !run->is_stopping &&
                       batch_tracker_undo_start(&run->tracker, item->index,
                                                item->is_idempotent);

    if (!is_requeued) {
        if (!run->is_dead) {
            batch_tracker_undo_start(&run->tracker, item->index,
                                     item->is_idempotent);
        }
        batch_item_free(item);
        return;
    }
    g_queue_push_head(&run->ready, item);
}

/* Ends the items of a stopped job that have no result and are not running. */
static void
cancel_unstarted(struct batch_run *run, int64_t now_ms)
{
    struct batch_tracker *tracker = &run->tracker;
    bool has_interrupted = false;

    for (int item = 0; item < tracker->record.n_items; item++) {
        enum batch_item_state state = batch_tracker_state(tracker, item);
        has_interrupted |= state == BATCH_ITEM_INTERRUPTED;
        if (state == BATCH_ITEM_WAITING || state == BATCH_ITEM_BEGUN ||
            state == BATCH_ITEM_BEGIN_REQUESTED) {
            batch_tracker_end(tracker, item, BATCH_ITEM_CANCELLED);
        }
    }
    /* Interrupted items get error results.  These need the custom_id from the
     * items' lines, so the lines are parsed. */
    if (has_interrupted) {
        parse_items(run, now_ms);
    }
}

/* Parses items, cancels those of a stopped job, and commits results. */
void
batch_run_tick(struct batch_run *run, int64_t now_ms)
{
    if (run->is_dead || run->batch->world == NULL) {
        return;
    }
    if (g_atomic_int_get(&run->batch->is_draining) && !run->is_stopping) {
        run->is_releasing = true;
    }
    queue_begun_items(run);
    if (run->is_stopping) {
        cancel_unstarted(run, now_ms);
    }
    else if (!run->is_releasing) {
        parse_items(run, now_ms);
    }
    batch_commit_tick(run, now_ms);
}
