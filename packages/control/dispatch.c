#include "control/control_private.h"

#include <string.h>

/* Returns the name of a message kind in metrics; NULL if unknown. */
const char *
control_kind_name(uint32_t kind)
{
    static const char *const NAMES[] = {
        "gossip",      "ask",          "answer",         "release",
        "cancel",      "yield",        "report",         "audit",
        "news",        "record_pull",  "record",         "rate_ask",
        "rate_answer", "handover",     "recall",         "recalled",
        "loads",       "prompt_parts", "server_notices", "rate_notice",
        "rate_relay",
    };

    G_STATIC_ASSERT(G_N_ELEMENTS(NAMES) == CONTROL_N_KINDS - WIRE_FIRST_KIND);
    if (kind < WIRE_FIRST_KIND || kind >= CONTROL_N_KINDS) {
        return NULL;
    }
    return NAMES[kind - WIRE_FIRST_KIND];
}

/* Sends a one-way message; false if it was dropped.  With delay_ms > 0 it is
 * batched: delayed so that more messages are sent together. */
bool
control_send(struct control *control, const char *address,
             enum control_kind kind, const ProtobufCMessage *message,
             int64_t delay_ms)
{
    struct control_bytes bytes = control_pack(message);
    bool is_sent = delay_ms > 0
                       ? wire_send_later(&control->endpoint, address, kind,
                                         bytes.data, bytes.size, delay_ms)
                       : wire_send(&control->endpoint, address, kind,
                                   bytes.data, bytes.size);
    g_free(bytes.data);
    return is_sent;
}

/* Replies to a request. */
void
control_reply(struct control *control, const struct wire_return *to,
              enum control_kind kind, const ProtobufCMessage *message)
{
    struct control_bytes bytes = control_pack(message);
    wire_reply(&control->endpoint, to, kind, bytes.data, bytes.size);
    g_free(bytes.data);
}

static bool
is_server_name(const char *name)
{
    return name[0] != '\0' && control_is_valid_text(name, CONTROL_SERVER_SIZE);
}

static bool
receive_admission(struct control *control, const struct wire_message *message)
{
    Control__Ask *admission =
        control__ask__unpack(NULL, message->size, message->body);
    bool is_ok = admission != NULL && is_server_name(admission->server) &&
                 admission->work_class < CONTRACTS_N_CLASSES &&
                 control_is_valid_text(admission->operator_name, 64);

    if (is_ok) {
        control_owner_admit(control, message->sender, admission,
                            &message->from);
    }
    control__ask__free_unpacked(admission, NULL);
    return is_ok;
}

static bool
receive_release(struct control *control, const struct wire_message *message)
{
    Control__Release *release =
        control__release__unpack(NULL, message->size, message->body);
    bool is_ok = release != NULL && is_server_name(release->server);

    if (is_ok) {
        control_owner_release(control, message->sender, release);
    }
    control__release__free_unpacked(release, NULL);
    return is_ok;
}

static bool
receive_cancel(struct control *control, const struct wire_message *message)
{
    Control__Cancel *cancel =
        control__cancel__unpack(NULL, message->size, message->body);
    bool is_ok = cancel != NULL && is_server_name(cancel->server);

    if (is_ok) {
        control_owner_cancel(control, message->sender, cancel);
    }
    control__cancel__free_unpacked(cancel, NULL);
    return is_ok;
}

static bool
receive_preempt(struct control *control, const struct wire_message *message)
{
    Control__Yield *preempt =
        control__yield__unpack(NULL, message->size, message->body);
    bool is_ok = preempt != NULL && is_server_name(preempt->server);

    if (is_ok) {
        static const Control__Yield RECEIVED = CONTROL__YIELD__INIT;
        control_client_preempt(control, preempt->server, preempt->contract,
                               (int)MIN(preempt->slots, (uint32_t)INT32_MAX),
                               message->from.request);
        control_reply(control, &message->from, CONTROL_YIELD, &RECEIVED.base);
    }
    control__yield__free_unpacked(preempt, NULL);
    return is_ok;
}

static bool
receive_report(struct control *control, const struct wire_message *message)
{
    Control__Report *report =
        control__report__unpack(NULL, message->size, message->body);
    bool is_ok = report != NULL && is_server_name(report->server);

    if (is_ok) {
        control_owner_report(control, message->sender, report);
    }
    control__report__free_unpacked(report, NULL);
    return is_ok;
}

static bool
receive_audit(struct control *control, const struct wire_message *message)
{
    Control__Audit *audit =
        control__audit__unpack(NULL, message->size, message->body);
    bool is_ok = audit != NULL && is_server_name(audit->server);

    if (is_ok) {
        control_client_audit(control, audit);
    }
    control__audit__free_unpacked(audit, NULL);
    return is_ok;
}

static bool
receive_update(struct control *control, const struct wire_message *message)
{
    Control__News *update =
        control__news__unpack(NULL, message->size, message->body);
    bool is_ok = update != NULL && control_is_valid_text(update->from_address,
                                                         MEMBERS_ADDRESS_SIZE);

    if (is_ok) {
        control_leaving_apply(control, update);
        control_config_update(control, update);
    }
    control__news__free_unpacked(update, NULL);
    return is_ok;
}

static bool
receive_record_pull(struct control *control,
                    const struct wire_message *message)
{
    Control__RecordPull *pull =
        control__record_pull__unpack(NULL, message->size, message->body);
    bool is_ok = pull != NULL;

    if (is_ok) {
        control_config_serve(control, pull, &message->from);
    }
    control__record_pull__free_unpacked(pull, NULL);
    return is_ok;
}

static bool
receive_gossip(struct control *control, const struct wire_message *message)
{
    return control_gossip_receive(control, message);
}

/* Handles a message from a peer; counts and drops malformed ones. */
void
control_receive(void *context, const struct wire_message *message)
{
    static bool (*const RECEIVERS[CONTROL_N_KINDS])(
        struct control *, const struct wire_message *) = {
        [CONTROL_GOSSIP] = receive_gossip,
        [CONTROL_ASK] = receive_admission,
        [CONTROL_RELEASE] = receive_release,
        [CONTROL_CANCEL] = receive_cancel,
        [CONTROL_YIELD] = receive_preempt,
        [CONTROL_REPORT] = receive_report,
        [CONTROL_AUDIT] = receive_audit,
        [CONTROL_NEWS] = receive_update,
        [CONTROL_RECORD_PULL] = receive_record_pull,
        [CONTROL_RATE_ASK] = control_rates_receive_report,
        [CONTROL_RATE_NOTICE] = control_rates_receive_notice,
        [CONTROL_RATE_RELAY] = control_rates_receive_relay,
        [CONTROL_HANDOVER] = control_handover_receive,
        [CONTROL_RECALL] = control_rebuild_receive,
        [CONTROL_LOADS] = control_loads_receive,
        [CONTROL_PROMPT_PARTS] = control_prompt_parts_receive,
        [CONTROL_SERVER_NOTICES] = control_notices_receive,
    };
    struct control *control = context;
    bool is_known = message->kind < CONTROL_N_KINDS &&
                    RECEIVERS[message->kind] != NULL &&
                    control_is_valid_text(message->sender, MEMBERS_NAME_SIZE);

    if (!is_known || !RECEIVERS[message->kind](control, message)) {
        base_counter_add(
            base_counter(control->counters, "control_malformed_total"), 1);
    }
}
