#include "bulk/bulk_private.h"

#include <stdlib.h>
#include <string.h>

/* Adds what came free since the last call, at most a second's worth. */
static void
fill_pace(struct bulk_pace *pace, int64_t now_ms)
{
    int64_t elapsed = MIN(now_ms - pace->filled_ms, 1000);

    pace->credit += pace->bytes_per_s * elapsed / 1000;
    pace->credit = MIN(pace->credit, pace->bytes_per_s);
    pace->filled_ms = now_ms;
}

/* ---- repair ---- */

static void
repair_stored(void *context, const struct bulk_chunk *chunk,
              const struct base_error *err)
{
    struct bulk_repair *repair = context;

    repair->is_ok = err->code == BASE_OK;
    repair->err = *err;
    if (repair->is_ok) {
        repair->is_changed = memcmp(repair->chunk.holders, chunk->holders,
                                    sizeof(chunk->holders)) != 0;
        memcpy(repair->chunk.holders, chunk->holders, sizeof(chunk->holders));
    }
    base_call_reply(&repair->call);
}

struct repair_read {
    struct bulk *bulk;
    struct bulk_repair *repair;
};

static void
repair_fetched(void *context, GBytes *bytes, const struct base_error *err)
{
    struct repair_read *read = context;
    struct bulk_repair *repair = read->repair;
    struct bulk *bulk = read->bulk;

    g_free(read);
    if (bytes == NULL) {
        repair->err = *err;
        base_call_reply(&repair->call);
        return;
    }
    base_counter_add(bulk->n_repaired, 1);
    bulk_store(bulk, &(struct bulk_storing_desc){
                         .bytes = bytes,
                         .region = repair->region,
                         .is_result = true,
                         .held = &repair->chunk,
                         .stored = repair_stored,
                         .context = repair,
                     });
}

static int
count_good_holders(const struct bulk *bulk, const struct bulk_chunk *chunk)
{
    int n_good = 0;

    for (int i = 0; i < BULK_COPIES; i++) {
        int node = chunk->holders[i][0] == '\0' || bulk->view == NULL
                       ? -1
                       : members_view_find(bulk->view, chunk->holders[i]);
        n_good += node >= 0 && members_accepts_work(&bulk->view->nodes[node]);
    }
    return n_good;
}

static void
start_repairs(struct bulk *bulk)
{
    while (bulk->repair_pace.credit > 0 && bulk->repairs.length > 0) {
        struct bulk_repair *repair = g_queue_pop_head(&bulk->repairs);
        struct repair_read *read;
        if (count_good_holders(bulk, &repair->chunk) == BULK_COPIES ||
            !bulk_can_add_copy(bulk, &repair->chunk, repair->region)) {
            repair->is_ok = true;
            base_call_reply(&repair->call);
            continue;
        }
        bulk->repair_pace.credit -= repair->chunk.size;
        read = g_new0(struct repair_read, 1);
        read->bulk = bulk;
        read->repair = repair;
        bulk_fetch(bulk, &repair->chunk, repair_fetched, read);
    }
}

/* ---- scrub ---- */

static void
scrub_read(struct disk_op *op, void *task_state)
{
    struct bulk *bulk = op->context;

    bulk->is_scrubbing = false;
    if (op->bytes != NULL) {
        bulk->scrub_pace.credit -= (int64_t)g_bytes_get_size(op->bytes);
    }
    if (op->err.code == BASE_CORRUPT) {
        bulk_heal(bulk, op->name);
    }
}

static void
scrub_listed(struct disk_op *op, void *task_state)
{
    struct bulk *bulk = op->context;

    bulk->is_scrubbing = false;
    bulk->scrub_next = 0;
    bulk->scrub_names = g_ptr_array_ref(op->names);
}

/* Reads one chunk after the other, at a bounded rate, round after round. */
static void
scrub(struct bulk *bulk, int64_t now_ms)
{
    if (!bulk->has_disk || bulk->is_scrubbing ||
        bulk->scrub_pace.credit <= 0) {
        return;
    }
    if (bulk->scrub_names != NULL &&
        bulk->scrub_next == bulk->scrub_names->len) {
        g_ptr_array_unref(bulk->scrub_names);
        bulk->scrub_names = NULL;
        bulk->scrub_due_ms = now_ms + BULK_SCRUB_ROUND_S * INT64_C(1000);
    }
    if (bulk->scrub_names == NULL && now_ms < bulk->scrub_due_ms) {
        return;
    }
    bulk->is_scrubbing = true;
    if (bulk->scrub_names == NULL) {
        disk_send(&bulk->disk, disk_op_new(DISK_LIST, ""), scrub_listed, bulk);
        return;
    }
    disk_send(
        &bulk->disk,
        disk_op_new(DISK_READ, bulk->scrub_names->pdata[bulk->scrub_next++]),
        scrub_read, bulk);
}

/* Does the repairs and the scrubbing that the paces allow by now. */
void
bulk_maintenance_tick(struct bulk *bulk, int64_t now_ms)
{
    fill_pace(&bulk->repair_pace, now_ms);
    fill_pace(&bulk->scrub_pace, now_ms);
    start_repairs(bulk);
    scrub(bulk, now_ms);
}

/* Gives back what is waiting. */
void
bulk_maintenance_finish(struct bulk *bulk)
{
    struct bulk_repair *repair;

    while ((repair = g_queue_pop_head(&bulk->repairs)) != NULL) {
        base_error_set(&repair->err, BASE_UNAVAILABLE, "stopped");
        base_call_reply(&repair->call);
    }
    if (bulk->scrub_names != NULL) {
        g_ptr_array_unref(bulk->scrub_names);
    }
}

/* ---- sweep ---- */

struct sweeping {
    struct bulk *bulk;
    struct bulk_sweep *sweep;
    int n_waiting;
};

static void
end_removal(struct sweeping *sweeping)
{
    if (--sweeping->n_waiting > 0) {
        return;
    }
    base_log(BASE_LOG_INFO, "bulk.swept", "kept=%d removed=%d",
             sweeping->sweep->n_kept, sweeping->sweep->n_removed);
    base_call_reply(&sweeping->sweep->call);
    g_free(sweeping);
}

static void
sweep_removed(struct disk_op *op, void *task_state)
{
    struct sweeping *sweeping = op->context;

    if (op->err.code == BASE_OK) {
        sweeping->sweep->n_removed++;
        base_counter_add(sweeping->bulk->n_removed, 1);
    }
    end_removal(sweeping);
}

static int
compare_keys(const void *left, const void *right)
{
    uint64_t a = *(const uint64_t *)left;
    uint64_t b = *(const uint64_t *)right;
    return a < b ? -1 : a > b;
}

static bool
is_referenced(const struct bulk_sweep *sweep, const char *name)
{
    uint64_t key = bulk_name_key(name);
    return sweep->referenced->len > 0 &&
           bsearch(&key, sweep->referenced->data, sweep->referenced->len,
                   sizeof(key), compare_keys) != NULL;
}

static void
sweep_listed(struct disk_op *op, void *task_state)
{
    struct sweeping *sweeping = op->context;
    struct bulk_sweep *sweep = sweeping->sweep;

    for (guint i = 0; i < op->names->len; i++) {
        const char *name = op->names->pdata[i];
        struct disk_op *removal;
        if (is_referenced(sweep, name)) {
            sweep->n_kept++;
            continue;
        }
        removal = disk_op_new(DISK_REMOVE_OLD, name);
        removal->min_age_s = sweep->min_age_s;
        sweeping->n_waiting++;
        disk_send(&sweeping->bulk->disk, removal, sweep_removed, sweeping);
    }
    end_removal(sweeping);
}

/* Serves a bulk_sweep on the bulk task. */
void
bulk_serve_sweep(struct base_call *call, void *state)
{
    struct bulk *bulk = state;
    struct bulk_sweep *sweep = (struct bulk_sweep *)call;
    struct sweeping *sweeping;
    struct disk_op *list;

    if (!bulk->has_disk) {
        base_call_reply(call);
        return;
    }
    sweeping = g_new0(struct sweeping, 1);
    sweeping->bulk = bulk;
    sweeping->sweep = sweep;
    sweeping->n_waiting = 1;
    list = disk_op_new(DISK_LIST, "");
    list->min_age_s = sweep->min_age_s;
    disk_send(&bulk->disk, list, sweep_listed, sweeping);
}
