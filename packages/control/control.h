/*
 * control: the task that owns a node's control socket.  It runs membership,
 * the admission controllers of the servers that this node owns, the contracts
 * that this node holds, operators' rate limits, and the synchronisation of
 * the configuration.
 *
 *     struct control_admission *admission =
 *         control_admission_new("server-name", CONTRACTS_ONLINE_SHORT);
 *     control_admission_send(control, admission, &my_task, on_answer);
 *     ... on_answer runs on my_task and reads admission->answer ...
 *     control_release(control, admission->contract, &outcome);
 *     control_admission_free(admission);
 *
 * Each server is owned by one node, which decides on every admission to it.
 * A contract is the right to run requests on a server: one request for online
 * work, a number of slots for batch work.
 */
#ifndef CARDAMOM_CONTROL_H
#define CARDAMOM_CONTROL_H

#include "base/base.h"
#include "contracts/contracts.h"
#include "members/members.h"
#include "notices/notices.h"
#include "platform/platform.h"
#include "quarantine/quarantine.h"
#include "world/site.h"

#ifdef __cplusplus
extern "C" {
#endif

struct control;

enum {
    CONTROL_MAX_LOADS = 64, /* loads of pools that come with an answer */
    CONTROL_MAX_EARLIER_MS = 600000, /* longest earlier wait that counts */
};

/* The load of a pool of servers, see struct world_pool. */
struct control_pool_load {
    uint64_t key;
    struct contracts_load load;
};

/* An admission request to the owner of a server, and its answer. */
struct control_admission {
    struct base_call call;
    void (*answered)(struct control_admission *admission, void *task_state);
    void *context;
    /* request */
    /* Name of the server, since an index could mean another one in the
     * configuration of another task.  A grant names the server granted. */
    char server[BASE_NAME_SIZE];
    /* Any server of the same pool may be granted, but not those to avoid,
     * which are hashes of names (base_hash_text with seed 0). */
    bool any_server;
    uint64_t avoid[CONTRACTS_MAX_AVOIDED];
    int n_avoid;
    char operator_name[BASE_NAME_SIZE];
    enum contracts_class class_;
    int64_t wait_ms; /* how long the owner may queue it; 0: answer at once */
    /* Online: a grant after at most this wait is in time; 0: it always is.
     * Batch: time left until the work is due; 0: late or never due.  It orders
     * the queue, see struct contracts_admission. */
    int64_t prefer_ms;
    /* Online: how long the caller had waited before its request reached this
     * node; requests are served in the order in which they were first sent. */
    int64_t earlier_ms; /* at most CONTROL_MAX_EARLIER_MS count */
    int64_t work_ms;    /* expected slot time, see packages/work; 0: unknown */
    int slots;          /* batch only; online is always 1 */
    int64_t term_ms;    /* batch only */
    struct base_span_context trace; /* parent of the span; zero: no trace */
    /* Batch: called when the owner preempts `slots` slots of the contract.
     * Runs on the requesting task, any number of times while the contract is
     * held. */
    void (*preempt)(void *task_state, uint64_t contract, int slots);
    /* response */
    enum contracts_answer answer;
    uint64_t contract; /* 0: none */
    int granted_slots;
    int64_t granted_until_ms; /* batch: end of the term on base_clock_ms */
    /* The owner did not answer or is not known, so this node decided by its
     * local share, which is the number of online requests that each node may
     * run on a server without asking the owner. */
    bool is_local_share;
    struct contracts_load load;
    struct contracts_reduction reduction;
    /* Busy: in how many ms a request may be granted; 0: not known. */
    int64_t retry_ms;
    /* What the owner knows of the deployment's other pools; owned by the
     * request, NULL: nothing. */
    struct control_pool_load *pools;
    int n_pools;
};

struct control_admission *control_admission_new(const char *server,
                                                enum contracts_class class_);
void control_admission_free(struct control_admission *admission);
void control_admission_send(
    struct control *control, struct control_admission *admission,
    struct base_task *from,
    void (*answered)(struct control_admission *admission, void *task_state));
/* To extend a batch contract past granted_until_ms, send a new admission
 * request with `contract` set to that contract. */

/* Releases an online contract and reports its outcome; any thread. */
void control_release(struct control *control, uint64_t contract,
                     const struct contracts_outcome *outcome);
/* Batch: reduces a contract to `slots` (0 ends it) and reports the items
 * finished since the last call.  Online, with slots 1: the contract stays, and
 * outcome->first_token_us is how long the request has waited for its first
 * token or, if outcome->tokens is 1, how long the first token took.  Any
 * thread. */
void control_shrink(struct control *control, uint64_t contract, int slots,
                    const struct contracts_outcome *outcome);

/* Passes on a load report that a server itself made age_ms ago.  The report is
 * ignored unless this node owns the server; any thread. */
void control_server_report(struct control *control, const char *server,
                           int running, int queued, int64_t age_ms);

/* Takes `count` requests from this node's share of an operator's rate limit;
 * false if that exceeds the limit.  Returns at once; any thread. */
bool control_rate_allow(struct control *control, const char *operator_name,
                        int count);
/* Returns when a refused operator may expect to be allowed a request at this
 * node, in ms from now; any thread. */
int64_t control_rate_retry_ms(struct control *control,
                              const char *operator_name);

/* What all nodes know of the parts of prompts that crash servers; any thread.
 * See quarantine.h. */
int64_t control_prompt_admit(struct control *control,
                             const struct quarantine_parts *parts);
int64_t control_prompt_blocked_ms(struct control *control,
                                  const struct quarantine_parts *parts);
int control_prompt_suspicion(struct control *control,
                             const struct quarantine_parts *parts);
void control_prompt_crashed(struct control *control,
                            const struct quarantine_parts *parts,
                            const char *server);
void control_prompt_answered(struct control *control,
                             const struct quarantine_parts *parts);

/* What a response says of its server. */
struct control_response {
    const char *limit; /* value of the header with the requests a second that
                          the server takes; NULL: it has none */
    bool is_leaving;
    int64_t sent_ms; /* when the request was sent */
};

/* Notes what a response says of its server; any thread. */
void control_note_response(struct control *control, const char *server,
                           const struct control_response *response);

/* Called on the control task whenever the configuration or the membership
 * changed; both are borrowed for the call.  world is NULL until there is a
 * configuration. */
struct control_listener {
    void (*changed)(void *context, struct world *world,
                    struct members_view *view);
    /* Whether the node has no work left; a host that retires waits for that.
     * NULL: it never has any. */
    bool (*is_emptied)(void *context);
    void *context;
};

/* By how much the requests of an operator that reach servers in any window may
 * exceed the rate limit: the rate over the window plus the burst, multiplied
 * by 1 + overage, plus slack requests.  All zero: by nothing. */
struct control_rate_tolerance {
    double window_s;
    double overage;
    double slack;
};

struct control_desc {
    const char *node;
    const char *zone;
    const char *environment;      /* "production" unless set */
    const char *control_address;  /* "IP:port" to bind */
    const char *announce_address; /* other nodes connect to it; NULL: the
                                     bound address */
    const char *source; /* IP to connect from; NULL: the system's choice */
    const char *bulk_address; /* NULL: no data folder */
    const char *http_address;
    const char *jobs_address; /* NULL: the node runs no jobs */
    int cpu_milli; /* processor share, thousandths of a core; 0: not known */
    int64_t life;  /* start of the process, wall ms; 0: now */
    const char *const *seeds; /* other nodes' control addresses */
    int n_seeds;
    const char *public_key_file; /* NULL: no CURVE (tests only) */
    const char *secret_key_file;
    const char *peer_keys_file; /* public keys of nodes that may connect */
    struct platform *platform;
    struct base_counters *counters;
    struct base_tracer *tracer;
    struct control_listener listener;
    /* For a site, an installation that is configured from outside and whose
     * servers register themselves: how to read its configuration.  NULL: the
     * configuration is a document of our own format. */
    const struct world_source *origin;
    const struct world_site_zone *site_zones; /* site only; copied */
    int n_site_zones;
    /* Nodes per zone that watch the key-value service.  0: two, and on a site
     * so many that about twelve do in all. */
    int n_watchers;
    /* Site only: all nodes start for the first time, so that no peer knows the
     * configuration. */
    bool is_first_start;
    struct control_rate_tolerance rate_tolerance;
    /* Requests' expected work is sent to owners, and used by them. */
    bool cost_routing;
    bool may_retire; /* site only: the operator may request that the node be
                        emptied */
    uint64_t seed;   /* for random choices; 0: a random seed */
};

struct control *control_start(const struct control_desc *desc,
                              struct base_error *err);
/* Announces that this node accepts no new work.  Other nodes take over its
 * servers; the contracts that it holds stay until released.  Any thread. */
void control_leave(struct control *control);
void control_stop(struct control *control);

/* True once the newest configuration that this node knew of was in force; any
 * thread. */
bool control_is_ready(struct control *control);
/* True while the configuration in force is the newest one that this node knows
 * of; any thread. */
bool control_has_newest_config(struct control *control);

/* The state of nodes and of the servers that this node owns, as JSON. */
struct control_status {
    struct base_call call;
    void (*answered)(struct control_status *status, void *task_state);
    void *context;
    char *json;
};
/* Requests the status; `answered` runs on `from`, and `status` is freed when
 * it returns. */
void control_status_send(struct control *control, struct base_task *from,
                         void *context,
                         void (*answered)(struct control_status *status,
                                          void *task_state));

#ifdef __cplusplus
}
#endif

#endif
