#include "bulk/bulk_private.h"

#include <string.h>

/* A search for an intact copy of a chunk: first on the local disk, then on
 * the nodes known to have a copy, then on all others with a data folder. */
struct fetch_op {
    struct bulk *bulk;
    char name[BULK_NAME_SIZE];
    GPtrArray *addresses; /* of char *, in the order in which they are tried */
    guint next;
    bool is_local_corrupt;
    bool has_seen_corrupt;
    bool has_unreachable;
    void (*fetched)(void *context, GBytes *bytes,
                    const struct base_error *err);
    void *context;
};

static void try_next(struct fetch_op *fetch_op);

static void
end_fetch(struct fetch_op *fetch_op, GBytes *bytes,
          const struct base_error *err)
{
    fetch_op->fetched(fetch_op->context, bytes, err);
    g_ptr_array_unref(fetch_op->addresses);
    g_free(fetch_op);
}

static void
on_replacement_done(struct disk_op *op, void *task_state)
{
    struct bulk *bulk = op->context;

    if (op->err.code == BASE_OK) {
        base_counter_add(bulk->n_healed, 1);
        base_log(BASE_LOG_NOTICE, "bulk.healed", "chunk=%s", op->name);
    }
    else {
        base_log_error("bulk.heal_failed", &op->err, "chunk=%s", op->name);
    }
}

/* Replaces the corrupt copy on the local disk by these bytes. */
static void
replace_local(struct bulk *bulk, const char *name, GBytes *bytes)
{
    struct disk_op *op = disk_op_new(DISK_WRITE, name);

    op->bytes = g_bytes_ref(bytes);
    op->is_result = true;
    disk_send(&bulk->disk, op, on_replacement_done, bulk);
}

static void
on_peer_fetch_done(void *context, enum base_code code, const void *data,
                   size_t size)
{
    struct fetch_op *fetch_op = context;
    struct base_error ok = {0};
    GBytes *bytes = NULL;
    char name[BULK_NAME_SIZE] = "";

    if (code == BASE_OK) {
        bytes = g_bytes_new(data, size);
        bulk_name_of(bytes, name);
    }
    if (bytes == NULL || strcmp(name, fetch_op->name) != 0) {
        fetch_op->has_seen_corrupt |= code == BASE_CORRUPT || bytes != NULL;
        fetch_op->has_unreachable |=
            code == BASE_TIMEOUT || code == BASE_UNAVAILABLE;
        if (bytes != NULL) {
            g_bytes_unref(bytes);
        }
        try_next(fetch_op);
        return;
    }
    if (fetch_op->is_local_corrupt) {
        replace_local(fetch_op->bulk, fetch_op->name, bytes);
    }
    end_fetch(fetch_op, bytes, &ok);
    g_bytes_unref(bytes);
}

static void
fail_fetch(struct fetch_op *fetch_op)
{
    struct base_error err = {0};

    if (fetch_op->has_unreachable) {
        base_error_set(&err, BASE_UNAVAILABLE,
                       "chunk %s: no holder found; some nodes are unreachable",
                       fetch_op->name);
    }
    else if (fetch_op->has_seen_corrupt) {
        base_error_set(&err, BASE_CORRUPT, "chunk %s: no intact copy found",
                       fetch_op->name);
    }
    else {
        base_error_set(&err, BASE_NOT_FOUND, "chunk %s: no node has a copy",
                       fetch_op->name);
    }
    end_fetch(fetch_op, NULL, &err);
}

static void
try_next(struct fetch_op *fetch_op)
{
    if (fetch_op->next == fetch_op->addresses->len) {
        fail_fetch(fetch_op);
        return;
    }
    bulk_peer_fetch(fetch_op->bulk,
                    fetch_op->addresses->pdata[fetch_op->next++],
                    fetch_op->name,
                    (struct bulk_peer_reply){on_peer_fetch_done, fetch_op});
}

static void
on_local_discard_done(struct disk_op *op, void *task_state)
{
    try_next(op->context);
}

static void
on_local_read_done(struct disk_op *op, void *task_state)
{
    struct fetch_op *fetch_op = op->context;

    if (op->err.code == BASE_OK) {
        end_fetch(fetch_op, op->bytes, &op->err);
        return;
    }
    if (op->err.code != BASE_CORRUPT) {
        try_next(fetch_op);
        return;
    }
    base_counter_add(fetch_op->bulk->n_corrupt, 1);
    base_log_error("bulk.corrupt", &op->err, "chunk=%s", op->name);
    fetch_op->is_local_corrupt = true;
    fetch_op->has_seen_corrupt = true;
    disk_send(&fetch_op->bulk->disk, disk_op_new(DISK_DISCARD, op->name),
              on_local_discard_done, fetch_op);
}

static bool
is_replica(const struct bulk_chunk *chunk, const char *node)
{
    for (int i = 0; i < BULK_COPIES; i++) {
        if (strcmp(chunk->holders[i], node) == 0) {
            return true;
        }
    }
    return false;
}

static bool
is_reachable(const struct members_node *node)
{
    return node->bulk_address[0] != '\0' && node->state != MEMBERS_LEFT &&
           node->state != MEMBERS_DEAD;
}

/* Lists the other nodes in the order in which they are tried: those with a
 * copy in this node's zone, those with a copy elsewhere, the others. */
static void
list_addresses(struct fetch_op *fetch_op, const struct bulk_chunk *chunk)
{
    const struct members_view *view = fetch_op->bulk->view;
    const char *own_zone =
        view == NULL || view->self < 0 ? "" : view->nodes[view->self].zone;
    enum { ORDER_NEAR_REPLICAS, ORDER_FAR_REPLICAS, ORDER_OTHERS, N_ORDERS };

    for (int order = 0; order < N_ORDERS; order++) {
        for (int i = 0; view != NULL && i < view->n_nodes; i++) {
            const struct members_node *node = &view->nodes[i];
            bool is_near = strcmp(node->zone, own_zone) == 0;
            int rank = !is_replica(chunk, node->name) ? ORDER_OTHERS
                       : is_near                      ? ORDER_NEAR_REPLICAS
                                                      : ORDER_FAR_REPLICAS;
            if (rank == order && is_reachable(node) &&
                strcmp(node->name, fetch_op->bulk->node) != 0) {
                g_ptr_array_add(fetch_op->addresses,
                                g_strdup(node->bulk_address));
            }
        }
    }
}

/* Reads an intact copy of a chunk.  `fetched` runs on the bulk task with the
 * bytes, which it borrows, or with NULL and an error: BASE_NOT_FOUND,
 * BASE_CORRUPT or BASE_UNAVAILABLE. */
void
bulk_fetch(struct bulk *bulk, const struct bulk_chunk *chunk,
           void (*fetched)(void *context, GBytes *bytes,
                           const struct base_error *err),
           void *context)
{
    struct fetch_op *fetch_op = g_new0(struct fetch_op, 1);

    fetch_op->bulk = bulk;
    g_strlcpy(fetch_op->name, chunk->name, sizeof(fetch_op->name));
    fetch_op->addresses = g_ptr_array_new_with_free_func(g_free);
    fetch_op->fetched = fetched;
    fetch_op->context = context;
    list_addresses(fetch_op, chunk);
    if (!bulk->has_disk) {
        try_next(fetch_op);
        return;
    }
    disk_send(&bulk->disk, disk_op_new(DISK_READ, chunk->name),
              on_local_read_done, fetch_op);
}

static void
on_heal_fetch_done(void *context, GBytes *bytes, const struct base_error *err)
{
    if (bytes == NULL) {
        base_log_error("bulk.heal_failed", err, "found=no");
    }
}

/* Replaces a corrupt copy on the local disk by another node's. */
void
bulk_heal(struct bulk *bulk, const char *name)
{
    struct bulk_chunk chunk = {0};

    g_strlcpy(chunk.name, name, sizeof(chunk.name));
    bulk_fetch(bulk, &chunk, on_heal_fetch_done, NULL);
}
