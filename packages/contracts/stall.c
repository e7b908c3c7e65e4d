#include "contracts/stall.h"

enum {
    INITIAL_STALL_MS = 3000,
    MIN_STALL_MS = 50,
    MAX_STALL_MS = 8000,
    LATE_PROBE_GROWTH = 4,
    REPEAT_GROWTH = 2,
    FALSE_ALARM_DIVISOR = 4,
    /* A stall so soon after the last one comes again. */
    REPEAT_MS = 15000,
    /* Shorter ones are over before the news of them has gone round. */
    LONG_STALL_MS = 1000,
    /* A probe without a sign for so long went well. */
    PROBE_TIMEOUT_MS = 400,
};

/* A first token within so many times the wait at the sign was not very
 * late. */
static const double FALSE_ALARM_FACTOR = 1.6;

/* Starts without a stall. */
void
stall_init(struct stall *stall)
{
    *stall = (struct stall){.length_ms = INITIAL_STALL_MS};
}

static void
lengthen(struct stall *stall, int64_t now_ms)
{
    bool is_repeated =
        stall->ended_ms != 0 && now_ms - stall->ended_ms < REPEAT_MS;

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

/* A request granted at granted_ms is late.  Signs from requests that were
 * granted before the stall ended belong to it and change nothing. */
void
stall_report_late(struct stall *stall, uint64_t contract, int64_t granted_ms,
                  int64_t waited_us, int64_t now_ms)
{
    if (stall->is_active && granted_ms < stall->until_ms) {
        return;
    }
    lengthen(stall, now_ms);
    stall->is_active = true;
    stall->until_ms = now_ms + stall->length_ms;
    stall->probed_ms = 0;
    stall->late_contract = contract;
    stall->waited_us = waited_us;
}

static void
end(struct stall *stall, int64_t now_ms)
{
    stall->is_active = false;
    stall->ended_ms = now_ms;
}

/* The first token of a request that was late has come.  When it is the one
 * that gave the sign and was not very late, the sign was false. */
void
stall_first_token(struct stall *stall, uint64_t contract,
                  int64_t first_token_us, int64_t now_ms)
{
    if (stall->is_active && stall->late_contract == contract &&
        (double)first_token_us <=
            FALSE_ALARM_FACTOR * (double)stall->waited_us) {
        end(stall, now_ms);
        stall->length_ms =
            MAX(stall->length_ms / FALSE_ALARM_DIVISOR, MIN_STALL_MS);
    }
}

/* A request granted at granted_ms had its first token in time. */
void
stall_recovered(struct stall *stall, int64_t granted_ms, int64_t now_ms)
{
    if (stall->is_active && granted_ms >= stall->until_ms) {
        end(stall, now_ms);
    }
}

/* Ends a stall whose probe gave no sign. */
void
stall_tick(struct stall *stall, int64_t now_ms)
{
    if (stall->is_active && stall->probed_ms != 0 &&
        now_ms - stall->probed_ms >= PROBE_TIMEOUT_MS) {
        end(stall, now_ms);
    }
}

/* A request was granted; after the stall's time it is the probe. */
void
stall_granted(struct stall *stall, int64_t now_ms)
{
    if (stall->is_active && now_ms >= stall->until_ms &&
        stall->probed_ms == 0) {
        stall->probed_ms = now_ms;
    }
}

/* Whether a stall is on that other nodes should hear of. */
bool
stall_is_long(const struct stall *stall)
{
    return stall->is_active && stall->length_ms >= LONG_STALL_MS;
}

/* Whether asks that don't wait are refused now. */
bool
stall_refuses(const struct stall *stall, int64_t now_ms)
{
    return stall->is_active &&
           (now_ms < stall->until_ms || stall->probed_ms != 0);
}
