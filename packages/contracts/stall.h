/*
 * stall: a controller's quick reaction to a late report, in which a holder
 * says that the first token of a running request is late.
 *
 * For the length of the stall, admission requests that don't wait are
 * answered CONTRACTS_BUSY, as their holders can try other servers.  Those
 * that wait are served as usual, so that late reports from all servers at
 * once do no harm.  After that one granted request is the probe of the
 * server: the stall ends when the probe's first token is in time, and starts
 * anew when it is late.
 *
 * A stall is longer when its predecessor's probe was late or when it follows
 * another one soon.  Stalls get shorter when the late first token came
 * shortly after the late report, so that a server whose times simply vary
 * loses little.
 */
#ifndef CARDAMOM_CONTRACTS_STALL_H
#define CARDAMOM_CONTRACTS_STALL_H

#include "contracts/contracts.h"

struct stall {
    bool is_active;         /* until a probe's first token is in time */
    int64_t length_ms;      /* of this stall, or of the last one */
    int64_t until_ms;       /* when the probe may be granted */
    int64_t last_ended_ms;  /* end of the last stall; 0: none */
    int64_t probe_since_ms; /* when the probe was granted; 0: no probe runs */
    uint64_t late_contract_id; /* contract of the request that was late */
    int64_t waited_us;         /* its wait for the first token at the report */
};

void stall_init(struct stall *stall);
void stall_report_late(struct stall *stall, uint64_t contract_id,
                       int64_t granted_ms, int64_t waited_us, int64_t now_ms);
void stall_record_first_token(struct stall *stall, uint64_t contract_id,
                              int64_t first_token_us, int64_t now_ms);
void stall_record_recovery(struct stall *stall, int64_t granted_ms,
                           int64_t now_ms);
void stall_tick(struct stall *stall, int64_t now_ms);
void stall_record_grant(struct stall *stall, int64_t now_ms);
bool stall_is_long(const struct stall *stall);
bool stall_refuses(const struct stall *stall, int64_t now_ms);

#endif
