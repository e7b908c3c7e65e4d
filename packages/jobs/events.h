/*
 * events: the text of a stream of server-sent events, gathered over as many
 * runs as it takes.  No I/O.
 *
 *     jobs_events_begin(&events, resumes);
 *     while (... bytes arrive ...) jobs_events_feed(&events, data, size);
 *     ... jobs_events_are_complete(&events) once the stream ended ...
 */
#ifndef CARDAMOM_JOBS_EVENTS_H
#define CARDAMOM_JOBS_EVENTS_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

struct jobs_events {
    GString *text;    /* the data of all whole events, joined by line feeds */
    GString *pending; /* of an event that is not whole yet */
    int64_t count;    /* whole events */
    int64_t last_id;  /* of the last whole event; 0: none */
    bool has_ids;     /* every event had one: the stream can be resumed */
    bool is_corrupt;  /* an event is missing, came twice or is too long */
};

void jobs_events_init(struct jobs_events *events);
void jobs_events_finish(struct jobs_events *events);
void jobs_events_begin(struct jobs_events *events, bool resumes);
void jobs_events_feed(struct jobs_events *events, const char *data,
                      size_t size);
bool jobs_events_are_complete(const struct jobs_events *events);
bool jobs_events_may_resume(const struct jobs_events *events);

#ifdef __cplusplus
}
#endif

#endif
