#include <gtest/gtest.h>

#include "contracts/test_support.h"

namespace {

struct contracts_outcome
first_token(int64_t us)
{
    struct contracts_outcome outcome = {};

    outcome.first_token_us = us;
    return outcome;
}

} // namespace

/* After a late report, requests that don't wait are sent elsewhere until a
 * probe gets its first token in time; requests that wait are still served. */
TEST(Stall, RefusesRequestsThatDoNotWaitUntilProbeIsInTime)
{
    TestController controller(make_desc(8));
    auto no_wait = make_admission(1, CONTRACTS_ONLINE_SHORT, 0, 0);
    auto may_wait = make_admission(2, CONTRACTS_ONLINE_SHORT, 500, 0);
    auto late = first_token(90000);
    auto good = first_token(40000);

    uint64_t first = controller.admit(no_wait, 1000)[0].contract;
    contracts_controller_shrink(controller.raw, first, 1, &late, 1100,
                                controller.collected);
    EXPECT_TRUE(controller.take_events().empty());
    EXPECT_EQ(controller.load().window, 1);
    EXPECT_EQ(controller.admit(no_wait, 1200)[0].answer, CONTRACTS_BUSY);
    EXPECT_EQ(controller.admit(may_wait, 1200)[0].answer, CONTRACTS_GRANTED);

    /* The stall time is over: one probe, and no second one before the first
     * one's result. */
    auto probe = controller.admit(no_wait, 4200);
    EXPECT_EQ(probe[0].answer, CONTRACTS_GRANTED);
    EXPECT_EQ(controller.admit(no_wait, 4210)[0].answer, CONTRACTS_BUSY);

    /* The probe is late, too: the next stall is longer. */
    contracts_controller_shrink(controller.raw, probe[0].contract, 1, &late,
                                4300, controller.collected);
    EXPECT_EQ(controller.admit(no_wait, 12000)[0].answer, CONTRACTS_BUSY);
    probe = controller.admit(no_wait, 12400);
    EXPECT_EQ(probe[0].answer, CONTRACTS_GRANTED);
    contracts_controller_release(controller.raw, probe[0].contract, &good,
                                 12450, controller.collected);
    EXPECT_EQ(controller.admit(no_wait, 12460)[0].answer, CONTRACTS_GRANTED);
    EXPECT_EQ(controller.load().window, 8);
}

/* On a server whose first-token times vary, a late report must cost few
 * requests if the first token arrives shortly after it. */
TEST(Stall, FalseAlarmEndsStallWhenFirstTokenComes)
{
    TestController controller(make_desc(8));
    auto no_wait = make_admission(1, CONTRACTS_ONLINE_SHORT, 0, 0);
    auto late = first_token(90000);
    int64_t now_ms = 1000;
    int refused = 0;

    for (int i = 0; i < 10; i++) {
        uint64_t held = controller.admit(no_wait, now_ms)[0].contract;
        contracts_controller_shrink(controller.raw, held, 1, &late,
                                    now_ms + 10, controller.collected);
        refused = 0;
        /* The first token comes a little later. */
        auto late_token = first_token(110000);
        late_token.tokens = 1;
        for (int step = 0; step < 300; step++) {
            auto events = controller.admit(no_wait, now_ms + 12 + step * 10);
            refused += events[0].answer == CONTRACTS_BUSY;
            controller.shrink(events[0].contract, 0, now_ms + 12 + step * 10);
            if (step == 2) {
                contracts_controller_shrink(controller.raw, held, 1,
                                            &late_token, now_ms + 35,
                                            controller.collected);
                controller.shrink(held, 0, now_ms + 36);
            }
        }
        now_ms += 4000;
    }
    EXPECT_EQ(refused, 3) << "until the token came";
}
