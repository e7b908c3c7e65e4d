#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "httpc/response.h"
}

namespace {

struct record {
    int n_heads = 0;
    int status = -1;
    std::string body;
};

bool
on_head(void *context, int status)
{
    auto *record = (struct record *)context;
    record->n_heads++;
    record->status = status;
    return true;
}

bool
on_body(void *context, const char *data, size_t size)
{
    ((struct record *)context)->body.append(data, size);
    return true;
}

const struct httpc_response_ops OPS = {on_head, on_body};

/* Guards against responses that are read otherwise than their standard says,
 * also when they arrive in two parts, at any place. */
TEST(Response, IsReadAsTheStandardSays)
{
    struct {
        const char *name;
        const char *text;
        bool is_head_method;
        enum httpc_response_result result;
        bool ends_by_close;
        const char *body;
    } cases[] = {
        {"a length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", false,
         HTTPC_RESPONSE_COMPLETE, false, "ab"},
        {"HTTP/1.0", "HTTP/1.0 200 OK\r\ncontent-length: 2\r\n\r\nab", false,
         HTTPC_RESPONSE_COMPLETE, false, "ab"},
        {"bytes after it",
         "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nabHTTP/1.1 200 OK",
         false, HTTPC_RESPONSE_COMPLETE, false, "ab"},
        {"cut off", "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nab", false,
         HTTPC_RESPONSE_MORE, false, "ab"},
        {"chunks in capitals",
         "HTTP/1.1 200 OK\r\nTRANSFER-ENCODING: Chunked\r\n\r\n"
         "2\r\nab\r\n0\r\n\r\n",
         false, HTTPC_RESPONSE_COMPLETE, false, "ab"},
        {"a chunk extension",
         "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
         "2;name=value\r\nab\r\n0;last\r\n\r\n",
         false, HTTPC_RESPONSE_COMPLETE, false, "ab"},
        {"trailers",
         "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
         "2\r\nab\r\n0\r\nx-sum: 1\r\nx-id: other\r\n\r\n",
         false, HTTPC_RESPONSE_COMPLETE, false, "ab"},
        {"no last chunk",
         "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n",
         false, HTTPC_RESPONSE_MORE, false, "ab"},
        {"a chunk's size that is none",
         "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2x\r\nab\r\n",
         false, HTTPC_RESPONSE_BAD, false, ""},
        {"neither", "HTTP/1.1 200 OK\r\n\r\nab", false, HTTPC_RESPONSE_MORE,
         true, "ab"},
        {"both",
         "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n"
         "transfer-encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
         false, HTTPC_RESPONSE_BAD, false, ""},
        {"two lengths",
         "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nab",
         false, HTTPC_RESPONSE_BAD, false, ""},
        {"HEAD", "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n", true,
         HTTPC_RESPONSE_COMPLETE, false, ""},
        {"HEAD without a length", "HTTP/1.1 200 OK\r\n\r\n", true,
         HTTPC_RESPONSE_COMPLETE, false, ""},
        {"204", "HTTP/1.1 204 No Content\r\n\r\n", false,
         HTTPC_RESPONSE_COMPLETE, false, ""},
        {"304 with a length",
         "HTTP/1.1 304 Not Modified\r\ncontent-length: 9\r\n\r\n", false,
         HTTPC_RESPONSE_COMPLETE, false, ""},
        {"an interim response",
         "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n"
         "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab",
         false, HTTPC_RESPONSE_COMPLETE, false, "ab"},
        {"several, one with a connection header",
         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 x\r\nx-id: 1\r\n"
         "connection: close\r\n\r\nHTTP/1.1 204 OK\r\n\r\n",
         false, HTTPC_RESPONSE_COMPLETE, false, ""},
        {"an interim response alone", "HTTP/1.1 103 Early Hints\r\n\r\n",
         false, HTTPC_RESPONSE_MORE, false, ""},
        {"a status that is none after one",
         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 0200 OK\r\n"
         "content-length: 2\r\n\r\nab",
         false, HTTPC_RESPONSE_COMPLETE, false, "ab"},
        {"a change of protocol",
         "HTTP/1.1 200 OK\r\nconnection: upgrade\r\nupgrade: x\r\n"
         "content-length: 0\r\n\r\n",
         false, HTTPC_RESPONSE_COMPLETE, false, ""},
        {"no HTTP", "tere tulemast\r\n\r\n", false, HTTPC_RESPONSE_BAD, false,
         ""},
    };

    for (const auto &row : cases) {
        const std::string text = row.text;
        for (size_t cut = 0; cut <= text.size(); cut++) {
            SCOPED_TRACE(std::string(row.name) + ", cut at " +
                         std::to_string(cut));
            struct record record;
            struct httpc_response *response =
                httpc_response_new(&OPS, &record, row.is_head_method);
            enum httpc_response_result result =
                httpc_response_feed(response, text.data(), cut);
            if (result == HTTPC_RESPONSE_MORE && cut < text.size()) {
                result = httpc_response_feed(response, text.data() + cut,
                                             text.size() - cut);
            }
            ASSERT_EQ(result, row.result);
            EXPECT_EQ(record.body, row.body);
            EXPECT_EQ(httpc_response_ends_by_close(response),
                      row.ends_by_close);
            EXPECT_EQ(httpc_response_header(response, "x-id"), nullptr)
                << "a trailer is no header";
            httpc_response_free(response);
        }
    }
}

TEST(Response, HeadersAreFoundWhateverTheirCaseAndLength)
{
    const std::string seal(4000, 's');
    const std::string text = "HTTP/1.1 200 OK\r\nX-Seal:  " + seal +
                             " \r\nX-SEAL: second\r\nx-empty:\r\n"
                             "content-length: 0\r\n\r\n";
    struct record record;
    struct httpc_response *response = httpc_response_new(&OPS, &record, false);

    EXPECT_EQ(httpc_response_feed(response, text.data(), text.size()),
              HTTPC_RESPONSE_COMPLETE);
    EXPECT_EQ(record.status, 200);
    EXPECT_TRUE(httpc_response_header(response, "x-seal") == seal);
    EXPECT_STREQ(httpc_response_header(response, "x-empty"), "");
    EXPECT_EQ(httpc_response_header(response, "x-none"), nullptr);
    httpc_response_free(response);
}

} // namespace
