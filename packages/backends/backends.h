/*
 * backends: HTTP requests to engines and plain services, on the caller's
 * libwebsockets context and thread.  Used by the front, the batch runner and
 * the deployment controllers.
 *
 *     struct backends backends;
 *     backends_init(&backends, &(struct backends_desc){.context = lws});
 *     struct base_handle call = backends_send(&backends, &request, &err);
 *     ... request.ops->head, ->body..., then ->done exactly once ...
 *     backends_cancel(&backends, call);
 *
 * Each request has a connection of its own, so that a connection which went
 * silent while idle harms nobody and a cancel is a close.  done's verdict is
 * BASE_NOT_RUN only while no byte of the request has been written, or when
 * the server itself refused with the header `x-ran: no`; it is BASE_RAN when
 * a whole answer below 500 arrived.  An answer that neither states its length
 * nor comes in chunks is never known to be whole.
 *
 * The owner makes the context from an info that backends_prepare_info filled
 * in.  All functions belong on the context's service thread.  When
 * backends_send returns a handle that names nothing, done is not called;
 * else it is called exactly once, later than the return of backends_send and
 * no later than the return of backends_cancel.  The ops may cancel any call,
 * also their own, and may send new ones.
 */
#ifndef CARDAMOM_BACKENDS_H
#define CARDAMOM_BACKENDS_H

#include "base/base.h"

struct lws_context;
struct lws_context_creation_info;
struct lws_vhost;

#ifdef __cplusplus
extern "C" {
#endif

struct backends_result {
    int status; /* HTTP; 0: no answer */
    enum base_verdict verdict;
    bool is_complete; /* the whole answer arrived */
    struct base_error err;
};

struct backends_ops {
    /* The status and content type arrived. */
    void (*head)(void *context, int status, const char *content_type);
    /* Bytes of the body, in order. */
    void (*body)(void *context, const char *data, size_t size);
    /* The end, exactly once, also after a cancel. */
    void (*done)(void *context, const struct backends_result *result);
};

struct backends_request {
    const struct backends_ops *ops;
    void *context;
    const char *host; /* an IP number */
    int port;
    const char *method;
    const char *path;
    const char *content_type;   /* NULL: application/json; "": none */
    const char *const *headers; /* name, value, ..., NULL */
    const char *body;
    size_t body_size;
    int64_t connect_ms;    /* 0: 1,000 */
    int64_t first_byte_ms; /* silence before the answer begins; 0: 30,000 */
    int64_t silence_ms;    /* silence within the answer; 0: 5,000 */
    int64_t deadline_ms;   /* on base_clock_ms; 0: none */
    /* The x-request-id that a 2xx answer must echo, or the call fails with
     * BASE_CORRUPT and nothing of the answer is passed on; NULL: no check. */
    const char *request_id;
    /* NULL or 0: the product's own, as above. */
    const char *host_header;    /* instead of the address */
    const char *id_header;      /* instead of x-request-id */
    const char *refusal_header; /* says, by being there, "not run" */
    int refusal_status;         /* always says "not run" */
};

struct backends_desc {
    struct lws_context *context;
    const char *source; /* IP to connect from; NULL: the system's choice */
    struct base_counters *counters; /* NULL: none are kept */
};

struct backends {
    struct lws_context *lws;
    char *source;
    struct lws_vhost *vhost;
    struct base_table calls; /* of struct backends_call * */
    struct base_counters *counters;
    char *read_buffer;
};

/* The largest head that the library parses, of requests and answers. */
enum { BACKENDS_HEAD_SIZE = 65535 };

void backends_prepare_info(struct lws_context_creation_info *info);

bool backends_init(struct backends *backends, const struct backends_desc *desc,
                   struct base_error *err);
void backends_finish(struct backends *backends);
struct base_handle backends_send(struct backends *backends,
                                 const struct backends_request *request,
                                 struct base_error *err);
void backends_cancel(struct backends *backends, struct base_handle call);

/* Back-pressure: a paused call reads nothing, and its silence limit rests. */
void backends_pause(struct backends *backends, struct base_handle call);
void backends_resume(struct backends *backends, struct base_handle call);
/* From now on, this much silence within the answer ends the call. */
void backends_set_silence(struct backends *backends, struct base_handle call,
                          int64_t silence_ms);
/* A header of the answer; only from within ops->head.  The name is in lower
 * case.  Returns false when the answer has none or it does not fit. */
bool backends_header(struct backends *backends, struct base_handle call,
                     const char *name, char *out, size_t size);

#ifdef __cplusplus
}
#endif

#endif
