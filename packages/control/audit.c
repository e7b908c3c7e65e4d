#include "control/control_private.h"

#include <string.h>

/* A release or a cancel may be lost with its connection.  So the owner asks
 * holders about contracts that are old; a holder releases those that it does
 * not hold. */

enum { MAX_AUDIT_CONTRACTS = 64 /* per message */ };

static void
send_audit(struct control *control, const char *holder, const char *server,
           GArray *contracts, bool wants_report)
{
    Control__Audit audit = CONTROL__AUDIT__INIT;
    int node = members_view_find(control->view, holder);

    audit.server = (char *)server;
    audit.n_contracts = contracts->len;
    audit.contracts = (uint64_t *)(void *)contracts->data;
    audit.wants_report = wants_report;
    if (strcmp(holder, control->node) == 0) {
        control_client_audit(control, &audit);
    }
    else if (node >= 0) {
        control_send(control, control->view->nodes[node].control_address,
                     CONTROL_AUDIT, &audit.base, 0);
    }
}

/* Asks each holder about its contracts that were granted or last audited at
 * least min_age_ms ago.  With wants_report, holders also report the contracts
 * among these that they hold. */
void
control_owner_audit(struct control *control, int64_t min_age_ms,
                    bool wants_report)
{
    GList *grants = g_hash_table_get_values(control->owner.granted);

    while (grants != NULL) {
        struct control_grant *first = grants->data;
        GArray *contracts = g_array_new(FALSE, FALSE, sizeof(uint64_t));
        GList *remaining = NULL;
        char holder[MEMBERS_NAME_SIZE];
        char server[CONTROL_SERVER_SIZE];

        g_strlcpy(holder, first->holder, sizeof(holder));
        g_strlcpy(server, first->server, sizeof(server));
        for (GList *at = grants; at != NULL; at = at->next) {
            struct control_grant *grant = at->data;
            if (strcmp(grant->holder, holder) != 0 ||
                strcmp(grant->server, server) != 0) {
                remaining = g_list_prepend(remaining, grant);
            }
            else if (control->now_ms - grant->last_checked_ms >= min_age_ms &&
                     contracts->len < MAX_AUDIT_CONTRACTS) {
                grant->last_checked_ms = control->now_ms;
                g_array_append_val(contracts, grant->contract);
            }
        }
        g_list_free(grants);
        grants = remaining;
        if (contracts->len > 0) {
            send_audit(control, holder, server, contracts, wants_report);
        }
        g_array_free(contracts, TRUE);
    }
}

/* Discards all admission controllers.  Called after this process was paused,
 * when its tables may be out of date: the holders are asked to report, and
 * until they have, new controllers grant only up to a provisional limit. */
void
control_owner_reset(struct control *control)
{
    GList *names = g_hash_table_get_keys(control->owner.servers);
    GPtrArray *copies = g_ptr_array_new_with_free_func(g_free);

    for (GList *at = names; at != NULL; at = at->next) {
        g_ptr_array_add(copies, g_strdup(at->data));
    }
    g_list_free(names);
    control_owner_audit(control, 0, true);
    for (guint i = 0; i < copies->len; i++) {
        control_owner_remove_server(control, g_ptr_array_index(copies, i));
    }
    g_ptr_array_free(copies, TRUE);
    control->is_changed = true;
}
