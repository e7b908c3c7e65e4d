#include "work/work.h"

#include <math.h>

enum {
    /* Samples that a mean covers: after 30 requests of another size, 86% of
     * the change is in it. */
    SAMPLES = 16,
    UNUSED_MS = 600000, /* a key that was not used for this long is dropped */
    SWEEP_MS = 10000,
    /* Limit of keys, since clients choose the sizes that they name. */
    MAX_MEANS = 4096,
    MAX_CLASS = 24, /* sizes from 2^23 tokens on are one class */
};

/* Initializes an estimator that knows nothing. */
void
work_estimator_init(struct work_estimator *estimator)
{
    estimator->means =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    estimator->swept_ms = 0;
}

/* Frees the contents of the estimator. */
void
work_estimator_finish(struct work_estimator *estimator)
{
    g_hash_table_destroy(estimator->means);
    estimator->means = NULL;
}

/* Returns the number of keys that the estimator keeps. */
int
work_estimator_size(const struct work_estimator *estimator)
{
    return (int)g_hash_table_size(estimator->means);
}

static uint64_t
route_key(const struct work_key *key)
{
    return base_hash_text(key->route, base_hash_text(key->deployment, 1));
}

/* Returns the class of a size: 0 if it is unknown, else the number of its
 * binary digits. */
static uint8_t
size_class(int tokens)
{
    return tokens <= 0 ? 0 : (uint8_t)MIN(g_bit_storage(tokens), MAX_CLASS);
}

/* Returns the key of the size class; that of the route if no size is known. */
static uint64_t
class_key(const struct work_key *key)
{
    const uint8_t classes[] = {size_class(key->input_tokens),
                               size_class(key->output_tokens)};

    if (classes[0] == 0 && classes[1] == 0) {
        return route_key(key);
    }
    return base_hash(classes, sizeof(classes), route_key(key));
}

static struct work_mean *
find_known(struct work_estimator *estimator, uint64_t key, int64_t now_ms)
{
    struct work_mean *mean = g_hash_table_lookup(estimator->means, &key);

    if (mean == NULL) {
        return NULL;
    }
    mean->used_ms = now_ms;
    return mean->count >= WORK_MIN_SAMPLES ? mean : NULL;
}

/* Returns the mean of the request's size class or, until that has enough
 * samples, of its route; NULL if neither has. */
static const struct work_mean *
find_mean(struct work_estimator *estimator, const struct work_key *key,
          int64_t now_ms)
{
    const struct work_mean *mean =
        find_known(estimator, class_key(key), now_ms);

    return mean != NULL ? mean : find_known(estimator, route_key(key), now_ms);
}

/* Returns the expected work of a request; 0: unknown. */
double
work_estimate(struct work_estimator *estimator, const struct work_key *key,
              int64_t now_ms)
{
    const struct work_mean *mean = find_mean(estimator, key, now_ms);

    return mean == NULL ? 0 : mean->mean;
}

/* Returns the mean deviation of that estimate; 0: unknown. */
double
work_deviation(struct work_estimator *estimator, const struct work_key *key,
               int64_t now_ms)
{
    const struct work_mean *mean = find_mean(estimator, key, now_ms);

    return mean == NULL ? 0 : mean->deviation;
}

static gboolean
is_unused(gpointer key, gpointer value, gpointer now_ms)
{
    (void)key;
    return ((struct work_mean *)value)->used_ms + UNUSED_MS <=
           *(const int64_t *)now_ms;
}

static void
sweep(struct work_estimator *estimator, int64_t now_ms)
{
    if (now_ms < estimator->swept_ms + SWEEP_MS) {
        return;
    }
    estimator->swept_ms = now_ms;
    g_hash_table_foreach_remove(estimator->means, is_unused, &now_ms);
}

/* Adds a sample to the mean of a key.  Early samples count equally, later ones
 * with a weight of 1 / SAMPLES. */
static void
add_sample(struct work_estimator *estimator, uint64_t key, double value,
           int64_t now_ms)
{
    struct work_mean *mean = g_hash_table_lookup(estimator->means, &key);
    double error;

    if (mean == NULL) {
        if (work_estimator_size(estimator) >= MAX_MEANS) {
            return;
        }
        mean = g_new0(struct work_mean, 1);
        mean->key = key;
        mean->mean = value;
        g_hash_table_insert(estimator->means, &mean->key, mean);
    }
    mean->used_ms = now_ms;
    mean->count = MIN(mean->count + 1, SAMPLES);
    error = value - mean->mean;
    mean->mean += error / mean->count;
    mean->deviation += (fabs(error) - mean->deviation) / mean->count;
}

/* Learns from a request that has ended: its work or, for other uses, another
 * positive quantity of the requests with this key. */
void
work_observe(struct work_estimator *estimator, const struct work_key *key,
             double value, int64_t now_ms)
{
    uint64_t route = route_key(key);
    uint64_t size = class_key(key);

    sweep(estimator, now_ms);
    if (!(value > 0) || value > WORK_MAX_MS) {
        return;
    }
    add_sample(estimator, route, value, now_ms);
    if (size != route) {
        add_sample(estimator, size, value, now_ms);
    }
}
