/*
 * exchange: sends one request to backend servers and brings back the response.
 * It runs attempts under contracts, retries a failed attempt if the server did
 * not run it or the request is idempotent, starts at most one hedge and
 * resumes broken streams.  The user of an exchange parses the response:
 *
 *     struct chat { struct exchange exchange; ... };
 *     exchange_init(&chat->exchange, &CHAT_OPS, request, deployment);
 *     ... set method, path and body ...
 *     exchange_start(&chat->exchange);
 *     ... ops->head, ->body and ->ended are called for each attempt; then
 *     ... ops->completed or ops->failed is called exactly once, unless
 *     ... exchange_cancel is called first
 */
#ifndef CARDAMOM_FRONT_EXCHANGE_H
#define CARDAMOM_FRONT_EXCHANGE_H

#include "front/front_private.h"

enum { EXCHANGE_MAX_PARALLEL = 2, EXCHANGE_MAX_ADMISSIONS = 8 };

struct exchange;

enum attempt_state {
    ATTEMPT_ADMITTING, /* waits for the reply to an admission request */
    ATTEMPT_RUNNING,
    ATTEMPT_ENDED,
};

/* One attempt at one server. */
struct attempt {
    struct exchange *exchange; /* NULL: stopped during an admission request */
    struct front *front;
    enum attempt_state state;
    bool is_admission_pending;
    bool is_hedge;
    int server; /* index in the exchange's world */
    char server_name[FRONT_NAME_SIZE];
    /* admission */
    struct place_request
        choice;      /* copy of exchange->choice; also excludes busy servers */
    int n_requested; /* admission requests sent so far */
    int best_busy;   /* index of the least loaded of the busy servers */
    bool knows_pools; /* an answer told the loads of the deployment's pools,
                         and the request has not queued by them yet */
    bool was_refused; /* a server had no room for the operator */
    bool was_local_share_busy; /* a server with unreachable owner was busy */
    int64_t retry_ms;      /* shortest time until a busy server has room; 0:
                              unknown */
    bool is_retry_unknown; /* that of another busy server is not known */
    double best_load;      /* load of best_busy */
    bool is_queued;
    struct base_span admission_span;
    /* running */
    uint64_t contract;            /* contract id; 0: none, or released */
    bool is_local_share;          /* granted without the server's owner */
    bool is_late_reported;        /* the first token was reported as late */
    bool is_first_token_reported; /* the policy received the time of the first
                                     token */
    bool is_complete;             /* the end of the response was seen */
    struct base_handle call;
    struct base_span span;
    int64_t sent_us;
    int64_t first_token_us; /* first token: time after sent_us; 0: none */
    int64_t last_token_us;  /* time of the last token, on base_clock_us */
    int tokens;
    /* response */
    int status;
    char *content_type; /* of the response; "": none */
    bool is_event_stream;
    enum base_verdict verdict; /* valid when the call has ended */
    bool is_resumed;           /* the response continues an earlier one */
    int resumed_from;          /* number of the first token requested */
    bool has_finish_reason;    /* a chunk with a finish_reason arrived */
    /* The user of the exchange fills these; attempt_free frees them. */
    GPtrArray *relayed_headers; /* response headers to copy to the caller */
    GString *buffered_body;     /* body bytes not parsed or relayed yet */
    GString *pending_output;    /* bytes for the caller if this attempt wins */
};

enum attempt_end {
    ATTEMPT_COMPLETE, /* the response can be sent to the caller */
    ATTEMPT_BROKEN    /* failed; retried if that is allowed */
};

struct exchange_ops {
    /* Called when the head of an attempt's response has arrived. */
    void (*head)(struct exchange *exchange, struct attempt *attempt);
    /* Receives bytes of the response's body.  It may call exchange_try_win,
     * exchange_complete or exchange_fail_attempt. */
    void (*body)(struct exchange *exchange, struct attempt *attempt,
                 const char *data, size_t size);
    /* Called when the attempt's call ended; judges the response. */
    enum attempt_end (*ended)(struct exchange *exchange,
                              struct attempt *attempt,
                              const struct backends_result *result);
    /* Called when the response is complete; responds to the caller. */
    void (*completed)(struct exchange *exchange, struct attempt *attempt);
    /* Called when no attempt succeeded; sends the error to the caller. */
    void (*failed)(struct exchange *exchange, const struct front_fault *fault,
                   const char *text);
};

struct exchange {
    const struct exchange_ops *ops;
    struct front *front;
    struct front_request *request;
    struct world *world;
    struct place_request choice; /* server selection request */
    int operator_index;
    /* request */
    const char *method;
    char *path;
    char *content_type; /* NULL: JSON */
    const char *body;   /* not owned */
    size_t body_size;
    /* site protocol only */
    const struct front_protocol *protocol; /* NULL: Cardamompick's own API */
    const char *host;                      /* Host header; not owned */
    GPtrArray *headers;                    /* name, value, ... */
    int max_runs;                          /* limit of n_runs; 0: none */
    int64_t target_ms;  /* target time to first event or byte; 0: none */
    int64_t earlier_ms; /* the caller's wait before this node had it */
    /* Longest pause in the response after its first event; 0: the limits'
     * silence_ms. */
    int64_t silence_ms;
    int64_t first_output_ms;  /* timeout of first event or byte; 0: default */
    const char *resume_after; /* id of the last event; NULL: none */
    struct quarantine_parts parts; /* of the prompt, at the deployment */
    /* for the estimate of the work; site protocol only */
    char route[FRONT_NAME_SIZE];
    int input_tokens;  /* of the prompt; 0: unknown */
    int output_tokens; /* upper limit; 0: unknown */
    /* progress */
    struct attempt *active[EXCHANGE_MAX_PARALLEL]; /* NULL: none */
    struct attempt *winner; /* its response goes to the caller */
    int n_attempts;         /* attempts sent so far */
    int n_runs;             /* attempts that the server may have run */
    int n_crashes;          /* attempts on servers that seem to have crashed */
    int64_t retry_after_ms; /* for the caller of a refusal; 0: default */
    bool was_hedged;
    bool is_ended;
    bool is_committed; /* part of a response that can't resume was sent */
    bool needs_resume; /* the next attempt skips the first `tokens` tokens */
    int tokens;        /* tokens or events relayed so far */
    int64_t first_relayed_us; /* time of the first token, on base_clock_us */
    int64_t last_relayed_us;  /* time of the last token, on base_clock_us */
    int64_t longest_gap_us;
    enum base_verdict verdict; /* highest verdict of the failed attempts */
    char last_error[128];
    lws_sorted_usec_list_t hedge_timer;
    lws_sorted_usec_list_t deadline_timer;
};

void exchange_init(struct exchange *exchange, const struct exchange_ops *ops,
                   struct front_request *request, int deployment);
void exchange_identify(struct exchange *exchange);
void exchange_start(struct exchange *exchange);
void exchange_cancel(struct exchange *exchange);
void exchange_finish(struct exchange *exchange);
bool exchange_try_win(struct exchange *exchange, struct attempt *attempt);
void exchange_count_token(struct exchange *exchange, struct attempt *attempt);
void exchange_complete(struct exchange *exchange, struct attempt *attempt);
void exchange_fail_attempt(struct exchange *exchange, struct attempt *attempt,
                           const char *why);

/* hedge.c: detects and reports late first tokens */
void exchange_watch_first_token(struct exchange *exchange);
void exchange_report_first_token(struct exchange *exchange,
                                 struct attempt *attempt);

/* exchange.c, called by hedge.c */
bool exchange_may_retry(struct exchange *exchange, enum base_verdict verdict);
void exchange_note_tried(struct exchange *exchange, int server);

/* attempt.c, called by exchange.c and hedge.c */
void attempt_start(struct exchange *exchange, bool is_hedge);
enum base_verdict attempt_stop(struct attempt *attempt, bool is_servers_fault);
void attempt_release_contract(struct attempt *attempt, bool is_servers_fault);
void attempt_free(struct attempt *attempt);

/* cost.c, called by attempt.c */
int64_t exchange_expected_work(struct exchange *exchange);
void attempt_learn_work(const struct attempt *attempt, int64_t now_us);

/* exchange.c, called by attempt.c */
void exchange_sync_world(struct exchange *exchange);
bool exchange_refuse_if_blocked(struct exchange *exchange);
void exchange_on_no_contract(struct exchange *exchange,
                             struct attempt *attempt,
                             enum contracts_answer answer);
void exchange_on_attempt_sent(struct exchange *exchange,
                              struct attempt *attempt);
void exchange_on_attempt_done(struct exchange *exchange,
                              struct attempt *attempt,
                              const struct backends_result *result);

#endif
