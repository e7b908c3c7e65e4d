/*
 * The shard's state machine against its promises, over every interleaving of
 * two runners' steps, with lapsed leases, lost and late writes, crashes,
 * refusals and a cancel.
 */
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

#include "batch/tracker.h"

enum { N_ITEMS = 2, N_RUNNERS = 2 };

static const char *const RUNNERS[N_RUNNERS] = {"a", "b"};

/* What is bounded, so that the states are finite. */
struct bounds {
    int claims, lapses, lost, crashes, refusals, cancels, releases;
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

/* A write on its way; it may arrive at any time, or never. */
struct message {
    struct batch_shard shard;
    int64_t expect;
    bool is_answered; /* the runner still waits for this one */
};

struct runner {
    bool has_shard = false;
    struct batch_tracker holder;
    std::vector<message> sent;
    bool sees_cancel = false;
};

struct model {
    bool is_there = false; /* the record */
    struct batch_shard record;
    int64_t revision = 0;
    bool is_lapsed[N_RUNNERS] = {};
    bool is_cancelled = false;
    runner runners[N_RUNNERS];
    int runs[N_ITEMS] = {}; /* times that a server was sent the item */
    struct bounds left;
    /* Which items are idempotent: the first one is. */
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
        : is_there(from.is_there), revision(from.revision),
          is_cancelled(from.is_cancelled), left(from.left)
    {
        batch_shard_copy(&record, &from.record);
        memcpy(is_lapsed, from.is_lapsed, sizeof(is_lapsed));
        memcpy(runs, from.runs, sizeof(runs));
        for (int r = 0; r < N_RUNNERS; r++) {
            runners[r].has_shard = from.runners[r].has_shard;
            runners[r].sees_cancel = from.runners[r].sees_cancel;
            if (runners[r].has_shard) {
                copy_tracker(&runners[r].holder, &from.runners[r].holder);
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
                batch_tracker_finish(&r.holder);
            }
            for (message &sent : r.sent) {
                batch_shard_finish(&sent.shard);
            }
        }
    }

    void
    drop(int r)
    {
        batch_tracker_finish(&runners[r].holder);
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

static std::string
key_of(const model &m)
{
    std::string key = m.is_there ? "r" : "-";
    add_shard(key, m.record);
    key += std::to_string(m.revision);
    key += m.is_cancelled ? 'x' : '.';
    for (int r = 0; r < N_RUNNERS; r++) {
        const runner &runner = m.runners[r];
        key += m.is_lapsed[r] ? 'l' : '.';
        key += runner.has_shard ? 'h' : '.';
        key += runner.sees_cancel ? 'x' : '.';
        if (runner.has_shard) {
            const struct batch_tracker &holder = runner.holder;
            add_shard(key, holder.record);
            key += std::to_string(holder.revision);
            key += holder.is_writing ? 'w' : '.';
            key += holder.is_lost ? 'l' : '.';
            if (holder.is_writing) {
                add_shard(key, holder.next);
            }
            for (int i = 0; i < N_ITEMS; i++) {
                key += (char)('a' + holder.states[i]);
                key += (char)('0' + holder.ends[i]);
            }
        }
        for (const message &sent : runner.sent) {
            key += sent.is_answered ? '!' : '?';
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

    /* The promises that hold in every state. */
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
            fail("the counts differ from the items done", m);
        }
        if (m.record.is_closed != (n_done == N_ITEMS)) {
            fail("closed and done differ", m);
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
                steps_of(*at, r);
            }
            surroundings(*at);
        }
    }

    static std::unique_ptr<model>
    copy(const model &m)
    {
        return std::make_unique<model>(m);
    }

    void
    surroundings(const model &m)
    {
        if (m.left.cancels > 0) {
            auto next = copy(m);
            next->left.cancels--;
            next->is_cancelled = true;
            add(std::move(next));
        }
        for (int r = 0; r < N_RUNNERS; r++) {
            if (m.left.lapses > 0 && !m.is_lapsed[r]) {
                auto next = copy(m);
                next->left.lapses--;
                next->is_lapsed[r] = true;
                add(std::move(next));
            }
            if (m.left.crashes > 0 && m.runners[r].has_shard) {
                auto next = copy(m);
                next->left.crashes--;
                next->drop(r);
                next->is_lapsed[r] = true;
                add(std::move(next));
            }
            for (size_t i = 0; i < m.runners[r].sent.size(); i++) {
                arrive(m, r, i);
            }
        }
    }

    static bool
    may_claim(const model &m, int r)
    {
        if (!m.is_there) {
            return true;
        }
        bool is_own = strcmp(m.record.runner, RUNNERS[r]) == 0;
        int holder = strcmp(m.record.runner, "a") == 0 ? 0 : 1;
        bool is_alive = is_own ? m.runners[r].has_shard : !m.is_lapsed[holder];
        return batch_shard_may_claim(&m.record, is_alive);
    }

    /* A claim takes effect at once; its answer may be lost. */
    void
    claim(const model &m, int r, bool is_answer_lost)
    {
        auto next = copy(m);
        next->left.claims--;
        next->is_there = true;
        batch_shard_claim(&next->record, RUNNERS[r], RUNNERS[r]);
        next->revision++;
        if (is_answer_lost) {
            next->left.lost--;
        }
        else {
            batch_tracker_init(&next->runners[r].holder, &next->record,
                               next->revision);
            next->runners[r].has_shard = true;
            next->runners[r].sees_cancel = next->is_cancelled;
        }
        add(std::move(next));
    }

    static void
    send(model &m, int r)
    {
        message sent = {};
        batch_shard_copy(&sent.shard, &m.runners[r].holder.next);
        sent.expect = m.runners[r].holder.revision;
        sent.is_answered = true;
        m.runners[r].sent.push_back(sent);
    }

    /* A write arrives: it takes effect if nothing came before it, and the
     * answer reaches the runner, or is lost. */
    void
    arrive(const model &m, int r, size_t index)
    {
        for (bool is_answer_lost : {false, true}) {
            if (is_answer_lost &&
                (m.left.lost == 0 || !m.runners[r].sent[index].is_answered)) {
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
            bool is_heard = sent.is_answered && runner.has_shard &&
                            runner.holder.is_writing;
            if (is_answer_lost) {
                next->left.lost--;
                if (is_heard) {
                    send(*next, r);
                }
            }
            else if (is_heard) {
                hear(*next, r, is_ok);
            }
            add(std::move(next));
        }
    }

    static void
    hear(model &m, int r, bool is_ok)
    {
        struct batch_tracker &holder = m.runners[r].holder;
        if (is_ok) {
            batch_tracker_written(&holder, m.revision);
            if (holder.record.is_closed || holder.record.runner[0] == '\0') {
                m.drop(r);
            }
        }
        else if (batch_tracker_conflict(&holder, &m.record, m.revision)) {
            send(m, r);
        }
        else {
            m.drop(r);
        }
    }

    /* A write that takes effect keeps what was done and comes from the
     * epoch of the record. */
    void
    check_write(const model &m, const struct batch_shard &shard)
    {
        if (shard.epoch != m.record.epoch) {
            fail("an old epoch committed", m);
        }
        if ((m.record.done[0] & ~shard.done[0]) != 0) {
            fail("an item that was done is no more", m);
        }
    }

    /* The write times out: it is sent again, and the first one may still
     * arrive. */
    void
    time_out(const model &m, int r)
    {
        auto next = copy(m);
        next->left.lost--;
        for (message &sent : next->runners[r].sent) {
            sent.is_answered = false;
        }
        send(*next, r);
        add(std::move(next));
    }

    void
    steps_of(const model &m, int r)
    {
        const runner &runner = m.runners[r];
        if (!runner.has_shard) {
            if (m.left.claims > 0 && may_claim(m, r) && !m.is_cancelled) {
                claim(m, r, false);
                if (m.left.lost > 0) {
                    claim(m, r, true);
                }
            }
            if (m.left.claims > 0 && m.is_there && may_claim(m, r) &&
                m.is_cancelled) {
                claim(m, r, false);
            }
            return;
        }
        if (m.is_cancelled && !runner.sees_cancel) {
            auto next = copy(m);
            next->runners[r].sees_cancel = true;
            add(std::move(next));
        }
        if (runner.holder.is_writing && m.left.lost > 0) {
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
        const struct batch_tracker &holder = m.runners[r].holder;
        if (batch_tracker_is_dirty(&holder) && !holder.is_writing) {
            auto next = copy(m);
            if (batch_tracker_prepare(&next->runners[r].holder)) {
                send(*next, r);
                add(std::move(next));
            }
        }
        if (m.left.releases > 0) {
            auto next = copy(m);
            next->left.releases--;
            if (batch_tracker_prepare_release(&next->runners[r].holder)) {
                send(*next, r);
                add(std::move(next));
            }
        }
    }

    /* Does a step on a copy; keeps it when the step was allowed. */
    template <typename step>
    void
    try_step(const model &m, int r, step do_step)
    {
        auto next = copy(m);
        if (do_step(*next, &next->runners[r].holder)) {
            add(std::move(next));
        }
    }

    void
    item_steps(const model &m, int r, int item)
    {
        bool is_idempotent = model::is_idempotent(item);
        enum batch_item_state state =
            batch_tracker_state(&m.runners[r].holder, item);
        bool is_running = state == BATCH_ITEM_RUNNING;

        if (state == BATCH_ITEM_INTERRUPTED) {
            n_interrupted++;
            try_step(m, r, [=](model &, struct batch_tracker *holder) {
                return batch_tracker_end(holder, item, BATCH_ITEM_FAILED);
            });
            return;
        }
        if (m.runners[r].sees_cancel) {
            if (!is_running || is_idempotent) {
                try_step(m, r, [=](model &, struct batch_tracker *holder) {
                    return batch_tracker_end(holder, item,
                                             BATCH_ITEM_CANCELLED);
                });
            }
        }
        else {
            if (!is_idempotent) {
                try_step(m, r, [=](model &, struct batch_tracker *holder) {
                    return batch_tracker_request_begin(holder, item);
                });
            }
            try_step(m, r, [=](model &next, struct batch_tracker *holder) {
                next.runs[item]++;
                return next.runs[item] < 5 &&
                       batch_tracker_start(holder, item, is_idempotent);
            });
        }
        if (is_running) {
            try_step(m, r, [=](model &, struct batch_tracker *holder) {
                return batch_tracker_end(holder, item, BATCH_ITEM_COMPLETED);
            });
        }
        if (is_running && m.left.refusals > 0) {
            /* Refused without having run, or cut to make room. */
            try_step(m, r, [=](model &next, struct batch_tracker *holder) {
                next.left.refusals--;
                next.runs[item]--;
                return batch_tracker_unstart(holder, item, is_idempotent);
            });
        }
    }
};

TEST(HolderModel, EveryInterleavingKeepsThePromises)
{
    /* claims, lapses, lost, crashes, refusals, cancels, releases */
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

TEST(Holder, StartNeedsTheRightState)
{
    struct batch_shard shard;
    struct batch_tracker holder;
    batch_shard_init(&shard, 3);
    batch_set_bit(shard.done, 0, true);
    shard.counts.completed = 1;
    batch_set_bit(shard.begun, 1, true);
    batch_shard_claim(&shard, "a", "c1");
    batch_tracker_init(&holder, &shard, 7);
    EXPECT_FALSE(batch_tracker_start(&holder, 0, true));
    EXPECT_EQ(batch_tracker_state(&holder, 1), BATCH_ITEM_INTERRUPTED);
    EXPECT_FALSE(batch_tracker_start(&holder, 1, false));
    EXPECT_FALSE(batch_tracker_start(&holder, 2, false));
    EXPECT_TRUE(batch_tracker_request_begin(&holder, 2));
    EXPECT_FALSE(batch_tracker_start(&holder, 2, false));
    EXPECT_TRUE(batch_tracker_prepare(&holder));
    EXPECT_FALSE(batch_tracker_prepare(&holder));
    EXPECT_FALSE(batch_tracker_end(&holder, 2, BATCH_ITEM_CANCELLED));
    batch_tracker_written(&holder, 8);
    EXPECT_TRUE(batch_tracker_start(&holder, 2, false));
    EXPECT_FALSE(batch_tracker_prepare_release(&holder));
    EXPECT_TRUE(batch_tracker_end(&holder, 2, BATCH_ITEM_COMPLETED));
    EXPECT_FALSE(batch_tracker_end(&holder, 2, BATCH_ITEM_COMPLETED));
    batch_tracker_finish(&holder);
    batch_shard_finish(&shard);
}
