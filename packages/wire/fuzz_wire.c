/* Fuzz target: decodes arbitrary bytes as the packet frame of a message
 * between nodes.  The packet must be refused, or all its messages must have a
 * body and encoding it again must give an equal packet. */
#include <stdlib.h>
#include <string.h>

#include "wire/wire_private.h"

static void
require(bool condition)
{
    if (!condition) {
        abort();
    }
}

static void
check_repacking(const Wire__Packet *packet)
{
    size_t size = wire__packet__get_packed_size(packet);
    uint8_t *bytes = g_malloc(size + 1);
    Wire__Packet *repacked;

    require(wire__packet__pack(packet, bytes) == size);
    repacked = wire__packet__unpack(NULL, size, bytes);
    require(repacked != NULL && repacked->n_messages == packet->n_messages);
    require(strcmp(repacked->sender, packet->sender) == 0);
    wire__packet__free_unpacked(repacked, NULL);
    g_free(bytes);
}

static void
read_bodies(Wire__Packet *packet)
{
    GPtrArray *frames = g_ptr_array_new();
    struct wire_packet received = {.packet = packet, .frames = frames};
    size_t next_frame = 0;

    for (size_t i = 0; i < packet->n_messages; i++) {
        const void *body;
        size_t size;
        require(wire_packet_body(&received, &next_frame, packet->messages[i],
                                 &body, &size));
        require(size == 0 || body != NULL);
    }
    g_ptr_array_free(frames, TRUE);
}

/* libFuzzer sets this name. NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    Wire__Packet *packet = wire__packet__unpack(NULL, size, data);

    if (packet == NULL) {
        return 0;
    }
    if (wire_packet_is_readable(packet, 0)) {
        read_bodies(packet);
        check_repacking(packet);
    }
    wire__packet__free_unpacked(packet, NULL);
    return 0;
}
