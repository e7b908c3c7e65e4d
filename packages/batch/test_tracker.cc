/*
 * Checks the invariants of a shard's state machine in every interleaving of
 * two runners' steps, with expired leases, lost and late writes, crashes,
 * refused items and a cancelled job.
 */
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

#include "batch/tracker.h"

enum { N_ITEMS = 2, N_RUNNERS = 2 };

static const char *const RUNNERS[N_RUNNERS] = {"a", "b"};

/* How often each event may still happen; the bounds make the number of states
 * finite.  `expiries` counts expired leases, `lost` counts lost results of
 * writes and time-outs. */
struct bounds {
    int claims, expiries, lost, crashes, refusals, cancels, releases;
};

static void
copy_tracker(struct batch_tracker *to, const struct batch_tracker *from)
{
    *to = *from;
    batch_shard_copy(&to->record, &from->record);
    if (from->next.done != nullptr) {
        batch_shard_copy(&to->next, &from->next);
    }
    size_t size = (size_t)from->record.n_items + 1;
    to->states = (uint8_t *)g_memdup2(from->states, size);
    to->ends = (uint8_t *)g_memdup2(from->ends, size);
}

/* A write that was sent; it may arrive at any time, or never. */
struct message {
    struct batch_shard shard;
    int64_t expect;
    bool is_awaited; /* the runner waits for its result */
};

struct runner {
    bool has_shard = false;
    struct batch_tracker tracker;
    std::vector<message> sent;
    bool has_seen_cancel = false;
};

struct model {
    bool has_record = false; /* the shard's record exists */
    struct batch_shard record;
    int64_t revision = 0;
    bool is_lease_expired[N_RUNNERS] = {};
    bool is_cancelled = false;
    runner runners[N_RUNNERS];
    int runs[N_ITEMS] = {}; /* times that an item was sent and not refused */
    struct bounds left;
    /* The first item is idempotent, the other is not. */
    static bool
    is_idempotent(int item)
    {
        return item == 0;
    }

    model()
    {
        batch_shard_init(&record, N_ITEMS);
    }

    model(const model &from)
        : has_record(from.has_record), revision(from.revision),
          is_cancelled(from.is_cancelled), left(from.left)
    {
        batch_shard_copy(&record, &from.record);
        memcpy(is_lease_expired, from.is_lease_expired,
               sizeof(is_lease_expired));
        memcpy(runs, from.runs, sizeof(runs));
        for (int r = 0; r < N_RUNNERS; r++) {
            runners[r].has_shard = from.runners[r].has_shard;
            runners[r].has_seen_cancel = from.runners[r].has_seen_cancel;
            if (runners[r].has_shard) {
                copy_tracker(&runners[r].tracker, &from.runners[r].tracker);
            }
            for (const message &sent : from.runners[r].sent) {
                message copy = sent;
                batch_shard_copy(&copy.shard, &sent.shard);
                runners[r].sent.push_back(copy);
            }
        }
    }

    model &operator=(const model &) = delete;

    ~model()
    {
        batch_shard_finish(&record);
        for (runner &r : runners) {
            if (r.has_shard) {
                batch_tracker_finish(&r.tracker);
            }
            for (message &sent : r.sent) {
                batch_shard_finish(&sent.shard);
            }
        }
    }

    void
    drop(int r)
    {
        batch_tracker_finish(&runners[r].tracker);
        runners[r].has_shard = false;
    }
};

static void
add_shard(std::string &key, const struct batch_shard &shard)
{
    key += std::to_string(shard.epoch) + shard.runner + "/";
    key += (char)('0' + shard.done[0]);
    key += (char)('0' + shard.begun[0]);
    key += (char)('0' + shard.counts.completed);
    key += (char)('0' + shard.counts.failed);
    key += (char)('0' + shard.counts.cancelled);
    key += shard.is_closed ? 'c' : 'o';
}

/* Returns a text that identifies the state: equal states, and only these, have
 * equal texts. */
static std::string
key_of(const model &m)
{
    std::string key = m.has_record ? "r" : "-";
    add_shard(key, m.record);
    key += std::to_string(m.revision);
    key += m.is_cancelled ? 'x' : '.';
    for (int r = 0; r < N_RUNNERS; r++) {
        const runner &runner = m.runners[r];
        key += m.is_lease_expired[r] ? 'l' : '.';
        key += runner.has_shard ? 'h' : '.';
        key += runner.has_seen_cancel ? 'x' : '.';
        if (runner.has_shard) {
            const struct batch_tracker &tracker = runner.tracker;
            add_shard(key, tracker.record);
            key += std::to_string(tracker.revision);
            key += tracker.is_writing ? 'w' : '.';
            key += tracker.is_lost ? 'l' : '.';
            if (tracker.is_writing) {
                add_shard(key, tracker.next);
            }
            for (int i = 0; i < N_ITEMS; i++) {
                key += (char)('a' + tracker.states[i]);
                key += (char)('0' + tracker.ends[i]);
            }
        }
        for (const message &sent : runner.sent) {
            key += sent.is_awaited ? '!' : '?';
            add_shard(key, sent.shard);
            key += std::to_string(sent.expect);
        }
    }
    for (int i = 0; i < N_ITEMS; i++) {
        key += (char)('0' + m.runs[i]);
    }
    key += std::string((const char *)&m.left, sizeof(m.left));
    return key;
}

struct checker {
    std::unordered_set<std::string> seen;
    std::vector<std::unique_ptr<model>> open;
    int n_ends = 0;
    int n_interrupted = 0;
    bool has_failed = false;

    /* Checks the invariants that hold in every state. */
    void
    check(const model &m)
    {
        int n_done = 0;
        for (int i = 0; i < N_ITEMS; i++) {
            n_done += batch_bit(m.record.done, i);
            if (!model::is_idempotent(i) && m.runs[i] > 1) {
                fail("a non-idempotent item was sent twice", m);
            }
        }
        const struct batch_counts &counts = m.record.counts;
        if (counts.completed + counts.failed + counts.cancelled != n_done) {
            fail("the sum of the counts differs from the number of done items",
                 m);
        }
        if (m.record.is_closed != (n_done == N_ITEMS)) {
            fail("the shard is not closed exactly when all items are done", m);
        }
    }

    void
    fail(const char *text, const model &m)
    {
        if (!has_failed) {
            ADD_FAILURE() << text << ": " << key_of(m);
        }
        has_failed = true;
    }

    void
    add(std::unique_ptr<model> next)
    {
        if (seen.insert(key_of(*next)).second) {
            check(*next);
            open.push_back(std::move(next));
        }
    }

    void
    run(const struct bounds &bounds)
    {
        auto first = std::make_unique<model>();
        first->left = bounds;
        add(std::move(first));
        while (!open.empty() && !has_failed) {
            std::unique_ptr<model> at = std::move(open.back());
            open.pop_back();
            if (at->record.is_closed) {
                n_ends++;
            }
            for (int r = 0; r < N_RUNNERS; r++) {
                runner_steps(*at, r);
            }
            environment_steps(*at);
        }
    }

    static std::unique_ptr<model>
    copy(const model &m)
    {
        return std::make_unique<model>(m);
    }

    void
    environment_steps(const model &m)
    {
        if (m.left.cancels > 0) {
            auto next = copy(m);
            next->left.cancels--;
            next->is_cancelled = true;
            add(std::move(next));
        }
        for (int r = 0; r < N_RUNNERS; r++) {
            if (m.left.expiries > 0 && !m.is_lease_expired[r]) {
                auto next = copy(m);
                next->left.expiries--;
                next->is_lease_expired[r] = true;
                add(std::move(next));
            }
            if (m.left.crashes > 0 && m.runners[r].has_shard) {
                auto next = copy(m);
                next->left.crashes--;
                next->drop(r);
                next->is_lease_expired[r] = true;
                add(std::move(next));
            }
            for (size_t i = 0; i < m.runners[r].sent.size(); i++) {
                deliver_write(m, r, i);
            }
        }
    }

    static bool
    may_claim(const model &m, int r)
    {
        if (!m.has_record) {
            return true;
        }
        bool is_own = strcmp(m.record.runner, RUNNERS[r]) == 0;
        int owner = strcmp(m.record.runner, "a") == 0 ? 0 : 1;
        bool is_alive =
            is_own ? m.runners[r].has_shard : !m.is_lease_expired[owner];
        return batch_shard_may_claim(&m.record, is_alive);
    }

    /* A claim takes effect at once; its result may not reach the runner. */
    void
    claim(const model &m, int r, bool is_answer_lost)
    {
        auto next = copy(m);
        next->left.claims--;
        next->has_record = true;
        batch_shard_claim(&next->record, RUNNERS[r], RUNNERS[r]);
        next->revision++;
        if (is_answer_lost) {
            next->left.lost--;
        }
        else {
            batch_tracker_init(&next->runners[r].tracker, &next->record,
                               next->revision);
            next->runners[r].has_shard = true;
            next->runners[r].has_seen_cancel = next->is_cancelled;
        }
        add(std::move(next));
    }

    static void
    send(model &m, int r)
    {
        message sent = {};
        batch_shard_copy(&sent.shard, &m.runners[r].tracker.next);
        sent.expect = m.runners[r].tracker.revision;
        sent.is_awaited = true;
        m.runners[r].sent.push_back(sent);
    }

    /* A write arrives.  It takes effect if the record still has the expected
     * revision; its result reaches the runner or is lost. */
    void
    deliver_write(const model &m, int r, size_t index)
    {
        for (bool is_answer_lost : {false, true}) {
            if (is_answer_lost &&
                (m.left.lost == 0 || !m.runners[r].sent[index].is_awaited)) {
                continue;
            }
            auto next = copy(m);
            runner &runner = next->runners[r];
            message sent = runner.sent[index];
            runner.sent.erase(runner.sent.begin() + (long)index);
            bool is_ok = sent.expect == next->revision;
            if (is_ok) {
                check_write(*next, sent.shard);
                batch_shard_finish(&next->record);
                batch_shard_copy(&next->record, &sent.shard);
                next->revision++;
            }
            batch_shard_finish(&sent.shard);
            bool is_expected = sent.is_awaited && runner.has_shard &&
                               runner.tracker.is_writing;
            if (is_answer_lost) {
                next->left.lost--;
                if (is_expected) {
                    send(*next, r);
                }
            }
            else if (is_expected) {
                receive_answer(*next, r, is_ok);
            }
            add(std::move(next));
        }
    }

    static void
    receive_answer(model &m, int r, bool is_ok)
    {
        struct batch_tracker &tracker = m.runners[r].tracker;
        if (is_ok) {
            batch_tracker_written(&tracker, m.revision);
            if (tracker.record.is_closed || tracker.record.runner[0] == '\0') {
                m.drop(r);
            }
        }
        else if (batch_tracker_conflict(&tracker, &m.record, m.revision)) {
            send(m, r);
        }
        else {
            m.drop(r);
        }
    }

    /* Checks that a write that takes effect keeps all done items and has the
     * record's epoch. */
    void
    check_write(const model &m, const struct batch_shard &shard)
    {
        if (shard.epoch != m.record.epoch) {
            fail("a write of another epoch took effect", m);
        }
        if ((m.record.done[0] & ~shard.done[0]) != 0) {
            fail("a write made a done item no longer done", m);
        }
    }

    /* A write times out and is sent again; the first one may still arrive. */
    void
    time_out(const model &m, int r)
    {
        auto next = copy(m);
        next->left.lost--;
        for (message &sent : next->runners[r].sent) {
            sent.is_awaited = false;
        }
        send(*next, r);
        add(std::move(next));
    }

    void
    runner_steps(const model &m, int r)
    {
        const runner &runner = m.runners[r];
        if (!runner.has_shard) {
            if (m.left.claims > 0 && may_claim(m, r) && !m.is_cancelled) {
                claim(m, r, false);
                if (m.left.lost > 0) {
                    claim(m, r, true);
                }
            }
            if (m.left.claims > 0 && m.has_record && may_claim(m, r) &&
                m.is_cancelled) {
                claim(m, r, false);
            }
            return;
        }
        if (m.is_cancelled && !runner.has_seen_cancel) {
            auto next = copy(m);
            next->runners[r].has_seen_cancel = true;
            add(std::move(next));
        }
        if (runner.tracker.is_writing && m.left.lost > 0) {
            time_out(m, r);
        }
        commit_steps(m, r);
        for (int item = 0; item < N_ITEMS; item++) {
            item_steps(m, r, item);
        }
    }

    void
    commit_steps(const model &m, int r)
    {
        const struct batch_tracker &tracker = m.runners[r].tracker;
        if (batch_tracker_is_dirty(&tracker) && !tracker.is_writing) {
            auto next = copy(m);
            if (batch_tracker_prepare(&next->runners[r].tracker)) {
                send(*next, r);
                add(std::move(next));
            }
        }
        if (m.left.releases > 0) {
            auto next = copy(m);
            next->left.releases--;
            if (batch_tracker_prepare_release(&next->runners[r].tracker)) {
                send(*next, r);
                add(std::move(next));
            }
        }
    }

    /* Tries a step on a copy of the state; adds the copy if the step was
     * allowed. */
    template <typename step>
    void
    try_step(const model &m, int r, step do_step)
    {
        auto next = copy(m);
        if (do_step(*next, &next->runners[r].tracker)) {
            add(std::move(next));
        }
    }

    void
    item_steps(const model &m, int r, int item)
    {
        bool is_idempotent = model::is_idempotent(item);
        enum batch_item_state state =
            batch_tracker_state(&m.runners[r].tracker, item);
        bool is_running = state == BATCH_ITEM_RUNNING;

        if (state == BATCH_ITEM_INTERRUPTED) {
            n_interrupted++;
            try_step(m, r, [=](model &, struct batch_tracker *tracker) {
                return batch_tracker_end(tracker, item, BATCH_ITEM_FAILED);
            });
            return;
        }
        if (m.runners[r].has_seen_cancel) {
            if (!is_running || is_idempotent) {
                try_step(m, r, [=](model &, struct batch_tracker *tracker) {
                    return batch_tracker_end(tracker, item,
                                             BATCH_ITEM_CANCELLED);
                });
            }
        }
        else {
            if (!is_idempotent) {
                try_step(m, r, [=](model &, struct batch_tracker *tracker) {
                    return batch_tracker_request_begin(tracker, item);
                });
            }
            try_step(m, r, [=](model &next, struct batch_tracker *tracker) {
                next.runs[item]++;
                return next.runs[item] < 5 &&
                       batch_tracker_start(tracker, item, is_idempotent);
            });
        }
        if (is_running) {
            try_step(m, r, [=](model &, struct batch_tracker *tracker) {
                return batch_tracker_end(tracker, item, BATCH_ITEM_COMPLETED);
            });
        }
        if (is_running && m.left.refusals > 0) {
            /* The server refused the item without running it, or the item was
             * preempted. */
            try_step(m, r, [=](model &next, struct batch_tracker *tracker) {
                next.left.refusals--;
                next.runs[item]--;
                return batch_tracker_undo_start(tracker, item, is_idempotent);
            });
        }
    }
};

/* The invariants of checker::check and check_write must hold in all reachable
 * states; most important, a non-idempotent item is never sent twice.  Each row
 * bounds the events of one search. */
TEST(TrackerModel, EveryInterleavingKeepsInvariants)
{
    /* claims, expiries, lost, crashes, refusals, cancels, releases */
    const struct bounds cases[] = {
        {2, 1, 1, 0, 0, 0, 0}, {2, 0, 1, 1, 0, 0, 0}, {2, 1, 0, 0, 1, 0, 0},
        {2, 1, 0, 0, 0, 1, 0}, {2, 0, 1, 0, 0, 0, 1}, {2, 1, 0, 0, 0, 0, 1},
        {2, 1, 1, 1, 0, 0, 0}, {2, 1, 1, 0, 0, 1, 0}, {1, 0, 2, 0, 1, 0, 1},
    };
    for (const struct bounds &row : cases) {
        checker all;
        all.run(row);
        EXPECT_GT(all.n_ends, 0);
        EXPECT_GT(all.seen.size(), 100u);
        RecordProperty("states", (int)all.seen.size());
        printf("states=%zu ends=%d interrupted=%d\n", all.seen.size(),
               all.n_ends, all.n_interrupted);
        if (all.has_failed) {
            return;
        }
    }
}

/* An item must not start if it is done, if it may have run in an earlier
 * epoch, or if it is non-idempotent and not recorded as begun; and it must not
 * get two results. */
TEST(Tracker, StartNeedsTheRightState)
{
    struct batch_shard shard;
    struct batch_tracker tracker;
    batch_shard_init(&shard, 3);
    batch_set_bit(shard.done, 0, true);
    shard.counts.completed = 1;
    batch_set_bit(shard.begun, 1, true);
    batch_shard_claim(&shard, "a", "c1");
    batch_tracker_init(&tracker, &shard, 7);
    EXPECT_FALSE(batch_tracker_start(&tracker, 0, true));
    EXPECT_EQ(batch_tracker_state(&tracker, 1), BATCH_ITEM_INTERRUPTED);
    EXPECT_FALSE(batch_tracker_start(&tracker, 1, false));
    EXPECT_FALSE(batch_tracker_start(&tracker, 2, false));
    EXPECT_TRUE(batch_tracker_request_begin(&tracker, 2));
    EXPECT_FALSE(batch_tracker_start(&tracker, 2, false));
    EXPECT_TRUE(batch_tracker_prepare(&tracker));
    EXPECT_FALSE(batch_tracker_prepare(&tracker));
    EXPECT_FALSE(batch_tracker_end(&tracker, 2, BATCH_ITEM_CANCELLED));
    batch_tracker_written(&tracker, 8);
    EXPECT_TRUE(batch_tracker_start(&tracker, 2, false));
    EXPECT_FALSE(batch_tracker_prepare_release(&tracker));
    EXPECT_TRUE(batch_tracker_end(&tracker, 2, BATCH_ITEM_COMPLETED));
    EXPECT_FALSE(batch_tracker_end(&tracker, 2, BATCH_ITEM_COMPLETED));
    batch_tracker_finish(&tracker);
    batch_shard_finish(&shard);
}
