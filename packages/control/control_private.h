/*
 * Declarations shared by the sources of control.  Everything here belongs to
 * the control task, except `rates`, which any thread may use.
 *
 *   control.c        the task: start, loop, stop
 *   calls.c          calls of other tasks
 *   codec.c          encoding and decoding of messages between nodes
 *   dispatch.c       sending messages and dispatching received ones
 *   gossip.c         sending and receiving membership messages
 *   rounds.c         broadcast rounds
 *   owned_servers.c  which servers this node owns
 *   owner.c          admissions and contracts of owned servers
 *   audit.c          checking old contracts with their holders
 *   handover.c       handing contracts over to a server's next owner
 *   client.c         this node's admission requests and held contracts
 *   reachability.c   owners that do not answer
 *   rebuild.c        collecting held contracts when a server changes owner
 *   loads.c          loads of pools, reported between their owners
 *   release.c        releasing contracts
 *   preempt.c        preemption of slots by owners
 *   client_report.c  reporting held contracts to owners
 *   config_sync.c    synchronising the configuration
 *   watchers.c       which nodes watch the key-value service
 *   leaving.c        hosts that the platform is about to take away
 *   registry.c       servers that register themselves
 *   prompt_parts.c   parts of prompts that crash servers
 *   server_notices.c what servers say of themselves in responses
 *   retire.c         emptying this node on the operator's request
 *   rates.c          operators' rate limits: deciding and reporting
 *   rate_relays.c    reports to limiters that a node can't reach itself
 *   limiters.c       the buckets of operators that this node limits
 *   status.c         the state as JSON
 */
#ifndef CARDAMOM_CONTROL_PRIVATE_H
#define CARDAMOM_CONTROL_PRIVATE_H

#include "allowance/allowance.h"
#include "contracts/pool.h"
#include "control/control.h"
#include "wire/control.pb-c.h"
#include "wire/wire.h"
#include "work/work.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Kinds of messages between control tasks, named like the messages of
 * wire/control.proto. */
enum control_kind {
    CONTROL_GOSSIP = WIRE_FIRST_KIND,
    CONTROL_ASK,
    CONTROL_ANSWER,
    CONTROL_RELEASE,
    CONTROL_CANCEL,
    CONTROL_YIELD,
    CONTROL_REPORT,
    CONTROL_AUDIT,
    CONTROL_NEWS,
    CONTROL_RECORD_PULL,
    CONTROL_RECORD,
    CONTROL_RATE_ASK,
    CONTROL_RATE_ANSWER,
    CONTROL_HANDOVER,
    CONTROL_RECALL,
    CONTROL_RECALLED,
    CONTROL_LOADS,
    CONTROL_PROMPT_PARTS,
    CONTROL_SERVER_NOTICES,
    CONTROL_RATE_NOTICE,
    CONTROL_RATE_RELAY, /* a RateAsk to be passed on to the limiter */
    CONTROL_N_KINDS,
};

enum { CONTROL_SERVER_SIZE = BASE_NAME_SIZE };

/* ---- codec.c ---- */

/* An encoded message, for wire_send and the like. */
struct control_bytes {
    uint8_t *data;
    size_t size;
};

struct control_bytes control_pack(const ProtobufCMessage *message);
uint64_t control_key(const char *name, uint64_t number);
bool control_is_valid_text(const char *text, size_t max_size);
struct control_bytes control_pack_gossip(const struct members_message *message,
                                         uint64_t leaving_digest);
struct members_message *control_unpack_gossip(const char *sender,
                                              const void *body, size_t size,
                                              uint64_t *leaving_digest);
GBytes *control_compress(const void *data, size_t size);
GByteArray *control_decompress(const void *data, size_t size, size_t max_size);
void control_fill_answer(Control__Answer *out,
                         const struct contracts_event *event,
                         float reduction[CONTRACTS_N_CLASSES]);
void control_read_outcome(const Control__Outcome *in,
                          struct contracts_outcome *out);

/* ---- owner.c ---- */

/* A pool of servers that this node owns. */
struct control_owned_pool {
    uint64_t key; /* of the world's pool */
    struct contracts_pool *pool;
};

/* A server that this node owns. */
struct control_owned_server {
    char server[CONTROL_SERVER_SIZE];
    struct contracts_controller *controller;
    struct control_owned_pool *pool; /* NULL: not pooled */
    bool is_leaving;                 /* as last passed to the controller */
    bool is_rebuild_started;         /* also true if no rebuild is needed */
    const struct rebuild *rebuild; /* in progress, see rebuild.c; NULL: none */
};

/* A contract that this node granted or took over. */
struct control_grant {
    uint64_t key;
    uint64_t contract;
    char server[CONTROL_SERVER_SIZE];
    char holder[MEMBERS_NAME_SIZE];
    enum contracts_class class_;
    int slots;
    int64_t last_checked_ms; /* time of the grant or of the last audit */
    int64_t work_ms;         /* expected slot time; 0: unknown */
    int64_t granted_ms;
};

/* State of the servers that this node owns. */
struct control_owner {
    GHashTable *servers; /* name to struct control_owned_server */
    GHashTable *pools;   /* key to struct control_owned_pool */
    /* Server names of the last configuration; NULL until this node is ready
     * and has one. */
    GHashTable *known_servers;
    /* hash of holder and admission id to struct received_admission */
    GHashTable *admissions;
    /* hash of server and contract number to struct control_grant */
    GHashTable *granted;
    /* name of a server that is not owned yet to struct handover */
    GHashTable *handovers;
    GArray *events;      /* scratch array of struct contracts_event */
    GPtrArray *rebuilds; /* struct rebuild of each rebuild in progress */
    int64_t next_sweep_ms;
    struct base_counter *admissions_counter;
    struct base_counter *not_owner_counter;
    struct base_counter *rebuilt_counter;
};

/* ---- client.c ---- */

/* A contract that this node holds. */
struct control_held_contract {
    char server[CONTROL_SERVER_SIZE];
    char owner[MEMBERS_NAME_SIZE]; /* last owner that knew of the contract */
    uint64_t owner_instance;       /* process instance of that owner */
    uint64_t contract;             /* the owner's contract number */
    enum contracts_class class_;
    int slots;
    int64_t work_ms; /* expected slot time; 0: unknown */
    int64_t granted_ms;
    bool is_local;          /* granted from this node's local share */
    struct base_task *from; /* the task that requested it */
    void (*preempt)(void *task_state, uint64_t contract, int slots);
    uint64_t last_preempt; /* wire request number of the last preemption */
};

/* State of this node's admission requests and held contracts. */
struct control_client {
    struct base_table held;  /* handle to struct control_held_contract */
    GHashTable *by_contract; /* hash of server and contract number to handle */
    GHashTable *unreachable; /* owner to struct unreachable_owner */
    GQueue *recent;          /* queue of struct recent_release */
    GHashTable *local_shares; /* server name to number of local contracts */
    GHashTable *local_uses;   /* limited server to struct local_use */
    GHashTable *admissions;   /* id to struct pending_admission */
    uint64_t next_admission;
    struct base_counter *local_counter;
    struct base_counter *moved_counter;
};

/* ---- config_sync.c ---- */

struct control_config_sync {
    GBytes *packed;          /* the record in force, compressed */
    int64_t revision;        /* number of the record in force; 0: none */
    int64_t highest_refused; /* highest record number refused so far */
    uint64_t watch;          /* 0: not a watcher */
    bool is_reading;         /* a read of the key-value service is pending */
    bool is_pulling;
    char pulled_from[MEMBERS_ADDRESS_SIZE]; /* the peer of the last pull */
    int64_t pulled_at_ms;
    bool has_read; /* the key-value service has answered a read */
    int64_t started_at_ms;
    int64_t next_read_ms;
    int64_t next_pull_ms;
    struct base_counter *applied_counter;
    struct base_counter *refused_counter;
    struct base_counter *revision_gauge;
};

/* ---- leaving.c ---- */

enum {
    /* Number of rounds in which each node sends a change; each round goes to
     * three random peers.  One round misses e^-3 = 5% of the nodes, four
     * rounds miss e^-12. */
    CONTROL_BROADCAST_ROUNDS = 4,
};

struct control_leaving {
    GHashTable *entries; /* address to struct control_leaving_entry */
    uint64_t digest;     /* hash of all entries */
    bool is_requesting;  /* the platform's list of hosts is requested */
    int64_t next_poll_ms;
    int64_t next_full_update_ms; /* earliest time to send the next message with
                                    all entries */
    int broadcast_rounds;        /* number of broadcast rounds still to send */
    int64_t next_round_ms;
    struct base_counter *gauge;        /* number of leaving hosts */
    struct base_counter *sent_counter; /* Control__News messages */
};

/* ---- registry.c ---- */

struct control_registry {
    GHashTable *entries; /* key to struct control_registered */
    uint64_t watch;      /* 0: not a watcher */
    uint64_t digest;     /* hash of all entries' contents */
    bool is_listed;      /* the key-value service has listed all entries */
    bool is_agreed;      /* a peer has had the same entries */
    int64_t listed_ms;   /* time of the last listing */
    /* Entries up to this revision that are unknown here have been removed. */
    int64_t listed_revision;
    int64_t grace_until_ms;  /* removals are delayed until this time */
    int64_t removals_due_ms; /* time of the next delayed removal; 0: none */
};

/* ---- prompt_parts.c ---- */

struct control_prompt_parts {
    GMutex lock; /* protects `quarantine`: any thread asks it */
    struct quarantine quarantine;
    int64_t next_round_ms;
    int64_t next_expiry_ms;
    struct base_counter *crashes;
    struct base_counter *refusals;
};

/* ---- server_notices.c ---- */

struct control_server_notices {
    GMutex lock; /* protects `notices`: any thread uses it */
    struct notices notices;
    int64_t next_round_ms;
    struct base_counter *changes;
};

/* ---- retire.c ---- */

struct control_retire {
    uint64_t watch;         /* 0: none */
    bool is_requested;      /* the operator wants this node emptied */
    bool is_reported;       /* the report that it is empty is stored */
    bool is_reporting;      /* the report is being written */
    int64_t next_report_ms; /* earliest time of the next report */
};

/* ---- loads.c ---- */

struct control_loads {
    GHashTable *known;   /* pool key to struct known_load */
    int64_t next_ms;     /* next report to owners in the region */
    int64_t next_far_ms; /* next report to all owners */
};

/* ---- control.c ---- */

struct control {
    struct base_task task;
    struct wire_endpoint endpoint;
    bool has_endpoint;
    /* settings, copied */
    char *node;
    char *zone;
    char *environment;
    char *address;
    char **seeds;
    char *key_files[3]; /* public key, secret key, peer keys */
    struct platform *platform;
    struct base_counters *counters;
    struct base_tracer *tracer;
    struct control_listener listener;
    const struct world_source *source; /* site only; NULL: own documents */
    struct world_site_zone *site_zones;
    int n_site_zones;
    int n_watchers; /* watchers per availability zone; 0: see watchers.c */
    struct allowance_tolerance rate_tolerance;
    bool may_retire;
    bool is_first_start;
    bool cost_routing;
    /* state */
    struct members *members;
    struct members_view *view;
    struct world *world;     /* NULL: no configuration yet */
    struct world_site *site; /* `world` is built from it; NULL: no site */
    int *owners;             /* node by pool index, or CONTROL_OWNER_UNKNOWN */
    bool is_changed;         /* there are changes to apply */
    bool is_watcher;
    int64_t now_ms;
    int64_t last_tick_ms;
    int64_t next_apply_ms; /* earliest time to apply the next changes */
    int n_platform_calls;  /* calls to the platform without an answer yet */
    int is_ready;          /* atomic */
    int is_outdated;       /* atomic: a member has a newer configuration */
    GArray *actions;       /* scratch array of struct members_action */
    struct control_owner owner;
    struct control_client client;
    struct control_config_sync config_sync;
    struct control_leaving leaving;
    struct control_loads loads;
    struct control_registry registry;
    struct control_prompt_parts prompt_parts;
    struct control_server_notices server_notices;
    struct control_retire retire;
    struct control_rates *rates;
    GHashTable *rate_relays; /* see rate_relays.c */
    GHashTable *limiters;    /* operator to struct allowance_limiter */
    guint n_rate_notices;    /* sent so far */
};

enum { CONTROL_OWNER_UNKNOWN = -2 /* not looked up yet */ };

/* control.c */
int control_owner_of(struct control *control, int server);
const char *control_node_address(struct control *control, int node);
bool control_is_self(struct control *control, int node);
void control_world_changed(struct control *control, struct world *world);

/* reachability.c */
void control_note_reachability(struct control *control, const char *owner,
                               bool is_reachable);
bool control_is_unreachable(struct control *control, const char *owner);

/* owned_servers.c */
void control_owner_update(struct control *control);

/* rebuild.c */
void control_rebuild_init(struct control *control);
void control_rebuild_finish(struct control *control);
void control_rebuild_begin(struct control *control);
void control_rebuild_tick(struct control *control);
bool control_rebuild_receive(struct control *control,
                             const struct wire_message *message);

/* dispatch.c */
void control_receive(void *context, const struct wire_message *message);
const char *control_kind_name(uint32_t kind);
bool control_send(struct control *control, const char *address,
                  enum control_kind kind, const ProtobufCMessage *message,
                  int64_t delay_ms);
void control_reply(struct control *control, const struct wire_return *to,
                   enum control_kind kind, const ProtobufCMessage *message);

/* gossip.c */
void control_gossip_tick(struct control *control);
bool control_gossip_receive(struct control *control,
                            const struct wire_message *message);
void control_gossip_leave(struct control *control, bool has_left);

/* rounds.c */
void control_send_round(struct control *control, enum control_kind kind,
                        const struct control_bytes *bytes);

/* owner.c */
void control_owner_init(struct control *control);
void control_owner_finish(struct control *control);
void control_owner_deliver(struct control *control,
                           const struct control_owned_server *owned);
void control_owner_remove_server(struct control *control, const char *name);
void control_owner_join_pool(struct control *control,
                             struct control_owned_server *owned, uint64_t key);
void control_owner_change_pool(struct control *control,
                               struct control_owned_server *owned,
                               uint64_t key);
void control_owner_audit(struct control *control, int64_t min_age_ms,
                         bool wants_report);
void control_owner_reset(struct control *control);
void control_owner_tick(struct control *control);
void control_owner_holder_lost(struct control *control, const char *holder);
void control_owner_admit(struct control *control, const char *holder,
                         const Control__Ask *message,
                         const struct wire_return *back);
void control_owner_cancel(struct control *control, const char *holder,
                          const Control__Cancel *cancel);
void control_owner_release(struct control *control, const char *holder,
                           const Control__Release *release);
void control_owner_report(struct control *control, const char *holder,
                          const Control__Report *report);
void control_owner_add_contracts(struct control *control,
                                 struct control_owned_server *owned,
                                 const char *holder, size_t n_held,
                                 Control__Held *const *held);
void control_owner_apply_notice(struct control *control, const char *server);
void control_owner_server_report(struct control *control, const char *server,
                                 int running, int queued, int64_t age_ms);

/* loads.c */
void control_loads_init(struct control *control);
void control_loads_finish(struct control *control);
void control_loads_tick(struct control *control);
bool control_loads_receive(struct control *control,
                           const struct wire_message *message);
void control_loads_add_to(struct control *control, int deployment,
                          Control__Answer *answer, Control__PoolLoad *loads,
                          Control__PoolLoad **pointers);
void control_read_pool_load(const Control__PoolLoad *in, int64_t now_ms,
                            struct contracts_load *out);

/* handover.c */
void control_handover_init(struct control *control);
void control_handover_finish(struct control *control);
void control_handover_send(struct control *control, const char *server);
bool control_handover_receive(struct control *control,
                              const struct wire_message *message);
void control_handover_apply(struct control *control,
                            struct control_owned_server *owned);
void control_handover_tick(struct control *control);

/* client.c */
uint64_t control_instance_of(struct control *control, const char *node);
const char *control_owner_name(struct control *control,
                               const char *server_name);
struct control_held_contract *
control_find_held_contract(struct control *control, uint64_t contract);
uint64_t control_find_by_contract(struct control *control, const char *server,
                                  uint64_t contract);
void control_client_init(struct control *control);
void control_client_finish(struct control *control);
void control_client_admit(struct control *control,
                          struct control_admission *admission);
void control_client_handle_answer(struct control *control, uint64_t ask_id,
                                  const Control__Answer *answer);
void control_client_release(struct control *control, uint64_t contract,
                            int slots,
                            const struct contracts_outcome *outcome);

/* release.c */
void control_send_release(struct control *control, const char *server,
                          uint64_t contract, int slots_left, bool is_batch,
                          const struct contracts_outcome *outcome);
void control_release_resend(void *context, const char *address);
void control_drop_recent_releases(struct control *control, bool is_all);

/* preempt.c */
void control_client_preempt(struct control *control, const char *server,
                            uint64_t contract, int slots, uint64_t request);
void control_preempt_send(struct control *control, const char *address,
                          const Control__Yield *preempt);

/* client_report.c */
void control_client_update(struct control *control);
void control_client_report_all(struct control *control);
void control_client_audit(struct control *control,
                          const Control__Audit *audit);
void control_report_add(struct control *control, GPtrArray *report,
                        const struct control_held_contract *held);
void control_fill_work(Control__Held *out, int64_t work_ms,
                       int64_t elapsed_ms);

/* config_sync.c */
bool control_reads_store(struct control *control);
void control_config_init(struct control *control);
void control_config_finish(struct control *control);
void control_config_tick(struct control *control);
void control_config_watch(struct control *control, bool is_watcher);
void control_config_update(struct control *control,
                           const Control__News *update);
void control_config_serve(struct control *control,
                          const Control__RecordPull *pull,
                          const struct wire_return *back);

/* watchers.c */
int control_watchers_per_zone(const struct members_view *view);
bool control_should_watch(const struct members_view *view, int n_watchers);

/* leaving.c */
void control_leaving_init(struct control *control);
void control_leaving_finish(struct control *control);
void control_leaving_tick(struct control *control);
void control_leaving_apply(struct control *control,
                           const Control__News *update);
void control_leaving_compare_digest(struct control *control,
                                    const char *address, uint64_t digest);
uint64_t control_leaving_digest(struct control *control);
bool control_is_leaving(struct control *control, int server);
void control_leaving_add_to(struct control *control, Control__News *update,
                            bool is_all);
void control_broadcast_changes(struct control *control);

/* registry.c */
void control_registry_init(struct control *control);
void control_registry_finish(struct control *control);
void control_registry_watch(struct control *control, bool is_watcher);
void control_registry_tick(struct control *control);
bool control_registry_apply(struct control *control,
                            const Control__News *update);
void control_registry_add_to(struct control *control, Control__News *update,
                             bool is_all);
void control_site_changed(struct control *control, struct world_site *site);

/* prompt_parts.c */
void control_prompt_parts_set_nodes(struct control *control);
void control_prompt_parts_init(struct control *control);
void control_prompt_parts_finish(struct control *control);
void control_prompt_parts_tick(struct control *control);
uint64_t control_prompt_parts_digest(struct control *control);
void control_prompt_parts_send_all(struct control *control,
                                   const char *address);
bool control_prompt_parts_receive(struct control *control,
                                  const struct wire_message *message);

/* server_notices.c */
void control_notices_init(struct control *control);
void control_notices_finish(struct control *control);
void control_notices_tick(struct control *control);
void control_notices_set_servers(struct control *control);
double control_server_limit(struct control *control, const char *server);
bool control_has_said_leaving(struct control *control, const char *server);
uint64_t control_notices_digest(struct control *control);
void control_notices_send_all(struct control *control, const char *address);
bool control_notices_receive(struct control *control,
                             const struct wire_message *message);
bool control_notice_fill(struct control *control, const char *server,
                         Control__ServerNotice *out);
void control_notice_merge(struct control *control,
                          const Control__ServerNotice *notice,
                          const char *sender);

/* retire.c */
void control_retire_watch(struct control *control, bool is_on);
void control_retire_tick(struct control *control);

/* rates.c */
struct control_rates *control_rates_new(struct control *control);
void control_rates_free(struct control_rates *rates);
void control_rates_update(struct control *control);
int control_rates_tick(struct control *control);
void control_rates_leave(struct control *control);
double control_rates_split_share(const struct control_rates *rates);
bool control_rates_allow(struct control_rates *rates,
                         const char *operator_name, int count);
int64_t control_rates_retry_ms(struct control_rates *rates,
                               const char *operator_name);
void control_rates_notice(struct control_rates *rates,
                          const char *operator_name,
                          const struct allowance_state *state, int64_t now_ms);
bool control_rates_receive_report(struct control *control,
                                  const struct wire_message *message);
bool control_rates_receive_relay(struct control *control,
                                 const struct wire_message *message);
bool control_rates_receive_notice(struct control *control,
                                  const struct wire_message *message);
bool control_rates_has_lost(const struct control_rates *rates,
                            const char *node);

/* An operator's limit at this node. */
struct control_rate_info {
    const char *operator_name;
    const char *limiter; /* to which this node reports; "": to none */
    bool is_relayed;     /* through another node */
    bool is_substituted; /* the limiter itself does not answer */
    bool is_alone;       /* no limiter answers */
    double per_s;
    double fraction; /* of requests that the node admits */
};
GArray *control_rates_describe(struct control *control);

/* rate_relays.c */
GHashTable *control_rate_relays_new(void);
int control_rate_relay_choose(struct control *control, int attempt);
void control_rate_relay_forward(struct control *control, const char *sender,
                                Control__RateAsk *report, int limiter,
                                const struct wire_return *from);

/* limiters.c */
GHashTable *control_limiters_new(void);
void control_limiters_update(struct control *control);
void control_limiter_report(struct control *control, const char *operator_name,
                            const char *node,
                            const struct allowance_report *report,
                            struct allowance_answer *out);
int64_t control_limiters_tick(struct control *control);
void control_rate_state_fill(const struct allowance_state *state,
                             Control__RateAnswer *out);
bool control_rate_state_read(const Control__RateAnswer *in,
                             struct allowance_state *out);

/* status.c */
char *control_status_text(struct control *control);

#ifdef __cplusplus
}
#endif

#endif
