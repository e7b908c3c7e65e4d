#include "bulk/bulk_private.h"

#include <string.h>

enum candidate_state {
    CANDIDATE_UNTRIED,
    CANDIDATE_WAITING,
    CANDIDATE_STORED,
    CANDIDATE_FAILED,
};

/* A node on which a copy may be stored. */
struct candidate {
    char node[MEMBERS_NAME_SIZE];
    char zone[MEMBERS_NAME_SIZE];
    char address[MEMBERS_ADDRESS_SIZE];
    uint64_t rank; /* lower ranks are tried first */
    enum candidate_state state;
};

/* A chunk that is being stored. */
struct store_op {
    struct bulk *bulk;
    struct bulk_store_desc desc;
    char region[BASE_NAME_SIZE];
    struct bulk_chunk chunk;
    char existing_zones[BULK_COPIES][MEMBERS_NAME_SIZE];
    int n_existing;        /* live copies of desc.existing */
    int n_replicas;        /* entries of chunk.holders */
    int n_waiting;         /* writes under way */
    GArray *candidates;    /* of struct candidate */
    struct base_error err; /* the last failure, or the first BASE_FULL */
};

/* A write of one copy. */
struct attempt {
    struct store_op *store_op;
    guint to; /* index of the candidate */
};

static bool
is_in_region(const struct world *world, const char *zone, const char *region)
{
    int index = world == NULL ? WORLD_NONE : world_find_zone(world, zone);

    if (index == WORLD_NONE) {
        return world == NULL;
    }
    return strcmp(world->regions[world->zones[index].region].name, region) ==
           0;
}

static bool
is_replica(const struct store_op *store_op, const char *node)
{
    for (int i = 0; i < store_op->n_replicas; i++) {
        if (strcmp(store_op->chunk.holders[i], node) == 0) {
            return true;
        }
    }
    return false;
}

static void
add_candidate(struct store_op *store_op, const struct members_node *node)
{
    struct candidate candidate = {0};
    uint64_t seed = bulk_name_key(store_op->chunk.name);

    g_strlcpy(candidate.node, node->name, sizeof(candidate.node));
    g_strlcpy(candidate.zone, node->zone, sizeof(candidate.zone));
    g_strlcpy(candidate.address, node->bulk_address,
              sizeof(candidate.address));
    /* The local disk has rank 0: it needs no network, and the chunk is often
     * read on the node that stored it. */
    if (strcmp(node->name, store_op->bulk->node) != 0) {
        candidate.rank = base_hash_text(node->name, seed) | 1;
    }
    g_array_append_val(store_op->candidates, candidate);
}

static void
list_candidates(struct store_op *store_op, bool is_any_region)
{
    const struct bulk *bulk = store_op->bulk;
    const struct members_view *view = bulk->view;

    for (int i = 0; view != NULL && i < view->n_nodes; i++) {
        const struct members_node *node = &view->nodes[i];
        bool is_eligible_zone =
            is_any_region ||
            is_in_region(bulk->world, node->zone, store_op->region);
        bool is_self = strcmp(node->name, bulk->node) == 0;
        if (is_eligible_zone && node->bulk_address[0] != '\0' &&
            members_accepts_work(node) && !is_replica(store_op, node->name) &&
            (!is_self || bulk->has_disk)) {
            add_candidate(store_op, node);
        }
    }
}

static int
compare_candidates(const void *left, const void *right)
{
    const struct candidate *a = left;
    const struct candidate *b = right;
    if (a->rank != b->rank) {
        return a->rank < b->rank ? -1 : 1;
    }
    return strcmp(a->node, b->node);
}

static struct candidate *
candidate_at(const struct store_op *store_op, guint index)
{
    return &g_array_index(store_op->candidates, struct candidate, index);
}

static bool
has_copy_in_zone(const struct store_op *store_op, const char *zone)
{
    for (int i = 0; i < store_op->n_existing; i++) {
        if (strcmp(store_op->existing_zones[i], zone) == 0) {
            return true;
        }
    }
    for (guint i = 0; i < store_op->candidates->len; i++) {
        const struct candidate *candidate = candidate_at(store_op, i);
        bool is_used = candidate->state == CANDIDATE_WAITING ||
                       candidate->state == CANDIDATE_STORED;
        if (is_used && strcmp(candidate->zone, zone) == 0) {
            return true;
        }
    }
    return false;
}

/* Returns the index of the next candidate to try, preferably in a zone without
 * a copy, or the number of candidates if none is left. */
static guint
next_candidate(const struct store_op *store_op)
{
    guint other = store_op->candidates->len;

    for (guint i = 0; i < store_op->candidates->len; i++) {
        const struct candidate *candidate = candidate_at(store_op, i);
        if (candidate->state != CANDIDATE_UNTRIED) {
            continue;
        }
        if (!has_copy_in_zone(store_op, candidate->zone)) {
            return i;
        }
        other = MIN(other, i);
    }
    return other;
}

/* Returns whether there are enough copies to report success.  One copy
 * suffices for a result, because a repair makes the second one later.  One
 * copy of a file suffices only if no attempt to store another copy has failed,
 * so that no other node was available. */
static bool
can_acknowledge(const struct store_op *store_op)
{
    if (store_op->n_replicas >= BULK_COPIES) {
        return true;
    }
    if (store_op->n_replicas == 0) {
        return false;
    }
    return store_op->desc.is_result || store_op->err.code == BASE_OK;
}

/* Logs a warning, at most one per BULK_WARN_EVERY_MS: with one node with a
 * data folder left, every chunk has a single copy. */
static void
warn_single_copy(struct store_op *store_op)
{
    struct bulk *bulk = store_op->bulk;
    int64_t now_ms = base_clock_ms();

    if (now_ms < bulk->next_warning_ms) {
        return;
    }
    bulk->next_warning_ms = now_ms + BULK_WARN_EVERY_MS;
    base_log(BASE_LOG_WARNING, "bulk.single_copy",
             "chunk=%s region=%s total=%lld", store_op->chunk.name,
             store_op->region,
             (long long)base_counter_value(bulk->n_single_copy));
}

static void
finish_store(struct store_op *store_op)
{
    struct base_error ok = {0};
    bool is_ok = can_acknowledge(store_op);

    if (is_ok && store_op->n_replicas < BULK_COPIES) {
        base_counter_add(store_op->bulk->n_single_copy, 1);
        warn_single_copy(store_op);
    }
    if (is_ok) {
        base_counter_add(store_op->bulk->n_stored, 1);
    }
    else if (store_op->err.code == BASE_FULL) {
        base_counter_add(store_op->bulk->n_full, 1);
    }
    else if (store_op->err.code == BASE_OK) {
        base_error_set(&store_op->err, BASE_UNAVAILABLE,
                       "no node with a data folder is available");
    }
    store_op->desc.stored(store_op->desc.context, &store_op->chunk,
                          is_ok ? &ok : &store_op->err);
    g_bytes_unref(store_op->desc.bytes);
    g_array_unref(store_op->candidates);
    g_free(store_op);
}

static void advance(struct store_op *store_op);

static void
end_attempt(struct attempt *attempt, const struct base_error *err)
{
    struct store_op *store_op = attempt->store_op;
    struct candidate *candidate = candidate_at(store_op, attempt->to);

    store_op->n_waiting--;
    candidate->state = CANDIDATE_FAILED;
    if (err->code == BASE_OK) {
        int copy = store_op->n_replicas++;
        candidate->state = CANDIDATE_STORED;
        g_strlcpy(store_op->chunk.holders[copy], candidate->node,
                  sizeof(store_op->chunk.holders[copy]));
    }
    else if (store_op->err.code != BASE_FULL) {
        store_op->err = *err;
    }
    g_free(attempt);
    advance(store_op);
}

static void
on_local_write_done(struct disk_op *op, void *task_state)
{
    end_attempt(op->context, &op->err);
}

static void
on_peer_store_done(void *context, enum base_code code, const void *data,
                   size_t size)
{
    struct attempt *attempt = context;
    struct base_error err = {0};

    if (code != BASE_OK) {
        base_error_set(&err, code == BASE_FULL ? BASE_FULL : BASE_UNAVAILABLE,
                       "copy to node %s: %s",
                       candidate_at(attempt->store_op, attempt->to)->node,
                       base_code_name(code));
    }
    end_attempt(attempt, &err);
}

static void
start_attempt(struct store_op *store_op, guint index)
{
    struct bulk *bulk = store_op->bulk;
    struct candidate *candidate = candidate_at(store_op, index);
    struct attempt *attempt = g_new0(struct attempt, 1);
    struct disk_op *op;

    candidate->state = CANDIDATE_WAITING;
    attempt->store_op = store_op;
    attempt->to = index;
    store_op->n_waiting++;
    if (strcmp(candidate->node, bulk->node) != 0) {
        bulk_peer_store(bulk, candidate->address, store_op->chunk.name,
                        store_op->desc.bytes, store_op->desc.is_result,
                        (struct bulk_peer_reply){on_peer_store_done, attempt});
        return;
    }
    op = disk_op_new(DISK_WRITE, store_op->chunk.name);
    op->bytes = g_bytes_ref(store_op->desc.bytes);
    op->is_result = store_op->desc.is_result;
    disk_send(&bulk->disk, op, on_local_write_done, attempt);
}

/* Starts as many attempts as copies are missing; ends the operation if none
 * is under way. */
static void
advance(struct store_op *store_op)
{
    while (store_op->n_replicas + store_op->n_waiting < BULK_COPIES) {
        guint candidate = next_candidate(store_op);
        if (candidate == store_op->candidates->len) {
            break;
        }
        start_attempt(store_op, candidate);
    }
    if (store_op->n_waiting == 0) {
        finish_store(store_op);
    }
}

/* Takes over the existing copies that are on nodes that accept work. */
static void
add_existing_copies(struct store_op *store_op,
                    const struct bulk_chunk *existing)
{
    const struct members_view *view = store_op->bulk->view;

    for (int i = 0; existing != NULL && i < BULK_COPIES; i++) {
        int node = existing->holders[i][0] == '\0' || view == NULL
                       ? -1
                       : members_view_find(view, existing->holders[i]);
        if (node < 0 || !members_accepts_work(&view->nodes[node])) {
            continue;
        }
        g_strlcpy(store_op->chunk.holders[store_op->n_replicas],
                  existing->holders[i], MEMBERS_NAME_SIZE);
        g_strlcpy(store_op->existing_zones[store_op->n_existing],
                  view->nodes[node].zone, MEMBERS_NAME_SIZE);
        store_op->n_replicas++;
        store_op->n_existing++;
    }
}

/* Returns whether a node of the region could store one more copy of the
 * chunk. */
bool
bulk_can_add_copy(struct bulk *bulk, const struct bulk_chunk *chunk,
                  const char *region)
{
    struct store_op probe = {.bulk = bulk, .chunk = *chunk};
    bool has_candidate;

    g_strlcpy(probe.region, region, sizeof(probe.region));
    probe.n_replicas = BULK_COPIES;
    probe.candidates = g_array_new(FALSE, TRUE, sizeof(struct candidate));
    list_candidates(&probe, false);
    has_candidate = probe.candidates->len > 0;
    g_array_unref(probe.candidates);
    return has_candidate;
}

/* Stores a chunk on two nodes, in different zones of the region if possible.
 * If the region has no node with a data folder, nodes of any region are used.
 * `stored` runs on the bulk task. */
void
bulk_store(struct bulk *bulk, const struct bulk_store_desc *desc)
{
    struct store_op *store_op = g_new0(struct store_op, 1);

    store_op->bulk = bulk;
    store_op->desc = *desc;
    g_bytes_ref(desc->bytes);
    g_strlcpy(store_op->region, desc->region, sizeof(store_op->region));
    bulk_name_of(desc->bytes, store_op->chunk.name);
    store_op->chunk.size = (int64_t)g_bytes_get_size(desc->bytes);
    store_op->candidates = g_array_new(FALSE, TRUE, sizeof(struct candidate));
    add_existing_copies(store_op, desc->existing);
    list_candidates(store_op, false);
    if (store_op->candidates->len == 0 && store_op->n_replicas == 0) {
        list_candidates(store_op, true);
    }
    g_array_sort(store_op->candidates, compare_candidates);
    advance(store_op);
}
