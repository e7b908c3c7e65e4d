/*
 * Declarations that the sources of members share:
 *
 *     members.c  start, leave, and queries
 *     table.c    the records of the other nodes, and how updates change them
 *     gossip.c   composing and handling messages
 *     probe.c    probes, failure detection, pulls, and members_tick
 *     view.c     snapshots for other tasks
 */
#ifndef CARDAMOM_MEMBERS_PRIVATE_H
#define CARDAMOM_MEMBERS_PRIVATE_H

#include "members/members.h"

enum {
    /* Number of ring neighbours that are probed in turn. */
    MEMBERS_RING_NEIGHBOURS = 8,
    /* Maximum number of updates in a message without a full state. */
    MEMBERS_MAX_UPDATES = 6,
    MEMBERS_FANOUT = 3, /* number of nodes that are asked to probe a node, or
                           that a change is pushed to */
    MEMBERS_PUSH_INTERVAL_MS = 50, /* minimum time between pushes */
};

struct members_record {
    struct members_node node;
    bool is_leaving;   /* stays set while a leaving node is a suspect */
    uint64_t ring_key; /* hash of the name: its position on the ring */
    int64_t last_change_ms;
    int64_t suspect_until_ms;
    int n_sends_left; /* number of messages that are still to carry this
                         record's update */
    /* The node is live here, but the full state of another node reports it as
     * suspect or dead.  It is probed soon. */
    bool needs_check;
    uint64_t reported_incarnation; /* the node's incarnation in that state */
};

/* A probe that has not been answered yet. */
struct members_probe {
    uint64_t sequence;
    int64_t sent_at_ms;
    bool has_requested_indirect; /* other nodes were asked to probe it */
    /* Probe of a dead node or a seed; its failure has no effect. */
    bool is_retry;
    char name[MEMBERS_NAME_SIZE]; /* empty for a seed */
    /* The node that requested the probe and its sequence number; empty for an
     * own probe. */
    char origin[MEMBERS_ADDRESS_SIZE];
    uint64_t origin_sequence;
};

struct members {
    struct members_desc desc;
    char **seeds;
    GRand *random;
    GHashTable *records; /* name -> struct members_record; without self */
    struct members_record self;
    GPtrArray *ring; /* other live nodes by ring_key, from this node's on */
    bool is_ring_stale;
    GArray *probes; /* of struct members_probe */
    uint64_t version;
    uint64_t next_sequence;
    unsigned n_probes_sent;
    unsigned ring_index;
    int64_t last_tick_ms;
    int64_t next_probe_ms;
    int64_t next_pull_ms;
    int64_t pull_interval_ms;
    int64_t next_unknown_pull_ms; /* earliest time of the next pull from a
                                     sender without a record */
    int64_t next_retry_ms;
    int64_t next_push_ms;
    bool has_urgent_update; /* a change to push to other nodes */
    /* No node is declared suspect or dead before this time, which is set after
     * a pause; 0: no limit. */
    int64_t refreshing_until_ms;
    bool has_joined;
};

/* ---- table.c ---- */

bool members_is_live(const struct members_record *record);
void members_queue_update(struct members *members,
                          struct members_record *record);
void members_record_change(struct members *members,
                           struct members_record *record, int64_t now_ms);
void members_apply_gossip(struct members *members,
                          const struct members_update *update, int64_t now_ms);
void members_apply_state(struct members *members,
                         const struct members_update *update, int64_t now_ms);
void members_suspect(struct members *members, struct members_record *record,
                     int64_t now_ms);
void members_refute(struct members *members, uint64_t incarnation,
                    int64_t now_ms);
void members_expire_records(struct members *members, int64_t now_ms);
int64_t members_suspicion_ms(const struct members *members);
GPtrArray *members_ring(struct members *members);

/* ---- gossip.c ---- */

struct members_message *members_compose(struct members *members,
                                        enum members_message_kind kind,
                                        uint64_t sequence,
                                        const struct members_record *to);
void members_push_updates(struct members *members, int64_t now_ms,
                          GArray *out);
void members_emit(GArray *out, const char *address,
                  struct members_message *message);

/* ---- probe.c ---- */

enum { MEMBERS_JOIN_RETRY_MS = 500 };

int members_random(struct members *members, guint bound);
void members_receive_ack(struct members *members, uint64_t sequence,
                         GArray *out);
void members_pull_from(struct members *members, const char *address,
                       const struct members_record *to, GArray *out);
void members_relay_probe(struct members *members,
                         const struct members_message *message, int64_t now_ms,
                         GArray *out);

#endif
