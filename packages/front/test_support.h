/*
 * test_support: shared parts of the front's tests.  It has fakes of the tasks
 * that the front calls, a fixture that starts a front on a free port, an HTTP
 * client and scripts for engines.
 *
 *     TEST_F(Front, ...) {
 *         struct test_server engine(test_engine);
 *         start({&engine});
 *         struct answer answer = ask(test_chat(true));
 *     }
 */
#ifndef CARDAMOM_FRONT_TEST_SUPPORT_H
#define CARDAMOM_FRONT_TEST_SUPPORT_H

#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "backends/test_server.h"
#include "front/front.h"

/* ---- the fakes ---- */

/* An admission request as the front sent it. */
struct fake_admission {
    std::string server;
    enum contracts_class class_;
    int64_t wait_ms;
    int64_t work_ms;
    int64_t earlier_ms;
};

/* What the fakes answer and what they have received.  The front's task calls
 * them from its thread, so a test locks `lock` to access what may change. */
/* The parts of prompts that crash servers, as this node knows them. */
struct FakePrompts {
    struct quarantine quarantine;
    int64_t now_ms = 0;

    FakePrompts()
    {
        begin();
    }
    ~FakePrompts()
    {
        quarantine_finish(&quarantine);
    }
    void
    begin()
    {
        struct quarantine_desc desc = {};
        quarantine_init(&quarantine, &desc);
        now_ms = 0;
    }
    void
    forget()
    {
        quarantine_finish(&quarantine);
        begin();
    }
};

struct fakes {
    std::mutex lock;
    FakePrompts prompts;
    /* admission and contracts */
    /* Answers of the next admission requests; later ones are granted. */
    std::deque<enum contracts_answer> answers;
    /* Servers whose owner is unreachable and of which this node has no local
     * share left. */
    std::set<std::string> unreachable;
    /* All other servers are busy for admission requests that don't wait. */
    bool is_busy = false;
    struct contracts_reduction reduction;
    std::vector<struct fake_admission> admissions; /* requests received */
    uint64_t next_contract = 1;
    std::map<uint64_t, std::string> held; /* contract to server */
    std::vector<std::pair<std::string, struct contracts_outcome>> released;
    std::vector<int64_t> late_first_token_us; /* of reported late tokens */
    /* server of each response, and what that said of it; "-": no limit */
    std::vector<std::pair<std::string, std::string>> responses;
    int n_bad_releases = 0; /* releases of contracts that weren't held */
    bool delays_admissions = false;
    std::vector<struct control_admission *> delayed_admissions;
    bool is_rate_allowed = true;
    int64_t rate_retry_ms = 250;
    std::vector<std::string> rate_requests; /* operators' names */
    bool is_ready = true;
    /* batch and config */
    std::vector<std::string> batch_log;
    std::string uploaded;
    std::string content;
    std::vector<std::string> config_log;
    int upload_status = 200;
};

extern struct fakes fakes;

void fakes_reset();
/* Answers the delayed admission requests and stops delaying new ones. */
void fakes_answer_delayed();
/* The number of contracts that the front holds. */
size_t fakes_count_held();

/* ---- an HTTP client ---- */

struct answer {
    int status = 0;
    std::map<std::string, std::string> headers; /* names in lower case */
    std::string body;
    bool is_complete = false; /* has its full length or its last chunk */
};

/* Sends a request on a connection of its own and reads the response. */
struct answer test_exchange(int port, const std::string &request);
int test_connect(int port);
/* Reads one response.  `rest` keeps the bytes received after it for the next
 * call; without it they are dropped. */
struct answer test_read_answer(int fd, std::string *rest = nullptr);
/* Requests with an API key that has all scopes. */
std::string test_post(const std::string &path, const std::string &body,
                      const std::string &headers = "");
std::string test_get(const std::string &path, const std::string &headers = "");
std::string test_chat(bool stream, int max_tokens = 5);

/* ---- engines ---- */

/* Parts of a stream that answers the request. */
std::string test_stream_head(const std::string &request);
std::string test_token(const std::string &request, int number);
std::string test_stream_end(const std::string &request);
/* Serves a stream of five tokens and can resume it. */
void test_engine(int fd, const std::string &request);

/* ---- a front ---- */

/* Starts a front in front of test servers and stops it; fails if a contract
 * that is not held was released. */
struct Front : public ::testing::Test {
    void SetUp() override;
    void TearDown() override;
    void start(const std::vector<struct test_server *> &engines,
               const std::vector<struct test_server *> &services = {});
    struct world *
    make_world(const std::vector<struct test_server *> &engines,
               const std::vector<struct test_server *> &services = {});
    /* Sends a request to the front and reads the response. */
    struct answer
    ask(const std::string &request)
    {
        return test_exchange(port, request);
    }
    int64_t counter(const std::string &name);
    /* Waits until all contracts are released and no admission request is
     * delayed. */
    void wait_until_released();

    /* Parts of the configuration; set them before start(). */
    std::string limits = "";
    bool can_resume = true;
    std::string operator_limits = "";
    struct front_desc desc = {};
    struct base_counters counters;
    struct base_tracer tracer;
    struct front *front = nullptr;
    struct world *world = nullptr;
    int port = 0;
};

#endif
