#include <gtest/gtest.h>

#include <cstring>
#include <string>

#include "world/world.h"

namespace {

/* SHA-256 of the API key "desk-key". */
const char *const KEY_HASH =
    "fd501e4e4eabb3b62f313e4d323048dfbddebb4d702c7b63512125b3fa21dd28";

const std::string VALID_DOCUMENT = R"({
  "format": 1, "environment": "production",
  "regions": [{"name": "etela", "zones": ["etela-a", "etela-b"]},
              {"name": "pohjoinen", "zones": ["pohjoinen-a"]}],
  "links": [{"between": ["etela", "pohjoinen"], "one_way_ms": 20,
             "bytes_per_s": 3000000}],
  "operators": [{"name": "kit-desk", "keys": [{"sha256": ")" +
                                   std::string(KEY_HASH) + R"(",
                 "scopes": ["online", "batch"]}]},
                {"name": "other"}],
  "deployments": [{"name": "desk", "kind": "engine", "model": "lantern-7b",
                   "operators": ["kit-desk"]},
                  {"name": "stock", "kind": "service", "routes": [
                    {"method": "GET", "prefix": "/", "idempotent": true},
                    {"method": "POST", "prefix": "/read"}]}],
  "servers": [{"name": "e1", "address": "127.0.0.1:9001", "zone": "etela-a",
               "deployment": "desk"},
              {"name": "s1", "address": "[::1]:9002", "zone": "pohjoinen-a",
               "deployment": "stock", "slots": 4}]
})";

/* Returns VALID_DOCUMENT with the first `from` replaced by `to`. */
std::string
replace_in_document(const std::string &from, const std::string &to)
{
    std::string text = VALID_DOCUMENT;
    size_t at = text.find(from);
    EXPECT_NE(at, std::string::npos) << from;
    return text.replace(at, from.size(), to);
}

/* Members that the document leaves out get their defaults; look-ups by name
 * and by API key find the parsed objects. */
TEST(World, ParsesDocumentWithDefaults)
{
    struct world_problems problems;
    world_problems_init(&problems);
    struct world *world =
        world_parse(VALID_DOCUMENT.c_str(), VALID_DOCUMENT.size(), &problems);
    ASSERT_EQ(problems.all->len, 0u)
        << ((struct world_problem *)problems.all->pdata[0])->path;
    ASSERT_NE(world, nullptr);
    EXPECT_EQ(world->n_zones, 3);
    EXPECT_EQ(world->limits.silence_ms, 3000);
    EXPECT_EQ(world->batch.shard_items, 5000);
    EXPECT_EQ(world->servers[0].slots, 16);
    EXPECT_TRUE(world->servers[0].can_resume);
    EXPECT_FALSE(world->servers[0].checks_fencing);
    EXPECT_STREQ(world->servers[1].host, "::1");
    EXPECT_DOUBLE_EQ(world->deployments[0].change_share, 0.25);
    EXPECT_EQ(world->deployments[0].n_servers, 1);
    unsigned scopes = 0;
    EXPECT_EQ(world_find_operator_by_key(world, "desk-key", &scopes), 0);
    EXPECT_EQ(scopes, (unsigned)(WORLD_SCOPE_ONLINE | WORLD_SCOPE_BATCH));
    EXPECT_EQ(world_find_operator_by_key(world, "desk-kex", &scopes),
              WORLD_NONE);
    EXPECT_EQ(scopes, 0u);
    EXPECT_TRUE(world_may_use(world, 0, 0));
    EXPECT_FALSE(world_may_use(world, 1, 0));
    EXPECT_TRUE(world_may_use(world, 1, 1));
    EXPECT_DOUBLE_EQ(world_link_ms(world, 0, 1), 0);
    EXPECT_DOUBLE_EQ(world_link_ms(world, 2, 1), 20);
    EXPECT_EQ(world_find_model(world, "lantern-7b"), 0);
    EXPECT_EQ(world_find_service(world, "desk"), WORLD_NONE);
    EXPECT_EQ(world_find_service(world, "stock"), 1);
    world_unref(world);
    world_problems_finish(&problems);
}

TEST(World, FirstMatchingRouteApplies)
{
    struct world_problems problems;
    world_problems_init(&problems);
    struct world *world =
        world_parse(VALID_DOCUMENT.c_str(), VALID_DOCUMENT.size(), &problems);
    ASSERT_NE(world, nullptr);
    struct {
        const char *method;
        const char *path;
        int route; /* -1: none */
    } cases[] = {
        {"GET", "/read", 0},
        {"POST", "/read/1", 1},
        {"POST", "/write", -1},
        {"get", "/read", -1},
    };
    const struct world_deployment *stock = &world->deployments[1];
    for (const auto &row : cases) {
        const struct world_route *want =
            row.route < 0 ? nullptr : &stock->routes[row.route];
        EXPECT_EQ(world_find_route(stock, row.method, row.path), want)
            << row.method << " " << row.path;
    }
    world_unref(world);
    world_problems_finish(&problems);
}

struct invalid_case {
    const char *from;
    const char *to;
    const char *path;
};

class InvalidDocument : public ::testing::TestWithParam<invalid_case> {};

/* A document with one error yields one problem, at the error's JSON path. */
TEST_P(InvalidDocument, YieldsOneProblemWithItsPath)
{
    struct world_problems problems;
    world_problems_init(&problems);
    std::string text = replace_in_document(GetParam().from, GetParam().to);
    EXPECT_EQ(world_parse(text.c_str(), text.size(), &problems), nullptr);
    std::string paths;
    bool is_found = false;
    for (guint i = 0; i < problems.all->len; i++) {
        auto *problem = (struct world_problem *)problems.all->pdata[i];
        paths += std::string(problem->path) + ": " + problem->text + "\n";
        is_found = is_found || strcmp(problem->path, GetParam().path) == 0;
    }
    EXPECT_TRUE(is_found) << GetParam().path << " not in:\n" << paths;
    EXPECT_EQ(problems.all->len, 1u) << paths;
    world_problems_finish(&problems);
}

const invalid_case INVALID_CASES[] = {
    {"\"format\": 1", "\"format\": 2", "$.format"},
    {"\"format\": 1, ", "", "$.format"},
    {"\"production\"", "\"staging\"", "$.environment"},
    {"\"format\": 1", "\"format\": 1, \"colour\": 3", "$.colour"},
    {"\"format\": 1", "\"format\": 1, \"format\": 1", "$"},
    {"\"format\": 1", "\"format\": ", "$"},
    {"\"etela-b\"", "\"etela-a\"", "$.regions[0].zones[1]"},
    {"\"regions\": [", "\"regions\": [{\"name\": 3, \"zones\": [\"z\"]}, ",
     "$.regions[0].name"},
    {"\"one_way_ms\": 20", "\"one_way_ms\": \"20\"", "$.links[0].one_way_ms"},
    {"[\"etela\", \"pohjoinen\"]", "[\"etela\", \"west\"]",
     "$.links[0].between[1]"},
    {"[\"etela\", \"pohjoinen\"]", "[\"etela\", \"etela\"]",
     "$.links[0].between"},
    {"\"bytes_per_s\": 3000000", "\"bytes_per_s\": 0",
     "$.links[0].bytes_per_s"},
    {"\"online\", \"batch\"", "\"online\", \"root\"",
     "$.operators[0].keys[0].scopes[1]"},
    {"\"sha256\": \"", "\"sha256\": \"0", "$.operators[0].keys[0].sha256"},
    {"{\"name\": \"other\"}", "{\"name\": \"kit-desk\"}",
     "$.operators[1].name"},
    {"{\"name\": \"other\"}", "{\"name\": \"other\", \"weight\": \"big\"}",
     "$.operators[1].weight"},
    {"{\"name\": \"other\"}", "{\"name\": \"a/b\"}", "$.operators[1].name"},
    {"{\"name\": \"other\"}", "7", "$.operators[1]"},
    {"\"operators\": [\"kit-desk\"]", "\"operators\": [\"nobody\"]",
     "$.deployments[0].operators[0]"},
    {"\"operators\": [\"kit-desk\"]", "\"min_ready\": 2",
     "$.deployments[0].min_ready"},
    {"\"operators\": [\"kit-desk\"]", "\"change_share\": 1.5",
     "$.deployments[0].change_share"},
    {"\"model\": \"lantern-7b\",", "", "$.deployments[0].model"},
    {"\"kind\": \"service\"", "\"kind\": \"service\", \"model\": \"x\"",
     "$.deployments[1].model"},
    {"\"prefix\": \"/read\"", "\"prefix\": \"read\"",
     "$.deployments[1].routes[1].prefix"},
    {"127.0.0.1:9001", "127.0.0.1:0", "$.servers[0].address"},
    {"127.0.0.1:9001", "127.0.0.1:65536", "$.servers[0].address"},
    {"127.0.0.1:9001", "engine-1:9001", "$.servers[0].address"},
    {"127.0.0.1:9001", "127.0.0.1", "$.servers[0].address"},
    {"[::1]:9002", "::1:9002", "$.servers[1].address"},
    {"[::1]:9002", "127.0.0.1:9001", "$.servers[1].address"},
    {"\"zone\": \"etela-a\"", "\"zone\": \"etela-z\"", "$.servers[0].zone"},
    {"\"deployment\": \"desk\"", "\"deployment\": \"nix\"",
     "$.servers[0].deployment"},
    {"\"slots\": 4", "\"slots\": 0", "$.servers[1].slots"},
    {"\"slots\": 4", "\"slots\": 4.5", "$.servers[1].slots"},
    {"\"slots\": 4", "\"can_resume\": 1", "$.servers[1].can_resume"},
    {"\"format\": 1", "\"format\": 1, \"limits\": {\"silence_ms\": 1}",
     "$.limits.silence_ms"},
    {"\"format\": 1", "\"format\": 1, \"limits\": {\"deadline_ms\": 700000}",
     "$.limits.deadline_ms"},
    {"\"format\": 1", "\"format\": 1, \"batch\": {\"x\": 1}", "$.batch.x"},
    {"\"format\": 1", "\"format\": 1, \"batch\": []", "$.batch"},
};

INSTANTIATE_TEST_SUITE_P(Cases, InvalidDocument,
                         ::testing::ValuesIn(INVALID_CASES));

/* The first error does not end parsing: both errors are reported. */
TEST(World, ReportsAllProblemsInOnePass)
{
    struct world_problems problems;
    world_problems_init(&problems);
    std::string text =
        replace_in_document("\"slots\": 4", "\"slots\": 0, \"x\": 1");
    EXPECT_EQ(world_parse(text.c_str(), text.size(), &problems), nullptr);
    EXPECT_EQ(problems.all->len, 2u);
    world_problems_finish(&problems);
}

} // namespace
