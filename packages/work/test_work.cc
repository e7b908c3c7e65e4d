#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "work/work.h"

namespace {

struct run {
    int n;
    int output_tokens;
    double value;
};

/* Guards against estimates from too few requests, from the wrong size class,
 * or that do not follow a change of the sizes. */
TEST(Estimator, UsesTheSizeClassThenTheRouteThenNothing)
{
    struct {
        const char *name;
        std::vector<struct run> observed;
        int output_tokens;
        double least;
        double most;
    } cases[] = {
        {"nothing seen", {}, 100, 0, 0},
        {"too few", {{7, 100, 500}}, 100, 0, 0},
        {"the class is known", {{8, 100, 500}, {8, 900, 4000}}, 100, 500, 500},
        {"sizes of one class", {{8, 100, 500}}, 127, 500, 500},
        {"falls back to the route",
         {{4, 100, 500}, {4, 900, 1500}},
         100,
         999,
         1001},
        {"unknown size", {{8, 100, 500}}, 0, 500, 500},
        {"a run of larger responses",
         {{50, 100, 500}, {30, 100, 4000}},
         100,
         3400,
         4000},
        {"one larger response",
         {{50, 100, 500}, {1, 100, 4000}},
         100,
         500,
         800},
        {"impossible values", {{8, 100, -1}, {8, 100, 1e12}}, 100, 0, 0},
    };

    for (const auto &row : cases) {
        struct work_estimator estimator;
        work_estimator_init(&estimator);
        for (const auto &run : row.observed) {
            struct work_key key = {"d", "r", 10, run.output_tokens};
            for (int i = 0; i < run.n; i++) {
                work_observe(&estimator, &key, run.value, 1);
            }
        }
        struct work_key key = {"d", "r", 10, row.output_tokens};
        double found = work_estimate(&estimator, &key, 2);
        EXPECT_GE(found, row.least) << row.name;
        EXPECT_LE(found, row.most) << row.name;
        struct work_key other = {"d", "other", 10, row.output_tokens};
        EXPECT_EQ(work_estimate(&estimator, &other, 2), 0) << row.name;
        work_estimator_finish(&estimator);
    }
}

/* Guards against memory that grows with the sizes that clients name, and with
 * routes that are gone. */
TEST(Estimator, DropsUnusedKeysAndLimitsTheirNumber)
{
    struct work_estimator estimator;
    work_estimator_init(&estimator);
    for (int i = 0; i < 10000; i++) {
        std::string route = "r" + std::to_string(i);
        struct work_key key = {"d", route.c_str(), i, i * 7};
        work_observe(&estimator, &key, 100, 1);
    }
    EXPECT_LE(work_estimator_size(&estimator), 4096);
    struct work_key key = {"d", "r", 0, 0};
    for (int i = 0; i < 9; i++) {
        work_observe(&estimator, &key, 100 + 20 * (i % 2), 700000);
    }
    EXPECT_EQ(work_estimator_size(&estimator), 1);
    EXPECT_NEAR(work_estimate(&estimator, &key, 700000), 109, 1);
    EXPECT_NEAR(work_deviation(&estimator, &key, 700000), 10, 5);
    work_estimator_finish(&estimator);
}

/* Guards against a speed that one request or a request cut short can set, and
 * against one outside of its bounds. */
TEST(Tracker, LearnsTheSpeedFromEndedRequests)
{
    struct {
        const char *name;
        int n;
        int64_t elapsed_ms; /* of an expected 1000 */
        bool is_sample;
        double least;
        double most;
    } cases[] = {
        {"none", 0, 0, true, 1, 1},
        {"as expected", 40, 1000, true, 0.99, 1.01},
        {"one slow request", 1, 3000, true, 0.9, 1},
        {"a slow server", 60, 3000, true, 0.33, 0.36},
        {"a fast server", 60, 770, true, 1.25, 1.31},
        {"very slow", 200, 60000, true, 0.25, 0.25},
        {"very fast", 200, 1, true, 4, 4},
        {"cut short", 60, 10, false, 1, 1},
    };

    for (const auto &row : cases) {
        struct work_tracker tracker;
        work_tracker_init(&tracker);
        for (int i = 0; i < row.n; i++) {
            work_tracker_start(&tracker, 1, 1000, 5);
            work_tracker_end(&tracker, 1, row.is_sample, 5 + row.elapsed_ms);
        }
        EXPECT_GE(work_tracker_speed(&tracker), row.least) << row.name;
        EXPECT_LE(work_tracker_speed(&tracker), row.most) << row.name;
        EXPECT_EQ(work_tracker_count(&tracker), 0) << row.name;
        work_tracker_finish(&tracker);
    }
}

/* Guards against remaining work that drops to zero, or ignores the speed, for
 * requests that run longer than expected. */
TEST(Tracker, SumsWhatIsLeftOfEachRequest)
{
    struct work_tracker tracker;
    work_tracker_init(&tracker);
    work_tracker_start(&tracker, 1, 800, 0);
    work_tracker_start(&tracker, 2, 400, 100);
    work_tracker_start(&tracker, 3, 0, 100);
    EXPECT_EQ(work_tracker_count(&tracker), 2);
    EXPECT_DOUBLE_EQ(work_tracker_remaining(&tracker, 200), 600 + 300);
    EXPECT_DOUBLE_EQ(work_tracker_next_end(&tracker, 200), 300);
    EXPECT_DOUBLE_EQ(work_tracker_left(&tracker, 2, 9000), 50);
    EXPECT_DOUBLE_EQ(work_tracker_left(&tracker, 3, 200), -1);
    tracker.expected_ms = 500;
    tracker.actual_ms = 1000;
    EXPECT_DOUBLE_EQ(work_tracker_remaining(&tracker, 200), 1400 + 700);
    work_tracker_finish(&tracker);
}

} // namespace
