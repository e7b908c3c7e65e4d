#include "jobs/jobs_private.h"

#include <string.h>

/* A pending call to the key-value service.  The task counts these in n_calls
 * and waits for them when it stops. */
struct pending_call {
    struct jobs *jobs;
    struct jobs_kv_callback callback;
};

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
    g_free(call);
    platform_kv_free(kv);
}

/* Sends a call to the key-value service and takes ownership of kv.
 * callback.on_done runs on the jobs task; kv is freed after it returns. */
void
jobs_kv_send(struct jobs *jobs, struct platform_kv *kv,
             struct jobs_kv_callback callback)
{
    struct pending_call *call = g_new0(struct pending_call, 1);

    call->jobs = jobs;
    call->callback = callback;
    kv->context = call;
    jobs->n_calls++;
    platform_kv_send(jobs->platform, kv, &jobs->task, on_kv_done);
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
