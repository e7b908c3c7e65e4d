#include "jobs/jobs_private.h"

#include <string.h>

/* Contracts for items.  Each item needs a contract for one slot.  It requests
 * the contract when it is due to run, and releases it when the attempt ends or
 * the server's owner preempts it for online work. */
enum {
    MAX_ADMISSIONS = 24, /* pending requests of a node */
    MAX_RUNNING = 256,   /* items that run on a node */
    /* Servers that are requested without waiting in a queue.  Several are,
     * since under load few have free slots. */
    MAX_DIRECT_REQUESTS = 4,
    QUEUE_MS =
        400, /* longest wait in one queue; other servers may be free by then */
    /* The same in the queue of a pool, where the next free slot of any of its
     * servers ends the wait. */
    POOL_QUEUE_MS = 1000,
    /* Term of a contract: longer than almost every attempt.  When a node
     * fails, the server's owner frees the slots of that node by itself. */
    TERM_MS = 20000,
    BACK_OFF_MS = 150, /* after all servers were busy */
    /* Between looks at whether a part of the prompt is still blocked: it may
     * be cleared early. */
    MAX_HOLD_MS = 2000,
};

static void try_next_server(struct jobs_work *work);

static void
back_off(struct jobs_work *work, int64_t wait_ms)
{
    work->state = JOBS_WORK_WAITING;
    work->not_before_ms = base_clock_ms() + wait_ms;
    work->run->n_active--;
}

static void
release_unused(struct jobs *jobs, uint64_t contract)
{
    static const struct contracts_outcome UNUSED;

    if (contract != 0) {
        control_shrink(jobs->control, contract, 0, &UNUSED);
    }
}

/* Holds an item back for blocked_ms, because a part of its prompt is known to
 * crash servers.  Returns false if that is 0. */
static bool
hold_if_blocked(struct jobs_work *work, int64_t blocked_ms)
{
    const struct jobs_item *item = work->run->job->items->pdata[work->index];

    if (blocked_ms == 0) {
        return false;
    }
    base_log(BASE_LOG_INFO, "jobs.item_held",
             "job=%s item=%s blocked_ms=%" G_GINT64_FORMAT
             " reason=\"a part of the prompt has crashed servers\"",
             work->run->head.id, item->id, blocked_ms);
    back_off(work, MIN(blocked_ms, MAX_HOLD_MS));
    return true;
}

static void
mark_tried(struct jobs_work *work, int server)
{
    if (work->choice.n_tried < PLACE_MAX_TRIED) {
        work->choice.tried[work->choice.n_tried++] = server;
    }
}

static void
record_busy(struct jobs_work *work, const struct control_admission *admission)
{
    double load = (admission->load.online + admission->load.batch +
                   admission->load.queued) /
                  (double)MAX(admission->load.window, 1);

    if (work->least_busy_server == WORLD_NONE || load < work->least_load) {
        work->least_busy_server = work->server;
        work->least_load = load;
    }
    mark_tried(work, work->server);
}

static void
apply_answer(struct jobs_work *work, const struct control_admission *admission)
{
    struct jobs *jobs = work->run->jobs;

    if (admission->answer == CONTRACTS_GRANTED && work->server != WORLD_NONE &&
        hold_if_blocked(
            work, control_prompt_blocked_ms(jobs->control, &work->parts))) {
        release_unused(jobs, admission->contract);
        return;
    }
    if (admission->answer == CONTRACTS_GRANTED && work->server != WORLD_NONE) {
        work->contract = admission->contract;
        work->state = JOBS_WORK_RUNNING;
        jobs_work_send(work);
        return;
    }
    if (admission->answer == CONTRACTS_GRANTED) {
        release_unused(jobs, admission->contract);
        back_off(work, 0);
        return;
    }
    if (work->world_generation != jobs->world_generation) {
        back_off(work,
                 0); /* choice.tried has server indices of an older world */
        return;
    }
    if (work->is_queued || work->server == WORLD_NONE) {
        back_off(work, BACK_OFF_MS);
        return;
    }
    if (admission->answer == CONTRACTS_BUSY && !admission->is_local_share) {
        record_busy(work, admission);
    }
    else {
        mark_tried(work, work->server);
    }
    try_next_server(work);
}

static void
on_admission(struct control_admission *admission, void *task_state)
{
    struct jobs *jobs = task_state;
    struct jobs_work *work = admission->context;
    struct jobs_run *run = work->run;

    jobs->n_calls--;
    jobs->n_admissions--;
    run->n_references--;
    g_strlcpy(work->server_name, admission->server, sizeof(work->server_name));
    work->server = jobs_work_find_server(work);
    if (work->server != WORLD_NONE) {
        jobs->place->ops->load(jobs->place, work->server, &admission->load,
                               base_clock_ms());
    }
    work->knows_pools = admission->n_pools > 0;
    for (int i = 0; i < admission->n_pools; i++) {
        jobs->place->ops->pool_load(jobs->place, admission->pools[i].key,
                                    &admission->pools[i].load);
    }
    if (run->has_stopped || g_atomic_int_get(&jobs->is_draining)) {
        release_unused(jobs, admission->contract);
        back_off(work, 0);
    }
    else {
        apply_answer(work, admission);
    }
    control_admission_free(admission);
}

static void
request_admission(struct jobs_work *work, int server, int64_t wait_ms)
{
    struct jobs *jobs = work->run->jobs;
    struct control_admission *admission;

    work->server = server;
    g_strlcpy(work->server_name, jobs->world->servers[server].name,
              sizeof(work->server_name));
    work->n_requested++;
    admission = control_admission_new(work->server_name, CONTRACTS_BATCH);
    admission->wait_ms = wait_ms;
    admission->prefer_ms = MAX(work->run->due_at_ms - base_wall_ms(), 0);
    admission->work_ms = jobs_cost_expected(work, server);
    admission->slots = 1;
    admission->any_server = true;
    admission->term_ms = TERM_MS;
    admission->preempt = jobs_preempt;
    admission->context = work;
    jobs->n_calls++;
    jobs->n_admissions++;
    work->run->n_references++;
    control_admission_send(jobs->control, admission, &jobs->task,
                           on_admission);
}

/* Queues at the pool that the policy chooses by the loads that came with the
 * last answer. */
static void
queue_at_pool(struct jobs_work *work)
{
    struct jobs *jobs = work->run->jobs;
    int server;

    work->choice.n_tried = 0;
    server =
        jobs->place->ops->choose(jobs->place, &work->choice, base_clock_ms());
    if (server == WORLD_NONE) {
        back_off(work, BACK_OFF_MS);
        return;
    }
    work->is_queued = true;
    request_admission(work, server, POOL_QUEUE_MS);
}

static void
try_next_server(struct jobs_work *work)
{
    struct jobs *jobs = work->run->jobs;
    int server = WORLD_NONE;

    if (work->knows_pools && work->least_busy_server != WORLD_NONE) {
        queue_at_pool(work);
        return;
    }
    if (work->n_requested < MAX_DIRECT_REQUESTS) {
        server = jobs->place->ops->choose(jobs->place, &work->choice,
                                          base_clock_ms());
    }
    if (server != WORLD_NONE) {
        request_admission(work, server, 0);
        return;
    }
    if (work->least_busy_server == WORLD_NONE) {
        back_off(work, BACK_OFF_MS);
        return;
    }
    work->is_queued = true;
    request_admission(work, work->least_busy_server, QUEUE_MS);
}

static void
begin_admission(struct jobs_work *work, const struct world_ingress *route)
{
    struct jobs *jobs = work->run->jobs;

    memset(&work->choice, 0, sizeof(work->choice));
    work->choice.deployment = world_choose_split(route, g_random_double());
    work->choice.zone = world_find_zone(jobs->world, jobs->zone);
    work->choice.request_key =
        ((uint64_t)g_random_int() << 32) | g_random_int();
    work->choice.class_ = CONTRACTS_BATCH;
    work->choice.is_idempotent = true;
    work->n_requested = 0;
    work->world_generation = jobs->world_generation;
    work->least_busy_server = WORLD_NONE;
    work->is_queued = false;
    work->knows_pools = false;
    work->state = JOBS_WORK_ADMITTING;
    work->run->n_active++;
    jobs_work_read_parts(work);
    if (!hold_if_blocked(work,
                         control_prompt_admit(jobs->control, &work->parts))) {
        try_next_server(work);
    }
}

/* Returns the rank of a job, lowest first: its due time.  Jobs that are late
 * already come last. */
static int64_t
dispatch_rank(const struct jobs_run *run, int64_t wall_ms)
{
    return run->due_at_ms > wall_ms ? run->due_at_ms : INT64_MAX;
}

/* Returns the waiting item of a job with the most events received, or NULL. */
static struct jobs_work *
find_waiting_item(struct jobs_run *run, int64_t now_ms)
{
    struct jobs_work *best = NULL;

    for (guint i = 0; i < run->job->items->len; i++) {
        struct jobs_work *work = &run->works[i];
        if (work->state == JOBS_WORK_WAITING &&
            work->not_before_ms <= now_ms &&
            (best == NULL || work->events.count > best->events.count)) {
            best = work;
        }
    }
    return best;
}

/* Returns the next item to request admission for, from the job that is due
 * first, or NULL. */
static struct jobs_work *
find_next_item(struct jobs *jobs, int64_t now_ms)
{
    int64_t wall_ms = base_wall_ms();
    struct jobs_work *best = NULL;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, jobs->runs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct jobs_run *run = value;
        struct jobs_work *work;
        if (run->has_stopped || run->is_releasing || run->n_open == 0 ||
            (best != NULL && dispatch_rank(run, wall_ms) >=
                                 dispatch_rank(best->run, wall_ms)) ||
            jobs_route_of(jobs, &run->head) == NULL) {
            continue;
        }
        work = find_waiting_item(run, now_ms);
        best = work != NULL ? work : best;
    }
    return best;
}

/* Requests admission for waiting items, in the order of due times, up to the
 * limits of the node. */
void
jobs_dispatch(struct jobs *jobs, int64_t now_ms)
{
    struct jobs_work *work;

    if (jobs->world == NULL || g_atomic_int_get(&jobs->is_draining) ||
        !jobs_may_send(jobs)) {
        return;
    }
    while (jobs->n_admissions < MAX_ADMISSIONS &&
           jobs_outputs_admit_items(jobs) &&
           jobs->n_admissions + jobs->n_running < MAX_RUNNING &&
           (work = find_next_item(jobs, now_ms)) != NULL) {
        begin_admission(work, jobs_route_of(jobs, &work->run->head));
    }
}
