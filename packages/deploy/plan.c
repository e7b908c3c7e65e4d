#include "deploy/plan.h"

#include <math.h>
#include <string.h>

/* Returns the order's name in requests to engines and in metrics. */
const char *
deploy_order_name(enum deploy_order_kind kind)
{
    static const char *const NAMES[DEPLOY_N_ORDER_KINDS] = {
        [DEPLOY_LOAD] = "load",
        [DEPLOY_VERSION] = "version",
        [DEPLOY_ADAPTER] = "adapter",
    };
    return NAMES[kind];
}

/* Returns whether the engine loads weights for this order, for which the
 * weight store's permission is required. */
bool
deploy_order_loads_weights(enum deploy_order_kind kind)
{
    return kind == DEPLOY_LOAD || kind == DEPLOY_VERSION;
}

/* Returns whether the claim's lease outlasts an order that is sent now.  The
 * lease must last until the order can no longer take effect, because the next
 * controller may get the claim as soon as the lease has expired. */
bool
deploy_claim_outlasts_order(const struct deploy_claim *claim, int64_t now_ms)
{
    return claim->is_held &&
           claim->valid_until_ms - now_ms >= DEPLOY_MAX_FLIGHT_MS;
}

/* The arguments of deploy_plan. */
struct plan {
    const struct deploy_desired *desired;
    const struct deploy_observed *observed;
    int n_observed;
    int64_t now_ms;
    int64_t min_read_ms; /* states read before this count as unknown */
    int64_t weights_not_before_ms;
};

static bool
is_fresh(const struct plan *plan, const struct deploy_observed *observed)
{
    return observed->state != DEPLOY_UNKNOWN && observed->read_ms > 0 &&
           observed->read_ms >= plan->min_read_ms &&
           plan->now_ms - observed->read_ms <= DEPLOY_MAX_AGE_MS;
}

/* Returns whether the outcome of the server's last order is unknown: its state
 * was last read before the order ended or while the order could still take
 * effect.
 */
static bool
is_outcome_unknown(const struct deploy_observed *observed)
{
    return observed->is_busy ||
           observed->read_ms < observed->in_flight_until_ms ||
           (observed->order_ended_ms > 0 &&
            observed->read_ms <= observed->order_ended_ms);
}

static bool
is_being_changed(const struct plan *plan,
                 const struct deploy_observed *observed)
{
    return is_outcome_unknown(observed) ||
           (is_fresh(plan, observed) && observed->state == DEPLOY_LOADING);
}

static bool
has_model(const struct deploy_desired *desired,
          const struct deploy_observed *observed)
{
    return strcmp(observed->model, desired->model) == 0;
}

static bool
has_version(const struct deploy_desired *desired,
            const struct deploy_observed *observed)
{
    return *desired->version == '\0' ||
           strcmp(observed->version, desired->version) == 0;
}

/* Returns whether the server serves the deployment's requests now. */
static bool
is_ready(const struct plan *plan, const struct deploy_observed *observed)
{
    return is_fresh(plan, observed) && !is_being_changed(plan, observed) &&
           observed->state == DEPLOY_READY && !observed->is_leaving &&
           has_model(plan->desired, observed);
}

static bool
is_adapter_loaded(const struct deploy_observed *observed, const char *adapter)
{
    for (int i = 0;
         observed->adapters != NULL && observed->adapters[i] != NULL; i++) {
        if (strcmp(observed->adapters[i], adapter) == 0) {
            return true;
        }
    }
    return false;
}

/* Writes the server's next order; returns false if it has the model, version
 * and adapters of the configuration. */
static bool
next_order(const struct deploy_desired *desired,
           const struct deploy_observed *observed, struct deploy_order *order)
{
    if (observed->state == DEPLOY_EMPTY || !has_model(desired, observed)) {
        order->kind = DEPLOY_LOAD;
        return true;
    }
    if (!has_version(desired, observed)) {
        order->kind = DEPLOY_VERSION;
        return true;
    }
    for (int i = 0; desired->adapters != NULL && desired->adapters[i] != NULL;
         i++) {
        if (!is_adapter_loaded(observed, desired->adapters[i])) {
            order->kind = DEPLOY_ADAPTER;
            order->adapter = desired->adapters[i];
            return true;
        }
    }
    return false;
}

/* The numbers of servers that are being changed and that are ready, with the
 * limits on both. */
struct limits {
    int n_changing;
    int max_changing;
    int n_ready;
    int min_ready;
};

static struct limits
count_servers(const struct plan *plan)
{
    const struct deploy_desired *desired = plan->desired;
    struct limits limits = {0, 0, 0, 0};

    for (int i = 0; i < plan->n_observed; i++) {
        limits.n_changing += is_being_changed(plan, &plan->observed[i]);
        limits.n_ready += is_ready(plan, &plan->observed[i]);
    }
    limits.max_changing =
        MAX((int)floor(desired->change_share * plan->n_observed), 1);
    /* At least one server stays ready, unless the deployment's only server
     * may be changed. */
    bool may_empty = desired->min_ready == 0 && plan->n_observed == 1;
    limits.min_ready = may_empty ? 0 : MAX(desired->min_ready, 1);
    return limits;
}

/* What applies to at least one of the servers planned so far. */
struct findings {
    bool is_due;     /* an order is due */
    bool is_blocked; /* min_ready alone forbids an order */
    bool is_waiting; /* an order has to wait, or a state is unknown */
};

/* Returns whether the order has to wait: for its retry time, for the change of
 * another server, or for the weight store. */
static bool
must_wait(const struct plan *plan, const struct deploy_observed *observed,
          const struct limits *limits, enum deploy_order_kind kind)
{
    return plan->now_ms < observed->retry_at_ms ||
           limits->n_changing >= limits->max_changing ||
           (deploy_order_loads_weights(kind) &&
            plan->now_ms < plan->weights_not_before_ms);
}

static void
plan_server(const struct plan *plan, int server, struct limits *limits,
            struct findings *found, GArray *orders)
{
    const struct deploy_observed *observed = &plan->observed[server];
    struct deploy_order order = {DEPLOY_LOAD, server, NULL};

    if (observed->is_leaving) {
        return;
    }
    if (is_being_changed(plan, observed) || !is_fresh(plan, observed)) {
        found->is_waiting = true;
        return;
    }
    if (!next_order(plan->desired, observed, &order)) {
        return;
    }
    if (must_wait(plan, observed, limits, order.kind)) {
        found->is_waiting = true;
        return;
    }
    if (is_ready(plan, observed)) {
        if (limits->n_ready - 1 < limits->min_ready) {
            found->is_blocked = true;
            return;
        }
        limits->n_ready--;
    }
    limits->n_changing++;
    found->is_due = true;
    g_array_append_val(orders, order);
}

/* Plans the servers that are not ready before those that are. */
static void
plan_servers(const struct plan *plan, struct findings *found, GArray *orders)
{
    struct limits limits = count_servers(plan);

    for (int pass = 0; pass < 2; pass++) {
        for (int i = 0; i < plan->n_observed; i++) {
            if (is_ready(plan, &plan->observed[i]) == (pass == 1)) {
                plan_server(plan, i, &limits, found, orders);
            }
        }
    }
}

static bool
is_outdated(const struct plan *plan, int64_t fencing)
{
    for (int i = 0; i < plan->n_observed; i++) {
        if (plan->observed[i].fencing > fencing) {
            return true;
        }
    }
    return false;
}

static enum deploy_plan_status
status_without_orders(const struct findings *found)
{
    if (found->is_blocked) {
        return DEPLOY_BLOCKED;
    }
    return found->is_waiting ? DEPLOY_WAITING : DEPLOY_SETTLED;
}

/* Returns the status when orders are due, which depends on whether they may be
 * sent under this claim. */
static enum deploy_plan_status
status_with_orders(const struct plan *plan, const struct deploy_claim *claim)
{
    if (!claim->is_held) {
        return DEPLOY_NEEDS_CLAIM;
    }
    if (is_outdated(plan, claim->fencing)) {
        return DEPLOY_OUTDATED;
    }
    return deploy_claim_outlasts_order(claim, plan->now_ms) ? DEPLOY_HAS_ORDERS
                                                            : DEPLOY_WAITING;
}

/* Appends the orders to send now, of struct deploy_order, by the rules in the
 * header.  Returns the deployment's status; only with DEPLOY_HAS_ORDERS are
 * there any orders. */
enum deploy_plan_status
deploy_plan(const struct deploy_desired *desired,
            const struct deploy_observed *observed, int n_observed,
            const struct deploy_claim *claim, int64_t weights_not_before_ms,
            int64_t now_ms, GArray *orders)
{
    struct plan plan = {desired, observed, n_observed,
                        now_ms,  0,        weights_not_before_ms};
    struct findings found = {false, false, false};
    guint before = orders->len;

    if (claim->is_held) {
        plan.min_read_ms = claim->acquired_ms + DEPLOY_MAX_FLIGHT_MS;
    }
    plan_servers(&plan, &found, orders);
    if (!found.is_due) {
        return status_without_orders(&found);
    }
    enum deploy_plan_status status = status_with_orders(&plan, claim);
    if (status != DEPLOY_HAS_ORDERS) {
        g_array_set_size(orders, before);
    }
    return status;
}
