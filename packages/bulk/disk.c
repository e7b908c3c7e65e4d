#include "bulk/disk.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/statvfs.h>
#include <unistd.h>

enum {
    MAX_BATCHED_WRITES = 32,
    NAME_LENGTH = BULK_NAME_SIZE - 1,
    FILE_MODE = 0600,
    FOLDER_MODE = 0700,
    /* Without full_bytes, files are refused when no more than 1/10 of the
     * file system is free; the rest is for results. */
    FREE_SPACE_DIVISOR = 10,
    RESERVE_DIVISOR = 10,
};

static const char TEMPORARY_SUFFIX[] = ".part";

/* Only replies: the operation itself runs on the disk's threads. */
static void
serve_op(struct base_call *call, void *state)
{
    base_call_reply(call);
}

static void
op_done(struct base_call *call, void *state)
{
    struct disk_op *op = (struct disk_op *)call;
    op->done(op, state);
    disk_op_free(op);
}

static void
op_drop(struct base_call *call)
{
    disk_op_free((struct disk_op *)call);
}

static const struct base_call_ops OP_OPS = {serve_op, op_done, op_drop};

/* Makes an operation on the chunk with this name; "" for a list. */
struct disk_op *
disk_op_new(enum disk_kind kind, const char *name)
{
    struct disk_op *op = g_new0(struct disk_op, 1);
    op->kind = kind;
    g_strlcpy(op->name, name, sizeof(op->name));
    return op;
}

/* Frees an operation that has not been sent. */
void
disk_op_free(struct disk_op *op)
{
    if (op->bytes != NULL) {
        g_bytes_unref(op->bytes);
    }
    if (op->names != NULL) {
        g_ptr_array_unref(op->names);
    }
    g_free(op);
}

/* Starts an operation and takes ownership of it.  `done` runs on the owner's
 * task; op is freed when it returns. */
void
disk_send(struct disk *disk, struct disk_op *op,
          void (*done)(struct disk_op *op, void *task_state), void *context)
{
    bool is_read = op->kind == DISK_READ || op->kind == DISK_LIST;

    op->done = done;
    op->context = context;
    op->call.ops = &OP_OPS;
    op->call.from = disk->owner;
    g_async_queue_push(is_read ? disk->reads : disk->writes, op);
}

static char *
chunk_path(const struct disk *disk, const char *name, const char *suffix)
{
    return g_strconcat(disk->folder, "/", name, suffix, NULL);
}

static bool
has_room(const struct disk *disk, const struct disk_op *op)
{
    int64_t used = __atomic_load_n(&disk->used_bytes, __ATOMIC_RELAXED);
    int64_t size = (int64_t)g_bytes_get_size(op->bytes);
    struct statvfs fs;

    if (disk->full_bytes > 0) {
        int64_t limit =
            disk->full_bytes + (op->is_result ? disk->reserve_bytes : 0);
        return used + size <= limit;
    }
    if (op->is_result || statvfs(disk->folder, &fs) != 0) {
        return true;
    }
    return fs.f_bavail > fs.f_blocks / FREE_SPACE_DIVISOR;
}

static bool
write_all(int fd, const char *data, size_t size)
{
    while (size > 0) {
        ssize_t written = write(fd, data, size);
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written <= 0) {
            return false;
        }
        data += written;
        size -= (size_t)written;
    }
    return true;
}

static void
set_write_error(struct disk_op *op, const char *step)
{
    bool is_full = errno == ENOSPC || errno == EDQUOT;
    base_error_set(&op->err, is_full ? BASE_FULL : BASE_UNAVAILABLE,
                   "%s of chunk %s: %s", step, op->name, g_strerror(errno));
}

/* Writes and syncs the temporary file of a chunk.  Returns false with the
 * error set. */
static bool
write_temporary(struct disk *disk, struct disk_op *op)
{
    gsize size;
    const char *data = g_bytes_get_data(op->bytes, &size);
    char *path = chunk_path(disk, op->name, TEMPORARY_SUFFIX);
    int fd = open(path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, FILE_MODE);
    bool is_ok = fd >= 0;

    if (!is_ok) {
        set_write_error(op, "open");
    }
    if (is_ok && !write_all(fd, data, size)) {
        set_write_error(op, "write");
        is_ok = false;
    }
    if (is_ok && fsync(fd) != 0) {
        set_write_error(op, "fsync");
        is_ok = false;
    }
    if (fd >= 0) {
        close(fd);
    }
    if (!is_ok) {
        unlink(path);
    }
    base_counter_add(disk->n_fsyncs, 1);
    g_free(path);
    return is_ok;
}

static bool
is_already_stored(struct disk *disk, struct disk_op *op)
{
    struct stat status;
    char *path = chunk_path(disk, op->name, "");
    bool is_stored = stat(path, &status) == 0 &&
                     (gsize)status.st_size == g_bytes_get_size(op->bytes);

    /* A sweep spares young chunks, because their references may not be
     * committed yet; so storing a chunk again resets its age. */
    if (is_stored && utimensat(AT_FDCWD, path, NULL, 0) != 0) {
        is_stored = false;
    }
    g_free(path);
    return is_stored;
}

/* Writes a chunk to a temporary file and renames it.  Returns whether the
 * folder changed, and so needs an fsync; sets op->err on failure. */
static bool
write_chunk(struct disk *disk, struct disk_op *op)
{
    char *temporary;
    char *path;
    bool is_renamed;

    if (is_already_stored(disk, op)) {
        return false;
    }
    if (!has_room(disk, op)) {
        base_error_set(&op->err, BASE_FULL, "the data folder is full");
        return false;
    }
    if (!write_temporary(disk, op)) {
        return false;
    }
    temporary = chunk_path(disk, op->name, TEMPORARY_SUFFIX);
    path = chunk_path(disk, op->name, "");
    is_renamed = rename(temporary, path) == 0;
    if (!is_renamed) {
        set_write_error(op, "rename");
    }
    else {
        __atomic_add_fetch(&disk->used_bytes,
                           (int64_t)g_bytes_get_size(op->bytes),
                           __ATOMIC_RELAXED);
    }
    g_free(temporary);
    g_free(path);
    return is_renamed;
}

static bool
sync_folder(struct disk *disk, struct base_error *err)
{
    int fd = open(disk->folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    bool is_ok = fd >= 0 && fsync(fd) == 0;

    if (!is_ok) {
        base_error_set(err, BASE_UNAVAILABLE, "fsync of the data folder: %s",
                       g_strerror(errno));
    }
    if (fd >= 0) {
        close(fd);
    }
    base_counter_add(disk->n_fsyncs, 1);
    return is_ok;
}

static void
remove_chunk(struct disk *disk, struct disk_op *op)
{
    struct stat status;
    char *path = chunk_path(disk, op->name, "");
    int64_t now_s = base_wall_ms() / 1000;
    bool exists = stat(path, &status) == 0;

    if (!exists || (op->kind == DISK_REMOVE_OLD &&
                    now_s - status.st_mtime < op->min_age_s)) {
        base_error_set(&op->err, BASE_NOT_FOUND,
                       "chunk missing or younger than min_age_s");
    }
    else if (unlink(path) == 0) {
        __atomic_sub_fetch(&disk->used_bytes, status.st_size,
                           __ATOMIC_RELAXED);
    }
    g_free(path);
}

/* Runs a batch of operations, with one fsync of the folder if a chunk was
 * added.  Returns false if the writer is to stop. */
static bool
run_writes(struct disk *disk, GPtrArray *ops)
{
    bool is_folder_changed = false;
    bool is_stopping = false;
    struct base_error err = {0};

    for (guint i = 0; i < ops->len; i++) {
        struct disk_op *op = ops->pdata[i];
        if (op->kind == DISK_WRITE) {
            is_folder_changed |= write_chunk(disk, op);
        }
        else if (op->kind != DISK_STOP) {
            remove_chunk(disk, op);
        }
    }
    if (is_folder_changed) {
        sync_folder(disk, &err);
    }
    base_counter_set(disk->used,
                     __atomic_load_n(&disk->used_bytes, __ATOMIC_RELAXED));
    for (guint i = 0; i < ops->len; i++) {
        struct disk_op *op = ops->pdata[i];
        if (op->kind == DISK_STOP) {
            is_stopping = true;
            disk_op_free(op);
            continue;
        }
        if (op->kind == DISK_WRITE && op->err.code == BASE_OK) {
            op->err = err;
        }
        base_call_reply(&op->call);
    }
    return !is_stopping;
}

static void *
writer_main(void *argument)
{
    struct disk *disk = argument;
    GPtrArray *ops = g_ptr_array_new();
    bool is_running = true;

    while (is_running) {
        struct disk_op *op = g_async_queue_pop(disk->writes);
        while (op != NULL) {
            g_ptr_array_add(ops, op);
            op = ops->len < MAX_BATCHED_WRITES
                     ? g_async_queue_try_pop(disk->writes)
                     : NULL;
        }
        is_running = run_writes(disk, ops);
        g_ptr_array_set_size(ops, 0);
    }
    g_ptr_array_free(ops, TRUE);
    return NULL;
}

static void
read_chunk(struct disk *disk, struct disk_op *op)
{
    char *path = chunk_path(disk, op->name, "");
    GString *content = g_string_new(NULL);
    char name[BULK_NAME_SIZE];

    if (base_read_file(path, content, &op->err)) {
        op->bytes = g_string_free_to_bytes(content);
        content = NULL;
        bulk_name_of(op->bytes, name);
        if (strcmp(name, op->name) != 0) {
            base_error_set(&op->err, BASE_CORRUPT,
                           "chunk %s: checksum mismatch", op->name);
        }
    }
    if (content != NULL) {
        g_string_free(content, TRUE);
    }
    g_free(path);
}

static bool
is_chunk_name(const char *name)
{
    return strlen(name) == NAME_LENGTH &&
           strspn(name, "0123456789abcdef") == NAME_LENGTH;
}

static GPtrArray *
list_chunks(const struct disk *disk, int64_t min_age_s)
{
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    GDir *dir = g_dir_open(disk->folder, 0, NULL);
    int64_t now_s = base_wall_ms() / 1000;
    const char *name;

    while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
        char *path = chunk_path(disk, name, "");
        struct stat status;
        if (is_chunk_name(name) && stat(path, &status) == 0 &&
            now_s - status.st_mtime >= min_age_s) {
            g_ptr_array_add(names, g_strdup(name));
        }
        g_free(path);
    }
    if (dir != NULL) {
        g_dir_close(dir);
    }
    return names;
}

static void *
reader_main(void *argument)
{
    struct disk *disk = argument;

    for (;;) {
        struct disk_op *op = g_async_queue_pop(disk->reads);
        if (op->kind == DISK_STOP) {
            disk_op_free(op);
            return NULL;
        }
        if (op->kind == DISK_LIST) {
            op->names = list_chunks(disk, op->min_age_s);
        }
        else {
            read_chunk(disk, op);
        }
        base_call_reply(&op->call);
    }
}

/* Removes the temporary files that a crash left and adds up the sizes of the
 * chunks. */
static bool
scan_folder(struct disk *disk, struct base_error *err)
{
    GError *failure = NULL;
    GDir *dir = g_dir_open(disk->folder, 0, &failure);
    const char *name;

    if (dir == NULL) {
        base_error_set(err, BASE_UNAVAILABLE, "data folder: %s",
                       failure->message);
        g_error_free(failure);
        return false;
    }
    while ((name = g_dir_read_name(dir)) != NULL) {
        char *path = chunk_path(disk, name, "");
        struct stat status;
        if (g_str_has_suffix(name, TEMPORARY_SUFFIX)) {
            unlink(path);
        }
        else if (is_chunk_name(name) && stat(path, &status) == 0) {
            disk->used_bytes += status.st_size;
        }
        g_free(path);
    }
    g_dir_close(dir);
    return true;
}

/* Opens the data folder and starts its threads.  Operations return to
 * `owner`.  Returns false with the error set if the folder can't be used. */
bool
disk_init(struct disk *disk, const struct bulk_desc *desc,
          struct base_task *owner, struct base_error *err)
{
    memset(disk, 0, sizeof(*disk));
    disk->folder = g_build_filename(desc->folder, "chunks", NULL);
    disk->full_bytes = desc->full_bytes;
    disk->reserve_bytes = desc->reserve_bytes > 0
                              ? desc->reserve_bytes
                              : desc->full_bytes / RESERVE_DIVISOR;
    disk->owner = owner;
    disk->n_fsyncs = base_counter(desc->counters, "bulk_fsyncs_total");
    disk->used = base_gauge(desc->counters, "bulk_used_bytes");
    if (g_mkdir_with_parents(disk->folder, FOLDER_MODE) != 0) {
        base_error_set(err, BASE_UNAVAILABLE, "data folder %s: %s",
                       disk->folder, g_strerror(errno));
        return false;
    }
    if (!scan_folder(disk, err)) {
        return false;
    }
    base_counter_set(disk->used, disk->used_bytes);
    disk->writes = g_async_queue_new();
    disk->reads = g_async_queue_new();
    pthread_create(&disk->writer, NULL, writer_main, disk);
    pthread_create(&disk->reader, NULL, reader_main, disk);
    return true;
}

/* Stops the threads once they have done the operations sent so far, and frees
 * the disk's contents. */
void
disk_finish(struct disk *disk)
{
    if (disk->writes != NULL) {
        g_async_queue_push(disk->writes, disk_op_new(DISK_STOP, ""));
        g_async_queue_push(disk->reads, disk_op_new(DISK_STOP, ""));
        pthread_join(disk->writer, NULL);
        pthread_join(disk->reader, NULL);
        g_async_queue_unref(disk->writes);
        g_async_queue_unref(disk->reads);
    }
    g_free(disk->folder);
    memset(disk, 0, sizeof(*disk));
}
