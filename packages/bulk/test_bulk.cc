#include <gtest/gtest.h>
#include <sys/stat.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "bulk/bulk.h"

static const char DOCUMENT[] =
    "{\"format\":1,\"environment\":\"production\",\"regions\":["
    "{\"name\":\"etela\",\"zones\":[\"etela-a\",\"etela-b\"]},"
    "{\"name\":\"pohjoinen\",\"zones\":[\"pohjoinen-a\"]}],"
    "\"links\":[{\"between\":[\"etela\",\"pohjoinen\"],\"one_way_ms\":20,"
    "\"bytes_per_s\":3000000}],"
    "\"operators\":[],\"deployments\":[],\"servers\":[]}";

struct node {
    std::string name;
    std::string zone;
    std::string folder;
    std::string address;
    struct base_counters counters;
    struct bulk *bulk = nullptr;
    int64_t full_bytes = 0;

    void
    start()
    {
        struct base_error err = {BASE_OK, ""};
        struct bulk_desc desc = {};
        base_counters_init(&counters);
        desc.node = name.c_str();
        desc.folder = folder.empty() ? nullptr : folder.c_str();
        desc.address = "127.0.0.1:*";
        desc.full_bytes = full_bytes;
        desc.reserve_bytes = full_bytes;
        desc.counters = &counters;
        bulk = bulk_start(&desc, &err);
        ASSERT_NE(bulk, nullptr) << err.text;
        address = bulk_address(bulk);
    }

    void
    stop()
    {
        if (bulk != nullptr) {
            bulk_stop(bulk);
            base_counters_finish(&counters);
            bulk = nullptr;
        }
    }

    int64_t
    counter(const char *counter_name)
    {
        return base_counter_value(base_counter(&counters, counter_name));
    }

    std::string
    path(const std::string &chunk)
    {
        return folder + "/chunks/" + chunk;
    }

    bool
    has(const std::string &chunk)
    {
        struct stat status;
        return stat(path(chunk).c_str(), &status) == 0;
    }
};

static void
run_nothing(struct base_task *task)
{
}

struct bulk_test : testing::Test {
    std::vector<std::unique_ptr<node>> nodes;
    struct world *world = nullptr;
    struct base_task client;
    void *answer = nullptr;
    std::string root;

    void
    SetUp() override
    {
        static const struct base_task_ops OPS = {base_task_wake_fd,
                                                 run_nothing};
        struct world_problems problems;
        struct base_error err;
        char path[] = "/tmp/cardamom-bulk-XXXXXX";
        root = g_mkdtemp(path);
        world_problems_init(&problems);
        world = world_parse(DOCUMENT, strlen(DOCUMENT), &problems);
        ASSERT_NE(world, nullptr);
        world_problems_finish(&problems);
        ASSERT_TRUE(base_task_init(&client, "client", &OPS, &answer, &err));
    }

    void
    TearDown() override
    {
        for (auto &each : nodes) {
            each->stop();
        }
        base_task_finish(&client);
        world_unref(world);
        std::string command = "rm -rf '" + root + "'";
        EXPECT_EQ(system(command.c_str()), 0);
    }

    node &
    add(const char *name, const char *zone, bool has_disk = true,
        int64_t full_bytes = 0)
    {
        nodes.push_back(std::make_unique<node>());
        node &added = *nodes.back();
        added.name = name;
        added.zone = zone;
        added.folder = has_disk ? root + "/" + name : "";
        added.full_bytes = full_bytes;
        added.start();
        return added;
    }

    /* Sends the current membership to every node; stopped nodes are dead in
     * it. */
    void
    update_membership()
    {
        for (auto &self : nodes) {
            if (self->bulk == nullptr) {
                continue;
            }
            struct members_view *view = g_new0(struct members_view, 1);
            view->references = 1;
            view->n_nodes = (int)nodes.size();
            view->nodes = g_new0(struct members_node, nodes.size());
            for (size_t i = 0; i < nodes.size(); i++) {
                struct members_node *member = &view->nodes[i];
                g_strlcpy(member->name, nodes[i]->name.c_str(), 64);
                g_strlcpy(member->zone, nodes[i]->zone.c_str(), 64);
                if (!nodes[i]->folder.empty()) {
                    g_strlcpy(member->bulk_address, nodes[i]->address.c_str(),
                              64);
                }
                member->state =
                    nodes[i]->bulk == nullptr ? MEMBERS_DEAD : MEMBERS_ALIVE;
                if (nodes[i].get() == self.get()) {
                    view->self = (int)i;
                }
            }
            bulk_update(self->bulk, world, view);
            members_view_unref(view);
        }
    }

    template <typename call>
    call *
    wait(call *sent)
    {
        while (answer == nullptr) {
            base_task_drain(&client);
            g_usleep(200);
        }
        answer = nullptr;
        return sent;
    }

    struct bulk_put *
    put(node &at, const std::string &text, bool is_result = false,
        const char *region = "etela")
    {
        GBytes *bytes = g_bytes_new(text.data(), text.size());
        struct bulk_put *put = bulk_put_new(bytes, region);
        g_bytes_unref(bytes);
        put->is_result = is_result;
        bulk_put_send(at.bulk, put, &client,
                      [](struct bulk_put *p, void *s) { *(void **)s = p; });
        return wait(put);
    }

    struct bulk_chunk
    stored(node &at, const std::string &text, const char *region = "etela")
    {
        struct bulk_put *done = put(at, text, false, region);
        EXPECT_TRUE(done->is_ok) << done->err.text;
        struct bulk_chunk chunk = done->chunk;
        bulk_put_free(done);
        return chunk;
    }

    /* Returns the bytes, or the name of the error. */
    std::string
    get(node &at, const struct bulk_chunk &chunk)
    {
        struct bulk_get *get = bulk_get_new(&chunk);
        bulk_get_send(at.bulk, get, &client,
                      [](struct bulk_get *g, void *s) { *(void **)s = g; });
        wait(get);
        std::string text = base_code_name(get->err.code);
        if (get->is_ok) {
            gsize size;
            const char *data =
                (const char *)g_bytes_get_data(get->bytes, &size);
            text = std::string(data, size);
        }
        bulk_get_free(get);
        return text;
    }

    struct bulk_repair *
    repair(node &at, const struct bulk_chunk &chunk)
    {
        struct bulk_repair *repair = bulk_repair_new(&chunk, "etela");
        bulk_repair_send(
            at.bulk, repair, &client,
            [](struct bulk_repair *r, void *s) { *(void **)s = r; });
        return wait(repair);
    }

    node &
    find_node(const char *name)
    {
        for (auto &each : nodes) {
            if (each->name == name) {
                return *each;
            }
        }
        ADD_FAILURE() << name;
        return *nodes[0];
    }

    static void
    corrupt_file(const std::string &path)
    {
        FILE *file = fopen(path.c_str(), "r+");
        ASSERT_NE(file, nullptr);
        fputc('X', file);
        fclose(file);
    }

    static void
    wait_until(const std::function<bool()> &is_true)
    {
        for (int i = 0; i < 5000 && !is_true(); i++) {
            g_usleep(1000);
        }
        EXPECT_TRUE(is_true());
    }
};

static bool
is_replica(const struct bulk_chunk &chunk, const char *name)
{
    return strcmp(chunk.holders[0], name) == 0 ||
           strcmp(chunk.holders[1], name) == 0;
}

TEST_F(bulk_test, TwoCopiesInDifferentZonesReadableFromAnyNode)
{
    add("a1", "etela-a");
    add("a2", "etela-a");
    node &b1 = add("b1", "etela-b");
    node &none = add("z9", "pohjoinen-a", false);
    update_membership();
    for (int i = 0; i < 8; i++) {
        std::string text = "sheet " + std::to_string(i);
        struct bulk_chunk chunk = stored(none, text);
        EXPECT_TRUE(is_replica(chunk, "b1"));
        EXPECT_TRUE(is_replica(chunk, "a1") || is_replica(chunk, "a2"));
        EXPECT_EQ(chunk.size, (int64_t)text.size());
        EXPECT_EQ(get(none, chunk), text);
        EXPECT_EQ(get(b1, chunk), text);
    }
}

/* The local disk gets one of the copies, and storing the same bytes twice uses
 * its space only once. */
TEST_F(bulk_test, LocalDiskIsFirst)
{
    node &a1 = add("a1", "etela-a");
    add("a2", "etela-a");
    update_membership();
    struct bulk_chunk chunk = stored(a1, "one");
    EXPECT_TRUE(is_replica(chunk, "a1"));
    EXPECT_TRUE(a1.has(chunk.name));
    EXPECT_EQ(stored(a1, "one").size, 3);
    EXPECT_EQ(a1.counter("bulk_used_bytes"), 3);
}

/* While a node is unreachable but not yet known as dead, a file that could not
 * get its second copy fails, and a result succeeds with one. */
TEST_F(bulk_test, SingleCopyOnlyIfNoSecondIsPossible)
{
    node &a1 = add("a1", "etela-a");
    node &b1 = add("b1", "etela-b");
    update_membership();
    b1.stop(); /* the membership still has it as alive */
    struct bulk_put *refused = put(a1, "file");
    EXPECT_FALSE(refused->is_ok);
    EXPECT_EQ(refused->err.code, BASE_UNAVAILABLE);
    bulk_put_free(refused);
    struct bulk_put *result = put(a1, "result", true);
    EXPECT_TRUE(result->is_ok);
    bulk_put_free(result);
    update_membership(); /* now b1 is dead in it */
    struct bulk_chunk chunk = stored(a1, "file");
    EXPECT_STREQ(chunk.holders[1], "");
    EXPECT_EQ(a1.counter("bulk_single_copies_total"), 2);
}

/* A byte of a stored copy changes on the disk, as after a disk fault.  A read
 * must return the intact copy and replace the corrupt one. */
TEST_F(bulk_test, CorruptCopyIsReplacedFromIntactOne)
{
    node &a1 = add("a1", "etela-a");
    node &b1 = add("b1", "etela-b");
    update_membership();
    struct bulk_chunk chunk = stored(a1, "parade lantern");
    corrupt_file(a1.path(chunk.name));
    EXPECT_EQ(get(a1, chunk), "parade lantern");
    wait_until([&] { return a1.counter("bulk_healed_chunks_total") == 1; });
    EXPECT_EQ(get(a1, chunk), "parade lantern");
    EXPECT_EQ(a1.counter("bulk_corrupt_chunks_total"), 1);
    /* The same for the other node's copy. */
    corrupt_file(b1.path(chunk.name));
    std::string read_back = get(b1, chunk);
    EXPECT_EQ(read_back, "parade lantern");
    wait_until([&] { return b1.counter("bulk_healed_chunks_total") == 1; });
    /* If both copies are corrupt, the read fails instead of returning them. */
    corrupt_file(a1.path(chunk.name));
    corrupt_file(b1.path(chunk.name));
    EXPECT_EQ(get(a1, chunk), base_code_name(BASE_CORRUPT));
}

/* Results may use reserve_bytes in addition to full_bytes. */
TEST_F(bulk_test, FullDiskRefusesFilesButStoresResults)
{
    node &a1 = add("a1", "etela-a", true, 1000);
    add("b1", "etela-b", true, 1000);
    update_membership();
    stored(a1, std::string(900, 'a'));
    struct bulk_put *file = put(a1, std::string(200, 'b'));
    EXPECT_FALSE(file->is_ok);
    EXPECT_EQ(file->err.code, BASE_FULL);
    bulk_put_free(file);
    struct bulk_put *result = put(a1, std::string(200, 'b'), true);
    EXPECT_TRUE(result->is_ok);
    EXPECT_TRUE(is_replica(result->chunk, "a1"));
    EXPECT_TRUE(is_replica(result->chunk, "b1"));
    bulk_put_free(result);
    result = put(a1, std::string(2000, 'c'), true);
    EXPECT_FALSE(result->is_ok);
    EXPECT_EQ(result->err.code, BASE_FULL);
    bulk_put_free(result);
}

/* A temporary file is left if the process dies during a write. */
TEST_F(bulk_test, RestartRemovesTemporaryFilesAndKeepsChunks)
{
    node &a1 = add("a1", "etela-a");
    update_membership();
    struct bulk_chunk chunk = stored(a1, "kept");
    a1.stop();
    std::string temporary = a1.path(std::string(32, 'a') + ".part");
    FILE *file = fopen(temporary.c_str(), "w");
    fputs("half", file);
    fclose(file);
    a1.start();
    update_membership();
    EXPECT_EQ(get(a1, chunk), "kept");
    struct stat status;
    EXPECT_NE(stat(temporary.c_str(), &status), 0);
    EXPECT_EQ(a1.counter("bulk_used_bytes"), 4);
}

/* The scrub must find a corrupt copy that no client reads. */
TEST_F(bulk_test, ScrubReplacesCorruptCopy)
{
    node &a1 = add("a1", "etela-a");
    node &b1 = add("b1", "etela-b");
    update_membership();
    struct bulk_chunk chunk = stored(a1, "unread for long");
    a1.stop();
    corrupt_file(a1.path(chunk.name));
    a1.start();
    update_membership();
    wait_until([&] { return a1.counter("bulk_healed_chunks_total") == 1; });
    EXPECT_EQ(b1.counter("bulk_corrupt_chunks_total"), 0);
}

/* After the loss of a node, a repair stores the chunk on a third one. */
TEST_F(bulk_test, RepairRestoresSecondCopy)
{
    node &a1 = add("a1", "etela-a");
    add("b1", "etela-b");
    add("b2", "etela-b");
    update_membership();
    struct bulk_chunk chunk = stored(a1, "twice");
    struct bulk_repair *unchanged = repair(a1, chunk);
    EXPECT_TRUE(unchanged->is_ok);
    EXPECT_FALSE(unchanged->is_changed);
    bulk_repair_free(unchanged);
    /* The entries of chunk.holders have no fixed order. */
    bool is_b1 = is_replica(chunk, "b1");
    EXPECT_TRUE(is_replica(chunk, "a1"));
    find_node(is_b1 ? "b1" : "b2").stop();
    update_membership();
    struct bulk_repair *repaired = repair(a1, chunk);
    EXPECT_TRUE(repaired->is_ok) << repaired->err.text;
    EXPECT_TRUE(repaired->is_changed);
    struct bulk_chunk now = repaired->chunk;
    bulk_repair_free(repaired);
    EXPECT_TRUE(is_replica(now, "a1"));
    EXPECT_TRUE(is_replica(now, is_b1 ? "b2" : "b1"));
    EXPECT_TRUE(find_node(is_b1 ? "b2" : "b1").has(chunk.name));
}

/* A sweep must not remove a referenced chunk, nor a young one, whose reference
 * may not be committed yet. */
TEST_F(bulk_test, SweepRemovesOnlyOldUnreferencedChunks)
{
    node &a1 = add("a1", "etela-a");
    update_membership();
    struct bulk_chunk kept = stored(a1, "kept");
    struct bulk_chunk orphan = stored(a1, "orphan");
    struct {
        int64_t min_age_s;
        int n_removed;
        bool has_orphan;
    } cases[] = {{3600, 0, true}, {0, 1, false}, {0, 0, false}};
    for (const auto &row : cases) {
        GArray *referenced = g_array_new(FALSE, FALSE, sizeof(uint64_t));
        uint64_t key = bulk_name_key(kept.name);
        g_array_append_val(referenced, key);
        struct bulk_sweep *sweep = bulk_sweep_new(referenced, row.min_age_s);
        g_array_unref(referenced);
        bulk_sweep_send(
            a1.bulk, sweep, &client,
            [](struct bulk_sweep *w, void *s) { *(void **)s = w; });
        wait(sweep);
        EXPECT_EQ(sweep->n_removed, row.n_removed);
        EXPECT_EQ(a1.has(orphan.name), row.has_orphan);
        EXPECT_TRUE(a1.has(kept.name));
        bulk_sweep_free(sweep);
    }
}

TEST_F(bulk_test, LostChunkIsNotFound)
{
    node &a1 = add("a1", "etela-a");
    add("b1", "etela-b");
    update_membership();
    struct bulk_chunk chunk = stored(a1, "gone");
    unlink(a1.path(chunk.name).c_str());
    unlink(find_node("b1").path(chunk.name).c_str());
    EXPECT_EQ(get(a1, chunk), base_code_name(BASE_NOT_FOUND));
}
