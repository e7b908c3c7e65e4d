/*
 * sse: splits a stream of server-sent events.
 *
 *     sse_feed(attempt->buffered_body, data, size, on_event, attempt);
 *
 * `pending` holds the bytes of the last, incomplete event between calls.
 */
#ifndef CARDAMOM_FRONT_SSE_H
#define CARDAMOM_FRONT_SSE_H

#include <glib.h>
#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

enum { SSE_MAX_EVENT = 1048576 }; /* bytes of an incomplete event */

enum sse_result {
    SSE_MORE,
    SSE_STOPPED, /* on_event returned false; pending may be freed */
    SSE_TOO_LONG,
};

enum sse_result sse_feed(GString *pending, const char *data, size_t size,
                         bool (*on_event)(void *context, const char *payload,
                                          size_t size),
                         void *context);

#ifdef __cplusplus
}
#endif

#endif
