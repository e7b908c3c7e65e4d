#include "allowance/allowance.h"

enum {
    MS_PER_S = 1000,
    /* Shortest interval between reports of an account. */
    REPORT_INTERVAL_MS = 20,
    /* Reports of requests on credit wait for further requests. */
    CREDIT_REPORT_MS = 100,
    REFUSED_REPORT_MS = 200,
    /* A limiter in another region answers within 90 ms, and within some
     * 300 ms over a new connection.  A node that takes a slow limiter for lost
     * only reports to another one. */
    LOST_MS = 400,
    /* The part of the demand is an average over about a second, so that it
     * says nothing of a node that was idle for long. */
    PART_VALID_MS = 10000,
    OVERDRAFT_RETRY_MS = 50,
    MAX_OVERDRAFT = 8, /* requests of one client that arrive together */
};

/* Part of the fraction that a node keeps that no limiter answers: it may be
 * cut off from one that gives its part to others. */
static const double CUT_OFF_SHARE = 0.25;
/* Of the rate, for all nodes that no limiter has told their part. */
static const double IDLE_SHARE = 0.3;

/* Returns how many requests may be admitted without credit until an answer
 * arrives.  All nodes together exceed the bucket only by what arrives until
 * the limiter's notice, so the burst of one client may pass at one node. */
static double
full_overdraft(const struct allowance_account *account)
{
    return account->share * CLAMP(account->limit.burst, 1, MAX_OVERDRAFT);
}

static double
alone_part(const struct allowance_account *account, int64_t now_ms)
{
    if (account->part_ms > 0 && now_ms - account->part_ms < PART_VALID_MS) {
        return account->part;
    }
    return account->share * IDLE_SHARE / MAX(account->n_nodes, 1);
}

/* Returns how many requests may be admitted at once without a limiter, besides
 * one: the node's part of the bucket, which is empty if it was low. */
static double
alone_burst(const struct allowance_account *account, int64_t now_ms)
{
    double extra = allowance_extra(&account->limit, &account->tolerance);

    if (account->fraction < 1) {
        return 0;
    }
    return alone_part(account, now_ms) * (account->limit.burst + extra / 4) /
           2;
}

/* Starts or refills the bucket for times without a limiter.  It starts with
 * the node's part of a request, too, so that all nodes together admit no more
 * than the sum of their parts. */
static void
refill_alone(struct allowance_account *account, int64_t now_ms)
{
    double elapsed_s = (double)(now_ms - account->alone_ms) / MS_PER_S;
    double rate = account->limit.per_s * alone_part(account, now_ms);
    double burst = alone_burst(account, now_ms);

    if (!account->is_alone) {
        account->is_alone = true;
        account->alone_tokens = MIN(account->selector, 1) + burst;
        account->alone_ms = now_ms;
    }
    else if (elapsed_s > 0) {
        account->alone_tokens =
            MIN(account->alone_tokens + rate * elapsed_s, 1 + burst);
        account->alone_ms = now_ms;
    }
}

/* Initializes an account without a limit.  `random`, from 0 to 1, selects the
 * request that is admitted first when the bucket is low; it differs between
 * nodes, since otherwise all of them would admit theirs at the same time. */
void
allowance_account_init(struct allowance_account *account, uint64_t instance,
                       double random)
{
    *account = (struct allowance_account){
        .instance = instance,
        .n_nodes = 1,
        .share = 1,
        .fraction = 1,
        .selector = random,
    };
}

/* Applies a limit.  If it changes, the account loses its credit. */
void
allowance_account_set_limit(struct allowance_account *account,
                            const struct allowance_limit *limit,
                            const struct allowance_tolerance *tolerance,
                            int64_t now_ms)
{
    bool is_changed = account->limit.per_s != limit->per_s ||
                      account->limit.burst != limit->burst;

    account->limit = *limit;
    account->tolerance = *tolerance;
    if (is_changed) {
        account->credit_until_ms = 0;
        account->low_until_ms = 0;
        account->overdraft = full_overdraft(account);
        account->is_alone = false;
    }
}

/* Sets the number of nodes that accept work, and the part of the limit that
 * may be granted at them, see allowance_limiter_set_share. */
void
allowance_account_set_nodes(struct allowance_account *account, int n_nodes,
                            double share)
{
    account->n_nodes = n_nodes;
    account->share = share;
    account->overdraft = MIN(account->overdraft, full_overdraft(account));
}

/* Prepares an account for reports to another limiter, which count what no
 * limiter has acknowledged.  The last fraction stays in force until it
 * expires, since the next limiter needs some reports to learn the demand. */
void
allowance_account_limiter_changed(struct allowance_account *account)
{
    if (account->unanswered_ms > 0) {
        account->overdraft =
            MIN(account->overdraft,
                MAX(account->part * full_overdraft(account), 1));
    }
    account->unanswered_ms = 0;
    if (account->total > account->acknowledged &&
        account->unreported_ms == 0) {
        account->unreported_ms = account->reported_ms;
    }
}

/* Returns whether reports have been unanswered for so long that the limiter
 * counts as lost. */
bool
allowance_is_alone(const struct allowance_account *account, int64_t now_ms)
{
    return account->unanswered_ms > 0 &&
           now_ms - account->unanswered_ms >= LOST_MS;
}

/* Returns whether the limiter has been lost, and a substitute had the time to
 * answer over a new connection, too. */
static bool
is_answered_by_none(const struct allowance_account *account, int64_t now_ms)
{
    return account->unanswered_ms > 0 &&
           now_ms - account->unanswered_ms >= 2 * LOST_MS;
}

static bool
take(double *from, int count)
{
    if (*from < count) {
        return false;
    }
    *from -= count;
    return true;
}

static enum allowance_verdict
admit_fraction(struct allowance_account *account, int count, int64_t now_ms)
{
    double share = is_answered_by_none(account, now_ms) ? CUT_OFF_SHARE : 1;

    account->selector = MIN(account->selector + account->fraction * share, 2);
    return take(&account->selector, count) ? ALLOWANCE_ON_CREDIT
                                           : ALLOWANCE_REFUSED;
}

static enum allowance_verdict
choose_verdict(struct allowance_account *account, int count, int64_t now_ms)
{
    if (now_ms < account->low_until_ms) {
        return admit_fraction(account, count, now_ms);
    }
    if (now_ms < account->credit_until_ms && take(&account->credit, count)) {
        return ALLOWANCE_ON_CREDIT;
    }
    if (account->is_alone || is_answered_by_none(account, now_ms)) {
        refill_alone(account, now_ms);
        return take(&account->alone_tokens, count) ? ALLOWANCE_ALONE
                                                   : ALLOWANCE_REFUSED;
    }
    return take(&account->overdraft, count) ? ALLOWANCE_OVERDRAWN
                                            : ALLOWANCE_REFUSED;
}

/* Decides on `count` requests, which count as one when the bucket is low. */
enum allowance_verdict
allowance_admit(struct allowance_account *account, int count, int64_t now_ms)
{
    enum allowance_verdict verdict = choose_verdict(account, count, now_ms);

    account->seen += (uint64_t)count;
    if (verdict != ALLOWANCE_REFUSED) {
        account->total += (uint64_t)count;
    }
    if (account->unreported_ms == 0) {
        account->unreported_ms = now_ms;
    }
    return verdict;
}

/* Returns when a refused request is expected to be admitted, in ms. */
int64_t
allowance_retry_ms(const struct allowance_account *account, int64_t now_ms)
{
    int64_t retry_ms = OVERDRAFT_RETRY_MS;

    if (now_ms < account->low_until_ms) {
        retry_ms = account->retry_at_ms - now_ms;
    }
    else if (account->is_alone) {
        double rate = account->limit.per_s * alone_part(account, now_ms);
        double missing = 1 - account->alone_tokens;
        retry_ms = rate > 0 ? (int64_t)(missing * MS_PER_S / rate) : MS_PER_S;
    }
    return MAX(retry_ms, 1);
}

static int64_t
report_delay_ms(const struct allowance_account *account)
{
    if (account->total == account->reported_total) {
        return REFUSED_REPORT_MS;
    }
    if (account->unreported_ms < account->credit_until_ms &&
        2 * account->credit > account->granted) {
        return CREDIT_REPORT_MS;
    }
    return 0;
}

/* Returns when to repeat reports that no limiter has acknowledged, at
 * intervals that double. */
static int64_t
repeat_ms(const struct allowance_account *account)
{
    if (account->unanswered_ms == 0 ||
        account->total == account->acknowledged) {
        return ALLOWANCE_NEVER;
    }
    return account->reported_ms +
           MAX(account->reported_ms - account->unanswered_ms, LOST_MS);
}

/* Returns when the next report is due; ALLOWANCE_NEVER: there is none. */
int64_t
allowance_due_ms(const struct allowance_account *account)
{
    int64_t due_ms = repeat_ms(account);

    if (account->unreported_ms > 0) {
        due_ms =
            MIN(due_ms, account->unreported_ms + report_delay_ms(account));
    }
    return due_ms == ALLOWANCE_NEVER
               ? due_ms
               : MAX(due_ms, account->reported_ms + REPORT_INTERVAL_MS);
}

/* Writes a report of all requests so far. */
void
allowance_report(struct allowance_account *account, int64_t now_ms,
                 struct allowance_report *out)
{
    *out = (struct allowance_report){
        .instance = account->instance,
        .total = account->total,
        .unacknowledged = account->total - account->acknowledged,
        .seen = account->seen,
        .fraction = now_ms < account->low_until_ms ? account->fraction : 1,
    };
    account->reported_total = account->total;
    account->reported_seen = account->seen;
    account->reported_ms = now_ms;
    account->unreported_ms = 0;
    if (account->unanswered_ms == 0) {
        account->unanswered_ms = now_ms;
    }
}

/* Applies the limiter's answer to a report. */
void
allowance_answered(struct allowance_account *account,
                   const struct allowance_report *report,
                   const struct allowance_answer *answer, int64_t now_ms)
{
    uint64_t since = account->total - report->total;

    account->unanswered_ms = 0;
    account->is_alone = false;
    account->acknowledged = MAX(account->acknowledged, report->total);
    account->part = answer->part;
    account->part_ms = now_ms;
    account->overdraft = full_overdraft(account);
    /* Credit counts from the report on. */
    account->granted = answer->credit;
    account->credit = MAX(answer->credit - (double)since, 0);
    account->credit_until_ms =
        answer->credit > 0 ? now_ms + answer->state.valid_ms : 0;
    allowance_noticed(account, &answer->state, now_ms);
}

/* Applies a limiter's state, unless a newer one has arrived before. */
void
allowance_noticed(struct allowance_account *account,
                  const struct allowance_state *state, int64_t now_ms)
{
    if (state->limiter == account->limiter &&
        state->stamp_ms < account->stamp_ms) {
        return;
    }
    account->limiter = state->limiter;
    account->stamp_ms = state->stamp_ms;
    account->fraction = state->fraction;
    account->retry_at_ms = now_ms + state->retry_ms;
    account->low_until_ms = state->fraction < 1 ? now_ms + state->valid_ms : 0;
    if (state->fraction < 1) {
        account->credit_until_ms = 0;
    }
}
