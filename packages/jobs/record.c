#include "jobs/record.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <zstd.h>

#include "base/http_text.h"

enum {
    MIN_PIECE_BYTES = 1024, /* above the overhead of a result */
    MIN_PART_BYTES = 512,   /* a text is not split for less room in a piece */
    MAX_TEXT_BYTES = 64 << 20, /* maximum size of a decompressed text */
    COMPRESSION_LEVEL = 1, /* zstd level: least CPU time, most of the saving */
};

/* Initialises the head of a new job. */
void
jobs_head_init(struct jobs_head *head, const char *id)
{
    memset(head, 0, sizeof(*head));
    g_strlcpy(head->id, id, sizeof(head->id));
    head->tokens = g_array_new(FALSE, TRUE, sizeof(int64_t));
    head->listed = g_array_new(FALSE, TRUE, sizeof(struct jobs_listed));
    head->piece_starts = g_array_new(FALSE, TRUE, sizeof(int));
}

/* Frees the contents of a head. */
void
jobs_head_finish(struct jobs_head *head)
{
    g_free(head->host);
    g_free(head->path);
    g_free(head->route);
    g_free(head->region);
    if (head->tokens != NULL) {
        g_array_free(head->tokens, TRUE);
        g_array_free(head->listed, TRUE);
        g_array_free(head->piece_starts, TRUE);
    }
    memset(head, 0, sizeof(*head));
}

/* Copies a head; `to` must have no contents. */
void
jobs_head_copy(struct jobs_head *to, const struct jobs_head *from)
{
    *to = *from;
    to->host = g_strdup(from->host);
    to->path = g_strdup(from->path);
    to->route = g_strdup(from->route);
    to->region = g_strdup(from->region);
    to->tokens = g_array_copy(from->tokens);
    to->listed = g_array_copy(from->listed);
    to->piece_starts = g_array_copy(from->piece_starts);
}

static json_t *
encode_starts(const struct jobs_head *head)
{
    json_t *starts = json_array();

    for (guint i = 0; i < head->piece_starts->len; i++) {
        json_array_append_new(
            starts, json_integer(g_array_index(head->piece_starts, int, i)));
    }
    return starts;
}

/* Encodes a head for storage; the caller owns the bytes.  Texts that cannot be
 * stored are refused before (jobs_can_store); here they must only not crash.
 * In the list "listed" item N is stored as N when it is completed, and as
 * -1 - N when it was given up. */
GBytes *
jobs_head_encode(const struct jobs_head *head)
{
    json_t *tokens = json_array();
    json_t *listed = json_array();
    json_t *root;
    char *text;
    GBytes *bytes;

    for (guint i = 0; i < head->tokens->len; i++) {
        json_array_append_new(
            tokens, json_integer(g_array_index(head->tokens, int64_t, i)));
    }
    for (guint i = 0; i < head->listed->len; i++) {
        const struct jobs_listed *at =
            &g_array_index(head->listed, struct jobs_listed, i);
        json_array_append_new(
            listed, json_integer(at->is_completed ? at->item : -1 - at->item));
    }
    root = json_pack(
        "{s:i,s:o,s:o,s:o,s:o,s:I,s:o,s:I,s:b,s:i,s:i,s:o,s:o}", "format", 1,
        "host", base_json_text(head->host), "path", base_json_text(head->path),
        "route", base_json_text(head->route), "region",
        base_json_text(head->region), "submitted_ms",
        (json_int_t)head->submitted_ms, "runner", base_json_text(head->runner),
        "epoch", (json_int_t)head->epoch, "ended", head->is_ended,
        "input_pieces", head->n_input_pieces, "result_pieces",
        head->n_result_pieces, "tokens", tokens, "listed", listed);
    if (head->piece_starts->len > 0) {
        json_object_set_new(root, "piece_starts", encode_starts(head));
    }
    if (head->operator_name[0] != '\0') {
        json_object_set_new(root, "operator",
                            base_json_text(head->operator_name));
    }
    if (head->input_bytes > 0) {
        json_object_set_new(root, "input_bytes",
                            json_integer(head->input_bytes));
    }
    if (head->config_revision > 0) {
        json_object_set_new(root, "config",
                            json_integer(head->config_revision));
    }
    text = json_dumps(root, JSON_COMPACT);
    bytes = g_bytes_new(text, strlen(text));
    free(text);
    json_decref(root);
    return bytes;
}

static bool
read_lists(const json_t *root, struct jobs_head *head)
{
    const json_t *tokens = json_object_get(root, "tokens");
    const json_t *listed = json_object_get(root, "listed");
    int n_items = (int)json_array_size(tokens);

    for (int i = 0; i < n_items; i++) {
        int64_t value = json_integer_value(json_array_get(tokens, (size_t)i));
        value = CLAMP(value, 0, JOBS_MAX_TOKENS);
        g_array_append_val(head->tokens, value);
    }
    for (size_t i = 0; i < json_array_size(listed); i++) {
        int64_t value = json_integer_value(json_array_get(listed, i));
        int64_t item = value >= 0 ? value : -1 - value;
        struct jobs_listed at = {
            .item = (int)item,
            .is_completed = value >= 0,
        };
        if (item >= n_items) {
            return false;
        }
        g_array_append_val(head->listed, at);
    }
    return n_items > 0;
}

/* Reads the positions at which pieces start.  A version of this program that
 * knows none of them may have added pieces, and kept no list. */
static void
read_starts(const json_t *root, struct jobs_head *head)
{
    const json_t *starts = json_object_get(root, "piece_starts");
    int last = 0;

    if ((int)json_array_size(starts) != head->n_result_pieces) {
        return;
    }
    for (size_t i = 0; i < json_array_size(starts); i++) {
        int64_t value = json_integer_value(json_array_get(starts, i));
        if (value < last || value > (int64_t)head->listed->len) {
            g_array_set_size(head->piece_starts, 0);
            return;
        }
        last = (int)value;
        g_array_append_val(head->piece_starts, last);
    }
}

/* Reads a string member into a buffer; "" if it is missing. */
static void
read_text(const json_t *root, const char *name, char *out, size_t size)
{
    const char *text = json_string_value(json_object_get(root, name));

    g_strlcpy(out, text != NULL ? text : "", size);
}

static char *
copy_text(const json_t *root, const char *name)
{
    const char *text = json_string_value(json_object_get(root, name));

    return g_strdup(text != NULL ? text : "");
}

/* Decodes a stored head.  Returns false with BASE_CORRUPT when it is invalid;
 * `out` then has no contents. */
bool
jobs_head_decode(const char *id, GBytes *bytes, struct jobs_head *out,
                 struct base_error *err)
{
    gsize size = 0;
    const char *text = g_bytes_get_data(bytes, &size);
    json_t *root = json_loadb(text, size, 0, NULL);
    bool is_ok;

    jobs_head_init(out, id);
    out->host = copy_text(root, "host");
    out->path = copy_text(root, "path");
    out->route = copy_text(root, "route");
    out->region = copy_text(root, "region");
    read_text(root, "runner", out->runner, sizeof(out->runner));
    read_text(root, "operator", out->operator_name,
              sizeof(out->operator_name));
    out->config_revision = json_integer_value(json_object_get(root, "config"));
    out->submitted_ms =
        json_integer_value(json_object_get(root, "submitted_ms"));
    out->epoch = json_integer_value(json_object_get(root, "epoch"));
    out->is_ended = json_is_true(json_object_get(root, "ended"));
    out->n_input_pieces =
        (int)json_integer_value(json_object_get(root, "input_pieces"));
    out->input_bytes =
        MAX(json_integer_value(json_object_get(root, "input_bytes")), 0);
    out->n_result_pieces =
        (int)json_integer_value(json_object_get(root, "result_pieces"));
    is_ok = read_lists(root, out);
    read_starts(root, out);
    json_decref(root);
    if (!is_ok) {
        base_error_set(err, BASE_CORRUPT,
                       "the stored head of job %s is not valid", id);
        jobs_head_finish(out);
    }
    return is_ok;
}

/* Returns whether the job has items that have no result yet and was not
 * ended. */
bool
jobs_head_is_open(const struct jobs_head *head)
{
    return !head->is_ended && head->listed->len < head->tokens->len;
}

/* Returns whether an operator's calls may read and end the job. */
bool
jobs_head_admits(const struct jobs_head *head, const char *operator_name)
{
    return head->operator_name[0] == '\0' ||
           strcmp(head->operator_name, operator_name) == 0;
}

/* Adds pieces that a commit writes, of results from the position `first`
 * on. */
void
jobs_head_add_pieces(struct jobs_head *head, int n_pieces, int first)
{
    bool is_known = (int)head->piece_starts->len == head->n_result_pieces;

    for (int i = 0; is_known && i < n_pieces; i++) {
        g_array_append_val(head->piece_starts, first);
    }
    head->n_result_pieces += n_pieces;
}

/* Returns the number of the first piece of the commit that has the result at a
 * position; 0 if that is not known. */
int
jobs_head_find_piece(const struct jobs_head *head, int position)
{
    int found = 0;

    for (int i = 1; i < (int)head->piece_starts->len; i++) {
        int start = g_array_index(head->piece_starts, int, i);
        if (start <= position && start > jobs_head_piece_start(head, found)) {
            found = i;
        }
    }
    return found;
}

/* Returns the position of the first result of the commit that wrote a
 * piece. */
int
jobs_head_piece_start(const struct jobs_head *head, int piece)
{
    return piece < (int)head->piece_starts->len
               ? g_array_index(head->piece_starts, int, piece)
               : 0;
}

/* Returns the sum of the tokens of items without a result; 0 for a job that
 * has ended. */
int64_t
jobs_head_waiting_tokens(const struct jobs_head *head)
{
    int64_t sum = 0;

    if (!jobs_head_is_open(head)) {
        return 0;
    }
    for (guint i = 0; i < head->tokens->len; i++) {
        sum += g_array_index(head->tokens, int64_t, i);
    }
    for (guint i = 0; i < head->listed->len; i++) {
        sum -= g_array_index(
            head->tokens, int64_t,
            g_array_index(head->listed, struct jobs_listed, i).item);
    }
    return MAX(sum, 0); /* an item may be listed twice */
}

/* Returns the key of a job's head; the caller frees it. */
char *
jobs_head_key(const char *id)
{
    return g_strconcat(JOBS_HEAD_PREFIX, id, NULL);
}

/* Returns the key of the head of a complete or ended job; the caller frees
 * it. */
char *
jobs_done_key(const char *id)
{
    return g_strconcat(JOBS_DONE_PREFIX, id, NULL);
}

/* Returns the key of the refusal of a submission of a job; the caller frees
 * it. */
char *
jobs_refusal_key(const char *id, const char *submission)
{
    return g_strconcat(JOBS_REFUSAL_PREFIX, id, "/", submission, NULL);
}

/* Returns the key of a piece of input or results; the caller frees it.  Keys
 * sort by piece number. */
char *
jobs_piece_key(const char *prefix, const char *id, int number)
{
    return g_strdup_printf("%s%s/%06d", prefix, id, number);
}

/* Returns the key of a piece of a job's checkpoint, counted from 0; the caller
 * frees it.  Keys sort by piece number, after those of results. */
char *
jobs_checkpoint_key(const char *id, int number)
{
    return number == 0 ? g_strconcat(JOBS_RESULTS_PREFIX, id, "/partial", NULL)
                       : g_strdup_printf("%s%s/partial.%03d",
                                         JOBS_RESULTS_PREFIX, id, number);
}

/* Returns the number of a piece of a checkpoint from its key, which has the
 * prefix of a job's results, or -1 if it is another key. */
int
jobs_checkpoint_number(const char *key)
{
    static const char FIRST[] = "/partial";
    const char *name = strrchr(key, '/');
    guint64 number;

    if (name == NULL || !g_str_has_prefix(name, FIRST)) {
        return -1;
    }
    name += strlen(FIRST);
    if (*name == '\0') {
        return 0;
    }
    return *name == '.' && g_ascii_string_to_unsigned(name + 1, 10, 1, 999,
                                                      &number, NULL)
               ? (int)number
               : -1;
}

/* ---- compressed texts ---- */

/* Returns how many bytes of a text or of encoded results a stored piece may
 * hold, so that its value is within the limits whatever the bytes are. */
int64_t
jobs_piece_bytes(const struct platform_limits *limits)
{
    /* More than ZSTD_compressBound adds: 1/256, and 64 bytes. */
    int64_t growth = limits->value_bytes / 128 + 64;

    return MAX(limits->value_bytes - PLATFORM_IDENTITY_BYTES - growth,
               MIN_PIECE_BYTES);
}

static GBytes *
compress(const void *data, size_t size)
{
    size_t bound = ZSTD_compressBound(size);
    void *out = g_malloc(bound);
    size_t used = ZSTD_compress(out, bound, data, size, COMPRESSION_LEVEL);

    return g_bytes_new_take(g_realloc(out, MAX(used, 1)), used);
}

static GBytes *
decompress(GBytes *bytes, struct base_error *err)
{
    gsize size = 0;
    const void *data = g_bytes_get_data(bytes, &size);
    unsigned long long full_size = ZSTD_getFrameContentSize(data, size);
    void *out;
    size_t used;

    if (full_size == ZSTD_CONTENTSIZE_ERROR ||
        full_size == ZSTD_CONTENTSIZE_UNKNOWN || full_size > MAX_TEXT_BYTES) {
        base_error_set(err, BASE_CORRUPT,
                       "a stored text is no zstd frame of a permitted size");
        return NULL;
    }
    out = g_malloc((gsize)full_size + 1);
    used = ZSTD_decompress(out, (size_t)full_size, data, size);
    if (ZSTD_isError(used) || used != full_size) {
        base_error_set(err, BASE_CORRUPT,
                       "a stored text cannot be decompressed");
        g_free(out);
        return NULL;
    }
    return g_bytes_new_take(out, used);
}

/* Compresses a submitted text and splits it into pieces for storage.  Returns
 * an array of GBytes, owned by the caller. */
GPtrArray *
jobs_text_split(GBytes *text, int64_t piece_bytes)
{
    GPtrArray *pieces =
        g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
    gsize size = 0;
    const char *data = g_bytes_get_data(text, &size);
    GBytes *packed = compress(data, size);
    gsize full_size = g_bytes_get_size(packed);

    for (gsize at = 0; at < full_size; at += (gsize)piece_bytes) {
        g_ptr_array_add(
            pieces, g_bytes_new_from_bytes(
                        packed, at, MIN(full_size - at, (gsize)piece_bytes)));
    }
    g_bytes_unref(packed);
    return pieces;
}

/* Joins pieces, given in order, and decompresses them.  Returns the text,
 * owned by the caller, or NULL with BASE_CORRUPT. */
GBytes *
jobs_text_join(const GPtrArray *pieces, struct base_error *err)
{
    GByteArray *packed = g_byte_array_new();
    GBytes *bytes;
    GBytes *text;

    for (guint i = 0; i < pieces->len; i++) {
        gsize size = 0;
        const guint8 *data = g_bytes_get_data(pieces->pdata[i], &size);
        g_byte_array_append(packed, data, (guint)size);
    }
    bytes = g_byte_array_free_to_bytes(packed);
    text = decompress(bytes, err);
    g_bytes_unref(bytes);
    return text;
}

/* ---- results ---- */

static void
append_number(GByteArray *out, uint32_t value)
{
    uint32_t little_endian = GUINT32_TO_LE(value);

    g_byte_array_append(out, (const guint8 *)&little_endian,
                        sizeof(little_endian));
}

/* The flags of an encoded result. */
enum {
    FLAG_COMPLETED = 1,
    FLAG_PARTIAL = 2, /* the next piece begins with the rest of its text */
};

enum { RESULT_NUMBERS_BYTES = 3 * sizeof(uint32_t) };

/* Returns the size of an encoded result with a text of some bytes. */
int64_t
jobs_result_bytes(const char *id, size_t size)
{
    return RESULT_NUMBERS_BYTES + (int64_t)strlen(id) + (int64_t)size;
}

/* Appends a result with a part of its text. */
static void
append_result(GByteArray *out, const struct jobs_result *result, size_t at,
              size_t size)
{
    bool is_partial = at + size < result->size;

    append_number(out, (result->is_completed ? FLAG_COMPLETED : 0) |
                           (is_partial ? FLAG_PARTIAL : 0));
    append_number(out, (uint32_t)strlen(result->id));
    g_byte_array_append(out, (const guint8 *)result->id,
                        (guint)strlen(result->id));
    append_number(out, (uint32_t)size);
    g_byte_array_append(out, (const guint8 *)result->text + at, (guint)size);
}

/* Encodes results, of struct jobs_result, in one value, for a message; the
 * caller owns the bytes.  Each result is its flags, then the item id and the
 * text, both preceded by their sizes; numbers have 32 bits, little endian. */
GBytes *
jobs_results_encode(const GPtrArray *results)
{
    GByteArray *out = g_byte_array_new();
    GBytes *packed;

    for (guint i = 0; i < results->len; i++) {
        const struct jobs_result *result = results->pdata[i];
        append_result(out, result, 0, result->size);
    }
    packed = compress(out->data, out->len);
    g_byte_array_free(out, TRUE);
    return packed;
}

/* Compresses what was collected for a piece, and begins the next one. */
static void
end_piece(GByteArray *plain, GPtrArray *pieces)
{
    g_ptr_array_add(pieces, compress(plain->data, plain->len));
    g_byte_array_set_size(plain, 0);
}

/* Appends a result to the piece that is being filled, and ends pieces that
 * are full. */
static void
split_result(const struct jobs_result *result, int64_t piece_bytes,
             GByteArray *plain, GPtrArray *pieces)
{
    size_t at = 0;
    bool is_whole = false;

    while (!is_whole) {
        size_t left = result->size - at;
        int64_t room =
            piece_bytes - plain->len - jobs_result_bytes(result->id, 0);
        if (plain->len > 0 && room < (int64_t)MIN(left, MIN_PART_BYTES)) {
            end_piece(plain, pieces);
            continue;
        }
        left = MIN(left, (size_t)MAX(room, 1));
        append_result(plain, result, at, left);
        at += left;
        is_whole = at == result->size;
        if (!is_whole) {
            end_piece(plain, pieces);
        }
    }
}

/* Encodes results for storage, in pieces of at most piece_bytes before their
 * compression.  Returns an array of GBytes, owned by the caller; it is empty
 * without results.  A text that does not fit goes on in the next piece. */
GPtrArray *
jobs_results_split(const GPtrArray *results, int64_t piece_bytes)
{
    GPtrArray *pieces =
        g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
    GByteArray *plain = g_byte_array_new();

    for (guint i = 0; i < results->len; i++) {
        split_result(results->pdata[i], piece_bytes, plain, pieces);
    }
    if (plain->len > 0) {
        end_piece(plain, pieces);
    }
    g_byte_array_free(plain, TRUE);
    return pieces;
}

/* Returns whether the last of the decoded results has all of its text. */
bool
jobs_results_are_whole(const GPtrArray *results)
{
    return results->len == 0 ||
           !((const struct jobs_result *)results->pdata[results->len - 1])
                ->is_partial;
}

/* Returns a copy followed by a zero byte.  The bytes may contain zeros. */
static char *
copy_bytes(const void *bytes, size_t size)
{
    char *copy = g_malloc(size + 1);

    memcpy(copy, bytes, size);
    copy[size] = '\0';
    return copy;
}

/* A position in encoded results. */
struct reader {
    const guint8 *at;
    const guint8 *end;
};

static bool
read_number(struct reader *reader, uint32_t *out)
{
    if (reader->end - reader->at < (ptrdiff_t)sizeof(*out)) {
        return false;
    }
    memcpy(out, reader->at, sizeof(*out));
    *out = GUINT32_FROM_LE(*out);
    reader->at += sizeof(*out);
    return true;
}

static bool
read_result(struct reader *reader, struct jobs_result *out)
{
    uint32_t flags;
    uint32_t size;

    if (!read_number(reader, &flags) || !read_number(reader, &size) ||
        size >= sizeof(out->id) ||
        reader->end - reader->at < (ptrdiff_t)size) {
        return false;
    }
    memcpy(out->id, reader->at, size);
    reader->at += size;
    out->is_completed = (flags & FLAG_COMPLETED) != 0;
    out->is_partial = (flags & FLAG_PARTIAL) != 0;
    if (!read_number(reader, &size) ||
        reader->end - reader->at < (ptrdiff_t)size) {
        return false;
    }
    out->text = copy_bytes(reader->at, size);
    out->size = size;
    reader->at += size;
    return true;
}

/* Returns a result with a copy of the text, owned by the caller.  An item that
 * was given up gets no text. */
struct jobs_result *
jobs_result_new(const char *id, bool is_completed, const char *text,
                size_t size)
{
    struct jobs_result *result = g_new0(struct jobs_result, 1);

    g_strlcpy(result->id, id, sizeof(result->id));
    result->is_completed = is_completed;
    result->size = is_completed ? size : 0;
    result->text = copy_bytes(text, result->size);
    return result;
}

/* Frees a result; usable as the free function of a GPtrArray. */
void
jobs_result_free(gpointer data)
{
    struct jobs_result *result = data;

    g_free(result->text);
    g_free(result);
}

/* Adds a decoded result: appends it, or its text to the last result if that
 * goes on.  Takes over the result; returns false if it is not the rest of the
 * last one. */
static bool
add_result(GPtrArray *out, struct jobs_result *result)
{
    struct jobs_result *last;

    if (jobs_results_are_whole(out)) {
        g_ptr_array_add(out, result);
        return true;
    }
    last = out->pdata[out->len - 1];
    if (strcmp(last->id, result->id) != 0) {
        jobs_result_free(result);
        return false;
    }
    last->text = g_realloc(last->text, last->size + result->size + 1);
    memcpy(last->text + last->size, result->text, result->size + 1);
    last->size += result->size;
    last->is_partial = result->is_partial;
    jobs_result_free(result);
    return true;
}

/* Decodes stored results, or the next piece of them, and appends them to
 * `out`.  After the last piece, jobs_results_are_whole must hold.  Returns
 * false with BASE_CORRUPT when the bytes are invalid; `out` then has the
 * results before the invalid one. */
bool
jobs_results_decode(GBytes *bytes, GPtrArray *out, struct base_error *err)
{
    GBytes *text = decompress(bytes, err);
    struct reader reader;
    gsize size = 0;
    bool is_ok = true;

    if (text == NULL) {
        return false;
    }
    reader.at = g_bytes_get_data(text, &size);
    reader.end = reader.at + size;
    while (is_ok && reader.at < reader.end) {
        struct jobs_result *result = g_new0(struct jobs_result, 1);
        if (!read_result(&reader, result)) {
            jobs_result_free(result);
            is_ok = false;
        }
        else {
            is_ok = add_result(out, result);
        }
    }
    if (!is_ok) {
        base_error_set(err, BASE_CORRUPT, "stored results are cut off");
    }
    g_bytes_unref(text);
    return is_ok;
}
