/*
 * tracker: states of a shard's items on the runner that has claimed the shard.
 * It uses no clock and does no I/O, so that a test can try every
 * interleaving.
 *
 *     batch_shard_claim(&record, "n1", claim);
 *     // write the record by compare-and-swap; if it succeeds:
 *     batch_tracker_init(&tracker, &record, revision);
 *     if (batch_tracker_start(&tracker, item, is_idempotent)) {
 *         // send the item; after its response:
 *         batch_tracker_end(&tracker, item, BATCH_ITEM_COMPLETED);
 *     }
 *     batch_tracker_prepare(&tracker);
 *     // write tracker.next by compare-and-swap; then, by the result:
 *     batch_tracker_written(&tracker, new_revision);
 *     batch_tracker_conflict(&tracker, &current, current_revision);
 *
 * Only one write is pending at a time.  A write whose result is unknown is
 * sent again unchanged.  Each claim increments the epoch in the record.  After
 * a conflict the epoch shows whether the runner's own earlier write took
 * effect or another runner claimed the shard.
 *
 * A non-idempotent item must not be sent twice.  So it is recorded as started
 * ("begun" in the record) before it is sent, and a runner that claims the
 * shard later does not send it again.
 */
#ifndef CARDAMOM_BATCH_TRACKER_H
#define CARDAMOM_BATCH_TRACKER_H

#include "batch/records.h"

#ifdef __cplusplus
extern "C" {
#endif

enum batch_item_state {
    BATCH_ITEM_WAITING,
    BATCH_ITEM_BEGIN_REQUESTED, /* the next write records it as begun */
    BATCH_ITEM_BEGINNING,       /* the pending write records it as begun */
    BATCH_ITEM_BEGUN, /* recorded as begun in this epoch; not sent yet */
    BATCH_ITEM_RUNNING,
    BATCH_ITEM_INTERRUPTED, /* begun in an earlier epoch: may have run */
    BATCH_ITEM_ENDED,       /* has a result that is not committed */
    BATCH_ITEM_COMMITTING,  /* the pending write records it as done */
    BATCH_ITEM_DONE,        /* its result is committed */
};

enum batch_item_end {
    BATCH_ITEM_COMPLETED,
    BATCH_ITEM_FAILED,
    BATCH_ITEM_CANCELLED,
};

struct batch_tracker {
    struct batch_shard record; /* the shard's record as committed */
    int64_t revision;          /* revision of the committed record */
    struct batch_shard next;   /* record that is being written */
    bool is_writing;
    bool is_lost;          /* another runner has claimed the shard */
    uint8_t *states;       /* enum batch_item_state of each item */
    uint8_t *ends;         /* enum batch_item_end of ended items */
    int n_ended;           /* number of items in state BATCH_ITEM_ENDED */
    int n_begin_requested; /* number of items in state
                              BATCH_ITEM_BEGIN_REQUESTED */
    int n_open;            /* number of items without a result */
};

bool batch_shard_may_claim(const struct batch_shard *shard,
                           bool is_runner_alive);
void batch_shard_claim(struct batch_shard *shard, const char *runner,
                       const char *claim);

void batch_tracker_init(struct batch_tracker *tracker,
                        const struct batch_shard *claimed, int64_t revision);
void batch_tracker_finish(struct batch_tracker *tracker);
enum batch_item_state batch_tracker_state(const struct batch_tracker *tracker,
                                          int item);
bool batch_tracker_request_begin(struct batch_tracker *tracker, int item);
bool batch_tracker_start(struct batch_tracker *tracker, int item,
                         bool is_idempotent);
bool batch_tracker_undo_start(struct batch_tracker *tracker, int item,
                              bool is_idempotent);
bool batch_tracker_end(struct batch_tracker *tracker, int item,
                       enum batch_item_end end);
bool batch_tracker_is_dirty(const struct batch_tracker *tracker);
bool batch_tracker_prepare(struct batch_tracker *tracker);
bool batch_tracker_prepare_release(struct batch_tracker *tracker);
void batch_tracker_written(struct batch_tracker *tracker, int64_t revision);
bool batch_tracker_conflict(struct batch_tracker *tracker,
                            const struct batch_shard *current,
                            int64_t revision);

#ifdef __cplusplus
}
#endif

#endif
