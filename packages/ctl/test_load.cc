#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "ctl/load_check.h"
#include "ctl/load_plan.h"

namespace {

struct load_settings
make_settings(uint64_t seed, GPtrArray *operators)
{
    struct load_settings settings = {};

    settings.seed = seed;
    settings.rate = 100;
    settings.seconds = 20;
    settings.burst_factor = 5;
    settings.burst_every_s = 2;
    settings.burst_s = 0.5;
    settings.tokens[LOAD_SHORT] = {LOAD_LOGNORMAL, 32, 0.6};
    settings.tokens[LOAD_LONG] = {LOAD_UNIFORM, 512, 1024};
    settings.long_share = 0.1;
    settings.prefixes = 4;
    settings.prefix_bytes = 400;
    settings.operators = operators;
    settings.n_urls = 3;
    return settings;
}

std::vector<struct load_request>
draw(const struct load_settings &settings)
{
    std::vector<struct load_request> all;
    struct load_plan plan;
    struct load_request request;

    load_plan_init(&plan, &settings);
    while (load_plan_next(&plan, &request)) {
        all.push_back(request);
    }
    load_plan_finish(&plan);
    return all;
}

std::string
event(const char *id, const char *content, const char *finish)
{
    std::string delta =
        content[0] ? std::string("{\"content\":\"") + content + "\"}" : "{}";
    return std::string("data: {\"id\":\"") + id +
           "\",\"choices\":[{\"index\":0,\"delta\":" + delta +
           ",\"finish_reason\":" + finish + "}]}\n\n";
}

} // namespace

/* The same seed gives the same requests, another seed gives other times.
 * Rates and shares agree with the settings, and requests with one prefix
 * index share the beginning of their prompts. */
TEST(LoadPlan, SeedDeterminesAllRequests)
{
    char desk[] = "desk";
    char shop[] = "shop";
    struct load_operator operators[2] = {{desk, nullptr, 3},
                                         {shop, nullptr, 1}};
    GPtrArray *list = g_ptr_array_new();
    g_ptr_array_add(list, &operators[0]);
    g_ptr_array_add(list, &operators[1]);
    struct load_settings settings = make_settings(7, list);
    auto first = draw(settings);
    auto again = draw(settings);
    settings.seed = 8;
    auto other = draw(settings);

    ASSERT_EQ(first.size(), again.size());
    int longs = 0;
    int shops = 0;
    int64_t last_us = 0;
    for (size_t i = 0; i < first.size(); i++) {
        EXPECT_EQ(first[i].at_us, again[i].at_us);
        EXPECT_EQ(first[i].tokens, again[i].tokens);
        EXPECT_GE(first[i].at_us, last_us);
        last_us = first[i].at_us;
        longs += first[i].kind == LOAD_LONG;
        shops += first[i].operator_index == 1;
        EXPECT_GE(first[i].tokens, 1);
        EXPECT_LT(first[i].url, 3);
    }
    /* 100/s for 20 s; about a fifth of the time is in bursts of 500/s. */
    EXPECT_GT(first.size(), 2500u);
    EXPECT_LT(first.size(), 5500u);
    EXPECT_NEAR((double)longs / (double)first.size(), 0.1, 0.03);
    EXPECT_NEAR((double)shops / (double)first.size(), 0.25, 0.04);
    EXPECT_NE(first[10].at_us, other[10].at_us);

    GString *a = g_string_new(nullptr);
    GString *b = g_string_new(nullptr);
    struct load_request same = first[0];
    same.number = 9999;
    load_plan_messages(&settings, &first[0], a);
    load_plan_messages(&settings, &same, b);
    EXPECT_STRNE(a->str, b->str);
    EXPECT_EQ(strncmp(a->str, b->str, 400), 0) << "prefixes differ";
    g_string_free(a, TRUE);
    g_string_free(b, TRUE);
    g_ptr_array_free(list, TRUE);
}

/* Token count distributions are parsed; malformed texts, empty ranges and
 * counts below 1 are rejected. */
TEST(LoadPlan, ParsesTokenCounts)
{
    struct {
        const char *text;
        bool is_valid;
    } cases[] = {
        {"64", true},
        {"fixed:64", true},
        {"uniform:16:64", true},
        {"lognormal:40:.5", true},
        {"uniform:64:16", false},
        {"lognormal:40", false},
        {"0", false},
        {"many", false},
        {"64x", false},
    };
    for (const auto &row : cases) {
        struct load_tokens tokens;
        EXPECT_EQ(load_tokens_parse(&tokens, row.text), row.is_valid)
            << row.text;
    }
}

/* Each kind of faulty response gets its verdict, also when the body arrives
 * byte by byte.  Guards against counting a response that is cut short or
 * belongs to another request as complete. */
TEST(LoadCheck, VerdictOfEachKindOfResponse)
{
    const std::string t0 = event("chatcmpl-a", "x", "null");
    const std::string t1 = event("chatcmpl-a", "y", "null");
    const std::string end = event("chatcmpl-a", "", "\"length\"");
    const std::string done = "data: [DONE]\n\n";
    const std::string fault = "data: {\"error\":{\"message\":\"m\"}}\n\n";
    const std::string plain =
        "{\"id\":\"chatcmpl-a\",\"choices\":[{\"message\":{\"content\":"
        "\"x y\"}}],\"usage\":{\"completion_tokens\":2}}";
    struct {
        const char *name;
        int status;
        const char *ran;
        std::string body;
        bool is_stream;
        enum load_verdict want;
    } cases[] = {
        {"complete", 200, "", t0 + t1 + end + done, true, LOAD_OK},
        {"no [DONE]", 200, "", t0 + t1 + end, true, LOAD_CUT},
        {"no finish_reason", 200, "", t0 + t1 + done, true, LOAD_CUT},
        {"closed early", 200, "", t0, true, LOAD_CUT},
        {"missing token", 200, "", t0 + end + done, true, LOAD_WRONG},
        {"repeated token", 200, "", t0 + t0 + t1 + end + done, true,
         LOAD_WRONG},
        {"id of another request", 200, "",
         t0 + event("chatcmpl-b", "y", "null") + end + done, true, LOAD_WRONG},
        {"event after [DONE]", 200, "", t0 + t1 + end + done + t0, true,
         LOAD_WRONG},
        {"not JSON", 200, "", "data: {\n\n", true, LOAD_WRONG},
        {"error event", 200, "", t0 + fault, true, LOAD_ERROR_EVENT},
        {"refused, not run", 429, "no", "{}", true, LOAD_REFUSED_NO},
        {"refused, may have run", 502, "maybe", "{}", true,
         LOAD_REFUSED_MAYBE},
        {"failed after it ran", 500, "yes", "{}", true, LOAD_REFUSED_YES},
        {"error status without x-cardamompick-ran", 500, "", "{}", true,
         LOAD_FAILED},
        {"no response", 0, "", "", true, LOAD_FAILED},
        {"JSON", 200, "", plain, false, LOAD_OK},
        {"JSON, cut", 200, "", plain.substr(0, 50), false, LOAD_WRONG},
    };

    for (const auto &row : cases) {
        SCOPED_TRACE(row.name);
        /* The body arrives in one piece, then byte by byte. */
        for (size_t step : {row.body.size() + 1, (size_t)1}) {
            GArray *gaps = g_array_new(FALSE, FALSE, sizeof(float));
            struct load_check check;
            load_check_init(&check, 2, row.is_stream, gaps);
            g_strlcpy(check.id, "chatcmpl-a", sizeof(check.id));
            for (size_t at = 0; at < row.body.size(); at += step) {
                size_t size = MIN(step, row.body.size() - at);
                load_check_feed(&check, row.body.data() + at, size,
                                1000 + (int64_t)at);
            }
            EXPECT_EQ(load_check_end(&check, row.status, row.ran, true),
                      row.want);
            load_check_finish(&check);
            g_array_free(gaps, TRUE);
        }
    }
}
