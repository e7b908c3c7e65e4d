#include "batch/records.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "base/http_text.h"

enum { RECORD_VERSION = 1, BITS_PER_BYTE = 8 };

/* ---- bitmaps ---- */

/* Returns the size in bytes of a bitmap with one bit per item. */
size_t
batch_bitmap_size(int n_items)
{
    return ((size_t)n_items + BITS_PER_BYTE - 1) / BITS_PER_BYTE;
}

bool
batch_bit(const uint8_t *bitmap, int index)
{
    return (bitmap[index / BITS_PER_BYTE] >> (index % BITS_PER_BYTE) & 1) != 0;
}

void
batch_set_bit(uint8_t *bitmap, int index, bool value)
{
    uint8_t mask = (uint8_t)(1U << (index % BITS_PER_BYTE));

    if (value) {
        bitmap[index / BITS_PER_BYTE] |= mask;
    }
    else {
        bitmap[index / BITS_PER_BYTE] &= (uint8_t)~mask;
    }
}

/* ---- JSON helpers ---- */

/* Formats the object as compact JSON and releases it. */
static GBytes *
encode_record(json_t *object)
{
    char *text = json_dumps(object, JSON_COMPACT);
    GBytes *bytes = g_bytes_new(text, strlen(text));

    free(text);
    json_decref(object);
    return bytes;
}

/* Returns NULL if the bytes aren't JSON or have a later format version. */
static json_t *
decode_record(GBytes *bytes)
{
    gsize size;
    const char *text = g_bytes_get_data(bytes, &size);
    json_t *object = json_loadb(text, size, 0, NULL);

    if (object != NULL &&
        json_integer_value(json_object_get(object, "v")) > RECORD_VERSION) {
        json_decref(object);
        return NULL;
    }
    return object;
}

static int64_t
get_int(const json_t *object, const char *name)
{
    return json_integer_value(json_object_get(object, name));
}

static void
get_text(const json_t *object, const char *name, char *out, size_t size)
{
    const char *text = json_string_value(json_object_get(object, name));
    g_strlcpy(out, text == NULL ? "" : text, size);
}

static char *
dup_text(const json_t *object, const char *name)
{
    return g_strdup(json_string_value(json_object_get(object, name)));
}

static void
set_text(json_t *object, const char *name, const char *text)
{
    if (text != NULL) {
        json_object_set_new(object, name, base_json_text(text));
    }
}

static void
set_int(json_t *object, const char *name, int64_t value)
{
    json_object_set_new(object, name, json_integer(value));
}

static json_t *
pieces_to_json(const GArray *pieces)
{
    json_t *list = json_array();

    for (guint i = 0; i < pieces->len; i++) {
        const struct batch_piece *piece =
            &g_array_index(pieces, struct batch_piece, i);
        json_array_append_new(
            list, json_pack("[oIioo]", base_json_text(piece->chunk.name),
                            (json_int_t)piece->chunk.size, piece->items,
                            base_json_text(piece->chunk.holders[0]),
                            base_json_text(piece->chunk.holders[1])));
    }
    return list;
}

/* Skips rows that can't be parsed. */
static GArray *
pieces_from_json(const json_t *list)
{
    GArray *pieces = g_array_new(FALSE, TRUE, sizeof(struct batch_piece));
    size_t index;
    json_t *row;

    json_array_foreach(list, index, row)
    {
        struct batch_piece piece = {0};
        const char *name;
        const char *holders[BULK_COPIES];
        json_int_t size;
        if (json_unpack(row, "[sIiss]", &name, &size, &piece.items,
                        &holders[0], &holders[1]) != 0) {
            continue;
        }
        piece.chunk.size = size;
        g_strlcpy(piece.chunk.name, name, sizeof(piece.chunk.name));
        for (int i = 0; i < BULK_COPIES; i++) {
            g_strlcpy(piece.chunk.holders[i], holders[i],
                      sizeof(piece.chunk.holders[i]));
        }
        g_array_append_val(pieces, piece);
    }
    return pieces;
}

static void
set_bitmap(json_t *object, const char *name, const uint8_t *bitmap,
           int n_items)
{
    char *text = g_base64_encode(bitmap, batch_bitmap_size(n_items));
    set_text(object, name, text);
    g_free(text);
}

static uint8_t *
get_bitmap(const json_t *object, const char *name, int n_items)
{
    uint8_t *bitmap = g_malloc0(batch_bitmap_size(n_items) + 1);
    const char *text = json_string_value(json_object_get(object, name));
    gsize size = 0;
    guchar *bytes = text == NULL ? NULL : g_base64_decode(text, &size);

    if (bytes != NULL) {
        memcpy(bitmap, bytes, MIN(size, batch_bitmap_size(n_items)));
    }
    g_free(bytes);
    return bitmap;
}

static json_t *
counts_to_json(const struct batch_counts *counts)
{
    return json_pack("[iii]", counts->completed, counts->failed,
                     counts->cancelled);
}

static void
get_counts(const json_t *object, struct batch_counts *counts)
{
    json_unpack(json_object_get(object, "counts"), "[iii]", &counts->completed,
                &counts->failed, &counts->cancelled);
}

/* ---- files ---- */

/* Initialises an empty record. */
void
batch_file_init(struct batch_file *file)
{
    memset(file, 0, sizeof(*file));
    file->pieces = g_array_new(FALSE, TRUE, sizeof(struct batch_piece));
}

void
batch_file_finish(struct batch_file *file)
{
    g_free(file->filename);
    g_free(file->purpose);
    if (file->pieces != NULL) {
        g_array_unref(file->pieces);
    }
    memset(file, 0, sizeof(*file));
}

/* Formats the record as it is stored in the key-value service. */
GBytes *
batch_file_format(const struct batch_file *file)
{
    json_t *object = json_object();

    set_int(object, "v", RECORD_VERSION);
    set_text(object, "id", file->id);
    set_text(object, "operator", file->operator_name);
    set_text(object, "region", file->region);
    set_text(object, "filename", file->filename);
    set_text(object, "purpose", file->purpose);
    set_int(object, "bytes", file->bytes);
    set_int(object, "created", file->created_s);
    set_int(object, "deleted", file->deleted_s);
    set_int(object, "items", file->items);
    json_object_set_new(object, "pieces", pieces_to_json(file->pieces));
    return encode_record(object);
}

/* Parses a stored record.  Returns false, with an empty struct, if it isn't
 * JSON or has a later format version. */
bool
batch_file_parse(GBytes *text, struct batch_file *file)
{
    json_t *object = decode_record(text);

    memset(file, 0, sizeof(*file));
    if (object == NULL) {
        return false;
    }
    get_text(object, "id", file->id, sizeof(file->id));
    get_text(object, "operator", file->operator_name,
             sizeof(file->operator_name));
    get_text(object, "region", file->region, sizeof(file->region));
    file->filename = dup_text(object, "filename");
    file->purpose = dup_text(object, "purpose");
    file->bytes = get_int(object, "bytes");
    file->created_s = get_int(object, "created");
    file->deleted_s = get_int(object, "deleted");
    file->items = (int)get_int(object, "items");
    file->pieces = pieces_from_json(json_object_get(object, "pieces"));
    json_decref(object);
    return true;
}

/* ---- jobs ---- */

void
batch_job_finish(struct batch_job *job)
{
    g_free(job->endpoint);
    g_free(job->metadata);
    g_free(job->stop_text);
    memset(job, 0, sizeof(*job));
}

/* Makes `to` a deep copy of `from`.  Old contents of `to` are not freed. */
void
batch_job_copy(struct batch_job *to, const struct batch_job *from)
{
    *to = *from;
    to->endpoint = g_strdup(from->endpoint);
    to->metadata = g_strdup(from->metadata);
    to->stop_text = g_strdup(from->stop_text);
}

/* Formats the record as it is stored in the key-value service. */
GBytes *
batch_job_format(const struct batch_job *job)
{
    json_t *object = json_object();

    set_int(object, "v", RECORD_VERSION);
    set_text(object, "id", job->id);
    set_text(object, "operator", job->operator_name);
    set_text(object, "file", job->file_id);
    set_text(object, "region", job->region);
    set_text(object, "endpoint", job->endpoint);
    set_text(object, "metadata", job->metadata);
    set_int(object, "window", job->window_s);
    set_int(object, "created", job->created_s);
    set_int(object, "deadline", job->deadline_s);
    set_int(object, "items", job->n_items);
    set_int(object, "shards", job->n_shards);
    set_int(object, "stop", job->stop);
    set_int(object, "stopped", job->stop_s);
    set_text(object, "stop_text", job->stop_text);
    set_int(object, "ended", job->ended_s);
    json_object_set_new(object, "counts", counts_to_json(&job->counts));
    return encode_record(object);
}

/* Parses a stored record.  Returns false if it isn't JSON, has a later format
 * version, or has fewer items than shards; the caller finishes `job` in each
 * case. */
bool
batch_job_parse(GBytes *text, struct batch_job *job)
{
    json_t *object = decode_record(text);

    memset(job, 0, sizeof(*job));
    if (object == NULL) {
        return false;
    }
    get_text(object, "id", job->id, sizeof(job->id));
    get_text(object, "operator", job->operator_name,
             sizeof(job->operator_name));
    get_text(object, "file", job->file_id, sizeof(job->file_id));
    get_text(object, "region", job->region, sizeof(job->region));
    job->endpoint = dup_text(object, "endpoint");
    job->metadata = dup_text(object, "metadata");
    job->window_s = get_int(object, "window");
    job->created_s = get_int(object, "created");
    job->deadline_s = get_int(object, "deadline");
    job->n_items = (int)get_int(object, "items");
    job->n_shards = (int)get_int(object, "shards");
    job->stop = (enum batch_stop)get_int(object, "stop");
    job->stop_s = get_int(object, "stopped");
    job->stop_text = dup_text(object, "stop_text");
    job->ended_s = get_int(object, "ended");
    get_counts(object, &job->counts);
    json_decref(object);
    return job->n_shards > 0 && job->n_items >= job->n_shards;
}

/* Returns the index in the file of a shard's first item; n_items if `shard` is
 * n_shards. */
int
batch_job_first_item(const struct batch_job *job, int shard)
{
    return (int)((int64_t)job->n_items * shard / job->n_shards);
}

/* ---- shards ---- */

/* Initialises the record of a shard that has not been claimed. */
void
batch_shard_init(struct batch_shard *shard, int n_items)
{
    memset(shard, 0, sizeof(*shard));
    shard->n_items = n_items;
    shard->done = g_malloc0(batch_bitmap_size(n_items) + 1);
    shard->begun = g_malloc0(batch_bitmap_size(n_items) + 1);
    shard->outputs = g_array_new(FALSE, TRUE, sizeof(struct batch_piece));
    shard->errors = g_array_new(FALSE, TRUE, sizeof(struct batch_piece));
}

void
batch_shard_finish(struct batch_shard *shard)
{
    g_free(shard->done);
    g_free(shard->begun);
    if (shard->outputs != NULL) {
        g_array_unref(shard->outputs);
        g_array_unref(shard->errors);
    }
    memset(shard, 0, sizeof(*shard));
}

/* Makes `to` a deep copy of `from`.  Old contents of `to` are not freed. */
void
batch_shard_copy(struct batch_shard *to, const struct batch_shard *from)
{
    size_t size = batch_bitmap_size(from->n_items) + 1;

    *to = *from;
    to->done = g_memdup2(from->done, size);
    to->begun = g_memdup2(from->begun, size);
    to->outputs = g_array_copy(from->outputs);
    to->errors = g_array_copy(from->errors);
}

/* Formats the record as it is stored in the key-value service. */
GBytes *
batch_shard_format(const struct batch_shard *shard)
{
    json_t *object = json_object();

    set_int(object, "v", RECORD_VERSION);
    set_int(object, "epoch", shard->epoch);
    set_text(object, "runner", shard->runner);
    set_text(object, "claim", shard->claim);
    set_int(object, "items", shard->n_items);
    set_bitmap(object, "done", shard->done, shard->n_items);
    set_bitmap(object, "begun", shard->begun, shard->n_items);
    json_object_set_new(object, "counts", counts_to_json(&shard->counts));
    json_object_set_new(object, "closed", json_boolean(shard->is_closed));
    json_object_set_new(object, "outputs", pieces_to_json(shard->outputs));
    json_object_set_new(object, "errors", pieces_to_json(shard->errors));
    return encode_record(object);
}

/* Parses a stored record.  Returns false, with an empty struct, if it isn't
 * JSON or has a later format version. */
bool
batch_shard_parse(GBytes *text, struct batch_shard *shard)
{
    json_t *object = decode_record(text);

    memset(shard, 0, sizeof(*shard));
    if (object == NULL) {
        return false;
    }
    shard->epoch = get_int(object, "epoch");
    get_text(object, "runner", shard->runner, sizeof(shard->runner));
    get_text(object, "claim", shard->claim, sizeof(shard->claim));
    shard->n_items = (int)get_int(object, "items");
    shard->done = get_bitmap(object, "done", shard->n_items);
    shard->begun = get_bitmap(object, "begun", shard->n_items);
    get_counts(object, &shard->counts);
    shard->is_closed = json_is_true(json_object_get(object, "closed"));
    shard->outputs = pieces_from_json(json_object_get(object, "outputs"));
    shard->errors = pieces_from_json(json_object_get(object, "errors"));
    json_decref(object);
    return true;
}

/* ---- keys ---- */

/* Returns prefix + folder + "/" + name; the caller frees it with g_free. */
char *
batch_key(const char *prefix, const char *folder, const char *name)
{
    return g_strconcat(prefix, folder, "/", name, NULL);
}

/* Returns a shard's key; the caller frees it with g_free.  The number is
 * padded with zeros, so that keys sort by number. */
char *
batch_shard_key(const char *job_id, int number)
{
    return g_strdup_printf("%s%s/%03d", BATCH_SHARDS, job_id, number);
}
