#include "contracts/pace.h"

#include <math.h>

enum { MS_PER_S = 1000, MAX_ROOM = 1000000 };

/* Requests that may be granted at once after a pause: one for online and one
 * for batch, and those of BURST_S seconds. */
static const double BURST = 2;
static const double BURST_S = 0.1;
/* Requests a second that a server gets at least, since only a response can
 * tell that it has raised its limit. */
static const double MIN_RATE = 0.25;

/* Initializes a pace without a limit. */
void
pace_init(struct pace *pace)
{
    *pace = (struct pace){.limit_per_s = (double)INFINITY};
}

/* Sets the limit in requests a second; INFINITY ends it. */
void
pace_set(struct pace *pace, double limit_per_s, int64_t now_ms)
{
    pace_advance(pace, now_ms);
    if (!pace_is_limited(pace)) {
        pace->tokens = 0;
        pace->advanced_ms = now_ms;
    }
    pace->limit_per_s = limit_per_s;
}

/* Adds the tokens that have accrued until now_ms. */
void
pace_advance(struct pace *pace, int64_t now_ms)
{
    double elapsed_ms = (double)(now_ms - pace->advanced_ms);
    double burst;

    if (!pace_is_limited(pace) || elapsed_ms <= 0) {
        return;
    }
    burst = BURST + pace_rate(pace) * BURST_S;
    pace->tokens =
        MIN(pace->tokens + pace_rate(pace) * elapsed_ms / MS_PER_S, burst);
    pace->advanced_ms = now_ms;
}

/* Returns whether the server has named a limit. */
bool
pace_is_limited(const struct pace *pace)
{
    return !isinf(pace->limit_per_s);
}

/* Returns the requests a second that the server gets; INFINITY: any number. */
double
pace_rate(const struct pace *pace)
{
    return MAX(pace->limit_per_s, MIN_RATE);
}

static int
whole(double tokens)
{
    return (int)CLAMP(floor(tokens), 0, MAX_ROOM);
}

/* Returns how many online requests may be granted now. */
int
pace_room(const struct pace *pace)
{
    return pace_is_limited(pace) ? whole(pace->tokens) : MAX_ROOM;
}

/* Returns how many batch requests may be granted now: a token is left for the
 * next online request. */
int
pace_batch_room(const struct pace *pace)
{
    return pace_is_limited(pace) ? whole(pace->tokens - 1) : MAX_ROOM;
}

/* Takes the tokens of granted requests. */
void
pace_take(struct pace *pace, int count)
{
    if (pace_is_limited(pace)) {
        pace->tokens -= count;
    }
}
