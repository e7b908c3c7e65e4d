#include "batch/batch_private.h"

#include <string.h>

enum { SNAPSHOT_IDLE_MS = 60000, DEFAULT_READ_BYTES = 1 << 20 };

/* The pieces of a file as they were when a download began.  All reads of the
 * download use it, so that they see the same contents while a job's results
 * grow. */
struct batch_snapshot {
    char *key;
    GArray *pieces; /* of struct batch_piece */
    int64_t total_bytes;
    int64_t last_used_ms;
    /* Contents of the piece that was read last; kept because several requests
     * may read from one piece. */
    GBytes *bytes;
    guint bytes_piece; /* index of that piece */
};

/* A read request whose chunk is being read from bulk. */
struct pending_read {
    struct batch_request *request;
    char *key;
    guint piece;          /* index */
    int64_t piece_offset; /* offset of the piece in the file */
};

void
batch_snapshot_free(void *argument)
{
    struct batch_snapshot *snapshot = argument;

    g_free(snapshot->key);
    g_array_unref(snapshot->pieces);
    if (snapshot->bytes != NULL) {
        g_bytes_unref(snapshot->bytes);
    }
    g_free(snapshot);
}

/* Returns the key of the download's snapshot.  If the request has no download
 * number, its context identifies the download.  The caller frees the key. */
static char *
snapshot_key(const struct batch_request *request)
{
    uint64_t download = request->download != 0
                            ? request->download
                            : (uint64_t)(uintptr_t)request->context;

    return g_strdup_printf("%s/%s/%llu", request->operator_name, request->id,
                           (unsigned long long)download);
}

/* Replies with the part of the piece that the request asks for, up to the end
 * of the piece. */
static void
reply_slice(struct batch_request *request, GBytes *piece, int64_t piece_offset,
            int64_t total_bytes)
{
    int64_t size = (int64_t)g_bytes_get_size(piece);
    int64_t from = request->offset - piece_offset;
    int64_t wanted =
        request->length > 0 ? request->length : DEFAULT_READ_BYTES;
    int64_t length = MIN(wanted, size - from);

    request->bytes = g_bytes_new_from_bytes(piece, (gsize)from, (gsize)length);
    request->status = 200;
    request->is_end = request->offset + length >= total_bytes;
    base_call_reply(&request->call);
}

static void
on_chunk_read_done(struct batch *batch, struct bulk_get *get, void *context)
{
    struct pending_read *pending = context;
    struct batch_snapshot *snapshot =
        g_hash_table_lookup(batch->snapshots, pending->key);

    if (!get->is_ok) {
        batch_reply_error(pending->request, 503, BASE_NOT_RUN,
                          "storage_unavailable", "%s", get->err.text);
    }
    else if (snapshot == NULL) {
        batch_reply_error(pending->request, 503, BASE_NOT_RUN,
                          "download_expired",
                          "the download expired; start it again");
    }
    else {
        if (snapshot->bytes != NULL) {
            g_bytes_unref(snapshot->bytes);
        }
        snapshot->bytes = g_bytes_ref(get->bytes);
        snapshot->bytes_piece = pending->piece;
        reply_slice(pending->request, get->bytes, pending->piece_offset,
                    snapshot->total_bytes);
    }
    g_free(pending->key);
    g_free(pending);
}

/* Replies to a read at or past the end of the file. */
static void
reply_end(struct batch_request *request)
{
    request->bytes = g_bytes_new(NULL, 0);
    request->status = 200;
    request->is_end = true;
    base_call_reply(&request->call);
}

/* Serves a read from a snapshot. */
static void
read_snapshot(struct batch *batch, struct batch_snapshot *snapshot,
              struct batch_request *request)
{
    int64_t begin = 0;
    guint piece = 0;
    struct pending_read *pending;

    snapshot->last_used_ms = base_clock_ms();
    if (request->offset >= snapshot->total_bytes) {
        reply_end(request);
        return;
    }
    for (;; piece++) {
        int64_t size =
            g_array_index(snapshot->pieces, struct batch_piece, piece)
                .chunk.size;
        if (request->offset < begin + size) {
            break;
        }
        begin += size;
    }
    if (snapshot->bytes != NULL && snapshot->bytes_piece == piece) {
        reply_slice(request, snapshot->bytes, begin, snapshot->total_bytes);
        return;
    }
    pending = g_new0(struct pending_read, 1);
    pending->request = request;
    pending->key = g_strdup(snapshot->key);
    pending->piece = piece;
    pending->piece_offset = begin;
    batch_get(
        batch,
        &g_array_index(snapshot->pieces, struct batch_piece, piece).chunk,
        (struct batch_get_callback){on_chunk_read_done, pending});
}

/* Adds an empty snapshot for the request's download, in place of an older
 * one. */
static struct batch_snapshot *
snapshot_new(struct batch *batch, const struct batch_request *request)
{
    struct batch_snapshot *snapshot = g_new0(struct batch_snapshot, 1);

    snapshot->key = snapshot_key(request);
    snapshot->pieces = g_array_new(FALSE, TRUE, sizeof(struct batch_piece));
    g_hash_table_replace(batch->snapshots, snapshot->key, snapshot);
    return snapshot;
}

static void
add_pieces(struct batch_snapshot *snapshot, const GArray *pieces)
{
    for (guint i = 0; i < pieces->len; i++) {
        const struct batch_piece *piece =
            &g_array_index(pieces, struct batch_piece, i);
        g_array_append_val(snapshot->pieces, *piece);
        snapshot->total_bytes += piece->chunk.size;
    }
}

static void
on_results_job_found(struct batch *batch, const struct batch_job_view *view,
                     const struct platform_kv *failed, void *context)
{
    struct batch_request *request = context;
    struct batch_snapshot *snapshot;
    char job_id[BATCH_ID_SIZE];
    bool is_error_file;

    if (failed != NULL) {
        batch_reply_kv_error(request, failed);
        return;
    }
    if (view == NULL) {
        batch_reply_error(request, 404, BASE_NOT_RUN, "file_not_found",
                          "no such file");
        return;
    }
    batch_is_result_file(request->id, job_id, sizeof(job_id), &is_error_file);
    snapshot = snapshot_new(batch, request);
    for (guint i = 0; i < view->shards->len; i++) {
        const struct batch_shard *shard = view->shards->pdata[i];
        if (shard != NULL) {
            add_pieces(snapshot,
                       is_error_file ? shard->errors : shard->outputs);
        }
    }
    read_snapshot(batch, snapshot, request);
}

static void
on_file_read_done(struct batch *batch, struct platform_kv *kv, void *context)
{
    struct batch_request *request = context;
    struct batch_file file = {0};

    if (kv->status != PLATFORM_OK) {
        batch_reply_kv_error(request, kv);
        return;
    }
    if (kv->entries->len == 0 ||
        !batch_file_parse(
            ((struct platform_entry *)kv->entries->pdata[0])->value, &file) ||
        file.deleted_s != 0) {
        batch_reply_error(request, 404, BASE_NOT_RUN, "file_not_found",
                          "no such file");
    }
    else {
        struct batch_snapshot *snapshot = snapshot_new(batch, request);
        add_pieces(snapshot, file.pieces);
        read_snapshot(batch, snapshot, request);
    }
    batch_file_finish(&file);
}

/* Serves BATCH_FILE_READ.  A read at offset 0, or one whose snapshot has been
 * dropped, takes a new snapshot; later reads of the same download use it. */
void
batch_file_read(struct batch *batch, struct batch_request *request)
{
    char *key = snapshot_key(request);
    struct batch_snapshot *snapshot =
        g_hash_table_lookup(batch->snapshots, key);
    char job_id[BATCH_ID_SIZE];
    bool is_error_file;

    g_free(key);
    if (request->offset < 0) {
        batch_reply_error(request, 400, BASE_NOT_RUN, "invalid_range",
                          "the offset is negative");
    }
    else if (snapshot != NULL && request->offset > 0) {
        read_snapshot(batch, snapshot, request);
    }
    else if (batch_is_result_file(request->id, job_id, sizeof(job_id),
                                  &is_error_file)) {
        batch_job_find(
            batch, request->operator_name, job_id,
            (struct batch_find_callback){on_results_job_found, request});
    }
    else {
        batch_kv_get(
            batch, batch_key(BATCH_FILES, request->operator_name, request->id),
            (struct batch_kv_callback){on_file_read_done, request});
    }
}

static gboolean
is_snapshot_idle(gpointer key, gpointer value, gpointer now_ms)
{
    struct batch_snapshot *snapshot = value;
    return *(int64_t *)now_ms - snapshot->last_used_ms > SNAPSHOT_IDLE_MS;
}

/* Drops the snapshots of downloads that have not been read for
 * SNAPSHOT_IDLE_MS. */
void
batch_snapshots_tick(struct batch *batch, int64_t now_ms)
{
    g_hash_table_foreach_remove(batch->snapshots, is_snapshot_idle, &now_ms);
}
