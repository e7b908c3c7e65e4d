#include "jobs/jobs_private.h"

#include <string.h>

/* A call under way; it counts, so that the task does not end before. */
struct pending_call {
    struct jobs *jobs;
    struct jobs_kv_callback next;
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
    call->next.answered(jobs, kv, call->next.context);
    g_free(call);
    platform_kv_free(kv);
}

/* Sends a call to the key-value service; next->answered runs on the jobs
 * task, and the answer is freed after it. */
void
jobs_kv_send(struct jobs *jobs, struct platform_kv *kv,
             struct jobs_kv_callback next)
{
    struct pending_call *call = g_new0(struct pending_call, 1);

    call->jobs = jobs;
    call->next = next;
    kv->context = call;
    jobs->n_calls++;
    platform_kv_send(jobs->platform, kv, &jobs->task, on_kv_done);
}

/* The entry of a key in an answer, or NULL. */
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
