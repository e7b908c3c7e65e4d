#include "batch/batch_private.h"

#include <string.h>

enum {
    MAX_PUTS = 3, /* chunks of an upload being stored at which replies to the
                   * sender are delayed */
    UPLOAD_IDLE_MS = 120000,
    FILE_ID_DIGITS = 24,
    MAX_UPLOADS = 64,
};

/* A file that is being uploaded. */
struct batch_upload {
    struct batch *batch;
    struct batch_file file;
    struct batch_lines lines;
    GString *chunk; /* complete lines that are not stored yet */
    int chunk_items;
    int64_t chunk_bytes; /* a chunk is stored when it has this size */
    int n_puts;          /* chunks being stored */
    int64_t last_used_ms;
    struct base_error err; /* first error of the upload */
    bool is_dropped;       /* to be freed when n_puts is 0 */
    /* A data or close request that waits until chunks are stored, or NULL. */
    struct batch_request *waiting;
};

/* A chunk of an upload that is being stored. */
struct upload_put {
    struct batch_upload *upload;
    guint piece; /* index in the file */
};

/* Frees an upload.  No call for it may be pending. */
void
batch_upload_free(void *argument)
{
    struct batch_upload *upload = argument;

    batch_file_finish(&upload->file);
    batch_lines_finish(&upload->lines);
    g_string_free(upload->chunk, TRUE);
    g_free(upload);
}

static void reply_if_ready(struct batch_upload *upload);

static void
on_chunk_put_done(struct batch *batch, struct bulk_put *put, void *context)
{
    struct upload_put *stored = context;
    struct batch_upload *upload = stored->upload;

    upload->n_puts--;
    if (put->is_ok) {
        g_array_index(upload->file.pieces, struct batch_piece, stored->piece)
            .chunk = put->chunk;
    }
    else if (upload->err.code == BASE_OK) {
        upload->err = put->err;
    }
    g_free(stored);
    reply_if_ready(upload);
}

/* Starts to store the collected lines as the file's next piece. */
static void
store_chunk(struct batch_upload *upload)
{
    struct batch_piece piece = {.items = upload->chunk_items};
    struct upload_put *put = g_new0(struct upload_put, 1);
    GString *full = upload->chunk;

    put->upload = upload;
    put->piece = upload->file.pieces->len;
    g_array_append_val(upload->file.pieces, piece);
    upload->chunk = g_string_new(NULL);
    upload->chunk_items = 0;
    upload->n_puts++;
    batch_put(upload->batch, g_string_free_to_bytes(full), upload->file.region,
              false, (struct batch_put_callback){on_chunk_put_done, put});
}

static void
add_line(void *context, const char *line, size_t size)
{
    struct batch_upload *upload = context;

    g_string_append_len(upload->chunk, line, (gssize)size);
    g_string_append_c(upload->chunk, '\n');
    upload->chunk_items++;
    if ((int64_t)upload->chunk->len >= upload->chunk_bytes) {
        store_chunk(upload);
    }
}

/* Returns the upload that the request names, or NULL after an error reply. */
static struct batch_upload *
find_upload(struct batch *batch, struct batch_request *request)
{
    struct batch_upload *upload =
        g_hash_table_lookup(batch->uploads, request->id);

    if (upload == NULL ||
        strcmp(upload->file.operator_name, request->operator_name) != 0) {
        batch_reply_error(request, 404, BASE_NOT_RUN, "upload_not_found",
                          "no such upload");
        return NULL;
    }
    upload->last_used_ms = base_clock_ms();
    return upload;
}

static const char *
get_string(const json_t *object, const char *name, const char *fallback)
{
    const char *text = json_string_value(json_object_get(object, name));
    return text == NULL ? fallback : text;
}

static struct batch_upload *
upload_new(struct batch *batch, const struct batch_request *request,
           const json_t *body)
{
    struct batch_upload *upload = g_new0(struct batch_upload, 1);
    const struct world *world = batch->world;
    struct batch_lines_limits limits = {
        .file_bytes = world->batch.file_bytes,
        .line_bytes = world->limits.body_bytes,
        .max_items = world->batch.max_items,
    };
    char digits[FILE_ID_DIGITS + 1];

    upload->batch = batch;
    upload->chunk = g_string_new(NULL);
    upload->chunk_bytes = world->batch.chunk_bytes;
    upload->last_used_ms = base_clock_ms();
    batch_lines_init(&upload->lines, &limits, add_line, upload);
    batch_file_init(&upload->file);
    base_random_id(digits, sizeof(digits));
    g_snprintf(upload->file.id, sizeof(upload->file.id), "file-%s", digits);
    g_strlcpy(upload->file.operator_name, request->operator_name,
              sizeof(upload->file.operator_name));
    g_strlcpy(upload->file.region, batch_region(batch),
              sizeof(upload->file.region));
    upload->file.filename =
        g_strdup(get_string(body, "filename", "batch.jsonl"));
    upload->file.purpose = g_strdup(get_string(body, "purpose", "batch"));
    upload->file.created_s = batch_now_s();
    return upload;
}

/* Serves BATCH_UPLOAD_OPEN: replies with {"id": ..}. */
void
batch_upload_open(struct batch *batch, struct batch_request *request)
{
    json_t *body = request->json_in == NULL
                       ? NULL
                       : json_loads(request->json_in, 0, NULL);
    struct batch_upload *upload;

    if (strcmp(get_string(body, "purpose", "batch"), "batch") != 0) {
        batch_reply_error(request, 400, BASE_NOT_RUN, "invalid_purpose",
                          "purpose must be \"batch\"");
    }
    else if (g_hash_table_size(batch->uploads) >= MAX_UPLOADS) {
        batch_reply_error(request, 429, BASE_NOT_RUN, "too_many_uploads",
                          "too many uploads at a time on this node");
    }
    else {
        upload = upload_new(batch, request, body);
        g_strlcpy(request->id, upload->file.id, sizeof(request->id));
        g_hash_table_insert(batch->uploads, upload->file.id, upload);
        batch_reply_json(request, 200,
                         json_pack("{s:s}", "id", upload->file.id));
    }
    json_decref(body);
}

static void
reply_error(struct batch_request *request, const struct base_error *err)
{
    switch (err->code) {
    case BASE_INVALID:
        batch_reply_error(request, 400, BASE_NOT_RUN, "invalid_file", "%s",
                          err->text);
        break;
    case BASE_FULL:
        batch_reply_error(request, 507, BASE_NOT_RUN, "storage_full", "%s",
                          err->text);
        break;
    default:
        batch_reply_error(request, 503, BASE_NOT_RUN, "storage_unavailable",
                          "%s", err->text);
        break;
    }
}

/* Removes an upload from the table.  Frees it now or, if chunks are being
 * stored, after the last of them. */
static void
drop_upload(struct batch_upload *upload)
{
    upload->is_dropped = true;
    g_hash_table_steal(upload->batch->uploads, upload->file.id);
    if (upload->n_puts == 0) {
        batch_upload_free(upload);
    }
}

/* Replies to the close request after the write of the file's record.  The file
 * is accepted once this write has succeeded. */
static void
on_file_write_done(struct batch *batch, struct platform_kv *kv, void *context)
{
    struct batch_upload *upload = context;
    struct batch_request *request = upload->waiting;

    if (kv->status == PLATFORM_OK) {
        base_counter_add(batch->n_accepted, upload->file.items);
        base_log(BASE_LOG_INFO, "batch.file_accepted",
                 "file=%s operator=%s items=%d bytes=%lld", upload->file.id,
                 upload->file.operator_name, upload->file.items,
                 (long long)upload->file.bytes);
        batch_reply_json(request, 200, batch_file_to_json(&upload->file));
    }
    else {
        batch_reply_kv_error(request, kv);
    }
    batch_upload_free(upload);
}

/* Writes the file's record after all chunks were stored. */
static void
write_file(struct batch_upload *upload)
{
    struct batch *batch = upload->batch;
    char *key =
        batch_key(BATCH_FILES, upload->file.operator_name, upload->file.id);

    upload->file.bytes = upload->lines.bytes;
    upload->file.items = upload->lines.items;
    g_hash_table_steal(batch->uploads, upload->file.id);
    batch_kv_put(batch, key, batch_file_format(&upload->file), PLATFORM_ABSENT,
                 (struct batch_kv_callback){on_file_write_done, upload});
}

/* Replies to the waiting request if it can be served now. */
static void
reply_if_ready(struct batch_upload *upload)
{
    struct batch_request *request = upload->waiting;

    if (upload->is_dropped) {
        if (upload->n_puts == 0) {
            batch_upload_free(upload);
        }
        return;
    }
    if (request == NULL) {
        return;
    }
    if (upload->err.code != BASE_OK) {
        upload->waiting = NULL;
        reply_error(request, &upload->err);
        drop_upload(upload);
    }
    else if (request->op == BATCH_UPLOAD_DATA && upload->n_puts < MAX_PUTS) {
        upload->waiting = NULL;
        batch_reply_json(request, 200, json_object());
    }
    else if (request->op == BATCH_UPLOAD_CLOSE && upload->n_puts == 0) {
        write_file(upload);
    }
}

/* Makes the request the upload's waiting request.  If another one is waiting,
 * replies with an error and returns false. */
static bool
set_waiting(struct batch_upload *upload, struct batch_request *request)
{
    if (upload->waiting != NULL) {
        batch_reply_error(
            request, 409, BASE_NOT_RUN, "upload_busy",
            "the previous request of this upload is not finished");
        return false;
    }
    upload->waiting = request;
    return true;
}

/* Serves BATCH_UPLOAD_DATA.  The reply is delayed while MAX_PUTS chunks are
 * being stored. */
void
batch_upload_data(struct batch *batch, struct batch_request *request)
{
    struct batch_upload *upload = find_upload(batch, request);
    gsize size = 0;
    const char *data;

    if (upload == NULL || !set_waiting(upload, request)) {
        return;
    }
    data = request->bytes == NULL ? NULL
                                  : g_bytes_get_data(request->bytes, &size);
    if (upload->err.code == BASE_OK && size > 0) {
        batch_lines_push(&upload->lines, data, size, &upload->err);
    }
    reply_if_ready(upload);
}

/* Serves BATCH_UPLOAD_CLOSE: stores the remaining lines and then the file's
 * record. */
void
batch_upload_close(struct batch *batch, struct batch_request *request)
{
    struct batch_upload *upload = find_upload(batch, request);

    if (upload == NULL || !set_waiting(upload, request)) {
        return;
    }
    if (upload->err.code == BASE_OK) {
        batch_lines_end(&upload->lines, &upload->err);
    }
    if (upload->err.code == BASE_OK && upload->chunk_items > 0) {
        store_chunk(upload);
    }
    reply_if_ready(upload);
}

/* Serves BATCH_UPLOAD_ABORT.  A waiting request of the upload gets an error.
 */
void
batch_upload_abort(struct batch *batch, struct batch_request *request)
{
    struct batch_upload *upload = find_upload(batch, request);

    if (upload == NULL) {
        return;
    }
    if (upload->waiting != NULL) {
        batch_reply_error(upload->waiting, 400, BASE_NOT_RUN, "upload_aborted",
                          "the upload was aborted");
        upload->waiting = NULL;
    }
    drop_upload(upload);
    batch_reply_json(request, 200, json_object());
}

/* Drops the uploads whose sender has sent nothing for UPLOAD_IDLE_MS. */
void
batch_uploads_tick(struct batch *batch, int64_t now_ms)
{
    GHashTableIter iter;
    gpointer value;
    GPtrArray *idle = g_ptr_array_new();

    g_hash_table_iter_init(&iter, batch->uploads);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct batch_upload *upload = value;
        if (upload->waiting == NULL &&
            now_ms - upload->last_used_ms > UPLOAD_IDLE_MS) {
            g_ptr_array_add(idle, upload);
        }
    }
    for (guint i = 0; i < idle->len; i++) {
        drop_upload(idle->pdata[i]);
    }
    g_ptr_array_free(idle, TRUE);
}
