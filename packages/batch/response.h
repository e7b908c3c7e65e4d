/*
 * response: collects the streamed response of an engine.  It arrives as
 * server-sent events, one per token.  If the stream breaks, the tokens that
 * were received can be kept, and another stream resumes after them.
 *
 *     batch_response_init(&response, is_chat);
 *     while (...) batch_response_push(&response, id, data, size);
 *     if (response.is_response_complete && !response.is_response_invalid) {
 *         body = batch_response_body(&response, id, model, now_s);
 *     }
 *     batch_response_finish(&response);
 *
 * To send the request again, call batch_response_restart first.
 */
#ifndef CARDAMOM_BATCH_RESPONSE_H
#define CARDAMOM_BATCH_RESPONSE_H

#include <jansson.h>

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

struct batch_response {
    bool is_chat;
    GString *partial; /* an event line whose newline has not been received */
    GString *text;    /* text of all tokens received */
    int n_tokens;
    char *finish_reason;
    json_t *usage;             /* NULL: not received */
    bool is_response_complete; /* finish reason and [DONE] received */
    bool is_response_invalid;  /* an event has another request's id, reports an
                                * error, or can't be parsed */
};

void batch_response_init(struct batch_response *response, bool is_chat);
void batch_response_finish(struct batch_response *response);
void batch_response_restart(struct batch_response *response, bool keep_tokens);
void batch_response_push(struct batch_response *response,
                         const char *request_id, const char *data,
                         size_t size);
json_t *batch_response_body(const struct batch_response *response,
                            const char *request_id, const char *model,
                            int64_t now_s);

#ifdef __cplusplus
}
#endif

#endif
