#include <gtest/gtest.h>

#include <string>

#include "place/test_fleet.h"

extern "C" {
#include "place/health.h"
}

namespace {

const struct health_peers PEERS = {100000, 20000, true};

struct contracts_outcome
outcome_of(int64_t first_us, int64_t inter_us, bool failed = false)
{
    struct contracts_outcome outcome = {};

    outcome.first_token_us = first_us;
    outcome.inter_token_us = inter_us;
    outcome.tokens = 20;
    outcome.failed = failed;
    return outcome;
}

struct place *
make_place(struct world *world, bool is_naive)
{
    struct place_desc desc = {is_naive, 1, nullptr};
    struct place *place = place_new(&desc);

    place->ops->update(place, world, 1000);
    return place;
}

struct place_request
make_request(int deployment, uint64_t prefix, uint64_t key)
{
    struct place_request request = {};

    request.deployment = deployment;
    request.prefix_key = prefix;
    request.request_key = key;
    request.is_idempotent = true;
    request.deadline_ms = 100000;
    return request;
}

} // namespace

/* Checks the state after the same result was reported `times` times. */
TEST(Health, StateAfterResults)
{
    struct {
        const char *name;
        struct contracts_outcome outcome;
        int times;
        bool may_eject;
        bool is_ejected;
        double share;
    } cases[] = {
        {"in order", outcome_of(110000, 21000), 20, true, false, 1},
        {"one slow request", outcome_of(900000, 21000), 1, true, false, 0},
        {"slow first tokens", outcome_of(900000, 21000), 3, true, true, 0},
        {"slow tokens", outcome_of(100000, 200000), 3, true, true, 0},
        {"slow, too many out of use", outcome_of(900000, 21000), 9, false,
         false, 1},
        {"one failure", outcome_of(0, 0, true), 1, true, false, 1},
        {"failing", outcome_of(0, 0, true), 3, true, true, 0},
        {"no times reported", outcome_of(0, 0), 9, true, false, 1},
    };

    for (const auto &row : cases) {
        SCOPED_TRACE(row.name);
        struct health health = {};
        struct health_peers peers = PEERS;
        peers.may_eject = row.may_eject;
        for (int i = 0; i < row.times; i++) {
            health_report_outcome(&health, &row.outcome, &peers, 1000 + i);
        }
        EXPECT_EQ(health_is_ejected(&health, 1020), row.is_ejected);
        EXPECT_EQ(health_share(&health, 1020), row.share);
    }
}

/* After an ejection the share of requests grows step by step to 1.  A server
 * that is slow again meanwhile is ejected for twice as long. */
TEST(Health, RecoversGraduallyAndEjectsLongerIfStillSlow)
{
    struct health health = {};
    struct contracts_outcome slow = outcome_of(900000, 20000);
    struct contracts_outcome good = outcome_of(100000, 20000);
    int64_t now_ms = 1000;

    for (int i = 0; i < 3; i++) {
        health_report_outcome(&health, &slow, &PEERS, now_ms);
    }
    int64_t first_length_ms = health.ejected_until_ms - now_ms;
    now_ms = health.ejected_until_ms;
    double early = health_share(&health, now_ms);
    EXPECT_GT(early, 0);
    EXPECT_LT(early, 0.2);
    health_report_outcome(&health, &slow, &PEERS, now_ms);
    health_report_outcome(&health, &slow, &PEERS, now_ms);
    EXPECT_EQ(health.ejected_until_ms - now_ms, 2 * first_length_ms);
    now_ms = health.ejected_until_ms;
    double last = 0;
    for (int i = 0; i < 50; i++) {
        now_ms += 100;
        health_report_outcome(&health, &good, &PEERS, now_ms);
        EXPECT_GE(health_share(&health, now_ms), last);
        last = health_share(&health, now_ms);
    }
    EXPECT_EQ(last, 1);
}

/* A long wait for a first token makes a server suspect before the token
 * arrives.  Otherwise a stuck server would go undetected until it responds.
 */
TEST(Health, LongWaitMakesServerSuspect)
{
    struct health health = {};

    health_report_wait(&health, 120000, &PEERS, 1000);
    EXPECT_EQ(health_share(&health, 1001), 1);
    health_report_wait(&health, 200000, &PEERS, 1000);
    EXPECT_EQ(health_share(&health, 1001), 0);
    EXPECT_FALSE(health_is_ejected(&health, 1001));
    EXPECT_EQ(health_share(&health, 2000), 1);
}

/* Both policies choose each server of the deployment once, when the servers
 * chosen before are in `tried`, and then none.  For an unknown deployment they
 * choose none. */
TEST(Place, ChoosesEachServerOnce)
{
    struct world *world = fleet_world(6, 16);

    for (bool is_naive : {false, true}) {
        SCOPED_TRACE(is_naive ? "naive" : "contracts");
        struct place *place = make_place(world, is_naive);
        auto request = make_request(0, 0, 5);
        for (int i = 0; i < 6; i++) {
            int server = place->ops->choose(place, &request, 2000);
            ASSERT_NE(server, WORLD_NONE);
            for (int t = 0; t < request.n_tried; t++) {
                EXPECT_NE(server, request.tried[t]) << "tried before";
            }
            request.tried[request.n_tried++] = server;
        }
        EXPECT_EQ(place->ops->choose(place, &request, 2000), WORLD_NONE);
        auto unknown = make_request(7, 0, 5);
        EXPECT_EQ(place->ops->choose(place, &unknown, 2000), WORLD_NONE);
        place_free(place);
    }
    world_unref(world);
}

/* A change of the configuration keeps the state of the remaining servers, and
 * results for a removed server are ignored. */
TEST(Place, ChangedConfigurationKeepsServerState)
{
    struct world *before = fleet_world(9, 16);
    struct world *after = fleet_world(6, 16);
    struct place *place = make_place(before, false);
    struct contracts_outcome good = outcome_of(100000, 20000);
    struct contracts_outcome slow = outcome_of(900000, 20000);

    for (int i = 0; i < 5; i++) {
        for (int server = 1; server < 9; server++) {
            place->ops->outcome(place, server, &good, 2000 + i * 200);
        }
        place->ops->outcome(place, 0, &slow, 2000 + i * 200);
    }
    struct place_health health;
    place_health(place, 0, &health, 3000);
    EXPECT_EQ(health.share, 0);
    auto request = make_request(0, 77, 5);
    int chosen = place->ops->choose(place, &request, 3000);
    place->ops->update(place, after, 3100);
    place_health(place, 0, &health, 3200);
    EXPECT_EQ(health.share, 0) << "still out of use";
    if (chosen < 6) {
        EXPECT_EQ(place->ops->choose(place, &request, 3200), chosen);
    }
    /* Index 8 is out of range since the change. */
    place->ops->outcome(place, 8, &good, 3200);
    place_free(place);
    world_unref(before);
    world_unref(after);
}

/* Retries depend on the verdict, idempotence, the number of attempts and the
 * deadline, and their number is limited by the budget, so that an outage does
 * not multiply the load. */
TEST(Place, RetriesFollowVerdictAndBudget)
{
    struct world *world = fleet_world(4, 16);
    struct {
        const char *name;
        enum base_verdict verdict;
        bool is_idempotent;
        int n_tried;
        int64_t now_ms;
        bool want;
    } cases[] = {
        {"refused", BASE_NOT_RUN, false, 1, 2000, true},
        {"may have run, idempotent", BASE_MAY_HAVE_RUN, true, 1, 2000, true},
        {"may have run, not idempotent", BASE_MAY_HAVE_RUN, false, 1, 2000,
         false},
        {"ran, not idempotent", BASE_RAN, false, 1, 2000, false},
        {"too many attempts", BASE_NOT_RUN, true, 3, 2000, false},
        {"past the deadline", BASE_NOT_RUN, true, 1, 100000, false},
    };

    for (const auto &row : cases) {
        SCOPED_TRACE(row.name);
        struct place *place = make_place(world, false);
        auto request = make_request(0, 0, 5);
        request.is_idempotent = row.is_idempotent;
        request.n_tried = row.n_tried;
        EXPECT_EQ(place_may_retry(place, 0, &request, row.verdict, row.now_ms),
                  row.want);
        place_free(place);
    }

    /* An outage: every request fails; one in ten may be retried, plus the
     * tokens that the budget starts with. */
    struct place *place = make_place(world, false);
    auto request = make_request(0, 0, 5);
    int retried = 0;
    for (int i = 0; i < 1000; i++) {
        place_count_request(place, 0, 2000);
        retried += place_may_retry(place, 0, &request, BASE_NOT_RUN, 2000);
    }
    EXPECT_GE(retried, 100);
    EXPECT_LE(retried, 110);
    EXPECT_EQ(place_hedge_after_ms(place, &request),
              (int64_t)world->deployments[0].first_token_target_ms / 2)
        << "no samples yet";
    request.is_idempotent = false;
    EXPECT_EQ(place_hedge_after_ms(place, &request), -1);
    place_free(place);
    world_unref(world);
}
