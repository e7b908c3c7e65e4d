#include "front/front_private.h"

#include <string.h>

/* The reduction that a server's owner last reported for one operator: the
 * share of the operator's requests to refuse, by class. */
struct reduction {
    double share[CONTRACTS_N_CLASSES];
    int64_t until_ms;
};

/* Creates the empty table. */
void
front_reductions_init(struct front *front)
{
    front->reductions =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
}

/* Frees the table. */
void
front_reductions_finish(struct front *front)
{
    g_hash_table_destroy(front->reductions);
}

static uint64_t
key_of(const char *server, const char *operator_name)
{
    return base_hash_text(operator_name, base_hash_text(server, 0));
}

/* Stores the reduction that an owner's reply reports for an operator on its
 * server, or removes the entry when the reply reports none. */
void
front_reductions_set(struct front *front, const char *server,
                     const char *operator_name,
                     const struct contracts_reduction *reduction)
{
    uint64_t key = key_of(server, operator_name);
    struct reduction *stored;

    if (reduction->valid_ms <= 0) {
        g_hash_table_remove(front->reductions, &key);
        return;
    }
    stored = g_new0(struct reduction, 1);
    memcpy(stored->share, reduction->share, sizeof(stored->share));
    stored->until_ms = base_clock_ms() + reduction->valid_ms;
    g_hash_table_replace(front->reductions, g_memdup2(&key, sizeof(key)),
                         stored);
}

/* Returns the share of an operator's requests of this class to refuse without
 * an admission request.  It is the least share of the deployment's servers, so
 * that a full server causes no refusals while another one has room. */
double
front_reductions_share(struct front *front, const struct world *world,
                       int deployment, const char *operator_name,
                       enum contracts_class class_)
{
    const struct world_deployment *entry = &world->deployments[deployment];
    int64_t now_ms = base_clock_ms();
    double least = entry->n_servers > 0 ? 1 : 0;

    if (g_hash_table_size(front->reductions) == 0) {
        return 0;
    }
    for (int i = 0; i < entry->n_servers && least > 0; i++) {
        const char *server = world->servers[entry->servers[i]].name;
        uint64_t key = key_of(server, operator_name);
        const struct reduction *stored =
            g_hash_table_lookup(front->reductions, &key);
        bool is_valid = stored != NULL && now_ms < stored->until_ms;

        least = is_valid ? MIN(least, stored->share[class_]) : 0;
    }
    return least;
}

static gboolean
is_expired(gpointer key, gpointer value, gpointer now_ms)
{
    const struct reduction *stored = value;

    (void)key;
    return stored->until_ms <= *(const int64_t *)now_ms;
}

/* Removes entries that are no longer valid. */
void
front_reductions_expire(struct front *front)
{
    int64_t now_ms = base_clock_ms();

    g_hash_table_foreach_remove(front->reductions, is_expired, &now_ms);
}
