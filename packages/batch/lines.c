#include "batch/lines.h"

#include <string.h>

#include "base/http_text.h"

enum { INITIAL_ID_SLOTS = 1024 };

/* ---- one line ---- */

static const char *
get_string(const json_t *object, const char *name)
{
    return json_string_value(json_object_get(object, name));
}

static bool
is_item_url(const char *url)
{
    return strcmp(url, "/v1/chat/completions") == 0 ||
           strcmp(url, "/v1/completions") == 0 ||
           (g_str_has_prefix(url, "/services/") &&
            url[strlen("/services/")] != '\0');
}

static bool
is_method(const char *method)
{
    static const char *const METHODS[] = {"GET",   "POST",   "PUT",
                                          "PATCH", "DELETE", NULL};
    return g_strv_contains(METHODS, method);
}

static bool
check_fields(const struct batch_line *line, struct base_error *err)
{
    bool is_service;

    if (line->custom_id == NULL || line->custom_id[0] == '\0' ||
        strlen(line->custom_id) > BATCH_CUSTOM_ID_MAX) {
        base_error_set(err, BASE_INVALID,
                       "custom_id must be text of 1 to %d bytes",
                       BATCH_CUSTOM_ID_MAX);
        return false;
    }
    if (line->url == NULL || !is_item_url(line->url) ||
        !base_http_is_target(line->url)) {
        base_error_set(err, BASE_INVALID,
                       "url must be /v1/chat/completions, /v1/completions or "
                       "/services/<name>/..., without spaces and control "
                       "characters");
        return false;
    }
    if (line->method == NULL || !is_method(line->method)) {
        base_error_set(err, BASE_INVALID, "method must be an HTTP method");
        return false;
    }
    is_service = g_str_has_prefix(line->url, "/services/");
    if (!is_service && strcmp(line->method, "POST") != 0) {
        base_error_set(err, BASE_INVALID, "method must be POST for %s",
                       line->url);
        return false;
    }
    if (!is_service && (!json_is_object(line->body) ||
                        get_string(line->body, "model") == NULL)) {
        base_error_set(err, BASE_INVALID,
                       "body must be an object that names a model");
        return false;
    }
    return true;
}

/* Parses and checks one line.  After success the caller releases `line` with
 * batch_line_finish. */
bool
batch_line_parse(const char *text, size_t size, struct batch_line *line,
                 struct base_error *err)
{
    json_error_t fault;

    memset(line, 0, sizeof(*line));
    line->object = json_loadb(text, size, JSON_REJECT_DUPLICATES, &fault);
    if (!json_is_object(line->object)) {
        base_error_set(err, BASE_INVALID, "not a JSON object: %s",
                       line->object == NULL
                           ? fault.text
                           : "the line has another JSON type");
        batch_line_finish(line);
        return false;
    }
    line->custom_id = get_string(line->object, "custom_id");
    line->method = get_string(line->object, "method");
    line->url = get_string(line->object, "url");
    line->body = json_object_get(line->object, "body");
    if (!check_fields(line, err)) {
        batch_line_finish(line);
        return false;
    }
    return true;
}

void
batch_line_finish(struct batch_line *line)
{
    json_decref(line->object);
    memset(line, 0, sizeof(*line));
}

/* ---- custom ids ---- */

static void
grow_id_set(struct batch_id_set *set)
{
    struct batch_id_set larger = {
        .capacity = set->capacity == 0 ? INITIAL_ID_SLOTS : set->capacity * 2,
    };

    larger.slots = g_new0(uint64_t, larger.capacity);
    for (size_t i = 0; i < set->capacity; i++) {
        if (set->slots[i] != 0) {
            batch_id_set_add(&larger, set->slots[i]);
        }
    }
    g_free(set->slots);
    *set = larger;
}

/* Adds a hash.  Returns false if the set has it already. */
bool
batch_id_set_add(struct batch_id_set *set, uint64_t id)
{
    size_t slot;

    if (set->count * 4 >= set->capacity * 3) {
        grow_id_set(set);
    }
    id = id == 0 ? 1 : id;
    slot = id & (set->capacity - 1);
    while (set->slots[slot] != 0) {
        if (set->slots[slot] == id) {
            return false;
        }
        slot = (slot + 1) & (set->capacity - 1);
    }
    set->slots[slot] = id;
    set->count++;
    return true;
}

void
batch_id_set_finish(struct batch_id_set *set)
{
    g_free(set->slots);
    memset(set, 0, sizeof(*set));
}

/* ---- files ---- */

/* Initialises the parser for a new file.  `on_line` is called for each valid
 * line, without its line end; blank lines are skipped. */
void
batch_lines_init(struct batch_lines *lines,
                 const struct batch_lines_limits *limits,
                 void (*on_line)(void *context, const char *line, size_t size),
                 void *context)
{
    memset(lines, 0, sizeof(*lines));
    lines->limits = *limits;
    lines->on_line = on_line;
    lines->context = context;
    lines->partial = g_string_new(NULL);
    lines->hash_seed = ((uint64_t)g_random_int() << 32) | g_random_int();
}

void
batch_lines_finish(struct batch_lines *lines)
{
    g_string_free(lines->partial, TRUE);
    batch_id_set_finish(&lines->ids);
    memset(lines, 0, sizeof(*lines));
}

static bool
is_blank(const char *text, size_t size)
{
    for (size_t i = 0; i < size; i++) {
        if (!g_ascii_isspace(text[i])) {
            return false;
        }
    }
    return true;
}

/* Puts the number of the current line in front of the error's text. */
static void
add_line_number(const struct batch_lines *lines, struct base_error *err)
{
    char text[sizeof(err->text)];

    g_strlcpy(text, err->text, sizeof(text));
    base_error_set(err, err->code, "line %lld: %.200s",
                   (long long)lines->line_number, text);
}

static bool
check_line(struct batch_lines *lines, const char *text, size_t size,
           struct base_error *err)
{
    struct batch_line line;
    bool is_new;

    if (!base_is_utf8(text, size)) {
        base_error_set(err, BASE_INVALID, "not valid UTF-8");
        return false;
    }
    if (!batch_line_parse(text, size, &line, err)) {
        return false;
    }
    is_new = batch_id_set_add(
        &lines->ids, base_hash_text(line.custom_id, lines->hash_seed));
    if (!is_new) {
        base_error_set(err, BASE_INVALID,
                       "custom_id \"%.100s\" is a duplicate", line.custom_id);
    }
    batch_line_finish(&line);
    if (is_new && ++lines->items > lines->limits.max_items) {
        base_error_set(err, BASE_INVALID, "more than %d items",
                       lines->limits.max_items);
        return false;
    }
    return is_new;
}

/* Checks one complete line, given without its newline, and passes it to the
 * on_line callback. */
static bool
process_line(struct batch_lines *lines, const char *text, size_t size,
             struct base_error *err)
{
    lines->line_number++;
    if (size > 0 && text[size - 1] == '\r') {
        size--;
    }
    if (is_blank(text, size)) {
        return true;
    }
    if ((int64_t)size > lines->limits.line_bytes) {
        base_error_set(err, BASE_INVALID, "longer than %lld bytes",
                       (long long)lines->limits.line_bytes);
        add_line_number(lines, err);
        return false;
    }
    if (!check_line(lines, text, size, err)) {
        add_line_number(lines, err);
        return false;
    }
    lines->on_line(lines->context, text, size);
    return true;
}

static bool
process_partial(struct batch_lines *lines, struct base_error *err)
{
    bool is_ok =
        process_line(lines, lines->partial->str, lines->partial->len, err);
    g_string_truncate(lines->partial, 0);
    return is_ok;
}

/* Parses the next bytes of the file.  Must not be called again after an
 * error. */
bool
batch_lines_push(struct batch_lines *lines, const char *data, size_t size,
                 struct base_error *err)
{
    const char *end = data + size;

    lines->bytes += (int64_t)size;
    if (lines->bytes > lines->limits.file_bytes) {
        base_error_set(err, BASE_INVALID, "the file is larger than %lld bytes",
                       (long long)lines->limits.file_bytes);
        return false;
    }
    while (data < end) {
        const char *newline = memchr(data, '\n', (size_t)(end - data));
        size_t length = (size_t)((newline == NULL ? end : newline) - data);
        bool is_full_line = newline != NULL && lines->partial->len == 0;
        if (is_full_line && !process_line(lines, data, length, err)) {
            return false;
        }
        if (!is_full_line) {
            g_string_append_len(lines->partial, data, (gssize)length);
        }
        if (!is_full_line && newline != NULL && !process_partial(lines, err)) {
            return false;
        }
        if ((int64_t)lines->partial->len > lines->limits.line_bytes + 1) {
            return process_partial(lines, err);
        }
        data += length + (newline != NULL);
    }
    return true;
}

/* Processes the end of the file.  The last line may lack a newline.  A file
 * without items is an error. */
bool
batch_lines_end(struct batch_lines *lines, struct base_error *err)
{
    if (lines->partial->len > 0 && !process_partial(lines, err)) {
        return false;
    }
    if (lines->items == 0) {
        base_error_set(err, BASE_INVALID, "the file has no items");
        return false;
    }
    return true;
}
