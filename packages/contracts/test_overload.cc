/* Ways to meet an overload, measured on one generated load: a heavy operator
 * asks three times what one server can do, a light one a tenth of it. */
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <string>

#include "contracts/test_support.h"

namespace {

enum Way {
    REFUSE,        /* the keeper answers busy, holders try nothing else */
    TOKEN_BUCKETS, /* holders keep to a fixed rate for each operator */
    REDUCE,        /* holders refuse the shares that answers tell */
    BUFFER,        /* and hold those back instead, first in first out */
    N_WAYS,
};

const char *const NAMES[N_WAYS] = {"refuse", "token_buckets", "reduce",
                                   "buffer"};

enum {
    SLOTS = 16,
    LENGTH_MS = 20000,
    WAIT_MS = 400,      /* an ask may be queued for so long */
    PATIENCE_MS = 1000, /* a request is worth nothing after so long */
    HOLD_MS = 400,      /* mean time on a slot: 40 requests a second */
    WIRE_MS = 1,
};

struct Result {
    int asked[2] = {0, 0}; /* heavy, light */
    int served[2] = {0, 0};
    int messages = 0;
    double busy_ms = 0;              /* slot time spent on those served */
    std::vector<double> waits_ms;    /* of those served */
    std::vector<double> refusals_ms; /* until the caller knew */
    int
    all() const
    {
        return served[0] + served[1];
    }
    /* Of the slot time; counts would tell more of which requests were
     * served, as their lengths differ. */
    double
    goodput() const
    {
        return busy_ms / ((double)SLOTS * (LENGTH_MS - 1000));
    }
    static double
    p99(std::vector<double> values)
    {
        std::sort(values.begin(), values.end());
        return values.empty() ? 0 : values[(values.size() - 1) * 99 / 100];
    }
    static double
    mean(const std::vector<double> &values)
    {
        double sum = 0;
        for (double value : values) {
            sum += value;
        }
        return values.empty() ? 0 : sum / (double)values.size();
    }
};

class Overload {
  public:
    Overload(Way chosen, guint32 seed)
        : way(chosen), table(make_desc(SLOTS)),
          arrivals(g_rand_new_with_seed(seed)),
          choices(g_rand_new_with_seed(seed + 1))
    {
    }
    ~Overload()
    {
        g_rand_free(arrivals);
        g_rand_free(choices);
    }
    Result run();

  private:
    struct Caller {
        int operator_index;
        int64_t at_ms;
        int64_t hold_ms;
    };
    void at(int64_t when_ms, std::function<void()> work);
    void arrive(int operator_index, double rate);
    void decide(const Caller &caller);
    void send(const Caller &caller);
    void take();
    void refuse(const Caller &caller);

    Way way;
    Table table;
    GRand *arrivals; /* equal for all ways */
    GRand *choices;
    std::multimap<int64_t, std::function<void()>> events;
    std::map<uint64_t, Caller> asking;
    std::map<int, struct contracts_reduction> told;
    std::map<int, int64_t> told_until_ms;
    std::deque<Caller> buffer;
    double tokens[2] = {1, 1};
    int64_t filled_ms[2] = {0, 0};
    int64_t now_ms = 1000;
    uint64_t last_id = 0;
    Result result;
};

void
Overload::at(int64_t when_ms, std::function<void()> work)
{
    events.emplace(when_ms, std::move(work));
}

void
Overload::arrive(int operator_index, double rate)
{
    Caller caller = {operator_index, now_ms, 0};
    double gap_ms = -std::log(1 - g_rand_double(arrivals)) * 1000 / rate;

    caller.hold_ms =
        (int64_t)(-std::log(1 - g_rand_double(arrivals)) * HOLD_MS) + 1;
    result.asked[operator_index]++;
    decide(caller);
    if (now_ms + (int64_t)gap_ms < LENGTH_MS) {
        at(now_ms + (int64_t)gap_ms,
           [this, operator_index, rate] { arrive(operator_index, rate); });
    }
}

void
Overload::refuse(const Caller &caller)
{
    result.refusals_ms.push_back((double)(now_ms - caller.at_ms));
}

void
Overload::decide(const Caller &caller)
{
    int who = caller.operator_index;
    double share = 0;

    if (way == TOKEN_BUCKETS) {
        /* The rates that an operator of the system would set: the server's
         * capacity after weights. */
        double rate = 1000.0 * SLOTS / HOLD_MS / 2;
        tokens[who] = MIN(
            tokens[who] + rate * (double)(now_ms - filled_ms[who]) / 1000, 5);
        filled_ms[who] = now_ms;
        if (tokens[who] < 1) {
            refuse(caller);
            return;
        }
        tokens[who] -= 1;
    }
    if ((way == REDUCE || way == BUFFER) && now_ms < told_until_ms[who]) {
        share = told[who].share[CONTRACTS_ONLINE_SHORT];
    }
    if (g_rand_double(choices) < share) {
        if (way == BUFFER) {
            buffer.push_back(caller);
        }
        else {
            refuse(caller);
        }
        return;
    }
    send(caller);
}

void
Overload::send(const Caller &caller)
{
    struct contracts_admission ask =
        make_admission(++last_id, CONTRACTS_ONLINE_SHORT, WAIT_MS, 1);

    g_strlcpy(ask.operator_name,
              caller.operator_index == 0 ? "heavy" : "light",
              sizeof(ask.operator_name));
    asking[ask.ask_id] = caller;
    result.messages += 2;
    at(now_ms + WIRE_MS, [this, ask] {
        contracts_controller_admit(table.keeper, &ask, now_ms, table.events);
        take();
    });
}

void
Overload::take()
{
    for (const auto &event : table.take()) {
        Caller caller = asking[event.ask_id];
        int who = caller.operator_index;
        asking.erase(event.ask_id);
        told[who] = event.reduction;
        told_until_ms[who] = now_ms + event.reduction.valid_ms;
        if (event.answer != CONTRACTS_GRANTED) {
            refuse(caller);
            continue;
        }
        if (now_ms - caller.at_ms <= PATIENCE_MS) {
            result.served[who]++;
            result.busy_ms += (double)caller.hold_ms;
            result.waits_ms.push_back((double)(now_ms - caller.at_ms));
        }
        uint64_t contract = event.contract;
        at(now_ms + caller.hold_ms, [this, contract] {
            contracts_controller_release(table.keeper, contract, nullptr,
                                         now_ms, table.events);
            take();
        });
    }
    /* What was held back goes out once its reduction is over. */
    while (!buffer.empty() &&
           now_ms >= told_until_ms[buffer.front().operator_index]) {
        Caller caller = buffer.front();
        buffer.pop_front();
        send(caller);
    }
}

Result
Overload::run()
{
    at(now_ms, [this] { arrive(0, 3000.0 * SLOTS / HOLD_MS); });
    at(now_ms, [this] { arrive(1, 100.0 * SLOTS / HOLD_MS); });
    for (int64_t tick = now_ms; tick < LENGTH_MS + 5000; tick += 10) {
        at(tick, [this] {
            contracts_controller_tick(table.keeper, now_ms, table.events);
            take();
        });
    }
    while (!events.empty()) {
        auto first = events.begin();
        std::function<void()> work = first->second;
        now_ms = first->first;
        events.erase(first);
        work();
    }
    return result;
}

} // namespace

TEST(Overload, WaysByOneGeneratedLoad)
{
    for (guint32 seed : {1u, 2u, 3u}) {
        Result results[N_WAYS];
        for (int way = 0; way < N_WAYS; way++) {
            Overload overload((Way)way, seed);
            Result &r = results[way];
            r = overload.run();
            printf("%-13s seed=%u goodput=%.3f light=%.2f wait_p99=%.0f "
                   "refusal_mean=%.0f refusal_p99=%.0f ms messages=%.2f "
                   "each\n",
                   NAMES[way], seed, r.goodput(),
                   (double)r.served[1] / r.asked[1], r.p99(r.waits_ms),
                   r.mean(r.refusals_ms), r.p99(r.refusals_ms),
                   (double)r.messages / r.all());
        }
        const Result &kept = results[REDUCE];
        const Result &plain = results[REFUSE];
        EXPECT_GE(kept.goodput(), 0.95);
        EXPECT_GE(kept.goodput(), 0.98 * plain.goodput());
        EXPECT_GE(kept.goodput(), results[TOKEN_BUCKETS].goodput());
        EXPECT_GE(kept.served[1], 0.95 * kept.asked[1]);
        EXPECT_LT(kept.messages, 0.6 * plain.messages);
        EXPECT_LT(kept.mean(kept.refusals_ms),
                  results[BUFFER].mean(results[BUFFER].refusals_ms));
    }
}
