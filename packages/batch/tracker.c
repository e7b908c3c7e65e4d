#include "batch/tracker.h"

#include <string.h>

/* Whether the shard can be claimed: nobody's, or its runner's lease lapsed. */
bool
batch_shard_may_claim(const struct batch_shard *shard, bool is_runner_alive)
{
    if (shard->is_closed) {
        return false;
    }
    return shard->runner[0] == '\0' || !is_runner_alive;
}

/* Makes the record the next epoch's; it takes effect by compare-and-swap. */
void
batch_shard_claim(struct batch_shard *shard, const char *runner,
                  const char *claim)
{
    shard->epoch++;
    g_strlcpy(shard->runner, runner, sizeof(shard->runner));
    g_strlcpy(shard->claim, claim, sizeof(shard->claim));
}

/* Takes over a claimed record; `claimed` is copied. */
void
batch_tracker_init(struct batch_tracker *holder,
                   const struct batch_shard *claimed, int64_t revision)
{
    memset(holder, 0, sizeof(*holder));
    batch_shard_copy(&holder->record, claimed);
    holder->revision = revision;
    holder->states = g_malloc0((size_t)claimed->n_items + 1);
    holder->ends = g_malloc0((size_t)claimed->n_items + 1);
    for (int item = 0; item < claimed->n_items; item++) {
        if (batch_bit(claimed->done, item)) {
            holder->states[item] = BATCH_ITEM_DONE;
            continue;
        }
        holder->n_open++;
        if (batch_bit(claimed->begun, item)) {
            holder->states[item] = BATCH_ITEM_INTERRUPTED;
        }
    }
}

void
batch_tracker_finish(struct batch_tracker *holder)
{
    batch_shard_finish(&holder->record);
    batch_shard_finish(&holder->next);
    g_free(holder->states);
    g_free(holder->ends);
    memset(holder, 0, sizeof(*holder));
}

enum batch_item_state
batch_tracker_state(const struct batch_tracker *holder, int item)
{
    return holder->states[item];
}

/* Puts a waiting non-idempotent item into the next write as begun. */
bool
batch_tracker_request_begin(struct batch_tracker *holder, int item)
{
    if (holder->is_lost || holder->states[item] != BATCH_ITEM_WAITING) {
        return false;
    }
    holder->states[item] = BATCH_ITEM_BEGIN_REQUESTED;
    holder->n_wants_begin++;
    return true;
}

/* Whether the item may be sent now; true makes it running.  A non-idempotent
 * one must have been committed as begun by this epoch. */
bool
batch_tracker_start(struct batch_tracker *holder, int item, bool is_idempotent)
{
    enum batch_item_state needed =
        is_idempotent ? BATCH_ITEM_WAITING : BATCH_ITEM_BEGUN;

    if (holder->is_lost || holder->states[item] != needed) {
        return false;
    }
    holder->states[item] = BATCH_ITEM_RUNNING;
    return true;
}

/* A running item goes back to be sent again: it is idempotent, or it is
 * known not to have run. */
bool
batch_tracker_unstart(struct batch_tracker *holder, int item,
                      bool is_idempotent)
{
    if (holder->states[item] != BATCH_ITEM_RUNNING) {
        return false;
    }
    holder->states[item] =
        is_idempotent ? BATCH_ITEM_WAITING : BATCH_ITEM_BEGUN;
    return true;
}

/* The item's one result is known; false when it had one already, or when its
 * beginning is being committed. */
bool
batch_tracker_end(struct batch_tracker *holder, int item,
                  enum batch_item_end end)
{
    switch (holder->states[item]) {
    case BATCH_ITEM_BEGIN_REQUESTED:
        holder->n_wants_begin--;
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
    holder->states[item] = BATCH_ITEM_ENDED;
    holder->ends[item] = (uint8_t)end;
    holder->n_ended++;
    holder->n_open--;
    return true;
}

/* Whether there is anything to commit. */
bool
batch_tracker_is_dirty(const struct batch_tracker *holder)
{
    return holder->n_ended > 0 || holder->n_wants_begin > 0;
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

static void
add_item_to_write(struct batch_tracker *holder, int item)
{
    if (holder->states[item] == BATCH_ITEM_BEGIN_REQUESTED) {
        holder->states[item] = BATCH_ITEM_BEGINNING;
        holder->n_wants_begin--;
        batch_set_bit(holder->next.begun, item, true);
    }
    else if (holder->states[item] == BATCH_ITEM_ENDED) {
        holder->states[item] = BATCH_ITEM_COMMITTING;
        holder->n_ended--;
        batch_set_bit(holder->next.done, item, true);
        count_end(&holder->next.counts, holder->ends[item]);
    }
}

/* Makes holder->next the write of all that ended and all that wants to
 * begin; the caller sets its chunks of results.  False when a write is under
 * way or the shard is lost. */
bool
batch_tracker_prepare(struct batch_tracker *holder)
{
    if (holder->is_writing || holder->is_lost) {
        return false;
    }
    batch_shard_finish(&holder->next);
    batch_shard_copy(&holder->next, &holder->record);
    for (int item = 0; item < holder->record.n_items; item++) {
        add_item_to_write(holder, item);
    }
    holder->next.is_closed = holder->n_open == 0 && holder->n_ended == 0;
    holder->is_writing = true;
    return true;
}

/* The same, and gives the shard back: nothing may be running.  Items that
 * were committed as begun but not sent are taken back. */
bool
batch_tracker_prepare_release(struct batch_tracker *holder)
{
    if (holder->is_writing || holder->is_lost) {
        return false;
    }
    for (int item = 0; item < holder->record.n_items; item++) {
        if (holder->states[item] == BATCH_ITEM_RUNNING) {
            return false;
        }
    }
    for (int item = 0; item < holder->record.n_items; item++) {
        if (holder->states[item] == BATCH_ITEM_BEGIN_REQUESTED) {
            holder->states[item] = BATCH_ITEM_WAITING;
            holder->n_wants_begin--;
        }
    }
    batch_tracker_prepare(holder);
    for (int item = 0; item < holder->record.n_items; item++) {
        if (holder->states[item] == BATCH_ITEM_BEGUN) {
            holder->states[item] = BATCH_ITEM_WAITING;
            batch_set_bit(holder->next.begun, item, false);
        }
    }
    holder->next.runner[0] = '\0';
    holder->next.claim[0] = '\0';
    return true;
}

/* The write took effect. */
void
batch_tracker_written(struct batch_tracker *holder, int64_t revision)
{
    for (int item = 0; item < holder->record.n_items; item++) {
        if (holder->states[item] == BATCH_ITEM_BEGINNING) {
            holder->states[item] = BATCH_ITEM_BEGUN;
        }
        else if (holder->states[item] == BATCH_ITEM_COMMITTING) {
            holder->states[item] = BATCH_ITEM_DONE;
        }
    }
    batch_shard_finish(&holder->record);
    holder->record = holder->next;
    memset(&holder->next, 0, sizeof(holder->next));
    holder->revision = revision;
    holder->is_writing = false;
}

static bool
is_same_claim(const struct batch_shard *a, const struct batch_shard *b)
{
    return a->epoch == b->epoch && strcmp(a->claim, b->claim) == 0 &&
           strcmp(a->runner, b->runner) == 0;
}

/* The write met another revision.  True: it was an earlier try of one's own
 * (or a change of placement within the epoch), so holder->next is to be
 * written again on the new revision.  False: the shard is lost, and nothing
 * of it may be started any more. */
bool
batch_tracker_conflict(struct batch_tracker *holder,
                       const struct batch_shard *current, int64_t revision)
{
    if (current != NULL &&
        (is_same_claim(current, &holder->record) ||
         is_same_claim(current, &holder->next)) &&
        current->epoch == holder->record.epoch) {
        holder->revision = revision;
        return true;
    }
    holder->is_lost = true;
    holder->is_writing = false;
    return false;
}
