#include "control/control_private.h"

#include <string.h>

/* Reports the contracts that this node holds for a server to the server's
 * owner; without a message if this node is the owner. */
static void
send_report(struct control *control, const char *server, const char *owner,
            GPtrArray *held_list)
{
    Control__Report report = CONTROL__REPORT__INIT;
    int node = members_view_find(control->view, owner);

    report.server = (char *)server;
    report.n_held = held_list->len;
    report.held = (Control__Held **)held_list->pdata;
    if (strcmp(owner, control->node) == 0) {
        control_owner_report(control, control->node, &report);
    }
    else if (node >= 0) {
        control_send(control, control->view->nodes[node].control_address,
                     CONTROL_REPORT, &report.base, 0);
    }
}

/* Returns true if the owner's current process instance does not know of the
 * contract, so that it must be reported; marks the contract as reported. */
static bool
mark_if_unreported(struct control *control, struct control_held_contract *held,
                   const char *owner)
{
    uint64_t instance = control_instance_of(control, owner);

    if (held->is_local || (strcmp(held->owner, owner) == 0 &&
                           held->owner_instance == instance)) {
        return false;
    }
    g_strlcpy(held->owner, owner, sizeof(held->owner));
    held->owner_instance = instance;
    return true;
}

/* Sets the expected work of a reported contract, and how long it has run; both
 * stay 0, which takes no bytes, if the work is unknown. */
void
control_fill_work(Control__Held *out, int64_t work_ms, int64_t elapsed_ms)
{
    if (work_ms > 0) {
        out->work_ms = (uint32_t)MIN(work_ms, WORK_MAX_MS);
        out->elapsed_ms = (uint32_t)CLAMP(elapsed_ms, 0, UINT32_MAX);
    }
}

/* Appends a contract to the list of a report; the list must free its entries
 * with g_free. */
void
control_report_add(struct control *control, GPtrArray *report,
                   const struct control_held_contract *held)
{
    Control__Held *entry = g_new(Control__Held, 1);

    control__held__init(entry);
    entry->contract = held->contract;
    entry->work_class = (uint32_t)held->class_;
    entry->slots = (uint32_t)held->slots;
    if (control->cost_routing) {
        control_fill_work(entry, held->work_ms,
                          control->now_ms - held->granted_ms);
    }
    g_ptr_array_add(report, entry);
}

static void
free_report(gpointer data)
{
    g_ptr_array_free(data, TRUE);
}

/* Reports the held contracts to the owners that do not know of them yet, after
 * a change of the configuration or the membership. */
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
        const char *owner = control_owner_name(control, held->server);
        if (owner[0] == '\0' || !mark_if_unreported(control, held, owner)) {
            continue;
        }
        report = g_hash_table_lookup(reports, held->server);
        if (report == NULL) {
            report = g_ptr_array_new_with_free_func(g_free);
            g_hash_table_insert(reports, held->server, report);
        }
        control_report_add(control, report, held);
    }
    g_hash_table_iter_init(&iter, reports);
    while (g_hash_table_iter_next(&iter, &server, &report)) {
        send_report(control, server, control_owner_name(control, server),
                    report);
    }
    g_hash_table_destroy(reports);
}

/* Makes the next update report all held contracts.  Called after this process
 * was paused: owners may have declared the node dead and dropped its
 * contracts. */
void
control_client_report_all(struct control *control)
{
    uint32_t cursor = 0;
    struct base_handle handle;

    while ((handle = base_table_next(&control->client.held, &cursor))
               .generation != 0) {
        struct control_held_contract *held =
            base_table_get(&control->client.held, handle);
        held->owner[0] = '\0';
    }
    control->is_changed = true;
}

/* Handles an owner's audit, which lists contracts that it has on record:
 * releases those that this node does not hold, and reports the others if the
 * owner wants a report. */
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
            control_report_add(control, report, held);
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
