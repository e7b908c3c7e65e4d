#include "batch/tracker.h"

#include <string.h>

/* Returns whether the shard can be claimed: it is open, and it has no runner
 * or its runner's lease has expired. */
bool
batch_shard_may_claim(const struct batch_shard *shard, bool is_runner_alive)
{
    if (shard->is_closed) {
        return false;
    }
    return shard->runner[0] == '\0' || !is_runner_alive;
}

/* Changes the record to a claim by `runner` in the next epoch.  The claim
 * takes effect once the record is written by compare-and-swap. */
void
batch_shard_claim(struct batch_shard *shard, const char *runner,
                  const char *claim)
{
    shard->epoch++;
    g_strlcpy(shard->runner, runner, sizeof(shard->runner));
    g_strlcpy(shard->claim, claim, sizeof(shard->claim));
}

/* Starts tracking a shard whose claim was written; `claimed` is copied. */
void
batch_tracker_init(struct batch_tracker *tracker,
                   const struct batch_shard *claimed, int64_t revision)
{
    memset(tracker, 0, sizeof(*tracker));
    batch_shard_copy(&tracker->record, claimed);
    tracker->revision = revision;
    tracker->states = g_malloc0((size_t)claimed->n_items + 1);
    tracker->ends = g_malloc0((size_t)claimed->n_items + 1);
    for (int item = 0; item < claimed->n_items; item++) {
        if (batch_bit(claimed->done, item)) {
            tracker->states[item] = BATCH_ITEM_DONE;
            continue;
        }
        tracker->n_open++;
        if (batch_bit(claimed->begun, item)) {
            tracker->states[item] = BATCH_ITEM_INTERRUPTED;
        }
    }
}

void
batch_tracker_finish(struct batch_tracker *tracker)
{
    batch_shard_finish(&tracker->record);
    batch_shard_finish(&tracker->next);
    g_free(tracker->states);
    g_free(tracker->ends);
    memset(tracker, 0, sizeof(*tracker));
}

enum batch_item_state
batch_tracker_state(const struct batch_tracker *tracker, int item)
{
    return tracker->states[item];
}

/* Requests that the next write records a waiting non-idempotent item as begun.
 * Returns false if the item is not waiting or the shard is lost. */
bool
batch_tracker_request_begin(struct batch_tracker *tracker, int item)
{
    if (tracker->is_lost || tracker->states[item] != BATCH_ITEM_WAITING) {
        return false;
    }
    tracker->states[item] = BATCH_ITEM_BEGIN_REQUESTED;
    tracker->n_begin_requested++;
    return true;
}

/* Marks an item as running if it may be sent now; returns whether it may.  A
 * non-idempotent item must have been recorded as begun in this epoch. */
bool
batch_tracker_start(struct batch_tracker *tracker, int item,
                    bool is_idempotent)
{
    enum batch_item_state needed =
        is_idempotent ? BATCH_ITEM_WAITING : BATCH_ITEM_BEGUN;

    if (tracker->is_lost || tracker->states[item] != needed) {
        return false;
    }
    tracker->states[item] = BATCH_ITEM_RUNNING;
    return true;
}

/* Marks a running item as not sent, so that it can be sent again.  The caller
 * makes sure that it is idempotent or is known not to have run. */
bool
batch_tracker_undo_start(struct batch_tracker *tracker, int item,
                         bool is_idempotent)
{
    if (tracker->states[item] != BATCH_ITEM_RUNNING) {
        return false;
    }
    tracker->states[item] =
        is_idempotent ? BATCH_ITEM_WAITING : BATCH_ITEM_BEGUN;
    return true;
}

/* Records how an item ended.  Returns false if the item already has a result
 * or the pending write records it as begun; the caller must then drop the new
 * result. */
bool
batch_tracker_end(struct batch_tracker *tracker, int item,
                  enum batch_item_end end)
{
    switch (tracker->states[item]) {
    case BATCH_ITEM_BEGIN_REQUESTED:
        tracker->n_begin_requested--;
        break;
    case BATCH_ITEM_WAITING:
    case BATCH_ITEM_BEGUN:
    case BATCH_ITEM_RUNNING:
    case BATCH_ITEM_INTERRUPTED:
        break;
    case BATCH_ITEM_BEGINNING:
    case BATCH_ITEM_ENDED:
    case BATCH_ITEM_COMMITTING:
    case BATCH_ITEM_DONE:
    default:
        return false;
    }
    tracker->states[item] = BATCH_ITEM_ENDED;
    tracker->ends[item] = (uint8_t)end;
    tracker->n_ended++;
    tracker->n_open--;
    return true;
}

/* Returns whether there are changes to commit. */
bool
batch_tracker_is_dirty(const struct batch_tracker *tracker)
{
    return tracker->n_ended > 0 || tracker->n_begin_requested > 0;
}

static void
count_end(struct batch_counts *counts, enum batch_item_end end)
{
    switch (end) {
    case BATCH_ITEM_COMPLETED:
        counts->completed++;
        break;
    case BATCH_ITEM_FAILED:
        counts->failed++;
        break;
    case BATCH_ITEM_CANCELLED:
    default:
        counts->cancelled++;
        break;
    }
}

/* Adds the change of an item to tracker->next, if there is one. */
static void
record_item_change(struct batch_tracker *tracker, int item)
{
    if (tracker->states[item] == BATCH_ITEM_BEGIN_REQUESTED) {
        tracker->states[item] = BATCH_ITEM_BEGINNING;
        tracker->n_begin_requested--;
        batch_set_bit(tracker->next.begun, item, true);
    }
    else if (tracker->states[item] == BATCH_ITEM_ENDED) {
        tracker->states[item] = BATCH_ITEM_COMMITTING;
        tracker->n_ended--;
        batch_set_bit(tracker->next.done, item, true);
        count_end(&tracker->next.counts, tracker->ends[item]);
    }
}

/* Prepares tracker->next, the record to write: marks the items that ended as
 * done, and the items with a requested begin as begun.  The caller sets the
 * record's pieces of results.  Returns false if a write is pending or the
 * shard is lost. */
bool
batch_tracker_prepare(struct batch_tracker *tracker)
{
    if (tracker->is_writing || tracker->is_lost) {
        return false;
    }
    batch_shard_finish(&tracker->next);
    batch_shard_copy(&tracker->next, &tracker->record);
    for (int item = 0; item < tracker->record.n_items; item++) {
        record_item_change(tracker, item);
    }
    tracker->next.is_closed = tracker->n_open == 0 && tracker->n_ended == 0;
    tracker->is_writing = true;
    return true;
}

/* Prepares tracker->next like batch_tracker_prepare, and releases the shard in
 * it, so that other runners can claim the shard.  Items that were recorded as
 * begun but not sent become waiting items again.  Returns false if an item is
 * running, a write is pending or the shard is lost. */
bool
batch_tracker_prepare_release(struct batch_tracker *tracker)
{
    if (tracker->is_writing || tracker->is_lost) {
        return false;
    }
    for (int item = 0; item < tracker->record.n_items; item++) {
        if (tracker->states[item] == BATCH_ITEM_RUNNING) {
            return false;
        }
    }
    for (int item = 0; item < tracker->record.n_items; item++) {
        if (tracker->states[item] == BATCH_ITEM_BEGIN_REQUESTED) {
            tracker->states[item] = BATCH_ITEM_WAITING;
            tracker->n_begin_requested--;
        }
    }
    batch_tracker_prepare(tracker);
    for (int item = 0; item < tracker->record.n_items; item++) {
        if (tracker->states[item] == BATCH_ITEM_BEGUN) {
            tracker->states[item] = BATCH_ITEM_WAITING;
            batch_set_bit(tracker->next.begun, item, false);
        }
    }
    tracker->next.runner[0] = '\0';
    tracker->next.claim[0] = '\0';
    return true;
}

/* Updates the states after the write of tracker->next took effect; `revision`
 * is the record's new revision. */
void
batch_tracker_written(struct batch_tracker *tracker, int64_t revision)
{
    for (int item = 0; item < tracker->record.n_items; item++) {
        if (tracker->states[item] == BATCH_ITEM_BEGINNING) {
            tracker->states[item] = BATCH_ITEM_BEGUN;
        }
        else if (tracker->states[item] == BATCH_ITEM_COMMITTING) {
            tracker->states[item] = BATCH_ITEM_DONE;
        }
    }
    batch_shard_finish(&tracker->record);
    tracker->record = tracker->next;
    memset(&tracker->next, 0, sizeof(tracker->next));
    tracker->revision = revision;
    tracker->is_writing = false;
}

static bool
is_same_claim(const struct batch_shard *a, const struct batch_shard *b)
{
    return a->epoch == b->epoch && strcmp(a->claim, b->claim) == 0 &&
           strcmp(a->runner, b->runner) == 0;
}

/* Handles a write that failed because the record has another revision.
 * `current` is the stored record; NULL if it does not exist or can't be
 * parsed. Returns true if the record still belongs to this claim.  The
 * revision then changed because an earlier attempt of this write took effect
 * or the locations of chunks were updated, and the caller writes tracker->next
 * again with the new revision.  Returns false if the shard is lost; none of
 * its items may be started any more. */
bool
batch_tracker_conflict(struct batch_tracker *tracker,
                       const struct batch_shard *current, int64_t revision)
{
    if (current != NULL &&
        (is_same_claim(current, &tracker->record) ||
         is_same_claim(current, &tracker->next)) &&
        current->epoch == tracker->record.epoch) {
        tracker->revision = revision;
        return true;
    }
    tracker->is_lost = true;
    tracker->is_writing = false;
    return false;
}
