#include <inttypes.h>
#include <string.h>

#include "deploy/internal.h"

enum {
    LEASE_S = 10,
    RENEWALS_PER_TTL = 3, /* the lease is renewed after a third of its TTL */
    MS_PER_S = 1000,
    MAX_UNUSED_MS = 60000, /* a lease without claims for longer is revoked */
    RETRY_MS = 1000,
    CONFLICT_RETRY_MS = 2000, /* retry time if another node has the claim */
};

/* ---- the lease ---- */

/* Drops all claims, because the lease has expired or may have. */
static void
drop_claims(struct deploy *deploy)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, deploy->controllers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct deploy_controller *controller = value;
        if (controller->claim.is_held) {
            base_log(BASE_LOG_WARNING, "deploy.claim_lost", "deployment=%s",
                     controller->name);
        }
        controller->claim.is_held = false;
    }
}

static void
on_lease_done(struct platform_kv *kv, void *state)
{
    struct deploy *deploy = state;
    struct deploy_lease *lease = &deploy->lease;

    deploy->open_calls--;
    lease->is_requesting = false;
    if (kv->status == PLATFORM_OK) {
        int64_t lease_ttl_ms = kv->ttl_ms;
        lease->id = kv->lease;
        lease->valid_until_ms = kv->sent_ms + lease_ttl_ms;
        lease->next_renewal_ms = kv->sent_ms + lease_ttl_ms / RENEWALS_PER_TTL;
    }
    else {
        lease->next_renewal_ms = base_clock_ms() + RETRY_MS;
        if (kv->status == PLATFORM_LEASE_EXPIRED) {
            lease->id = 0;
            lease->valid_until_ms = 0;
            drop_claims(deploy);
        }
    }
    platform_kv_free(kv);
}

static void
send_lease_call(struct deploy *deploy, enum platform_op op)
{
    struct platform_kv *kv = platform_kv_new(op, NULL);

    if (op != PLATFORM_LEASE_GRANT) {
        kv->lease = deploy->lease.id;
    }
    kv->ttl_ms = LEASE_S * MS_PER_S;
    deploy->lease.is_requesting = true;
    deploy->open_calls++;
    platform_kv_send(deploy->platform, kv, &deploy->task, on_lease_done);
}

static void
on_release_done(struct platform_kv *kv, void *state)
{
    struct deploy *deploy = state;

    deploy->open_calls--;
    platform_kv_free(kv);
}

/* Revokes the lease, and with it all claims. */
void
deploy_lease_revoke(struct deploy *deploy)
{
    if (deploy->lease.id == 0) {
        return;
    }
    struct platform_kv *kv = platform_kv_new(PLATFORM_LEASE_REVOKE, NULL);
    kv->lease = deploy->lease.id;
    deploy->lease.id = 0;
    deploy->lease.valid_until_ms = 0;
    deploy->open_calls++;
    platform_kv_send(deploy->platform, kv, &deploy->task, on_release_done);
}

static bool
has_claims(struct deploy *deploy)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, deploy->controllers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct deploy_controller *controller = value;
        if (controller->claim.is_held || controller->is_claiming) {
            return true;
        }
    }
    return false;
}

/* Renews the lease when it is time, revokes it when unused, and drops the
 * claims when it may have expired. */
void
deploy_lease_tick(struct deploy *deploy, int64_t now_ms)
{
    struct deploy_lease *lease = &deploy->lease;

    if (lease->id == 0) {
        return;
    }
    if (now_ms > lease->valid_until_ms) {
        drop_claims(deploy);
    }
    if (has_claims(deploy)) {
        lease->last_used_ms = now_ms;
    }
    if (lease->is_requesting) {
        return;
    }
    if (now_ms - lease->last_used_ms > MAX_UNUSED_MS) {
        deploy_lease_revoke(deploy);
    }
    else if (now_ms >= lease->next_renewal_ms) {
        send_lease_call(deploy, PLATFORM_LEASE_KEEP);
    }
}

/* ---- claims ---- */

static char *
claim_key(const char *deployment)
{
    return g_strdup_printf("/cp/deploy/%s", deployment);
}

static void
set_claim(struct deploy_controller *controller, int64_t fencing)
{
    struct deploy *deploy = controller->deploy;

    controller->claim.is_held = true;
    controller->claim.fencing = fencing;
    controller->claim.acquired_ms = base_clock_ms();
    controller->claim.valid_until_ms = deploy->lease.valid_until_ms;
    base_log(BASE_LOG_INFO, "deploy.claimed", "deployment=%s fencing=%" PRId64,
             controller->name, fencing);
}

/* Handles a claim record that exists already.  If it has this node's lease, an
 * earlier request of this node succeeded and its reply was lost; so the claim
 * is this node's. */
static void
handle_conflict(struct deploy_controller *controller,
                const struct platform_kv *kv)
{
    const struct platform_entry *entry =
        kv->entries->len > 0 ? kv->entries->pdata[0] : NULL;

    if (entry != NULL && entry->lease == controller->deploy->lease.id) {
        set_claim(controller, entry->revision);
        return;
    }
    controller->claim_due_ms = base_clock_ms() + CONFLICT_RETRY_MS;
}

static void
on_claim_done(struct platform_kv *kv, void *state)
{
    struct deploy *deploy = state;
    struct deploy_controller *controller =
        deploy_find_controller(deploy, kv->context);
    bool is_lease_valid = kv->lease == deploy->lease.id &&
                          base_clock_ms() < deploy->lease.valid_until_ms;

    deploy->open_calls--;
    if (controller != NULL) {
        controller->is_claiming = false;
        controller->claim_due_ms = base_clock_ms() + RETRY_MS;
        if (kv->status == PLATFORM_OK && is_lease_valid) {
            set_claim(controller, kv->revision);
        }
        else if (kv->status == PLATFORM_CONFLICT && is_lease_valid) {
            handle_conflict(controller, kv);
        }
    }
    g_free(kv->context);
    platform_kv_free(kv);
}

/* Requests the claim.  Without a lease it requests only that; the caller tries
 * again on a later tick. */
void
deploy_claim_request(struct deploy_controller *controller, int64_t now_ms)
{
    struct deploy *deploy = controller->deploy;
    struct deploy_lease *lease = &deploy->lease;

    if (controller->is_claiming || now_ms < controller->claim_due_ms) {
        return;
    }
    lease->last_used_ms = now_ms;
    if (lease->id == 0 && !lease->is_requesting &&
        now_ms >= lease->next_renewal_ms) {
        send_lease_call(deploy, PLATFORM_LEASE_GRANT);
    }
    /* If the lease may have expired, the next renewal shows whether it has. */
    if (lease->id == 0 || now_ms > lease->valid_until_ms) {
        return;
    }
    char *key = claim_key(controller->name);
    char *value = g_strdup_printf("{\"node\":\"%s\"}", deploy->node);
    struct platform_kv *kv = platform_kv_new(PLATFORM_PUT_IF, key);
    g_free(key);
    kv->value = g_bytes_new_take(value, strlen(value));
    kv->expect_revision = PLATFORM_ABSENT;
    kv->lease = lease->id;
    kv->context = g_strdup(controller->name);
    controller->is_claiming = true;
    deploy->open_calls++;
    platform_kv_send(deploy->platform, kv, &deploy->task, on_claim_done);
}

/* Releases the claim.  If the request fails, the record ends with the
 * lease. */
void
deploy_claim_release(struct deploy_controller *controller)
{
    struct deploy *deploy = controller->deploy;
    char *key = claim_key(controller->name);
    struct platform_kv *kv = platform_kv_new(PLATFORM_DELETE_IF, key);

    g_free(key);
    kv->expect_revision = controller->claim.fencing;
    controller->claim.is_held = false;
    controller->claim_due_ms = base_clock_ms() + RETRY_MS;
    deploy->open_calls++;
    platform_kv_send(deploy->platform, kv, &deploy->task, on_release_done);
    base_log(BASE_LOG_INFO, "deploy.released", "deployment=%s",
             controller->name);
}
