/*
 * members: which nodes there are, as one node sees it.  Decisions only: time,
 * random numbers and messages come in as arguments, so that whole fleets run
 * in a test from a seed.  The control task feeds it and sends what it asks.
 *
 * Other tasks see a members_view: a snapshot that never changes, shared by
 * reference count from any thread.
 */
#ifndef CARDAMOM_MEMBERS_H
#define CARDAMOM_MEMBERS_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

enum { MEMBERS_NAME_SIZE = 64, MEMBERS_ADDRESS_SIZE = 64 };

enum members_state {
    MEMBERS_ALIVE,
    MEMBERS_SUSPECT,
    MEMBERS_LEAVING, /* alive, takes no new work */
    MEMBERS_LEFT,
    MEMBERS_DEAD,
};

struct members_node {
    char name[MEMBERS_NAME_SIZE];
    char zone[MEMBERS_NAME_SIZE];
    char control_address[MEMBERS_ADDRESS_SIZE]; /* "IP:port" */
    char bulk_address[MEMBERS_ADDRESS_SIZE];    /* empty: keeps no bulk data */
    char http_address[MEMBERS_ADDRESS_SIZE];
    char jobs_address[MEMBERS_ADDRESS_SIZE]; /* empty: runs no jobs */
    uint64_t incarnation;
    uint64_t life; /* another number after each start of the process */
    enum members_state state;
    int64_t world_revision;
};

struct members_view {
    int references;   /* atomic */
    uint64_t version; /* grows with each change, within one process */
    int self;         /* index of this node */
    int n_nodes;
    struct members_node *nodes; /* sorted by name */
};

struct members_view *members_view_ref(struct members_view *view);
void members_view_unref(struct members_view *view);
int members_view_find(const struct members_view *view, const char *name);
bool members_accepts_work(const struct members_node *node);

/* ---- the protocol ---- */

enum members_message_kind {
    MEMBERS_PROBE,     /* answered by MEMBERS_ACK */
    MEMBERS_ACK,       /* to a probe, or to a probe made for someone else */
    MEMBERS_PROBE_FOR, /* asks to probe `target` */
    MEMBERS_PULL,      /* answered by MEMBERS_STATE */
    MEMBERS_STATE,     /* all that the sender knows */
};

/* What one node says of another.  A brief one has only name, incarnation
 * and state. */
struct members_update {
    struct members_node node;
    bool is_brief;
};

struct members_message {
    enum members_message_kind kind;
    uint64_t sequence;
    char target[MEMBERS_NAME_SIZE]; /* MEMBERS_PROBE_FOR */
    char from[MEMBERS_NAME_SIZE];   /* the sender */
    char from_address[MEMBERS_ADDRESS_SIZE];
    uint64_t incarnation;     /* of the sender */
    enum members_state state; /* as the sender calls itself */
    int64_t world_revision;   /* of the sender */
    GArray *updates;          /* of struct members_update */
};

enum members_action_kind {
    MEMBERS_SEND,   /* `message` to `address`; it belongs to the reader */
    MEMBERS_PAUSED, /* this process stood still: distrust what it held */
};

struct members_action {
    enum members_action_kind kind;
    char address[MEMBERS_ADDRESS_SIZE];
    struct members_message *message;
};

/* Times in ms; 0 takes the default. */
struct members_desc {
    struct members_node self; /* incarnation: above that of any earlier life,
                                 as the wall clock is */
    const char *const *seeds;
    int n_seeds;
    uint64_t seed; /* of random choices */
    int64_t now_ms;
    int64_t probe_ms;       /* between probes; 1,000 */
    int64_t direct_ms;      /* until others are asked to probe; 500 */
    int64_t fail_ms;        /* until a probe has failed; 1,500 */
    int64_t suspicion_ms;   /* at 10 nodes, grows by the logarithm; 3,000 */
    int64_t pull_ms;        /* between full pulls; 60,000 */
    int64_t retry_ms;       /* between probes of dead nodes and seeds; 5,000 */
    int64_t forget_dead_ms; /* 2 h */
    int64_t forget_left_ms; /* 10 min */
};

struct members;

struct members *members_new(const struct members_desc *desc);
void members_free(struct members *members);
/* Each of these appends struct members_action to `out`. */
void members_tick(struct members *members, int64_t now_ms, GArray *out);
void members_receive(struct members *members,
                     const struct members_message *message, int64_t now_ms,
                     GArray *out);
/* Announces that this node takes no new work, or that it is gone. */
void members_leave(struct members *members, bool is_gone, int64_t now_ms,
                   GArray *out);
void members_set_world_revision(struct members *members, int64_t revision);
/* Grows when the view changed in more than revisions. */
uint64_t members_version(const struct members *members);
struct members_view *members_snapshot(struct members *members);
bool members_has_joined(const struct members *members);
/* A live node, at random, that has a revision above `above`; or NULL. */
const struct members_node *members_pick_newer(struct members *members,
                                              int64_t above);
/* The highest revision known of any live node, this one included. */
int64_t members_highest_revision(const struct members *members);
/* Up to n different live nodes at random; returns how many. */
int members_pick(struct members *members, int n,
                 const struct members_node **out);

struct members_message *members_message_new(enum members_message_kind kind);
void members_message_free(struct members_message *message);

#ifdef __cplusplus
}
#endif

#endif
