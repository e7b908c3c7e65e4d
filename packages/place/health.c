#include "place/health.h"

enum {
    SAMPLE_AGE_MS = 10000, /* older samples say nothing of now */
    LEAST_SAMPLES = 3,
    SUSPECT_MS = 500, /* for each sign in a row */
    FIRST_OUT_MS = 4000,
    LONGEST_OUT_MS = 30000,
    RETURN_MS = 4000,   /* from a small share to a whole one */
    FORGIVE_MS = 60000, /* after so long in order, the count starts anew */
    FAILURES_TO_OUT = 3,
    SIGNS_TO_EJECT = 3, /* late requests with no timely one between */
    MOST_DOUBLINGS = 4,
};

/* A server is slow beyond so many times the peers' median. */
static const double SLOW_FACTOR = 2.5;
/* One request is a sign of slowness beyond so many times that median. */
static const double SUSPECT_FACTOR = 1.5;
/* A returning server begins with this share of its requests. */
static const double FIRST_SHARE = 0.1;

static void
add(struct health_signal *signal, int64_t us, int64_t now_ms)
{
    signal->us[signal->next] = us;
    signal->at_ms[signal->next] = now_ms;
    signal->next = (signal->next + 1) % HEALTH_SAMPLES;
}

/* The median of the last few times in us; 0 when too few are recent. */
int64_t
health_median(const struct health_signal *signal, int64_t now_ms)
{
    int64_t sorted[HEALTH_SAMPLES];
    int n = 0;

    for (int i = 0; i < HEALTH_SAMPLES; i++) {
        int at = n;
        if (signal->us[i] == 0 || now_ms - signal->at_ms[i] > SAMPLE_AGE_MS) {
            continue;
        }
        for (; at > 0 && sorted[at - 1] > signal->us[i]; at--) {
            sorted[at] = sorted[at - 1];
        }
        sorted[at] = signal->us[i];
        n++;
    }
    return n < LEAST_SAMPLES ? 0 : sorted[(n - 1) / 2];
}

/* Whether the server gets no requests at all now. */
bool
health_is_ejected(const struct health *health, int64_t now_ms)
{
    return now_ms < health->ejected_until_ms;
}

static void
put_out(struct health *health, int64_t now_ms)
{
    int64_t length_ms = (int64_t)FIRST_OUT_MS
                        << MIN(health->n_ejections, MOST_DOUBLINGS);

    if (now_ms - health->ejected_until_ms > FORGIVE_MS) {
        health->n_ejections = 0;
        length_ms = FIRST_OUT_MS;
    }
    health->n_ejections++;
    health->ejected_since_ms = now_ms;
    health->ejected_until_ms = now_ms + MIN(length_ms, LONGEST_OUT_MS);
    health->suspect_until_ms = 0;
    health->signs = 0;
    health->failures = 0;
    /* It is judged anew when it returns. */
    health->first = (struct health_signal){{0}, {0}, 0};
    health->inter = (struct health_signal){{0}, {0}, 0};
}

static bool
is_returning(const struct health *health, int64_t now_ms)
{
    return health->n_ejections > 0 &&
           now_ms < health->ejected_until_ms + RETURN_MS;
}

static bool
is_beyond(int64_t us, int64_t peers_us, double factor)
{
    return peers_us > 0 && (double)us > factor * (double)peers_us;
}

static void
judge(struct health *health, bool is_slow_sample,
      const struct health_peers *peers, int64_t now_ms)
{
    bool is_slow = is_beyond(health_median(&health->first, now_ms),
                             peers->first_us, SLOW_FACTOR) ||
                   is_beyond(health_median(&health->inter, now_ms),
                             peers->inter_us, SLOW_FACTOR);

    health->signs = is_slow_sample ? health->signs + 1 : 0;
    int most =
        is_returning(health, now_ms) ? SIGNS_TO_EJECT - 1 : SIGNS_TO_EJECT;
    if (!peers->may_eject) {
        /* With many out already the fault lies elsewhere. */
        health->suspect_until_ms = 0;
    }
    else if (is_slow || health->signs >= most) {
        put_out(health, now_ms);
    }
    else {
        health->suspect_until_ms = now_ms + SUSPECT_MS * health->signs;
    }
}

/* Takes in how a request went.  What began before the server was put out
 * doesn't lengthen that time. */
void
health_outcome(struct health *health, const struct contracts_outcome *outcome,
               const struct health_peers *peers, int64_t now_ms)
{
    bool is_slow_sample =
        is_beyond(outcome->first_token_us, peers->first_us, SLOW_FACTOR) ||
        is_beyond(outcome->inter_token_us, peers->inter_us, SLOW_FACTOR);

    if (health_is_ejected(health, now_ms)) {
        return;
    }
    if (outcome->failed) {
        health->failures++;
        if (health->failures >= FAILURES_TO_OUT && peers->may_eject) {
            put_out(health, now_ms);
        }
        return;
    }
    if (outcome->first_token_us == 0 && outcome->inter_token_us == 0) {
        return;
    }
    health->failures = 0;
    if (outcome->first_token_us > 0) {
        add(&health->first, outcome->first_token_us, now_ms);
    }
    if (outcome->inter_token_us > 0) {
        add(&health->inter, outcome->inter_token_us, now_ms);
    }
    judge(health, is_slow_sample, peers, now_ms);
}

/* A request has no first token after so long. */
void
health_waited(struct health *health, int64_t waited_us,
              const struct health_peers *peers, int64_t now_ms)
{
    if (!health_is_ejected(health, now_ms) &&
        now_ms >= health->suspect_until_ms &&
        is_beyond(waited_us, peers->first_us, SUSPECT_FACTOR)) {
        judge(health, true, peers, now_ms);
    }
}

/* See the header.  A suspect gets nothing until more is known. */
double
health_share(const struct health *health, int64_t now_ms)
{
    if (health_is_ejected(health, now_ms) ||
        now_ms < health->suspect_until_ms) {
        return 0;
    }
    if (!is_returning(health, now_ms)) {
        return 1;
    }
    double passed = (double)(now_ms - health->ejected_until_ms) / RETURN_MS;
    return FIRST_SHARE + (1 - FIRST_SHARE) * passed;
}
