/*
 * contracts: the admission of one backend server, kept by one node (its
 * keeper), and the choice of who that is.  Decisions only: time comes in as
 * an argument and answers come out as records, so that a table of cases can
 * drive it.
 *
 * A contract is the right to run requests on a server: one request for
 * online work, `slots` requests at once for batch work.
 */
#ifndef CARDAMOM_CONTRACTS_H
#define CARDAMOM_CONTRACTS_H

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
    CONTRACTS_BUSY,    /* not run; the load says how busy */
    CONTRACTS_REFUSED, /* overload: the class or the operator is over its share
                        */
    CONTRACTS_UNAVAILABLE, /* the server is leaving, lost or unknown */
};

/* What a keeper tells of its server with every answer. */
struct contracts_load {
    int window;      /* requests that the server should run at once, now */
    int online;      /* contracts held */
    int batch;       /* slots held */
    int queued;      /* asks that wait */
    int64_t seen_ms; /* when this was known, on the reader's clock */
};

/* An overload reduction: of this class, refuse this share for this long. */
struct contracts_reduction {
    double share[CONTRACTS_N_CLASSES];
    int64_t valid_ms;
};

/* How a contract's work went, for the window and for health. */
struct contracts_outcome {
    int64_t first_token_us; /* 0: none seen */
    int64_t inter_token_us; /* mean; 0: fewer than two tokens */
    int tokens;
    bool failed; /* by the server's fault */
};

/* The node that keeps a server's contracts: rendezvous hash over the nodes
 * that take work in the server's zone, else its region, else anywhere.
 * WORLD_NONE when no node is there. */
int contracts_owner(const struct world *world, const struct members_view *view,
                    int server);

/* ---- the keeper's table of one server ---- */

enum { CONTRACTS_HOLDER_SIZE = MEMBERS_NAME_SIZE };

struct contracts_admission {
    uint64_t ask_id;                    /* the asker's, echoed in the answer */
    char holder[CONTRACTS_HOLDER_SIZE]; /* the asking node */
    char operator_name[64];
    double weight; /* of the operator, for shares under contention */
    enum contracts_class class_;
    int64_t wait_ms; /* how long it may be queued; 0: answer at once */
    /* While it has waited less, a grant is still in time; such asks go before
     * those that are late already, and batch asks by what is left.  0: always
     * in time; batch: late, or never due. */
    int64_t prefer_ms;
    int slots;       /* batch; online is 1 */
    int64_t term_ms; /* batch */
    uint64_t renew;  /* batch: the contract that is to go on; 0: a new one.
                        Asking for fewer slots than held gives the others
                        back, as a shrink does */
};

enum contracts_event_kind {
    CONTRACTS_ANSWER,  /* to the holder's ask */
    CONTRACTS_PREEMPT, /* the holder shall free `slots` of `contract` now */
};

struct contracts_event {
    enum contracts_event_kind kind;
    char holder[CONTRACTS_HOLDER_SIZE];
    uint64_t ask_id;
    enum contracts_answer answer;
    uint64_t contract; /* unique within the keeper and its life */
    int slots;
    int64_t term_ms;
    struct contracts_load load;
    struct contracts_reduction reduction;
};

struct contracts_controller_desc {
    int slots; /* the most that the server runs at once */
    double first_token_target_ms;
    double inter_token_target_ms;
    double long_share;
    double batch_share;
    /* Batch may hold every free slot: there is no reserve, and an online ask
     * waits a moment for the slot that batch gives back instead of being told
     * that the server is busy. */
    bool batch_fills;
    bool is_rebuilding; /* after a change of keeper: grant a cautious share
                           until the holders' reports are in */
    uint64_t id_seed;   /* of contract numbers; 0: from now_ms */
    int64_t now_ms;
};

/* What a keeper did since it was made. */
struct contracts_controller_stats {
    int64_t answers[CONTRACTS_UNAVAILABLE + 1]; /* by enum contracts_answer */
    int64_t preemptions;  /* slots asked back from batch */
    int64_t lapsed_slots; /* freed at the end of a term without a word */
    int64_t reported_slots;
};

struct contracts_controller;

struct contracts_controller *
contracts_controller_new(const struct contracts_controller_desc *desc);
void contracts_controller_free(struct contracts_controller *controller);
/* New settings from a changed configuration; contracts stay. */
void
contracts_controller_configure(struct contracts_controller *controller,
                               const struct contracts_controller_desc *desc);
/* Each of these appends struct contracts_event to `out`. */
void contracts_controller_admit(struct contracts_controller *controller,
                                const struct contracts_admission *admission,
                                int64_t now_ms, GArray *out);
void contracts_controller_cancel(struct contracts_controller *controller,
                                 const char *holder, uint64_t ask_id,
                                 int64_t now_ms, GArray *out);
void contracts_controller_release(struct contracts_controller *controller,
                                  uint64_t contract,
                                  const struct contracts_outcome *outcome,
                                  int64_t now_ms, GArray *out);
/* Batch: so many slots are kept.  Online, with slots 1: the first token is
 * late, outcome->first_token_us tells how long it was waited for; with
 * outcome->tokens 1, that it came after so long. */
void contracts_controller_shrink(struct contracts_controller *controller,
                                 uint64_t contract, int slots,
                                 const struct contracts_outcome *outcome,
                                 int64_t now_ms, GArray *out);
/* A holder's report to a new keeper: it holds this many slots still. */
void contracts_controller_report(struct contracts_controller *controller,
                                 const char *holder, uint64_t contract,
                                 enum contracts_class class_, int slots,
                                 int64_t now_ms, GArray *out);
/* All holders' reports are in: ends a rebuilding keeper's caution early. */
void contracts_controller_rebuilt(struct contracts_controller *controller);
void contracts_controller_holder_lost(struct contracts_controller *controller,
                                      const char *holder, int64_t now_ms,
                                      GArray *out);
/* The server's own late load report: a ceiling and a sign of foreign load. */
void
contracts_controller_server_report(struct contracts_controller *controller,
                                   int running, int queued, int64_t age_ms,
                                   int64_t now_ms);
/* The server is leaving: no new grants, queued asks answered GONE. */
void contracts_controller_drain(struct contracts_controller *controller,
                                int64_t now_ms, GArray *out);
/* The server stays after all. */
void contracts_controller_undrain(struct contracts_controller *controller);
/* Due work: waits and terms that ended, preemptions, window and reserve. */
void contracts_controller_tick(struct contracts_controller *controller,
                               int64_t now_ms, GArray *out);
void contracts_controller_load(const struct contracts_controller *controller,
                               struct contracts_load *load);
void contracts_controller_stats(const struct contracts_controller *controller,
                                struct contracts_controller_stats *stats);

/* ---- a node's cautious share of a server whose keeper can't be asked ---- */

/* How many online requests one of n_nodes may run there on its own. */
int contracts_local_share(int slots, int n_nodes);

#ifdef __cplusplus
}
#endif

#endif
