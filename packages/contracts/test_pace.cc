#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <vector>

#include "contracts/pool.h"
#include "contracts/test_support.h"

namespace {

enum { TICK_MS = 20, SERVICE_MS = 600 };

/* An owner of some servers, and when each of them got its requests. */
struct Owner {
    struct contracts_pool *pool;
    std::vector<struct contracts_controller *> controllers;
    GArray *events;
    std::vector<std::vector<int64_t>> &sent;
    std::deque<std::tuple<int64_t, size_t, uint64_t>> running;
    int n_busy = 0;
    int n_granted = 0;
    int64_t last_retry_ms = 0;

    Owner(std::vector<std::vector<int64_t>> &sent_, int64_t now_ms)
        : pool(contracts_pool_new(now_ms)),
          events(g_array_new(FALSE, FALSE, sizeof(struct contracts_event))),
          sent(sent_)
    {
        for (size_t i = 0; i < sent.size(); i++) {
            struct contracts_controller_desc desc = make_desc(8);
            desc.batch_fills = true;
            desc.long_share = 1.0;
            desc.now_ms = now_ms;
            desc.id_seed = (uint64_t)now_ms + i + 1;
            controllers.push_back(contracts_controller_new(&desc));
            contracts_pool_add(pool, std::to_string(i).c_str(),
                               controllers[i]);
        }
    }
    ~Owner()
    {
        contracts_pool_free(pool);
        for (auto *controller : controllers) {
            contracts_controller_free(controller);
        }
        g_array_free(events, TRUE);
    }
    void
    set_limit(double per_s, int64_t now_ms)
    {
        for (auto *controller : controllers) {
            contracts_controller_set_limit(controller, per_s, now_ms, events);
        }
        take(now_ms);
    }
    void
    take(int64_t now_ms)
    {
        for (guint i = 0; i < events->len; i++) {
            const auto *event =
                &g_array_index(events, struct contracts_event, i);
            if (event->kind != CONTRACTS_ANSWER) {
                continue;
            }
            if (event->answer != CONTRACTS_GRANTED) {
                n_busy++;
                last_retry_ms = event->retry_ms;
                continue;
            }
            size_t server = (size_t)atoi(event->server);
            n_granted++;
            sent[server].push_back(now_ms);
            running.emplace_back(now_ms + SERVICE_MS, server, event->contract);
        }
        g_array_set_size(events, 0);
    }
    void
    admit(enum contracts_class class_, int64_t wait_ms, int64_t prefer_ms,
          int64_t now_ms)
    {
        struct contracts_admission admission =
            make_admission(++n_asked, class_, wait_ms, 1);
        admission.prefer_ms = prefer_ms;
        admission.term_ms = 20000;
        contracts_pool_admit(pool, &admission, now_ms, events);
        take(now_ms);
    }
    void
    tick(int64_t now_ms)
    {
        while (!running.empty() && std::get<0>(running.front()) <= now_ms) {
            auto [at, server, contract] = running.front();
            running.pop_front();
            contracts_controller_shrink(controllers[server], contract, 0,
                                        nullptr, now_ms, events);
            contracts_pool_serve(pool, now_ms, events);
            take(now_ms);
        }
        for (auto *controller : controllers) {
            contracts_controller_tick(controller, now_ms, events);
        }
        contracts_pool_tick(pool, now_ms, events);
        take(now_ms);
    }
    uint64_t n_asked = 0;
};

/* The most requests of a server in any 4 s from `from_ms` on. */
int
most_in_4_s(const std::vector<int64_t> &sent, int64_t from_ms)
{
    int most = 0;

    for (size_t i = 0, first = 0; i < sent.size(); i++) {
        while (sent[first] < from_ms || sent[i] - sent[first] >= 4000) {
            if (++first > i) {
                break;
            }
        }
        most = std::max(most, (int)(i + 1 - std::min(first, i + 1)));
    }
    return most;
}

/* What 4 s of a limit allow. */
double
allowed(double limit)
{
    return 1.5 * 4 * limit + 5;
}

TEST(Pace, ServersGetNoMoreThanTheirLimitThroughChangesOfOwner)
{
    static const struct {
        double limit;
        int change_ms;  /* between changes of the owner; 0: none */
        int overlap_ms; /* how long the former owner goes on */
        int learned_ms; /* when the new owner hears of the limit */
        int batch_ms;   /* between batch requests; 0: none */
    } CASES[] = {
        {0, 0, 0, 0, 0},        {0.3, 0, 0, 0, 500},
        {1, 0, 0, 0, 0},        {2.5, 0, 0, 0, 100},
        {2.5, 3000, 0, 0, 0},   {2.5, 2000, 1000, 0, 50},
        {2.5, 1500, 500, 0, 0}, {8, 3000, 1000, 0, 0},
        {8, 4000, 0, 100, 0},   {2.5, 5000, 0, 100, 0},
        {12, 0, 0, 0, 0},
    };

    for (const auto &c : CASES) {
        std::vector<std::vector<int64_t>> sent(3);
        auto owner = std::make_unique<Owner>(sent, 0);
        std::unique_ptr<Owner> former;
        int64_t changed_ms = 0;
        bool is_told = true;

        owner->set_limit(c.limit, 0);
        for (int64_t now_ms = 0; now_ms < 40000; now_ms += TICK_MS) {
            if (c.change_ms != 0 && now_ms - changed_ms >= c.change_ms) {
                former = std::move(owner);
                owner = std::make_unique<Owner>(sent, now_ms);
                changed_ms = now_ms;
                is_told = false;
            }
            if (!is_told && now_ms - changed_ms >= c.learned_ms) {
                owner->set_limit(c.limit, now_ms);
                is_told = true;
            }
            for (Owner *at : {owner.get(), former.get()}) {
                if (at == nullptr || (at == former.get() &&
                                      now_ms - changed_ms >= c.overlap_ms)) {
                    continue;
                }
                at->tick(now_ms);
                at->admit(CONTRACTS_ONLINE_SHORT, 2000, 300, now_ms);
                if (c.batch_ms != 0 && now_ms % c.batch_ms == 0) {
                    at->admit(CONTRACTS_BATCH, 1000, 0, now_ms);
                }
            }
        }
        for (const auto &times : sent) {
            int most = most_in_4_s(times, 1000);
            EXPECT_LE(most, allowed(c.limit))
                << "limit " << c.limit << ", owner changes each "
                << c.change_ms << " ms for " << c.overlap_ms << " ms, told "
                << c.learned_ms << " ms later";
            if (c.change_ms == 0 && c.limit >= 1) {
                EXPECT_GE(most, 4 * c.limit - 1) << c.limit;
            }
        }
    }
}

TEST(Pace, NodesWithoutAnOwnerKeepToHalfOfTheLimitTogether)
{
    static const double LIMITS[] = {0, 0.5, 1, 2.5, 7, 30, 400};
    static const int NODES[] = {1, 2, 7, 60, 390};

    for (double limit : LIMITS) {
        for (int n_nodes : NODES) {
            int share = contracts_local_limit(limit, n_nodes);
            /* Two periods overlap any 4 s. */
            EXPECT_LE(2.0 * n_nodes * share, 4 * limit / 2 + 1e-9)
                << limit << " " << n_nodes;
        }
    }
    EXPECT_GT(contracts_local_limit(30, 7), 0);
}

TEST(Pace, ServersWithoutALimitAreGrantedFirst)
{
    std::vector<std::vector<int64_t>> sent(3);
    Owner owner(sent, 0);

    contracts_controller_set_limit(owner.controllers[0], 2, 0, owner.events);
    contracts_controller_set_limit(owner.controllers[1], 2, 0, owner.events);
    for (int64_t now_ms = 0; now_ms < 20000; now_ms += TICK_MS) {
        owner.tick(now_ms);
        if (now_ms % 100 == 0) {
            owner.admit(CONTRACTS_ONLINE_SHORT, 2000, 300, now_ms);
        }
    }
    EXPECT_EQ(owner.n_busy, 0);
    EXPECT_GT(sent[2].size(), 2 * sent[0].size());
}

TEST(Pace, RequestsBeyondTheLimitsAreRefusedAtOnceAndToldWhenToReturn)
{
    static const struct {
        double limit; /* of each of three servers */
        int64_t prefer_ms;
        bool is_refused; /* the second request of two that come at once */
        int64_t least_retry_ms, most_retry_ms;
    } CASES[] = {
        {0.5, 300, true, 600, 1400},
        {1, 300, true, 300, 700},
        {100, 300, false, 0, 0},
        {0.5, 5000, false, 0, 0},
    };

    for (const auto &c : CASES) {
        std::vector<std::vector<int64_t>> sent(3);
        Owner owner(sent, 0);
        owner.set_limit(c.limit, 0);
        owner.admit(CONTRACTS_ONLINE_SHORT, 4000, c.prefer_ms, 10);
        owner.admit(CONTRACTS_ONLINE_SHORT, 4000, c.prefer_ms, 10);
        EXPECT_EQ(owner.n_busy > 0, c.is_refused) << c.limit;
        EXPECT_GE(owner.last_retry_ms, c.least_retry_ms) << c.limit;
        EXPECT_LE(owner.last_retry_ms, c.most_retry_ms) << c.limit;
        /* Whoever waits is served or refused by its target. */
        for (int64_t now_ms = 20; now_ms <= c.prefer_ms + 40;
             now_ms += TICK_MS) {
            owner.tick(now_ms);
        }
        EXPECT_EQ(owner.n_busy + owner.n_granted, 2) << c.limit;
    }
}

TEST(Pace, ALeavingServerDoesNotCountAsOneWithALimit)
{
    static const struct {
        double limit; /* of one of two servers */
        bool is_leaving;
        bool is_refused; /* at once, in an overload */
    } CASES[] = {
        {INFINITY, false, false}, {INFINITY, true, false}, {1, false, true}};

    for (const auto &c : CASES) {
        std::vector<std::vector<int64_t>> sent(2);
        Owner owner(sent, 0);
        contracts_controller_set_limit(owner.controllers[0], c.limit, 0,
                                       owner.events);
        if (c.is_leaving) {
            contracts_controller_drain(owner.controllers[0], 0, owner.events);
        }
        /* 30 requests come in each 100 ms, until the overload is noticed. */
        for (int64_t now_ms = 0; now_ms < 2000; now_ms += TICK_MS) {
            owner.tick(now_ms);
            for (int i = 0; i < 6; i++) {
                owner.admit(CONTRACTS_ONLINE_SHORT, 60000, 300, now_ms);
            }
        }
        EXPECT_EQ(owner.last_retry_ms > 0, c.is_refused)
            << c.limit << " " << c.is_leaving;
    }
}

TEST(Pace, BatchIsNotPreemptedWhenTheLimitLeavesNoRequest)
{
    std::vector<std::vector<int64_t>> sent(1);
    Owner owner(sent, 0);
    int64_t now_ms = 0;

    for (int i = 0; i < 8; i++) {
        owner.admit(CONTRACTS_BATCH, 0, 0, now_ms);
    }
    EXPECT_EQ(owner.n_granted, 8);
    owner.set_limit(0.5, now_ms);
    for (int i = 0; i < 20; i++) {
        owner.admit(CONTRACTS_ONLINE_SHORT, 0, 300, now_ms);
    }
    EXPECT_EQ(contracts_controller_preempting(owner.controllers[0]), 0);
    EXPECT_EQ(owner.n_busy, 20);
}

TEST(Pace, BatchLeavesTheNextRequestToOnline)
{
    std::vector<std::vector<int64_t>> sent(1);
    Owner owner(sent, 0);

    owner.set_limit(1, 0);
    /* By 2.5 s there are two requests to spend: batch gets one of them. */
    for (int64_t now_ms = 0; now_ms <= 2500; now_ms += TICK_MS) {
        owner.tick(now_ms);
    }
    owner.admit(CONTRACTS_BATCH, 0, 0, 2500);
    owner.admit(CONTRACTS_BATCH, 0, 0, 2500);
    EXPECT_EQ(owner.n_granted, 1);
    owner.admit(CONTRACTS_ONLINE_SHORT, 0, 300, 2500);
    EXPECT_EQ(owner.n_granted, 2);
}

TEST(Pace, AnEndedLimitFreesAllSlots)
{
    std::vector<std::vector<int64_t>> sent(1);
    Owner owner(sent, 0);

    owner.set_limit(1, 0);
    for (int i = 0; i < 8; i++) {
        owner.admit(CONTRACTS_ONLINE_SHORT, 0, 300, 10);
    }
    EXPECT_EQ(owner.n_granted, 0);
    owner.set_limit(INFINITY, 20);
    for (int i = 0; i < 8; i++) {
        owner.admit(CONTRACTS_ONLINE_SHORT, 0, 300, 20);
    }
    EXPECT_EQ(owner.n_granted, 8);
}

} // namespace
