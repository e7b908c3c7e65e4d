#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

#include "notices/notices.h"

namespace {

struct notices_server
make_server(const char *name, int64_t started_ms)
{
    struct notices_server server = {};

    g_strlcpy(server.name, name, sizeof(server.name));
    server.started_ms = started_ms;
    return server;
}

const struct notices_server SERVER = make_server("s", 100);

struct Notices {
    struct notices raw;

    Notices()
    {
        notices_init(&raw);
    }
    ~Notices()
    {
        notices_finish(&raw);
    }
    bool
    observe(double limit, int64_t sent_ms, int64_t now_ms)
    {
        return notices_observe(&raw, &SERVER, limit, sent_ms, now_ms);
    }
    struct notices_record
    record()
    {
        struct notices_record found = {};
        EXPECT_TRUE(notices_find(&raw, "s", &found));
        return found;
    }
    int
    take()
    {
        GArray *records = notices_take(&raw, false);
        int count = records == nullptr ? 0 : (int)records->len;
        if (records != nullptr) {
            g_array_free(records, TRUE);
        }
        return count;
    }
};

TEST(Notices, UnreadableLimitsAreRefused)
{
    static const struct {
        const char *text;
        bool is_ok;
        double limit;
    } CASES[] = {
        {"2.5", true, 2.5}, {"0", true, 0},     {"1e3", true, 1000},
        {".5", true, .5},   {"", false, 0},     {"-1", false, 0},
        {"nan", false, 0},  {"inf", false, 0},  {"2,5", false, 0},
        {"2 ", false, 0},   {" 2", false, 0},   {"1e999", false, 0},
        {"+2", false, 0},   {"2.5x", false, 0},
    };

    for (const auto &c : CASES) {
        double limit = 0;
        EXPECT_EQ(notices_parse_limit(c.text, &limit), c.is_ok) << c.text;
        EXPECT_EQ(limit, c.limit) << c.text;
    }
}

TEST(Notices, ResponsesThatOvertakeEachOtherDoNotLiftALimit)
{
    static const struct {
        const char *what;
        double first, second;
        int64_t sent_ms; /* of the second response's request */
        double in_force;
    } CASES[] = {
        {"lower, sent before", 4, 2, 5, 2},
        {"lower, sent after", 4, 2, 15, 2},
        {"higher, sent before", 2, 4, 5, 2},
        {"higher, sent after", 2, 4, 15, 4},
        {"none, sent before", 2, NOTICES_NO_LIMIT, 5, 2},
        {"none, sent after", 2, NOTICES_NO_LIMIT, 15, NOTICES_NO_LIMIT},
        {"the first after none", NOTICES_NO_LIMIT, 2, 5, 2},
    };

    for (const auto &c : CASES) {
        Notices notices;
        notices.observe(c.first, 0, 10);
        notices.observe(c.second, c.sent_ms, 20);
        EXPECT_EQ(notices_limit(&notices.raw, "s"), c.in_force) << c.what;
    }
}

TEST(Notices, ServersWithoutALimitTakeNoMemory)
{
    Notices notices;

    EXPECT_FALSE(notices.observe(NOTICES_NO_LIMIT, 0, 10));
    EXPECT_EQ(g_hash_table_size(notices.raw.entries), 0U);
    EXPECT_EQ(notices_digest(&notices.raw), 0U);
}

TEST(Notices, NodesAgreeInWhateverOrderRecordsArrive)
{
    std::vector<struct notices_record> records;
    static const struct {
        int64_t started_ms;
        uint64_t version;
        double limit;
    } CASES[] = {
        {100, 1, 4}, {100, 1, 2}, {100, 2, NOTICES_NO_LIMIT},
        {100, 3, 7}, {200, 1, 9}, {200, 2, 3},
        {200, 2, 5},
    };
    std::mt19937 random(1);

    for (const auto &c : CASES) {
        records.push_back(
            {make_server("s", c.started_ms), c.version, c.limit, false});
    }
    for (int i = 0; i < 200; i++) {
        Notices notices;
        std::shuffle(records.begin(), records.end(), random);
        for (const auto &record : records) {
            notices_merge(&notices.raw, &record, 10);
        }
        EXPECT_EQ(notices.record().limit_per_s, 3);
        EXPECT_EQ(notices.record().server.started_ms, 200);
    }
}

TEST(Notices, AServerThatLeavesDoesSoUntilItsNextStart)
{
    static const struct {
        const char *what;
        struct notices_record record;
        bool is_leaving;
    } CASES[] = {
        {"a later limit", {make_server("s", 100), 9, 3, false}, true},
        {"an earlier start", {make_server("s", 50), 9, 3, false}, true},
        {"its next start", {make_server("s", 200), 1, 3, false}, false},
        {"its next start, which leaves",
         {make_server("s", 200), 0, NOTICES_NO_LIMIT, true},
         true},
    };

    for (const auto &c : CASES) {
        Notices notices;
        Notices other;
        struct notices_record record;
        EXPECT_TRUE(notices_observe_leaving(&notices.raw, &SERVER));
        EXPECT_FALSE(notices_observe_leaving(&notices.raw, &SERVER));
        record = notices.record();
        notices_merge(&notices.raw, &c.record, 20);
        EXPECT_EQ(notices_is_leaving(&notices.raw, "s"), c.is_leaving)
            << c.what;
        /* The same in the other order. */
        notices_merge(&other.raw, &c.record, 20);
        notices_merge(&other.raw, &record, 30);
        EXPECT_EQ(notices_is_leaving(&other.raw, "s"), c.is_leaving) << c.what;
        EXPECT_EQ(notices_digest(&notices.raw), notices_digest(&other.raw));
    }
}

TEST(Notices, ARestartedServerHasNoLimit)
{
    Notices notices;
    struct notices_server restarted = make_server("s", 200);
    struct notices_record old;

    notices.observe(2, 0, 10);
    old = notices.record();
    notices_set_servers(&notices.raw, &restarted, 1, 20);
    EXPECT_EQ(notices_limit(&notices.raw, "s"), NOTICES_NO_LIMIT);
    EXPECT_FALSE(notices_merge(&notices.raw, &old, 30));
    EXPECT_EQ(notices_limit(&notices.raw, "s"), NOTICES_NO_LIMIT);
}

TEST(Notices, LimitsOutlastAnEntryThatLapsed)
{
    static const struct {
        int64_t back_ms; /* when the server is registered again */
        bool is_kept;
    } CASES[] = {{5000, true}, {59000, true}, {61000, false}};

    for (const auto &c : CASES) {
        Notices notices;
        notices.observe(2, 0, 10);
        notices_set_servers(&notices.raw, nullptr, 0, 20);
        EXPECT_EQ(notices_digest(&notices.raw), 0U);
        notices_set_servers(&notices.raw, nullptr, 0, c.back_ms);
        notices_set_servers(&notices.raw, &SERVER, 1, c.back_ms);
        EXPECT_EQ(notices_limit(&notices.raw, "s") == 2, c.is_kept)
            << c.back_ms;
    }
}

TEST(Notices, AChangeIsSentInFourRounds)
{
    Notices notices;
    int n_rounds = 0;

    notices.observe(2, 0, 10);
    while (notices.take() == 1) {
        n_rounds++;
    }
    EXPECT_EQ(n_rounds, 4);
    EXPECT_FALSE(notices.observe(2, 20, 30));
    EXPECT_EQ(notices.take(), 0);
}

TEST(Notices, MalformedRecordsChangeNothing)
{
    static const struct {
        uint64_t version;
        double limit;
    } CASES[] = {{0, 1}, {1, -1}, {1, (double)NAN}};

    for (const auto &c : CASES) {
        Notices notices;
        struct notices_record record = {SERVER, c.version, c.limit, false};
        EXPECT_FALSE(notices_merge(&notices.raw, &record, 10));
        EXPECT_EQ(notices_limit(&notices.raw, "s"), NOTICES_NO_LIMIT);
    }
}

} // namespace
