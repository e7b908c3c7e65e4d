#include "control/control_private.h"

#include <string.h>

enum {
    /* The time-out of a request is its wait at the owner plus this. */
    ADMISSION_SLACK_MS = 1000,
    MAX_REDIRECTS = 3, /* resends of a request to a new owner */
};

/* An admission request that has not been answered yet. */
struct pending_admission {
    uint64_t id;
    struct control *control;
    struct control_admission *admission;
    uint64_t request; /* pending wire request; 0: none */
    char owner[MEMBERS_NAME_SIZE];
    int n_redirects;
    struct base_span span;
    bool has_span;
};

static void
free_pending(gpointer data)
{
    struct pending_admission *pending = data;
    g_free(pending);
}

/* Initializes the client state: no contracts held, no requests pending. */
void
control_client_init(struct control *control)
{
    struct control_client *client = &control->client;

    base_table_init(&client->held, sizeof(struct control_held_contract));
    client->by_contract =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    client->local_shares =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    client->local_uses =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    client->unreachable =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    client->recent = g_queue_new();
    client->admissions =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_pending);
    /* An owner remembers answered requests by their number.  Numbering starts
     * at a random value, so that no number of an earlier instance of this
     * process is used again. */
    client->next_admission = ((uint64_t)g_random_int() << 32) | g_random_int();
    client->local_counter =
        base_counter(control->counters, "control_local_share_total");
    client->moved_counter =
        base_counter(control->counters, "control_ask_moved_total");
}

/* Frees the client state.  Pending admission requests are dropped without an
 * answer: the tasks that sent them have ended before control does. */
void
control_client_finish(struct control *control)
{
    struct control_client *client = &control->client;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, client->admissions);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct pending_admission *pending = value;
        pending->admission->call.ops->drop(&pending->admission->call);
    }
    g_hash_table_destroy(client->admissions);
    g_hash_table_destroy(client->unreachable);
    control_drop_recent_releases(control, true);
    g_queue_free(client->recent);
    g_hash_table_destroy(client->local_shares);
    g_hash_table_destroy(client->local_uses);
    g_hash_table_destroy(client->by_contract);
    base_table_finish(&client->held);
}

/* Returns the process instance of a node; 0 if the node is not known. */
uint64_t
control_instance_of(struct control *control, const char *node)
{
    int index = members_view_find(control->view, node);
    return index < 0 ? 0 : control->view->nodes[index].life;
}

/* Returns the name of the node that owns a server, or "" if there is none.  It
 * is valid until the view of the members changes. */
const char *
control_owner_name(struct control *control, const char *server_name)
{
    int server = control->world == NULL
                     ? WORLD_NONE
                     : world_find_server(control->world, server_name);
    int owner =
        server == WORLD_NONE ? WORLD_NONE : control_owner_of(control, server);
    return owner == WORLD_NONE ? "" : control->view->nodes[owner].name;
}

/* ---- held contracts ---- */

static void
index_held_contract(struct control *control, struct base_handle handle,
                    const struct control_held_contract *held)
{
    uint64_t *key = g_new(uint64_t, 1);
    uint64_t *value = g_new(uint64_t, 1);

    *key = control_key(held->server, held->contract);
    *value = base_handle_pack(handle);
    g_hash_table_insert(control->client.by_contract, key, value);
}

/* Adds a contract and returns the number that this node's tasks use for it. */
static uint64_t
add_held_contract(struct control *control,
                  const struct control_held_contract *held)
{
    struct base_handle handle = base_table_add(&control->client.held);
    struct control_held_contract *slot =
        base_table_get(&control->client.held, handle);

    *slot = *held;
    if (!held->is_local) {
        index_held_contract(control, handle, held);
    }
    return base_handle_pack(handle);
}

/* Returns the contract by the number that this node's tasks use, or NULL if it
 * is not held. */
struct control_held_contract *
control_find_held_contract(struct control *control, uint64_t contract)
{
    return base_table_get(&control->client.held, base_handle_unpack(contract));
}

/* Returns the number that this node's tasks use for the owner's contract
 * `contract` of a server, or 0 if it is not held. */
uint64_t
control_find_by_contract(struct control *control, const char *server,
                         uint64_t contract)
{
    uint64_t key = control_key(server, contract);
    uint64_t *found = g_hash_table_lookup(control->client.by_contract, &key);
    return found == NULL ? 0 : *found;
}

/* Returns how many slots of the server's local share are in use. */
static int
local_in_use(struct control *control, const char *server)
{
    return GPOINTER_TO_INT(
        g_hash_table_lookup(control->client.local_shares, server));
}

/* Changes the used slots of the server's local share by `by`, which may be
 * negative. */
static void
add_local_use(struct control *control, const char *server, int by)
{
    int in_use = local_in_use(control, server) + by;

    if (in_use <= 0) {
        g_hash_table_remove(control->client.local_shares, server);
        return;
    }
    g_hash_table_insert(control->client.local_shares, g_strdup(server),
                        GINT_TO_POINTER(in_use));
}

/* ---- answers ---- */

static void
finish_admission(struct pending_admission *pending,
                 enum contracts_answer answer)
{
    static const char *const RESULTS[] = {"granted", "busy", "refused",
                                          "gone"};
    struct control *control = pending->control;
    struct control_admission *admission = pending->admission;

    admission->answer = answer;
    if (pending->has_span) {
        base_span_attribute(&pending->span, "server", "%s", admission->server);
        base_span_attribute(&pending->span, "result", "%s", RESULTS[answer]);
        base_span_attribute(&pending->span, "local_share", "%s",
                            admission->is_local_share ? "yes" : "no");
        base_span_end(&pending->span, control->tracer);
    }
    g_hash_table_remove(control->client.admissions, &pending->id);
    base_call_reply(&admission->call);
}

static int
count_accepting_nodes(const struct members_view *view)
{
    int n_accepting = 0;

    for (int i = 0; i < view->n_nodes; i++) {
        n_accepting += members_accepts_work(&view->nodes[i]) ? 1 : 0;
    }
    return n_accepting;
}

/* The requests that this node has sent from its local share to a server that
 * has named a limit. */
struct local_use {
    int64_t period; /* number of the period of CONTRACTS_LOCAL_MS */
    int count;      /* in that period */
};

/* Returns whether the limit that the server named, if any, allows this node to
 * send it another request without its owner, and counts the request. */
static bool
take_local_limit(struct control *control, const char *server, int n_nodes)
{
    double limit = control_server_limit(control, server);
    int64_t period = control->now_ms / CONTRACTS_LOCAL_MS;
    struct local_use *use;

    if (limit == NOTICES_NO_LIMIT) {
        g_hash_table_remove(control->client.local_uses, server);
        return true;
    }
    use = g_hash_table_lookup(control->client.local_uses, server);
    if (use == NULL) {
        use = g_new0(struct local_use, 1);
        g_hash_table_insert(control->client.local_uses, g_strdup(server), use);
    }
    if (use->period != period) {
        *use = (struct local_use){.period = period};
    }
    if (use->count >= contracts_local_limit(limit, n_nodes)) {
        return false;
    }
    use->count++;
    return true;
}

/* Answers from the local share because the server's owner did not answer or is
 * not known.  Online requests are granted up to a share of the server's slots
 * that is safe when every node does the same; batch requests are answered
 * busy. */
static void
answer_from_local_share(struct pending_admission *pending)
{
    struct control *control = pending->control;
    struct control_admission *admission = pending->admission;
    int server = world_find_server(control->world, admission->server);
    int n_nodes = count_accepting_nodes(control->view);
    int share;

    admission->is_local_share = true;
    if (server == WORLD_NONE || admission->class_ == CONTRACTS_BATCH) {
        finish_admission(pending, CONTRACTS_BUSY);
        return;
    }
    share =
        contracts_local_share(control->world->servers[server].slots, n_nodes);
    if (local_in_use(control, admission->server) >= share ||
        !take_local_limit(control, admission->server, n_nodes)) {
        finish_admission(pending, CONTRACTS_BUSY);
        return;
    }
    struct control_held_contract held = {
        .class_ = admission->class_, .slots = 1, .is_local = true};
    g_strlcpy(held.server, admission->server, sizeof(held.server));
    add_local_use(control, admission->server, 1);
    base_counter_add(control->client.local_counter, 1);
    admission->contract = add_held_contract(control, &held);
    admission->granted_slots = 1;
    finish_admission(pending, CONTRACTS_GRANTED);
}

static void
read_load(struct control_admission *admission, const Control__Answer *answer,
          int64_t now_ms)
{
    admission->load.window = (int)answer->window;
    admission->load.online = (int)answer->online;
    admission->load.batch = (int)answer->batch;
    admission->load.queued = (int)answer->queued;
    admission->load.seen_ms = now_ms;
    admission->retry_ms = MAX(answer->retry_ms, 0);
    memset(&admission->reduction, 0, sizeof(admission->reduction));
    if (answer->n_reduction != CONTRACTS_N_CLASSES) {
        return;
    }
    for (int i = 0; i < CONTRACTS_N_CLASSES; i++) {
        admission->reduction.share[i] =
            CLAMP(answer->reduction[i], 0.0F, 1.0F);
    }
    admission->reduction.valid_ms = MAX(answer->reduction_ms, 0);
}

static void
read_pool_loads(struct control_admission *admission,
                const Control__Answer *answer, int64_t now_ms)
{
    g_free(admission->pools);
    admission->n_pools = (int)MIN(answer->n_pools, CONTROL_MAX_LOADS);
    admission->pools =
        g_new0(struct control_pool_load, MAX(admission->n_pools, 1));
    for (int i = 0; i < admission->n_pools; i++) {
        admission->pools[i].key = answer->pools[i]->key;
        control_read_pool_load(answer->pools[i], now_ms,
                               &admission->pools[i].load);
    }
}

static void
apply_grant(struct pending_admission *pending, const Control__Answer *answer)
{
    struct control *control = pending->control;
    struct control_admission *admission = pending->admission;
    struct control_held_contract *renewed =
        control_find_held_contract(control, admission->contract);
    int slots = MAX((int)answer->slots, 1);

    if (answer->server[0] != '\0') {
        g_strlcpy(admission->server, answer->server,
                  sizeof(admission->server));
    }
    admission->granted_slots = slots;
    admission->granted_until_ms =
        answer->term_ms > 0 ? control->now_ms + answer->term_ms : 0;
    if (renewed != NULL && renewed->contract == answer->contract) {
        renewed->slots = slots;
        return;
    }
    struct control_held_contract held = {.class_ = admission->class_,
                                         .slots = slots,
                                         .contract = answer->contract,
                                         .from = admission->call.from,
                                         .work_ms = admission->work_ms,
                                         .granted_ms = control->now_ms,
                                         .preempt = admission->preempt};
    g_strlcpy(held.server, admission->server, sizeof(held.server));
    g_strlcpy(held.owner, pending->owner, sizeof(held.owner));
    held.owner_instance = control_instance_of(control, pending->owner);
    if (renewed != NULL) {
        /* The owner granted a new contract instead of renewing the old one. */
        control_client_release(control, admission->contract, 0, NULL);
    }
    admission->contract = add_held_contract(control, &held);
}

/* Gives a contract back if this node knows that the server leaves, and its
 * owner doesn't yet. */
static bool
release_if_leaving(struct pending_admission *pending)
{
    struct control_admission *admission = pending->admission;

    if (!control_has_said_leaving(pending->control, admission->server)) {
        return false;
    }
    control_client_release(pending->control, admission->contract, 0, NULL);
    admission->contract = 0;
    finish_admission(pending, CONTRACTS_UNAVAILABLE);
    return true;
}

static void send_admission(struct pending_admission *pending);

static void
apply_answer(struct pending_admission *pending, const Control__Answer *answer)
{
    struct control *control = pending->control;

    if (answer->not_keeper) {
        /* Sends the request again if this node now knows another owner. */
        base_counter_add(control->client.moved_counter, 1);
        if (strcmp(control_owner_name(control, pending->admission->server),
                   pending->owner) != 0 &&
            pending->n_redirects++ < MAX_REDIRECTS) {
            send_admission(pending);
            return;
        }
        answer_from_local_share(pending);
        return;
    }
    read_load(pending->admission, answer, control->now_ms);
    read_pool_loads(pending->admission, answer, control->now_ms);
    if (answer->answer == CONTRACTS_GRANTED) {
        apply_grant(pending, answer);
        if (release_if_leaving(pending)) {
            return;
        }
    }
    finish_admission(pending, answer->answer <= CONTRACTS_UNAVAILABLE
                                  ? (enum contracts_answer)answer->answer
                                  : CONTRACTS_BUSY);
}

/* Handles the answer of this node's own admission controller to one of this
 * node's admission requests. */
void
control_client_handle_answer(struct control *control, uint64_t ask_id,
                             const Control__Answer *answer)
{
    struct pending_admission *pending =
        g_hash_table_lookup(control->client.admissions, &ask_id);

    if (pending != NULL) {
        apply_answer(pending, answer);
    }
}

static void
cancel_at_owner(struct pending_admission *pending)
{
    struct control *control = pending->control;
    Control__Cancel cancel = CONTROL__CANCEL__INIT;
    int owner = members_view_find(control->view, pending->owner);

    if (owner < 0) {
        return;
    }
    cancel.server = pending->admission->server;
    cancel.ask_id = pending->id;
    control_send(control, control->view->nodes[owner].control_address,
                 CONTROL_CANCEL, &cancel.base, 0);
}

static void
on_admission_done(void *context, const struct wire_answer *reply)
{
    struct pending_admission *pending = context;
    Control__Answer *answer = NULL;

    pending->request = 0;
    control_note_reachability(pending->control, pending->owner,
                              reply->code == BASE_OK);
    if (reply->code == BASE_OK && reply->kind == CONTROL_ANSWER) {
        answer = control__answer__unpack(NULL, reply->size, reply->body);
    }
    if (answer == NULL) {
        /* The owner may have granted the request: without a cancel its slots
         * would stay in use. */
        cancel_at_owner(pending);
        answer_from_local_share(pending);
        return;
    }
    apply_answer(pending, answer);
    control__answer__free_unpacked(answer, NULL);
}

/* ---- admission requests ---- */

static void
fill_message(const struct pending_admission *pending, Control__Ask *message)
{
    struct control *control = pending->control;
    const struct control_admission *admission = pending->admission;
    int operator_index =
        world_find_operator(control->world, admission->operator_name);
    const struct control_held_contract *renewed =
        control_find_held_contract(control, admission->contract);

    control__ask__init(message);
    message->server = (char *)admission->server;
    message->operator_name = (char *)admission->operator_name;
    message->weight =
        operator_index == WORLD_NONE
            ? 1.0F
            : (float)control->world->operators[operator_index].weight;
    message->work_class = (uint32_t)admission->class_;
    message->wait_ms = admission->wait_ms;
    message->prefer_ms = admission->prefer_ms;
    message->earlier_ms =
        (uint32_t)CLAMP(admission->earlier_ms, 0, CONTROL_MAX_EARLIER_MS);
    message->slots = (uint32_t)MAX(admission->slots, 1);
    message->term_ms = admission->term_ms;
    if (control->cost_routing) {
        message->work_ms = (uint32_t)CLAMP(admission->work_ms, 0, WORK_MAX_MS);
    }
    message->ask_id = pending->id;
    message->any_server = admission->any_server;
    message->n_avoid = (size_t)admission->n_avoid;
    message->avoid = (uint64_t *)admission->avoid;
    if (renewed != NULL && !renewed->is_local) {
        message->renew = renewed->contract;
    }
    if (pending->has_span) {
        message->trace_id.data = (uint8_t *)pending->span.context.trace_id;
        message->trace_id.len = sizeof(pending->span.context.trace_id);
        message->span_id.data = (uint8_t *)pending->span.context.span_id;
        message->span_id.len = sizeof(pending->span.context.span_id);
    }
}

static void
send_to_owner(struct pending_admission *pending, const char *address)
{
    struct control *control = pending->control;
    Control__Ask message;
    struct control_bytes bytes;
    struct wire_request_desc desc = {
        .address = address,
        .kind = CONTROL_ASK,
        .timeout_ms = MAX(pending->admission->wait_ms, 0) + ADMISSION_SLACK_MS,
        .is_idempotent = true, /* the owner recognises resends by ask_id */
        .answered = on_admission_done,
        .context = pending,
    };

    fill_message(pending, &message);
    bytes = control_pack(&message.base);
    desc.body = bytes.data;
    desc.size = bytes.size;
    pending->request = wire_request(&control->endpoint, &desc);
    g_free(bytes.data);
}

static void
send_admission(struct pending_admission *pending)
{
    struct control *control = pending->control;
    int server =
        control->world == NULL
            ? WORLD_NONE
            : world_find_server(control->world, pending->admission->server);
    int owner;

    if (server == WORLD_NONE || control_is_leaving(control, server)) {
        finish_admission(pending, CONTRACTS_UNAVAILABLE);
        return;
    }
    owner = control_owner_of(control, server);
    if (owner == WORLD_NONE) {
        answer_from_local_share(pending);
        return;
    }
    g_strlcpy(pending->owner, control->view->nodes[owner].name,
              sizeof(pending->owner));
    if (control_is_self(control, owner)) {
        Control__Ask message;
        fill_message(pending, &message);
        control_owner_admit(control, control->node, &message, NULL);
        return;
    }
    if (control_is_unreachable(control, pending->owner)) {
        answer_from_local_share(pending);
        return;
    }
    send_to_owner(pending, control->view->nodes[owner].control_address);
}

/* Handles an admission request of another task of this node.  The call is
 * answered now or once the server's owner has answered. */
void
control_client_admit(struct control *control,
                     struct control_admission *admission)
{
    static const struct base_span_context NO_TRACE;
    struct pending_admission *pending = g_new0(struct pending_admission, 1);

    pending->id = ++control->client.next_admission;
    pending->control = control;
    pending->admission = admission;
    g_hash_table_insert(control->client.admissions, &pending->id, pending);
    if (memcmp(&admission->trace, &NO_TRACE, sizeof(NO_TRACE)) != 0) {
        pending->has_span = true;
        base_span_start(&pending->span, "contract.ask", &admission->trace);
    }
    send_admission(pending);
}

/* ---- releases ---- */

/* Releases a contract.  With slots > 0, a batch contract shrinks to that many
 * slots, while an online contract stays held and `outcome` is reported for its
 * first token.  Contracts that are not held any more are ignored. */
void
control_client_release(struct control *control, uint64_t contract, int slots,
                       const struct contracts_outcome *outcome)
{
    struct control_held_contract *held =
        control_find_held_contract(control, contract);
    struct control_held_contract copy;
    uint64_t key;

    if (held == NULL) {
        return;
    }
    copy = *held;
    if (copy.is_local && slots > 0) {
        return; /* the owner does not know a local contract */
    }
    if (copy.is_local) {
        add_local_use(control, copy.server, -1);
        base_table_remove(&control->client.held, base_handle_unpack(contract));
        return;
    }
    if (slots > 0) {
        held->slots = MIN(slots, held->slots);
    }
    else {
        key = control_key(copy.server, copy.contract);
        g_hash_table_remove(control->client.by_contract, &key);
        base_table_remove(&control->client.held, base_handle_unpack(contract));
    }
    control_send_release(control, copy.server, copy.contract, slots,
                         copy.class_ == CONTRACTS_BATCH, outcome);
}
