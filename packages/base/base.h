/*
 * base: clocks, errors, logs, counters, traces, handle tables and tasks,
 * which all other packages use.
 *
 * A function that can fail fills in the error that its caller passes:
 *
 *     struct base_error err = {0};
 *     if (!base_read_file(path, text, &err)) {
 *         base_log_error("settings.unreadable", &err, "path=%s", path);
 *     }
 *
 * A task owns its sockets and its state and runs on one thread.  Tasks
 * communicate by messages: a struct whose first member is a base_call is sent
 * to another task, which runs `serve` and replies; then `done` runs on the
 * sending task:
 *
 *     static const struct base_call_ops OPS = {serve_get, get_done, free_get};
 *     struct get *get = g_new0(struct get, 1);
 *     base_call_send(&get->call, &OPS, store_task, my_task);
 *
 * All times are in the unit that the name states: _ms, _us, _s.
 */
#ifndef CARDAMOM_BASE_H
#define CARDAMOM_BASE_H

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Sizes of names, with the zero byte.  The shortest limit outside is that of a
 * site's store, whose keys of 200 bytes have a server's name behind a prefix
 * of 8, and a node's between a prefix and the number of a process. */
enum {
    BASE_NAME_SIZE = 193, /* of a server, an operator or a region */
    BASE_NODE_NAME_SIZE = 161,
};

/* ---- clock ---- */

int64_t base_clock_ms(void);
int64_t base_clock_us(void);
int64_t base_wall_ms(void);
int64_t base_wall_us(void);

/* ---- errors and verdicts ---- */

enum base_code {
    BASE_OK = 0,
    BASE_INVALID, /* invalid input; a retry fails again */
    BASE_NOT_FOUND,
    BASE_CONFLICT,    /* another writer changed it first */
    BASE_BUSY,        /* refused because of load; may succeed later */
    BASE_UNAVAILABLE, /* the other side is unreachable */
    BASE_TIMEOUT,
    BASE_DENIED,
    BASE_FULL,
    BASE_CORRUPT,
    BASE_INTERNAL,
};

struct base_error {
    enum base_code code;
    char text[256];
};

void base_error_set(struct base_error *err, enum base_code code,
                    const char *format, ...) G_GNUC_PRINTF(3, 4);
const char *base_code_name(enum base_code code);

/* Whether the receiver of a request has run it, as far as the sender knows. */
enum base_verdict {
    BASE_NOT_RUN = 0,
    BASE_MAY_HAVE_RUN,
    BASE_RAN,
};

const char *base_verdict_name(enum base_verdict verdict);

/* ---- logs ---- */

enum base_log_level {
    BASE_LOG_ERROR = 3,
    BASE_LOG_WARNING = 4,
    BASE_LOG_NOTICE = 5,
    BASE_LOG_INFO = 6,
    BASE_LOG_DEBUG = 7,
};

void base_log_setup(const char *node_name, enum base_log_level least_severe);
void base_log_output(int fd);
void base_log(enum base_log_level level, const char *event, const char *format,
              ...) G_GNUC_PRINTF(3, 4);
void base_log_error(const char *event, const struct base_error *err,
                    const char *format, ...) G_GNUC_PRINTF(3, 4);

/* ---- counters ---- */

struct base_counter {
    char *name;
    int64_t value; /* read and written by atomic operations only */
    bool is_gauge;
};

struct base_counters {
    pthread_mutex_t lock;
    GPtrArray *all;
    GHashTable *by_name;
};

void base_counters_init(struct base_counters *counters);
void base_counters_finish(struct base_counters *counters);
struct base_counter *base_counter(struct base_counters *counters,
                                  const char *name);
struct base_counter *base_gauge(struct base_counters *counters,
                                const char *name);
void base_counter_add(struct base_counter *counter, int64_t by);
void base_counter_set(struct base_counter *counter, int64_t value);
int64_t base_counter_value(const struct base_counter *counter);
void base_counters_render(struct base_counters *counters, GString *out);

/* ---- traces ---- */

enum { BASE_TRACEPARENT_SIZE = 56 };

struct base_span_context {
    uint8_t trace_id[16];
    uint8_t span_id[8];
};

struct base_span {
    struct base_span_context context;
    uint8_t parent_id[8];
    char name[48];
    int64_t start_us; /* wall clock */
    int64_t end_us;
    bool failed;
    GString *attributes; /* OTLP/JSON objects, separated by commas */
};

struct base_tracer {
    pthread_mutex_t lock;
    FILE *file; /* NULL: spans are dropped */
    char node[BASE_NODE_NAME_SIZE];
};

bool base_tracer_init(struct base_tracer *tracer, const char *folder,
                      const char *node, struct base_error *err);
void base_tracer_finish(struct base_tracer *tracer);
void base_span_start(struct base_span *span, const char *name,
                     const struct base_span_context *parent);
void base_span_attribute(struct base_span *span, const char *key,
                         const char *format, ...) G_GNUC_PRINTF(3, 4);
void base_span_end(struct base_span *span, struct base_tracer *tracer);
bool base_traceparent_parse(const char *text, struct base_span_context *out);
void base_traceparent_format(const struct base_span_context *context,
                             char out[BASE_TRACEPARENT_SIZE]);

/* ---- tables with generational handles ---- */

/* Refers to an element of a base_table.  A handle becomes stale when its
 * element is removed, also if the slot is used again. */
struct base_handle {
    uint32_t slot;
    uint32_t generation; /* 0: a handle to no element */
};

struct base_table {
    size_t element_size;
    uint32_t capacity;
    uint32_t count;
    uint32_t free_head;
    uint32_t *generations;
    uint32_t *next_free;
    unsigned char *elements;
};

void base_table_init(struct base_table *table, size_t element_size);
void base_table_finish(struct base_table *table);
struct base_handle base_table_add(struct base_table *table);
void *base_table_get(const struct base_table *table,
                     struct base_handle handle);
bool base_table_remove(struct base_table *table, struct base_handle handle);
struct base_handle base_table_next(const struct base_table *table,
                                   uint32_t *cursor);
uint64_t base_handle_pack(struct base_handle handle);
struct base_handle base_handle_unpack(uint64_t packed);

/* ---- tasks and calls ---- */

struct base_task;
struct base_call;

struct base_call_ops {
    /* Runs on the serving task.  It calls base_call_reply once, now or later
     * on the same task. */
    void (*serve)(struct base_call *call, void *task_state);
    /* Runs on the sending task with the reply; owns the call. */
    void (*done)(struct base_call *call, void *task_state);
    /* Frees a call that was sent without `from`, or that a stopped task left
     * in its mailbox. */
    void (*drop)(struct base_call *call);
};

struct base_call {
    const struct base_call_ops *ops;
    struct base_task *from; /* NULL: no reply is wanted */
    bool is_reply;
};

struct base_task_ops {
    /* Makes the task's loop call base_task_drain soon; any thread. */
    void (*wake)(struct base_task *task);
    /* The task's loop; returns when the task is asked to stop. */
    void (*run)(struct base_task *task);
};

struct base_task {
    const struct base_task_ops *ops;
    const char *name;
    void *state;
    GAsyncQueue *mailbox;
    pthread_t thread;
    bool is_started;
    int is_stopping; /* atomic; see base_task_is_stopping */
    int n_senders;   /* atomic; threads that are posting a call to this task */
    int wake_fd; /* eventfd, for loops that poll; ops->wake may ignore it */
};

bool base_task_init(struct base_task *task, const char *name,
                    const struct base_task_ops *ops, void *state,
                    struct base_error *err);
bool base_task_start(struct base_task *task, struct base_error *err);
void base_task_stop(struct base_task *task);
void base_task_finish(struct base_task *task);
bool base_task_is_stopping(struct base_task *task);
void base_task_wake_fd(struct base_task *task);
void base_task_clear_wake_fd(struct base_task *task);
unsigned base_task_drain(struct base_task *task);
void base_call_send(struct base_call *call, const struct base_call_ops *ops,
                    struct base_task *to, struct base_task *from);
void base_call_reply(struct base_call *call);

/* ---- small helpers ---- */

uint64_t base_hash(const void *data, size_t size, uint64_t seed);
uint64_t base_hash_text(const char *text, uint64_t seed);
void base_random_id(char *out, size_t size);
bool base_read_file(const char *path, GString *out, struct base_error *err);
bool base_is_utf8(const char *text, size_t size);

#ifdef __cplusplus
}
#endif

#endif
