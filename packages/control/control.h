/*
 * control: the task that owns a node's control socket.  It runs membership,
 * the contract tables that this node keeps, the contracts that this node
 * holds, operators' rate leases, and the spreading of the configuration.
 *
 *     struct control_admission *ask = control_admission_new(server_index,
 * class); control_admission_send(control, ask, &my_task, on_answer);
 *     ... on_answer on my task: ask->answer, ask->contract ...
 *     control_release(control, ask->contract, &outcome);
 *     control_admission_free(ask);
 */
#ifndef CARDAMOM_CONTROL_H
#define CARDAMOM_CONTROL_H

#include "base/base.h"
#include "contracts/contracts.h"
#include "members/members.h"
#include "platform/platform.h"
#include "world/site.h"

#ifdef __cplusplus
extern "C" {
#endif

struct control;

struct control_admission {
    struct base_call call;
    void (*answered)(struct control_admission *ask, void *task_state);
    void *context;
    /* the question */
    char server[64]; /* name, since worlds of two tasks may differ */
    char operator_name[64];
    enum contracts_class class_;
    int64_t wait_ms; /* how long the keeper may queue it; 0: answer at once */
    int64_t prefer_ms; /* a grant is in time until then; 0: always */
    int slots;         /* batch only; online is always 1 */
    int64_t term_ms;   /* batch only */
    struct base_span_context trace; /* of the request; zero: none */
    /* Batch: the keeper wants slots back.  Runs on the asking task, any
     * number of times while the contract is held. */
    void (*preempt)(void *task_state, uint64_t contract, int slots);
    /* the answer */
    enum contracts_answer answer;
    uint64_t contract; /* 0: none */
    int granted_slots;
    int64_t granted_ms;  /* batch: valid until then, on base_clock_ms */
    bool is_local_share; /* no keeper answered: a cautious share of our own */
    struct contracts_load load;
    struct contracts_reduction reduction;
};

struct control_admission *control_admission_new(const char *server,
                                                enum contracts_class class_);
void control_admission_free(struct control_admission *ask);
void control_admission_send(struct control *control,
                            struct control_admission *ask,
                            struct base_task *from,
                            void (*answered)(struct control_admission *ask,
                                             void *task_state));

/* Gives an online contract back, with how it went; any thread. */
void control_release(struct control *control, uint64_t contract,
                     const struct contracts_outcome *outcome);
/* Batch: says how many slots are still wanted (0 ends the contract) and
 * reports finished items since the last report; any thread. */
void control_shrink(struct control *control, uint64_t contract, int slots,
                    const struct contracts_outcome *outcome);
/* Batch: asks to go on past granted_ms; the answer comes as for an ask with
 * ask->contract set to the contract that is to go on. */

/* A server's own late load report, heard by a task of this node.  It counts
 * if this node keeps the server; any thread. */
void control_server_report(struct control *control, const char *server,
                           int running, int queued, int64_t age_ms);

/* An operator's rate: takes `count` requests from this node's lease.  The
 * answer is immediate and from any thread: false says over the limit. */
bool control_rate_allow(struct control *control, const char *operator_name,
                        int count);

/* Called on the control task whenever the configuration or the membership
 * changed; both are borrowed for the call.  world is NULL until there is a
 * configuration. */
struct control_listener {
    void (*changed)(void *context, struct world *world,
                    struct members_view *view);
    void *context;
};

struct control_desc {
    const char *node;
    const char *zone;
    const char *environment;      /* "production" unless set */
    const char *control_address;  /* "IP:port" to bind */
    const char *announce_address; /* what others connect to; NULL: as bound */
    const char *source; /* IP to connect from; NULL: the system's choice */
    const char *bulk_address; /* NULL: no data folder */
    const char *http_address;
    const char *jobs_address; /* NULL: runs no jobs */
    const char *const *seeds; /* other nodes' control addresses */
    int n_seeds;
    const char *public_key_file; /* NULL: no CURVE (tests only) */
    const char *secret_key_file;
    const char *peer_keys_file; /* public keys of nodes that may speak */
    struct platform *platform;
    struct base_counters *counters;
    struct base_tracer *tracer;
    struct control_listener listener;
    /* A configuration of another writer, and servers that register
     * themselves; NULL: documents of our own. */
    const struct world_source *origin;
    const struct world_site_zone
        *site_zones; /* with a source: its zones; copied */
    int n_site_zones;
    int n_watchers;  /* of the key-value service in a zone; 0: 2 */
    bool may_retire; /* with a source: the operator may have it emptied */
    uint64_t seed;   /* of random choices; 0: from the system */
};

struct control *control_start(const struct control_desc *desc,
                              struct base_error *err);
/* Announces the leave; the node keeps its held contracts until released. */
void control_leave(struct control *control);
void control_stop(struct control *control);

/* True once a configuration is in force that is not older than any known. */
bool control_is_ready(struct control *control);

/* The keeper's side of servers, nodes and links as JSON text, for status. */
struct control_status {
    struct base_call call;
    void (*answered)(struct control_status *status, void *task_state);
    void *context;
    char *json;
};
void control_status_send(struct control *control, struct base_task *from,
                         void *context,
                         void (*answered)(struct control_status *status,
                                          void *task_state));

#ifdef __cplusplus
}
#endif

#endif
