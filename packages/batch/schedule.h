/*
 * schedule: chooses the next job to work on.  The operator with the least
 * recent usage for its weight is first; among the jobs of an operator, the one
 * with the least slack is first.  It uses no clock and does no I/O.
 */
#ifndef CARDAMOM_BATCH_SCHEDULE_H
#define CARDAMOM_BATCH_SCHEDULE_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* A job that can be chosen. */
struct batch_choice {
    double recent_usage; /* the operator's items started recently */
    double weight;       /* weight of the operator */
    double slack_s;      /* see batch_slack_s */
    bool is_at_risk;     /* see batch_is_at_risk */
};

/* Times of a job and its items so far. */
struct batch_progress {
    int64_t created_s;
    int64_t deadline_s;
    int64_t now_s;
    int n_items;
    int n_ended; /* number of items with a result */
};

double batch_slack_s(const struct batch_progress *progress);
bool batch_is_at_risk(const struct batch_progress *progress);
int batch_choose(const struct batch_choice *choices, int n_choices);

#ifdef __cplusplus
}
#endif

#endif
