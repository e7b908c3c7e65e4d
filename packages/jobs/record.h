/*
 * record: the keys and values that a job has in the key-value service.  Does
 * no I/O.
 *
 *   jobs/a/h/ID        head of a job with open items; every write of the job
 *                      is conditional on its revision
 *   jobs/d/ID          head of a job that is complete or has ended; moved here
 *                      so that scans of open jobs stay short
 *   jobs/a/n/NODE#LIFE entry of a live runner, bound to its lease; LIFE is
 *                      the start time of the process, wall ms
 *   jobs/x/ID/S        refusal of the submission S of a job: its absence is a
 *                      condition of the acceptance, so that a node which
 *                      receives the submission late does not accept it
 *   jobs/i/ID/N        submitted text, compressed and split into pieces
 *   jobs/r/ID/N        results in the order of their positions, compressed;
 *                      the text of a large one goes on in the next pieces,
 *                      which the same transaction writes
 *   jobs/r/ID/partial, jobs/r/ID/partial.N
 *                      checkpoint: partial outputs and failure counts of
 *                      unfinished items, from which the next runner resumes.
 *                      Pieces of one checkpoint have one revision; others are
 *                      ignored.  It may be missing or outdated; the items
 *                      then repeat more of their work
 *
 * No value is above the service's limit: jobs_piece_bytes tells how much of a
 * text or of results a piece may hold.
 */
#ifndef CARDAMOM_JOBS_RECORD_H
#define CARDAMOM_JOBS_RECORD_H

#include "jobs/jobs.h"

#ifdef __cplusplus
extern "C" {
#endif

enum { JOBS_RUNNER_SIZE = MEMBERS_NAME_SIZE + 24 };

#define JOBS_ACTIVE_PREFIX "jobs/a/"
#define JOBS_HEAD_PREFIX "jobs/a/h/"
#define JOBS_NODE_PREFIX "jobs/a/n/"
#define JOBS_DONE_PREFIX "jobs/d/"
/* Values of a runner's entry. */
#define JOBS_RUNNER_READY "ready"
#define JOBS_RUNNER_LEAVING "leaving" /* still has jobs, accepts none */
#define JOBS_REFUSAL_PREFIX "jobs/x/"
#define JOBS_INPUT_PREFIX "jobs/i/"
#define JOBS_RESULTS_PREFIX "jobs/r/"

/* An entry in a job's list of results. */
struct jobs_listed {
    int item;          /* index in the job */
    bool is_completed; /* false: the item was given up */
};

/* The head record of a job. */
struct jobs_head {
    char id[JOBS_ID_SIZE];
    char *host;
    char *path;
    char *route; /* name of the route */
    /* Operator that submitted the job; "": any caller may read and end it. */
    char operator_name[WORLD_OPERATOR_NAME_SIZE];
    int64_t submitted_ms; /* wall clock */
    /* Revision of the configuration that had the route; 0: unknown. */
    int64_t config_revision;
    char *region; /* of the node that the client submitted to; "": unknown */
    char runner[JOBS_RUNNER_SIZE]; /* NODE#LIFE; empty: none */
    int64_t epoch;                 /* incremented by each claim */
    bool is_ended;                 /* the client has ended the job */
    int n_input_pieces;
    /* Memory that the job takes at its runner; 0: unknown, as an earlier
     * version of this program wrote the head. */
    int64_t input_bytes;
    int n_result_pieces;
    GArray *tokens; /* of int64_t, by item index */
    GArray *listed; /* of struct jobs_listed, by position */
    /* Of int, by piece of the results: position of the first result of the
     * commit that wrote the piece.  Empty if an earlier version of this
     * program wrote some of the pieces. */
    GArray *piece_starts;
};

void jobs_head_init(struct jobs_head *head, const char *id);
void jobs_head_finish(struct jobs_head *head);
void jobs_head_copy(struct jobs_head *to, const struct jobs_head *from);
GBytes *jobs_head_encode(const struct jobs_head *head);
bool jobs_head_decode(const char *id, GBytes *bytes, struct jobs_head *out,
                      struct base_error *err);
bool jobs_head_is_open(const struct jobs_head *head);
bool jobs_head_admits(const struct jobs_head *head, const char *operator_name);
int64_t jobs_head_waiting_tokens(const struct jobs_head *head);
void jobs_head_add_pieces(struct jobs_head *head, int n_pieces, int first);
int jobs_head_find_piece(const struct jobs_head *head, int position);
int jobs_head_piece_start(const struct jobs_head *head, int piece);

char *jobs_head_key(const char *id);
char *jobs_done_key(const char *id);
char *jobs_refusal_key(const char *id, const char *submission);
char *jobs_piece_key(const char *prefix, const char *id, int number);

int64_t jobs_piece_bytes(const struct platform_limits *limits);
int64_t jobs_result_bytes(const char *id, size_t size);
GPtrArray *jobs_results_split(const GPtrArray *results, int64_t piece_bytes);
bool jobs_results_are_whole(const GPtrArray *results);
GBytes *jobs_results_encode(const GPtrArray *results);
bool jobs_results_decode(GBytes *bytes, GPtrArray *out,
                         struct base_error *err);
void jobs_result_free(gpointer data);
struct jobs_result *jobs_result_new(const char *id, bool is_completed,
                                    const char *text, size_t size);
int jobs_checkpoint_number(const char *key);
char *jobs_checkpoint_key(const char *id, int number);
GPtrArray *jobs_text_split(GBytes *text, int64_t piece_bytes);
GBytes *jobs_text_join(const GPtrArray *pieces, struct base_error *err);

#ifdef __cplusplus
}
#endif

#endif
