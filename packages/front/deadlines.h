/*
 * deadlines: tells how long callers had been waiting when their requests
 * arrived.  A caller sends the time that it is still willing to wait as the
 * deadline, so a request that it sends again, after a refusal or a lost node,
 * has a shorter deadline than its first one.  The usual deadline of a route is
 * learned from the requests that arrive.  Does no I/O.
 *
 *     front_deadlines_init(&deadlines);
 *     earlier_ms = front_deadlines_record(&deadlines, route, deadline_ms,
 *                                         timeout_ms);
 *     front_deadlines_finish(&deadlines);
 */
#ifndef CARDAMOM_FRONT_DEADLINES_H
#define CARDAMOM_FRONT_DEADLINES_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

struct front_deadlines {
    GHashTable *routes; /* route's key to struct route_deadlines */
};

void front_deadlines_init(struct front_deadlines *deadlines);
void front_deadlines_finish(struct front_deadlines *deadlines);
int64_t front_deadlines_record(struct front_deadlines *deadlines,
                               const char *route_key, int64_t deadline_ms,
                               int64_t timeout_ms);

#ifdef __cplusplus
}
#endif

#endif
