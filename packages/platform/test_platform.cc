#include <gtest/gtest.h>

#include <atomic>
#include <cstring>
#include <mutex>
#include <string>
#include <vector>

#include "platform/platform.h"
#include "backends/test_server.h"
#include "platform/test_fake_kv.h"

extern "C" {
#include "platform/breaker.h"
#include "platform/budget.h"
#include "platform/codec.h"
#include "platform/dialect.h"
}

namespace {

/* A platform client, and a task whose mailbox the test drains itself. */
class Client {
  public:
    struct base_counters counters;
    struct base_task task;
    struct platform *platform = nullptr;
    struct platform_kv *answer = nullptr;
    std::vector<std::string> events;

    explicit Client(std::vector<std::string> addresses,
                    const struct platform_dialect *dialect = nullptr)
    {
        static const struct base_task_ops OPS = {base_task_wake_fd, nullptr};
        struct base_error err = {BASE_OK, ""};
        std::vector<const char *> kv;
        for (const auto &address : addresses) {
            kv.push_back(address.c_str());
        }
        struct platform_desc desc = {};
        desc.kv = kv.data();
        desc.n_kv = (int)kv.size();
        desc.call_timeout_ms = 900;
        desc.silence_ms = 200;
        desc.calls_per_s = 1000;
        desc.counters = &counters;
        desc.dialect = dialect;
        base_counters_init(&counters);
        EXPECT_TRUE(base_task_init(&task, "test", &OPS, this, &err));
        platform = platform_start(&desc, &err);
        EXPECT_NE(platform, nullptr) << err.text;
    }

    ~Client()
    {
        platform_kv_free(answer);
        platform_stop(platform);
        base_task_finish(&task);
        base_counters_finish(&counters);
    }

    static void
    on_answer(struct platform_kv *kv, void *state)
    {
        ((Client *)state)->answer = kv;
    }

    static void
    on_event(struct platform_event *event, void *state)
    {
        std::string name = event->is_reset    ? "reset"
                           : event->is_delete ? "delete "
                                              : "put ";
        name += event->entry.key != nullptr ? event->entry.key : "";
        ((Client *)state)->events.push_back(name);
    }

    struct platform_kv *
    call(struct platform_kv *kv)
    {
        platform_kv_free(answer);
        answer = nullptr;
        platform_kv_send(platform, kv, &task, on_answer);
        while (answer == nullptr) {
            base_task_drain(&task);
            g_usleep(1000);
        }
        return answer;
    }

    struct platform_kv *
    put(const char *key, const char *value, int64_t expect)
    {
        struct platform_kv *kv = platform_kv_new(PLATFORM_PUT_IF, key);
        kv->value = g_bytes_new(value, strlen(value));
        kv->expect_revision = expect;
        return call(kv);
    }
};

std::string
value_of(const struct platform_kv *kv)
{
    if (kv->entries->len == 0) {
        return "(none)";
    }
    auto *entry = (struct platform_entry *)kv->entries->pdata[0];
    gsize size;
    auto *data = (const char *)g_bytes_get_data(entry->value, &size);
    return std::string(data, size);
}

/* The status and verdict of a write must say whether it took effect, also when
 * responses are lost.  A lost response must neither make the write look failed
 * nor write it twice. */
struct write_case {
    const char *name;
    std::vector<fault> script;
    int64_t expect;
    enum platform_status status;
    enum base_verdict verdict;
};

class Write : public ::testing::TestWithParam<write_case> {};

TEST_P(Write, ReportsWhetherItTookEffect)
{
    FakeKv fake;
    fake.script = GetParam().script;
    fake.start();
    Client client({fake.address()});
    struct platform_kv *kv = client.put("/a", "one", GetParam().expect);
    EXPECT_EQ(kv->status, GetParam().status) << GetParam().name;
    EXPECT_EQ(kv->verdict, GetParam().verdict) << GetParam().name;
    if (kv->status == PLATFORM_OK) {
        EXPECT_EQ(kv->revision, 11) << "written exactly once";
    }
}

const write_case WRITES[] = {
    {"plain", {}, PLATFORM_ABSENT, PLATFORM_OK, BASE_RAN},
    {"outdated revision", {}, 7, PLATFORM_CONFLICT, BASE_NOT_RUN},
    {"answer lost after effect",
     {TAKES_EFFECT_THEN_CLOSES},
     PLATFORM_ABSENT,
     PLATFORM_OK,
     BASE_RAN},
    {"answer lost twice",
     {TAKES_EFFECT_THEN_CLOSES, TAKES_EFFECT_THEN_CLOSES},
     PLATFORM_ABSENT,
     PLATFORM_OK,
     BASE_RAN},
    {"connection silent after effect",
     {TAKES_EFFECT_THEN_SILENT},
     PLATFORM_ABSENT,
     PLATFORM_OK,
     BASE_RAN},
    {"connection lost before effect",
     {CLOSES_WITHOUT_EFFECT},
     PLATFORM_ABSENT,
     PLATFORM_OK,
     BASE_RAN},
    {"server error",
     {FAILS_503, FAILS_503},
     PLATFORM_ABSENT,
     PLATFORM_OK,
     BASE_RAN},
    {"rejected for good",
     {REJECTS_413},
     PLATFORM_ABSENT,
     PLATFORM_REJECTED,
     BASE_NOT_RUN},
    {"connection lost, then rejected for good",
     {CLOSES_WITHOUT_EFFECT, REJECTS_413},
     PLATFORM_ABSENT,
     PLATFORM_REJECTED,
     BASE_MAY_HAVE_RUN},
    {"no answer to any attempt",
     std::vector<fault>(1000, TAKES_EFFECT_THEN_CLOSES), PLATFORM_ABSENT,
     PLATFORM_UNAVAILABLE, BASE_MAY_HAVE_RUN},
    {"connection lost, then outdated revision",
     {CLOSES_WITHOUT_EFFECT},
     7,
     PLATFORM_CONFLICT,
     BASE_MAY_HAVE_RUN},
};

INSTANTIATE_TEST_SUITE_P(Cases, Write, ::testing::ValuesIn(WRITES));

/* Guards against reads and writes that never succeed because their size, over
 * the link at hand, takes longer than the time limit of a call (900 ms here);
 * and against calls without end. */
struct transfer_case {
    const char *name;
    int n_keys; /* stored, to be listed; 0: one is written */
    size_t value_bytes;
    int delay_ms; /* before each response */
    size_t response_bytes_per_s;
    size_t request_bytes_per_s;
    bool repeats_pages;
    enum platform_status status;
};

class Transfer : public ::testing::TestWithParam<transfer_case> {};

TEST_P(Transfer, TakesAsLongAsItMakesProgress)
{
    const transfer_case &row = GetParam();
    std::string value(row.value_bytes, 'x');
    FakeKv fake;
    int delay_ms = row.delay_ms;
    fake.response_bytes_per_s = row.response_bytes_per_s;
    fake.request_bytes_per_s = row.request_bytes_per_s;
    fake.repeats_pages = row.repeats_pages;
    fake.before_effect = [delay_ms](FakeKv *) { g_usleep(delay_ms * 1000); };
    for (int i = 0; i < row.n_keys; i++) {
        gchar *text =
            g_base64_encode((const guchar *)value.data(), value.size());
        char key[16];
        g_snprintf(key, sizeof(key), "/l/%06d", i);
        fake.records[key] = {text, 10};
        g_free(text);
    }
    fake.start();
    Client client({fake.address()});
    if (row.n_keys == 0) {
        EXPECT_EQ(client.put("/a", value.c_str(), PLATFORM_ABSENT)->status,
                  row.status);
        return;
    }
    struct platform_kv *kv =
        client.call(platform_kv_new(PLATFORM_LIST, "/l/"));
    EXPECT_EQ(kv->status, row.status) << kv->err.text;
    if (row.status == PLATFORM_OK) {
        EXPECT_EQ(kv->entries->len, (guint)row.n_keys);
    }
}

/* Guards against a response without end that a node keeps until its memory is
 * used up, and against a call that goes on for as long as bytes come. */
TEST(Platform, AResponseWithoutEndIsBroken)
{
    FakeKv fake;
    fake.is_endless = true;
    fake.start();
    Client client({fake.address()});
    struct platform_kv *kv = client.call(platform_kv_new(PLATFORM_GET, "/a"));
    EXPECT_EQ(kv->status, PLATFORM_UNAVAILABLE);
    /* The limit, and what fits into the buffers of the connection. */
    EXPECT_LE(fake.longest_response, (size_t)48 << 20);
}

const transfer_case TRANSFERS[] = {
    {"pages that take longer together", 1100, 10, 200, 0, 0, false,
     PLATFORM_OK},
    {"a large page over a slow link", 1, 300000, 0, 200000, 0, false,
     PLATFORM_OK},
    {"a large write over a slow link", 0, 1000000, 0, 0, 500000, false,
     PLATFORM_OK},
    {"a page that hardly gets on", 1, 300000, 0, 8000, 0, false,
     PLATFORM_UNAVAILABLE},
    {"the same page again and again", 300, 10, 0, 0, 0, true,
     PLATFORM_UNAVAILABLE},
};

INSTANTIATE_TEST_SUITE_P(Cases, Transfer, ::testing::ValuesIn(TRANSFERS));

TEST(Platform, ConflictReturnsTheCurrentRecord)
{
    FakeKv fake;
    fake.start();
    Client client({fake.address()});
    ASSERT_EQ(client.put("/a", "one", PLATFORM_ABSENT)->status, PLATFORM_OK);
    struct platform_kv *kv = client.put("/a", "two", PLATFORM_ABSENT);
    EXPECT_EQ(kv->status, PLATFORM_CONFLICT);
    EXPECT_EQ(value_of(kv), "one");
    kv = client.call(platform_kv_new(PLATFORM_GET, "/a"));
    EXPECT_EQ(kv->status, PLATFORM_OK);
    EXPECT_EQ(kv->revision, 11);
    EXPECT_EQ(value_of(kv), "one");
}

/* The response to the first attempt is lost and another writer replaces the
 * record before the second one: the write must not be reported as not run. */
TEST(Platform, ReplacedAfterLostResponseMayHaveRun)
{
    FakeKv fake;
    int n = 0;
    fake.script = {TAKES_EFFECT_THEN_CLOSES};
    fake.before_effect = [&n](FakeKv *kv) {
        if (++n == 2) { /* another writer, between two attempts */
            kv->records["/a"] = {"b3RoZXI=", 99};
        }
    };
    fake.start();
    Client client({fake.address()});
    struct platform_kv *kv = client.put("/a", "one", PLATFORM_ABSENT);
    EXPECT_EQ(kv->status, PLATFORM_CONFLICT);
    EXPECT_EQ(kv->verdict, BASE_MAY_HAVE_RUN);
    EXPECT_EQ(value_of(kv), "other");
}

/* The second attempt finds no key, which must not look like a conflict. */
TEST(Platform, DeleteWithLostResponseSucceeds)
{
    FakeKv fake;
    fake.script = {ANSWERS, TAKES_EFFECT_THEN_CLOSES};
    fake.start();
    Client client({fake.address()});
    struct platform_kv *put = client.put("/a", "one", PLATFORM_ABSENT);
    struct platform_kv *kv = platform_kv_new(PLATFORM_DELETE_IF, "/a");
    kv->expect_revision = put->revision;
    EXPECT_EQ(client.call(kv)->status, PLATFORM_OK);
    EXPECT_EQ(fake.calls_of("/v3/kv/txn"), 3);
}

TEST(Platform, UnknownLeaseIsReportedAsExpired)
{
    FakeKv fake;
    fake.start();
    Client client({fake.address()});
    struct platform_kv *kv = platform_kv_new(PLATFORM_LEASE_GRANT, nullptr);
    kv->ttl_ms = 5000;
    kv = client.call(kv);
    ASSERT_EQ(kv->status, PLATFORM_OK);
    int64_t lease = kv->lease;
    EXPECT_GT(lease, 0);
    EXPECT_GT(kv->sent_ms, 0);
    struct {
        enum platform_op op;
        bool exists;
        enum platform_status status;
    } cases[] = {
        {PLATFORM_LEASE_KEEP, true, PLATFORM_OK},
        {PLATFORM_LEASE_KEEP, false, PLATFORM_LEASE_EXPIRED},
        {PLATFORM_LEASE_REVOKE, false, PLATFORM_LEASE_EXPIRED},
    };
    for (const auto &row : cases) {
        fake.leases_exist = row.exists;
        kv = platform_kv_new(row.op, nullptr);
        kv->lease = lease;
        EXPECT_EQ(client.call(kv)->status, row.status) << row.op;
    }
}

/* Adds the write of a value of some bytes to a transaction. */
void
add_write(struct platform_kv *kv, const std::string &key, size_t size)
{
    std::string value(size, 'v');
    platform_kv_write(kv, key.c_str(), g_bytes_new(value.data(), size), 0);
}

/* Guards against writers that send what the service can never take, for ever:
 * the client knows the limits, and rejects the operation without a call. */
TEST(Platform, AWriteAboveTheLimitsIsRejectedWithoutACall)
{
    enum { LONG_MS = 60000 }; /* the fake is slow with a large value */
    const size_t largest = (1 << 20) - PLATFORM_IDENTITY_BYTES;
    struct {
        const char *name;
        size_t value_bytes;
        int n_writes;
        int n_conditions;
        enum platform_status want;
    } cases[] = {
        {"the largest value", largest, 1, 1, PLATFORM_OK},
        {"a value too large by a byte", largest + 1, 1, 1, PLATFORM_REJECTED},
        {"the most entries", 1, 16, 16, PLATFORM_OK},
        {"an entry too many", 1, 16, 17, PLATFORM_REJECTED},
    };

    for (const auto &row : cases) {
        SCOPED_TRACE(row.name);
        FakeKv fake;
        fake.start();
        Client client({fake.address()});
        struct platform_kv *kv = platform_kv_new(PLATFORM_TXN, "t");
        kv->timeout_ms = LONG_MS;
        for (int i = 0; i < row.n_conditions; i++) {
            platform_kv_expect(kv, ("/k" + std::to_string(i)).c_str(),
                               PLATFORM_ABSENT);
        }
        for (int i = 0; i < row.n_writes; i++) {
            add_write(kv, "/k" + std::to_string(i), row.value_bytes);
        }
        EXPECT_EQ(client.call(kv)->status, row.want);
        if (row.want == PLATFORM_REJECTED) {
            EXPECT_EQ(client.answer->verdict, BASE_NOT_RUN);
            EXPECT_EQ(fake.paths.size(), 0u);
        }
        kv = platform_kv_new(PLATFORM_PUT_IF, "/p");
        kv->timeout_ms = LONG_MS;
        kv->value =
            g_bytes_new_take(g_malloc0(row.value_bytes), row.value_bytes);
        kv->expect_revision = PLATFORM_ABSENT;
        EXPECT_EQ(client.call(kv)->status,
                  row.value_bytes > largest ? PLATFORM_REJECTED : PLATFORM_OK);
    }
}

TEST(Platform, RefusedConnectionIsReportedAsNotRun)
{
    std::string unused_address;
    {
        FakeKv closed;
        unused_address = closed.address();
    }
    Client client({unused_address});
    struct platform_kv *kv = client.put("/a", "one", PLATFORM_ABSENT);
    EXPECT_EQ(kv->status, PLATFORM_UNAVAILABLE);
    EXPECT_EQ(kv->verdict, BASE_NOT_RUN);
}

TEST(Platform, UsesTheNextEndpointAfterAFailure)
{
    FakeKv fake;
    fake.start();
    std::string unused_address;
    {
        FakeKv closed;
        unused_address = closed.address();
    }
    Client client({unused_address, fake.address()});
    EXPECT_EQ(client.put("/a", "one", PLATFORM_ABSENT)->status, PLATFORM_OK);
    EXPECT_GE(
        base_counter_value(base_counter(&client.counters, "kv_errors_total")),
        1);
}

TEST(Platform, LargeValueArrivesComplete)
{
    FakeKv fake;
    fake.start();
    Client client({fake.address()});
    std::string large(1000000, 'x');
    EXPECT_EQ(client.put("/a", large.c_str(), PLATFORM_ABSENT)->status,
              PLATFORM_OK);
    EXPECT_EQ(value_of(client.call(platform_kv_new(PLATFORM_GET, "/a"))),
              large);
}

/* A connection whose other end no longer responds must not stop the watch. */
std::string
in_chunk(const std::string &body, const char *extension, const char *trailer)
{
    char size[32];
    snprintf(size, sizeof(size), "%zx", body.size());
    return std::string(size) + extension + "\r\n" + body + "\r\n0\r\n" +
           trailer + "\r\n";
}

/* Guards against responses of the service that are valid HTTP/1.1 and are
 * never read to their end, so that no node has a configuration. */
TEST(Platform, ResponsesAreReadHoweverTheyAreFramed)
{
    const std::string chunked = "transfer-encoding: chunked\r\n";
    struct {
        const char *name;
        std::string framing;
        std::function<std::string(const std::string &)> frame;
    } cases[] = {
        {"chunks", chunked,
         [](const std::string &body) { return in_chunk(body, "", ""); }},
        {"a chunk extension", chunked,
         [](const std::string &body) { return in_chunk(body, ";a=b", ""); }},
        {"a trailer", chunked,
         [](const std::string &body) {
             return in_chunk(body, "", "x-sum: 1\r\n");
         }},
        {"Chunked", "Transfer-Encoding: Chunked\r\n",
         [](const std::string &body) { return in_chunk(body, "", ""); }},
        {"neither length nor chunks", "",
         [](const std::string &body) { return body; }},
        {"a head of 5 KB", "x-trace: " + std::string(5000, 'a') + "\r\n",
         nullptr},
        {"a head of 60 KB", "x-trace: " + std::string(60000, 'a') + "\r\n",
         nullptr},
    };

    for (const auto &row : cases) {
        SCOPED_TRACE(row.name);
        FakeKv fake;
        fake.framing = row.framing;
        fake.frame = row.frame;
        fake.start();
        Client client({fake.address()});
        EXPECT_EQ(client.put("/a", "value", PLATFORM_ABSENT)->status,
                  PLATFORM_OK);
        EXPECT_EQ(value_of(client.call(platform_kv_new(PLATFORM_GET, "/a"))),
                  "value");
    }
}

TEST(Platform, WatchWithoutDataIsReplacedByANewConnection)
{
    FakeKv fake;
    fake.silent_watches = 2;
    fake.watch_lines = {
        R"({"result":{"created":true,"header":{"revision":"3"}}})",
        R"({"result":{"header":{"revision":"4"},"events":[)"
        R"({"kv":{"key":"L2E=","mod_revision":"4","value":"eA=="}},)"
        R"({"type":"DELETE","kv":{"key":"L2I=","mod_revision":"4"}}]}})"};
    fake.start();
    Client client({fake.address()});
    uint64_t watch = platform_watch(client.platform, "/", &client.task,
                                    nullptr, Client::on_event);
    while (client.events.size() < 6) { /* the third watch stops sending too */
        base_task_drain(&client.task);
        g_usleep(1000);
    }
    platform_unwatch(client.platform, watch);
    const std::vector<std::string> want = {"reset", "put /a", "delete /b"};
    for (size_t i = 0; i < 6; i++) {
        EXPECT_EQ(client.events[i], want[i % 3]);
    }
    EXPECT_GE(fake.calls_of("/v3/watch"), 4);
}

/* The service refuses everything for a while.  Many calls that wait for it
 * must not each retry: single probes are sent until it answers, and then all
 * calls succeed. */
TEST(Platform, AnOutageIsMetWithSingleProbes)
{
    const int n_calls = 40;
    const int n_probes = 20; /* far fewer fit between the back-offs */
    FakeKv fake;
    fake.records["k"] = {"dg==", 5};
    fake.script = std::vector<fault>(100000, FAILS_503);
    fake.start();
    Client client({fake.address()});
    int n_answered = 0;
    int n_ok = 0;

    for (int i = 0; i < n_calls; i++) {
        struct platform_kv *kv = platform_kv_new(PLATFORM_GET, "k");
        kv->timeout_ms = 60000;
        platform_kv_send(client.platform, kv, &client.task,
                         [](struct platform_kv *kv, void *state) {
                             auto *test = (Client *)state;
                             test->events.push_back(
                                 kv->status == PLATFORM_OK ? "ok" : "failed");
                             platform_kv_free(kv);
                         });
    }
    g_usleep(1000000);
    EXPECT_LE(fake.n_requests(), n_calls + n_probes);
    fake.set_script({});
    while (n_answered < n_calls) {
        base_task_drain(&client.task);
        n_answered = (int)client.events.size();
        g_usleep(1000);
    }
    for (const auto &event : client.events) {
        n_ok += event == "ok";
    }
    EXPECT_EQ(n_ok, n_calls);
}

/* Each step starts a call, if one may start, and then ends it. */
TEST(Breaker, ProbesOneAtATimeOnceFailuresComeInARow)
{
    struct {
        const char *name;
        std::string results; /* of earlier calls: '+' answered, '-' failed */
        int64_t wait_ms;     /* 50 ms are the back-off of each failure */
    } cases[] = {
        {"no call yet", "", 0},
        {"a lost answer", "-", 0},
        {"every second answer lost", "-+-+-+-", 0},
        {"three in a row", "---", 50},
        {"still failing", "-----", 50},
        {"answers again", "-----+", 0},
    };

    for (const auto &row : cases) {
        struct platform_breaker breaker = {};
        for (char result : row.results) {
            platform_breaker_start(&breaker);
            if (result == '+') {
                platform_breaker_succeeded(&breaker);
            }
            else {
                platform_breaker_failed(&breaker, 1000, 50);
            }
        }
        EXPECT_EQ(platform_breaker_wait_ms(&breaker, 1000), row.wait_ms)
            << row.name;
        EXPECT_EQ(platform_breaker_wait_ms(&breaker, 1050), 0) << row.name;
        platform_breaker_start(&breaker);
        EXPECT_EQ(platform_breaker_wait_ms(&breaker, 1050),
                  row.wait_ms > 0 ? -1 : 0)
            << row.name;
    }
}

TEST(Budget, AllowsOneSecondAtOnceAndThenTheRate)
{
    struct platform_budget budget;
    platform_budget_init(&budget, 10, 0);
    int taken = 0;
    for (int64_t now_ms = 0; now_ms <= 5000; now_ms += 10) {
        while (platform_budget_take(&budget, now_ms)) {
            taken++;
        }
    }
    EXPECT_EQ(taken, 10 + 50);
    EXPECT_EQ(platform_budget_wait_ms(&budget), 100);
    EXPECT_FALSE(platform_budget_take(&budget, 5099));
    EXPECT_TRUE(platform_budget_take(&budget, 5100));
}

TEST(Codec, ListRequestsTheNextPageAfterTheLastKey)
{
    struct platform_kv *kv = platform_kv_new(PLATFORM_LIST, "/j/");
    GString *body = platform_encode(kv);
    EXPECT_STREQ(body->str, "{\"key\":\"L2ov\",\"range_end\":\"L2ow\","
                            "\"limit\":\"200\"}");
    g_string_free(body, TRUE);
    const char *page = R"({"header":{"revision":"5"},"more":true,"kvs":[)"
                       R"({"key":"L2ovMQ==","mod_revision":"4"}]})";
    EXPECT_EQ(platform_decode(kv, false, 200, page, strlen(page)),
              PLATFORM_DECODE_MORE);
    body = platform_encode(kv);
    EXPECT_STREQ(body->str, "{\"key\":\"L2ovMQA=\",\"range_end\":\"L2ow\","
                            "\"limit\":\"200\"}");
    g_string_free(body, TRUE);
    EXPECT_EQ(kv->entries->len, 1u);
    platform_kv_free(kv);
}

/* fuzz_platform found that the key was NULL. */
TEST(Codec, RecordWithoutKeyGetsAnEmptyKey)
{
    struct platform_kv *kv = platform_kv_new(PLATFORM_LIST, "/j/");
    const char *page = R"({"header":{"revision":"5"},"more":true,)"
                       R"("kvs":[{"mod_revision":"4"}]})";
    platform_decode(kv, false, 200, page, strlen(page));
    ASSERT_EQ(kv->entries->len, 1u);
    auto *entry = (struct platform_entry *)kv->entries->pdata[0];
    EXPECT_STREQ(entry->key, "");
    EXPECT_NE(entry->value, nullptr);
    platform_kv_free(kv);
}

TEST(Codec, MalformedResponseIsRejected)
{
    const char *const cases[] = {"",    "{", "[]", "{}", "{\"header\":3}",
                                 "null"};
    const enum platform_op ops[] = {PLATFORM_GET, PLATFORM_PUT_IF,
                                    PLATFORM_LEASE_GRANT, PLATFORM_LEASE_KEEP};
    for (enum platform_op op : ops) {
        for (const char *text : cases) {
            struct platform_kv *kv = platform_kv_new(op, "/a");
            EXPECT_EQ(platform_decode(kv, false, 200, text, strlen(text)),
                      PLATFORM_DECODE_BAD)
                << op << " " << text;
            platform_kv_free(kv);
        }
    }
}

/* ---- watches by long polling ---- */

/* What the dialect below has been asked for. */
struct Polls {
    std::mutex lock;
    std::vector<int64_t> waits_ms;
};

Polls polls;

void
encode_list(const struct platform_kv *, struct platform_encoded_request *out)
{
    out->method = "GET";
    out->path = g_strdup("/list");
}

enum platform_decoded
decode_list(struct platform_kv *kv, bool, int, const char *, size_t)
{
    kv->status = PLATFORM_OK;
    kv->revision = 1;
    return PLATFORM_DECODED;
}

void
encode_poll(const char *, int64_t, int64_t wait_ms,
            struct platform_encoded_request *out)
{
    std::lock_guard<std::mutex> guard(polls.lock);
    polls.waits_ms.push_back(wait_ms);
    out->method = "GET";
    out->path = g_strdup("/poll");
}

enum platform_poll_status
decode_poll(int, const char *, size_t, struct platform_changes *changes)
{
    changes->revision = 1;
    changes->events = g_ptr_array_new();
    return PLATFORM_POLL_OK;
}

const struct platform_dialect POLLING = {encode_list, decode_list, encode_poll,
                                         decode_poll};

/* A client that watches a prefix by long polling. */
struct PollClient {
    struct base_task task;
    struct platform *platform = nullptr;
    int n_listings = 0;
    std::vector<int64_t> outages_ms;
    uint64_t watch;

    explicit PollClient(int port)
    {
        static const struct base_task_ops OPS = {base_task_wake_fd, nullptr};
        std::string address = "127.0.0.1:" + std::to_string(port);
        const char *kv[] = {address.c_str()};
        struct base_error err = {};
        struct platform_desc desc = {};
        desc.kv = kv;
        desc.n_kv = 1;
        desc.calls_per_s = 1000;
        desc.min_poll_ms = 1;
        desc.dialect = &POLLING;
        polls.waits_ms.clear();
        EXPECT_TRUE(base_task_init(&task, "test", &OPS, this, &err));
        platform = platform_start(&desc, &err);
        EXPECT_NE(platform, nullptr) << err.text;
        watch = platform_watch(platform, "p/", &task, nullptr, on_event);
    }
    ~PollClient()
    {
        platform_unwatch(platform, watch);
        platform_stop(platform);
        base_task_drain(&task);
        base_task_finish(&task);
    }
    static void
    on_event(struct platform_event *event, void *state)
    {
        PollClient *self = (PollClient *)state;
        self->n_listings += event->is_reset ? 1 : 0;
        if (event->is_regained) {
            self->outages_ms.push_back(event->outage_ms);
        }
    }
    /* Waits until the client has sent n_polls polls. */
    bool
    has_polled(size_t n_polls)
    {
        for (int waited = 0; waited < 20000; waited++) {
            base_task_drain(&task);
            {
                std::lock_guard<std::mutex> guard(polls.lock);
                if (polls.waits_ms.size() >= n_polls) {
                    return true;
                }
            }
            g_usleep(1000);
        }
        return false;
    }
};

const char EMPTY_RESPONSE[] = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

/* The path of a list whose prefix and last key fill it. */
std::string
long_path()
{
    return "/list?prefix=" + std::string(30000, 'p');
}

void
encode_long_list(const struct platform_kv *,
                 struct platform_encoded_request *out)
{
    out->method = "GET";
    out->path = g_strdup(long_path().c_str());
}

/* Guards against a buffer that cuts the request line. */
TEST(Platform, LongPathsAreSentWhole)
{
    static const struct platform_dialect DIALECT = {
        encode_long_list, decode_list, encode_poll, decode_poll};
    struct test_server server(
        [](int fd, const std::string &) { test_write(fd, EMPTY_RESPONSE); });
    Client client({"127.0.0.1:" + std::to_string(server.port)}, &DIALECT);

    EXPECT_EQ(client.call(platform_kv_new(PLATFORM_LIST, "p"))->status,
              PLATFORM_OK);
    std::string arrived = server.requests().at(0);
    EXPECT_TRUE(arrived.substr(0, arrived.find("\r\n")) ==
                "GET " + long_path() + " HTTP/1.1");
}

/* A poll whose connection has gone silent hides changes until its time-out,
 * and all nodes may poll at the same time.  Four seconds after the connections
 * have gone silent, a change must be known within 2,500 ms. */
TEST(PlatformPoll, SilentPollEndsBeforeAChangeIsOverdue)
{
    enum { N_POLLS = 5, MAX_WAIT_MS = 5000 };
    struct test_server server(
        [](int fd, const std::string &) { test_write(fd, EMPTY_RESPONSE); });
    PollClient client(server.port);
    ASSERT_TRUE(client.has_polled(N_POLLS));
    std::lock_guard<std::mutex> guard(polls.lock);
    for (int64_t wait_ms : polls.waits_ms) {
        EXPECT_LE(wait_ms, MAX_WAIT_MS);
    }
}

/* The service may end a waiting poll at any time.  The wait before that was no
 * outage, in which entries could have lapsed. */
TEST(PlatformPoll, AWatchThatIsCutReportsNoOutage)
{
    enum { CUT_AFTER_MS = 2500 };
    std::atomic<int> n_requests{0};
    struct test_server server([&](int fd, const std::string &) {
        if (++n_requests == 2) {
            g_usleep(CUT_AFTER_MS * 1000);
            return;
        }
        test_write(fd, EMPTY_RESPONSE);
    });
    PollClient client(server.port);
    ASSERT_TRUE(client.has_polled(4));
    EXPECT_GE(client.n_listings, 1);
    for (int64_t outage_ms : client.outages_ms) {
        EXPECT_LT(outage_ms, CUT_AFTER_MS);
    }
}

} // namespace
