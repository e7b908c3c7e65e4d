/* Compares strategies against overload under the same generated load: a heavy
 * operator requests three times the capacity of one server, a light operator
 * a tenth of it. */
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

enum Strategy {
    REFUSE,        /* the controller answers busy, holders do nothing */
    TOKEN_BUCKETS, /* holders limit each operator to a fixed rate */
    REDUCE,        /* holders refuse the shares that answers contain */
    BUFFER,        /* holders delay these shares in a FIFO buffer */
    N_STRATEGIES,
};

const char *const NAMES[N_STRATEGIES] = {"refuse", "token_buckets", "reduce",
                                         "buffer"};

enum {
    SLOTS = 16,
    DURATION_MS = 20000,
    WAIT_MS = 400,             /* longest wait in the queue */
    MAX_USEFUL_WAIT_MS = 1000, /* a later grant doesn't count as served */
    MEAN_SERVICE_MS = 400,     /* mean time on a slot: 40 requests a second */
    MESSAGE_DELAY_MS = 1,
};

struct Result {
    int n_requests[2] = {0, 0}; /* heavy, light */
    int n_served[2] = {0, 0};
    int messages = 0;
    double busy_ms = 0;           /* slot time of served requests */
    std::vector<double> waits_ms; /* of served requests */
    std::vector<double>
        refusals_ms; /* time until the caller gets the refusal */
    int
    total_served() const
    {
        return n_served[0] + n_served[1];
    }
    /* The part of the slot time that served requests used.  The number
     * of requests is no measure, as it depends on the lengths of those served.
     */
    double
    goodput() const
    {
        return busy_ms / ((double)SLOTS * (DURATION_MS - 1000));
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
    Overload(Strategy chosen, guint32 seed)
        : strategy(chosen), controller(make_desc(SLOTS)),
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
        int64_t service_ms;
    };
    void schedule(int64_t when_ms, std::function<void()> action);
    void arrive(int operator_index, double rate);
    void handle_request(const Caller &caller);
    void send(const Caller &caller);
    void handle_events();
    void refuse(const Caller &caller);

    Strategy strategy;
    TestController controller;
    GRand *arrivals; /* the same for all strategies */
    GRand *choices;
    std::multimap<int64_t, std::function<void()>> timers;
    std::map<uint64_t, Caller> pending;
    std::map<int, struct contracts_reduction> reductions;
    std::map<int, int64_t> reduced_until_ms;
    std::deque<Caller> buffer;
    double tokens[2] = {1, 1};
    int64_t last_filled_ms[2] = {0, 0};
    int64_t now_ms = 1000;
    uint64_t last_id = 0;
    Result result;
};

void
Overload::schedule(int64_t when_ms, std::function<void()> action)
{
    timers.emplace(when_ms, std::move(action));
}

void
Overload::arrive(int operator_index, double rate)
{
    Caller caller = {operator_index, now_ms, 0};
    double gap_ms = -std::log(1 - g_rand_double(arrivals)) * 1000 / rate;

    caller.service_ms =
        (int64_t)(-std::log(1 - g_rand_double(arrivals)) * MEAN_SERVICE_MS) +
        1;
    result.n_requests[operator_index]++;
    handle_request(caller);
    if (now_ms + (int64_t)gap_ms < DURATION_MS) {
        schedule(now_ms + (int64_t)gap_ms, [this, operator_index, rate] {
            arrive(operator_index, rate);
        });
    }
}

void
Overload::refuse(const Caller &caller)
{
    result.refusals_ms.push_back((double)(now_ms - caller.at_ms));
}

void
Overload::handle_request(const Caller &caller)
{
    int index = caller.operator_index;
    double share = 0;

    if (strategy == TOKEN_BUCKETS) {
        /* A plausible configured rate: the server's capacity, shared by
         * weight. */
        double rate = 1000.0 * SLOTS / MEAN_SERVICE_MS / 2;
        tokens[index] =
            MIN(tokens[index] +
                    rate * (double)(now_ms - last_filled_ms[index]) / 1000,
                5);
        last_filled_ms[index] = now_ms;
        if (tokens[index] < 1) {
            refuse(caller);
            return;
        }
        tokens[index] -= 1;
    }
    if ((strategy == REDUCE || strategy == BUFFER) &&
        now_ms < reduced_until_ms[index]) {
        share = reductions[index].share[CONTRACTS_ONLINE_SHORT];
    }
    if (g_rand_double(choices) < share) {
        if (strategy == BUFFER) {
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
    struct contracts_admission admission =
        make_admission(++last_id, CONTRACTS_ONLINE_SHORT, WAIT_MS, 1);

    g_strlcpy(admission.operator_name,
              caller.operator_index == 0 ? "heavy" : "light",
              sizeof(admission.operator_name));
    pending[admission.ask_id] = caller;
    result.messages += 2;
    schedule(now_ms + MESSAGE_DELAY_MS, [this, admission] {
        contracts_controller_admit(controller.raw, &admission, now_ms,
                                   controller.collected);
        handle_events();
    });
}

void
Overload::handle_events()
{
    for (const auto &event : controller.take_events()) {
        Caller caller = pending[event.ask_id];
        int index = caller.operator_index;
        pending.erase(event.ask_id);
        reductions[index] = event.reduction;
        reduced_until_ms[index] = now_ms + event.reduction.valid_ms;
        if (event.answer != CONTRACTS_GRANTED) {
            refuse(caller);
            continue;
        }
        if (now_ms - caller.at_ms <= MAX_USEFUL_WAIT_MS) {
            result.n_served[index]++;
            result.busy_ms += (double)caller.service_ms;
            result.waits_ms.push_back((double)(now_ms - caller.at_ms));
        }
        uint64_t contract = event.contract;
        schedule(now_ms + caller.service_ms, [this, contract] {
            contracts_controller_release(controller.raw, contract, nullptr,
                                         now_ms, controller.collected);
            handle_events();
        });
    }
    /* Buffered requests are sent when their reduction has ended. */
    while (!buffer.empty() &&
           now_ms >= reduced_until_ms[buffer.front().operator_index]) {
        Caller caller = buffer.front();
        buffer.pop_front();
        send(caller);
    }
}

Result
Overload::run()
{
    schedule(now_ms, [this] { arrive(0, 3000.0 * SLOTS / MEAN_SERVICE_MS); });
    schedule(now_ms, [this] { arrive(1, 100.0 * SLOTS / MEAN_SERVICE_MS); });
    for (int64_t tick = now_ms; tick < DURATION_MS + 5000; tick += 10) {
        schedule(tick, [this] {
            contracts_controller_tick(controller.raw, now_ms,
                                      controller.collected);
            handle_events();
        });
    }
    while (!timers.empty()) {
        auto first = timers.begin();
        std::function<void()> action = first->second;
        now_ms = first->first;
        timers.erase(first);
        action();
    }
    return result;
}

} // namespace

/* Reductions must keep goodput and the light operator's service, with fewer
 * messages than plain refusals and quicker refusals than a buffer. */
TEST(Overload, StrategiesUnderOneGeneratedLoad)
{
    for (guint32 seed : {1u, 2u, 3u}) {
        Result results[N_STRATEGIES];
        for (int strategy = 0; strategy < N_STRATEGIES; strategy++) {
            Overload overload((Strategy)strategy, seed);
            Result &r = results[strategy];
            r = overload.run();
            printf("%-13s seed=%u goodput=%.3f light=%.2f wait_p99=%.0f "
                   "refusal_mean=%.0f refusal_p99=%.0f ms messages=%.2f "
                   "each\n",
                   NAMES[strategy], seed, r.goodput(),
                   (double)r.n_served[1] / r.n_requests[1], r.p99(r.waits_ms),
                   r.mean(r.refusals_ms), r.p99(r.refusals_ms),
                   (double)r.messages / r.total_served());
        }
        const Result &reduced = results[REDUCE];
        const Result &refused = results[REFUSE];
        EXPECT_GE(reduced.goodput(), 0.95);
        EXPECT_GE(reduced.goodput(), 0.98 * refused.goodput());
        EXPECT_GE(reduced.goodput(), results[TOKEN_BUCKETS].goodput());
        EXPECT_GE(reduced.n_served[1], 0.95 * reduced.n_requests[1]);
        EXPECT_LT(reduced.messages, 0.6 * refused.messages);
        EXPECT_LT(reduced.mean(reduced.refusals_ms),
                  results[BUFFER].mean(results[BUFFER].refusals_ms));
    }
}
