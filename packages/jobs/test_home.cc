#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "jobs/home.h"
#include "jobs/runner_state.h"
#include "world/site.h"

namespace {

struct node {
    std::string name;
    std::string zone;
    int cpu_milli;
    enum members_state state;
    bool runs_jobs;
};

struct members_view *
make_view(const std::vector<node> &nodes)
{
    struct members_view *view = g_new0(struct members_view, 1);

    view->references = 1;
    view->n_nodes = (int)nodes.size();
    view->nodes = g_new0(struct members_node, nodes.size() + 1);
    for (size_t i = 0; i < nodes.size(); i++) {
        struct members_node &out = view->nodes[i];
        g_strlcpy(out.name, nodes[i].name.c_str(), sizeof(out.name));
        g_strlcpy(out.zone, nodes[i].zone.c_str(), sizeof(out.zone));
        g_strlcpy(out.jobs_address, nodes[i].runs_jobs ? "127.0.0.1:1" : "",
                  sizeof(out.jobs_address));
        out.cpu_milli = nodes[i].cpu_milli;
        out.state = nodes[i].state;
    }
    return view;
}

/* Two regions: zones a1 and a2 in a, b1 in b. */
struct world *
make_world()
{
    struct world_site_zone zones[] = {{(char *)"a1", (char *)"a"},
                                      {(char *)"a2", (char *)"a"},
                                      {(char *)"b1", (char *)"b"}};
    struct world_site site = {};

    site.number = 1;
    return world_from_site(&site, zones, 3, nullptr, 0);
}

std::set<std::string>
homes_of(const std::vector<node> &nodes, const char *zone)
{
    struct world *world = make_world();
    struct members_view *view = make_view(nodes);
    struct jobs_homes homes;
    std::set<std::string> names;

    jobs_homes_init(&homes, world, view, jobs_region_of(world, zone));
    for (int i = 0; i < homes.n; i++) {
        names.insert(view->nodes[homes.nodes[i]].name);
    }
    jobs_homes_finish(&homes);
    members_view_unref(view);
    world_unref(world);
    return names;
}

TEST(Home, StrongLiveNodesOfTheRegionRunItsJobs)
{
    struct {
        const char *name;
        std::vector<node> nodes;
        std::set<std::string> want;
    } cases[] = {
        {"those of the region",
         {{"n1", "a1", 250, MEMBERS_ALIVE, true},
          {"n2", "a2", 250, MEMBERS_ALIVE, true},
          {"n3", "b1", 250, MEMBERS_ALIVE, true}},
         {"n1", "n2"}},
        {"those with a large processor share",
         {{"n1", "a1", 120, MEMBERS_ALIVE, true},
          {"n2", "a2", 300, MEMBERS_ALIVE, true},
          {"n3", "a2", 500, MEMBERS_ALIVE, true}},
         {"n2", "n3"}},
        {"shares are not known",
         {{"n1", "a1", 0, MEMBERS_ALIVE, true},
          {"n2", "a2", 0, MEMBERS_ALIVE, true}},
         {"n1", "n2"}},
        {"suspects, leaving and dead nodes are left out",
         {{"n1", "a1", 250, MEMBERS_ALIVE, true},
          {"n2", "a1", 250, MEMBERS_SUSPECT, true},
          {"n3", "a1", 250, MEMBERS_LEAVING, true},
          {"n4", "a1", 250, MEMBERS_DEAD, true}},
         {"n1"}},
        {"only suspects",
         {{"n1", "a1", 250, MEMBERS_SUSPECT, true},
          {"n2", "a1", 250, MEMBERS_DEAD, true}},
         {"n1"}},
        {"nodes without jobs",
         {{"n1", "a1", 250, MEMBERS_ALIVE, false},
          {"n2", "a1", 250, MEMBERS_ALIVE, true}},
         {"n2"}},
        {"another region stands in",
         {{"n1", "a1", 250, MEMBERS_DEAD, true},
          {"n2", "b1", 250, MEMBERS_ALIVE, true}},
         {"n2"}},
    };

    for (const auto &row : cases) {
        EXPECT_EQ(homes_of(row.nodes, "a1"), row.want) << row.name;
    }
}

/* Forty-five nodes, of which one is lost: only its jobs get another home, and
 * they are spread over the others. */
TEST(Home, ALostNodeMovesOnlyItsJobs)
{
    const int n_nodes = 45;
    const int n_jobs = 2000;
    std::vector<node> nodes;
    std::map<std::string, int> moved_to;
    int n_moved = 0;

    for (int i = 0; i < n_nodes; i++) {
        char name[16];
        g_snprintf(name, sizeof(name), "store-%02d", i);
        nodes.push_back({name, "a1", 300, MEMBERS_ALIVE, true});
    }
    struct world *world = make_world();
    struct members_view *before = make_view(nodes);
    nodes[7].state = MEMBERS_DEAD;
    struct members_view *after = make_view(nodes);
    struct jobs_homes old_homes;
    struct jobs_homes new_homes;
    jobs_homes_init(&old_homes, world, before, 0);
    jobs_homes_init(&new_homes, world, after, 0);
    for (int i = 0; i < n_jobs; i++) {
        std::string id = "job-" + std::to_string(i);
        int was = jobs_homes_find(&old_homes, id.c_str(), WORLD_NONE);
        int is = jobs_homes_find(&new_homes, id.c_str(), WORLD_NONE);
        EXPECT_EQ(jobs_homes_find(&old_homes, id.c_str(), 7), is);
        if (was == 7) {
            n_moved++;
            moved_to[after->nodes[is].name]++;
        }
        else {
            EXPECT_EQ(was, is);
        }
    }
    EXPECT_GT(n_moved, n_jobs / n_nodes / 2);
    EXPECT_LT(n_moved, n_jobs / n_nodes * 2);
    EXPECT_GT(moved_to.size(), 10u);
    jobs_homes_finish(&old_homes);
    jobs_homes_finish(&new_homes);
    members_view_unref(before);
    members_view_unref(after);
    world_unref(world);
}

/* Scanners that do not reach the store must not hold the duty for good: two of
 * ten nodes scan at a time, and each gets its turn. */
TEST(Home, NoScannerHoldsTheDutyForLong)
{
    enum { N_NODES = 10, N_TURNS = 40 };
    std::vector<node> nodes;
    std::map<int, int> n_turns;

    for (int i = 0; i < N_NODES; i++) {
        nodes.push_back(
            {"store-" + std::to_string(i), "a1", 300, MEMBERS_ALIVE, true});
    }
    struct world *world = make_world();
    struct members_view *view = make_view(nodes);
    struct jobs_homes homes;
    jobs_homes_init(&homes, world, view, 0);
    for (int64_t turn = 0; turn < N_TURNS; turn++) {
        std::set<int> first;
        std::set<int> last;
        for (int i = 0; i < N_NODES; i++) {
            int64_t begin_ms = turn * JOBS_SCAN_TURN_MS;
            if (jobs_homes_scans(&homes, i, begin_ms)) {
                first.insert(i);
                n_turns[i]++;
            }
            if (jobs_homes_scans(&homes, i,
                                 begin_ms + JOBS_SCAN_TURN_MS - 1)) {
                last.insert(i);
            }
        }
        EXPECT_EQ(first.size(), 2u) << turn;
        EXPECT_EQ(first, last) << turn;
    }
    EXPECT_EQ(n_turns.size(), (size_t)N_NODES);
    for (const auto &[node, n] : n_turns) {
        EXPECT_LT(n, N_TURNS / 2) << node;
    }
    jobs_homes_finish(&homes);
    members_view_unref(view);
    world_unref(world);
}

/* A runner loses its jobs when it has stopped, not when it was silent for a
 * while. */
TEST(RunnerState, OnlyAStoppedRunnerLosesItsJobs)
{
    enum { NO_MEMBER = -1 };
    struct {
        const char *name;
        const char *runner;
        bool has_entry;
        bool is_leaving;
        int64_t missing_ms;
        int state; /* in the membership view, or NO_MEMBER */
        uint64_t life;
        enum jobs_runner_state want;
    } cases[] = {
        {"it runs", "n#5", true, false, 0, MEMBERS_ALIVE, 5, JOBS_RUNNER_LIVE},
        {"the job was released", "", false, false, 0, NO_MEMBER, 0,
         JOBS_RUNNER_STOPPED},
        {"its process was replaced, the old lease still runs", "n#5", true,
         false, 0, MEMBERS_ALIVE, 6, JOBS_RUNNER_STOPPED},
        {"this view has an older process", "n#5", true, false, 0,
         MEMBERS_ALIVE, 4, JOBS_RUNNER_LIVE},
        {"it is leaving", "n#5", true, true, 0, MEMBERS_ALIVE, 5,
         JOBS_RUNNER_UNCLEAR},
        {"suspected, its lease runs", "n#5", true, false, 0, MEMBERS_SUSPECT,
         5, JOBS_RUNNER_UNCLEAR},
        {"dead, its lease runs", "n#5", true, false, 0, MEMBERS_DEAD, 5,
         JOBS_RUNNER_UNCLEAR},
        {"dead, its lease ended", "n#5", false, false, 0, MEMBERS_DEAD, 5,
         JOBS_RUNNER_STOPPED},
        {"suspected, its lease ended", "n#5", false, false, 0, MEMBERS_SUSPECT,
         5, JOBS_RUNNER_STOPPED},
        {"no member, its lease ended", "n#5", false, false, 0, NO_MEMBER, 0,
         JOBS_RUNNER_STOPPED},
        {"a live member whose lease ended in an outage", "n#5", false, false,
         3000, MEMBERS_ALIVE, 5, JOBS_RUNNER_UNCLEAR},
        {"a live member that does not reach the store", "n#5", false, false,
         5000, MEMBERS_ALIVE, 5, JOBS_RUNNER_STOPPED},
    };

    for (const auto &row : cases) {
        struct members_node node = {};
        struct jobs_runner_facts facts = {};
        node.life = row.life;
        node.state = (enum members_state)MAX(row.state, 0);
        facts.name = row.runner;
        facts.has_entry = row.has_entry;
        facts.is_leaving = row.is_leaving;
        facts.missing_ms = row.missing_ms;
        facts.node = row.state == NO_MEMBER ? nullptr : &node;
        EXPECT_EQ(jobs_runner_judge(&facts), row.want) << row.name;
    }
}

} // namespace
