/*
 * breaker: a circuit breaker for the calls to the key-value service.  While
 * the service fails, one call at a time probes it and all others wait, so that
 * an outage is not met with retries of every call.  Reads no clock.
 */
#ifndef CARDAMOM_PLATFORM_BREAKER_H
#define CARDAMOM_PLATFORM_BREAKER_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Zero: closed. */
struct platform_breaker {
    int failures; /* in a row, of all calls */
    bool is_probing;
    int64_t retry_at_ms; /* earliest time of the next probe */
};

/* Returns how long no call may start, in ms; 0: one may start now.  -1: a
 * probe is under way and decides. */
int64_t platform_breaker_wait_ms(const struct platform_breaker *breaker,
                                 int64_t now_ms);
/* Records that a call starts. */
void platform_breaker_start(struct platform_breaker *breaker);
/* Records that the service has answered a call. */
void platform_breaker_succeeded(struct platform_breaker *breaker);
/* Records that the service refused a call or did not answer it.  If the
 * breaker is open, the next probe may start after backoff_ms. */
void platform_breaker_failed(struct platform_breaker *breaker, int64_t now_ms,
                             int64_t backoff_ms);
/* Returns how many failures there were in a row since the breaker opened. */
int platform_breaker_depth(const struct platform_breaker *breaker);

#ifdef __cplusplus
}
#endif

#endif
