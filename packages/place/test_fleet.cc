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

enum { ASKS = 3 };

/* About normal, by the sum of twelve even draws. */
double
gauss(GRand *rand)
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
    double first_ms = -1;
    bool is_over = false;
    bool is_running = false;
    bool is_late_reported = false;
    int asks = 0;
    int best_busy = WORLD_NONE;
    double best_load = 0;
    struct place_request place = {};
};

struct Request {
    int node = 0;
    int prefix = 0;
    int tokens = 0;
    bool is_long = false;
    double at_ms = 0;
    bool has_first = false;
    int open = 0;
    std::vector<std::shared_ptr<Attempt>> attempts;
    struct place_request place = {};
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

    void at(double when_ms, Work work);
    void arrive();
    void slow_some();
    void start(std::shared_ptr<Attempt> attempt);
    void ask(std::shared_ptr<Attempt> attempt, int64_t wait_ms);
    void take_events();
    void send(std::shared_ptr<Attempt> attempt);
    void hedge(std::shared_ptr<Attempt> attempt);
    void begin(int server);
    void look();
    void token(std::shared_ptr<Attempt> attempt, int left);
    void end(std::shared_ptr<Attempt> attempt, bool is_failed);
    double slow(int server) const;
    bool is_cached(int server, int prefix);
    int64_t
    now() const
    {
        return (int64_t)now_ms;
    }

    FleetSettings set;
    FleetResult result;
    GRand *rand;    /* of the arrivals: equal for all policies */
    GRand *faults;  /* of the slow moments: equal, too */
    GRand *spreads; /* of first-token times */
    struct world *world;
    std::vector<struct place *> site_zones;
    std::vector<struct contracts_controller *> keepers;
    std::vector<Server> servers;
    std::map<uint64_t, std::shared_ptr<Attempt>> asking;
    std::priority_queue<Event> events;
    std::vector<std::shared_ptr<Request>> requests;
    GArray *said;
    double now_ms = 1000;
    int looks = 0; /* at which a request waited */
    double idle_sum = 0;
    uint64_t last_order = 0;
    uint64_t last_ask = 0;
};

Fleet::Fleet(const FleetSettings &given) : set(given)
{
    rand = g_rand_new_with_seed(set.seed);
    faults = g_rand_new_with_seed(set.seed + 1);
    spreads = g_rand_new_with_seed(set.seed + 2);
    world = fleet_world(set.servers, set.slots);
    said = g_array_new(FALSE, FALSE, sizeof(struct contracts_event));
    for (int i = 0; i < set.nodes; i++) {
        struct place_desc desc = {set.is_naive, set.seed, nullptr};
        site_zones.push_back(place_new(&desc));
        site_zones[(size_t)i]->ops->update(site_zones[(size_t)i], world,
                                           now());
    }
    for (int i = 0; i < set.servers; i++) {
        struct contracts_controller_desc desc = {};
        desc.slots = set.slots;
        desc.first_token_target_ms = 380;
        desc.inter_token_target_ms = 73;
        desc.long_share = 0.5;
        desc.batch_share = 1;
        desc.id_seed = (uint64_t)i + 1;
        desc.now_ms = now();
        keepers.push_back(contracts_controller_new(&desc));
    }
    servers.resize((size_t)set.servers);
    result.by_server.resize((size_t)set.servers);
}

Fleet::~Fleet()
{
    for (auto &request : requests) {
        request->attempts.clear(); /* which hold the request */
    }
    for (struct place *place : site_zones) {
        place_free(place);
    }
    for (struct contracts_controller *keeper : keepers) {
        contracts_controller_free(keeper);
    }
    g_array_free(said, TRUE);
    world_unref(world);
    g_rand_free(rand);
    g_rand_free(faults);
    g_rand_free(spreads);
}

void
Fleet::at(double when_ms, Work work)
{
    events.push({when_ms, ++last_order, std::move(work)});
}

double
Fleet::slow(int server) const
{
    return now_ms < servers[(size_t)server].slow_until_ms ? set.slow_factor
                                                          : 1;
}

bool
Fleet::is_cached(int server, int prefix)
{
    std::list<int> &cache = servers[(size_t)server].cache;
    auto found = std::find(cache.begin(), cache.end(), prefix);
    bool is_hit = found != cache.end();

    if (set.prefixes == 0) {
        return false;
    }
    if (is_hit) {
        cache.erase(found);
    }
    cache.push_front(prefix);
    if ((int)cache.size() > set.cache) {
        cache.pop_back();
    }
    result.starts++;
    result.cache_hits += is_hit;
    return is_hit;
}

void
Fleet::arrive()
{
    auto request = std::make_shared<Request>();
    requests.push_back(request);

    request->node = g_rand_int_range(rand, 0, set.nodes);
    request->is_long = g_rand_double(rand) < set.long_share;
    request->tokens = request->is_long ? set.tokens * 20 : set.tokens;
    request->prefix =
        set.prefixes > 0 ? g_rand_int_range(rand, 0, set.prefixes) : 0;
    request->at_ms = now_ms;
    request->place.class_ =
        request->is_long ? CONTRACTS_ONLINE_LONG : CONTRACTS_ONLINE_SHORT;
    request->place.is_idempotent = true;
    request->place.deadline_ms = now() + 60000;
    request->place.request_key =
        ((uint64_t)g_rand_int(rand) << 32) | g_rand_int(rand);
    if (set.prefixes > 0) {
        uint64_t prefix = (uint64_t)request->prefix + 1;
        request->place.prefix_key = base_hash(&prefix, sizeof(prefix), 0);
    }
    result.asked++;
    place_count_request(site_zones[(size_t)request->node], WORLD_NONE, now());
    auto attempt = std::make_shared<Attempt>();
    attempt->request = request;
    attempt->place = request->place;
    start(attempt);
    double gap_ms = -std::log(1 - g_rand_double(rand)) * 1000 / set.rate;
    if (now_ms + gap_ms < 1000 + set.seconds * 1000) {
        at(now_ms + gap_ms, [this] { arrive(); });
    }
}

void
Fleet::slow_some()
{
    std::vector<int> order;
    for (int i = 0; i < set.servers; i++) {
        order.push_back(i);
    }
    for (int i = 0; i < set.slowed; i++) {
        std::swap(order[(size_t)i],
                  order[(size_t)g_rand_int_range(faults, i, set.servers)]);
        double length_s =
            g_rand_double_range(faults, set.slow_s / 3, set.slow_s * 5 / 3);
        servers[(size_t)order[(size_t)i]].slow_until_ms =
            now_ms + length_s * 1000;
    }
    at(now_ms + set.slow_every_s * 1000, [this] { slow_some(); });
}

void
Fleet::start(std::shared_ptr<Attempt> attempt)
{
    struct place *place = site_zones[(size_t)attempt->request->node];
    int server = place->ops->choose(place, &attempt->place, now());

    attempt->request->open++;
    attempt->request->attempts.push_back(attempt);
    if (server == WORLD_NONE) {
        attempt->is_over = true;
        return;
    }
    attempt->server = server;
    if (set.is_naive) {
        send(attempt);
        return;
    }
    ask(attempt, 0);
}

void
Fleet::ask(std::shared_ptr<Attempt> attempt, int64_t wait_ms)
{
    struct contracts_admission ask = {};

    attempt->asks++;
    ask.ask_id = ++last_ask;
    g_snprintf(ask.holder, sizeof(ask.holder), "n%d", attempt->request->node);
    g_strlcpy(ask.operator_name, "o", sizeof(ask.operator_name));
    ask.weight = 1;
    ask.class_ = attempt->place.class_;
    ask.wait_ms = wait_ms;
    ask.slots = 1;
    asking[ask.ask_id] = attempt;
    contracts_controller_admit(keepers[(size_t)attempt->server], &ask, now(),
                               said);
    take_events();
}

void
Fleet::take_events()
{
    while (said->len > 0) {
        struct contracts_event event =
            g_array_index(said, struct contracts_event, 0);
        g_array_remove_index(said, 0);
        auto attempt = asking[event.ask_id];
        struct place *place = site_zones[(size_t)attempt->request->node];
        asking.erase(event.ask_id);
        place->ops->load(place, attempt->server, &event.load, now());
        if (event.answer == CONTRACTS_GRANTED) {
            attempt->contract = event.contract;
            if (attempt->is_over) {
                end(attempt, false);
                continue;
            }
            send(attempt);
            continue;
        }
        double load = (event.load.online + event.load.queued + 1.0) /
                      MAX(event.load.window, 1);
        if (attempt->best_busy == WORLD_NONE || load < attempt->best_load) {
            attempt->best_busy = attempt->server;
            attempt->best_load = load;
        }
        attempt->place.tried[attempt->place.n_tried++] = attempt->server;
        int next = attempt->asks < ASKS - 1
                       ? place->ops->choose(place, &attempt->place, now())
                       : WORLD_NONE;
        if (next != WORLD_NONE) {
            attempt->server = next;
            ask(attempt, 0);
        }
        else if (attempt->asks < ASKS) {
            attempt->server = attempt->best_busy;
            ask(attempt, 30000);
        }
        else {
            attempt->is_over = true;
        }
    }
}

void
Fleet::send(std::shared_ptr<Attempt> attempt)
{
    struct place *place = site_zones[(size_t)attempt->request->node];
    int server = attempt->server;

    attempt->sent_ms = now_ms;
    result.by_server[(size_t)server]++;
    if (server < set.dead) {
        at(now_ms + 1, [this, attempt] { end(attempt, true); });
        return;
    }
    servers[(size_t)server].queue.push_back(attempt);
    int64_t after_ms = place_hedge_after_ms(place, &attempt->place);
    if (after_ms >= 0 && attempt->request->attempts.size() == 1) {
        at(now_ms + (double)after_ms, [this, attempt] { hedge(attempt); });
    }
    begin(server);
}

void
Fleet::hedge(std::shared_ptr<Attempt> attempt)
{
    auto request = attempt->request;
    struct place *place = site_zones[(size_t)request->node];

    if (attempt->is_over || request->has_first ||
        request->attempts.size() > 1) {
        return;
    }
    int64_t waited_us = (int64_t)((now_ms - attempt->sent_ms) * 1000);
    place_report_wait(place, attempt->server, waited_us, now());
    if (attempt->contract != 0) {
        struct contracts_outcome late = {};
        attempt->is_late_reported = true;
        late.first_token_us = waited_us;
        contracts_controller_shrink(keepers[(size_t)attempt->server],
                                    attempt->contract, 1, &late, now(), said);
        take_events();
    }
    if (!place_take_hedge(place, now())) {
        return;
    }
    result.hedges++;
    auto second = std::make_shared<Attempt>();
    second->request = request;
    second->place = request->place;
    second->place.tried[second->place.n_tried++] = attempt->server;
    start(second);
}

void
Fleet::begin(int server)
{
    Server &own = servers[(size_t)server];

    while (own.running < set.slots && !own.queue.empty()) {
        auto attempt = own.queue.front();
        own.queue.pop_front();
        if (attempt->is_over) {
            continue;
        }
        own.running++;
        attempt->is_running = true;
        double first_ms =
            set.first_ms * slow(server) *
            (is_cached(server, attempt->request->prefix) ? 2.0 / 3 : 1) *
            (0.95 + 0.1 * g_rand_double(spreads)) *
            std::exp(set.spread * gauss(spreads));
        at(now_ms + first_ms,
           [this, attempt] { token(attempt, attempt->request->tokens); });
    }
}

void
Fleet::token(std::shared_ptr<Attempt> attempt, int left)
{
    auto request = attempt->request;
    const int step = 10;

    if (attempt->is_over) {
        return;
    }
    if (attempt->first_ms < 0) {
        attempt->first_ms = now_ms;
        int64_t first_us = (int64_t)((now_ms - attempt->sent_ms) * 1000);
        place_report_first_token(site_zones[(size_t)request->node],
                                 attempt->server, first_us, now());
        if (attempt->is_late_reported) {
            struct contracts_outcome came = {};
            came.first_token_us = first_us;
            came.tokens = 1;
            contracts_controller_shrink(keepers[(size_t)attempt->server],
                                        attempt->contract, 1, &came, now(),
                                        said);
            take_events();
        }
        if (!request->has_first && !request->is_long) {
            result.first_ms.push_back(now_ms - request->at_ms);
        }
        request->has_first = true;
        for (auto &other : request->attempts) {
            if (other != attempt && !other->is_over) {
                end(other, false);
            }
        }
    }
    if (left <= step) {
        result.done++;
        end(attempt, false);
        return;
    }
    double fill = servers[(size_t)attempt->server].running / (double)set.slots;
    at(now_ms + step * set.inter_ms * (1 + 0.2 * fill) * slow(attempt->server),
       [this, attempt, left] { token(attempt, left - step); });
}

void
Fleet::end(std::shared_ptr<Attempt> attempt, bool is_failed)
{
    struct place *place = site_zones[(size_t)attempt->request->node];
    struct contracts_outcome outcome = {};

    attempt->is_over = true;
    if (attempt->sent_ms > 0) {
        outcome.failed = is_failed;
        if (attempt->first_ms >= 0) {
            double took_ms = now_ms - attempt->first_ms;
            outcome.first_token_us =
                (int64_t)((attempt->first_ms - attempt->sent_ms) * 1000);
            outcome.inter_token_us =
                (int64_t)(took_ms * 1000 / attempt->request->tokens);
        }
        struct contracts_outcome rest = outcome;
        rest.first_token_us = 0; /* told when it came */
        place->ops->outcome(place, attempt->server, &rest, now());
    }
    if (attempt->is_running) {
        attempt->is_running = false;
        servers[(size_t)attempt->server].running--;
        begin(attempt->server);
    }
    if (attempt->contract != 0) {
        contracts_controller_release(keepers[(size_t)attempt->server],
                                     attempt->contract, &outcome, now(), said);
        attempt->contract = 0;
        take_events();
    }
    if (is_failed && place_may_retry(place, WORLD_NONE, &attempt->place,
                                     BASE_NOT_RUN, now())) {
        auto next = std::make_shared<Attempt>();
        next->request = attempt->request;
        next->place = attempt->place;
        next->place.tried[next->place.n_tried++] = attempt->server;
        start(next);
    }
}

/* Notes idle slots while a request waits. */
void
Fleet::look()
{
    int waiting = 0;
    int running = 0;

    for (size_t i = 0; i < servers.size(); i++) {
        struct contracts_load load;
        contracts_controller_load(keepers[i], &load);
        waiting += load.queued + (int)servers[i].queue.size();
        running += servers[i].running;
    }
    if (waiting > 0) {
        looks++;
        idle_sum += 1 - running / (double)(set.servers * set.slots);
        result.idle_share = idle_sum / looks;
    }
}

FleetResult
Fleet::run()
{
    at(now_ms, [this] { arrive(); });
    if (set.slowed > 0) {
        at(now_ms + 2000, [this] { slow_some(); });
    }
    double last_ms = 1000 + set.seconds * 1000 + 30000;
    for (double tick = now_ms; tick < last_ms; tick += 20) {
        at(tick, [this] {
            for (struct contracts_controller *keeper : keepers) {
                contracts_controller_tick(keeper, now(), said);
                take_events();
            }
            look();
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
