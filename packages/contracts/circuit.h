/*
 * circuit: a circuit breaker for one server.  A server that fails requests at
 * once always has free slots, so that it would be chosen again and again.  The
 * circuit opens when two holders in a row report failures, as a single holder
 * may have lost its own network.  After a while it lets one request through at
 * a time; a success closes it, a failure opens it for twice as long.
 */
#ifndef CARDAMOM_CONTRACTS_CIRCUIT_H
#define CARDAMOM_CONTRACTS_CIRCUIT_H

#include "base/base.h"

struct circuit {
    bool is_open; /* until a request that was granted since succeeds */
    int64_t opened_ms;
    int64_t until_ms;  /* when the next request may be granted */
    int64_t length_ms; /* of this opening, or of the last one */
    int64_t closed_ms; /* end of the last opening; 0: none */
    int64_t probe_ms;  /* when the running probe was granted; 0: none runs */
    int64_t failed_ms; /* last failure since the last success; 0: none */
    uint64_t failed_holder; /* hash of the name of its holder */
};

void circuit_record_grant(struct circuit *circuit, int64_t now_ms);
void circuit_record_success(struct circuit *circuit, int64_t granted_ms,
                            int64_t now_ms);
void circuit_record_failure(struct circuit *circuit, const char *holder,
                            int64_t granted_ms, int64_t now_ms);
bool circuit_refuses(const struct circuit *circuit, int64_t now_ms);

#endif
