#include "control/control_private.h"

#include <string.h>

/* The keeper of new tables asks all nodes what they client of the servers.
 * Once all have answered the tables are whole; one that doesn't answer leaves
 * them cautious for as long as without these questions. */
enum {
    REBUILD_QUERY_MS = 2000, /* the time of caution of a new table */
};

struct rebuild;

struct rebuild_peer {
    struct rebuild *rebuild;
    char name[MEMBERS_NAME_SIZE];
    uint64_t request; /* on the wire; 0: none */
    bool has_answered;
};

/* The tables that one change of the world or the members began. */
struct rebuild {
    struct control *control;
    GPtrArray *servers; /* their names */
    GPtrArray *nodes;   /* of struct rebuild_peer */
    int64_t until_ms;
};

static void
free_rebuild(gpointer data)
{
    struct rebuild *rebuild = data;

    g_ptr_array_free(rebuild->servers, TRUE);
    g_ptr_array_free(rebuild->nodes, TRUE);
    g_free(rebuild);
}

/* Prepares an empty list. */
void
control_rebuild_init(struct control *control)
{
    control->keep.rebuilds = g_ptr_array_new_with_free_func(free_rebuild);
    control->keep.rebuilt_counter =
        base_counter(control->counters, "control_tables_recalled_total");
}

/* Frees the list; the endpoint has ended or ends with it. */
void
control_rebuild_finish(struct control *control)
{
    g_ptr_array_free(control->keep.rebuilds, TRUE);
}

/* ---- the keeper ---- */

static void
apply_reports(struct control *control, const char *holder,
              const struct wire_answer *reply)
{
    Control__Recalled *recalled =
        control__recalled__unpack(NULL, reply->size, reply->body);

    for (size_t i = 0; recalled != NULL && i < recalled->n_reports; i++) {
        control_owner_report(control, holder, recalled->reports[i]);
    }
    control__recalled__free_unpacked(recalled, NULL);
}

static void
on_rebuild_reply(void *context, const struct wire_answer *reply)
{
    struct rebuild_peer *node = context;
    struct control *control = node->rebuild->control;

    node->request = 0;
    if (reply->code == BASE_OK && reply->kind == CONTROL_RECALLED) {
        node->has_answered = true;
        apply_reports(control, node->name, reply);
    }
}

static void
send_rebuild_query(struct rebuild_peer *node, const char *address)
{
    struct rebuild *rebuild = node->rebuild;
    struct control *control = rebuild->control;
    Control__Recall message = CONTROL__RECALL__INIT;
    struct control_bytes bytes;
    struct wire_request_desc desc = {
        .address = address,
        .kind = CONTROL_RECALL,
        .timeout_ms = rebuild->until_ms - control->now_ms,
        .is_idempotent = true,
        .answered = on_rebuild_reply,
        .context = node,
    };

    message.n_servers = rebuild->servers->len;
    message.servers = (char **)rebuild->servers->pdata;
    bytes = control_pack(&message.base);
    desc.body = bytes.data;
    desc.size = bytes.size;
    node->request = wire_request(&control->endpoint, &desc);
    g_free(bytes.data);
}

static void
add_new_tables(struct rebuild *rebuild)
{
    struct control *control = rebuild->control;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, control->keep.servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct control_owned_server *kept = value;
        if (!kept->is_whole) {
            kept->is_whole = true;
            kept->rebuild = rebuild;
            g_ptr_array_add(rebuild->servers, g_strdup(kept->server));
        }
    }
}

static GPtrArray *
list_others(struct rebuild *rebuild)
{
    const struct members_view *view = rebuild->control->view;
    GPtrArray *nodes = g_ptr_array_new_with_free_func(g_free);

    for (int i = 0; i < view->n_nodes; i++) {
        struct rebuild_peer *node;
        if (!members_accepts_work(&view->nodes[i]) ||
            control_is_self(rebuild->control, i)) {
            continue;
        }
        node = g_new0(struct rebuild_peer, 1);
        node->rebuild = rebuild;
        g_strlcpy(node->name, view->nodes[i].name, sizeof(node->name));
        g_ptr_array_add(nodes, node);
    }
    return nodes;
}

/* Asks all other nodes about the tables that are new.  A node that is not
 * ready knows too few of them. */
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
    rebuild->until_ms = control->now_ms + REBUILD_QUERY_MS;
    rebuild->nodes = list_others(rebuild);
    add_new_tables(rebuild);
    if (rebuild->servers->len == 0) {
        free_rebuild(rebuild);
        return;
    }
    g_ptr_array_add(control->keep.rebuilds, rebuild);
}

/* Whether a node's answer is in; asks it, again if need be. */
static bool
has_answered(struct rebuild_peer *node)
{
    struct control *control = node->rebuild->control;
    int index;

    if (node->has_answered) {
        return true;
    }
    index = members_view_find(control->view, node->name);
    if (index < 0 || !members_accepts_work(&control->view->nodes[index])) {
        return true; /* what it held has ended with it */
    }
    if (node->request == 0) {
        send_rebuild_query(node, control->view->nodes[index].control_address);
    }
    return false;
}

static bool
have_all_answered(struct rebuild *rebuild)
{
    bool have_all = true;

    for (guint i = 0; i < rebuild->nodes->len; i++) {
        have_all &= has_answered(rebuild->nodes->pdata[i]);
    }
    return have_all;
}

static void
finish_rebuild(struct rebuild *rebuild)
{
    struct control *control = rebuild->control;

    for (guint i = 0; i < rebuild->servers->len; i++) {
        struct control_owned_server *kept = g_hash_table_lookup(
            control->keep.servers, rebuild->servers->pdata[i]);
        if (kept != NULL && kept->rebuild == rebuild) {
            kept->rebuild = NULL;
            contracts_controller_rebuilt(kept->keeper);
            base_counter_add(control->keep.rebuilt_counter, 1);
        }
    }
    base_log(BASE_LOG_INFO, "keeper.whole",
             "servers=%u nodes=%u asked_ms=%" G_GINT64_FORMAT,
             rebuild->servers->len, rebuild->nodes->len,
             control->now_ms - (rebuild->until_ms - REBUILD_QUERY_MS));
}

static void
cancel_requests(struct rebuild *rebuild)
{
    for (guint i = 0; i < rebuild->nodes->len; i++) {
        struct rebuild_peer *node = rebuild->nodes->pdata[i];
        if (node->request != 0) {
            wire_cancel(&rebuild->control->endpoint, node->request);
        }
    }
}

/* Sends the questions; ends the caution of tables that all have told of. */
void
control_rebuild_tick(struct control *control)
{
    for (guint i = control->keep.rebuilds->len; i-- > 0;) {
        struct rebuild *rebuild = control->keep.rebuilds->pdata[i];
        bool is_over = control->now_ms >= rebuild->until_ms;
        if (!is_over && have_all_answered(rebuild)) {
            finish_rebuild(rebuild);
            is_over = true;
        }
        if (is_over) {
            cancel_requests(rebuild);
            g_ptr_array_remove_index(control->keep.rebuilds, i);
        }
    }
}

/* ---- the holders ---- */

static Control__Report *
report_of(struct control *control, const char *server)
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
            control_report_add(held_list, held);
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
reply(struct control *control, const Control__Recall *rebuild,
      const struct wire_return *back)
{
    Control__Recalled out = CONTROL__RECALLED__INIT;

    out.reports = g_new0(Control__Report *, rebuild->n_servers + 1);
    for (size_t i = 0; i < rebuild->n_servers; i++) {
        Control__Report *report = report_of(control, rebuild->servers[i]);
        if (report->n_held > 0) {
            out.reports[out.n_reports++] = report;
        }
        else {
            free_report(report);
        }
    }
    control_reply(control, back, CONTROL_RECALLED, &out.base);
    for (size_t i = 0; i < out.n_reports; i++) {
        free_report(out.reports[i]);
    }
    g_free(out.reports);
}

/* A keeper asks what this node holds of its servers. */
bool
control_rebuild_query(struct control *control,
                      const struct wire_message *message)
{
    Control__Recall *rebuild =
        control__recall__unpack(NULL, message->size, message->body);
    bool is_ok = rebuild != NULL && message->from.request != 0;

    for (size_t i = 0; is_ok && i < rebuild->n_servers; i++) {
        is_ok = rebuild->servers[i][0] != '\0' &&
                control_text_is_good(rebuild->servers[i], CONTROL_SERVER_SIZE);
    }
    if (is_ok) {
        reply(control, rebuild, &message->from);
    }
    control__recall__free_unpacked(rebuild, NULL);
    return is_ok;
}
