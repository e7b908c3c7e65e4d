#include "batch/response.h"

#include <string.h>

enum { MAX_EVENT_BYTES = 1 << 20 };

/* Prepares for the first stream of an item. */
void
batch_response_init(struct batch_response *answer, bool is_chat)
{
    memset(answer, 0, sizeof(*answer));
    answer->is_chat = is_chat;
    answer->line = g_string_new(NULL);
    answer->text = g_string_new(NULL);
}

void
batch_response_finish(struct batch_response *answer)
{
    if (answer->line != NULL) {
        g_string_free(answer->line, TRUE);
        g_string_free(answer->text, TRUE);
    }
    g_free(answer->finish_reason);
    json_decref(answer->usage);
    memset(answer, 0, sizeof(*answer));
}

/* Prepares for another stream, which goes on from the tokens kept or from
 * the beginning. */
void
batch_response_restart(struct batch_response *answer, bool keep_tokens)
{
    g_string_truncate(answer->line, 0);
    g_clear_pointer(&answer->finish_reason, g_free);
    answer->is_response_complete = false;
    answer->is_response_invalid = false;
    if (!keep_tokens) {
        g_string_truncate(answer->text, 0);
        answer->n_tokens = 0;
    }
}

static bool
is_id_of(const char *id, const char *request_id)
{
    const char *dash = id == NULL ? NULL : strchr(id, '-');
    return dash != NULL && strcmp(dash + 1, request_id) == 0;
}

static const char *
token_of(const struct batch_response *answer, const json_t *choice)
{
    const json_t *holder =
        answer->is_chat ? json_object_get(choice, "delta") : choice;
    return json_string_value(
        json_object_get(holder, answer->is_chat ? "content" : "text"));
}

static void
take_event(struct batch_response *answer, const char *request_id,
           const json_t *event)
{
    const json_t *choice =
        json_array_get(json_object_get(event, "choices"), 0);
    const char *id = json_string_value(json_object_get(event, "id"));
    const char *token = token_of(answer, choice);
    const char *reason =
        json_string_value(json_object_get(choice, "finish_reason"));
    json_t *usage = json_object_get(event, "usage");

    if (!is_id_of(id, request_id)) {
        answer->is_response_invalid = true;
        return;
    }
    if (token != NULL && token[0] != '\0') {
        g_string_append(answer->text, token);
        answer->n_tokens++;
    }
    if (reason != NULL) {
        g_free(answer->finish_reason);
        answer->finish_reason = g_strdup(reason);
    }
    if (json_is_object(usage)) {
        json_decref(answer->usage);
        answer->usage = json_incref(usage);
    }
}

static void
take_line(struct batch_response *answer, const char *request_id,
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
        answer->is_response_complete = answer->finish_reason != NULL;
        return;
    }
    event = json_loadb(line, size, 0, NULL);
    if (!json_is_object(event) || json_object_get(event, "error") != NULL) {
        answer->is_response_invalid = true;
    }
    else {
        take_event(answer, request_id, event);
    }
    json_decref(event);
}

/* Takes the next bytes of the stream that answers `request_id`. */
void
batch_response_push(struct batch_response *answer, const char *request_id,
                    const char *data, size_t size)
{
    const char *end = data + size;

    while (data < end && !answer->is_response_invalid) {
        const char *newline = memchr(data, '\n', (size_t)(end - data));
        size_t length = (size_t)((newline == NULL ? end : newline) - data);
        if (newline != NULL && answer->line->len == 0) {
            take_line(answer, request_id, data, length);
        }
        else {
            g_string_append_len(answer->line, data, (gssize)length);
        }
        if (newline != NULL && answer->line->len > 0) {
            take_line(answer, request_id, answer->line->str,
                      answer->line->len);
            g_string_truncate(answer->line, 0);
        }
        answer->is_response_invalid |= answer->line->len > MAX_EVENT_BYTES;
        data += length + (newline != NULL);
    }
}

/* The whole answer in the published shape, as if it had not been streamed;
 * a new reference. */
json_t *
batch_response_body(const struct batch_response *answer,
                    const char *request_id, const char *model, int64_t now_s)
{
    char *id =
        g_strconcat(answer->is_chat ? "chatcmpl-" : "cmpl-", request_id, NULL);
    json_t *choice = answer->is_chat
                         ? json_pack("{s:i, s:{s:s, s:s%}, s:s}", "index", 0,
                                     "message", "role", "assistant", "content",
                                     answer->text->str, answer->text->len,
                                     "finish_reason", answer->finish_reason)
                         : json_pack("{s:i, s:s%, s:s}", "index", 0, "text",
                                     answer->text->str, answer->text->len,
                                     "finish_reason", answer->finish_reason);
    json_t *body = json_pack(
        "{s:s, s:s, s:I, s:s, s:[o]}", "id", id, "object",
        answer->is_chat ? "chat.completion" : "text_completion", "created",
        (json_int_t)now_s, "model", model, "choices", choice);

    if (answer->usage != NULL) {
        json_object_set(body, "usage", answer->usage);
    }
    else {
        json_object_set_new(
            body, "usage",
            json_pack("{s:i}", "completion_tokens", answer->n_tokens));
    }
    g_free(id);
    return body;
}
