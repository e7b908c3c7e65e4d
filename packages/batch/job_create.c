#include "batch/batch_private.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

enum {
    JOB_ID_DIGITS = 24,
    DEFAULT_WINDOW_S = 86400,
    MAX_WINDOW_S = 14 * 86400,
    MAX_METADATA_BYTES = 8192,
};

struct job_creation {
    struct batch_request *request;
    struct batch_job job;
};

static void
free_creation(struct job_creation *creation)
{
    batch_job_finish(&creation->job);
    g_free(creation);
}

/* Parses a window such as "14d", "24h", "90m", "600s" or "600" (seconds).
 * Returns seconds, or 0 if the text is invalid; NULL gives the default. */
static int64_t
parse_window(const char *text)
{
    char *end;
    int64_t value;
    int64_t unit;

    if (text == NULL) {
        return DEFAULT_WINDOW_S;
    }
    value = g_ascii_strtoll(text, &end, 10);
    unit = *end == 'h' ? 3600 : *end == 'm' ? 60 : *end == 'd' ? 86400 : 1;
    if (end == text || value <= 0 || strspn(end, "smhd") != strlen(end) ||
        strlen(end) > 1 || value > MAX_WINDOW_S / unit) {
        return 0;
    }
    return value * unit;
}

/* Derives the id from the operator and the idempotency key; without a key the
 * id is random. */
static void
set_job_id(struct batch_job *job, const struct batch_request *request)
{
    uint8_t hash[JOB_ID_DIGITS / 2];
    char digits[JOB_ID_DIGITS + 1];

    if (request->idempotency_key[0] == '\0') {
        base_random_id(digits, sizeof(digits));
    }
    else {
        char *text = g_strconcat(request->operator_name, "/",
                                 request->idempotency_key, NULL);
        uint8_t full_hash[crypto_generichash_BYTES_MIN];
        crypto_generichash(full_hash, sizeof(full_hash), (const uint8_t *)text,
                           strlen(text), NULL, 0);
        memcpy(hash, full_hash, sizeof(hash));
        sodium_bin2hex(digits, sizeof(digits), hash, sizeof(hash));
        g_free(text);
    }
    g_snprintf(job->id, sizeof(job->id), "batch_%s", digits);
}

/* Parses the request's body into the job.  If the body is invalid, replies
 * with an error and returns false. */
static bool
parse_create_body(struct batch_request *request, struct batch_job *job)
{
    json_t *body = request->json_in == NULL
                       ? NULL
                       : json_loads(request->json_in, 0, NULL);
    const char *file =
        json_string_value(json_object_get(body, "input_file_id"));
    const char *endpoint =
        json_string_value(json_object_get(body, "endpoint"));
    json_t *metadata = json_object_get(body, "metadata");
    char *metadata_text =
        json_is_object(metadata) ? json_dumps(metadata, JSON_COMPACT) : NULL;
    const char *problem = NULL;

    job->window_s = parse_window(
        json_string_value(json_object_get(body, "completion_window")));
    if (!json_is_object(body)) {
        problem = "the body is not a JSON object";
    }
    else if (file == NULL || strlen(file) >= sizeof(job->file_id) ||
             strchr(file, '/') != NULL) {
        problem = "input_file_id is missing";
    }
    else if (endpoint == NULL || endpoint[0] != '/') {
        problem = "endpoint is missing";
    }
    else if (job->window_s == 0) {
        problem = "completion_window must be like \"24h\", at most 14 days";
    }
    else if (metadata_text != NULL &&
             strlen(metadata_text) > MAX_METADATA_BYTES) {
        problem = "metadata is too large";
    }
    else {
        g_strlcpy(job->file_id, file, sizeof(job->file_id));
        job->endpoint = g_strdup(endpoint);
        job->metadata = g_strdup(metadata_text);
    }
    if (problem != NULL) {
        batch_reply_error(request, 400, BASE_NOT_RUN, "invalid_request", "%s",
                          problem);
    }
    free(metadata_text);
    json_decref(body);
    return problem == NULL;
}

static void
reply_job(struct batch_request *request, const struct batch_job *job)
{
    struct batch_job_view view = {.job = *job, .counts = job->counts};

    g_strlcpy(request->id, job->id, sizeof(request->id));
    batch_reply_json(request, 200, batch_job_to_json(&view));
}

/* Replies with a job that an earlier request with the same idempotency key
 * created, or with an error if that request named another file. */
static void
reply_existing_job(struct job_creation *creation, const struct batch_job *job)
{
    if (strcmp(job->file_id, creation->job.file_id) != 0) {
        batch_reply_error(creation->request, 409, BASE_NOT_RUN,
                          "idempotency_key_reused",
                          "the idempotency key belongs to another request");
        return;
    }
    reply_job(creation->request, job);
}

/* Called after the attempt to create the record.  A conflict means that an
 * earlier request with the same idempotency key created it. */
static void
on_job_write_done(struct batch *batch, struct platform_kv *kv, void *context)
{
    struct job_creation *creation = context;
    struct batch_job existing = {0};

    if (kv->status == PLATFORM_OK) {
        base_counter_add(batch->n_jobs_accepted, 1);
        base_log(BASE_LOG_INFO, "batch.job_accepted",
                 "job=%s operator=%s items=%d shards=%d deadline=%lld",
                 creation->job.id, creation->job.operator_name,
                 creation->job.n_items, creation->job.n_shards,
                 (long long)creation->job.deadline_s);
        reply_job(creation->request, &creation->job);
    }
    else if (kv->status == PLATFORM_CONFLICT && kv->entries->len > 0 &&
             batch_job_parse(
                 ((struct platform_entry *)kv->entries->pdata[0])->value,
                 &existing)) {
        reply_existing_job(creation, &existing);
    }
    else {
        batch_reply_kv_error(creation->request, kv);
    }
    batch_job_finish(&existing);
    free_creation(creation);
}

static void
write_job(struct batch *batch, struct job_creation *creation)
{
    batch_kv_put(
        batch,
        batch_key(BATCH_JOBS, creation->job.operator_name, creation->job.id),
        batch_job_format(&creation->job), PLATFORM_ABSENT,
        (struct batch_kv_callback){on_job_write_done, creation});
}

/* Returns the operator's limit of open items; 0: no limit. */
static int64_t
items_limit(const struct batch *batch, const char *operator_name)
{
    int index = batch->world == NULL
                    ? WORLD_NONE
                    : world_find_operator(batch->world, operator_name);
    return index == WORLD_NONE
               ? 0
               : batch->world->operators[index].batch_items_open;
}

static void
on_open_list_done(struct batch *batch, struct platform_kv *kv, void *context)
{
    struct job_creation *creation = context;
    int64_t limit = items_limit(batch, creation->job.operator_name);
    int64_t open = creation->job.n_items;
    bool exists = false;

    if (kv->status != PLATFORM_OK) {
        batch_reply_kv_error(creation->request, kv);
        free_creation(creation);
        return;
    }
    for (guint i = 0; i < kv->entries->len; i++) {
        struct platform_entry *entry = kv->entries->pdata[i];
        struct batch_job job;
        if (batch_job_parse(entry->value, &job)) {
            open += job.n_items;
            exists |= strcmp(job.id, creation->job.id) == 0;
        }
        batch_job_finish(&job);
    }
    if (open > limit && !exists) {
        batch_reply_error(creation->request, 429, BASE_NOT_RUN,
                          "batch_items_open",
                          "with this job the operator would have %lld open "
                          "items; its limit is %lld",
                          (long long)open, (long long)limit);
        free_creation(creation);
        return;
    }
    write_job(batch, creation);
}

/* Writes the job if the operator's open items stay within the limit. */
static void
check_items_limit(struct batch *batch, struct job_creation *creation)
{
    const char *operator_name = creation->job.operator_name;

    if (items_limit(batch, operator_name) <= 0) {
        write_job(batch, creation);
        return;
    }
    batch_kv_list(batch, batch_key(BATCH_JOBS, operator_name, ""), NULL, 0,
                  (struct batch_kv_callback){on_open_list_done, creation});
}

/* Returns the number of shards for a job, from the configured shard size.  It
 * is at most BATCH_MAX_SHARDS, so that the records of all shards can be read
 * in one call. */
static int
count_shards(const struct batch *batch, int n_items)
{
    int size = batch->world == NULL ? 1 : batch->world->batch.shard_items;
    int n_shards = (n_items + size - 1) / MAX(size, 1);

    return CLAMP(n_shards, 1, MIN(BATCH_MAX_SHARDS, n_items));
}

static void
on_input_read_done(struct batch *batch, struct platform_kv *kv, void *context)
{
    struct job_creation *creation = context;
    struct batch_job *job = &creation->job;
    struct batch_file file = {0};

    if (kv->status != PLATFORM_OK) {
        batch_reply_kv_error(creation->request, kv);
        free_creation(creation);
        return;
    }
    if (kv->entries->len == 0 ||
        !batch_file_parse(
            ((struct platform_entry *)kv->entries->pdata[0])->value, &file) ||
        file.deleted_s != 0) {
        batch_reply_error(creation->request, 400, BASE_NOT_RUN,
                          "file_not_found", "no file with that id");
        batch_file_finish(&file);
        free_creation(creation);
        return;
    }
    job->n_items = file.items;
    job->n_shards = count_shards(batch, file.items);
    g_strlcpy(job->region, file.region, sizeof(job->region));
    job->created_s = batch_now_s();
    job->deadline_s = job->created_s + job->window_s;
    batch_file_finish(&file);
    check_items_limit(batch, creation);
}

static void
read_input(struct batch *batch, struct job_creation *creation)
{
    batch_kv_get(batch,
                 batch_key(BATCH_FILES, creation->job.operator_name,
                           creation->job.file_id),
                 (struct batch_kv_callback){on_input_read_done, creation});
}

/* Replies with the job if an earlier request with the same idempotency key
 * created it and it has ended; else goes on to read the input file. */
static void
on_ended_read_done(struct batch *batch, struct platform_kv *kv, void *context)
{
    struct job_creation *creation = context;
    struct batch_job existing = {0};

    if (kv->status != PLATFORM_OK) {
        batch_reply_kv_error(creation->request, kv);
        free_creation(creation);
    }
    else if (kv->entries->len > 0 &&
             batch_job_parse(
                 ((struct platform_entry *)kv->entries->pdata[0])->value,
                 &existing)) {
        reply_existing_job(creation, &existing);
        free_creation(creation);
    }
    else {
        read_input(batch, creation);
    }
    batch_job_finish(&existing);
}

/* Serves BATCH_JOB_CREATE.  The job is accepted when its record is created,
 * which succeeds only if the record did not exist.  With an idempotency key
 * the id is derived from the key, so that a repeated request finds the same
 * record. */
void
batch_job_create(struct batch *batch, struct batch_request *request)
{
    struct job_creation *creation = g_new0(struct job_creation, 1);
    struct batch_job *job = &creation->job;

    creation->request = request;
    if (!parse_create_body(request, job)) {
        free_creation(creation);
        return;
    }
    g_strlcpy(job->operator_name, request->operator_name,
              sizeof(job->operator_name));
    set_job_id(job, request);
    if (request->idempotency_key[0] == '\0') {
        read_input(batch, creation);
        return;
    }
    batch_kv_get(batch, batch_key(BATCH_ENDED, job->operator_name, job->id),
                 (struct batch_kv_callback){on_ended_read_done, creation});
}
