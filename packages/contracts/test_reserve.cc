/* Measures on one server, with generated bursts of online requests, how much
 * of the idle slot time batch uses and how much longer online requests wait
 * because of it. */
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <string>

#include "contracts/test_support.h"

namespace {

enum {
    SLOTS = 16,
    DURATION_MS = 60000,
    MEAN_SERVICE_MS = 2000, /* of an online request */
    PREEMPT_MS = 20,        /* from preemption to release of a batch slot */
    RENEW_MS = 500, /* interval at which a batch holder renews for all slots */
    TERM_MS = 5000,
    HOLDERS = 3,
    BURST_EVERY_MS = 6000,
    BURST_MS = 500,
};

struct Results {
    int n_requests = 0;
    int n_waited = 0;
    std::vector<double> waits_ms;
    double idle_ms = 0;  /* slot time not used by online */
    double batch_ms = 0; /* slot time held by batch */
};

class Server {
  public:
    Server(double requests_per_s, double burst, bool with_batch, guint32 seed)
        : rate(requests_per_s), burst_factor(burst), has_batch(with_batch),
          controller(make_desc(SLOTS)), rand(g_rand_new_with_seed(seed))
    {
    }
    ~Server()
    {
        g_rand_free(rand);
    }
    Results run();

  private:
    void
    schedule(int64_t when_ms, std::function<void()> action)
    {
        timers.emplace(when_ms, std::move(action));
    }
    void arrive();
    void renew_batch(int holder);
    void handle_events();
    void tick();

    double rate;
    double burst_factor;
    bool has_batch;
    TestController controller;
    GRand *rand;
    std::multimap<int64_t, std::function<void()>> timers;
    std::map<uint64_t, int64_t> requested_ms;
    uint64_t batch_contracts[HOLDERS] = {};
    std::map<uint64_t, int> granted; /* by batch contract */
    int64_t now_ms = 1000;
    uint64_t last_id = 100;
    Results results;
};

void
Server::arrive()
{
    struct contracts_admission admission =
        make_admission(++last_id, CONTRACTS_ONLINE_SHORT, 5000, 1);
    bool is_burst = now_ms % BURST_EVERY_MS < BURST_MS;
    double gap_ms = -std::log(1 - g_rand_double(rand)) * 1000 /
                    (rate * (is_burst ? burst_factor : 1));

    results.n_requests++;
    requested_ms[admission.ask_id] = now_ms;
    contracts_controller_admit(controller.raw, &admission, now_ms,
                               controller.collected);
    handle_events();
    schedule(now_ms + (int64_t)gap_ms, [this] { arrive(); });
}

void
Server::renew_batch(int holder)
{
    struct contracts_admission admission =
        make_admission((uint64_t)holder, CONTRACTS_BATCH, 0, SLOTS);

    admission.term_ms = TERM_MS;
    admission.renew = batch_contracts[holder];
    g_snprintf(admission.holder, sizeof(admission.holder), "n%d", holder);
    contracts_controller_admit(controller.raw, &admission, now_ms,
                               controller.collected);
    handle_events();
    schedule(now_ms + RENEW_MS, [this, holder] { renew_batch(holder); });
}

void
Server::handle_events()
{
    for (const auto &event : controller.take_events()) {
        uint64_t contract = event.contract;
        if (event.kind == CONTRACTS_PREEMPT) {
            granted[contract] -= event.slots;
            int remaining = granted[contract];
            schedule(now_ms + PREEMPT_MS, [this, contract, remaining] {
                contracts_controller_shrink(controller.raw, contract,
                                            remaining, nullptr, now_ms,
                                            controller.collected);
                handle_events();
            });
            if (remaining == 0) {
                std::replace(batch_contracts, batch_contracts + HOLDERS,
                             contract, (uint64_t)0);
            }
            continue;
        }
        if (event.answer != CONTRACTS_GRANTED) {
            continue;
        }
        if (event.ask_id < HOLDERS) {
            batch_contracts[event.ask_id] = contract;
            granted[contract] = event.slots;
            continue;
        }
        double wait_ms = (double)(now_ms - requested_ms[event.ask_id]);
        results.waits_ms.push_back(wait_ms);
        results.n_waited += wait_ms > 0;
        schedule(now_ms + (int64_t)(-std::log(1 - g_rand_double(rand)) *
                                    MEAN_SERVICE_MS),
                 [this, contract] {
                     contracts_controller_release(controller.raw, contract,
                                                  nullptr, now_ms,
                                                  controller.collected);
                     handle_events();
                 });
    }
}

void
Server::tick()
{
    const int step_ms = 10;
    struct contracts_load load;

    contracts_controller_tick(controller.raw, now_ms, controller.collected);
    handle_events();
    load = controller.load();
    EXPECT_LE(load.online + load.batch, SLOTS);
    results.idle_ms += (double)(SLOTS - load.online) * step_ms;
    results.batch_ms += (double)load.batch * step_ms;
    schedule(now_ms + step_ms, [this] { tick(); });
}

Results
Server::run()
{
    schedule(now_ms, [this] { arrive(); });
    schedule(now_ms, [this] { tick(); });
    for (int holder = 0; has_batch && holder < HOLDERS; holder++) {
        schedule(now_ms + holder * RENEW_MS / HOLDERS,
                 [this, holder] { renew_batch(holder); });
    }
    while (timers.begin()->first < DURATION_MS) {
        auto first = timers.begin();
        std::function<void()> action = first->second;
        now_ms = first->first;
        timers.erase(first);
        action();
    }
    return results;
}

} // namespace

/* Too large a reserve wastes idle slots; too small a one makes online requests
 * wait for preemption. */
TEST(Reserve, BatchUsesIdleSlotsWithoutDelayingOnline)
{
    struct {
        const char *name;
        double rate;
        double burst;
        double least_use;   /* share of the idle slot time */
        double most_waited; /* share of the requests, because of batch */
    } cases[] = {
        {"light", 0.5, 1, 0.9, 0.03},
        {"steady", 2, 1, 0.85, 0.05},
        {"bursts", 1.5, 12, 0.75, 0.1},
    };

    for (const auto &row : cases) {
        SCOPED_TRACE(row.name);
        for (guint32 seed : {1u, 2u, 3u}) {
            Results with = Server(row.rate, row.burst, true, seed).run();
            Results without = Server(row.rate, row.burst, false, seed).run();
            std::sort(with.waits_ms.begin(), with.waits_ms.end());
            double p99 = with.waits_ms[with.waits_ms.size() * 99 / 100];
            double use = with.batch_ms / with.idle_ms;
            double waited_share =
                (double)(with.n_waited - without.n_waited) / with.n_requests;
            printf("%-7s seed=%u asked=%d batch_use=%.3f waited=%.3f "
                   "p99_wait=%.0f ms\n",
                   row.name, seed, with.n_requests, use, waited_share, p99);
            EXPECT_GE(use, row.least_use);
            EXPECT_LE(waited_share, row.most_waited);
            EXPECT_LE(p99, 100) << "batch slots are released within 100 ms";
        }
    }
}
