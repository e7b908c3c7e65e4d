#include "batch/schedule.h"

/* Factor by which the operator's weight is multiplied for a job at risk. */
static const double AT_RISK_BOOST = 4.0;
/* A job is at risk when its slack is below this fraction of the time from
 * its creation to its deadline. */
static const double AT_RISK_SLACK = 0.1;
/* With fewer ended items than this, the rate can't be estimated. */
enum { MIN_ENDED_FOR_RATE = 20 };

/* Returns how many seconds before its deadline the job will end at its rate so
 * far; negative if it will be late.  While too few items have ended to
 * estimate the rate, returns the time to the deadline. */
double
batch_slack_s(const struct batch_progress *progress)
{
    double left_s = (double)(progress->deadline_s - progress->now_s);
    double elapsed_s = (double)(progress->now_s - progress->created_s);
    int n_left = progress->n_items - progress->n_ended;

    if (progress->n_ended < MIN_ENDED_FOR_RATE || elapsed_s <= 0.0) {
        return left_s;
    }
    return left_s - n_left * elapsed_s / progress->n_ended;
}

/* Returns whether the job is likely to miss its deadline.  The margin
 * AT_RISK_SLACK leaves time to speed up the job. */
bool
batch_is_at_risk(const struct batch_progress *progress)
{
    double window_s = (double)(progress->deadline_s - progress->created_s);

    return progress->n_ended < progress->n_items &&
           batch_slack_s(progress) < window_s * AT_RISK_SLACK;
}

static double
relative_usage(const struct batch_choice *choice)
{
    double weight = choice->weight > 0.0 ? choice->weight : 1.0;
    return choice->recent_usage /
           (choice->is_at_risk ? weight * AT_RISK_BOOST : weight);
}

static bool
ranks_before(const struct batch_choice *a, const struct batch_choice *b)
{
    if (relative_usage(a) != relative_usage(b)) {
        return relative_usage(a) < relative_usage(b);
    }
    if (a->is_at_risk != b->is_at_risk) {
        return a->is_at_risk;
    }
    return a->slack_s < b->slack_s;
}

/* Returns the index of the choice to work on next; -1 if there is none. */
int
batch_choose(const struct batch_choice *choices, int n_choices)
{
    int best = -1;

    for (int i = 0; i < n_choices; i++) {
        if (best < 0 || ranks_before(&choices[i], &choices[best])) {
            best = i;
        }
    }
    return best;
}
