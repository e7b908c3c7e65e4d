#include "base/base.h"

#include <errno.h>
#include <inttypes.h>
#include <sodium.h>
#include <stdarg.h>
#include <string.h>

static void
append_hex(GString *out, const uint8_t *bytes, size_t size)
{
    for (size_t i = 0; i < size; i++) {
        g_string_append_printf(out, "%02x", bytes[i]);
    }
}

/* Opens `folder/node.jsonl` to append spans.  A NULL folder disables tracing.
 * Fails with BASE_UNAVAILABLE if the file can't be opened. */
bool
base_tracer_init(struct base_tracer *tracer, const char *folder,
                 const char *node, struct base_error *err)
{
    pthread_mutex_init(&tracer->lock, NULL);
    g_strlcpy(tracer->node, node, sizeof(tracer->node));
    tracer->file = NULL;
    if (folder == NULL) {
        return true;
    }
    g_mkdir_with_parents(folder, 0700);
    char *path = g_strdup_printf("%s/%s.jsonl", folder, node);
    tracer->file = fopen(path, "ae");
    if (tracer->file == NULL) {
        base_error_set(err, BASE_UNAVAILABLE, "%s: %s", path,
                       g_strerror(errno));
    }
    g_free(path);
    return tracer->file != NULL;
}

/* Flushes and closes the file. */
void
base_tracer_finish(struct base_tracer *tracer)
{
    if (tracer->file != NULL) {
        fclose(tracer->file);
    }
    pthread_mutex_destroy(&tracer->lock);
}

/* Starts a span at the current time.  If parent is NULL, the span starts a new
 * trace. */
void
base_span_start(struct base_span *span, const char *name,
                const struct base_span_context *parent)
{
    memset(span, 0, sizeof(*span));
    g_strlcpy(span->name, name, sizeof(span->name));
    span->start_us = base_wall_us();
    randombytes_buf(span->context.span_id, sizeof(span->context.span_id));
    if (parent == NULL) {
        randombytes_buf(span->context.trace_id,
                        sizeof(span->context.trace_id));
        return;
    }
    memcpy(span->context.trace_id, parent->trace_id,
           sizeof(span->context.trace_id));
    memcpy(span->parent_id, parent->span_id, sizeof(span->parent_id));
}

/* Adds one attribute with a formatted string value.  Quotes, backslashes and
 * control characters in the value are replaced by apostrophes. */
void
base_span_attribute(struct base_span *span, const char *key,
                    const char *format, ...)
{
    va_list args;
    char *value;

    if (span->attributes == NULL) {
        span->attributes = g_string_new(NULL);
    }
    va_start(args, format);
    value = g_strdup_vprintf(format, args);
    va_end(args);
    for (char *at = value; *at != '\0'; at++) {
        if (*at == '"' || *at == '\\' || (unsigned char)*at < ' ') {
            *at = '\'';
        }
    }
    g_string_append_printf(
        span->attributes,
        "%s{\"key\":\"%s\",\"value\":{\"stringValue\":\"%s\"}}",
        span->attributes->len > 0 ? "," : "", key, value);
    g_free(value);
}

static void
render_span(const struct base_span *span, const char *node, GString *out)
{
    static const uint8_t NO_PARENT[8];

    g_string_append_printf(
        out,
        "{\"resourceSpans\":[{\"resource\":{\"attributes\":[{\"key\":"
        "\"service.name\",\"value\":{\"stringValue\":\"cardamompick\"}},"
        "{\"key\":\"service.instance.id\",\"value\":{\"stringValue\":\"%s\"}}"
        "]},\"scopeSpans\":[{\"spans\":[{\"traceId\":\"",
        node);
    append_hex(out, span->context.trace_id, sizeof(span->context.trace_id));
    g_string_append(out, "\",\"spanId\":\"");
    append_hex(out, span->context.span_id, sizeof(span->context.span_id));
    if (memcmp(span->parent_id, NO_PARENT, sizeof(NO_PARENT)) != 0) {
        g_string_append(out, "\",\"parentSpanId\":\"");
        append_hex(out, span->parent_id, sizeof(span->parent_id));
    }
    g_string_append_printf(
        out,
        "\",\"name\":\"%s\",\"kind\":2,\"startTimeUnixNano\":\"%" PRId64
        "000\",\"endTimeUnixNano\":\"%" PRId64
        "000\",\"attributes\":[%s],\"status\":{\"code\":%d}}]}]}]}\n",
        span->name, span->start_us, span->end_us,
        span->attributes ? span->attributes->str : "", span->failed ? 2 : 1);
}

/* Ends the span at the current time, writes it as one line of OTLP/JSON and
 * frees its attributes; any thread. */
void
base_span_end(struct base_span *span, struct base_tracer *tracer)
{
    span->end_us = base_wall_us();
    if (tracer->file != NULL) {
        GString *line = g_string_sized_new(512);
        render_span(span, tracer->node, line);
        pthread_mutex_lock(&tracer->lock);
        fwrite(line->str, 1, line->len, tracer->file);
        pthread_mutex_unlock(&tracer->lock);
        g_string_free(line, TRUE);
    }
    if (span->attributes != NULL) {
        g_string_free(span->attributes, TRUE);
        span->attributes = NULL;
    }
}

static bool
parse_hex(const char *text, uint8_t *out, size_t size)
{
    for (size_t i = 0; i < size; i++) {
        int high = g_ascii_xdigit_value(text[2 * i]);
        int low = high < 0 ? -1 : g_ascii_xdigit_value(text[2 * i + 1]);
        if (low < 0) {
            return false;
        }
        out[i] = (uint8_t)(high * 16 + low);
    }
    return true;
}

/* Parses a W3C traceparent header.  Returns false if the text is malformed;
 * the contents of out are then undefined. */
bool
base_traceparent_parse(const char *text, struct base_span_context *out)
{
    if (text == NULL || strlen(text) < BASE_TRACEPARENT_SIZE - 1) {
        return false;
    }
    if (strncmp(text, "00-", 3) != 0 || text[35] != '-' || text[52] != '-') {
        return false;
    }
    return parse_hex(text + 3, out->trace_id, sizeof(out->trace_id)) &&
           parse_hex(text + 36, out->span_id, sizeof(out->span_id));
}

/* Formats the traceparent header that names this span as the parent. */
void
base_traceparent_format(const struct base_span_context *context,
                        char out[BASE_TRACEPARENT_SIZE])
{
    GString *text = g_string_sized_new(BASE_TRACEPARENT_SIZE);

    g_string_append(text, "00-");
    append_hex(text, context->trace_id, sizeof(context->trace_id));
    g_string_append_c(text, '-');
    append_hex(text, context->span_id, sizeof(context->span_id));
    g_string_append(text, "-01");
    g_strlcpy(out, text->str, BASE_TRACEPARENT_SIZE);
    g_string_free(text, TRUE);
}
