/*
 * event_stream: where the lines and events of a text/event-stream end.  A line
 * ends with CR LF, LF or CR, an event with an empty line.
 *
 *     while ((size = base_event_size(text, n)) > 0) {
 *         const char *at = text;
 *         while (base_event_line(&at, text + size, &line, &length)) ...
 *         text += size; n -= size;
 *     }
 *
 * A CR that is the last byte so far ends its line; if an LF follows, that is
 * an empty line before the next event, which has no meaning.
 */
#ifndef CARDAMOM_BASE_EVENT_STREAM_H
#define CARDAMOM_BASE_EVENT_STREAM_H

#include <stdbool.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

bool base_is_event_stream(const char *content_type);
bool base_event_line(const char **at, const char *end, const char **line,
                     size_t *size);
size_t base_event_size(const char *text, size_t size);
bool base_event_is_empty(const char *text, size_t size);

#ifdef __cplusplus
}
#endif

#endif
