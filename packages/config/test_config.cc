#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "config/config.h"
#include "platform/test_fake_kv.h"

namespace {

std::string
document(int slots)
{
    return R"({"format": 1, "regions": [{"name": "r", "zones": ["z"]}],)"
           R"( "deployments": [{"name": "d", "model": "m"}],)"
           R"( "servers": [{"name": "e1", "address": "127.0.0.1:9001",)"
           R"( "zone": "z", "deployment": "d", "slots": )" +
           std::to_string(slots) + "}]}";
}

/* A fake key-value service and the task that sends the requests. */
class Config : public ::testing::Test {
  protected:
    FakeKv fake;
    struct base_task task;
    struct platform *platform = nullptr;
    struct config_request *reply = nullptr;
    json_t *json = nullptr;

    void
    SetUp() override
    {
        static const struct base_task_ops OPS = {base_task_wake_fd, nullptr};
        struct base_error err = {BASE_OK, ""};
        std::string address = fake.address();
        const char *kv[] = {address.c_str()};
        struct platform_desc desc = {};
        desc.kv = kv;
        desc.n_kv = 1;
        desc.call_timeout_ms = 300;
        desc.calls_per_s = 10000;
        fake.start();
        ASSERT_TRUE(base_task_init(&task, "test", &OPS, this, &err));
        platform = platform_start(&desc, &err);
        ASSERT_NE(platform, nullptr);
    }

    void
    TearDown() override
    {
        platform_stop(platform);
        base_task_finish(&task);
        config_request_free(reply);
        json_decref(json);
    }

    static void
    on_reply(struct config_request *request, void *state)
    {
        ((Config *)state)->reply = request;
    }

    int
    run_request(enum config_op op, const char *author, int64_t revision,
                int64_t expect, const std::string &text,
                const char *environment = "production")
    {
        config_request_free(reply);
        reply = nullptr;
        struct config_request *request = config_request_new(op, author);
        request->revision = revision;
        request->expect_revision = expect;
        request->json_in = text.empty() ? nullptr : g_strdup(text.c_str());
        g_strlcpy(request->environment, environment,
                  sizeof(request->environment));
        config_request_send(platform, request, &task, on_reply);
        while (reply == nullptr) {
            base_task_drain(&task);
            g_usleep(500);
        }
        json_decref(json);
        json = json_loads(reply->json_out, 0, nullptr);
        EXPECT_NE(json, nullptr) << reply->json_out;
        return reply->status;
    }

    int
    try_document(int slots, const char *author = "ada")
    {
        return run_request(CONFIG_TRY, author, 0, 0, document(slots));
    }

    int64_t
    number()
    {
        return json_integer_value(json_object_get(json, "number"));
    }

    std::string
    error_member(const char *name)
    {
        return text_member(json_object_get(json, "error"), name);
    }

    std::string
    shown_document()
    {
        std::string out = reply->json_out;
        std::string start = "\"document\":";
        size_t at = out.find(start) + start.size();
        return out.substr(at, out.size() - at - 1);
    }
};

/* A promotion copies the tried document byte for byte, also after another one
 * has been tried. */
TEST_F(Config, PromotesTheTriedDocument)
{
    EXPECT_EQ(run_request(CONFIG_SHOW, "ada", 0, 0, ""), 404);
    ASSERT_EQ(try_document(3), 200) << reply->json_out;
    EXPECT_EQ(number(), 1);
    ASSERT_EQ(try_document(4), 200);
    EXPECT_EQ(number(), 2);
    /* number 1 is now only in trial's history */
    ASSERT_EQ(run_request(CONFIG_PROMOTE, "ada", 1, 0, ""), 200)
        << reply->json_out;
    EXPECT_EQ(number(), 1);
    ASSERT_EQ(run_request(CONFIG_SHOW, "ada", 0, 0, ""), 200);
    EXPECT_EQ(shown_document(), document(3));
    EXPECT_EQ(run_request(CONFIG_PROMOTE, "ada", 9, 0, ""), 404);
}

/* Production has changed since the document was tried: the promotion fails and
 * names the record in force. */
TEST_F(Config, StalePromotionConflicts)
{
    ASSERT_EQ(try_document(3, "ada"), 200);
    ASSERT_EQ(try_document(4, "bob"), 200);
    ASSERT_EQ(run_request(CONFIG_PROMOTE, "bob", 2, 0, ""), 200);
    EXPECT_EQ(run_request(CONFIG_PROMOTE, "ada", 1, 0, ""), 409);
    EXPECT_EQ(error_member("author"), "bob");
    EXPECT_EQ(error_member("code"), "conflict");
    EXPECT_EQ(json_integer_value(
                  json_object_get(json_object_get(json, "error"), "number")),
              1);
    /* succeeds when number 1 is given as the one to replace */
    EXPECT_EQ(run_request(CONFIG_PROMOTE, "ada", 1, 1, ""), 200);
    EXPECT_EQ(number(), 2);
}

/* Another writer changes production between the read and the
 * compare-and-swap: the promotion fails and changes nothing. */
TEST_F(Config, ConcurrentPromotionConflicts)
{
    ASSERT_EQ(try_document(3, "ada"), 200);
    struct config_record other = {1, "bob", 5, g_strdup("{}"), 0, "trial", 7};
    char *text = config_record_format(&other);
    gchar *value = g_base64_encode((guchar *)text, strlen(text));
    fake.before_effect = [&](FakeKv *kv) {
        /* after production was read, before the swap */
        if (kv->paths.back() == "/v3/kv/txn" &&
            kv->records.count("/cp/config/production/current") == 0) {
            kv->records["/cp/config/production/current"] = {value, 77};
        }
    };
    EXPECT_EQ(run_request(CONFIG_PROMOTE, "ada", 1, 0, ""), 409);
    EXPECT_EQ(error_member("author"), "bob");
    EXPECT_EQ(reply->verdict, BASE_NOT_RUN);
    g_free(value);
    g_free(text);
    config_record_finish(&other);
}

/* Every second response of the key-value service is lost after the request
 * took effect; the retries still make each change once. */
TEST_F(Config, LostResponsesCauseNoSecondChange)
{
    for (int i = 0; i < 40; i++) {
        fake.script.push_back(i % 2 == 0 ? TAKES_EFFECT_THEN_CLOSES : ANSWERS);
    }
    ASSERT_EQ(try_document(3), 200) << reply->json_out;
    ASSERT_EQ(run_request(CONFIG_PROMOTE, "ada", 1, 0, ""), 200)
        << reply->json_out;
    EXPECT_EQ(number(), 1);
    EXPECT_EQ(run_request(CONFIG_SHOW, "ada", 0, 0, ""), 200);
    EXPECT_EQ(number(), 1);
}

/* The same promotion sent again by its author succeeds without a new number;
 * another author gets a conflict. */
TEST_F(Config, RepeatedPromotionMakesOneRecord)
{
    ASSERT_EQ(try_document(3), 200);
    ASSERT_EQ(run_request(CONFIG_PROMOTE, "ada", 1, 0, ""), 200);
    EXPECT_EQ(run_request(CONFIG_PROMOTE, "ada", 1, 0, ""), 200);
    EXPECT_EQ(number(), 1);
    EXPECT_EQ(run_request(CONFIG_PROMOTE, "bob", 1, 0, ""), 409);
}

/* A rollback copies an old document to a new number and keeps the history. */
TEST_F(Config, RollbackMakesANewNumber)
{
    for (int slots = 1; slots <= 3; slots++) {
        ASSERT_EQ(try_document(slots), 200);
        ASSERT_EQ(run_request(CONFIG_PROMOTE, "ada", slots, 0, ""), 200);
    }
    ASSERT_EQ(run_request(CONFIG_ROLLBACK, "bob", 1, 0, ""), 200);
    EXPECT_EQ(number(), 4);
    ASSERT_EQ(run_request(CONFIG_SHOW, "bob", 0, 0, ""), 200);
    EXPECT_EQ(shown_document(), document(1));
    EXPECT_EQ(run_request(CONFIG_ROLLBACK, "bob", 2, 3, ""), 409);
    EXPECT_EQ(run_request(CONFIG_ROLLBACK, "bob", 9, 0, ""), 404);
    ASSERT_EQ(run_request(CONFIG_HISTORY, "bob", 0, 0, ""), 200);
    json_t *list = json_object_get(json, "history");
    ASSERT_EQ(json_array_size(list), 4u) << reply->json_out;
    for (int i = 0; i < 4; i++) {
        EXPECT_EQ(json_integer_value(
                      json_object_get(json_array_get(list, i), "number")),
                  4 - i);
    }
}

/* A writer that crashed right after the swap has not copied its record to the
 * history; the next writer does. */
TEST_F(Config, HistoryHasNoGapAfterACrash)
{
    ASSERT_EQ(try_document(1), 200);
    ASSERT_EQ(run_request(CONFIG_PROMOTE, "ada", 1, 0, ""), 200);
    ASSERT_EQ(fake.records.erase("/cp/config/production/history/000000000001"),
              1u);
    ASSERT_EQ(try_document(2), 200);
    ASSERT_EQ(run_request(CONFIG_PROMOTE, "ada", 2, 0, ""), 200);
    ASSERT_EQ(run_request(CONFIG_SHOW, "ada", 1, 0, ""), 200);
    EXPECT_EQ(shown_document(), document(1));
}

/* While the key-value service is unavailable, a promotion ends with 503 and a
 * verdict that says whether the change may have been made. */
TEST_F(Config, OutageVerdictSaysWhetherChangeMayHaveRun)
{
    ASSERT_EQ(try_document(1), 200);
    struct {
        const char *name;
        std::vector<fault> script;
        enum base_verdict verdict;
    } cases[] = {
        {"down from the start",
         std::vector<fault>(1000, CLOSES_WITHOUT_EFFECT), BASE_NOT_RUN},
        {"down from the swap on", {ANSWERS, ANSWERS}, BASE_MAY_HAVE_RUN},
    };
    cases[1].script.insert(cases[1].script.end(), 1000,
                           TAKES_EFFECT_THEN_CLOSES);
    for (const auto &row : cases) {
        fake.set_script(row.script);
        EXPECT_EQ(run_request(CONFIG_PROMOTE, "ada", 1, 0, ""), 503)
            << row.name;
        EXPECT_EQ(reply->verdict, row.verdict) << row.name;
    }
    fake.set_script({});
    /* the change was made, and the same request sent again confirms it */
    EXPECT_EQ(run_request(CONFIG_PROMOTE, "ada", 1, 0, ""), 200);
    EXPECT_EQ(number(), 1);
}

TEST_F(Config, InvalidRequestsAreRefused)
{
    struct {
        enum config_op op;
        const char *author;
        const char *environment;
        const char *text;
        int status;
    } cases[] = {
        {CONFIG_TRY, "ada", "production", "{\"format\":1}", 400},
        {CONFIG_TRY, "ada", "production", "", 400},
        {CONFIG_TRY, "a b", "production", "{\"format\":1}", 400},
        {CONFIG_CHECK, "ada", "production", "{", 400},
        {CONFIG_SHOW, "ada", "staging", "", 404},
        {CONFIG_DIFF, "ada", "production", "[", 400},
    };
    for (const auto &row : cases) {
        EXPECT_EQ(
            run_request(row.op, row.author, 0, 0, row.text, row.environment),
            row.status)
            << row.op << reply->json_out;
    }
    EXPECT_EQ(run_request(CONFIG_CHECK, "ada", 0, 0, document(1)), 200);
    EXPECT_TRUE(fake.records.empty());
}

TEST(Diff, ListsChangedPaths)
{
    struct {
        const char *from;
        const char *to;
        const char *changes;
    } cases[] = {
        {R"({"a":1})", R"({"a":1})", "[]"},
        {"", R"({"a":1})", R"([{"path":"$.a","to":1}])"},
        {R"({"a":1,"b":2})", R"({"a":3})",
         R"([{"path":"$.a","from":1,"to":3},{"path":"$.b","from":2}])"},
        {R"({"s":[{"name":"x","n":1},{"name":"y"}]})",
         R"({"s":[{"name":"y"},{"name":"x","n":2}]})",
         R"([{"path":"$.s[x].n","from":1,"to":2}])"},
        {R"({"s":[{"name":"x"}]})", R"({"s":[{"name":"y"}]})",
         R"([{"path":"$.s[x]","from":{"name":"x"}},)"
         R"({"path":"$.s[y]","to":{"name":"y"}}])"},
        {R"({"z":["a"]})", R"({"z":["a","b"]})",
         R"([{"path":"$.z","from":["a"],"to":["a","b"]}])"},
    };
    for (const auto &row : cases) {
        char *changes = config_diff(row.from, row.to, nullptr);
        EXPECT_STREQ(changes, row.changes);
        g_free(changes);
    }
}

/* A formatted record is parsed unchanged, whatever the document's bytes; only
 * a higher number replaces the one in force. */
TEST(Record, RoundTripKeepsTheDocument)
{
    struct config_record record = {
        7, "ada",   5, g_strdup("{ \"a\\u00e4\" : \"\xc3\xa4\" }\n"),
        6, "trial", 3};
    char *text = config_record_format(&record);
    struct config_record again;
    ASSERT_TRUE(config_record_parse(text, strlen(text), &again, nullptr));
    EXPECT_STREQ(again.document, record.document);
    EXPECT_EQ(again.number, 7);
    EXPECT_EQ(again.base, 6);
    EXPECT_STREQ(again.from_environment, "trial");
    EXPECT_TRUE(config_record_replaces(6, &again));
    EXPECT_FALSE(config_record_replaces(7, &again));
    EXPECT_FALSE(config_record_replaces(8, &again));
    config_record_finish(&again);
    config_record_finish(&record);
    g_free(text);
    EXPECT_FALSE(config_record_parse("{}", 2, &again, nullptr));
    EXPECT_FALSE(config_record_parse("x", 1, &again, nullptr));
}

} // namespace
