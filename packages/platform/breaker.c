#include "platform/breaker.h"

enum {
    /* Failures in a row after which the breaker opens.  Single ones occur
     * while the service loses some of its answers. */
    FAILURES_TO_OPEN = 3,
};

static bool
is_open(const struct platform_breaker *breaker)
{
    return breaker->failures >= FAILURES_TO_OPEN;
}

int64_t
platform_breaker_wait_ms(const struct platform_breaker *breaker,
                         int64_t now_ms)
{
    if (!is_open(breaker)) {
        return 0;
    }
    if (breaker->is_probing) {
        return -1;
    }
    return breaker->retry_at_ms > now_ms ? breaker->retry_at_ms - now_ms : 0;
}

void
platform_breaker_start(struct platform_breaker *breaker)
{
    breaker->is_probing = is_open(breaker);
}

void
platform_breaker_succeeded(struct platform_breaker *breaker)
{
    breaker->failures = 0;
    breaker->is_probing = false;
}

void
platform_breaker_failed(struct platform_breaker *breaker, int64_t now_ms,
                        int64_t backoff_ms)
{
    breaker->failures++;
    breaker->is_probing = false;
    breaker->retry_at_ms = now_ms + backoff_ms;
}

int
platform_breaker_depth(const struct platform_breaker *breaker)
{
    return is_open(breaker) ? breaker->failures - FAILURES_TO_OPEN : 0;
}
