/*
 * platform: the client of what the platform gives: the key-value service
 * (an etcd v3 JSON gateway, or another by its dialect), the host list and the
 * weight store.  It runs as one task with its own HTTP connections.
 *
 *     struct platform_kv *get = platform_kv_new(PLATFORM_GET, "/cp/x");
 *     platform_kv_send(platform, get, &my_task, on_answer);
 *     ...
 *     static void on_answer(struct platform_kv *get, void *my_state)
 *     { ... get->status, get->entries ...; platform_kv_free(get); }
 *
 * A write carries an identity of its own, which is kept in front of the
 * value.  When an answer is lost, the same write is sent again, and a
 * conflict with one's own identity counts as success; so PLATFORM_OK and
 * PLATFORM_CONFLICT are always true, and PLATFORM_UNAVAILABLE states by its
 * verdict whether the write may have taken effect.  A PLATFORM_CONFLICT with
 * the verdict BASE_MAY_HAVE_RUN says that an earlier try of this write may
 * have taken effect and been replaced by another writer since.  Writes with
 * PLATFORM_ANY replace whatever is there, also when sent again: they are for
 * records with one writer.  A plain write has no identity, so that another
 * program can read the value: a lost answer then ends in PLATFORM_CONFLICT.
 */
#ifndef CARDAMOM_PLATFORM_H
#define CARDAMOM_PLATFORM_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

enum platform_op {
    PLATFORM_GET,
    PLATFORM_LIST,   /* all keys that begin with `key` */
    PLATFORM_PUT_IF, /* compare-and-swap on expect_revision */
    PLATFORM_DELETE_IF,
    PLATFORM_TXN, /* all of kv->writes or nothing, under kv->conditions */
    PLATFORM_LEASE_GRANT,
    PLATFORM_LEASE_KEEP,
    PLATFORM_LEASE_REVOKE,
};

enum platform_status {
    PLATFORM_OK,
    PLATFORM_CONFLICT,    /* `entries` holds the record as it is now, if any */
    PLATFORM_UNAVAILABLE, /* see verdict */
    PLATFORM_LEASE_EXPIRED,
};

enum { PLATFORM_ABSENT = 0, PLATFORM_ANY = -1 };

struct platform_entry {
    char *key;
    GBytes *value; /* without the write's identity */
    int64_t revision;
    int64_t lease;
};

/* PLATFORM_TXN: a key that must be at this revision. */
struct platform_condition {
    char *key;
    int64_t revision; /* PLATFORM_ABSENT or a revision */
};

/* PLATFORM_TXN: a key that is put, or removed. */
struct platform_write {
    char *key;
    GBytes *value; /* NULL: remove it */
    int64_t lease;
};

struct platform_kv {
    struct base_call call;
    void (*answered)(struct platform_kv *kv, void *task_state);
    void *context; /* the sender's, untouched */
    /* the question */
    enum platform_op op;
    char *key;
    GBytes *value;
    int64_t expect_revision; /* PLATFORM_ABSENT, PLATFORM_ANY or a revision */
    int64_t lease;           /* 0: none */
    int64_t ttl_ms;          /* PLATFORM_LEASE_GRANT, and in its answer */
    GPtrArray *conditions;   /* PLATFORM_TXN; see platform_kv_expect */
    GPtrArray *writes;       /* PLATFORM_TXN; see platform_kv_write */
    bool is_plain;           /* the value has no identity: others read it */
    int64_t timeout_ms;      /* 0: default */
    int64_t limit;           /* PLATFORM_LIST; 0: all */
    char *after;             /* PLATFORM_LIST: only keys after this one */
    char write_id[17];
    /* the answer */
    enum platform_status status;
    enum base_verdict verdict;
    int64_t revision;   /* of the record after success */
    int64_t sent_ms;    /* base_clock_ms; a lease runs from here, at least */
    GPtrArray *entries; /* of struct platform_entry */
    bool has_more;
    struct base_error err;
};

struct platform;
struct platform_dialect;

struct platform_kv *platform_kv_new(enum platform_op op, const char *key);
void platform_kv_free(struct platform_kv *kv);
/* The first write of a transaction carries its identity, so its key must be
 * among the conditions for a lost answer to be resolved. */
void platform_kv_expect(struct platform_kv *kv, const char *key,
                        int64_t revision);
void platform_kv_write(struct platform_kv *kv, const char *key, GBytes *value,
                       int64_t lease);
void platform_kv_send(struct platform *platform, struct platform_kv *kv,
                      struct base_task *from,
                      void (*answered)(struct platform_kv *kv,
                                       void *task_state));

/* One change seen by a watch, or a sign that the watch began anew
 * (is_reset: changes may have been missed; `listing` holds all there is, or
 * is NULL, and then the prefix is to be read again), or that the service
 * answers again after outage_ms (is_regained). */
struct platform_event {
    struct base_call call;
    void (*happened)(struct platform_event *event, void *task_state);
    void *context;
    bool is_reset;
    bool is_regained;
    bool is_delete;
    int64_t outage_ms;
    GPtrArray *listing; /* of struct platform_entry */
    struct platform_entry entry;
};

/* Watches a prefix until platform_unwatch; the events arrive on `to` and
 * are freed by the platform's code after `happened` returned. */
uint64_t platform_watch(struct platform *platform, const char *prefix,
                        struct base_task *to, void *context,
                        void (*happened)(struct platform_event *event,
                                         void *task_state));
void platform_unwatch(struct platform *platform, uint64_t watch);

/* The host list: hosts that the platform calls live or leaving. */
struct platform_host {
    char *name;
    char *address;
    bool is_leaving;
};

struct platform_hosts {
    struct base_call call;
    void (*answered)(struct platform_hosts *hosts, void *task_state);
    void *context;
    bool is_ok;
    GPtrArray *hosts; /* of struct platform_host */
};

void platform_hosts_send(struct platform *platform, struct base_task *from,
                         void *context,
                         void (*answered)(struct platform_hosts *hosts,
                                          void *task_state));

/* Asks the weight store whether a server may load a model's weights now. */
enum platform_fetch_status {
    PLATFORM_FETCH_GRANTED,
    PLATFORM_FETCH_LATER, /* beyond its rate; see retry_after_ms */
    PLATFORM_FETCH_UNAVAILABLE,
};

struct platform_fetch {
    struct base_call call;
    void (*answered)(struct platform_fetch *fetch, void *task_state);
    void *context;
    char *model;
    char *version;
    char *server;
    enum platform_fetch_status status;
    int64_t retry_after_ms;
};

struct platform_fetch *
platform_fetch_new(const char *model, const char *version, const char *server);
void platform_fetch_free(struct platform_fetch *fetch);
void platform_fetch_send(struct platform *platform,
                         struct platform_fetch *fetch, struct base_task *from,
                         void (*answered)(struct platform_fetch *fetch,
                                          void *task_state));

/* The endpoints, "IP:port"; several of a kind are tried in turn. */
struct platform_desc {
    const char *const *kv;
    int n_kv;
    const char *host_list;
    const char *weight_store;
    const char *source; /* IP to connect from; NULL: the system's choice */
    int64_t call_timeout_ms; /* 0: 2,000 */
    int64_t silence_ms;      /* of a watch; 0: 3,000 */
    int calls_per_s;         /* budget of this node; 0: 20 */
    int64_t min_poll_ms;     /* least time between a watch's calls; 0: 500 */
    const struct platform_dialect *dialect; /* NULL: platform_etcd */
    struct base_counters *counters;
};

struct platform *platform_start(const struct platform_desc *desc,
                                struct base_error *err);
void platform_stop(struct platform *platform);

#ifdef __cplusplus
}
#endif

#endif
