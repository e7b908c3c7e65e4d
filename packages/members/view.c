#include "members/members_private.h"

#include <string.h>

/* Takes a reference and returns the view; any thread may call it. */
struct members_view *
members_view_ref(struct members_view *view)
{
    __atomic_fetch_add(&view->references, 1, __ATOMIC_RELAXED);
    return view;
}

/* Drops a reference and frees the view with the last one; any thread may call
 * it.  NULL is allowed. */
void
members_view_unref(struct members_view *view)
{
    if (view == NULL ||
        __atomic_sub_fetch(&view->references, 1, __ATOMIC_ACQ_REL) > 0) {
        return;
    }
    g_free(view->nodes);
    g_free(view);
}

/* Returns the index of the node of this name, or -1. */
int
members_view_find(const struct members_view *view, const char *name)
{
    int low = 0;
    int high = view->n_nodes;

    while (low < high) {
        int middle = low + (high - low) / 2;
        int order = strcmp(view->nodes[middle].name, name);
        if (order == 0) {
            return middle;
        }
        if (order < 0) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return -1;
}

/* Returns whether the node may get new work.  A suspect may, since most
 * suspects are alive, and moving work twice costs more than waiting. */
bool
members_accepts_work(const struct members_node *node)
{
    return node->state == MEMBERS_ALIVE || node->state == MEMBERS_SUSPECT;
}

static int
compare_nodes(const void *left, const void *right)
{
    const struct members_node *a = left;
    const struct members_node *b = right;
    return strcmp(a->name, b->name);
}

/* Makes a snapshot of all records; release it with members_view_unref.  A
 * suspect that was leaving appears as leaving, so that it gets no work. */
struct members_view *
members_snapshot(struct members *members)
{
    struct members_view *view = g_new0(struct members_view, 1);
    GHashTableIter iter;
    gpointer value;

    view->references = 1;
    view->version = members->version;
    view->nodes =
        g_new(struct members_node, g_hash_table_size(members->records) + 1);
    view->nodes[view->n_nodes++] = members->self.node;
    g_hash_table_iter_init(&iter, members->records);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct members_record *record = value;
        struct members_node *node = &view->nodes[view->n_nodes++];
        *node = record->node;
        if (node->state == MEMBERS_SUSPECT && record->is_leaving) {
            node->state = MEMBERS_LEAVING;
        }
    }
    qsort(view->nodes, (size_t)view->n_nodes, sizeof(view->nodes[0]),
          compare_nodes);
    view->self = members_view_find(view, members->self.node.name);
    return view;
}
