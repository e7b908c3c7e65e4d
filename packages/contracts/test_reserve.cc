/* What batch uses of the slots that online leaves, and what online notices
 * of it, on one server with generated bursts. */
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
    LENGTH_MS = 60000,
    HOLD_MS = 2000,  /* mean of an online request */
    PREEMPT_MS = 20, /* until a batch stream is stopped and given back */
    GROW_MS = 500,   /* a batch holder asks for more this often */
    TERM_MS = 5000,
    HOLDERS = 3,
    BURST_EVERY_MS = 6000,
    BURST_MS = 500,
};

struct Figures {
    int asked = 0;
    int waited = 0;
    std::vector<double> waits_ms;
    double idle_ms = 0;  /* slot time that online left */
    double batch_ms = 0; /* of it, held by batch */
};

class Server {
  public:
    Server(double asks_per_s, double burst, bool with_batch, guint32 seed)
        : rate(asks_per_s), burst_factor(burst), has_batch(with_batch),
          table(make_desc(SLOTS)), rand(g_rand_new_with_seed(seed))
    {
    }
    ~Server()
    {
        g_rand_free(rand);
    }
    Figures run();

  private:
    void
    at(int64_t when_ms, std::function<void()> work)
    {
        events.emplace(when_ms, std::move(work));
    }
    void arrive();
    void grow(int holder);
    void take();
    void tick();

    double rate;
    double burst_factor;
    bool has_batch;
    Table table;
    GRand *rand;
    std::multimap<int64_t, std::function<void()>> events;
    std::map<uint64_t, int64_t> asked_ms;
    uint64_t lanes[HOLDERS] = {};
    std::map<uint64_t, int> granted; /* by batch contract */
    int64_t now_ms = 1000;
    uint64_t last_id = 100;
    Figures figures;
};

void
Server::arrive()
{
    struct contracts_admission ask =
        make_admission(++last_id, CONTRACTS_ONLINE_SHORT, 5000, 1);
    bool is_burst = now_ms % BURST_EVERY_MS < BURST_MS;
    double gap_ms = -std::log(1 - g_rand_double(rand)) * 1000 /
                    (rate * (is_burst ? burst_factor : 1));

    figures.asked++;
    asked_ms[ask.ask_id] = now_ms;
    contracts_controller_admit(table.keeper, &ask, now_ms, table.events);
    take();
    at(now_ms + (int64_t)gap_ms, [this] { arrive(); });
}

void
Server::grow(int holder)
{
    struct contracts_admission ask =
        make_admission((uint64_t)holder, CONTRACTS_BATCH, 0, SLOTS);

    ask.term_ms = TERM_MS;
    ask.renew = lanes[holder];
    g_snprintf(ask.holder, sizeof(ask.holder), "n%d", holder);
    contracts_controller_admit(table.keeper, &ask, now_ms, table.events);
    take();
    at(now_ms + GROW_MS, [this, holder] { grow(holder); });
}

void
Server::take()
{
    for (const auto &event : table.take()) {
        uint64_t contract = event.contract;
        if (event.kind == CONTRACTS_PREEMPT) {
            granted[contract] -= event.slots;
            int left = granted[contract];
            at(now_ms + PREEMPT_MS, [this, contract, left] {
                contracts_controller_shrink(table.keeper, contract, left,
                                            nullptr, now_ms, table.events);
                take();
            });
            if (left == 0) {
                std::replace(lanes, lanes + HOLDERS, contract, (uint64_t)0);
            }
            continue;
        }
        if (event.answer != CONTRACTS_GRANTED) {
            continue;
        }
        if (event.ask_id < HOLDERS) {
            lanes[event.ask_id] = contract;
            granted[contract] = event.slots;
            continue;
        }
        double wait_ms = (double)(now_ms - asked_ms[event.ask_id]);
        figures.waits_ms.push_back(wait_ms);
        figures.waited += wait_ms > 0;
        at(now_ms + (int64_t)(-std::log(1 - g_rand_double(rand)) * HOLD_MS),
           [this, contract] {
               contracts_controller_release(table.keeper, contract, nullptr,
                                            now_ms, table.events);
               take();
           });
    }
}

void
Server::tick()
{
    const int step_ms = 10;
    struct contracts_load load;

    contracts_controller_tick(table.keeper, now_ms, table.events);
    take();
    load = table.load();
    EXPECT_LE(load.online + load.batch, SLOTS);
    figures.idle_ms += (double)(SLOTS - load.online) * step_ms;
    figures.batch_ms += (double)load.batch * step_ms;
    at(now_ms + step_ms, [this] { tick(); });
}

Figures
Server::run()
{
    at(now_ms, [this] { arrive(); });
    at(now_ms, [this] { tick(); });
    for (int holder = 0; has_batch && holder < HOLDERS; holder++) {
        at(now_ms + holder * GROW_MS / HOLDERS,
           [this, holder] { grow(holder); });
    }
    while (events.begin()->first < LENGTH_MS) {
        auto first = events.begin();
        std::function<void()> work = first->second;
        now_ms = first->first;
        events.erase(first);
        work();
    }
    return figures;
}

} // namespace

TEST(Reserve, BatchUsesWhatOnlineLeavesAndOnlineHardlyNotices)
{
    struct {
        const char *name;
        double rate;
        double burst;
        double least_use;   /* of the idle slot time */
        double most_waited; /* of the asks, for want of a free slot */
    } cases[] = {
        {"light", 0.5, 1, 0.9, 0.03},
        {"steady", 2, 1, 0.85, 0.05},
        {"bursts", 1.5, 12, 0.75, 0.1},
    };

    for (const auto &row : cases) {
        SCOPED_TRACE(row.name);
        for (guint32 seed : {1u, 2u, 3u}) {
            Figures with = Server(row.rate, row.burst, true, seed).run();
            Figures without = Server(row.rate, row.burst, false, seed).run();
            std::sort(with.waits_ms.begin(), with.waits_ms.end());
            double p99 = with.waits_ms[with.waits_ms.size() * 99 / 100];
            double use = with.batch_ms / with.idle_ms;
            double waited =
                (double)(with.waited - without.waited) / with.asked;
            printf("%-7s seed=%u asked=%d batch_use=%.3f waited=%.3f "
                   "p99_wait=%.0f ms\n",
                   row.name, seed, with.asked, use, waited, p99);
            EXPECT_GE(use, row.least_use);
            EXPECT_LE(waited, row.most_waited);
            EXPECT_LE(p99, 100) << "batch is back within 100 ms";
        }
    }
}
