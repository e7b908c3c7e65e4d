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
    if (kv->status == PLATFORM_UNAVAILABLE) {
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
