/*
 * answer: a backend server's answer as it arrives.  An engine's answer comes
 * as server-sent events, one a token, so that what has arrived is kept when
 * the stream is cut, and a later stream goes on from token n_tokens.
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
    GString *line; /* of the stream, whose end has not come yet */
    GString *text; /* of the tokens kept */
    int n_tokens;
    char *finish_reason;
    json_t *usage;             /* NULL: none seen */
    bool is_response_complete; /* the end of the stream came */
    bool is_response_invalid;  /* of another request, or not understood */
};

void batch_response_init(struct batch_response *answer, bool is_chat);
void batch_response_finish(struct batch_response *answer);
void batch_response_restart(struct batch_response *answer, bool keep_tokens);
void batch_response_push(struct batch_response *answer, const char *request_id,
                         const char *data, size_t size);
json_t *batch_response_body(const struct batch_response *answer,
                            const char *request_id, const char *model,
                            int64_t now_s);

#ifdef __cplusplus
}
#endif

#endif
