#include "front/front_private.h"

#include <string.h>

#include "base/http_text.h"

enum {
    PIECE_SIZE = 262144,    /* bytes sent to the batch task in one call */
    MAX_FIELD_BYTES = 1024, /* storage for the form's fields except the file */
};

enum upload_field { FIELD_PURPOSE, FIELD_FILE, N_FIELDS };

static const char *const FIELD_NAMES[N_FIELDS] = {"purpose", "file"};

/* An upload, forwarded to the batch task in pieces with one call at a time.
 * While a call is pending at most about one more piece is read from the
 * caller. */
struct upload {
    struct lws_spa *form; /* NULL: the body is the file */
    char filename[256];
    char purpose[32];
    char id[80];
    bool is_opened;       /* the batch task has assigned the upload's id */
    bool is_call_pending; /* a call to the batch task is under way */
    bool is_complete;     /* the whole body was received */
    bool has_file;
    bool is_finished;  /* last call sent or caller answered */
    GString *buffered; /* bytes of the file not sent to the batch task yet */
};

static void send_next(struct front_request *request);

/* Requests that the batch task discard an upload; its reply is ignored. */
static void
send_abort(struct front_request *request, const char *id)
{
    struct batch_request *batch =
        batch_request_new(BATCH_UPLOAD_ABORT, request->operator_name);

    g_strlcpy(batch->id, id, sizeof(batch->id));
    batch_request_send(request->front->batch, batch, NULL, NULL);
}

/* Answers with an error, aborts the upload and lets the rest of the body be
 * read and dropped. */
static void
fail(struct front_request *request, const struct front_fault *fault,
     const char *text)
{
    struct upload *upload = request->state;

    if (upload->is_opened && !upload->is_finished &&
        !upload->is_call_pending) {
        send_abort(request, upload->id);
    }
    upload->is_finished = true;
    front_request_pause_body(request, false);
    front_fail(request, fault, "%s", text);
}

/* Responds with the JSON reply of the batch task and ends the upload. */
static void
relay_reply(struct front_request *request, const struct batch_request *batch)
{
    struct upload *upload = request->state;
    const char *text = batch->json_out ? batch->json_out : "{}";

    upload->is_finished = true;
    front_request_pause_body(request, false);
    if (batch->status >= 400) {
        front_add_header(request, "x-cardamompick-ran",
                         base_verdict_name(batch->verdict));
    }
    front_respond(request, batch->status, "application/json", text,
                  strlen(text));
}

/* Aborts an upload whose caller disconnected or was answered during a call,
 * unless the call failed or closed the upload. */
static void
abort_abandoned(struct front_request *request,
                const struct batch_request *batch)
{
    if (batch->status < 400 && batch->op != BATCH_UPLOAD_CLOSE) {
        send_abort(request, batch->id);
    }
}

static void
handle_reply(struct front_request *request, const struct batch_request *batch)
{
    struct upload *upload = request->state;

    upload->is_call_pending = false;
    if (batch->status >= 400 || batch->op == BATCH_UPLOAD_CLOSE) {
        relay_reply(request, batch);
        return;
    }
    if (batch->op == BATCH_UPLOAD_OPEN) {
        upload->is_opened = true;
        g_strlcpy(upload->id, batch->id, sizeof(upload->id));
    }
    send_next(request);
}

static void
on_reply(struct batch_request *batch, void *task_state)
{
    struct front_request *request = batch->context;

    ((struct front *)task_state)->n_calls--;
    if (request->state == NULL || request->status != 0) {
        abort_abandoned(request, batch);
    }
    else {
        handle_reply(request, batch);
    }
    batch_request_free(batch);
    front_request_unref(request);
}

static void
send_op(struct front_request *request, enum batch_op op)
{
    struct upload *upload = request->state;
    struct front *front = request->front;
    struct batch_request *batch =
        batch_request_new(op, request->operator_name);

    g_strlcpy(batch->id, upload->id, sizeof(batch->id));
    g_strlcpy(batch->idempotency_key, request->idempotency_key,
              sizeof(batch->idempotency_key));
    if (op == BATCH_UPLOAD_OPEN) {
        json_t *json =
            json_pack("{s:o,s:o}", "purpose", base_json_text(upload->purpose),
                      "filename", base_json_text(upload->filename));
        char *text = json_dumps(json, JSON_COMPACT);
        batch->json_in = g_strdup(text);
        free(text);
        json_decref(json);
    }
    if (op == BATCH_UPLOAD_DATA) {
        batch->bytes = g_string_free_to_bytes(upload->buffered);
        upload->buffered = g_string_new(NULL);
    }
    batch->context = front_request_ref(request);
    upload->is_call_pending = true;
    front->n_calls++;
    batch_request_send(front->batch, batch, &front->task, on_reply);
}

/* Sends the next call to the batch task unless one is pending: open, a piece
 * of data, or close.  Pauses the caller while a full piece is buffered. */
static void
send_next(struct front_request *request)
{
    struct upload *upload = request->state;

    front_request_pause_body(request, upload->buffered->len >= PIECE_SIZE &&
                                          !upload->is_complete);
    if (upload->is_call_pending || upload->is_finished) {
        return;
    }
    if (!upload->is_opened) {
        send_op(request, BATCH_UPLOAD_OPEN);
    }
    else if (upload->buffered->len >= PIECE_SIZE ||
             (upload->is_complete && upload->buffered->len > 0)) {
        send_op(request, BATCH_UPLOAD_DATA);
        front_request_pause_body(request, false);
    }
    else if (upload->is_complete) {
        upload->is_finished = true;
        send_op(request, BATCH_UPLOAD_CLOSE);
    }
}

/* Receives the bytes of a form's file from the form parser. */
static int
on_form_file(void *data, const char *name, const char *filename, char *bytes,
             int size, enum lws_spa_fileupload_states state)
{
    struct front_request *request = data;
    struct upload *upload = request->state;

    if (strcmp(name, FIELD_NAMES[FIELD_FILE]) != 0) {
        return 0;
    }
    if (state == LWS_UFS_OPEN) {
        upload->has_file = true;
        g_strlcpy(upload->filename, filename, sizeof(upload->filename));
        return 0;
    }
    if (state == LWS_UFS_CONTENT || state == LWS_UFS_FINAL_CONTENT) {
        g_string_append_len(upload->buffered, bytes, size);
    }
    return 0;
}

static bool
is_form(const struct front_request *request)
{
    return request->content_type != NULL &&
           g_ascii_strncasecmp(request->content_type, "multipart/form-data",
                               19) == 0;
}

static void
begin(struct front_request *request)
{
    struct upload *upload = g_new0(struct upload, 1);

    request->state = upload;
    upload->buffered = g_string_new(NULL);
    if (request->body_expected > request->world->batch.file_bytes) {
        front_fail(request, &FRONT_TOO_LARGE,
                   "the file has %" G_GINT64_FORMAT
                   " bytes, the limit is %" G_GINT64_FORMAT,
                   request->body_expected, request->world->batch.file_bytes);
        upload->is_finished = true;
        return;
    }
    if (is_form(request)) {
        upload->form = lws_spa_create(request->wsi, FIELD_NAMES, N_FIELDS,
                                      MAX_FIELD_BYTES, on_form_file, request);
        return;
    }
    upload->has_file = true;
    front_request_query(request, "purpose", upload->purpose,
                        sizeof(upload->purpose));
    front_request_query(request, "filename", upload->filename,
                        sizeof(upload->filename));
}

/* Copies the form's purpose once the parser has it. */
static void
read_form_fields(struct upload *upload)
{
    const char *purpose = lws_spa_get_string(upload->form, FIELD_PURPOSE);

    if (purpose != NULL) {
        g_strlcpy(upload->purpose, purpose, sizeof(upload->purpose));
    }
}

static void
body(struct front_request *request, const char *data, size_t size)
{
    struct upload *upload = request->state;

    if (upload->is_finished) {
        return;
    }
    if (upload->form == NULL) {
        g_string_append_len(upload->buffered, data, (gssize)size);
    }
    else if (lws_spa_process(upload->form, data, (int)size) != 0) {
        fail(request, &FRONT_BAD_REQUEST, "malformed multipart form");
        return;
    }
    else {
        read_form_fields(upload);
    }
    if (upload->buffered->len >= PIECE_SIZE) {
        if (strcmp(upload->purpose, "batch") != 0 && !upload->is_opened) {
            fail(request, &FRONT_BAD_REQUEST,
                 "\"purpose\" must be \"batch\" and come before the file");
            return;
        }
        send_next(request);
    }
}

static void
run(struct front_request *request)
{
    struct upload *upload = request->state;

    if (upload->is_finished) {
        return;
    }
    if (upload->form != NULL) {
        lws_spa_finalize(upload->form);
        read_form_fields(upload);
    }
    if (!upload->has_file) {
        fail(request, &FRONT_BAD_REQUEST, "the form has no field \"file\"");
        return;
    }
    if (strcmp(upload->purpose, "batch") != 0) {
        fail(request, &FRONT_BAD_REQUEST, "\"purpose\" must be \"batch\"");
        return;
    }
    upload->is_complete = true;
    send_next(request);
}

static void
closed(struct front_request *request)
{
    struct upload *upload = request->state;

    if (upload == NULL) {
        return;
    }
    if (upload->is_opened && !upload->is_finished &&
        !upload->is_call_pending) {
        send_abort(request, upload->id);
    }
    if (upload->form != NULL) {
        lws_spa_destroy(upload->form);
    }
    g_string_free(upload->buffered, TRUE);
    g_free(upload);
    request->state = NULL;
}

const struct front_handler FRONT_UPLOAD = {
    .begin = begin, .body = body, .run = run, .closed = closed};
