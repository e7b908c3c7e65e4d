/*
 * runner_state: whether the runner of a job has stopped, so that another node
 * must claim the job.  Makes decisions only, does no I/O.
 *
 * A runner that was only silent for a while keeps its jobs: a claim starts
 * their running items again elsewhere.
 */
#ifndef CARDAMOM_JOBS_RUNNER_STATE_H
#define CARDAMOM_JOBS_RUNNER_STATE_H

#include "members/members.h"

#ifdef __cplusplus
extern "C" {
#endif

enum jobs_runner_state {
    JOBS_RUNNER_LIVE,
    JOBS_RUNNER_UNCLEAR, /* to be checked again soon */
    JOBS_RUNNER_STOPPED,
};

/* What is known about a runner. */
struct jobs_runner_facts {
    const char *name; /* NODE#LIFE; empty: the job was released */
    bool has_entry;   /* its entry is stored, so its lease is valid */
    bool is_leaving;  /* according to the entry */
    /* How long its entry has been missing, in ms. */
    int64_t missing_ms;
    /* Its node in the membership view; NULL: not a member. */
    const struct members_node *node;
};

enum jobs_runner_state
jobs_runner_judge(const struct jobs_runner_facts *facts);
int64_t jobs_runner_life(const char *name);
char *jobs_runner_node(const char *name);

#ifdef __cplusplus
}
#endif

#endif
