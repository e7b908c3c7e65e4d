/*
 * internal: the state of the platform task, shared by its source files:
 *
 *     task.c      start and stop, endpoints, back-off, the call budget
 *     kv.c        operations on the key-value service
 *     watch.c     watches, as streams of the etcd gateway
 *     poll.c      watches, by long polling
 *     services.c  requests to the host list and the weight store
 *     codec.c     the etcd gateway's JSON (codec.h)
 *     http.c      HTTP calls (http.h)
 *     budget.c    the token bucket (budget.h)
 *     breaker.c   the circuit breaker (breaker.h)
 */
#ifndef CARDAMOM_PLATFORM_INTERNAL_H
#define CARDAMOM_PLATFORM_INTERNAL_H

#include "platform/breaker.h"
#include "platform/budget.h"
#include "platform/dialect.h"
#include "platform/http.h"
#include "platform/platform.h"

/* Kinds of calls to the key-value service, for the log: the operations of
 * enum platform_op, and the polls of watches. */
enum {
    PLATFORM_CALL_POLL = PLATFORM_LEASE_REVOKE + 1,
    PLATFORM_N_CALLS,
};

/* A call to the key-value service that waits for the call budget. */
struct platform_queued_call {
    GList link; /* link.data points to this struct */
    void (*run)(struct platform_queued_call *queued_call);
    bool is_urgent; /* a lease operation; runs before all others */
    bool is_poll;   /* a watch's call, which the breaker does not hold back */
    bool is_queued;
};

struct platform {
    struct base_task task;
    struct platform_http http;
    GPtrArray *kv; /* key-value endpoints, of char * */
    guint next_kv; /* current endpoint, modulo kv->len */
    char *host_list;
    char *weight_store;
    char *source;
    int64_t call_timeout_ms;
    int64_t silence_ms;
    int64_t min_poll_ms;
    struct platform_limits limits;
    const struct platform_dialect *dialect;
    struct base_counters *counters;
    struct platform_budget budget;
    struct platform_breaker breaker;
    GQueue urgent_calls;  /* of struct platform_queued_call */
    GQueue waiting_calls; /* of struct platform_queued_call */
    lws_sorted_usec_list_t budget_timer;
    lws_sorted_usec_list_t log_timer;
    int calls[PLATFORM_N_CALLS]; /* since the last log line */
    GHashTable *operations;      /* set of struct platform_operation */
    GHashTable *watches;         /* id to struct platform_watcher */
    GHashTable *polls;           /* id to struct platform_poll */
    uint64_t last_watch;         /* atomic */
    /* Open requests to the host list and the weight store: struct service_call
     * to struct platform_http_call. */
    GHashTable *service_calls;
};

/* task.c */
void platform_count(struct platform *platform, const char *name, int64_t by);
void platform_count_call(struct platform *platform, int kind);
void platform_queued_call_init(
    struct platform_queued_call *queued_call,
    void (*run)(struct platform_queued_call *queued_call), bool is_urgent);
void platform_queue_call(struct platform *platform,
                         struct platform_queued_call *queued_call);
void platform_unqueue_call(struct platform *platform,
                           struct platform_queued_call *queued_call);
void platform_call_succeeded(struct platform *platform);
void platform_call_failed(struct platform *platform);
const char *platform_endpoint(struct platform *platform);
void platform_endpoint_failed(struct platform *platform, const char *endpoint);
int64_t platform_backoff_ms(int failures);
void platform_start_timer(struct platform *platform,
                          lws_sorted_usec_list_t *timer,
                          void (*run)(lws_sorted_usec_list_t *timer),
                          int64_t wait_ms);

/* kv.c */
void platform_operations_drop(struct platform *platform);

/* watch.c; poll.c also calls the functions for events */
void platform_watches_drop(struct platform *platform);
struct platform_event *platform_event_new(
    void (*happened)(struct platform_event *event, void *task_state),
    void *context);
void platform_event_send(struct platform_event *event, struct base_task *to);

/* poll.c */
/* The arguments of platform_watch, with the id of the watch. */
struct platform_watch_desc {
    uint64_t id;
    char *prefix; /* owned by the poll */
    struct base_task *to;
    void *context;
    void (*happened)(struct platform_event *event, void *task_state);
};
void platform_poll_start(struct platform *platform,
                         const struct platform_watch_desc *desc);
bool platform_poll_stop(struct platform *platform, uint64_t id);
void platform_polls_drop(struct platform *platform);

/* services.c */
void platform_service_calls_drop(struct platform *platform);

#endif
