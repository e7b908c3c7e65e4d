#include "control/control_private.h"

#include <string.h>

/* The new owner of servers queries all nodes for the contracts of these
 * servers that they hold.  Once all nodes have answered, the new admission
 * controllers grant without the provisional limit.  If a node does not answer,
 * the limit ends after its fixed duration, as it would without the query. */
enum {
    REBUILD_QUERY_MS = 2000, /* duration of the provisional limit, too */
};

struct rebuild;

struct rebuild_peer {
    struct rebuild *rebuild;
    char name[MEMBERS_NAME_SIZE];
    uint64_t request; /* pending wire request; 0: none */
    bool has_answered;
};

/* The servers that this node came to own by one change of the configuration or
 * the membership. */
struct rebuild {
    struct control *control;
    GPtrArray *servers; /* names of the servers */
    GPtrArray *peers;   /* struct rebuild_peer of each queried node */
    int64_t deadline_ms;
};

static void
free_rebuild(gpointer data)
{
    struct rebuild *rebuild = data;

    g_ptr_array_free(rebuild->servers, TRUE);
    g_ptr_array_free(rebuild->peers, TRUE);
    g_free(rebuild);
}

/* Prepares an empty list. */
void
control_rebuild_init(struct control *control)
{
    control->owner.rebuilds = g_ptr_array_new_with_free_func(free_rebuild);
    control->owner.rebuilt_counter =
        base_counter(control->counters, "control_tables_recalled_total");
}

/* Frees the list.  Pending requests are not cancelled, so the endpoint must
 * not be serviced any more. */
void
control_rebuild_finish(struct control *control)
{
    g_ptr_array_free(control->owner.rebuilds, TRUE);
}

/* ---- the owner's side ---- */

static void
apply_reports(struct control *control, const char *holder,
              const struct wire_answer *reply)
{
    Control__Recalled *recalled =
        control__recalled__unpack(NULL, reply->size, reply->body);

    for (size_t i = 0; recalled != NULL && i < recalled->n_reports; i++) {
        control_owner_report(control, holder, recalled->reports[i]);
    }
    for (size_t i = 0; recalled != NULL && i < recalled->n_notices; i++) {
        control_notice_merge(control, recalled->notices[i], holder);
    }
    control__recalled__free_unpacked(recalled, NULL);
}

static void
on_rebuild_query_done(void *context, const struct wire_answer *reply)
{
    struct rebuild_peer *peer = context;
    struct control *control = peer->rebuild->control;

    peer->request = 0;
    if (reply->code == BASE_OK && reply->kind == CONTROL_RECALLED) {
        peer->has_answered = true;
        apply_reports(control, peer->name, reply);
    }
}

static void
send_rebuild_query(struct rebuild_peer *peer, const char *address)
{
    struct rebuild *rebuild = peer->rebuild;
    struct control *control = rebuild->control;
    Control__Recall message = CONTROL__RECALL__INIT;
    struct control_bytes bytes;
    struct wire_request_desc desc = {
        .address = address,
        .kind = CONTROL_RECALL,
        .timeout_ms = rebuild->deadline_ms - control->now_ms,
        .is_idempotent = true,
        .answered = on_rebuild_query_done,
        .context = peer,
    };

    message.n_servers = rebuild->servers->len;
    message.servers = (char **)rebuild->servers->pdata;
    bytes = control_pack(&message.base);
    desc.body = bytes.data;
    desc.size = bytes.size;
    peer->request = wire_request(&control->endpoint, &desc);
    g_free(bytes.data);
}

static void
add_new_servers(struct rebuild *rebuild)
{
    struct control *control = rebuild->control;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, control->owner.servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct control_owned_server *owned = value;
        if (!owned->is_rebuild_started) {
            owned->is_rebuild_started = true;
            owned->rebuild = rebuild;
            g_ptr_array_add(rebuild->servers, g_strdup(owned->server));
        }
    }
}

static GPtrArray *
list_peers(struct rebuild *rebuild)
{
    const struct members_view *view = rebuild->control->view;
    GPtrArray *nodes = g_ptr_array_new_with_free_func(g_free);

    for (int i = 0; i < view->n_nodes; i++) {
        struct rebuild_peer *peer;
        if (!members_accepts_work(&view->nodes[i]) ||
            control_is_self(rebuild->control, i)) {
            continue;
        }
        peer = g_new0(struct rebuild_peer, 1);
        peer->rebuild = rebuild;
        g_strlcpy(peer->name, view->nodes[i].name, sizeof(peer->name));
        g_ptr_array_add(nodes, peer);
    }
    return nodes;
}

/* Starts a rebuild for the new admission controllers, if there are any.  Does
 * nothing until this node is ready, because before that it knows too few of
 * the other nodes. */
void
control_rebuild_begin(struct control *control)
{
    struct rebuild *rebuild;

    if (g_atomic_int_get(&control->is_ready) == 0 ||
        control->view->n_nodes < 2) {
        return;
    }
    rebuild = g_new0(struct rebuild, 1);
    rebuild->control = control;
    rebuild->servers = g_ptr_array_new_with_free_func(g_free);
    rebuild->deadline_ms = control->now_ms + REBUILD_QUERY_MS;
    rebuild->peers = list_peers(rebuild);
    add_new_servers(rebuild);
    if (rebuild->servers->len == 0) {
        free_rebuild(rebuild);
        return;
    }
    g_ptr_array_add(control->owner.rebuilds, rebuild);
}

/* Returns true if a node has answered or accepts no work any more.  Otherwise
 * sends it the query unless one is pending. */
static bool
poll_peer(struct rebuild_peer *peer)
{
    struct control *control = peer->rebuild->control;
    int index;

    if (peer->has_answered) {
        return true;
    }
    index = members_view_find(control->view, peer->name);
    if (index < 0 || !members_accepts_work(&control->view->nodes[index])) {
        return true; /* its contracts ended when it left */
    }
    if (peer->request == 0) {
        send_rebuild_query(peer, control->view->nodes[index].control_address);
    }
    return false;
}

static bool
poll_peers(struct rebuild *rebuild)
{
    bool have_all = true;

    for (guint i = 0; i < rebuild->peers->len; i++) {
        have_all &= poll_peer(rebuild->peers->pdata[i]);
    }
    return have_all;
}

static void
finish_rebuild(struct rebuild *rebuild)
{
    struct control *control = rebuild->control;

    for (guint i = 0; i < rebuild->servers->len; i++) {
        struct control_owned_server *owned = g_hash_table_lookup(
            control->owner.servers, rebuild->servers->pdata[i]);
        if (owned != NULL && owned->rebuild == rebuild) {
            owned->rebuild = NULL;
            contracts_controller_rebuilt(owned->controller);
            base_counter_add(control->owner.rebuilt_counter, 1);
        }
    }
    base_log(BASE_LOG_INFO, "owner.rebuilt",
             "servers=%u nodes=%u rebuild_ms=%" G_GINT64_FORMAT,
             rebuild->servers->len, rebuild->peers->len,
             control->now_ms - (rebuild->deadline_ms - REBUILD_QUERY_MS));
}

static void
cancel_requests(struct rebuild *rebuild)
{
    for (guint i = 0; i < rebuild->peers->len; i++) {
        struct rebuild_peer *peer = rebuild->peers->pdata[i];
        if (peer->request != 0) {
            wire_cancel(&rebuild->control->endpoint, peer->request);
        }
    }
}

/* Sends the queries that are due, and ends the provisional limits of servers
 * for which all nodes have answered. */
void
control_rebuild_tick(struct control *control)
{
    for (guint i = control->owner.rebuilds->len; i-- > 0;) {
        struct rebuild *rebuild = control->owner.rebuilds->pdata[i];
        bool is_ended = control->now_ms >= rebuild->deadline_ms;
        if (!is_ended && poll_peers(rebuild)) {
            finish_rebuild(rebuild);
            is_ended = true;
        }
        if (is_ended) {
            cancel_requests(rebuild);
            g_ptr_array_remove_index(control->owner.rebuilds, i);
        }
    }
}

/* ---- the holders' side ---- */

static Control__Report *
build_report(struct control *control, const char *server)
{
    Control__Report *report = g_new(Control__Report, 1);
    GPtrArray *held_list = g_ptr_array_new();
    struct base_handle handle;
    uint32_t cursor = 0;

    control__report__init(report);
    while ((handle = base_table_next(&control->client.held, &cursor))
               .generation != 0) {
        const struct control_held_contract *held =
            base_table_get(&control->client.held, handle);
        if (!held->is_local && strcmp(held->server, server) == 0) {
            control_report_add(control, held_list, held);
        }
    }
    report->server = g_strdup(server);
    report->n_held = held_list->len;
    report->held = (Control__Held **)g_ptr_array_free(held_list, FALSE);
    return report;
}

static void
free_report(Control__Report *report)
{
    for (size_t i = 0; i < report->n_held; i++) {
        g_free(report->held[i]);
    }
    g_free(report->held);
    g_free(report->server);
    g_free(report);
}

static void
send_reports(struct control *control, const Control__Recall *query,
             const struct wire_return *back)
{
    Control__Recalled out = CONTROL__RECALLED__INIT;
    Control__ServerNotice *notices =
        g_new(Control__ServerNotice, query->n_servers + 1);

    out.reports = g_new0(Control__Report *, query->n_servers + 1);
    out.notices = g_new0(Control__ServerNotice *, query->n_servers + 1);
    for (size_t i = 0; i < query->n_servers; i++) {
        Control__Report *report = build_report(control, query->servers[i]);
        if (report->n_held > 0) {
            out.reports[out.n_reports++] = report;
        }
        else {
            free_report(report);
        }
        if (control_notice_fill(control, query->servers[i],
                                &notices[out.n_notices])) {
            out.notices[out.n_notices] = &notices[out.n_notices];
            out.n_notices++;
        }
    }
    control_reply(control, back, CONTROL_RECALLED, &out.base);
    g_free(out.notices);
    g_free(notices);
    for (size_t i = 0; i < out.n_reports; i++) {
        free_report(out.reports[i]);
    }
    g_free(out.reports);
}

/* Answers an owner's query for the contracts that this node holds of the
 * listed servers; false if the message is malformed. */
bool
control_rebuild_receive(struct control *control,
                        const struct wire_message *message)
{
    Control__Recall *query =
        control__recall__unpack(NULL, message->size, message->body);
    bool is_ok = query != NULL && message->from.request != 0;

    for (size_t i = 0; is_ok && i < query->n_servers; i++) {
        is_ok = query->servers[i][0] != '\0' &&
                control_is_valid_text(query->servers[i], CONTROL_SERVER_SIZE);
    }
    if (is_ok) {
        send_reports(control, query, &message->from);
    }
    control__recall__free_unpacked(query, NULL);
    return is_ok;
}
