#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <vector>

#include "front/http1.h"

namespace {

struct parsed_text {
    std::string text;
};

void
on_head(void *context, const struct http1_head *head)
{
    auto *parsed = (struct parsed_text *)context;
    parsed->text += std::string("<") + head->method + " " + head->target;
    for (guint i = 0; i + 1 < head->fields->len; i += 2) {
        parsed->text += std::string(" ") + (char *)head->fields->pdata[i] +
                        "=" + (char *)head->fields->pdata[i + 1];
    }
    parsed->text += head->is_chunked ? " chunked" : "";
    parsed->text += head->is_keep_alive ? ">" : " last>";
    g_ptr_array_free(head->fields, TRUE);
}

void
on_body(void *context, const char *data, size_t size)
{
    ((struct parsed_text *)context)->text += std::string(data, size);
}

void
on_end(void *context)
{
    ((struct parsed_text *)context)->text += ";";
}

const struct http1_ops OPS = {on_head, on_body, on_end};

/* Feeds a text in steps of `step` bytes and calls http1_next after each
 * request. */
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

/* Requests must parse alike in pieces of any size, and messages whose length
 * is ambiguous must be rejected: with two readings of one message a caller
 * could smuggle a second request past the front. */
TEST(Http1, ParsesRequestsInPiecesOfAnySize)
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
        {"chunks with a trailer, which is dropped",
         "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
         "1\r\nx\r\n0\r\nB: c\r\n\r\nGET /b HTTP/1.1\r\nD: e\r\n\r\n",
         "<POST /a Transfer-Encoding=chunked chunked>x;<GET /b D=e>;",
         HTTP1_ENDED},
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
        {"methods that http_parser does not know",
         "QUERY /a HTTP/1.1\r\nContent-Length: 1\r\n\r\nx"
         "VERSION-CONTROL /b HTTP/1.1\r\n\r\n\r\nget /c HTTP/1.1\r\n\r\n" +
             std::string(63, 'M') + " /d HTTP/1.1\r\n\r\n",
         "<QUERY /a Content-Length=1>x;<VERSION-CONTROL /b>;<get /c>;<" +
             std::string(63, 'M') + " /d>;",
         HTTP1_ENDED},
        {"a longer method", std::string(64, 'M') + " /d HTTP/1.1\r\n\r\n", "",
         HTTP1_BAD},
        {"no method", " /d HTTP/1.1\r\n\r\n", "", HTTP1_BAD},
        {"a method that is no token", "GE(T /d HTTP/1.1\r\n\r\n", "",
         HTTP1_BAD},
        {"a method alone", "QUERY\r\n\r\n", "", HTTP1_BAD},
        {"bytes from 0x80 on",
         "GET /caf\xe9?\xff HTTP/1.1\r\nA: caf\xe9\r\n\r\n",
         "<GET /caf\xe9?\xff A=caf\xe9>;", HTTP1_ENDED},
        {"a tab in the target", "GET /a\tb HTTP/1.1\r\n\r\n", "", HTTP1_BAD},
        {"a form feed in the target", "GET /a?\f HTTP/1.1\r\n\r\n", "",
         HTTP1_BAD},
        {"a zero byte in a value",
         std::string("GET /a HTTP/1.1\r\nA:\0b\r\n\r\n", 25), "", HTTP1_BAD},
        {"a control character in a value",
         "GET /a HTTP/1.1\r\nA: \x01\r\n\r\n", "", HTTP1_BAD},
        {"no request", "\x16\x03\x01", "", HTTP1_BAD},
    };

    for (const auto &row : cases) {
        for (size_t step : {size_t(1), size_t(7), size_t(4096)}) {
            SCOPED_TRACE(std::string(row.name) + " by " +
                         std::to_string(step));
            struct parsed_text parsed;
            struct http1 *http1 = http1_new(&OPS, &parsed);
            EXPECT_EQ(feed(http1, row.text, step), row.result);
            if (row.result != HTTP1_BAD) {
                EXPECT_EQ(parsed.text, row.want);
            }
            http1_free(http1);
        }
    }
}

/* The size of an incomplete head is what limits how much a caller may send
 * before its head ends. */
TEST(Http1, HeadSizeCountsOnlyAnIncompleteHead)
{
    struct parsed_text parsed;
    struct http1 *http1 = http1_new(&OPS, &parsed);
    size_t used = 0;

    EXPECT_EQ(http1_head_size(http1), 0u);
    http1_feed(http1, "GET /a HTTP/1.1\r\nA: ", 20, &used);
    EXPECT_EQ(http1_head_size(http1), 20u);
    http1_feed(http1, "b\r\n\r\n", 5, &used);
    EXPECT_EQ(http1_head_size(http1), 0u);
    EXPECT_TRUE(http1_is_paused(http1));
    http1_free(http1);
}

} // namespace
