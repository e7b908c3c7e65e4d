/*
 * A test substitute for a backend server: a model engine or, with --service,
 * a plain HTTP service.  engine.c is the HTTP server: it parses requests,
 * writes responses and applies orders and injected faults.  engine_model.c
 * simulates execution: the queue, the slots and the time that tokens take.
 * Everything runs on one thread, the event loop of libwebsockets.
 */
#ifndef CARDAMOM_STANDIN_ENGINE_H
#define CARDAMOM_STANDIN_ENGINE_H

#include "base/base.h"

#include <libwebsockets.h>

enum { ENGINE_ID_SIZE = 96, ENGINE_NAME_SIZE = 64, ENGINE_CACHE_SIZE = 64 };

struct engine_settings {
    int port;  /* 0: any free port */
    int slots; /* requests that run at the same time */
    int first_token_us;
    int inter_token_us;
    int load_lag_ms; /* interval at which the load report is refreshed */
    int load_ms;     /* time that an order to load a model takes */
    gboolean is_service;
    gboolean checks_fencing; /* refuses orders with an old fencing number */
    char *name;
    char *model;
    char *version;
};

/* Faults set by POST /standin/set; rates are between 0 and 1. */
struct engine_faults {
    double slow_factor; /* multiplies run times until slow_until_ms */
    int64_t slow_until_ms;
    double fail_rate;    /* 503 with "x-ran: no" instead of running */
    double error_rate;   /* 500 after the request has run */
    double lose_answers; /* runs, then closes without a response */
    double break_rate;   /* streams closed at a random token */
};

enum engine_phase { ENGINE_IDLE, ENGINE_QUEUED, ENGINE_RUNNING, ENGINE_DONE };

/*
 * One HTTP request and its response.  libwebsockets allocates it with the
 * connection and reuses it for later requests on the same connection.
 */
struct engine_session {
    struct lws *wsi;
    struct engine *engine;
    char method[8];
    char path[256];
    char id[ENGINE_ID_SIZE];
    GString *body;
    GString *out;
    size_t written;
    bool is_complete;       /* `out` holds the last bytes of the response */
    bool is_silenced;       /* injected fault: nothing more is sent */
    bool closes_connection; /* the connection is closed after the response */
    /* Execution, in engine_model.c. */
    enum engine_phase phase;
    lws_sorted_usec_list_t timer;
    bool is_stream;
    bool is_chat;
    int tokens;            /* output tokens requested; -1: refuse the prompt */
    int next_token;        /* index of the next token to send */
    int resume_token;      /* index to resume from (x-resume-offset) */
    int break_token;       /* token at which the stream is closed, or -1 */
    uint64_t prefix_hash;  /* hash of the prompt's start, the cache key */
    char prompt_digest[9]; /* hash of the prompt, in each token's text */
    int64_t arrived_us;
    int64_t began_us;
    int64_t first_token_us;
};

struct engine {
    struct engine_settings settings;
    struct engine_faults faults;
    struct lws_context *lws;
    GQueue queue;        /* of struct engine_session */
    GPtrArray *running;  /* of struct engine_session */
    GPtrArray *sessions; /* sessions of all open connections */
    GString *log;        /* JSON lines, served at /standin/log */
    GRand *random;
    uint64_t cache[ENGINE_CACHE_SIZE]; /* ring of prompt prefix hashes */
    int cache_next;
    int64_t cache_seq; /* prefixes stored so far */
    /* The last refreshed load report. */
    int reported_running;
    int reported_queued;
    int64_t reported_ms;
    /* State set by orders. */
    char model[ENGINE_NAME_SIZE];
    char version[ENGINE_NAME_SIZE];
    char role[ENGINE_NAME_SIZE];
    GPtrArray *adapters;
    int64_t fencing;  /* highest fencing number of an applied order */
    int64_t ready_ms; /* when the ordered load is complete */
};

/* Functions of engine_model.c. */
void engine_model_accept(struct engine *engine, struct engine_session *s);
void engine_model_cancel(struct engine *engine, struct engine_session *s);
void engine_model_refresh_load(struct engine *engine);
void engine_log_request(struct engine *engine, struct engine_session *s,
                        const char *end);
/* Functions of engine.c. */
void engine_respond(struct engine_session *s, int status, const char *type,
                    const char *text, size_t size);
void engine_start_stream(struct engine_session *s);
void engine_flush_stream(struct engine_session *s, bool ends_stream);
void engine_close(struct engine_session *s);

#endif
