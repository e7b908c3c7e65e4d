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

TEST(Stall, AsksThatWaitAreServedOthersGoElsewhereUntilAProbeIsWell)
{
    Table table(make_desc(8));
    auto quick = make_admission(1, CONTRACTS_ONLINE_SHORT, 0, 0);
    auto patient = make_admission(2, CONTRACTS_ONLINE_SHORT, 500, 0);
    auto late = first_token(90000);
    auto good = first_token(40000);

    uint64_t first = table.ask(quick, 1000)[0].contract;
    contracts_controller_shrink(table.keeper, first, 1, &late, 1100,
                                table.events);
    EXPECT_TRUE(table.take().empty());
    EXPECT_EQ(table.load().window, 1);
    EXPECT_EQ(table.ask(quick, 1200)[0].answer, CONTRACTS_BUSY);
    EXPECT_EQ(table.ask(patient, 1200)[0].answer, CONTRACTS_GRANTED);

    /* The time is over: one probe, and no second before it is known. */
    auto probe = table.ask(quick, 4200);
    EXPECT_EQ(probe[0].answer, CONTRACTS_GRANTED);
    EXPECT_EQ(table.ask(quick, 4210)[0].answer, CONTRACTS_BUSY);

    /* It is late, too: the next time is longer. */
    contracts_controller_shrink(table.keeper, probe[0].contract, 1, &late,
                                4300, table.events);
    EXPECT_EQ(table.ask(quick, 12000)[0].answer, CONTRACTS_BUSY);
    probe = table.ask(quick, 12400);
    EXPECT_EQ(probe[0].answer, CONTRACTS_GRANTED);
    contracts_controller_release(table.keeper, probe[0].contract, &good, 12450,
                                 table.events);
    EXPECT_EQ(table.ask(quick, 12460)[0].answer, CONTRACTS_GRANTED);
    EXPECT_EQ(table.load().window, 8);
}

TEST(Stall, AFalseSignEndsItWhenTheTokenComes)
{
    Table table(make_desc(8));
    auto quick = make_admission(1, CONTRACTS_ONLINE_SHORT, 0, 0);
    auto late = first_token(90000);
    int64_t now_ms = 1000;
    int refused = 0;

    for (int i = 0; i < 10; i++) {
        uint64_t held = table.ask(quick, now_ms)[0].contract;
        contracts_controller_shrink(table.keeper, held, 1, &late, now_ms + 10,
                                    table.events);
        refused = 0;
        /* Its token comes a little later. */
        auto came = first_token(110000);
        came.tokens = 1;
        for (int step = 0; step < 300; step++) {
            auto said = table.ask(quick, now_ms + 12 + step * 10);
            refused += said[0].answer == CONTRACTS_BUSY;
            table.shrink(said[0].contract, 0, now_ms + 12 + step * 10);
            if (step == 2) {
                contracts_controller_shrink(table.keeper, held, 1, &came,
                                            now_ms + 35, table.events);
                table.shrink(held, 0, now_ms + 36);
            }
        }
        now_ms += 4000;
    }
    EXPECT_EQ(refused, 3) << "until the token came";
}
