#include "batch/batch_private.h"

/* Calls to the key-value service and to bulk.  Each is counted until its reply
 * arrives, so that batch_stop can wait for all of them. */

struct kv_call {
    struct batch_kv_callback callback;
};

struct put_call {
    struct batch_put_callback callback;
};

struct get_call {
    struct batch_get_callback callback;
};

static void
on_kv_done(struct platform_kv *kv, void *task_state)
{
    struct batch *batch = task_state;
    struct kv_call *call = kv->context;

    batch->n_pending_calls--;
    if (kv->status == PLATFORM_UNAVAILABLE) {
        batch->last_kv_failure_ms = base_clock_ms();
    }
    call->callback.on_done(batch, kv, call->callback.context);
    g_free(call);
    platform_kv_free(kv);
}

/* Sends a call to the key-value service.  Takes over `kv`, which is freed
 * after the callback. */
void
batch_kv(struct batch *batch, struct platform_kv *kv,
         struct batch_kv_callback callback)
{
    struct kv_call *call = g_new0(struct kv_call, 1);
    bool is_read = kv->op == PLATFORM_GET || kv->op == PLATFORM_LIST;

    call->callback = callback;
    kv->context = call;
    batch->n_pending_calls++;
    base_counter_add(is_read ? batch->n_kv_reads : batch->n_kv_writes, 1);
    platform_kv_send(batch->platform, kv, &batch->task, on_kv_done);
}

/* Reads one record.  Frees `key`. */
void
batch_kv_get(struct batch *batch, char *key, struct batch_kv_callback callback)
{
    batch_kv(batch, platform_kv_new(PLATFORM_GET, key), callback);
    g_free(key);
}

/* Reads the records whose keys begin with `prefix`, at most `limit` (0: all),
 * from the first key after `after` (NULL: from the first).  Frees `prefix`. */
void
batch_kv_list(struct batch *batch, char *prefix, const char *after,
              int64_t limit, struct batch_kv_callback callback)
{
    struct platform_kv *kv = platform_kv_new(PLATFORM_LIST, prefix);

    kv->limit = limit;
    kv->after = g_strdup(after);
    batch_kv(batch, kv, callback);
    g_free(prefix);
}

/* Writes a record if its revision is `expect_revision`.  Frees `key` and takes
 * over the reference to `value`. */
void
batch_kv_put(struct batch *batch, char *key, GBytes *value,
             int64_t expect_revision, struct batch_kv_callback callback)
{
    struct platform_kv *kv = platform_kv_new(PLATFORM_PUT_IF, key);

    kv->value = value;
    kv->expect_revision = expect_revision;
    batch_kv(batch, kv, callback);
    g_free(key);
}

/* Deletes a record if its revision is `expect_revision`.  Frees `key`. */
void
batch_kv_delete(struct batch *batch, char *key, int64_t expect_revision,
                struct batch_kv_callback callback)
{
    struct platform_kv *kv = platform_kv_new(PLATFORM_DELETE_IF, key);

    kv->expect_revision = expect_revision;
    batch_kv(batch, kv, callback);
    g_free(key);
}

static void
on_bulk_put_done(struct bulk_put *put, void *task_state)
{
    struct batch *batch = task_state;
    struct put_call *call = put->context;

    batch->n_pending_calls--;
    call->callback.on_done(batch, put, call->callback.context);
    g_free(call);
    bulk_put_free(put);
}

/* Stores a chunk in the region.  Takes over the reference to `bytes`. */
void
batch_put(struct batch *batch, GBytes *bytes, const char *region,
          bool is_result, struct batch_put_callback callback)
{
    struct put_call *call = g_new0(struct put_call, 1);
    struct bulk_put *put = bulk_put_new(bytes, region);

    g_bytes_unref(bytes);
    call->callback = callback;
    put->context = call;
    put->is_result = is_result;
    batch->n_pending_calls++;
    bulk_put_send(batch->bulk, put, &batch->task, on_bulk_put_done);
}

static void
on_bulk_get_done(struct bulk_get *get, void *task_state)
{
    struct batch *batch = task_state;
    struct get_call *call = get->context;

    batch->n_pending_calls--;
    call->callback.on_done(batch, get, call->callback.context);
    g_free(call);
    bulk_get_free(get);
}

/* Reads a chunk from bulk. */
void
batch_get(struct batch *batch, const struct bulk_chunk *chunk,
          struct batch_get_callback callback)
{
    struct get_call *call = g_new0(struct get_call, 1);
    struct bulk_get *get = bulk_get_new(chunk);

    call->callback = callback;
    get->context = call;
    batch->n_pending_calls++;
    bulk_get_send(batch->bulk, get, &batch->task, on_bulk_get_done);
}

/* Returns the region of this node, or "" while there is no configuration. */
const char *
batch_region(const struct batch *batch)
{
    int zone = batch->world == NULL
                   ? WORLD_NONE
                   : world_find_zone(batch->world, batch->zone);

    if (zone == WORLD_NONE) {
        return "";
    }
    return batch->world->regions[batch->world->zones[zone].region].name;
}

/* Returns the wall-clock time in seconds. */
int64_t
batch_now_s(void)
{
    return base_wall_ms() / 1000;
}

/* Takes one write from the node's token bucket.  Returns false, and takes
 * none, if fewer than `reserve` writes would be left; these are reserved for
 * more important writes. */
bool
batch_take_write_token(struct batch *batch, int64_t now_ms, int reserve)
{
    double elapsed_s = (double)(now_ms - batch->last_refill_ms) / 1000.0;

    batch->last_refill_ms = now_ms;
    batch->write_credit += elapsed_s * BATCH_KV_WRITES_PER_S;
    batch->write_credit =
        MIN(batch->write_credit, (double)BATCH_KV_WRITES_BURST);
    if (batch->write_credit < 1.0 + reserve) {
        return false;
    }
    batch->write_credit -= 1.0;
    return true;
}
