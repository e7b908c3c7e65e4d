#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>

#include "contracts/test_support.h"

namespace {

enum { SLOTS = 12, TICK_MS = 10, DURATION_MS = 8000 };

struct AdmissionRecord {
    struct contracts_admission admission;
    int64_t requested_ms;
    int n_answers;
    bool needs_no_answer; /* its holder was lost before an answer */
};

struct HeldContract {
    std::string holder;
    bool is_batch;
    int slots;
    int64_t until_ms;   /* online: when it ends */
    int64_t preempt_ms; /* batch: when `preempting` slots are released */
    int preempting;
};

/* Holders that request, release and renew contracts, answer preemptions and
 * die at random. */
class Holders {
  public:
    explicit Holders(guint32 seed)
        : controller(make_desc(SLOTS)), rand(g_rand_new_with_seed(seed))
    {
    }
    ~Holders()
    {
        g_rand_free(rand);
    }
    void run();

  private:
    void request_admission(int64_t now_ms);
    void receive_events(int64_t now_ms, bool online_waited);
    void release_due(int64_t now_ms);
    void lose_holder(int64_t now_ms);
    void release_all(int64_t now_ms);
    int
    pick(int from, int to)
    {
        return g_rand_int_range(rand, from, to);
    }

    TestController controller;
    GRand *rand;
    uint64_t last_id = 0;
    std::map<uint64_t, AdmissionRecord> admissions;
    std::map<uint64_t, HeldContract> held;
};

void
Holders::request_admission(int64_t now_ms)
{
    enum contracts_class kind = (enum contracts_class)pick(0, 3);
    struct contracts_admission admission =
        make_admission(++last_id, kind, pick(0, 4) * 50, pick(1, 8));

    admission.term_ms = 500;
    admission.weight = pick(1, 4);
    g_snprintf(admission.holder, sizeof(admission.holder), "n%d", pick(0, 4));
    g_snprintf(admission.operator_name, sizeof(admission.operator_name), "o%d",
               pick(0, 5));
    if (kind == CONTRACTS_BATCH && !held.empty() && pick(0, 2) == 0) {
        auto at = held.begin();
        std::advance(at, pick(0, (int)held.size()));
        if (at->second.is_batch && at->second.holder == admission.holder) {
            admission.renew = at->first;
        }
    }
    admissions[admission.ask_id] = {admission, now_ms, 0, false};
    contracts_controller_admit(controller.raw, &admission, now_ms,
                               controller.collected);
}

void
Holders::receive_events(int64_t now_ms, bool online_waited)
{
    for (const auto &event : controller.take_events()) {
        if (event.kind == CONTRACTS_PREEMPT) {
            ASSERT_TRUE(held.count(event.contract));
            HeldContract &contract = held[event.contract];
            ASSERT_LE(contract.preempting + event.slots, contract.slots)
                << "asked for more slots than held";
            contract.preempting += event.slots;
            contract.preempt_ms = now_ms + pick(5, 100);
            continue;
        }
        AdmissionRecord &record = admissions[event.ask_id];
        ASSERT_EQ(++record.n_answers, 1) << "ask id " << event.ask_id;
        ASSERT_FALSE(record.needs_no_answer);
        ASSERT_LE(now_ms,
                  record.requested_ms + record.admission.wait_ms + TICK_MS);
        if (event.answer != CONTRACTS_GRANTED) {
            continue;
        }
        bool is_batch = record.admission.class_ == CONTRACTS_BATCH;
        ASSERT_LE(event.slots, is_batch ? record.admission.slots : 1);
        ASSERT_GT(event.slots, 0);
        HeldContract &contract = held[event.contract];
        int before = contract.slots - contract.preempting;
        ASSERT_FALSE(is_batch && online_waited && event.slots > before)
            << "batch grew while online waited";
        if (record.admission.slots < before) {
            /* Renewal with fewer slots released the others, including those
             * being preempted. */
            contract.preempting = 0;
        }
        contract.holder = record.admission.holder;
        contract.is_batch = is_batch;
        contract.slots = event.slots + contract.preempting;
        contract.until_ms = now_ms + pick(20, 600);
    }
}

void
Holders::release_due(int64_t now_ms)
{
    std::vector<uint64_t> ids;
    for (const auto &entry : held) {
        ids.push_back(entry.first);
    }
    for (uint64_t id : ids) {
        HeldContract &contract = held[id];
        int remaining = contract.slots;
        if (contract.is_batch && contract.preempting > 0 &&
            now_ms >= contract.preempt_ms) {
            remaining -= contract.preempting;
        }
        else if (now_ms >= contract.until_ms) {
            remaining = 0;
        }
        if (remaining == contract.slots) {
            continue;
        }
        contract.slots = remaining;
        contract.preempting = 0;
        if (remaining == 0) {
            held.erase(id);
        }
        contracts_controller_shrink(controller.raw, id, remaining, nullptr,
                                    now_ms, controller.collected);
        receive_events(now_ms, false);
    }
}

void
Holders::lose_holder(int64_t now_ms)
{
    char holder[8];

    g_snprintf(holder, sizeof(holder), "n%d", pick(0, 4));
    for (auto &entry : admissions) {
        entry.second.needs_no_answer |=
            entry.second.n_answers == 0 &&
            entry.second.admission.holder == std::string(holder);
    }
    for (auto at = held.begin(); at != held.end();) {
        at = at->second.holder == holder ? held.erase(at) : std::next(at);
    }
    contracts_controller_holder_lost(controller.raw, holder, now_ms,
                                     controller.collected);
    receive_events(now_ms, false);
}

void
Holders::release_all(int64_t now_ms)
{
    while (!held.empty()) {
        uint64_t id = held.begin()->first;
        held.erase(held.begin());
        contracts_controller_release(controller.raw, id, nullptr, now_ms,
                                     controller.collected);
        receive_events(now_ms, false);
    }
    for (int i = 0; i < 50; i++) {
        now_ms += TICK_MS;
        controller.tick(now_ms);
    }
    struct contracts_load load = controller.load();
    EXPECT_EQ(load.online, 0);
    EXPECT_EQ(load.batch, 0);
    EXPECT_EQ(load.queued, 0);
}

void
Holders::run()
{
    int64_t now_ms = 1000;

    for (; now_ms < DURATION_MS; now_ms += TICK_MS) {
        release_due(now_ms);
        for (int n = pick(0, 3); n > 0; n--) {
            /* With no slot free, online requests wait for a slot, so batch
             * must not grow. */
            bool is_waiting =
                controller.load().queued > 0 &&
                controller.load().online + controller.load().batch >=
                    controller.load().window;
            request_admission(now_ms);
            receive_events(now_ms, is_waiting);
        }
        if (pick(0, 200) == 0) {
            lose_holder(now_ms);
        }
        contracts_controller_tick(controller.raw, now_ms,
                                  controller.collected);
        receive_events(now_ms, false);
        struct contracts_load load = controller.load();
        int slots = 0;
        for (const auto &entry : held) {
            slots += entry.second.slots;
        }
        ASSERT_LE(load.online + load.batch, load.window);
        ASSERT_EQ(load.online + load.batch, slots)
            << "the controller's and the holders' counts differ";
        if (::testing::Test::HasFatalFailure()) {
            return;
        }
    }
    for (auto &entry : admissions) {
        bool is_due = entry.second.requested_ms +
                          entry.second.admission.wait_ms + TICK_MS <
                      now_ms;
        if (is_due && !entry.second.needs_no_answer) {
            EXPECT_EQ(entry.second.n_answers, 1) << "ask id " << entry.first;
        }
    }
    release_all(now_ms);
}

} // namespace

/* In any order of events every admission request gets one answer in time, the
 * window is not exceeded, controller and holders agree on the slots held, and
 * no slot is left over. */
TEST(ControllerRandom, InvariantsHoldForAnyOrderOfEvents)
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
