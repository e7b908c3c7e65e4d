/*
 * histogram: quantiles of recent durations.  Buckets are on a logarithmic
 * scale; all counts are halved at intervals, so that old values lose weight.
 * A zeroed struct is an empty histogram.
 */
#ifndef CARDAMOM_PLACE_HISTOGRAM_H
#define CARDAMOM_PLACE_HISTOGRAM_H

#include "base/base.h"

enum { HISTOGRAM_BUCKETS = 128 };

struct histogram {
    float counts[HISTOGRAM_BUCKETS];
    float total;
    int64_t last_halved_ms;
};

void histogram_add(struct histogram *histogram, int64_t us, int64_t now_ms);
int64_t histogram_quantile(const struct histogram *histogram, double q);

#endif
