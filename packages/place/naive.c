#include "place/internal.h"

/* Round robin over a deployment's servers; ignores loads and results. */
struct naive {
    struct place_common common;
    unsigned next_index; /* not reduced modulo the number of servers */
};

static int
choose(struct place *place, const struct place_request *request,
       int64_t now_ms)
{
    struct naive *naive = (struct naive *)place;
    const struct world *world = naive->common.world;

    (void)now_ms;
    if (world == NULL || request->deployment < 0 ||
        request->deployment >= world->n_deployments) {
        return WORLD_NONE;
    }
    const struct world_deployment *deployment =
        &world->deployments[request->deployment];
    for (int i = 0; i < deployment->n_servers; i++) {
        unsigned at = naive->next_index++ % (unsigned)deployment->n_servers;
        if (!place_was_tried(request, deployment->servers[at])) {
            return deployment->servers[at];
        }
    }
    return WORLD_NONE;
}

static void
load(struct place *place, int server, const struct contracts_load *reported,
     int64_t now_ms)
{
    (void)place;
    (void)server;
    (void)reported;
    (void)now_ms;
}

static void
pool_load(struct place *place, uint64_t key, const struct contracts_load *load)
{
    (void)place;
    (void)key;
    (void)load;
}

static void
outcome(struct place *place, int server,
        const struct contracts_outcome *result, int64_t now_ms)
{
    (void)place;
    (void)server;
    (void)result;
    (void)now_ms;
}

static void
update(struct place *place, struct world *world, int64_t now_ms)
{
    (void)now_ms;
    place_common_update((struct place_common *)place, world);
}

static void
finish(struct place *place)
{
    place_common_finish((struct place_common *)place);
    g_free(place);
}

static const struct place_ops OPS = {
    .choose = choose,
    .load = load,
    .pool_load = pool_load,
    .outcome = outcome,
    .update = update,
    .finish = finish,
};

/* Makes the naive policy, the baseline for measurements. */
struct place *
place_naive_new(const struct place_desc *desc)
{
    struct naive *naive = g_new0(struct naive, 1);

    place_common_init(&naive->common, &OPS, desc);
    return &naive->common.place;
}
