/*
 * response: incremental parser for the response to one HTTP/1.1 request.  It
 * does no I/O; the caller feeds it the received bytes.
 *
 *     struct backends_response *response =
 *         backends_response_new(&OPS, context, is_head_method);
 *     switch (backends_response_feed(response, data, size)) {
 *     case BACKENDS_RESPONSE_COMPLETE: ... the end of the body was marked ...
 *     }
 *
 * Private to backends.
 */
#ifndef CARDAMOM_BACKENDS_RESPONSE_H
#define CARDAMOM_BACKENDS_RESPONSE_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Callbacks, which run within backends_response_feed; if one returns false,
 * parsing stops. */
struct backends_response_ops {
    /* The head is complete.  status: from 100 to 599; 0: not valid. */
    bool (*head)(void *context, int status);
    bool (*body)(void *context, const char *data, size_t size);
};

enum backends_response_result {
    BACKENDS_RESPONSE_MORE,
    BACKENDS_RESPONSE_COMPLETE, /* later bytes are not parsed */
    BACKENDS_RESPONSE_STOPPED,  /* by a callback */
    BACKENDS_RESPONSE_BAD,      /* see backends_response_error */
};

struct backends_response;

struct backends_response *
backends_response_new(const struct backends_response_ops *ops, void *context,
                      bool is_head_method);
void backends_response_free(struct backends_response *response);
enum backends_response_result
backends_response_feed(struct backends_response *response, const char *data,
                       size_t size);
const char *backends_response_header(const struct backends_response *response,
                                     const char *name);
bool backends_response_has_head(const struct backends_response *response);
bool backends_response_ends_by_close(const struct backends_response *response);
const char *backends_response_error(const struct backends_response *response);

#ifdef __cplusplus
}
#endif

#endif
