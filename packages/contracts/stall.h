/*
 * stall: a keeper's quick reaction to a holder's sign that its server is
 * late with a first token.  For a while asks that would not wait are answered
 * busy, since their askers have other servers to go to; asks that wait are
 * served as ever, so that a sign on every server at once harms nobody.  Then
 * one request probes the server.  The time is longer after a probe that is
 * late, too, and when stalls come again soon; it is shorter when the late
 * first token came shortly after the sign, so that servers whose times simply
 * vary lose little.
 */
#ifndef CARDAMOM_CONTRACTS_STALL_H
#define CARDAMOM_CONTRACTS_STALL_H

#include "contracts/contracts.h"

struct stall {
    bool is_active; /* until a probe went well */
    int64_t length_ms;
    int64_t until_ms;
    int64_t ended_ms;       /* the last one; 0: none */
    int64_t probed_ms;      /* when the probe was granted; 0: none is out */
    uint64_t late_contract; /* whose request gave the sign */
    int64_t waited_us;      /* how long it had waited */
};

void stall_init(struct stall *stall);
void stall_report_late(struct stall *stall, uint64_t late_contract,
                       int64_t granted_ms, int64_t waited_us, int64_t now_ms);
void stall_first_token(struct stall *stall, uint64_t late_contract,
                       int64_t first_token_us, int64_t now_ms);
void stall_recovered(struct stall *stall, int64_t granted_ms, int64_t now_ms);
void stall_tick(struct stall *stall, int64_t now_ms);
void stall_granted(struct stall *stall, int64_t now_ms);
bool stall_is_long(const struct stall *stall);
bool stall_refuses(const struct stall *stall, int64_t now_ms);

#endif
