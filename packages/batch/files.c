#include "batch/batch_private.h"

#include <string.h>

enum { MAX_LISTED = 1000 };

static const char JOB_PREFIX[] = "batch_";
static const char FILE_PREFIX[] = "file-";
static const char OUTPUT_SUFFIX[] = "-output";
static const char ERRORS_SUFFIX[] = "-errors";

/* Returns whether the id is that of a job's results, "file-<digits>-output" or
 * "file-<digits>-errors".  If so, writes the id of the job, "batch_<digits>",
 * to `job_id`, a buffer of `size` bytes. */
bool
batch_is_result_file(const char *file_id, char *job_id, size_t size,
                     bool *is_error_file)
{
    size_t length = strlen(file_id);
    size_t digits;

    *is_error_file = g_str_has_suffix(file_id, ERRORS_SUFFIX);
    if (!g_str_has_prefix(file_id, FILE_PREFIX) ||
        (!*is_error_file && !g_str_has_suffix(file_id, OUTPUT_SUFFIX))) {
        return false;
    }
    digits = length - strlen(FILE_PREFIX) - strlen(OUTPUT_SUFFIX);
    g_snprintf(job_id, size, "%s%.*s", JOB_PREFIX, (int)digits,
               file_id + strlen(FILE_PREFIX));
    return true;
}

/* Returns the published OpenAI file object; the caller owns the reference. */
json_t *
batch_file_to_json(const struct batch_file *file)
{
    return json_pack(
        "{s:s, s:s, s:I, s:I, s:s, s:s, s:s, s:i}", "id", file->id, "object",
        "file", "bytes", (json_int_t)file->bytes, "created_at",
        (json_int_t)file->created_s, "filename", file->filename, "purpose",
        file->purpose, "status", "processed", "items", file->items);
}

static void
reply_not_found(struct batch_request *request)
{
    batch_reply_error(request, 404, BASE_NOT_RUN, "file_not_found",
                      "no such file");
}

/* Replies with the file object of a job's results.  Its size grows while the
 * job runs. */
static void
on_result_job_found(struct batch *batch, const struct batch_job_view *view,
                    const struct platform_kv *failed, void *context)
{
    struct batch_request *request = context;
    char job_id[BATCH_ID_SIZE];
    bool is_error_file = false;
    int64_t bytes = 0;

    if (failed != NULL) {
        batch_reply_kv_error(request, failed);
        return;
    }
    if (view == NULL) {
        reply_not_found(request);
        return;
    }
    batch_is_result_file(request->id, job_id, sizeof(job_id), &is_error_file);
    for (guint i = 0; i < view->shards->len; i++) {
        const struct batch_shard *shard = view->shards->pdata[i];
        const GArray *pieces = shard == NULL   ? NULL
                               : is_error_file ? shard->errors
                                               : shard->outputs;
        for (guint n = 0; pieces != NULL && n < pieces->len; n++) {
            bytes += g_array_index(pieces, struct batch_piece, n).chunk.size;
        }
    }
    batch_reply_json(
        request, 200,
        json_pack("{s:s, s:s, s:I, s:I, s:s+, s:s, s:s}", "id", request->id,
                  "object", "file", "bytes", (json_int_t)bytes, "created_at",
                  (json_int_t)view->job.created_s, "filename", request->id,
                  ".jsonl", "purpose", "batch_output", "status", "processed"));
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
        reply_not_found(request);
    }
    else {
        batch_reply_json(request, 200, batch_file_to_json(&file));
    }
    batch_file_finish(&file);
}

/* Serves BATCH_FILE_GET for input files and results. */
void
batch_file_get(struct batch *batch, struct batch_request *request)
{
    char job_id[BATCH_ID_SIZE];
    bool is_error_file;

    if (batch_is_result_file(request->id, job_id, sizeof(job_id),
                             &is_error_file)) {
        batch_job_find(
            batch, request->operator_name, job_id,
            (struct batch_find_callback){on_result_job_found, request});
        return;
    }
    batch_kv_get(batch,
                 batch_key(BATCH_FILES, request->operator_name, request->id),
                 (struct batch_kv_callback){on_file_read_done, request});
}

static void
on_files_list_done(struct batch *batch, struct platform_kv *kv, void *context)
{
    struct batch_request *request = context;
    json_t *data;

    if (kv->status != PLATFORM_OK) {
        batch_reply_kv_error(request, kv);
        return;
    }
    data = json_array();
    for (guint i = 0; i < kv->entries->len; i++) {
        struct platform_entry *entry = kv->entries->pdata[i];
        struct batch_file file;
        if (batch_file_parse(entry->value, &file) && file.deleted_s == 0) {
            json_array_append_new(data, batch_file_to_json(&file));
        }
        batch_file_finish(&file);
    }
    batch_reply_json(request, 200,
                     json_pack("{s:s, s:o, s:b}", "object", "list", "data",
                               data, "has_more", kv->has_more));
}

/* Serves BATCH_FILE_LIST for the operator's input files.  request->id is the
 * file after which the list begins (empty: the first), request->length the
 * largest number of files (0: MAX_LISTED). */
void
batch_file_list(struct batch *batch, struct batch_request *request)
{
    int64_t limit = request->length > 0 ? request->length : MAX_LISTED;
    char *after =
        request->id[0] == '\0'
            ? NULL
            : batch_key(BATCH_FILES, request->operator_name, request->id);

    batch_kv_list(batch, batch_key(BATCH_FILES, request->operator_name, ""),
                  after, MIN(limit, MAX_LISTED),
                  (struct batch_kv_callback){on_files_list_done, request});
    g_free(after);
}

static void
on_deletion_write_done(struct batch *batch, struct platform_kv *kv,
                       void *context)
{
    struct batch_request *request = context;

    if (kv->status == PLATFORM_CONFLICT) {
        /* The record was changed meanwhile: read it again. */
        batch_file_delete(batch, request);
    }
    else if (kv->status != PLATFORM_OK) {
        batch_reply_kv_error(request, kv);
    }
    else {
        batch_reply_json(request, 200,
                         json_pack("{s:s, s:s, s:b}", "id", request->id,
                                   "object", "file", "deleted", 1));
    }
}

/* Marks the file as deleted.  Its record is kept, since a job may still be
 * reading the file; maintenance removes it once no open job uses the file. */
static void
mark_file_deleted(struct batch *batch, struct platform_kv *kv, void *context)
{
    struct batch_request *request = context;
    struct batch_file file = {0};
    struct platform_entry *entry;

    if (kv->status != PLATFORM_OK) {
        batch_reply_kv_error(request, kv);
        return;
    }
    entry = kv->entries->len == 0 ? NULL : kv->entries->pdata[0];
    if (entry == NULL || !batch_file_parse(entry->value, &file) ||
        file.deleted_s != 0) {
        reply_not_found(request);
        batch_file_finish(&file);
        return;
    }
    file.deleted_s = batch_now_s();
    batch_kv_put(batch, g_strdup(entry->key), batch_file_format(&file),
                 entry->revision,
                 (struct batch_kv_callback){on_deletion_write_done, request});
    batch_file_finish(&file);
}

/* Serves BATCH_FILE_DELETE for input files.  The results of a job can't be
 * deleted; the maintenance removes them together with the job. */
void
batch_file_delete(struct batch *batch, struct batch_request *request)
{
    batch_kv_get(batch,
                 batch_key(BATCH_FILES, request->operator_name, request->id),
                 (struct batch_kv_callback){mark_file_deleted, request});
}
