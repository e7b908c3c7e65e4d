#include <gtest/gtest.h>

#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <set>
#include <string>
#include <vector>

#include "base/base.h"
#include "base/budget.h"
#include "base/http_text.h"
#include "base/test_ports.h"

/* What these let pass is written into requests and stored as it is. */
TEST(HttpText, OnlyStringsThatStayInTheirPlaceAreValid)
{
    struct {
        const char *text;
        bool is_token, is_target, is_value, is_id, is_storable;
    } cases[] = {
        {"", false, false, true, false, true},
        {"/a?b=%00", false, true, true, true, true},
        {"x-a", true, true, true, true, true},
        {"a:", false, true, true, true, true},
        {"a b", false, false, true, true, true},
        {" a", false, false, true, false, true},
        {"a\t", false, false, true, false, true},
        {"a\r\nb", false, false, false, false, true},
        {"a\nb", false, false, false, false, true},
        {"\x7f", false, false, false, false, true},
        {"caf\xc3\xa9", false, true, true, true, true},
        {"caf\xe9", false, true, true, true, false},
        {"\xed\xa0\x80", false, true, true, true, false}, /* a surrogate */
    };

    for (const auto &row : cases) {
        SCOPED_TRACE(row.text);
        EXPECT_EQ(base_http_is_token(row.text), row.is_token);
        EXPECT_EQ(base_http_is_target(row.text), row.is_target);
        EXPECT_EQ(base_http_is_value(row.text), row.is_value);
        EXPECT_EQ(base_http_is_id(row.text), row.is_id);
        EXPECT_EQ(base_text_is_storable(row.text), row.is_storable);
        json_t *json = json_string(row.text);
        EXPECT_EQ(json != nullptr, row.is_storable);
        json_decref(json);
        json = base_json_text(row.text);
        EXPECT_EQ(json_is_string(json), true);
        json_decref(json);
    }
    EXPECT_TRUE(base_http_is_hop_header("Transfer-Encoding"));
    EXPECT_FALSE(base_http_is_hop_header("x-te"));
}

/* A handle to a removed element stays invalid after its slot is reused. */
TEST(Table, StaleHandleFindsNoElement)
{
    struct base_table table;
    base_table_init(&table, sizeof(int));
    std::vector<struct base_handle> handles;
    for (int i = 0; i < 100; i++) {
        struct base_handle handle = base_table_add(&table);
        *(int *)base_table_get(&table, handle) = i;
        handles.push_back(handle);
    }
    EXPECT_TRUE(base_table_remove(&table, handles[7]));
    EXPECT_FALSE(base_table_remove(&table, handles[7]));
    struct base_handle reused = base_table_add(&table);
    EXPECT_EQ(reused.slot, handles[7].slot);
    EXPECT_EQ(base_table_get(&table, handles[7]), nullptr);
    EXPECT_NE(base_table_get(&table, reused), nullptr);
    EXPECT_EQ(*(int *)base_table_get(&table, handles[99]), 99);
    uint32_t cursor = 0;
    unsigned seen = 0;
    while (base_table_next(&table, &cursor).generation != 0) {
        seen++;
    }
    EXPECT_EQ(seen, 100u);
    struct base_handle again =
        base_handle_unpack(base_handle_pack(handles[3]));
    EXPECT_EQ(again.generation, handles[3].generation);
    base_table_finish(&table);
}

/* A valid header is formatted as it was parsed; others are rejected. */
TEST(Traceparent, ParsesValidHeadersOnly)
{
    struct {
        const char *text;
        bool is_valid;
    } cases[] = {
        {"00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", true},
        {"00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331", false},
        {"00-0af7651916cd43dd8448eb211c80319x-b7ad6b7169203331-01", false},
        {"", false},
        {nullptr, false},
    };
    for (const auto &row : cases) {
        struct base_span_context context;
        EXPECT_EQ(base_traceparent_parse(row.text, &context), row.is_valid)
            << (row.text ? row.text : "(null)");
        if (row.is_valid) {
            char again[BASE_TRACEPARENT_SIZE];
            base_traceparent_format(&context, again);
            EXPECT_STREQ(again, row.text);
        }
    }
}

TEST(Counters, AreRenderedInPrometheusFormat)
{
    struct base_counters counters;
    base_counters_init(&counters);
    base_counter_add(base_counter(&counters, "requests_total{class=\"a\"}"),
                     3);
    base_counter_set(base_gauge(&counters, "open"), -1);
    GString *out = g_string_new(nullptr);
    base_counters_render(&counters, out);
    EXPECT_STREQ(out->str, "# TYPE cardamompick_requests_total counter\n"
                           "cardamompick_requests_total{class=\"a\"} 3\n"
                           "# TYPE cardamompick_open gauge\n"
                           "cardamompick_open -1\n");
    g_string_free(out, TRUE);
    base_counters_finish(&counters);
}

struct echo {
    struct base_call call;
    int value;
};

static void
serve_echo(struct base_call *call, void *state)
{
    ((struct echo *)call)->value += *(int *)state;
    base_call_reply(call);
}

static void
echo_done(struct base_call *call, void *state)
{
    *(int *)state = ((struct echo *)call)->value;
    g_free(call);
}

static void
drop_echo(struct base_call *call)
{
    g_free(call);
}

static void
run_poll_loop(struct base_task *task)
{
    while (!base_task_is_stopping(task)) {
        base_task_clear_wake_fd(task);
        base_task_drain(task);
        g_usleep(100);
    }
}

/* A sender may be freed as soon as it has its reply, so the replying thread
 * must not access it after base_task_finish.  The sanitizers report it if it
 * does. */
TEST(Task, SenderMayBeFreedAfterItsReply)
{
    const struct base_task_ops task_ops = {base_task_wake_fd, run_poll_loop};
    const struct base_call_ops echo_ops = {serve_echo, echo_done, drop_echo};
    int add = 5;
    struct base_task server;
    struct base_error err = {BASE_OK, ""};
    ASSERT_TRUE(base_task_init(&server, "server", &task_ops, &add, &err));
    ASSERT_TRUE(base_task_start(&server, &err));
    for (int i = 0; i < 500; i++) {
        int result = 0;
        struct base_task *caller = g_new0(struct base_task, 1);
        ASSERT_TRUE(
            base_task_init(caller, "caller", &task_ops, &result, &err));
        struct echo *echo = g_new0(struct echo, 1);
        echo->value = i;
        base_call_send(&echo->call, &echo_ops, &server, caller);
        while (base_task_drain(caller) == 0) {
        }
        base_task_finish(caller);
        g_free(caller);
        EXPECT_EQ(result, i + 5);
    }
    base_task_stop(&server);
    base_task_finish(&server);
}

TEST(Task, ReplyReachesTheSender)
{
    const struct base_task_ops task_ops = {base_task_wake_fd, run_poll_loop};
    const struct base_call_ops echo_ops = {serve_echo, echo_done, drop_echo};
    int add = 5;
    int result = 0;
    struct base_task server;
    struct base_task caller;
    struct base_error err = {BASE_OK, ""};
    ASSERT_TRUE(base_task_init(&server, "server", &task_ops, &add, &err));
    ASSERT_TRUE(base_task_init(&caller, "caller", &task_ops, &result, &err));
    ASSERT_TRUE(base_task_start(&server, &err));
    struct echo *echo = g_new0(struct echo, 1);
    echo->value = 37;
    base_call_send(&echo->call, &echo_ops, &server, &caller);
    while (base_task_drain(&caller) == 0) {
        g_usleep(100);
    }
    EXPECT_EQ(result, 42);
    base_task_stop(&server);
    base_task_finish(&server);
    base_task_finish(&caller);
}

/* Lines over the rate limit are left out and counted in lines_left_out; a
 * notice is written even then. */
TEST(Log, LinesOverTheRateLimitAreCounted)
{
    char name[] = "/tmp/cardamompick-log-XXXXXX";
    int file = mkstemp(name);
    int saved = dup(STDOUT_FILENO);
    std::string text;
    char buffer[65536];

    ASSERT_GE(file, 0);
    fflush(stdout);
    dup2(file, STDOUT_FILENO);
    for (int i = 0; i < 5000; i++) {
        base_log(BASE_LOG_INFO, "test.many", "n=%d", i);
    }
    base_log(BASE_LOG_NOTICE, "test.notice", "%s", "");
    dup2(saved, STDOUT_FILENO);
    close(saved);
    lseek(file, 0, SEEK_SET);
    for (ssize_t n; (n = read(file, buffer, sizeof(buffer))) > 0;) {
        text.append(buffer, (size_t)n);
    }
    close(file);
    unlink(name);
    EXPECT_NE(text.find("event=test.many n=0\n"), std::string::npos);
    size_t notice = text.find("event=test.notice");
    ASSERT_NE(notice, std::string::npos);
    /* Each line is either written or counted as left out. */
    int64_t n_lines = std::count(text.begin(), text.end(), '\n');
    int64_t n_left_out = 0;
    for (size_t at = 0;
         (at = text.find("lines_left_out=", at)) != std::string::npos; at++) {
        n_left_out += atol(text.c_str() + at + 15);
    }
    EXPECT_EQ(n_lines + n_left_out, 5001);
    EXPECT_GT(n_left_out, 0);
}

TEST(Budget, TakesWhatIsLeftAndAlwaysOneHolder)
{
    struct {
        const char *name;
        int64_t held;
        int64_t wanted;
        bool is_taken;
    } cases[] = {
        {"less than is left", 40, 50, true},
        {"all that is left", 40, 60, true},
        {"more than is left", 40, 61, false},
        {"more than the whole, alone", 0, 200, true},
        {"more than the whole, beside another", 1, 200, false},
    };

    for (const auto &row : cases) {
        SCOPED_TRACE(row.name);
        struct base_budget budget;
        base_budget_init(&budget, 100);
        base_budget_add(&budget, row.held);
        EXPECT_EQ(base_budget_take(&budget, row.wanted), row.is_taken);
        EXPECT_EQ(base_budget_used(&budget),
                  row.held + (row.is_taken ? row.wanted : 0));
        base_budget_give(&budget, row.held);
        EXPECT_EQ(base_budget_used(&budget), row.is_taken ? row.wanted : 0);
    }
}

/* A node of a test could not listen when two of its addresses had one port. */
TEST(TestPorts, NoPortIsReturnedTwice)
{
    enum { N_PORTS = 3000 };
    std::set<int> ports;
    for (int i = 0; i < N_PORTS; i++) {
        ports.insert(test_free_port());
    }
    EXPECT_EQ(ports.size(), N_PORTS);
}
