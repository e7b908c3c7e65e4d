#include "platform/codec.h"

#include <inttypes.h>
#include <jansson.h>
#include <string.h>

/* A stored value is "w:<16 hexadecimal digits>\n", the identity of its write,
 * followed by the caller's bytes. */
enum { ID_DIGITS = 16, ID_SIZE = PLATFORM_IDENTITY_BYTES };
G_STATIC_ASSERT((int)ID_SIZE == 2 + (int)ID_DIGITS + 1);

enum { MS_PER_S = 1000 };

/* Returns the path of an operation on the etcd gateway. */
const char *
platform_path(enum platform_op op)
{
    switch (op) {
    case PLATFORM_GET:
    case PLATFORM_LIST:
        return "/v3/kv/range";
    case PLATFORM_PUT_IF:
    case PLATFORM_DELETE_IF:
    case PLATFORM_TXN:
        return "/v3/kv/txn";
    case PLATFORM_LEASE_GRANT:
        return "/v3/lease/grant";
    case PLATFORM_LEASE_KEEP:
        return "/v3/lease/keepalive";
    case PLATFORM_LEASE_REVOKE:
        return "/v3/lease/revoke";
    }
    return "/";
}

/* Returns the name of an operation as a label of counters. */
const char *
platform_op_name(enum platform_op op)
{
    switch (op) {
    case PLATFORM_GET:
        return "get";
    case PLATFORM_LIST:
        return "list";
    case PLATFORM_PUT_IF:
        return "put";
    case PLATFORM_DELETE_IF:
        return "delete";
    case PLATFORM_TXN:
        return "txn";
    case PLATFORM_LEASE_GRANT:
        return "lease_grant";
    case PLATFORM_LEASE_KEEP:
        return "lease_keep";
    case PLATFORM_LEASE_REVOKE:
        return "lease_revoke";
    }
    return "unknown";
}

/* Returns whether an operation changes records or leases. */
bool
platform_is_write(enum platform_op op)
{
    return op != PLATFORM_GET && op != PLATFORM_LIST;
}

static void
append_bytes(GString *out, const char *name, const void *data, size_t size)
{
    char *text = g_base64_encode(data, size);

    g_string_append_printf(out, "\"%s\":\"%s\"", name, text);
    g_free(text);
}

static void
append_key(GString *out, const char *key)
{
    append_bytes(out, "key", key, strlen(key));
}

/* Appends the end of a prefix's range: the first key after all keys with the
 * prefix. */
static void
append_range_end(GString *out, const char *prefix)
{
    char *end = g_strdup(prefix);
    size_t size = strlen(end);

    while (size > 0 && (unsigned char)end[size - 1] == 0xff) {
        size--;
    }
    if (size == 0) {
        append_bytes(out, "range_end", "\0", 1);
    }
    else {
        end[size - 1] = (char)((unsigned char)end[size - 1] + 1);
        append_bytes(out, "range_end", end, size);
    }
    g_free(end);
}

static void
encode_list(const struct platform_kv *kv, GString *out)
{
    int64_t limit = kv->limit > 0 ? kv->limit : PLATFORM_PAGE_ENTRIES;

    if (kv->after != NULL && strcmp(kv->after, kv->key) >= 0) {
        /* The range starts at the next key: `after` and a zero byte. */
        append_bytes(out, "key", kv->after, strlen(kv->after) + 1);
    }
    else {
        append_key(out, kv->key);
    }
    g_string_append_c(out, ',');
    append_range_end(out, kv->key);
    g_string_append_printf(out, ",\"limit\":\"%" PRId64 "\"", limit);
}

/* Makes the value to store: the write's identity unless the write is plain,
 * then the bytes of `value`.  The caller frees it. */
GByteArray *
platform_stored_value(const struct platform_kv *kv, GBytes *value)
{
    size_t size = 0;
    const void *data = value != NULL ? g_bytes_get_data(value, &size) : NULL;
    GByteArray *stored = g_byte_array_sized_new((guint)(ID_SIZE + size));

    if (!kv->is_plain) {
        g_byte_array_append(stored, (const guint8 *)"w:", 2);
        g_byte_array_append(stored, (const guint8 *)kv->write_id, ID_DIGITS);
        g_byte_array_append(stored, (const guint8 *)"\n", 1);
    }
    g_byte_array_append(stored, data, (guint)size);
    return stored;
}

static void
append_put(const struct platform_kv *kv, const char *key, GBytes *value,
           int64_t lease, GString *out)
{
    GByteArray *stored = platform_stored_value(kv, value);

    g_string_append(out, "{\"request_put\":{");
    append_key(out, key);
    g_string_append_c(out, ',');
    append_bytes(out, "value", stored->data, stored->len);
    if (lease != 0) {
        g_string_append_printf(out, ",\"lease\":\"%" PRId64 "\"", lease);
    }
    g_string_append(out, "}}");
    g_byte_array_free(stored, TRUE);
}

static void
append_delete(const char *key, GString *out)
{
    g_string_append(out, "{\"request_delete_range\":{");
    append_key(out, key);
    g_string_append(out, "}}");
}

static void
append_compare(const char *key, int64_t revision, GString *out)
{
    g_string_append_c(out, '{');
    append_key(out, key);
    g_string_append_printf(out,
                           ",\"target\":\"MOD\",\"result\":\"EQUAL\","
                           "\"mod_revision\":\"%" PRId64 "\"}",
                           revision);
}

static void
append_range(const char *key, GString *out)
{
    g_string_append(out, "{\"request_range\":{");
    append_key(out, key);
    g_string_append(out, "}}");
}

static void
encode_multi_key_txn(const struct platform_kv *kv, GString *out)
{
    g_string_append(out, "\"compare\":[");
    for (guint i = 0; i < kv->conditions->len; i++) {
        const struct platform_condition *condition = kv->conditions->pdata[i];
        g_string_append(out, i > 0 ? "," : "");
        append_compare(condition->key, condition->revision, out);
    }
    g_string_append(out, "],\"success\":[");
    for (guint i = 0; i < kv->writes->len; i++) {
        const struct platform_write *write = kv->writes->pdata[i];
        g_string_append(out, i > 0 ? "," : "");
        if (write->value != NULL) {
            append_put(kv, write->key, write->value, write->lease, out);
        }
        else {
            append_delete(write->key, out);
        }
    }
    g_string_append(out, "],\"failure\":[");
    for (guint i = 0; i < kv->conditions->len; i++) {
        const struct platform_condition *condition = kv->conditions->pdata[i];
        g_string_append(out, i > 0 ? "," : "");
        append_range(condition->key, out);
    }
    g_string_append_c(out, ']');
}

static void
encode_single_key_txn(const struct platform_kv *kv, GString *out)
{
    if (kv->expect_revision != PLATFORM_ANY) {
        g_string_append(out, "\"compare\":[");
        append_compare(kv->key, kv->expect_revision, out);
        g_string_append(out, "],");
    }
    g_string_append(out, "\"success\":[");
    if (kv->op == PLATFORM_PUT_IF) {
        append_put(kv, kv->key, kv->value, kv->lease, out);
    }
    else {
        append_delete(kv->key, out);
    }
    g_string_append(out, "],\"failure\":[");
    append_range(kv->key, out);
    g_string_append_c(out, ']');
}

/* Makes the request body of an operation; the caller frees it. */
GString *
platform_encode(const struct platform_kv *kv)
{
    GString *out = g_string_new("{");

    switch (kv->op) {
    case PLATFORM_GET:
        append_key(out, kv->key);
        break;
    case PLATFORM_LIST:
        encode_list(kv, out);
        break;
    case PLATFORM_PUT_IF:
    case PLATFORM_DELETE_IF:
        encode_single_key_txn(kv, out);
        break;
    case PLATFORM_TXN:
        encode_multi_key_txn(kv, out);
        break;
    case PLATFORM_LEASE_GRANT:
        g_string_append_printf(out, "\"TTL\":\"%" PRId64 "\",",
                               (kv->ttl_ms + MS_PER_S - 1) / MS_PER_S);
        /* fall through */
    case PLATFORM_LEASE_KEEP:
    case PLATFORM_LEASE_REVOKE:
        g_string_append_printf(out, "\"ID\":\"%" PRId64 "\"", kv->lease);
        break;
    }
    g_string_append_c(out, '}');
    return out;
}

/* Returns a number, or 0 if it is missing.  The gateway writes 64-bit numbers
 * as strings and omits zeros. */
static int64_t
get_number(const json_t *object, const char *name)
{
    const json_t *value = json_object_get(object, name);

    if (json_is_integer(value)) {
        return json_integer_value(value);
    }
    return json_is_string(value)
               ? g_ascii_strtoll(json_string_value(value), NULL, 10)
               : 0;
}

static guchar *
get_bytes(const json_t *object, const char *name, gsize *size)
{
    const json_t *value = json_object_get(object, name);

    *size = 0;
    if (!json_is_string(value)) {
        return NULL;
    }
    return g_base64_decode(json_string_value(value), size);
}

static bool
has_identity(const guchar *value, size_t size)
{
    return size >= ID_SIZE && memcmp(value, "w:", 2) == 0 &&
           value[ID_SIZE - 1] == '\n';
}

/* Splits a stored value into entry->value and the identity of its write;
 * write_id is empty if there is none. */
void
platform_read_value(struct platform_entry *entry, const void *bytes,
                    size_t size, char write_id[ID_DIGITS + 1])
{
    const guchar *value = bytes;

    write_id[0] = '\0';
    if (has_identity(value, size)) {
        memcpy(write_id, value + 2, ID_DIGITS);
        write_id[ID_DIGITS] = '\0';
        entry->value = g_bytes_new(value + ID_SIZE, size - ID_SIZE);
    }
    else {
        entry->value = g_bytes_new(value, size);
    }
}

static void
read_entry(const json_t *object, struct platform_entry *entry, char *write_id)
{
    gsize size;
    guchar *key = get_bytes(object, "key", &size);

    entry->key =
        key != NULL ? g_strndup((const char *)key, size) : g_strdup("");
    g_free(key);
    guchar *value = get_bytes(object, "value", &size);
    platform_read_value(entry, value, size, write_id);
    g_free(value);
    entry->revision = get_number(object, "mod_revision");
    entry->lease = get_number(object, "lease");
}

/* Frees the contents of an entry. */
void
platform_entry_finish(struct platform_entry *entry)
{
    g_free(entry->key);
    if (entry->value != NULL) {
        g_bytes_unref(entry->value);
    }
}

/* Frees an entry; a GDestroyNotify. */
void
platform_entry_free(gpointer data)
{
    platform_entry_finish(data);
    g_free(data);
}

/* Appends the entries of a range response to kv; *is_ours is true if the last
 * one has the identity of this write. */
static void
read_entries(struct platform_kv *kv, const json_t *range, bool *is_ours)
{
    const json_t *records = json_object_get(range, "kvs");

    *is_ours = false;
    for (size_t i = 0; i < json_array_size(records); i++) {
        char write_id[ID_DIGITS + 1];
        struct platform_entry *entry = g_new0(struct platform_entry, 1);
        read_entry(json_array_get(records, i), entry, write_id);
        g_ptr_array_add(kv->entries, entry);
        *is_ours = strcmp(write_id, kv->write_id) == 0;
    }
}

static int64_t
header_revision(const json_t *root)
{
    return get_number(json_object_get(root, "header"), "revision");
}

static enum platform_decoded
decode_range(struct platform_kv *kv, const json_t *root)
{
    bool is_ours;

    read_entries(kv, root, &is_ours);
    kv->status = PLATFORM_OK;
    kv->verdict = BASE_RAN;
    kv->revision = header_revision(root);
    if (kv->op == PLATFORM_GET) {
        const struct platform_entry *entry =
            kv->entries->len > 0 ? kv->entries->pdata[0] : NULL;
        kv->revision = entry != NULL ? entry->revision : PLATFORM_ABSENT;
        return PLATFORM_DECODED;
    }
    kv->has_more = json_is_true(json_object_get(root, "more"));
    if (kv->has_more && kv->limit == 0 && kv->entries->len > 0) {
        const struct platform_entry *last =
            kv->entries->pdata[kv->entries->len - 1];
        g_free(kv->after);
        kv->after = g_strdup(last->key);
        return PLATFORM_DECODE_MORE;
    }
    return PLATFORM_DECODED;
}

static void
set_conflict(struct platform_kv *kv, bool may_have_run)
{
    kv->status = PLATFORM_CONFLICT;
    kv->verdict = may_have_run ? BASE_MAY_HAVE_RUN : BASE_NOT_RUN;
}

/* Decodes the response when a condition of a transaction does not hold.
 * If a record has the identity of this transaction, an earlier attempt has
 * written it, and the transaction has succeeded. */
static void
decode_multi_key_conflict(struct platform_kv *kv, const json_t *root,
                          bool may_have_run)
{
    const json_t *responses = json_object_get(root, "responses");

    for (size_t i = 0; i < json_array_size(responses); i++) {
        bool is_ours;
        read_entries(
            kv,
            json_object_get(json_array_get(responses, i), "response_range"),
            &is_ours);
        if (is_ours) {
            const struct platform_entry *entry =
                kv->entries->pdata[kv->entries->len - 1];
            kv->status = PLATFORM_OK;
            kv->verdict = BASE_RAN;
            kv->revision = entry->revision;
            return;
        }
    }
    set_conflict(kv, may_have_run);
}

/* Decodes the response when the record is not at the expected revision.
 * An earlier attempt that got no response may be the cause: a put has
 * succeeded if the record has its identity, and a delete is presumed to have
 * succeeded if the key does not exist. */
static void
decode_single_key_conflict(struct platform_kv *kv, const json_t *root,
                           bool may_have_run)
{
    const json_t *responses = json_object_get(root, "responses");
    const json_t *range =
        json_object_get(json_array_get(responses, 0), "response_range");
    bool is_ours;

    read_entries(kv, range, &is_ours);
    if (kv->op == PLATFORM_PUT_IF && is_ours) {
        const struct platform_entry *entry =
            kv->entries->pdata[kv->entries->len - 1];
        kv->status = PLATFORM_OK;
        kv->verdict = BASE_RAN;
        kv->revision = entry->revision;
        return;
    }
    if (kv->op == PLATFORM_DELETE_IF && kv->entries->len == 0 &&
        may_have_run) {
        kv->status = PLATFORM_OK;
        kv->verdict = BASE_RAN;
        return;
    }
    set_conflict(kv, may_have_run);
}

static enum platform_decoded
decode_txn(struct platform_kv *kv, const json_t *root, bool may_have_run)
{
    if (!json_is_object(json_object_get(root, "header"))) {
        return PLATFORM_DECODE_BAD;
    }
    if (json_is_true(json_object_get(root, "succeeded"))) {
        kv->status = PLATFORM_OK;
        kv->verdict = BASE_RAN;
        kv->revision = header_revision(root);
        return PLATFORM_DECODED;
    }
    if (kv->op == PLATFORM_TXN) {
        decode_multi_key_conflict(kv, root, may_have_run);
    }
    else {
        decode_single_key_conflict(kv, root, may_have_run);
    }
    return PLATFORM_DECODED;
}

static enum platform_decoded
decode_lease(struct platform_kv *kv, const json_t *root)
{
    const json_t *result = root;

    if (kv->op == PLATFORM_LEASE_KEEP) {
        result = json_object_get(root, "result");
    }
    if (!json_is_object(json_object_get(result, "header"))) {
        return PLATFORM_DECODE_BAD;
    }
    kv->status = PLATFORM_OK;
    kv->verdict = BASE_RAN;
    if (kv->op == PLATFORM_LEASE_REVOKE) {
        return PLATFORM_DECODED;
    }
    kv->ttl_ms = get_number(result, "TTL") * MS_PER_S;
    if (kv->ttl_ms <= 0) {
        kv->status = PLATFORM_LEASE_EXPIRED;
        kv->verdict = BASE_NOT_RUN;
    }
    return PLATFORM_DECODED;
}

/* The gateway's error codes (gRPC status codes) that need handling. */
enum { CODE_NOT_FOUND = 5, CODE_FAILED_PRECONDITION = 9 };

enum { STATUS_TOO_MANY = 429 }; /* may succeed later, as no other 4xx */

/* Decodes an error response.  After a server error (5xx) the operation may
 * have run, so it has no result. */
static enum platform_decoded
decode_error(struct platform_kv *kv, const json_t *root, bool may_have_run,
             int status)
{
    const char *text = json_string_value(json_object_get(root, "error"));
    int64_t code = get_number(root, "code");

    if (status >= 500) {
        return PLATFORM_DECODE_BAD;
    }
    if (kv->op == PLATFORM_LEASE_GRANT && may_have_run &&
        code == CODE_FAILED_PRECONDITION) {
        /* The lease exists: an earlier attempt has created it. */
        kv->status = PLATFORM_OK;
        kv->verdict = BASE_RAN;
        return PLATFORM_DECODED;
    }
    if (code == CODE_NOT_FOUND && platform_is_write(kv->op)) {
        kv->status = PLATFORM_LEASE_EXPIRED;
        kv->verdict = may_have_run ? BASE_MAY_HAVE_RUN : BASE_NOT_RUN;
        return PLATFORM_DECODED;
    }
    kv->status =
        status == STATUS_TOO_MANY ? PLATFORM_UNAVAILABLE : PLATFORM_REJECTED;
    kv->verdict = may_have_run ? BASE_MAY_HAVE_RUN : BASE_NOT_RUN;
    base_error_set(&kv->err, BASE_INVALID,
                   "the key-value service refused with status %d: %s", status,
                   text != NULL ? text : "no error text");
    return PLATFORM_DECODED;
}

/* Decodes a response into kv.  may_have_run: an earlier attempt of the same
 * operation got no usable response. */
enum platform_decoded
platform_decode(struct platform_kv *kv, bool may_have_run, int status,
                const char *body, size_t size)
{
    json_t *root = json_loadb(body, size, 0, NULL);
    enum platform_decoded decoded = PLATFORM_DECODE_BAD;

    if (!json_is_object(root)) {
        json_decref(root);
        return PLATFORM_DECODE_BAD;
    }
    if (status != 200) {
        decoded = decode_error(kv, root, may_have_run, status);
    }
    else if (kv->op == PLATFORM_GET || kv->op == PLATFORM_LIST) {
        decoded = json_is_object(json_object_get(root, "header"))
                      ? decode_range(kv, root)
                      : PLATFORM_DECODE_BAD;
    }
    else if (kv->op == PLATFORM_PUT_IF || kv->op == PLATFORM_DELETE_IF ||
             kv->op == PLATFORM_TXN) {
        decoded = decode_txn(kv, root, may_have_run);
    }
    else {
        decoded = decode_lease(kv, root);
    }
    json_decref(root);
    return decoded;
}

/* Makes the request body that opens a watch; the caller frees it. */
GString *
platform_encode_watch(const char *prefix)
{
    GString *out = g_string_new("{\"create_request\":{");

    append_key(out, prefix);
    g_string_append_c(out, ',');
    append_range_end(out, prefix);
    g_string_append(out, ",\"progress_notify\":true}}");
    return out;
}

/* Frees a change; a GDestroyNotify. */
void
platform_change_free(gpointer data)
{
    struct platform_change *change = data;

    platform_entry_finish(&change->entry);
    g_free(change);
}

static void
read_changes(const json_t *events, struct platform_watch_line *out)
{
    out->events = g_ptr_array_new_with_free_func(platform_change_free);
    for (size_t i = 0; i < json_array_size(events); i++) {
        const json_t *event = json_array_get(events, i);
        const char *type = json_string_value(json_object_get(event, "type"));
        struct platform_change *change = g_new0(struct platform_change, 1);
        char write_id[ID_DIGITS + 1];
        change->is_delete = g_strcmp0(type, "DELETE") == 0;
        read_entry(json_object_get(event, "kv"), &change->entry, write_id);
        g_ptr_array_add(out->events, change);
    }
}

/* Decodes one line of a watch stream; returns false if it has no result. */
bool
platform_decode_watch(const char *line, size_t size,
                      struct platform_watch_line *out)
{
    json_t *root = json_loadb(line, size, 0, NULL);
    const json_t *result = json_object_get(root, "result");

    memset(out, 0, sizeof(*out));
    if (!json_is_object(result)) {
        json_decref(root);
        return false;
    }
    out->is_created = json_is_true(json_object_get(result, "created"));
    out->is_canceled = json_is_true(json_object_get(result, "canceled"));
    read_changes(json_object_get(result, "events"), out);
    json_decref(root);
    return true;
}

/* Frees the contents of a line. */
void
platform_watch_line_finish(struct platform_watch_line *line)
{
    if (line->events != NULL) {
        g_ptr_array_free(line->events, TRUE);
    }
}

/* ---- dialect ---- */

static void
encode_request(const struct platform_kv *kv,
               struct platform_encoded_request *encoded)
{
    encoded->method = "POST";
    encoded->path = g_strdup(platform_path(kv->op));
    encoded->body = platform_encode(kv);
}

const struct platform_dialect platform_etcd = {
    .encode = encode_request,
    .decode = platform_decode,
};
