#include "bulk/bulk_private.h"

#include <stdlib.h>
#include <string.h>

/* Adds the bytes for the time since the last call; a bucket is full with the
 * bytes of one second. */
static void
refill_budget(struct bulk_budget *budget, int64_t now_ms)
{
    int64_t elapsed = MIN(now_ms - budget->last_refill_ms, 1000);

    budget->credit += budget->bytes_per_s * elapsed / 1000;
    budget->credit = MIN(budget->credit, budget->bytes_per_s);
    budget->last_refill_ms = now_ms;
}

/* ---- repair ---- */

static void
on_repair_store_done(void *context, const struct bulk_chunk *chunk,
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

struct repair_fetch {
    struct bulk *bulk;
    struct bulk_repair *repair;
};

static void
on_repair_fetch_done(void *context, GBytes *bytes,
                     const struct base_error *err)
{
    struct repair_fetch *fetch = context;
    struct bulk_repair *repair = fetch->repair;
    struct bulk *bulk = fetch->bulk;

    g_free(fetch);
    if (bytes == NULL) {
        repair->err = *err;
        base_call_reply(&repair->call);
        return;
    }
    base_counter_add(bulk->n_repaired, 1);
    bulk_store(bulk, &(struct bulk_store_desc){
                         .bytes = bytes,
                         .region = repair->region,
                         .is_result = true,
                         .existing = &repair->chunk,
                         .stored = on_repair_store_done,
                         .context = repair,
                     });
}

static int
count_good_replicas(const struct bulk *bulk, const struct bulk_chunk *chunk)
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
    while (bulk->repair_budget.credit > 0 && bulk->repairs.length > 0) {
        struct bulk_repair *repair = g_queue_pop_head(&bulk->repairs);
        struct repair_fetch *fetch;
        if (count_good_replicas(bulk, &repair->chunk) == BULK_COPIES ||
            !bulk_can_add_copy(bulk, &repair->chunk, repair->region)) {
            repair->is_ok = true;
            base_call_reply(&repair->call);
            continue;
        }
        bulk->repair_budget.credit -= repair->chunk.size;
        fetch = g_new0(struct repair_fetch, 1);
        fetch->bulk = bulk;
        fetch->repair = repair;
        bulk_fetch(bulk, &repair->chunk, on_repair_fetch_done, fetch);
    }
}

/* ---- scrub ---- */

static void
on_scrub_read_done(struct disk_op *op, void *task_state)
{
    struct bulk *bulk = op->context;

    bulk->is_scrubbing = false;
    if (op->bytes != NULL) {
        bulk->scrub_budget.credit -= (int64_t)g_bytes_get_size(op->bytes);
    }
    if (op->err.code == BASE_CORRUPT) {
        bulk_heal(bulk, op->name);
    }
}

static void
on_scrub_list_done(struct disk_op *op, void *task_state)
{
    struct bulk *bulk = op->context;

    bulk->is_scrubbing = false;
    bulk->scrub_next = 0;
    bulk->scrub_names = g_ptr_array_ref(op->names);
}

/* Starts the next read of the scrub, which verifies the checksums of all
 * local chunks in repeated cycles, at a limited rate. */
static void
scrub(struct bulk *bulk, int64_t now_ms)
{
    if (!bulk->has_disk || bulk->is_scrubbing ||
        bulk->scrub_budget.credit <= 0) {
        return;
    }
    if (bulk->scrub_names != NULL &&
        bulk->scrub_next == bulk->scrub_names->len) {
        g_ptr_array_unref(bulk->scrub_names);
        bulk->scrub_names = NULL;
        bulk->scrub_due_ms = now_ms + BULK_SCRUB_INTERVAL_S * INT64_C(1000);
    }
    if (bulk->scrub_names == NULL && now_ms < bulk->scrub_due_ms) {
        return;
    }
    bulk->is_scrubbing = true;
    if (bulk->scrub_names == NULL) {
        disk_send(&bulk->disk, disk_op_new(DISK_LIST, ""), on_scrub_list_done,
                  bulk);
        return;
    }
    disk_send(
        &bulk->disk,
        disk_op_new(DISK_READ, bulk->scrub_names->pdata[bulk->scrub_next++]),
        on_scrub_read_done, bulk);
}

/* Starts the repairs and the scrub reads that the byte budgets allow. */
void
bulk_maintenance_tick(struct bulk *bulk, int64_t now_ms)
{
    refill_budget(&bulk->repair_budget, now_ms);
    refill_budget(&bulk->scrub_budget, now_ms);
    start_repairs(bulk);
    scrub(bulk, now_ms);
}

/* Fails the waiting repairs and frees the state of the scrub. */
void
bulk_maintenance_finish(struct bulk *bulk)
{
    struct bulk_repair *repair;

    while ((repair = g_queue_pop_head(&bulk->repairs)) != NULL) {
        base_error_set(&repair->err, BASE_UNAVAILABLE,
                       "the bulk task has stopped");
        base_call_reply(&repair->call);
    }
    if (bulk->scrub_names != NULL) {
        g_ptr_array_unref(bulk->scrub_names);
    }
}

/* ---- sweep ---- */

struct sweep_op {
    struct bulk *bulk;
    struct bulk_sweep *sweep;
    int n_waiting; /* removals under way, and the listing */
};

static void
end_sweep_step(struct sweep_op *sweep_op)
{
    if (--sweep_op->n_waiting > 0) {
        return;
    }
    base_log(BASE_LOG_INFO, "bulk.swept", "kept=%d removed=%d",
             sweep_op->sweep->n_retained, sweep_op->sweep->n_removed);
    base_call_reply(&sweep_op->sweep->call);
    g_free(sweep_op);
}

static void
on_removal_done(struct disk_op *op, void *task_state)
{
    struct sweep_op *sweep_op = op->context;

    if (op->err.code == BASE_OK) {
        sweep_op->sweep->n_removed++;
        base_counter_add(sweep_op->bulk->n_removed, 1);
    }
    end_sweep_step(sweep_op);
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
on_sweep_list_done(struct disk_op *op, void *task_state)
{
    struct sweep_op *sweep_op = op->context;
    struct bulk_sweep *sweep = sweep_op->sweep;

    for (guint i = 0; i < op->names->len; i++) {
        const char *name = op->names->pdata[i];
        struct disk_op *removal;
        if (is_referenced(sweep, name)) {
            sweep->n_retained++;
            continue;
        }
        removal = disk_op_new(DISK_REMOVE_OLD, name);
        removal->min_age_s = sweep->min_age_s;
        sweep_op->n_waiting++;
        disk_send(&sweep_op->bulk->disk, removal, on_removal_done, sweep_op);
    }
    end_sweep_step(sweep_op);
}

/* Serves a bulk_sweep; runs on the bulk task. */
void
bulk_serve_sweep(struct base_call *call, void *state)
{
    struct bulk *bulk = state;
    struct bulk_sweep *sweep = (struct bulk_sweep *)call;
    struct sweep_op *sweep_op;
    struct disk_op *list;

    if (!bulk->has_disk) {
        base_call_reply(call);
        return;
    }
    sweep_op = g_new0(struct sweep_op, 1);
    sweep_op->bulk = bulk;
    sweep_op->sweep = sweep;
    sweep_op->n_waiting = 1;
    list = disk_op_new(DISK_LIST, "");
    list->min_age_s = sweep->min_age_s;
    disk_send(&bulk->disk, list, on_sweep_list_done, sweep_op);
}
