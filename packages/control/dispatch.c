#include "control/control_private.h"

#include <string.h>

/* The name of a kind in counters. */
const char *
control_kind_name(uint32_t kind)
{
    static const char *const NAMES[] = {
        "gossip",      "ask",         "answer", "release",
        "cancel",      "yield",       "report", "audit",
        "news",        "record_pull", "record", "rate_ask",
        "rate_answer", "handover",    "recall", "recalled",
    };

    G_STATIC_ASSERT(G_N_ELEMENTS(NAMES) == CONTROL_N_KINDS - WIRE_FIRST_KIND);
    if (kind < WIRE_FIRST_KIND || kind >= CONTROL_N_KINDS) {
        return NULL;
    }
    return NAMES[kind - WIRE_FIRST_KIND];
}

/* Sends a one-way message; with delay_ms > 0 it waits for company. */
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

/* Answers a request. */
void
control_reply(struct control *control, const struct wire_return *to,
              enum control_kind kind, const ProtobufCMessage *message)
{
    struct control_bytes bytes = control_pack(message);
    wire_reply(&control->endpoint, to, kind, bytes.data, bytes.size);
    g_free(bytes.data);
}

static bool
is_server(const char *name)
{
    return name[0] != '\0' && control_text_is_good(name, CONTROL_SERVER_SIZE);
}

static bool
take_ask(struct control *control, const struct wire_message *message)
{
    Control__Ask *ask =
        control__ask__unpack(NULL, message->size, message->body);
    bool is_ok = ask != NULL && is_server(ask->server) &&
                 ask->work_class < CONTRACTS_N_CLASSES &&
                 control_text_is_good(ask->operator_name, 64);

    if (is_ok) {
        control_owner_admit(control, message->sender, ask, &message->from);
    }
    control__ask__free_unpacked(ask, NULL);
    return is_ok;
}

static bool
take_release(struct control *control, const struct wire_message *message)
{
    Control__Release *release =
        control__release__unpack(NULL, message->size, message->body);
    bool is_ok = release != NULL && is_server(release->server);

    if (is_ok) {
        control_owner_release(control, message->sender, release);
    }
    control__release__free_unpacked(release, NULL);
    return is_ok;
}

static bool
take_cancel(struct control *control, const struct wire_message *message)
{
    Control__Cancel *cancel =
        control__cancel__unpack(NULL, message->size, message->body);
    bool is_ok = cancel != NULL && is_server(cancel->server);

    if (is_ok) {
        control_owner_cancel(control, message->sender, cancel);
    }
    control__cancel__free_unpacked(cancel, NULL);
    return is_ok;
}

static bool
take_yield(struct control *control, const struct wire_message *message)
{
    Control__Yield *preempt =
        control__yield__unpack(NULL, message->size, message->body);
    bool is_ok = preempt != NULL && is_server(preempt->server);

    if (is_ok) {
        static const Control__Yield TAKEN = CONTROL__YIELD__INIT;
        control_client_preempt(control, preempt->server, preempt->contract,
                               (int)MIN(preempt->slots, (uint32_t)INT32_MAX),
                               message->from.request);
        control_reply(control, &message->from, CONTROL_YIELD, &TAKEN.base);
    }
    control__yield__free_unpacked(preempt, NULL);
    return is_ok;
}

static bool
take_report(struct control *control, const struct wire_message *message)
{
    Control__Report *report =
        control__report__unpack(NULL, message->size, message->body);
    bool is_ok = report != NULL && is_server(report->server);

    if (is_ok) {
        control_owner_report(control, message->sender, report);
    }
    control__report__free_unpacked(report, NULL);
    return is_ok;
}

static bool
take_audit(struct control *control, const struct wire_message *message)
{
    Control__Audit *audit =
        control__audit__unpack(NULL, message->size, message->body);
    bool is_ok = audit != NULL && is_server(audit->server);

    if (is_ok) {
        control_client_audit(control, audit);
    }
    control__audit__free_unpacked(audit, NULL);
    return is_ok;
}

static bool
receive_changes(struct control *control, const struct wire_message *message)
{
    Control__News *news =
        control__news__unpack(NULL, message->size, message->body);
    bool is_ok = news != NULL && control_text_is_good(news->from_address,
                                                      MEMBERS_ADDRESS_SIZE);

    if (is_ok) {
        control_leaving_apply(control, news);
        control_config_update(control, news);
    }
    control__news__free_unpacked(news, NULL);
    return is_ok;
}

static bool
take_record_pull(struct control *control, const struct wire_message *message)
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
take_rate_ask(struct control *control, const struct wire_message *message)
{
    Control__RateAsk *ask =
        control__rate_ask__unpack(NULL, message->size, message->body);
    bool is_ok = ask != NULL && control_text_is_good(ask->operator_name, 64);

    if (is_ok) {
        control_rates_answer(control, message->sender, ask, &message->from);
    }
    control__rate_ask__free_unpacked(ask, NULL);
    return is_ok;
}

static bool
take_gossip(struct control *control, const struct wire_message *message)
{
    return control_gossip_receive(control, message);
}

/* Handles what a peer sent.  Malformed messages are counted and dropped. */
void
control_receive(void *context, const struct wire_message *message)
{
    static bool (*const TAKE[CONTROL_N_KINDS])(struct control *,
                                               const struct wire_message *) = {
        [CONTROL_GOSSIP] = take_gossip,
        [CONTROL_ASK] = take_ask,
        [CONTROL_RELEASE] = take_release,
        [CONTROL_CANCEL] = take_cancel,
        [CONTROL_YIELD] = take_yield,
        [CONTROL_REPORT] = take_report,
        [CONTROL_AUDIT] = take_audit,
        [CONTROL_NEWS] = receive_changes,
        [CONTROL_RECORD_PULL] = take_record_pull,
        [CONTROL_RATE_ASK] = take_rate_ask,
        [CONTROL_HANDOVER] = control_handover_take,
        [CONTROL_RECALL] = control_rebuild_query,
    };
    struct control *control = context;
    bool is_known = message->kind < CONTROL_N_KINDS &&
                    TAKE[message->kind] != NULL &&
                    control_text_is_good(message->sender, MEMBERS_NAME_SIZE);

    if (!is_known || !TAKE[message->kind](control, message)) {
        base_counter_add(
            base_counter(control->counters, "control_malformed_total"), 1);
    }
}
