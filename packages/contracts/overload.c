#include "contracts/overload.h"

#include <string.h>

enum {
    STEP_MS = 200,
    /* Overload is on after so many steps in a row at whose end asks wait. */
    FULL_STEPS = 3,
    /* Holders apply a reduction for this long unless told anew. */
    VALID_MS = 600,
};

static const double RATE_WEIGHT = 0.3;
/* More is let through than is served, so that a slot never waits for work. */
static const double HEADROOM = 1.2;
/* Long requests keep this share of the served rate whatever else comes. */
static const double LONG_FLOOR = 0.1;
/* The most that is ever refused unasked: what still comes shows the demand. */
static const double LARGEST_SHARE = 0.95;
static const double LEAST_SHARE = 0.05;
static const double RELEASE = 0.5;

/* Starts without a reduction. */
void
overload_init(struct overload *overload, int64_t now_ms)
{
    memset(overload, 0, sizeof(*overload));
    overload->operators =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    overload->step_ms = now_ms;
}

/* Frees what was gathered. */
void
overload_finish(struct overload *overload)
{
    g_hash_table_destroy(overload->operators);
}

/* Counts an online ask. */
void
overload_offer(struct overload *overload,
               const struct contracts_admission *ask)
{
    struct overload_operator *oper =
        g_hash_table_lookup(overload->operators, ask->operator_name);

    if (oper == NULL) {
        oper = g_new0(struct overload_operator, 1);
        g_hash_table_insert(overload->operators, g_strdup(ask->operator_name),
                            oper);
    }
    oper->weight = ask->weight > 0 ? ask->weight : 1;
    oper->asked[ask->class_]++;
}

/* Counts an online grant. */
void
overload_grant(struct overload *overload)
{
    overload->granted++;
}

/* Whether more is asked for than is served. */
bool
overload_is_on(const struct overload *overload)
{
    return overload->full_steps >= FULL_STEPS;
}

/* What came in this step, with what the share in force held back. */
static void
measure(struct overload_operator *oper, double seconds)
{
    for (int i = 0; i < CONTRACTS_BATCH; i++) {
        double passed = oper->asked[i] / seconds;
        double offered = passed / (1 - oper->share[i]);
        oper->offered[i] += (offered - oper->offered[i]) * RATE_WEIGHT;
        oper->asked[i] = 0;
    }
}

static double
total_offered(const struct overload *overload, enum contracts_class kind)
{
    struct overload_operator *oper;
    GHashTableIter iter;
    double sum = 0;

    g_hash_table_iter_init(&iter, overload->operators);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&oper)) {
        sum += oper->offered[kind];
    }
    return sum;
}

/* The rate for each unit of weight at which operators, each taking no more
 * than it offers, share `rate` (max-min fairness). */
static double
fair_level(const struct overload *overload, enum contracts_class kind,
           double rate)
{
    double level = 0;
    bool is_settled = false;

    while (!is_settled) {
        struct overload_operator *oper;
        GHashTableIter iter;
        double left = rate;
        double weights = 0;

        g_hash_table_iter_init(&iter, overload->operators);
        while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&oper)) {
            if (oper->offered[kind] <= level * oper->weight) {
                left -= oper->offered[kind];
            }
            else {
                weights += oper->weight;
            }
        }
        double next = weights > 0 ? MAX(left, 0) / weights : level;
        is_settled = next <= level * (1 + 1e-9);
        level = MAX(level, next);
    }
    return level;
}

static void
share_out(struct overload *overload, enum contracts_class kind, double rate)
{
    double level = fair_level(overload, kind, rate);
    struct overload_operator *oper;
    GHashTableIter iter;

    g_hash_table_iter_init(&iter, overload->operators);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&oper)) {
        double offered = oper->offered[kind];
        double share = offered > 0 ? 1 - level * oper->weight / offered : 0;
        oper->share[kind] =
            share < LEAST_SHARE ? 0 : MIN(share, LARGEST_SHARE);
    }
}

static void
reduce(struct overload *overload)
{
    double rate = overload->served * HEADROOM;
    double shorts = total_offered(overload, CONTRACTS_ONLINE_SHORT);
    double longs = total_offered(overload, CONTRACTS_ONLINE_LONG);
    double least_long = MIN(longs, overload->served * LONG_FLOOR);
    double long_rate =
        CLAMP(rate - shorts, least_long, MAX(longs, least_long));

    share_out(overload, CONTRACTS_ONLINE_LONG, long_rate);
    share_out(overload, CONTRACTS_ONLINE_SHORT, MAX(rate - long_rate, 0));
}

/* Lets go of reductions step by step, so that held-back callers don't all
 * come at once. */
static void
release(struct overload *overload)
{
    struct overload_operator *oper;
    GHashTableIter iter;

    g_hash_table_iter_init(&iter, overload->operators);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&oper)) {
        double most = 0;
        for (int i = 0; i < CONTRACTS_BATCH; i++) {
            double share = oper->share[i] * RELEASE;
            oper->share[i] = share < LEAST_SHARE ? 0 : share;
            most = MAX(most, MAX(oper->share[i], oper->offered[i]));
        }
        if (most < LEAST_SHARE) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

/* Ends a step when it is time; waiting are the asks that could run but for
 * slots. */
void
overload_tick(struct overload *overload, int waiting, int64_t now_ms)
{
    double seconds = (double)(now_ms - overload->step_ms) / 1000;
    struct overload_operator *oper;
    GHashTableIter iter;

    if (now_ms - overload->step_ms < STEP_MS) {
        return;
    }
    g_hash_table_iter_init(&iter, overload->operators);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&oper)) {
        measure(oper, seconds);
    }
    overload->served +=
        (overload->granted / seconds - overload->served) * RATE_WEIGHT;
    overload->granted = 0;
    overload->full_steps = waiting > 0 ? overload->full_steps + 1 : 0;
    overload->step_ms = now_ms;
    if (overload_is_on(overload)) {
        reduce(overload);
    }
    else {
        release(overload);
    }
}

/* What the holders of an operator's requests should refuse by themselves. */
void
overload_reduction(const struct overload *overload, const char *operator_name,
                   struct contracts_reduction *out)
{
    const struct overload_operator *oper =
        g_hash_table_lookup(overload->operators, operator_name);

    memset(out, 0, sizeof(*out));
    if (oper != NULL) {
        memcpy(out->share, oper->share, sizeof(oper->share));
    }
    out->share[CONTRACTS_BATCH] = overload_is_on(overload) ? 1 : 0;
    for (int i = 0; i < CONTRACTS_N_CLASSES; i++) {
        if (out->share[i] > 0) {
            out->valid_ms = VALID_MS;
        }
    }
}
