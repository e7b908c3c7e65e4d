#include <string.h>

#include "platform/codec.h"
#include "platform/internal.h"

enum {
    DEFAULT_TIMEOUT_MS = 2000,
    DEFAULT_SILENCE_MS = 3000,
    DEFAULT_CALLS_PER_S = 20,
    /* Below etcd's limits, 1.5 MiB a request and 128 operations, and those of
     * a site's store. */
    DEFAULT_VALUE_BYTES = 1 << 20,
    DEFAULT_TXN_ENTRIES = 32,
    /* Responses and lines of watches: more than the largest value in base64,
     * and than the pages of a list that this program writes. */
    MIN_RESPONSE_LIMIT = 32 << 20,
    VALUES_IN_RESPONSE = 2,
    DEFAULT_MIN_POLL_MS = 500,
    LOG_CALLS_MS = 10000, /* between log lines about calls */
    FIRST_BACKOFF_MS = 50,
    MAX_BACKOFF_DOUBLINGS = 4,
};

/* Adds to a counter if the platform has counters. */
void
platform_count(struct platform *platform, const char *name, int64_t by)
{
    if (platform->counters != NULL) {
        base_counter_add(base_counter(platform->counters, name), by);
    }
}

static const char *
call_name(int kind)
{
    return kind == PLATFORM_CALL_POLL
               ? "watch"
               : platform_op_name((enum platform_op)kind);
}

/* Counts a call to the key-value service: an operation of enum platform_op or
 * PLATFORM_CALL_POLL. */
void
platform_count_call(struct platform *platform, int kind)
{
    char counter[64];

    platform->calls[kind]++;
    snprintf(counter, sizeof(counter), "kv_calls_total{op=\"%s\"}",
             call_name(kind));
    platform_count(platform, counter, 1);
}

static void
log_calls(struct platform *platform)
{
    GString *text = g_string_new(NULL);

    for (int i = 0; i < PLATFORM_N_CALLS; i++) {
        if (platform->calls[i] > 0) {
            g_string_append_printf(text, " %s=%d", call_name(i),
                                   platform->calls[i]);
        }
    }
    if (text->len > 0) {
        base_log(BASE_LOG_INFO, "kv.calls", "for_ms=%d%s", LOG_CALLS_MS,
                 text->str);
    }
    memset(platform->calls, 0, sizeof(platform->calls));
    g_string_free(text, TRUE);
}

static void
on_log_timer(lws_sorted_usec_list_t *timer)
{
    struct platform *platform =
        lws_container_of(timer, struct platform, log_timer);

    log_calls(platform);
    platform_start_timer(platform, timer, on_log_timer, LOG_CALLS_MS);
}

/* Returns how long to wait after `failures` failures in a row.  The time
 * doubles up to 800 ms; half of it is random, so that nodes do not retry all
 * at once. */
int64_t
platform_backoff_ms(int failures)
{
    int doublings = MIN(failures, MAX_BACKOFF_DOUBLINGS);
    int64_t full_ms = (int64_t)FIRST_BACKOFF_MS << doublings;

    return full_ms / 2 + g_random_int_range(0, (gint32)(full_ms / 2) + 1);
}

/* Starts a timer, which runs once after wait_ms. */
void
platform_start_timer(struct platform *platform, lws_sorted_usec_list_t *timer,
                     void (*run)(lws_sorted_usec_list_t *timer),
                     int64_t wait_ms)
{
    lws_sul_schedule(platform->http.lws, 0, timer, run,
                     MAX((lws_usec_t)wait_ms * LWS_US_PER_MS, 1));
}

/* Returns the current endpoint of the key-value service, or NULL if none is
 * set. */
const char *
platform_endpoint(struct platform *platform)
{
    if (platform->kv->len == 0) {
        return NULL;
    }
    return platform->kv->pdata[platform->next_kv % platform->kv->len];
}

/* Makes the next endpoint the current one, unless another failed call has
 * done so already. */
void
platform_endpoint_failed(struct platform *platform, const char *endpoint)
{
    if (platform_endpoint(platform) == endpoint) {
        platform->next_kv++;
    }
}

/* ---- call budget ---- */

/* Initializes a call, which is not in a queue yet. */
void
platform_queued_call_init(
    struct platform_queued_call *queued_call,
    void (*run)(struct platform_queued_call *queued_call), bool is_urgent)
{
    memset(queued_call, 0, sizeof(*queued_call));
    queued_call->link.data = queued_call;
    queued_call->run = run;
    queued_call->is_urgent = is_urgent;
}

static void on_budget_timer(lws_sorted_usec_list_t *timer);

static struct platform_queued_call *
find_poll(const GQueue *queue)
{
    for (GList *at = queue->head; at != NULL; at = at->next) {
        struct platform_queued_call *queued_call = at->data;
        if (queued_call->is_poll) {
            return queued_call;
        }
    }
    return NULL;
}

/* Returns the next call that may run, or NULL.  *wait_ms is then the time
 * until one may; -1 if none of the waiting ones may until a call ends. */
static struct platform_queued_call *
next_call(struct platform *platform, int64_t *wait_ms)
{
    struct platform_queued_call *poll = find_poll(&platform->waiting_calls);
    const GQueue *queue = platform->urgent_calls.length > 0
                              ? &platform->urgent_calls
                              : &platform->waiting_calls;

    *wait_ms = platform_breaker_wait_ms(&platform->breaker, base_clock_ms());
    if (*wait_ms != 0 || queue->length == 0) {
        return poll;
    }
    return queue->head->data;
}

static void
run_queued_calls(struct platform *platform)
{
    struct platform_queued_call *queued_call;
    int64_t wait_ms;

    while ((queued_call = next_call(platform, &wait_ms)) != NULL) {
        if (!platform_budget_take(&platform->budget, base_clock_ms())) {
            platform_start_timer(platform, &platform->budget_timer,
                                 on_budget_timer,
                                 platform_budget_wait_ms(&platform->budget));
            return;
        }
        if (!queued_call->is_poll) {
            platform_breaker_start(&platform->breaker);
        }
        platform_unqueue_call(platform, queued_call);
        queued_call->run(queued_call);
    }
    if (wait_ms > 0) {
        platform_start_timer(platform, &platform->budget_timer,
                             on_budget_timer, wait_ms);
    }
}

static void
on_budget_timer(lws_sorted_usec_list_t *timer)
{
    run_queued_calls(lws_container_of(timer, struct platform, budget_timer));
}

/* Queues a call until the budget allows it.  Its `run` is then called from the
 * event loop. */
void
platform_queue_call(struct platform *platform,
                    struct platform_queued_call *queued_call)
{
    GQueue *queue = queued_call->is_urgent ? &platform->urgent_calls
                                           : &platform->waiting_calls;

    queued_call->is_queued = true;
    g_queue_push_tail_link(queue, &queued_call->link);
    if (!platform_budget_is_used_up(&platform->budget) ||
        queued_call->is_urgent) {
        platform_start_timer(platform, &platform->budget_timer,
                             on_budget_timer, 0);
    }
    else if (platform->waiting_calls.length == 1) {
        platform_start_timer(platform, &platform->budget_timer,
                             on_budget_timer,
                             platform_budget_wait_ms(&platform->budget));
    }
}

/* Records that the service has answered a call; those that wait for that
 * run. */
void
platform_call_succeeded(struct platform *platform)
{
    if (platform_breaker_depth(&platform->breaker) > 0) {
        platform_start_timer(platform, &platform->budget_timer,
                             on_budget_timer, 0);
    }
    platform_breaker_succeeded(&platform->breaker);
}

/* Records that the service refused a call or did not answer it. */
void
platform_call_failed(struct platform *platform)
{
    int depth = platform_breaker_depth(&platform->breaker);

    platform_breaker_failed(&platform->breaker, base_clock_ms(),
                            platform_backoff_ms(depth));
    platform_start_timer(platform, &platform->budget_timer, on_budget_timer,
                         0);
}

/* Takes a call out of its queue, if it is in one. */
void
platform_unqueue_call(struct platform *platform,
                      struct platform_queued_call *queued_call)
{
    GQueue *queue = queued_call->is_urgent ? &platform->urgent_calls
                                           : &platform->waiting_calls;

    if (queued_call->is_queued) {
        g_queue_unlink(queue, &queued_call->link);
        queued_call->is_queued = false;
    }
}

/* ---- the task ---- */

static void
wake(struct base_task *task)
{
    struct platform *platform = task->state;
    lws_cancel_service(platform->http.lws);
}

static void
run(struct base_task *task)
{
    struct platform *platform = task->state;

    platform_start_timer(platform, &platform->log_timer, on_log_timer,
                         LOG_CALLS_MS);
    while (!base_task_is_stopping(task)) {
        base_task_drain(task);
        if (lws_service(platform->http.lws, 0) < 0) {
            break;
        }
    }
    platform_operations_drop(platform);
    platform_watches_drop(platform);
    platform_polls_drop(platform);
    platform_service_calls_drop(platform);
    lws_sul_cancel(&platform->budget_timer);
    lws_sul_cancel(&platform->log_timer);
    log_calls(platform);
}

/* Does nothing: the loop in run() drains the mailbox after every wake. */
static void
ignore_wake(void *context)
{
}

static void
set_up(struct platform *platform, const struct platform_desc *desc)
{
    platform->kv = g_ptr_array_new_with_free_func(g_free);
    for (int i = 0; i < desc->n_kv; i++) {
        g_ptr_array_add(platform->kv, g_strdup(desc->kv[i]));
    }
    platform->host_list = g_strdup(desc->host_list);
    platform->weight_store = g_strdup(desc->weight_store);
    platform->source = g_strdup(desc->source);
    platform->call_timeout_ms =
        desc->call_timeout_ms > 0 ? desc->call_timeout_ms : DEFAULT_TIMEOUT_MS;
    platform->silence_ms =
        desc->silence_ms > 0 ? desc->silence_ms : DEFAULT_SILENCE_MS;
    platform->min_poll_ms =
        desc->min_poll_ms > 0 ? desc->min_poll_ms : DEFAULT_MIN_POLL_MS;
    platform->limits.value_bytes = desc->limits.value_bytes > 0
                                       ? desc->limits.value_bytes
                                       : DEFAULT_VALUE_BYTES;
    platform->limits.txn_entries = desc->limits.txn_entries > 0
                                       ? desc->limits.txn_entries
                                       : DEFAULT_TXN_ENTRIES;
    platform->http.max_response_bytes = (size_t)MAX(
        MIN_RESPONSE_LIMIT, VALUES_IN_RESPONSE * platform->limits.value_bytes);
    platform->dialect = desc->dialect != NULL ? desc->dialect : &platform_etcd;
    platform->counters = desc->counters;
    platform_budget_init(&platform->budget,
                         desc->calls_per_s > 0 ? desc->calls_per_s
                                               : DEFAULT_CALLS_PER_S,
                         base_clock_ms());
    platform->operations = g_hash_table_new(g_direct_hash, g_direct_equal);
    platform->watches = g_hash_table_new(g_int64_hash, g_int64_equal);
    platform->polls = g_hash_table_new(g_int64_hash, g_int64_equal);
    platform->service_calls = g_hash_table_new(g_direct_hash, g_direct_equal);
    platform->http.woken = ignore_wake;
}

static void
tear_down(struct platform *platform)
{
    g_ptr_array_free(platform->kv, TRUE);
    g_hash_table_destroy(platform->operations);
    g_hash_table_destroy(platform->watches);
    g_hash_table_destroy(platform->polls);
    g_hash_table_destroy(platform->service_calls);
    g_free(platform->host_list);
    g_free(platform->weight_store);
    g_free(platform->source);
    g_free(platform);
}

/* Returns the limits of the key-value service; they never change.  May be
 * called on any thread. */
const struct platform_limits *
platform_limits(const struct platform *platform)
{
    return &platform->limits;
}

/* Starts the task.  Fails with BASE_INTERNAL if the system's resources do not
 * suffice; unreachable endpoints do not make it fail. */
struct platform *
platform_start(const struct platform_desc *desc, struct base_error *err)
{
    static const struct base_task_ops OPS = {wake, run};
    struct platform *platform = g_new0(struct platform, 1);

    set_up(platform, desc);
    platform->http.source = platform->source;
    if (!platform_http_init(&platform->http, err)) {
        tear_down(platform);
        return NULL;
    }
    if (!base_task_init(&platform->task, "platform", &OPS, platform, err)) {
        platform_http_finish(&platform->http);
        tear_down(platform);
        return NULL;
    }
    if (!base_task_start(&platform->task, err)) {
        base_task_finish(&platform->task);
        platform_http_finish(&platform->http);
        tear_down(platform);
        return NULL;
    }
    return platform;
}

/* Stops the task and frees it.  Open calls are dropped without a reply, so
 * tasks that send calls must be stopped before. */
void
platform_stop(struct platform *platform)
{
    if (platform == NULL) {
        return;
    }
    base_task_stop(&platform->task);
    base_task_finish(&platform->task);
    platform_http_finish(&platform->http);
    tear_down(platform);
}
