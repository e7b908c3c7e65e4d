#include "ctl/ctl.h"

#include <errno.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* One span of the trace, as read from a node's trace file. */
struct trace_span {
    char *id;
    char *parent;
    char *name;
    char *node;
    int64_t start_us;
    int64_t end_us;
    bool failed;
    bool is_printed;
};

static void
free_span(gpointer data)
{
    struct trace_span *span = data;

    g_free(span->id);
    g_free(span->parent);
    g_free(span->name);
    g_free(span->node);
    g_free(span);
}

static const json_t *
first_of(const json_t *object, const char *member)
{
    return json_array_get(json_object_get(object, member), 0);
}

static char *
text_of(const json_t *object, const char *member)
{
    return g_strdup(json_string_value(json_object_get(object, member)));
}

static int64_t
micros_of(const json_t *span, const char *member)
{
    const char *nanos = json_string_value(json_object_get(span, member));
    return nanos == NULL ? 0 : strtoll(nanos, NULL, 10) / 1000;
}

static void
read_span(const json_t *line, GPtrArray *spans, const char *trace_id)
{
    const json_t *resource = first_of(line, "resourceSpans");
    const json_t *span = first_of(first_of(resource, "scopeSpans"), "spans");
    const json_t *attributes =
        json_object_get(json_object_get(resource, "resource"), "attributes");
    const char *found = json_string_value(json_object_get(span, "traceId"));
    struct trace_span *read;

    if (found == NULL || strcmp(found, trace_id) != 0) {
        return;
    }
    read = g_new0(struct trace_span, 1);
    read->id = text_of(span, "spanId");
    read->parent = text_of(span, "parentSpanId");
    read->name = text_of(span, "name");
    read->node =
        text_of(json_object_get(json_array_get(attributes, 1), "value"),
                "stringValue");
    read->start_us = micros_of(span, "startTimeUnixNano");
    read->end_us = micros_of(span, "endTimeUnixNano");
    read->failed = json_integer_value(json_object_get(
                       json_object_get(span, "status"), "code")) == 2;
    g_ptr_array_add(spans, read);
}

static bool
read_file(const char *path, GPtrArray *spans, const char *trace_id)
{
    FILE *file = fopen(path, "re");
    char *line = NULL;
    size_t size = 0;

    if (file == NULL) {
        fprintf(stderr, "cardamomctl trace: can't open %s: %s\n", path,
                g_strerror(errno));
        return false;
    }
    while (getline(&line, &size, file) > 0) {
        /* Most lines belong to other traces; don't parse those. */
        json_t *json =
            strstr(line, trace_id) ? json_loads(line, 0, NULL) : NULL;
        read_span(json, spans, trace_id);
        json_decref(json);
    }
    free(line);
    fclose(file);
    return true;
}

static gint
compare_starts(gconstpointer a, gconstpointer b)
{
    const struct trace_span *first = *(struct trace_span *const *)a;
    const struct trace_span *second = *(struct trace_span *const *)b;
    return (first->start_us > second->start_us) -
           (first->start_us < second->start_us);
}

static void
print_span(GPtrArray *spans, struct trace_span *span, int64_t zero_us,
           int depth)
{
    span->is_printed = true;
    printf("%9.3f ms %+10.3f ms  %*s%s [%s]%s\n",
           (double)(span->start_us - zero_us) / 1000.0,
           (double)(span->end_us - span->start_us) / 1000.0, depth * 2, "",
           span->name, span->node ? span->node : "?",
           span->failed ? " failed" : "");
    for (guint i = 0; i < spans->len; i++) {
        struct trace_span *child = g_ptr_array_index(spans, i);
        if (!child->is_printed && g_strcmp0(child->parent, span->id) == 0) {
            print_span(spans, child, zero_us, depth + 1);
        }
    }
}

static bool
has_parent(GPtrArray *spans, const struct trace_span *span)
{
    for (guint i = 0; i < spans->len; i++) {
        const struct trace_span *other = g_ptr_array_index(spans, i);
        if (g_strcmp0(other->id, span->parent) == 0) {
            return true;
        }
    }
    return false;
}

static int
print_trace(GPtrArray *spans)
{
    if (spans->len == 0) {
        fputs("cardamomctl trace: no span of this trace in the files\n",
              stderr);
        return CTL_FAILED;
    }
    g_ptr_array_sort(spans, compare_starts);
    const struct trace_span *first = g_ptr_array_index(spans, 0);
    puts("     start      duration  span");
    for (guint i = 0; i < spans->len; i++) {
        struct trace_span *span = g_ptr_array_index(spans, i);
        if (!span->is_printed && !has_parent(spans, span)) {
            print_span(spans, span, first->start_us, 0);
        }
    }
    return CTL_OK;
}

/* `cardamomctl trace TRACE-ID FILE...`: prints the spans of one trace as a
 * tree, with start and duration. */
int
ctl_trace(int argc, char **argv)
{
    GPtrArray *spans;
    int code = CTL_FAILED;
    bool is_help = argc == 2 && strcmp(argv[1], "--help") == 0;

    if (argc < 3) {
        fputs("usage: cardamomctl trace TRACE-ID FILE...\n"
              "Prints the spans of one request as a tree.  TRACE-ID is the "
              "second "
              "part\nof the traceparent header of a response, 32 hex digits.  "
              "The FILEs are the\ntrace files of all nodes (*.jsonl in their "
              "trace_folder).\n"
              "Example: cardamomctl trace 0af7651916cd43dd8448eb211c80319c "
              "traces/*.jsonl\n",
              is_help ? stdout : stderr);
        return is_help ? CTL_OK : CTL_USAGE;
    }
    spans = g_ptr_array_new_with_free_func(free_span);
    bool is_ok = true;
    for (int i = 2; i < argc; i++) {
        is_ok = read_file(argv[i], spans, argv[1]) && is_ok;
    }
    if (is_ok) {
        code = print_trace(spans);
    }
    g_ptr_array_free(spans, TRUE);
    return code;
}
