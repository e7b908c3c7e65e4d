/*
 * prompt: parses the body of a model request and makes the body that is sent
 * to the engine.
 *
 *     if (prompt_parse(&prompt, body, size, is_chat, &err)) ...
 *     prompt_finish(&prompt);
 */
#ifndef CARDAMOM_FRONT_PROMPT_H
#define CARDAMOM_FRONT_PROMPT_H

#include <jansson.h>

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

struct prompt {
    char model[128];
    bool wants_stream;
    /* The response is a single text, so that it can be assembled from a
     * stream. */
    bool is_single_text;
    int max_tokens;      /* 0: not given */
    uint64_t prefix_key; /* the same for prompts that begin alike */
    /* The body changed to request a stream; NULL unless is_single_text and not
     * wants_stream.  prompt_finish frees it. */
    char *streamed_body;
};

bool prompt_parse(struct prompt *prompt, const char *body, size_t size,
                  bool is_chat, struct base_error *err);
void prompt_finish(struct prompt *prompt);

#ifdef __cplusplus
}
#endif

#endif
