/*
 * Declarations shared by the sources of this package.  A front_request is one
 * HTTP request of a caller with its response; the handler of its route
 * processes it.  An exchange (exchange.h) sends such a request to backend
 * servers and receives their response.
 */
#ifndef CARDAMOM_FRONT_PRIVATE_H
#define CARDAMOM_FRONT_PRIVATE_H

#include <jansson.h>
#include <libwebsockets.h>

#include "backends/backends.h"
#include "base/budget.h"
#include "front/deadlines.h"
#include "front/http1.h"
#include "front/protocol.h"
#include "front/front.h"
#include "place/place.h"
#include "work/work.h"

enum {
    FRONT_ID_SIZE = 80,
    FRONT_NAME_SIZE = BASE_NAME_SIZE,
    /* Bytes waiting to be sent to the caller: above FRONT_HIGH_WATER the
     * source of the response is paused, at FRONT_LOW_WATER it resumes. */
    FRONT_HIGH_WATER = 8192,
    FRONT_LOW_WATER = 2048,
    FRONT_HEARTBEAT_MS = 5000,
    FRONT_MAX_LISTENERS = 3,
    FRONT_DEADLINE_MS = 60000, /* default while there is no configuration */
};

/* ---- metrics (metrics.c) ---- */

enum { FRONT_N_BUCKETS = 12 };

struct front_metrics {
    struct base_counters *counters;
    struct base_counter *tokens;
    struct base_counter *retries;
    struct base_counter *hedges;
    struct base_counter *hedge_wins;
    struct base_counter *resumes;
    struct base_counter *identity_faults;
    struct base_counter *open_requests;
    struct base_counter *open_streams;
    struct base_counter *admission_requests;
    struct base_counter *returned_requests;
    struct base_counter *first_token_count;
    struct base_counter *first_token_sum_us;
    struct base_counter *first_token_buckets[FRONT_N_BUCKETS];
};

void front_metrics_init(struct front_metrics *metrics,
                        struct base_counters *counters);
void front_metrics_first_token(struct front_metrics *metrics,
                               int64_t since_start_us);

/* ---- callers' connections for the site protocol (raw_connection.c) ---- */

struct front_raw_connections {
    struct lws_vhost *vhosts[FRONT_MAX_LISTENERS];
    unsigned serves[FRONT_MAX_LISTENERS]; /* of enum front_serves, by vhost */
    int n_vhosts;
    GQueue open; /* of struct front_raw_connection, by link */
};

/* ---- the work of requests (cost.c) ---- */

struct front_cost {
    bool is_enabled;
    struct work_estimator estimator;
    /* admissions with and without an estimate; NULL unless is_enabled */
    struct base_counter *n_known;
    struct base_counter *n_unknown;
};

void front_cost_init(struct front *front, bool is_enabled,
                     struct base_counters *counters);
void front_cost_finish(struct front *front);

/* ---- the memory of bodies (bodies.c) ---- */

struct front_bodies {
    struct base_budget small;
    struct base_budget large;
    GQueue waiting; /* of struct front_request, by body_wait: for `large` */
};

struct front_request;

void front_bodies_init(struct front_bodies *bodies, int64_t limit);
void front_body_begin(struct front_request *request);
bool front_body_grow(struct front_request *request);
bool front_body_answer(struct front_request *request, int64_t size);
void front_body_closed(struct front_request *request);
void front_body_end(struct front_request *request);
void front_body_tick(struct front_request *request, int64_t now_ms);

/* ---- the task (front.c) ---- */

struct front {
    struct base_task task;
    char node[FRONT_NAME_SIZE];
    char zone[FRONT_NAME_SIZE];
    char source[FRONT_NAME_SIZE]; /* "": chosen by the OS */
    char address[FRONT_NAME_SIZE];
    int port;
    char *certificate_file; /* NULL: plain HTTP */
    char *key_file;
    uint64_t tls_files_hash; /* version of the TLS files in use */
    bool is_naive;
    int64_t caller_silence_ms;
    struct control *control;
    struct platform *platform;
    struct batch *batch;
    struct base_tracer *tracer;
    struct front_metrics metrics;
    struct front_cost cost;
    bool count_earlier_waits;
    struct front_deadlines deadlines;
    struct lws_context *lws;
    struct lws_vhost *vhost;
    lws_sorted_usec_list_t tick;
    unsigned n_ticks;
    struct backends backends;
    struct place *place;
    struct world *world; /* NULL: no configuration yet */
    struct members_view *view;
    const struct front_protocol *protocol; /* NULL: Cardamompick's own API */
    struct front_raw_connections raw_connections;
    struct jobs *jobs; /* NULL: batch jobs of a site are not served */
    struct front_bodies bodies;
    GQueue requests;              /* of open struct front_request, by link */
    GHashTable *open_by_operator; /* name -> number of open requests */
    GHashTable *reductions;       /* see reductions.c */
    int n_calls;                  /* calls under way to other tasks */
    int is_draining;              /* atomic */
    int n_open;                   /* atomic: number of open requests */
    int64_t last_request_ms;      /* atomic */
    int64_t draining_ms;          /* atomic: time when draining started */
    int64_t drain_end_ms;         /* atomic: open requests are cut off then */
};

/* ---- overload reductions, by server and operator (reductions.c) ---- */

void front_reductions_init(struct front *front);
void front_reductions_finish(struct front *front);
void front_reductions_expire(struct front *front);
void front_reductions_set(struct front *front, const char *server,
                          const char *operator_name,
                          const struct contracts_reduction *reduction);
double front_reductions_share(struct front *front, const struct world *world,
                              int deployment, const char *operator_name,
                              enum contracts_class class_);

/* ---- requests (request.c, response.c) ---- */

struct front_request;

/* One caller's connection and the request that is open on it. */
struct front_connection {
    struct front_request *request; /* NULL: none */
    uint64_t counted_bytes; /* bytes received up to the last request's end */
};

/* Writes responses to a connection, either with the HTTP of libwebsockets or
 * with our own HTTP code on a raw connection of libwebsockets. */
struct front_transport {
    bool (*write_head)(struct front_request *request);
    int write_kind; /* of enum lws_write_protocol */
    /* Schedules another write callback; called during one. */
    void (*schedule_write)(struct front_request *request);
    /* Called when the response has been written and the connection is to stay
     * open.  Returns -1 to close it. */
    int (*response_done)(struct front_connection *connection, struct lws *wsi);
};

/* Callbacks that process the requests of one route. */
struct front_handler {
    /* Called when the head has arrived and the caller may use the route.  May
     * be NULL. */
    void (*begin)(struct front_request *request);
    /* Receives bytes of the body.  NULL: the body is collected in
     * request->body. */
    void (*body)(struct front_request *request, const char *data, size_t size);
    /* Called when the body is complete. */
    void (*run)(struct front_request *request);
    /* Called when at most FRONT_LOW_WATER bytes are left to send and the
     * response has not ended, so the handler can add more.  May be NULL. */
    void (*output_drained)(struct front_request *request);
    /* Called twice a second.  May be NULL. */
    void (*tick)(struct front_request *request, int64_t now_ms);
    /* Called once when the response has ended or the caller disconnected:
     * cancels work under way and frees request->state.  May be NULL. */
    void (*closed)(struct front_request *request);
};

struct front_route {
    const char *name; /* in metrics and logs */
    const char *method;
    const char *path;
    bool is_prefix;
    unsigned scope; /* of enum world_scope; 0: no key needed */
    const struct front_handler *handler;
};

struct front_request {
    int references;
    struct front *front;
    struct lws *wsi; /* NULL: the request is closed */
    struct front_connection *connection;
    const struct front_transport *transport;
    unsigned serves; /* of a site: what the address serves that it came to */
    GList link;      /* in front->requests */
    const struct front_route *route;
    void *state;            /* state of the handler */
    const char *class_name; /* class name in metrics; NULL: none */
    /* request head */
    char *id; /* as the caller sent it, whatever its size */
    char method[HTTP1_METHOD_SIZE];
    char *path;
    char *query;        /* "a=b&c=d", percent-encoded; may be NULL */
    char *content_type; /* may be NULL */
    char *range;        /* may be NULL */
    char idempotency_key[80];
    /* name, value, ...; NULL: libwebsockets holds the request headers */
    GPtrArray *request_headers;
    char *target;           /* path and query as sent; NULL: with own API */
    bool is_chunked;        /* the body has the chunked transfer coding */
    int64_t body_expected;  /* expected body size in bytes */
    int64_t received_bytes; /* bytes of the head and the body read with it */
    int64_t deadline_ms;    /* time of the deadline, on base_clock_ms */
    int64_t started_us;
    /* caller */
    struct world *world; /* configuration when the request arrived */
    int operator_index;
    char operator_name[FRONT_NAME_SIZE];
    bool is_counted; /* the request is counted in open_by_operator */
    struct base_span span;
    /* request body */
    GString *body;
    int64_t body_received;
    int64_t last_progress_ms; /* when bytes were last sent or received */
    bool is_body_complete;
    bool is_paused;      /* the body is not read for now */
    int64_t small_bytes; /* taken from front->bodies */
    int64_t large_bytes;
    int64_t body_taken_ms; /* when memory for the body was taken */
    int64_t body_wait_ms;  /* since when the body waits for memory; 0: no */
    GList body_wait;
    /* response */
    int status;                  /* 0: none yet */
    GPtrArray *response_headers; /* name with colon, value, ... */
    GString *out;       /* response bytes; emptied when all are written */
    size_t out_written; /* bytes of `out` passed to the connection */
    bool is_stream;
    bool has_no_body; /* by its status or the method HEAD */
    bool is_head_written;
    bool is_ended;     /* no more bytes will be added to `out` */
    bool closes_after; /* the connection is closed after the response */
};

struct front_request *front_request_new(struct front *front, struct lws *wsi);
void front_request_begin(struct front_request *request);
const char *front_request_header(const struct front_request *request,
                                 const char *name);
struct front_request *front_request_ref(struct front_request *request);
void front_request_unref(struct front_request *request);
void front_request_accept(struct front_request *request);
void front_request_body(struct front_request *request, const char *data,
                        size_t size);
void front_request_body_end(struct front_request *request);
void front_request_closed(struct front_request *request);
void front_request_tick(struct front_request *request, int64_t now_ms);
int front_request_writable(struct front_request *request);
void front_request_pause_body(struct front_request *request, bool is_paused);
char *front_request_query_copy(const struct front_request *request,
                               const char *name);
bool front_request_query(const struct front_request *request, const char *name,
                         char *out, size_t size);

/* Responses.  A request gets exactly one of front_respond, front_fail and
 * front_stream_begin. */
void front_add_header(struct front_request *request, const char *name,
                      const char *value);
void front_respond(struct front_request *request, int status,
                   const char *content_type, const char *body, size_t size);
void front_stream_begin(struct front_request *request, int status,
                        const char *content_type);
void front_stream_write(struct front_request *request, const char *data,
                        size_t size);
void front_stream_end(struct front_request *request);
void front_stream_break(struct front_request *request);
size_t front_pending(const struct front_request *request);

/* ---- errors (errors.c) ---- */

/* An error response in the format of the API. */
struct front_fault {
    int status;
    enum base_verdict verdict;
    const char *type; /* such as invalid_request_error */
    const char *code; /* such as model_not_found */
    int retry_after_s;
};

void front_fail(struct front_request *request, const struct front_fault *fault,
                const char *format, ...) G_GNUC_PRINTF(3, 4);
void front_fail_by_config(struct front_request *request,
                          const struct front_fault *fault, const char *text);
void front_add_retry_after(struct front_request *request,
                           int64_t retry_after_ms);
char *front_fault_json(const struct front_fault *fault, const char *text);

extern const struct front_fault FRONT_BAD_REQUEST;
extern const struct front_fault FRONT_NO_KEY;
extern const struct front_fault FRONT_DENIED;
extern const struct front_fault FRONT_NOT_FOUND;
extern const struct front_fault FRONT_WRONG_METHOD;
extern const struct front_fault FRONT_CALLER_SLOW;
extern const struct front_fault FRONT_LENGTH_REQUIRED;
extern const struct front_fault FRONT_TOO_LARGE;
extern const struct front_fault FRONT_HEAD_TOO_LARGE;
extern const struct front_fault FRONT_RATE_LIMITED;
extern const struct front_fault FRONT_OVERLOADED;
extern const struct front_fault FRONT_NOT_READY;

/* ---- routes and callers (routes.c, auth.c) ---- */

const struct front_route *
front_route_find(const char *method, const char *path, bool *is_known_path);
bool front_authorize(struct front_request *request);
bool front_identify(struct front_request *request, bool is_open);
bool front_take_rate(struct front_request *request);
bool front_admit(struct front_request *request);
void front_admit_end(struct front_request *request);
bool front_may_use(struct front_request *request, int deployment);

/* ---- the listener (listener.c) ---- */

bool front_listen(struct front *front, const struct front_desc *desc,
                  struct base_error *err);
void front_check_tls(struct front *front);

extern const struct front_transport FRONT_HTTP;

/* ---- site protocol: routes by host and path (site_routes.c,
 * raw_connection.c) ---- */

bool front_raw_listen(struct front *front,
                      const struct front_site_address *listen,
                      struct base_error *err);
void front_raw_tick(struct front *front, int64_t now_ms);
const struct front_route *front_protocol_route(struct front_request *request);

/* front.c */
bool front_may_cut_off(const struct front *front, int64_t until_ms);

/* ---- handlers ---- */

extern const struct front_handler FRONT_INGRESS;
extern const struct front_handler FRONT_JOB_SUBMIT;
extern const struct front_handler FRONT_JOB_CALL;

extern const struct front_handler FRONT_CHAT;
extern const struct front_handler FRONT_COMPLETIONS;
extern const struct front_handler FRONT_MODELS;
extern const struct front_handler FRONT_SERVICE;
extern const struct front_handler FRONT_HEALTH;
extern const struct front_handler FRONT_READY;
extern const struct front_handler FRONT_METRICS;
extern const struct front_handler FRONT_STATUS;
extern const struct front_handler FRONT_CONFIG;
extern const struct front_handler FRONT_UPLOAD;
extern const struct front_handler FRONT_FILES;
extern const struct front_handler FRONT_CONTENT;
extern const struct front_handler FRONT_BATCHES;

#endif
