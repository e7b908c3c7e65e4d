#include "front/prompt.h"

#include <stdlib.h>
#include <string.h>

enum {
    /* Bytes of the prompt, or of the only message, that the prefix key
     * covers. */
    PREFIX_BYTES = 256,
    /* Bytes of a first message that others follow. */
    SYSTEM_PREFIX_BYTES = 4096,
};

static bool
read_text(json_t *json, const char *name, char *out, size_t size,
          struct base_error *err)
{
    const char *text = json_string_value(json_object_get(json, name));

    if (text == NULL || text[0] == '\0' || strlen(text) >= size) {
        base_error_set(err, BASE_INVALID,
                       "\"%s\" must be a short, non-empty text", name);
        return false;
    }
    g_strlcpy(out, text, size);
    return true;
}

static bool
read_flag(json_t *json, const char *name, bool *out, struct base_error *err)
{
    json_t *value = json_object_get(json, name);

    if (value != NULL && !json_is_boolean(value) && !json_is_null(value)) {
        base_error_set(err, BASE_INVALID, "\"%s\" must be true or false",
                       name);
        return false;
    }
    *out = json_is_true(value);
    return true;
}

static bool
read_max_tokens(struct prompt *prompt, json_t *json, struct base_error *err)
{
    static const char *const NAMES[] = {"max_completion_tokens", "max_tokens"};

    for (size_t i = 0; i < G_N_ELEMENTS(NAMES); i++) {
        json_t *value = json_object_get(json, NAMES[i]);
        if (value == NULL || json_is_null(value)) {
            continue;
        }
        json_int_t number = json_integer_value(value);
        if (!json_is_integer(value) || number < 1 || number > INT32_MAX) {
            base_error_set(err, BASE_INVALID,
                           "\"%s\" must be a whole number above 0", NAMES[i]);
            return false;
        }
        prompt->max_tokens = (int)number;
        return true;
    }
    return true;
}

static uint64_t
hash_prefix(json_t *value, size_t max_size, uint64_t seed)
{
    char *text = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
    uint64_t key =
        text == NULL ? 0 : base_hash(text, MIN(strlen(text), max_size), seed);

    free(text);
    return key;
}

/* Returns a key that is the same for requests that begin alike: those with a
 * common first message, or those with the same first bytes. */
static uint64_t
find_prefix_key(json_t *json, bool is_chat, const char *model)
{
    uint64_t seed = base_hash_text(model, 0);
    json_t *messages = json_object_get(json, "messages");

    if (!is_chat) {
        return hash_prefix(json_object_get(json, "prompt"), PREFIX_BYTES,
                           seed);
    }
    return hash_prefix(json_array_get(messages, 0),
                       json_array_size(messages) > 1 ? SYSTEM_PREFIX_BYTES
                                                     : PREFIX_BYTES,
                       seed);
}

static bool
check_content(json_t *json, bool is_chat, struct base_error *err)
{
    json_t *messages = json_object_get(json, "messages");
    json_t *message;
    size_t i;

    if (!is_chat) {
        if (json_object_get(json, "prompt") == NULL) {
            base_error_set(err, BASE_INVALID, "\"prompt\" is missing");
            return false;
        }
        return true;
    }
    if (json_array_size(messages) == 0) {
        base_error_set(err, BASE_INVALID,
                       "\"messages\" must be a list of at least one message");
        return false;
    }
    json_array_foreach(messages, i, message)
    {
        if (json_string_value(json_object_get(message, "role")) == NULL) {
            base_error_set(err, BASE_INVALID, "messages[%zu] has no \"role\"",
                           i);
            return false;
        }
    }
    return true;
}

/* Returns whether the response is a single text: no field of the request asks
 * for more. */
static bool
is_single_text(json_t *json)
{
    static const char *const MULTI_OUTPUT_FIELDS[] = {
        "tools", "functions", "logprobs",   "top_logprobs",
        "echo",  "audio",     "modalities", "best_of",
    };
    json_t *n = json_object_get(json, "n");
    json_t *prompt = json_object_get(json, "prompt");

    for (size_t i = 0; i < G_N_ELEMENTS(MULTI_OUTPUT_FIELDS); i++) {
        json_t *value = json_object_get(json, MULTI_OUTPUT_FIELDS[i]);
        if (value != NULL && !json_is_null(value) && !json_is_false(value)) {
            return false;
        }
    }
    if (prompt != NULL && !json_is_string(prompt)) {
        return false;
    }
    return n == NULL || json_is_null(n) || json_integer_value(n) == 1;
}

static char *
make_streamed_body(json_t *json)
{
    json_object_set_new(json, "stream", json_true());
    json_object_set_new(json, "stream_options",
                        json_pack("{s:b}", "include_usage", 1));
    return json_dumps(json, JSON_COMPACT);
}

static bool
read_all(struct prompt *prompt, json_t *json, bool is_chat,
         struct base_error *err)
{
    if (!read_text(json, "model", prompt->model, sizeof(prompt->model), err) ||
        !read_flag(json, "stream", &prompt->wants_stream, err) ||
        !read_max_tokens(prompt, json, err) ||
        !check_content(json, is_chat, err)) {
        return false;
    }
    prompt->prefix_key = find_prefix_key(json, is_chat, prompt->model);
    prompt->is_single_text = is_single_text(json);
    if (prompt->is_single_text && !prompt->wants_stream) {
        prompt->streamed_body = make_streamed_body(json);
    }
    return true;
}

/* Parses a request's body.  Fails with BASE_INVALID and a text that tells the
 * caller what to correct.  Call prompt_finish in either case. */
bool
prompt_parse(struct prompt *prompt, const char *body, size_t size,
             bool is_chat, struct base_error *err)
{
    json_error_t fault;
    json_t *json;
    bool is_ok;

    memset(prompt, 0, sizeof(*prompt));
    if (!base_is_utf8(body, size)) {
        base_error_set(err, BASE_INVALID, "the body is not valid UTF-8");
        return false;
    }
    json = json_loadb(body, size, 0, &fault);
    if (!json_is_object(json)) {
        base_error_set(err, BASE_INVALID,
                       "the body is not a JSON object: line %d, column %d: %s",
                       fault.line, fault.column,
                       json == NULL ? fault.text : "not an object");
        json_decref(json);
        return false;
    }
    is_ok = read_all(prompt, json, is_chat, err);
    json_decref(json);
    return is_ok;
}

/* Frees the contents of a prompt. */
void
prompt_finish(struct prompt *prompt)
{
    free(prompt->streamed_body);
    prompt->streamed_body = NULL;
}
