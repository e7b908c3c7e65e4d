#include "contracts/overload.h"

#include <string.h>

enum {
    STEP_MS = 200,
    /* The server is overloaded after this many consecutive steps with
     * admission requests waiting at the end. */
    OVERLOADED_STEPS = 3,
    /* Holders apply a reduction for this long, unless they get a new one. */
    VALID_MS = 600,
};

/* Weight of a new step in the averaged rates. */
static const double RATE_WEIGHT = 0.3;
/* Holders pass on this multiple of the served rate, so that no slot stays
 * idle. */
static const double HEADROOM = 1.2;
/* Long requests always get this share of the served rate. */
static const double LONG_FLOOR = 0.1;
/* Holders never refuse more than this share, since the offered rate is
 * estimated from the requests that they pass on. */
static const double MAX_SHARE = 0.95;
/* Smaller shares and rates count as none. */
static const double MIN_SHARE = 0.05;
/* Without overload, each step multiplies the shares by this. */
static const double RELAX_FACTOR = 0.5;

/* Prepares an overload state without reductions. */
void
overload_init(struct overload *overload, int64_t now_ms)
{
    memset(overload, 0, sizeof(*overload));
    overload->operators =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    overload->step_start_ms = now_ms;
}

/* Frees the state of the operators. */
void
overload_finish(struct overload *overload)
{
    g_hash_table_destroy(overload->operators);
}

/* Counts an online admission request. */
void
overload_record_admission(struct overload *overload,
                          const struct contracts_admission *admission)
{
    struct overload_operator *oper =
        g_hash_table_lookup(overload->operators, admission->operator_name);

    if (oper == NULL) {
        oper = g_new0(struct overload_operator, 1);
        g_hash_table_insert(overload->operators,
                            g_strdup(admission->operator_name), oper);
    }
    oper->weight = admission->weight > 0 ? admission->weight : 1;
    oper->n_admissions[admission->class_]++;
}

/* Counts an online grant. */
void
overload_record_grant(struct overload *overload)
{
    overload->n_granted++;
}

/* Returns whether the server is overloaded. */
bool
overload_is_active(const struct overload *overload)
{
    return overload->n_overloaded_steps >= OVERLOADED_STEPS;
}

/* Updates the offered rate with the admission requests of this step and the
 * requests that holders refused under the current share. */
static void
update_offered_rate(struct overload_operator *oper, double seconds)
{
    for (int i = 0; i < CONTRACTS_BATCH; i++) {
        double admission_rate = oper->n_admissions[i] / seconds;
        double offered_rate = admission_rate / (1 - oper->refuse_share[i]);
        oper->offered_rate[i] +=
            (offered_rate - oper->offered_rate[i]) * RATE_WEIGHT;
        oper->n_admissions[i] = 0;
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
        sum += oper->offered_rate[kind];
    }
    return sum;
}

/* Divides `rate` among the operators by weight so that none gets more than its
 * offered rate (max-min fairness).  Returns the rate per unit of weight of the
 * operators that get less than they offer. */
static double
fair_level(const struct overload *overload, enum contracts_class kind,
           double rate)
{
    double level = 0;
    bool has_converged = false;

    while (!has_converged) {
        struct overload_operator *oper;
        GHashTableIter iter;
        double left = rate;
        double weights = 0;

        g_hash_table_iter_init(&iter, overload->operators);
        while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&oper)) {
            if (oper->offered_rate[kind] <= level * oper->weight) {
                left -= oper->offered_rate[kind];
            }
            else {
                weights += oper->weight;
            }
        }
        double next = weights > 0 ? MAX(left, 0) / weights : level;
        has_converged = next <= level * (1 + 1e-9);
        level = MAX(level, next);
    }
    return level;
}

static void
allocate_rate(struct overload *overload, enum contracts_class kind,
              double rate)
{
    double level = fair_level(overload, kind, rate);
    struct overload_operator *oper;
    GHashTableIter iter;

    g_hash_table_iter_init(&iter, overload->operators);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&oper)) {
        double offered_rate = oper->offered_rate[kind];
        double share =
            offered_rate > 0 ? 1 - level * oper->weight / offered_rate : 0;
        oper->refuse_share[kind] =
            share < MIN_SHARE ? 0 : MIN(share, MAX_SHARE);
    }
}

static void
update_reductions(struct overload *overload)
{
    double rate = overload->served_rate * HEADROOM;
    double short_offered_rate =
        total_offered(overload, CONTRACTS_ONLINE_SHORT);
    double long_offered_rate = total_offered(overload, CONTRACTS_ONLINE_LONG);
    double min_long_rate =
        MIN(long_offered_rate, overload->served_rate * LONG_FLOOR);
    double long_rate = CLAMP(rate - short_offered_rate, min_long_rate,
                             MAX(long_offered_rate, min_long_rate));

    allocate_rate(overload, CONTRACTS_ONLINE_LONG, long_rate);
    allocate_rate(overload, CONTRACTS_ONLINE_SHORT, MAX(rate - long_rate, 0));
}

/* Multiplies the reductions by RELAX_FACTOR, so that the refused demand
 * doesn't return all at once, and drops operators without demand. */
static void
relax_reductions(struct overload *overload)
{
    struct overload_operator *oper;
    GHashTableIter iter;

    g_hash_table_iter_init(&iter, overload->operators);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&oper)) {
        double largest = 0;
        for (int i = 0; i < CONTRACTS_BATCH; i++) {
            double share = oper->refuse_share[i] * RELAX_FACTOR;
            oper->refuse_share[i] = share < MIN_SHARE ? 0 : share;
            largest = MAX(largest,
                          MAX(oper->refuse_share[i], oper->offered_rate[i]));
        }
        if (largest < MIN_SHARE) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

/* Ends the step when it is due; `waiting` is the number of admission requests
 * that wait because of overload. */
void
overload_tick(struct overload *overload, int waiting, int64_t now_ms)
{
    double seconds = (double)(now_ms - overload->step_start_ms) / 1000;
    struct overload_operator *oper;
    GHashTableIter iter;

    if (now_ms - overload->step_start_ms < STEP_MS) {
        return;
    }
    g_hash_table_iter_init(&iter, overload->operators);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&oper)) {
        update_offered_rate(oper, seconds);
    }
    overload->served_rate +=
        (overload->n_granted / seconds - overload->served_rate) * RATE_WEIGHT;
    overload->n_granted = 0;
    overload->n_overloaded_steps =
        waiting > 0 ? overload->n_overloaded_steps + 1 : 0;
    overload->step_start_ms = now_ms;
    if (overload_is_active(overload)) {
        update_reductions(overload);
    }
    else {
        relax_reductions(overload);
    }
}

/* Writes the shares of an operator's requests that holders should refuse. */
void
overload_reduction(const struct overload *overload, const char *operator_name,
                   struct contracts_reduction *out)
{
    const struct overload_operator *oper =
        g_hash_table_lookup(overload->operators, operator_name);

    memset(out, 0, sizeof(*out));
    if (oper != NULL) {
        memcpy(out->share, oper->refuse_share, sizeof(oper->refuse_share));
    }
    out->share[CONTRACTS_BATCH] = overload_is_active(overload) ? 1 : 0;
    for (int i = 0; i < CONTRACTS_N_CLASSES; i++) {
        if (out->share[i] > 0) {
            out->valid_ms = VALID_MS;
        }
    }
}
