#include "jobs/jobs_private.h"

#include <string.h>

/* Reads of a job's results from the key-value service, from a position on:
 * results may be larger than what the link to the service carries in the time
 * of a call, or than this node should hold. */

struct stored_read {
    char id[JOBS_ID_SIZE];
    int position; /* of the first result that is wanted */
    struct jobs_stored_callback callback;
    struct jobs_stored_results out;
};

static void
end_read(struct jobs *jobs, struct stored_read *read)
{
    read->callback.on_done(jobs, &read->out, read->callback.context);
    if (read->out.results != NULL) {
        g_ptr_array_free(read->out.results, TRUE);
    }
    g_free(read);
}

static void
fail_read(struct jobs *jobs, struct stored_read *read,
          const struct base_error *err)
{
    base_log_error("jobs.results_unreadable", err, "id=%s position=%d",
                   read->id, read->position);
    read->out.is_ok = false;
    read->out.err = *err;
    end_read(jobs, read);
}

static int
count_whole(const GPtrArray *results)
{
    return (int)results->len - (jobs_results_are_whole(results) ? 0 : 1);
}

/* Frees the whole results before the wanted position. */
static void
drop_earlier(struct stored_read *read)
{
    int n_earlier =
        MIN(read->position - read->out.first, count_whole(read->out.results));

    if (n_earlier > 0) {
        g_ptr_array_remove_range(read->out.results, 0, (guint)n_earlier);
        read->out.first += n_earlier;
    }
}

static bool
decode_page(struct stored_read *read, const struct platform_kv *kv,
            struct base_error *err)
{
    for (guint i = 0; i < kv->entries->len; i++) {
        const struct platform_entry *entry = kv->entries->pdata[i];
        if (jobs_checkpoint_number(entry->key) >= 0) {
            continue;
        }
        if (!jobs_results_decode(entry->value, read->out.results, err)) {
            return false;
        }
        drop_earlier(read);
    }
    if (!kv->has_more && !jobs_results_are_whole(read->out.results)) {
        base_error_set(err, BASE_CORRUPT,
                       "the rest of the last result is not stored");
        return false;
    }
    return true;
}

static void send_page(struct jobs *jobs, struct stored_read *read,
                      const char *after);

static void
on_page(struct jobs *jobs, struct platform_kv *kv, void *context)
{
    struct stored_read *read = context;
    GPtrArray *results = read->out.results;
    struct base_error err = {0};

    if (kv->status != PLATFORM_OK) {
        fail_read(jobs, read, &kv->err);
        return;
    }
    if (!decode_page(read, kv, &err)) {
        fail_read(jobs, read, &err);
        return;
    }
    if (kv->has_more && kv->entries->len > 0 && count_whole(results) == 0) {
        const struct platform_entry *last =
            kv->entries->pdata[kv->entries->len - 1];
        send_page(jobs, read, last->key);
        return;
    }
    g_ptr_array_set_size(results, count_whole(results));
    read->out.is_all = read->position == 0 && !kv->has_more;
    read->out.is_ok = true;
    end_read(jobs, read);
}

static void
send_page(struct jobs *jobs, struct stored_read *read, const char *after)
{
    char *prefix = g_strconcat(JOBS_RESULTS_PREFIX, read->id, "/", NULL);
    struct platform_kv *kv = platform_kv_new(PLATFORM_LIST, prefix);

    kv->limit = JOBS_PAGE_PIECES;
    kv->after = g_strdup(after);
    g_free(prefix);
    jobs_kv_read(jobs, kv, jobs->limits->value_bytes,
                 (struct jobs_kv_callback){on_page, read});
}

/* Reads results of a job from a position on, as many as one call returns and
 * at least one if there are any. */
void
jobs_stored_read(struct jobs *jobs, const struct jobs_head *head, int position,
                 struct jobs_stored_callback callback)
{
    struct stored_read *read = g_new0(struct stored_read, 1);
    int piece = jobs_head_find_piece(head, position);
    char *after =
        piece == 0 ? NULL
                   : jobs_piece_key(JOBS_RESULTS_PREFIX, head->id, piece - 1);

    g_strlcpy(read->id, head->id, sizeof(read->id));
    read->position = position;
    read->callback = callback;
    read->out.first = jobs_head_piece_start(head, piece);
    read->out.results = g_ptr_array_new_with_free_func(jobs_result_free);
    send_page(jobs, read, after);
    g_free(after);
}
