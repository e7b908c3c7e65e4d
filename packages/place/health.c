#include "place/health.h"

enum {
    MAX_SAMPLE_AGE_MS = 10000, /* older samples are not used */
    MIN_SAMPLES = 3,
    /* Time as a suspect for each consecutive slow request. */
    SUSPECT_MS = 500,
    MIN_EJECTION_MS = 4000,
    MAX_EJECTION_MS = 30000,
    /* Time in which the share grows from INITIAL_SHARE to 1. */
    RAMP_UP_MS = 4000,
    /* n_ejections is reset this long after the end of the last ejection. */
    EJECTION_RESET_MS = 60000,
    FAILURES_TO_EJECT = 3,
    SLOW_TO_EJECT = 3, /* consecutive slow requests */
    MAX_DOUBLINGS = 4, /* bound on the doublings of the ejection time */
};

/* A sample or a median counts as slow above this multiple of the peers'
 * median. */
static const double SLOW_FACTOR = 2.5;
/* A request that still waits for its first token counts as slow above this
 * multiple of the peers' median. */
static const double SUSPECT_FACTOR = 1.5;
/* Share of its requests that a server gets right after an ejection. */
static const double INITIAL_SHARE = 0.1;

static void
add_sample(struct health_samples *samples, int64_t us, int64_t now_ms)
{
    samples->us[samples->next] = us;
    samples->at_ms[samples->next] = now_ms;
    samples->next = (samples->next + 1) % HEALTH_SAMPLES;
}

/* See the header.  Samples older than MAX_SAMPLE_AGE_MS are left out. */
int64_t
health_median(const struct health_samples *samples, int64_t now_ms)
{
    int64_t sorted[HEALTH_SAMPLES];
    int n = 0;

    for (int i = 0; i < HEALTH_SAMPLES; i++) {
        int position = n;
        if (samples->us[i] == 0 ||
            now_ms - samples->at_ms[i] > MAX_SAMPLE_AGE_MS) {
            continue;
        }
        for (; position > 0 && sorted[position - 1] > samples->us[i];
             position--) {
            sorted[position] = sorted[position - 1];
        }
        sorted[position] = samples->us[i];
        n++;
    }
    return n < MIN_SAMPLES ? 0 : sorted[(n - 1) / 2];
}

/* See the header. */
bool
health_is_ejected(const struct health *health, int64_t now_ms)
{
    return now_ms < health->ejected_until_ms;
}

/* Ejects the server: for MIN_EJECTION_MS at first, then for twice as long
 * with each ejection in a row, up to MAX_EJECTION_MS. */
static void
eject(struct health *health, int64_t now_ms)
{
    int64_t length_ms = (int64_t)MIN_EJECTION_MS
                        << MIN(health->n_ejections, MAX_DOUBLINGS);

    if (now_ms - health->ejected_until_ms > EJECTION_RESET_MS) {
        health->n_ejections = 0;
        length_ms = MIN_EJECTION_MS;
    }
    health->n_ejections++;
    health->ejected_since_ms = now_ms;
    health->ejected_until_ms = now_ms + MIN(length_ms, MAX_EJECTION_MS);
    health->suspect_until_ms = 0;
    health->n_slow = 0;
    health->n_failures = 0;
    /* Samples from before the ejection must not count after it. */
    health->first = (struct health_samples){{0}, {0}, 0};
    health->inter = (struct health_samples){{0}, {0}, 0};
}

static bool
is_recovering(const struct health *health, int64_t now_ms)
{
    return health->n_ejections > 0 &&
           now_ms < health->ejected_until_ms + RAMP_UP_MS;
}

static bool
exceeds(int64_t us, int64_t peers_us, double factor)
{
    return peers_us > 0 && (double)us > factor * (double)peers_us;
}

/* Decides after a new sample whether the server is normal, suspect or
 * ejected. */
static void
evaluate(struct health *health, bool is_slow_sample,
         const struct health_peers *peers, int64_t now_ms)
{
    bool is_slow = exceeds(health_median(&health->first, now_ms),
                           peers->first_us, SLOW_FACTOR) ||
                   exceeds(health_median(&health->inter, now_ms),
                           peers->inter_us, SLOW_FACTOR);

    health->n_slow = is_slow_sample ? health->n_slow + 1 : 0;
    int max_slow =
        is_recovering(health, now_ms) ? SLOW_TO_EJECT - 1 : SLOW_TO_EJECT;
    if (!peers->may_eject) {
        /* With many servers ejected already, the cause is probably not this
         * server. */
        health->suspect_until_ms = 0;
    }
    else if (is_slow || health->n_slow >= max_slow) {
        eject(health, now_ms);
    }
    else {
        health->suspect_until_ms = now_ms + SUSPECT_MS * health->n_slow;
    }
}

/* See the header.  During an ejection the results are ignored, so that
 * requests sent before it do not make it longer. */
void
health_report_outcome(struct health *health,
                      const struct contracts_outcome *outcome,
                      const struct health_peers *peers, int64_t now_ms)
{
    bool is_slow_sample =
        exceeds(outcome->first_token_us, peers->first_us, SLOW_FACTOR) ||
        exceeds(outcome->inter_token_us, peers->inter_us, SLOW_FACTOR);

    if (health_is_ejected(health, now_ms)) {
        return;
    }
    if (outcome->failed) {
        health->n_failures++;
        if (health->n_failures >= FAILURES_TO_EJECT && peers->may_eject) {
            eject(health, now_ms);
        }
        return;
    }
    if (outcome->first_token_us == 0 && outcome->inter_token_us == 0) {
        return;
    }
    health->n_failures = 0;
    if (outcome->first_token_us > 0) {
        add_sample(&health->first, outcome->first_token_us, now_ms);
    }
    if (outcome->inter_token_us > 0) {
        add_sample(&health->inter, outcome->inter_token_us, now_ms);
    }
    evaluate(health, is_slow_sample, peers, now_ms);
}

/* See the header.  Called while a request still waits for its first token;
 * waited_us is the wait so far. */
void
health_report_wait(struct health *health, int64_t waited_us,
                   const struct health_peers *peers, int64_t now_ms)
{
    if (!health_is_ejected(health, now_ms) &&
        now_ms >= health->suspect_until_ms &&
        exceeds(waited_us, peers->first_us, SUSPECT_FACTOR)) {
        evaluate(health, true, peers, now_ms);
    }
}

/* See the header.  A suspect server gets no requests until its time as a
 * suspect ends. */
double
health_share(const struct health *health, int64_t now_ms)
{
    if (health_is_ejected(health, now_ms) ||
        now_ms < health->suspect_until_ms) {
        return 0;
    }
    if (!is_recovering(health, now_ms)) {
        return 1;
    }
    double passed = (double)(now_ms - health->ejected_until_ms) / RAMP_UP_MS;
    return INITIAL_SHARE + (1 - INITIAL_SHARE) * passed;
}
