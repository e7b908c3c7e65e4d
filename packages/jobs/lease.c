#include "jobs/jobs_private.h"

#include <string.h>

enum {
    RENEWALS_PER_LEASE = 3, /* renewals within the duration of a lease */
    LEASE_RETRY_MS = 300,   /* after a call that failed */
};

/* Returns whether this node is certainly the runner of its jobs: no other node
 * claims them while the lease is valid. */
bool
jobs_holds_lease(const struct jobs *jobs)
{
    return jobs->is_registered && base_clock_ms() < jobs->lease_until_ms;
}

static void
lose_lease(struct jobs *jobs)
{
    if (jobs->lease_id != 0) {
        base_log(BASE_LOG_NOTICE, "jobs.lease_lost", "runner=%s",
                 jobs->runner);
    }
    jobs->lease_id = 0;
    jobs->is_registered = false;
    jobs->has_announced_leaving = false;
    jobs->lease_until_ms = 0;
}

/* Returns whether the runner's entry is missing or has an outdated state. */
static bool
needs_registration(const struct jobs *jobs)
{
    return !jobs->is_registered ||
           jobs->is_leaving != jobs->has_announced_leaving;
}

static void
on_registered(struct jobs *jobs, struct platform_kv *kv, void *context)
{
    jobs->is_leasing = false;
    jobs->next_lease_call_ms = base_clock_ms() + LEASE_RETRY_MS;
    if (kv->status == PLATFORM_OK) {
        jobs->is_registered = true;
        jobs->has_announced_leaving = jobs->is_announcing_leaving;
        jobs->next_lease_call_ms =
            base_clock_ms() + jobs->lease_ms / RENEWALS_PER_LEASE;
        base_log(BASE_LOG_NOTICE, "jobs.registered",
                 "runner=%s leaving=%d lease=%" G_GINT64_FORMAT, jobs->runner,
                 jobs->has_announced_leaving, jobs->lease_id);
        jobs_scan_soon(jobs);
    }
    else if (kv->status == PLATFORM_LEASE_EXPIRED) {
        lose_lease(jobs);
    }
}

static void
register_runner(struct jobs *jobs)
{
    const char *state =
        jobs->is_leaving ? JOBS_RUNNER_LEAVING : JOBS_RUNNER_READY;
    char *key = g_strconcat(JOBS_NODE_PREFIX, jobs->runner, NULL);
    struct platform_kv *kv = platform_kv_new(PLATFORM_PUT_IF, key);

    kv->expect_revision = PLATFORM_ANY;
    kv->lease = jobs->lease_id;
    kv->value = g_bytes_new_static(state, strlen(state));
    g_free(key);
    jobs->is_announcing_leaving = jobs->is_leaving;
    jobs->is_leasing = true;
    jobs_kv_send(jobs, kv, (struct jobs_kv_callback){on_registered, NULL});
}

static void
on_lease_reply(struct jobs *jobs, struct platform_kv *kv, void *context)
{
    int64_t lease_ttl_ms = kv->ttl_ms;

    jobs->is_leasing = false;
    jobs->next_lease_call_ms = base_clock_ms() + LEASE_RETRY_MS;
    if (kv->status == PLATFORM_LEASE_EXPIRED) {
        lose_lease(jobs);
        return;
    }
    if (kv->status != PLATFORM_OK) {
        return;
    }
    jobs->lease_id = kv->lease;
    jobs->lease_until_ms = kv->sent_ms + lease_ttl_ms;
    jobs->next_lease_call_ms = kv->sent_ms + lease_ttl_ms / RENEWALS_PER_LEASE;
    if (needs_registration(jobs)) {
        register_runner(jobs);
    }
}

/* Acquires or renews the lease and registers the runner under it.  The lease
 * may be lost at any time, for instance when the store is unavailable. */
void
jobs_lease_tick(struct jobs *jobs, int64_t now_ms)
{
    struct platform_kv *kv;

    if (!jobs->is_leaving && g_atomic_int_get(&jobs->is_draining)) {
        jobs->is_leaving = true;
        jobs->next_lease_call_ms = 0;
    }
    if (jobs->is_leasing || now_ms < jobs->next_lease_call_ms) {
        return;
    }
    if (jobs->lease_id != 0 && needs_registration(jobs) &&
        now_ms < jobs->lease_until_ms) {
        register_runner(jobs);
        return;
    }
    if (jobs->lease_id != 0 && now_ms >= jobs->lease_until_ms) {
        lose_lease(jobs);
    }
    kv = platform_kv_new(jobs->lease_id == 0 ? PLATFORM_LEASE_GRANT
                                             : PLATFORM_LEASE_KEEP,
                         NULL);
    if (jobs->lease_id != 0) {
        kv->lease = jobs->lease_id;
    }
    kv->ttl_ms = jobs->lease_ms;
    jobs->is_leasing = true;
    jobs_kv_send(jobs, kv, (struct jobs_kv_callback){on_lease_reply, NULL});
}
