/*
 * overload: detects that a server gets more requests than it can serve, and
 * computes the share of each operator's requests that holders should refuse
 * without an admission request: batch first, then long requests, then short
 * ones of operators over their fair share.  A server is overloaded when
 * online admission requests wait at the end of several steps in a row; the
 * shares follow from the rates of admission requests and grants.
 */
#ifndef CARDAMOM_CONTRACTS_OVERLOAD_H
#define CARDAMOM_CONTRACTS_OVERLOAD_H

#include "contracts/contracts.h"

struct overload_operator {
    double weight;
    int n_admissions[CONTRACTS_BATCH];    /* admission requests in this step */
    double offered_rate[CONTRACTS_BATCH]; /* requests a second, including
                                             those that holders refused */
    double
        refuse_share[CONTRACTS_BATCH]; /* share that holders should refuse */
};

struct overload {
    GHashTable *operators;  /* name to struct overload_operator */
    int64_t step_start_ms;  /* start of the current step */
    int n_granted;          /* online grants in this step */
    double served_rate;     /* online grants a second */
    int n_overloaded_steps; /* in a row with requests waiting at the end */
};

void overload_init(struct overload *overload, int64_t now_ms);
void overload_finish(struct overload *overload);
void overload_record_admission(struct overload *overload,
                               const struct contracts_admission *admission);
void overload_record_grant(struct overload *overload);
void overload_tick(struct overload *overload, int waiting, int64_t now_ms);
bool overload_is_active(const struct overload *overload);
void overload_reduction(const struct overload *overload,
                        const char *operator_name,
                        struct contracts_reduction *out);

#endif
