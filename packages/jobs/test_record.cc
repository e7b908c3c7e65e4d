#include <gtest/gtest.h>

#include <cstring>
#include <set>
#include <string>
#include <vector>

#include "jobs/archive.h"
#include "jobs/events.h"
#include "jobs/record.h"

namespace {

struct jobs_head
make_head()
{
    struct jobs_head head;
    int64_t tokens[] = {10, 20, 30};
    struct jobs_listed listed[] = {{2, true}, {0, false}};

    jobs_head_init(&head, "j");
    head.host = g_strdup("h");
    head.path = g_strdup("/p");
    head.route = g_strdup("r");
    head.submitted_ms = 123;
    g_strlcpy(head.runner, "n#1", sizeof(head.runner));
    head.epoch = 4;
    head.n_result_pieces = 2;
    g_array_append_vals(head.tokens, tokens, 3);
    g_array_append_vals(head.listed, listed, 2);
    return head;
}

TEST(Record, AHeadIsDecodedUnchanged)
{
    struct jobs_head head = make_head();
    struct jobs_head decoded;
    struct base_error err = {};
    GBytes *bytes = jobs_head_encode(&head);

    ASSERT_TRUE(jobs_head_decode("j", bytes, &decoded, &err)) << err.text;
    EXPECT_STREQ(decoded.runner, "n#1");
    EXPECT_EQ(decoded.epoch, 4);
    EXPECT_EQ(decoded.n_result_pieces, 2);
    ASSERT_EQ(decoded.listed->len, 2u);
    EXPECT_EQ(g_array_index(decoded.listed, struct jobs_listed, 1).item, 0);
    EXPECT_FALSE(
        g_array_index(decoded.listed, struct jobs_listed, 1).is_completed);
    EXPECT_EQ(jobs_head_waiting_tokens(&decoded), 20);
    EXPECT_TRUE(jobs_head_is_open(&decoded));
    decoded.is_ended = true;
    EXPECT_EQ(jobs_head_waiting_tokens(&decoded), 0);
    g_bytes_unref(bytes);
    jobs_head_finish(&head);
    jobs_head_finish(&decoded);
}

/* Guards against results that are skipped or returned twice by a read that
 * starts at a piece. */
TEST(Record, AHeadTellsWhichPieceHasAPosition)
{
    struct {
        const char *name;
        std::vector<std::pair<int, int>> commits; /* pieces and results */
        int n_unknown;           /* pieces that an earlier version wrote */
        std::vector<int> pieces; /* expected, by position */
        std::vector<int> starts; /* of these pieces */
    } cases[] = {
        {"one commit", {{1, 3}}, 0, {0, 0, 0}, {0, 0, 0}},
        {"a result in three pieces",
         {{1, 2}, {3, 1}, {1, 1}},
         0,
         {0, 0, 1, 4},
         {0, 0, 2, 3}},
        {"an earlier version wrote some",
         {{1, 2}, {1, 2}},
         1,
         {0, 0, 0, 0},
         {0, 0, 0, 0}},
    };

    for (auto &row : cases) {
        SCOPED_TRACE(row.name);
        struct jobs_head head = make_head();
        struct jobs_head decoded;
        struct base_error err = {};
        int64_t tokens = 1;
        g_array_set_size(head.listed, 0);
        head.n_result_pieces = row.n_unknown;
        for (auto [n_pieces, n_results] : row.commits) {
            jobs_head_add_pieces(&head, n_pieces, (int)head.listed->len);
            for (int i = 0; i < n_results; i++) {
                struct jobs_listed listed = {(int)head.listed->len, true};
                g_array_append_val(head.tokens, tokens);
                g_array_append_val(head.listed, listed);
            }
        }
        GBytes *bytes = jobs_head_encode(&head);
        ASSERT_TRUE(jobs_head_decode("j", bytes, &decoded, &err)) << err.text;
        for (int i = 0; i < (int)decoded.listed->len; i++) {
            int piece = jobs_head_find_piece(&decoded, i);
            EXPECT_EQ(piece, row.pieces[i]) << i;
            EXPECT_EQ(jobs_head_piece_start(&decoded, piece), row.starts[i])
                << i;
        }
        g_bytes_unref(bytes);
        jobs_head_finish(&head);
        jobs_head_finish(&decoded);
    }
}

/* A head that another version wrote, or that is damaged, must not crash the
 * node. */
TEST(Record, AnInvalidHeadIsReportedAsCorrupt)
{
    static const char *const TEXTS[] = {"", "{", "[]", "{\"tokens\":[]}",
                                        "{\"tokens\":[1],\"listed\":[1]}"};

    for (const char *text : TEXTS) {
        SCOPED_TRACE(text);
        struct jobs_head head;
        struct base_error err = {};
        GBytes *bytes = g_bytes_new(text, strlen(text));
        EXPECT_FALSE(jobs_head_decode("j", bytes, &head, &err));
        EXPECT_EQ(err.code, BASE_CORRUPT);
        g_bytes_unref(bytes);
    }
}

TEST(Record, ResultsWithAnyBytesAreDecodedUnchanged)
{
    GPtrArray *results = g_ptr_array_new_with_free_func(jobs_result_free);
    GPtrArray *decoded = g_ptr_array_new_with_free_func(jobs_result_free);
    struct base_error err = {};

    g_ptr_array_add(results, jobs_result_new("a", true, "x\0\xff", 3));
    g_ptr_array_add(results, jobs_result_new("b", false, "dropped", 7));
    GBytes *bytes = jobs_results_encode(results);
    ASSERT_TRUE(jobs_results_decode(bytes, decoded, &err)) << err.text;
    ASSERT_EQ(decoded->len, 2u);
    auto *first = (struct jobs_result *)decoded->pdata[0];
    EXPECT_EQ(std::string(first->text, first->size),
              std::string("x\0\xff", 3));
    EXPECT_EQ(((struct jobs_result *)decoded->pdata[1])->size, 0u);
    /* Any truncation is reported as an error. */
    for (gsize size = 0; size < g_bytes_get_size(bytes); size++) {
        GBytes *cut = g_bytes_new_from_bytes(bytes, 0, size);
        GPtrArray *none = g_ptr_array_new_with_free_func(jobs_result_free);
        EXPECT_FALSE(jobs_results_decode(cut, none, &err));
        g_ptr_array_free(none, TRUE);
        g_bytes_unref(cut);
    }
    g_bytes_unref(bytes);
    g_ptr_array_free(results, TRUE);
    g_ptr_array_free(decoded, TRUE);
}

/* Pieces that are missing at the end must be reported, not yield a shorter
 * text. */
TEST(Record, ALongTextIsSplitIntoPieces)
{
    std::string text;
    struct base_error err = {};
    uint32_t state = 1;

    while (text.size() < 2000000) {
        state = state * 1664525 + 1013904223;
        text += (char)(state >> 24);
    }
    GBytes *bytes = g_bytes_new(text.data(), text.size());
    GPtrArray *pieces = jobs_text_split(bytes, 700000);
    EXPECT_GE(pieces->len, 3u);
    GBytes *decoded = jobs_text_join(pieces, &err);
    ASSERT_NE(decoded, nullptr) << err.text;
    EXPECT_TRUE(g_bytes_equal(bytes, decoded));
    g_bytes_unref(decoded);
    g_ptr_array_set_size(pieces, (gint)pieces->len - 1);
    EXPECT_EQ(jobs_text_join(pieces, &err), nullptr);
    g_ptr_array_free(pieces, TRUE);
    g_bytes_unref(bytes);
}

/* Returns bytes that cannot be compressed. */
std::string
noise(size_t size, uint32_t state)
{
    std::string text;
    while (text.size() < size) {
        state = state * 1664525 + 1013904223;
        text += (char)(state >> 24);
    }
    return text;
}

/* Guards against values above the store's limit, and against results that are
 * read back cut off or joined to others. */
TEST(Record, ResultsAreSplitIntoPiecesWithinTheLimitAndReadBackWhole)
{
    struct {
        const char *name;
        int64_t value_bytes;
        std::vector<size_t> sizes; /* of the texts; an odd item is given up */
        guint n_pieces;            /* 0: not checked */
    } cases[] = {
        {"none", 4096, {}, 0},
        {"empty texts", 4096, {0, 0, 0}, 1},
        {"one piece", 4096, {1000, 0, 1000}, 1},
        {"a text of exactly the room", 4096, {3967}, 1},
        {"one byte more", 4096, {3968}, 2},
        {"a long text among short ones", 4096, {100, 50, 9000, 50, 100}, 0},
        {"a text of 2 MB", 1 << 20, {2000000}, 2},
        {"texts of 16 MB", 1 << 20, {16 << 20, 7, 16 << 20}, 0},
    };

    for (const auto &row : cases) {
        SCOPED_TRACE(row.name);
        struct platform_limits limits = {row.value_bytes, 32};
        GPtrArray *results = g_ptr_array_new_with_free_func(jobs_result_free);
        GPtrArray *decoded = g_ptr_array_new_with_free_func(jobs_result_free);
        struct base_error err = {};
        for (size_t i = 0; i < row.sizes.size(); i++) {
            std::string text = noise(row.sizes[i], (uint32_t)i + 1);
            g_ptr_array_add(results,
                            jobs_result_new(("i" + std::to_string(i)).c_str(),
                                            i % 2 == 0, text.data(),
                                            text.size()));
        }
        GPtrArray *pieces =
            jobs_results_split(results, jobs_piece_bytes(&limits));
        if (row.n_pieces > 0) {
            EXPECT_EQ(pieces->len, row.n_pieces);
        }
        for (guint i = 0; i < pieces->len; i++) {
            auto *piece = (GBytes *)pieces->pdata[i];
            EXPECT_LE((int64_t)g_bytes_get_size(piece) +
                          PLATFORM_IDENTITY_BYTES,
                      row.value_bytes);
            ASSERT_TRUE(jobs_results_decode(piece, decoded, &err)) << err.text;
        }
        EXPECT_TRUE(jobs_results_are_whole(decoded));
        ASSERT_EQ(decoded->len, row.sizes.size());
        for (guint i = 0; i < decoded->len; i++) {
            auto *want = (struct jobs_result *)results->pdata[i];
            auto *at = (struct jobs_result *)decoded->pdata[i];
            EXPECT_STREQ(at->id, want->id);
            EXPECT_EQ(at->is_completed, want->is_completed);
            ASSERT_EQ(at->size, want->size);
            EXPECT_EQ(memcmp(at->text, want->text, at->size), 0);
        }
        if (pieces->len > 1) {
            /* The last piece is missing. */
            g_ptr_array_set_size(decoded, 0);
            for (guint i = 0; i + 1 < pieces->len; i++) {
                jobs_results_decode((GBytes *)pieces->pdata[i], decoded, &err);
            }
            EXPECT_FALSE(jobs_results_are_whole(decoded) &&
                         decoded->len == row.sizes.size());
        }
        g_ptr_array_free(pieces, TRUE);
        g_ptr_array_free(results, TRUE);
        g_ptr_array_free(decoded, TRUE);
    }
}

/* Checks which streams are complete and which can be resumed.  A missing or
 * repeated event must be detected, and a stream without ids cannot be
 * resumed. */
struct jobs_result *
result_of(size_t size)
{
    std::string text(size, 'x');
    return jobs_result_new("i", true, text.data(), text.size());
}

/* Each job has results of some bytes; the archive has room for 1,000. */
TEST(Archive, KeepsTheNewestJobsThatFit)
{
    struct {
        const char *name;
        std::vector<std::pair<const char *, size_t>> added;
        std::set<std::string> want;
    } cases[] = {
        {"all fit", {{"a", 100}, {"b", 100}}, {"a", "b"}},
        {"the oldest goes", {{"a", 300}, {"b", 300}, {"c", 300}}, {"b", "c"}},
        {"one that is too large", {{"a", 100}, {"b", 2000}}, {"a"}},
        {"added again", {{"a", 100}, {"a", 100}}, {"a"}},
    };

    for (const auto &row : cases) {
        struct jobs_archive archive;
        std::set<std::string> found;
        jobs_archive_init(&archive, 1000);
        for (const auto &[id, size] : row.added) {
            GPtrArray *results =
                g_ptr_array_new_with_free_func(jobs_result_free);
            g_ptr_array_add(results, result_of(size));
            jobs_archive_add(&archive, id, "", 1, results);
        }
        for (const char *id : {"a", "b", "c"}) {
            const struct jobs_archived *job = jobs_archive_find(&archive, id);
            if (job != nullptr) {
                EXPECT_EQ(job->results->len, 1u);
                found.insert(id);
            }
        }
        EXPECT_EQ(found, row.want) << row.name;
        jobs_archive_finish(&archive);
    }
}

TEST(Events, StreamsAreCollectedAndChecked)
{
    struct {
        const char *name;
        std::vector<std::string> parts;
        std::string text;
        bool is_complete;
        bool may_resume;
    } cases[] = {
        {"a whole stream",
         {"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"},
         "a\nb",
         true,
         true},
        {"cut within an event",
         {"id: 1\ndata: a\n\nid: 2\nda"},
         "a",
         false,
         true},
        {"arrives in small pieces",
         {"id", ": 1\nda", "ta: a\n", "\n"},
         "a",
         true,
         true},
        {"data of two lines",
         {"id: 1\ndata: a\ndata: b\n\n"},
         "a\nb",
         true,
         true},
        {"an unknown field",
         {"x-weight: 3\nid: 1\ndata: a\n\n"},
         "a",
         true,
         true},
        {"a comment between events",
         {"id: 1\ndata: a\n\n: ping\n\n"},
         "a",
         true,
         true},
        {"an event is missing",
         {"id: 1\ndata: a\n\nid: 3\ndata: c\n\n"},
         "a",
         false,
         false},
        {"a repeated event",
         {"id: 1\ndata: a\n\nid: 1\ndata: a\n\n"},
         "a",
         false,
         false},
        {"an id past the largest number",
         {"id: 9223372036854775807\ndata: a\n\n",
          "id: -9223372036854775808\ndata: b\n\n"},
         "a",
         false,
         false},
        {"ids that rise by more than one",
         {"id: 10\ndata: a\n\nid: 25\ndata: b\n\nid: 26\ndata: c\n\n"},
         "a\nb\nc",
         true,
         true},
        {"ids that rise and fall",
         {"id: 10\ndata: a\n\nid: 25\ndata: b\n\nid: 24\ndata: c\n\n"},
         "a\nb",
         false,
         false},
        {"lines that end with CR LF",
         {"id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n"},
         "a\nb",
         true,
         true},
        {"CR LF in pieces",
         {"id: 1\r", "\ndata: a\r", "\n", "\r", "\nid: 2\r\ndata: b\r\n\r",
          "\n"},
         "a\nb",
         true,
         true},
        {"lines that end with CR",
         {"id: 1\rdata: a\r\rid: 2\rdata: b\r\r"},
         "a\nb",
         true,
         true},
        {"line ends of all kinds",
         {"id: 1\r\ndata: a\n\rid: 2\rdata: b\n\n\n\n"},
         "a\nb",
         true,
         true},
        {"a zero byte",
         {std::string("id: 1\ndata: a\0b\n\n", 17)},
         std::string("a\0b", 3),
         true,
         true},
        {"without ids", {"data: a\n\ndata: b\n\n"}, "a\nb", true, false},
        {"no events", {}, "", false, false},
    };

    for (const auto &row : cases) {
        SCOPED_TRACE(row.name);
        struct jobs_events events;
        jobs_events_init(&events);
        jobs_events_begin(&events, false);
        for (const auto &part : row.parts) {
            jobs_events_feed(&events, part.data(), part.size());
        }
        EXPECT_EQ(std::string(events.text->str, events.text->len), row.text);
        EXPECT_EQ(jobs_events_are_complete(&events), row.is_complete);
        EXPECT_EQ(jobs_events_may_resume(&events), row.may_resume);
        jobs_events_finish(&events);
    }
}

/* If a server resumes after a later event than the last one received, an event
 * is missing from the output.  A new attempt from the start discards the
 * corrupt output. */
TEST(Events, AnEventMissingAfterAResumeIsDetected)
{
    struct jobs_events events;
    static const char FIRST[] = "id: 1\ndata: a\n\n";
    static const char NEXT[] = "id: 3\ndata: c\n\n";

    jobs_events_init(&events);
    jobs_events_begin(&events, false);
    jobs_events_feed(&events, FIRST, strlen(FIRST));
    jobs_events_begin(&events, true);
    jobs_events_feed(&events, NEXT, strlen(NEXT));
    EXPECT_FALSE(jobs_events_are_complete(&events));
    jobs_events_begin(&events, false);
    EXPECT_EQ(events.count, 0);
    EXPECT_EQ(events.text->len, 0u);
    jobs_events_finish(&events);
}

} // namespace
