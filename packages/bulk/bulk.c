#include "bulk/bulk_private.h"

#include <sodium.h>
#include <string.h>

/* ---- names ---- */

/* Writes the name of a chunk: a 128-bit BLAKE2b hash of its bytes in
 * hexadecimal. */
void
bulk_name_of(GBytes *bytes, char out[BULK_NAME_SIZE])
{
    uint8_t hash[crypto_generichash_BYTES_MIN];
    gsize size;
    const uint8_t *data = g_bytes_get_data(bytes, &size);

    crypto_generichash(hash, sizeof(hash), data, size, NULL, 0);
    sodium_bin2hex(out, BULK_NAME_SIZE, hash, sizeof(hash));
}

/* Returns the first 64 bits of a chunk's name as a number. */
uint64_t
bulk_name_key(const char *name)
{
    char digits[17];
    g_strlcpy(digits, name, sizeof(digits));
    return g_ascii_strtoull(digits, NULL, 16);
}

/* ---- calls ---- */

static void
on_put_store_done(void *context, const struct bulk_chunk *chunk,
                  const struct base_error *err)
{
    struct bulk_put *put = context;

    put->is_ok = err->code == BASE_OK;
    put->chunk = *chunk;
    put->err = *err;
    base_call_reply(&put->call);
}

static void
serve_put(struct base_call *call, void *state)
{
    struct bulk_put *put = (struct bulk_put *)call;

    bulk_store(state, &(struct bulk_store_desc){
                          .bytes = put->bytes,
                          .region = put->region,
                          .is_result = put->is_result,
                          .stored = on_put_store_done,
                          .context = put,
                      });
}

static void
put_done(struct base_call *call, void *state)
{
    struct bulk_put *put = (struct bulk_put *)call;
    put->answered(put, state);
}

static void
put_drop(struct base_call *call)
{
    bulk_put_free((struct bulk_put *)call);
}

static const struct base_call_ops PUT_OPS = {serve_put, put_done, put_drop};

/* Makes a request to store bytes in a region; takes a reference to them. */
struct bulk_put *
bulk_put_new(GBytes *bytes, const char *region)
{
    struct bulk_put *put = g_new0(struct bulk_put, 1);
    put->bytes = g_bytes_ref(bytes);
    g_strlcpy(put->region, region, sizeof(put->region));
    return put;
}

void
bulk_put_free(struct bulk_put *put)
{
    g_bytes_unref(put->bytes);
    g_free(put);
}

/* Sends a put.  `answered` runs on `from` and must free the put. */
void
bulk_put_send(struct bulk *bulk, struct bulk_put *put, struct base_task *from,
              void (*answered)(struct bulk_put *put, void *task_state))
{
    put->answered = answered;
    base_call_send(&put->call, &PUT_OPS, &bulk->task, from);
}

static void
on_get_fetch_done(void *context, GBytes *bytes, const struct base_error *err)
{
    struct bulk_get *get = context;

    get->is_ok = bytes != NULL;
    get->bytes = bytes == NULL ? NULL : g_bytes_ref(bytes);
    get->err = *err;
    base_call_reply(&get->call);
}

static void
serve_get(struct base_call *call, void *state)
{
    struct bulk_get *get = (struct bulk_get *)call;
    bulk_fetch(state, &get->chunk, on_get_fetch_done, get);
}

static void
get_done(struct base_call *call, void *state)
{
    struct bulk_get *get = (struct bulk_get *)call;
    get->answered(get, state);
}

static void
get_drop(struct base_call *call)
{
    bulk_get_free((struct bulk_get *)call);
}

static const struct base_call_ops GET_OPS = {serve_get, get_done, get_drop};

/* Makes a request for the bytes of a chunk. */
struct bulk_get *
bulk_get_new(const struct bulk_chunk *chunk)
{
    struct bulk_get *get = g_new0(struct bulk_get, 1);
    get->chunk = *chunk;
    return get;
}

void
bulk_get_free(struct bulk_get *get)
{
    if (get->bytes != NULL) {
        g_bytes_unref(get->bytes);
    }
    g_free(get);
}

/* Sends a get.  `answered` runs on `from` and must free the get. */
void
bulk_get_send(struct bulk *bulk, struct bulk_get *get, struct base_task *from,
              void (*answered)(struct bulk_get *get, void *task_state))
{
    get->answered = answered;
    base_call_send(&get->call, &GET_OPS, &bulk->task, from);
}

static void
serve_repair(struct base_call *call, void *state)
{
    struct bulk *bulk = state;
    g_queue_push_tail(&bulk->repairs, call);
}

static void
repair_done(struct base_call *call, void *state)
{
    struct bulk_repair *repair = (struct bulk_repair *)call;
    repair->answered(repair, state);
}

static void
repair_drop(struct base_call *call)
{
    bulk_repair_free((struct bulk_repair *)call);
}

static const struct base_call_ops REPAIR_OPS = {serve_repair, repair_done,
                                                repair_drop};

/* Makes a request to restore two copies of a chunk on live nodes of a
 * region. */
struct bulk_repair *
bulk_repair_new(const struct bulk_chunk *chunk, const char *region)
{
    struct bulk_repair *repair = g_new0(struct bulk_repair, 1);
    repair->chunk = *chunk;
    g_strlcpy(repair->region, region, sizeof(repair->region));
    return repair;
}

void
bulk_repair_free(struct bulk_repair *repair)
{
    g_free(repair);
}

/* Sends a repair.  `answered` runs on `from` and must free it. */
void
bulk_repair_send(struct bulk *bulk, struct bulk_repair *repair,
                 struct base_task *from,
                 void (*answered)(struct bulk_repair *repair,
                                  void *task_state))
{
    repair->answered = answered;
    base_call_send(&repair->call, &REPAIR_OPS, &bulk->task, from);
}

static void
sweep_done(struct base_call *call, void *state)
{
    struct bulk_sweep *sweep = (struct bulk_sweep *)call;
    sweep->answered(sweep, state);
}

static void
sweep_drop(struct base_call *call)
{
    bulk_sweep_free((struct bulk_sweep *)call);
}

static const struct base_call_ops SWEEP_OPS = {bulk_serve_sweep, sweep_done,
                                               sweep_drop};

/* Makes a request to remove unreferenced chunks; takes a reference to the
 * array. */
struct bulk_sweep *
bulk_sweep_new(GArray *referenced, int64_t min_age_s)
{
    struct bulk_sweep *sweep = g_new0(struct bulk_sweep, 1);
    sweep->referenced = g_array_ref(referenced);
    sweep->min_age_s = min_age_s;
    return sweep;
}

void
bulk_sweep_free(struct bulk_sweep *sweep)
{
    g_array_unref(sweep->referenced);
    g_free(sweep);
}

/* Sends a sweep.  `answered` runs on `from` and must free it. */
void
bulk_sweep_send(struct bulk *bulk, struct bulk_sweep *sweep,
                struct base_task *from,
                void (*answered)(struct bulk_sweep *sweep, void *task_state))
{
    sweep->answered = answered;
    base_call_send(&sweep->call, &SWEEP_OPS, &bulk->task, from);
}

/* ---- configuration and membership ---- */

struct bulk_change {
    struct base_call call;
    struct world *world;
    struct members_view *view;
};

static void
change_drop(struct base_call *call)
{
    struct bulk_change *change = (struct bulk_change *)call;

    if (change->world != NULL) {
        world_unref(change->world);
    }
    if (change->view != NULL) {
        members_view_unref(change->view);
    }
    g_free(change);
}

static void
serve_change(struct base_call *call, void *state)
{
    struct bulk *bulk = state;
    struct bulk_change *change = (struct bulk_change *)call;
    struct world *world = bulk->world;
    struct members_view *view = bulk->view;

    bulk->world = change->world;
    bulk->view = change->view;
    change->world = world;
    change->view = view;
    base_call_reply(call);
}

static const struct base_call_ops CHANGE_OPS = {serve_change, NULL,
                                                change_drop};

/* Sets the configuration and the membership, of which either may be NULL, and
 * takes references to them; any thread. */
void
bulk_update(struct bulk *bulk, struct world *world, struct members_view *view)
{
    struct bulk_change *change = g_new0(struct bulk_change, 1);

    change->world = world == NULL ? NULL : world_ref(world);
    change->view = view == NULL ? NULL : members_view_ref(view);
    base_call_send(&change->call, &CHANGE_OPS, &bulk->task, NULL);
}

/* ---- the task ---- */

static void
run_bulk(struct base_task *task)
{
    struct bulk *bulk = task->state;

    while (!base_task_is_stopping(task)) {
        int64_t now_ms = base_clock_ms();
        int wait_ms = wire_endpoint_service(&bulk->endpoint, now_ms);
        if (wait_ms < 0 || wait_ms > BULK_TICK_MS) {
            wait_ms = BULK_TICK_MS;
        }
        wire_endpoint_wait(&bulk->endpoint, task->wake_fd, wait_ms);
        base_task_clear_wake_fd(task);
        base_task_drain(task);
        bulk_maintenance_tick(bulk, base_clock_ms());
    }
}

static const struct base_task_ops TASK_OPS = {base_task_wake_fd, run_bulk};

static const char *
kind_name(uint32_t kind)
{
    static const char *const NAMES[] = {"bulk_store", "bulk_stored",
                                        "bulk_fetch", "bulk_fetched"};
    uint32_t index = kind - BULK_STORE;
    return index < G_N_ELEMENTS(NAMES) ? NAMES[index] : "other";
}

static void
name_counters(struct bulk *bulk, struct base_counters *counters)
{
    bulk->n_stored = base_counter(counters, "bulk_chunks_stored_total");
    bulk->n_single_copy = base_counter(counters, "bulk_single_copies_total");
    bulk->n_corrupt = base_counter(counters, "bulk_corrupt_chunks_total");
    bulk->n_healed = base_counter(counters, "bulk_healed_chunks_total");
    bulk->n_repaired = base_counter(counters, "bulk_repaired_chunks_total");
    bulk->n_removed = base_counter(counters, "bulk_removed_chunks_total");
    bulk->n_full = base_counter(counters, "bulk_full_refusals_total");
}

static bool
open_endpoint(struct bulk *bulk, const struct bulk_desc *desc,
              struct base_error *err)
{
    struct wire_endpoint_desc wire = {
        .node = bulk->node,
        .address = desc->address,
        .source = desc->source,
        .public_key_file = desc->public_key_file,
        .secret_key_file = desc->secret_key_file,
        .peer_keys_file = desc->peer_keys_file,
        .max_body_bytes = BULK_MAX_MESSAGE_BYTES,
        .counters = desc->counters,
        .kind_name = kind_name,
        .received = bulk_peer_received,
        .context = bulk,
    };
    return wire_endpoint_init(&bulk->endpoint, &wire, err);
}

/* Opens the data folder, if there is one, and starts the task.  Returns NULL
 * with the error set on failure. */
struct bulk *
bulk_start(const struct bulk_desc *desc, struct base_error *err)
{
    struct bulk *bulk = g_new0(struct bulk, 1);
    int64_t now_ms = base_clock_ms();

    g_strlcpy(bulk->node, desc->node, sizeof(bulk->node));
    bulk->has_disk = desc->folder != NULL;
    bulk->peer_timeout_ms = desc->peer_timeout_ms > 0 ? desc->peer_timeout_ms
                                                      : BULK_PEER_TIMEOUT_MS;
    bulk->repair_budget = (struct bulk_budget){desc->repair_bytes_per_s > 0
                                                   ? desc->repair_bytes_per_s
                                                   : BULK_REPAIR_BYTES_PER_S,
                                               0, now_ms};
    bulk->scrub_budget = (struct bulk_budget){desc->scrub_bytes_per_s > 0
                                                  ? desc->scrub_bytes_per_s
                                                  : BULK_SCRUB_BYTES_PER_S,
                                              0, now_ms};
    g_queue_init(&bulk->repairs);
    name_counters(bulk, desc->counters);
    if (!base_task_init(&bulk->task, "bulk", &TASK_OPS, bulk, err)) {
        g_free(bulk);
        return NULL;
    }
    if (!open_endpoint(bulk, desc, err) ||
        (bulk->has_disk && !disk_init(&bulk->disk, desc, &bulk->task, err)) ||
        !base_task_start(&bulk->task, err)) {
        bulk_stop(bulk);
        return NULL;
    }
    return bulk;
}

/* Returns the bound address, with the port that the system chose if
 * desc.address left it open. */
const char *
bulk_address(const struct bulk *bulk)
{
    return wire_endpoint_address(&bulk->endpoint);
}

/* Stops the task and frees it.  Calls under way are returned or dropped;
 * repairs that wait fail with BASE_UNAVAILABLE. */
void
bulk_stop(struct bulk *bulk)
{
    base_task_stop(&bulk->task);
    if (bulk->has_disk) {
        disk_finish(&bulk->disk);
    }
    base_task_drain(&bulk->task);
    bulk_maintenance_finish(bulk);
    wire_endpoint_finish(&bulk->endpoint);
    base_task_finish(&bulk->task);
    if (bulk->world != NULL) {
        world_unref(bulk->world);
    }
    if (bulk->view != NULL) {
        members_view_unref(bulk->view);
    }
    g_free(bulk);
}
