#include <gtest/gtest.h>

#include <string>

#include "place/test_fleet.h"

/* Runs a simulation and prints its figures.  The tests compare the default
 * policy ("contracts") with the naive one on the same input. */
static FleetResult
run_logged(const char *name, const FleetSettings &settings)
{
    FleetResult result = fleet_run(settings);
    printf("%-24s seed=%u asked=%d done=%d p50=%.1f p99=%.1f ms hits=%.2f "
           "hedges=%d\n",
           name, settings.seed, result.n_requests, result.n_completed,
           result.quantile(.5), result.quantile(.99), result.hit_share(),
           result.hedges);
    return result;
}

/* Slowed servers raise the 99th percentile of the time to first token by at
 * most a quarter, within the hedge budget.  Guards against late detection: a
 * slow server keeps getting requests until it is suspect or ejected. */
TEST(PlaceFleet, SlowServersBarelyAffectTheP99)
{
    for (guint32 seed : {1u, 2u, 3u, 4u, 5u, 6u}) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        FleetSettings settings;
        settings.seed = seed;
        FleetResult normal = run_logged("contracts, none slowed", settings);
        settings.slowed = 3;
        FleetResult slow = run_logged("contracts, 3 of 14 slowed", settings);
        settings.is_naive = true;
        FleetResult naive = run_logged("naive, 3 of 14 slowed", settings);
        EXPECT_EQ(slow.n_completed, slow.n_requests);
        EXPECT_LE(slow.quantile(.99), 1.25 * normal.quantile(.99));
        EXPECT_LT(slow.quantile(.99), naive.quantile(.99));
        EXPECT_LE(slow.hedges, slow.n_requests * 0.05 + 3 * 5 + 30 * 3);
    }
}

/* Requests with the same prefix go to the same server and hit its cache.  No
 * server may become a hot spot because of this. */
TEST(PlaceFleet, SamePrefixesHitTheSameCache)
{
    FleetSettings settings;
    /* About 7 prefixes per server; a server caches 16 prefixes. */
    settings.prefixes = 100;
    FleetResult contracts = run_logged("contracts, 100 prefixes", settings);
    settings.is_naive = true;
    FleetResult naive = run_logged("naive, 100 prefixes", settings);

    EXPECT_GT(contracts.hit_share(), 0.8);
    EXPECT_GT(contracts.hit_share(), naive.hit_share() + 0.5);
    int most = 0;
    for (int n : contracts.by_server) {
        most = MAX(most, n);
    }
    EXPECT_LT(most, 3 * contracts.n_requests / settings.servers) << "hot spot";
}

/* Widely varying times to first token are not mistaken for slow servers.
 * Guards against ejecting healthy servers, and hedging too often, because of
 * requests that are slow at random. */
TEST(PlaceFleet, RandomVariationDoesNotEjectServers)
{
    FleetSettings settings;
    settings.variation = 0.6;
    settings.seconds = 60;
    FleetResult contracts = run_logged("contracts, wide spread", settings);
    settings.is_naive = true;
    FleetResult naive = run_logged("naive, wide spread", settings);

    EXPECT_EQ(contracts.n_completed, contracts.n_requests);
    EXPECT_LE(contracts.quantile(.99), naive.quantile(.99));
    EXPECT_LE(contracts.hedges,
              contracts.n_requests * 0.05 + 3 * 5 + 60 * 3 * 0.5);
    int most = 0;
    int least = contracts.n_requests;
    for (int n : contracts.by_server) {
        most = MAX(most, n);
        least = MIN(least, n);
    }
    EXPECT_GT(least * 2, most) << "a server was left out for long";
}

/* Servers that fail every request cost retries, but no request fails, and
 * they soon get few requests. */
TEST(PlaceFleet, FailingServersCostOnlyRetries)
{
    FleetSettings settings;
    settings.failing = 2;
    FleetResult contracts = run_logged("contracts, 2 of 14 dead", settings);
    settings.is_naive = true;
    FleetResult naive = run_logged("naive, 2 of 14 dead", settings);

    EXPECT_EQ(contracts.n_completed, contracts.n_requests);
    EXPECT_LT(contracts.by_server[0], naive.by_server[0] / 4);
}

/* Under overload almost no slot is idle while requests wait.  Guards against
 * requests that queue at one server while another has free slots. */
TEST(PlaceFleet, SlotsAreNotIdleWhileRequestsWait)
{
    /* About 430 requests a second fill all 224 slots. */
    FleetSettings settings;
    settings.rate = 560;
    settings.seconds = 10;
    FleetResult contracts = run_logged("contracts, full load", settings);
    settings.is_naive = true;
    FleetResult naive = run_logged("naive, full load", settings);

    EXPECT_EQ(contracts.n_completed, contracts.n_requests);
    printf("idle while waiting: contracts %.3f naive %.3f\n",
           contracts.idle_share, naive.idle_share);
    EXPECT_LE(contracts.idle_share, 0.05);
    EXPECT_LE(contracts.quantile(.99), 2 * naive.quantile(.99));
}

/* Long requests, a tenth of all, do not delay the short ones. */
TEST(PlaceFleet, ShortRequestsDoNotWaitBehindLongOnes)
{
    FleetSettings settings;
    settings.rate = 60;
    FleetResult none = run_logged("contracts, no long ones", settings);
    settings.long_share = 0.1;
    FleetResult contracts = run_logged("contracts, long ones", settings);
    settings.is_naive = true;
    FleetResult naive = run_logged("naive, long ones", settings);

    EXPECT_LE(contracts.quantile(.99), 1.1 * none.quantile(.99));
    EXPECT_LE(contracts.quantile(.99), naive.quantile(.99));
}
