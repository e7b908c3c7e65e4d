#include "place/histogram.h"

#include <math.h>

enum { HALF_LIFE_MS = 10000, FIRST_BUCKET_US = 500 };

/* Ratio of a bucket's upper bound to its lower bound. */
static const double BUCKET_RATIO = 1.1;

static int
bucket_of(int64_t us)
{
    double ratio = (double)MAX(us, 1) / FIRST_BUCKET_US;

    return CLAMP((int)(log(ratio) / log(BUCKET_RATIO)), 0,
                 HISTOGRAM_BUCKETS - 1);
}

/* Halves all counts if HALF_LIFE_MS has passed since the last time. */
static void
decay(struct histogram *histogram, int64_t now_ms)
{
    if (now_ms - histogram->last_halved_ms < HALF_LIFE_MS) {
        return;
    }
    histogram->last_halved_ms = now_ms;
    histogram->total /= 2;
    for (int i = 0; i < HISTOGRAM_BUCKETS; i++) {
        histogram->counts[i] /= 2;
    }
}

/* Adds a duration of `us` microseconds. */
void
histogram_add(struct histogram *histogram, int64_t us, int64_t now_ms)
{
    decay(histogram, now_ms);
    histogram->counts[bucket_of(us)] += 1;
    histogram->total += 1;
}

/* Returns the quantile q (0 to 1) of the recent durations in us, rounded up
 * to the upper bound of its bucket; 0 if there are none. */
int64_t
histogram_quantile(const struct histogram *histogram, double q)
{
    double left = histogram->total * q;

    if (histogram->total <= 0) {
        return 0;
    }
    for (int i = 0; i < HISTOGRAM_BUCKETS; i++) {
        left -= histogram->counts[i];
        if (left <= 0) {
            return (int64_t)(FIRST_BUCKET_US * pow(BUCKET_RATIO, i + 1));
        }
    }
    return (int64_t)(FIRST_BUCKET_US * pow(BUCKET_RATIO, HISTOGRAM_BUCKETS));
}
