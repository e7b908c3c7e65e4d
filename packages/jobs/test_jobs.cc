#include <gtest/gtest.h>

#include <atomic>
#include <functional>
#include <cstring>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "backends/test_server.h"
#include "jobs/jobs.h"
#include "jobs/record.h"
#include "world/site.h"

/* ---- a key-value service in memory, and a control that grants all ---- */

namespace {

struct stored {
    std::string value;
    int64_t revision;
    int64_t lease;
};

struct fake {
    std::mutex lock;
    std::map<std::string, stored> records;
    std::set<int64_t> leases;
    int64_t revision = 10;
    int64_t next_lease = 100;
    /* So many commits take effect and lose their answer. */
    int lose_commits = 0;
    int n_commits = 0;
    std::atomic<int> n_looks{0}; /* at all jobs */
    std::atomic<bool> is_down{false};
    /* contracts */
    std::map<uint64_t, struct control_admission> held;
    uint64_t next_contract = 1;
    void (*preempt)(void *, uint64_t, int) = nullptr;
    int n_busy = 0;   /* so many asks are answered so */
    int n_queued = 0; /* asks that may wait */
    std::function<void(const std::string &)> on_ask;
};

struct fake *fake;

std::string
text_of(GBytes *bytes)
{
    gsize size = 0;
    const char *data = (const char *)g_bytes_get_data(bytes, &size);
    return std::string(data, size);
}

void
add_entry(struct platform_kv *kv, const std::string &key, const stored &at)
{
    auto *entry = g_new0(struct platform_entry, 1);
    entry->key = g_strdup(key.c_str());
    entry->value = g_bytes_new(at.value.data(), at.value.size());
    entry->revision = at.revision;
    entry->lease = at.lease;
    g_ptr_array_add(kv->entries, entry);
}

bool
holds(const char *key, int64_t revision)
{
    auto found = fake->records.find(key);
    if (revision == PLATFORM_ANY) {
        return true;
    }
    return found == fake->records.end() ? revision == PLATFORM_ABSENT
                                        : found->second.revision == revision;
}

void
put(const char *key, GBytes *value, int64_t lease)
{
    if (value == nullptr) {
        fake->records.erase(key);
        return;
    }
    fake->records[key] = {text_of(value), fake->revision, lease};
}

bool
try_write(struct platform_kv *kv)
{
    if (kv->op == PLATFORM_PUT_IF) {
        if (!holds(kv->key, kv->expect_revision)) {
            return false;
        }
        fake->revision++;
        put(kv->key, kv->value, kv->lease);
        return true;
    }
    for (guint i = 0; i < kv->conditions->len; i++) {
        auto *at = (struct platform_condition *)kv->conditions->pdata[i];
        if (!holds(at->key, at->revision)) {
            return false;
        }
    }
    fake->revision++;
    for (guint i = 0; i < kv->writes->len; i++) {
        auto *at = (struct platform_write *)kv->writes->pdata[i];
        put(at->key, at->value, at->lease);
    }
    return true;
}

void
add_current(struct platform_kv *kv, const char *key)
{
    auto found = fake->records.find(key);
    if (found != fake->records.end()) {
        add_entry(kv, found->first, found->second);
    }
}

void
write(struct platform_kv *kv)
{
    bool is_commit = false;
    for (guint i = 0; kv->op == PLATFORM_TXN && i < kv->writes->len; i++) {
        auto *at = (struct platform_write *)kv->writes->pdata[i];
        is_commit |= g_str_has_prefix(at->key, JOBS_RESULTS_PREFIX);
    }
    fake->n_commits += is_commit ? 1 : 0;
    if (!try_write(kv)) {
        kv->status = PLATFORM_CONFLICT;
        add_current(
            kv, kv->op == PLATFORM_PUT_IF
                    ? kv->key
                    : ((struct platform_condition *)kv->conditions->pdata[0])
                          ->key);
        return;
    }
    kv->revision = fake->revision;
    if (is_commit && fake->lose_commits > 0) {
        fake->lose_commits--;
        kv->status = PLATFORM_UNAVAILABLE;
        kv->verdict = BASE_MAY_HAVE_RUN;
    }
}

void
lapse(int64_t lease)
{
    fake->leases.erase(lease);
    for (auto it = fake->records.begin(); it != fake->records.end();) {
        it = it->second.lease == lease && lease != 0 ? fake->records.erase(it)
                                                     : std::next(it);
    }
}

void
run(struct platform_kv *kv)
{
    kv->status = PLATFORM_OK;
    kv->verdict = BASE_RAN;
    kv->sent_ms = base_clock_ms();
    switch (kv->op) {
    case PLATFORM_GET:
        add_current(kv, kv->key);
        return;
    case PLATFORM_LIST:
        fake->n_looks += strcmp(kv->key, JOBS_ACTIVE_PREFIX) == 0 ? 1 : 0;
        for (const auto &[key, at] : fake->records) {
            if (key.rfind(kv->key, 0) == 0) {
                add_entry(kv, key, at);
            }
        }
        return;
    case PLATFORM_PUT_IF:
    case PLATFORM_DELETE_IF:
    case PLATFORM_TXN:
        write(kv);
        return;
    case PLATFORM_LEASE_GRANT:
        kv->lease = fake->next_lease++;
        fake->leases.insert(kv->lease);
        return;
    case PLATFORM_LEASE_KEEP:
        kv->status = fake->leases.count(kv->lease) ? PLATFORM_OK
                                                   : PLATFORM_LEASE_EXPIRED;
        return;
    case PLATFORM_LEASE_REVOKE:
        lapse(kv->lease);
        return;
    }
}

void
free_entry(gpointer data)
{
    auto *entry = (struct platform_entry *)data;
    g_free(entry->key);
    g_bytes_unref(entry->value);
    g_free(entry);
}

void
kv_done(struct base_call *call, void *state)
{
    auto *kv = (struct platform_kv *)call;
    kv->answered(kv, state);
}

void
kv_drop(struct base_call *call)
{
    platform_kv_free((struct platform_kv *)call);
}

void
ask_done(struct base_call *call, void *state)
{
    auto *ask = (struct control_admission *)call;
    ask->answered(ask, state);
}

void
ask_drop(struct base_call *call)
{
    g_free(call);
}

} // namespace

extern "C" {

struct platform_kv *
platform_kv_new(enum platform_op op, const char *key)
{
    auto *kv = g_new0(struct platform_kv, 1);
    kv->op = op;
    kv->key = g_strdup(key != nullptr ? key : "");
    kv->entries = g_ptr_array_new_with_free_func(free_entry);
    kv->conditions = g_ptr_array_new();
    kv->writes = g_ptr_array_new();
    return kv;
}

void
platform_kv_free(struct platform_kv *kv)
{
    for (guint i = 0; i < kv->conditions->len; i++) {
        auto *at = (struct platform_condition *)kv->conditions->pdata[i];
        g_free(at->key);
        g_free(at);
    }
    for (guint i = 0; i < kv->writes->len; i++) {
        auto *at = (struct platform_write *)kv->writes->pdata[i];
        g_free(at->key);
        if (at->value != nullptr) {
            g_bytes_unref(at->value);
        }
        g_free(at);
    }
    g_ptr_array_free(kv->conditions, TRUE);
    g_ptr_array_free(kv->writes, TRUE);
    g_ptr_array_free(kv->entries, TRUE);
    if (kv->value != nullptr) {
        g_bytes_unref(kv->value);
    }
    g_free(kv->key);
    g_free(kv);
}

void
platform_kv_expect(struct platform_kv *kv, const char *key, int64_t revision)
{
    auto *at = g_new0(struct platform_condition, 1);
    at->key = g_strdup(key);
    at->revision = revision;
    g_ptr_array_add(kv->conditions, at);
}

void
platform_kv_write(struct platform_kv *kv, const char *key, GBytes *value,
                  int64_t lease)
{
    auto *at = g_new0(struct platform_write, 1);
    at->key = g_strdup(key);
    at->value = value;
    at->lease = lease;
    g_ptr_array_add(kv->writes, at);
}

void
platform_kv_send(struct platform *platform, struct platform_kv *kv,
                 struct base_task *from,
                 void (*answered)(struct platform_kv *, void *))
{
    static const struct base_call_ops OPS = {nullptr, kv_done, kv_drop};
    std::lock_guard<std::mutex> hold(fake->lock);

    kv->answered = answered;
    if (fake->is_down) {
        kv->status = PLATFORM_UNAVAILABLE;
        kv->verdict = BASE_NOT_RUN;
    }
    else {
        run(kv);
    }
    kv->call.ops = &OPS;
    kv->call.from = from;
    base_call_reply(&kv->call);
}

struct control_admission *
control_admission_new(const char *server, enum contracts_class class_)
{
    auto *ask = g_new0(struct control_admission, 1);
    g_strlcpy(ask->server, server, sizeof(ask->server));
    ask->class_ = class_;
    return ask;
}

void
control_admission_free(struct control_admission *ask)
{
    g_free(ask);
}

void
control_admission_send(struct control *control, struct control_admission *ask,
                       struct base_task *from,
                       void (*answered)(struct control_admission *, void *))
{
    static const struct base_call_ops OPS = {nullptr, ask_done, ask_drop};
    std::lock_guard<std::mutex> hold(fake->lock);

    ask->answered = answered;
    if (fake->on_ask) {
        fake->on_ask(ask->server);
    }
    fake->n_queued += ask->wait_ms > 0 ? 1 : 0;
    if (fake->n_busy > 0) {
        fake->n_busy--;
        ask->answer = CONTRACTS_BUSY;
        ask->load.window = 8;
        ask->call.ops = &OPS;
        ask->call.from = from;
        base_call_reply(&ask->call);
        return;
    }
    ask->answer = CONTRACTS_GRANTED;
    ask->contract = fake->next_contract++;
    fake->preempt = ask->preempt;
    fake->held[ask->contract] = *ask;
    ask->call.ops = &OPS;
    ask->call.from = from;
    base_call_reply(&ask->call);
}

void
control_shrink(struct control *control, uint64_t contract, int slots,
               const struct contracts_outcome *outcome)
{
    std::lock_guard<std::mutex> hold(fake->lock);
    EXPECT_EQ(fake->held.erase(contract), 1u) << "given back twice";
}
}

namespace {

/* ---- a site with one engine, and nodes ---- */

struct jobs_job *
decode(const char *id, const char *text, size_t size, struct base_error *err)
{
    /* The text is the ids of the items, with spaces between. */
    struct jobs_job *job = jobs_job_new(id);
    char *copy = g_strndup(text, size);
    char **ids = g_strsplit(copy, " ", -1);

    for (int i = 0; ids[i] != nullptr; i++) {
        struct jobs_item *item = jobs_job_add(job);
        g_strlcpy(item->id, ids[i], sizeof(item->id));
        item->path = g_strdup("/b/run");
        item->body = g_bytes_new(ids[i], strlen(ids[i]));
        item->tokens = 100;
    }
    job->text = g_bytes_new(text, size);
    g_strfreev(ids);
    g_free(copy);
    return job;
}

std::string
event(int number)
{
    return "id: " + std::to_string(number) + "\ndata: t" +
           std::to_string(number) + "\n\n";
}

std::string
chunk(const std::string &text)
{
    char size[16];
    g_snprintf(size, sizeof(size), "%zx\r\n", text.size());
    return size + text + "\r\n";
}

std::string
head(const std::string &request, const char *status = "200 OK")
{
    return std::string("HTTP/1.1 ") + status +
           "\r\nx-id: " + test_header(request, "x-id") +
           "\r\ncontent-type: text/event-stream\r\n"
           "transfer-encoding: chunked\r\n\r\n";
}

const int N_EVENTS = 4;

/* A well-behaved engine: four events, from the one after last-id on. */
void
serve(int fd, const std::string &request)
{
    int after = atoi(test_header(request, "last-id").c_str());
    std::string answer = head(request);
    for (int i = after + 1; i <= N_EVENTS; i++) {
        answer += chunk(event(i));
    }
    test_write(fd, answer + "0\r\n\r\n");
}

const char WHOLE[] = "t1\nt2\nt3\nt4";

class Site {
  public:
    struct fake store;
    struct test_server engine;
    struct world *world = nullptr;
    struct members_view *view = nullptr;
    struct base_counters counters;
    int64_t limit = 0;

    explicit Site(test_server::script script = serve, int64_t limit = 0)
        : engine(script), limit(limit)
    {
        fake = &store;
        base_counters_init(&counters);
        world = make_world({"e1"});
        make_view();
    }

    ~Site()
    {
        world_unref(world);
        members_view_unref(view);
        base_counters_finish(&counters);
    }

    struct world *
    make_world(const std::vector<std::string> &names)
    {
        struct world_site_split split = {(char *)"s", 1};
        struct world_site_route route = {};
        struct world_site_service service = {(char *)"s", 8, 0};
        struct world_site_zone place = {(char *)"z", (char *)"r"};
        std::vector<struct world_registration> servers(names.size());
        std::vector<const struct world_registration *> pointers;
        struct world_site site = {};

        route.name = (char *)"jobs";
        route.host = (char *)"h";
        route.prefix = (char *)"/b/";
        route.kind = WORLD_INGRESS_BATCH;
        route.splits = &split;
        route.n_splits = 1;
        route.max_attempts = 2;
        route.completion_ms = 10000;
        route.max_waiting_tokens = limit;
        for (size_t i = 0; i < names.size(); i++) {
            struct world_registration &server = servers[i];
            server = {};
            server.id = (char *)names[i].c_str();
            server.service = (char *)"s";
            server.host = (char *)"127.0.0.1";
            server.port = engine.port;
            server.zone = (char *)"z";
            server.slots = 8;
            pointers.push_back(&server);
        }
        site.number = 1;
        site.services = &service;
        site.n_services = 1;
        site.routes = &route;
        site.n_routes = 1;
        return world_from_site(&site, &place, 1, pointers.data(),
                               (int)pointers.size());
    }

    void
    make_view()
    {
        view = g_new0(struct members_view, 1);
        view->references = 1;
        view->n_nodes = 2;
        view->nodes = g_new0(struct members_node, 2);
        for (int i = 0; i < 2; i++) {
            g_snprintf(view->nodes[i].name, MEMBERS_NAME_SIZE, "n%d", i + 1);
            g_strlcpy(view->nodes[i].zone, "z", MEMBERS_NAME_SIZE);
            g_strlcpy(view->nodes[i].jobs_address, "127.0.0.1:1",
                      MEMBERS_ADDRESS_SIZE);
        }
    }
};

class Node {
  public:
    struct jobs *jobs;
    struct base_task task;
    struct jobs_request *answer = nullptr;

    Node(Site &site, const char *name)
    {
        static const struct base_task_ops OPS = {base_task_wake_fd, nullptr};
        struct base_error err = {};
        struct jobs_desc desc = {};
        desc.node = name;
        desc.zone = "z";
        desc.counters = &site.counters;
        desc.names = {"x-id", "x-server", "last-id", "x-refused", 421};
        desc.decode = decode;
        desc.lease_ms = 600;
        jobs = jobs_start(&desc, &err);
        EXPECT_NE(jobs, nullptr) << err.text;
        EXPECT_TRUE(base_task_init(&task, "test", &OPS, this, &err));
        jobs_update(jobs, site.world, site.view);
    }

    ~Node()
    {
        stop();
        if (answer != nullptr) {
            jobs_request_free(answer);
        }
        base_task_finish(&task);
    }

    void
    stop()
    {
        jobs_stop(jobs);
        jobs = nullptr;
    }

    static void
    on_answer(struct jobs_request *request, void *state)
    {
        ((Node *)state)->answer = request;
    }

    enum jobs_status
    call(struct jobs_request *request)
    {
        if (answer != nullptr) {
            jobs_request_free(answer);
        }
        answer = nullptr;
        jobs_request_send(jobs, request, &task, on_answer);
        while (answer == nullptr) {
            base_task_drain(&task);
            g_usleep(1000);
        }
        return answer->status;
    }

    /* A node takes jobs once it holds its lease. */
    enum jobs_status
    submit(const char *id, const std::string &items)
    {
        enum jobs_status status = JOBS_REFUSED;
        for (int i = 0; i < 200 && status == JOBS_REFUSED; i++) {
            struct jobs_request *request = jobs_request_new(JOBS_SUBMIT, id);
            request->job = decode(id, items.data(), items.size(), nullptr);
            request->job->host = g_strdup("h");
            request->job->path = g_strdup("/b/x");
            status = call(request);
            g_usleep(status == JOBS_REFUSED ? 10000 : 0);
        }
        return status;
    }

    std::vector<std::string>
    read(const char *id, int after = 0)
    {
        struct jobs_request *request = jobs_request_new(JOBS_RESULTS, id);
        std::vector<std::string> out;
        request->after = after;
        if (call(request) != JOBS_OK) {
            return out;
        }
        for (guint i = 0; i < answer->answer.results->len; i++) {
            auto *at = (struct jobs_result *)answer->answer.results->pdata[i];
            out.push_back(std::string(at->id) +
                          (at->is_completed ? "=" : "!") +
                          std::string(at->text, at->size));
        }
        return out;
    }

    /* Reads until so many results are there, or ten seconds passed. */
    std::vector<std::string>
    wait_for(const char *id, size_t n)
    {
        std::vector<std::string> out;
        for (int i = 0; i < 1000 && out.size() < n; i++) {
            out = read(id);
            g_usleep(10000);
        }
        return out;
    }
};

/* The lock is free while it sleeps, or the nodes would hardly get it. */
void
wait_for_record(const char *key)
{
    for (bool is_there = false; !is_there;) {
        g_usleep(1000);
        std::lock_guard<std::mutex> hold(fake->lock);
        is_there = fake->records.count(key) > 0;
    }
}

std::set<std::string>
as_set(const std::vector<std::string> &list)
{
    return std::set<std::string>(list.begin(), list.end());
}

TEST(Jobs, EachItemIsListedOnceWithItsWholeText)
{
    Site site;
    Node node(site, "n1");

    ASSERT_EQ(node.submit("j", "a b c"), JOBS_OK);
    auto results = node.wait_for("j", 3);
    EXPECT_EQ(as_set(results),
              (std::set<std::string>{std::string("a=") + WHOLE,
                                     std::string("b=") + WHOLE,
                                     std::string("c=") + WHOLE}));
    EXPECT_EQ(results.size(), 3u);
    EXPECT_EQ(node.read("j", 1),
              std::vector<std::string>(results.begin() + 1, results.end()));
    EXPECT_EQ(node.read("j", 3).size(), 0u);
    EXPECT_TRUE(site.store.held.empty());
}

TEST(Jobs, AJobThatComesAgainIsAcceptedOnce)
{
    Site site;
    Node one(site, "n1");
    Node two(site, "n2");

    ASSERT_EQ(one.submit("j", "a b"), JOBS_OK);
    EXPECT_EQ(one.submit("j", "a b"), JOBS_OK);
    EXPECT_EQ(two.submit("j", "a b"), JOBS_OK);
    EXPECT_EQ(one.wait_for("j", 2).size(), 2u);
    g_usleep(300000);
    EXPECT_EQ(two.read("j").size(), 2u);
}

TEST(Jobs, ACommitWhoseAnswerIsLostListsNothingTwice)
{
    Site site;
    Node node(site, "n1");

    site.store.lose_commits = 1;
    ASSERT_EQ(node.submit("j", "a b c d"), JOBS_OK);
    EXPECT_EQ(as_set(node.wait_for("j", 4)).size(), 4u);
    g_usleep(500000);
    EXPECT_EQ(node.read("j").size(), 4u);
}

TEST(Jobs, AnotherNodeTakesTheJobsOfOneThatIsGone)
{
    std::atomic<bool> is_stuck{true};
    Site site([&is_stuck](int fd, const std::string &request) {
        if (is_stuck) {
            test_write(fd, head(request) + chunk(event(1)));
            test_wait_for_close(fd);
            return;
        }
        serve(fd, request);
    });
    auto one = std::make_unique<Node>(site, "n1");
    Node two(site, "n2");

    ASSERT_EQ(one->submit("j", "a b"), JOBS_OK);
    one->stop(); /* its lease ends with nobody to renew it */
    {
        std::lock_guard<std::mutex> hold(site.store.lock);
        for (auto &[key, at] :
             std::map<std::string, stored>(site.store.records)) {
            if (key.rfind(JOBS_NODE_PREFIX "n1#", 0) == 0) {
                lapse(at.lease);
            }
        }
    }
    is_stuck = false;
    EXPECT_EQ(as_set(two.wait_for("j", 2)),
              (std::set<std::string>{std::string("a=") + WHOLE,
                                     std::string("b=") + WHOLE}));
}

TEST(Jobs, AKilledNodesItemsGoOnFromTheLastCheckpoint)
{
    std::atomic<bool> is_stuck{true};
    std::string resumed;
    Site site([&](int fd, const std::string &request) {
        if (is_stuck) {
            std::string text = head(request);
            for (int i = 1; i <= 80; i++) {
                text += chunk(event(i));
            }
            test_write(fd, text);
            test_wait_for_close(fd);
            return;
        }
        resumed = test_header(request, "last-id");
        test_write(fd, head(request) + chunk(event(81)) + "0\r\n\r\n");
    });
    auto one = std::make_unique<Node>(site, "n1");
    Node two(site, "n2");

    ASSERT_EQ(one->submit("j", "a"), JOBS_OK);
    wait_for_record(JOBS_RESULTS_PREFIX "j/partial");
    one->stop();
    {
        std::lock_guard<std::mutex> hold(site.store.lock);
        for (auto &[key, at] :
             std::map<std::string, stored>(site.store.records)) {
            if (key.rfind(JOBS_NODE_PREFIX "n1#", 0) == 0) {
                lapse(at.lease);
            }
        }
    }
    is_stuck = false;
    EXPECT_EQ(two.wait_for("j", 1).size(), 1u);
    EXPECT_EQ(resumed, "80");
}

/* The store still lists the runner of a process that was killed. */
TEST(Jobs, ARestartedNodeTakesItsJobsBeforeTheOldLeaseEnds)
{
    std::atomic<bool> is_stuck{true};
    std::atomic<int> n_runs{0};
    Site site([&](int fd, const std::string &request) {
        if (is_stuck) {
            test_write(fd, head(request) + chunk(event(1)));
            test_wait_for_close(fd);
            return;
        }
        n_runs++;
        serve(fd, request);
    });
    auto one = std::make_unique<Node>(site, "n1");
    Node two(site, "n2");

    for (int i = 0; i < 8; i++) {
        ASSERT_EQ(one->submit(("j" + std::to_string(i)).c_str(), "a"),
                  JOBS_OK);
    }
    one->stop();
    is_stuck = false;
    one = std::make_unique<Node>(site, "n1");
    for (int i = 0; i < 8; i++) {
        std::string id = "j" + std::to_string(i);
        EXPECT_EQ(two.wait_for(id.c_str(), 1).size(), 1u) << id;
    }
    EXPECT_EQ(n_runs, 8);
}

TEST(Jobs, ANodeThatLostItsJobListsNothingAnyMore)
{
    std::atomic<bool> is_held{true};
    Site site([&is_held](int fd, const std::string &request) {
        while (is_held) {
            g_usleep(1000);
        }
        serve(fd, request);
    });
    Node node(site, "n1");

    ASSERT_EQ(node.submit("j", "a"), JOBS_OK);
    {
        /* Another runner has it, in a new epoch. */
        std::lock_guard<std::mutex> hold(site.store.lock);
        struct jobs_head head;
        struct base_error err = {};
        stored &at = site.store.records[JOBS_HEAD_PREFIX "j"];
        GBytes *bytes = g_bytes_new(at.value.data(), at.value.size());
        ASSERT_TRUE(jobs_head_decode("j", bytes, &head, &err));
        g_bytes_unref(bytes);
        head.epoch++;
        g_strlcpy(head.runner, "n9#1", sizeof(head.runner));
        bytes = jobs_head_encode(&head);
        at.value = text_of(bytes);
        at.revision = ++site.store.revision;
        /* which lives, so that this node does not take it back */
        site.store.records[JOBS_NODE_PREFIX "n9#1"] = {"z", at.revision, 0};
        g_bytes_unref(bytes);
        jobs_head_finish(&head);
    }
    is_held = false;
    g_usleep(800000);
    EXPECT_EQ(node.read("j").size(), 0u);
}

TEST(Jobs, AJobThatIsEndedStopsAndKeepsWhatIsListed)
{
    std::atomic<int> n_runs{0};
    Site site([&n_runs](int fd, const std::string &request) {
        n_runs++;
        test_write(fd, head(request) + chunk(event(1)));
        test_wait_for_close(fd);
    });
    Node one(site, "n1");
    Node two(site, "n2");

    ASSERT_EQ(one.submit("j", "a"), JOBS_OK);
    while (n_runs == 0) {
        g_usleep(1000);
    }
    EXPECT_EQ(two.call(jobs_request_new(JOBS_END, "j")), JOBS_OK);
    EXPECT_EQ(two.call(jobs_request_new(JOBS_END, "j")), JOBS_OK);
    EXPECT_EQ(one.call(jobs_request_new(JOBS_END, "j")), JOBS_OK);
    int before = n_runs;
    g_usleep(500000);
    EXPECT_EQ(n_runs, before);
    EXPECT_EQ(one.call(jobs_request_new(JOBS_END, "none")), JOBS_NOT_FOUND);
}

TEST(Jobs, ItemsThatFailByCases)
{
    struct {
        const char *name;
        const char *status;
        const char *headers;
        int n_failures; /* answers like this before a good one */
        const char *want;
    } cases[] = {
        {"can never be done", "422 No", "", 99, "a!"},
        {"fails at each run", "500 No", "", 99, "a!"},
        {"fails once", "500 No", "", 1, "a=t1\nt2\nt3\nt4"},
        {"refused without having run", "503 No", "x-refused: 1\r\n", 4,
         "a=t1\nt2\nt3\nt4"},
        {"another server has the address", "421 No", "", 2,
         "a=t1\nt2\nt3\nt4"},
    };

    for (const auto &row : cases) {
        SCOPED_TRACE(row.name);
        std::atomic<int> n_left{row.n_failures};
        std::string answer = std::string("HTTP/1.1 ") + row.status + "\r\n" +
                             row.headers + "content-length: 0\r\n\r\n";
        Site site([&](int fd, const std::string &request) {
            if (n_left-- > 0) {
                test_write(fd, answer);
                return;
            }
            serve(fd, request);
        });
        Node node(site, "n1");
        ASSERT_EQ(node.submit("j", "a"), JOBS_OK);
        EXPECT_EQ(node.wait_for("j", 1), std::vector<std::string>{row.want});
    }
}

TEST(Jobs, ABrokenStreamGoesOnAfterItsLastWholeEvent)
{
    std::atomic<int> n_runs{0};
    std::string resumed;
    Site site([&](int fd, const std::string &request) {
        if (n_runs++ == 0) {
            test_write(fd, head(request) + chunk(event(1)) +
                               chunk(event(2) + "id: 3\nda"));
            return;
        }
        resumed = test_header(request, "last-id");
        serve(fd, request);
    });
    Node node(site, "n1");

    ASSERT_EQ(node.submit("j", "a"), JOBS_OK);
    EXPECT_EQ(node.wait_for("j", 1),
              std::vector<std::string>{std::string("a=") + WHOLE});
    EXPECT_EQ(resumed, "2");
}

TEST(Jobs, AYieldedItemGivesItsSlotBackAndGoesOn)
{
    std::atomic<int> n_runs{0};
    Site site([&](int fd, const std::string &request) {
        if (n_runs++ == 0) {
            test_write(fd, head(request) + chunk(event(1)));
            test_wait_for_close(fd);
            return;
        }
        serve(fd, request);
    });
    Node node(site, "n1");

    ASSERT_EQ(node.submit("j", "a"), JOBS_OK);
    while (n_runs == 0) {
        g_usleep(1000);
    }
    g_usleep(50000);
    struct preempt_call {
        struct base_call call;
    };
    {
        std::lock_guard<std::mutex> hold(site.store.lock);
        ASSERT_EQ(site.store.held.size(), 1u);
    }
    /* On the jobs task, as a keeper's wish arrives. */
    static const struct base_call_ops OPS = {
        [](struct base_call *call, void *state) {
            uint64_t contract = fake->held.begin()->first;
            fake->preempt(state, contract, 1);
            base_call_reply(call);
        },
        nullptr, [](struct base_call *call) { g_free(call); }};
    struct base_call *call = g_new0(struct base_call, 1);
    base_call_send(call, &OPS, (struct base_task *)node.jobs, nullptr);
    EXPECT_EQ(node.wait_for("j", 1),
              std::vector<std::string>{std::string("a=") + WHOLE});
    EXPECT_EQ(n_runs, 2);
}

TEST(Jobs, TooManyWaitingTokensAreRefusedAndNothingRuns)
{
    std::atomic<bool> is_held{true};
    Site site(
        [&is_held](int fd, const std::string &request) {
            while (is_held) {
                g_usleep(1000);
            }
            serve(fd, request);
        },
        250);
    Node node(site, "n1");

    ASSERT_EQ(node.submit("j", "a b"), JOBS_OK);
    EXPECT_EQ(node.submit("k", "c"), JOBS_FULL);
    EXPECT_EQ(site.store.records.count(JOBS_HEAD_PREFIX "k"), 0u);
    is_held = false;
    EXPECT_EQ(node.wait_for("j", 2).size(), 2u);
    EXPECT_EQ(node.submit("k", "c"), JOBS_OK);
    EXPECT_EQ(node.wait_for("k", 1).size(), 1u);
}

TEST(Jobs, APlannedStopGivesJobsAwayWithWhatHadArrived)
{
    std::atomic<int> n_runs{0};
    std::string resumed;
    Site site([&](int fd, const std::string &request) {
        if (n_runs++ == 0) {
            test_write(fd, head(request) + chunk(event(1) + event(2)));
            test_wait_for_close(fd);
            return;
        }
        resumed = test_header(request, "last-id");
        serve(fd, request);
    });
    Node one(site, "n1");
    Node two(site, "n2");

    ASSERT_EQ(one.submit("j", "a"), JOBS_OK);
    while (n_runs == 0) {
        g_usleep(1000);
    }
    g_usleep(100000);
    jobs_drain(one.jobs);
    EXPECT_EQ(two.wait_for("j", 1),
              std::vector<std::string>{std::string("a=") + WHOLE});
    EXPECT_EQ(resumed, "2");
    EXPECT_TRUE(jobs_is_idle(one.jobs));
}

/* What an item was asked for in one world means nothing in the next. */
TEST(Jobs, AServerThatLeavesWhileAnItemAsksIsNotAskedAgain)
{
    Site site;
    struct world *all = site.make_world({"e1", "e2", "e3"});
    std::set<std::string> unknown;
    std::set<std::string> gone;
    std::vector<std::string> asked;
    Node node(site, "n1");

    site.store.on_ask = [&](const std::string &server) {
        asked.push_back(server);
        if (server.size() != 2 || server[0] != 'e') {
            unknown.insert(server);
        }
        if (asked.size() == 2) {
            struct world *rest = site.make_world({server});
            jobs_update(node.jobs, rest, site.view);
            world_unref(rest);
        }
        if (asked.size() > 2 && server != asked[1]) {
            gone.insert(server);
        }
    };
    for (int i = 0; i < 20; i++) {
        std::string id = "j" + std::to_string(i);
        jobs_update(node.jobs, all, site.view);
        {
            std::lock_guard<std::mutex> hold(site.store.lock);
            asked.clear();
            site.store.n_busy = 2;
        }
        ASSERT_EQ(node.submit(id.c_str(), "a"), JOBS_OK);
        EXPECT_EQ(node.wait_for(id.c_str(), 1).size(), 1u);
    }
    EXPECT_TRUE(unknown.empty());
    EXPECT_TRUE(gone.empty());
    world_unref(all);
}

/* Under load few servers have a free slot: several are asked before the item
 * waits at one. */
TEST(Jobs, AnItemFindsTheOneFreeServerOfFourWithoutQueueing)
{
    Site site;
    struct world *four = site.make_world({"e1", "e2", "e3", "e4"});
    std::set<std::string> asked;
    Node node(site, "n1");

    site.store.on_ask = [&](const std::string &server) {
        asked.insert(server);
    };
    jobs_update(node.jobs, four, site.view);
    {
        std::lock_guard<std::mutex> hold(site.store.lock);
        site.store.n_busy = 3;
    }
    ASSERT_EQ(node.submit("j", "a"), JOBS_OK);
    EXPECT_EQ(node.wait_for("j", 1).size(), 1u);
    EXPECT_EQ(asked.size(), 4u);
    EXPECT_EQ(site.store.n_queued, 0);
    world_unref(four);
}

TEST(Jobs, ResultsAreRecordedWhileOtherItemsRun)
{
    std::atomic<bool> is_over{false};
    std::atomic<int> n_runs{0};
    Site site([&](int fd, const std::string &request) {
        if (test_header(request, "x-id") == "a") {
            n_runs++;
            while (!is_over) {
                test_write(fd, "");
                g_usleep(1000);
            }
            return;
        }
        serve(fd, request);
    });
    Node node(site, "n1");
    bool is_recorded = false;

    ASSERT_EQ(node.submit("j", "a b"), JOBS_OK);
    for (int i = 0; i < 200 && !is_recorded; i++) {
        g_usleep(10000);
        std::lock_guard<std::mutex> hold(site.store.lock);
        auto at = site.store.records.lower_bound(JOBS_RESULTS_PREFIX "j/");
        is_recorded = at != site.store.records.end() &&
                      at->first.rfind(JOBS_RESULTS_PREFIX "j/", 0) == 0;
    }
    EXPECT_TRUE(is_recorded);
    EXPECT_EQ(n_runs, 1); /* it was running all the time */
    is_over = true;
}

TEST(Jobs, TheNextRunnerKnowsHowOftenAnItemFailed)
{
    std::atomic<int> n_runs{0};
    Site site([&](int fd, const std::string &request) {
        n_runs++;
        test_write(fd, "HTTP/1.1 500 Failed\r\nx-id: " +
                           test_header(request, "x-id") +
                           "\r\ncontent-length: 0\r\n\r\n");
    });
    Node one(site, "n1");
    Node two(site, "n2");

    ASSERT_EQ(one.submit("j", "a"), JOBS_OK);
    wait_for_record(JOBS_RESULTS_PREFIX "j/partial");
    jobs_drain(one.jobs);
    EXPECT_EQ(two.wait_for("j", 1), std::vector<std::string>{"a!"});
    EXPECT_EQ(n_runs, 2);
}

/* Whichever runner the hash prefers, one that stops takes nothing again. */
TEST(Jobs, AStoppingRunnerIsNotChosenForTheJobsItGaveAway)
{
    const int n_jobs = 8;
    std::atomic<bool> is_held{true};
    std::atomic<int> n_runs{0};
    Site site([&](int fd, const std::string &request) {
        if (is_held) {
            n_runs++;
            test_wait_for_close(fd);
            return;
        }
        serve(fd, request);
    });
    Node one(site, "n1");
    Node two(site, "n2");

    for (int i = 0; i < n_jobs; i++) {
        ASSERT_EQ(one.submit(("j" + std::to_string(i)).c_str(), "a"), JOBS_OK);
    }
    while (n_runs < n_jobs) {
        g_usleep(1000);
    }
    is_held = false;
    jobs_drain(one.jobs);
    for (int i = 0; i < n_jobs; i++) {
        std::string id = "j" + std::to_string(i);
        EXPECT_EQ(two.wait_for(id.c_str(), 1).size(), 1u) << id;
    }
}

/* Puts a job of another runner into the store, like the job `from`. */
void
put_job_of(const char *runner, const char *state, const char *from,
           const char *id)
{
    std::lock_guard<std::mutex> hold(fake->lock);
    struct jobs_head head;
    struct base_error err = {};
    stored known = fake->records[std::string(JOBS_HEAD_PREFIX) + from];
    GBytes *value = g_bytes_new(known.value.data(), known.value.size());

    ASSERT_TRUE(jobs_head_decode(id, value, &head, &err)) << err.text;
    g_bytes_unref(value);
    g_strlcpy(head.runner, runner, sizeof(head.runner));
    g_array_set_size(head.listed, 0);
    value = jobs_head_encode(&head);
    jobs_head_finish(&head);
    fake->records[std::string(JOBS_HEAD_PREFIX) + id] = {text_of(value),
                                                         ++fake->revision, 0};
    g_bytes_unref(value);
    fake->records[std::string(JOBS_NODE_PREFIX) + runner] = {
        state, ++fake->revision, 7};
    fake->n_looks = 0;
}

/* The node that takes the job of a runner that is going looks again before
 * its usual time: more often than where the runner stays. */
TEST(Jobs, TheNextRunnerLooksAgainWhileAnotherIsGoing)
{
    const int n_looks = 6;
    struct {
        const char *name;
        const char *state;
        enum members_state members;
    } cases[] = {
        {"it is leaving", JOBS_RUNNER_LEAVING, MEMBERS_ALIVE},
        {"its node is lost", JOBS_RUNNER_READY, MEMBERS_DEAD},
    };
    int64_t passed_ms = 0;

    for (const auto &row : cases) {
        Site site;
        site.view->nodes[1].state = row.members;
        Node node(site, "n1");
        ASSERT_EQ(node.submit("k", "a"), JOBS_OK);
        ASSERT_EQ(node.wait_for("k", 1).size(), 1u);
        put_job_of("n2#7", row.state, "k", "j");
        int64_t from_ms = base_clock_ms();
        for (int i = 0; i < 1500 && site.store.n_looks < n_looks; i++) {
            g_usleep(10000);
        }
        EXPECT_GE(site.store.n_looks, n_looks) << row.name;
        passed_ms = MAX(passed_ms, base_clock_ms() - from_ms);
    }
    Site site;
    Node node(site, "n1");
    ASSERT_EQ(node.submit("k", "a"), JOBS_OK);
    ASSERT_EQ(node.wait_for("k", 1).size(), 1u);
    put_job_of("n2#7", JOBS_RUNNER_READY, "k", "j");
    g_usleep((gulong)passed_ms * 1000);
    EXPECT_LT(2 * site.store.n_looks, n_looks) << "it stays";
}

TEST(Jobs, WithoutTheStoreNothingIsAcceptedAndNothingIsDenied)
{
    Site site;
    Node node(site, "n1");

    ASSERT_EQ(node.submit("j", "a"), JOBS_OK);
    ASSERT_EQ(node.wait_for("j", 1).size(), 1u);
    site.store.is_down = true;
    g_usleep(900000); /* the lease is over */
    struct jobs_request *request = jobs_request_new(JOBS_SUBMIT, "k");
    request->job = decode("k", "b", 1, nullptr);
    request->job->host = g_strdup("h");
    request->job->path = g_strdup("/b/x");
    EXPECT_EQ(node.call(request), JOBS_REFUSED);
    EXPECT_EQ(node.call(jobs_request_new(JOBS_RESULTS, "j")), JOBS_REFUSED);
}

TEST(Jobs, AnItemsInputComesBackAsItWas)
{
    Site site;
    Node one(site, "n1");
    Node two(site, "n2");

    ASSERT_EQ(one.submit("j", "a b"), JOBS_OK);
    for (Node *node : {&one, &two}) {
        struct jobs_request *request = jobs_request_new(JOBS_INPUT, "j");
        g_strlcpy(request->item, "b", sizeof(request->item));
        ASSERT_EQ(node->call(request), JOBS_OK);
        EXPECT_EQ(text_of(node->answer->body), "b");
        request = jobs_request_new(JOBS_INPUT, "j");
        g_strlcpy(request->item, "z", sizeof(request->item));
        EXPECT_EQ(node->call(request), JOBS_NOT_FOUND);
    }
}

} // namespace
