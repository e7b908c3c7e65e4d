#include <gtest/gtest.h>

#include <memory>
#include <random>
#include <set>
#include <vector>

#include "quarantine/quarantine.h"

namespace {

enum { CULPRIT = 1, SHARED = 2, FIRST_GROUP = 100 };

struct quarantine_parts
parts_of(std::vector<uint64_t> ids)
{
    struct quarantine_parts parts = {};
    for (uint64_t id : ids) {
        parts.parts[parts.n_parts++] = id;
    }
    return parts;
}

std::vector<uint64_t>
make_numbers(int n_nodes)
{
    std::vector<uint64_t> numbers;
    for (int i = 0; i < n_nodes; i++) {
        numbers.push_back(base_hash(&i, sizeof(i), 0));
    }
    return numbers;
}

struct Node {
    struct quarantine quarantine;

    explicit Node(int max_crashes = 0, uint64_t number = 0)
    {
        struct quarantine_desc desc = {};
        desc.max_crashes = max_crashes;
        desc.node = number;
        quarantine_init(&quarantine, &desc);
    }
    Node(const Node &) = delete;
    ~Node()
    {
        quarantine_finish(&quarantine);
    }
    bool
    blocks(std::vector<uint64_t> ids, int64_t now_ms) const
    {
        struct quarantine_parts parts = parts_of(ids);
        return quarantine_blocked_ms(&quarantine, &parts, now_ms) > 0;
    }
    bool
    refuses(std::vector<uint64_t> ids, int64_t now_ms)
    {
        struct quarantine_parts parts = parts_of(ids);
        return quarantine_admit(&quarantine, &parts, now_ms) > 0;
    }
    void
    crash(std::vector<uint64_t> ids, uint64_t server, int64_t now_ms)
    {
        struct quarantine_parts parts = parts_of(ids);
        quarantine_note_crash(&quarantine, &parts, server, now_ms);
    }
    void
    answer(std::vector<uint64_t> ids, int64_t now_ms)
    {
        struct quarantine_parts parts = parts_of(ids);
        quarantine_note_answer(&quarantine, &parts, now_ms);
    }
    void
    set_nodes(const std::vector<uint64_t> &numbers)
    {
        quarantine_set_nodes(&quarantine, numbers.data(), (int)numbers.size());
    }
    void
    receive(const GArray *records, int64_t now_ms)
    {
        for (guint i = 0; i < records->len; i++) {
            quarantine_merge(
                &quarantine,
                &g_array_index(records, struct quarantine_record, i), now_ms);
        }
    }
    /* Sends the changed records, or all, to other nodes. */
    void
    send_to(const std::vector<Node *> &others, int64_t now_ms,
            bool is_all = false, int64_t transfer_ms = 0)
    {
        GArray *records = quarantine_take(&quarantine, is_all, now_ms);
        if (records != nullptr) {
            for (Node *other : others) {
                other->receive(records, now_ms + transfer_ms);
            }
            g_array_free(records, TRUE);
        }
    }
    void
    send_to(Node &other, int64_t now_ms, bool is_all = false,
            int64_t transfer_ms = 0)
    {
        send_to(std::vector<Node *>{&other}, now_ms, is_all, transfer_ms);
    }
};

TEST(Quarantine, BlocksOnlyAfterSpacedCrashesWithoutAnAnswer)
{
    struct Event {
        char kind; /* c: crash, a: answer */
        uint64_t server;
        int64_t at_ms;
    };
    struct {
        const char *what;
        std::vector<Event> events;
        int64_t now_ms;
        bool is_blocked;
    } cases[] = {
        {"nothing known", {}, 0, false},
        {"two crashes", {{'c', 1, 0}, {'c', 2, 500}}, 600, false},
        {"three crashes",
         {{'c', 1, 0}, {'c', 2, 500}, {'c', 3, 900}},
         1000,
         true},
        {"many connections broken at once",
         {{'c', 1, 0}, {'c', 2, 10}, {'c', 3, 20}, {'c', 4, 190}},
         1000,
         false},
        {"one crash noticed late by others",
         {{'c', 1, 0}, {'c', 1, 300}, {'c', 1, 600}, {'c', 2, 900}},
         1000,
         false},
        {"a server that crashed again",
         {{'c', 1, 0}, {'c', 1, 3000}, {'c', 1, 6000}},
         6100,
         true},
        {"an answer in between",
         {{'c', 1, 0}, {'c', 2, 500}, {'a', 0, 600}, {'c', 3, 900}},
         1000,
         false},
        {"an answer to a request sent before",
         {{'c', 1, 0}, {'c', 2, 500}, {'c', 3, 900}, {'a', 0, 950}},
         1000,
         false},
        {"after the block",
         {{'c', 1, 0}, {'c', 2, 500}, {'c', 3, 900}},
         10901,
         false},
        {"another crash after the block",
         {{'c', 1, 0}, {'c', 2, 500}, {'c', 3, 900}, {'c', 1, 11000}},
         30999,
         true},
        {"after the second block",
         {{'c', 1, 0}, {'c', 2, 500}, {'c', 3, 900}, {'c', 1, 11000}},
         31001,
         false},
        {"crashes of requests sent before the block",
         {{'c', 1, 0}, {'c', 2, 500}, {'c', 3, 900}, {'c', 4, 1500}},
         10901,
         false},
    };

    for (const auto &c : cases) {
        Node node;
        for (const Event &event : c.events) {
            if (event.kind == 'c') {
                node.crash({CULPRIT}, event.server, event.at_ms);
            }
            else {
                node.answer({CULPRIT}, event.at_ms);
            }
        }
        EXPECT_EQ(node.blocks({SHARED, CULPRIT}, c.now_ms), c.is_blocked)
            << c.what;
        EXPECT_FALSE(node.blocks({SHARED}, c.now_ms)) << c.what;
    }
}

TEST(Quarantine, CrashesSeenByDifferentNodesAddUp)
{
    Node a, b, c;

    a.crash({SHARED, CULPRIT}, 1, 0);
    b.crash({SHARED, CULPRIT}, 1, 20); /* the same crash */
    a.send_to(b, 100);
    b.crash({SHARED, CULPRIT}, 2, 500);
    b.send_to(c, 600);
    c.crash({SHARED, CULPRIT}, 3, 900);
    c.answer({SHARED}, 950);
    a.send_to(b, 1000);
    b.send_to(c, 1000);
    c.send_to(a, 1000);
    EXPECT_TRUE(c.blocks({CULPRIT}, 1000));
    EXPECT_TRUE(a.blocks({CULPRIT}, 1000));
    EXPECT_FALSE(a.blocks({SHARED}, 1000));
    EXPECT_FALSE(c.blocks({SHARED}, 1000));
    EXPECT_EQ(quarantine_digest(&a.quarantine, 1000),
              quarantine_digest(&c.quarantine, 1000));
    EXPECT_NE(quarantine_digest(&a.quarantine, 1000), 0U);
}

/* An answer from before the crashes must not clear the part because nodes tell
 * each other of it again and again, each time with the age at sending. */
TEST(Quarantine, OldAnswerNeverClearsLaterCrashes)
{
    enum { TRANSFER_MS = 20, N_EXCHANGES = 400 };
    Node a;
    Node b;
    Node answered;
    int64_t now_ms = 20000;

    answered.crash({CULPRIT}, 1, 1000);
    answered.answer({CULPRIT}, 5000);
    answered.send_to(a, 5000, true, TRANSFER_MS);
    a.send_to(b, 5000, true, TRANSFER_MS);
    b.crash({CULPRIT}, 2, 10000);
    b.crash({CULPRIT}, 3, 11000);
    b.crash({CULPRIT}, 4, 12000);
    for (int i = 0; i < N_EXCHANGES; i++) {
        b.send_to(a, now_ms, true, TRANSFER_MS);
        a.send_to(b, now_ms + TRANSFER_MS, true, TRANSFER_MS);
        now_ms += 2 * TRANSFER_MS;
        ASSERT_TRUE(a.blocks({CULPRIT}, 20000)) << i;
        ASSERT_TRUE(b.blocks({CULPRIT}, 20000)) << i;
    }
}

/* Reports of one crash that come late, from a node that was cut off or slow,
 * must not count as further crashes, nor be passed on as news for ever. */
TEST(Quarantine, LateReportsAreNotNewCrashes)
{
    Node a(0, 1);
    Node b(0, 2);
    Node c(0, 3);

    a.crash({CULPRIT}, 1, 1000);
    b.crash({CULPRIT}, 1, 1040);
    a.send_to(b, 1050, true);
    b.send_to(a, 1060, true);
    for (int64_t transfer_ms : {0, 3000, 6000, 9000}) {
        a.send_to(c, 1100, true, transfer_ms);
        b.send_to(c, 1100, true, transfer_ms);
        c.send_to(a, 1100 + transfer_ms, true, 2000);
        c.send_to(b, 1100 + transfer_ms, true, 2000);
    }
    for (Node *node : {&a, &b, &c}) {
        struct quarantine_parts parts = parts_of({CULPRIT});
        EXPECT_EQ(quarantine_suspicion(&node->quarantine, &parts), 1);
        for (int round = 0; round < 20; round++) {
            node->send_to(*node, 30000);
        }
        EXPECT_EQ(quarantine_take(&node->quarantine, false, 30000), nullptr);
    }
}

/* However many servers crash before all nodes know of it, and however late
 * some reports are: the exchange comes to rest, and the end of the block
 * stays. */
TEST(Quarantine, ManyCrashesComeToRest)
{
    enum { N_NODES = 12, N_ROUNDS = 200, MAX_TRANSFER_MS = 2000 };
    std::mt19937 random(1);
    std::vector<std::unique_ptr<Node>> nodes;
    struct quarantine_parts parts = parts_of({CULPRIT});
    int64_t now_ms = 10000;

    for (uint64_t i = 0; i < N_NODES; i++) {
        nodes.push_back(std::make_unique<Node>(0, i + 1));
        for (uint64_t crash = 0; crash < 3; crash++) {
            nodes[i]->crash({CULPRIT}, 10 * i + crash,
                            (int64_t)(1000 + 400 * crash + 20 * i));
        }
    }
    auto exchange = [&] {
        now_ms += 100;
        for (size_t i = 0; i < 3 * N_NODES; i++) {
            nodes[i % N_NODES]->send_to(*nodes[random() % N_NODES], now_ms,
                                        true, random() % MAX_TRANSFER_MS);
        }
    };
    for (int round = 0; round < N_NODES; round++) {
        exchange();
    }
    std::vector<int64_t> ends;
    for (auto &node : nodes) {
        ends.push_back(quarantine_blocked_ms(&node->quarantine, &parts, 0));
        EXPECT_GT(ends.back(), 0);
    }
    for (int round = 0; round < N_ROUNDS; round++) {
        exchange();
    }
    for (size_t i = 0; i < N_NODES; i++) {
        EXPECT_EQ(quarantine_blocked_ms(&nodes[i]->quarantine, &parts, 0),
                  ends[i])
            << i;
    }
}

/* Nodes that cleared a part at the same time must come to the same result. */
TEST(Quarantine, ClearsAtTheSameTimeAgree)
{
    Node a(0, 1);
    Node b(0, 2);
    Node never_answered(0, 3);

    for (Node *node : {&a, &b}) {
        node->crash({CULPRIT}, 1, 1000);
    }
    a.answer({CULPRIT}, 2000);
    b.crash({CULPRIT}, 2, 3000);
    b.answer({CULPRIT}, 4000);
    b.crash({CULPRIT}, 3, 5000);
    b.crash({CULPRIT}, 4, 6000);
    a.send_to(b, 6000, true);
    b.send_to(a, 6000, true);
    EXPECT_FALSE(a.blocks({CULPRIT}, 6000));
    EXPECT_FALSE(b.blocks({CULPRIT}, 6000));
    a.send_to(never_answered, 6000, true);
    EXPECT_FALSE(never_answered.blocks({CULPRIT}, 6000));
    a.crash({CULPRIT}, 5, 7000);
    a.send_to(never_answered, 7000, true);
    EXPECT_TRUE(never_answered.blocks({CULPRIT}, 7000));
    a.crash({CULPRIT}, 6, 8000);
    a.crash({CULPRIT}, 7, 9000);
    a.send_to(b, 9000);
    EXPECT_FALSE(a.blocks({CULPRIT}, 9000));
    EXPECT_FALSE(b.blocks({CULPRIT}, 9000));
    a.crash({CULPRIT}, 8, 10000);
    a.send_to(b, 10000);
    EXPECT_TRUE(a.blocks({CULPRIT}, 10000));
    EXPECT_TRUE(b.blocks({CULPRIT}, 10000));
}

/* Crashes that follow each other faster than sound requests with the first
 * part of the prompt come must not block that part too. */
TEST(Quarantine, AnsweredPartIsNotBlockedWithTheCulprit)
{
    Node a(0, 1);
    Node b(0, 2);
    struct quarantine_parts sound = parts_of({SHARED});

    a.answer({SHARED, FIRST_GROUP}, 0);
    a.crash({SHARED, CULPRIT}, 1, 1000);
    a.crash({SHARED, CULPRIT}, 2, 1500);
    a.crash({SHARED, CULPRIT}, 3, 2000);
    EXPECT_TRUE(a.blocks({CULPRIT}, 2000));
    EXPECT_FALSE(a.blocks({SHARED}, 2000));
    EXPECT_LE(quarantine_suspicion(&a.quarantine, &sound), 0);

    /* A node without such an answer blocks both until the other has one. */
    a.send_to(b, 2100);
    EXPECT_TRUE(b.blocks({SHARED}, 2100));
    EXPECT_EQ(quarantine_digest(&a.quarantine, 2100),
              quarantine_digest(&b.quarantine, 2100));
    a.answer({SHARED, FIRST_GROUP}, 2200);
    a.send_to(b, 2300);
    EXPECT_FALSE(b.blocks({SHARED}, 2300));
    EXPECT_TRUE(b.blocks({CULPRIT}, 2300));
}

/* A part may begin to crash servers, as with new weights. */
TEST(Quarantine, AnsweredPartIsBlockedWhenItCrashesOn)
{
    struct {
        const char *what;
        int n_crashes;
        int64_t first_crash_ms;
        bool is_blocked;
    } cases[] = {
        {"as many as block others", 3, 1000, false},
        {"one less than twice as many", 5, 1000, false},
        {"twice as many", 6, 1000, true},
        {"remembered for half of the time", 3, 59000, false},
        {"forgotten at the end", 3, 121000, true},
    };

    for (const auto &c : cases) {
        Node node;
        node.answer({SHARED}, 0);
        for (int64_t now_ms = 0; now_ms < c.first_crash_ms; now_ms += 1000) {
            quarantine_expire(&node.quarantine, now_ms);
        }
        for (int i = 0; i < c.n_crashes; i++) {
            node.crash({SHARED, CULPRIT}, (uint64_t)i,
                       c.first_crash_ms + 500 * i);
        }
        EXPECT_EQ(node.blocks({SHARED}, c.first_crash_ms + 500 * c.n_crashes),
                  c.is_blocked)
            << c.what;
    }
}

TEST(Quarantine, RemembersALimitedNumberOfAnsweredParts)
{
    enum { MAX_ANSWERED = 2048 };
    Node node;

    for (uint64_t part = 1; part <= 4 * MAX_ANSWERED; part++) {
        node.answer({part}, (int64_t)part);
        EXPECT_LE(g_hash_table_size(node.quarantine.answered) +
                      g_hash_table_size(node.quarantine.answered_before),
                  2U * MAX_ANSWERED);
    }
}

TEST(Quarantine, StartingNodeTakesAllRecords)
{
    Node old, fresh;

    old.crash({CULPRIT}, 1, 0);
    old.crash({CULPRIT}, 2, 500);
    old.crash({CULPRIT}, 3, 1000);
    for (int i = 0; i < 10; i++) {
        Node nobody;
        old.send_to(nobody, 1100);
    }
    old.send_to(fresh, 5000, true);
    EXPECT_TRUE(fresh.blocks({CULPRIT}, 5000));
    EXPECT_FALSE(fresh.blocks({CULPRIT}, 11001));
}

TEST(Quarantine, AfterTheBlockANodeTriesOneRequestAtATime)
{
    Node node;
    struct quarantine_parts parts = parts_of({SHARED, CULPRIT});

    node.crash({CULPRIT}, 1, 0);
    node.crash({CULPRIT}, 2, 500);
    node.crash({CULPRIT}, 3, 1000);
    EXPECT_GT(quarantine_admit(&node.quarantine, &parts, 2000), 0);
    EXPECT_EQ(quarantine_admit(&node.quarantine, &parts, 13500), 0);
    EXPECT_GT(quarantine_admit(&node.quarantine, &parts, 13600), 0);
    EXPECT_EQ(quarantine_admit(&node.quarantine, &parts, 15500), 0);
    node.answer({CULPRIT}, 15600);
    EXPECT_EQ(quarantine_admit(&node.quarantine, &parts, 15700), 0);
    EXPECT_EQ(quarantine_admit(&node.quarantine, &parts, 15701), 0);
}

/* Only one node may try a part before all hear that it crashed a server again.
 * Each node has a request ready at all times. */
TEST(Quarantine, OneNodeTriesBeforeAllHearOfTheNextCrash)
{
    enum { HEARD_MS = 1000, STEP_MS = 5, N_PARTS = 20 };

    for (int n_nodes : {1, 10, 84, 300}) {
        std::vector<uint64_t> numbers = make_numbers(n_nodes);
        int n_tries = 0;
        for (uint64_t part = 1; part <= N_PARTS; part++) {
            std::vector<std::unique_ptr<Node>> nodes;
            for (int i = 0; i < n_nodes; i++) {
                nodes.push_back(std::make_unique<Node>(0, numbers[i]));
                nodes.back()->set_nodes(numbers);
                for (int crash = 0; crash < 3; crash++) {
                    nodes.back()->crash({part}, (uint64_t)crash, crash * 500);
                }
            }
            int64_t first_ms = 0;
            for (int64_t now_ms = 11000;
                 first_ms == 0 || now_ms < first_ms + HEARD_MS;
                 now_ms += STEP_MS) {
                for (auto &node : nodes) {
                    if (!node->refuses({part}, now_ms)) {
                        first_ms = first_ms == 0 ? now_ms : first_ms;
                        n_tries++;
                    }
                }
            }
        }
        EXPECT_EQ(n_tries, N_PARTS) << n_nodes;
    }
}

/* Plays 84 nodes that report changes every 100 ms, where a request with the
 * part comes every 20 ms as long as n_crashes are not reached.  Returns the
 * time until all nodes know of n_known crashes, in ms. */
int64_t
play_fleet(uint32_t seed, int n_crashes, int n_known)
{
    enum { N_NODES = 84, FANOUT = 3, ROUND_STEPS = 20, STEP_MS = 5 };
    enum { EVERY_MS = 20, TRANSFER_MS = 20, END_MS = 10000 };
    std::mt19937 random(seed);
    std::vector<std::unique_ptr<Node>> nodes;
    struct quarantine_parts parts = parts_of({CULPRIT});
    int server = 0;
    int64_t now_ms = 0;

    for (uint64_t i = 0; i < N_NODES; i++) {
        nodes.push_back(std::make_unique<Node>(0, i + 1));
    }
    for (int n_knowing = 0; n_knowing < N_NODES && now_ms < END_MS;) {
        now_ms += STEP_MS;
        Node &node = *nodes[random() % N_NODES];
        if (now_ms % EVERY_MS == 0 && server < n_crashes) {
            node.crash({CULPRIT}, (uint64_t)++server, now_ms);
        }
        n_knowing = 0;
        for (int i = 0; i < N_NODES; i++) {
            if ((now_ms / STEP_MS + i) % ROUND_STEPS == 0) {
                std::vector<Node *> peers(FANOUT);
                for (Node *&peer : peers) {
                    peer = nodes[random() % N_NODES].get();
                }
                nodes[i]->send_to(peers, now_ms, false, TRANSFER_MS);
            }
            n_knowing +=
                quarantine_crashes(&nodes[i]->quarantine, &parts) >= n_known
                    ? 1
                    : 0;
        }
    }
    return now_ms;
}

/* Crashes that come quicker than 200 ms after each other, at many nodes: the
 * third blocks the part, so all nodes must know of it within twice the time
 * in which they hear of one. */
TEST(Quarantine, QuickCrashesAreBlockedAsSoonAsNodesHearOfThem)
{
    enum { N_SEEDS = 20, MANY = 1000 };
    int64_t one_ms = 0;
    int64_t three_ms = 0;

    for (uint32_t seed = 1; seed <= N_SEEDS; seed++) {
        one_ms += play_fleet(seed, 1, 1);
        three_ms += play_fleet(seed, MANY, 3);
    }
    EXPECT_LE(three_ms, 2 * one_ms);
}

/* The part is harmless again after the block.  One request with it comes each
 * period, at one of the nodes that get such requests. */
TEST(Quarantine, PartIsTriedSoonAfterItsBlockHoweverSeldomItComes)
{
    enum { BLOCK_MS = 10000 };
    struct {
        int n_nodes;
        int n_asked; /* nodes that get such requests */
        int64_t period_ms;
        int64_t max_wait_ms; /* on average */
    } cases[] = {
        {1, 1, 100, 1000},
        {1, 1, 10000, 11000},
        {10, 10, 1000, 15000},
        {84, 84, 1000, 30000},
        {10, 10, 100, BLOCK_MS / 2},
        {10, 3, 10, BLOCK_MS / 2},
        {10, 3, 500, BLOCK_MS},
        {84, 84, 30, BLOCK_MS},
        {84, 20, 100, 2 * BLOCK_MS},
        {300, 300, 10, BLOCK_MS},
        {300, 300, 1000, 4 * BLOCK_MS},
        {300, 300, 10000, 6 * BLOCK_MS},
    };
    enum { N_PARTS = 20, BLOCKED_UNTIL_MS = 11000 };

    for (const auto &c : cases) {
        std::mt19937 random(1);
        std::vector<uint64_t> numbers = make_numbers(c.n_nodes);
        int64_t wait_ms = 0;
        for (uint64_t part = 1; part <= N_PARTS; part++) {
            std::vector<std::unique_ptr<Node>> nodes;
            for (uint64_t number : numbers) {
                nodes.push_back(std::make_unique<Node>(0, number));
                nodes.back()->set_nodes(numbers);
                for (int crash = 0; crash < 3; crash++) {
                    nodes.back()->crash({part}, (uint64_t)crash, crash * 500);
                }
            }
            int64_t now_ms = BLOCKED_UNTIL_MS;
            while (nodes[random() % c.n_asked]->refuses({part}, now_ms)) {
                now_ms += c.period_ms;
            }
            wait_ms += now_ms - BLOCKED_UNTIL_MS;
        }
        EXPECT_LE(wait_ms / N_PARTS, c.max_wait_ms)
            << c.n_asked << " of " << c.n_nodes << " " << c.period_ms;
    }
}

TEST(Quarantine, RecordsEndUnlessTheyAreRepeatedForever)
{
    Node a, b;

    a.crash({CULPRIT}, 1, 0);
    a.answer({CULPRIT}, 100);
    int n_sent = 0;
    for (int64_t now_ms = 200; now_ms < 10000; now_ms += 100) {
        GArray *records = quarantine_take(&a.quarantine, false, now_ms);
        n_sent += records != nullptr ? 1 : 0;
        if (records != nullptr) {
            quarantine_merge(
                &b.quarantine,
                &g_array_index(records, struct quarantine_record, 0),
                now_ms + 30);
            g_array_free(records, TRUE);
        }
        b.send_to(a, now_ms + 60);
    }
    EXPECT_LE(n_sent, 8);
    quarantine_expire(&a.quarantine, 200000);
    EXPECT_EQ(g_hash_table_size(a.quarantine.entries), 0U);
}

TEST(Quarantine, ManyRecordsKeepTheOnesThatBlock)
{
    Node node;

    node.crash({CULPRIT}, 1, 0);
    node.crash({CULPRIT}, 2, 500);
    node.crash({CULPRIT}, 3, 1000);
    for (uint64_t part = 1000; part < 3000; part++) {
        node.crash({part}, 4, 2000);
    }
    EXPECT_EQ(g_hash_table_size(node.quarantine.entries), 512U);
    EXPECT_TRUE(node.blocks({CULPRIT}, 2000));
}

/* Guards against records whose order of arrival decides whether a part is
 * blocked: a node may hear of an answer before it hears of the crashes that
 * the answer cleared. */
TEST(Quarantine, AClearThatArrivesFirstStillClears)
{
    Node suspecting, answering, node;

    for (int64_t now_ms : {0, 1000, 2000}) {
        suspecting.crash({CULPRIT}, 1 + (uint64_t)now_ms, now_ms);
    }
    suspecting.send_to(answering, 2100);
    answering.answer({CULPRIT}, 2200);
    answering.send_to(node, 2300);
    suspecting.send_to(node, 2400);
    EXPECT_FALSE(node.blocks({CULPRIT}, 2500));
}

/* Guards against records that nodes drop and learn again from each other for
 * ever, because there are more than each of them remembers: that filled the
 * links between regions.  In each round of 100 ms a node sends to three
 * others. */
TEST(Quarantine, MoreRecordsThanNodesRememberComeToRest)
{
    enum { N_NODES = 24, PER_NODE = 100, ROUND_MS = 100, MAX_SENT = 12 };
    std::vector<std::unique_ptr<Node>> nodes;
    std::mt19937 random(7);
    size_t n_sent = 0;
    size_t n_sent_late = 0;
    int64_t all_know_ms = 0;

    for (uint64_t i = 0; i < N_NODES; i++) {
        nodes.push_back(std::make_unique<Node>(0, i + 1));
        for (uint64_t part = 0; part < PER_NODE; part++) {
            nodes[i]->crash({10000 + i * PER_NODE + part}, i, 0);
        }
    }
    for (int64_t now_ms = 1000; now_ms <= 3000; now_ms += 1000) {
        nodes[0]->crash({CULPRIT}, 100 + (uint64_t)now_ms, now_ms);
    }
    for (int64_t now_ms = 3100; now_ms <= 63000; now_ms += ROUND_MS) {
        size_t n_blocking = 0;
        for (auto &node : nodes) {
            GArray *records =
                quarantine_take(&node->quarantine, false, now_ms);
            if (records == nullptr) {
                continue;
            }
            EXPECT_LE(records->len, (guint)MAX_SENT);
            n_sent += records->len;
            n_sent_late += now_ms > 33000 ? records->len : 0;
            for (int i = 0; i < 3; i++) {
                nodes[random() % N_NODES]->receive(records, now_ms + 30);
            }
            g_array_free(records, TRUE);
        }
        for (auto &node : nodes) {
            n_blocking += node->blocks({CULPRIT}, now_ms) ? 1 : 0;
        }
        if (n_blocking == N_NODES && all_know_ms == 0) {
            all_know_ms = now_ms;
        }
    }
    EXPECT_EQ(n_sent_late, 0U);
    EXPECT_GT(n_sent, 0U);
    EXPECT_NE(all_know_ms, 0);
    EXPECT_LE(all_know_ms, 4500) << "the one that blocks goes first";
}

/* Plays requests at nine servers and ten nodes, one in each step.  A part of
 * one in culprit_every crashes each server that begins to answer one; other
 * requests run beside it, and servers also crash for other reasons.  Crashes
 * reach the other nodes after 300 ms. */
struct Outcome {
    int n_crashes = 0;      /* by the part */
    int n_late_crashes = 0; /* of these, 5 s after the fifth and later */
    /* Of the requests with the culprit's first part. */
    int n_refused_sound = 0;
    int n_sound = 0;
    int64_t fifth_crash_ms = 0;
};

void
count_crash(Outcome &outcome, int64_t now_ms)
{
    enum { WINDOW_MS = 5000 };

    outcome.n_crashes++;
    if (outcome.n_crashes == 5) {
        outcome.fifth_crash_ms = now_ms;
    }
    if (outcome.n_crashes > 5 && now_ms > outcome.fifth_crash_ms + WINDOW_MS) {
        outcome.n_late_crashes++;
    }
}

struct Load {
    int n_steps = 800;
    int64_t step_ms = 25;
    int culprit_every = 20;
    int first_culprit = 0; /* step from which they come */
    unsigned n_firsts = 1; /* first parts of sound requests */
};

Outcome
play(int max_crashes, uint32_t seed, const Load &load)
{
    enum {
        N_NODES = 10,
        N_SERVERS = 9,
        SPREAD_MS = 300,
        DOWN_MS = 2000,
        RANDOM_CRASH_STEPS = 120
    };
    std::mt19937 random(seed);
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<int64_t> down_until(N_SERVERS, 0);
    Outcome outcome;

    std::vector<uint64_t> numbers = make_numbers(N_NODES);
    for (uint64_t number : numbers) {
        nodes.push_back(std::make_unique<Node>(max_crashes, number));
        nodes.back()->set_nodes(numbers);
    }
    /* Each step one request comes.  It waits on a server beside the one that
     * came before it, which a crash takes with it. */
    std::vector<uint64_t> neighbour;
    int neighbour_server = -1;
    size_t neighbour_node = 0;
    for (int step = 1; step <= load.n_steps; step++) {
        int64_t now_ms = step * load.step_ms;
        Node &node = *nodes[random() % N_NODES];
        bool is_culprit = random() % (unsigned)load.culprit_every == 0 &&
                          step >= load.first_culprit;
        uint64_t first = SHARED;
        if (!is_culprit && load.n_firsts > 1 &&
            random() % load.n_firsts != 0) {
            first = 1000000 + random() % load.n_firsts;
        }
        bool is_sound = !is_culprit && first == SHARED;
        std::vector<uint64_t> ids = {first, FIRST_GROUP + random() % 200,
                                     is_culprit ? (uint64_t)CULPRIT
                                                : 10000 + (uint64_t)step};
        int server = (int)(random() % N_SERVERS);
        for (int i = 0; i < N_SERVERS && down_until[server] > now_ms; i++) {
            server = (server + 1) % N_SERVERS;
        }
        outcome.n_sound += is_sound ? 1 : 0;
        if (node.refuses(ids, now_ms)) {
            outcome.n_refused_sound += is_sound ? 1 : 0;
        }
        else if (is_culprit || step % RANDOM_CRASH_STEPS == 0) {
            if (is_culprit) {
                count_crash(outcome, now_ms);
            }
            node.crash(ids, (uint64_t)server, now_ms);
            down_until[server] = now_ms + DOWN_MS;
            if (neighbour_server == server) {
                nodes[neighbour_node]->crash(neighbour, (uint64_t)server,
                                             now_ms);
            }
        }
        else {
            node.answer(ids, now_ms);
            neighbour = ids;
            neighbour_server = server;
        }
        if (now_ms % SPREAD_MS == 0) {
            for (int i = 0; i < 2 * N_NODES; i++) {
                nodes[i % N_NODES]->send_to(*nodes[(i + 1) % N_NODES], now_ms);
            }
        }
    }
    return outcome;
}

TEST(Quarantine, PlayedCrashesEndAndSoundRequestsGoOn)
{
    enum { NEVER = 1000 };

    for (uint32_t seed = 1; seed <= 20; seed++) {
        Outcome without = play(NEVER, seed, {});
        Outcome with = play(0, seed, {});
        EXPECT_GE(without.n_crashes, 20) << seed;
        EXPECT_LE(with.n_crashes, 8) << seed;
        EXPECT_LE(with.n_refused_sound, with.n_sound / 100) << seed;
    }
}

/* Ten requests a second, half of them with the part.  Sound requests with the
 * same first part are one in ten of the others. */
TEST(Quarantine, QuickCrashesOfALowLoadRefuseFewSoundRequests)
{
    Load load;

    load.n_steps = 500;
    load.step_ms = 100;
    load.culprit_every = 2;
    load.first_culprit = 200;
    load.n_firsts = 10;
    for (uint32_t seed = 1; seed <= 20; seed++) {
        Outcome outcome = play(0, seed, load);
        EXPECT_LE(outcome.n_late_crashes, 3) << seed;
        EXPECT_LE(2 * outcome.n_refused_sound, outcome.n_sound) << seed;
    }
}

} // namespace
