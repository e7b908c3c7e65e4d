/*
 * load_check: checks that a response is complete and belongs to the request
 * that was sent, and records when its tokens arrived.  The body is either a
 * stream of server-sent events or one JSON object.
 *
 *     load_check_init(&check, expected_tokens, is_stream, gaps);
 *     ... set check.id, check.checks_tokens and check.prompt_digest ...
 *     load_check_feed(&check, data, size, now_us);   for each piece
 *     verdict = load_check_end(&check, status, ran, is_complete);
 *     load_check_finish(&check);
 */
#ifndef CARDAMOM_CTL_LOAD_CHECK_H
#define CARDAMOM_CTL_LOAD_CHECK_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

enum { LOAD_ID_SIZE = 96 };

/* The outcome of one request. */
enum load_verdict {
    LOAD_OK,
    LOAD_REFUSED_NO,    /* error status, x-cardamompick-ran: no */
    LOAD_REFUSED_MAYBE, /* error status, x-cardamompick-ran: maybe */
    LOAD_REFUSED_YES,   /* error status, x-cardamompick-ran: yes */
    LOAD_ERROR_EVENT,   /* the stream contained an error event */
    LOAD_FAILED,        /* no response, or error status without that header */
    LOAD_CUT,           /* ended early without an error event */
    LOAD_WRONG,         /* wrong id, malformed, or wrong tokens */
    LOAD_N_VERDICTS,
};

struct load_check {
    char id[LOAD_ID_SIZE]; /* expected "id" of the response */
    int expected_tokens;
    bool is_stream;
    bool checks_tokens;    /* compare texts with the stand-in engine's */
    char prompt_digest[9]; /* first hex digits of the prompt's SHA-256 */
    GString *pending;      /* bytes not parsed yet */
    int n_tokens;          /* received */
    bool is_done;          /* [DONE] received, or a JSON response parsed */
    bool is_finished;      /* a finish_reason received */
    bool has_error;        /* an error event received */
    char fault[96];        /* why the response is wrong; empty: not wrong */
    int64_t first_token_us;
    int64_t last_token_us;
    GArray *gaps; /* float, ms between tokens; shared by all requests */
};

const char *load_verdict_name(enum load_verdict verdict);
void load_check_init(struct load_check *check, int expected_tokens,
                     bool is_stream, GArray *gaps);
void load_check_finish(struct load_check *check);
void load_check_feed(struct load_check *check, const char *data, size_t size,
                     int64_t now_us);
enum load_verdict load_check_end(struct load_check *check, int status,
                                 const char *ran, bool is_complete);

#ifdef __cplusplus
}
#endif

#endif
