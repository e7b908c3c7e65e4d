#include "control/control_private.h"

#include <string.h>

/* The keeper of new tables asks all nodes what they hold of the servers.  Once
 * all have answered the tables are whole; one that doesn't answer leaves them
 * cautious for as long as without these questions. */
enum {
    RECALL_MS = 2000, /* the time of caution of a new table */
};

struct recall;

struct recalled_node {
    struct recall *recall;
    char name[MEMBERS_NAME_SIZE];
    uint64_t request; /* on the wire; 0: none */
    bool has_answered;
};

/* The tables that one change of the world or the members began. */
struct recall {
    struct control *control;
    GPtrArray *servers; /* their names */
    GPtrArray *nodes;   /* of struct recalled_node */
    int64_t until_ms;
};

static void
free_recall(gpointer data)
{
    struct recall *recall = data;

    g_ptr_array_free(recall->servers, TRUE);
    g_ptr_array_free(recall->nodes, TRUE);
    g_free(recall);
}

/* Prepares an empty list. */
void
control_recall_init(struct control *control)
{
    control->keep.recalls = g_ptr_array_new_with_free_func(free_recall);
    control->keep.recalled_counter =
        base_counter(control->counters, "control_tables_recalled_total");
}

/* Frees the list; the endpoint has ended or ends with it. */
void
control_recall_finish(struct control *control)
{
    g_ptr_array_free(control->keep.recalls, TRUE);
}

/* ---- the keeper ---- */

static void
take_reports(struct control *control, const char *holder,
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
on_recalled(void *context, const struct wire_answer *reply)
{
    struct recalled_node *node = context;
    struct control *control = node->recall->control;

    node->request = 0;
    if (reply->code == BASE_OK && reply->kind == CONTROL_RECALLED) {
        node->has_answered = true;
        take_reports(control, node->name, reply);
    }
}

static void
send_recall(struct recalled_node *node, const char *address)
{
    struct recall *recall = node->recall;
    struct control *control = recall->control;
    Control__Recall message = CONTROL__RECALL__INIT;
    struct control_bytes bytes;
    struct wire_request_desc desc = {
        .address = address,
        .kind = CONTROL_RECALL,
        .timeout_ms = recall->until_ms - control->now_ms,
        .is_idempotent = true,
        .answered = on_recalled,
        .context = node,
    };

    message.n_servers = recall->servers->len;
    message.servers = (char **)recall->servers->pdata;
    bytes = control_pack(&message.base);
    desc.body = bytes.data;
    desc.size = bytes.size;
    node->request = wire_request(&control->endpoint, &desc);
    g_free(bytes.data);
}

static void
take_new_tables(struct recall *recall)
{
    struct control *control = recall->control;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, control->keep.servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct control_owned_server *kept = value;
        if (!kept->is_whole) {
            kept->is_whole = true;
            kept->recall = recall;
            g_ptr_array_add(recall->servers, g_strdup(kept->server));
        }
    }
}

static GPtrArray *
list_others(struct recall *recall)
{
    const struct members_view *view = recall->control->view;
    GPtrArray *nodes = g_ptr_array_new_with_free_func(g_free);

    for (int i = 0; i < view->n_nodes; i++) {
        struct recalled_node *node;
        if (!members_takes_work(&view->nodes[i]) ||
            control_is_self(recall->control, i)) {
            continue;
        }
        node = g_new0(struct recalled_node, 1);
        node->recall = recall;
        g_strlcpy(node->name, view->nodes[i].name, sizeof(node->name));
        g_ptr_array_add(nodes, node);
    }
    return nodes;
}

/* Asks all other nodes about the tables that are new.  A node that is not
 * ready knows too few of them. */
void
control_recall_begin(struct control *control)
{
    struct recall *recall;

    if (g_atomic_int_get(&control->is_ready) == 0 ||
        control->view->n_nodes < 2) {
        return;
    }
    recall = g_new0(struct recall, 1);
    recall->control = control;
    recall->servers = g_ptr_array_new_with_free_func(g_free);
    recall->until_ms = control->now_ms + RECALL_MS;
    recall->nodes = list_others(recall);
    take_new_tables(recall);
    if (recall->servers->len == 0) {
        free_recall(recall);
        return;
    }
    g_ptr_array_add(control->keep.recalls, recall);
}

/* Whether a node's answer is in; asks it, again if need be. */
static bool
has_answered(struct recalled_node *node)
{
    struct control *control = node->recall->control;
    int index;

    if (node->has_answered) {
        return true;
    }
    index = members_view_find(control->view, node->name);
    if (index < 0 || !members_takes_work(&control->view->nodes[index])) {
        return true; /* what it held has ended with it */
    }
    if (node->request == 0) {
        send_recall(node, control->view->nodes[index].control_address);
    }
    return false;
}

static bool
have_all_answered(struct recall *recall)
{
    bool have_all = true;

    for (guint i = 0; i < recall->nodes->len; i++) {
        have_all &= has_answered(recall->nodes->pdata[i]);
    }
    return have_all;
}

static void
end_caution(struct recall *recall)
{
    struct control *control = recall->control;

    for (guint i = 0; i < recall->servers->len; i++) {
        struct control_owned_server *kept = g_hash_table_lookup(
            control->keep.servers, recall->servers->pdata[i]);
        if (kept != NULL && kept->recall == recall) {
            kept->recall = NULL;
            contracts_controller_rebuilt(kept->keeper);
            base_counter_add(control->keep.recalled_counter, 1);
        }
    }
    base_log(BASE_LOG_INFO, "keeper.whole",
             "servers=%u nodes=%u asked_ms=%" G_GINT64_FORMAT,
             recall->servers->len, recall->nodes->len,
             control->now_ms - (recall->until_ms - RECALL_MS));
}

static void
cancel_requests(struct recall *recall)
{
    for (guint i = 0; i < recall->nodes->len; i++) {
        struct recalled_node *node = recall->nodes->pdata[i];
        if (node->request != 0) {
            wire_cancel(&recall->control->endpoint, node->request);
        }
    }
}

/* Sends the questions; ends the caution of tables that all have told of. */
void
control_recall_tick(struct control *control)
{
    for (guint i = control->keep.recalls->len; i-- > 0;) {
        struct recall *recall = control->keep.recalls->pdata[i];
        bool is_over = control->now_ms >= recall->until_ms;
        if (!is_over && have_all_answered(recall)) {
            end_caution(recall);
            is_over = true;
        }
        if (is_over) {
            cancel_requests(recall);
            g_ptr_array_remove_index(control->keep.recalls, i);
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
    while (
        (handle = base_table_next(&control->hold.held, &cursor)).generation !=
        0) {
        const struct control_held_contract *held =
            base_table_get(&control->hold.held, handle);
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
reply(struct control *control, const Control__Recall *recall,
      const struct wire_return *back)
{
    Control__Recalled out = CONTROL__RECALLED__INIT;

    out.reports = g_new0(Control__Report *, recall->n_servers + 1);
    for (size_t i = 0; i < recall->n_servers; i++) {
        Control__Report *report = report_of(control, recall->servers[i]);
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
control_recall_take(struct control *control,
                    const struct wire_message *message)
{
    Control__Recall *recall =
        control__recall__unpack(NULL, message->size, message->body);
    bool is_ok = recall != NULL && message->from.request != 0;

    for (size_t i = 0; is_ok && i < recall->n_servers; i++) {
        is_ok = recall->servers[i][0] != '\0' &&
                control_text_is_good(recall->servers[i], CONTROL_SERVER_SIZE);
    }
    if (is_ok) {
        reply(control, recall, &message->from);
    }
    control__recall__free_unpacked(recall, NULL);
    return is_ok;
}
