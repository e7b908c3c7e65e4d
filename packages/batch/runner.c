#include "batch/batch_private.h"

#include <string.h>

/* Each runner holds one lease of the key-value service.  Its runner key, which
 * is written under that lease, contains the claim id of its process.  Once a
 * claim id is no longer in any runner key, other runners may claim the shards
 * whose records name it. */
enum {
    DEFAULT_LEASE_S = 5,
    LEASE_RETRY_MS = 500,
    READ_RUNNERS_MS = 1000,
    TAKEOVER_DELAY_MS = 900, /* time from the first read without a runner's key
                                to the claim of its shards */
    JOB_CHECK_MS = 200,      /* minimum time between checks of jobs */
    IDLE_LEASE_MS = 30000,   /* time without work after which the lease is no
                                longer renewed */
    /* Another shard is claimed when fewer unstarted items are left than this
     * node starts in UNSTARTED_S seconds at its recent rate, within bounds. */
    UNSTARTED_S = 2,
    MIN_UNSTARTED = 256,
    MAX_UNSTARTED = 8192,
};

static int64_t
lease_ms(const struct batch *batch)
{
    int64_t lease_s = batch->world == NULL ? 0 : batch->world->batch.lease_s;
    return (lease_s > 0 ? lease_s : DEFAULT_LEASE_S) * 1000;
}

/* Returns whether this node's lease is valid, by a clock that also counts the
 * time while the process is paused.  To be called immediately before an action
 * that needs the lease. */
bool
batch_has_lease(const struct batch *batch)
{
    return batch->is_registered && base_clock_ms() < batch->lease_until_ms;
}

/* ---- the lease ---- */

static void
drop_lease(struct batch *batch, int64_t now_ms)
{
    batch->lease = 0;
    batch->entry_revision = PLATFORM_ABSENT; /* it ends with the lease */
    batch->is_registered = false;
    batch->lease_next_ms = now_ms;
}

static void
on_register_done(struct batch *batch, struct platform_kv *kv, void *context)
{
    batch->is_lease_requested = false;
    batch->entry_revision =
        platform_kv_revision_after(kv, kv->key, batch->entry_revision);
    if (kv->status == PLATFORM_OK) {
        batch->is_registered = true;
        batch->lease_next_ms = base_clock_ms() + lease_ms(batch) / 2;
    }
    else if (kv->status == PLATFORM_LEASE_EXPIRED) {
        drop_lease(batch, base_clock_ms());
    }
    else if (kv->status == PLATFORM_CONFLICT &&
             batch->entry_revision != kv->expect_revision) {
        /* The entry of an earlier process of this node, or of an earlier write
         * without a reply. */
        batch->lease_next_ms = base_clock_ms();
    }
}

/* Writes the runner's key under the lease.  Conditional on its last known
 * revision: a write that the store does late must not bind the key to an
 * earlier lease, or name an earlier process. */
static void
register_runner(struct batch *batch)
{
    char *key = g_strconcat(BATCH_RUNNERS, batch->node, NULL);
    struct platform_kv *kv = platform_kv_new(PLATFORM_PUT_IF, key);

    kv->value = g_bytes_new(batch->claim, strlen(batch->claim));
    kv->expect_revision = batch->entry_revision;
    kv->lease = batch->lease;
    batch->is_lease_requested = true;
    batch_kv(batch, kv, (struct batch_kv_callback){on_register_done, NULL});
    g_free(key);
}

/* Updates the lease.  Its term is counted from the time of the request, since
 * the service may have granted it at any time after that. */
static void
on_lease_done(struct batch *batch, struct platform_kv *kv, void *context)
{
    int64_t *requested_ms = context;

    batch->is_lease_requested = false;
    if (kv->status == PLATFORM_OK) {
        batch->lease = kv->lease;
        batch->lease_until_ms = *requested_ms + lease_ms(batch);
        batch->lease_next_ms = *requested_ms + lease_ms(batch) / 2;
        if (!batch->is_registered) {
            register_runner(batch);
        }
    }
    else if (kv->status == PLATFORM_LEASE_EXPIRED) {
        base_log(BASE_LOG_WARNING, "batch.lease_lapsed", "lease=%lld",
                 (long long)batch->lease);
        drop_lease(batch, base_clock_ms());
    }
    g_free(requested_ms);
}

static void
request_lease(struct batch *batch, int64_t now_ms)
{
    enum platform_op op =
        batch->lease == 0 ? PLATFORM_LEASE_GRANT : PLATFORM_LEASE_KEEP;
    struct platform_kv *kv = platform_kv_new(op, "");
    int64_t *requested_ms = g_new(int64_t, 1);

    *requested_ms = now_ms;
    if (op == PLATFORM_LEASE_KEEP) {
        /* Only a renewal sends a lease id; the key-value service chooses
         * the id of a new lease. */
        kv->lease = batch->lease;
    }
    kv->ttl_ms = lease_ms(batch);
    batch->is_lease_requested = true;
    batch->lease_next_ms = now_ms + LEASE_RETRY_MS;
    batch_kv(batch, kv,
             (struct batch_kv_callback){on_lease_done, requested_ms});
}

static void
maintain_lease(struct batch *batch, int64_t now_ms)
{
    bool is_wanted = g_hash_table_size(batch->open_jobs) > 0 ||
                     batch->runs->len > 0 || batch->n_claiming > 0;

    if (is_wanted) {
        batch->lease_last_needed_ms = now_ms;
    }
    if (batch->is_lease_requested || now_ms < batch->lease_next_ms ||
        now_ms - batch->lease_last_needed_ms > IDLE_LEASE_MS) {
        return;
    }
    if (batch->lease != 0 && !batch->is_registered) {
        batch->lease_next_ms = now_ms + LEASE_RETRY_MS;
        register_runner(batch);
        return;
    }
    request_lease(batch, now_ms);
}

/* ---- live runners ---- */

static void
update_missing_claims(struct batch *batch, int64_t now_ms)
{
    GHashTableIter iter;
    gpointer claim;
    GHashTable *live = g_hash_table_new(g_str_hash, g_str_equal);

    g_hash_table_iter_init(&iter, batch->runners);
    while (g_hash_table_iter_next(&iter, NULL, &claim)) {
        g_hash_table_add(live, claim);
        g_hash_table_remove(batch->missing_since, claim);
    }
    g_hash_table_iter_init(&iter, batch->claims_seen);
    while (g_hash_table_iter_next(&iter, &claim, NULL)) {
        if (!g_hash_table_contains(live, claim) &&
            !g_hash_table_contains(batch->missing_since, claim)) {
            g_hash_table_insert(batch->missing_since, g_strdup(claim),
                                g_memdup2(&now_ms, sizeof(now_ms)));
            /* The shards of the missing runner may soon be claimable. */
            batch->has_missing_runner = true;
        }
    }
    g_hash_table_unref(live);
}

static void
on_runners_read_done(struct batch *batch, struct platform_kv *kv,
                     void *context)
{
    int64_t now_ms = base_clock_ms();

    batch->is_reading_runners = false;
    if (kv->status != PLATFORM_OK) {
        return;
    }
    g_hash_table_remove_all(batch->runners);
    for (guint i = 0; i < kv->entries->len; i++) {
        const struct platform_entry *entry = kv->entries->pdata[i];
        gsize size;
        const char *claim = g_bytes_get_data(entry->value, &size);
        g_hash_table_insert(batch->runners,
                            g_strdup(entry->key + strlen(BATCH_RUNNERS)),
                            g_strndup(claim, size));
    }
    batch->last_runners_read_ms = now_ms;
    update_missing_claims(batch, now_ms);
}

static void
read_runners(struct batch *batch, int64_t now_ms)
{
    if (batch->is_reading_runners || now_ms < batch->next_runners_read_ms ||
        g_hash_table_size(batch->open_jobs) == 0) {
        return;
    }
    batch->next_runners_read_ms = now_ms + READ_RUNNERS_MS;
    batch->is_reading_runners = true;
    batch_kv_list(batch, g_strdup(BATCH_RUNNERS), NULL, 0,
                  (struct batch_kv_callback){on_runners_read_done, NULL});
}

/* Returns whether this process runs the shard. */
static bool
holds_shard(const struct batch *batch, const char *job_id, int number)
{
    for (guint i = 0; i < batch->runs->len; i++) {
        const struct batch_run *run = batch->runs->pdata[i];
        if (!run->is_dead && run->number == number &&
            strcmp(run->job.id, job_id) == 0) {
            return true;
        }
    }
    return false;
}

/* Returns whether the runner of a shard counts as alive; if so, the shard must
 * not be claimed.  For two lease terms after an outage of the key-value
 * service, all other runners count as alive: their leases may have expired
 * during the outage, and they need time to register again. */
bool
batch_is_runner_alive(struct batch *batch, const char *job_id, int number,
                      const struct batch_shard *shard)
{
    int64_t now_ms = base_clock_ms();
    int64_t *missing_since_ms;

    if (strcmp(shard->runner, batch->node) == 0 &&
        strcmp(shard->claim, batch->claim) != 0) {
        return false; /* claimed by an earlier process of this node */
    }
    if (strcmp(shard->claim, batch->claim) == 0) {
        return batch->n_claiming > 0 || holds_shard(batch, job_id, number);
    }
    if (!g_hash_table_contains(batch->claims_seen, shard->claim)) {
        g_hash_table_add(batch->claims_seen, g_strdup(shard->claim));
        update_missing_claims(batch, now_ms);
    }
    if (batch->last_kv_failure_ms != 0 &&
        now_ms - batch->last_kv_failure_ms < 2 * lease_ms(batch)) {
        return true;
    }
    missing_since_ms = g_hash_table_lookup(batch->missing_since, shard->claim);
    return missing_since_ms == NULL || batch->last_runners_read_ms == 0 ||
           batch->last_runners_read_ms - *missing_since_ms < TAKEOVER_DELAY_MS;
}

/* ---- shards held ---- */

/* Returns how many items of this node's shards have not been started. */
static int
count_unstarted(const struct batch *batch)
{
    int n_items = 0;

    for (guint i = 0; i < batch->runs->len; i++) {
        n_items += batch_run_count_unstarted(batch->runs->pdata[i]);
    }
    return n_items;
}

/* Returns the number of unstarted items below which another shard is
 * claimed. */
static int
unstarted_items_target(struct batch *batch)
{
    double wanted = UNSTARTED_S * batch_item_start_rate(batch);

    return (int)CLAMP(wanted, MIN_UNSTARTED, MAX_UNSTARTED);
}

static void
remove_dead_runs(struct batch *batch)
{
    for (guint i = batch->runs->len; i-- > 0;) {
        struct batch_run *run = batch->runs->pdata[i];
        if (run->is_dead) {
            g_ptr_array_remove_index_fast(batch->runs, i);
            batch_run_unref(run);
        }
    }
}

static void
check_next_job(struct batch *batch, int64_t now_ms)
{
    bool has_room = batch->runs->len + (guint)batch->n_claiming <
                        BATCH_MAX_ACTIVE_SHARDS &&
                    batch->n_claiming == 0 &&
                    count_unstarted(batch) < unstarted_items_target(batch) &&
                    !g_atomic_int_get(&batch->is_draining);
    struct batch_open_job *job;

    if (now_ms < batch->next_check_ms || !batch_has_lease(batch) ||
        batch->last_runners_read_ms == 0) {
        return;
    }
    if (batch->has_missing_runner) {
        batch->has_missing_runner = false;
        batch_open_jobs_recheck(batch, now_ms + TAKEOVER_DELAY_MS);
    }
    job = batch_open_jobs_choose(batch, now_ms, has_room);
    if (job != NULL) {
        batch->next_check_ms = now_ms + JOB_CHECK_MS;
        batch_check_job(batch, job, has_room);
    }
}

/* Renews the lease, starts the next check of a job, which may claim a shard,
 * and advances the runs of claimed shards. */
void
batch_runner_tick(struct batch *batch, int64_t now_ms)
{
    if (!batch->is_runner) {
        return;
    }
    maintain_lease(batch, now_ms);
    read_runners(batch, now_ms);
    check_next_job(batch, now_ms);
    for (guint i = 0; i < batch->runs->len; i++) {
        batch_run_tick(batch->runs->pdata[i], now_ms);
    }
    remove_dead_runs(batch);
    base_counter_set(batch->shards_gauge, batch->runs->len);
    base_counter_set(batch->running_gauge, batch->running.length);
}

/* Abandons all runs; the records stay as they were committed. */
void
batch_runner_finish(struct batch *batch)
{
    for (guint i = 0; i < batch->runs->len; i++) {
        batch_run_abandon(batch->runs->pdata[i]);
    }
    remove_dead_runs(batch);
}
