/*
 * holder: the state of one shard as its runner holds it.  Decisions only: no
 * clock and no I/O, so that every interleaving can be tried in a test.
 *
 *     batch_shard_claim(&record, "n1", claim);      // then compare-and-swap
 *     batch_tracker_init(&holder, &record, revision);
 *     batch_tracker_start(&holder, item, idempotent) // may it be sent now?
 *     batch_tracker_end(&holder, item, BATCH_ITEM_COMPLETED);
 *     batch_tracker_prepare(&holder);                // holder.next to be put
 *     batch_tracker_written / batch_tracker_conflict
 *
 * One write at a time.  A write whose answer is unknown is sent again as it
 * was; the epoch in the record tells one's own earlier write from another
 * runner's claim.
 */
#ifndef CARDAMOM_BATCH_TRACKER_H
#define CARDAMOM_BATCH_TRACKER_H

#include "batch/records.h"

#ifdef __cplusplus
extern "C" {
#endif

enum batch_item_state {
    BATCH_ITEM_WAITING,
    BATCH_ITEM_BEGIN_REQUESTED, /* non-idempotent: to be committed as begun */
    BATCH_ITEM_BEGINNING,       /* in the write under way */
    BATCH_ITEM_BEGUN, /* committed as begun by this epoch; not sent */
    BATCH_ITEM_RUNNING,
    BATCH_ITEM_INTERRUPTED, /* begun by an earlier epoch: may have run */
    BATCH_ITEM_ENDED,       /* its result is to be committed */
    BATCH_ITEM_COMMITTING,  /* in the write under way */
    BATCH_ITEM_DONE,
};

enum batch_item_end {
    BATCH_ITEM_COMPLETED,
    BATCH_ITEM_FAILED,
    BATCH_ITEM_CANCELLED,
};

struct batch_tracker {
    struct batch_shard record; /* as committed */
    int64_t revision;          /* of the record */
    struct batch_shard next;   /* the write under way */
    bool is_writing;
    bool is_lost;    /* another epoch holds the shard */
    uint8_t *states; /* enum batch_item_state of each item */
    uint8_t *ends;   /* enum batch_item_end of ended items */
    int n_ended;     /* to be committed */
    int n_wants_begin;
    int n_open; /* neither ended nor done */
};

bool batch_shard_may_claim(const struct batch_shard *shard,
                           bool is_runner_alive);
void batch_shard_claim(struct batch_shard *shard, const char *runner,
                       const char *claim);

void batch_tracker_init(struct batch_tracker *holder,
                        const struct batch_shard *claimed, int64_t revision);
void batch_tracker_finish(struct batch_tracker *holder);
enum batch_item_state batch_tracker_state(const struct batch_tracker *holder,
                                          int item);
bool batch_tracker_request_begin(struct batch_tracker *holder, int item);
bool batch_tracker_start(struct batch_tracker *holder, int item,
                         bool is_idempotent);
bool batch_tracker_unstart(struct batch_tracker *holder, int item,
                           bool is_idempotent);
bool batch_tracker_end(struct batch_tracker *holder, int item,
                       enum batch_item_end end);
bool batch_tracker_is_dirty(const struct batch_tracker *holder);
bool batch_tracker_prepare(struct batch_tracker *holder);
bool batch_tracker_prepare_release(struct batch_tracker *holder);
void batch_tracker_written(struct batch_tracker *holder, int64_t revision);
bool batch_tracker_conflict(struct batch_tracker *holder,
                            const struct batch_shard *current,
                            int64_t revision);

#ifdef __cplusplus
}
#endif

#endif
