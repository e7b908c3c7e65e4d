#include "bulk/bulk_private.h"

#include <string.h>

enum candidate_state {
    CANDIDATE_UNTRIED,
    CANDIDATE_WAITING,
    CANDIDATE_HOLDS,
    CANDIDATE_FAILED,
};

/* A node that may hold a copy. */
struct candidate {
    char node[MEMBERS_NAME_SIZE];
    char zone[MEMBERS_NAME_SIZE];
    char address[MEMBERS_ADDRESS_SIZE];
    uint64_t rank; /* lower is earlier */
    enum candidate_state state;
};

/* One chunk on its way to its holders. */
struct storing {
    struct bulk *bulk;
    struct bulk_storing_desc desc;
    char region[64];
    struct bulk_chunk chunk;
    char kept_zones[BULK_COPIES][MEMBERS_NAME_SIZE]; /* of desc.held */
    int n_kept;
    int n_held;
    int n_waiting;
    GArray *candidates;    /* of struct candidate */
    struct base_error err; /* of the last failure; BASE_FULL stays */
};

struct attempt {
    struct storing *storing;
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
is_held_by(const struct storing *storing, const char *node)
{
    for (int i = 0; i < storing->n_held; i++) {
        if (strcmp(storing->chunk.holders[i], node) == 0) {
            return true;
        }
    }
    return false;
}

static void
add_candidate(struct storing *storing, const struct members_node *node)
{
    struct candidate candidate = {0};
    uint64_t seed = bulk_name_key(storing->chunk.name);

    g_strlcpy(candidate.node, node->name, sizeof(candidate.node));
    g_strlcpy(candidate.zone, node->zone, sizeof(candidate.zone));
    g_strlcpy(candidate.address, node->bulk_address,
              sizeof(candidate.address));
    /* The own disk is first: no network, and the reader is often here. */
    if (strcmp(node->name, storing->bulk->node) != 0) {
        candidate.rank = base_hash_text(node->name, seed) | 1;
    }
    g_array_append_val(storing->candidates, candidate);
}

static void
list_candidates(struct storing *storing, bool is_any_region)
{
    const struct bulk *bulk = storing->bulk;
    const struct members_view *view = bulk->view;

    for (int i = 0; view != NULL && i < view->n_nodes; i++) {
        const struct members_node *node = &view->nodes[i];
        bool is_here = is_any_region ||
                       is_in_region(bulk->world, node->zone, storing->region);
        bool is_self = strcmp(node->name, bulk->node) == 0;
        if (is_here && node->bulk_address[0] != '\0' &&
            members_accepts_work(node) && !is_held_by(storing, node->name) &&
            (!is_self || bulk->has_disk)) {
            add_candidate(storing, node);
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
candidate_at(const struct storing *storing, guint index)
{
    return &g_array_index(storing->candidates, struct candidate, index);
}

static bool
is_held_zone(const struct storing *storing, const char *zone)
{
    for (int i = 0; i < storing->n_kept; i++) {
        if (strcmp(storing->kept_zones[i], zone) == 0) {
            return true;
        }
    }
    for (guint i = 0; i < storing->candidates->len; i++) {
        const struct candidate *candidate = candidate_at(storing, i);
        bool is_used = candidate->state == CANDIDATE_WAITING ||
                       candidate->state == CANDIDATE_HOLDS;
        if (is_used && strcmp(candidate->zone, zone) == 0) {
            return true;
        }
    }
    return false;
}

/* The next candidate, in a zone without a copy where there is one.  Returns
 * the number of candidates when none is left. */
static guint
next_candidate(const struct storing *storing)
{
    guint other = storing->candidates->len;

    for (guint i = 0; i < storing->candidates->len; i++) {
        const struct candidate *candidate = candidate_at(storing, i);
        if (candidate->state != CANDIDATE_UNTRIED) {
            continue;
        }
        if (!is_held_zone(storing, candidate->zone)) {
            return i;
        }
        other = MIN(other, i);
    }
    return other;
}

/* Whether what is held may be acknowledged.  A file whose second copy could
 * be had, but was not, is refused; results go on with one copy, which the
 * repair doubles later. */
static bool
is_enough(const struct storing *storing)
{
    if (storing->n_held >= BULK_COPIES) {
        return true;
    }
    if (storing->n_held == 0) {
        return false;
    }
    return storing->desc.is_result || storing->err.code == BASE_OK;
}

/* One line a while: with one disk host left, every chunk has one copy. */
static void
warn_single_copy(struct storing *storing)
{
    struct bulk *bulk = storing->bulk;
    int64_t now_ms = base_clock_ms();

    if (now_ms < bulk->warn_ms) {
        return;
    }
    bulk->warn_ms = now_ms + BULK_WARN_EVERY_MS;
    base_log(BASE_LOG_WARNING, "bulk.single_copy",
             "chunk=%s region=%s in_all=%lld", storing->chunk.name,
             storing->region,
             (long long)base_counter_value(bulk->n_single_copy));
}

static void
finish_storing(struct storing *storing)
{
    struct base_error ok = {0};
    bool is_ok = is_enough(storing);

    if (is_ok && storing->n_held < BULK_COPIES) {
        base_counter_add(storing->bulk->n_single_copy, 1);
        warn_single_copy(storing);
    }
    if (is_ok) {
        base_counter_add(storing->bulk->n_stored, 1);
    }
    else if (storing->err.code == BASE_FULL) {
        base_counter_add(storing->bulk->n_full, 1);
    }
    else if (storing->err.code == BASE_OK) {
        base_error_set(&storing->err, BASE_UNAVAILABLE,
                       "no node with a data folder can be reached");
    }
    storing->desc.stored(storing->desc.context, &storing->chunk,
                         is_ok ? &ok : &storing->err);
    g_bytes_unref(storing->desc.bytes);
    g_array_unref(storing->candidates);
    g_free(storing);
}

static void advance(struct storing *storing);

static void
attempt_ended(struct attempt *attempt, const struct base_error *err)
{
    struct storing *storing = attempt->storing;
    struct candidate *candidate = candidate_at(storing, attempt->to);

    storing->n_waiting--;
    candidate->state = CANDIDATE_FAILED;
    if (err->code == BASE_OK) {
        int held = storing->n_held++;
        candidate->state = CANDIDATE_HOLDS;
        g_strlcpy(storing->chunk.holders[held], candidate->node,
                  sizeof(storing->chunk.holders[held]));
    }
    else if (storing->err.code != BASE_FULL) {
        storing->err = *err;
    }
    g_free(attempt);
    advance(storing);
}

static void
local_ended(struct disk_op *op, void *task_state)
{
    attempt_ended(op->context, &op->err);
}

static void
peer_ended(void *context, enum base_code code, const void *data, size_t size)
{
    struct attempt *attempt = context;
    struct base_error err = {0};

    if (code != BASE_OK) {
        base_error_set(&err, code == BASE_FULL ? BASE_FULL : BASE_UNAVAILABLE,
                       "copy to node %s: %s",
                       candidate_at(attempt->storing, attempt->to)->node,
                       base_code_name(code));
    }
    attempt_ended(attempt, &err);
}

static void
start_attempt(struct storing *storing, guint index)
{
    struct bulk *bulk = storing->bulk;
    struct candidate *candidate = candidate_at(storing, index);
    struct attempt *attempt = g_new0(struct attempt, 1);
    struct disk_op *op;

    candidate->state = CANDIDATE_WAITING;
    attempt->storing = storing;
    attempt->to = index;
    storing->n_waiting++;
    if (strcmp(candidate->node, bulk->node) != 0) {
        bulk_peer_store(bulk, candidate->address, storing->chunk.name,
                        storing->desc.bytes, storing->desc.is_result,
                        (struct bulk_peer_reply){peer_ended, attempt});
        return;
    }
    op = disk_op_new(DISK_WRITE, storing->chunk.name);
    op->bytes = g_bytes_ref(storing->desc.bytes);
    op->is_result = storing->desc.is_result;
    disk_send(&bulk->disk, op, local_ended, attempt);
}

/* Starts the attempts that are missing, or ends. */
static void
advance(struct storing *storing)
{
    while (storing->n_held + storing->n_waiting < BULK_COPIES) {
        guint candidate = next_candidate(storing);
        if (candidate == storing->candidates->len) {
            break;
        }
        start_attempt(storing, candidate);
    }
    if (storing->n_waiting == 0) {
        finish_storing(storing);
    }
}

static void
take_held(struct storing *storing, const struct bulk_chunk *held)
{
    const struct members_view *view = storing->bulk->view;

    for (int i = 0; held != NULL && i < BULK_COPIES; i++) {
        int node = held->holders[i][0] == '\0' || view == NULL
                       ? -1
                       : members_view_find(view, held->holders[i]);
        if (node < 0 || !members_accepts_work(&view->nodes[node])) {
            continue;
        }
        g_strlcpy(storing->chunk.holders[storing->n_held], held->holders[i],
                  MEMBERS_NAME_SIZE);
        g_strlcpy(storing->kept_zones[storing->n_kept], view->nodes[node].zone,
                  MEMBERS_NAME_SIZE);
        storing->n_held++;
        storing->n_kept++;
    }
}

/* Whether a node of the region could take one more copy of the chunk. */
bool
bulk_can_add_copy(struct bulk *bulk, const struct bulk_chunk *chunk,
                  const char *region)
{
    struct storing probe = {.bulk = bulk, .chunk = *chunk};
    bool is_there;

    g_strlcpy(probe.region, region, sizeof(probe.region));
    probe.n_held = BULK_COPIES;
    probe.candidates = g_array_new(FALSE, TRUE, sizeof(struct candidate));
    list_candidates(&probe, false);
    is_there = probe.candidates->len > 0;
    g_array_unref(probe.candidates);
    return is_there;
}

/* Brings bytes to two nodes in different zones of a region, where it has
 * them; `stored` runs on the bulk task. */
void
bulk_store(struct bulk *bulk, const struct bulk_storing_desc *desc)
{
    struct storing *storing = g_new0(struct storing, 1);

    storing->bulk = bulk;
    storing->desc = *desc;
    g_bytes_ref(desc->bytes);
    g_strlcpy(storing->region, desc->region, sizeof(storing->region));
    bulk_name_of(desc->bytes, storing->chunk.name);
    storing->chunk.size = (int64_t)g_bytes_get_size(desc->bytes);
    storing->candidates = g_array_new(FALSE, TRUE, sizeof(struct candidate));
    take_held(storing, desc->held);
    list_candidates(storing, false);
    if (storing->candidates->len == 0 && storing->n_held == 0) {
        list_candidates(storing, true);
    }
    g_array_sort(storing->candidates, compare_candidates);
    advance(storing);
}
