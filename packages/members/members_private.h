/*
 * What the sources of members share: records and their rules (table.c),
 * messages (gossip.c), probes and time (probe.c), start, leave and questions
 * (members.c), snapshots (view.c).
 */
#ifndef CARDAMOM_MEMBERS_PRIVATE_H
#define CARDAMOM_MEMBERS_PRIVATE_H

#include "members/members.h"

enum {
    MEMBERS_RING_WINDOW = 8, /* neighbours that a node probes in turn */
    MEMBERS_MAX_UPDATES = 6, /* a message */
    MEMBERS_N_HELPERS = 3,   /* asked to probe on one's behalf */
    MEMBERS_RUMOR_MS = 50,   /* between bursts of news */
};

struct members_record {
    struct members_node node;
    bool is_leaving; /* also while it is a suspect */
    uint64_t ring_key;
    int64_t changed_ms;
    int64_t suspect_until_ms;
    int n_sends_left; /* of its update */
    bool needs_check; /* someone calls it dead and we do not */
    uint64_t claimed_incarnation;
};

/* A probe on its way. */
struct members_probe {
    uint64_t sequence;
    int64_t sent_ms;
    bool is_indirect; /* helpers have been asked */
    bool is_retry;    /* of a dead node or a seed: failing means nothing */
    char name[MEMBERS_NAME_SIZE]; /* empty for a seed */
    /* set when it is made for another node */
    char origin[MEMBERS_ADDRESS_SIZE];
    uint64_t origin_sequence;
};

struct members {
    struct members_desc desc;
    char **seeds;
    GRand *random;
    GHashTable *records; /* name to struct members_record; without self */
    struct members_record self;
    GPtrArray *ring; /* live others by ring_key, from this node's on */
    bool is_ring_stale;
    GArray *probes; /* of struct members_probe */
    uint64_t version;
    uint64_t next_sequence;
    unsigned n_probes_sent;
    unsigned ring_at;
    int64_t last_tick_ms;
    int64_t next_probe_ms;
    int64_t next_pull_ms;
    int64_t pull_wait_ms;
    int64_t next_unknown_ms;
    int64_t next_retry_ms;
    int64_t next_rumor_ms;
    bool has_rumor;              /* news that others should hear at once */
    int64_t refreshing_until_ms; /* after a pause: no verdicts till then */
    bool has_joined;
};

/* ---- table.c ---- */

bool members_is_live(const struct members_record *record);
void members_queue_update(struct members *members,
                          struct members_record *record);
void members_note_change(struct members *members,
                         struct members_record *record, int64_t now_ms);
void members_apply_gossip(struct members *members,
                          const struct members_update *update, int64_t now_ms);
void members_apply_state(struct members *members,
                         const struct members_update *update, int64_t now_ms);
void members_suspect(struct members *members, struct members_record *record,
                     int64_t now_ms);
void members_refute(struct members *members, uint64_t incarnation,
                    int64_t now_ms);
void members_expire(struct members *members, int64_t now_ms);
int64_t members_suspicion_ms(const struct members *members);
GPtrArray *members_ring(struct members *members);

/* ---- gossip.c ---- */

struct members_message *members_compose(struct members *members,
                                        enum members_message_kind kind,
                                        uint64_t sequence,
                                        const struct members_record *to);
void members_send_rumor(struct members *members, int64_t now_ms, GArray *out);
void members_emit(GArray *out, const char *address,
                  struct members_message *message);

/* ---- probe.c ---- */

enum { MEMBERS_JOIN_RETRY_MS = 500 };

int members_random(struct members *members, guint bound);
void members_acked(struct members *members, uint64_t sequence, GArray *out);
void members_pull_from(struct members *members, const char *address,
                       const struct members_record *to, GArray *out);
void members_probe_for(struct members *members,
                       const struct members_message *message, int64_t now_ms,
                       GArray *out);

#endif
