/*
 * What the sources of control share.  All of it belongs to the control task,
 * but for `rates`, which any thread may ask.
 *
 *   control.c  the task
 *   calls.c    the calls of other tasks
 *   codec.c    messages between nodes, to and from bytes
 *   dispatch.c    dispatch of received messages
 *   gossip.c   membership on the wire
 *   owned_servers.c   the servers that this node keeps
 *   owner.c     asks and contracts of those servers
 *   audit.c    what is asked of holders of old contracts
 *   handover.c tables that move from one keeper to the next
 *   client.c     asks, and the contracts that this node holds
 *   reachability.c    keepers that do not answer
 *   rebuild.c   what a new table asks of all holders
 *   release.c  contracts given back
 *   preempt.c    slots that keepers want back
 *   client_report.c   what holders tell new keepers
 *   config_sync.c   the configuration
 *   leaving.c  hosts that the platform calls leaving
 *   registry.c servers that register themselves
 *   retire.c   this machine, when the operator wants it emptied
 *   rates.c    operators' limits
 *   status.c   the state as JSON
 */
#ifndef CARDAMOM_CONTROL_PRIVATE_H
#define CARDAMOM_CONTROL_PRIVATE_H

#include "control/control.h"
#include "wire/control.pb-c.h"
#include "wire/wire.h"

#ifdef __cplusplus
extern "C" {
#endif

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
    CONTROL_N_KINDS,
};

enum { CONTROL_SERVER_SIZE = 64 };

/* ---- codec.c ---- */

/* Bytes of a packed message, for wire_send and its kin. */
struct control_bytes {
    uint8_t *data;
    size_t size;
};

struct control_bytes control_pack(const ProtobufCMessage *message);
uint64_t control_key(const char *name, uint64_t number);
bool control_text_is_good(const char *text, size_t max_size);
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

/* A server that this node keeps. */
struct control_owned_server {
    char server[CONTROL_SERVER_SIZE];
    struct contracts_controller *keeper;
    bool is_leaving;               /* as the table was told */
    bool is_whole;                 /* or its holders are being asked, by: */
    const struct rebuild *rebuild; /* see rebuild.c; NULL: none */
};

/* A contract that this node granted or took over. */
struct control_grant {
    uint64_t key;
    uint64_t contract;
    char server[CONTROL_SERVER_SIZE];
    char holder[MEMBERS_NAME_SIZE];
    enum contracts_class class_;
    int slots;
    int64_t since_ms;
};

struct control_owner {
    GHashTable *servers; /* name to struct control_owned_server */
    GHashTable *known;   /* names of the last world's servers; NULL: none */
    GHashTable *asks; /* hash of holder and ask to struct received_admission */
    GHashTable *granted;   /* hash of server and number to struct grant */
    GHashTable *handovers; /* server to struct handover, not yet kept */
    GArray *events;        /* scratch, of struct contracts_event */
    GPtrArray *rebuilds;   /* of struct rebuild, under way */
    int64_t next_sweep_ms;
    struct base_counter *admissions_counter;
    struct base_counter *not_owner_counter;
    struct base_counter *rebuilt_counter;
};

/* ---- client.c ---- */

/* A contract that this node holds. */
struct control_held_contract {
    char server[CONTROL_SERVER_SIZE];
    char keeper[MEMBERS_NAME_SIZE]; /* that knows of it */
    uint64_t owner_instance;
    uint64_t contract; /* the keeper's number */
    enum contracts_class class_;
    int slots;
    bool is_local; /* out of this node's own share */
    struct base_task *from;
    void (*preempt)(void *task_state, uint64_t contract, int slots);
    uint64_t last_preempt; /* request that was answered last */
};

struct control_client {
    struct base_table held;   /* of struct control_held_contract */
    GHashTable *by_contract;  /* hash of server and number to handle */
    GHashTable *unreachable;  /* keeper to its probes, see reachability.c */
    GQueue *recent;           /* of struct recent_release */
    GHashTable *local_shares; /* server name to count in use */
    GHashTable *asks;         /* ask number to struct control_pending_ask */
    uint64_t next_admission;
    struct base_counter *local_counter;
    struct base_counter *moved_counter;
};

/* ---- config_sync.c ---- */

struct control_config_sync {
    GBytes *packed; /* the record in force, compressed */
    int64_t number;
    int64_t refused; /* the highest number that was refused */
    uint64_t watch;  /* 0: not a watcher */
    bool is_reading; /* a read of the key-value service is on its way */
    bool is_pulling;
    bool has_read; /* the key-value service has answered once */
    int64_t started_ms;
    int64_t next_read_ms;
    int64_t next_pull_ms;
    struct base_counter *applied_counter;
    struct base_counter *refused_counter;
    struct base_counter *revision_gauge;
};

/* ---- leaving.c ---- */

enum {
    /* Tellings of a change by each node.  To three peers at random, one
     * leaves out e^-3 = 5% of the nodes and four leave out e^-12. */
    CONTROL_BROADCAST_ROUNDS = 4,
};

struct control_leaving {
    GHashTable *entries; /* address to struct control_leaving_entry */
    uint64_t digest;
    bool is_requesting;
    int64_t next_poll_ms;
    int64_t next_answer_ms;
    int broadcast_rounds; /* still to come */
    int64_t next_round_ms;
    struct base_counter *gauge;
    struct base_counter *sent_counter; /* messages with news */
};

/* ---- registry.c ---- */

struct control_registry {
    GHashTable *entries; /* key to struct control_registered */
    uint64_t watch;      /* 0: not a watcher */
    uint64_t digest;     /* of all entries' contents */
    bool is_listed;      /* the key-value service or a peer told all */
    int64_t grace_ms;    /* until then lapsed entries may come back */
};

/* ---- retire.c ---- */

struct control_retire {
    uint64_t watch;    /* 0: none */
    bool is_requested; /* the operator wants this machine emptied */
    bool is_reported;  /* and was told that it is */
    bool is_reporting; /* the answer is on its way */
    int64_t report_ms; /* not told before this */
};

/* ---- the whole ---- */

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
    char *key_files[3];
    struct platform *platform;
    struct base_counters *counters;
    struct base_tracer *tracer;
    struct control_listener listener;
    const struct world_source *source; /* NULL: our own documents */
    struct world_site_zone *site_zones;
    int n_site_zones;
    int n_watchers; /* in each availability zone */
    bool may_retire;
    /* state */
    struct members *members;
    struct members_view *view;
    struct world *world;     /* NULL: no configuration yet */
    struct world_site *site; /* with a source: what world is made of */
    int *keepers;    /* by server index; KEEPER_UNKNOWN: not looked up */
    bool is_changed; /* the listener has not heard yet */
    bool is_watcher;
    int64_t now_ms;
    int64_t last_tick_ms;
    int64_t next_change_ms; /* the listener hears no sooner */
    int n_platform_calls;   /* without an answer yet */
    int is_ready;           /* atomic */
    GArray *actions;        /* scratch, of struct members_action */
    struct control_owner keep;
    struct control_client client;
    struct control_config_sync config_sync;
    struct control_leaving leaving;
    struct control_registry registry;
    struct control_retire retire;
    struct control_rates *rates;
};

enum { CONTROL_OWNER_UNKNOWN = -2 };

/* control.c */
int control_owner_of(struct control *control, int server);
const char *control_node_address(struct control *control, int node);
bool control_is_self(struct control *control, int node);
void control_world_changed(struct control *control, struct world *world);

/* reachability.c */
void control_note_reachability(struct control *control, const char *keeper,
                               bool is_reachable);
bool control_is_unreachable(struct control *control, const char *keeper);

/* owned_servers.c */
void control_owner_update(struct control *control);

/* rebuild.c */
void control_rebuild_init(struct control *control);
void control_rebuild_finish(struct control *control);
void control_rebuild_begin(struct control *control);
void control_rebuild_tick(struct control *control);
bool control_rebuild_query(struct control *control,
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
void control_gossip_leave(struct control *control, bool is_gone);

/* owner.c */
void control_owner_init(struct control *control);
void control_owner_finish(struct control *control);
void control_owner_deliver(struct control *control,
                           const struct control_owned_server *kept);
void control_owner_stop(struct control *control, const char *name);
void control_owner_audit(struct control *control, int64_t min_age_ms,
                         bool wants_report);
void control_owner_reset(struct control *control);
void control_owner_tick(struct control *control);
void control_owner_holder_lost(struct control *control, const char *holder);
void control_owner_admit(struct control *control, const char *holder,
                         const Control__Ask *ask,
                         const struct wire_return *back);
void control_owner_cancel(struct control *control, const char *holder,
                          const Control__Cancel *cancel);
void control_owner_release(struct control *control, const char *holder,
                           const Control__Release *release);
void control_owner_report(struct control *control, const char *holder,
                          const Control__Report *report);
void control_owner_apply(struct control *control,
                         struct control_owned_server *kept, const char *holder,
                         size_t n_held, Control__Held *const *held);
void control_owner_server_report(struct control *control, const char *server,
                                 int running, int queued, int64_t age_ms);

/* handover.c */
void control_handover_init(struct control *control);
void control_handover_finish(struct control *control);
void control_handover_send(struct control *control, const char *server);
bool control_handover_take(struct control *control,
                           const struct wire_message *message);
void control_handover_apply(struct control *control,
                            struct control_owned_server *kept);
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
                          struct control_admission *ask);
void control_client_answer(struct control *control, uint64_t ask_id,
                           const Control__Answer *answer);
void control_client_release(struct control *control, uint64_t contract,
                            int slots,
                            const struct contracts_outcome *outcome);

/* release.c */
void control_send_release(struct control *control, const char *server,
                          uint64_t contract, int slots_left, bool is_batch,
                          const struct contracts_outcome *outcome);
void control_release_resend(void *context, const char *address);
void control_release_forget(struct control *control, bool is_all);

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
void control_report_add(GPtrArray *report,
                        const struct control_held_contract *held);

/* config_sync.c */
void control_config_init(struct control *control);
void control_config_finish(struct control *control);
void control_config_tick(struct control *control);
void control_config_watch(struct control *control, bool is_watcher);
void control_config_update(struct control *control, const Control__News *news);
void control_config_serve(struct control *control,
                          const Control__RecordPull *pull,
                          const struct wire_return *back);

/* leaving.c */
void control_leaving_init(struct control *control);
void control_leaving_finish(struct control *control);
void control_leaving_tick(struct control *control);
void control_leaving_apply(struct control *control, const Control__News *news);
void control_leaving_compare(struct control *control, const char *address,
                             uint64_t digest);
uint64_t control_leaving_digest(const struct control *control);
bool control_is_leaving(struct control *control, int server);
void control_leaving_add_to(struct control *control, Control__News *news,
                            bool is_all);
void control_broadcast_changes(struct control *control);

/* registry.c */
void control_registry_init(struct control *control);
void control_registry_finish(struct control *control);
void control_registry_watch(struct control *control, bool is_watcher);
void control_registry_tick(struct control *control);
bool control_registry_apply(struct control *control,
                            const Control__News *news);
void control_registry_add_to(struct control *control, Control__News *news,
                             bool is_all);
void control_site_changed(struct control *control, struct world_site *site);

/* retire.c */
void control_retire_watch(struct control *control, bool is_on);
void control_retire_tick(struct control *control);

/* rates.c */
struct control_rates *control_rates_new(void);
void control_rates_free(struct control_rates *rates);
void control_rates_update(struct control *control);
void control_rates_tick(struct control *control);
bool control_rates_allow(struct control_rates *rates,
                         const char *operator_name, int count);
void control_rates_answer(struct control *control, const char *holder,
                          const Control__RateAsk *ask,
                          const struct wire_return *back);

/* status.c */
char *control_status_text(struct control *control);

#ifdef __cplusplus
}
#endif

#endif
