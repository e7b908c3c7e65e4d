/* Feeds arbitrary bytes as the body of a message between control tasks; the
 * first byte chooses the kind.  Membership messages and records of prompt
 * parts are applied to a node's state, which must stay consistent; all other
 * kinds must be decoded or rejected without a fault. */
#include <stdlib.h>
#include <string.h>

#include "control/control_private.h"

enum {
    MAX_RECORD = 1 << 20,
    PROMPT_PARTS = 0xff, /* first byte of records of prompt parts */
};

static void
require(bool holds)
{
    if (!holds) {
        abort();
    }
}

static const ProtobufCMessageDescriptor *
descriptor_of(unsigned kind)
{
    static const ProtobufCMessageDescriptor *const ALL[] = {
        &control__ask__descriptor,         &control__answer__descriptor,
        &control__release__descriptor,     &control__cancel__descriptor,
        &control__yield__descriptor,       &control__report__descriptor,
        &control__audit__descriptor,       &control__news__descriptor,
        &control__record_pull__descriptor, &control__record__descriptor,
        &control__rate_ask__descriptor,    &control__rate_answer__descriptor,
        &control__handover__descriptor,    &control__recall__descriptor,
        &control__recalled__descriptor,    &control__rate_notice__descriptor,
    };
    return ALL[kind % G_N_ELEMENTS(ALL)];
}

static struct members *
new_members(void)
{
    static const char *const SEEDS[] = {"127.0.0.1:1"};
    struct members_desc desc = {.seeds = SEEDS, .n_seeds = 1, .seed = 1};

    g_strlcpy(desc.self.name, "self", sizeof(desc.self.name));
    g_strlcpy(desc.self.control_address, "127.0.0.1:2",
              sizeof(desc.self.control_address));
    return members_new(&desc);
}

static void
drop_actions(GArray *actions)
{
    for (guint i = 0; i < actions->len; i++) {
        members_message_free(
            g_array_index(actions, struct members_action, i).message);
    }
    g_array_set_size(actions, 0);
}

static void
check_view(struct members *members)
{
    struct members_view *view = members_snapshot(members);

    require(view->self >= 0);
    require(view->nodes[view->self].state == MEMBERS_ALIVE);
    for (int i = 1; i < view->n_nodes; i++) {
        require(strcmp(view->nodes[i - 1].name, view->nodes[i].name) < 0);
    }
    members_view_unref(view);
}

static void
fuzz_gossip(const uint8_t *data, size_t size)
{
    struct members *members = new_members();
    GArray *actions = g_array_new(FALSE, TRUE, sizeof(struct members_action));
    uint64_t digest;
    struct members_message *decoded;
    struct members_message *message =
        control_unpack_gossip("peer", data, size, &digest);

    if (message != NULL) {
        struct control_bytes bytes;
        members_receive(members, message, 1, actions);
        members_tick(members, 1000, actions);
        check_view(members);
        drop_actions(actions);
        bytes = control_pack_gossip(message, digest);
        decoded =
            control_unpack_gossip("peer", bytes.data, bytes.size, &digest);
        require(decoded != NULL);
        require(decoded->updates->len == message->updates->len);
        g_free(bytes.data);
        members_message_free(decoded);
        members_message_free(message);
    }
    g_array_free(actions, TRUE);
    members_free(members);
}

static void
fuzz_prompt_parts(const uint8_t *data, size_t size)
{
    struct control control = {.now_ms = 1000};
    struct quarantine *quarantine = &control.prompt_parts.quarantine;
    struct wire_message message = {
        .sender = "peer", .body = data, .size = size};

    g_mutex_init(&control.prompt_parts.lock);
    quarantine_init(quarantine, &(struct quarantine_desc){0});
    if (control_prompt_parts_receive(&control, &message)) {
        GArray *records;
        uint64_t digest = quarantine_digest(quarantine, control.now_ms);

        /* A second copy changes nothing. */
        control_prompt_parts_receive(&control, &message);
        require(quarantine_digest(quarantine, control.now_ms) == digest);
        records = quarantine_take(quarantine, true, control.now_ms);
        if (records != NULL) {
            g_array_free(records, TRUE);
        }
        quarantine_expire(quarantine, INT64_MAX / 2);
    }
    control_prompt_parts_finish(&control);
}

/* Called by libFuzzer. NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    if (size == 0) {
        return 0;
    }
    if (data[0] == PROMPT_PARTS) {
        fuzz_prompt_parts(data + 1, size - 1);
        return 0;
    }
    if (data[0] % 2 == 0) {
        fuzz_gossip(data + 1, size - 1);
        return 0;
    }
    const ProtobufCMessageDescriptor *kind = descriptor_of(data[0] / 2);
    ProtobufCMessage *message =
        protobuf_c_message_unpack(kind, NULL, size - 1, data + 1);
    if (message != NULL) {
        protobuf_c_message_free_unpacked(message, NULL);
    }
    GByteArray *text = control_decompress(data + 1, size - 1, MAX_RECORD);
    if (text != NULL) {
        g_byte_array_unref(text);
    }
    return 0;
}
