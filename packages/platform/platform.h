/*
 * platform: a client for the services of the platform that a fleet runs on:
 * the key-value service (an etcd v3 JSON gateway, or another service through
 * its dialect), the host list and the weight store.  It runs as one task with
 * its own HTTP connections.
 *
 *     struct platform_kv *get = platform_kv_new(PLATFORM_GET, "/cp/x");
 *     platform_kv_send(platform, get, &my_task, on_answer);
 *     ...
 *     static void on_answer(struct platform_kv *get, void *my_state)
 *     { ... get->status, get->entries ...; platform_kv_free(get); }
 *
 * Each write has a random identity, which is stored in front of the value.
 * When a response is lost, the client sends the same write again; if that
 * conflicts with a record that has the write's own identity, the write has
 * succeeded.  PLATFORM_OK and PLATFORM_CONFLICT are therefore reliable, and
 * with PLATFORM_UNAVAILABLE and PLATFORM_REJECTED the verdict says whether the
 * write may have taken effect.  A PLATFORM_CONFLICT with the verdict
 * BASE_MAY_HAVE_RUN means that an earlier attempt of this write may have taken
 * effect and another writer may have replaced the record since.
 *
 * The service may do a write that got no response seconds later, or a second
 * time, if its conditions still hold.  So a write must change a key that it is
 * conditional on, or a later write could be undone or mixed with it.  Writes
 * with PLATFORM_ANY replace the record at any revision: use them only where a
 * late one does no harm.  A record with one writer, such as an entry bound to
 * a lease, expects its last known revision, and after a conflict the one that
 * platform_kv_revision_after returns.  A plain write
 * (is_plain) stores no identity, so that other programs can read the value;
 * if its response is lost, the repeated write ends in PLATFORM_CONFLICT.
 */
#ifndef CARDAMOM_PLATFORM_H
#define CARDAMOM_PLATFORM_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

enum platform_op {
    PLATFORM_GET,
    PLATFORM_LIST,      /* all keys with the prefix `key` */
    PLATFORM_PUT_IF,    /* compare-and-swap on expect_revision */
    PLATFORM_DELETE_IF, /* deletes the key at expect_revision */
    PLATFORM_TXN, /* all of kv->writes if all kv->conditions hold, or none */
    PLATFORM_LEASE_GRANT,
    PLATFORM_LEASE_KEEP, /* renews a lease */
    PLATFORM_LEASE_REVOKE,
};

enum platform_status {
    PLATFORM_OK,
    PLATFORM_CONFLICT,    /* `entries` has the current record, if any */
    PLATFORM_UNAVAILABLE, /* no result; see verdict and err */
    PLATFORM_LEASE_EXPIRED,
    /* The service refuses this operation, or it is above the limits and was
     * not sent: sending it again does not help; see verdict and err. */
    PLATFORM_REJECTED,
};

/* Expected revisions: the key does not exist, or any revision. */
enum { PLATFORM_ABSENT = 0, PLATFORM_ANY = -1 };

struct platform_entry {
    char *key;
    GBytes *value;    /* without the write's identity */
    int64_t revision; /* of the last change of this key */
    int64_t lease;    /* 0: none */
};

/* A condition of a PLATFORM_TXN: the key must be at this revision. */
struct platform_condition {
    char *key;
    int64_t revision; /* PLATFORM_ABSENT or a revision */
};

/* A write of a PLATFORM_TXN: stores a value or deletes the key. */
struct platform_write {
    char *key;
    GBytes *value; /* NULL: delete the key */
    int64_t lease; /* 0: none */
};

/* One operation on the key-value service, with its request and response. */
struct platform_kv {
    struct base_call call;
    void (*answered)(struct platform_kv *kv, void *task_state);
    void *context; /* for the sender; the platform does not use it */
    /* request */
    enum platform_op op;
    char *key;
    GBytes *value;
    int64_t expect_revision; /* PLATFORM_ABSENT, PLATFORM_ANY or a revision */
    int64_t lease;           /* 0: none */
    int64_t ttl_ms; /* of a lease: the requested one, then the granted one */
    GPtrArray *conditions; /* PLATFORM_TXN: platform_kv_expect adds */
    GPtrArray *writes;     /* PLATFORM_TXN: platform_kv_write adds */
    bool is_plain;         /* store the value without an identity */
    /* Of all attempts together; 0: the platform's call_timeout_ms.  It starts
     * anew with each page of a list and each 16 KiB of a body. */
    int64_t timeout_ms;
    int64_t limit;     /* PLATFORM_LIST: maximum number of keys; 0: all */
    char *after;       /* PLATFORM_LIST: only keys after this one */
    char write_id[17]; /* the write's identity, hexadecimal */
    /* response */
    enum platform_status status;
    enum base_verdict verdict;
    int64_t revision;   /* of the record, or of the store for a list */
    int64_t sent_ms;    /* when it was sent; a lease starts then or later */
    GPtrArray *entries; /* of struct platform_entry */
    bool has_more;      /* PLATFORM_LIST: there are more keys */
    struct base_error err;
};

/* What the key-value service takes in one operation.  Writers plan by these;
 * the client rejects what is above them. */
struct platform_limits {
    int64_t value_bytes; /* of a value, which includes the write's identity */
    int txn_entries; /* conditions and writes of a PLATFORM_TXN, together */
};

enum { PLATFORM_IDENTITY_BYTES = 19 }; /* stored in front of each value */

struct platform;
struct platform_dialect;

const struct platform_limits *platform_limits(const struct platform *platform);

struct platform_kv *platform_kv_new(enum platform_op op, const char *key);
void platform_kv_free(struct platform_kv *kv);
/* Adds a condition to a transaction.  The conditions must include the key of
 * the first write, so that after a lost response the client can find the
 * transaction's identity in that record. */
void platform_kv_expect(struct platform_kv *kv, const char *key,
                        int64_t revision);
void platform_kv_write(struct platform_kv *kv, const char *key, GBytes *value,
                       int64_t lease);
int64_t platform_kv_revision_after(const struct platform_kv *kv,
                                   const char *key, int64_t known);
void platform_kv_send(struct platform *platform, struct platform_kv *kv,
                      struct base_task *from,
                      void (*answered)(struct platform_kv *kv,
                                       void *task_state));

/*
 * An event of a watch, one of:
 * - A key was stored, or deleted (is_delete); see `entry`.
 * - The watch was established, for the first time or anew (is_reset), so
 *   changes may have been missed.  `listing` has all entries of the prefix;
 *   if it is NULL, the receiver reads the prefix itself.
 * - The service responds again after an outage of outage_ms (is_regained).
 */
struct platform_event {
    struct base_call call;
    void (*happened)(struct platform_event *event, void *task_state);
    void *context;
    bool is_reset;
    bool is_regained;
    bool is_delete;
    int64_t outage_ms;
    GPtrArray *listing;       /* of struct platform_entry */
    int64_t listing_revision; /* it has all keys set up to this revision */
    struct platform_entry entry;
};

/* Watches a prefix until platform_unwatch.  `happened` runs on the task `to`
 * for each event; the event is freed after it returns. */
uint64_t platform_watch(struct platform *platform, const char *prefix,
                        struct base_task *to, void *context,
                        void (*happened)(struct platform_event *event,
                                         void *task_state));
void platform_unwatch(struct platform *platform, uint64_t watch);

/* A host of the host list. */
struct platform_host {
    char *name;
    char *address;
    bool is_leaving; /* the platform is going to remove the host */
};

/* A request for the host list, with its response. */
struct platform_hosts {
    struct base_call call;
    void (*answered)(struct platform_hosts *hosts, void *task_state);
    void *context;
    bool is_ok;       /* the list was received */
    GPtrArray *hosts; /* of struct platform_host */
};

void platform_hosts_send(struct platform *platform, struct base_task *from,
                         void *context,
                         void (*answered)(struct platform_hosts *hosts,
                                          void *task_state));

enum platform_fetch_status {
    PLATFORM_FETCH_GRANTED,
    PLATFORM_FETCH_LATER,       /* rate limit exceeded; see retry_after_ms */
    PLATFORM_FETCH_UNAVAILABLE, /* no usable response */
};

/* A request to the weight store for permission to load a model's weights on
 * a server now, with its response. */
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

/* The endpoints are "IP:port".  When an endpoint of the key-value service
 * fails, the client goes on to the next one. */
struct platform_desc {
    const char *const *kv;
    int n_kv;
    const char *host_list;    /* NULL: none */
    const char *weight_store; /* NULL: none */
    const char *source;       /* local IP address; NULL: any */
    int64_t call_timeout_ms;  /* time limit of a call; 0: 2,000 */
    int64_t silence_ms;  /* longest time without data on a watch; 0: 3,000 */
    int calls_per_s;     /* limit for the key-value service; 0: 20 */
    int64_t min_poll_ms; /* least time between a watch's polls; 0: 500 */
    /* value_bytes 0: 1 MiB; txn_entries 0: 32 */
    struct platform_limits limits;
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
