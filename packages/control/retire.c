#include "control/control_private.h"

#include <string.h>

/* Retirement of this host at the request of the site's operator.  On a site
 * the hosts store nothing that would be lost, as jobs and their results are in
 * the key-value service.  So the node only stops accepting new work, which
 * moves the servers that it owns and the jobs that it runs to other nodes, and
 * then reports that it is retired. */
enum {
    HANDOVER_MS = 300, /* time to hand admission tables to the new owners */
    RETRY_MS = 500,
};

static void
on_report_done(struct platform_kv *kv, void *task_state)
{
    struct control *control = task_state;
    struct control_retire *retire = &control->retire;

    control->n_platform_calls--;
    retire->is_reporting = false;
    /* A conflict means that the report is stored already. */
    retire->is_reported =
        kv->status == PLATFORM_OK || kv->status == PLATFORM_CONFLICT;
    retire->next_report_ms = base_clock_ms() + RETRY_MS;
    if (retire->is_reported) {
        base_log(BASE_LOG_NOTICE, "node.retired", "status=%d", kv->status);
    }
    platform_kv_free(kv);
}

static void
report_retired(struct control *control)
{
    const struct world_source *source = control->source;
    char *key = g_strconcat(source->retired_prefix, control->node, NULL);
    struct platform_kv *kv = platform_kv_new(PLATFORM_PUT_IF, key);

    kv->expect_revision = PLATFORM_ABSENT;
    kv->is_plain = true;
    kv->value =
        g_bytes_new_static(source->retired_text, strlen(source->retired_text));
    g_free(key);
    control->retire.is_reporting = true;
    control->n_platform_calls++;
    platform_kv_send(control->platform, kv, &control->task, on_report_done);
}

static void
begin_retiring(struct control *control)
{
    if (control->retire.is_requested) {
        return;
    }
    base_log(BASE_LOG_NOTICE, "node.retiring", "node=%s", control->node);
    control->retire.is_requested = true;
    control->retire.next_report_ms = base_clock_ms() + HANDOVER_MS;
    control_gossip_leave(control, false);
}

static void
on_retire_event(struct platform_event *event, void *task_state)
{
    struct control *control = task_state;
    char *key =
        g_strconcat(control->source->retire_prefix, control->node, NULL);

    control->now_ms = base_clock_ms();
    for (guint i = 0; event->listing != NULL && i < event->listing->len; i++) {
        const struct platform_entry *entry = event->listing->pdata[i];
        if (strcmp(entry->key, key) == 0) {
            begin_retiring(control);
        }
    }
    if (!event->is_reset && !event->is_regained && !event->is_delete &&
        g_strcmp0(event->entry.key, key) == 0) {
        begin_retiring(control);
    }
    g_free(key);
}

/* Starts or stops watching for the request to retire this host. */
void
control_retire_watch(struct control *control, bool is_on)
{
    struct control_retire *retire = &control->retire;

    if (control->platform == NULL || control->source == NULL ||
        !control->may_retire || is_on == (retire->watch != 0)) {
        return;
    }
    if (is_on) {
        char *key =
            g_strconcat(control->source->retire_prefix, control->node, NULL);
        retire->watch = platform_watch(control->platform, key, &control->task,
                                       NULL, on_retire_event);
        g_free(key);
    }
    else {
        platform_unwatch(control->platform, retire->watch);
        retire->watch = 0;
    }
}

static bool
is_emptied(const struct control *control)
{
    const struct control_listener *listener = &control->listener;

    return listener->is_emptied == NULL ||
           listener->is_emptied(listener->context);
}

/* Reports to the operator that the host is retired, at least HANDOVER_MS after
 * the operator's request and once no work is left here; repeats the report
 * until it is stored. */
void
control_retire_tick(struct control *control)
{
    const struct control_retire *retire = &control->retire;

    if (retire->is_requested && !retire->is_reported &&
        !retire->is_reporting && control->now_ms >= retire->next_report_ms &&
        is_emptied(control)) {
        report_retired(control);
    }
}
