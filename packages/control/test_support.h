/*
 * Test support for control: Fleet runs the control tasks of several nodes in
 * one process, TestTask requests admission from them, and RecordPeer serves
 * them configuration records.
 */
#ifndef CARDAMOM_CONTROL_TEST_SUPPORT_H
#define CARDAMOM_CONTROL_TEST_SUPPORT_H

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "config/config.h"
#include "control/control_private.h"

/* The task from which the test calls control.  Its mailbox is drained in
 * until(), on the test's thread. */
struct TestTask {
    struct base_task task;
    std::vector<struct control_admission *> answered;
    std::vector<std::pair<uint64_t, int>> preemptions;
    std::string status;

    TestTask()
    {
        static const struct base_task_ops OPS = {base_task_wake_fd, nullptr};
        struct base_error err = {};
        g_log_set_always_fatal(
            (GLogLevelFlags)(G_LOG_LEVEL_CRITICAL | G_LOG_LEVEL_ERROR));
        EXPECT_TRUE(base_task_init(&task, "test", &OPS, this, &err));
    }
    ~TestTask()
    {
        base_task_drain(&task);
        for (struct control_admission *admission : answered) {
            control_admission_free(admission);
        }
        base_task_finish(&task);
    }
    /* Drains the mailbox until is_done() is true; false after about max_ms. */
    template <class F>
    bool
    until(F is_done, int max_ms = 20000)
    {
        for (int waited = 0; waited < max_ms; waited++) {
            base_task_drain(&task);
            if (is_done()) {
                return true;
            }
            g_usleep(1000);
        }
        return false;
    }
    static void
    on_answer(struct control_admission *admission, void *state)
    {
        ((TestTask *)state)->answered.push_back(admission);
    }
    static void
    on_preempt(void *state, uint64_t contract, int slots)
    {
        ((TestTask *)state)->preemptions.emplace_back(contract, slots);
    }
    static void
    on_status(struct control_status *status, void *state)
    {
        ((TestTask *)state)->status = status->json;
    }
    /* Requests admission and waits for the answer, which this object owns. */
    struct control_admission *
    admission(struct control *control, const char *server,
              enum contracts_class class_, int slots = 1, int64_t wait_ms = 0,
              int64_t work_ms = 0)
    {
        struct control_admission *admission =
            control_admission_new(server, class_);
        size_t before = answered.size();
        g_strlcpy(admission->operator_name, "kit-desk",
                  sizeof(admission->operator_name));
        admission->slots = slots;
        admission->wait_ms = wait_ms;
        admission->work_ms = work_ms;
        admission->term_ms = class_ == CONTRACTS_BATCH ? 5000 : 0;
        admission->preempt = on_preempt;
        control_admission_send(control, admission, &task, on_answer);
        EXPECT_TRUE(until([&] { return answered.size() > before; }));
        return answered.size() > before ? answered.back() : nullptr;
    }
    std::string
    read_status(struct control *control)
    {
        status.clear();
        control_status_send(control, &task, nullptr, on_status);
        EXPECT_TRUE(until([&] { return !status.empty(); }));
        return status;
    }
};

struct TestNode {
    std::string name;
    std::string zone;
    std::string seed;
    std::string traces;
    struct base_counters counters;
    struct base_tracer tracer;
    struct control *control = nullptr;
    int64_t revision = 0;  /* atomic; revision of the last configuration */
    int64_t n_servers = 0; /* atomic; servers of the last configuration */

    TestNode(const std::string &name_, const std::string &zone_,
             const std::string &seed_, struct platform *platform = nullptr,
             const char *traces_ = nullptr,
             const struct world_source *origin = nullptr,
             bool cost_routing = false)
        : name(name_), zone(zone_), seed(seed_)
    {
        struct base_error err = {};
        struct control_desc desc = {};
        const char *seeds[] = {seed.c_str()};
        base_counters_init(&counters);
        EXPECT_TRUE(base_tracer_init(&tracer, traces_, name.c_str(), &err));
        desc.node = name.c_str();
        desc.zone = zone.c_str();
        desc.control_address = "127.0.0.1:*";
        desc.seeds = seeds;
        desc.n_seeds = seed.empty() ? 0 : 1;
        desc.platform = platform;
        desc.counters = &counters;
        desc.tracer = &tracer;
        desc.listener.changed = on_change;
        desc.listener.context = this;
        desc.origin = origin;
        desc.cost_routing = cost_routing;
        desc.seed = 1;
        control = control_start(&desc, &err);
        EXPECT_NE(control, nullptr) << err.text;
    }
    ~TestNode()
    {
        control_stop(control);
        base_tracer_finish(&tracer);
        base_counters_finish(&counters);
    }
    /* Stores the revision of each configuration that control reports. */
    static void
    on_change(void *context, struct world *world, struct members_view *view)
    {
        if (world != nullptr) {
            TestNode *node = (TestNode *)context;
            __atomic_store_n(&node->n_servers, world->n_servers,
                             __ATOMIC_SEQ_CST);
            __atomic_store_n(&node->revision, world->revision,
                             __ATOMIC_SEQ_CST);
        }
    }
    /* Revision of the last configuration; 0: none yet. */
    int64_t
    applied_revision()
    {
        return __atomic_load_n(&revision, __ATOMIC_SEQ_CST);
    }
    /* Number of servers that may be used, of the last configuration. */
    int64_t
    usable_servers()
    {
        return __atomic_load_n(&n_servers, __ATOMIC_SEQ_CST);
    }
    std::string
    address()
    {
        return control->address;
    }
    int64_t
    count(const char *counter)
    {
        return base_counter_value(base_counter(&counters, counter));
    }
};

/* Returns a configuration document with n_servers servers in two zones. */
inline std::string
document(int n_servers, const char *operators = R"([{"name": "kit-desk"}])")
{
    std::string text = R"({"format": 1, "environment": "production",
        "regions": [{"name": "etela", "zones": ["etela-a", "etela-b"]}],
        "operators": )" +
                       std::string(operators) +
                       R"(, "deployments": [{"name": "desk",
        "kind": "engine", "model": "lantern-7b"}], "servers": [)";
    for (int i = 0; i < n_servers; i++) {
        text += std::string(i ? "," : "") + R"({"name": "e)" +
                std::to_string(i) + R"(", "address": "127.0.0.1:)" +
                std::to_string(9001 + i) + R"(", "zone": "etela-)" +
                (i % 2 ? "a" : "b") + R"(", "deployment": "desk"})";
    }
    return text + "]}";
}

/* Returns a configuration record with the document `text`. */
inline std::string
record(int64_t number, const std::string &text)
{
    struct config_record record = {};
    record.number = number;
    g_strlcpy(record.author, "test", sizeof(record.author));
    record.document = (char *)text.c_str();
    char *json = config_record_format(&record);
    std::string out = json;
    g_free(json);
    return out;
}

/* A peer that is no member and serves one configuration record. */
struct RecordPeer {
    struct base_counters counters;
    struct wire_endpoint endpoint;
    std::string text;
    int64_t number;
    int n_served = 0;

    RecordPeer(int64_t number_, const std::string &text_)
        : text(record(number_, text_)), number(number_)
    {
        struct base_error err = {};
        struct wire_endpoint_desc desc = {};
        base_counters_init(&counters);
        desc.node = "giver";
        desc.address = "127.0.0.1:*";
        desc.counters = &counters;
        desc.received = received;
        desc.context = this;
        EXPECT_TRUE(wire_endpoint_init(&endpoint, &desc, &err)) << err.text;
    }
    ~RecordPeer()
    {
        wire_endpoint_finish(&endpoint);
        base_counters_finish(&counters);
    }
    static void
    received(void *context, const struct wire_message *message)
    {
        RecordPeer *self = (RecordPeer *)context;
        if (message->kind != CONTROL_RECORD_PULL) {
            return;
        }
        Control__Record out = CONTROL__RECORD__INIT;
        GBytes *packed =
            control_compress(self->text.data(), self->text.size());
        gsize size;
        out.number = self->number;
        out.packed.data = (uint8_t *)g_bytes_get_data(packed, &size);
        out.packed.len = size;
        struct control_bytes bytes = control_pack(&out.base);
        wire_reply(&self->endpoint, &message->from, CONTROL_RECORD, bytes.data,
                   bytes.size);
        g_free(bytes.data);
        g_bytes_unref(packed);
        self->n_served++;
    }
    /* Announces the record's revision to the node at `address`. */
    void
    announce(const std::string &address)
    {
        Control__News update = CONTROL__NEWS__INIT;
        update.world_revision = number;
        update.from_address = (char *)wire_endpoint_address(&endpoint);
        struct control_bytes bytes = control_pack(&update.base);
        wire_send(&endpoint, address.c_str(), CONTROL_NEWS, bytes.data,
                  bytes.size);
        g_free(bytes.data);
    }
    /* Handles the messages that have arrived. */
    void
    serve()
    {
        wire_endpoint_service(&endpoint, base_clock_ms());
    }
};

/* Nodes n0, n1, ... in two zones; all but n0 join through n0. */
struct Fleet {
    TestTask task; /* must outlive the nodes, which reply to it */
    std::vector<std::unique_ptr<TestNode>> nodes;

    /* cost_routing: by node; false for those that it does not have. */
    explicit Fleet(int n_nodes, const char *traces = nullptr,
                   const std::vector<bool> &cost_routing = {})
    {
        for (int i = 0; i < n_nodes; i++) {
            nodes.push_back(std::make_unique<TestNode>(
                "n" + std::to_string(i), i % 2 ? "etela-a" : "etela-b",
                i ? nodes[0]->address() : "", nullptr, traces, nullptr,
                (size_t)i < cost_routing.size() && cost_routing[(size_t)i]));
        }
    }
    struct control *
    at(size_t index)
    {
        return nodes[index]->control;
    }
    /* Waits until each node lists all nodes as alive. */
    bool
    wait_until_joined()
    {
        return task.until([&] {
            for (auto &node : nodes) {
                std::string status = task.read_status(node->control);
                size_t alive = 0;
                for (size_t at = status.find("\"alive\"");
                     at != std::string::npos;
                     at = status.find("\"alive\"", at + 1)) {
                    alive++;
                }
                if (alive != nodes.size()) {
                    return false;
                }
            }
            return true;
        });
    }
    /* Announces a configuration record to n0 and waits until all nodes have
     * applied it. */
    bool
    apply_config(int64_t number, const std::string &text)
    {
        RecordPeer peer(number, text);
        peer.announce(nodes[0]->address());
        return task.until([&] {
            peer.serve();
            for (auto &node : nodes) {
                if (node->applied_revision() != number) {
                    return false;
                }
            }
            return true;
        });
    }
};

#endif
