#include "front/sse.h"

#include <string.h>

/* Returns the size of the first complete event in the text, with its blank
 * line, or 0 if there is none. */
static size_t
find_event_end(const char *text, size_t size)
{
    const char *at = text;
    const char *end = text + size;

    while ((at = memchr(at, '\n', (size_t)(end - at))) != NULL) {
        at++;
        if (at < end && *at == '\r') {
            at++;
        }
        if (at < end && *at == '\n') {
            return (size_t)(at - text) + 1;
        }
    }
    return 0;
}

/* Joins the contents of the data lines of one event in place, at its start;
 * returns the size of the joined payload. */
static size_t
join_data_lines(char *event, size_t size)
{
    char *out = event;
    char *end = event + size;
    bool has_line = false;

    for (char *line = event; line < end;) {
        char *line_end = memchr(line, '\n', (size_t)(end - line));
        char *next = line_end == NULL ? end : line_end + 1;
        char *stop = line_end == NULL ? end : line_end;
        if (stop > line && stop[-1] == '\r') {
            stop--;
        }
        if (stop - line >= 5 && memcmp(line, "data:", 5) == 0) {
            char *from = line + 5;
            if (from < stop && *from == ' ') {
                from++;
            }
            if (has_line) {
                *out++ = '\n';
            }
            memmove(out, from, (size_t)(stop - from));
            out += stop - from;
            has_line = true;
        }
        line = next;
    }
    return (size_t)(out - event);
}

/* Appends bytes and calls on_event with the data of each complete event.
 * Comments and events without data are skipped.  on_event may change the
 * payload, which is valid only during the call, and returns false to stop. */
enum sse_result
sse_feed(GString *pending, const char *data, size_t size,
         bool (*on_event)(void *context, const char *payload, size_t size),
         void *context)
{
    size_t done = 0;
    size_t event_size;

    g_string_append_len(pending, data, (gssize)size);
    while ((event_size = find_event_end(pending->str + done,
                                        pending->len - done)) > 0) {
        char *event = pending->str + done;
        size_t payload = join_data_lines(event, event_size);
        done += event_size;
        if (payload > 0 && !on_event(context, event, payload)) {
            return SSE_STOPPED;
        }
    }
    g_string_erase(pending, 0, (gssize)done);
    return pending->len > SSE_MAX_EVENT ? SSE_TOO_LONG : SSE_MORE;
}
