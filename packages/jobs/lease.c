#include "jobs/jobs_private.h"

#include <string.h>

enum {
    RENEWALS_PER_LEASE = 3, /* renewals within the duration of a lease */
    LEASE_RETRY_MS = 300,   /* after a call that failed */
    /* A node without open jobs keeps its lease for this long, since the next
     * job would cost two calls for a new one. */
    IDLE_LEASE_MS = 10000,
    LEASE_WAIT_MS = 2000, /* longest wait of a claim */
    /* Without its lease a runner goes on sending items for this long: most
     * outages of the key-value service are shorter, and other nodes cannot
     * claim its jobs meanwhile. */
    SEND_WITHOUT_LEASE_MS = 10000,
};

/* Returns whether this node is certainly the runner of its confirmed jobs: no
 * other node claims them while the lease is valid. */
bool
jobs_holds_lease(const struct jobs *jobs)
{
    return jobs->is_registered && base_clock_ms() < jobs->lease_until_ms;
}

/* Returns whether a head that this node has read or written is certainly still
 * so, if it names this node: no lease has been lost since `lease_epoch`, when
 * the call was sent, so that no other node can have claimed the job. */
bool
jobs_is_certain(const struct jobs *jobs, int lease_epoch)
{
    return jobs_holds_lease(jobs) && jobs->lease_epoch == lease_epoch;
}

/* Returns whether items of this node's jobs may be sent to servers. */
bool
jobs_may_send(const struct jobs *jobs)
{
    return jobs_holds_lease(jobs) ||
           base_clock_ms() < jobs->lease_missing_ms + SEND_WITHOUT_LEASE_MS;
}

/* ---- waits for the lease ---- */

static void
end_waits(struct jobs *jobs, bool is_held, int64_t now_ms)
{
    GQueue waits = jobs->lease_waits;

    g_queue_init(&jobs->lease_waits);
    for (GList *at = waits.head; at != NULL; at = at->next) {
        struct jobs_lease_wait *wait = at->data;
        if (is_held || now_ms >= wait->until_ms) {
            wait->on_lease(jobs, wait->context, is_held);
            g_free(wait);
        }
        else {
            g_queue_push_tail(&jobs->lease_waits, wait);
        }
    }
    g_queue_clear(&waits);
}

/* Calls on_lease once the node holds its lease, or with is_held false when it
 * cannot get it within LEASE_WAIT_MS; possibly before this returns. */
void
jobs_with_lease(struct jobs *jobs,
                void (*on_lease)(struct jobs *jobs, void *context,
                                 bool is_held),
                void *context)
{
    struct jobs_lease_wait *wait;

    if (jobs_holds_lease(jobs)) {
        on_lease(jobs, context, true);
        return;
    }
    wait = g_new0(struct jobs_lease_wait, 1);
    wait->on_lease = on_lease;
    wait->context = context;
    wait->until_ms = base_clock_ms() + LEASE_WAIT_MS;
    g_queue_push_tail(&jobs->lease_waits, wait);
    jobs_lease_tick(jobs, base_clock_ms());
}

/* Ends all waits because the task stops. */
void
jobs_lease_stop(struct jobs *jobs)
{
    end_waits(jobs, false, INT64_MAX);
}

/* ---- runs after the lease was lost ---- */

static void
set_unconfirmed(struct jobs *jobs)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, jobs->runs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct jobs_run *run = value;
        run->is_unconfirmed = !jobs_run_is_complete(run);
    }
}

static void
confirm_run(struct jobs *jobs, struct jobs_run *run,
            const struct platform_entry *entry)
{
    struct base_error err = {0};
    struct jobs_head head;

    if (!jobs_head_decode(run->head.id, entry->value, &head, &err)) {
        base_log_error("jobs.head_unreadable", &err, "id=%s", run->head.id);
        return;
    }
    jobs_run_update_head(run, &head, entry->revision);
    run->is_unconfirmed = false;
    jobs_head_finish(&head);
}

static void
on_heads(struct jobs *jobs, const struct platform_kv *page, void *context)
{
    (void)context;
    for (guint i = 0; i < page->entries->len &&
                      jobs_is_certain(jobs, jobs->confirming_epoch);
         i++) {
        const struct platform_entry *entry = page->entries->pdata[i];
        struct jobs_run *run = g_hash_table_lookup(
            jobs->runs, entry->key + strlen(JOBS_HEAD_PREFIX));
        if (run != NULL && run->is_unconfirmed) {
            confirm_run(jobs, run, entry);
        }
    }
}

/* Checks the runs that are still unconfirmed: their heads have been moved to
 * the ended jobs. */
static void
on_heads_end(struct jobs *jobs, const struct platform_kv *last, void *context)
{
    GList *runs = g_hash_table_get_values(jobs->runs);

    (void)context;
    jobs->is_confirming = false;
    for (GList *at = runs; at != NULL && last->status == PLATFORM_OK;
         at = at->next) {
        const struct jobs_run *run = at->data;
        struct jobs_check check = {.revision = INT64_MAX};
        if (run->is_unconfirmed &&
            jobs_is_certain(jobs, jobs->confirming_epoch)) {
            g_strlcpy(check.id, run->head.id, sizeof(check.id));
            jobs_check_head(jobs, &check);
        }
    }
    g_list_free(runs);
}

static bool
has_unconfirmed(const struct jobs *jobs)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, jobs->runs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (((const struct jobs_run *)value)->is_unconfirmed) {
            return true;
        }
    }
    return false;
}

/* Reads the heads of runs that another node may have claimed while this node
 * had no lease.  Only afterwards are their results served. */
static void
confirm_runs(struct jobs *jobs)
{
    static const struct jobs_pages_ops OPS = {on_heads, on_heads_end};

    if (jobs->is_confirming || !jobs_holds_lease(jobs) ||
        !has_unconfirmed(jobs)) {
        return;
    }
    jobs->is_confirming = true;
    jobs->confirming_epoch = jobs->lease_epoch;
    jobs_read_pages(jobs, JOBS_HEAD_PREFIX, &OPS, NULL);
}

/* ---- the lease ---- */

static void
lose_lease(struct jobs *jobs)
{
    if (jobs->lease_id != 0) {
        base_log(BASE_LOG_NOTICE, "jobs.lease_lost", "runner=%s wanted=%d",
                 jobs->runner, base_clock_ms() < jobs->lease_wanted_until_ms);
        jobs->lease_epoch++;
        set_unconfirmed(jobs);
    }
    jobs->lease_id = 0;
    jobs->entry_revision = PLATFORM_ABSENT; /* it ends with the lease */
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
    int64_t now_ms = base_clock_ms();

    jobs->is_leasing = false;
    jobs->next_lease_call_ms = now_ms + LEASE_RETRY_MS;
    jobs->entry_revision =
        platform_kv_revision_after(kv, kv->key, jobs->entry_revision);
    if (kv->status == PLATFORM_OK) {
        jobs->is_registered = true;
        jobs->has_announced_leaving = jobs->is_announcing_leaving;
        jobs->next_lease_call_ms =
            now_ms + jobs->lease_ms / RENEWALS_PER_LEASE;
        base_log(BASE_LOG_NOTICE, "jobs.registered",
                 "runner=%s leaving=%d lease=%" G_GINT64_FORMAT, jobs->runner,
                 jobs->has_announced_leaving, jobs->lease_id);
        confirm_runs(jobs);
        end_waits(jobs, jobs_holds_lease(jobs), now_ms);
    }
    else if (kv->status == PLATFORM_LEASE_EXPIRED) {
        lose_lease(jobs);
    }
    else if (kv->status == PLATFORM_CONFLICT &&
             jobs->entry_revision != kv->expect_revision) {
        /* An earlier write without a reply has taken effect, or the entry has
         * ended with its lease. */
        jobs->next_lease_call_ms = 0;
    }
}

/* Writes the runner's entry, which is bound to the lease.  Conditional on its
 * last known revision: a write that the store does late must not bind the
 * entry to an earlier lease, which may end, or undo a newer state. */
static void
register_runner(struct jobs *jobs)
{
    const char *state =
        jobs->is_leaving ? JOBS_RUNNER_LEAVING : JOBS_RUNNER_READY;
    char *key = g_strconcat(JOBS_NODE_PREFIX, jobs->runner, NULL);
    struct platform_kv *kv = platform_kv_new(PLATFORM_PUT_IF, key);

    kv->expect_revision = jobs->entry_revision;
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
        /* What waits is refused at once: the store does not answer. */
        end_waits(jobs, false, INT64_MAX);
        return;
    }
    jobs->lease_id = kv->lease;
    jobs->lease_until_ms = kv->sent_ms + lease_ttl_ms;
    jobs->next_lease_call_ms = kv->sent_ms + lease_ttl_ms / RENEWALS_PER_LEASE;
    if (needs_registration(jobs)) {
        register_runner(jobs);
    }
}

static bool
has_open_run(const struct jobs *jobs)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, jobs->runs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (!jobs_run_is_complete(value)) {
            return true;
        }
    }
    return false;
}

/* Returns whether a lease is needed now or soon: for an open job, for one that
 * is being accepted or claimed, and IDLE_LEASE_MS after the last of these. */
static bool
wants_lease(struct jobs *jobs, int64_t now_ms)
{
    if (jobs->lease_waits.length > 0 || has_open_run(jobs) ||
        g_hash_table_size(jobs->pending_ids) > 0) {
        jobs->lease_wanted_until_ms = now_ms + IDLE_LEASE_MS;
    }
    return now_ms < jobs->lease_wanted_until_ms;
}

static void
call_for_lease(struct jobs *jobs)
{
    struct platform_kv *kv = platform_kv_new(
        jobs->lease_id == 0 ? PLATFORM_LEASE_GRANT : PLATFORM_LEASE_KEEP,
        NULL);

    if (jobs->lease_id != 0) {
        kv->lease = jobs->lease_id;
    }
    kv->ttl_ms = jobs->lease_ms;
    jobs->is_leasing = true;
    jobs_kv_send(jobs, kv, (struct jobs_kv_callback){on_lease_reply, NULL});
}

/* Acquires or renews the lease while it is wanted, and registers the runner
 * under it.  The lease may be lost at any time, for instance when the store is
 * unavailable. */
void
jobs_lease_tick(struct jobs *jobs, int64_t now_ms)
{
    if (jobs_holds_lease(jobs) || !has_open_run(jobs)) {
        jobs->lease_missing_ms = now_ms;
    }
    if (!jobs->is_leaving && g_atomic_int_get(&jobs->is_draining)) {
        jobs->is_leaving = true;
        jobs->next_lease_call_ms = 0;
    }
    if (jobs->lease_id != 0 && now_ms >= jobs->lease_until_ms) {
        lose_lease(jobs);
    }
    confirm_runs(jobs);
    end_waits(jobs, false, now_ms);
    if (jobs->is_leasing || now_ms < jobs->next_lease_call_ms ||
        !wants_lease(jobs, now_ms)) {
        return;
    }
    if (jobs->lease_id != 0 && needs_registration(jobs)) {
        register_runner(jobs);
        return;
    }
    call_for_lease(jobs);
}
