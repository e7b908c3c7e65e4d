#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "members/members.h"

namespace {

enum { TICK_MS = 200, SETTLE_MS = 45000 };

/* Simulates a fleet of nodes in one thread, with time and faults from a
 * seed. */
class Fleet {
  public:
    struct Host {
        std::string name;
        struct members *members = nullptr;
        bool is_running = false;
        bool is_paused = false;
        std::vector<struct members_message *> backlog;
        int64_t n_sent = 0;
        size_t max_updates = 0;
        int n_pauses_seen = 0;
    };
    struct Event {
        int64_t at;
        uint64_t order;
        int to;                          /* index of the host */
        struct members_message *message; /* nullptr: members_tick */
        bool
        operator<(const Event &other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    std::vector<Host> hosts;
    int64_t now = 1000000;
    double loss = 0;
    /* Returns whether messages from one host reach another. */
    std::function<bool(int, int)> link = [](int, int) { return true; };

    Fleet(int n_hosts, uint64_t seed)
        : random_(g_rand_new_with_seed((guint32)seed))
    {
        hosts.resize((size_t)n_hosts);
        for (int i = 0; i < n_hosts; i++) {
            hosts[(size_t)i].name = "n" + std::to_string(i);
            start(i);
        }
    }
    ~Fleet()
    {
        while (!events_.empty()) {
            members_message_free(events_.top().message);
            events_.pop();
        }
        for (Host &host : hosts) {
            kill(host);
        }
        g_rand_free(random_);
    }

    int
    pick(int below)
    {
        return below < 2 ? 0 : g_rand_int_range(random_, 0, below);
    }

    void
    start(int index)
    {
        Host &host = hosts[(size_t)index];
        kill(host);
        struct members_desc desc = {};
        const char *seeds[] = {"n0", "n1"};
        g_strlcpy(desc.self.name, host.name.c_str(), sizeof(desc.self.name));
        g_strlcpy(desc.self.control_address, host.name.c_str(),
                  sizeof(desc.self.control_address));
        g_strlcpy(desc.self.zone, index % 2 ? "a" : "b",
                  sizeof(desc.self.zone));
        desc.self.incarnation = (uint64_t)now;
        desc.seeds = seeds;
        desc.n_seeds = 2;
        desc.seed = g_rand_int(random_);
        desc.now_ms = now;
        host.members = members_new(&desc);
        host.is_running = true;
        push(now + pick(TICK_MS), index, nullptr);
    }

    void
    kill(Host &host)
    {
        members_free(host.members);
        host.members = nullptr;
        host.is_running = false;
        host.is_paused = false;
        for (struct members_message *message : host.backlog) {
            members_message_free(message);
        }
        host.backlog.clear();
        host.n_sent = 0;
    }

    void
    leave(int index)
    {
        Host &host = hosts[(size_t)index];
        GArray *out = actions();
        members_leave(host.members, true, now, out);
        execute(index, out);
        kill(host);
    }

    void
    resume(int index)
    {
        Host &host = hosts[(size_t)index];
        host.is_paused = false;
        std::vector<struct members_message *> backlog;
        backlog.swap(host.backlog);
        /* A resumed process may read its socket before its clock. */
        bool is_socket_first = pick(2) == 0;
        if (!is_socket_first) {
            tick(index);
        }
        for (struct members_message *message : backlog) {
            receive(index, message);
        }
        if (is_socket_first) {
            tick(index);
        }
        push(now + TICK_MS, index, nullptr);
    }

    void
    run(int64_t for_ms)
    {
        int64_t until = now + for_ms;
        while (!events_.empty() && events_.top().at <= until) {
            Event event = events_.top();
            events_.pop();
            now = event.at;
            deliver(event);
        }
        now = until;
    }

    std::set<std::string>
    live_in_view(int index)
    {
        std::set<std::string> names;
        struct members_view *view =
            members_snapshot(hosts[(size_t)index].members);
        for (int i = 0; i < view->n_nodes; i++) {
            if (members_accepts_work(&view->nodes[i])) {
                names.insert(view->nodes[i].name);
            }
        }
        members_view_unref(view);
        return names;
    }

    std::set<std::string>
    running()
    {
        std::set<std::string> names;
        for (Host &host : hosts) {
            if (host.is_running) {
                names.insert(host.name);
            }
        }
        return names;
    }

    /* Returns whether every running host's view has exactly the running
     * hosts. */
    ::testing::AssertionResult
    converged()
    {
        std::set<std::string> truth = running();
        for (size_t i = 0; i < hosts.size(); i++) {
            if (!hosts[i].is_running) {
                continue;
            }
            std::set<std::string> seen = live_in_view((int)i);
            if (seen != truth) {
                return ::testing::AssertionFailure()
                       << hosts[i].name << " sees " << seen.size() << " of "
                       << truth.size();
            }
        }
        return ::testing::AssertionSuccess();
    }

  private:
    GRand *random_;
    std::priority_queue<Event> events_;
    uint64_t order_ = 0;

    static GArray *
    actions()
    {
        return g_array_new(FALSE, TRUE, sizeof(struct members_action));
    }

    void
    push(int64_t at, int to, struct members_message *message)
    {
        events_.push({at, order_++, to, message});
    }

    void
    deliver(const Event &event)
    {
        Host &host = hosts[(size_t)event.to];
        if (event.message == nullptr) {
            if (host.is_running && !host.is_paused) {
                tick(event.to);
                push(now + TICK_MS, event.to, nullptr);
            }
            return;
        }
        if (!host.is_running) {
            members_message_free(event.message);
        }
        else if (host.is_paused) {
            host.backlog.push_back(event.message);
        }
        else {
            receive(event.to, event.message);
        }
    }

    void
    tick(int index)
    {
        GArray *out = actions();
        members_tick(hosts[(size_t)index].members, now, out);
        execute(index, out);
    }

    void
    receive(int index, struct members_message *message)
    {
        GArray *out = actions();
        members_receive(hosts[(size_t)index].members, message, now, out);
        members_message_free(message);
        execute(index, out);
    }

    void
    execute(int from, GArray *out)
    {
        Host &host = hosts[(size_t)from];
        for (guint i = 0; i < out->len; i++) {
            struct members_action *action =
                &g_array_index(out, struct members_action, i);
            if (action->kind == MEMBERS_PAUSED) {
                host.n_pauses_seen++;
                continue;
            }
            int to = atoi(action->address + 1);
            host.n_sent++;
            if (action->message->kind != MEMBERS_STATE) {
                host.max_updates = std::max(
                    host.max_updates, (size_t)action->message->updates->len);
            }
            if (!link(from, to) || g_rand_double(random_) < loss) {
                members_message_free(action->message);
                continue;
            }
            push(now + 1 + pick(20), to, action->message);
        }
        g_array_free(out, TRUE);
    }
};

/* Injects n_faults random faults, one after another. */
void
inject_faults(Fleet &fleet, int n_faults)
{
    int n_hosts = (int)fleet.hosts.size();
    for (int i = 0; i < n_faults; i++) {
        int index = fleet.pick(n_hosts);
        Fleet::Host &host = fleet.hosts[(size_t)index];
        int64_t for_ms = 500 + fleet.pick(20000);
        switch (fleet.pick(6)) {
        case 0: /* a pause */
            if (host.is_running) {
                host.is_paused = true;
                fleet.run(for_ms);
                fleet.resume(index);
            }
            break;
        case 1: { /* a partition */
            int cut = 1 + fleet.pick(n_hosts);
            fleet.link = [cut](int a, int b) {
                return (a < cut) == (b < cut);
            };
            fleet.run(for_ms);
            break;
        }
        case 2: { /* one direction of a link fails */
            int other = fleet.pick(n_hosts);
            fleet.link = [index, other](int a, int b) {
                return a != index || b != other;
            };
            fleet.run(for_ms);
            break;
        }
        case 3: /* message loss */
            fleet.loss = 0.05 + 0.05 * fleet.pick(6);
            fleet.run(for_ms);
            break;
        case 4: /* a crash, in half the cases with a restart */
            fleet.kill(host);
            fleet.run(for_ms);
            if (fleet.pick(2) == 0) {
                fleet.start(index);
            }
            break;
        default: /* a host that sends but receives nothing */
            fleet.link = [index](int, int b) { return b != index; };
            fleet.run(for_ms);
            break;
        }
        fleet.loss = 0;
        fleet.link = [](int, int) { return true; };
        if (fleet.pick(2) == 0) {
            fleet.run(fleet.pick(5000));
        }
    }
}

void
check_convergence(uint64_t seed)
{
    Fleet fleet(3 + (int)(seed % 9), seed);
    fleet.run(5000);
    inject_faults(fleet, 1 + (int)(seed % 4));
    /* Without a live seed, nodes restarted one by one cannot find each
     * other. */
    if (!fleet.hosts[0].is_running) {
        fleet.start(0);
    }
    fleet.run(SETTLE_MS);
    ASSERT_TRUE(fleet.converged()) << "seed " << seed;
    for (const Fleet::Host &host : fleet.hosts) {
        ASSERT_LE(host.max_updates, 9u) << "seed " << seed;
    }
}

/* After any sequence of faults every view has exactly the running hosts, and
 * no message has more updates than the limit allows. */
TEST(MembersFleet, ConvergesAfterRandomFaults)
{
    for (uint64_t seed = 1; seed <= 2000; seed++) {
        check_convergence(seed);
        ASSERT_FALSE(HasFatalFailure());
    }
}

/* With these seeds one side of a partition misses a node's refutation and
 * goes on to report the node dead, unless the node sends it again. */
TEST(MembersFleet, ConvergesAfterMissedRefutation)
{
    for (uint64_t seed : {18u, 5798u}) {
        check_convergence(seed);
    }
}

/* Without faults no view changes, and the messages per node do not grow with
 * the fleet. */
TEST(MembersFleet, QuietFleetHasNoSuspectsAtFixedCost)
{
    for (int n_hosts : {2, 4, 8, 16, 32, 64}) {
        Fleet fleet(n_hosts, 7);
        fleet.run(30000);
        ASSERT_TRUE(fleet.converged()) << n_hosts;
        std::vector<uint64_t> versions;
        for (Fleet::Host &host : fleet.hosts) {
            versions.push_back(members_version(host.members));
            host.n_sent = 0;
        }
        fleet.run(60000);
        for (size_t i = 0; i < fleet.hosts.size(); i++) {
            EXPECT_EQ(members_version(fleet.hosts[i].members), versions[i])
                << n_hosts;
            /* A host sends about one probe and one answer per second, plus the
             * messages of the full-state pulls. */
            EXPECT_LE(fleet.hosts[i].n_sent, 60 * 3) << n_hosts;
        }
    }
}

/* A process that was paused notices it and declares no other node dead.  Its
 * timers for all open probes and suspects have expired when it resumes. */
TEST(MembersFleet, PausedNodeDeclaresNobodyDead)
{
    for (uint64_t seed = 1; seed <= 200; seed++) {
        Fleet fleet(8, seed);
        fleet.run(10000);
        fleet.hosts[3].is_paused = true;
        fleet.run(2000 + fleet.pick(60000));
        fleet.resume(3);
        EXPECT_EQ(fleet.hosts[3].n_pauses_seen, 1) << "seed " << seed;
        for (int i = 0; i < 40; i++) {
            ASSERT_EQ(fleet.live_in_view(3).size(), 8u) << "seed " << seed;
            fleet.run(250);
        }
        fleet.run(SETTLE_MS);
        ASSERT_TRUE(fleet.converged()) << "seed " << seed;
    }
}

/* After a partition between regions ends, the sides find each other, and
 * neither loses its own nodes over the outdated state of the other. */
TEST(MembersFleet, PartitionHealsWithoutMassSuspicion)
{
    for (int n_hosts : {8, 48}) {
        Fleet fleet(n_hosts, 11);
        fleet.run(40000);
        ASSERT_TRUE(fleet.converged());
        fleet.link = [n_hosts](int a, int b) {
            return (a < n_hosts / 2) == (b < n_hosts / 2);
        };
        fleet.run(120000);
        EXPECT_EQ(fleet.live_in_view(0).size(), (size_t)n_hosts / 2);
        fleet.link = [](int, int) { return true; };
        for (int i = 0; i < 60; i++) {
            fleet.run(1000);
            ASSERT_GE(fleet.live_in_view(0).size(), (size_t)n_hosts / 2);
        }
        ASSERT_TRUE(fleet.converged());
    }
}

/* After nodes leave and restart in turn, all views agree.  The records of
 * nodes that left or died are removed after forget_left_ms or forget_dead_ms.
 */
TEST(MembersFleet, RollingReplacementLeavesNoRecords)
{
    Fleet fleet(12, 3);
    fleet.run(20000);
    for (int round = 0; round < 3; round++) {
        for (int i = 2; i < 12; i++) {
            fleet.leave(i);
            fleet.run(4000);
            fleet.hosts[(size_t)i].name = "n" + std::to_string(i);
            fleet.start(i);
            fleet.run(4000);
        }
    }
    fleet.run(SETTLE_MS);
    ASSERT_TRUE(fleet.converged());
    /* Two nodes leave for good (removed after 10 min), one dies (2 h). */
    fleet.leave(11);
    fleet.leave(10);
    fleet.kill(fleet.hosts[9]);
    fleet.run(11 * 60 * 1000);
    struct members_view *view = members_snapshot(fleet.hosts[0].members);
    EXPECT_EQ(view->n_nodes, 10);
    members_view_unref(view);
    fleet.run(2 * 3600 * 1000);
    view = members_snapshot(fleet.hosts[0].members);
    EXPECT_EQ(view->n_nodes, 9);
    members_view_unref(view);
    ASSERT_TRUE(fleet.converged());
}

/* Nodes that all crash and restart find each other again by the seeds. */
TEST(MembersFleet, AllRestartAtOnce)
{
    for (uint64_t seed = 1; seed <= 50; seed++) {
        Fleet fleet(10, seed);
        fleet.run(10000);
        for (int i = 0; i < 10; i++) {
            fleet.kill(fleet.hosts[(size_t)i]);
        }
        fleet.run(1000);
        for (int i = 0; i < 10; i++) {
            fleet.start(i);
            fleet.run(fleet.pick(300));
        }
        fleet.run(20000);
        ASSERT_TRUE(fleet.converged()) << "seed " << seed;
    }
}

/* A fleet of 390 nodes notices 17 deaths, and then 17 joins, within 40 s
 * each. */
TEST(MembersFleet, LargeFleetNoticesDeathsAndJoins)
{
    Fleet fleet(390, 5);
    fleet.run(60000);
    ASSERT_TRUE(fleet.converged());
    for (int i = 100; i < 117; i++) {
        fleet.kill(fleet.hosts[(size_t)i]);
    }
    fleet.run(40000);
    ASSERT_TRUE(fleet.converged());
    for (int i = 100; i < 117; i++) {
        fleet.start(i);
    }
    fleet.run(40000);
    ASSERT_TRUE(fleet.converged());
}

TEST(MembersView, LeavingNodesAcceptNoWork)
{
    struct {
        enum members_state state;
        bool accepts_work;
    } cases[] = {
        {MEMBERS_ALIVE, true},    {MEMBERS_SUSPECT, true},
        {MEMBERS_LEAVING, false}, {MEMBERS_LEFT, false},
        {MEMBERS_DEAD, false},
    };
    for (const auto &row : cases) {
        struct members_node node = {};
        node.state = row.state;
        EXPECT_EQ(members_accepts_work(&node), row.accepts_work) << row.state;
    }
}

} // namespace
