/*
 * site_check: finds mistakes in a site's configuration that do not keep it
 * from being read: entries that can never match, and limits that contradict
 * each other.  Does no I/O.
 *
 *     GArray *findings = world_site_check(site);
 *     ... g_array_index(findings, struct world_site_finding, i) ...
 *     g_array_free(findings, TRUE);
 */
#ifndef CARDAMOM_WORLD_SITE_CHECK_H
#define CARDAMOM_WORLD_SITE_CHECK_H

#include "world/site.h"

#ifdef __cplusplus
extern "C" {
#endif

enum world_site_part {
    WORLD_SITE_WHOLE, /* the index has no meaning */
    WORLD_SITE_ROUTE,
    WORLD_SITE_SERVICE,
    WORLD_SITE_OPERATOR,
};

struct world_site_finding {
    enum world_severity severity;
    enum world_site_part part;
    int index; /* in the site's list of such parts */
    char text[256];
};

GArray *world_site_check(const struct world_site *site);

#ifdef __cplusplus
}
#endif

#endif
