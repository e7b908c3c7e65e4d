/*
 * plan: decides which orders to send to a deployment's engines now.  It does
 * no I/O: the time, the last known states of the engines and the claim are
 * arguments.
 *
 *     GArray *orders = g_array_new(FALSE, FALSE, sizeof(struct deploy_order));
 *     enum deploy_plan_status status =
 *         deploy_plan(&desired, observed, n_observed, &claim,
 *                     weights_not_before_ms, now_ms, orders);
 *
 * The rules:
 * - There are no orders without a claim, or if its lease may expire before an
 *   order sent now has taken effect.
 * - A controller that has just got the claim waits until no order of an
 *   earlier controller can still be in flight, since not all engines refuse
 *   old fencing numbers.  It then uses only states that were read after that.
 * - No more than the deployment's change_share of its servers, but at least
 *   one, are being changed at a time.  A server counts as being changed from
 *   its order until a state read after the order ended shows that it is not
 *   loading.
 * - No order is sent to a ready server if fewer than min_ready servers would
 *   remain ready.  The last ready server gets none, unless min_ready is 0 and
 *   it is the deployment's only server.
 */
#ifndef CARDAMOM_DEPLOY_PLAN_H
#define CARDAMOM_DEPLOY_PLAN_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Limits on the times of orders and states, in ms. */
enum {
    DEPLOY_ORDER_TIMEOUT_MS = 2000,
    DEPLOY_MAX_FLIGHT_MS = 3000, /* an order has its effect within this, or
                                    never */
    DEPLOY_MAX_AGE_MS = 10000,   /* an older state counts as unknown */
};

enum deploy_server_state {
    DEPLOY_UNKNOWN, /* not read yet, or the last read failed */
    DEPLOY_EMPTY,
    DEPLOY_LOADING,
    DEPLOY_READY,
};

enum { DEPLOY_TEXT_SIZE = 128 };

/* A server's state as it was last read, and its last order. */
struct deploy_observed {
    enum deploy_server_state state;
    char model[DEPLOY_TEXT_SIZE];
    char version[DEPLOY_TEXT_SIZE];
    char **adapters;            /* NULL-terminated; NULL: none */
    int64_t fencing;            /* the highest number that it reports */
    int64_t read_ms;            /* when the read was sent; 0: never */
    bool is_leaving;            /* its host is leaving */
    bool is_busy;               /* an order or a weight request is under way */
    int64_t order_ended_ms;     /* when the last order ended; 0: none */
    int64_t in_flight_until_ms; /* the last order may take effect until then */
    int64_t retry_at_ms;        /* earliest time of the next order */
};

/* What the configuration wants of the deployment. */
struct deploy_desired {
    const char *model;
    const char *version; /* "": any */
    char *const *adapters;
    double change_share;
    int min_ready;
};

/* The right to send orders to a deployment's servers. */
struct deploy_claim {
    bool is_held;
    int64_t fencing;
    int64_t acquired_ms;    /* when the reply that granted it arrived */
    int64_t valid_until_ms; /* its lease does not expire before this */
};

enum deploy_order_kind {
    DEPLOY_LOAD,
    DEPLOY_VERSION,
    DEPLOY_ADAPTER,
    DEPLOY_N_ORDER_KINDS,
};

struct deploy_order {
    enum deploy_order_kind kind;
    int server;          /* index into the servers */
    const char *adapter; /* DEPLOY_ADAPTER only; borrowed */
};

enum deploy_plan_status {
    DEPLOY_SETTLED,     /* no server has to change */
    DEPLOY_WAITING,     /* for a change under way, or for a time to pass */
    DEPLOY_NEEDS_CLAIM, /* orders are due, but there is no claim */
    DEPLOY_HAS_ORDERS,  /* orders are to be sent */
    DEPLOY_BLOCKED,     /* min_ready forbids the remaining orders */
    DEPLOY_OUTDATED,    /* an engine reported a higher fencing number */
};

enum deploy_plan_status deploy_plan(const struct deploy_desired *desired,
                                    const struct deploy_observed *observed,
                                    int n_observed,
                                    const struct deploy_claim *claim,
                                    int64_t weights_not_before_ms,
                                    int64_t now_ms, GArray *orders);
const char *deploy_order_name(enum deploy_order_kind kind);
bool deploy_order_loads_weights(enum deploy_order_kind kind);
bool deploy_claim_outlasts_order(const struct deploy_claim *claim,
                                 int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
