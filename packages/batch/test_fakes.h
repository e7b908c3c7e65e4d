/*
 * Fakes for the tests of batch: a key-value service in memory, in which a test
 * can cause faults, and a control package that grants the requested slots.
 * They define functions of the platform and control packages, so that the
 * linker takes them instead of the real ones.  A test sets `fake` and
 * `contracts` before it starts a node.
 */
#ifndef CARDAMOM_BATCH_TEST_FAKES_H
#define CARDAMOM_BATCH_TEST_FAKES_H

#include <atomic>
#include <cstring>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "batch/batch.h"

struct fake_record {
    std::string value;
    int64_t revision;
    int64_t lease;
};

struct fake_watch {
    std::string prefix;
    struct base_task *to;
    void *context;
    void (*happened)(struct platform_event *, void *);
};

/* The key-value service; all nodes of a test share one. */
struct fake_kv {
    std::mutex lock;
    std::map<std::string, fake_record> records;
    std::map<uint64_t, fake_watch> watches;
    std::set<int64_t> leases;
    int64_t revision = 0;
    int64_t next_lease = 100;
    uint64_t next_watch = 1;
    int n_writes = 0;
    std::atomic<bool> is_down{false};
    /* Number of the next writes that take effect but whose replies are lost.
     */
    std::atomic<int> n_replies_to_lose{0};
    /* The next write of a key with this prefix is kept in `late`, without a
     * reply. */
    std::string late_prefix;
    struct platform_kv *late = nullptr;
};

static struct fake_kv *fake = nullptr;

/* The admission controller of all servers in a test. */
struct fake_contracts {
    std::mutex lock;
    int slots = 64;       /* maximum number of slots granted per request */
    bool is_busy = false; /* no request is granted */
    uint64_t next_contract = 1;
    std::map<uint64_t,
             std::pair<struct base_task *, void (*)(void *, uint64_t, int)>>
        held; /* by contract: the client's task and its preempt callback */
    int n_failed = 0; /* outcomes reported as failed */
};

static struct fake_contracts *contracts = nullptr;

/* ---- platform ---- */

static void
fake_kv_done(struct base_call *call, void *state)
{
    struct platform_kv *kv = (struct platform_kv *)call;
    kv->answered(kv, state);
}

static void
fake_kv_drop(struct base_call *call)
{
    platform_kv_free((struct platform_kv *)call);
}

static const struct base_call_ops FAKE_KV_OPS = {nullptr, fake_kv_done,
                                                 fake_kv_drop};

static struct platform_entry *
fake_entry(const std::string &key, const fake_record &record)
{
    struct platform_entry *entry = g_new0(struct platform_entry, 1);
    entry->key = g_strdup(key.c_str());
    entry->value = g_bytes_new(record.value.data(), record.value.size());
    entry->revision = record.revision;
    entry->lease = record.lease;
    return entry;
}

static void
fake_entry_free(void *argument)
{
    struct platform_entry *entry = (struct platform_entry *)argument;
    g_free(entry->key);
    g_bytes_unref(entry->value);
    g_free(entry);
}

struct platform_kv *
platform_kv_new(enum platform_op op, const char *key)
{
    struct platform_kv *kv = g_new0(struct platform_kv, 1);
    kv->op = op;
    kv->key = g_strdup(key);
    kv->entries = g_ptr_array_new_with_free_func(fake_entry_free);
    return kv;
}

void
platform_kv_free(struct platform_kv *kv)
{
    g_free(kv->key);
    g_free(kv->after);
    if (kv->value != nullptr) {
        g_bytes_unref(kv->value);
    }
    g_ptr_array_unref(kv->entries);
    g_free(kv);
}

static void
fake_event_done(struct base_call *call, void *state)
{
    struct platform_event *event = (struct platform_event *)call;
    event->happened(event, state);
    g_free(event->entry.key);
    if (event->entry.value != nullptr) {
        g_bytes_unref(event->entry.value);
    }
    g_free(event);
}

static void
fake_event_drop(struct base_call *call)
{
    struct platform_event *event = (struct platform_event *)call;
    g_free(event->entry.key);
    if (event->entry.value != nullptr) {
        g_bytes_unref(event->entry.value);
    }
    g_free(event);
}

static const struct base_call_ops FAKE_EVENT_OPS = {nullptr, fake_event_done,
                                                    fake_event_drop};

/* Sends an event to each watch of the key; record is null after a delete. */
static void
fake_notify(const std::string &key, const fake_record *record)
{
    for (auto &pair : fake->watches) {
        fake_watch &watch = pair.second;
        if (key.compare(0, watch.prefix.size(), watch.prefix) != 0) {
            continue;
        }
        struct platform_event *event = g_new0(struct platform_event, 1);
        event->happened = watch.happened;
        event->context = watch.context;
        event->is_delete = record == nullptr;
        event->entry.key = g_strdup(key.c_str());
        if (record != nullptr) {
            event->entry.value =
                g_bytes_new(record->value.data(), record->value.size());
            event->entry.revision = record->revision;
        }
        event->call.ops = &FAKE_EVENT_OPS;
        event->call.from = watch.to;
        base_call_reply(&event->call);
    }
}

static void
fake_list(struct platform_kv *kv)
{
    std::string prefix = kv->key;
    std::string after = kv->after == nullptr ? "" : kv->after;
    for (auto it = fake->records.lower_bound(prefix);
         it != fake->records.end() &&
         it->first.compare(0, prefix.size(), prefix) == 0;
         ++it) {
        if (it->first <= after) {
            continue;
        }
        if (kv->limit > 0 && (int64_t)kv->entries->len == kv->limit) {
            kv->has_more = true;
            return;
        }
        g_ptr_array_add(kv->entries, fake_entry(it->first, it->second));
    }
}

static void
fake_put(struct platform_kv *kv)
{
    auto it = fake->records.find(kv->key);
    int64_t current = it == fake->records.end() ? 0 : it->second.revision;

    if (kv->expect_revision != PLATFORM_ANY &&
        kv->expect_revision != current) {
        kv->status = PLATFORM_CONFLICT;
        if (current != 0) {
            g_ptr_array_add(kv->entries, fake_entry(kv->key, it->second));
        }
        return;
    }
    if (kv->lease != 0 && fake->leases.count(kv->lease) == 0) {
        kv->status = PLATFORM_LEASE_EXPIRED;
        return;
    }
    fake->n_writes++;
    if (kv->op == PLATFORM_DELETE_IF) {
        if (current != 0) {
            fake->records.erase(it);
            fake_notify(kv->key, nullptr);
        }
        return;
    }
    gsize size;
    const char *data = (const char *)g_bytes_get_data(kv->value, &size);
    fake_record record = {std::string(data, size), ++fake->revision,
                          kv->lease};
    fake->records[kv->key] = record;
    kv->revision = record.revision;
    fake_notify(kv->key, &record);
}

/* Ends a lease and removes its records.  Sends no events. */
static inline void
fake_expire_lease(int64_t lease)
{
    fake->leases.erase(lease);
    for (auto it = fake->records.begin(); it != fake->records.end();) {
        if (it->second.lease == lease) {
            it = fake->records.erase(it);
        }
        else {
            ++it;
        }
    }
}

static void
fake_kv_run(struct platform_kv *kv)
{
    switch (kv->op) {
    case PLATFORM_GET: {
        auto it = fake->records.find(kv->key);
        if (it != fake->records.end()) {
            g_ptr_array_add(kv->entries, fake_entry(it->first, it->second));
        }
        break;
    }
    case PLATFORM_LIST:
        fake_list(kv);
        break;
    case PLATFORM_PUT_IF:
    case PLATFORM_DELETE_IF:
        fake_put(kv);
        break;
    case PLATFORM_LEASE_GRANT:
        kv->lease = fake->next_lease++;
        fake->leases.insert(kv->lease);
        break;
    case PLATFORM_LEASE_KEEP:
        if (fake->leases.count(kv->lease) == 0) {
            kv->status = PLATFORM_LEASE_EXPIRED;
        }
        break;
    case PLATFORM_LEASE_REVOKE:
        fake_expire_lease(kv->lease);
        break;
    case PLATFORM_TXN: /* not used by batch */
        abort();
    }
}

void
platform_kv_send(struct platform *platform, struct platform_kv *kv,
                 struct base_task *from,
                 void (*answered)(struct platform_kv *, void *))
{
    std::lock_guard<std::mutex> guard(fake->lock);
    bool is_write = kv->op == PLATFORM_PUT_IF || kv->op == PLATFORM_DELETE_IF;

    kv->answered = answered;
    if (fake->is_down) {
        kv->status = PLATFORM_UNAVAILABLE;
    }
    else if (is_write && !fake->late_prefix.empty() &&
             strncmp(kv->key, fake->late_prefix.c_str(),
                     fake->late_prefix.size()) == 0) {
        fake->late_prefix.clear();
        fake->late = platform_kv_new(kv->op, kv->key);
        fake->late->value = g_bytes_ref(kv->value);
        fake->late->lease = kv->lease;
        fake->late->expect_revision = kv->expect_revision;
        kv->status = PLATFORM_UNAVAILABLE;
        kv->verdict = BASE_MAY_HAVE_RUN;
    }
    else {
        fake_kv_run(kv);
        if (is_write && fake->n_replies_to_lose > 0) {
            fake->n_replies_to_lose--;
            kv->status = PLATFORM_UNAVAILABLE;
            kv->verdict = BASE_MAY_HAVE_RUN;
            g_ptr_array_set_size(kv->entries, 0);
        }
    }
    kv->call.ops = &FAKE_KV_OPS;
    kv->call.from = from;
    base_call_reply(&kv->call);
}

uint64_t
platform_watch(struct platform *platform, const char *prefix,
               struct base_task *to, void *context,
               void (*happened)(struct platform_event *, void *))
{
    std::lock_guard<std::mutex> guard(fake->lock);
    fake->watches[fake->next_watch] = {prefix, to, context, happened};
    return fake->next_watch++;
}

void
platform_unwatch(struct platform *platform, uint64_t watch)
{
    std::lock_guard<std::mutex> guard(fake->lock);
    fake->watches.erase(watch);
}

/* ---- control ---- */

static void
fake_admission_done(struct base_call *call, void *state)
{
    struct control_admission *admission = (struct control_admission *)call;
    admission->answered(admission, state);
}

static void
fake_admission_drop(struct base_call *call)
{
    g_free(call);
}

static const struct base_call_ops FAKE_ADMISSION_OPS = {
    nullptr, fake_admission_done, fake_admission_drop};

struct control_admission *
control_admission_new(const char *server, enum contracts_class class_)
{
    struct control_admission *admission = g_new0(struct control_admission, 1);
    g_strlcpy(admission->server, server, sizeof(admission->server));
    admission->class_ = class_;
    return admission;
}

void
control_admission_free(struct control_admission *admission)
{
    g_free(admission);
}

void
control_admission_send(struct control *control,
                       struct control_admission *admission,
                       struct base_task *from,
                       void (*answered)(struct control_admission *, void *))
{
    std::lock_guard<std::mutex> guard(contracts->lock);
    admission->answered = answered;
    if (contracts->is_busy) {
        admission->answer = CONTRACTS_BUSY;
    }
    else {
        admission->answer = CONTRACTS_GRANTED;
        admission->granted_slots = MIN(admission->slots, contracts->slots);
        admission->granted_until_ms = base_clock_ms() + admission->term_ms;
        if (admission->contract == 0) {
            admission->contract = contracts->next_contract++;
        }
        contracts->held[admission->contract] = {from, admission->preempt};
    }
    admission->call.ops = &FAKE_ADMISSION_OPS;
    admission->call.from = from;
    base_call_reply(&admission->call);
}

void
control_shrink(struct control *control, uint64_t contract, int slots,
               const struct contracts_outcome *outcome)
{
    std::lock_guard<std::mutex> guard(contracts->lock);
    if (slots == 0) {
        contracts->held.erase(contract);
    }
    contracts->n_failed += outcome != nullptr && outcome->failed;
}

struct fake_preempt {
    struct base_call call;
    void (*preempt)(void *, uint64_t, int);
    uint64_t contract;
};

static void
fake_preempt_done(struct base_call *call, void *state)
{
    struct fake_preempt *preempt = (struct fake_preempt *)call;
    preempt->preempt(state, preempt->contract, 1000);
    g_free(preempt);
}

static const struct base_call_ops FAKE_PREEMPT_OPS = {
    nullptr, fake_preempt_done, fake_admission_drop};

/* Preempts all slots of all contracts, and grants none from now on. */
static inline void
fake_preempt_all()
{
    std::lock_guard<std::mutex> guard(contracts->lock);
    contracts->is_busy = true;
    for (auto &pair : contracts->held) {
        struct fake_preempt *preempt = g_new0(struct fake_preempt, 1);
        preempt->preempt = pair.second.second;
        preempt->contract = pair.first;
        preempt->call.ops = &FAKE_PREEMPT_OPS;
        preempt->call.from = pair.second.first;
        base_call_reply(&preempt->call);
    }
}

#endif
