#include <gtest/gtest.h>

#include <fcntl.h>
#include <string>
#include <unistd.h>
#include <vector>

#include "wire/wire.h"

namespace {

enum { ECHO = WIRE_FIRST_KIND, ECHOED, NOTE, DEFER };

/* An endpoint that echoes ECHO requests, records one-way messages and
 * answers, and leaves DEFER requests to the test to answer. */
struct node {
    struct wire_endpoint endpoint = {};
    struct base_counters counters;
    std::vector<std::string> notes;
    std::vector<std::string> answers;
    std::vector<enum base_code> codes;
    std::vector<struct wire_return> deferred;
    bool is_open = false;

    node()
    {
        base_counters_init(&counters);
    }
    ~node()
    {
        close();
        base_counters_finish(&counters);
    }
    void
    close()
    {
        if (is_open) {
            wire_endpoint_finish(&endpoint);
        }
        is_open = false;
    }
    bool
    open(const char *name, struct wire_endpoint_desc desc)
    {
        struct base_error err = {};
        desc.node = name;
        desc.counters = &counters;
        desc.context = this;
        desc.received = received;
        is_open = wire_endpoint_init(&endpoint, &desc, &err);
        EXPECT_TRUE(is_open) << err.text;
        return is_open;
    }
    static void
    received(void *context, const struct wire_message *message)
    {
        node *self = (node *)context;
        std::string body((const char *)message->body, message->size);
        if (message->kind == ECHO) {
            wire_reply(&self->endpoint, &message->from, ECHOED, body.data(),
                       body.size());
        }
        else if (message->kind == DEFER) {
            self->deferred.push_back(message->from);
        }
        else {
            self->notes.push_back(std::string(message->sender) + ":" + body);
        }
    }
    static void
    answered(void *context, const struct wire_answer *answer)
    {
        node *self = (node *)context;
        self->codes.push_back(answer->code);
        if (answer->code == BASE_OK) {
            self->answers.emplace_back((const char *)answer->body,
                                       answer->size);
        }
    }
    uint64_t
    request(const std::string &address, uint32_t kind, const std::string &body,
            int64_t timeout_ms, bool is_idempotent)
    {
        struct wire_request_desc desc = {};
        desc.address = address.c_str();
        desc.kind = kind;
        desc.body = body.data();
        desc.size = body.size();
        desc.timeout_ms = timeout_ms;
        desc.is_idempotent = is_idempotent;
        desc.answered = answered;
        desc.context = this;
        return wire_request(&endpoint, &desc);
    }
    int64_t
    count(const char *name)
    {
        return base_counter_value(base_counter(&counters, name));
    }
};

struct wire_endpoint_desc
any_port()
{
    struct wire_endpoint_desc desc = {};
    desc.address = "127.0.0.1:*";
    return desc;
}

/* Services the nodes until is_done() is true.  Returns false if that did not
 * happen within 10,000 rounds. */
template <class F>
bool
serve_until(std::vector<node *> nodes, F is_done)
{
    for (int round = 0; round < 10000; round++) {
        for (node *member : nodes) {
            wire_endpoint_service(&member->endpoint, base_clock_ms());
        }
        if (is_done()) {
            return true;
        }
        wire_endpoint_wait(&nodes[0]->endpoint, -1, 1);
    }
    return false;
}

/* The sizes include the largest body that is sent inside the packet (4,096
 * bytes) and the smallest that is sent as a frame of its own. */
TEST(Wire, RequestsAndOneWayMessagesOfAllSizesArrive)
{
    for (size_t size : {0u, 1u, 4096u, 4097u, 1048576u}) {
        node a;
        node b;
        ASSERT_TRUE(a.open("a", any_port()) && b.open("b", any_port()));
        std::string to = wire_endpoint_address(&b.endpoint);
        std::string body(size, 'x');
        EXPECT_TRUE(wire_send(&a.endpoint, to.c_str(), NOTE, body.data(),
                              body.size()));
        a.request(to, ECHO, body, 5000, true);
        ASSERT_TRUE(serve_until({&a, &b}, [&] { return !a.codes.empty(); }));
        EXPECT_EQ(a.codes[0], BASE_OK);
        EXPECT_EQ(a.answers[0], body);
        ASSERT_EQ(b.notes.size(), 1u);
        EXPECT_EQ(b.notes[0], "a:" + body);
    }
}

/* Returns wire_bytes_total of one direction, summed over all kinds. */
int64_t
sum_bytes(node &at, const std::string &dir)
{
    std::string prefix = "wire_bytes_total{dir=\"" + dir + "\"";
    int64_t total = 0;
    for (guint i = 0; i < at.counters.all->len; i++) {
        struct base_counter *counter =
            (struct base_counter *)g_ptr_array_index(at.counters.all, i);
        if (std::string(counter->name).compare(0, prefix.size(), prefix) ==
            0) {
            total += base_counter_value(counter);
        }
    }
    return total;
}

/* The sender computes the overhead of frames before it sends them, the
 * receiver from the frames that arrived; both counts must agree. */
TEST(Wire, BothSidesCountTheSameBytes)
{
    node a;
    node b;
    ASSERT_TRUE(a.open("a", any_port()) && b.open("b", any_port()));
    std::string to = wire_endpoint_address(&b.endpoint);
    for (size_t size : {0u, 10u, 5000u}) {
        a.request(to, ECHO, std::string(size, 'x'), 5000, true);
    }
    ASSERT_TRUE(serve_until({&a, &b}, [&] { return a.codes.size() == 3; }));
    EXPECT_EQ(sum_bytes(a, "out"), sum_bytes(b, "in"));
    EXPECT_EQ(sum_bytes(b, "out"), sum_bytes(a, "in"));
    EXPECT_GT(sum_bytes(a, "out"), 5010);
}

/* Delayed messages must be sent with the next message to the same peer, in
 * order, or when their own delay is over. */
TEST(Wire, DelayedMessagesAreSentWithTheNextMessage)
{
    node a;
    node b;
    ASSERT_TRUE(a.open("a", any_port()) && b.open("b", any_port()));
    std::string to = wire_endpoint_address(&b.endpoint);
    for (int i = 0; i < 20; i++) {
        wire_send_later(&a.endpoint, to.c_str(), NOTE, "r", 1, 3600000);
    }
    wire_send(&a.endpoint, to.c_str(), NOTE, "now", 3);
    ASSERT_TRUE(serve_until({&a, &b}, [&] { return b.notes.size() == 21; }));
    EXPECT_EQ(b.notes[0], "a:r");
    EXPECT_EQ(b.notes[20], "a:now");
    wire_send_later(&a.endpoint, to.c_str(), NOTE, "due", 3, 10);
    ASSERT_TRUE(serve_until({&a, &b}, [&] { return b.notes.size() == 22; }));
}

/* Requests may be answered out of order and long after the silence limit.  A
 * second answer to the same request must be ignored. */
TEST(Wire, AnswersMatchTheirRequestsInAnyOrder)
{
    node a;
    node b;
    struct wire_endpoint_desc desc = any_port();
    desc.silence_ms = 1000;
    desc.connect_ms = 5000;
    ASSERT_TRUE(a.open("a", desc) && b.open("b", any_port()));
    std::string to = wire_endpoint_address(&b.endpoint);
    for (int i = 0; i < 3; i++) {
        a.request(to, DEFER, "", 60000, false);
    }
    ASSERT_TRUE(serve_until({&a, &b}, [&] { return b.deferred.size() == 3; }));
    /* Wait far beyond the silence limit: the answers to probes must keep the
     * connection from being replaced. */
    int64_t until = base_clock_ms() + 2500;
    serve_until({&a, &b}, [&] { return base_clock_ms() >= until; });
    EXPECT_EQ(a.count("wire_reopened_total"), 0);
    wire_reply(&b.endpoint, &b.deferred[2], ECHOED, "2", 1);
    wire_reply(&b.endpoint, &b.deferred[2], ECHOED, "again", 5);
    wire_reply(&b.endpoint, &b.deferred[0], ECHOED, "0", 1);
    ASSERT_TRUE(serve_until({&a, &b}, [&] { return a.codes.size() == 2; }));
    EXPECT_EQ(a.answers[0], "2");
    EXPECT_EQ(a.answers[1], "0");
}

/* A request that gets no answer must end with BASE_TIMEOUT while the peer is
 * alive and with BASE_UNAVAILABLE once the peer has stopped responding. */
TEST(Wire, RequestWithoutAnswerEndsWithTheRightCode)
{
    node a;
    node b;
    ASSERT_TRUE(a.open("a", any_port()) && b.open("b", any_port()));
    std::string to = wire_endpoint_address(&b.endpoint);
    a.request(to, DEFER, "", 50, false);
    ASSERT_TRUE(serve_until({&a, &b}, [&] { return !a.codes.empty(); }));
    EXPECT_EQ(a.codes[0], BASE_TIMEOUT);
    /* b does not respond from now on, because its endpoint is not serviced. */
    a.request(to, ECHO, "x", 60000, true);
    ASSERT_TRUE(serve_until({&a}, [&] { return a.codes.size() == 2; }));
    EXPECT_EQ(a.codes[1], BASE_UNAVAILABLE);
    EXPECT_GE(a.count("wire_reopened_total"), 2);
    /* b is serviced again, so the next request succeeds. */
    a.request(to, ECHO, "y", 60000, true);
    ASSERT_TRUE(serve_until({&a, &b}, [&] { return a.codes.size() == 3; }));
    EXPECT_EQ(a.codes[2], BASE_OK);
}

/* An idle connection must be closed, and opened again by the next request. */
TEST(Wire, IdleConnectionsClose)
{
    node a;
    node b;
    struct wire_endpoint_desc desc = any_port();
    desc.idle_ms = 20;
    ASSERT_TRUE(a.open("a", desc) && b.open("b", any_port()));
    std::string to = wire_endpoint_address(&b.endpoint);
    a.request(to, ECHO, "x", 5000, true);
    ASSERT_TRUE(serve_until({&a, &b}, [&] { return !a.codes.empty(); }));
    ASSERT_TRUE(serve_until(
        {&a, &b}, [&] { return g_hash_table_size(a.endpoint.peers) == 0; }));
    a.request(to, ECHO, "x", 5000, true);
    ASSERT_TRUE(serve_until({&a, &b}, [&] { return a.codes.size() == 2; }));
    EXPECT_EQ(a.codes[1], BASE_OK);
}

/* A temporary folder with key files; the destructor removes it. */
struct key_folder {
    std::string path;
    key_folder()
    {
        char *made = g_dir_make_tmp("wire-XXXXXX", nullptr);
        path = made;
        g_free(made);
    }
    ~key_folder()
    {
        for (const char *name :
             {"a.pub", "a.sec", "b.pub", "b.sec", "c.pub", "c.sec", "peers"}) {
            unlink((path + "/" + name).c_str());
        }
        rmdir(path.c_str());
    }
    std::string
    file(const std::string &name)
    {
        return path + "/" + name;
    }
    std::string
    read(const std::string &name)
    {
        char *text = nullptr;
        g_file_get_contents(file(name).c_str(), &text, nullptr, nullptr);
        std::string out = text ? text : "";
        g_free(text);
        return out;
    }
    void
    create(const std::string &name)
    {
        struct base_error err = {};
        EXPECT_TRUE(wire_keys_create(file(name + ".pub").c_str(),
                                     file(name + ".sec").c_str(), &err))
            << err.text;
    }
    void
    write_peers(const std::vector<std::string> &names)
    {
        std::string text = "# nodes that may speak\n";
        for (const std::string &name : names) {
            text += read(name + ".pub") + "\n";
        }
        g_file_set_contents(file("peers").c_str(), text.c_str(), -1, nullptr);
    }
};

/* Paths of a node's key files.  They must live as long as its endpoint. */
struct key_paths {
    std::string pub;
    std::string sec;
    std::string peers;
    key_paths(key_folder &folder, const std::string &name)
        : pub(folder.file(name + ".pub")), sec(folder.file(name + ".sec")),
          peers(folder.file("peers"))
    {
    }
    struct wire_endpoint_desc
    desc()
    {
        struct wire_endpoint_desc desc = any_port();
        desc.public_key_file = pub.c_str();
        desc.secret_key_file = sec.c_str();
        desc.peer_keys_file = peers.c_str();
        return desc;
    }
};

/* b must not answer c, whose key is not in the peers file, nor a node that
 * does not use CURVE, and must count the refusals. */
TEST(WireKeys, UnknownKeysAreRefusedAndCounted)
{
    key_folder folder;
    for (const char *name : {"a", "b", "c"}) {
        folder.create(name);
    }
    folder.write_peers({"a", "b"});
    key_paths key_a(folder, "a");
    key_paths key_b(folder, "b");
    key_paths key_c(folder, "c");
    node a;
    node b;
    node c;
    node plain;
    ASSERT_TRUE(a.open("a", key_a.desc()) && b.open("b", key_b.desc()) &&
                c.open("c", key_c.desc()) && plain.open("d", any_port()));
    std::string to = wire_endpoint_address(&b.endpoint);
    a.request(to, ECHO, "x", 20000, true);
    ASSERT_TRUE(serve_until({&a, &b}, [&] { return !a.codes.empty(); }));
    /* a's own key was the first candidate for b's key, so the first request
     * may have failed; the second must not. */
    a.request(to, ECHO, "x", 20000, true);
    ASSERT_TRUE(serve_until({&a, &b}, [&] { return a.codes.size() == 2; }));
    EXPECT_EQ(a.codes[1], BASE_OK);
    /* Several rounds, since each new connection uses the next candidate for
     * b's key. */
    for (size_t round = 1; round <= 3; round++) {
        c.request(to, ECHO, "secret", 20000, true);
        plain.request(to, ECHO, "secret", 20000, true);
        ASSERT_TRUE(serve_until({&b, &c, &plain}, [&] {
            return c.codes.size() == round && plain.codes.size() == round;
        }));
    }
    EXPECT_TRUE(c.answers.empty());
    EXPECT_TRUE(plain.answers.empty());
    EXPECT_GE(b.count("wire_refused_total{reason=\"key\"}"), 1);
    EXPECT_GE(b.count("wire_refused_total{reason=\"handshake\"}"), 1);
}

/* Replaces the key pair and the list of peers while the endpoints run; they
 * must reload them and be able to connect again. */
TEST(WireKeys, RotationNeedsNoRestart)
{
    key_folder folder;
    folder.create("a");
    folder.create("b");
    folder.write_peers({"a"});
    key_paths key_a(folder, "a");
    node a;
    node b;
    ASSERT_TRUE(a.open("a", key_a.desc()) && b.open("b", key_a.desc()));
    std::string to = wire_endpoint_address(&b.endpoint);
    a.request(to, ECHO, "x", 5000, true);
    ASSERT_TRUE(serve_until({&a, &b}, [&] { return !a.codes.empty(); }));
    ASSERT_EQ(a.codes[0], BASE_OK);
    /* Accept both keys, then replace the pair, then remove the old key. */
    folder.write_peers({"a", "b"});
    std::string pub = folder.read("b.pub");
    std::string sec = folder.read("b.sec");
    g_file_set_contents(folder.file("a.pub").c_str(), pub.c_str(), -1,
                        nullptr);
    g_file_set_contents(folder.file("a.sec").c_str(), sec.c_str(), -1,
                        nullptr);
    folder.write_peers({"b"});
    ASSERT_TRUE(serve_until({&a, &b}, [&] {
        return a.count("wire_reopened_total") > 0 &&
               b.endpoint.keys != nullptr;
    }));
    int64_t until = base_clock_ms() + 1100;
    serve_until({&a, &b}, [&] { return base_clock_ms() >= until; });
    a.codes.clear();
    a.request(to, ECHO, "x", 5000, true);
    ASSERT_TRUE(serve_until({&a, &b}, [&] { return !a.codes.empty(); }));
    EXPECT_EQ(a.codes[0], BASE_OK);
}

} // namespace
