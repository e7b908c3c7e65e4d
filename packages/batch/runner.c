#include "batch/batch_private.h"

#include <string.h>

/* A runner holds one lease, and its key under that lease names the claim of
 * this process.  A shard whose claim is no longer among the runners' keys may
 * be claimed by another. */
enum {
    DEFAULT_LEASE_S = 5,
    LEASE_RETRY_MS = 500,
    READ_RUNNERS_MS = 1000,
    MISSING_FOR_MS = 900, /* seen gone for so long before a takeover */
    JOB_CHECK_MS = 200,   /* between looks at jobs */
    IDLE_LEASE_MS = 30000,
    /* Items not started yet, below which another shard is claimed: those of
     * so many seconds at the pace of late, within bounds. */
    AHEAD_S = 2,
    MIN_AHEAD = 256,
    MAX_AHEAD = 8192,
};

static int64_t
lease_ms(const struct batch *batch)
{
    int64_t lease_s = batch->world == NULL ? 0 : batch->world->batch.lease_s;
    return (lease_s > 0 ? lease_s : DEFAULT_LEASE_S) * 1000;
}

/* Whether this node's lease holds, by a clock that goes on in a pause.  It
 * is asked right before what the lease protects. */
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
    batch->is_registered = false;
    batch->lease_next_ms = now_ms;
}

static void
registered(struct batch *batch, struct platform_kv *kv, void *context)
{
    batch->is_lease_asked = false;
    if (kv->status == PLATFORM_OK) {
        batch->is_registered = true;
        batch->lease_next_ms = base_clock_ms() + lease_ms(batch) / 2;
    }
    else if (kv->status == PLATFORM_LEASE_EXPIRED) {
        drop_lease(batch, base_clock_ms());
    }
}

static void
register_runner(struct batch *batch)
{
    char *key = g_strconcat(BATCH_RUNNERS, batch->node, NULL);
    struct platform_kv *kv = platform_kv_new(PLATFORM_PUT_IF, key);

    kv->value = g_bytes_new(batch->claim, strlen(batch->claim));
    kv->expect_revision = PLATFORM_ANY;
    kv->lease = batch->lease;
    batch->is_lease_asked = true;
    batch_kv(batch, kv, (struct batch_kv_callback){registered, NULL});
    g_free(key);
}

/* The lease counts from when it was asked for, not from the answer. */
static void
lease_answered(struct batch *batch, struct platform_kv *kv, void *context)
{
    int64_t *asked_ms = context;

    batch->is_lease_asked = false;
    if (kv->status == PLATFORM_OK) {
        batch->lease = kv->lease;
        batch->lease_until_ms = *asked_ms + lease_ms(batch);
        batch->lease_next_ms = *asked_ms + lease_ms(batch) / 2;
        if (!batch->is_registered) {
            register_runner(batch);
        }
    }
    else if (kv->status == PLATFORM_LEASE_EXPIRED) {
        base_log(BASE_LOG_WARNING, "batch.lease_lapsed", "lease=%lld",
                 (long long)batch->lease);
        drop_lease(batch, base_clock_ms());
    }
    g_free(asked_ms);
}

static void
ask_lease(struct batch *batch, int64_t now_ms)
{
    enum platform_op op =
        batch->lease == 0 ? PLATFORM_LEASE_GRANT : PLATFORM_LEASE_KEEP;
    struct platform_kv *kv = platform_kv_new(op, "");
    int64_t *asked_ms = g_new(int64_t, 1);

    *asked_ms = now_ms;
    if (op == PLATFORM_LEASE_KEEP) {
        kv->lease = batch->lease; /* a grant chooses its own */
    }
    kv->ttl_ms = lease_ms(batch);
    batch->is_lease_asked = true;
    batch->lease_next_ms = now_ms + LEASE_RETRY_MS;
    batch_kv(batch, kv, (struct batch_kv_callback){lease_answered, asked_ms});
}

static void
tick_lease(struct batch *batch, int64_t now_ms)
{
    bool is_wanted = g_hash_table_size(batch->open_jobs) > 0 ||
                     batch->runs->len > 0 || batch->n_claiming > 0;

    if (is_wanted) {
        batch->wanted_ms = now_ms;
    }
    if (batch->is_lease_asked || now_ms < batch->lease_next_ms ||
        now_ms - batch->wanted_ms > IDLE_LEASE_MS) {
        return;
    }
    if (batch->lease != 0 && !batch->is_registered) {
        batch->lease_next_ms = now_ms + LEASE_RETRY_MS;
        register_runner(batch);
        return;
    }
    ask_lease(batch, now_ms);
}

/* ---- who runs ---- */

static void
note_missing_runner(struct batch *batch, int64_t now_ms)
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
            /* Its shards may be there to be claimed soon. */
            batch->has_missing_runner = true;
        }
    }
    g_hash_table_unref(live);
}

static void
runners_read(struct batch *batch, struct platform_kv *kv, void *context)
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
    batch->runners_read_ms = now_ms;
    note_missing_runner(batch, now_ms);
}

static void
tick_runners(struct batch *batch, int64_t now_ms)
{
    if (batch->is_reading_runners || now_ms < batch->runners_ms ||
        g_hash_table_size(batch->open_jobs) == 0) {
        return;
    }
    batch->runners_ms = now_ms + READ_RUNNERS_MS;
    batch->is_reading_runners = true;
    batch_kv_list(batch, g_strdup(BATCH_RUNNERS), NULL, 0,
                  (struct batch_kv_callback){runners_read, NULL});
}

/* Whether this process holds the shard. */
static bool
holds(const struct batch *batch, const char *job_id, int number)
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

/* Whether the runner of a shard must be left its shard.  After an outage of
 * the key-value service every lease has lapsed, and the runners get the time
 * to come back. */
bool
batch_is_runner_alive(struct batch *batch, const char *job_id, int number,
                      const struct batch_shard *shard)
{
    int64_t now_ms = base_clock_ms();
    int64_t *gone_ms;

    if (strcmp(shard->runner, batch->node) == 0 &&
        strcmp(shard->claim, batch->claim) != 0) {
        return false; /* of an earlier process of this node */
    }
    if (strcmp(shard->claim, batch->claim) == 0) {
        return batch->n_claiming > 0 || holds(batch, job_id, number);
    }
    if (!g_hash_table_contains(batch->claims_seen, shard->claim)) {
        g_hash_table_add(batch->claims_seen, g_strdup(shard->claim));
        note_missing_runner(batch, now_ms);
    }
    if (batch->kv_failed_ms != 0 &&
        now_ms - batch->kv_failed_ms < 2 * lease_ms(batch)) {
        return true;
    }
    gone_ms = g_hash_table_lookup(batch->missing_since, shard->claim);
    return gone_ms == NULL || batch->runners_read_ms == 0 ||
           batch->runners_read_ms - *gone_ms < MISSING_FOR_MS;
}

/* ---- shards held ---- */

/* Items held that have not been started. */
static int
count_unstarted(const struct batch *batch)
{
    int n_items = 0;

    for (guint i = 0; i < batch->runs->len; i++) {
        n_items += batch_run_unstarted(batch->runs->pdata[i]);
    }
    return n_items;
}

static int
items_ahead(struct batch *batch)
{
    double wanted = AHEAD_S * batch_items_per_s(batch);

    return (int)CLAMP(wanted, MIN_AHEAD, MAX_AHEAD);
}

static void
forget_dead_runs(struct batch *batch)
{
    for (guint i = batch->runs->len; i-- > 0;) {
        struct batch_run *run = batch->runs->pdata[i];
        if (run->is_dead) {
            g_ptr_array_remove_index_fast(batch->runs, i);
            batch_unref_run(run);
        }
    }
}

static void
look(struct batch *batch, int64_t now_ms)
{
    bool has_room = batch->runs->len + (guint)batch->n_claiming <
                        BATCH_MAX_ACTIVE_SHARDS &&
                    batch->n_claiming == 0 &&
                    count_unstarted(batch) < items_ahead(batch) &&
                    !g_atomic_int_get(&batch->is_draining);
    struct batch_open_job *job;

    if (now_ms < batch->check_ms || !batch_has_lease(batch) ||
        batch->runners_read_ms == 0) {
        return;
    }
    if (batch->has_missing_runner) {
        batch->has_missing_runner = false;
        batch_open_jobs_recheck(batch, now_ms + MISSING_FOR_MS);
    }
    job = batch_open_jobs_choose(batch, now_ms, has_room);
    if (job != NULL) {
        batch->check_ms = now_ms + JOB_CHECK_MS;
        batch_check_job(batch, job, has_room);
    }
}

/* Keeps the lease, looks for shards, and moves the shards held. */
void
batch_runner_tick(struct batch *batch, int64_t now_ms)
{
    if (!batch->is_runner) {
        return;
    }
    tick_lease(batch, now_ms);
    tick_runners(batch, now_ms);
    look(batch, now_ms);
    for (guint i = 0; i < batch->runs->len; i++) {
        batch_run_tick(batch->runs->pdata[i], now_ms);
    }
    forget_dead_runs(batch);
    base_counter_set(batch->shards_gauge, batch->runs->len);
    base_counter_set(batch->running_gauge, batch->running.length);
}

/* Frees what is held; the records stay as they were committed. */
void
batch_runner_finish(struct batch *batch)
{
    for (guint i = 0; i < batch->runs->len; i++) {
        batch_run_lose(batch->runs->pdata[i]);
    }
    forget_dead_runs(batch);
}
