/*
 * http: the HTTP calls of the platform task.  Each call opens a connection of
 * its own, so that no call is sent on an idle connection whose other end no
 * longer responds.  Private to platform; all functions run on the task's
 * thread.
 *
 *     platform_http_send(http, &(struct platform_http_request){
 *         .address = "127.0.0.1:2379", .method = "POST",
 *         .path = "/v3/kv/range", .body = body, .timeout_ms = 500,
 *         .ops = &OPS, .context = my});
 *
 * ops->done runs exactly once, after platform_http_send has returned; it does
 * not run for a cancelled call.
 */
#ifndef CARDAMOM_PLATFORM_HTTP_H
#define CARDAMOM_PLATFORM_HTTP_H

#include "base/base.h"
#include "httpc/httpc.h"

struct platform_http {
    struct lws_context *lws;
    struct httpc httpc;
    const char *source;        /* local IP address; NULL: any */
    size_t max_response_bytes; /* a call with a larger response fails */
    /* Runs on the task's thread after another thread woke its loop. */
    void (*woken)(void *context);
    void *context;
};

struct platform_http_result {
    int status;        /* 0: no response */
    bool is_complete;  /* the whole response arrived */
    bool is_sent;      /* bytes of the request may have reached the server */
    int retry_after_s; /* Retry-After header; 0: none */
    const char *body;
    size_t size;
};

struct platform_http_ops {
    void (*done)(void *context, const struct platform_http_result *result);
    /* For a streamed response, else NULL: receives the body in pieces.  With
     * status 200 the result then has no body. */
    void (*data)(void *context, const char *data, size_t size);
    /* NULL: not needed.  Runs after each further PLATFORM_HTTP_PROGRESS_BYTES
     * of a body that is not streamed; is_response: of the response. */
    void (*progress)(void *context, bool is_response);
};

/* Bytes of a body after which the time limit of a call starts anew. */
enum { PLATFORM_HTTP_PROGRESS_BYTES = 16384 };

struct platform_http_request {
    const struct platform_http_ops *ops;
    void *context;
    const char *address; /* "IP:port" */
    const char *method;
    const char *path;
    GString *body; /* freed by platform_http_send; NULL: none */
    /* Longest time without progress: for a stream without data, otherwise
     * without PLATFORM_HTTP_PROGRESS_BYTES.  A small call thus has no longer
     * in all, while a large one may take what its link needs. */
    int64_t timeout_ms;
};

struct platform_http_call;

bool platform_http_init(struct platform_http *http, struct base_error *err);
void platform_http_finish(struct platform_http *http);
struct platform_http_call *
platform_http_send(struct platform_http *http,
                   const struct platform_http_request *request);
void platform_http_set_timeout(struct platform_http_call *call,
                               int64_t timeout_ms);
void platform_http_cancel(struct platform_http_call *call);

#endif
