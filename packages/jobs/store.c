#include "jobs/jobs_private.h"

#include <string.h>

/* A call to the key-value service.  The task counts these in n_calls and waits
 * for them when it stops.  The values of all calls at one time are bounded:
 * each is copied and encoded several times on its way.  Calls that find no
 * memory wait in the order of arrival; those without large values don't. */
struct pending_call {
    struct jobs *jobs;
    struct platform_kv *kv;
    int64_t bytes; /* of jobs->transfers */
    struct jobs_kv_callback callback;
};

enum { SMALL_BYTES = 16384 };

static void send_waiting(struct jobs *jobs);

static void
on_kv_done(struct platform_kv *kv, void *task_state)
{
    struct jobs *jobs = task_state;
    struct pending_call *call = kv->context;

    jobs->n_calls--;
    if (kv->status == PLATFORM_UNAVAILABLE ||
        kv->status == PLATFORM_REJECTED) {
        base_log(BASE_LOG_INFO, "jobs.store_failed",
                 "op=%d key=%s ran=%s error=\"%s\"", kv->op, kv->key,
                 base_verdict_name(kv->verdict), kv->err.text);
    }
    call->callback.on_done(jobs, kv, call->callback.context);
    platform_kv_free(kv);
    base_budget_give(&jobs->transfers, call->bytes);
    g_free(call);
    send_waiting(jobs);
}

static void
send_waiting(struct jobs *jobs)
{
    struct pending_call *call;

    while ((call = g_queue_peek_head(&jobs->waiting_calls)) != NULL &&
           base_budget_take(&jobs->transfers, call->bytes)) {
        g_queue_pop_head(&jobs->waiting_calls);
        platform_kv_send(jobs->platform, call->kv, &jobs->task, on_kv_done);
    }
}

static int64_t
written_bytes(const struct platform_kv *kv)
{
    int64_t bytes =
        kv->value != NULL ? (int64_t)g_bytes_get_size(kv->value) : 0;

    for (guint i = 0; kv->op == PLATFORM_TXN && i < kv->writes->len; i++) {
        const struct platform_write *write = kv->writes->pdata[i];
        bytes +=
            write->value != NULL ? (int64_t)g_bytes_get_size(write->value) : 0;
    }
    return bytes;
}

static void
send_call(struct jobs *jobs, struct platform_kv *kv, int64_t bytes,
          struct jobs_kv_callback callback)
{
    struct pending_call *call = g_new0(struct pending_call, 1);

    call->jobs = jobs;
    call->kv = kv;
    call->bytes = bytes > SMALL_BYTES ? bytes : 0;
    call->callback = callback;
    kv->context = call;
    jobs->n_calls++;
    if (call->bytes == 0) {
        platform_kv_send(jobs->platform, kv, &jobs->task, on_kv_done);
        return;
    }
    g_queue_push_tail(&jobs->waiting_calls, call);
    send_waiting(jobs);
}

/* Sends a read that returns about so many bytes, and takes ownership of kv.
 * callback.on_done runs on the jobs task; kv is freed after it returns. */
void
jobs_kv_read(struct jobs *jobs, struct platform_kv *kv, int64_t bytes,
             struct jobs_kv_callback callback)
{
    send_call(jobs, kv, bytes, callback);
}

/* Sends a write, or a read that returns little, in the same way. */
void
jobs_kv_send(struct jobs *jobs, struct platform_kv *kv,
             struct jobs_kv_callback callback)
{
    send_call(jobs, kv, written_bytes(kv), callback);
}

/* ---- heads ---- */

struct head_read {
    char *id;
    struct jobs_kv_callback callback;
};

static void
end_head_read(struct jobs *jobs, struct platform_kv *kv,
              struct head_read *read)
{
    read->callback.on_done(jobs, kv, read->callback.context);
    g_free(read->id);
    g_free(read);
}

static void
on_done_head(struct jobs *jobs, struct platform_kv *kv, void *context)
{
    end_head_read(jobs, kv, context);
}

static void
on_open_head(struct jobs *jobs, struct platform_kv *kv, void *context)
{
    struct head_read *read = context;
    char *key;

    if (kv->status != PLATFORM_OK || kv->entries->len > 0) {
        end_head_read(jobs, kv, read);
        return;
    }
    key = jobs_done_key(read->id);
    jobs_kv_send(jobs, platform_kv_new(PLATFORM_GET, key),
                 (struct jobs_kv_callback){on_done_head, read});
    g_free(key);
}

/* Reads the head of a job, whether it is open or has ended.  The reply has one
 * entry, or none if there is no such job.  A head moves once, from the open to
 * the ended jobs, so that reading in this order does not miss it. */
void
jobs_read_head(struct jobs *jobs, const char *id,
               struct jobs_kv_callback callback)
{
    struct head_read *read = g_new0(struct head_read, 1);
    char *key = jobs_head_key(id);

    read->id = g_strdup(id);
    read->callback = callback;
    jobs_kv_send(jobs, platform_kv_new(PLATFORM_GET, key),
                 (struct jobs_kv_callback){on_open_head, read});
    g_free(key);
}

/* Returns the entry of a job's head in a reply, or NULL. */
const struct platform_entry *
jobs_kv_find_head(const struct platform_kv *kv, const char *id)
{
    char *open_key = jobs_head_key(id);
    char *done_key = jobs_done_key(id);
    const struct platform_entry *entry = jobs_kv_find_entry(kv, open_key);

    if (entry == NULL) {
        entry = jobs_kv_find_entry(kv, done_key);
    }
    g_free(open_key);
    g_free(done_key);
    return entry;
}

/* Returns the entry of a key in a reply, or NULL. */
const struct platform_entry *
jobs_kv_find_entry(const struct platform_kv *kv, const char *key)
{
    for (guint i = 0; i < kv->entries->len; i++) {
        const struct platform_entry *entry = kv->entries->pdata[i];
        if (strcmp(entry->key, key) == 0) {
            return entry;
        }
    }
    return NULL;
}
