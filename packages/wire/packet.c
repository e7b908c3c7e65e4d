#include "wire/wire_private.h"

#include <string.h>
#include <zmq.h>

enum {
    /* A body up to this size is sent inside the packet, a larger one in a
     * frame of its own. */
    INLINE_BYTES = 4096,
    MAX_MESSAGES = 512, /* largest number of messages in one received packet */
};

/* What ZeroMQ's protocol (ZMTP) adds to each frame. */
enum {
    SHORT_HEADER_BYTES = 2,
    LONG_HEADER_BYTES = 9,
    MAX_SHORT_FRAME = 255,
    CURVE_FRAME_BYTES = 33,
};

/* Frees the contents of a queued message; a GDestroyNotify. */
void
wire_queued_clear(gpointer data)
{
    struct wire_queued *queued = data;
    g_bytes_unref(queued->body);
}

/* Adds to wire_bytes_total of this kind and direction. */
void
wire_count_bytes(struct wire_endpoint *endpoint, bool is_out, uint32_t kind,
                 size_t size)
{
    gpointer key = GUINT_TO_POINTER(kind * 2 + (is_out ? 1 : 0));
    struct base_counter *counter;

    if (endpoint->desc.counters == NULL) {
        return;
    }
    counter = g_hash_table_lookup(endpoint->byte_counts, key);
    if (counter == NULL) {
        const char *name = NULL;
        if (kind < WIRE_FIRST_KIND) {
            name = "probe";
        }
        else if (endpoint->desc.kind_name != NULL) {
            name = endpoint->desc.kind_name(kind);
        }
        /* Unknown kinds share one counter, so that a peer can't create an
         * unlimited number of them. */
        if (name == NULL) {
            name = "other";
        }
        char *full =
            g_strdup_printf("wire_bytes_total{dir=\"%s\",kind=\"%s\"}",
                            is_out ? "out" : "in", name);
        counter = base_counter(endpoint->desc.counters, full);
        g_free(full);
        if (strcmp(name, "other") != 0) {
            g_hash_table_insert(endpoint->byte_counts, key, counter);
        }
    }
    base_counter_add(counter, (int64_t)size);
}

static bool
send_frame(void *socket, const void *data, size_t size, bool is_last)
{
    int flags = ZMQ_DONTWAIT | (is_last ? 0 : ZMQ_SNDMORE);
    return zmq_send(socket, data, size, flags) >= 0;
}

static void
fill_envelope(Wire__Envelope *envelope, const struct wire_queued *queued)
{
    gsize size;
    gconstpointer body = g_bytes_get_data(queued->body, &size);

    wire__envelope__init(envelope);
    envelope->kind = queued->kind;
    envelope->request = queued->request;
    envelope->is_answer = queued->is_answer;
    if (size > INLINE_BYTES) {
        envelope->body_follows = true;
        return;
    }
    envelope->body.data = (uint8_t *)body;
    envelope->body.len = size;
}

static GByteArray *
pack(const char *sender, const struct wire_queued *queued, guint n_queued,
     GPtrArray *body_frames)
{
    Wire__Packet packet = WIRE__PACKET__INIT;
    Wire__Envelope *envelopes = g_new(Wire__Envelope, n_queued);
    Wire__Envelope **pointers = g_new(Wire__Envelope *, n_queued);
    GByteArray *out = g_byte_array_new();

    packet.version = WIRE_VERSION;
    packet.needs_version = 1;
    packet.sender = (char *)sender;
    packet.n_messages = n_queued;
    packet.messages = pointers;
    for (guint i = 0; i < n_queued; i++) {
        fill_envelope(&envelopes[i], &queued[i]);
        pointers[i] = &envelopes[i];
        if (envelopes[i].body_follows) {
            g_ptr_array_add(body_frames, queued[i].body);
        }
    }
    g_byte_array_set_size(out, (guint)wire__packet__get_packed_size(&packet));
    wire__packet__pack(&packet, out->data);
    g_free(pointers);
    g_free(envelopes);
    return out;
}

/* Returns the bytes that ZeroMQ adds to a frame: its header, and with CURVE
 * the command name, nonce, authentication code and flags. */
static size_t
frame_overhead(const struct wire_endpoint *endpoint, size_t size)
{
    size_t curve = endpoint->keys != NULL ? CURVE_FRAME_BYTES : 0;
    size_t header = size + curve > MAX_SHORT_FRAME ? LONG_HEADER_BYTES
                                                   : SHORT_HEADER_BYTES;
    return header + curve;
}

static void
count_sent(struct wire_endpoint *endpoint, const struct wire_queued *queued,
           guint n_queued, size_t packed_size)
{
    size_t inlined = 0;
    size_t overhead = frame_overhead(endpoint, packed_size);

    for (guint i = 0; i < n_queued; i++) {
        size_t size = g_bytes_get_size(queued[i].body);
        if (size > INLINE_BYTES) {
            overhead += frame_overhead(endpoint, size);
        }
        else {
            inlined += size;
        }
        wire_count_bytes(endpoint, true, queued[i].kind, size);
    }
    /* The packet's remaining bytes are counted for the first message. */
    wire_count_bytes(endpoint, true, queued[0].kind,
                     packed_size - inlined + overhead);
    base_counter_add(endpoint->packets_out, 1);
}

/* Counts a received packet and the overhead of its frames.  The bodies are
 * counted by the caller. */
void
wire_packet_count(struct wire_endpoint *endpoint,
                  const struct wire_packet *packet)
{
    const Wire__Packet *content = packet->packet;
    size_t inlined = 0;
    size_t overhead = 0;
    size_t packed_size = zmq_msg_size(g_ptr_array_index(packet->frames, 1));

    for (guint i = 1; i < packet->frames->len; i++) {
        overhead += frame_overhead(
            endpoint, zmq_msg_size(g_ptr_array_index(packet->frames, i)));
    }
    for (size_t i = 0; i < content->n_messages; i++) {
        inlined += content->messages[i]->body.len;
    }
    if (content->n_messages > 0 && inlined <= packed_size) {
        wire_count_bytes(endpoint, false, content->messages[0]->kind,
                         packed_size - inlined + overhead);
    }
    base_counter_add(endpoint->packets_in, 1);
}

/* Sends the messages as one packet.  Returns false, with nothing sent, if the
 * peer's queue is full or the peer is not connected. */
bool
wire_packet_send(struct wire_endpoint *endpoint, void *socket,
                 const void *route, size_t route_size,
                 const struct wire_queued *queued, guint n_queued)
{
    GPtrArray *body_frames = g_ptr_array_new();
    GByteArray *packed = pack(endpoint->node, queued, n_queued, body_frames);
    bool is_sent = send_frame(socket, route, route_size, false);

    if (is_sent) {
        /* ZeroMQ accepts the rest of a message once it has accepted the first
         * frame. */
        send_frame(socket, packed->data, packed->len, body_frames->len == 0);
        for (guint i = 0; i < body_frames->len; i++) {
            gsize size;
            const void *data =
                g_bytes_get_data(g_ptr_array_index(body_frames, i), &size);
            send_frame(socket, data, size, i + 1 == body_frames->len);
        }
        count_sent(endpoint, queued, n_queued, packed->len);
    }
    else {
        base_counter_add(endpoint->dropped, n_queued);
    }
    g_byte_array_unref(packed);
    g_ptr_array_free(body_frames, TRUE);
    return is_sent;
}

static void
free_frame(gpointer data)
{
    zmq_msg_close(data);
    g_free(data);
}

/* Whether a decoded message has a field with number 0.  No field may have it;
 * protobuf-c refuses it only in the shortest form of the number. */
static bool
has_field_zero(const ProtobufCMessage *message)
{
    for (unsigned i = 0; i < message->n_unknown_fields; i++) {
        if (message->unknown_fields[i].tag == 0) {
            return true;
        }
    }
    return false;
}

/* Checks that a decoded packet has a version that this node can read, a valid
 * sender, no field with number 0, and exactly n_frames messages whose body is
 * in a frame of its own. */
bool
wire_packet_is_readable(const Wire__Packet *packet, size_t n_frames)
{
    size_t n_body_frames = 0;

    if (packet->version == 0 || packet->needs_version > WIRE_VERSION ||
        has_field_zero(&packet->base)) {
        return false;
    }
    if (packet->n_messages > MAX_MESSAGES || packet->sender[0] == '\0' ||
        !base_is_utf8(packet->sender, strlen(packet->sender))) {
        return false;
    }
    for (size_t i = 0; i < packet->n_messages; i++) {
        if (has_field_zero(&packet->messages[i]->base)) {
            return false;
        }
        n_body_frames += packet->messages[i]->body_follows ? 1 : 0;
    }
    return n_body_frames == n_frames;
}

static bool
receive_frames(void *socket, GPtrArray *frames)
{
    for (;;) {
        zmq_msg_t *frame = g_new(zmq_msg_t, 1);
        zmq_msg_init(frame);
        if (zmq_msg_recv(frame, socket, ZMQ_DONTWAIT) < 0) {
            free_frame(frame);
            return frames->len > 0;
        }
        g_ptr_array_add(frames, frame);
        if (!zmq_msg_more(frame)) {
            return true;
        }
    }
}

/* Receives one packet from a ROUTER socket.  After WIRE_RECEIVED the caller
 * must finish the packet.  WIRE_REFUSED: an unreadable packet was dropped. */
enum wire_receive
wire_packet_receive(struct wire_endpoint *endpoint, void *socket,
                    struct wire_packet *packet)
{
    GPtrArray *frames = g_ptr_array_new_with_free_func(free_frame);

    memset(packet, 0, sizeof(*packet));
    packet->frames = frames;
    if (!receive_frames(socket, frames)) {
        wire_packet_finish(packet);
        return WIRE_NOTHING;
    }
    if (frames->len >= 2 &&
        zmq_msg_size(g_ptr_array_index(frames, 0)) <= WIRE_ROUTE_SIZE) {
        zmq_msg_t *route = g_ptr_array_index(frames, 0);
        zmq_msg_t *head = g_ptr_array_index(frames, 1);
        packet->route_size = zmq_msg_size(route);
        memcpy(packet->route, zmq_msg_data(route), packet->route_size);
        packet->packet =
            wire__packet__unpack(NULL, zmq_msg_size(head), zmq_msg_data(head));
    }
    if (packet->packet == NULL ||
        !wire_packet_is_readable(packet->packet, frames->len - 2)) {
        base_counter_add(endpoint->refused_packets, 1);
        wire_packet_finish(packet);
        return WIRE_REFUSED;
    }
    return WIRE_RECEIVED;
}

/* Finds the body of a message.  Call it for all messages of the packet in
 * order, with *next_frame 0 at first.  Returns false if a frame is missing. */
bool
wire_packet_body(const struct wire_packet *packet, size_t *next_frame,
                 const Wire__Envelope *envelope, const void **body,
                 size_t *size)
{
    if (!envelope->body_follows) {
        *body = envelope->body.data;
        *size = envelope->body.len;
        return true;
    }
    size_t at = 2 + (*next_frame)++;
    if (at >= packet->frames->len) {
        return false;
    }
    zmq_msg_t *frame = g_ptr_array_index(packet->frames, at);
    *body = zmq_msg_data(frame);
    *size = zmq_msg_size(frame);
    return true;
}

/* Frees a received packet. */
void
wire_packet_finish(struct wire_packet *packet)
{
    if (packet->packet != NULL) {
        wire__packet__free_unpacked(packet->packet, NULL);
    }
    g_ptr_array_free(packet->frames, TRUE);
    packet->packet = NULL;
    packet->frames = NULL;
}
