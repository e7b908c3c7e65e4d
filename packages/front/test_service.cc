#include "front/test_support.h"

#include <atomic>

namespace {

using Service = Front;

/* The response header that repeats the request's id. */
std::string
request_id_header(const std::string &request)
{
    return "x-request-id: " + test_header(request, "x-request-id") + "\r\n";
}

void
reply(int fd, const std::string &status, const std::string &headers,
      const std::string &body)
{
    test_write(fd, "HTTP/1.1 " + status + "\r\n" + headers +
                       "content-length: " + std::to_string(body.size()) +
                       "\r\n\r\n" + body);
}

/* Replies with the request line and the body. */
void
echo(int fd, const std::string &request)
{
    reply(fd, "200 OK",
          request_id_header(request) + "content-type: text/x-echo\r\n",
          request.substr(0, request.find("\r\n")) + "|" +
              request.substr(request.find("\r\n\r\n") + 4));
}

TEST_F(Service, ForwardsPathQueryAndBodyUnchanged)
{
    struct test_server one(echo);
    start({}, {&one});
    struct answer answer =
        ask(test_post("/services/stock/a%20b/c?x=1&y=%26z", "body"));
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.headers["content-type"], "text/x-echo");
    EXPECT_EQ(answer.body, "POST /a%20b/c?x=1&y=%26z HTTP/1.1|body");
    EXPECT_EQ(ask(test_get("/services/stock")).body, "GET / HTTP/1.1|");
    EXPECT_EQ(fakes.admissions.size(), 2u);
}

/* After a failed attempt a call may go to another server only if it is
 * idempotent or certainly did not run.  Otherwise the caller must learn that
 * it may have run.  A response with another request's id must never reach the
 * caller. */
TEST_F(Service, RetriesOnlyIdempotentCallsAndThoseNotRun)
{
    struct {
        const char *name;
        test_server::script first;
        bool is_known_not_run;
        int failed_status; /* when the call is not idempotent */
        const char *failed_body;
    } cases[] = {
        {"refused unrun",
         [](int fd, const std::string &) {
             reply(fd, "503 Busy", "x-ran: no\r\n", "no");
         },
         true, 0, ""},
        {"closed without an answer", [](int, const std::string &) {}, false,
         502, ""},
        {"cut answer",
         [](int fd, const std::string &request) {
             test_write(fd, "HTTP/1.1 200 OK\r\n" +
                                request_id_header(request) +
                                "content-length: 9\r\n\r\nhalf");
         },
         false, 502, ""},
        {"another's answer",
         [](int fd, const std::string &) {
             reply(fd, "200 OK", "x-request-id: other\r\n", "secret");
         },
         false, 502, ""},
        {"failed",
         [](int fd, const std::string &) {
             reply(fd, "500 Broken", "", "its word");
         },
         false, 500, "its word"},
        {"503 that may have run",
         [](int fd, const std::string &) { reply(fd, "503 X", "", "maybe"); },
         false, 503, "maybe"},
    };
    for (const auto &row : cases) {
        for (bool is_idempotent : {true, false}) {
            std::atomic<int> n_calls{0};
            auto script = [&](int fd, const std::string &request) {
                if (n_calls++ == 0) {
                    row.first(fd, request);
                    return;
                }
                echo(fd, request);
            };
            struct test_server one(script);
            struct test_server two(script);
            start({}, {&one, &two});
            struct answer answer =
                ask(is_idempotent ? test_get("/services/stock/x")
                                  : test_post("/services/stock/x", "b"));
            EXPECT_EQ(answer.body.find("secret"), std::string::npos);
            if (is_idempotent || row.is_known_not_run) {
                EXPECT_EQ(answer.status, 200) << row.name << answer.body;
                EXPECT_EQ(n_calls, 2) << row.name;
            }
            else {
                EXPECT_EQ(answer.status, row.failed_status) << row.name;
                EXPECT_EQ(answer.headers["x-cardamompick-ran"], "maybe")
                    << row.name;
                EXPECT_EQ(n_calls, 1) << row.name;
                if (*row.failed_body != '\0') {
                    EXPECT_EQ(answer.body, row.failed_body) << row.name;
                }
            }
            TearDown();
            front = nullptr;
            world = nullptr;
            SetUp();
        }
    }
}

/* A server that does not respond: an idempotent call must be served by the
 * other server within its deadline; any other call must wait for the deadline
 * and not run again. */
TEST_F(Service, RetriesOnlyIdempotentCallsOnASilentServer)
{
    limits = ",\"silence_ms\":100";
    for (bool is_idempotent : {true, false}) {
        std::atomic<int> n_calls{0};
        auto script = [&](int fd, const std::string &request) {
            if (n_calls++ == 0) {
                test_wait_for_close(fd);
                return;
            }
            echo(fd, request);
        };
        struct test_server one(script);
        struct test_server two(script);
        start({}, {&one, &two});
        std::string headers = "x-deadline-ms: 600\r\n";
        struct answer answer =
            ask(is_idempotent ? test_get("/services/stock/x", headers)
                              : test_post("/services/stock/x", "b", headers));
        EXPECT_EQ(answer.status, is_idempotent ? 200 : 504);
        EXPECT_EQ(n_calls, is_idempotent ? 2 : 1);
        if (!is_idempotent) {
            EXPECT_EQ(answer.headers["x-cardamompick-ran"], "maybe");
        }
        TearDown();
        front = nullptr;
        world = nullptr;
        SetUp();
    }
}

/* A large response is relayed before its end is known.  When the server cuts
 * it off, the caller must be able to tell, and no second server may be tried.
 */
TEST_F(Service, LargeResponsesAreCompleteOrVisiblyTruncated)
{
    std::string large(3000000, 'x');
    for (bool is_cut : {false, true}) {
        auto script = [&](int fd, const std::string &request) {
            std::string body = is_cut ? large.substr(0, 2000000) : large;
            test_write(fd, "HTTP/1.1 200 OK\r\n" + request_id_header(request) +
                               "content-length: 3000000\r\n\r\n" + body);
        };
        struct test_server one(script);
        struct test_server two(script);
        start({}, {&one, &two});
        struct answer answer = ask(test_get("/services/stock/x"));
        EXPECT_EQ(answer.is_complete, !is_cut);
        EXPECT_EQ(answer.body, large.substr(0, answer.body.size()));
        EXPECT_EQ(answer.body.size() == large.size(), !is_cut);
        EXPECT_EQ(one.requests().size() + two.requests().size(), 1u);
        TearDown();
        front = nullptr;
        world = nullptr;
        SetUp();
    }
}

} // namespace
