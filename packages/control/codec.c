#include "control/control_private.h"

#include <string.h>
#include <zstd.h>

/* A node sets its incarnation to one above a received one, which must not
 * overflow. */
#define MAX_INCARNATION (UINT64_C(1) << 62)

enum {
    COMPRESSION_LEVEL = 3,
    MAX_STATE_BYTES = 4 * 1024 * 1024,
    MAX_UPDATES = 20000,
};

/* Encodes a message; the caller frees the data with g_free. */
struct control_bytes
control_pack(const ProtobufCMessage *message)
{
    struct control_bytes bytes;

    bytes.size = protobuf_c_message_get_packed_size(message);
    bytes.data = g_malloc(bytes.size + 1);
    protobuf_c_message_pack(message, bytes.data);
    return bytes;
}

/* Returns a hash table key for a number that is unique only together with a
 * name, such as a contract number with its server. */
uint64_t
control_key(const char *name, uint64_t number)
{
    return base_hash_text(name, number);
}

/* Whether a text from a peer is UTF-8 and fits a field of max_size bytes with
 * its terminator. */
bool
control_is_valid_text(const char *text, size_t max_size)
{
    size_t length = strlen(text);
    return length < max_size && base_is_utf8(text, length);
}

/* Compresses with zstd; the caller unreferences the result. */
GBytes *
control_compress(const void *data, size_t size)
{
    size_t bound = ZSTD_compressBound(size);
    uint8_t *out = g_malloc(bound);
    size_t used = ZSTD_compress(out, bound, data, size, COMPRESSION_LEVEL);

    g_assert(!ZSTD_isError(used));
    return g_bytes_new_take(g_realloc(out, used + 1), used);
}

/* Undoes control_compress; NULL if the data is malformed or the result would
 * be larger than max_size. */
GByteArray *
control_decompress(const void *data, size_t size, size_t max_size)
{
    unsigned long long full = ZSTD_getFrameContentSize(data, size);
    GByteArray *out;
    size_t used;

    if (full == ZSTD_CONTENTSIZE_UNKNOWN || full == ZSTD_CONTENTSIZE_ERROR ||
        full > max_size) {
        return NULL;
    }
    out = g_byte_array_new();
    g_byte_array_set_size(out, (guint)full);
    used = ZSTD_decompress(out->data, out->len, data, size);
    if (ZSTD_isError(used) || used != full) {
        g_byte_array_unref(out);
        return NULL;
    }
    return out;
}

static void
fill_update(Control__MemberUpdate *out, const struct members_update *update)
{
    const struct members_node *node = &update->node;

    control__member_update__init(out);
    out->name = (char *)node->name;
    out->incarnation = node->incarnation;
    out->state = (uint32_t)node->state;
    out->brief = update->is_brief;
    if (update->is_brief) {
        return;
    }
    out->zone = (char *)node->zone;
    out->control_address = (char *)node->control_address;
    out->bulk_address = (char *)node->bulk_address;
    out->http_address = (char *)node->http_address;
    out->jobs_address = (char *)node->jobs_address;
    out->world_revision = node->world_revision;
    out->life = node->life;
    out->cpu_milli = (uint32_t)node->cpu_milli;
}

static bool
read_update(const Control__MemberUpdate *in, struct members_update *out)
{
    struct members_node *node = &out->node;

    memset(out, 0, sizeof(*out));
    if (in->name[0] == '\0' || in->state > MEMBERS_DEAD ||
        in->incarnation > MAX_INCARNATION ||
        !control_is_valid_text(in->name, sizeof(node->name)) ||
        !control_is_valid_text(in->zone, sizeof(node->zone)) ||
        !control_is_valid_text(in->control_address,
                               sizeof(node->control_address)) ||
        !control_is_valid_text(in->bulk_address, sizeof(node->bulk_address)) ||
        !control_is_valid_text(in->http_address, sizeof(node->http_address)) ||
        !control_is_valid_text(in->jobs_address, sizeof(node->jobs_address))) {
        return false;
    }
    g_strlcpy(node->name, in->name, sizeof(node->name));
    g_strlcpy(node->zone, in->zone, sizeof(node->zone));
    g_strlcpy(node->control_address, in->control_address,
              sizeof(node->control_address));
    g_strlcpy(node->bulk_address, in->bulk_address,
              sizeof(node->bulk_address));
    g_strlcpy(node->http_address, in->http_address,
              sizeof(node->http_address));
    g_strlcpy(node->jobs_address, in->jobs_address,
              sizeof(node->jobs_address));
    node->incarnation = in->incarnation;
    node->state = (enum members_state)in->state;
    node->world_revision = MAX(in->world_revision, 0);
    node->life = in->life;
    node->cpu_milli = (int)MIN(in->cpu_milli, (uint32_t)INT32_MAX);
    out->is_brief = in->brief;
    return in->brief || node->control_address[0] != '\0';
}

static GBytes *
pack_list(Control__MemberUpdate **updates, size_t n_updates)
{
    Control__MemberList list = CONTROL__MEMBER_LIST__INIT;
    struct control_bytes bytes;
    GBytes *packed;

    list.n_updates = n_updates;
    list.updates = updates;
    bytes = control_pack(&list.base);
    packed = control_compress(bytes.data, bytes.size);
    g_free(bytes.data);
    return packed;
}

/* Encodes a membership message; the updates of a full state are compressed.
 * The caller frees the data with g_free. */
struct control_bytes
control_pack_gossip(const struct members_message *message,
                    uint64_t leaving_digest)
{
    Control__Gossip gossip = CONTROL__GOSSIP__INIT;
    guint n_updates = message->updates->len;
    Control__MemberUpdate *updates = g_new(Control__MemberUpdate, n_updates);
    Control__MemberUpdate **pointers =
        g_new(Control__MemberUpdate *, n_updates);
    struct control_bytes bytes;
    GBytes *packed = NULL;

    for (guint i = 0; i < n_updates; i++) {
        fill_update(&updates[i], &g_array_index(message->updates,
                                                struct members_update, i));
        pointers[i] = &updates[i];
    }
    gossip.kind = (uint32_t)message->kind;
    gossip.sequence = message->sequence;
    gossip.target = (char *)message->target;
    gossip.from_address = (char *)message->from_address;
    gossip.incarnation = message->incarnation;
    gossip.state = (uint32_t)message->state;
    gossip.world_revision = message->world_revision;
    gossip.leaving_digest = leaving_digest;
    if (message->kind == MEMBERS_STATE) {
        gsize size;
        packed = pack_list(pointers, n_updates);
        gossip.packed_updates.data =
            (uint8_t *)g_bytes_get_data(packed, &size);
        gossip.packed_updates.len = size;
    }
    else {
        gossip.n_updates = n_updates;
        gossip.updates = pointers;
    }
    bytes = control_pack(&gossip.base);
    if (packed != NULL) {
        g_bytes_unref(packed);
    }
    g_free(pointers);
    g_free(updates);
    return bytes;
}

static bool
read_updates(Control__MemberUpdate **updates, size_t n_updates, GArray *out)
{
    if (n_updates > MAX_UPDATES) {
        return false;
    }
    for (size_t i = 0; i < n_updates; i++) {
        struct members_update update;
        if (!read_update(updates[i], &update)) {
            return false;
        }
        g_array_append_val(out, update);
    }
    return true;
}

static bool
read_packed(const ProtobufCBinaryData *packed, GArray *out)
{
    GByteArray *bytes;
    Control__MemberList *list;
    bool is_ok;

    if (packed->len == 0) {
        return true;
    }
    bytes = control_decompress(packed->data, packed->len, MAX_STATE_BYTES);
    if (bytes == NULL) {
        return false;
    }
    list = control__member_list__unpack(NULL, bytes->len, bytes->data);
    g_byte_array_unref(bytes);
    if (list == NULL) {
        return false;
    }
    is_ok = read_updates(list->updates, list->n_updates, out);
    control__member_list__free_unpacked(list, NULL);
    return is_ok;
}

static bool
read_gossip(const Control__Gossip *gossip, const char *sender,
            struct members_message *out)
{
    if (gossip->kind > MEMBERS_STATE || gossip->state > MEMBERS_DEAD ||
        gossip->from_address[0] == '\0' ||
        gossip->incarnation > MAX_INCARNATION ||
        !control_is_valid_text(sender, sizeof(out->from)) ||
        !control_is_valid_text(gossip->target, sizeof(out->target)) ||
        !control_is_valid_text(gossip->from_address,
                               sizeof(out->from_address))) {
        return false;
    }
    out->kind = (enum members_message_kind)gossip->kind;
    out->sequence = gossip->sequence;
    g_strlcpy(out->from, sender, sizeof(out->from));
    g_strlcpy(out->target, gossip->target, sizeof(out->target));
    g_strlcpy(out->from_address, gossip->from_address,
              sizeof(out->from_address));
    out->incarnation = gossip->incarnation;
    out->state = (enum members_state)gossip->state;
    out->world_revision = MAX(gossip->world_revision, 0);
    return read_updates(gossip->updates, gossip->n_updates, out->updates) &&
           read_packed(&gossip->packed_updates, out->updates);
}

/* Decodes a membership message; NULL if any part of it is malformed. */
struct members_message *
control_unpack_gossip(const char *sender, const void *body, size_t size,
                      uint64_t *leaving_digest)
{
    Control__Gossip *gossip = control__gossip__unpack(NULL, size, body);
    struct members_message *message;

    if (gossip == NULL) {
        return NULL;
    }
    message = members_message_new(MEMBERS_PROBE);
    if (!read_gossip(gossip, sender, message)) {
        members_message_free(message);
        message = NULL;
    }
    *leaving_digest = gossip->leaving_digest;
    control__gossip__free_unpacked(gossip, NULL);
    return message;
}

/* Fills an answer from an admission controller's event.  The answer points to
 * `reduction`, which must outlive it. */
void
control_fill_answer(Control__Answer *out, const struct contracts_event *event,
                    float reduction[CONTRACTS_N_CLASSES])
{
    bool is_reduced = false;

    control__answer__init(out);
    out->answer = (uint32_t)event->answer;
    out->contract = event->contract;
    out->server = (char *)event->server;
    out->slots = (uint32_t)event->slots;
    out->term_ms = event->term_ms;
    out->window = (uint32_t)event->load.window;
    out->online = (uint32_t)event->load.online;
    out->batch = (uint32_t)event->load.batch;
    out->retry_ms = event->retry_ms;
    out->queued = (uint32_t)event->load.queued;
    for (int i = 0; i < CONTRACTS_N_CLASSES; i++) {
        reduction[i] = (float)event->reduction.share[i];
        is_reduced = is_reduced || reduction[i] > 0;
    }
    if (is_reduced) {
        out->n_reduction = CONTRACTS_N_CLASSES;
        out->reduction = reduction;
        out->reduction_ms = event->reduction.valid_ms;
    }
}

/* Decodes the outcome of a contract; NULL gives an empty one. */
void
control_read_outcome(const Control__Outcome *in, struct contracts_outcome *out)
{
    memset(out, 0, sizeof(*out));
    if (in == NULL) {
        return;
    }
    out->first_token_us = MAX(in->first_token_us, 0);
    out->inter_token_us = MAX(in->inter_token_us, 0);
    out->tokens = (int)MIN(in->tokens, (uint32_t)INT32_MAX);
    out->failed = in->failed;
}
