#include "control/control_private.h"

/* What servers say of themselves in their responses.  A node that hears
 * something new tells the server's owner at once, which has to act on it, and
 * all nodes in rounds, since each of them may own the server next. */
enum {
    ROUND_MS = 100, /* between rounds; equals the tick of an idle task */
};

/* Initializes an empty set. */
void
control_notices_init(struct control *control)
{
    g_mutex_init(&control->server_notices.lock);
    notices_init(&control->server_notices.notices);
    control->server_notices.changes =
        base_counter(control->counters, "control_server_notices_total");
}

/* Frees the set. */
void
control_notices_finish(struct control *control)
{
    notices_finish(&control->server_notices.notices);
    g_mutex_clear(&control->server_notices.lock);
}

/* Returns the requests a second that a server takes, or NOTICES_NO_LIMIT. */
double
control_server_limit(struct control *control, const char *server)
{
    double limit;

    g_mutex_lock(&control->server_notices.lock);
    limit = notices_limit(&control->server_notices.notices, server);
    g_mutex_unlock(&control->server_notices.lock);
    return limit;
}

/* Returns whether a response of the server has said that it leaves. */
bool
control_has_said_leaving(struct control *control, const char *server)
{
    bool is_leaving;

    g_mutex_lock(&control->server_notices.lock);
    is_leaving = notices_is_leaving(&control->server_notices.notices, server);
    g_mutex_unlock(&control->server_notices.lock);
    return is_leaving;
}

static void
log_change(const struct notices_record *record, const char *from)
{
    base_log(BASE_LOG_NOTICE, "server.notice",
             "server=%s limit_per_s=%g version=%" G_GUINT64_FORMAT
             " leaving=%d from=%s",
             record->server.name, record->limit_per_s, record->version,
             record->is_leaving, from);
}

/* ---- messages ---- */

static void
fill_notice(Control__ServerNotice *out, const struct notices_record *record)
{
    control__server_notice__init(out);
    out->server = (char *)record->server.name;
    out->started_ms = record->server.started_ms;
    out->version = record->version;
    out->limit_per_s = record->limit_per_s;
    out->is_leaving = record->is_leaving;
}

/* Packs an array of struct notices_record. */
static struct control_bytes
pack_records(const GArray *records)
{
    Control__ServerNotices message = CONTROL__SERVER_NOTICES__INIT;
    Control__ServerNotice *notices =
        g_new(Control__ServerNotice, records->len);
    struct control_bytes bytes;

    message.notices = g_new(Control__ServerNotice *, records->len);
    message.n_notices = records->len;
    for (guint i = 0; i < records->len; i++) {
        fill_notice(&notices[i],
                    &g_array_index(records, struct notices_record, i));
        message.notices[i] = &notices[i];
    }
    bytes = control_pack(&message.base);
    g_free(message.notices);
    g_free(notices);
    return bytes;
}

static void
send_records(struct control *control, const GArray *records,
             const char *address)
{
    struct control_bytes bytes = pack_records(records);

    wire_send(&control->endpoint, address, CONTROL_SERVER_NOTICES, bytes.data,
              bytes.size);
    g_free(bytes.data);
}

static GArray *
take_records(struct control *control, bool is_all)
{
    GArray *records;

    g_mutex_lock(&control->server_notices.lock);
    records = notices_take(&control->server_notices.notices, is_all);
    g_mutex_unlock(&control->server_notices.lock);
    return records;
}

static bool
find_record(struct control *control, const char *server,
            struct notices_record *out)
{
    bool is_found;

    g_mutex_lock(&control->server_notices.lock);
    is_found = notices_find(&control->server_notices.notices, server, out);
    g_mutex_unlock(&control->server_notices.lock);
    return is_found;
}

/* Fills a message with a server's record, which borrows `server`; false if
 * there is none. */
bool
control_notice_fill(struct control *control, const char *server,
                    Control__ServerNotice *out)
{
    struct notices_record record;

    if (!find_record(control, server, &record)) {
        return false;
    }
    fill_notice(out, &record);
    out->server = (char *)server;
    return true;
}

/* Sends all records to a node, whose digest differs from this node's. */
void
control_notices_send_all(struct control *control, const char *address)
{
    GArray *records = take_records(control, true);

    if (records != NULL) {
        send_records(control, records, address);
        g_array_free(records, TRUE);
    }
}

static void
send_to_owner(struct control *control, const char *server)
{
    int index = control->world == NULL
                    ? WORLD_NONE
                    : world_find_server(control->world, server);
    int owner =
        index == WORLD_NONE ? WORLD_NONE : control_owner_of(control, index);
    struct notices_record record;
    GArray *records;
    const char *address;

    if (owner == WORLD_NONE || control_is_self(control, owner) ||
        !find_record(control, server, &record)) {
        return;
    }
    address = control_node_address(control, owner);
    records = g_array_new(FALSE, FALSE, sizeof(record));
    g_array_append_val(records, record);
    send_records(control, records, address);
    g_array_free(records, TRUE);
}

static void
broadcast_round(struct control *control)
{
    GArray *records = take_records(control, false);
    struct control_bytes bytes;

    if (records == NULL) {
        return;
    }
    control->server_notices.next_round_ms = control->now_ms + ROUND_MS;
    bytes = pack_records(records);
    control_send_round(control, CONTROL_SERVER_NOTICES, &bytes);
    g_free(bytes.data);
    g_array_free(records, TRUE);
}

/* ---- changes ---- */

/* Applies what is new of a server.  One that leaves is drained with the next
 * changes of the configuration and the membership. */
static void
apply_record(struct control *control, const struct notices_record *record,
             const char *from)
{
    log_change(record, from);
    control_owner_apply_notice(control, record->server.name);
    control->is_changed = control->is_changed || record->is_leaving;
}

static int64_t
started_ms_of(const struct control *control, const char *server)
{
    int index = control->world == NULL
                    ? WORLD_NONE
                    : world_find_server(control->world, server);

    return index == WORLD_NONE ? 0 : control->world->servers[index].started_ms;
}

/* Applies another node's record of a server; malformed ones are counted. */
void
control_notice_merge(struct control *control,
                     const Control__ServerNotice *notice, const char *sender)
{
    struct notices_record record = {.version = notice->version,
                                    .limit_per_s = notice->limit_per_s,
                                    .is_leaving = notice->is_leaving};
    bool is_new;

    if (notice->server[0] == '\0' ||
        !control_is_valid_text(notice->server, NOTICES_NAME_SIZE)) {
        base_counter_add(
            base_counter(control->counters, "control_malformed_total"), 1);
        return;
    }
    if (notice->started_ms < started_ms_of(control, notice->server)) {
        return; /* of an earlier start of the server */
    }
    g_strlcpy(record.server.name, notice->server, sizeof(record.server.name));
    record.server.started_ms = notice->started_ms;
    g_mutex_lock(&control->server_notices.lock);
    is_new = notices_merge(&control->server_notices.notices, &record,
                           control->now_ms);
    g_mutex_unlock(&control->server_notices.lock);
    if (is_new) {
        apply_record(control, &record, sender);
    }
}

/* Handles a peer's records; false if the message is malformed. */
bool
control_notices_receive(struct control *control,
                        const struct wire_message *message)
{
    Control__ServerNotices *received =
        control__server_notices__unpack(NULL, message->size, message->body);

    if (received == NULL) {
        return false;
    }
    for (size_t i = 0; i < received->n_notices; i++) {
        control_notice_merge(control, received->notices[i], message->sender);
    }
    control__server_notices__free_unpacked(received, NULL);
    return true;
}

struct response_call {
    struct base_call call;
    char server[CONTROL_SERVER_SIZE];
    double limit_per_s;
    bool is_leaving;
    int64_t sent_ms;
    int64_t received_ms;
};

static void
serve_response(struct base_call *call, void *state)
{
    struct response_call *response = (struct response_call *)call;
    struct control *control = state;
    struct notices_server server = {0};
    struct notices_record record;
    bool is_changed;

    g_strlcpy(server.name, response->server, sizeof(server.name));
    server.started_ms = started_ms_of(control, server.name);
    g_mutex_lock(&control->server_notices.lock);
    is_changed = notices_observe(&control->server_notices.notices, &server,
                                 response->limit_per_s, response->sent_ms,
                                 response->received_ms);
    if (response->is_leaving) {
        is_changed = notices_observe_leaving(&control->server_notices.notices,
                                             &server) ||
                     is_changed;
    }
    g_mutex_unlock(&control->server_notices.lock);
    if (is_changed && find_record(control, server.name, &record)) {
        base_counter_add(control->server_notices.changes, 1);
        apply_record(control, &record, "response");
        send_to_owner(control, server.name);
    }
    base_call_reply(call);
}

static void
free_call(struct base_call *call)
{
    g_free(call);
}

/* See the header. */
void
control_note_response(struct control *control, const char *server,
                      const struct control_response *response)
{
    static const struct base_call_ops OPS = {serve_response, NULL, free_call};
    double limit_per_s = NOTICES_NO_LIMIT;
    struct response_call *noted;

    if (response->limit != NULL &&
        !notices_parse_limit(response->limit, &limit_per_s)) {
        base_log(BASE_LOG_WARNING, "server.limit_unreadable",
                 "server=%s value=\"%.32s\" reason=\"not a decimal number\"",
                 server, response->limit);
        limit_per_s = control_server_limit(control, server);
    }
    if (limit_per_s == control_server_limit(control, server) &&
        (!response->is_leaving || control_has_said_leaving(control, server))) {
        return;
    }
    noted = g_new0(struct response_call, 1);
    g_strlcpy(noted->server, server, sizeof(noted->server));
    noted->limit_per_s = limit_per_s;
    noted->is_leaving = response->is_leaving;
    noted->sent_ms = response->sent_ms;
    noted->received_ms = base_clock_ms();
    base_call_send(&noted->call, &OPS, &control->task, NULL);
}

/* Takes the servers of the configuration in force. */
void
control_notices_set_servers(struct control *control)
{
    const struct world *world = control->world;
    struct notices_server *servers =
        g_new0(struct notices_server, world->n_servers + 1);

    for (int i = 0; i < world->n_servers; i++) {
        g_strlcpy(servers[i].name, world->servers[i].name,
                  sizeof(servers[i].name));
        servers[i].started_ms = world->servers[i].started_ms;
    }
    g_mutex_lock(&control->server_notices.lock);
    notices_set_servers(&control->server_notices.notices, servers,
                        world->n_servers, control->now_ms);
    g_mutex_unlock(&control->server_notices.lock);
    g_free(servers);
}

/* Returns a hash of the records of registered servers. */
uint64_t
control_notices_digest(struct control *control)
{
    uint64_t digest;

    g_mutex_lock(&control->server_notices.lock);
    digest = notices_digest(&control->server_notices.notices);
    g_mutex_unlock(&control->server_notices.lock);
    return digest;
}

/* Sends the next round of changes if due. */
void
control_notices_tick(struct control *control)
{
    if (control->now_ms >= control->server_notices.next_round_ms) {
        broadcast_round(control);
    }
}
