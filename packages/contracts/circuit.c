#include "contracts/circuit.h"

enum {
    FIRST_OPEN_MS = 500,
    MAX_OPEN_MS = 4000, /* most servers that fail are back by then */
    /* Failures further apart are taken for unrelated ones. */
    ROW_MS = 3000,
    /* A circuit that opens this soon after it has closed opens for longer. */
    REPEAT_MS = 5000,
    /* A probe that has not ended by then no longer holds up the next one. */
    PROBE_TIMEOUT_MS = 1000,
};

static void
open_circuit(struct circuit *circuit, int64_t now_ms)
{
    bool is_repeated =
        circuit->is_open ||
        (circuit->closed_ms != 0 && now_ms - circuit->closed_ms < REPEAT_MS);

    circuit->length_ms =
        is_repeated ? MIN(2 * circuit->length_ms, MAX_OPEN_MS) : FIRST_OPEN_MS;
    circuit->is_open = true;
    circuit->opened_ms = now_ms;
    circuit->until_ms = now_ms + circuit->length_ms;
    circuit->probe_ms = 0;
}

/* Records a grant.  While the circuit is open it is a probe. */
void
circuit_record_grant(struct circuit *circuit, int64_t now_ms)
{
    if (circuit->is_open && now_ms >= circuit->until_ms) {
        circuit->probe_ms = now_ms;
    }
}

/* Records that the server answered a request that was granted at granted_ms.
 */
void
circuit_record_success(struct circuit *circuit, int64_t granted_ms,
                       int64_t now_ms)
{
    if (circuit->is_open && granted_ms < circuit->until_ms) {
        return;
    }
    if (circuit->is_open) {
        circuit->is_open = false;
        circuit->closed_ms = now_ms;
    }
    circuit->failed_ms = 0;
}

/* Records that the server failed a request of a holder.  Requests that were
 * granted before the circuit opened tell nothing new. */
void
circuit_record_failure(struct circuit *circuit, const char *holder,
                       int64_t granted_ms, int64_t now_ms)
{
    uint64_t hash = base_hash_text(holder, 0);
    bool is_second = circuit->failed_ms != 0 &&
                     circuit->failed_holder != hash &&
                     now_ms - circuit->failed_ms < ROW_MS;

    if (circuit->is_open) {
        if (granted_ms >= circuit->until_ms) {
            open_circuit(circuit, now_ms);
        }
        return;
    }
    circuit->failed_ms = now_ms;
    circuit->failed_holder = hash;
    if (is_second) {
        open_circuit(circuit, now_ms);
    }
}

/* Returns whether the server should get no request now. */
bool
circuit_refuses(const struct circuit *circuit, int64_t now_ms)
{
    return circuit->is_open &&
           (now_ms < circuit->until_ms ||
            (circuit->probe_ms != 0 &&
             now_ms - circuit->probe_ms < PROBE_TIMEOUT_MS));
}
