#include "control/control_private.h"

#include <string.h>

static void
send_report(struct control *control, const char *server, const char *keeper,
            GPtrArray *of_server)
{
    Control__Report report = CONTROL__REPORT__INIT;
    int node = members_view_find(control->view, keeper);

    report.server = (char *)server;
    report.n_held = of_server->len;
    report.held = (Control__Held **)of_server->pdata;
    if (strcmp(keeper, control->node) == 0) {
        control_owner_report(control, control->node, &report);
    }
    else if (node >= 0) {
        control_send(control, control->view->nodes[node].control_address,
                     CONTROL_REPORT, &report.base, 0);
    }
}

static bool
takes_report(struct control *control, struct control_held_contract *held,
             const char *keeper)
{
    uint64_t life = control_instance_of(control, keeper);

    if (held->is_local ||
        (strcmp(held->keeper, keeper) == 0 && held->owner_instance == life)) {
        return false;
    }
    g_strlcpy(held->keeper, keeper, sizeof(held->keeper));
    held->owner_instance = life;
    return true;
}

/* Adds a contract to the list of a report; the list's owner frees it. */
void
control_report_add(GPtrArray *report, const struct control_held_contract *held)
{
    Control__Held *entry = g_new(Control__Held, 1);

    control__held__init(entry);
    entry->contract = held->contract;
    entry->work_class = (uint32_t)held->class_;
    entry->slots = (uint32_t)held->slots;
    g_ptr_array_add(report, entry);
}

static void
free_report(gpointer data)
{
    g_ptr_array_free(data, TRUE);
}

/* After a change of keepers, each new one hears what is held of its server. */
void
control_client_update(struct control *control)
{
    GHashTable *reports =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_report);
    GHashTableIter iter;
    gpointer server;
    gpointer report;
    uint32_t cursor = 0;
    struct base_handle handle;

    while ((handle = base_table_next(&control->client.held, &cursor))
               .generation != 0) {
        struct control_held_contract *held =
            base_table_get(&control->client.held, handle);
        const char *keeper = control_owner_name(control, held->server);
        if (keeper[0] == '\0' || !takes_report(control, held, keeper)) {
            continue;
        }
        report = g_hash_table_lookup(reports, held->server);
        if (report == NULL) {
            report = g_ptr_array_new_with_free_func(g_free);
            g_hash_table_insert(reports, held->server, report);
        }
        control_report_add(report, held);
    }
    g_hash_table_iter_init(&iter, reports);
    while (g_hash_table_iter_next(&iter, &server, &report)) {
        send_report(control, server, control_owner_name(control, server),
                    report);
    }
    g_hash_table_destroy(reports);
}

/* After a pause: the keepers may have given up on this node. */
void
control_client_report_all(struct control *control)
{
    uint32_t cursor = 0;
    struct base_handle handle;

    while ((handle = base_table_next(&control->client.held, &cursor))
               .generation != 0) {
        struct control_held_contract *held =
            base_table_get(&control->client.held, handle);
        held->keeper[0] = '\0';
    }
    control->is_changed = true;
}

/* A keeper asks whether these are still held: those that are not are given
 * back. */
void
control_client_audit(struct control *control, const Control__Audit *audit)
{
    GPtrArray *report = g_ptr_array_new_with_free_func(g_free);

    for (size_t i = 0; i < audit->n_contracts; i++) {
        uint64_t packed = control_find_by_contract(control, audit->server,
                                                   audit->contracts[i]);
        const struct control_held_contract *held =
            control_find_held_contract(control, packed);
        if (held != NULL) {
            control_report_add(report, held);
            continue;
        }
        control_send_release(control, audit->server, audit->contracts[i], 0,
                             false, NULL);
    }
    if (audit->wants_report && report->len > 0) {
        send_report(control, audit->server,
                    control_owner_name(control, audit->server), report);
    }
    g_ptr_array_free(report, TRUE);
}
