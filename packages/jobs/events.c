#include "jobs/events.h"

#include <string.h>

#include "base/event_stream.h"

/* Limits the memory for one stream. */
enum {
    MAX_EVENT_BYTES = 1 << 20, /* an incomplete event */
    MAX_TEXT_BYTES = 16 << 20, /* the data of all events */
};

/* Initialises an empty collection. */
void
jobs_events_init(struct jobs_events *events)
{
    memset(events, 0, sizeof(*events));
    events->text = g_string_new(NULL);
    events->pending = g_string_new(NULL);
    events->has_ids = true;
}

/* Frees the collected data. */
void
jobs_events_finish(struct jobs_events *events)
{
    if (events->text != NULL) {
        g_string_free(events->text, TRUE);
        g_string_free(events->pending, TRUE);
    }
    memset(events, 0, sizeof(*events));
}

/* Frees the buffers, as truncation would keep them. */
static void
free_buffers(struct jobs_events *events)
{
    g_string_free(events->text, TRUE);
    g_string_free(events->pending, TRUE);
    events->text = g_string_new(NULL);
    events->pending = g_string_new(NULL);
}

/* Frees the data of a stream that has been committed or is cut off.  The next
 * attempt, if there is one, starts at the beginning. */
void
jobs_events_drop(struct jobs_events *events)
{
    free_buffers(events);
    events->is_corrupt = true;
}

/* Returns the memory that the data takes. */
int64_t
jobs_events_bytes(const struct jobs_events *events)
{
    return (int64_t)(events->text->allocated_len +
                     events->pending->allocated_len);
}

/* Starts a new attempt.  With `resumes` the stream continues after the last
 * complete event; otherwise the collected data is discarded. */
void
jobs_events_begin(struct jobs_events *events, bool resumes)
{
    g_string_truncate(events->pending, 0);
    events->is_corrupt = false;
    events->is_too_large = false;
    if (resumes) {
        return;
    }
    free_buffers(events);
    events->count = 0;
    events->last_id = 0;
    events->has_ids = true;
}

/* The parsed fields of an event. */
struct event {
    int64_t id;
    bool has_id;
    GString *data; /* NULL: none */
};

static void
parse_field(struct event *event, const char *line, size_t size)
{
    const char *colon = memchr(line, ':', size);
    size_t name = colon == NULL ? size : (size_t)(colon - line);
    const char *value = colon == NULL ? line + size : colon + 1;
    size_t length = size - (size_t)(value - line);

    if (length > 0 && *value == ' ') {
        value++;
        length--;
    }
    if (name == 2 && memcmp(line, "id", 2) == 0) {
        char *text = g_strndup(value, length);
        event->id = g_ascii_strtoll(text, NULL, 10);
        event->has_id = true;
        g_free(text);
    }
    else if (name == 4 && memcmp(line, "data", 4) == 0) {
        if (event->data == NULL) {
            event->data = g_string_new(NULL);
        }
        else {
            g_string_append_c(event->data, '\n');
        }
        g_string_append_len(event->data, value, (gssize)length);
    }
}

static void
parse_event(struct event *event, const char *text, size_t size)
{
    const char *end = text + size;
    const char *line;
    size_t length;

    while (base_event_line(&text, end, &line, &length)) {
        parse_field(event, line, length);
    }
}

/* Returns whether an id may follow those of the events so far.  Servers count
 * events from 1, so that a gap shows that one is missing; where the ids are
 * above the number of events, as with tokens or offsets, they only have to
 * rise.  Ids come from the server: the largest one has no successor. */
static bool
may_follow(const struct jobs_events *events, int64_t id)
{
    int64_t last = events->last_id;

    return last < G_MAXINT64 &&
           (id == last + 1 || (last > events->count && id > last));
}

static void
append_event(struct jobs_events *events, const char *text, size_t size)
{
    struct event event = {0};
    int64_t max_text =
        events->max_text > 0 ? events->max_text : MAX_TEXT_BYTES;

    parse_event(&event, text, size);
    if (event.data == NULL) {
        return; /* a comment or a keep-alive without data */
    }
    if ((int64_t)(events->text->len + event.data->len) > max_text) {
        events->is_too_large = true;
        events->is_corrupt = true;
    }
    else if (event.has_id && events->count > 0 && events->has_ids &&
             !may_follow(events, event.id)) {
        events->is_corrupt = true;
    }
    else {
        if (events->count > 0) {
            g_string_append_c(events->text, '\n');
        }
        g_string_append_len(events->text, event.data->str,
                            (gssize)event.data->len);
        events->count++;
        events->last_id = event.id;
        events->has_ids = events->has_ids && event.has_id;
    }
    g_string_free(event.data, TRUE);
}

/* Parses bytes of the stream, which may be split anywhere.  Ignores all bytes
 * after the stream has become corrupt. */
void
jobs_events_feed(struct jobs_events *events, const char *data, size_t size)
{
    size_t from = 0;
    size_t length;

    if (events->is_corrupt) {
        return;
    }
    g_string_append_len(events->pending, data, (gssize)size);
    while (!events->is_corrupt &&
           (length = base_event_size(events->pending->str + from,
                                     events->pending->len - from)) > 0) {
        append_event(events, events->pending->str + from, length);
        from += length;
    }
    g_string_erase(events->pending, 0, (gssize)from);
    if (events->pending->len > MAX_EVENT_BYTES) {
        events->is_too_large = true;
        events->is_corrupt = true;
    }
}

/* Returns whether a stream that ended without an error consists of complete
 * events only. */
bool
jobs_events_are_complete(const struct jobs_events *events)
{
    return !events->is_corrupt && events->count > 0 &&
           base_event_is_empty(events->pending->str, events->pending->len);
}

/* Returns whether the next attempt may resume after last_id. */
bool
jobs_events_may_resume(const struct jobs_events *events)
{
    return !events->is_corrupt && events->count > 0 && events->has_ids;
}
