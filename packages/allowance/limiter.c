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
    WATCH_MS = 100,         /* interval of hold_silent */
    WATCH_GAP_MS = 300,     /* after a longer one silence is counted anew */
    SILENT_MS = 500, /* shortest silence of a node that may be cut off */
    /* A node's part holds for so long there, and a little longer here. */
    PART_MS = 10500,
};

/* Requests that a node would have reported by now, if it were not cut off.
 * Only of nodes with many requests, as others may well be idle. */
static const double SILENT_REQUESTS = 10;
static const double MIN_STEADY_PER_S = 8;

/* Time constants: of the averages of demand, and of the correction of the
 * bucket's level while it is low. */
static const double DEMAND_S = 0.5;
static const double STEADY_S = 2;
static const double CORRECTION_S = 0.5;
/* Part of the burst that a new bucket holds, and how many requests at most. */
static const double START_BURST = 0.5;
static const double MAX_START = 5;
/* Smaller fractions only correct the level and say little of the demand. */
static const double MIN_FRACTION = 0.1;
static const double MIN_CREDIT = 1;
/* Of the rate, left to nodes that have not been told their part. */
static const double IDLE_SHARE = 0.3;
/* Of the rate: what silent nodes may admit and the tolerance covers.  One of
 * eight nodes that is frozen costs the others nothing. */
static const double COVERED_SHARE = 0.14;
/* Of the rate, at which the bucket counts as filled at least. */
static const double MIN_RATE_SHARE = 0.01;
/* Ratio of fractions above which the nodes are notified. */
static const double NOTICED_STEP = 1.25;

/* What a node has reported. */
struct reporter {
    uint64_t instance;
    uint64_t total;
    uint64_t seen;
    double demand_per_s;
    int64_t reported_ms;
    double steady_per_s; /* as demand_per_s, over STEADY_S */
    double credit;       /* of the last answer */
    double told_per_s;   /* what it may admit alone, by the last answer */
    bool is_held;
    double held; /* taken from the level for what it may have admitted since */
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
    return limiter->share *
           allowance_extra(&limiter->limit, &limiter->tolerance) / 2;
}

static double
capacity(const struct allowance_limiter *limiter)
{
    return limiter->share * limiter->limit.burst + low_mark(limiter);
}

/* Returns the rate that may be granted here and now. */
static double
granted_per_s(const struct allowance_limiter *limiter)
{
    return limiter->share * limiter->limit.per_s - limiter->held_per_s;
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
        .share = 1,
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
    limiter->level = MIN(limiter->level + granted_per_s(limiter) * elapsed_s,
                         capacity(limiter));
    limiter->demand_per_s *= exp(-elapsed_s / DEMAND_S);
    limiter->steady_per_s *= exp(-elapsed_s / STEADY_S);
    limiter->advanced_ms = now_ms;
}

static void
charge(struct allowance_limiter *limiter, double requests)
{
    limiter->level = MAX(limiter->level - requests, -capacity(limiter));
}

/* Returns whether a node has been silent for so long that it may be cut off.
 * Reports may lie unread here after a pause of this process. */
static bool
is_silent(const struct allowance_limiter *limiter,
          const struct reporter *reporter, int64_t now_ms)
{
    int64_t age_ms =
        now_ms - MAX(reporter->reported_ms, limiter->watching_since_ms);

    return reporter->told_per_s > 0 && age_ms > SILENT_MS &&
           reporter->steady_per_s > MIN_STEADY_PER_S &&
           reporter->steady_per_s * (double)age_ms / MS_PER_S >
               SILENT_REQUESTS;
}

/* Holds back what a node that does not report any more may admit, in `share`:
 * at once what it may have admitted since its last report, and its part of the
 * rate since the last call.  Its next report settles it. */
static void
hold(struct allowance_limiter *limiter, struct reporter *reporter,
     double share, int64_t since_ms, int64_t now_ms)
{
    int64_t from_ms = reporter->is_held ? since_ms : reporter->reported_ms;
    double held = reporter->told_per_s * (double)(now_ms - from_ms) / MS_PER_S;

    if (!reporter->is_held) {
        held += reporter->credit;
        /* advance() takes what comes from now on. */
        charge(limiter, held * share);
    }
    reporter->is_held = true;
    reporter->held += held * share;
}

/* Returns the share to hold back of what silent nodes may admit.  The share of
 * nodes that members have found lost is held back already. */
static double
share_to_hold(const struct allowance_limiter *limiter, double silent_per_s)
{
    double lost_per_s = (1 - limiter->share) * limiter->limit.per_s;

    if (silent_per_s <= COVERED_SHARE * limiter->limit.per_s ||
        silent_per_s <= lost_per_s) {
        return 0;
    }
    return (silent_per_s - lost_per_s) / silent_per_s;
}

/* Holds back what nodes that may be cut off may admit alone, so that no other
 * node gets it meanwhile. */
static void
hold_silent(struct allowance_limiter *limiter, int64_t now_ms)
{
    int64_t since_ms = limiter->watched_ms;
    double silent_per_s = 0;
    double share;
    GHashTableIter iter;
    gpointer value;

    if (now_ms - since_ms < WATCH_MS) {
        return;
    }
    if (now_ms - since_ms > WATCH_GAP_MS) {
        limiter->watching_since_ms = now_ms;
    }
    limiter->watched_ms = now_ms;
    limiter->told_per_s = 0;
    g_hash_table_iter_init(&iter, limiter->nodes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct reporter *reporter = value;
        if (now_ms - reporter->reported_ms > PART_MS) {
            reporter->told_per_s = 0;
        }
        limiter->told_per_s += reporter->told_per_s;
        silent_per_s +=
            is_silent(limiter, reporter, now_ms) ? reporter->told_per_s : 0;
    }
    share = share_to_hold(limiter, silent_per_s);
    limiter->held_per_s = silent_per_s * share;
    g_hash_table_iter_init(&iter, limiter->nodes);
    while (share > 0 && g_hash_table_iter_next(&iter, NULL, &value)) {
        if (is_silent(limiter, value, now_ms)) {
            hold(limiter, value, share, since_ms, now_ms);
        }
    }
}

/* Sets the part of the limit that may be granted here, as members have found
 * the other nodes lost, which may grant their part. */
void
allowance_limiter_set_share(struct allowance_limiter *limiter, double share,
                            int64_t now_ms)
{
    advance(limiter, now_ms);
    limiter->share = share;
    limiter->level = MIN(limiter->level, capacity(limiter));
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
        granted_per_s(limiter) + (limiter->level - mark / 2) / CORRECTION_S;

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
    double rate =
        MAX(granted_per_s(limiter), limiter->limit.per_s * MIN_RATE_SHARE);

    *out = (struct allowance_state){
        .limiter = limiter->id,
        .stamp_ms = now_ms,
        .fraction = admitted_fraction,
        .valid_ms = admitted_fraction < 1 ? LOW_MS : CREDIT_MS,
        .retry_ms =
            (int64_t)CLAMP(ceil(missing / rate * MS_PER_S), 1, 60 * MS_PER_S),
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

/* Takes from the level what a node has admitted, less what was held back for
 * it. */
static void
settle(struct allowance_limiter *limiter, struct reporter *reporter,
       double admitted)
{
    charge(limiter, admitted - reporter->held);
    limiter->level = MIN(limiter->level, capacity(limiter));
    reporter->held = 0;
    reporter->is_held = false;
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

    settle(limiter, reporter, (double)admitted);
    limiter->demand_per_s += (double)seen / DEMAND_S;
    limiter->steady_per_s += (double)seen / STEADY_S;
    reporter->demand_per_s =
        reporter->demand_per_s * exp(-MAX(elapsed_s, 0) / DEMAND_S) +
        (double)seen / DEMAND_S;
    reporter->steady_per_s =
        reporter->steady_per_s * exp(-MAX(elapsed_s, 0) / STEADY_S) +
        (double)seen / STEADY_S;
    reporter->total = MAX(reporter->total, report->total);
    reporter->seen = MAX(reporter->seen, report->seen);
    reporter->reported_ms = now_ms;
}

/* Chooses what a node may admit alone: its part of the demand, as far as the
 * others have not been told theirs.  Together they may admit the rate. */
static void
tell_part(struct allowance_limiter *limiter, struct reporter *reporter)
{
    double part = reporter->steady_per_s / MAX(limiter->steady_per_s, 1e-9);
    double most = limiter->share * limiter->limit.per_s * (1 - IDLE_SHARE);
    double others = limiter->told_per_s - reporter->told_per_s;
    double told = CLAMP(most * part, 0, MAX(most - others, 0));

    reporter->told_per_s = told;
    limiter->told_per_s = others + told;
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
    hold_silent(limiter, now_ms);
    count_report(limiter, reporter, report, now_ms);
    take_over_demand(limiter, report, now_ms);
    if (limiter->demand_per_s > 0) {
        part = MIN(reporter->demand_per_s / limiter->demand_per_s, 1);
    }
    fill_state(limiter, fraction(limiter), now_ms, &out->state);
    out->credit =
        out->state.fraction < 1 ? 0 : MAX(limiter->level * part, MIN_CREDIT);
    reporter->credit = out->credit;
    tell_part(limiter, reporter);
    out->part = reporter->told_per_s / limiter->limit.per_s;
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
    hold_silent(limiter, now_ms);
    next = fraction(limiter);
    if (!needs_notice(limiter, next, now_ms)) {
        return false;
    }
    limiter->noticed = next;
    limiter->noticed_ms = now_ms;
    fill_state(limiter, next, now_ms, out);
    return true;
}

/* Writes the state of a bucket. */
void
allowance_limiter_describe(struct allowance_limiter *limiter, int64_t now_ms,
                           struct allowance_limiter_info *out)
{
    GHashTableIter iter;
    gpointer value;

    advance(limiter, now_ms);
    hold_silent(limiter, now_ms);
    *out = (struct allowance_limiter_info){
        .level = limiter->level,
        .capacity = capacity(limiter),
        .granted_per_s = granted_per_s(limiter),
        .held_per_s = limiter->held_per_s,
        .demand_per_s = limiter->demand_per_s,
        .fraction = limiter->noticed,
        .n_nodes = (int)g_hash_table_size(limiter->nodes),
    };
    g_hash_table_iter_init(&iter, limiter->nodes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        out->n_silent += is_silent(limiter, value, now_ms);
    }
}
