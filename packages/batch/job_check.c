#include "batch/batch_private.h"

#include <string.h>

/* A check of an open job reads its shards and then takes the step that is due:
 * it ends the job, marks it as expired, or claims one of its shards. */
enum {
    FIRST_WAIT_MS = 1000,
    MAX_WAIT_MS = 30000,
    CONFIRM_RETRY_MS = 500,
};

struct job_check {
    struct batch *batch;
    char *job_id;
    char *operator_name;
    bool has_room; /* the node can run another shard */
    /* the pending claim */
    int number;
    struct batch_shard shard;
    int64_t revision;
    struct batch_job job; /* as read or written last */
    lws_sorted_usec_list_t timer;
};

static void
free_check(struct job_check *check)
{
    g_free(check->job_id);
    g_free(check->operator_name);
    batch_shard_finish(&check->shard);
    batch_job_finish(&check->job);
    g_free(check);
}

/* Ends the check; the job is checked again after wait_ms. */
static void
end_check(struct job_check *check, int64_t wait_ms)
{
    struct batch_open_job *job =
        g_hash_table_lookup(check->batch->open_jobs, check->job_id);

    if (job != NULL) {
        job->is_checking = false;
        job->next_check_ms = base_clock_ms() + wait_ms;
    }
    free_check(check);
}

/* Ends a check that found nothing to do.  The time to the next check doubles
 * each time, up to MAX_WAIT_MS. */
static void
end_check_with_backoff(struct job_check *check)
{
    struct batch_open_job *job =
        g_hash_table_lookup(check->batch->open_jobs, check->job_id);
    int64_t wait_ms = FIRST_WAIT_MS;

    if (job != NULL) {
        job->wait_ms = CLAMP(job->wait_ms * 2, FIRST_WAIT_MS, MAX_WAIT_MS);
        wait_ms = job->wait_ms + g_random_int_range(0, FIRST_WAIT_MS);
    }
    end_check(check, wait_ms);
}

/* ---- ending a job ---- */

static void
on_open_delete_done(struct batch *batch, struct platform_kv *kv, void *context)
{
    struct job_check *check = context;

    if (kv->status != PLATFORM_OK && kv->status != PLATFORM_CONFLICT) {
        end_check(check, FIRST_WAIT_MS);
        return;
    }
    base_counter_add(batch->n_jobs_ended, 1);
    g_hash_table_remove(batch->open_jobs, check->job_id);
    free_check(check);
}

/* Deletes the open record, now that this runner or another one has written the
 * ended record. */
static void
on_ended_write_done(struct batch *batch, struct platform_kv *kv, void *context)
{
    struct job_check *check = context;

    if (kv->status != PLATFORM_OK && kv->status != PLATFORM_CONFLICT) {
        end_check(check, FIRST_WAIT_MS);
        return;
    }
    if (kv->status == PLATFORM_OK) {
        base_log(BASE_LOG_INFO, "batch.job_ended",
                 "job=%s operator=%s completed=%d failed=%d cancelled=%d",
                 check->job_id, check->operator_name,
                 check->job.counts.completed, check->job.counts.failed,
                 check->job.counts.cancelled);
    }
    batch_kv_delete(
        batch, batch_key(BATCH_JOBS, check->operator_name, check->job_id),
        PLATFORM_ANY, (struct batch_kv_callback){on_open_delete_done, check});
}

/* Writes the ended record.  All items that have neither completed nor failed
 * count as cancelled: shards that were never claimed have no record of their
 * own. */
static void
end_job(struct job_check *check, const struct batch_job_view *view)
{
    struct batch *batch = check->batch;

    batch_job_copy(&check->job, &view->job);
    check->job.counts = view->counts;
    check->job.counts.cancelled =
        view->job.n_items - view->counts.completed - view->counts.failed;
    check->job.ended_s = batch_now_s();
    batch_kv_put(batch,
                 batch_key(BATCH_ENDED, check->operator_name, check->job_id),
                 batch_job_format(&check->job), PLATFORM_ABSENT,
                 (struct batch_kv_callback){on_ended_write_done, check});
}

/* ---- expiring a job ---- */

static void
on_expiry_write_done(struct batch *batch, struct platform_kv *kv,
                     void *context)
{
    struct job_check *check = context;

    if (kv->status == PLATFORM_OK) {
        base_log(BASE_LOG_WARNING, "batch.job_expired", "job=%s operator=%s",
                 check->job_id, check->operator_name);
    }
    end_check(check, 0);
}

static void
expire_job(struct job_check *check, const struct batch_job_view *view)
{
    batch_job_copy(&check->job, &view->job);
    check->job.stop = BATCH_EXPIRED;
    check->job.stop_s = batch_now_s();
    batch_kv_put(check->batch,
                 batch_key(BATCH_JOBS, check->operator_name, check->job_id),
                 batch_job_format(&check->job), view->revision,
                 (struct batch_kv_callback){on_expiry_write_done, check});
}

/* ---- claiming ---- */

static void confirm_claim(struct job_check *check);

static void
retry_confirm(lws_sorted_usec_list_t *timer)
{
    confirm_claim(lws_container_of(timer, struct job_check, timer));
}

/* Starts the run with the job's record, which was read after the claim was
 * written.  If the job was stopped before the claim, this record shows it.  If
 * it is stopped later, the runner that ends the job sees the claim.  So no
 * item of a stopped job is started. */
static void
on_claim_confirm_done(struct batch *batch, struct platform_kv *kv,
                      void *context)
{
    struct job_check *check = context;
    struct platform_entry *entry;

    if (kv->status != PLATFORM_OK) {
        if (batch->is_stopped) {
            batch->n_claiming--;
            end_check(check, 0);
            return;
        }
        lws_sul_schedule(batch->lws, 0, &check->timer, retry_confirm,
                         CONFIRM_RETRY_MS * LWS_US_PER_MS);
        return;
    }
    batch->n_claiming--;
    entry = kv->entries->len == 0 ? NULL : kv->entries->pdata[0];
    if (entry != NULL && batch_job_parse(entry->value, &check->job)) {
        struct batch_run *run = batch_run_new(
            batch, &check->job, check->number, &check->shard, check->revision);
        g_ptr_array_add(batch->runs, run);
        base_log(BASE_LOG_INFO, "batch.shard_claimed",
                 "job=%s shard=%d epoch=%lld", check->job_id, check->number,
                 (long long)check->shard.epoch);
    }
    end_check(check, 0);
}

static void
confirm_claim(struct job_check *check)
{
    batch_kv_get(check->batch,
                 batch_key(BATCH_JOBS, check->operator_name, check->job_id),
                 (struct batch_kv_callback){on_claim_confirm_done, check});
}

static void
on_claim_write_done(struct batch *batch, struct platform_kv *kv, void *context)
{
    struct job_check *check = context;

    if (kv->status != PLATFORM_OK) {
        batch->n_claiming--;
        end_check(check, kv->status == PLATFORM_CONFLICT ? 0 : FIRST_WAIT_MS);
        return;
    }
    base_counter_add(batch->n_claims, 1);
    base_counter_add(batch->n_takeovers, check->shard.epoch > 1);
    check->revision = kv->revision;
    confirm_claim(check);
}

static void
claim_shard(struct job_check *check, const struct batch_job_view *view,
            int number)
{
    struct batch *batch = check->batch;
    const struct batch_shard *existing = view->shards->pdata[number];
    int first = batch_job_first_item(&view->job, number);

    if (!batch_take_write_token(batch, base_clock_ms(), 0)) {
        end_check(check, BATCH_TICK_MS);
        return;
    }
    check->number = number;
    if (existing == NULL) {
        batch_shard_init(&check->shard,
                         batch_job_first_item(&view->job, number + 1) - first);
    }
    else {
        batch_shard_copy(&check->shard, existing);
    }
    batch_shard_claim(&check->shard, batch->node, batch->claim);
    batch->n_claiming++;
    batch_kv_put(batch, batch_shard_key(check->job_id, number),
                 batch_shard_format(&check->shard),
                 existing == NULL ? PLATFORM_ABSENT
                                  : (int64_t)view->revisions[number],
                 (struct batch_kv_callback){on_claim_write_done, check});
}

/* Returns the number of a shard to claim, or -1.  The search starts at a shard
 * that depends on the node, so that nodes don't all try to claim the same
 * one. */
static int
find_claimable(struct job_check *check, const struct batch_job_view *view)
{
    struct batch *batch = check->batch;
    uint64_t start =
        base_hash_text(batch->node, base_hash_text(check->job_id, 0));
    bool is_stopped = view->job.stop != BATCH_NOT_STOPPED;

    for (int i = 0; i < view->job.n_shards; i++) {
        int number =
            (int)((start + (uint64_t)i) % (uint64_t)view->job.n_shards);
        const struct batch_shard *shard = view->shards->pdata[number];
        if (shard == NULL) {
            if (!is_stopped && check->has_room) {
                return number;
            }
            continue;
        }
        if ((check->has_room || is_stopped) &&
            batch_shard_may_claim(
                shard,
                batch_is_runner_alive(batch, check->job_id, number, shard))) {
            return number;
        }
    }
    return -1;
}

static void
on_job_found(struct batch *batch, const struct batch_job_view *view,
             const struct platform_kv *failed, void *context)
{
    struct job_check *check = context;
    struct batch_open_job *job =
        g_hash_table_lookup(batch->open_jobs, check->job_id);
    bool is_stopped = view != NULL && view->job.stop != BATCH_NOT_STOPPED;
    int number;

    if (view == NULL || batch->is_stopped || job == NULL) {
        end_check(check, FIRST_WAIT_MS);
        return;
    }
    job->is_urgent = false;
    job->n_ended =
        view->counts.completed + view->counts.failed + view->counts.cancelled;
    if (view->n_closed == view->job.n_shards || view->job.ended_s != 0 ||
        (is_stopped && view->n_closed == view->n_claimed)) {
        end_job(check, view);
        return;
    }
    if (!is_stopped && batch_now_s() > view->job.deadline_s) {
        expire_job(check, view);
        return;
    }
    number = g_atomic_int_get(&batch->is_draining)
                 ? -1
                 : find_claimable(check, view);
    if (number >= 0) {
        claim_shard(check, view, number);
        return;
    }
    end_check_with_backoff(check);
}

/* Starts a check of a job.  `has_room` says whether the node can run another
 * shard. */
void
batch_check_job(struct batch *batch, struct batch_open_job *job, bool has_room)
{
    struct job_check *check = g_new0(struct job_check, 1);

    check->batch = batch;
    check->job_id = g_strdup(job->record.id);
    check->operator_name = g_strdup(job->record.operator_name);
    check->has_room = has_room;
    job->is_checking = true;
    batch_job_find(batch, check->operator_name, check->job_id,
                   (struct batch_find_callback){on_job_found, check});
}
