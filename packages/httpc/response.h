/*
 * response: incremental parser for the response to one HTTP/1.1 request.  It
 * does no I/O; the caller feeds it the received bytes.
 *
 *     struct httpc_response *response =
 *         httpc_response_new(&OPS, context, is_head_method);
 *     switch (httpc_response_feed(response, data, size)) {
 *     case HTTPC_RESPONSE_COMPLETE: ... the end of the body was marked ...
 *     }
 *
 * Private to httpc.
 */
#ifndef CARDAMOM_HTTPC_RESPONSE_H
#define CARDAMOM_HTTPC_RESPONSE_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Callbacks, which run within httpc_response_feed; if one returns false,
 * parsing stops. */
struct httpc_response_ops {
    /* The head of the final response is complete.  status: 101, or from 200 to
     * 599; 0: not valid. */
    bool (*head)(void *context, int status);
    bool (*body)(void *context, const char *data, size_t size);
};

enum httpc_response_result {
    HTTPC_RESPONSE_MORE,
    HTTPC_RESPONSE_COMPLETE, /* later bytes are not parsed */
    HTTPC_RESPONSE_STOPPED,  /* by a callback */
    HTTPC_RESPONSE_BAD,      /* see httpc_response_error */
};

/* Largest head of a response, in bytes. */
enum { HTTPC_HEAD_SIZE = 65535 };

struct httpc_response;

struct httpc_response *httpc_response_new(const struct httpc_response_ops *ops,
                                          void *context, bool is_head_method);
void httpc_response_free(struct httpc_response *response);
enum httpc_response_result httpc_response_feed(struct httpc_response *response,
                                               const char *data, size_t size);
const char *httpc_response_header(const struct httpc_response *response,
                                  const char *name);
bool httpc_response_has_head(const struct httpc_response *response);
bool httpc_response_ends_by_close(const struct httpc_response *response);
const char *httpc_response_error(const struct httpc_response *response);

#ifdef __cplusplus
}
#endif

#endif
