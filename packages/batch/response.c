#include "batch/response.h"

#include <string.h>

enum { MAX_EVENT_BYTES = 1 << 20 };

/* Initialises an empty response. */
void
batch_response_init(struct batch_response *response, bool is_chat)
{
    memset(response, 0, sizeof(*response));
    response->is_chat = is_chat;
    response->partial = g_string_new(NULL);
    response->text = g_string_new(NULL);
}

void
batch_response_finish(struct batch_response *response)
{
    if (response->partial != NULL) {
        g_string_free(response->partial, TRUE);
        g_string_free(response->text, TRUE);
    }
    g_free(response->finish_reason);
    json_decref(response->usage);
    memset(response, 0, sizeof(*response));
}

/* Prepares for another stream, which resumes after the tokens received so far
 * (keep_tokens) or starts from the first token. */
void
batch_response_restart(struct batch_response *response, bool keep_tokens)
{
    g_string_truncate(response->partial, 0);
    g_clear_pointer(&response->finish_reason, g_free);
    response->is_response_complete = false;
    response->is_response_invalid = false;
    if (!keep_tokens) {
        g_string_truncate(response->text, 0);
        response->n_tokens = 0;
    }
}

/* Returns whether the id of an event belongs to the request.  Such an id
 * consists of a prefix, a dash and the request's id. */
static bool
id_matches_request(const char *id, const char *request_id)
{
    const char *dash = id == NULL ? NULL : strchr(id, '-');
    return dash != NULL && strcmp(dash + 1, request_id) == 0;
}

/* Returns the text that the event's choice adds, or NULL. */
static const char *
get_token(const struct batch_response *response, const json_t *choice)
{
    const json_t *container =
        response->is_chat ? json_object_get(choice, "delta") : choice;
    return json_string_value(
        json_object_get(container, response->is_chat ? "content" : "text"));
}

static void
apply_event(struct batch_response *response, const char *request_id,
            const json_t *event)
{
    const json_t *choice =
        json_array_get(json_object_get(event, "choices"), 0);
    const char *id = json_string_value(json_object_get(event, "id"));
    const char *token = get_token(response, choice);
    const char *reason =
        json_string_value(json_object_get(choice, "finish_reason"));
    json_t *usage = json_object_get(event, "usage");

    if (!id_matches_request(id, request_id)) {
        response->is_response_invalid = true;
        return;
    }
    if (token != NULL && token[0] != '\0') {
        g_string_append(response->text, token);
        response->n_tokens++;
    }
    if (reason != NULL) {
        g_free(response->finish_reason);
        response->finish_reason = g_strdup(reason);
    }
    if (json_is_object(usage)) {
        json_decref(response->usage);
        response->usage = json_incref(usage);
    }
}

static void
parse_line(struct batch_response *response, const char *request_id,
           const char *line, size_t size)
{
    static const char PREFIX[] = "data:";
    json_t *event;

    if (size > 0 && line[size - 1] == '\r') {
        size--;
    }
    if (size < strlen(PREFIX) || strncmp(line, PREFIX, strlen(PREFIX)) != 0) {
        return;
    }
    line += strlen(PREFIX);
    size -= strlen(PREFIX);
    while (size > 0 && line[0] == ' ') {
        line++;
        size--;
    }
    if (size == strlen("[DONE]") && memcmp(line, "[DONE]", size) == 0) {
        response->is_response_complete = response->finish_reason != NULL;
        return;
    }
    event = json_loadb(line, size, 0, NULL);
    if (!json_is_object(event) || json_object_get(event, "error") != NULL) {
        response->is_response_invalid = true;
    }
    else {
        apply_event(response, request_id, event);
    }
    json_decref(event);
}

/* Parses the next bytes of the stream that answers `request_id`.  Ignores all
 * bytes after an invalid event. */
void
batch_response_push(struct batch_response *response, const char *request_id,
                    const char *data, size_t size)
{
    const char *end = data + size;

    while (data < end && !response->is_response_invalid) {
        const char *newline = memchr(data, '\n', (size_t)(end - data));
        size_t length = (size_t)((newline == NULL ? end : newline) - data);
        if (newline != NULL && response->partial->len == 0) {
            parse_line(response, request_id, data, length);
        }
        else {
            g_string_append_len(response->partial, data, (gssize)length);
        }
        if (newline != NULL && response->partial->len > 0) {
            parse_line(response, request_id, response->partial->str,
                       response->partial->len);
            g_string_truncate(response->partial, 0);
        }
        response->is_response_invalid |=
            response->partial->len > MAX_EVENT_BYTES;
        data += length + (newline != NULL);
    }
}

/* Returns the complete response body in the published OpenAI format, as if it
 * had not been streamed.  The caller owns the reference. */
json_t *
batch_response_body(const struct batch_response *response,
                    const char *request_id, const char *model, int64_t now_s)
{
    char *id = g_strconcat(response->is_chat ? "chatcmpl-" : "cmpl-",
                           request_id, NULL);
    json_t *choice = response->is_chat
                         ? json_pack("{s:i, s:{s:s, s:s%}, s:s}", "index", 0,
                                     "message", "role", "assistant", "content",
                                     response->text->str, response->text->len,
                                     "finish_reason", response->finish_reason)
                         : json_pack("{s:i, s:s%, s:s}", "index", 0, "text",
                                     response->text->str, response->text->len,
                                     "finish_reason", response->finish_reason);
    json_t *body = json_pack(
        "{s:s, s:s, s:I, s:s, s:[o]}", "id", id, "object",
        response->is_chat ? "chat.completion" : "text_completion", "created",
        (json_int_t)now_s, "model", model, "choices", choice);

    if (response->usage != NULL) {
        json_object_set(body, "usage", response->usage);
    }
    else {
        json_object_set_new(
            body, "usage",
            json_pack("{s:i}", "completion_tokens", response->n_tokens));
    }
    g_free(id);
    return body;
}
