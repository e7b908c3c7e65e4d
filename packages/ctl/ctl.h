/*
 * ctl: `cardamomctl`, the command-line program for operators and callers.
 *
 * Each command is a function that gets the command line from the command's
 * name on: argv[0] is "config", "batch" and so on.  It writes its result to
 * standard output and errors to standard error, and returns an exit code of
 * enum ctl_exit.
 *
 * Commands send HTTP requests like this:
 *
 *     struct ctl_http http = {.url = url, .method = "GET", .token = key};
 *     if (!ctl_http_run(&http, &err)) { ... }
 *     ... http.status, http.response->str ...
 *     ctl_http_finish(&http);
 */
#ifndef CARDAMOM_CTL_H
#define CARDAMOM_CTL_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

enum ctl_exit {
    CTL_OK = 0,
    CTL_FAILED = 1,      /* request refused, or the work failed */
    CTL_USAGE = 2,       /* invalid command line */
    CTL_UNREACHABLE = 3, /* no complete response from a node */
    CTL_CONFLICT = 4,    /* HTTP 409, such as another operator's change */
    CTL_WARNED = 5,      /* a check had warnings and no errors */
};

struct world_problems;

/* A site's configuration, as the software around the site writes it. */
struct ctl_site_format {
    /* Whether a document is one. */
    bool (*is_config)(const char *text, size_t size);
    void (*check)(const char *text, size_t size,
                  struct world_problems *problems);
    int64_t (*version)(const char *text, size_t size);
    /* Returns a copy that may be shown; the caller frees it with g_free(). */
    char *(*hide_keys)(const char *text, size_t size);
};

void ctl_set_site_format(const struct ctl_site_format *format);
int ctl_check(const char *name, const char *against);

int ctl_config(int argc, char **argv);
int ctl_batch(int argc, char **argv);
int ctl_load(int argc, char **argv);
int ctl_report(int argc, char **argv);
int ctl_status(int argc, char **argv);
int ctl_trace(int argc, char **argv);
int ctl_keys(int argc, char **argv);
int ctl_completion(int argc, char **argv);

/* One HTTP request, which ctl_http_run completes on the calling thread. */
struct ctl_http {
    /* request */
    const char *url; /* http://HOST:PORT/PATH or https:// */
    const char *method;
    const char *token;          /* API key; NULL: none */
    const char *content_type;   /* NULL: application/json */
    const char *const *headers; /* name, value, ..., NULL; may be NULL */
    const char *body;
    size_t body_size;
    const char *ca_file; /* NULL: the system's certificates */
    int64_t timeout_ms;  /* longest time without progress; 0: 10 s */
    /* Receives the response body in pieces as they arrive; if NULL, the body
     * is collected in `response`. */
    void (*sink)(void *context, const char *data, size_t size);
    void *sink_context;
    /* response */
    int status;        /* HTTP status */
    GString *response; /* body, empty if a sink received it */
    char ran[8];       /* x-cardamompick-ran header; empty: none */
};

bool ctl_http_run(struct ctl_http *http, struct base_error *err);
void ctl_http_finish(struct ctl_http *http);

/* Options common to the commands that send requests to a node. */
struct ctl_target {
    char *node;    /* --node URL, or $CARDAMOM_NODE */
    char *token;   /* --token KEY, or $CARDAMOM_TOKEN */
    char *ca_file; /* --ca FILE */
};

const GOptionEntry *ctl_target_entries(struct ctl_target *target,
                                       GOptionEntry out[4]);
bool ctl_target_run(const struct ctl_target *target, const char *method,
                    const char *path, const char *body, struct ctl_http *http,
                    struct base_error *err);
void ctl_target_finish(struct ctl_target *target);

#ifdef __cplusplus
}
#endif

#endif
