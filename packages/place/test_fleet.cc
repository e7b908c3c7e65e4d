#include "place/test_fleet.h"

#include <algorithm>
#include <cmath>

double
FleetResult::quantile(double q) const
{
    std::vector<double> sorted = first_ms;
    std::sort(sorted.begin(), sorted.end());
    return sorted.empty() ? 0
                          : sorted[(size_t)(q * (double)(sorted.size() - 1))];
}

struct world *
fleet_world(int servers, int slots, int deployments)
{
    std::string text = "{\"format\":1,\"environment\":\"production\","
                       "\"regions\":[{\"name\":\"r\",\"zones\":[\"a\","
                       "\"b\"]}],\"links\":[],\"operators\":[],"
                       "\"deployments\":[";
    for (int i = 0; i < deployments; i++) {
        text += std::string(i ? "," : "") + "{\"name\":\"d" +
                std::to_string(i) + "\",\"kind\":\"engine\",\"model\":\"m" +
                std::to_string(i) + "\",\"version\":\"1\"}";
    }
    text += "],\"servers\":[";
    for (int i = 0; i < servers; i++) {
        text += std::string(i ? "," : "") + "{\"name\":\"s" +
                std::to_string(i) +
                "\",\"address\":\"127.0.0.1:" + std::to_string(9000 + i) +
                "\",\"zone\":\"" + (i % 2 ? "a" : "b") +
                "\",\"deployment\":\"d" + std::to_string(i % deployments) +
                "\",\"slots\":" + std::to_string(slots) + "}";
    }
    text += "]}";
    struct world_problems problems;
    world_problems_init(&problems);
    struct world *world = world_parse(text.c_str(), text.size(), &problems);
    for (guint i = 0; world == nullptr && i < problems.all->len; i++) {
        auto *each = (struct world_problem *)problems.all->pdata[i];
        g_printerr("%s: %s\n", each->path, each->text);
    }
    world_problems_finish(&problems);
    return world;
}

namespace {

enum { MAX_ADMISSIONS = 3 };

/* Draws from an approximately normal distribution, by the sum of twelve
 * uniform draws. */
double
draw_normal(GRand *rand)
{
    double sum = -6;

    for (int i = 0; i < 12; i++) {
        sum += g_rand_double(rand);
    }
    return sum;
}

struct Request;

/* One attempt of a request at a server. */
struct Attempt {
    std::shared_ptr<Request> request;
    int server = WORLD_NONE;
    uint64_t contract = 0;
    double sent_ms = 0;
    double first_token_at_ms = -1;
    bool is_ended = false;
    bool is_running = false;
    bool is_late_reported = false;
    int n_admissions = 0;
    int least_loaded_busy = WORLD_NONE; /* server that answered busy */
    double least_load = 0;
    struct place_request choice = {};
};

struct Request {
    int node = 0;
    int prefix = 0;
    int tokens = 0;
    bool is_long = false;
    double at_ms = 0;
    bool has_first = false;
    int n_open = 0;
    std::vector<std::shared_ptr<Attempt>> attempts;
    struct place_request choice = {};
};

struct Server {
    std::deque<std::shared_ptr<Attempt>> queue;
    int running = 0;
    double slow_until_ms = 0;
    std::list<int> cache;
};

class Fleet {
  public:
    explicit Fleet(const FleetSettings &given);
    ~Fleet();
    FleetResult run();

  private:
    using Work = std::function<void()>;
    struct Event {
        double at_ms;
        uint64_t order;
        Work work;
        bool
        operator<(const Event &other) const
        {
            return at_ms != other.at_ms ? at_ms > other.at_ms
                                        : order > other.order;
        }
    };

    void schedule(double when_ms, Work work);
    void arrive();
    void slow_servers();
    void start(std::shared_ptr<Attempt> attempt);
    void admit(std::shared_ptr<Attempt> attempt, int64_t wait_ms);
    void handle_controller_events();
    void send(std::shared_ptr<Attempt> attempt);
    void hedge(std::shared_ptr<Attempt> attempt);
    void start_queued(int server);
    void sample_idle_slots();
    void token(std::shared_ptr<Attempt> attempt, int left);
    void end(std::shared_ptr<Attempt> attempt, bool is_failed);
    double slowdown(int server) const;
    bool is_cached(int server, int prefix);
    int64_t
    now() const
    {
        return (int64_t)now_ms;
    }

    FleetSettings settings;
    FleetResult result;
    GRand *rand; /* random numbers for the arrivals; same for all policies */
    /* Random numbers for the slowdowns; same for all policies. */
    GRand *faults;
    GRand *variations; /* random numbers for the first-token times */
    struct world *world;
    std::vector<struct place *> policies;
    std::vector<struct contracts_controller *> controllers;
    std::vector<Server> servers;
    std::map<uint64_t, std::shared_ptr<Attempt>> admissions;
    std::priority_queue<Event> events;
    std::vector<std::shared_ptr<Request>> requests;
    GArray *controller_events;
    double now_ms = 1000;
    /* Idle samples, taken only while a request waited. */
    int n_idle_samples = 0;
    double idle_sum = 0;
    uint64_t last_order = 0;
    uint64_t last_admission = 0;
};

Fleet::Fleet(const FleetSettings &given) : settings(given)
{
    rand = g_rand_new_with_seed(settings.seed);
    faults = g_rand_new_with_seed(settings.seed + 1);
    variations = g_rand_new_with_seed(settings.seed + 2);
    world = fleet_world(settings.servers, settings.slots);
    controller_events =
        g_array_new(FALSE, FALSE, sizeof(struct contracts_event));
    for (int i = 0; i < settings.nodes; i++) {
        struct place_desc desc = {settings.is_naive, settings.seed, nullptr};
        policies.push_back(place_new(&desc));
        policies[(size_t)i]->ops->update(policies[(size_t)i], world, now());
    }
    for (int i = 0; i < settings.servers; i++) {
        struct contracts_controller_desc desc = {};
        desc.slots = settings.slots;
        desc.first_token_target_ms = 380;
        desc.inter_token_target_ms = 73;
        desc.long_share = 0.5;
        desc.batch_share = 1;
        desc.id_seed = (uint64_t)i + 1;
        desc.now_ms = now();
        controllers.push_back(contracts_controller_new(&desc));
    }
    servers.resize((size_t)settings.servers);
    result.by_server.resize((size_t)settings.servers);
}

Fleet::~Fleet()
{
    for (auto &request : requests) {
        request->attempts.clear(); /* breaks the reference cycle */
    }
    for (struct place *place : policies) {
        place_free(place);
    }
    for (struct contracts_controller *controller : controllers) {
        contracts_controller_free(controller);
    }
    g_array_free(controller_events, TRUE);
    world_unref(world);
    g_rand_free(rand);
    g_rand_free(faults);
    g_rand_free(variations);
}

void
Fleet::schedule(double when_ms, Work work)
{
    events.push({when_ms, ++last_order, std::move(work)});
}

double
Fleet::slowdown(int server) const
{
    return now_ms < servers[(size_t)server].slow_until_ms
               ? settings.slow_factor
               : 1;
}

bool
Fleet::is_cached(int server, int prefix)
{
    std::list<int> &cache = servers[(size_t)server].cache;
    auto found = std::find(cache.begin(), cache.end(), prefix);
    bool is_hit = found != cache.end();

    if (settings.prefixes == 0) {
        return false;
    }
    if (is_hit) {
        cache.erase(found);
    }
    cache.push_front(prefix);
    if ((int)cache.size() > settings.cache) {
        cache.pop_back();
    }
    result.n_starts++;
    result.cache_hits += is_hit;
    return is_hit;
}

void
Fleet::arrive()
{
    auto request = std::make_shared<Request>();
    requests.push_back(request);

    request->node = g_rand_int_range(rand, 0, settings.nodes);
    request->is_long = g_rand_double(rand) < settings.long_share;
    request->tokens =
        request->is_long ? settings.tokens * 20 : settings.tokens;
    request->prefix = settings.prefixes > 0
                          ? g_rand_int_range(rand, 0, settings.prefixes)
                          : 0;
    request->at_ms = now_ms;
    request->choice.class_ =
        request->is_long ? CONTRACTS_ONLINE_LONG : CONTRACTS_ONLINE_SHORT;
    request->choice.is_idempotent = true;
    request->choice.deadline_ms = now() + 60000;
    request->choice.request_key =
        ((uint64_t)g_rand_int(rand) << 32) | g_rand_int(rand);
    if (settings.prefixes > 0) {
        uint64_t prefix = (uint64_t)request->prefix + 1;
        request->choice.prefix_key = base_hash(&prefix, sizeof(prefix), 0);
    }
    result.n_requests++;
    place_count_request(policies[(size_t)request->node], WORLD_NONE, now());
    auto attempt = std::make_shared<Attempt>();
    attempt->request = request;
    attempt->choice = request->choice;
    start(attempt);
    double gap_ms = -std::log(1 - g_rand_double(rand)) * 1000 / settings.rate;
    if (now_ms + gap_ms < 1000 + settings.seconds * 1000) {
        schedule(now_ms + gap_ms, [this] { arrive(); });
    }
}

void
Fleet::slow_servers()
{
    std::vector<int> order;
    for (int i = 0; i < settings.servers; i++) {
        order.push_back(i);
    }
    for (int i = 0; i < settings.slowed; i++) {
        std::swap(
            order[(size_t)i],
            order[(size_t)g_rand_int_range(faults, i, settings.servers)]);
        double length_s = g_rand_double_range(faults, settings.slow_s / 3,
                                              settings.slow_s * 5 / 3);
        servers[(size_t)order[(size_t)i]].slow_until_ms =
            now_ms + length_s * 1000;
    }
    schedule(now_ms + settings.slow_every_s * 1000,
             [this] { slow_servers(); });
}

void
Fleet::start(std::shared_ptr<Attempt> attempt)
{
    struct place *place = policies[(size_t)attempt->request->node];
    int server = place->ops->choose(place, &attempt->choice, now());

    attempt->request->n_open++;
    attempt->request->attempts.push_back(attempt);
    if (server == WORLD_NONE) {
        attempt->is_ended = true;
        return;
    }
    attempt->server = server;
    if (settings.is_naive) {
        send(attempt);
        return;
    }
    admit(attempt, 0);
}

void
Fleet::admit(std::shared_ptr<Attempt> attempt, int64_t wait_ms)
{
    struct contracts_admission admission = {};

    attempt->n_admissions++;
    admission.ask_id = ++last_admission;
    g_snprintf(admission.holder, sizeof(admission.holder), "n%d",
               attempt->request->node);
    g_strlcpy(admission.operator_name, "o", sizeof(admission.operator_name));
    admission.weight = 1;
    admission.class_ = attempt->choice.class_;
    admission.wait_ms = wait_ms;
    admission.slots = 1;
    admissions[admission.ask_id] = attempt;
    contracts_controller_admit(controllers[(size_t)attempt->server],
                               &admission, now(), controller_events);
    handle_controller_events();
}

void
Fleet::handle_controller_events()
{
    while (controller_events->len > 0) {
        struct contracts_event event =
            g_array_index(controller_events, struct contracts_event, 0);
        g_array_remove_index(controller_events, 0);
        auto attempt = admissions[event.ask_id];
        struct place *place = policies[(size_t)attempt->request->node];
        admissions.erase(event.ask_id);
        place->ops->load(place, attempt->server, &event.load, now());
        if (event.answer == CONTRACTS_GRANTED) {
            attempt->contract = event.contract;
            if (attempt->is_ended) {
                end(attempt, false);
                continue;
            }
            send(attempt);
            continue;
        }
        double load = (event.load.online + event.load.queued + 1.0) /
                      MAX(event.load.window, 1);
        if (attempt->least_loaded_busy == WORLD_NONE ||
            load < attempt->least_load) {
            attempt->least_loaded_busy = attempt->server;
            attempt->least_load = load;
        }
        attempt->choice.tried[attempt->choice.n_tried++] = attempt->server;
        int next = attempt->n_admissions < MAX_ADMISSIONS - 1
                       ? place->ops->choose(place, &attempt->choice, now())
                       : WORLD_NONE;
        if (next != WORLD_NONE) {
            attempt->server = next;
            admit(attempt, 0);
        }
        else if (attempt->n_admissions < MAX_ADMISSIONS) {
            attempt->server = attempt->least_loaded_busy;
            admit(attempt, 30000);
        }
        else {
            attempt->is_ended = true;
        }
    }
}

void
Fleet::send(std::shared_ptr<Attempt> attempt)
{
    struct place *place = policies[(size_t)attempt->request->node];
    int server = attempt->server;

    attempt->sent_ms = now_ms;
    result.by_server[(size_t)server]++;
    if (server < settings.failing) {
        schedule(now_ms + 1, [this, attempt] { end(attempt, true); });
        return;
    }
    servers[(size_t)server].queue.push_back(attempt);
    int64_t after_ms = place_hedge_after_ms(place, &attempt->choice);
    if (after_ms >= 0 && attempt->request->attempts.size() == 1) {
        schedule(now_ms + (double)after_ms,
                 [this, attempt] { hedge(attempt); });
    }
    start_queued(server);
}

void
Fleet::hedge(std::shared_ptr<Attempt> attempt)
{
    auto request = attempt->request;
    struct place *place = policies[(size_t)request->node];

    if (attempt->is_ended || request->has_first ||
        request->attempts.size() > 1) {
        return;
    }
    int64_t waited_us = (int64_t)((now_ms - attempt->sent_ms) * 1000);
    place_report_wait(place, attempt->server, waited_us, now());
    if (attempt->contract != 0) {
        struct contracts_outcome late = {};
        attempt->is_late_reported = true;
        late.first_token_us = waited_us;
        contracts_controller_shrink(controllers[(size_t)attempt->server],
                                    attempt->contract, 1, &late, now(),
                                    controller_events);
        handle_controller_events();
    }
    if (!place_take_hedge(place, now())) {
        return;
    }
    result.hedges++;
    auto second = std::make_shared<Attempt>();
    second->request = request;
    second->choice = request->choice;
    second->choice.tried[second->choice.n_tried++] = attempt->server;
    start(second);
}

void
Fleet::start_queued(int server)
{
    Server &target = servers[(size_t)server];

    while (target.running < settings.slots && !target.queue.empty()) {
        auto attempt = target.queue.front();
        target.queue.pop_front();
        if (attempt->is_ended) {
            continue;
        }
        target.running++;
        attempt->is_running = true;
        double first_ms =
            settings.first_ms * slowdown(server) *
            (is_cached(server, attempt->request->prefix) ? 2.0 / 3 : 1) *
            (0.95 + 0.1 * g_rand_double(variations)) *
            std::exp(settings.variation * draw_normal(variations));
        schedule(now_ms + first_ms, [this, attempt] {
            token(attempt, attempt->request->tokens);
        });
    }
}

void
Fleet::token(std::shared_ptr<Attempt> attempt, int left)
{
    auto request = attempt->request;
    const int step = 10;

    if (attempt->is_ended) {
        return;
    }
    if (attempt->first_token_at_ms < 0) {
        attempt->first_token_at_ms = now_ms;
        int64_t first_us = (int64_t)((now_ms - attempt->sent_ms) * 1000);
        place_report_first_token(policies[(size_t)request->node],
                                 attempt->server, first_us, now());
        if (attempt->is_late_reported) {
            struct contracts_outcome late_token = {};
            late_token.first_token_us = first_us;
            late_token.tokens = 1;
            contracts_controller_shrink(controllers[(size_t)attempt->server],
                                        attempt->contract, 1, &late_token,
                                        now(), controller_events);
            handle_controller_events();
        }
        if (!request->has_first && !request->is_long) {
            result.first_ms.push_back(now_ms - request->at_ms);
        }
        request->has_first = true;
        for (auto &other : request->attempts) {
            if (other != attempt && !other->is_ended) {
                end(other, false);
            }
        }
    }
    if (left <= step) {
        result.n_completed++;
        end(attempt, false);
        return;
    }
    double fill =
        servers[(size_t)attempt->server].running / (double)settings.slots;
    schedule(now_ms + step * settings.inter_ms * (1 + 0.2 * fill) *
                          slowdown(attempt->server),
             [this, attempt, left] { token(attempt, left - step); });
}

void
Fleet::end(std::shared_ptr<Attempt> attempt, bool is_failed)
{
    struct place *place = policies[(size_t)attempt->request->node];
    struct contracts_outcome outcome = {};

    attempt->is_ended = true;
    if (attempt->sent_ms > 0) {
        outcome.failed = is_failed;
        if (attempt->first_token_at_ms >= 0) {
            double took_ms = now_ms - attempt->first_token_at_ms;
            outcome.first_token_us =
                (int64_t)((attempt->first_token_at_ms - attempt->sent_ms) *
                          1000);
            outcome.inter_token_us =
                (int64_t)(took_ms * 1000 / attempt->request->tokens);
        }
        struct contracts_outcome final_outcome = outcome;
        final_outcome.first_token_us = 0; /* reported when it arrived */
        place->ops->outcome(place, attempt->server, &final_outcome, now());
    }
    if (attempt->is_running) {
        attempt->is_running = false;
        servers[(size_t)attempt->server].running--;
        start_queued(attempt->server);
    }
    if (attempt->contract != 0) {
        contracts_controller_release(controllers[(size_t)attempt->server],
                                     attempt->contract, &outcome, now(),
                                     controller_events);
        attempt->contract = 0;
        handle_controller_events();
    }
    if (is_failed && place_may_retry(place, WORLD_NONE, &attempt->choice,
                                     BASE_NOT_RUN, now())) {
        auto next = std::make_shared<Attempt>();
        next->request = attempt->request;
        next->choice = attempt->choice;
        next->choice.tried[next->choice.n_tried++] = attempt->server;
        start(next);
    }
}

/* Samples the share of idle slots if a request waits. */
void
Fleet::sample_idle_slots()
{
    int waiting = 0;
    int running = 0;

    for (size_t i = 0; i < servers.size(); i++) {
        struct contracts_load load;
        contracts_controller_load(controllers[i], &load);
        waiting += load.queued + (int)servers[i].queue.size();
        running += servers[i].running;
    }
    if (waiting > 0) {
        n_idle_samples++;
        idle_sum += 1 - running / (double)(settings.servers * settings.slots);
        result.idle_share = idle_sum / n_idle_samples;
    }
}

FleetResult
Fleet::run()
{
    schedule(now_ms, [this] { arrive(); });
    if (settings.slowed > 0) {
        schedule(now_ms + 2000, [this] { slow_servers(); });
    }
    double last_ms = 1000 + settings.seconds * 1000 + 30000;
    for (double tick = now_ms; tick < last_ms; tick += 20) {
        schedule(tick, [this] {
            for (struct contracts_controller *controller : controllers) {
                contracts_controller_tick(controller, now(),
                                          controller_events);
                handle_controller_events();
            }
            sample_idle_slots();
        });
    }
    while (!events.empty() && events.top().at_ms < last_ms) {
        Event event = events.top();
        events.pop();
        now_ms = event.at_ms;
        event.work();
    }
    return result;
}

} // namespace

FleetResult
fleet_run(const FleetSettings &settings)
{
    Fleet fleet(settings);
    return fleet.run();
}
