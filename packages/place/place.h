/*
 * place: selects the backend server that a request tries next.
 *
 * A caller (the front for online requests, jobs for batch items) makes a
 * policy with place_new and gives it the configuration with ops->update.  It
 * calls ops->choose before each attempt, and reports loads with ops->load and
 * results with ops->outcome.  The front also reports first tokens and long
 * waits for them with place_report_first_token and place_report_wait.  For
 * retries and hedges it calls place_count_request once per request, and
 * place_may_retry, or place_hedge_after_ms and place_take_hedge, before it
 * sends a request again.  The package does no input or output and starts no
 * timers.  A policy has no locks: use it from one thread at a time.
 *
 * Two policies share one vtable.  The default (contracts_policy.c) uses the
 * load that comes with the answers to admission requests and the health that
 * it derives from results.  The naive one (naive.c) is a round robin without
 * state about servers, as a baseline for measurements.
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
    int zone;             /* zone of the requesting node, or WORLD_NONE */
    uint64_t prefix_key;  /* hash of the prompt's beginning; 0: none */
    uint64_t request_key; /* random; source of the random draws in choose */
    enum contracts_class class_;
    bool is_idempotent;
    int64_t deadline_ms;
    int tried[PLACE_MAX_TRIED]; /* servers tried already; not chosen again */
    int n_tried;
    /* The first n_failed of them failed; the others were busy, and so were
     * the other servers of their pools. */
    int n_failed;
};

struct place;

struct place_ops {
    /* Returns the index of the server to try next, or WORLD_NONE.  The
     * default policy adds the request to its estimate of that server's
     * load. */
    int (*choose)(struct place *place, const struct place_request *request,
                  int64_t now_ms);
    /* Stores the load that a server's owner reported. */
    void (*load)(struct place *place, int server,
                 const struct contracts_load *load, int64_t now_ms);
    /* Stores the load of a pool (struct world_pool) as known at
     * load->seen_ms, unless a later one is known. */
    void (*pool_load)(struct place *place, uint64_t key,
                      const struct contracts_load *load);
    /* Records the result of an attempt that has ended. */
    void (*outcome)(struct place *place, int server,
                    const struct contracts_outcome *outcome, int64_t now_ms);
    /* Switches to another configuration and takes a reference to it.  Server
     * indexes refer to the new configuration from then on. */
    void (*update)(struct place *place, struct world *world, int64_t now_ms);
    void (*finish)(struct place *place);
};

/* State of one server, for status reports and metrics. */
struct place_health {
    double share;           /* 0 to 1, where 1 is what it gets when healthy */
    int64_t first_token_us; /* recent median; 0: not known */
    int64_t inter_token_us; /* recent median; 0: not known */
};

struct place_desc {
    bool is_naive;
    uint64_t seed;
    struct base_counters *counters;
};

/* The first member of every policy's state. */
struct place {
    const struct place_ops *ops;
};

struct place *place_new(const struct place_desc *desc);
void place_free(struct place *place);

/* Returns whether a failed attempt may be followed by another one, and if so
 * takes a token from the operator's retry budget. */
bool place_may_retry(struct place *place, int operator_index,
                     const struct place_request *request,
                     enum base_verdict verdict, int64_t now_ms);
/* Returns when a request that has no first token yet should be hedged (sent
 * to a second server as well), in ms after its start; -1: never. */
int64_t place_hedge_after_ms(struct place *place,
                             const struct place_request *request);
/* Takes a token from the hedge budget; false if there is none. */
bool place_take_hedge(struct place *place, int64_t now_ms);
/* Reports that a request has waited waited_us for its first token.  Call it
 * when a hedge is due: a slow server is then detected before it responds. */
void place_report_wait(struct place *place, int server, int64_t waited_us,
                       int64_t now_ms);
/* Reports that a first token arrived after first_token_us.  Call it at once,
 * since the attempt may run for long; the outcome reported at its end then
 * has first_token_us 0, so that the time is not counted twice. */
void place_report_first_token(struct place *place, int server,
                              int64_t first_token_us, int64_t now_ms);
/* Adds a new request's share of a token to the retry budget of its operator
 * and to the hedge budget. */
void place_count_request(struct place *place, int operator_index,
                         int64_t now_ms);

/* Fills `out` with a server's health.  The naive policy has no health data
 * and reports a share of 1. */
void place_health(struct place *place, int server, struct place_health *out,
                  int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
