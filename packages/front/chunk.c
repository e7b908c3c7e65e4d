#include "front/chunk.h"

#include <string.h>

static bool
has_tool_call(json_t *delta)
{
    return json_array_size(json_object_get(delta, "tool_calls")) > 0 ||
           json_is_object(json_object_get(delta, "function_call"));
}

/* Parses an event's data; returns false when it is not a JSON object.  Call
 * chunk_finish in either case. */
bool
chunk_parse(struct chunk *chunk, const char *payload, size_t size)
{
    json_t *choice;
    json_t *delta;
    json_t *text;

    memset(chunk, 0, sizeof(*chunk));
    chunk->json = json_loadb(payload, size, 0, NULL);
    if (!json_is_object(chunk->json)) {
        return false;
    }
    choice = json_array_get(json_object_get(chunk->json, "choices"), 0);
    delta = json_object_get(choice, "delta");
    text = delta != NULL ? json_object_get(delta, "content")
                         : json_object_get(choice, "text");
    chunk->id = json_string_value(json_object_get(chunk->json, "id"));
    chunk->content = json_string_value(text);
    chunk->finish_reason =
        json_string_value(json_object_get(choice, "finish_reason"));
    chunk->is_token = json_string_length(text) > 0 || has_tool_call(delta);
    chunk->is_error = json_object_get(chunk->json, "error") != NULL;
    return true;
}

/* Frees the contents of a chunk. */
void
chunk_finish(struct chunk *chunk)
{
    json_decref(chunk->json);
}
