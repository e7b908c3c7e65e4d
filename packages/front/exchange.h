/*
 * exchange: the way of one request to the backend servers: attempts under
 * contracts, retries by verdict, one hedge, and the resumption of broken
 * streams.  What the bytes of an answer mean is the user's affair:
 *
 *     struct chat { struct exchange exchange; ... };
 *     exchange_init(&chat->exchange, &CHAT_OPS, request, deployment);
 *     ... set method, path, body ...
 *     exchange_start(&chat->exchange);
 *     ... ops->head, ->body, ->ended for each attempt; then ops->whole or
 *     ... ops->failed exactly once, unless exchange_cancel comes first
 */
#ifndef CARDAMOM_FRONT_EXCHANGE_H
#define CARDAMOM_FRONT_EXCHANGE_H

#include "front/front_private.h"

enum { EXCHANGE_MAX_PARALLEL = 2, EXCHANGE_MAX_ADMISSIONS = 8 };

struct exchange;

enum attempt_state {
    ATTEMPT_ADMITTING, /* a contract ask is on its way */
    ATTEMPT_RUNNING,
    ATTEMPT_ENDED,
};

/* One attempt at one server. */
struct attempt {
    struct exchange *exchange; /* NULL: abandoned while its ask was out */
    struct front *front;
    enum attempt_state state;
    bool is_admission_pending;
    bool is_hedge;
    int server; /* index in the exchange's world */
    char server_name[FRONT_NAME_SIZE];
    /* asking */
    struct place_request place; /* with the busy ones of this round */
    int n_asked;
    int best_busy;    /* the least loaded server that was busy */
    bool was_refused; /* a server had no room for the operator */
    bool was_busy;    /* a server whose keeper can't be asked had none */
    double best_load;
    bool is_queued;
    struct base_span admission_span;
    /* running */
    uint64_t contract;      /* 0: none, or given back */
    bool is_local_share;    /* no keeper knows of the contract */
    bool is_late_reported;  /* that the first token is late */
    bool is_first_reported; /* to place, that it came */
    bool is_whole;          /* the answer's end has been seen */
    struct base_handle call;
    struct base_span span;
    int64_t sent_us;
    int64_t first_token_us; /* since sent_us; 0: none yet */
    int64_t last_token_us;  /* on base_clock_us */
    int tokens;
    /* the answer so far */
    int status;
    char content_type[FRONT_NAME_SIZE];
    bool is_event_stream;
    enum base_verdict verdict;  /* once its call is done */
    int resumed_from;           /* the first token that was asked for */
    bool is_finished;           /* the answer has said why it ends */
    GPtrArray *relayed_headers; /* the user's: headers for the caller */
    GString *answer;            /* the user's: bytes not yet understood */
    GString *held; /* the user's: for the caller, if this one wins */
};

enum attempt_end {
    ATTEMPT_COMPLETE, /* the caller can have its answer */
    ATTEMPT_BROKEN    /* try again if that is allowed */
};

struct exchange_ops {
    /* The head of an attempt's answer. */
    void (*head)(struct exchange *exchange, struct attempt *attempt);
    /* Bytes of it; the user may call exchange_take or exchange_end. */
    void (*body)(struct exchange *exchange, struct attempt *attempt,
                 const char *data, size_t size);
    /* The attempt's connection ended; judges the answer. */
    enum attempt_end (*ended)(struct exchange *exchange,
                              struct attempt *attempt,
                              const struct backends_result *result);
    /* The whole answer is there; answer the caller. */
    void (*whole)(struct exchange *exchange, struct attempt *attempt);
    /* No attempt is left; tell the caller. */
    void (*failed)(struct exchange *exchange, const struct front_fault *fault,
                   const char *text);
};

struct exchange {
    const struct exchange_ops *ops;
    struct front *front;
    struct front_request *request;
    struct world *world;
    struct place_request place;
    int operator_index;
    /* the question */
    const char *method;
    char *path;
    char *content_type; /* NULL: JSON */
    const char *body;   /* the request's or the user's */
    size_t body_size;
    /* routes by host and path only */
    const struct front_protocol
        *protocol;            /* NULL: the product's own headers */
    const char *host;         /* the request's */
    GPtrArray *headers;       /* name, value, ... */
    int max_runs;             /* servers that may run it; 0: no limit */
    int64_t target_ms;        /* for the first piece; 0: none */
    int64_t first_piece_ms;   /* silence before it; 0: until the deadline */
    const char *resume_after; /* the event to go on after; NULL: none */
    /* progress */
    struct attempt *lanes[EXCHANGE_MAX_PARALLEL]; /* the attempts that go on */
    struct attempt *winner; /* whose answer the caller gets */
    int n_attempts;         /* sent so far */
    int n_runs;             /* of them, that may have run */
    bool was_hedged;
    bool is_over;
    bool is_committed; /* the caller has part of an answer that can't resume */
    bool needs_resume; /* the next attempt goes on from `tokens` */
    int tokens;        /* relayed */
    int64_t first_us;  /* of the first of them, on base_clock_us */
    int64_t last_us;
    int64_t longest_gap_us;
    enum base_verdict verdict;
    char last_error[128];
    lws_sorted_usec_list_t hedge_timer;
    lws_sorted_usec_list_t deadline_timer;
};

void exchange_init(struct exchange *exchange, const struct exchange_ops *ops,
                   struct front_request *request, int deployment);
void exchange_start(struct exchange *exchange);
void exchange_cancel(struct exchange *exchange);
void exchange_finish(struct exchange *exchange);
bool exchange_take(struct exchange *exchange, struct attempt *attempt);
void exchange_token(struct exchange *exchange, struct attempt *attempt);
void exchange_end(struct exchange *exchange, struct attempt *attempt);
void exchange_break(struct exchange *exchange, struct attempt *attempt,
                    const char *why);

/* hedge.c: late first tokens */
void exchange_watch(struct exchange *exchange);
void exchange_report_first_token(struct exchange *exchange,
                                 struct attempt *attempt);

/* exchange.c, for hedge.c */
bool exchange_may_try_again(struct exchange *exchange,
                            enum base_verdict verdict);
void exchange_note_tried(struct exchange *exchange, int server);

/* attempt.c, for exchange.c and hedge.c */
void attempt_start(struct exchange *exchange, bool is_hedge);
enum base_verdict attempt_stop(struct attempt *attempt, bool is_servers_fault);
void attempt_release(struct attempt *attempt, bool is_servers_fault);
void attempt_free(struct attempt *attempt);

/* exchange.c, for attempt.c */
void exchange_sync_world(struct exchange *exchange);
void exchange_no_contract(struct exchange *exchange, struct attempt *attempt,
                          enum contracts_answer answer);
void exchange_sent(struct exchange *exchange, struct attempt *attempt);
void exchange_attempt_done(struct exchange *exchange, struct attempt *attempt,
                           const struct backends_result *result);

#endif
