#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <vector>

#include "front/http1.h"

namespace {

struct seen {
    std::string text;
};

void
on_head(void *context, const struct http1_head *head)
{
    auto *seen = (struct seen *)context;
    seen->text += std::string("<") + head->method + " " + head->target;
    for (guint i = 0; i + 1 < head->fields->len; i += 2) {
        seen->text += std::string(" ") + (char *)head->fields->pdata[i] + "=" +
                      (char *)head->fields->pdata[i + 1];
    }
    seen->text += head->is_chunked ? " chunked" : "";
    seen->text += head->is_kept ? ">" : " last>";
    g_ptr_array_free(head->fields, TRUE);
}

void
on_body(void *context, const char *data, size_t size)
{
    ((struct seen *)context)->text += std::string(data, size);
}

void
on_end(void *context)
{
    ((struct seen *)context)->text += ";";
}

const struct http1_ops OPS = {on_head, on_body, on_end};

/* Feeds a text in steps of so many bytes, with answers in between. */
enum http1_result
feed(struct http1 *http1, const std::string &text, size_t step)
{
    enum http1_result result = HTTP1_MORE;
    size_t at = 0;

    while (at < text.size()) {
        size_t used = 0;
        size_t size = std::min(step, text.size() - at);
        result = http1_feed(http1, text.data() + at, size, &used);
        if (result == HTTP1_BAD || result == HTTP1_HEAD_TOO_LARGE) {
            return result;
        }
        at += used;
        if (result == HTTP1_ENDED) {
            http1_next(http1);
        }
    }
    return result;
}

TEST(Http1, RequestsByCases)
{
    struct {
        const char *name;
        std::string text;
        std::string want;
        enum http1_result result;
    } cases[] = {
        {"no body", "GET /a?b=c HTTP/1.1\r\nHost: h\r\n\r\n",
         "<GET /a?b=c Host=h>;", HTTP1_ENDED},
        {"a length", "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nxyz",
         "<POST /a Content-Length=3>xyz;", HTTP1_ENDED},
        {"chunks",
         "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
         "2\r\nxy\r\n1\r\nz\r\n0\r\n\r\n",
         "<POST /a Transfer-Encoding=chunked chunked>xyz;", HTTP1_ENDED},
        {"two on one connection",
         "POST /a HTTP/1.1\r\nContent-Length: 1\r\n\r\nxGET /b "
         "HTTP/1.1\r\n\r\n",
         "<POST /a Content-Length=1>x;<GET /b>;", HTTP1_ENDED},
        {"the last one", "GET /a HTTP/1.1\r\nConnection: close\r\n\r\n",
         "<GET /a Connection=close last>;", HTTP1_ENDED},
        {"a request smuggled by two lengths",
         "POST /a HTTP/1.1\r\nContent-Length: 4\r\n"
         "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\n\r\n",
         "", HTTP1_BAD},
        {"two different lengths",
         "POST /a HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
         "", HTTP1_BAD},
        {"no request", "\x16\x03\x01", "", HTTP1_BAD},
    };

    for (const auto &row : cases) {
        for (size_t step : {size_t(1), size_t(7), size_t(4096)}) {
            SCOPED_TRACE(std::string(row.name) + " by " +
                         std::to_string(step));
            struct seen seen;
            struct http1 *http1 = http1_new(&OPS, &seen);
            EXPECT_EQ(feed(http1, row.text, step), row.result);
            if (row.result != HTTP1_BAD) {
                EXPECT_EQ(seen.text, row.want);
            }
            http1_free(http1);
        }
    }
}

TEST(Http1, AHeadsSizeGrowsUntilItIsWhole)
{
    struct seen seen;
    struct http1 *http1 = http1_new(&OPS, &seen);
    size_t used = 0;

    EXPECT_EQ(http1_head_size(http1), 0u);
    http1_feed(http1, "GET /a HTTP/1.1\r\nA: ", 20, &used);
    EXPECT_EQ(http1_head_size(http1), 20u);
    http1_feed(http1, "b\r\n\r\n", 5, &used);
    EXPECT_EQ(http1_head_size(http1), 0u);
    EXPECT_TRUE(http1_is_waiting(http1));
    http1_free(http1);
}

} // namespace
