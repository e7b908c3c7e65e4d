#include "batch/batch_private.h"

#include <string.h>

/* A look at an open job: its shards are read, and then it is ended, marked
 * as expired, or one of its shards is claimed. */
enum {
    FIRST_WAIT_MS = 1000,
    MAX_WAIT_MS = 30000,
    CONFIRM_RETRY_MS = 500,
};

struct look {
    struct batch *batch;
    char *job_id;
    char *operator_name;
    bool has_room;
    /* a claim on its way */
    int number;
    struct batch_shard shard;
    int64_t revision;
    struct batch_job job; /* as confirmed */
    lws_sorted_usec_list_t timer;
};

static void
free_check(struct look *look)
{
    g_free(look->job_id);
    g_free(look->operator_name);
    batch_shard_finish(&look->shard);
    batch_job_finish(&look->job);
    g_free(look);
}

/* Ends the look; the job is looked at again after a while. */
static void
end_check(struct look *look, int64_t wait_ms)
{
    struct batch_open_job *job =
        g_hash_table_lookup(look->batch->open_jobs, look->job_id);

    if (job != NULL) {
        job->is_checking = false;
        job->check_ms = base_clock_ms() + wait_ms;
    }
    free_check(look);
}

/* Nothing was found to do: waits longer each time. */
static void
end_idle_check(struct look *look)
{
    struct batch_open_job *job =
        g_hash_table_lookup(look->batch->open_jobs, look->job_id);
    int64_t wait_ms = FIRST_WAIT_MS;

    if (job != NULL) {
        job->wait_ms = CLAMP(job->wait_ms * 2, FIRST_WAIT_MS, MAX_WAIT_MS);
        wait_ms = job->wait_ms + g_random_int_range(0, FIRST_WAIT_MS);
    }
    end_check(look, wait_ms);
}

/* ---- ending a job ---- */

static void
open_deleted(struct batch *batch, struct platform_kv *kv, void *context)
{
    struct look *look = context;

    if (kv->status == PLATFORM_UNAVAILABLE) {
        end_check(look, FIRST_WAIT_MS);
        return;
    }
    base_counter_add(batch->n_jobs_ended, 1);
    g_hash_table_remove(batch->open_jobs, look->job_id);
    free_check(look);
}

/* The ended record is there, ours or another runner's: the open one goes. */
static void
ended_written(struct batch *batch, struct platform_kv *kv, void *context)
{
    struct look *look = context;

    if (kv->status == PLATFORM_UNAVAILABLE) {
        end_check(look, FIRST_WAIT_MS);
        return;
    }
    if (kv->status == PLATFORM_OK) {
        base_log(BASE_LOG_INFO, "batch.job_ended",
                 "job=%s operator=%s completed=%d failed=%d cancelled=%d",
                 look->job_id, look->operator_name, look->job.counts.completed,
                 look->job.counts.failed, look->job.counts.cancelled);
    }
    batch_kv_delete(
        batch, batch_key(BATCH_JOBS, look->operator_name, look->job_id),
        PLATFORM_ANY, (struct batch_kv_callback){open_deleted, look});
}

/* What is neither completed nor failed was cancelled: shards that nobody
 * claimed have no record. */
static void
end_job(struct look *look, const struct batch_job_view *view)
{
    struct batch *batch = look->batch;

    batch_job_copy(&look->job, &view->job);
    look->job.counts = view->counts;
    look->job.counts.cancelled =
        view->job.n_items - view->counts.completed - view->counts.failed;
    look->job.ended_s = batch_now_s();
    batch_kv_put(batch,
                 batch_key(BATCH_ENDED, look->operator_name, look->job_id),
                 batch_job_format(&look->job), PLATFORM_ABSENT,
                 (struct batch_kv_callback){ended_written, look});
}

/* ---- stopping a late job ---- */

static void
expiry_written(struct batch *batch, struct platform_kv *kv, void *context)
{
    struct look *look = context;

    if (kv->status == PLATFORM_OK) {
        base_log(BASE_LOG_WARNING, "batch.job_expired", "job=%s operator=%s",
                 look->job_id, look->operator_name);
    }
    end_check(look, 0);
}

static void
expire_job(struct look *look, const struct batch_job_view *view)
{
    batch_job_copy(&look->job, &view->job);
    look->job.stop = BATCH_EXPIRED;
    look->job.stop_s = batch_now_s();
    batch_kv_put(look->batch,
                 batch_key(BATCH_JOBS, look->operator_name, look->job_id),
                 batch_job_format(&look->job), view->revision,
                 (struct batch_kv_callback){expiry_written, look});
}

/* ---- claiming ---- */

static void confirm_claim(struct look *look);

static void
confirm_again(lws_sorted_usec_list_t *timer)
{
    confirm_claim(lws_container_of(timer, struct look, timer));
}

/* The job's record as it is after the claim.  Whoever ended the job before
 * saw no claim, and whoever ends it later sees this one: so an item of a
 * stopped job is never begun. */
static void
claim_confirmed(struct batch *batch, struct platform_kv *kv, void *context)
{
    struct look *look = context;
    struct platform_entry *entry;

    if (kv->status != PLATFORM_OK) {
        if (batch->is_stopped) {
            batch->n_claiming--;
            end_check(look, 0);
            return;
        }
        lws_sul_schedule(batch->lws, 0, &look->timer, confirm_again,
                         CONFIRM_RETRY_MS * LWS_US_PER_MS);
        return;
    }
    batch->n_claiming--;
    entry = kv->entries->len == 0 ? NULL : kv->entries->pdata[0];
    if (entry != NULL && batch_job_parse(entry->value, &look->job)) {
        struct batch_run *run = batch_run_new(batch, &look->job, look->number,
                                              &look->shard, look->revision);
        g_ptr_array_add(batch->runs, run);
        base_log(BASE_LOG_INFO, "batch.shard_claimed",
                 "job=%s shard=%d epoch=%lld", look->job_id, look->number,
                 (long long)look->shard.epoch);
    }
    end_check(look, 0);
}

static void
confirm_claim(struct look *look)
{
    batch_kv_get(look->batch,
                 batch_key(BATCH_JOBS, look->operator_name, look->job_id),
                 (struct batch_kv_callback){claim_confirmed, look});
}

static void
claim_written(struct batch *batch, struct platform_kv *kv, void *context)
{
    struct look *look = context;

    if (kv->status != PLATFORM_OK) {
        batch->n_claiming--;
        end_check(look, kv->status == PLATFORM_CONFLICT ? 0 : FIRST_WAIT_MS);
        return;
    }
    base_counter_add(batch->n_claims, 1);
    base_counter_add(batch->n_takeovers, look->shard.epoch > 1);
    look->revision = kv->revision;
    confirm_claim(look);
}

static void
claim(struct look *look, const struct batch_job_view *view, int number)
{
    struct batch *batch = look->batch;
    const struct batch_shard *there = view->shards->pdata[number];
    int first = batch_job_first_item(&view->job, number);

    if (!batch_take_write_token(batch, base_clock_ms(), 0)) {
        end_check(look, BATCH_TICK_MS);
        return;
    }
    look->number = number;
    if (there == NULL) {
        batch_shard_init(&look->shard,
                         batch_job_first_item(&view->job, number + 1) - first);
    }
    else {
        batch_shard_copy(&look->shard, there);
    }
    batch_shard_claim(&look->shard, batch->node, batch->claim);
    batch->n_claiming++;
    batch_kv_put(batch, batch_shard_key(look->job_id, number),
                 batch_shard_format(&look->shard),
                 there == NULL ? PLATFORM_ABSENT
                               : (int64_t)view->revisions[number],
                 (struct batch_kv_callback){claim_written, look});
}

/* The shard to claim, or -1.  Nodes begin at different ones, so that they
 * don't meet at the first. */
static int
find_claimable(struct look *look, const struct batch_job_view *view)
{
    struct batch *batch = look->batch;
    uint64_t start =
        base_hash_text(batch->node, base_hash_text(look->job_id, 0));
    bool is_stopped = view->job.stop != BATCH_NOT_STOPPED;

    for (int i = 0; i < view->job.n_shards; i++) {
        int number =
            (int)((start + (uint64_t)i) % (uint64_t)view->job.n_shards);
        const struct batch_shard *shard = view->shards->pdata[number];
        if (shard == NULL) {
            if (!is_stopped && look->has_room) {
                return number;
            }
            continue;
        }
        if ((look->has_room || is_stopped) &&
            batch_shard_may_claim(
                shard,
                batch_is_runner_alive(batch, look->job_id, number, shard))) {
            return number;
        }
    }
    return -1;
}

static void
job_checked(struct batch *batch, const struct batch_job_view *view,
            const struct platform_kv *failed, void *context)
{
    struct look *look = context;
    struct batch_open_job *job =
        g_hash_table_lookup(batch->open_jobs, look->job_id);
    bool is_stopped = view != NULL && view->job.stop != BATCH_NOT_STOPPED;
    int number;

    if (view == NULL || batch->is_stopped || job == NULL) {
        end_check(look, FIRST_WAIT_MS);
        return;
    }
    job->is_urgent = false;
    job->n_ended =
        view->counts.completed + view->counts.failed + view->counts.cancelled;
    if (view->n_closed == view->job.n_shards || view->job.ended_s != 0 ||
        (is_stopped && view->n_closed == view->n_claimed)) {
        end_job(look, view);
        return;
    }
    if (!is_stopped && batch_now_s() > view->job.deadline_s) {
        expire_job(look, view);
        return;
    }
    number = g_atomic_int_get(&batch->is_draining)
                 ? -1
                 : find_claimable(look, view);
    if (number >= 0) {
        claim(look, view, number);
        return;
    }
    end_idle_check(look);
}

/* Reads a job's shards and does what is due. */
void
batch_check_job(struct batch *batch, struct batch_open_job *job, bool has_room)
{
    struct look *look = g_new0(struct look, 1);

    look->batch = batch;
    look->job_id = g_strdup(job->record.id);
    look->operator_name = g_strdup(job->record.operator_name);
    look->has_room = has_room;
    job->is_checking = true;
    batch_job_find(batch, look->operator_name, look->job_id,
                   (struct batch_find_callback){job_checked, look});
}
