#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>

#include "contracts/test_support.h"

namespace {

enum { SLOTS = 12, TICK_MS = 10, LENGTH_MS = 8000 };

struct Asked {
    struct contracts_admission ask;
    int64_t asked_ms;
    int answers;
    bool is_excused; /* cancelled, or its holder lost */
};

struct Held {
    std::string holder;
    bool is_batch;
    int slots;
    int64_t until_ms;   /* online: when it ends */
    int64_t preempt_ms; /* batch: when `preempting` slots go back */
    int preempting;
};

/* Holders that ask, release, renew, preempt and die at random. */
class Holders {
  public:
    explicit Holders(guint32 seed)
        : table(make_desc(SLOTS)), rand(g_rand_new_with_seed(seed))
    {
    }
    ~Holders()
    {
        g_rand_free(rand);
    }
    void run();

  private:
    void ask(int64_t now_ms);
    void listen(int64_t now_ms, bool online_waited);
    void work(int64_t now_ms);
    void lose(int64_t now_ms);
    void finish(int64_t now_ms);
    int
    pick(int from, int to)
    {
        return g_rand_int_range(rand, from, to);
    }

    Table table;
    GRand *rand;
    uint64_t last_id = 0;
    std::map<uint64_t, Asked> asked;
    std::map<uint64_t, Held> held;
};

void
Holders::ask(int64_t now_ms)
{
    enum contracts_class kind = (enum contracts_class)pick(0, 3);
    struct contracts_admission ask =
        make_admission(++last_id, kind, pick(0, 4) * 50, pick(1, 8));

    ask.term_ms = 500;
    ask.weight = pick(1, 4);
    g_snprintf(ask.holder, sizeof(ask.holder), "n%d", pick(0, 4));
    g_snprintf(ask.operator_name, sizeof(ask.operator_name), "o%d",
               pick(0, 5));
    if (kind == CONTRACTS_BATCH && !held.empty() && pick(0, 2) == 0) {
        auto at = held.begin();
        std::advance(at, pick(0, (int)held.size()));
        if (at->second.is_batch && at->second.holder == ask.holder) {
            ask.renew = at->first;
        }
    }
    asked[ask.ask_id] = {ask, now_ms, 0, false};
    contracts_controller_admit(table.keeper, &ask, now_ms, table.events);
}

void
Holders::listen(int64_t now_ms, bool online_waited)
{
    for (const auto &event : table.take()) {
        if (event.kind == CONTRACTS_PREEMPT) {
            ASSERT_TRUE(held.count(event.contract));
            Held &contract = held[event.contract];
            ASSERT_LE(contract.preempting + event.slots, contract.slots)
                << "more asked back than held";
            contract.preempting += event.slots;
            contract.preempt_ms = now_ms + pick(5, 100);
            continue;
        }
        Asked &one = asked[event.ask_id];
        ASSERT_EQ(++one.answers, 1) << "ask " << event.ask_id;
        ASSERT_FALSE(one.is_excused);
        ASSERT_LE(now_ms, one.asked_ms + one.ask.wait_ms + TICK_MS);
        if (event.answer != CONTRACTS_GRANTED) {
            continue;
        }
        bool is_batch = one.ask.class_ == CONTRACTS_BATCH;
        ASSERT_LE(event.slots, is_batch ? one.ask.slots : 1);
        ASSERT_GT(event.slots, 0);
        Held &contract = held[event.contract];
        int before = contract.slots - contract.preempting;
        ASSERT_FALSE(is_batch && online_waited && event.slots > before)
            << "batch grew while online waited";
        if (one.ask.slots < before) {
            /* The holder asked to go on with fewer: the rest is back. */
            contract.preempting = 0;
        }
        contract.holder = one.ask.holder;
        contract.is_batch = is_batch;
        contract.slots = event.slots + contract.preempting;
        contract.until_ms = now_ms + pick(20, 600);
    }
}

void
Holders::work(int64_t now_ms)
{
    std::vector<uint64_t> ids;
    for (const auto &entry : held) {
        ids.push_back(entry.first);
    }
    for (uint64_t id : ids) {
        Held &contract = held[id];
        int left = contract.slots;
        if (contract.is_batch && contract.preempting > 0 &&
            now_ms >= contract.preempt_ms) {
            left -= contract.preempting;
        }
        else if (now_ms >= contract.until_ms) {
            left = 0;
        }
        if (left == contract.slots) {
            continue;
        }
        contract.slots = left;
        contract.preempting = 0;
        if (left == 0) {
            held.erase(id);
        }
        contracts_controller_shrink(table.keeper, id, left, nullptr, now_ms,
                                    table.events);
        listen(now_ms, false);
    }
}

void
Holders::lose(int64_t now_ms)
{
    char holder[8];

    g_snprintf(holder, sizeof(holder), "n%d", pick(0, 4));
    for (auto &entry : asked) {
        entry.second.is_excused |=
            entry.second.answers == 0 &&
            entry.second.ask.holder == std::string(holder);
    }
    for (auto at = held.begin(); at != held.end();) {
        at = at->second.holder == holder ? held.erase(at) : std::next(at);
    }
    contracts_controller_holder_lost(table.keeper, holder, now_ms,
                                     table.events);
    listen(now_ms, false);
}

void
Holders::finish(int64_t now_ms)
{
    while (!held.empty()) {
        uint64_t id = held.begin()->first;
        held.erase(held.begin());
        contracts_controller_release(table.keeper, id, nullptr, now_ms,
                                     table.events);
        listen(now_ms, false);
    }
    for (int i = 0; i < 50; i++) {
        now_ms += TICK_MS;
        table.tick(now_ms);
    }
    struct contracts_load load = table.load();
    EXPECT_EQ(load.online, 0);
    EXPECT_EQ(load.batch, 0);
    EXPECT_EQ(load.queued, 0);
}

void
Holders::run()
{
    int64_t now_ms = 1000;

    for (; now_ms < LENGTH_MS; now_ms += TICK_MS) {
        work(now_ms);
        for (int n = pick(0, 3); n > 0; n--) {
            /* With no slot free and none held by long ones, whoever waits
             * waits for a slot. */
            bool is_waiting = table.load().queued > 0 &&
                              table.load().online + table.load().batch >=
                                  table.load().window;
            ask(now_ms);
            listen(now_ms, is_waiting);
        }
        if (pick(0, 200) == 0) {
            lose(now_ms);
        }
        contracts_controller_tick(table.keeper, now_ms, table.events);
        listen(now_ms, false);
        struct contracts_load load = table.load();
        int slots = 0;
        for (const auto &entry : held) {
            slots += entry.second.slots;
        }
        ASSERT_LE(load.online + load.batch, load.window);
        ASSERT_EQ(load.online + load.batch, slots)
            << "the keeper's and the holders' counts differ";
        if (::testing::Test::HasFatalFailure()) {
            return;
        }
    }
    for (auto &entry : asked) {
        bool is_due =
            entry.second.asked_ms + entry.second.ask.wait_ms + TICK_MS <
            now_ms;
        if (is_due && !entry.second.is_excused) {
            EXPECT_EQ(entry.second.answers, 1) << "ask " << entry.first;
        }
    }
    finish(now_ms);
}

} // namespace

TEST(KeeperRandom, InvariantsHoldForAnyOrderOfEvents)
{
    for (guint32 seed = 1; seed <= 300; seed++) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Holders holders(seed);
        holders.run();
        if (::testing::Test::HasFailure()) {
            return;
        }
    }
}
