/*
 * overload: how much of each class and operator a keeper can't serve.  From
 * the rates of asks and grants while asks wait, it works out what share of
 * its asks an operator's holders should refuse by themselves: batch first,
 * then long requests, then short ones of operators over their fair share.
 */
#ifndef CARDAMOM_CONTRACTS_OVERLOAD_H
#define CARDAMOM_CONTRACTS_OVERLOAD_H

#include "contracts/contracts.h"

struct overload_operator {
    double weight;
    int n_admissions[CONTRACTS_BATCH];    /* in this step */
    double offered_rate[CONTRACTS_BATCH]; /* asks a second, refused ones too */
    double refuse_share[CONTRACTS_BATCH]; /* to refuse */
};

struct overload {
    GHashTable *operators; /* name to struct overload_operator */
    int64_t step_start_ms; /* when the step began */
    int n_granted;         /* online, in this step */
    double served_rate;    /* online grants a second, while asks wait */
    int overloaded_steps;  /* steps in a row at whose end asks waited */
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
