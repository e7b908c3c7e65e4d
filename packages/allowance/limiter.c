#include "allowance/allowance.h"

#include <math.h>

enum {
    MS_PER_S = 1000,
    CREDIT_MS = 500,
    START_MS = 2000, /* the previous limiter's fraction matters so long */
    /* The fraction is in force for longer than two notices, so that a lost one
     * does not end it. */
    LOW_MS = 2500,
    NOTICE_MS = 1000,       /* interval between notices while low */
    MIN_NOTICE_MS = 50,     /* shortest interval between notices */
    CHANGE_NOTICE_MS = 150, /* the same, if only the fraction changes */
    RETENTION_MS = 60000,   /* of nodes that no longer report */
    EXPIRY_MS = 10000,      /* interval between removals */
    MAX_SEEN_STEP = 100000, /* larger differences are taken for errors */
};

/* Time constants: of the averages of demand, and of the correction of the
 * bucket's level while it is low. */
static const double DEMAND_S = 0.5;
static const double CORRECTION_S = 0.5;
/* Part of the burst that a new bucket holds, and how many requests at most. */
static const double START_BURST = 0.5;
static const double MAX_START = 5;
/* Smaller fractions only correct the level and say little of the demand. */
static const double MIN_FRACTION = 0.1;
static const double MIN_CREDIT = 1;
/* Ratio of fractions above which the nodes are notified. */
static const double NOTICED_STEP = 1.25;

/* What a node has reported. */
struct reporter {
    uint64_t instance;
    uint64_t total;
    uint64_t seen;
    double demand_per_s;
    int64_t reported_ms;
};

/* Returns what the tolerance adds to the limit in a window. */
double
allowance_extra(const struct allowance_limit *limit,
                const struct allowance_tolerance *tolerance)
{
    return (limit->per_s * tolerance->window_s + limit->burst) *
               tolerance->overage +
           tolerance->slack;
}

/* The level at which a bucket without tolerance would be empty.  Half of the
 * tolerance is for requests that are admitted before the notice arrives. */
static double
low_mark(const struct allowance_limiter *limiter)
{
    return allowance_extra(&limiter->limit, &limiter->tolerance) / 2;
}

static double
capacity(const struct allowance_limiter *limiter)
{
    return limiter->limit.burst + low_mark(limiter);
}

/* Initializes a bucket.  It holds little of the burst, as the operator's
 * previous limiter may have admitted one just before. */
void
allowance_limiter_init(struct allowance_limiter *limiter, uint64_t id,
                       const struct allowance_limit *limit,
                       const struct allowance_tolerance *tolerance,
                       int64_t now_ms)
{
    *limiter = (struct allowance_limiter){
        .id = id,
        .limit = *limit,
        .tolerance = *tolerance,
        .advanced_ms = now_ms,
        .started_ms = now_ms,
        .noticed = 1,
        .nodes =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free),
    };
    limiter->level =
        low_mark(limiter) + MIN(limit->burst * START_BURST, MAX_START);
}

/* Frees the bucket's memory. */
void
allowance_limiter_finish(struct allowance_limiter *limiter)
{
    g_hash_table_destroy(limiter->nodes);
}

static void
advance(struct allowance_limiter *limiter, int64_t now_ms)
{
    double elapsed_s = (double)(now_ms - limiter->advanced_ms) / MS_PER_S;

    if (elapsed_s <= 0) {
        return;
    }
    limiter->level = MIN(limiter->level + limiter->limit.per_s * elapsed_s,
                         capacity(limiter));
    limiter->demand_per_s *= exp(-elapsed_s / DEMAND_S);
    limiter->advanced_ms = now_ms;
}

/* Applies a changed limit; a lower one caps the bucket at once. */
void
allowance_limiter_set_limit(struct allowance_limiter *limiter,
                            const struct allowance_limit *limit,
                            const struct allowance_tolerance *tolerance,
                            int64_t now_ms)
{
    advance(limiter, now_ms);
    limiter->limit = *limit;
    limiter->tolerance = *tolerance;
    limiter->level = MIN(limiter->level, capacity(limiter));
}

/* Returns the fraction of requests to admit.  Below the mark it brings the
 * level to half of the mark, where the rate passes. */
static double
fraction(const struct allowance_limiter *limiter)
{
    double mark = low_mark(limiter);
    double admit_per_s =
        limiter->limit.per_s + (limiter->level - mark / 2) / CORRECTION_S;

    if (limiter->level >= mark || admit_per_s >= limiter->demand_per_s) {
        return 1;
    }
    return MAX(admit_per_s / limiter->demand_per_s, 0);
}

/* Returns whether nodes have been told to admit only a fraction. */
bool
allowance_limiter_is_low(const struct allowance_limiter *limiter)
{
    return limiter->noticed < 1;
}

static void
fill_state(const struct allowance_limiter *limiter, double admitted_fraction,
           int64_t now_ms, struct allowance_state *out)
{
    double missing = low_mark(limiter) + 1 - limiter->level;

    *out = (struct allowance_state){
        .limiter = limiter->id,
        .stamp_ms = now_ms,
        .fraction = admitted_fraction,
        .valid_ms = admitted_fraction < 1 ? LOW_MS : CREDIT_MS,
        .retry_ms = (int64_t)CLAMP(
            ceil(missing / limiter->limit.per_s * MS_PER_S), 1, 60 * MS_PER_S),
    };
}

static void
expire(struct allowance_limiter *limiter, int64_t now_ms)
{
    GHashTableIter iter;
    gpointer value;

    if (now_ms < limiter->expiry_ms) {
        return;
    }
    limiter->expiry_ms = now_ms + EXPIRY_MS;
    g_hash_table_iter_init(&iter, limiter->nodes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct reporter *reporter = value;
        if (now_ms - reporter->reported_ms > RETENTION_MS) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

static struct reporter *
find_reporter(struct allowance_limiter *limiter, const char *node,
              const struct allowance_report *report)
{
    struct reporter *reporter = g_hash_table_lookup(limiter->nodes, node);

    if (reporter == NULL) {
        reporter = g_new0(struct reporter, 1);
        g_hash_table_insert(limiter->nodes, g_strdup(node), reporter);
    }
    else if (reporter->instance == report->instance) {
        return reporter;
    }
    *reporter = (struct reporter){
        .instance = report->instance,
        .total = report->total - MIN(report->unacknowledged, report->total),
        .seen = report->seen - MIN(report->unacknowledged, report->seen),
    };
    return reporter;
}

static uint64_t
difference(uint64_t now, uint64_t before, uint64_t most)
{
    return now > before ? MIN(now - before, most) : 0;
}

/* Estimates the demand at a new limiter from the fraction that the previous
 * one gave a node, as it takes a while until most nodes report here. */
static void
take_over_demand(struct allowance_limiter *limiter,
                 const struct allowance_report *report, int64_t now_ms)
{
    double demand_per_s;

    if (report->fraction >= 1 || now_ms - limiter->started_ms > START_MS) {
        return;
    }
    demand_per_s = limiter->limit.per_s / MAX(report->fraction, MIN_FRACTION);
    limiter->demand_per_s = MAX(limiter->demand_per_s, demand_per_s);
}

static void
count_report(struct allowance_limiter *limiter, struct reporter *reporter,
             const struct allowance_report *report, int64_t now_ms)
{
    /* A node whose reports went to another limiter for a time has had part of
     * the difference acknowledged there. */
    uint64_t admitted =
        difference(report->total, reporter->total, report->unacknowledged);
    uint64_t seen = difference(report->seen, reporter->seen, MAX_SEEN_STEP);
    double elapsed_s = (double)(now_ms - reporter->reported_ms) / MS_PER_S;

    limiter->level =
        MAX(limiter->level - (double)admitted, -capacity(limiter));
    limiter->demand_per_s += (double)seen / DEMAND_S;
    reporter->demand_per_s =
        reporter->demand_per_s * exp(-MAX(elapsed_s, 0) / DEMAND_S) +
        (double)seen / DEMAND_S;
    reporter->total = MAX(reporter->total, report->total);
    reporter->seen = MAX(reporter->seen, report->seen);
    reporter->reported_ms = now_ms;
}

/* Counts what a node has admitted and answers it.  The demand of all nodes and
 * of each are averages over about half a second, so that nodes that have left
 * drop out of them. */
void
allowance_limiter_report(struct allowance_limiter *limiter, const char *node,
                         const struct allowance_report *report, int64_t now_ms,
                         struct allowance_answer *out)
{
    struct reporter *reporter = find_reporter(limiter, node, report);
    double part = 0;

    advance(limiter, now_ms);
    count_report(limiter, reporter, report, now_ms);
    take_over_demand(limiter, report, now_ms);
    if (limiter->demand_per_s > 0) {
        part = MIN(reporter->demand_per_s / limiter->demand_per_s, 1);
    }
    fill_state(limiter, fraction(limiter), now_ms, &out->state);
    out->part = part;
    out->credit =
        out->state.fraction < 1 ? 0 : MAX(limiter->level * part, MIN_CREDIT);
    expire(limiter, now_ms);
}

static bool
needs_notice(const struct allowance_limiter *limiter, double next,
             int64_t now_ms)
{
    int64_t since_ms = now_ms - limiter->noticed_ms;
    double before = limiter->noticed;

    if ((before >= 1 && next >= 1) || since_ms < MIN_NOTICE_MS) {
        return false;
    }
    if ((before < 1) != (next < 1)) {
        return true;
    }
    return since_ms >= NOTICE_MS ||
           (since_ms >= CHANGE_NOTICE_MS &&
            (next > before * NOTICED_STEP || next * NOTICED_STEP < before));
}

/* Returns true, with the state to send, when all nodes are to be notified.
 * Called after each report, and every 50 ms or so while the bucket is low. */
bool
allowance_limiter_notice(struct allowance_limiter *limiter, int64_t now_ms,
                         struct allowance_state *out)
{
    double next;

    advance(limiter, now_ms);
    next = fraction(limiter);
    if (!needs_notice(limiter, next, now_ms)) {
        return false;
    }
    limiter->noticed = next;
    limiter->noticed_ms = now_ms;
    fill_state(limiter, next, now_ms, out);
    return true;
}
