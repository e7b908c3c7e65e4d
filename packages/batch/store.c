#include "batch/batch_private.h"

/* Each call to another task is counted, so that batch_stop can wait until
 * all have come back. */

struct kv_call {
    struct batch_kv_callback next;
};

struct put_call {
    struct batch_put_callback next;
};

struct get_call {
    struct batch_get_callback next;
};

static void
kv_answered(struct platform_kv *kv, void *task_state)
{
    struct batch *batch = task_state;
    struct kv_call *call = kv->context;

    batch->n_outside--;
    if (kv->status == PLATFORM_UNAVAILABLE) {
        batch->kv_failed_ms = base_clock_ms();
    }
    call->next.answered(batch, kv, call->next.context);
    g_free(call);
    platform_kv_free(kv);
}

/* Sends a call to the key-value service. */
void
batch_kv(struct batch *batch, struct platform_kv *kv,
         struct batch_kv_callback next)
{
    struct kv_call *call = g_new0(struct kv_call, 1);
    bool is_read = kv->op == PLATFORM_GET || kv->op == PLATFORM_LIST;

    call->next = next;
    kv->context = call;
    batch->n_outside++;
    base_counter_add(is_read ? batch->n_kv_reads : batch->n_kv_writes, 1);
    platform_kv_send(batch->platform, kv, &batch->task, kv_answered);
}

/* Reads one record; takes the key. */
void
batch_kv_get(struct batch *batch, char *key, struct batch_kv_callback next)
{
    batch_kv(batch, platform_kv_new(PLATFORM_GET, key), next);
    g_free(key);
}

/* Reads the records below a prefix, which it takes, at most `limit` (0: all)
 * after the key `after` (NULL: from the first). */
void
batch_kv_list(struct batch *batch, char *prefix, const char *after,
              int64_t limit, struct batch_kv_callback next)
{
    struct platform_kv *kv = platform_kv_new(PLATFORM_LIST, prefix);

    kv->limit = limit;
    kv->after = g_strdup(after);
    batch_kv(batch, kv, next);
    g_free(prefix);
}

/* Writes a record by compare-and-swap; takes the key and the value. */
void
batch_kv_put(struct batch *batch, char *key, GBytes *value,
             int64_t expect_revision, struct batch_kv_callback next)
{
    struct platform_kv *kv = platform_kv_new(PLATFORM_PUT_IF, key);

    kv->value = value;
    kv->expect_revision = expect_revision;
    batch_kv(batch, kv, next);
    g_free(key);
}

/* Deletes a record by compare-and-swap; takes the key. */
void
batch_kv_delete(struct batch *batch, char *key, int64_t expect_revision,
                struct batch_kv_callback next)
{
    struct platform_kv *kv = platform_kv_new(PLATFORM_DELETE_IF, key);

    kv->expect_revision = expect_revision;
    batch_kv(batch, kv, next);
    g_free(key);
}

static void
put_answered(struct bulk_put *put, void *task_state)
{
    struct batch *batch = task_state;
    struct put_call *call = put->context;

    batch->n_outside--;
    call->next.answered(batch, put, call->next.context);
    g_free(call);
    bulk_put_free(put);
}

/* Stores a chunk; takes the bytes. */
void
batch_put(struct batch *batch, GBytes *bytes, const char *region,
          bool is_result, struct batch_put_callback next)
{
    struct put_call *call = g_new0(struct put_call, 1);
    struct bulk_put *put = bulk_put_new(bytes, region);

    g_bytes_unref(bytes);
    call->next = next;
    put->context = call;
    put->is_result = is_result;
    batch->n_outside++;
    bulk_put_send(batch->bulk, put, &batch->task, put_answered);
}

static void
get_answered(struct bulk_get *get, void *task_state)
{
    struct batch *batch = task_state;
    struct get_call *call = get->context;

    batch->n_outside--;
    call->next.answered(batch, get, call->next.context);
    g_free(call);
    bulk_get_free(get);
}

/* Reads a chunk. */
void
batch_get(struct batch *batch, const struct bulk_chunk *chunk,
          struct batch_get_callback next)
{
    struct get_call *call = g_new0(struct get_call, 1);
    struct bulk_get *get = bulk_get_new(chunk);

    call->next = next;
    get->context = call;
    batch->n_outside++;
    bulk_get_send(batch->bulk, get, &batch->task, get_answered);
}

/* The region of this node; empty while there is no configuration. */
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

/* Wall clock in seconds. */
int64_t
batch_now_s(void)
{
    return base_wall_ms() / 1000;
}

/* Takes one write of the node's budget, if that leaves `reserve` for writes
 * that matter more; false when it does not. */
bool
batch_take_write_token(struct batch *batch, int64_t now_ms, int reserve)
{
    double elapsed_s = (double)(now_ms - batch->write_ms) / 1000.0;

    batch->write_ms = now_ms;
    batch->write_credit += elapsed_s * BATCH_KV_WRITES_PER_S;
    batch->write_credit =
        MIN(batch->write_credit, (double)BATCH_KV_WRITES_BURST);
    if (batch->write_credit < 1.0 + reserve) {
        return false;
    }
    batch->write_credit -= 1.0;
    return true;
}
