#include "base/event_stream.h"

#include <glib.h>
#include <string.h>

/* Returns whether a Content-Type is that of an event stream.  Media types do
 * not depend on case; parameters may follow. */
bool
base_is_event_stream(const char *content_type)
{
    static const char TYPE[] = "text/event-stream";
    size_t size = strlen(TYPE);

    return g_ascii_strncasecmp(content_type, TYPE, size) == 0 &&
           strchr("; \t", content_type[size]) != NULL;
}

/* Finds the line at *at and moves *at behind its end.  Returns false if no
 * line ends before `end`. */
bool
base_event_line(const char **at, const char *end, const char **line,
                size_t *size)
{
    const char *from = *at;
    const char *stop = from;

    while (stop < end && *stop != '\n' && *stop != '\r') {
        stop++;
    }
    if (stop == end) {
        return false;
    }
    *line = from;
    *size = (size_t)(stop - from);
    *at = stop + 1;
    if (*stop == '\r' && *at < end && **at == '\n') {
        (*at)++;
    }
    return true;
}

/* Returns the size of the first complete event, with empty lines before it and
 * the one that ends it; 0: there is none. */
size_t
base_event_size(const char *text, size_t size)
{
    const char *at = text;
    const char *line;
    size_t length;
    bool has_lines = false;

    while (base_event_line(&at, text + size, &line, &length)) {
        if (length == 0 && has_lines) {
            return (size_t)(at - text);
        }
        has_lines = has_lines || length > 0;
    }
    return 0;
}

/* Returns whether a text has nothing but line ends. */
bool
base_event_is_empty(const char *text, size_t size)
{
    for (size_t i = 0; i < size; i++) {
        if (text[i] != '\n' && text[i] != '\r') {
            return false;
        }
    }
    return true;
}
