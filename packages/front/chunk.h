/*
 * chunk: parses one event of an engine's response stream.
 *
 *     if (chunk_parse(&chunk, payload, size)) ...
 *     chunk_finish(&chunk);
 *
 * The texts belong to the chunk and are valid until chunk_finish.
 */
#ifndef CARDAMOM_FRONT_CHUNK_H
#define CARDAMOM_FRONT_CHUNK_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

struct chunk {
    json_t *json;
    const char *id;            /* NULL: none */
    const char *content;       /* of the first choice; NULL: none */
    const char *finish_reason; /* NULL: none */
    bool is_token;             /* carries a token of the response */
    bool is_error;
};

bool chunk_parse(struct chunk *chunk, const char *payload, size_t size);
void chunk_finish(struct chunk *chunk);

#endif
