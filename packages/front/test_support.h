/*
 * What the front's tests share: fakes of the tasks that the front talks to,
 * a front on a free port, a plain HTTP client and scripts for engines.
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

struct fake_admission {
    std::string server;
    enum contracts_class class_;
    int64_t wait_ms;
};

struct fakes {
    std::mutex lock;
    /* contracts */
    std::deque<enum contracts_answer> answers; /* then all are granted */
    /* Servers whose keepers are out of reach, with no share left here. */
    std::set<std::string> unreachable;
    /* All others are busy for admissions that don't wait. */
    bool is_busy = false;
    struct contracts_reduction reduction;
    std::vector<struct fake_admission> admissions;
    uint64_t next_contract = 1;
    std::map<uint64_t, std::string> held;
    std::vector<std::pair<std::string, struct contracts_outcome>> released;
    std::vector<int64_t> late_first_token_us; /* told of late first tokens */
    int n_bad_releases = 0; /* of a contract that isn't held */
    bool delays_admissions = false;
    std::vector<struct control_admission *> delayed_admissions;
    bool is_rate_allowed = true;
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
void fakes_answer_delayed();
size_t fakes_count_held();

/* ---- an HTTP client ---- */

struct answer {
    int status = 0;
    std::map<std::string, std::string> headers; /* names in lower case */
    std::string body;
    bool is_complete = false; /* by its length or its last chunk */
};

struct answer test_exchange(int port, const std::string &request);
int test_connect(int port);
/* `rest` keeps what came after the answer, for the next call; NULL: dropped.
 */
struct answer test_read_answer(int fd, std::string *rest = nullptr);
std::string test_post(const std::string &path, const std::string &body,
                      const std::string &headers = "");
std::string test_get(const std::string &path, const std::string &headers = "");
std::string test_chat(bool stream, int max_tokens = 5);

/* ---- engines ---- */

std::string test_stream_head(const std::string &request);
std::string test_token(const std::string &request, int number);
std::string test_stream_end(const std::string &request);
/* A well-behaved engine: five tokens, resumable. */
void test_engine(int fd, const std::string &request);

/* ---- a front ---- */

struct Front : public ::testing::Test {
    void SetUp() override;
    void TearDown() override;
    void start(const std::vector<struct test_server *> &engines,
               const std::vector<struct test_server *> &services = {});
    struct world *
    make_world(const std::vector<struct test_server *> &engines,
               const std::vector<struct test_server *> &services = {});
    struct answer
    ask(const std::string &request)
    {
        return test_exchange(port, request);
    }
    int64_t counter(const std::string &name);
    /* Waits until every contract has been given back. */
    void wait_until_released();

    /* Changes of the document before start(). */
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
