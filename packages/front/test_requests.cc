#include "front/test_support.h"

namespace {

using Requests = Front;

const char CHAT[] = "/v1/chat/completions";
const char VALID_BODY[] = "{\"model\":\"m1\",\"messages\":[{\"role\":\"user\","
                          "\"content\":\"hi\"}]}";

std::string
with_key(const std::string &key, const std::string &path)
{
    return "GET " + path + " HTTP/1.1\r\nhost: x\r\n" +
           (key.empty() ? "" : "authorization: " + key + "\r\n") + "\r\n";
}

/* An invalid request gets the status and code of its error, is marked as not
 * run and causes neither an admission request nor a backend request. */
TEST_F(Requests, InvalidRequestsAreRefusedWithTheirError)
{
    struct test_server engine(test_engine);
    start({&engine});
    struct {
        const char *name;
        std::string request;
        int status;
        const char *code;
    } cases[] = {
        {"no JSON", test_post(CHAT, "{\"model\":"), 400, "bad_request"},
        {"empty body", test_post(CHAT, ""), 400, "bad_request"},
        {"no object", test_post(CHAT, "[1]"), 400, "bad_request"},
        {"bad UTF-8", test_post(CHAT, "{\"model\":\"m1\xff\"}"), 400,
         "bad_request"},
        {"no messages", test_post(CHAT, "{\"model\":\"m1\"}"), 400,
         "bad_request"},
        {"empty messages",
         test_post(CHAT, "{\"model\":\"m1\",\"messages\":[]}"), 400,
         "bad_request"},
        {"no role", test_post(CHAT, "{\"model\":\"m1\",\"messages\":[{}]}"),
         400, "bad_request"},
        {"bad max_tokens",
         test_post(CHAT, "{\"model\":\"m1\",\"max_tokens\":-1,\"messages\":[{"
                         "\"role\":\"user\"}]}"),
         400, "bad_request"},
        {"bad stream",
         test_post(CHAT, "{\"model\":\"m1\",\"stream\":\"yes\",\"messages\":[{"
                         "\"role\":\"user\"}]}"),
         400, "bad_request"},
        {"no prompt", test_post("/v1/completions", "{\"model\":\"m1\"}"), 400,
         "bad_request"},
        {"unknown model",
         test_post(CHAT, "{\"model\":\"m9\",\"messages\":[{\"role\":\"user\"}"
                         "]}"),
         404, "model_not_found"},
        {"another operator's model",
         test_post(CHAT, "{\"model\":\"m2\",\"messages\":[{\"role\":\"user\"}"
                         "]}"),
         404, "model_not_found"},
        {"body too large", test_post(CHAT, std::string(100001, ' ')), 413,
         "request_too_large"},
        {"body far too large", test_post(CHAT, std::string(3000000, ' ')), 413,
         "request_too_large"},
        {"unknown path", test_get("/v2/none"), 404, "not_found"},
        {"wrong method", test_get(CHAT), 405, "method_not_allowed"},
        {"no key", with_key("", "/v1/models"), 401, "invalid_api_key"},
        {"unknown key", with_key("Bearer k-none", "/v1/models"), 401,
         "invalid_api_key"},
        {"no bearer", with_key("Basic k-all", "/v1/models"), 401,
         "invalid_api_key"},
        {"no scope", with_key("Bearer k-batch", "/admin/status"), 403,
         "not_allowed"},
        {"unknown service", test_get("/services/none/x"), 404,
         "service_not_found"},
        /* The error names it, and used to end the process. */
        {"a service's name that is not UTF-8", test_get("/services/%e9/x"),
         404, "service_not_found"},
        {"chunked body",
         "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: "
         "Bearer k-all\r\ntransfer-encoding: chunked\r\n\r\n",
         411, "length_required"},
    };
    for (const auto &row : cases) {
        struct answer answer = ask(row.request);
        EXPECT_EQ(answer.status, row.status) << row.name << answer.body;
        EXPECT_EQ(answer.headers["x-cardamompick-ran"], "no") << row.name;
        EXPECT_NE(answer.body.find(std::string("\"code\":\"") + row.code),
                  std::string::npos)
            << row.name << answer.body;
        EXPECT_NE(answer.body.find("\"error\":{\"message\":"),
                  std::string::npos)
            << row.name;
        EXPECT_EQ(answer.headers["x-request-id"].size(), 32u) << row.name;
    }
    EXPECT_EQ(engine.requests().size(), 0u);
    EXPECT_EQ(fakes.admissions.size(), 0u);
}

/* Heads over the limit get an error response, on a new connection and on one
 * that is kept alive.  A head larger than libwebsockets can parse gets no
 * response (status 0); its connection is closed.  A head below the limit is
 * accepted, and a malformed request line gets 403. */
TEST_F(Requests, OversizedHeadsAreRefused)
{
    start({});
    struct {
        const char *name;
        std::string request;
        int status;
    } cases[] = {
        {"just above",
         test_get("/v1/models", "x-big: " + std::string(17000, 'x') + "\r\n"),
         431},
        {"far above",
         test_get("/v1/models", "x-big: " + std::string(60000, 'x') + "\r\n"),
         431},
        {"many",
         test_get("/v1/models",
                  [] {
                      std::string text;
                      for (int i = 0; i < 2000; i++) {
                          text += "x-h" + std::to_string(i) + ": 1\r\n";
                      }
                      return text;
                  }()),
         431},
        {"with a body",
         test_post(CHAT, VALID_BODY,
                   "x-big: " + std::string(17000, 'x') + "\r\n"),
         431},
    };
    for (const auto &row : cases) {
        for (bool is_reused : {false, true}) {
            int fd = test_connect(port);
            if (is_reused) {
                test_write(fd, test_get("/v1/models"));
                EXPECT_EQ(test_read_answer(fd).status, 200);
            }
            test_write(fd, row.request);
            struct answer answer = test_read_answer(fd);
            EXPECT_EQ(answer.status, row.status) << row.name << is_reused;
            EXPECT_EQ(answer.headers["x-cardamompick-ran"], "no") << row.name;
            close(fd);
        }
    }
    EXPECT_EQ(ask("tere tulemast\r\n\r\n").status, 403);
    EXPECT_EQ(ask(test_get("/v1/models",
                           "x-big: " + std::string(100000, 'x') + "\r\n"))
                  .status,
              0);
    EXPECT_EQ(ask(test_get("/v1/models",
                           "x-big: " + std::string(15000, 'x') + "\r\n"))
                  .status,
              200);
}

/* When the caller shuts down an idle keep-alive connection, the front closes
 * it without sending an error response. */
TEST_F(Requests, IdleConnectionClosesWithoutError)
{
    start({});
    int fd = test_connect(port);
    test_write(fd, test_get("/v1/models"));
    EXPECT_EQ(test_read_answer(fd).status, 200);
    shutdown(fd, SHUT_WR);
    char byte;
    EXPECT_EQ(recv(fd, &byte, 1, 0), 0);
    close(fd);
}

/* A caller that stops within its request body gets 408, and its connection is
 * closed. */
TEST_F(Requests, SlowRequestBodyTimesOut)
{
    desc.caller_silence_ms = 200;
    start({});
    int fd = test_connect(port);
    test_write(fd, "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n"
                   "authorization: Bearer k-all\r\ncontent-length: 100\r\n\r\n"
                   "{");
    struct answer answer = test_read_answer(fd);
    EXPECT_EQ(answer.status, 408);
    EXPECT_EQ(answer.headers["x-cardamompick-ran"], "no");
    test_wait_for_close(fd);
    close(fd);
}

/* A connection stays open after a response, also after an error. */
TEST_F(Requests, ConnectionsAreKeptAlive)
{
    struct test_server engine(test_engine);
    start({&engine});
    int fd = test_connect(port);
    for (int i = 0; i < 3; i++) {
        test_write(fd, test_chat(i == 1));
        struct answer answer = test_read_answer(fd);
        EXPECT_EQ(answer.status, 200) << i;
        EXPECT_TRUE(answer.is_complete);
        test_write(fd, test_post(CHAT, "{"));
        EXPECT_EQ(test_read_answer(fd).status, 400);
        test_write(fd, test_post(CHAT, std::string(100001, ' ')));
        EXPECT_EQ(test_read_answer(fd).status, 413);
        test_write(fd, test_get("/v1/models"));
        EXPECT_EQ(test_read_answer(fd).status, 200);
    }
    close(fd);
}

/* A request with "expect: 100-continue" gets 100, or the error response at
 * once if the body would be too large. */
TEST_F(Requests, ExpectContinueGetsResponse)
{
    struct test_server engine(test_engine);
    start({&engine});
    std::string body = VALID_BODY;
    std::string head = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n"
                       "authorization: Bearer k-all\r\nexpect: 100-continue"
                       "\r\ncontent-length: ";
    int fd = test_connect(port);
    test_write(fd, head + std::to_string(body.size()) + "\r\n\r\n");
    EXPECT_EQ(test_read_answer(fd).status, 100);
    test_write(fd, body);
    EXPECT_EQ(test_read_answer(fd).status, 200);
    close(fd);
    EXPECT_EQ(ask(head + "200000\r\n\r\n").status, 413);
}

/* The health, readiness, metrics and models pages; a model that the operator
 * may not use is not listed. */
TEST_F(Requests, HealthReadinessAndMetrics)
{
    start({});
    EXPECT_EQ(ask(test_get("/healthz")).status, 200);
    EXPECT_EQ(ask(test_get("/readyz")).status, 200);
    fakes.is_ready = false;
    EXPECT_EQ(ask(test_get("/readyz")).status, 503);
    struct answer metrics = ask(test_get("/metrics"));
    EXPECT_NE(metrics.body.find("requests_total{route=\"ready\""),
              std::string::npos);
    struct answer models = ask(test_get("/v1/models"));
    EXPECT_NE(models.body.find("\"id\":\"m1\""), std::string::npos);
    EXPECT_EQ(models.body.find("\"id\":\"m2\""), std::string::npos);
}

/* A draining front is not ready and closes connections after a response, but
 * serves requests that still arrive.  Health checks do not delay idleness. */
TEST_F(Requests, DrainingFrontServesNewRequests)
{
    struct test_server engine(test_engine);
    start({&engine});
    int fd = test_connect(port);
    test_write(fd, test_get("/healthz"));
    EXPECT_EQ(test_read_answer(fd).status, 200);
    front_drain(front, 10000);
    EXPECT_FALSE(front_is_idle(front));
    struct answer ready = ask(test_get("/readyz"));
    EXPECT_EQ(ready.status, 503);
    test_write(fd, test_chat(true));
    struct answer answer = test_read_answer(fd);
    EXPECT_EQ(answer.status, 200);
    EXPECT_TRUE(answer.is_complete);
    EXPECT_EQ(answer.headers["connection"], "close");
    test_wait_for_close(fd);
    close(fd);
    /* Continued health checks must not keep the front from becoming idle. */
    for (int i = 0; i < 10000 && !front_is_idle(front); i++) {
        EXPECT_EQ(ask(test_get("/readyz")).status, 503);
        g_usleep(1000);
    }
    EXPECT_TRUE(front_is_idle(front));
}

/* The trace id of the caller's traceparent header reaches the backend server
 * and the response, with a new span id. */
TEST_F(Requests, TraceIdIsPropagated)
{
    struct test_server engine(test_engine);
    start({&engine});
    struct answer answer = ask(test_post(
        CHAT, VALID_BODY,
        "traceparent: "
        "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01\r\n"));
    EXPECT_EQ(answer.headers["traceparent"].substr(0, 35),
              "00-0af7651916cd43dd8448eb211c80319c");
    std::string seen = test_header(engine.requests().at(0), "traceparent");
    EXPECT_EQ(seen.substr(0, 35), "00-0af7651916cd43dd8448eb211c80319c");
    EXPECT_NE(seen, answer.headers["traceparent"]);
}

} // namespace
