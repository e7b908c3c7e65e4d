#include "front/front_private.h"

#include <string.h>

/* What one keeper last told of one operator's requests on its server. */
struct reduction {
    double share[CONTRACTS_N_CLASSES];
    int64_t until_ms;
};

/* Prepares an empty table. */
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

/* Keeps what a keeper's answer says of an operator on its server; nothing,
 * when the keeper reduces nothing. */
void
front_reductions_set(struct front *front, const char *server,
                     const char *operator_name,
                     const struct contracts_reduction *reduction)
{
    uint64_t key = key_of(server, operator_name);
    struct reduction *kept;

    if (reduction->valid_ms <= 0) {
        g_hash_table_remove(front->reductions, &key);
        return;
    }
    kept = g_new0(struct reduction, 1);
    memcpy(kept->share, reduction->share, sizeof(kept->share));
    kept->until_ms = base_clock_ms() + reduction->valid_ms;
    g_hash_table_replace(front->reductions, g_memdup2(&key, sizeof(key)),
                         kept);
}

/* The share of an operator's requests of this class to refuse unasked: the
 * least of all servers that might take them, so that one full server refuses
 * nothing while another has room. */
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
        const struct reduction *kept =
            g_hash_table_lookup(front->reductions, &key);
        bool is_valid = kept != NULL && now_ms < kept->until_ms;

        least = is_valid ? MIN(least, kept->share[class_]) : 0;
    }
    return least;
}

static gboolean
is_past(gpointer key, gpointer value, gpointer now_ms)
{
    const struct reduction *kept = value;

    (void)key;
    return kept->until_ms <= *(const int64_t *)now_ms;
}

/* Forgets what is no longer in force; now and then. */
void
front_reductions_expire(struct front *front)
{
    int64_t now_ms = base_clock_ms();

    g_hash_table_foreach_remove(front->reductions, is_past, &now_ms);
}
