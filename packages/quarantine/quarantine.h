/*
 * quarantine: finds the parts of prompts that crash backend servers, so that
 * no further server is lost to them.
 *
 * A prompt lists its parts; requests share parts, so one part may come in many
 * requests.  When a server crashes, each request that it had not begun to
 * answer is suspect, and with it all parts of its prompt.  A part is blocked
 * after several crashes with no answer in between; an answer clears it.  So
 * the parts of requests that merely ran beside the culprit are cleared by the
 * next sound request, and one crash that breaks many connections counts once.
 * A part that was answered in the last minute or two needs more crashes, since
 * the culprit of the same prompts, which was not, explains them.
 * A request as a whole counts as one more part: if it crashes servers by
 * itself, its parts may all be answered in other requests, or it may have
 * none. After a while single requests may try again, since a server can be
 * mended; another crash then blocks the part for twice as long.
 *
 *     struct quarantine quarantine;
 *     quarantine_init(&quarantine, &(struct quarantine_desc){0});
 *     if (quarantine_admit(&quarantine, &parts, now_ms) > 0) ... refuse
 *     quarantine_note_crash(&quarantine, &parts, server, now_ms);
 *     quarantine_note_answer(&quarantine, &parts, now_ms);
 *     quarantine_finish(&quarantine);
 *
 * Each node sees only some of the crashes.  Nodes exchange records:
 * quarantine_take collects those that changed, and quarantine_merge adds a
 * peer's.  Merging is commutative and idempotent, so that records may come
 * late, twice and in any order.  The package does no input or output; time is
 * an argument, in ms of any clock that only moves forward.  It has no locks.
 */
#ifndef CARDAMOM_QUARANTINE_H
#define CARDAMOM_QUARANTINE_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
    QUARANTINE_MAX_PARTS = 64, /* of one prompt; further ones are ignored */
};

/* The parts of a prompt that other requests may share, as hashes, and then the
 * request as a whole, if it is known again when it is sent once more. */
struct quarantine_parts {
    int n_parts; /* with the request */
    uint64_t parts[QUARANTINE_MAX_PARTS + 1];
    bool has_request; /* the last one is the request */
};

/* 0: the default, which the comment gives. */
struct quarantine_desc {
    int max_crashes;    /* crashes after which a part is blocked; 3 */
    int64_t spacing_ms; /* crashes that one node sees closer together count
                           once; 200 */
    int64_t block_ms;   /* time from the crash to the first try; 10,000 */
    int64_t retry_ms;   /* time from one try of this node to the next; 2,000 */
    uint64_t node;      /* number of this node, different for each */
    int max_records;    /* then those with the fewest crashes go; 512 */
    int max_taken;      /* records in one message of a round; 12 */
    int max_answered;   /* remembered parts that were answered lately, half of
                           them; 2,048 */
};

/* What the nodes know of one part.  The later of two states counts, see
 * quarantine_merge. */
struct quarantine_state {
    uint32_t n_clears;  /* times that an answer cleared the part */
    uint32_t n_crashes; /* since then */
    uint64_t crash;     /* id of the last of them; 0: none */
    uint64_t server;    /* that crashed, the hash of its name */
};

/* A state as nodes exchange it.  Ages, so that their clocks need not agree. */
struct quarantine_record {
    uint64_t part;
    struct quarantine_state state;
    int64_t crash_age_ms;
};

struct quarantine {
    struct quarantine_desc desc;
    GArray *nodes;       /* of uint64_t, see quarantine_set_nodes */
    GHashTable *entries; /* part to struct entry */
    /* Parts that this node had answers to: since answered_since_ms, and in the
     * generation before. */
    GHashTable *answered;
    GHashTable *answered_before;
    int64_t answered_since_ms;
};

void quarantine_init(struct quarantine *quarantine,
                     const struct quarantine_desc *desc);
void quarantine_finish(struct quarantine *quarantine);
void quarantine_set_nodes(struct quarantine *quarantine, const uint64_t *nodes,
                          int n_nodes);

int64_t quarantine_admit(struct quarantine *quarantine,
                         const struct quarantine_parts *parts, int64_t now_ms);
int64_t quarantine_blocked_ms(const struct quarantine *quarantine,
                              const struct quarantine_parts *parts,
                              int64_t now_ms);
int quarantine_crashes(const struct quarantine *quarantine,
                       const struct quarantine_parts *parts);
int quarantine_suspicion(const struct quarantine *quarantine,
                         const struct quarantine_parts *parts);
void quarantine_scope(struct quarantine_parts *parts, const char *deployment);
void quarantine_add_request(struct quarantine_parts *parts, uint64_t request);
void quarantine_note_crash(struct quarantine *quarantine,
                           const struct quarantine_parts *parts,
                           uint64_t server, int64_t now_ms);
bool quarantine_note_answer(struct quarantine *quarantine,
                            const struct quarantine_parts *parts,
                            int64_t now_ms);
void quarantine_expire(struct quarantine *quarantine, int64_t now_ms);

/* ---- exchange between nodes ---- */

GArray *quarantine_take(struct quarantine *quarantine, bool is_all,
                        int64_t now_ms);
bool quarantine_merge(struct quarantine *quarantine,
                      const struct quarantine_record *record, int64_t now_ms);
uint64_t quarantine_digest(const struct quarantine *quarantine,
                           int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
