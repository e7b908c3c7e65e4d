#include "bulk/bulk.pb-c.h"
#include "bulk/bulk_private.h"

#include <string.h>

struct peer_call {
    struct bulk_peer_reply reply;
};

static void
handle_stored(struct peer_call *call, const struct wire_answer *answer)
{
    Bulk__Stored *stored =
        bulk__stored__unpack(NULL, answer->size, answer->body);
    enum base_code code = stored == NULL ? BASE_CORRUPT : stored->code;

    call->reply.answered(call->reply.context, code, NULL, 0);
    if (stored != NULL) {
        bulk__stored__free_unpacked(stored, NULL);
    }
}

static void
handle_fetched(struct peer_call *call, const struct wire_answer *answer)
{
    Bulk__Fetched *fetched =
        bulk__fetched__unpack(NULL, answer->size, answer->body);

    if (fetched == NULL) {
        call->reply.answered(call->reply.context, BASE_CORRUPT, NULL, 0);
        return;
    }
    call->reply.answered(call->reply.context, fetched->code,
                         fetched->data.data, fetched->data.len);
    bulk__fetched__free_unpacked(fetched, NULL);
}

static void
on_peer_answer(void *context, const struct wire_answer *answer)
{
    struct peer_call *call = context;

    if (answer->code != BASE_OK) {
        call->reply.answered(call->reply.context, answer->code, NULL, 0);
    }
    else if (answer->kind == BULK_STORED) {
        handle_stored(call, answer);
    }
    else if (answer->kind == BULK_FETCHED) {
        handle_fetched(call, answer);
    }
    else {
        call->reply.answered(call->reply.context, BASE_CORRUPT, NULL, 0);
    }
    g_free(call);
}

static void
request(struct bulk *bulk, const char *address, uint32_t kind,
        const uint8_t *body, size_t size, struct bulk_peer_reply reply)
{
    struct peer_call *call = g_new0(struct peer_call, 1);
    struct wire_request_desc desc = {
        .address = address,
        .kind = kind,
        .body = body,
        .size = size,
        .timeout_ms = bulk->peer_timeout_ms,
        .is_idempotent = true,
        .answered = on_peer_answer,
        .context = call,
    };

    call->reply = reply;
    wire_request(&bulk->endpoint, &desc);
}

/* Asks a node to store a chunk; `reply` gets BASE_OK once it is fsynced. */
void
bulk_peer_store(struct bulk *bulk, const char *address, const char *name,
                GBytes *bytes, bool is_result, struct bulk_peer_reply reply)
{
    Bulk__Store store = BULK__STORE__INIT;
    gsize size;
    uint8_t *packed;
    size_t packed_size;

    store.name = (char *)name;
    store.data.data = (uint8_t *)g_bytes_get_data(bytes, &size);
    store.data.len = size;
    store.is_result = is_result;
    packed_size = bulk__store__get_packed_size(&store);
    packed = g_malloc(packed_size);
    bulk__store__pack(&store, packed);
    request(bulk, address, BULK_STORE, packed, packed_size, reply);
    g_free(packed);
}

/* Asks a node for its copy of a chunk. */
void
bulk_peer_fetch(struct bulk *bulk, const char *address, const char *name,
                struct bulk_peer_reply reply)
{
    Bulk__Fetch fetch = BULK__FETCH__INIT;
    uint8_t packed[BULK_NAME_SIZE + 16];
    size_t size;

    fetch.name = (char *)name;
    size = bulk__fetch__get_packed_size(&fetch);
    if (size > sizeof(packed)) {
        reply.answered(reply.context, BASE_INVALID, NULL, 0);
        return;
    }
    bulk__fetch__pack(&fetch, packed);
    request(bulk, address, BULK_FETCH, packed, size, reply);
}

/* ---- requests from peers ---- */

/* A peer's request that waits for the disk. */
struct peer_request {
    struct bulk *bulk;
    struct wire_return from;
};

static struct peer_request *
peer_request_new(struct bulk *bulk, const struct wire_message *message)
{
    struct peer_request *request = g_new0(struct peer_request, 1);
    request->bulk = bulk;
    request->from = message->from;
    return request;
}

static void
reply_stored(struct bulk *bulk, const struct wire_return *to,
             const struct base_error *err)
{
    Bulk__Stored stored = BULK__STORED__INIT;
    uint8_t *packed;
    size_t size;

    stored.code = err->code;
    stored.text = (char *)err->text;
    size = bulk__stored__get_packed_size(&stored);
    packed = g_malloc(size);
    bulk__stored__pack(&stored, packed);
    wire_reply(&bulk->endpoint, to, BULK_STORED, packed, size);
    g_free(packed);
}

static void
reply_fetched(struct bulk *bulk, const struct wire_return *to,
              enum base_code code, GBytes *bytes)
{
    Bulk__Fetched fetched = BULK__FETCHED__INIT;
    gsize data_size = 0;
    uint8_t *packed;
    size_t size;

    fetched.code = code;
    if (bytes != NULL) {
        fetched.data.data = (uint8_t *)g_bytes_get_data(bytes, &data_size);
        fetched.data.len = data_size;
    }
    size = bulk__fetched__get_packed_size(&fetched);
    packed = g_malloc(size);
    bulk__fetched__pack(&fetched, packed);
    wire_reply(&bulk->endpoint, to, BULK_FETCHED, packed, size);
    g_free(packed);
}

static void
on_peer_write_done(struct disk_op *op, void *task_state)
{
    struct peer_request *request = op->context;
    reply_stored(request->bulk, &request->from, &op->err);
    g_free(request);
}

static void
on_peer_read_done(struct disk_op *op, void *task_state)
{
    struct peer_request *request = op->context;
    bool is_ok = op->err.code == BASE_OK;

    reply_fetched(request->bulk, &request->from, op->err.code,
                  is_ok ? op->bytes : NULL);
    if (op->err.code == BASE_CORRUPT) {
        bulk_heal(request->bulk, op->name);
    }
    g_free(request);
}

static void
received_store(struct bulk *bulk, const struct wire_message *message)
{
    Bulk__Store *store =
        bulk__store__unpack(NULL, message->size, message->body);
    struct base_error err = {0};
    char name[BULK_NAME_SIZE] = "";
    GBytes *bytes;
    struct disk_op *op;

    if (store == NULL) {
        base_error_set(&err, BASE_INVALID, "malformed Store message");
        reply_stored(bulk, &message->from, &err);
        return;
    }
    bytes = g_bytes_new(store->data.data, store->data.len);
    bulk_name_of(bytes, name);
    if (!bulk->has_disk || strcmp(name, store->name) != 0) {
        base_error_set(&err, BASE_CORRUPT,
                       "no data folder, or checksum mismatch");
        reply_stored(bulk, &message->from, &err);
        g_bytes_unref(bytes);
    }
    else {
        op = disk_op_new(DISK_WRITE, name);
        op->bytes = bytes;
        op->is_result = store->is_result;
        disk_send(&bulk->disk, op, on_peer_write_done,
                  peer_request_new(bulk, message));
    }
    bulk__store__free_unpacked(store, NULL);
}

static void
received_fetch(struct bulk *bulk, const struct wire_message *message)
{
    Bulk__Fetch *fetch =
        bulk__fetch__unpack(NULL, message->size, message->body);
    bool is_name =
        fetch != NULL && strlen(fetch->name) == BULK_NAME_SIZE - 1 &&
        strspn(fetch->name, "0123456789abcdef") == BULK_NAME_SIZE - 1;

    if (!is_name || !bulk->has_disk) {
        reply_fetched(bulk, &message->from, BASE_NOT_FOUND, NULL);
    }
    else {
        disk_send(&bulk->disk, disk_op_new(DISK_READ, fetch->name),
                  on_peer_read_done, peer_request_new(bulk, message));
    }
    if (fetch != NULL) {
        bulk__fetch__free_unpacked(fetch, NULL);
    }
}

/* Handles a message from another node; the endpoint's `received` callback.
 * Messages that are not requests are dropped. */
void
bulk_peer_received(void *context, const struct wire_message *message)
{
    struct bulk *bulk = context;

    if (message->from.request == 0) {
        return;
    }
    if (message->kind == BULK_STORE) {
        received_store(bulk, message);
    }
    else if (message->kind == BULK_FETCH) {
        received_fetch(bulk, message);
    }
}
