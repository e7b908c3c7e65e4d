/*
 * contracts: admission control for backend servers.
 *
 * One node, the server's owner, decides which requests may run on a server;
 * contracts_owner() chooses that node.  The owner keeps one struct
 * contracts_controller for each of its servers, passes every message about
 * the server to it, and calls contracts_controller_tick() regularly.
 *
 * A contract is the right to run requests on a server: one request for
 * online work, `slots` requests at once for batch work.  The node that holds
 * a contract is its holder, a client of the server's owner.
 *
 * The package does no input or output and reads no clock: the caller passes
 * the time in, in ms, and gets records out, so that tests can drive it.  It
 * takes no locks; one thread at a time may use a controller.
 */
#ifndef CARDAMOM_CONTRACTS_H
#define CARDAMOM_CONTRACTS_H

#include <math.h>

#include "base/base.h"
#include "members/members.h"
#include "world/world.h"

#ifdef __cplusplus
extern "C" {
#endif

enum contracts_class {
    CONTRACTS_ONLINE_SHORT,
    CONTRACTS_ONLINE_LONG,
    CONTRACTS_BATCH,
    CONTRACTS_N_CLASSES,
};

enum contracts_answer {
    CONTRACTS_GRANTED,
    /* There was no free slot and the request did not run.  The load in the
     * answer shows how busy the server is. */
    CONTRACTS_BUSY,
    CONTRACTS_REFUSED,     /* overload: class or operator is over its share */
    CONTRACTS_UNAVAILABLE, /* the server is leaving, lost or unknown */
};

/* The load of a server, sent with every answer. */
struct contracts_load {
    int window;      /* requests that the server should run at once */
    int online;      /* online contracts held */
    int batch;       /* batch slots held */
    int queued;      /* waiting online admission requests */
    int64_t seen_ms; /* when the load was recorded, on the local clock */
};

/* An overload reduction: the share of each class's requests that a holder
 * refuses itself, without an admission request, for valid_ms. */
struct contracts_reduction {
    double share[CONTRACTS_N_CLASSES];
    int64_t valid_ms;
};

/* The outcome of a contract's work, for the window and for health. */
struct contracts_outcome {
    int64_t first_token_us; /* 0: no token was seen */
    int64_t inter_token_us; /* mean; 0: fewer than two tokens */
    int tokens;
    bool failed; /* the server caused the failure */
};

/* Returns the view's index of the node that owns a pool of the world, or
 * WORLD_NONE when no node accepts work.  A rendezvous hash chooses among the
 * nodes that accept work in the servers' zone, else in its region, else
 * anywhere. */
int contracts_owner(const struct world *world, const struct members_view *view,
                    int pool);

/* ---- the admission controller of one server ---- */

enum {
    CONTRACTS_HOLDER_SIZE = MEMBERS_NAME_SIZE,
    CONTRACTS_SERVER_SIZE = BASE_NAME_SIZE,
    CONTRACTS_MAX_AVOIDED = 8,
};

/* An admission request. */
struct contracts_admission {
    uint64_t ask_id; /* chosen by the holder, returned in the answer */
    char holder[CONTRACTS_HOLDER_SIZE]; /* the requesting node */
    char operator_name[BASE_NAME_SIZE];
    double weight; /* weight of the operator, for shares under contention */
    enum contracts_class class_;
    int64_t wait_ms; /* longest wait in the queue; 0: answer at once */
    /* Time left until the request counts as late.  Online requests that are
     * not late are served before late ones of the same operator and class; 0:
     * never late.  Batch requests are served in the order in which their work
     * is due; 0: late already or never due, served last. */
    int64_t prefer_ms;
    /* Online: how long the caller had waited before its request reached the
     * holder.  Earlier requests go first, and prefer_ms doesn't include it. */
    int64_t earlier_ms;
    int slots;       /* number of slots for batch; online is 1 */
    int64_t term_ms; /* batch: how long the contract is valid */
    /* Batch: the contract to renew; 0: a new one.  Renewal with fewer slots
     * than the contract holds releases the others. */
    uint64_t renew;
    /* For pools (pool.h): the server to grant if it has a free slot, and
     * hashes of the names of servers not to grant. */
    char preferred[CONTRACTS_SERVER_SIZE];
    uint64_t avoid[CONTRACTS_MAX_AVOIDED];
    int n_avoid;
    int64_t work_ms; /* expected slot time, see packages/work; 0: unknown */
};

enum contracts_event_kind {
    CONTRACTS_ANSWER,  /* to an admission request of the holder */
    CONTRACTS_PREEMPT, /* the holder must release `slots` of `contract` now */
};

/* A message to send to a holder. */
struct contracts_event {
    enum contracts_event_kind kind;
    char holder[CONTRACTS_HOLDER_SIZE];
    char server[CONTRACTS_SERVER_SIZE]; /* set by pools */
    uint64_t ask_id;
    enum contracts_answer answer;
    uint64_t contract; /* unique within the controller */
    int slots;
    int64_t term_ms;
    struct contracts_load load;
    struct contracts_reduction reduction;
    int64_t retry_ms; /* busy: when a request may be granted; 0: unknown */
    /* Granted by a pool to an online request of known work (else work_ms is
     * 0): that work, and in what time the server and the best one would have
     * been done with their work before, or of full servers, with their next
     * contract. */
    int64_t work_ms;
    int64_t remaining_ms;
    int64_t best_remaining_ms;
};

/* A batch slot that may be preempted. */
struct contracts_victim {
    int64_t due_ms; /* when its work is due; INT64_MAX: late already */
    double left_ms; /* slot time that its work still needs; -1: unknown */
};

struct contracts_controller_desc {
    int slots; /* maximum number of requests that the server runs at once */
    double first_token_target_ms;
    double inter_token_target_ms;
    double long_share;  /* share of the window for long online requests */
    double batch_share; /* share of the window for batch */
    /* Batch may hold every free slot: none is reserved for online.  An online
     * request then waits shortly for a preempted batch slot instead of being
     * answered CONTRACTS_BUSY. */
    bool batch_fills;
    /* The server has a new owner, which doesn't know the contracts held yet.
     * Until all holders have reported them, for at most 2 s, the controller
     * grants only a part of the slots (the provisional limit). */
    bool is_rebuilding;
    uint64_t id_seed; /* seed of the contract numbers; 0: now_ms is the seed */
    int64_t now_ms;
};

/* Counts since the controller was made. */
struct contracts_controller_stats {
    int64_t answers[CONTRACTS_UNAVAILABLE + 1]; /* by enum contracts_answer */
    int64_t preemptions;                        /* batch slots preempted */
    int64_t lapsed_slots;   /* batch slots whose term ended without renewal */
    int64_t reported_slots; /* taken over from reports of holders */
};

struct contracts_controller;

struct contracts_controller *
contracts_controller_new(const struct contracts_controller_desc *desc);
void contracts_controller_free(struct contracts_controller *controller);
/* Applies changed settings; contracts stay. */
void
contracts_controller_configure(struct contracts_controller *controller,
                               const struct contracts_controller_desc *desc);

/* The functions below with an `out` append struct contracts_event to it. */

/* Answers an admission request now or, within its wait_ms, later. */
void contracts_controller_admit(struct contracts_controller *controller,
                                const struct contracts_admission *admission,
                                int64_t now_ms, GArray *out);
/* Withdraws a waiting admission request, which gets no answer. */
void contracts_controller_cancel(struct contracts_controller *controller,
                                 const char *holder, uint64_t ask_id,
                                 int64_t now_ms, GArray *out);
/* Ends a contract; outcome may be NULL. */
void contracts_controller_release(struct contracts_controller *controller,
                                  uint64_t contract_id,
                                  const struct contracts_outcome *outcome,
                                  int64_t now_ms, GArray *out);
/* Reduces a contract to `slots`; 0 ends it.  For an online contract with
 * slots 1 the call is a late report and the contract stays: with
 * outcome->tokens 0 the request has waited first_token_us for a first token
 * that has not arrived; with 1 the first token arrived after that time. */
void contracts_controller_shrink(struct contracts_controller *controller,
                                 uint64_t contract_id, int slots,
                                 const struct contracts_outcome *outcome,
                                 int64_t now_ms, GArray *out);
/* Applies a holder's report, after a change of owner, that it still holds
 * this many slots of a contract. */
void contracts_controller_report(struct contracts_controller *controller,
                                 const char *holder, uint64_t contract_id,
                                 enum contracts_class class_, int slots,
                                 int64_t now_ms, GArray *out);
/* Sets the expected work of a contract that a holder reported, which has run
 * for elapsed_ms; 0: unknown. */
void contracts_controller_set_work(struct contracts_controller *controller,
                                   uint64_t contract_id, int64_t work_ms,
                                   int64_t elapsed_ms, int64_t now_ms);
/* Sets the requests a second that the server takes, as it named them itself;
 * INFINITY: any number.  Grants keep to that rate. */
void contracts_controller_set_limit(struct contracts_controller *controller,
                                    double per_s, int64_t now_ms, GArray *out);
/* Ends the provisional limit early, because all holders have reported. */
void contracts_controller_rebuilt(struct contracts_controller *controller);
/* Ends the contracts of a dead node and drops its admission requests. */
void contracts_controller_holder_lost(struct contracts_controller *controller,
                                      const char *holder, int64_t now_ms,
                                      GArray *out);
/* Applies the server's own load report, age_ms old.  Requests beyond the
 * contracts held at that time are foreign load, which lowers the window. */
void
contracts_controller_server_report(struct contracts_controller *controller,
                                   int running, int queued, int64_t age_ms,
                                   int64_t now_ms);
/* Stops granting, because the server is leaving, and answers waiting admission
 * requests with CONTRACTS_UNAVAILABLE. */
void contracts_controller_drain(struct contracts_controller *controller,
                                int64_t now_ms, GArray *out);
/* Resumes granting, because the server is no longer leaving. */
void contracts_controller_undrain(struct contracts_controller *controller);
/* Does the timed work: ends waits and terms, preempts batch slots and adjusts
 * the window. */
void contracts_controller_tick(struct contracts_controller *controller,
                               int64_t now_ms, GArray *out);
/* The functions for pools.  Returns how many slots could be granted now to
 * requests of a class. */
int contracts_controller_room(const struct contracts_controller *controller,
                              enum contracts_class class_, int64_t now_ms);
/* Grants a slot, whether there is room or not. */
void contracts_controller_grant(struct contracts_controller *controller,
                                const struct contracts_admission *admission,
                                int64_t now_ms, GArray *out);
/* Returns whether one more online request may be granted although the window
 * is full: the server runs only online requests, as many as it has slots. */
bool
contracts_controller_may_queue(const struct contracts_controller *controller);
/* Returns the requests a second that the server gets; INFINITY: any number; 0:
 * none, as it leaves. */
double
contracts_controller_rate(const struct contracts_controller *controller);
/* Returns whether the server has named a limit and may get no request now. */
bool
contracts_controller_is_closed(const struct contracts_controller *controller);
/* Returns the batch slots whose preemption would let online requests run. */
int contracts_controller_preemptible(
    const struct contracts_controller *controller);
/* Returns the batch slots that are preempted but not released yet. */
int
contracts_controller_preempting(const struct contracts_controller *controller);
/* Finds the batch slot that would be preempted after n others; false if there
 * is no such slot. */
bool contracts_controller_victim(const struct contracts_controller *controller,
                                 int n, int64_t now_ms,
                                 struct contracts_victim *out);
/* Returns whether slot `a` is preempted before slot `b`: the one due later or,
 * if the work of both is known and they are due in the same second, the one
 * with more work left. */
bool contracts_victim_is_before(const struct contracts_victim *a,
                                const struct contracts_victim *b);
/* Returns in what time, in ms, the server's slots would be done with the work
 * of its online contracts; batch gives way to them.  Contracts of unknown work
 * count as unknown_ms. */
double
contracts_controller_remaining(const struct contracts_controller *controller,
                               double unknown_ms, int64_t now_ms);
/* Returns in what time, in ms, the first online contract is expected to end;
 * INFINITY if there is none. */
double
contracts_controller_next_end(const struct contracts_controller *controller,
                              double unknown_ms, int64_t now_ms);
/* Returns the server's speed with online requests, see packages/work. */
double
contracts_controller_speed(const struct contracts_controller *controller);
/* Returns whether the server has failed requests of several holders in a row,
 * so that it should get none now. */
bool
contracts_controller_is_failing(const struct contracts_controller *controller,
                                int64_t now_ms);
/* Sets how many online requests that wait outside of this controller need a
 * slot of it; batch gives way to them. */
void contracts_controller_set_wanted(struct contracts_controller *controller,
                                     int wanted, int64_t now_ms, GArray *out);
void contracts_controller_load(const struct contracts_controller *controller,
                               struct contracts_load *load);
void contracts_controller_stats(const struct contracts_controller *controller,
                                struct contracts_controller_stats *stats);

/* ---- a node's local share of a server whose owner is unreachable ---- */

/* Returns how many online requests each of n_nodes may run on such a server
 * without a contract. */
int contracts_local_share(int slots, int n_nodes);
/* Returns how many requests each of n_nodes may send in CONTRACTS_LOCAL_MS to
 * such a server if it has named a limit. */
enum { CONTRACTS_LOCAL_MS = 4000 };
int contracts_local_limit(double limit_per_s, int n_nodes);

#ifdef __cplusplus
}
#endif

#endif
