/*
 * home: which nodes run the jobs of a region.  Every node computes the same
 * home of a job from its id, so that a call about a job finds its runner
 * without the key-value service.  Makes decisions only, does no I/O.
 *
 *     jobs_homes_init(&homes, world, view, region);
 *     int node = jobs_homes_find(&homes, id, WORLD_NONE);
 *     jobs_homes_finish(&homes);
 *
 * Views differ for a moment after each change of the membership.  A call then
 * reaches a node that does not run the job, which names the runner.
 */
#ifndef CARDAMOM_JOBS_HOME_H
#define CARDAMOM_JOBS_HOME_H

#include "members/members.h"
#include "world/world.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
    /* Time after which other nodes scan: a scanner that does not reach the
     * key-value service holds the duty no longer.  A few scans long. */
    JOBS_SCAN_TURN_MS = 10000,
};

struct jobs_homes {
    struct members_view *view;
    int n;
    int *nodes; /* indices in the view */
};

void jobs_homes_init(struct jobs_homes *homes, const struct world *world,
                     struct members_view *view, int region);
void jobs_homes_finish(struct jobs_homes *homes);
int jobs_homes_find(const struct jobs_homes *homes, const char *id,
                    int except);
bool jobs_homes_scans(const struct jobs_homes *homes, int node,
                      int64_t wall_ms);
int jobs_region_of(const struct world *world, const char *zone);

#ifdef __cplusplus
}
#endif

#endif
