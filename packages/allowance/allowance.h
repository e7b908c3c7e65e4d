/*
 * allowance: rate limits that hold over all nodes together.  Each operator has
 * a limiter, a token bucket at one node.  Every node has an account for each
 * operator; it decides on requests at once and reports them to the limiter.
 *
 * At a node:
 *
 *     allowance_account_init(&account, instance, random);
 *     allowance_account_set_limit(&account, &limit, &tolerance, now_ms);
 *     allowance_account_set_nodes(&account, n_nodes, share);
 *     if (allowance_admit(&account, 1, now_ms)) { ... serve the request ... }
 *     if (allowance_due_ms(&account) <= now_ms) {
 *         allowance_report(&account, now_ms, &report);
 *         ... send it to the limiter, then on its answer: ...
 *         allowance_answered(&account, &report, &answer, now_ms);
 *     }
 *
 * At the limiter:
 *
 *     allowance_limiter_init(&limiter, id, &limit, &tolerance, now_ms);
 *     allowance_limiter_report(&limiter, "node", &report, now_ms, &answer);
 *     if (allowance_limiter_notice(&limiter, now_ms, &state)) {
 *         ... send it to all nodes, which call allowance_noticed ...
 *     }
 *
 * While the bucket is filled, nodes admit requests on credit and the limiter
 * learns of them by reports.  When it runs low, the limiter notifies all nodes
 * of the fraction of requests to admit, since most nodes of a large fleet see
 * too few requests of an operator to learn it from answers.
 *
 * Each answer also tells a part of the rate that the node may admit while no
 * limiter answers it.  The limiter holds back the parts of nodes that stop
 * reporting, and its owner sets the share of the nodes that can be reached, so
 * that the limit holds while nodes are cut off from each other.
 *
 * The package reads no clock and does no input or output.  It takes no locks;
 * one thread at a time may use an account or a limiter.  Times are in ms on a
 * clock that also advances while a process is stopped.
 */
#ifndef CARDAMOM_ALLOWANCE_H
#define CARDAMOM_ALLOWANCE_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* allowance_due_ms: nothing to report. */
#define ALLOWANCE_NEVER INT64_MAX

struct allowance_limit {
    double per_s; /* 0: no limit */
    double burst; /* requests that may exceed the rate at once */
};

/* What all nodes together may admit above a limit in any window. */
struct allowance_tolerance {
    double window_s;
    double overage; /* share of what the limit allows in a window */
    double slack;   /* requests */
};

/* What a node has seen of an operator.  The totals start at 0 with each
 * process instance, so that a repeated report counts once. */
struct allowance_report {
    uint64_t instance;
    uint64_t total;          /* admitted requests */
    uint64_t unacknowledged; /* of these, not acknowledged by any limiter */
    uint64_t seen;           /* requests, also refused ones */
    double fraction;         /* that the node admits; 1: all */
};

/* The state of a limiter that applies to all nodes. */
struct allowance_state {
    uint64_t limiter; /* id of the limiter */
    int64_t stamp_ms; /* time at the limiter, to order its messages */
    double fraction;  /* of requests to admit; 1: all */
    int64_t valid_ms;
    int64_t retry_ms; /* expected time until the bucket is filled again */
};

struct allowance_answer {
    struct allowance_state state;
    double credit; /* requests that the node may admit; for valid_ms */
    double part;   /* of the rate, that the node may admit alone */
};

/* ---- account.c ---- */

enum allowance_verdict {
    ALLOWANCE_REFUSED,
    ALLOWANCE_ON_CREDIT,
    ALLOWANCE_OVERDRAWN, /* admitted without valid credit */
    ALLOWANCE_ALONE,     /* admitted without a limiter */
};

/* A node's account of one operator. */
struct allowance_account {
    struct allowance_limit limit;
    struct allowance_tolerance tolerance;
    int n_nodes;  /* that accept work */
    double share; /* of the limit that may be granted at the nodes here */
    uint64_t instance;
    uint64_t total;
    uint64_t acknowledged;
    uint64_t seen;
    uint64_t reported_total; /* `total` of the last report */
    uint64_t reported_seen;
    int64_t reported_ms;
    int64_t unreported_ms;   /* first request not yet reported; 0: none */
    int64_t unanswered_ms;   /* first report since the last answer; 0: none */
    double credit;           /* what is left of the last answer's */
    double granted;          /* credit of the last answer */
    int64_t credit_until_ms; /* 0: no credit */
    double overdraft;        /* requests that may still be admitted without
                                credit until an answer arrives */
    double fraction;         /* of requests to admit while is low */
    double selector;         /* sum of fractions; a request is admitted
                                whenever it reaches 1 */
    int64_t low_until_ms;    /* `fraction` applies until then */
    int64_t retry_at_ms;
    uint64_t limiter; /* of the last state applied */
    int64_t stamp_ms; /* of the last state applied */
    double part;
    int64_t part_ms;     /* time of the answer with `part`; 0: none */
    bool is_alone;       /* no limiter has answered for long */
    double alone_tokens; /* for times without a limiter */
    int64_t alone_ms;    /* last refill of alone_tokens */
};

void allowance_account_init(struct allowance_account *account,
                            uint64_t instance, double random);
void allowance_account_set_limit(struct allowance_account *account,
                                 const struct allowance_limit *limit,
                                 const struct allowance_tolerance *tolerance,
                                 int64_t now_ms);
void allowance_account_set_nodes(struct allowance_account *account,
                                 int n_nodes, double share);
void allowance_account_limiter_changed(struct allowance_account *account);
enum allowance_verdict allowance_admit(struct allowance_account *account,
                                       int count, int64_t now_ms);
int64_t allowance_retry_ms(const struct allowance_account *account,
                           int64_t now_ms);
bool allowance_is_alone(const struct allowance_account *account,
                        int64_t now_ms);
int64_t allowance_due_ms(const struct allowance_account *account);
void allowance_report(struct allowance_account *account, int64_t now_ms,
                      struct allowance_report *out);
void allowance_answered(struct allowance_account *account,
                        const struct allowance_report *report,
                        const struct allowance_answer *answer, int64_t now_ms);
void allowance_noticed(struct allowance_account *account,
                       const struct allowance_state *state, int64_t now_ms);

/* ---- limiter.c ---- */

/* The bucket of one operator. */
struct allowance_limiter {
    uint64_t id; /* differs from those of other limiters */
    struct allowance_limit limit;
    struct allowance_tolerance tolerance;
    double level; /* requests left; below 0: overdrawn */
    int64_t advanced_ms;
    int64_t started_ms;
    double steady_per_s; /* the same over a longer time */
    double share;        /* of the limit that may be granted here */
    double demand_per_s; /* of all nodes, see allowance_limiter_report */
    double noticed;      /* fraction of the last notice; 1: none is needed */
    int64_t noticed_ms;  /* time of the last notice */
    GHashTable *nodes;   /* name to struct reporter */
    int64_t expiry_ms;   /* next removal of old reporters */
    /* Of nodes that may be cut off, see hold_silent. */
    int64_t watched_ms;
    int64_t watching_since_ms;
    double told_per_s; /* what all nodes may admit alone */
    double held_per_s; /* held back for those that report no more */
};

/* The state of a bucket, for people. */
struct allowance_limiter_info {
    double level;         /* requests left */
    double capacity;      /* the highest level */
    double granted_per_s; /* of the rate, without what is held back */
    double held_per_s;    /* held back for nodes that report no more */
    double demand_per_s;
    double fraction; /* of requests to admit, by the last notice */
    int n_nodes;     /* that have reported within a minute or so */
    int n_silent;    /* of these, that may be cut off */
};

void allowance_limiter_init(struct allowance_limiter *limiter, uint64_t id,
                            const struct allowance_limit *limit,
                            const struct allowance_tolerance *tolerance,
                            int64_t now_ms);
void allowance_limiter_finish(struct allowance_limiter *limiter);
void allowance_limiter_set_limit(struct allowance_limiter *limiter,
                                 const struct allowance_limit *limit,
                                 const struct allowance_tolerance *tolerance,
                                 int64_t now_ms);
void allowance_limiter_set_share(struct allowance_limiter *limiter,
                                 double share, int64_t now_ms);
void allowance_limiter_report(struct allowance_limiter *limiter,
                              const char *node,
                              const struct allowance_report *report,
                              int64_t now_ms, struct allowance_answer *out);
bool allowance_limiter_notice(struct allowance_limiter *limiter,
                              int64_t now_ms, struct allowance_state *out);
bool allowance_limiter_is_low(const struct allowance_limiter *limiter);
void allowance_limiter_describe(struct allowance_limiter *limiter,
                                int64_t now_ms,
                                struct allowance_limiter_info *out);
double allowance_extra(const struct allowance_limit *limit,
                       const struct allowance_tolerance *tolerance);

#ifdef __cplusplus
}
#endif

#endif
