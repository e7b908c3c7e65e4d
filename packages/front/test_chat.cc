#include "front/test_support.h"

#include <atomic>

namespace {

using Chat = Front;

const char FULL_TEXT[] = "\"content\":\"t0 t1 t2 t3 t4 \"";

/* Returns the contents of a stream's events as one text. */
std::string
join_contents(const std::string &body)
{
    std::string text;
    size_t at = 0;
    while ((at = body.find("\"content\":\"", at)) != std::string::npos) {
        at += 11;
        text += body.substr(at, body.find('"', at) - at);
    }
    return text;
}

size_t
count(const std::string &text, const std::string &part)
{
    size_t n = 0;
    for (size_t at = text.find(part); at != std::string::npos;
         at = text.find(part, at + 1)) {
        n++;
    }
    return n;
}

void
expect_complete(const struct answer &answer, bool is_stream,
                const std::string &name)
{
    EXPECT_EQ(answer.status, 200) << name << answer.body;
    EXPECT_TRUE(answer.is_complete) << name;
    if (is_stream) {
        EXPECT_EQ(join_contents(answer.body), "t0 t1 t2 t3 t4 ")
            << name << answer.body;
        EXPECT_EQ(count(answer.body, "\"role\""), 1u) << name << answer.body;
        EXPECT_EQ(count(answer.body, "\"stop\""), 1u) << name;
        EXPECT_EQ(count(answer.body, "data: [DONE]\n\n"), 1u) << name;
    }
    else {
        EXPECT_NE(answer.body.find(FULL_TEXT), std::string::npos)
            << name << answer.body;
    }
}

std::string
role_event(const std::string &request)
{
    std::string id = test_header(request, "x-request-id");
    return "data: {\"id\":\"chatcmpl-" + id +
           "\",\"choices\":[{\"index\":0,\"delta\":{\"role\":\"assistant\"},"
           "\"finish_reason\":null}]}\n\n";
}

void
reply(int fd, const std::string &status, const std::string &extra = "",
      const std::string &body = "{}")
{
    test_write(fd, "HTTP/1.1 " + status + "\r\n" + extra + "content-length: " +
                       std::to_string(body.size()) + "\r\n\r\n" + body);
}

std::string
request_id_header(const std::string &request)
{
    return "x-request-id: " + test_header(request, "x-request-id") + "\r\n";
}

/* The first attempt fails in various ways, and the second one completes the
 * response.  The caller must see every token once.  Only a failure of the
 * server counts as failed in its outcome. */
TEST_F(Chat, FailedAttemptsAreRetried)
{
    struct {
        const char *name;
        test_server::script first;
        int resume_from; /* of the second attempt */
        bool is_servers_fault;
    } cases[] = {
        {"refused, not run",
         [](int fd, const std::string &) {
             reply(fd, "503 Busy", "x-ran: no\r\n");
         },
         0, false},
        {"error 500",
         [](int fd, const std::string &) { reply(fd, "500 Broken"); }, 0,
         true},
        {"closed at once", [](int, const std::string &) {}, 0, true},
        {"closed after the head",
         [](int fd, const std::string &request) {
             test_write(fd, test_stream_head(request));
         },
         0, true},
        {"closed after the role",
         [](int fd, const std::string &request) {
             test_write(fd, test_stream_head(request) + role_event(request));
         },
         0, true},
        {"broken in the middle",
         [](int fd, const std::string &request) {
             test_write(fd, test_stream_head(request) + role_event(request) +
                                test_token(request, 0) +
                                test_token(request, 1));
         },
         2, true},
        {"broken within an event",
         [](int fd, const std::string &request) {
             test_write(fd, test_stream_head(request) + role_event(request) +
                                test_token(request, 0) +
                                test_token(request, 1).substr(0, 30));
         },
         1, true},
        {"ended without a finish_reason",
         [](int fd, const std::string &request) {
             test_write(fd, test_stream_head(request) + role_event(request) +
                                test_token(request, 0) + "data: [DONE]\n\n");
         },
         1, true},
        {"error within the stream",
         [](int fd, const std::string &request) {
             test_write(fd, test_stream_head(request) + role_event(request) +
                                test_token(request, 0) +
                                "data: {\"error\":{\"message\":\"x\"}}\n\n");
         },
         1, true},
        {"no JSON in an event of the stream",
         [](int fd, const std::string &request) {
             test_write(fd, test_stream_head(request) + role_event(request) +
                                test_token(request, 0) + "data: tere\n\n");
         },
         1, true},
        {"events of another request",
         [](int fd, const std::string &request) {
             test_write(fd, test_stream_head(request) + role_event(request) +
                                test_token("\r\nx-request-id: other\r\n", 7));
         },
         0, true},
        {"answer to another request",
         [](int fd, const std::string &) {
             test_write(fd, test_stream_head("\r\nx-request-id: other\r\n") +
                                test_token("\r\nx-request-id: other\r\n", 7));
         },
         0, true},
        {"a whole answer without events",
         [](int fd, const std::string &request) {
             reply(fd, "200 OK",
                   request_id_header(request) +
                       "content-type: application/json\r\n");
         },
         0, false},
    };
    for (const auto &row : cases) {
        for (bool is_stream : {true, false}) {
            std::atomic<int> n_calls{0};
            auto script = [&](int fd, const std::string &request) {
                if (n_calls++ == 0) {
                    row.first(fd, request);
                    return;
                }
                test_engine(fd, request);
            };
            struct test_server one(script);
            struct test_server two(script);
            start({&one, &two});
            expect_complete(ask(test_chat(is_stream)), is_stream, row.name);
            EXPECT_EQ(n_calls, 2) << row.name;
            wait_until_released();
            EXPECT_EQ(fakes.released.size(), 2u) << row.name;
            EXPECT_EQ(fakes.released.at(0).second.failed, row.is_servers_fault)
                << row.name;
            auto requests = one.requests();
            auto others = two.requests();
            requests.insert(requests.end(), others.begin(), others.end());
            int offset = 0;
            for (const auto &request : requests) {
                offset +=
                    atoi(test_header(request, "x-resume-offset").c_str());
            }
            EXPECT_EQ(offset, row.resume_from) << row.name;
            TearDown();
            front = nullptr;
            world = nullptr;
            SetUp();
        }
    }
}

/* A response of /v1/completions that is assembled from a stream has the format
 * of that route. */
TEST_F(Chat, CompletionsHaveTheirFormat)
{
    struct test_server engine([](int fd, const std::string &request) {
        std::string id = test_header(request, "x-request-id");
        std::string text = test_stream_head(request);
        for (const char *token : {"a", "b"}) {
            text += "data: {\"id\":\"cmpl-" + id +
                    "\",\"choices\":[{\"index\":0,\"text\":\"" + token +
                    "\",\"finish_reason\":null}]}\r\n\r\n";
        }
        test_write(fd, text + ": comment\n\n" + test_stream_end(request));
    });
    start({&engine});
    struct answer answer = ask(
        test_post("/v1/completions", "{\"model\":\"m1\",\"prompt\":\"hi\"}"));
    EXPECT_EQ(answer.status, 200) << answer.body;
    EXPECT_NE(answer.body.find("\"object\":\"text_completion\""),
              std::string::npos)
        << answer.body;
    EXPECT_NE(answer.body.find("\"text\":\"ab\""), std::string::npos);
    EXPECT_NE(answer.body.find("\"id\":\"cmpl-"), std::string::npos);
}

/* A request for more than a single text (here n = 2) is sent to the engine
 * unchanged.  A response with the id of another request is not relayed. */
TEST_F(Chat, MultipleChoiceRequestsAreSentUnchanged)
{
    std::string sent = "{\"model\":\"m1\",\"n\":2,\"messages\":[{\"role\":"
                       "\"user\",\"content\":\"x\"}]}";
    bool is_own = true;
    struct test_server engine([&](int fd, const std::string &request) {
        std::string id = test_header(request, "x-request-id");
        std::string body =
            "{\"id\":\"chatcmpl-" + (is_own ? id : "other") + "\",\"n\":2}";
        reply(fd, "200 OK", request_id_header(request), body);
    });
    start({&engine});
    struct answer answer = ask(test_post("/v1/chat/completions", sent));
    EXPECT_EQ(answer.status, 200) << answer.body;
    EXPECT_NE(answer.body.find("\"n\":2"), std::string::npos);
    std::string seen = engine.requests().at(0);
    EXPECT_EQ(seen.substr(seen.find("\r\n\r\n") + 4), sent);
    is_own = false;
    answer = ask(test_post("/v1/chat/completions", sent));
    EXPECT_EQ(answer.status, 502);
    EXPECT_EQ(answer.body.find("\"n\":2"), std::string::npos);
}

/* If no engine can resume a broken stream, a streaming caller gets an error
 * event and any other caller an error response without partial text. */
TEST_F(Chat, BrokenStreamThatCannotResumeIsAnError)
{
    can_resume = false;
    auto script = [](int fd, const std::string &request) {
        test_write(fd, test_stream_head(request) + role_event(request) +
                           test_token(request, 0));
    };
    struct test_server one(script);
    struct test_server two(script);
    start({&one, &two});
    struct answer streamed = ask(test_chat(true));
    EXPECT_EQ(streamed.status, 200);
    EXPECT_TRUE(streamed.is_complete);
    EXPECT_EQ(join_contents(streamed.body), "t0 ");
    EXPECT_EQ(count(streamed.body, "[DONE]"), 0u);
    EXPECT_NE(streamed.body.find("data: {\"error\":{"), std::string::npos);
    EXPECT_NE(streamed.body.find("\"ran\":\"maybe\""), std::string::npos);
    struct answer unstreamed = ask(test_chat(false));
    EXPECT_EQ(unstreamed.status, 502);
    EXPECT_EQ(unstreamed.headers["x-cardamompick-ran"], "maybe");
    EXPECT_EQ(unstreamed.body.find("t0"), std::string::npos);
}

/* The engine that should continue a stream refuses it.  Guards against a
 * stream that neither goes on nor ends. */
TEST_F(Chat, ARefusalInPlaceOfTheRestOfAStreamIsAnError)
{
    std::atomic<int> n_runs{0};
    auto script = [&](int fd, const std::string &request) {
        if (n_runs++ == 0) {
            test_write(fd, test_stream_head(request) + role_event(request) +
                               test_token(request, 0));
            return;
        }
        reply(fd, "400 Bad", request_id_header(request), "refused");
    };
    struct timeval limit = {4, 0};
    struct test_server one(script);
    struct test_server two(script);

    start({&one, &two});
    int fd = test_connect(port);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    test_write(fd, test_chat(true));
    struct answer answer = test_read_answer(fd);
    close(fd);
    EXPECT_EQ(answer.status, 200);
    EXPECT_TRUE(answer.is_complete);
    EXPECT_EQ(join_contents(answer.body), "t0 ");
    EXPECT_EQ(count(answer.body, "[DONE]"), 0u);
    EXPECT_EQ(count(answer.body, "refused"), 0u);
    EXPECT_NE(answer.body.find("data: {\"error\":{"), std::string::npos);
}

TEST_F(Chat, ARequestThatCrashesServersEndsAfterAFew)
{
    std::atomic<int> n_crashes{0};
    struct test_server engine([&](int, const std::string &) { n_crashes++; });

    start({&engine});
    for (int i = 0; i < 10; i++) {
        EXPECT_NE(ask(test_chat(false)).status, 200);
    }
    EXPECT_LE(n_crashes, 3);
}

/* An error response tells in x-cardamompick-ran whether a server may have run
 * the request.  Callers rely on it to decide whether to send it again. */
TEST_F(Chat, ErrorsTellWhetherTheRequestRan)
{
    struct {
        const char *name;
        test_server::script script;
        std::deque<enum contracts_answer> answers;
        int status;
        const char *ran;
        size_t n_sent;
    } cases[] = {
        {"all refuse without running",
         [](int fd, const std::string &) {
             reply(fd, "503 Busy", "x-ran: no\r\n");
         },
         {},
         503,
         "no",
         3},
        {"all fail",
         [](int fd, const std::string &) { reply(fd, "500 X"); },
         {},
         502,
         "maybe",
         3},
        {"refused by the engine as a bad request",
         [](int fd, const std::string &request) {
             reply(fd, "400 Bad", request_id_header(request));
         },
         {},
         400,
         "yes",
         1},
        {"all busy, also after the wait",
         test_engine,
         {CONTRACTS_BUSY, CONTRACTS_BUSY, CONTRACTS_BUSY},
         503,
         "no",
         0},
        {"operator over its share on all servers",
         test_engine,
         {CONTRACTS_REFUSED, CONTRACTS_REFUSED},
         429,
         "no",
         0},
        {"over the share on one, other busy after the wait",
         test_engine,
         {CONTRACTS_REFUSED, CONTRACTS_BUSY, CONTRACTS_BUSY},
         503,
         "no",
         0},
        {"all servers gone",
         test_engine,
         {CONTRACTS_UNAVAILABLE, CONTRACTS_UNAVAILABLE, CONTRACTS_UNAVAILABLE},
         503,
         "no",
         0},
    };
    for (const auto &row : cases) {
        struct test_server one(row.script);
        struct test_server two(row.script);
        start({&one, &two});
        fakes.answers = row.answers;
        struct answer answer = ask(test_chat(true));
        EXPECT_EQ(answer.status, row.status) << row.name << answer.body;
        EXPECT_EQ(answer.headers["x-cardamompick-ran"], row.ran) << row.name;
        EXPECT_EQ(one.requests().size() + two.requests().size(), row.n_sent)
            << row.name;
        TearDown();
        front = nullptr;
        world = nullptr;
        SetUp();
    }
}

/* When the server's port refuses connections, the request did not run. */
TEST_F(Chat, RefusedConnectionIsNotRun)
{
    struct test_closed_port closed;
    struct test_server unused(test_engine);
    int port_of_unused = unused.port;
    unused.port = closed.port;
    start({&unused});
    unused.port = port_of_unused;
    struct answer answer = ask(test_chat(true));
    EXPECT_EQ(answer.status, 503);
    EXPECT_EQ(answer.headers["x-cardamompick-ran"], "no");
}

/* When the first server is busy, the second is tried without waiting.  When
 * both are busy, the request queues at one. */
TEST_F(Chat, RequestQueuesWhenAllServersAreBusy)
{
    struct test_server one(test_engine);
    struct test_server two(test_engine);
    start({&one, &two});
    fakes.answers = {CONTRACTS_BUSY};
    expect_complete(ask(test_chat(true)), true, "second choice");
    EXPECT_EQ(fakes.admissions.size(), 2u);
    EXPECT_NE(fakes.admissions[0].server, fakes.admissions[1].server);
    EXPECT_EQ(fakes.admissions[1].wait_ms, 0);
    fakes.admissions.clear();
    fakes.answers = {CONTRACTS_BUSY, CONTRACTS_BUSY};
    expect_complete(ask(test_chat(true)), true, "queued");
    ASSERT_EQ(fakes.admissions.size(), 3u);
    EXPECT_GT(fakes.admissions[2].wait_ms, 0);
}

/* A request with max_tokens of long_tokens or more has the long class. */
TEST_F(Chat, LongRequestsHaveTheLongClass)
{
    struct test_server engine(test_engine);
    start({&engine});
    ask(test_chat(true, 99));
    ask(test_chat(true, 100));
    EXPECT_EQ(fakes.admissions.at(0).class_, CONTRACTS_ONLINE_SHORT);
    EXPECT_EQ(fakes.admissions.at(1).class_, CONTRACTS_ONLINE_LONG);
}

/* Once an admission reply has reported a reduction of the long class, long
 * requests are refused without an admission request; short ones are not. */
TEST_F(Chat, ReductionAppliesToItsClassOnly)
{
    struct test_server engine(test_engine);
    start({&engine});
    fakes.reduction.share[CONTRACTS_ONLINE_LONG] = 1;
    fakes.reduction.valid_ms = 60000;
    expect_complete(ask(test_chat(true, 99)), true,
                    "its reply reports the reduction");
    expect_complete(ask(test_chat(true, 99)), true, "another class");
    struct answer refused = ask(test_chat(true, 100));
    EXPECT_EQ(refused.status, 429);
    EXPECT_EQ(refused.headers["x-cardamompick-ran"], "no");
    EXPECT_EQ(refused.headers["retry-after"], "1");
    EXPECT_EQ(fakes.admissions.size(), 2u);
}

/* While another server has room, neither a refusal nor a reduction of one
 * server makes the front refuse a request. */
TEST_F(Chat, OneFullServerCausesNoRefusal)
{
    struct test_server one(test_engine);
    struct test_server two(test_engine);
    start({&one, &two});
    fakes.answers = {CONTRACTS_REFUSED};
    expect_complete(ask(test_chat(true)), true, "the other server has room");
    fakes.reduction.share[CONTRACTS_ONLINE_SHORT] = 1;
    fakes.reduction.valid_ms = 60000;
    expect_complete(ask(test_chat(true)), true,
                    "its reply reports one server's reduction");
    fakes.reduction = {};
    expect_complete(ask(test_chat(true)), true,
                    "the other server reports none");
}

/* Requests over an operator's limit of open requests, or over its request
 * rate, get 429 and are not sent to a server. */
TEST_F(Chat, OperatorLimitsAreEnforced)
{
    operator_limits = ",\"open_requests\":1";
    struct test_server engine([](int fd, const std::string &request) {
        test_write(fd, test_stream_head(request) + test_token(request, 0));
        test_wait_for_close(fd);
    });
    start({&engine});
    int fd = test_connect(port);
    test_write(fd, test_chat(true));
    while (counter("tokens_relayed_total") == 0) {
        g_usleep(1000);
    }
    struct answer second = ask(test_chat(true));
    EXPECT_EQ(second.status, 429);
    EXPECT_EQ(second.headers["retry-after"], "1");
    close(fd);
    wait_until_released();
    fakes.is_rate_allowed = false;
    EXPECT_EQ(ask(test_chat(true)).status, 429);
    EXPECT_EQ(engine.requests().size(), 1u);
}

/* When the caller disconnects during a stream, the backend connection is
 * closed and the contract released, without counting the server as failed. */
TEST_F(Chat, DisconnectCancelsTheBackendCall)
{
    struct test_server engine([](int fd, const std::string &request) {
        test_write(fd, test_stream_head(request) + test_token(request, 0));
        test_wait_for_close(fd);
    });
    start({&engine});
    int fd = test_connect(port);
    test_write(fd, test_chat(true));
    while (counter("tokens_relayed_total") == 0) {
        g_usleep(1000);
    }
    close(fd);
    while (engine.n_closed == 0) {
        g_usleep(1000);
    }
    wait_until_released();
    EXPECT_FALSE(fakes.released.at(0).second.failed);
}

/* When the caller disconnects during an admission request, a contract that is
 * granted afterwards is released unused. */
TEST_F(Chat, DisconnectDuringAdmissionReleasesTheContract)
{
    struct test_server engine(test_engine);
    start({&engine});
    fakes.delays_admissions = true;
    int fd = test_connect(port);
    test_write(fd, test_chat(true));
    while (true) {
        std::lock_guard<std::mutex> hold(fakes.lock);
        if (!fakes.delayed_admissions.empty()) {
            break;
        }
    }
    close(fd);
    while (counter("open_requests") > 0) {
        g_usleep(1000);
    }
    fakes_answer_delayed();
    wait_until_released();
    EXPECT_EQ(fakes.released.size(), 1u);
    EXPECT_EQ(engine.requests().size(), 0u);
}

/* At the deadline the caller gets 504: maybe run if the request was sent to a
 * server, not run if it still waited for admission. */
TEST_F(Chat, DeadlineIsEnforced)
{
    struct test_server engine(
        [](int fd, const std::string &) { test_wait_for_close(fd); });
    start({&engine});
    std::string body = "{\"model\":\"m1\",\"messages\":[{\"role\":\"user\"}]}";
    struct answer answer =
        ask(test_post("/v1/chat/completions", body, "x-deadline-ms: 100\r\n"));
    EXPECT_EQ(answer.status, 504);
    EXPECT_EQ(answer.headers["x-cardamompick-ran"], "maybe");
    fakes.delays_admissions = true;
    answer =
        ask(test_post("/v1/chat/completions", body, "x-deadline-ms: 100\r\n"));
    EXPECT_EQ(answer.status, 504);
    EXPECT_EQ(answer.headers["x-cardamompick-ran"], "no");
    fakes_answer_delayed();
}

/* When a server sends nothing for silence_ms, another one completes the
 * response. */
TEST_F(Chat, SilentServerIsReplaced)
{
    limits = ",\"silence_ms\":100";
    struct {
        const char *name;
        test_server::script first;
    } cases[] = {
        {"before the head", [](int, const std::string &) {}},
        {"before a token",
         [](int fd, const std::string &request) {
             test_write(fd, test_stream_head(request) + role_event(request));
         }},
        {"in the middle",
         [](int fd, const std::string &request) {
             test_write(fd, test_stream_head(request) + role_event(request) +
                                test_token(request, 0));
         }},
    };
    for (const auto &row : cases) {
        for (bool is_stream : {true, false}) {
            std::atomic<int> n_calls{0};
            auto script = [&](int fd, const std::string &request) {
                if (n_calls++ == 0) {
                    row.first(fd, request);
                    test_wait_for_close(fd);
                    return;
                }
                test_engine(fd, request);
            };
            struct test_server one(script);
            struct test_server two(script);
            start({&one, &two});
            expect_complete(ask(test_chat(is_stream)), is_stream, row.name);
            EXPECT_EQ(n_calls, 2) << row.name;
            TearDown();
            front = nullptr;
            world = nullptr;
            SetUp();
        }
    }
}

/* The first attempt fails while the second one, started at the silence limit,
 * runs.  The second must then be subject to the silence limit as well. */
TEST_F(Chat, SecondAttemptMayBeSilentToo)
{
    limits = ",\"silence_ms\":100";
    std::atomic<int> n_calls{0};
    std::atomic<bool> has_second{false};
    auto script = [&](int fd, const std::string &request) {
        int number = n_calls++;
        if (number == 0) {
            while (!has_second) {
                g_usleep(1000);
            }
            return; /* closes: the first attempt fails */
        }
        if (number == 1) {
            has_second = true;
            test_wait_for_close(fd);
            return;
        }
        test_engine(fd, request);
    };
    struct test_server one(script);
    struct test_server two(script);
    struct test_server three(script);
    start({&one, &two, &three});
    expect_complete(ask(test_chat(true)), true, "third");
    EXPECT_EQ(n_calls, 3);
    EXPECT_EQ(one.requests().size(), 1u);
    EXPECT_EQ(two.requests().size(), 1u);
    EXPECT_EQ(three.requests().size(), 1u);
}

/* The configuration replaces all servers while a stream runs.  The broken
 * stream must resume at a server of the new configuration. */
TEST_F(Chat, ConfigurationMayChangeDuringAStream)
{
    std::atomic<bool> is_changed{false};
    std::atomic<int> n_calls{0};
    auto script = [&](int fd, const std::string &request) {
        if (n_calls++ > 0) {
            test_engine(fd, request);
            return;
        }
        test_write(fd, test_stream_head(request) + role_event(request) +
                           test_token(request, 0) + test_token(request, 1));
        while (!is_changed) {
            g_usleep(1000);
        }
    };
    struct test_server one(script);
    struct test_server two(script);
    struct test_server three(script);
    start({&one, &two});
    int fd = test_connect(port);
    test_write(fd, test_chat(true));
    while (counter("tokens_relayed_total") < 2) {
        g_usleep(1000);
    }
    struct world *next = make_world({&three});
    front_update(front, next, nullptr);
    ask(test_get("/v1/models"));
    is_changed = true;
    expect_complete(test_read_answer(fd), true, "changed");
    close(fd);
    EXPECT_EQ(three.requests().size(), 1u);
    wait_until_released();
    EXPECT_EQ(fakes.released.size(), 2u);
    world_unref(next);
}

/* The naive policy sends no admission requests and uses servers in turn. */
TEST_F(Chat, NaivePolicyRequestsNoAdmission)
{
    desc.is_naive = true;
    struct test_server one(test_engine);
    struct test_server two(test_engine);
    start({&one, &two});
    for (int i = 0; i < 4; i++) {
        expect_complete(ask(test_chat(true)), true, "naive");
    }
    EXPECT_EQ(fakes.admissions.size(), 0u);
    EXPECT_EQ(one.requests().size(), 2u);
    EXPECT_EQ(two.requests().size(), 2u);
}

/* After 40 requests the usual time to the first token is known.  A late first
 * token then starts a hedge and is reported to the server's owner once. */
TEST_F(Chat, LateFirstTokenIsHedged)
{
    limits = ",\"hedge_ratio\":1";
    std::atomic<bool> is_slow{false};
    auto script = [&](int fd, const std::string &request) {
        if (is_slow.exchange(false)) {
            test_write(fd, test_stream_head(request) + role_event(request));
            test_wait_for_close(fd);
            return;
        }
        test_engine(fd, request);
    };
    struct test_server one(script);
    struct test_server two(script);
    start({&one, &two});
    for (int i = 0; i < 40; i++) {
        expect_complete(ask(test_chat(true)), true, "usual");
    }
    wait_until_released();
    int64_t before = counter("hedges_total");
    size_t n_late = fakes.late_first_token_us.size();
    is_slow = true;
    expect_complete(ask(test_chat(true)), true, "hedged");
    EXPECT_EQ(counter("hedges_total"), before + 1);
    EXPECT_GE(counter("hedge_wins_total"), 1);
    EXPECT_EQ(fakes.late_first_token_us.size(), n_late + 1);
    while (one.n_closed + two.n_closed < 42) {
        g_usleep(1000);
    }
    wait_until_released();
    EXPECT_EQ(counter("retries_total"), 0);
}

/* While the caller does not read, the front stops reading from the engine
 * instead of buffering the stream.  No token is lost. */
TEST_F(Chat, SlowReaderPausesTheEngine)
{
    std::atomic<bool> is_all_sent{false};
    const int n_tokens = 60000;
    struct test_server engine([&](int fd, const std::string &request) {
        std::string text = test_stream_head(request);
        for (int i = 0; i < n_tokens; i++) {
            text += test_token(request, i);
        }
        test_write(fd, text + test_stream_end(request));
        is_all_sent = true;
    });
    start({&engine});
    int fd = test_connect(port);
    test_write(fd, test_chat(true));
    int64_t last = -1;
    int64_t now = 0;
    while (now == 0 || now != last) {
        last = now;
        g_usleep(100000);
        now = counter("tokens_relayed_total");
    }
    EXPECT_FALSE(is_all_sent);
    EXPECT_LT(now, n_tokens);
    struct answer answer = test_read_answer(fd);
    close(fd);
    EXPECT_TRUE(answer.is_complete);
    EXPECT_EQ(count(answer.body, "\"content\""), (size_t)n_tokens);
    EXPECT_EQ(count(answer.body, "[DONE]"), 1u);
}

/* A caller that does not read its response for caller_silence_ms has its
 * connection closed. */
TEST_F(Chat, CallerThatDoesNotReadIsClosed)
{
    desc.caller_silence_ms = 300;
    struct test_server engine([&](int fd, const std::string &request) {
        std::string text = test_stream_head(request);
        for (int i = 0; i < 60000; i++) {
            text += test_token(request, i);
        }
        test_write(fd, text + test_stream_end(request));
    });
    start({&engine});
    int fd = test_connect(port);
    test_write(fd, test_chat(true));
    while (counter("requests_total{route=\"chat\",class=\"short\",status="
                   "\"200\"}") == 0) {
        g_usleep(1000);
    }
    EXPECT_FALSE(test_read_answer(fd).is_complete);
    close(fd);
}

} // namespace
