/*
 * events: collects the data of a stream of server-sent events.  When a stream
 * breaks, the next attempt can resume it after the last complete event.  Does
 * no I/O.
 *
 *     jobs_events_init(&events);
 *     jobs_events_begin(&events, false);  // at the start of each attempt
 *     while (... bytes arrive ...) jobs_events_feed(&events, data, size);
 *     ... jobs_events_are_complete(&events) once the stream has ended ...
 *     jobs_events_finish(&events);
 */
#ifndef CARDAMOM_JOBS_EVENTS_H
#define CARDAMOM_JOBS_EVENTS_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

struct jobs_events {
    GString *text;    /* data of all complete events, joined by line feeds */
    GString *pending; /* bytes of the last, incomplete event */
    int64_t count;    /* number of complete events */
    int64_t last_id;  /* id of the last complete event; 0: none */
    bool has_ids;     /* every event had an id: the stream can be resumed */
    bool is_corrupt;  /* an event is missing or repeated, or there is more data
                         than a stream may have */
    bool is_too_large; /* corrupt because there is more data */
    int64_t max_text;  /* bytes of `text`; 0: 16 MiB */
};

void jobs_events_init(struct jobs_events *events);
void jobs_events_finish(struct jobs_events *events);
void jobs_events_begin(struct jobs_events *events, bool resumes);
void jobs_events_feed(struct jobs_events *events, const char *data,
                      size_t size);
void jobs_events_drop(struct jobs_events *events);
int64_t jobs_events_bytes(const struct jobs_events *events);
bool jobs_events_are_complete(const struct jobs_events *events);
bool jobs_events_may_resume(const struct jobs_events *events);

#ifdef __cplusplus
}
#endif

#endif
