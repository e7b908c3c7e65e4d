#include "jobs/runner_state.h"

#include <string.h>

enum {
    /* A live member whose entry is missing keeps its jobs for this long: after
     * an outage of the key-value service it registers again. */
    REGISTRATION_MS = 4000,
};

/* Returns the start time in a runner's name, NODE#LIFE, in wall ms; 0 when the
 * name has none. */
int64_t
jobs_runner_life(const char *name)
{
    const char *start = strchr(name, '#');

    return start == NULL ? 0 : g_ascii_strtoll(start + 1, NULL, 10);
}

/* Returns the node's name in a runner's name; the caller frees it. */
char *
jobs_runner_node(const char *name)
{
    return g_strndup(name, strcspn(name, "#"));
}

static bool
is_replaced(const struct jobs_runner_facts *facts)
{
    return facts->node != NULL &&
           (int64_t)facts->node->life > jobs_runner_life(facts->name);
}

/* Returns the state of a runner.  A later process on its node proves that it
 * has stopped.  Otherwise a stored entry protects it until its lease ends, and
 * membership speeds up or delays the conclusion from a missing entry. */
enum jobs_runner_state
jobs_runner_judge(const struct jobs_runner_facts *facts)
{
    bool is_member =
        facts->node != NULL && (facts->node->state == MEMBERS_ALIVE ||
                                facts->node->state == MEMBERS_LEAVING);

    if (facts->name[0] == '\0' || is_replaced(facts)) {
        return JOBS_RUNNER_STOPPED;
    }
    if (facts->has_entry) {
        return facts->is_leaving || !is_member ||
                       facts->node->state == MEMBERS_LEAVING
                   ? JOBS_RUNNER_UNCLEAR
                   : JOBS_RUNNER_LIVE;
    }
    return is_member && facts->missing_ms < REGISTRATION_MS
               ? JOBS_RUNNER_UNCLEAR
               : JOBS_RUNNER_STOPPED;
}
