#include "front/front_private.h"

#include <string.h>

/* Handlers for batch files, except uploads, and for batches.  The batch task
 * does the work; its JSON replies are passed to the caller unchanged. */

enum {
    READ_SIZE = 65536, /* bytes per read from the batch task */
    MAX_LIST_ITEMS = 10000,
    DEFAULT_LIST_ITEMS = 20
};

/* ---- calls to the batch task ---- */

/* Responds with the JSON reply of the batch task. */
static void
relay_reply(struct front_request *request, const struct batch_request *batch)
{
    const char *text = batch->json_out ? batch->json_out : "{}";

    if (batch->status >= 400) {
        front_add_header(request, "x-cardamompick-ran",
                         base_verdict_name(batch->verdict));
        if (batch->status == 429 || batch->status == 503) {
            front_add_header(request, "retry-after", "1");
        }
    }
    front_respond(request, batch->status, "application/json", text,
                  strlen(text));
}

static void
on_reply(struct batch_request *batch, void *task_state)
{
    struct front_request *request = batch->context;

    ((struct front *)task_state)->n_calls--;
    relay_reply(request, batch);
    batch_request_free(batch);
    front_request_unref(request);
}

/* Returns a batch request whose context holds a reference to the request. */
static struct batch_request *
new_request(struct front_request *request, enum batch_op op, const char *id)
{
    struct batch_request *batch =
        batch_request_new(op, request->operator_name);

    g_strlcpy(batch->id, id, sizeof(batch->id));
    g_strlcpy(batch->idempotency_key, request->idempotency_key,
              sizeof(batch->idempotency_key));
    batch->context = front_request_ref(request);
    return batch;
}

static void
send_request(struct front_request *request, struct batch_request *batch,
             void (*answered)(struct batch_request *batch, void *task_state))
{
    struct front *front = request->front;

    front->n_calls++;
    batch_request_send(front->batch, batch, &front->task, answered);
}

/* ---- files ---- */

/* Copies the ID of a path PREFIX ID SUFFIX, as in "/v1/files/ID/content";
 * false if the path has another form. */
static bool
parse_id(const char *path, const char *prefix, const char *suffix, char *out,
         size_t size)
{
    const char *from = path + strlen(prefix);
    size_t length;

    if (!g_str_has_prefix(path, prefix)) {
        return false;
    }
    length = strcspn(from, "/");
    if (length == 0 || length >= size || strcmp(from + length, suffix) != 0) {
        return false;
    }
    memcpy(out, from, length);
    out[length] = '\0';
    return true;
}

/* Reads the query parameters of a list: the id to start after and the limit.
 */
static void
read_paging(const struct front_request *request, struct batch_request *batch)
{
    char limit[16];

    front_request_query(request, "after", batch->id, sizeof(batch->id));
    batch->length = DEFAULT_LIST_ITEMS;
    if (front_request_query(request, "limit", limit, sizeof(limit))) {
        batch->length =
            CLAMP(g_ascii_strtoll(limit, NULL, 10), 1, MAX_LIST_ITEMS);
    }
}

static void
run_files(struct front_request *request)
{
    struct batch_request *batch;
    char id[80];

    if (strcmp(request->method, "DELETE") == 0) {
        if (!parse_id(request->path, "/v1/files/", "", id, sizeof(id))) {
            front_fail(request, &FRONT_NOT_FOUND, "no such path");
            return;
        }
        batch = new_request(request, BATCH_FILE_DELETE, id);
    }
    else {
        batch = new_request(request, BATCH_FILE_LIST, "");
        read_paging(request, batch);
    }
    send_request(request, batch, on_reply);
}

/* ---- a file's content ---- */

/* The state of a request for a file's content. */
struct content {
    char id[80];
    int64_t next;     /* offset of the next read */
    int64_t end;      /* offset after the last byte; -1: the file's end */
    bool is_reading;  /* a read is with the batch task */
    bool is_all_read; /* the last byte has been read */
};

static void read_more(struct front_request *request);

static void
on_content(struct batch_request *batch, void *task_state)
{
    struct front_request *request = batch->context;
    struct content *content = request->state;
    gsize size = 0;
    const char *data =
        batch->bytes == NULL ? NULL : g_bytes_get_data(batch->bytes, &size);

    ((struct front *)task_state)->n_calls--;
    if (content != NULL && request->wsi != NULL) {
        content->is_reading = false;
        if (batch->status >= 400) {
            front_stream_break(request);
        }
        else {
            front_stream_write(request, data, size);
            content->next += (int64_t)size;
            content->is_all_read =
                batch->is_end || size == 0 || content->next == content->end;
            read_more(request);
        }
    }
    batch_request_free(batch);
    front_request_unref(request);
}

static void
read_more(struct front_request *request)
{
    struct content *content = request->state;
    struct batch_request *batch;
    int64_t length = READ_SIZE;

    if (content == NULL || content->is_reading || request->is_ended) {
        return;
    }
    if (content->is_all_read) {
        front_stream_end(request);
        return;
    }
    if (front_pending(request) > FRONT_HIGH_WATER) {
        return; /* called again when the caller has read the output */
    }
    if (content->end >= 0) {
        length = MIN(length, content->end - content->next);
    }
    batch = new_request(request, BATCH_FILE_READ, content->id);
    batch->offset = content->next;
    batch->length = length;
    content->is_reading = true;
    send_request(request, batch, on_content);
}

/* Parses the range "bytes=A-B", "bytes=A-" or "bytes=-N" of a file of `size`
 * bytes.  Other forms mean the whole file, as RFC 9110 allows.  Returns false
 * for a range that the file cannot satisfy. */
static bool
parse_range(const char *text, int64_t size, int64_t *from, int64_t *end)
{
    char *after = NULL;

    *from = 0;
    *end = size;
    if (text == NULL || strncmp(text, "bytes=", 6) != 0 ||
        strchr(text, ',') != NULL) {
        return true;
    }
    text += 6;
    if (*text == '-') {
        *from = MAX(size - g_ascii_strtoll(text + 1, NULL, 10), 0);
        return *from < size;
    }
    *from = g_ascii_strtoll(text, &after, 10);
    if (after == text || *after != '-') {
        *from = 0;
        return true;
    }
    if (after[1] != '\0') {
        *end = MIN(g_ascii_strtoll(after + 1, NULL, 10) + 1, size);
    }
    return *from < size && *from < *end;
}

static void
begin_content(struct front_request *request, int64_t size)
{
    static const struct front_fault BAD_RANGE = {
        416, BASE_NOT_RUN, "invalid_request_error", "bad_range", 0};
    struct content *content = request->state;
    char range[96];

    if (request->range == NULL) {
        /* The file may still grow: read until the batch task reports its
         * end. */
        front_stream_begin(request, 200, "application/jsonl");
        read_more(request);
        return;
    }
    if (!parse_range(request->range, size, &content->next, &content->end)) {
        front_fail(request, &BAD_RANGE,
                   "range not satisfiable: the file has %" G_GINT64_FORMAT
                   " bytes",
                   size);
        return;
    }
    g_snprintf(range, sizeof(range),
               "bytes %" G_GINT64_FORMAT "-%" G_GINT64_FORMAT
               "/%" G_GINT64_FORMAT,
               content->next, content->end - 1, size);
    front_add_header(request, "content-range", range);
    front_stream_begin(request, 206, "application/jsonl");
    read_more(request);
}

static void
on_file(struct batch_request *batch, void *task_state)
{
    struct front_request *request = batch->context;
    json_t *json =
        batch->json_out == NULL ? NULL : json_loads(batch->json_out, 0, NULL);

    ((struct front *)task_state)->n_calls--;
    if (batch->status >= 400 || json == NULL) {
        relay_reply(request, batch);
    }
    else if (request->state != NULL && request->wsi != NULL) {
        begin_content(request,
                      json_integer_value(json_object_get(json, "bytes")));
    }
    json_decref(json);
    batch_request_free(batch);
    front_request_unref(request);
}

static void
run_content(struct front_request *request)
{
    struct content *content;
    char id[80];

    if (parse_id(request->path, "/v1/files/", "", id, sizeof(id))) {
        send_request(request, new_request(request, BATCH_FILE_GET, id),
                     on_reply);
        return;
    }
    if (!parse_id(request->path, "/v1/files/", "/content", id, sizeof(id))) {
        front_fail(request, &FRONT_NOT_FOUND, "no such path");
        return;
    }
    content = g_new0(struct content, 1);
    g_strlcpy(content->id, id, sizeof(content->id));
    content->end = -1;
    request->state = content;
    send_request(request, new_request(request, BATCH_FILE_GET, id), on_file);
}

static void
close_content(struct front_request *request)
{
    g_free(request->state);
    request->state = NULL;
}

/* ---- batches ---- */

static void
run_batches(struct front_request *request)
{
    struct batch_request *batch;
    char id[80] = "";
    bool is_post = strcmp(request->method, "POST") == 0;
    bool is_cancel = is_post && parse_id(request->path, "/v1/batches/",
                                         "/cancel", id, sizeof(id));

    if (is_cancel) {
        batch = new_request(request, BATCH_JOB_CANCEL, id);
    }
    else if (strcmp(request->path, "/v1/batches") == 0) {
        batch = new_request(request,
                            is_post ? BATCH_JOB_CREATE : BATCH_JOB_LIST, "");
        if (is_post) {
            batch->json_in = g_strndup(request->body->str, request->body->len);
        }
        else {
            read_paging(request, batch);
        }
    }
    else if (!is_post &&
             parse_id(request->path, "/v1/batches/", "", id, sizeof(id))) {
        batch = new_request(request, BATCH_JOB_GET, id);
    }
    else {
        front_fail(request, &FRONT_NOT_FOUND, "no such path");
        return;
    }
    send_request(request, batch, on_reply);
}

const struct front_handler FRONT_FILES = {.run = run_files};
const struct front_handler FRONT_CONTENT = {
    .run = run_content, .output_drained = read_more, .closed = close_content};
const struct front_handler FRONT_BATCHES = {.run = run_batches};
