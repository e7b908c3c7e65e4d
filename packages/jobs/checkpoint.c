#include "jobs/jobs_private.h"

#include <string.h>

/* Checkpoints: the partial outputs and failure counts of a job's unfinished
 * items, as stored for the next runner.  A checkpoint is written now and then
 * while items run, and with the release of the job.
 *
 * The store may do a write seconds late, or again, as long as its conditions
 * hold.  The head does not change with a checkpoint, so each one is also
 * conditional on the revision of the first piece, which every checkpoint
 * writes: an earlier one that is done late has no effect. */

enum {
    /* Between checkpoints of running items.  Longer intervals lose more output
     * when a node is killed; shorter ones write more bytes to the key-value
     * service. */
    CHECKPOINT_MS = 5000,
    MIN_CHECKPOINT_EVENTS =
        150, /* new events, over all items, for a checkpoint */
    MAX_CHECKPOINT_LINE = 64, /* numbers of an item in a checkpoint */
};

/* Prepares a run that has just started. */
void
jobs_checkpoint_init(struct jobs_run *run)
{
    run->next_checkpoint_ms = base_clock_ms() + CHECKPOINT_MS;
}

/* Decodes the pieces of a checkpoint among entries that are ordered by their
 * keys.  Only pieces of the same write belong together: one transaction writes
 * all pieces of a checkpoint, so that they have one revision.  Items whose
 * output cannot be read start again. */
void
jobs_checkpoint_read(struct jobs_checkpoint *checkpoint,
                     const GPtrArray *entries)
{
    struct base_error err = {0};
    int n_whole = 0;

    memset(checkpoint, 0, sizeof(*checkpoint));
    checkpoint->partials = g_ptr_array_new_with_free_func(jobs_result_free);
    for (guint i = 0; i < entries->len; i++) {
        const struct platform_entry *entry = entries->pdata[i];
        int number = jobs_checkpoint_number(entry->key);
        if (number < 0) {
            continue;
        }
        checkpoint->n_pieces = number + 1;
        checkpoint->revision =
            number == 0 ? entry->revision : checkpoint->revision;
        if (number != n_whole || entry->revision != checkpoint->revision) {
            base_log(BASE_LOG_WARNING, "jobs.checkpoint_piece_ignored",
                     "key=%s revision=%" G_GINT64_FORMAT
                     " first_revision=%" G_GINT64_FORMAT,
                     entry->key, entry->revision, checkpoint->revision);
            continue;
        }
        if (jobs_results_decode(entry->value, checkpoint->partials, &err)) {
            n_whole++;
        }
        else {
            base_log_error("jobs.checkpoint_unreadable", &err, "key=%s",
                           entry->key);
        }
    }
    if (!jobs_results_are_whole(checkpoint->partials)) {
        g_ptr_array_set_size(checkpoint->partials,
                             (gint)checkpoint->partials->len - 1);
    }
}

/* Frees the contents of a checkpoint that was read, if there are any. */
void
jobs_checkpoint_finish(struct jobs_checkpoint *checkpoint)
{
    if (checkpoint->partials != NULL) {
        g_ptr_array_free(checkpoint->partials, TRUE);
    }
    memset(checkpoint, 0, sizeof(*checkpoint));
}

/* Restores the checkpoint of the previous runner.  For each item it has a line
 * with the number of events, the id of the last event and the number of
 * failures, and after it the output received so far. */
void
jobs_checkpoint_restore(struct jobs_run *run,
                        const struct jobs_checkpoint *checkpoint)
{
    const GPtrArray *partials = checkpoint->partials;

    run->n_checkpoint_pieces = checkpoint->n_pieces;
    run->checkpoint_revision = checkpoint->revision;
    for (guint i = 0; i < partials->len; i++) {
        const struct jobs_result *partial = partials->pdata[i];
        const char *text = memchr(partial->text, '\n', partial->size);
        for (guint n = 0; text != NULL && n < run->job->items->len; n++) {
            const struct jobs_item *item = run->job->items->pdata[n];
            struct jobs_events *events = &run->works[n].events;
            char *last_id;
            char *n_failures;
            if (strcmp(item->id, partial->id) != 0 ||
                run->works[n].state != JOBS_WORK_WAITING) {
                continue;
            }
            events->count = g_ascii_strtoll(partial->text, &last_id, 10);
            events->last_id = g_ascii_strtoll(last_id, &n_failures, 10);
            run->works[n].n_failures =
                (int)g_ascii_strtoll(n_failures, NULL, 10);
            g_string_truncate(events->text, 0);
            g_string_append_len(
                events->text, text + 1,
                (gssize)(partial->size - (size_t)(text + 1 - partial->text)));
            jobs_output_changed(&run->works[n]);
        }
    }
}

/* Returns the entry of an item in a checkpoint; without its output, the next
 * runner starts the item again.  NULL: there is nothing to keep. */
static struct jobs_result *
make_partial(const struct jobs_work *work, const char *id, bool has_output)
{
    bool may_resume = has_output && jobs_events_may_resume(&work->events);
    struct jobs_result *partial;
    GString *text;

    if (!may_resume && work->n_failures == 0) {
        return NULL;
    }
    text = g_string_new(NULL);
    g_string_printf(text, "%" G_GINT64_FORMAT " %" G_GINT64_FORMAT " %d\n",
                    may_resume ? work->events.count : 0,
                    may_resume ? work->events.last_id : 0, work->n_failures);
    if (may_resume) {
        g_string_append_len(text, work->events.text->str,
                            (gssize)work->events.text->len);
    }
    partial = jobs_result_new(id, true, text->str, text->len);
    g_string_free(text, TRUE);
    return partial;
}

/* Returns the pieces of a checkpoint of the open items, of GBytes, owned by
 * the caller.  Outputs that do not fit into JOBS_MAX_CHECKPOINT_PIECES are
 * left out. */
static GPtrArray *
encode_checkpoint(const struct jobs_run *run)
{
    GPtrArray *partials = g_ptr_array_new_with_free_func(jobs_result_free);
    int64_t entry_bytes =
        jobs_result_bytes("", JOBS_ID_SIZE + MAX_CHECKPOINT_LINE);
    /* Each end of a piece may leave some room and repeat the item's id. */
    int64_t room =
        JOBS_MAX_CHECKPOINT_PIECES * (run->piece_bytes - 2 * entry_bytes) -
        run->job->items->len * entry_bytes;
    GPtrArray *pieces;

    for (guint i = 0; i < run->job->items->len; i++) {
        const struct jobs_work *work = &run->works[i];
        const struct jobs_item *item = run->job->items->pdata[i];
        int64_t size = (int64_t)work->events.text->len;
        struct jobs_result *partial;
        if (work->state >= JOBS_WORK_DONE) {
            continue;
        }
        partial = make_partial(work, item->id, size <= room);
        if (partial != NULL) {
            room -= size <= room ? size : 0;
            g_ptr_array_add(partials, partial);
        }
    }
    pieces = jobs_results_split(partials, run->piece_bytes);
    g_ptr_array_free(partials, TRUE);
    return pieces;
}

/* Adds the writes of a checkpoint to a transaction, and the removal of pieces
 * of an earlier one that had more. */
static void
add_pieces(struct jobs_run *run, struct platform_kv *kv,
           const GPtrArray *pieces)
{
    for (int i = 0; i < MAX((int)pieces->len, run->n_checkpoint_pieces); i++) {
        char *key = jobs_checkpoint_key(run->head.id, i);
        GBytes *value =
            i < (int)pieces->len ? g_bytes_ref(pieces->pdata[i]) : NULL;
        platform_kv_write(kv, key, value, 0);
        g_free(key);
    }
    run->n_sent_pieces = (int)pieces->len;
    run->n_checkpoint_pieces =
        MAX(run->n_checkpoint_pieces, run->n_sent_pieces);
}

/* Adds the checkpoint of a commit to its transaction.  Without output, only
 * the stored checkpoint is removed. */
void
jobs_checkpoint_add(struct jobs_run *run, struct platform_kv *kv,
                    bool has_output)
{
    GPtrArray *pieces =
        has_output ? encode_checkpoint(run) : g_ptr_array_new();

    add_pieces(run, kv, pieces);
    g_ptr_array_free(pieces, TRUE);
}

static int64_t
count_events(const struct jobs_run *run)
{
    int64_t n_events = 0;

    for (guint i = 0; i < run->job->items->len; i++) {
        if (run->works[i].state < JOBS_WORK_DONE) {
            n_events += run->works[i].events.count;
        }
    }
    return n_events;
}

/* Takes the revision of the first piece from a reply.  After a conflict an
 * earlier checkpoint without a reply has taken effect, or the head is another
 * one; then the next checkpoint conflicts again until the run is stopped. */
static void
update_revision(struct jobs_run *run, const struct platform_kv *kv)
{
    char *key = jobs_checkpoint_key(run->head.id, 0);

    run->checkpoint_revision =
        platform_kv_revision_after(kv, key, run->checkpoint_revision);
    g_free(key);
}

static void
on_checkpoint(struct jobs *jobs, struct platform_kv *kv, void *context)
{
    struct jobs_run *run = context;

    (void)jobs;
    run->n_references--;
    run->n_writes--;
    update_revision(run, kv);
    if (kv->status == PLATFORM_OK) {
        run->n_checkpoint_pieces = run->n_sent_pieces;
    }
    else if (kv->status != PLATFORM_REJECTED || jobs_run_shrink_pieces(run)) {
        run->is_checkpoint_requested =
            true; /* the next tick writes it again */
        run->next_commit_ms = base_clock_ms() + JOBS_WRITE_RETRY_MS;
    }
}

/* Writes a checkpoint of the open items, from which the next runner resumes.
 * The write is conditional on the head's revision, so a runner that has lost
 * the job writes nothing, and on that of the stored checkpoint. */
static void
write_checkpoint(struct jobs_run *run)
{
    GPtrArray *pieces = encode_checkpoint(run);
    struct platform_kv *kv;
    char *head_key;
    char *first_key;

    if (pieces->len > 0) {
        kv = platform_kv_new(PLATFORM_TXN, run->head.id);
        head_key = jobs_head_key(run->head.id);
        first_key = jobs_checkpoint_key(run->head.id, 0);
        platform_kv_expect(kv, head_key, run->revision);
        platform_kv_expect(kv, first_key, run->checkpoint_revision);
        add_pieces(run, kv, pieces);
        g_free(head_key);
        g_free(first_key);
        run->n_references++;
        run->n_writes++;
        jobs_kv_send(run->jobs, kv,
                     (struct jobs_kv_callback){on_checkpoint, run});
    }
    g_ptr_array_free(pieces, TRUE);
}

static bool
is_checkpoint_due(struct jobs_run *run, int64_t now_ms)
{
    int64_t n_events;

    if (run->is_checkpoint_requested) {
        run->is_checkpoint_requested = false;
        return true;
    }
    if (now_ms < run->next_checkpoint_ms) {
        return false;
    }
    run->next_checkpoint_ms = now_ms + CHECKPOINT_MS;
    n_events = count_events(run);
    if (n_events < run->checkpoint_events + MIN_CHECKPOINT_EVENTS) {
        run->checkpoint_events = MIN(run->checkpoint_events, n_events);
        return false;
    }
    run->checkpoint_events = n_events;
    return true;
}

/* Writes a checkpoint when one is due. */
void
jobs_checkpoint_tick(struct jobs_run *run, int64_t now_ms)
{
    if (is_checkpoint_due(run, now_ms)) {
        write_checkpoint(run);
    }
}
