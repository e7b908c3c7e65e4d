#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <vector>

#include "deploy/plan.h"

namespace {

const int64_t NOW_MS = 1000000;

struct deploy_observed
server(enum deploy_server_state state, const char *model, const char *version)
{
    struct deploy_observed observed = {};
    observed.state = state;
    g_strlcpy(observed.model, model, sizeof(observed.model));
    g_strlcpy(observed.version, version, sizeof(observed.version));
    observed.read_ms = NOW_MS - 100;
    return observed;
}

const struct deploy_observed READY_1 = server(DEPLOY_READY, "m", "1");
const struct deploy_observed READY_2 = server(DEPLOY_READY, "m", "2");
const struct deploy_observed LOADING_2 = server(DEPLOY_LOADING, "m", "2");
const struct deploy_observed OTHER_MODEL = server(DEPLOY_READY, "x", "2");
const struct deploy_observed EMPTY = server(DEPLOY_EMPTY, "", "");

template <typename Change>
struct deploy_observed
with(struct deploy_observed observed, Change change)
{
    change(observed);
    return observed;
}

const struct deploy_observed UNREAD =
    with(READY_1, [](struct deploy_observed &s) { s.read_ms = 0; });
const struct deploy_observed STALE =
    with(READY_1, [](struct deploy_observed &s) {
        s.read_ms = NOW_MS - DEPLOY_MAX_AGE_MS - 1;
    });
const struct deploy_observed LEAVING =
    with(READY_1, [](struct deploy_observed &s) { s.is_leaving = true; });
const struct deploy_observed BUSY =
    with(READY_1, [](struct deploy_observed &s) { s.is_busy = true; });
const struct deploy_observed NOT_READ_SINCE_ORDER =
    with(READY_1,
         [](struct deploy_observed &s) { s.order_ended_ms = NOW_MS - 50; });
const struct deploy_observed LOST_ORDER =
    with(READY_1, [](struct deploy_observed &s) {
        s.order_ended_ms = NOW_MS - 3000;
        s.in_flight_until_ms =
            NOW_MS - 99; /* has passed, but after the last read */
    });
const struct deploy_observed READ_SINCE_ORDER =
    with(READY_1, [](struct deploy_observed &s) {
        s.order_ended_ms = NOW_MS - 3000;
        s.in_flight_until_ms = NOW_MS - 100;
    });
const struct deploy_observed RETRY_LATER = with(
    READY_1, [](struct deploy_observed &s) { s.retry_at_ms = NOW_MS + 1; });
const struct deploy_observed HIGHER_FENCING =
    with(READY_1, [](struct deploy_observed &s) { s.fencing = 8; });

const struct deploy_claim HELD_CLAIM = {true, 7,
                                        NOW_MS - DEPLOY_MAX_FLIGHT_MS - 100,
                                        NOW_MS + DEPLOY_MAX_FLIGHT_MS};
const struct deploy_claim NO_CLAIM = {false, 0, 0, 0};
const struct deploy_claim NEW_CLAIM = {
    true, 7, NOW_MS - DEPLOY_MAX_FLIGHT_MS - 99, NOW_MS + 9000};
const struct deploy_claim EXPIRING_CLAIM = {true, 7, NOW_MS - 9000,
                                            NOW_MS + DEPLOY_MAX_FLIGHT_MS - 1};

struct plan_case {
    const char *name;
    std::vector<struct deploy_observed> observed;
    struct deploy_claim claim;
    double change_share;
    int min_ready;
    int64_t weights_ms;
    enum deploy_plan_status status;
    const char *orders; /* "KIND:SERVER ...", by index */
};

/* One row is one call of deploy_plan: the servers, the claim, the limits, and
 * the expected status and orders. */
class Plan : public ::testing::TestWithParam<plan_case> {};

TEST_P(Plan, Case)
{
    const plan_case &test_case = GetParam();
    struct deploy_desired desired = {"m", "2", nullptr, test_case.change_share,
                                     test_case.min_ready};
    GArray *orders = g_array_new(FALSE, FALSE, sizeof(struct deploy_order));
    EXPECT_EQ(deploy_plan(&desired, test_case.observed.data(),
                          (int)test_case.observed.size(), &test_case.claim,
                          test_case.weights_ms, NOW_MS, orders),
              test_case.status)
        << test_case.name;
    std::string text;
    for (guint i = 0; i < orders->len; i++) {
        auto *order = &g_array_index(orders, struct deploy_order, i);
        text += std::string(text.empty() ? "" : " ") +
                deploy_order_name(order->kind) + ":" +
                std::to_string(order->server);
    }
    EXPECT_EQ(text, test_case.orders) << test_case.name;
    g_array_free(orders, TRUE);
}

const plan_case PLANS[] = {
    {"as wanted", {READY_2, READY_2}, NO_CLAIM, 1, 1, 0, DEPLOY_SETTLED, ""},
    {"no servers", {}, NO_CLAIM, 1, 1, 0, DEPLOY_SETTLED, ""},
    {"needs a claim first",
     {READY_1, READY_2},
     NO_CLAIM,
     1,
     1,
     0,
     DEPLOY_NEEDS_CLAIM,
     ""},
    {"new claim holder waits",
     {READY_1, READY_2},
     NEW_CLAIM,
     1,
     1,
     0,
     DEPLOY_WAITING,
     ""},
    {"lease ends before an order could",
     {READY_1, READY_2},
     EXPIRING_CLAIM,
     1,
     1,
     0,
     DEPLOY_WAITING,
     ""},
    {"other version",
     {READY_1, READY_2},
     HELD_CLAIM,
     1,
     1,
     0,
     DEPLOY_HAS_ORDERS,
     "version:0"},
    {"load if empty or other model",
     {EMPTY, OTHER_MODEL},
     HELD_CLAIM,
     1,
     1,
     0,
     DEPLOY_HAS_ORDERS,
     "load:0 load:1"},
    {"servers that are not ready first",
     {READY_1, READY_1, EMPTY},
     HELD_CLAIM,
     0.4,
     1,
     0,
     DEPLOY_HAS_ORDERS,
     "load:2"},
    {"share of servers that may change",
     std::vector<struct deploy_observed>(8, READY_1), HELD_CLAIM, 0.25, 1, 0,
     DEPLOY_HAS_ORDERS, "version:0 version:1"},
    {"share counts changes under way",
     {LOADING_2, READY_1, READY_1, READY_1},
     HELD_CLAIM,
     0.25,
     1,
     0,
     DEPLOY_WAITING,
     ""},
    {"at least one may change",
     {READY_1, READY_1},
     HELD_CLAIM,
     0.01,
     1,
     0,
     DEPLOY_HAS_ORDERS,
     "version:0"},
    {"last ready server is not changed",
     {READY_1, EMPTY},
     HELD_CLAIM,
     1,
     1,
     0,
     DEPLOY_HAS_ORDERS,
     "load:1"},
    {"only server is not changed",
     {READY_1},
     HELD_CLAIM,
     1,
     1,
     0,
     DEPLOY_BLOCKED,
     ""},
    {"only server may be empty",
     {READY_1},
     HELD_CLAIM,
     1,
     0,
     0,
     DEPLOY_HAS_ORDERS,
     "version:0"},
    {"none of two may be empty",
     {READY_1, READY_1},
     HELD_CLAIM,
     1,
     0,
     0,
     DEPLOY_HAS_ORDERS,
     "version:0"},
    {"min_ready", {READY_1, READY_1}, HELD_CLAIM, 1, 2, 0, DEPLOY_BLOCKED, ""},
    {"state not read: not ready",
     {READY_1, UNREAD},
     HELD_CLAIM,
     1,
     1,
     0,
     DEPLOY_BLOCKED,
     ""},
    {"stale state: not ready",
     {READY_1, STALE},
     HELD_CLAIM,
     1,
     1,
     0,
     DEPLOY_BLOCKED,
     ""},
    {"leaving: not ready",
     {READY_1, LEAVING},
     HELD_CLAIM,
     1,
     1,
     0,
     DEPLOY_BLOCKED,
     ""},
    {"leaving server gets none",
     {LEAVING, READY_2},
     HELD_CLAIM,
     1,
     1,
     0,
     DEPLOY_SETTLED,
     ""},
    {"other model: not ready",
     {READY_1, OTHER_MODEL},
     HELD_CLAIM,
     1,
     1,
     0,
     DEPLOY_HAS_ORDERS,
     "load:1"},
    {"busy server gets none",
     {BUSY, READY_2},
     HELD_CLAIM,
     1,
     1,
     0,
     DEPLOY_WAITING,
     ""},
    {"not read since the last order",
     {NOT_READ_SINCE_ORDER, READY_2},
     HELD_CLAIM,
     1,
     1,
     0,
     DEPLOY_WAITING,
     ""},
    {"lost order may still take effect",
     {LOST_ORDER, READY_2},
     HELD_CLAIM,
     1,
     1,
     0,
     DEPLOY_WAITING,
     ""},
    {"read since, order had no effect",
     {READ_SINCE_ORDER, READY_2},
     HELD_CLAIM,
     1,
     1,
     0,
     DEPLOY_HAS_ORDERS,
     "version:0"},
    {"before the retry time",
     {RETRY_LATER, READY_2},
     HELD_CLAIM,
     1,
     1,
     0,
     DEPLOY_WAITING,
     ""},
    {"weights refused for now",
     {READY_1, READY_2},
     HELD_CLAIM,
     1,
     1,
     NOW_MS + 1,
     DEPLOY_WAITING,
     ""},
    {"engine has seen a newer holder",
     {HIGHER_FENCING, READY_2},
     HELD_CLAIM,
     1,
     1,
     0,
     DEPLOY_OUTDATED,
     ""},
};

INSTANTIATE_TEST_SUITE_P(Cases, Plan, ::testing::ValuesIn(PLANS));

/* A missing adapter needs no weight request, and of two ready servers with
 * missing adapters only one is changed at a time. */
TEST(PlanAdapters, MissingAdaptersAreLoaded)
{
    char first[] = "a1";
    char second[] = "a2";
    char *adapters[] = {first, second, nullptr};
    char *loaded[] = {first, nullptr};
    struct deploy_desired desired = {"m", "", adapters, 1, 1};
    struct deploy_observed observed[] = {READY_1, READY_1};
    observed[0].adapters = loaded;
    GArray *orders = g_array_new(FALSE, FALSE, sizeof(struct deploy_order));
    EXPECT_EQ(deploy_plan(&desired, observed, 2, &HELD_CLAIM, NOW_MS + 1,
                          NOW_MS, orders),
              DEPLOY_HAS_ORDERS);
    ASSERT_EQ(orders->len, 1u); /* the other server has to stay ready */
    auto *order = &g_array_index(orders, struct deploy_order, 0);
    EXPECT_EQ(order->kind, DEPLOY_ADAPTER);
    EXPECT_STREQ(order->adapter, "a2");
    g_array_free(orders, TRUE);
}

/* ---- random simulation of two controllers ---- */

enum {
    STEP_MS = 100,
    LEASE_MS = 4000,
    LOAD_MS = 5000,
    /* The longest pause of a controller between reading the clock and sending
     * an order. */
    MAX_SEND_DELAY_MS = DEPLOY_MAX_FLIGHT_MS - STEP_MS,
};

struct sim_engine {
    bool checks_fencing;
    int64_t fencing = 0;
    std::string version = "1";
    int64_t ready_at_ms = 0;
    bool is_confirmed = false; /* the response to an order arrived */
};

struct sim_order {
    int server;
    int64_t arrives_ms;
    int64_t fencing;
};

struct sim_controller {
    struct deploy_claim claim = {};
    std::vector<struct deploy_observed> observed;
    int64_t paused_until_ms = 0;
    int64_t cut_off_until_ms = 0; /* no access to the key-value service */
};

/* Simulates engines, one lease, and two controllers, which read states late,
 * lose responses, pause, and lose access to the key-value service. */
class Sim {
  public:
    std::vector<sim_engine> engines;
    int max_changing;
    int takeovers = 0;
    int duplicate_orders = 0; /* to a server that had confirmed one */

    Sim(guint32 seed, int n, int min_ready, double share)
        : engines((size_t)n), max_changing(std::max((int)(share * n), 1)),
          rand(g_rand_new_with_seed(seed)),
          controllers(2), desired{"m", "2", nullptr, share, min_ready}
    {
        for (auto &engine : engines) {
            engine.checks_fencing = g_rand_boolean(rand);
        }
        for (auto &controller : controllers) {
            controller.observed.resize(engines.size());
        }
    }

    ~Sim()
    {
        g_rand_free(rand);
    }

    int
    ready() const
    {
        int n = 0;
        for (const auto &engine : engines) {
            n += now_ms >= engine.ready_at_ms;
        }
        return n;
    }

    bool
    is_settled() const
    {
        bool is_done = ready() == (int)engines.size() && in_flight.empty();
        for (const auto &engine : engines) {
            is_done = is_done && engine.version == "2";
        }
        return is_done;
    }

    void
    step()
    {
        now_ms += STEP_MS;
        if (holder >= 0 && now_ms > lease_until_ms) {
            holder = -1;
        }
        deliver_orders();
        for (size_t i = 0; i < controllers.size(); i++) {
            sim_controller &controller = controllers[i];
            if (chance(0.03)) {
                controller.cut_off_until_ms = now_ms + between(100, 20000);
            }
            if (now_ms >= controller.paused_until_ms) {
                run_controller((int)i);
            }
        }
    }

  private:
    GRand *rand;
    int64_t now_ms = 100000;
    std::vector<sim_order> in_flight;
    std::vector<sim_controller> controllers;
    struct deploy_desired desired;
    int holder = -1;
    int64_t lease_until_ms = 0;
    int64_t next_fencing = 1;

    bool
    chance(double share)
    {
        return g_rand_double(rand) < share;
    }

    int64_t
    between(int low, int high)
    {
        return g_rand_int_range(rand, low, high);
    }

    void
    take_effect(sim_engine &engine, int64_t fencing)
    {
        if (fencing < engine.fencing && engine.checks_fencing) {
            return;
        }
        engine.fencing = std::max(engine.fencing, fencing);
        engine.version = "2";
        engine.ready_at_ms = now_ms + LOAD_MS;
    }

    void
    deliver_orders()
    {
        for (size_t i = 0; i < in_flight.size();) {
            if (in_flight[i].arrives_ms > now_ms) {
                i++;
                continue;
            }
            take_effect(engines[(size_t)in_flight[i].server],
                        in_flight[i].fencing);
            in_flight.erase(in_flight.begin() + (long)i);
        }
    }

    void
    read_states(sim_controller &controller)
    {
        for (size_t i = 0; i < engines.size(); i++) {
            if (!chance(0.1)) {
                continue; /* not read, or no response */
            }
            struct deploy_observed &observed = controller.observed[i];
            bool is_up = now_ms >= engines[i].ready_at_ms;
            observed.state = is_up ? DEPLOY_READY : DEPLOY_LOADING;
            g_strlcpy(observed.model, "m", sizeof(observed.model));
            g_strlcpy(observed.version, engines[i].version.c_str(),
                      sizeof(observed.version));
            observed.fencing =
                engines[i].checks_fencing ? engines[i].fencing : 0;
            observed.read_ms = now_ms;
        }
    }

    void
    renew_lease(int self)
    {
        sim_controller &controller = controllers[(size_t)self];
        bool is_cut_off = now_ms < controller.cut_off_until_ms;
        if (holder == self && !is_cut_off && chance(0.3)) {
            lease_until_ms = now_ms + LEASE_MS;
            controller.claim.valid_until_ms = lease_until_ms;
        }
        if (now_ms > controller.claim.valid_until_ms) {
            controller.claim.is_held = false;
        }
    }

    void
    acquire_lease(int self)
    {
        sim_controller &controller = controllers[(size_t)self];
        if (holder < 0 && now_ms >= controller.cut_off_until_ms) {
            holder = self;
            lease_until_ms = now_ms + LEASE_MS;
            controller.claim = {true, next_fencing++, now_ms, lease_until_ms};
            takeovers++;
        }
    }

    void
    run_controller(int self)
    {
        sim_controller &controller = controllers[(size_t)self];
        GArray *orders =
            g_array_new(FALSE, FALSE, sizeof(struct deploy_order));
        renew_lease(self);
        read_states(controller);
        enum deploy_plan_status status =
            deploy_plan(&desired, controller.observed.data(),
                        (int)controller.observed.size(), &controller.claim, 0,
                        now_ms, orders);
        if (status == DEPLOY_NEEDS_CLAIM) {
            acquire_lease(self);
        }
        for (guint i = 0; i < orders->len; i++) {
            send_order(controller,
                       g_array_index(orders, struct deploy_order, i).server);
        }
        g_array_free(orders, TRUE);
    }

    /* An order is either answered at once, or it is sent late and arrives
     * within DEPLOY_MAX_FLIGHT_MS or never, and the controller pauses
     * meanwhile. */
    void
    send_order(sim_controller &controller, int server)
    {
        struct deploy_observed &observed = controller.observed[(size_t)server];
        sim_engine &engine = engines[(size_t)server];
        duplicate_orders += engine.is_confirmed;
        if (chance(0.3)) {
            take_effect(engine, controller.claim.fencing);
            engine.is_confirmed = true;
            observed.order_ended_ms = now_ms;
            return;
        }
        int64_t leaves_ms = now_ms + between(0, MAX_SEND_DELAY_MS);
        if (chance(0.8)) {
            in_flight.push_back({server,
                                 leaves_ms + between(0, DEPLOY_MAX_FLIGHT_MS),
                                 controller.claim.fencing});
        }
        controller.paused_until_ms = leaves_ms;
        if (chance(0.5)) {
            controller.paused_until_ms += between(100, 30000);
        }
        observed.order_ended_ms = controller.paused_until_ms;
        observed.in_flight_until_ms =
            observed.order_ended_ms + DEPLOY_MAX_FLIGHT_MS;
    }
};

/* Late, lost and overlapping orders of two controllers must never leave fewer
 * than min_ready servers ready, change more than change_share of them at a
 * time, or repeat a confirmed order; and the change must complete. */
TEST(PlanSimulation, KeepsLimitsAndCompletes)
{
    int takeovers = 0;
    for (guint32 seed = 1; seed <= 400; seed++) {
        int n = 2 + (int)(seed % 9);
        int min_ready = 1 + (int)(seed % (guint32)(n - 1));
        Sim sim(seed, n, min_ready, 0.25 * (1 + seed % 4));
        for (int i = 0; i < 50000 && !sim.is_settled(); i++) {
            sim.step();
            ASSERT_GE(sim.ready(), min_ready) << "seed " << seed;
            ASSERT_LE(n - sim.ready(), sim.max_changing) << "seed " << seed;
        }
        EXPECT_TRUE(sim.is_settled()) << "seed " << seed;
        EXPECT_EQ(sim.duplicate_orders, 0) << "seed " << seed;
        takeovers += sim.takeovers;
    }
    EXPECT_GT(takeovers, 1000);
}

} // namespace
