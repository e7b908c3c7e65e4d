#include <gtest/gtest.h>

#include <map>
#include <string>

#include "contracts/test_support.h"

/* Batch fills a server; an online request preempts slots once, not again with
 * every tick, and runs as soon as one is released. */
TEST(Controller, OnlineRequestWaitsForPreemptedBatchSlot)
{
    TestController controller(make_desc(4));

    auto events =
        controller.admit(make_admission(1, CONTRACTS_BATCH, 0, 8), 10);
    ASSERT_EQ(events.size(), 1u);
    EXPECT_EQ(events[0].answer, CONTRACTS_GRANTED);
    EXPECT_EQ(events[0].slots, 4);
    uint64_t batch_contract = events[0].contract;

    events = controller.admit(
        make_admission(2, CONTRACTS_ONLINE_SHORT, 500, 0), 20);
    ASSERT_EQ(events.size(), 1u);
    EXPECT_EQ(events[0].kind, CONTRACTS_PREEMPT);
    EXPECT_EQ(events[0].contract, batch_contract);
    /* One slot for the request and one for the reserve. */
    EXPECT_EQ(events[0].slots, 2);
    EXPECT_TRUE(controller.tick(25).empty())
        << "the holder is asked only once";

    events = controller.shrink(batch_contract, 3, 30);
    ASSERT_EQ(events.size(), 1u);
    EXPECT_EQ(events[0].answer, CONTRACTS_GRANTED);
    EXPECT_EQ(events[0].ask_id, 2u);
    controller.shrink(events[0].contract, 0, 40);
    controller.shrink(batch_contract, 0, 40);
    EXPECT_EQ(controller.load().online + controller.load().batch +
                  controller.load().queued,
              0);
}

/* With batch_fills there is no reserve, so even an online request that may not
 * wait is queued for a preempted batch slot rather than answered busy. */
TEST(Controller, BatchFillsOnlineRequestThatMayNotWaitPreempts)
{
    struct contracts_controller_desc desc = make_desc(4);
    desc.batch_fills = true;
    TestController controller(desc);

    auto events =
        controller.admit(make_admission(1, CONTRACTS_BATCH, 0, 8), 10);
    ASSERT_EQ(events.size(), 1u);
    EXPECT_EQ(events[0].slots, 4) << "no reserve";
    uint64_t batch_contract = events[0].contract;

    events =
        controller.admit(make_admission(2, CONTRACTS_ONLINE_SHORT, 0, 0), 20);
    ASSERT_EQ(events.size(), 1u);
    EXPECT_EQ(events[0].kind, CONTRACTS_PREEMPT);
    EXPECT_EQ(events[0].slots, 1);
    events = controller.shrink(batch_contract, 3, 30);
    ASSERT_EQ(events.size(), 1u);
    EXPECT_EQ(events[0].answer, CONTRACTS_GRANTED);
    EXPECT_EQ(events[0].ask_id, 2u);
}

/* With batch_fills, an online request must not wait for a preempted slot when
 * as many requests wait already as there are batch slots to preempt. */
TEST(Controller, BatchFillsOnlineRequestIsBusyWithoutBatchSlot)
{
    struct contracts_controller_desc desc = make_desc(2);
    desc.batch_fills = true;
    TestController controller(desc);

    controller.admit(make_admission(1, CONTRACTS_ONLINE_SHORT, 0, 0), 10);
    controller.admit(make_admission(2, CONTRACTS_BATCH, 0, 1), 10);
    auto events =
        controller.admit(make_admission(3, CONTRACTS_ONLINE_SHORT, 0, 0), 20);
    ASSERT_EQ(events.size(), 1u);
    EXPECT_EQ(events[0].kind, CONTRACTS_PREEMPT);
    events =
        controller.admit(make_admission(4, CONTRACTS_ONLINE_SHORT, 0, 0), 21);
    ASSERT_EQ(events.size(), 1u);
    EXPECT_EQ(events[0].answer, CONTRACTS_BUSY);
    /* The request gets an answer although the batch slot is never released. */
    events = controller.tick(400);
    ASSERT_EQ(events.size(), 1u);
    EXPECT_EQ(events[0].answer, CONTRACTS_BUSY);
    EXPECT_EQ(events[0].ask_id, 3u);
}

/* Checks the answer to a request of each class, given the slots held before
 * and the configured shares. */
TEST(Controller, AnswersByCases)
{
    struct {
        const char *name;
        int slots;
        double long_share;
        double batch_share;
        int shorts; /* held before */
        int longs;  /* held before */
        enum contracts_class kind;
        int64_t wait_ms;
        int want_answers;
        enum contracts_answer want;
        int want_slots;
    } cases[] = {
        {"a free slot", 4, .5, 1, 3, 0, CONTRACTS_ONLINE_SHORT, 0, 1,
         CONTRACTS_GRANTED, 1},
        {"none, may not wait", 4, .5, 1, 4, 0, CONTRACTS_ONLINE_SHORT, 0, 1,
         CONTRACTS_BUSY, 0},
        {"none, may wait", 4, .5, 1, 4, 0, CONTRACTS_ONLINE_SHORT, 100, 0,
         CONTRACTS_BUSY, 0},
        {"long within its cap", 4, .5, 1, 0, 1, CONTRACTS_ONLINE_LONG, 0, 1,
         CONTRACTS_GRANTED, 1},
        {"long beyond its cap", 4, .5, 1, 0, 2, CONTRACTS_ONLINE_LONG, 0, 1,
         CONTRACTS_BUSY, 0},
        {"short beyond the long requests' cap", 4, .5, 1, 0, 2,
         CONTRACTS_ONLINE_SHORT, 0, 1, CONTRACTS_GRANTED, 1},
        {"one long request always fits", 4, 0, 1, 0, 0, CONTRACTS_ONLINE_LONG,
         0, 1, CONTRACTS_GRANTED, 1},
        {"batch leaves the reserve", 4, .5, 1, 1, 0, CONTRACTS_BATCH, 0, 1,
         CONTRACTS_GRANTED, 2},
        {"batch within its share", 8, .5, .25, 1, 0, CONTRACTS_BATCH, 0, 1,
         CONTRACTS_GRANTED, 2},
        {"only the reserve is free for batch", 4, .5, 1, 3, 0, CONTRACTS_BATCH,
         0, 1, CONTRACTS_BUSY, 0},
    };

    for (const auto &row : cases) {
        SCOPED_TRACE(row.name);
        struct contracts_controller_desc desc = make_desc(row.slots);
        desc.long_share = row.long_share;
        desc.batch_share = row.batch_share;
        TestController controller(desc);
        for (int i = 0; i < row.shorts; i++) {
            controller.admit(make_admission(100, CONTRACTS_ONLINE_SHORT, 0, 0),
                             1000 + i * 200);
        }
        for (int i = 0; i < row.longs; i++) {
            controller.admit(make_admission(100, CONTRACTS_ONLINE_LONG, 0, 0),
                             1000 + i * 200);
        }
        auto events = controller.admit(
            make_admission(1, row.kind, row.wait_ms, 64), 2000);
        ASSERT_EQ((int)events.size(), row.want_answers);
        if (row.want_answers > 0) {
            EXPECT_EQ(events[0].answer, row.want);
            EXPECT_EQ(events[0].slots, row.want_slots);
        }
    }
}

/* Every waiting request gets exactly one answer; a cancelled one gets none. */
TEST(Controller, WaitEndsWithBusyAndCancelWithoutAnswer)
{
    TestController controller(make_desc(1));

    controller.admit(make_admission(1, CONTRACTS_ONLINE_SHORT, 0, 0), 100);
    EXPECT_TRUE(
        controller.admit(make_admission(2, CONTRACTS_ONLINE_SHORT, 50, 0), 100)
            .empty());
    EXPECT_TRUE(
        controller.admit(make_admission(3, CONTRACTS_ONLINE_SHORT, 50, 0), 100)
            .empty());
    contracts_controller_cancel(controller.raw, "n1", 3, 120,
                                controller.collected);
    EXPECT_TRUE(controller.take_events().empty());
    EXPECT_TRUE(controller.tick(149).empty());
    auto events = controller.tick(150);
    ASSERT_EQ(events.size(), 1u);
    EXPECT_EQ(events[0].ask_id, 2u);
    EXPECT_EQ(events[0].answer, CONTRACTS_BUSY);
    EXPECT_EQ(controller.load().queued, 0);
}

/* Grants go to operators in proportion to their weights, and a steady flow of
 * short requests does not starve long ones. */
TEST(Controller, OperatorsAreServedByWeightAndLongIsNotStarved)
{
    const std::map<std::string, double> weights = {
        {"heavy", 3}, {"light", 1}, {"slow", 1}};
    TestController controller(make_desc(4));
    std::map<std::string, int> served;
    std::map<std::string, int> waiting;
    std::vector<uint64_t> running;

    for (int i = 0; i < 4; i++) {
        auto admission = make_admission(1, CONTRACTS_ONLINE_SHORT, 0, 0);
        running.push_back(controller.admit(admission, 0)[0].contract);
    }
    /* Each operator always has 5 requests waiting, as slots are released. */
    for (size_t turn = 0; turn < 400; turn++) {
        for (const auto &entry : weights) {
            const std::string &name = entry.first;
            auto admission =
                make_admission((uint64_t)name[0],
                               name == "slow" ? CONTRACTS_ONLINE_LONG
                                              : CONTRACTS_ONLINE_SHORT,
                               60000, 0);
            admission.weight = entry.second;
            g_strlcpy(admission.operator_name, name.c_str(),
                      sizeof(admission.operator_name));
            for (; waiting[name] < 5; waiting[name]++) {
                ASSERT_TRUE(controller.admit(admission, 1).empty());
            }
        }
        auto events = controller.shrink(running[turn % 4], 0, 1);
        ASSERT_EQ(events.size(), 1u);
        running[turn % 4] = events[0].contract;
        for (const auto &entry : weights) {
            if ((uint64_t)entry.first[0] == events[0].ask_id) {
                served[entry.first]++;
                waiting[entry.first]--;
            }
        }
    }
    EXPECT_EQ(served["slow"], 100) << "one grant in four";
    EXPECT_EQ(served["heavy"], 225);
    EXPECT_EQ(served["light"], 75);
}

/* One operator that fills the queue can't keep others out of it. */
TEST(Controller, FullQueueEvictsFromOperatorWithMostWaiting)
{
    TestController controller(make_desc(1));
    auto admission = make_admission(1, CONTRACTS_ONLINE_SHORT, 1000, 0);

    controller.admit(admission, 10);
    for (uint64_t id = 2; id <= 5; id++) {
        admission.ask_id = id;
        EXPECT_TRUE(controller.admit(admission, 10).empty());
    }
    admission.ask_id = 6;
    auto events = controller.admit(admission, 10);
    ASSERT_EQ(events.size(), 1u);
    EXPECT_EQ(events[0].ask_id, 6u);
    EXPECT_EQ(events[0].answer, CONTRACTS_BUSY);

    admission.ask_id = 7;
    g_strlcpy(admission.operator_name, "light",
              sizeof(admission.operator_name));
    events = controller.admit(admission, 10);
    ASSERT_EQ(events.size(), 1u);
    EXPECT_EQ(events[0].ask_id, 5u) << "the newest of the longest flow";
    EXPECT_EQ(events[0].answer, CONTRACTS_BUSY);
    EXPECT_EQ(controller.load().queued, 4);
}

/* Follows a batch contract from renewal through preemption to the end of its
 * term.  A renewal must not return slots that are being preempted. */
TEST(Controller, BatchContractIsRenewedPreemptedAndLapses)
{
    TestController controller(make_desc(8));
    auto admission = make_admission(1, CONTRACTS_BATCH, 0, 6);
    uint64_t batch_contract = controller.admit(admission, 1000)[0].contract;

    /* Renewed with fewer slots, then with more than the server has. */
    admission.renew = batch_contract;
    admission.slots = 3;
    auto events = controller.admit(admission, 2000);
    EXPECT_EQ(events[0].contract, batch_contract);
    EXPECT_EQ(events[0].slots, 3);
    admission.slots = 20;
    events = controller.admit(admission, 2500);
    EXPECT_EQ(events[0].contract, batch_contract);
    EXPECT_EQ(events[0].slots, 8);

    /* A renewal doesn't grant slots that are being preempted. */
    controller.admit(make_admission(2, CONTRACTS_ONLINE_SHORT, 500, 0), 2600);
    events = controller.admit(admission, 2610);
    EXPECT_EQ(events[0].slots, 6);
    EXPECT_EQ(controller.load().batch, 8);
    events = controller.shrink(batch_contract, 6, 2620);
    EXPECT_EQ(events[0].ask_id, 2u);

    /* The term ends at 4610, the grace period at 5610. */
    controller.tick(5500);
    EXPECT_EQ(controller.load().batch, 6);
    controller.tick(5610);
    EXPECT_EQ(controller.load().batch, 0);
    struct contracts_controller_stats stats;
    contracts_controller_stats(controller.raw, &stats);
    EXPECT_EQ(stats.lapsed_slots, 6);
    EXPECT_EQ(stats.preemptions, 2);
    events = controller.shrink(batch_contract, 2, 5700);
    EXPECT_TRUE(events.empty()) << "a late shrink of a lapsed contract";
    EXPECT_EQ(controller.load().batch, 0);
}

/* A new owner doesn't know the contracts that the former one granted.  Until
 * the holders have reported them it grants only a part of the slots, since the
 * server would be overloaded otherwise. */
TEST(Controller, LimitIsProvisionalUntilHoldersHaveReported)
{
    struct contracts_controller_desc desc = make_desc(16);
    desc.is_rebuilding = true;
    desc.now_ms = 1000;
    TestController controller(desc);
    int granted = 0;

    for (uint64_t id = 1; id <= 8; id++) {
        auto events =
            controller.admit(make_admission(id, CONTRACTS_ONLINE_SHORT, 0, 0),
                             1000 + (int64_t)id);
        granted += events[0].answer == CONTRACTS_GRANTED;
    }
    EXPECT_EQ(granted, 4);
    auto events =
        controller.admit(make_admission(9, CONTRACTS_BATCH, 0, 4), 1010);
    EXPECT_EQ(events[0].answer, CONTRACTS_BUSY)
        << "no batch before the end of the rebuild";

    /* Reports of contracts that another owner granted. */
    contracts_controller_report(controller.raw, "n2", 77,
                                CONTRACTS_ONLINE_LONG, 1, 1020,
                                controller.collected);
    contracts_controller_report(controller.raw, "n2", 78, CONTRACTS_BATCH, 5,
                                1020, controller.collected);
    contracts_controller_report(controller.raw, "n2", 78, CONTRACTS_BATCH, 5,
                                1021, controller.collected);
    EXPECT_EQ(controller.load().online, 5);
    EXPECT_EQ(controller.load().batch, 5);
    contracts_controller_rebuilt(controller.raw);
    events = controller.admit(make_admission(10, CONTRACTS_ONLINE_SHORT, 0, 0),
                              1030);
    EXPECT_EQ(events[0].answer, CONTRACTS_GRANTED);

    /* The holder renews under the old number, and may be lost. */
    auto renewal = make_admission(11, CONTRACTS_BATCH, 0, 5);
    renewal.renew = 78;
    g_strlcpy(renewal.holder, "n2", sizeof(renewal.holder));
    events = controller.admit(renewal, 1040);
    EXPECT_EQ(events[0].contract, 78u);
    contracts_controller_holder_lost(controller.raw, "n2", 1050,
                                     controller.collected);
    EXPECT_EQ(controller.load().online, 5);
    EXPECT_EQ(controller.load().batch, 0);
}

/* The provisional limit bounds the slots held at the same time.  If it bounded
 * the grants since the start, a fleet that has just started would soon serve
 * nothing until the rebuild ends. */
TEST(Controller, ReleasedSlotsAreGrantedAgainWhileRebuilding)
{
    struct contracts_controller_desc desc = make_desc(16);
    desc.is_rebuilding = true;
    desc.now_ms = 1000;
    TestController controller(desc);

    for (uint64_t id = 1; id <= 40; id++) {
        int64_t now_ms = 1000 + (int64_t)id * 10;
        auto events = controller.admit(
            make_admission(id, CONTRACTS_ONLINE_SHORT, 0, 0), now_ms);
        ASSERT_EQ(events[0].answer, CONTRACTS_GRANTED) << id;
        controller.shrink(events[0].contract, 0, now_ms + 5);
    }
    int granted = 0;
    for (uint64_t id = 41; id <= 50; id++) {
        auto events = controller.admit(
            make_admission(id, CONTRACTS_ONLINE_SHORT, 0, 0), 1500);
        granted += events[0].answer == CONTRACTS_GRANTED;
    }
    EXPECT_EQ(granted, 4);
}

/* A holder that never reports must not keep the limit provisional. */
TEST(Controller, ProvisionalLimitEndsWithoutReports)
{
    struct contracts_controller_desc desc = make_desc(4);
    desc.is_rebuilding = true;
    desc.now_ms = 1000;
    TestController controller(desc);

    controller.admit(make_admission(1, CONTRACTS_ONLINE_SHORT, 0, 0), 1000);
    controller.admit(make_admission(2, CONTRACTS_ONLINE_SHORT, 5000, 0), 1000);
    EXPECT_TRUE(controller.tick(2999).empty());
    auto events = controller.tick(3000);
    ASSERT_EQ(events.size(), 1u);
    EXPECT_EQ(events[0].answer, CONTRACTS_GRANTED);
}

/* While a server is leaving, waiting and new requests get an answer at once
 * and no slot; after undrain it grants again. */
TEST(Controller, LeavingServerIsUnavailableUntilUndrained)
{
    TestController controller(make_desc(2));
    uint64_t batch_contract =
        controller.admit(make_admission(1, CONTRACTS_BATCH, 0, 2), 10)[0]
            .contract;
    controller.admit(make_admission(2, CONTRACTS_ONLINE_SHORT, 900, 0), 20);
    controller.admit(make_admission(3, CONTRACTS_BATCH, 900, 2), 20);

    contracts_controller_drain(controller.raw, 30, controller.collected);
    auto events = controller.take_events();
    ASSERT_EQ(events.size(), 2u)
        << "the holder was asked for both slots before";
    EXPECT_EQ(events[0].answer, CONTRACTS_UNAVAILABLE);
    EXPECT_EQ(events[1].answer, CONTRACTS_UNAVAILABLE);
    EXPECT_TRUE(controller.shrink(batch_contract, 0, 40).empty());
    events = controller.admit(
        make_admission(4, CONTRACTS_ONLINE_SHORT, 900, 0), 50);
    EXPECT_EQ(events[0].answer, CONTRACTS_UNAVAILABLE);
    contracts_controller_undrain(controller.raw);
    events = controller.admit(
        make_admission(5, CONTRACTS_ONLINE_SHORT, 900, 0), 60);
    EXPECT_EQ(events[0].answer, CONTRACTS_GRANTED);
}

/* The window shrinks under load, failures and foreign load, but not on a
 * server that is slow without load, and recovers afterwards. */
TEST(Controller, WindowFollowsMeasuredTimes)
{
    struct {
        const char *name;
        int64_t before_us; /* no-load first token */
        int64_t after_us;  /* first token under the tested condition */
        bool failed;
        int foreign; /* foreign requests in the server's load report */
        int least;
        int most;
    } cases[] = {
        {"within the target", 100000, 300000, false, 0, 16, 16},
        {"ten times slower", 100000, 1000000, false, 0, 1, 4},
        {"always slow", 1000000, 1000000, false, 0, 16, 16},
        {"failing", 100000, 100000, true, 0, 1, 4},
        {"foreign load", 100000, 100000, false, 10, 6, 6},
    };

    for (const auto &row : cases) {
        SCOPED_TRACE(row.name);
        TestController controller(make_desc(16));
        int64_t now_ms = 1000;
        for (int i = 0; i < 400; i++) {
            struct contracts_outcome outcome = {};
            bool is_early = i < 40;
            outcome.first_token_us = is_early ? row.before_us : row.after_us;
            outcome.inter_token_us = 20000;
            outcome.tokens = 50;
            outcome.failed = row.failed && !is_early;
            auto events = controller.admit(
                make_admission(1, CONTRACTS_ONLINE_SHORT, 0, 0), now_ms);
            contracts_controller_release(controller.raw, events[0].contract,
                                         &outcome, now_ms + 10,
                                         controller.collected);
            contracts_controller_server_report(controller.raw, row.foreign, 0,
                                               300, now_ms + 15);
            controller.tick(now_ms + 15);
            now_ms += 20;
        }
        EXPECT_GE(controller.load().window, row.least);
        EXPECT_LE(controller.load().window, row.most);
        /* The window recovers once all times are good again. */
        for (int i = 0; i < 40; i++) {
            now_ms += 1000;
            struct contracts_outcome outcome = {};
            outcome.first_token_us = row.before_us;
            auto events = controller.admit(
                make_admission(1, CONTRACTS_ONLINE_SHORT, 0, 0), now_ms);
            contracts_controller_release(controller.raw, events[0].contract,
                                         &outcome, now_ms,
                                         controller.collected);
            controller.tick(now_ms);
        }
        EXPECT_EQ(controller.load().window, 16);
    }
}

/* A load report describes an earlier time.  It is compared with the contracts
 * held then, since requests that have ended meanwhile would otherwise count as
 * foreign load. */
TEST(Controller, LateLoadReportOfHeldContractsIsNotForeignLoad)
{
    TestController controller(make_desc(8));
    std::vector<uint64_t> held;

    for (uint64_t id = 1; id <= 8; id++) {
        held.push_back(
            controller
                .admit(make_admission(id, CONTRACTS_ONLINE_SHORT, 0, 0),
                       1000)[0]
                .contract);
    }
    controller.tick(1050);
    for (uint64_t contract : held) {
        controller.shrink(contract, 0, 1500);
    }
    controller.tick(1600);
    contracts_controller_server_report(controller.raw, 8, 0, 600, 1650);
    EXPECT_EQ(controller.load().window, 8);
    contracts_controller_server_report(controller.raw, 8, 3, 600, 1650);
    EXPECT_EQ(controller.load().window, 5);
    controller.tick(1650 + 600 + 2000);
    EXPECT_EQ(controller.load().window, 8) << "an old report counts no more";
}

/* While rebuilding, the reported window is limited.  With the full window the
 * server would look free and get more requests than its controller may grant.
 */
TEST(Controller, RebuildingControllerReportsTheWindowItGrants)
{
    struct contracts_controller_desc desc = make_desc(8);
    desc.is_rebuilding = true;
    TestController controller(desc);

    EXPECT_EQ(controller.load().window, 2);
    auto first =
        controller.admit(make_admission(1, CONTRACTS_ONLINE_SHORT, 0, 0), 10);
    EXPECT_EQ(controller.load().window, 2);
    contracts_controller_report(controller.raw, "n2", 77,
                                CONTRACTS_ONLINE_SHORT, 1, 20,
                                controller.collected);
    EXPECT_EQ(controller.load().window, 3);
    controller.admit(make_admission(2, CONTRACTS_ONLINE_SHORT, 0, 0), 30);
    EXPECT_EQ(controller.load().window, 3);
    controller.shrink(first[0].contract, 0, 40);
    EXPECT_EQ(controller.load().window, 3);
    contracts_controller_rebuilt(controller.raw);
    EXPECT_EQ(controller.load().window, 8);
}

/* Batch work that is due first gets slots first and is preempted last; late
 * work goes last. */
TEST(Controller, BatchIsGrantedByDueTimeAndPreemptedInReverse)
{
    struct contracts_controller_desc desc = make_desc(2);
    desc.batch_fills = true;
    TestController controller(desc);
    auto batch = [](uint64_t id, int64_t left_ms) {
        struct contracts_admission admission =
            make_admission(id, CONTRACTS_BATCH, 5000, 1);
        admission.prefer_ms = left_ms;
        return admission;
    };

    auto first = controller.admit(batch(1, 9000), 10);
    auto second = controller.admit(batch(2, 3000), 10);
    controller.admit(batch(3, 0), 20); /* late already */
    controller.admit(batch(4, 8000), 20);
    controller.admit(batch(5, 4000), 20);
    /* An online request preempts the contract that is due last. */
    auto events = controller.admit(
        make_admission(6, CONTRACTS_ONLINE_SHORT, 100, 0), 30);
    ASSERT_EQ(events.size(), 1u);
    EXPECT_EQ(events[0].kind, CONTRACTS_PREEMPT);
    EXPECT_EQ(events[0].contract, first[0].contract);
    events = controller.shrink(first[0].contract, 0, 40);
    ASSERT_EQ(events.size(), 1u);
    uint64_t online = events[0].contract;
    /* Free slots go to the work that is due first. */
    std::vector<uint64_t> order;
    for (uint64_t contract : {online, second[0].contract}) {
        for (const auto &event : controller.shrink(contract, 0, 50)) {
            order.push_back(event.ask_id);
            if (order.size() == 2) {
                for (const auto &next :
                     controller.shrink(event.contract, 0, 60)) {
                    order.push_back(next.ask_id);
                }
            }
        }
    }
    EXPECT_EQ(order, (std::vector<uint64_t>{5, 4, 3}));
}
