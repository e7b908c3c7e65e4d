/*
 * members: membership of the fleet and failure detection, by a protocol of
 * the SWIM family.  Each node probes its neighbours on a hash ring, directly
 * and then through other nodes.  A node that does not answer becomes a
 * suspect, and is declared dead unless it refutes that in time.  Changes are
 * gossiped on the messages between nodes; full states are pulled at
 * intervals.
 *
 * The control task makes the state with members_new, calls members_tick at
 * least ten times a second and members_receive for each message of a peer,
 * and carries out the actions that they append.  The package does no input or
 * output, and time and the random seed are arguments, so that a test can run
 * a whole fleet from a seed.  struct members has no locks: use it from one
 * thread.
 *
 * Other tasks use a members_view: an immutable snapshot with an atomic
 * reference count, which any thread may read.
 */
#ifndef CARDAMOM_MEMBERS_H
#define CARDAMOM_MEMBERS_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

enum { MEMBERS_NAME_SIZE = BASE_NODE_NAME_SIZE, MEMBERS_ADDRESS_SIZE = 64 };

enum members_state {
    MEMBERS_ALIVE,
    MEMBERS_SUSPECT,
    MEMBERS_LEAVING, /* alive, accepts no new work */
    MEMBERS_LEFT,
    MEMBERS_DEAD,
};

struct members_node {
    char name[MEMBERS_NAME_SIZE];
    char zone[MEMBERS_NAME_SIZE];
    char control_address[MEMBERS_ADDRESS_SIZE]; /* "IP:port" */
    char bulk_address[MEMBERS_ADDRESS_SIZE]; /* empty: stores no bulk data */
    char http_address[MEMBERS_ADDRESS_SIZE];
    char jobs_address[MEMBERS_ADDRESS_SIZE]; /* empty: runs no jobs */
    uint64_t incarnation;
    uint64_t life; /* id of the process instance: its start in wall ms */
    int cpu_milli; /* processor share, thousandths of a core; 0: not known */
    enum members_state state;
    int64_t world_revision; /* revision of the node's configuration */
};

struct members_view {
    int references;   /* atomic */
    uint64_t version; /* see members_version */
    int self;         /* index of this node */
    int n_nodes;
    struct members_node *nodes; /* sorted by name */
};

struct members_view *members_view_ref(struct members_view *view);
void members_view_unref(struct members_view *view);
int members_view_find(const struct members_view *view, const char *name);
bool members_accepts_work(const struct members_node *node);

/* ---- protocol ---- */

enum members_message_kind {
    MEMBERS_PROBE,         /* answered by MEMBERS_ACK */
    MEMBERS_ACK,           /* answers a probe, direct or indirect; with
                              sequence 0 it only carries updates */
    MEMBERS_PROBE_REQUEST, /* asks the receiver to probe `target` */
    MEMBERS_PULL,          /* answered by MEMBERS_STATE */
    MEMBERS_STATE,         /* all records of the sender */
};

/* One node's information about another, or about itself.  A brief update has
 * only name, incarnation and state. */
struct members_update {
    struct members_node node;
    bool is_brief;
};

struct members_message {
    enum members_message_kind kind;
    uint64_t sequence;
    char target[MEMBERS_NAME_SIZE]; /* MEMBERS_PROBE_REQUEST */
    char from[MEMBERS_NAME_SIZE];   /* name of the sender */
    char from_address[MEMBERS_ADDRESS_SIZE];
    uint64_t incarnation;     /* incarnation of the sender */
    enum members_state state; /* state of the sender, set by itself */
    int64_t world_revision;   /* configuration revision of the sender */
    GArray *updates;          /* of struct members_update */
};

enum members_action_kind {
    /* Send `message` to `address`; the caller then owns the message and frees
     * it with members_message_free. */
    MEMBERS_SEND,
    /* The process was paused, for instance stopped or starved: leases and
     * other state that it held may have expired meanwhile. */
    MEMBERS_PAUSED,
};

struct members_action {
    enum members_action_kind kind;
    char address[MEMBERS_ADDRESS_SIZE];
    struct members_message *message;
};

/* Times are in ms; 0 stands for the default, which the comment gives. */
struct members_desc {
    struct members_node self; /* its incarnation must exceed that of any
                                 earlier instance; the wall clock does */
    const char *const *seeds; /* control addresses */
    int n_seeds;
    uint64_t seed; /* seed of the random number generator */
    int64_t now_ms;
    int64_t probe_interval_ms; /* time between probes; 1,000 */
    int64_t ack_timeout_ms;    /* time until indirect probes are sent; 500 */
    int64_t probe_timeout_ms;  /* time until a probe has failed; 1,500 */
    int64_t suspicion_ms;      /* time until a suspect is declared dead, in
                                  fleets of up to 10 nodes; it grows with
                                  the logarithm of their number; 3,000 */
    int64_t max_pull_interval_ms; /* maximum time between pulls of a full
                                     state; 60,000 */
    int64_t retry_interval_ms; /* time between probes of dead nodes and seeds;
                                  5,000 */
    int64_t forget_dead_ms;    /* time until a dead node is removed; 2 h */
    /* Time until a node that left is removed; 10 min. */
    int64_t forget_left_ms;
};

struct members;

struct members *members_new(const struct members_desc *desc);
void members_free(struct members *members);
/* members_tick, members_receive and members_leave append elements of type
 * struct members_action to `out`. */
void members_tick(struct members *members, int64_t now_ms, GArray *out);
void members_receive(struct members *members,
                     const struct members_message *message, int64_t now_ms,
                     GArray *out);
/* Announces that this node accepts no new work (LEAVING), or that it has left
 * the fleet (LEFT). */
void members_leave(struct members *members, bool has_left, int64_t now_ms,
                   GArray *out);
void members_set_world_revision(struct members *members, int64_t revision);
/* Returns a number that grows when the set of nodes or a node's record
 * changes, except for world_revision alone. */
uint64_t members_version(const struct members *members);
struct members_view *members_snapshot(struct members *members);
bool members_has_joined(const struct members *members);
/* Returns a random live node whose configuration revision is above `above`,
 * or NULL. */
const struct members_node *members_pick_newer(struct members *members,
                                              int64_t above);
/* Returns the highest configuration revision of the live nodes, this one
 * included. */
int64_t members_highest_revision(const struct members *members);
/* Picks up to n distinct random live nodes other than this one; returns how
 * many. */
int members_pick(struct members *members, int n,
                 const struct members_node **out);

struct members_message *members_message_new(enum members_message_kind kind);
void members_message_free(struct members_message *message);

#ifdef __cplusplus
}
#endif

#endif
