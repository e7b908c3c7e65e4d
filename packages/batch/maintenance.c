#include "batch/batch_private.h"

#include <string.h>

/* Maintenance scans all records of batch for three purposes.  A node with a
 * disk collects which of its chunks are referenced and removes the others.
 * The first runner of a region makes new copies of chunks whose hosts are
 * lost, and removes records that are past their retention time.
 *
 * A scan reads the records in pages at a limited rate.  The repairs and
 * deletions that a page causes are done before the next page is read. */
enum {
    PAGE_RECORDS = 50,
    SCAN_INTERVAL_MS = 600000,
    ORPHAN_AGE_S = 24 * 3600, /* minimum age of unreferenced chunks that are
                               * removed */
    /* Shorter times, as divisors of the time between scans. */
    PAGE_DIVISOR = 1200,     /* time between pages */
    FIRST_SCAN_DIVISOR = 10, /* time before the first scan, and between checks
                              * whether this node has to scan */
    LOST_HOST_DIVISOR = 10,  /* time until a missing host counts as lost */
    /* Longer times, as multiples of the time between scans. */
    DELETED_INTERVALS = 6, /* time after which the record of a file marked as
                            * deleted is removed */
    INTERVALS_PER_SWEEP = 36, /* time between sweeps */
};

enum scan_stage {
    SCAN_IDLE,
    SCAN_JOBS, /* open jobs: collects the files in use */
    SCAN_ENDED,
    SCAN_FILES,
    SCAN_SHARDS,
};

/* A record whose lost chunk copies are being replaced. */
struct record_repair {
    char *key;
    int64_t revision;
    bool is_file;
    struct batch_file file;
    struct batch_shard shard;
    GPtrArray *pieces; /* of struct batch_piece, owned by file or shard */
    guint next_piece;  /* index */
    char region[BATCH_NAME_SIZE]; /* where new copies are stored */
    bool is_changed;              /* the record is to be written */
};

struct batch_maintenance {
    enum scan_stage stage;
    char *last_key; /* last key of the previous page; NULL: the next page is
                       the first of the stage */
    bool is_reading_page;
    bool is_repairer;    /* the current scan repairs and expires records */
    bool is_sweeper;     /* the current scan ends with a sweep: removal of this
                            node's unreferenced chunks */
    int64_t interval_ms; /* between scans */
    int64_t orphan_age_s;
    int64_t next_ms;          /* time of the next page or scan */
    int64_t next_sweep_ms;    /* time of the next sweep */
    GHashTable *files_in_use; /* ids of files that open jobs read */
    GArray *referenced; /* of uint64_t: keys of the referenced chunks that have
                           a copy on this node */
    GQueue deletions;   /* of char *: keys of records to delete */
    GQueue repairs;     /* of struct record_repair */
    struct record_repair *repairing; /* current repair; NULL: none */
    GHashTable *missing_since; /* missing disk hosts: node to int64_t ms */
    GHashTable *disk_hosts;    /* all nodes seen with a bulk address */
    struct base_counter *n_expired;
    struct base_counter *n_copied_chunks;
};

/* Initialises the maintenance of records and chunks. */
void
batch_maintenance_start(struct batch *batch, const struct batch_desc *desc)
{
    struct batch_maintenance *maintenance =
        g_new0(struct batch_maintenance, 1);
    struct base_counters *counters = desc->counters;

    batch->maintenance = maintenance;
    maintenance->interval_ms =
        desc->maintenance_ms > 0 ? desc->maintenance_ms : SCAN_INTERVAL_MS;
    maintenance->orphan_age_s =
        desc->orphan_age_s > 0 ? desc->orphan_age_s : ORPHAN_AGE_S;
    maintenance->next_ms =
        base_clock_ms() + maintenance->interval_ms / FIRST_SCAN_DIVISOR;
    maintenance->next_sweep_ms = maintenance->next_ms;
    maintenance->files_in_use =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    maintenance->referenced = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    maintenance->missing_since =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    maintenance->disk_hosts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g_queue_init(&maintenance->deletions);
    g_queue_init(&maintenance->repairs);
    maintenance->n_expired =
        base_counter(counters, "batch_records_expired_total");
    maintenance->n_copied_chunks =
        base_counter(counters, "batch_chunks_recopied_total");
}

static void
free_record_repair(struct record_repair *repairing)
{
    batch_file_finish(&repairing->file);
    batch_shard_finish(&repairing->shard);
    g_ptr_array_unref(repairing->pieces);
    g_free(repairing->key);
    g_free(repairing);
}

void
batch_maintenance_finish(struct batch *batch)
{
    struct batch_maintenance *maintenance = batch->maintenance;

    if (maintenance == NULL) {
        return;
    }
    if (maintenance->repairing != NULL) {
        free_record_repair(maintenance->repairing);
    }
    g_queue_clear_full(&maintenance->deletions, g_free);
    g_queue_clear_full(&maintenance->repairs,
                       (GDestroyNotify)free_record_repair);
    g_hash_table_unref(maintenance->files_in_use);
    g_hash_table_unref(maintenance->missing_since);
    g_hash_table_unref(maintenance->disk_hosts);
    g_array_unref(maintenance->referenced);
    g_free(maintenance->last_key);
    g_free(maintenance);
    batch->maintenance = NULL;
}

static bool
has_disk(const struct batch *batch)
{
    const struct members_view *view = batch->view;

    return view->self >= 0 && view->nodes[view->self].bulk_address[0] != '\0';
}

/* ---- lost hosts ---- */

static bool
is_node_up(const struct batch *batch, const char *name)
{
    int node = batch->view == NULL ? -1 : members_view_find(batch->view, name);
    return node >= 0 && members_accepts_work(&batch->view->nodes[node]);
}

/* Updates the set of disk hosts and the times since which hosts have been
 * missing. */
static void
track_disk_hosts(struct batch *batch, int64_t now_ms)
{
    struct batch_maintenance *maintenance = batch->maintenance;
    GHashTableIter iter;
    gpointer name;

    for (int i = 0; batch->view != NULL && i < batch->view->n_nodes; i++) {
        const struct members_node *node = &batch->view->nodes[i];
        if (node->bulk_address[0] != '\0' &&
            !g_hash_table_contains(maintenance->disk_hosts, node->name)) {
            g_hash_table_add(maintenance->disk_hosts, g_strdup(node->name));
        }
    }
    g_hash_table_iter_init(&iter, maintenance->disk_hosts);
    while (g_hash_table_iter_next(&iter, &name, NULL)) {
        if (is_node_up(batch, name)) {
            g_hash_table_remove(maintenance->missing_since, name);
        }
        else if (!g_hash_table_contains(maintenance->missing_since, name)) {
            g_hash_table_insert(maintenance->missing_since, g_strdup(name),
                                g_memdup2(&now_ms, sizeof(now_ms)));
            /* Start a scan as soon as the host counts as lost. */
            maintenance->next_ms =
                maintenance->stage == SCAN_IDLE
                    ? MIN(maintenance->next_ms,
                          now_ms +
                              maintenance->interval_ms / LOST_HOST_DIVISOR + 1)
                    : maintenance->next_ms;
        }
    }
}

/* Returns whether a copy counts as lost: its host is unknown, or has been
 * missing for interval_ms / LOST_HOST_DIVISOR. */
static bool
is_copy_lost(const struct batch *batch, const char *holder)
{
    const struct batch_maintenance *maintenance = batch->maintenance;
    int64_t *since = g_hash_table_lookup(maintenance->missing_since, holder);

    if (holder[0] == '\0' ||
        !g_hash_table_contains(maintenance->disk_hosts, holder)) {
        return true;
    }
    return since != NULL && base_clock_ms() - *since >=
                                maintenance->interval_ms / LOST_HOST_DIVISOR;
}

static bool
needs_repair(const struct batch *batch, const struct batch_piece *piece)
{
    for (int i = 0; i < BULK_COPIES; i++) {
        if (is_copy_lost(batch, piece->chunk.holders[i])) {
            return true;
        }
    }
    return false;
}

/* ---- repair ---- */

static void repair_next(struct batch *batch);

static void
on_record_write_done(struct batch *batch, struct platform_kv *kv,
                     void *context)
{
    /* After a conflict the next scan repairs the record. */
    g_clear_pointer(&batch->maintenance->repairing, free_record_repair);
}

static void
write_record(struct batch *batch)
{
    struct record_repair *repairing = batch->maintenance->repairing;
    GBytes *value = repairing->is_file ? batch_file_format(&repairing->file)
                                       : batch_shard_format(&repairing->shard);

    batch_kv_put(batch, g_strdup(repairing->key), value, repairing->revision,
                 (struct batch_kv_callback){on_record_write_done, NULL});
}

static void
on_repair_done(struct bulk_repair *repair, void *task_state)
{
    struct batch *batch = task_state;
    struct record_repair *repairing = batch->maintenance->repairing;
    struct batch_piece *piece =
        repairing->pieces->pdata[repairing->next_piece];

    batch->n_pending_calls--;
    if (repair->is_ok && repair->is_changed) {
        piece->chunk = repair->chunk;
        repairing->is_changed = true;
        base_counter_add(batch->maintenance->n_copied_chunks, 1);
    }
    else if (!repair->is_ok) {
        base_log_error("batch.repair_failed", &repair->err, "chunk=%s",
                       repair->chunk.name);
    }
    bulk_repair_free(repair);
    repairing->next_piece++;
    repair_next(batch);
}

/* Starts the repair of the record's next piece that needs one.  After the last
 * piece, writes the record if it was changed. */
static void
repair_next(struct batch *batch)
{
    struct record_repair *repairing = batch->maintenance->repairing;

    while (repairing->next_piece < repairing->pieces->len) {
        struct batch_piece *piece =
            repairing->pieces->pdata[repairing->next_piece];
        struct bulk_repair *repair;
        if (batch->is_stopped || !needs_repair(batch, piece)) {
            repairing->next_piece++;
            continue;
        }
        repair = bulk_repair_new(&piece->chunk, repairing->region);
        batch->n_pending_calls++;
        bulk_repair_send(batch->bulk, repair, &batch->task, on_repair_done);
        return;
    }
    if (repairing->is_changed) {
        write_record(batch);
        return;
    }
    g_clear_pointer(&batch->maintenance->repairing, free_record_repair);
}

static void
add_pieces(struct record_repair *repairing, GArray *pieces)
{
    for (guint i = 0; i < pieces->len; i++) {
        g_ptr_array_add(repairing->pieces,
                        &g_array_index(pieces, struct batch_piece, i));
    }
}

/* Queues the repair of a record if any of its chunks needs it.  Takes over
 * `repairing`. */
static void
queue_record_repair(struct batch *batch, struct record_repair *repairing,
                    const struct platform_entry *entry)
{
    bool is_needed = false;

    for (guint i = 0; i < repairing->pieces->len; i++) {
        is_needed |= needs_repair(batch, repairing->pieces->pdata[i]);
    }
    if (!is_needed || !batch->maintenance->is_repairer) {
        free_record_repair(repairing);
        return;
    }
    repairing->key = g_strdup(entry->key);
    repairing->revision = entry->revision;
    g_queue_push_tail(&batch->maintenance->repairs, repairing);
}

/* ---- scanned records ---- */

/* Collects the chunks that have a copy on this node. */
static void
add_references(struct batch *batch, const GPtrArray *pieces)
{
    for (guint i = 0; i < pieces->len; i++) {
        const struct batch_piece *piece = pieces->pdata[i];
        uint64_t key = bulk_name_key(piece->chunk.name);
        for (int n = 0; n < BULK_COPIES; n++) {
            if (strcmp(piece->chunk.holders[n], batch->node) == 0) {
                g_array_append_val(batch->maintenance->referenced, key);
            }
        }
    }
}

static int64_t
retention_s(const struct batch *batch)
{
    return batch->world->batch.retention_s;
}

static void
scan_open_job(struct batch *batch, const struct platform_entry *entry)
{
    struct batch_job job;

    if (batch_job_parse(entry->value, &job)) {
        g_hash_table_add(batch->maintenance->files_in_use,
                         g_strdup(job.file_id));
    }
    batch_job_finish(&job);
}

static void
queue_shard_deletions(struct batch *batch, struct platform_kv *kv,
                      void *context)
{
    char *job_key = context;

    if (kv->status != PLATFORM_OK) {
        g_free(job_key);
        return;
    }
    for (guint i = 0; i < kv->entries->len; i++) {
        const struct platform_entry *entry = kv->entries->pdata[i];
        g_queue_push_tail(&batch->maintenance->deletions,
                          g_strdup(entry->key));
    }
    /* The job's own record is deleted last: if the deletions are interrupted,
     * the next scan finds it and continues. */
    g_queue_push_tail(&batch->maintenance->deletions, job_key);
}

static void
scan_ended_job(struct batch *batch, const struct platform_entry *entry)
{
    struct batch_job job;

    if (batch_job_parse(entry->value, &job) &&
        batch->maintenance->is_repairer &&
        job.ended_s + retention_s(batch) < batch_now_s()) {
        batch_kv_list(batch, g_strconcat(BATCH_SHARDS, job.id, "/", NULL),
                      NULL, 0,
                      (struct batch_kv_callback){queue_shard_deletions,
                                                 g_strdup(entry->key)});
    }
    batch_job_finish(&job);
}

static void
ignore_result(struct batch *batch, struct platform_kv *kv, void *context)
{
}

/* Marks a file past its retention time as deleted, so that no new job uses it.
 * Its record is removed DELETED_INTERVALS scan intervals later, when no open
 * job reads it. */
static void
expire_file(struct batch *batch, const struct platform_entry *entry,
            struct batch_file *file)
{
    int64_t now_s = batch_now_s();

    if (g_hash_table_contains(batch->maintenance->files_in_use, file->id)) {
        return;
    }
    if (file->deleted_s == 0 && file->created_s + retention_s(batch) < now_s) {
        file->deleted_s = now_s;
        batch_kv_put(batch, g_strdup(entry->key), batch_file_format(file),
                     entry->revision,
                     (struct batch_kv_callback){ignore_result, NULL});
    }
    else if (file->deleted_s != 0 &&
             (now_s - file->deleted_s) * 1000 >
                 batch->maintenance->interval_ms * DELETED_INTERVALS) {
        g_queue_push_tail(&batch->maintenance->deletions,
                          g_strdup(entry->key));
    }
}

static void
scan_file(struct batch *batch, const struct platform_entry *entry)
{
    struct record_repair *repairing = g_new0(struct record_repair, 1);

    repairing->pieces = g_ptr_array_new();
    repairing->is_file = true;
    if (!batch_file_parse(entry->value, &repairing->file)) {
        free_record_repair(repairing);
        return;
    }
    add_pieces(repairing, repairing->file.pieces);
    add_references(batch, repairing->pieces);
    g_strlcpy(repairing->region, repairing->file.region,
              sizeof(repairing->region));
    if (batch->maintenance->is_repairer) {
        expire_file(batch, entry, &repairing->file);
    }
    if (strcmp(repairing->region, batch_region(batch)) != 0) {
        free_record_repair(repairing);
        return;
    }
    queue_record_repair(batch, repairing, entry);
}

/* Returns whether a copy of the first piece is in this region.  A shard's
 * results stay in the region that has their copies, so only that region
 * repairs them. */
static bool
is_stored_in_region(const struct batch *batch, const GPtrArray *pieces)
{
    const struct batch_piece *first =
        pieces->len == 0 ? NULL : pieces->pdata[0];

    for (int i = 0; first != NULL && i < BULK_COPIES; i++) {
        int node = members_view_find(batch->view, first->chunk.holders[i]);
        int zone = node < 0 ? WORLD_NONE
                            : world_find_zone(batch->world,
                                              batch->view->nodes[node].zone);
        if (zone != WORLD_NONE &&
            strcmp(
                batch->world->regions[batch->world->zones[zone].region].name,
                batch_region(batch)) == 0) {
            return true;
        }
    }
    return false;
}

/* Collects the chunk references of a shard's record and queues its repair.
 * Only records of closed shards are repaired, since the record of an open
 * shard is written by its runner. */
static void
scan_shard(struct batch *batch, const struct platform_entry *entry)
{
    struct record_repair *repairing = g_new0(struct record_repair, 1);

    repairing->pieces = g_ptr_array_new();
    if (!batch_shard_parse(entry->value, &repairing->shard)) {
        free_record_repair(repairing);
        return;
    }
    add_pieces(repairing, repairing->shard.outputs);
    add_pieces(repairing, repairing->shard.errors);
    add_references(batch, repairing->pieces);
    g_strlcpy(repairing->region, batch_region(batch),
              sizeof(repairing->region));
    if (!repairing->shard.is_closed ||
        !is_stored_in_region(batch, repairing->pieces)) {
        free_record_repair(repairing);
        return;
    }
    queue_record_repair(batch, repairing, entry);
}

/* ---- scan ---- */

static void
on_sweep_done(struct bulk_sweep *sweep, void *task_state)
{
    struct batch *batch = task_state;

    batch->n_pending_calls--;
    bulk_sweep_free(sweep);
}

static int
compare_keys(const void *left, const void *right)
{
    uint64_t a = *(const uint64_t *)left;
    uint64_t b = *(const uint64_t *)right;
    return a < b ? -1 : a > b;
}

/* Ends the scan.  If it was complete and a sweep is due, starts the sweep. */
static void
end_scan(struct batch *batch, bool is_complete)
{
    struct batch_maintenance *maintenance = batch->maintenance;
    int64_t now_ms = base_clock_ms();

    if (is_complete && maintenance->is_sweeper) {
        struct bulk_sweep *sweep;
        g_array_sort(maintenance->referenced, compare_keys);
        sweep =
            bulk_sweep_new(maintenance->referenced, maintenance->orphan_age_s);
        batch->n_pending_calls++;
        bulk_sweep_send(batch->bulk, sweep, &batch->task, on_sweep_done);
        maintenance->next_sweep_ms =
            now_ms + maintenance->interval_ms * INTERVALS_PER_SWEEP;
    }
    g_array_unref(maintenance->referenced);
    maintenance->referenced = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    g_hash_table_remove_all(maintenance->files_in_use);
    g_clear_pointer(&maintenance->last_key, g_free);
    maintenance->stage = SCAN_IDLE;
    maintenance->next_ms = now_ms + maintenance->interval_ms;
}

static void
on_page_read_done(struct batch *batch, struct platform_kv *kv, void *context)
{
    static void (*const SCAN_RECORD[])(struct batch *,
                                       const struct platform_entry *) = {
        [SCAN_JOBS] = scan_open_job,
        [SCAN_ENDED] = scan_ended_job,
        [SCAN_FILES] = scan_file,
        [SCAN_SHARDS] = scan_shard,
    };
    struct batch_maintenance *maintenance = batch->maintenance;
    guint n_entries = kv->entries->len;

    maintenance->is_reading_page = false;
    if (kv->status != PLATFORM_OK || batch->world == NULL) {
        end_scan(batch, false);
        return;
    }
    for (guint i = 0; i < n_entries; i++) {
        SCAN_RECORD[maintenance->stage](batch, kv->entries->pdata[i]);
    }
    g_clear_pointer(&maintenance->last_key, g_free);
    if (kv->has_more && n_entries > 0) {
        const struct platform_entry *last = kv->entries->pdata[n_entries - 1];
        maintenance->last_key = g_strdup(last->key);
    }
    else if (maintenance->stage == SCAN_SHARDS) {
        end_scan(batch, true);
    }
    else {
        maintenance->stage++;
    }
}

static void
read_page(struct batch *batch, int64_t now_ms)
{
    static const char *const PREFIXES[] = {
        [SCAN_JOBS] = BATCH_JOBS,
        [SCAN_ENDED] = BATCH_ENDED,
        [SCAN_FILES] = BATCH_FILES,
        [SCAN_SHARDS] = BATCH_SHARDS,
    };
    struct batch_maintenance *maintenance = batch->maintenance;

    maintenance->is_reading_page = true;
    maintenance->next_ms = now_ms + maintenance->interval_ms / PAGE_DIVISOR;
    batch_kv_list(batch, g_strdup(PREFIXES[maintenance->stage]),
                  maintenance->last_key, PAGE_RECORDS,
                  (struct batch_kv_callback){on_page_read_done, NULL});
}

/* Continues the repairs and deletions that the last page caused.  Returns
 * false if there are none. */
static bool
run_pending_work(struct batch *batch, int64_t now_ms)
{
    struct batch_maintenance *maintenance = batch->maintenance;

    if (maintenance->repairing != NULL) {
        return true;
    }
    maintenance->repairing = g_queue_pop_head(&maintenance->repairs);
    if (maintenance->repairing != NULL) {
        repair_next(batch);
        return true;
    }
    if (maintenance->deletions.length == 0) {
        return false;
    }
    if (batch_take_write_token(batch, now_ms, 1)) {
        char *key = g_queue_pop_head(&maintenance->deletions);
        base_counter_add(maintenance->n_expired, 1);
        batch_kv_delete(batch, key, PLATFORM_ANY,
                        (struct batch_kv_callback){ignore_result, NULL});
    }
    return true;
}

/* Runs the maintenance that is due.  Called on each tick of the task. */
void
batch_maintenance_tick(struct batch *batch, int64_t now_ms)
{
    struct batch_maintenance *maintenance = batch->maintenance;

    if (batch->world == NULL || batch->view == NULL) {
        return;
    }
    track_disk_hosts(batch, now_ms);
    if (run_pending_work(batch, now_ms) || maintenance->is_reading_page ||
        now_ms < maintenance->next_ms) {
        return;
    }
    if (maintenance->stage == SCAN_IDLE) {
        maintenance->is_repairer =
            batch->is_runner && batch_runner_rank(batch) == 0;
        maintenance->is_sweeper =
            has_disk(batch) && now_ms >= maintenance->next_sweep_ms;
        if (!maintenance->is_repairer && !maintenance->is_sweeper) {
            maintenance->next_ms =
                now_ms + maintenance->interval_ms / FIRST_SCAN_DIVISOR;
            return;
        }
        maintenance->stage = SCAN_JOBS;
    }
    read_page(batch, now_ms);
}
