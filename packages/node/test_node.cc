#include <gtest/gtest.h>

#include <cstring>
#include <string>

#include "node/node.h"

/* The smallest valid settings. */
static const char VALID[] =
    "{\"name\":\"n1\",\"zone\":\"etela-a\",\"http\":{\"address\":"
    "\"127.0.0.1\",\"port\":8080},\"control\":\"127.0.0.1:7001\","
    "\"platform\":{\"kv\":[\"127.0.0.1:2379\"]}}";

TEST(Settings, MissingMembersGetDefaults)
{
    struct node_settings settings;
    struct base_error err = {BASE_OK, ""};
    ASSERT_TRUE(node_settings_parse(&settings, VALID, strlen(VALID), &err))
        << err.text;
    EXPECT_STREQ(settings.environment, "production");
    EXPECT_TRUE(settings.is_runner);
    EXPECT_FALSE(settings.is_naive);
    EXPECT_EQ(settings.seeds[0], nullptr);
    node_settings_finish(&settings);
}

/* Guards against a site that routes by cost, or orders requests by earlier
 * waits, without being told to. */
TEST(Settings, OptionalOrdersAreOffUnlessTheyAreSet)
{
    for (const char *member :
         {"", "\"cost_routing\":false,\"count_earlier_waits\":false,",
          "\"cost_routing\":true,\"count_earlier_waits\":true,"}) {
        std::string text = VALID;
        text.insert(1, std::string("\"site\":{") + member +
                           "\"zones\":{\"etela-a\":\"etela\"}},");
        struct node_settings settings;
        struct base_error err = {BASE_OK, ""};
        ASSERT_TRUE(
            node_settings_parse(&settings, text.c_str(), text.size(), &err))
            << err.text;
        EXPECT_EQ(settings.site.cost_routing,
                  strstr(member, "true") != nullptr);
        EXPECT_EQ(settings.site.count_earlier_waits,
                  strstr(member, "true") != nullptr);
        node_settings_finish(&settings);
    }
}

/* Guards against a planned stop that is cut off because the site allows less
 * time for it than the settings. */
TEST(Settings, TheGraceOfAStopLimitsTheDrain)
{
    struct {
        const char *member;
        int64_t drain_ms;
    } cases[] = {
        {"\"grace_s\":8,", 7500},
        {"\"grace_s\":2.5,", 2000},
        {"\"grace_s\":0.2,", 0},
        {"\"drain_ms\":9000,\"grace_s\":5,", 4500},
        {"\"drain_ms\":9000,", 9000},
    };
    for (const auto &row : cases) {
        std::string text = VALID;
        text.insert(1, row.member);
        struct node_settings settings;
        struct base_error err = {BASE_OK, ""};
        ASSERT_TRUE(
            node_settings_parse(&settings, text.c_str(), text.size(), &err))
            << err.text;
        EXPECT_EQ(settings.drain_ms, row.drain_ms) << row.member;
        node_settings_finish(&settings);
    }
}

/* Each invalid settings text must be refused with an error that begins with
 * the path of the faulty member, and that gives the value found and the values
 * allowed. */
TEST(Settings, ErrorsNameMemberFoundAndAllowedValues)
{
    struct {
        const char *from; /* replaced in VALID */
        const char *to;
        const char *path;
        const char *found;
        const char *allowed;
    } cases[] = {
        {"\"name\":\"n1\",", "", "$.name", "missing", "a non-empty string"},
        {"\"n1\"", "7", "$.name", "found 7", "a non-empty string"},
        {"\"zone\"", "\"zoen\"", "$.zoen", "unknown", "name, zone,"},
        {"8080", "0", "$.http.port", "found 0", "from 1 to 65535"},
        {"8080", "\"x\"", "$.http.port", "found \"x\"", "from 1 to 65535"},
        {"\"port\":8080", "\"certificate\":\"c.pem\"", "$.http",
         "certificate without key", "both"},
        {"127.0.0.1:7001", "localhost:7001", "$.control", "localhost:7001",
         "IP:PORT"},
        {"127.0.0.1:7001", "127.0.0.1:70010", "$.control", "127.0.0.1:70010",
         "from 1 to 65535"},
        {"[\"127.0.0.1:2379\"]", "[]", "$.platform.kv", "found []",
         "at least one IP:PORT"},
        {"[\"127.0.0.1:2379\"]", "[\"127.0.0.1\"]", "$.platform.kv[0]",
         "found \"127.0.0.1\"", "IP:PORT"},
        {"[\"127.0.0.1:2379\"]", "[\"127.0.0.1:2379\"],\"value_bytes\":0",
         "$.platform.value_bytes", "found 0", "from 4096 to 67108864"},
        {"\"platform\"", "\"policy\":\"fast\",\"platform\"", "$.policy",
         "found \"fast\"", "one of contracts, naive"},
        {"\"platform\"", "\"data_folder\":\"/d\",\"platform\"", "$.bulk",
         "missing", "IP:PORT if data_folder is set"},
        {"\"platform\"", "\"cpu\":{\"share\":2},\"platform\"", "$.cpu.share",
         "found 2", "a number above 0 and at most 1"},
        {"\"platform\"", "\"cpu\":{\"share\":0.2,\"cores\":0},\"platform\"",
         "$.cpu.cores", "found 0", "from 1 to 4096"},
        {"\"platform\"", "\"cpu\":{\"share\":0.2,\"speed\":1},\"platform\"",
         "$.cpu.speed", "unknown", "share, cores"},
        {"\"platform\"",
         "\"site\":{\"cost_routing\":1,\"zones\":{\"a\":\"r\"}},\"platform\"",
         "$.site.cost_routing", "found 1", "true or false"},
        {"\"platform\"", "\"grace_s\":-1,\"platform\"", "$.grace_s",
         "found -1", "a number from 0"},
        {"\"platform\"", "\"memory_mb\":64,\"platform\"", "$.memory_mb",
         "found 64", "from 96 to 1048576"},
        {"}}", "}", "line 1", "column", "not valid JSON"},
    };
    for (const auto &row : cases) {
        std::string text = VALID;
        size_t at = text.find(row.from);
        ASSERT_NE(at, std::string::npos) << row.from;
        text.replace(at, strlen(row.from), row.to);
        struct node_settings settings;
        struct base_error err = {BASE_OK, ""};
        EXPECT_FALSE(
            node_settings_parse(&settings, text.c_str(), text.size(), &err))
            << text;
        EXPECT_EQ(err.code, BASE_INVALID);
        EXPECT_EQ(strncmp(err.text, row.path, strlen(row.path)), 0)
            << row.path << " vs " << err.text;
        EXPECT_NE(strstr(err.text, row.found), nullptr)
            << row.found << " vs " << err.text;
        EXPECT_NE(strstr(err.text, row.allowed), nullptr)
            << row.allowed << " vs " << err.text;
    }
}

/* The parts of what others can fill must leave memory for the program and for
 * the copies that are made of them. */
TEST(NodeMemory, PartsLeaveMemoryForTheRest)
{
    for (int64_t memory_mb : {96, 160, 256, 300, 4096}) {
        SCOPED_TRACE(memory_mb);
        struct node_memory plan;
        node_memory_plan(memory_mb, &plan);
        EXPECT_GT(plan.transfers, 1 << 20);
        EXPECT_LE(plan.outputs + plan.inputs + plan.bodies +
                      5 * plan.transfers,
                  (memory_mb - 64) << 20);
    }
}
