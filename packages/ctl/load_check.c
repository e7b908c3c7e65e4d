#include "ctl/load_check.h"

#include <jansson.h>
#include <string.h>

static const char *const NAMES[LOAD_N_VERDICTS] = {
    "ok",          "refused_no", "refused_maybe", "refused_yes",
    "error_event", "failed",     "cut",           "wrong",
};

/* The name of a verdict in reports. */
const char *
load_verdict_name(enum load_verdict verdict)
{
    return NAMES[verdict];
}

/* Prepares to check one response.  The times between its tokens are appended
 * to gaps, which the caller owns. */
void
load_check_init(struct load_check *check, int expected_tokens, bool is_stream,
                GArray *gaps)
{
    memset(check, 0, sizeof(*check));
    check->expected_tokens = expected_tokens;
    check->is_stream = is_stream;
    check->gaps = gaps;
    check->pending = g_string_new(NULL);
}

/* Frees what the check holds. */
void
load_check_finish(struct load_check *check)
{
    if (check->pending != NULL) {
        g_string_free(check->pending, TRUE);
        check->pending = NULL;
    }
}

static void G_GNUC_PRINTF(2, 3)
    set_fault(struct load_check *check, const char *format, ...)
{
    va_list args;

    if (check->fault[0] != '\0') {
        return;
    }
    va_start(args, format);
    g_vsnprintf(check->fault, sizeof(check->fault), format, args);
    va_end(args);
}

static void
check_id(struct load_check *check, const json_t *response)
{
    const char *id = json_string_value(json_object_get(response, "id"));

    if (g_strcmp0(id, check->id) != 0) {
        set_fault(check, "id %s", id != NULL ? id : "missing");
    }
}

/* Writes token n (from 0) of the stand-in engine's text for this prompt. */
static void
format_expected_token(const struct load_check *check, int n, char *out,
                      size_t size)
{
    g_snprintf(out, size, "t%d-%s ", n, check->prompt_digest);
}

static void
add_token(struct load_check *check, const char *text, int64_t now_us)
{
    char want[32];

    if (check->checks_tokens) {
        format_expected_token(check, check->n_tokens, want, sizeof(want));
        if (strcmp(want, text) != 0) {
            set_fault(check, "token %d is %.20s", check->n_tokens, text);
        }
    }
    check->n_tokens++;
    if (check->first_token_us == 0) {
        check->first_token_us = now_us;
    }
    else {
        float gap_ms = (float)(now_us - check->last_token_us) / 1000;
        g_array_append_val(check->gaps, gap_ms);
    }
    check->last_token_us = now_us;
}

static void
parse_chunk(struct load_check *check, const json_t *chunk, int64_t now_us)
{
    const json_t *choice =
        json_array_get(json_object_get(chunk, "choices"), 0);
    const char *text = json_string_value(
        json_object_get(json_object_get(choice, "delta"), "content"));

    if (json_object_get(chunk, "error") != NULL) {
        check->has_error = true;
        return;
    }
    check_id(check, chunk);
    if (text != NULL && text[0] != '\0') {
        add_token(check, text, now_us);
    }
    if (json_is_string(json_object_get(choice, "finish_reason"))) {
        check->is_finished = true;
    }
}

static void
parse_event(struct load_check *check, const char *data, size_t size,
            int64_t now_us)
{
    json_t *chunk;

    if (check->is_done) {
        set_fault(check, "bytes after [DONE]");
        return;
    }
    if (size == strlen("[DONE]") && memcmp(data, "[DONE]", size) == 0) {
        check->is_done = true;
        return;
    }
    chunk = json_loadb(data, size, 0, NULL);
    if (chunk == NULL) {
        set_fault(check, "an event that is not JSON");
        return;
    }
    parse_chunk(check, chunk, now_us);
    json_decref(chunk);
}

static void
parse_line(struct load_check *check, const char *line, size_t size,
           int64_t now_us)
{
    if (size > 0 && line[size - 1] == '\r') {
        size--;
    }
    if (size >= 5 && memcmp(line, "data:", 5) == 0) {
        size_t skip = size > 5 && line[5] == ' ' ? 6 : 5;
        parse_event(check, line + skip, size - skip, now_us);
    }
}

/* Adds bytes of the body that arrived at now_us. */
void
load_check_feed(struct load_check *check, const char *data, size_t size,
                int64_t now_us)
{
    GString *pending = check->pending;
    size_t from = 0;
    const char *end;

    g_string_append_len(pending, data, (gssize)size);
    if (!check->is_stream) {
        return;
    }
    while ((end = memchr(pending->str + from, '\n', pending->len - from)) !=
           NULL) {
        size_t length = (size_t)(end - pending->str) - from;
        parse_line(check, pending->str + from, length, now_us);
        from += length + 1;
    }
    g_string_erase(pending, 0, (gssize)from);
}

/* Counts the tokens of the stand-in engine, which end in a space each. */
static int
count_spaces(const char *text)
{
    int count = 0;

    for (const char *at = text; *at != '\0'; at++) {
        count += *at == ' ';
    }
    return count;
}

static void
check_text(struct load_check *check, const char *text)
{
    GString *want = g_string_new(NULL);

    for (int n = 0; n < check->expected_tokens; n++) {
        char token[32];
        format_expected_token(check, n, token, sizeof(token));
        g_string_append(want, token);
    }
    if (strcmp(want->str, text) != 0) {
        set_fault(check, "the text is not this prompt's");
    }
    g_string_free(want, TRUE);
}

static void
check_json_response(struct load_check *check)
{
    json_t *response =
        json_loadb(check->pending->str, check->pending->len, 0, NULL);
    const json_t *choice =
        json_array_get(json_object_get(response, "choices"), 0);
    const char *text = json_string_value(
        json_object_get(json_object_get(choice, "message"), "content"));

    if (response == NULL || text == NULL) {
        set_fault(check, "the answer is not a completion");
    }
    else {
        check_id(check, response);
        check->n_tokens = (int)json_integer_value(json_object_get(
            json_object_get(response, "usage"), "completion_tokens"));
        check->is_done = true;
        check->is_finished = true;
        if (check->checks_tokens) {
            check_text(check, text);
            check->n_tokens = count_spaces(text);
        }
    }
    json_decref(response);
}

static enum load_verdict
refusal_verdict(const char *ran)
{
    if (strcmp(ran, "no") == 0) {
        return LOAD_REFUSED_NO;
    }
    if (strcmp(ran, "maybe") == 0) {
        return LOAD_REFUSED_MAYBE;
    }
    return strcmp(ran, "yes") == 0 ? LOAD_REFUSED_YES : LOAD_FAILED;
}

/* Returns the verdict after the last byte.  status is the HTTP status, 0 if
 * there was no response; ran is the x-cardamompick-ran header, empty if there
 * was none; is_complete says that the whole body was received. */
enum load_verdict
load_check_end(struct load_check *check, int status, const char *ran,
               bool is_complete)
{
    if (status != 200) {
        return status == 0 ? LOAD_FAILED : refusal_verdict(ran);
    }
    if (!check->is_stream && is_complete) {
        check_json_response(check);
    }
    if (check->fault[0] != '\0') {
        return LOAD_WRONG;
    }
    if (check->has_error) {
        return LOAD_ERROR_EVENT;
    }
    if (!check->is_done || !check->is_finished) {
        return LOAD_CUT;
    }
    if (check->n_tokens != check->expected_tokens) {
        set_fault(check, "%d tokens of %d", check->n_tokens,
                  check->expected_tokens);
        return LOAD_WRONG;
    }
    return LOAD_OK;
}
