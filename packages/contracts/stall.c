#include "contracts/stall.h"

enum {
    INITIAL_STALL_MS = 3000,
    MIN_STALL_MS = 50,
    MAX_STALL_MS = 8000,
    /* The length is multiplied by these after a late probe, and for a repeated
     * stall. */
    LATE_PROBE_GROWTH = 4,
    REPEAT_GROWTH = 2,
    FALSE_ALARM_DIVISOR = 4, /* the length is divided by it */
    /* A stall that starts this soon after the last one is a repeated one. */
    REPEAT_MS = 15000,
    /* Only stalls of at least this length show in the reported load; shorter
     * ones end before other nodes receive it. */
    LONG_STALL_MS = 1000,
    /* A probe without a late report for this long is in time. */
    PROBE_TIMEOUT_MS = 400,
};

/* A late report was a false alarm if the first token came within this many
 * times the wait that was reported. */
static const double FALSE_ALARM_FACTOR = 1.6;

/* Prepares a state without a stall. */
void
stall_init(struct stall *stall)
{
    *stall = (struct stall){.length_ms = INITIAL_STALL_MS};
}

static void
lengthen(struct stall *stall, int64_t now_ms)
{
    bool is_repeated =
        stall->last_ended_ms != 0 && now_ms - stall->last_ended_ms < REPEAT_MS;

    if (stall->is_active) {
        stall->length_ms *= LATE_PROBE_GROWTH;
    }
    else if (is_repeated) {
        stall->length_ms *= REPEAT_GROWTH;
    }
    else {
        stall->length_ms = MIN(stall->length_ms, INITIAL_STALL_MS);
    }
    stall->length_ms = MIN(stall->length_ms, MAX_STALL_MS);
}

/* Starts or renews a stall, because the first token of a request that was
 * granted at granted_ms is late.  During a stall, reports on requests granted
 * before until_ms are ignored, since the stall covers them. */
void
stall_report_late(struct stall *stall, uint64_t contract_id,
                  int64_t granted_ms, int64_t waited_us, int64_t now_ms)
{
    if (stall->is_active && granted_ms < stall->until_ms) {
        return;
    }
    lengthen(stall, now_ms);
    stall->is_active = true;
    stall->until_ms = now_ms + stall->length_ms;
    stall->probe_since_ms = 0;
    stall->late_contract_id = contract_id;
    stall->waited_us = waited_us;
}

static void
end(struct stall *stall, int64_t now_ms)
{
    stall->is_active = false;
    stall->last_ended_ms = now_ms;
}

/* Records that the first token of a late request arrived.  If the stall
 * started with this request and the report was a false alarm, the stall ends
 * and later ones are shorter. */
void
stall_record_first_token(struct stall *stall, uint64_t contract_id,
                         int64_t first_token_us, int64_t now_ms)
{
    if (stall->is_active && stall->late_contract_id == contract_id &&
        (double)first_token_us <=
            FALSE_ALARM_FACTOR * (double)stall->waited_us) {
        end(stall, now_ms);
        stall->length_ms =
            MAX(stall->length_ms / FALSE_ALARM_DIVISOR, MIN_STALL_MS);
    }
}

/* Ends the stall if a request that got its first token in time was granted at
 * or after until_ms. */
void
stall_record_recovery(struct stall *stall, int64_t granted_ms, int64_t now_ms)
{
    if (stall->is_active && granted_ms >= stall->until_ms) {
        end(stall, now_ms);
    }
}

/* Ends a stall whose probe had no late report in time. */
void
stall_tick(struct stall *stall, int64_t now_ms)
{
    if (stall->is_active && stall->probe_since_ms != 0 &&
        now_ms - stall->probe_since_ms >= PROBE_TIMEOUT_MS) {
        end(stall, now_ms);
    }
}

/* Records a grant.  The first grant at or after until_ms is the probe. */
void
stall_record_grant(struct stall *stall, int64_t now_ms)
{
    if (stall->is_active && now_ms >= stall->until_ms &&
        stall->probe_since_ms == 0) {
        stall->probe_since_ms = now_ms;
    }
}

/* Returns whether a stall is active that is long enough to be shown in the
 * load that holders get. */
bool
stall_is_long(const struct stall *stall)
{
    return stall->is_active && stall->length_ms >= LONG_STALL_MS;
}

/* Returns whether admission requests that don't wait are refused now. */
bool
stall_refuses(const struct stall *stall, int64_t now_ms)
{
    return stall->is_active &&
           (now_ms < stall->until_ms || stall->probe_since_ms != 0);
}
