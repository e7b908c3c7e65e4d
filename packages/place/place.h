/*
 * place: which backend server a request tries next.  Decisions only; the
 * front and the batch runner feed it what they saw and do what it says.
 *
 * Policies share one vtable: place_policy_contracts is the product's, and
 * place_policy_naive (round robin, no memory) stands beside it to be
 * measured against.
 */
#ifndef CARDAMOM_PLACE_H
#define CARDAMOM_PLACE_H

#include "base/base.h"
#include "contracts/contracts.h"
#include "world/world.h"

#ifdef __cplusplus
extern "C" {
#endif

enum { PLACE_MAX_TRIED = 8 };

struct place_request {
    int deployment;
    int zone;             /* of the asking node */
    uint64_t prefix_key;  /* hash of the prompt's beginning; 0: none */
    uint64_t request_key; /* random, breaks ties */
    enum contracts_class class_;
    bool is_idempotent;
    int64_t deadline_ms;
    int tried[PLACE_MAX_TRIED]; /* servers that this request used before */
    int n_tried;
};

struct place;

struct place_ops {
    /* The server to ask next, or WORLD_NONE. */
    int (*choose)(struct place *place, const struct place_request *request,
                  int64_t now_ms);
    /* What a keeper said of a server. */
    void (*load)(struct place *place, int server,
                 const struct contracts_load *load, int64_t now_ms);
    /* How an attempt went. */
    void (*outcome)(struct place *place, int server,
                    const struct contracts_outcome *outcome, int64_t now_ms);
    void (*update)(struct place *place, struct world *world, int64_t now_ms);
    void (*finish)(struct place *place);
};

/* How a server stands, for status and metrics. */
struct place_health {
    double share;           /* of its usual requests, 0 to 1 */
    int64_t first_token_us; /* recent median; 0: not known */
    int64_t inter_token_us;
};

struct place_desc {
    bool is_naive;
    uint64_t seed;
    struct base_counters *counters;
};

/* The first member of every policy; kept behind a pointer by users. */
struct place {
    const struct place_ops *ops;
};

struct place *place_new(const struct place_desc *desc);
void place_free(struct place *place);

/* After a failed attempt: may it be tried again, and is there budget? */
bool place_may_retry(struct place *place, int operator_index,
                     const struct place_request *request,
                     enum base_verdict verdict, int64_t now_ms);
/* When to hedge an idempotent request that has no first token yet, in ms
 * after its start; -1: never. */
int64_t place_hedge_after_ms(struct place *place,
                             const struct place_request *request);
bool place_take_hedge(struct place *place, int64_t now_ms);
/* A request has had no first token from a server for waited_us: told when a
 * hedge is due, so that a slow server is known before its answers are. */
void place_report_wait(struct place *place, int server, int64_t waited_us,
                       int64_t now_ms);
/* A first token came after first_token_us.  Told at once, for the outcome
 * may be long in coming; an outcome that follows leaves the time out. */
void place_report_first_token(struct place *place, int server,
                              int64_t first_token_us, int64_t now_ms);
/* Counts a request into the retry and hedge budgets. */
void place_count_request(struct place *place, int operator_index,
                         int64_t now_ms);

/* How a server stands now; the naive policy knows nothing of it. */
void place_health(struct place *place, int server, struct place_health *out,
                  int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
