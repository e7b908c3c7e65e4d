#include "ctl/ctl.h"

#include <string.h>

/* Fills out with the options --node, --token and --ca, and returns it.  The
 * defaults in target come from the environment. */
const GOptionEntry *
ctl_target_entries(struct ctl_target *target, GOptionEntry out[4])
{
    const GOptionEntry entries[4] = {
        {"node", 'n', 0, G_OPTION_ARG_STRING, &target->node,
         "URL of a node; default $CARDAMOM_NODE or http://127.0.0.1:8080",
         "URL"},
        {"token", 't', 0, G_OPTION_ARG_STRING, &target->token,
         "API key; default $CARDAMOM_TOKEN", "KEY"},
        {"ca", 0, 0, G_OPTION_ARG_FILENAME, &target->ca_file,
         "CA certificates for https; default the system's", "FILE"},
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };

    target->node = g_strdup(g_getenv("CARDAMOM_NODE"));
    target->token = g_strdup(g_getenv("CARDAMOM_TOKEN"));
    memcpy(out, entries, sizeof(entries));
    return out;
}

/* Sends one request for path to the target's node, by default
 * http://127.0.0.1:8080.  Returns as ctl_http_run.  Body is JSON text; if it
 * is NULL, the body that the caller set in http is sent. */
bool
ctl_target_run(const struct ctl_target *target, const char *method,
               const char *path, const char *body, struct ctl_http *http,
               struct base_error *err)
{
    const char *node =
        target->node != NULL ? target->node : "http://127.0.0.1:8080";
    char *url = g_strconcat(node, path, NULL);
    bool is_ok;

    http->url = url;
    http->method = method;
    http->token = target->token;
    http->ca_file = target->ca_file;
    if (body != NULL) {
        http->body = body;
        http->body_size = strlen(body);
    }
    is_ok = ctl_http_run(http, err);
    http->url = NULL;
    g_free(url);
    return is_ok;
}

/* Frees the options. */
void
ctl_target_finish(struct ctl_target *target)
{
    g_free(target->node);
    g_free(target->token);
    g_free(target->ca_file);
}
