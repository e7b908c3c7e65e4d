/*
 * backends: an HTTP/1.1 client for requests to backend servers.  It runs on
 * the caller's libwebsockets context and thread.  The front, the batch runner,
 * jobs and the deployment controllers use it.
 *
 *     struct backends backends;
 *     backends_init(&backends, &(struct backends_desc){.context = lws});
 *     struct base_handle call = backends_send(&backends, &request, &err);
 *     ... calls request.ops->head, then ->body several times, then ->done ...
 *     backends_cancel(&backends, call);
 *
 * Each request uses its own connection: no request is sent on an idle
 * connection that has broken unnoticed, and closing the connection cancels the
 * request.
 *
 * The verdict that `done` reports tells whether the request may be repeated.
 * It is BASE_NOT_RUN if no byte of the request has been written, or if the
 * server refused the request with the header `x-ran: no`; BASE_RAN if a
 * complete response with a status below 500 arrived; and otherwise
 * BASE_MAY_HAVE_RUN.  A response that has neither a content-length nor chunked
 * encoding is never considered complete, unless the request allows it to end
 * with its connection.
 *
 * The owner creates the context from a struct lws_context_creation_info that
 * backends_prepare_info has filled in.  All functions must be called on the
 * context's service thread.  If backends_send fails, it returns a handle with
 * generation 0 and `done` is not called.  Otherwise `done` is called exactly
 * once: after backends_send has returned, and before backends_cancel returns.
 * The ops may cancel any call, including their own, and may send new requests.
 */
#ifndef CARDAMOM_BACKENDS_H
#define CARDAMOM_BACKENDS_H

#include "base/base.h"
#include "httpc/httpc.h"

#ifdef __cplusplus
extern "C" {
#endif

struct backends_result {
    int status; /* HTTP status; 0: no response */
    enum base_verdict verdict;
    bool is_complete; /* the end of the response was received */
    struct base_error err;
};

struct backends_ops {
    /* The response's status and headers arrived.  May be NULL. */
    void (*head)(void *context, int status, const char *content_type);
    /* The next bytes of the response's body arrived.  May be NULL. */
    void (*body)(void *context, const char *data, size_t size);
    /* The call has ended, possibly by a cancel. */
    void (*done)(void *context, const struct backends_result *result);
};

struct backends_request {
    const struct backends_ops *ops;
    void *context;
    const char *host; /* an IP address */
    int port;
    const char *method;
    const char *path;
    const char *content_type;   /* NULL: application/json; "": none */
    const char *const *headers; /* name, value, ..., NULL */
    const char *body;
    size_t body_size;
    int64_t connect_ms;    /* time limit for connecting; 0: 1,000 */
    int64_t first_byte_ms; /* limit from sending to the response; 0: 30,000 */
    int64_t silence_ms;    /* limit between bytes of the response; 0: 5,000 */
    int64_t deadline_ms;   /* point in time on base_clock_ms; 0: none */
    /* The request id.  A 2xx response must echo it in x-request-id, and no
     * response may have another one there; otherwise the call fails with
     * BASE_CORRUPT, and head and body are not called.  NULL: no check. */
    const char *request_id;
    /* For servers with other conventions.  NULL or 0: those given above. */
    const char *host_header;    /* instead of host:port */
    const char *id_header;      /* instead of x-request-id */
    const char *refusal_header; /* its presence means "not run" */
    int refusal_status;         /* this status means "not run" */
    /* A response without length and chunks ends when the server closes the
     * connection; a reset breaks it off, and so does a close before the server
     * has taken the whole request, unless the status is an error. */
    bool may_end_by_close;
};

struct backends_desc {
    struct lws_context *context;
    const char *source;             /* IP address to connect from; NULL: any */
    struct base_counters *counters; /* may be NULL */
};

struct backends {
    struct lws_context *lws;
    struct httpc httpc;
    struct base_table calls; /* of struct backends_call * */
    struct base_counters *counters;
};

/* The largest HTTP head that libwebsockets parses, in bytes. */
enum { BACKENDS_HEAD_SIZE = 65535 };

void backends_prepare_info(struct lws_context_creation_info *info);

bool backends_init(struct backends *backends, const struct backends_desc *desc,
                   struct base_error *err);
void backends_finish(struct backends *backends);
struct base_handle backends_send(struct backends *backends,
                                 const struct backends_request *request,
                                 struct base_error *err);
void backends_cancel(struct backends *backends, struct base_handle call);

/* Back-pressure: a paused call reads nothing and its silence limit is
 * suspended. */
void backends_pause(struct backends *backends, struct base_handle call);
void backends_resume(struct backends *backends, struct base_handle call);
/* Changes the silence limit of a running call. */
void backends_set_silence(struct backends *backends, struct base_handle call,
                          int64_t silence_ms);
/* Returns a header of the response, or NULL if it has none; call it only
 * within ops->head, which the value does not outlive.  `name` is in lower
 * case. */
const char *backends_header(struct backends *backends, struct base_handle call,
                            const char *name);

#ifdef __cplusplus
}
#endif

#endif
