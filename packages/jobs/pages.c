#include "jobs/jobs_private.h"

#include <string.h>

/* A read of all records with a prefix, page by page, so that the memory for it
 * does not grow with their number. */
struct page_read {
    char *prefix;
    const struct jobs_pages_ops *ops;
    void *context;
};

static void read_page(struct jobs *jobs, struct page_read *read,
                      const char *after);

static const char *
last_key(const struct platform_kv *kv)
{
    const struct platform_entry *last =
        kv->entries->len > 0 ? kv->entries->pdata[kv->entries->len - 1] : NULL;

    return last != NULL ? last->key : "";
}

/* Fails the read if it would be endless or the task stops. */
static void
check_next(struct jobs *jobs, struct platform_kv *kv)
{
    const char *after = kv->after != NULL ? kv->after : "";

    if (kv->status != PLATFORM_OK || !kv->has_more) {
        return;
    }
    if (strcmp(last_key(kv), after) <= 0) {
        base_error_set(&kv->err, BASE_UNAVAILABLE,
                       "the page after %s does not lead on", after);
    }
    else if (base_task_is_stopping(&jobs->task)) {
        base_error_set(&kv->err, BASE_UNAVAILABLE, "this node is stopping");
    }
    else {
        return;
    }
    kv->status = PLATFORM_UNAVAILABLE;
    kv->verdict = BASE_NOT_RUN;
}

static void
on_page(struct jobs *jobs, struct platform_kv *kv, void *context)
{
    struct page_read *read = context;

    check_next(jobs, kv);
    if (kv->status == PLATFORM_OK) {
        read->ops->on_page(jobs, kv, read->context);
    }
    if (kv->status == PLATFORM_OK && kv->has_more) {
        read_page(jobs, read, last_key(kv));
        return;
    }
    read->ops->on_end(jobs, kv, read->context);
    g_free(read->prefix);
    g_free(read);
}

static void
read_page(struct jobs *jobs, struct page_read *read, const char *after)
{
    struct platform_kv *kv = platform_kv_new(PLATFORM_LIST, read->prefix);

    kv->limit = JOBS_PAGE_ENTRIES;
    kv->after = g_strdup(after);
    jobs_kv_send(jobs, kv, (struct jobs_kv_callback){on_page, read});
}

/* Reads the records whose keys begin with `prefix`, in the order of their
 * keys.  The pages are read one after the other: records that are written
 * meanwhile may be missing. */
void
jobs_read_pages(struct jobs *jobs, const char *prefix,
                const struct jobs_pages_ops *ops, void *context)
{
    struct page_read *read = g_new0(struct page_read, 1);

    read->prefix = g_strdup(prefix);
    read->ops = ops;
    read->context = context;
    read_page(jobs, read, NULL);
}
