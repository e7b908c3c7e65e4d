#include "front/front_private.h"

#include <string.h>

enum {
    TICK_MS = 500,
    CHECK_TICKS = 4, /* ticks between checks of the TLS files */
    CALLER_SILENCE_MS = 20000,
    /* Time without requests before the front counts as idle: a keep-alive
     * connection may still send one. */
    IDLE_MS = 500,
    STOP_WAIT_MS = 3000,
    /* After the start of a planned stop, how long requests are accepted that
     * might not end before it.  Load balancers have stopped sending by then; a
     * refusal moves the last connections. */
    DRAIN_ACCEPT_MS = 2500,
    DRAIN_MARGIN_MS = 200, /* to send the end of a response */
};

struct update {
    struct base_call call;
    struct world *world;
    struct members_view *view;
};

static void
drop_update(struct base_call *call)
{
    struct update *update = (struct update *)call;

    if (update->world != NULL) {
        world_unref(update->world);
    }
    if (update->view != NULL) {
        members_view_unref(update->view);
    }
    g_free(update);
}

static void
serve_update(struct base_call *call, void *task_state)
{
    struct update *update = (struct update *)call;
    struct front *front = task_state;

    if (update->world != NULL) {
        struct world *old = front->world;
        front->world = world_ref(update->world);
        front->place->ops->update(front->place, front->world, base_clock_ms());
        if (old != NULL) {
            world_unref(old);
        }
    }
    if (update->view != NULL) {
        struct members_view *old = front->view;
        front->view = members_view_ref(update->view);
        if (old != NULL) {
            members_view_unref(old);
        }
    }
    base_call_reply(call);
}

static const struct base_call_ops UPDATE_OPS = {serve_update, NULL,
                                                drop_update};

/* Passes a new configuration and member list to the task, which takes its own
 * references.  Either may be NULL for no change.  May be called from
 * any thread. */
void
front_update(struct front *front, struct world *world,
             struct members_view *view)
{
    struct update *update = g_new0(struct update, 1);

    update->world = world == NULL ? NULL : world_ref(world);
    update->view = view == NULL ? NULL : members_view_ref(view);
    base_call_send(&update->call, &UPDATE_OPS, &front->task, NULL);
}

static void
tick(lws_sorted_usec_list_t *sul)
{
    struct front *front = lws_container_of(sul, struct front, tick);
    int64_t now_ms = base_clock_ms();
    GList *next;

    for (GList *at = front->requests.head; at != NULL; at = next) {
        next = at->next;
        front_request_tick(at->data, now_ms);
    }
    front_raw_tick(front, now_ms);
    if (++front->n_ticks % CHECK_TICKS == 0) {
        front_check_tls(front);
        front_reductions_expire(front);
    }
    lws_sul_schedule(front->lws, 0, &front->tick, tick,
                     TICK_MS * LWS_US_PER_MS);
}

/* Closes all requests, then waits for the replies to calls to other tasks, for
 * up to STOP_WAIT_MS: they arrive in this task's mailbox. */
static void
close_all(struct front *front)
{
    int64_t until_ms = base_clock_ms() + STOP_WAIT_MS;
    struct front_request *request;

    lws_sul_cancel(&front->tick);
    while ((request = g_queue_peek_head(&front->requests)) != NULL) {
        front_request_closed(request);
    }
    while (front->n_calls > 0 && base_clock_ms() < until_ms) {
        g_usleep(1000);
        base_task_drain(&front->task);
    }
    backends_finish(&front->backends);
}

static void
run(struct base_task *task)
{
    struct front *front = task->state;

    lws_sul_schedule(front->lws, 0, &front->tick, tick,
                     TICK_MS * LWS_US_PER_MS);
    while (!base_task_is_stopping(task)) {
        lws_service(front->lws, 0);
        base_task_drain(task);
    }
    close_all(front);
}

static void
wake(struct base_task *task)
{
    lws_cancel_service(((struct front *)task->state)->lws);
}

static const struct base_task_ops TASK_OPS = {wake, run};

static void
copy_desc(struct front *front, const struct front_desc *desc)
{
    g_strlcpy(front->node, desc->node, sizeof(front->node));
    g_strlcpy(front->zone, desc->zone, sizeof(front->zone));
    g_strlcpy(front->source, desc->source ? desc->source : "",
              sizeof(front->source));
    g_strlcpy(front->address, desc->address ? desc->address : "",
              sizeof(front->address));
    front->protocol = desc->protocol;
    front->jobs = desc->jobs;
    front->port = desc->port;
    front->certificate_file = g_strdup(desc->tls_certificate_file);
    front->key_file = g_strdup(desc->tls_key_file);
    front->is_naive = desc->is_naive;
    front->caller_silence_ms =
        desc->caller_silence_ms ? desc->caller_silence_ms : CALLER_SILENCE_MS;
    front->control = desc->control;
    front->platform = desc->platform;
    front->batch = desc->batch;
    front->tracer = desc->tracer;
}

static void
free_front(struct front *front)
{
    base_task_finish(&front->task);
    if (front->lws != NULL) {
        lws_context_destroy(front->lws);
    }
    place_free(front->place);
    g_hash_table_destroy(front->open_by_operator);
    front_reductions_finish(front);
    front_cost_finish(front);
    front_deadlines_finish(&front->deadlines);
    if (front->world != NULL) {
        world_unref(front->world);
    }
    if (front->view != NULL) {
        members_view_unref(front->view);
    }
    g_free(front->certificate_file);
    g_free(front->key_file);
    g_free(front);
}

/* Starts the task and listens.  Fails with BASE_UNAVAILABLE when the address
 * can't be bound and BASE_INVALID when the TLS files can't be used. */
struct front *
front_start(const struct front_desc *desc, struct base_error *err)
{
    struct front *front = g_new0(struct front, 1);
    const struct place_desc place_desc = {
        .is_naive = desc->is_naive,
        .seed = (uint64_t)base_clock_us(),
        .counters = desc->counters,
    };

    copy_desc(front, desc);
    front_metrics_init(&front->metrics, desc->counters);
    front_cost_init(front, desc->cost_routing, desc->counters);
    front->count_earlier_waits = desc->count_earlier_waits;
    front_deadlines_init(&front->deadlines);
    front_reductions_init(front);
    front->open_by_operator =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    front_bodies_init(&front->bodies, desc->body_bytes);
    g_queue_init(&front->requests);
    g_queue_init(&front->raw_connections.open);
    front->place = place_new(&place_desc);
    if (base_task_init(&front->task, "front", &TASK_OPS, front, err) &&
        front_listen(front, desc, err)) {
        if (base_task_start(&front->task, err)) {
            return front;
        }
        backends_finish(&front->backends);
    }
    free_front(front);
    return NULL;
}

/* Returns the port that the front listens on. */
int
front_port(const struct front *front)
{
    return front->port;
}

/* Reports not ready and closes keep-alive connections after their next
 * response.  The front will be stopped in drain_ms, or earlier once it is
 * idle. Requests that are open or still arrive are served; for a site, see
 * front_may_cut_off.  May be called from any thread. */
void
front_drain(struct front *front, int64_t drain_ms)
{
    int64_t now_ms = base_clock_ms();

    __atomic_store_n(&front->last_request_ms, now_ms, __ATOMIC_RELAXED);
    __atomic_store_n(&front->draining_ms, now_ms, __ATOMIC_RELAXED);
    __atomic_store_n(&front->drain_end_ms, now_ms + drain_ms,
                     __ATOMIC_RELAXED);
    g_atomic_int_set(&front->is_draining, 1);
    base_log(BASE_LOG_NOTICE, "front.draining", "open=%d",
             g_atomic_int_get(&front->n_open));
}

/* Returns whether a planned stop would cut off a new request that may last
 * until until_ms, on base_clock_ms.  At the start of the stop requests are
 * accepted all the same: most end long before their deadline, and refusals
 * would meet all connections at once.  May be called from any thread. */
bool
front_may_cut_off(const struct front *front, int64_t until_ms)
{
    int64_t start_ms = __atomic_load_n(&front->draining_ms, __ATOMIC_RELAXED);
    int64_t end_ms = __atomic_load_n(&front->drain_end_ms, __ATOMIC_RELAXED);

    return g_atomic_int_get(&front->is_draining) &&
           base_clock_ms() - start_ms >= DRAIN_ACCEPT_MS &&
           until_ms > end_ms - DRAIN_MARGIN_MS;
}

/* Returns whether no request is open and none has arrived for IDLE_MS; health
 * checks and metrics requests do not count as arrivals.  May be called from
 * any thread. */
bool
front_is_idle(struct front *front)
{
    int64_t last_ms =
        __atomic_load_n(&front->last_request_ms, __ATOMIC_RELAXED);

    return g_atomic_int_get(&front->n_open) == 0 &&
           base_clock_ms() - last_ms >= IDLE_MS;
}

/* Stops the task at once, breaks off open requests and frees the front.  If
 * another task has not answered a call after STOP_WAIT_MS, the front's memory
 * is leaked, because that task still refers to it. */
void
front_stop(struct front *front)
{
    base_task_stop(&front->task);
    if (front->n_calls > 0) {
        base_log(BASE_LOG_ERROR, "front.calls_unanswered", "count=%d",
                 front->n_calls);
        return;
    }
    free_front(front);
}
