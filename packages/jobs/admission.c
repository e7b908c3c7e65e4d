#include "jobs/jobs_private.h"

#include <string.h>

/* Contracts for items: one slot each, asked for when an item waits and given
 * back when it ends or its keeper wants the slot for online work. */
enum {
    MAX_ADMISSIONS = 24, /* under way at a time, a node */
    MAX_RUNNING = 256,   /* items, a node */
    DIRECT_CHOICES = 4,  /* asked without waiting: few are free under load */
    QUEUE_MS = 400,      /* at one keeper; then others may be free */
    /* Longer than almost every item; a keeper frees the slots of a holder
     * that is gone by itself. */
    TERM_MS = 20000,
    BACK_OFF_MS = 150, /* after all were busy */
};

static void try_next_server(struct jobs_work *work);

static void
back_off(struct jobs_work *work, int64_t wait_ms)
{
    work->state = JOBS_WORK_WAITING;
    work->not_before_ms = base_clock_ms() + wait_ms;
    work->run->n_busy--;
}

static void
release_unused(struct jobs *jobs, uint64_t contract)
{
    static const struct contracts_outcome UNUSED;

    if (contract != 0) {
        control_shrink(jobs->control, contract, 0, &UNUSED);
    }
}

static void
note_tried(struct jobs_work *work, int server)
{
    if (work->place.n_tried < PLACE_MAX_TRIED) {
        work->place.tried[work->place.n_tried++] = server;
    }
}

static void
note_busy(struct jobs_work *work, const struct control_admission *ask)
{
    double load = (ask->load.online + ask->load.batch + ask->load.queued) /
                  (double)MAX(ask->load.window, 1);

    if (work->best_busy == WORLD_NONE || load < work->best_load) {
        work->best_busy = work->server;
        work->best_load = load;
    }
    note_tried(work, work->server);
}

static void
take_answer(struct jobs_work *work, const struct control_admission *ask)
{
    struct jobs *jobs = work->run->jobs;

    if (ask->answer == CONTRACTS_GRANTED && work->server != WORLD_NONE) {
        work->contract = ask->contract;
        work->state = JOBS_WORK_RUNNING;
        jobs_work_send(work);
        return;
    }
    if (ask->answer == CONTRACTS_GRANTED) {
        release_unused(jobs, ask->contract);
        back_off(work, 0);
        return;
    }
    if (work->world_number != jobs->world_number) {
        back_off(work, 0); /* what was tried counts servers of another world */
        return;
    }
    if (work->is_queued || work->server == WORLD_NONE) {
        back_off(work, BACK_OFF_MS);
        return;
    }
    if (ask->answer == CONTRACTS_BUSY && !ask->is_local_share) {
        note_busy(work, ask);
    }
    else {
        note_tried(work, work->server);
    }
    try_next_server(work);
}

static void
on_answered(struct control_admission *ask, void *task_state)
{
    struct jobs *jobs = task_state;
    struct jobs_work *work = ask->context;
    struct jobs_run *run = work->run;

    jobs->n_calls--;
    jobs->n_admissions--;
    run->n_references--;
    work->server = jobs_work_server(work);
    if (work->server != WORLD_NONE) {
        jobs->place->ops->load(jobs->place, work->server, &ask->load,
                               base_clock_ms());
    }
    if (run->is_over || g_atomic_int_get(&jobs->is_draining)) {
        release_unused(jobs, ask->contract);
        back_off(work, 0);
    }
    else {
        take_answer(work, ask);
    }
    control_admission_free(ask);
}

static void
request_admission(struct jobs_work *work, int server, int64_t wait_ms)
{
    struct jobs *jobs = work->run->jobs;
    struct control_admission *ask;

    work->server = server;
    g_strlcpy(work->server_name, jobs->world->servers[server].name,
              sizeof(work->server_name));
    work->n_asked++;
    ask = control_admission_new(work->server_name, CONTRACTS_BATCH);
    ask->wait_ms = wait_ms;
    ask->prefer_ms = MAX(work->run->due_ms - base_wall_ms(), 0);
    ask->slots = 1;
    ask->term_ms = TERM_MS;
    ask->preempt = jobs_preempt;
    ask->context = work;
    jobs->n_calls++;
    jobs->n_admissions++;
    work->run->n_references++;
    control_admission_send(jobs->control, ask, &jobs->task, on_answered);
}

static void
try_next_server(struct jobs_work *work)
{
    struct jobs *jobs = work->run->jobs;
    int server = WORLD_NONE;

    if (work->n_asked < DIRECT_CHOICES) {
        server = jobs->place->ops->choose(jobs->place, &work->place,
                                          base_clock_ms());
    }
    if (server != WORLD_NONE) {
        request_admission(work, server, 0);
        return;
    }
    if (work->best_busy == WORLD_NONE) {
        back_off(work, BACK_OFF_MS);
        return;
    }
    work->is_queued = true;
    request_admission(work, work->best_busy, QUEUE_MS);
}

static void
begin_admission(struct jobs_work *work, const struct world_ingress *route)
{
    struct jobs *jobs = work->run->jobs;

    memset(&work->place, 0, sizeof(work->place));
    work->place.deployment = world_choose_split(route, g_random_double());
    work->place.zone = world_find_zone(jobs->world, jobs->zone);
    work->place.request_key =
        ((uint64_t)g_random_int() << 32) | g_random_int();
    work->place.class_ = CONTRACTS_BATCH;
    work->place.is_idempotent = true;
    work->n_asked = 0;
    work->world_number = jobs->world_number;
    work->best_busy = WORLD_NONE;
    work->is_queued = false;
    work->state = JOBS_WORK_ADMITTING;
    work->run->n_busy++;
    try_next_server(work);
}

/* When the job is due; one that is late already goes behind the others. */
static int64_t
rank_of(const struct jobs_run *run, int64_t wall_ms)
{
    return run->due_ms > wall_ms ? run->due_ms : INT64_MAX;
}

/* The job's waiting item that has got furthest. */
static struct jobs_work *
find_item(struct jobs_run *run, int64_t now_ms)
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

/* The next item to ask for: of the job that is due first. */
static struct jobs_work *
find_next(struct jobs *jobs, int64_t now_ms)
{
    int64_t wall_ms = base_wall_ms();
    struct jobs_work *best = NULL;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, jobs->runs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct jobs_run *run = value;
        struct jobs_work *work;
        if (run->is_over || run->is_releasing || run->n_open == 0 ||
            (best != NULL &&
             rank_of(run, wall_ms) >= rank_of(best->run, wall_ms)) ||
            jobs_route(jobs, run->head.host, run->head.path) == NULL) {
            continue;
        }
        work = find_item(run, now_ms);
        best = work != NULL ? work : best;
    }
    return best;
}

/* Asks for slots for items that wait, those due first before others. */
void
jobs_dispatch(struct jobs *jobs, int64_t now_ms)
{
    struct jobs_work *work;

    if (jobs->world == NULL || g_atomic_int_get(&jobs->is_draining) ||
        !jobs_holds_lease(jobs)) {
        return;
    }
    while (jobs->n_admissions < MAX_ADMISSIONS &&
           jobs->n_admissions + jobs->n_running < MAX_RUNNING &&
           (work = find_next(jobs, now_ms)) != NULL) {
        begin_admission(work, jobs_route(jobs, work->run->head.host,
                                         work->run->head.path));
    }
}
