#include <gtest/gtest.h>
#include <jansson.h>

#include <algorithm>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "backends/test_server.h"
#include "deploy/deploy.h"
#include "platform/test_fake_kv.h"

namespace {

/* What an engine does with its first order.  Later ones are accepted. */
enum first_order { ACCEPTS, DROPS_RESPONSE, REFUSES_FIRST };

/* Guards the state of all fake engines and services, which run on threads of
 * their own. */
std::mutex fleet_lock;

struct fake_engine {
    const char *name;
    enum first_order first;
    int64_t fencing;
    std::string version = "1";
    int64_t ready_at_ms = 0;
    std::vector<int64_t> orders; /* fencing numbers of those received */
    std::unique_ptr<test_server> server;

    fake_engine(const char *name_, enum first_order first_, int64_t fencing_)
        : name(name_), first(first_), fencing(fencing_)
    {
        server = std::make_unique<test_server>(
            [this](int fd, const std::string &request) {
                std::lock_guard<std::mutex> guard(fleet_lock);
                test_write(fd, answer(request));
            });
    }

    bool
    is_loading() const
    {
        return base_clock_ms() < ready_at_ms;
    }

    static std::string
    response(int status, const std::string &headers, const std::string &body)
    {
        return "HTTP/1.1 " + std::to_string(status) + " x\r\n" + headers +
               "content-length: " + std::to_string(body.size()) + "\r\n\r\n" +
               body;
    }

    std::string
    state() const
    {
        return response(200, "",
                        std::string(R"({"model":"m","version":")") + version +
                            R"(","adapters":[],"state":")" +
                            (is_loading() ? "loading" : "ready") +
                            R"(","fencing":)" + std::to_string(fencing) + "}");
    }

    std::string
    answer(const std::string &request)
    {
        if (request.compare(0, 4, "GET ") == 0) {
            return state();
        }
        json_t *order =
            json_loads(request.c_str() + request.find("\r\n\r\n"), 0, nullptr);
        int64_t number = json_integer_value(json_object_get(order, "fencing"));
        std::string to = text_member(order, "version");
        json_decref(order);
        orders.push_back(number);
        if (number < fencing) {
            return response(409, "", "{}");
        }
        if (first == REFUSES_FIRST && orders.size() == 1) {
            return response(503, "x-ran: no\r\n", "{}");
        }
        fencing = number;
        version = to;
        ready_at_ms = base_clock_ms() + 300;
        bool is_lost = first == DROPS_RESPONSE && orders.size() == 1;
        return is_lost ? "" : state();
    }
};

/* The deploy task of one node with fake engines, key-value service, host list
 * and weight store. */
class Deploy : public ::testing::Test {
  protected:
    FakeKv kv;
    std::vector<std::unique_ptr<fake_engine>> engines;
    std::string leaving;     /* the engine whose host is leaving */
    int fetches = 0;         /* weight requests received */
    int refused_fetches = 1; /* how many of the first are refused */
    std::unique_ptr<test_server> services;
    struct base_counters counters;
    struct base_tracer tracer;
    struct platform *platform = nullptr;
    struct deploy *deploy = nullptr;

    std::string
    services_answer(const std::string &request)
    {
        std::lock_guard<std::mutex> guard(fleet_lock);
        if (request.compare(0, 4, "GET ") != 0) {
            bool is_refused = ++fetches <= refused_fetches;
            return fake_engine::response(
                is_refused ? 429 : 200, is_refused ? "retry-after: 1\r\n" : "",
                "{}");
        }
        std::string hosts;
        for (const auto &engine : engines) {
            hosts += std::string(hosts.empty() ? "" : ",") +
                     R"({"name":"h","address":"127.0.0.1:)" +
                     std::to_string(engine->server->port) + R"(","state":")" +
                     (leaving == engine->name ? "leaving" : "live") + "\"}";
        }
        return fake_engine::response(200, "", "{\"hosts\":[" + hosts + "]}");
    }

    struct world *
    make_world(int min_ready, double change_share)
    {
        std::string servers;
        for (const auto &engine : engines) {
            servers += std::string(servers.empty() ? "" : ",") +
                       R"({"name":")" + engine->name +
                       R"(","address":"127.0.0.1:)" +
                       std::to_string(engine->server->port) +
                       R"(","zone":"z","deployment":"d"})";
        }
        std::string text =
            R"({"format":1,"regions":[{"name":"r","zones":["z"]}],)"
            R"("deployments":[{"name":"d","model":"m","version":"2",)"
            R"("min_ready":)" +
            std::to_string(min_ready) + R"(,"change_share":)" +
            std::to_string(change_share) + R"(}],"servers":[)" + servers +
            "]}";
        struct world_problems problems;
        world_problems_init(&problems);
        struct world *world =
            world_parse(text.c_str(), text.size(), &problems);
        EXPECT_NE(world, nullptr) << text;
        world_problems_finish(&problems);
        return world;
    }

    static struct members_view *
    make_view()
    {
        struct members_view *view = g_new0(struct members_view, 1);
        view->references = 1;
        view->n_nodes = 1;
        view->nodes = g_new0(struct members_node, 1);
        g_strlcpy(view->nodes[0].name, "n1", sizeof(view->nodes[0].name));
        view->nodes[0].state = MEMBERS_ALIVE;
        return view;
    }

    void
    start(int min_ready, double change_share)
    {
        struct base_error err = {BASE_OK, ""};
        std::string kv_address = kv.address();
        const char *kvs[] = {kv_address.c_str()};
        services = std::make_unique<test_server>(
            [this](int fd, const std::string &request) {
                test_write(fd, services_answer(request));
            });
        std::string services_address =
            "127.0.0.1:" + std::to_string(services->port);
        kv.start();
        base_counters_init(&counters);
        base_tracer_init(&tracer, nullptr, "n1", &err);
        struct platform_desc desc = {};
        desc.kv = kvs;
        desc.n_kv = 1;
        desc.host_list = services_address.c_str();
        desc.weight_store = services_address.c_str();
        desc.counters = &counters;
        platform = platform_start(&desc, &err);
        ASSERT_NE(platform, nullptr);
        struct deploy_desc deploy_desc = {};
        deploy_desc.node = "n1";
        deploy_desc.zone = "z";
        deploy_desc.platform = platform;
        deploy_desc.counters = &counters;
        deploy_desc.tracer = &tracer;
        deploy = deploy_start(&deploy_desc, &err);
        ASSERT_NE(deploy, nullptr);
        struct world *world = make_world(min_ready, change_share);
        struct members_view *view = make_view();
        deploy_update(deploy, world, view);
        world_unref(world);
        members_view_unref(view);
    }

    void
    TearDown() override
    {
        deploy_stop(deploy);
        platform_stop(platform);
        services.reset();
        engines.clear();
        base_tracer_finish(&tracer);
        base_counters_finish(&counters);
    }

    /* Waits until every engine but the leaving one has version 2.  Returns the
     * smallest number of ready engines seen meanwhile. */
    int
    fewest_ready_until_done()
    {
        int fewest = (int)engines.size();
        bool is_done = false;
        while (!is_done) {
            g_usleep(2000);
            std::lock_guard<std::mutex> guard(fleet_lock);
            int ready = 0;
            is_done = true;
            for (const auto &engine : engines) {
                ready += !engine->is_loading();
                is_done = is_done && !engine->is_loading() &&
                          (engine->version == "2" || leaving == engine->name);
            }
            fewest = std::min(fewest, ready);
        }
        return fewest;
    }
};

/* A version change must reach each engine once, also if the weight store or an
 * engine refuses a request or a response is lost, and must not take more
 * engines out of service than min_ready and change_share allow. */
TEST_F(Deploy, ChangesEveryEngineOnceAndKeepsEnoughReady)
{
    engines.push_back(std::make_unique<fake_engine>("e1", ACCEPTS, 0));
    engines.push_back(std::make_unique<fake_engine>("e2", REFUSES_FIRST, 0));
    engines.push_back(std::make_unique<fake_engine>("e3", DROPS_RESPONSE, 0));
    engines.push_back(std::make_unique<fake_engine>("e4", ACCEPTS, 0));
    engines.push_back(std::make_unique<fake_engine>("e5", ACCEPTS, 0));
    leaving = "e5";
    start(2, 0.4);
    /* e5 and two of the others stay ready. */
    EXPECT_GE(fewest_ready_until_done(), 3);
    deploy_stop(deploy);
    deploy = nullptr;
    EXPECT_EQ(engines[0]->orders.size(), 1u);
    EXPECT_EQ(engines[1]->orders.size(), 2u);
    EXPECT_EQ(engines[2]->orders.size(), 1u)
        << "sent again after a lost response";
    EXPECT_EQ(engines[3]->orders.size(), 1u);
    EXPECT_EQ(engines[4]->orders.size(), 0u) << "order to a leaving host";
    EXPECT_GT(engines[0]->orders[0], 10) << "not the claim's revision";
    EXPECT_EQ(fetches, refused_fetches + 4);
    EXPECT_EQ(kv.calls_of("/v3/lease/revoke"), 1)
        << "lease revoked at the end";
}

/* If an engine has a higher fencing number than the claim, it would refuse all
 * orders; the controller must get a claim with a higher number first. */
TEST_F(Deploy, ClaimsAgainAfterHigherFencingNumber)
{
    refused_fetches = 0;
    /* The first claim has revision 11, its release 12, the next claim 13. */
    engines.push_back(std::make_unique<fake_engine>("e1", ACCEPTS, 12));
    engines.push_back(std::make_unique<fake_engine>("e2", ACCEPTS, 0));
    start(1, 0.5);
    EXPECT_GE(fewest_ready_until_done(), 1);
    deploy_stop(deploy);
    deploy = nullptr;
    EXPECT_EQ(engines[0]->orders, std::vector<int64_t>{13});
    EXPECT_EQ(engines[1]->orders, std::vector<int64_t>{13});
}

} // namespace
