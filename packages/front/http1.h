/*
 * http1: incremental parser for the HTTP/1 requests of one connection.  It
 * does no I/O; the caller feeds it the received bytes.
 *
 *     struct http1 *http1 = http1_new(&OPS, context);
 *     switch (http1_feed(http1, data, size, &used)) {
 *     case HTTP1_ENDED:   // a request is complete; data + used is the rest
 *         ... answer it ... http1_next(http1) ... feed the other bytes ...
 *     }
 */
#ifndef CARDAMOM_FRONT_HTTP1_H
#define CARDAMOM_FRONT_HTTP1_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

struct http1_head {
    const char *method;
    const char *target; /* path and query, as sent */
    GPtrArray *fields;  /* name, value, ...; owned by the head callback */
    size_t size;        /* size of the head in bytes */
    bool is_chunked;
    int64_t length;     /* body length in bytes; 0: chunked or no body */
    bool is_keep_alive; /* the connection may carry another request */
};

/* Callbacks, which run within http1_feed. */
struct http1_ops {
    void (*head)(void *context, const struct http1_head *head);
    void (*body)(void *context, const char *data, size_t size);
    void (*end)(void *context);
};

enum { HTTP1_METHOD_SIZE = 64 }; /* with the zero byte; RFC 9110 names none */

enum http1_result {
    HTTP1_MORE,  /* all bytes were used; the request continues */
    HTTP1_ENDED, /* a request ended; call http1_next before http1_feed */
    HTTP1_BAD,   /* malformed request, or one that asks for an upgrade */
    HTTP1_HEAD_TOO_LARGE,
};

struct http1;

struct http1 *http1_new(const struct http1_ops *ops, void *context);
void http1_free(struct http1 *http1);
enum http1_result http1_feed(struct http1 *http1, const char *data,
                             size_t size, size_t *used);
const char *http1_error(const struct http1 *http1);
void http1_next(struct http1 *http1);
bool http1_is_paused(const struct http1 *http1);
size_t http1_head_size(const struct http1 *http1);
const char *http1_reason(int status);

#ifdef __cplusplus
}
#endif

#endif
