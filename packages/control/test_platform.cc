/* Control tasks with a fake platform, which answers calls at once, on the
 * caller's thread, and with an error while it is down. */
#include "control/test_support.h"

#include <map>
#include <mutex>
#include <set>

struct platform {
    struct Watch {
        struct base_task *to;
        void *context;
        void (*happened)(struct platform_event *, void *);
        std::string prefix;
    };
    struct Entry {
        int64_t revision;
        std::string text;
    };
    std::mutex lock;
    std::string current;
    std::string config_key = "/cp/config/production/current";
    std::map<std::string, Entry> servers; /* entries of a site's servers */
    int64_t revision = 0;                 /* of the last change of servers */
    bool is_down = false;
    bool is_silent = false;            /* watches deliver no events */
    std::set<struct base_task *> deaf; /* nodes that it does not reach */
    std::map<std::string, bool> hosts; /* address to is_leaving */
    std::map<uint64_t, Watch> watches;
    bool holds_listings = false; /* made, but not delivered yet */
    std::vector<std::pair<struct platform_event *, struct base_task *>> held;
    uint64_t last_watch = 0;
    int n_gets = 0;
    int n_lists = 0;

    void put(const std::string &text);
    void use_site(const std::vector<std::string> &keys);
    void put_server(const std::string &key, const std::string &text);
    void remove_server(const std::string &key);
    void deliver_listings();
    void relist(int n_extra);
    void beat();
    void cut_off_all_but(struct base_task *spared);
    bool is_watched_by(struct base_task *task);
    void list_entries(const Watch &watch);
    size_t
    n_watches()
    {
        std::lock_guard<std::mutex> guard(lock);
        return watches.size();
    }
    void
    set_host(const std::string &address, bool is_leaving)
    {
        std::lock_guard<std::mutex> guard(lock);
        hosts[address] = is_leaving;
    }
};

namespace {

void
kv_done(struct base_call *call, void *state)
{
    struct platform_kv *kv = (struct platform_kv *)call;
    kv->answered(kv, state);
}

void
kv_drop(struct base_call *call)
{
    platform_kv_free((struct platform_kv *)call);
}

void
event_serve(struct base_call *call, void *state)
{
    struct platform_event *event = (struct platform_event *)call;
    event->happened(event, state);
    base_call_reply(call);
}

void
event_drop(struct base_call *call)
{
    struct platform_event *event = (struct platform_event *)call;
    if (event->entry.value != nullptr) {
        g_bytes_unref(event->entry.value);
    }
    if (event->listing != nullptr) {
        g_ptr_array_free(event->listing, TRUE);
    }
    g_free(event->entry.key);
    g_free(event);
}

void
hosts_drop(struct base_call *call)
{
    struct platform_hosts *hosts = (struct platform_hosts *)call;
    g_ptr_array_free(hosts->hosts, TRUE);
    g_free(hosts);
}

void
hosts_done(struct base_call *call, void *state)
{
    struct platform_hosts *hosts = (struct platform_hosts *)call;
    hosts->answered(hosts, state);
    hosts_drop(call);
}

void
free_entry(gpointer data)
{
    struct platform_entry *entry = (struct platform_entry *)data;
    g_bytes_unref(entry->value);
    g_free(entry->key);
    g_free(entry);
}

void
free_host(gpointer data)
{
    struct platform_host *host = (struct platform_host *)data;
    g_free(host->address);
    g_free(host);
}

const struct base_call_ops KV_OPS = {nullptr, kv_done, kv_drop};
const struct base_call_ops EVENT_OPS = {event_serve, nullptr, event_drop};
const struct base_call_ops HOSTS_OPS = {nullptr, hosts_done, hosts_drop};

} // namespace

void
platform::put(const std::string &text)
{
    std::lock_guard<std::mutex> guard(lock);
    current = text;
    for (auto &entry : watches) {
        if (is_silent || entry.second.prefix != config_key) {
            continue;
        }
        struct platform_event *event = g_new0(struct platform_event, 1);
        event->happened = entry.second.happened;
        event->context = entry.second.context;
        event->entry.value = g_bytes_new(text.data(), text.size());
        base_call_send(&event->call, &EVENT_OPS, entry.second.to, nullptr);
    }
}

/* Stores a server's entry and sends it to the watches. */
void
platform::put_server(const std::string &key, const std::string &text)
{
    std::lock_guard<std::mutex> guard(lock);
    servers[key] = {++revision, text};
    for (auto &entry : watches) {
        if (entry.second.prefix != "servers/" ||
            deaf.count(entry.second.to) > 0) {
            continue;
        }
        struct platform_event *event = g_new0(struct platform_event, 1);
        event->happened = entry.second.happened;
        event->context = entry.second.context;
        event->entry.key = g_strdup(key.c_str());
        event->entry.revision = revision;
        event->entry.value = g_bytes_new(text.data(), text.size());
        base_call_send(&event->call, &EVENT_OPS, entry.second.to, nullptr);
    }
}

/* Removes a server's entry; no watch is told. */
void
platform::remove_server(const std::string &key)
{
    std::lock_guard<std::mutex> guard(lock);
    servers.erase(key);
    revision++;
}

void
platform::deliver_listings()
{
    std::lock_guard<std::mutex> guard(lock);
    holds_listings = false;
    for (auto &listing : held) {
        base_call_send(&listing.first->call, &EVENT_OPS, listing.second,
                       nullptr);
    }
    held.clear();
}

/* Lists all entries anew, as after a gap in the history, with some of further
 * servers in place of those of the last call. */
void
platform::relist(int n_extra)
{
    std::lock_guard<std::mutex> guard(lock);
    auto extra = servers.lower_bound("servers/extra");
    while (extra != servers.end() &&
           extra->first.rfind("servers/extra", 0) == 0) {
        extra = servers.erase(extra);
    }
    revision++;
    for (int i = 0; i < n_extra; i++) {
        servers["servers/extra" + std::to_string(i)] = {++revision, "ready"};
    }
    for (auto &entry : watches) {
        if (entry.second.prefix == "servers/") {
            list_entries(entry.second);
        }
    }
}

/* Writes every entry once more, as heartbeats do. */
void
platform::beat()
{
    std::map<std::string, Entry> now;
    {
        std::lock_guard<std::mutex> guard(lock);
        now = servers;
    }
    for (auto &entry : now) {
        put_server(entry.first, entry.second.text);
    }
}

/* Delivers nothing more to the nodes that watch now, but for one. */
void
platform::cut_off_all_but(struct base_task *spared)
{
    std::lock_guard<std::mutex> guard(lock);
    for (auto &entry : watches) {
        if (entry.second.to != spared) {
            deaf.insert(entry.second.to);
        }
    }
}

bool
platform::is_watched_by(struct base_task *task)
{
    std::lock_guard<std::mutex> guard(lock);
    for (auto &entry : watches) {
        if (entry.second.to == task) {
            return true;
        }
    }
    return false;
}

/* Sends all entries to a new watch of a site; call it with the lock. */
void
platform::list_entries(const Watch &watch)
{
    struct platform_event *event = g_new0(struct platform_event, 1);
    std::map<std::string, Entry> entries;

    if (watch.prefix == "servers/") {
        entries = servers;
    }
    else if (!current.empty()) {
        entries[config_key] = {1, current};
    }

    event->happened = watch.happened;
    event->context = watch.context;
    event->is_reset = true;
    event->listing_revision = revision;
    event->listing = g_ptr_array_new_with_free_func(free_entry);
    for (auto &listed : entries) {
        struct platform_entry *entry = g_new0(struct platform_entry, 1);
        entry->key = g_strdup(listed.first.c_str());
        entry->revision = listed.second.revision;
        entry->value =
            g_bytes_new(listed.second.text.data(), listed.second.text.size());
        g_ptr_array_add(event->listing, entry);
    }
    if (holds_listings && watch.prefix == "servers/") {
        held.push_back({event, watch.to});
        return;
    }
    base_call_send(&event->call, &EVENT_OPS, watch.to, nullptr);
}

extern "C" {

struct platform_kv *
platform_kv_new(enum platform_op op, const char *key)
{
    struct platform_kv *kv = g_new0(struct platform_kv, 1);
    kv->op = op;
    kv->key = g_strdup(key);
    return kv;
}

void
platform_kv_free(struct platform_kv *kv)
{
    if (kv->entries != nullptr) {
        g_ptr_array_free(kv->entries, TRUE);
    }
    g_free(kv->key);
    g_free(kv);
}

void
platform_kv_send(struct platform *platform, struct platform_kv *kv,
                 struct base_task *from,
                 void (*answered)(struct platform_kv *, void *))
{
    std::lock_guard<std::mutex> guard(platform->lock);
    EXPECT_EQ(kv->key, platform->config_key);
    platform->n_gets++;
    kv->answered = answered;
    kv->call.ops = &KV_OPS;
    kv->call.from = from;
    kv->status = platform->is_down ? PLATFORM_UNAVAILABLE : PLATFORM_OK;
    kv->entries = g_ptr_array_new_with_free_func(free_entry);
    if (!platform->is_down && !platform->current.empty()) {
        struct platform_entry *entry = g_new0(struct platform_entry, 1);
        entry->value =
            g_bytes_new(platform->current.data(), platform->current.size());
        g_ptr_array_add(kv->entries, entry);
    }
    base_call_reply(&kv->call);
}

uint64_t
platform_watch(struct platform *platform, const char *prefix,
               struct base_task *to, void *context,
               void (*happened)(struct platform_event *, void *))
{
    std::lock_guard<std::mutex> guard(platform->lock);
    platform::Watch watch = {to, context, happened, prefix};
    if (platform->config_key == "op/config") {
        platform->list_entries(watch);
    }
    else {
        EXPECT_EQ(watch.prefix, platform->config_key);
    }
    platform->watches[++platform->last_watch] = watch;
    return platform->last_watch;
}

void
platform_unwatch(struct platform *platform, uint64_t watch)
{
    std::lock_guard<std::mutex> guard(platform->lock);
    platform->watches.erase(watch);
}

void
platform_hosts_send(struct platform *platform, struct base_task *from,
                    void *context,
                    void (*answered)(struct platform_hosts *, void *))
{
    std::lock_guard<std::mutex> guard(platform->lock);
    struct platform_hosts *hosts = g_new0(struct platform_hosts, 1);
    platform->n_lists++;
    hosts->hosts = g_ptr_array_new_with_free_func(free_host);
    hosts->answered = answered;
    hosts->call.ops = &HOSTS_OPS;
    hosts->call.from = from;
    hosts->is_ok = !platform->is_down;
    for (auto &entry : platform->hosts) {
        struct platform_host *host = g_new0(struct platform_host, 1);
        host->address = g_strdup(entry.first.c_str());
        host->is_leaving = entry.second;
        g_ptr_array_add(hosts->hosts, host);
    }
    base_call_reply(&hosts->call);
}
}

namespace {

/* A site's configuration is its number; one service, "desk". */
struct world_site *
decode_site(const char *text, size_t size, struct base_error *err)
{
    (void)err;
    struct world_site *site = g_new0(struct world_site, 1);
    site->number =
        g_ascii_strtoll(std::string(text, size).c_str(), nullptr, 10);
    site->services = g_new0(struct world_site_service, 1);
    site->services[0].name = g_strdup("desk");
    site->n_services = 1;
    return site;
}

/* A server's entry is "ready" or "draining", or its slots or its host. */
bool
decode_server(const char *key, const char *text, size_t size,
              struct world_registration *out, struct base_error *err)
{
    (void)err;
    memset(out, 0, sizeof(*out));
    std::string value(text, size);
    out->id = g_strdup(key);
    out->service = g_strdup("desk");
    out->host =
        g_strdup(value.find("host ") == 0 ? value.c_str() + 5 : "127.0.0.1");
    out->zone = g_strdup("etela-a");
    out->port = 9001;
    out->slots = value.find("slots ") == 0 ? atoi(value.c_str() + 6) : 8;
    out->is_draining = value == "draining";
    return true;
}

const struct world_source SITE = {.config_key = "op/config",
                                  .servers_prefix = "servers/",
                                  .decode_site = decode_site,
                                  .decode_server = decode_server,
                                  .retire_prefix = nullptr,
                                  .retired_prefix = nullptr,
                                  .retired_text = nullptr};

} // namespace

/* Holds the configuration of a site whose servers, by key, are ready. */
void
platform::use_site(const std::vector<std::string> &keys)
{
    config_key = SITE.config_key;
    put("1");
    for (const std::string &key : keys) {
        put_server(key, "ready");
    }
}

namespace {

/* Nodes in two zones that share one platform. */
struct Cluster {
    struct platform platform;
    TestTask task; /* outlives the nodes, which send it replies */
    std::vector<std::unique_ptr<TestNode>> nodes;
    const struct world_source *origin = nullptr;

    /* Makes the platform that of a site with these servers. */
    void
    use_site(const std::vector<std::string> &servers)
    {
        origin = &SITE;
        platform.use_site(servers);
    }
    void
    add(int n_nodes)
    {
        for (int i = 0; i < n_nodes; i++) {
            size_t index = nodes.size();
            nodes.push_back(std::make_unique<TestNode>(
                "n" + std::to_string(index), index % 2 ? "etela-a" : "etela-b",
                index ? nodes[0]->address() : "", &platform, nullptr, origin));
        }
    }
    /* Waits for is_done while the servers send heartbeats. */
    template <class F>
    bool
    beat_until(F is_done)
    {
        enum { BEAT_MS = 20, N_BEATS = 500 };
        return task.until(
            [&] {
                platform.beat();
                g_usleep(BEAT_MS * 1000);
                return is_done();
            },
            N_BEATS);
    }
    /* The task of a node that does not watch, or of the last node. */
    struct base_task *
    node_without_watch()
    {
        for (auto &node : nodes) {
            if (!platform.is_watched_by(&node->control->task)) {
                return &node->control->task;
            }
        }
        return &nodes.back()->control->task;
    }
    /* Waits until every node may use n_servers servers. */
    bool
    all_use_servers(int64_t n_servers)
    {
        return beat_until([&] {
            for (auto &node : nodes) {
                if (node->usable_servers() != n_servers) {
                    return false;
                }
            }
            return true;
        });
    }
    bool
    all_have_revision(int64_t number)
    {
        return task.until([&] {
            for (auto &node : nodes) {
                if (node->applied_revision() != number ||
                    !control_is_ready(node->control)) {
                    return false;
                }
            }
            return true;
        });
    }
};

/* Only two nodes per zone watch the key-value service; the others get the
 * configuration from peers.  Watchers that stop are replaced. */
TEST(ControlPlatform, TwoWatchPerZoneAndAllFollow)
{
    Cluster cluster;
    cluster.platform.put(record(3, document(2)));
    cluster.add(8);
    ASSERT_TRUE(cluster.all_have_revision(3));
    /* Two watchers per zone, once all nodes know each other. */
    EXPECT_TRUE(
        cluster.task.until([&] { return cluster.platform.n_watches() == 4; }));
    int n_gets = cluster.platform.n_gets;
    for (int64_t number = 4; number < 9; number++) {
        cluster.platform.put(record(number, document((int)number % 5 + 1)));
        ASSERT_TRUE(cluster.all_have_revision(number));
    }
    /* No node read the key-value service for these changes. */
    EXPECT_EQ(cluster.platform.n_gets, n_gets);
    /* Stop six nodes, with watchers among them; the last two both watch. */
    for (int i = 0; i < 6; i++) {
        cluster.nodes.pop_back();
    }
    EXPECT_TRUE(
        cluster.task.until([&] { return cluster.platform.n_watches() == 2; }));
    cluster.platform.put(record(9, document(1)));
    EXPECT_TRUE(cluster.all_have_revision(9));
}

/* A node that starts while the key-value service is down takes the
 * configuration from peers.  A service that returns with an older
 * configuration than the one in force must not set it back. */
TEST(ControlPlatform, StartsFromPeersInOutageAndNeverGoesBack)
{
    Cluster cluster;
    cluster.platform.put(record(5, document(2)));
    cluster.add(3);
    ASSERT_TRUE(cluster.all_have_revision(5));
    cluster.platform.is_down = true;
    cluster.add(1);
    ASSERT_TRUE(cluster.all_have_revision(5));
    /* The service returns with a lower revision than the one in force. */
    cluster.platform.is_down = false;
    cluster.platform.put(record(4, document(1)));
    cluster.add(1);
    ASSERT_TRUE(cluster.all_have_revision(5));
    cluster.platform.put(record(6, document(3)));
    ASSERT_TRUE(cluster.all_have_revision(6));
}

/* Nodes that find no configuration must not report that they are ready. */
TEST(ControlPlatform, EmptyStoreMeansNotReady)
{
    Cluster cluster;
    cluster.add(2);
    int64_t until = base_clock_ms() + 500;
    cluster.task.until([&] { return base_clock_ms() >= until; });
    EXPECT_FALSE(control_is_ready(cluster.nodes[0]->control));
    cluster.platform.put(record(1, document(1)));
    EXPECT_TRUE(cluster.all_have_revision(1));
}

/* A server that leaves must not stay in use because the nodes that watch the
 * servers have lost the key-value service while another reaches it. */
TEST(ControlPlatform, DrainingServerIsNoticedWhenOneNodeReachesTheStore)
{
    Cluster cluster;
    cluster.use_site({"servers/s0", "servers/s1"});
    cluster.add(6);
    ASSERT_TRUE(cluster.all_have_revision(1));
    ASSERT_TRUE(cluster.all_use_servers(2));
    cluster.platform.cut_off_all_but(cluster.node_without_watch());
    cluster.platform.put_server("servers/s0", "draining");
    EXPECT_TRUE(cluster.all_use_servers(1));
}

/* A server that was removed while a node was cut off must not come back with
 * that node, even if all the others started after the removal. */
TEST(ControlPlatform, RemovedServerDoesNotComeBackWithACutOffNode)
{
    struct platform before; /* as the node that was cut off saw it */
    Cluster cluster;
    before.use_site({"servers/s0", "servers/s1"});
    cluster.use_site({"servers/s0", "servers/s1"});
    cluster.platform.remove_server("servers/s0");
    cluster.add(3);
    ASSERT_TRUE(cluster.all_use_servers(1));
    before.revision =
        1 << 20; /* a newer server shows that the node is heard */
    before.put_server("servers/s2", "ready");
    cluster.nodes.push_back(std::make_unique<TestNode>(
        "n3", "etela-a", cluster.nodes[0]->address(), &before, nullptr,
        &SITE));
    EXPECT_TRUE(cluster.all_use_servers(2));
}

TEST(ControlPlatform, AnOddEntryNamesNoServerAndTheOthersStayInUse)
{
    static const struct {
        std::string key;
        const char *text;
    } CASES[] = {
        {"servers/" + std::string(200, 'a') + "1", "ready"},
        {"servers/" + std::string(200, 'a') + "2", "ready"},
        {"servers/a\r\nx-injected: 1", "ready"},
        {"servers/a\x01", "ready"},
        {"servers/a b", "ready"},
        {"servers/slots", "slots 2147483647"},
        {"servers/none", "slots 0"},
        {"servers/host", "host 127.0.0.1\r\nx-injected: 1"},
        {"servers/name", "host odd.example"},
    };
    Cluster cluster;

    cluster.use_site({"servers/s0"});
    for (const auto &c : CASES) {
        cluster.platform.put_server(c.key, c.text);
    }
    cluster.add(2);
    EXPECT_TRUE(cluster.all_use_servers(1));
    /* They may come and go at any time. */
    for (const auto &c : CASES) {
        cluster.platform.put_server(c.key, c.text);
    }
    cluster.platform.put_server("servers/s1", "ready");
    EXPECT_TRUE(cluster.all_use_servers(2));
    for (int i = 0; i < 2; i++) {
        EXPECT_EQ(cluster.task
                      .admission(cluster.nodes[(size_t)i]->control,
                                 "servers/s1", CONTRACTS_ONLINE_SHORT)
                      ->answer,
                  CONTRACTS_GRANTED);
    }
}

/* Guards against servers that are never used because their names, which fit
 * into a key of the store, do not fit into ours. */
TEST(ControlPlatform, ServersWithLongNamesAreUsed)
{
    Cluster cluster;
    /* The source of these tests takes the key for the name. */
    std::string first = "servers/" + std::string(183, 'a') + "1";
    std::string second = "servers/" + std::string(183, 'a') + "2";

    cluster.use_site({first, second});
    cluster.add(2);
    EXPECT_TRUE(cluster.all_use_servers(2));
    for (const auto &name : {first, second}) {
        struct control_admission *admission = cluster.task.admission(
            cluster.nodes[0]->control, name.c_str(), CONTRACTS_ONLINE_SHORT);
        EXPECT_EQ(admission->answer, CONTRACTS_GRANTED);
        EXPECT_STREQ(admission->server, name.c_str());
    }
}

/* Guards against new servers that are ignored for good, since the entries of
 * those that are gone fill the table. */
TEST(ControlPlatform, ServersAreUsedAfterManyOthersHaveGone)
{
    Cluster cluster;
    cluster.use_site({"servers/s0"});
    cluster.add(1);
    ASSERT_TRUE(cluster.all_use_servers(1));
    cluster.platform.relist(20100);
    cluster.platform.relist(0);
    cluster.platform.put_server("servers/s1", "ready");
    EXPECT_TRUE(cluster.all_use_servers(2));
}

/* A server that registers while another node's listing is under way must not
 * be removed for not being in it. */
TEST(ControlPlatform, ListingRemovesNoServerThatRegisteredAfterIt)
{
    Cluster cluster;
    cluster.use_site({"servers/s0"});
    cluster.add(1);
    ASSERT_TRUE(cluster.all_use_servers(1));
    cluster.platform.holds_listings = true;
    cluster.add(1);
    ASSERT_TRUE(cluster.task.until(
        [&] { return cluster.nodes[1]->usable_servers() == 1; }));
    cluster.platform.put_server("servers/s1", "ready");
    ASSERT_TRUE(cluster.task.until(
        [&] { return cluster.nodes[1]->usable_servers() == 2; }));
    cluster.platform.deliver_listings();
    /* Listings and changes are applied in order. */
    cluster.platform.put_server("servers/s2", "ready");
    EXPECT_TRUE(cluster.task.until([&] {
        return cluster.nodes[0]->usable_servers() == 3 &&
               cluster.nodes[1]->usable_servers() == 3;
    }));
}

TEST(ControlWatchers, AboutTwelveWatchASiteAndAtLeastTwoAZone)
{
    struct {
        int n_zones;
        int n_per_zone;
    } cases[] = {{1, 12}, {2, 6}, {3, 4}, {5, 3}, {6, 2}, {40, 2}};

    for (const auto &c : cases) {
        enum { NODES_PER_ZONE = 20 };
        std::vector<struct members_node> nodes;
        struct members_view view = {};
        int n_watchers = 0;
        for (int i = 0; i < c.n_zones * NODES_PER_ZONE; i++) {
            struct members_node node = {};
            g_snprintf(node.name, sizeof(node.name), "n%d", i);
            g_snprintf(node.zone, sizeof(node.zone), "z%d", i % c.n_zones);
            nodes.push_back(node);
        }
        view.nodes = nodes.data();
        view.n_nodes = (int)nodes.size();
        EXPECT_EQ(control_watchers_per_zone(&view), c.n_per_zone);
        for (view.self = 0; view.self < view.n_nodes; view.self++) {
            n_watchers += control_should_watch(&view, c.n_per_zone) ? 1 : 0;
        }
        EXPECT_EQ(n_watchers, c.n_zones * c.n_per_zone);
    }
}

/* Only watchers read the platform's list of leaving hosts, but every node,
 * also one that joins later, must stop admissions to their servers. */
TEST(ControlPlatform, AllNodesRefuseLeavingServers)
{
    Cluster cluster;
    cluster.platform.put(record(1, document(2)));
    cluster.platform.set_host("127.0.0.1:9001", false);
    cluster.add(5);
    ASSERT_TRUE(cluster.all_have_revision(1));
    EXPECT_TRUE(
        cluster.task.until([&] { return cluster.platform.n_watches() == 4; }));
    auto all_nodes_answer = [&](const char *server,
                                enum contracts_answer wanted) {
        return cluster.task.until([&] {
            for (auto &node : cluster.nodes) {
                struct control_admission *admission = cluster.task.admission(
                    node->control, server, CONTRACTS_ONLINE_SHORT);
                control_release(node->control, admission->contract, nullptr);
                if (admission->answer != wanted) {
                    return false;
                }
            }
            return true;
        });
    };
    ASSERT_TRUE(all_nodes_answer("e0", CONTRACTS_GRANTED));
    cluster.platform.set_host("127.0.0.1:9001", true);
    EXPECT_TRUE(all_nodes_answer("e0", CONTRACTS_UNAVAILABLE));
    EXPECT_TRUE(all_nodes_answer("e1", CONTRACTS_GRANTED));
    /* A node that joins now learns of the leaving host too. */
    cluster.add(1);
    ASSERT_TRUE(cluster.all_have_revision(1));
    EXPECT_TRUE(all_nodes_answer("e0", CONTRACTS_UNAVAILABLE));
    cluster.platform.set_host("127.0.0.1:9001", false);
    EXPECT_TRUE(all_nodes_answer("e0", CONTRACTS_GRANTED));
}

} // namespace
