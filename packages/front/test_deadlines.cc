#include <gtest/gtest.h>

#include <utility>
#include <vector>

#include "front/deadlines.h"

namespace {

/* Guards against requests of callers that are simply less patient, or that the
 * route's time limit does not fit, being taken for ones that come again. */
TEST(Deadlines, AnEarlierWaitIsWhatTheUsualDeadlineExceeds)
{
    constexpr int64_t TIMEOUT_MS = 5000;
    struct {
        const char *name;
        std::vector<std::pair<int, int64_t>> before; /* number, deadline */
        int64_t deadline_ms;
        int64_t earlier_ms;
    } cases[] = {
        {"nothing is known, a first try", {}, 5000, 0},
        {"nothing is known, a later try", {}, 4280, 720},
        {"the limit is below first tries", {{9, 4500}, {3, 8000}}, 7000, 1000},
        {"a first try that was on its way", {{32, 5000}}, 4985, 0},
        {"a later try", {{32, 5000}}, 3600, 1400},
        {"many are later tries",
         {{12, 3600}, {20, 5000}, {12, 3600}},
         3600,
         1400},
        {"most are later tries", {{12, 5000}, {20, 3600}}, 3600, 0},
        {"no deadline is usual", {{16, 5000}, {8, 3600}, {8, 4300}}, 3600, 0},
        {"after an outage", {{20, 3600}, {9, 4300}}, 4300, 700},
        {"a shorter deadline is usual", {{32, 1000}}, 1000, 0},
        {"a later try with a shorter one", {{32, 1000}}, 600, 400},
        {"a longer deadline is usual", {{32, 9000}}, 9000, 0},
        {"callers differ", {{10, 5000}, {11, 1000}, {11, 2000}}, 1000, 0},
        {"callers change", {{32, 5000}, {64, 2000}}, 2000, 0},
    };

    for (const auto &row : cases) {
        struct front_deadlines deadlines;
        front_deadlines_init(&deadlines);
        for (const auto &[number, deadline_ms] : row.before) {
            for (int i = 0; i < number; i++) {
                front_deadlines_record(&deadlines, "r", deadline_ms,
                                       TIMEOUT_MS);
            }
        }
        EXPECT_EQ(front_deadlines_record(&deadlines, "r", row.deadline_ms,
                                         TIMEOUT_MS),
                  row.earlier_ms)
            << row.name;
        EXPECT_EQ(
            front_deadlines_record(&deadlines, "other", 4000, TIMEOUT_MS),
            1000)
            << row.name;
        front_deadlines_finish(&deadlines);
    }
}

} // namespace
