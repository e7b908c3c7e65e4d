#include "base/base.h"

#include <errno.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

/* Prepares a task; calls may be sent to it from now on.  `state` is passed to
 * each call's serve and done.  Fails with BASE_INTERNAL. */
bool
base_task_init(struct base_task *task, const char *name,
               const struct base_task_ops *ops, void *state,
               struct base_error *err)
{
    memset(task, 0, sizeof(*task));
    task->name = name;
    task->ops = ops;
    task->state = state;
    task->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    if (task->wake_fd < 0) {
        base_error_set(err, BASE_INTERNAL, "eventfd for task %s: %s", name,
                       g_strerror(errno));
        return false;
    }
    task->mailbox = g_async_queue_new();
    return true;
}

static void *
run_task(void *argument)
{
    struct base_task *task = argument;
    task->ops->run(task);
    return NULL;
}

/* Starts the task's thread.  Fails with BASE_INTERNAL. */
bool
base_task_start(struct base_task *task, struct base_error *err)
{
    int failure = pthread_create(&task->thread, NULL, run_task, task);

    if (failure != 0) {
        base_error_set(err, BASE_INTERNAL, "thread for task %s: %s",
                       task->name, g_strerror(failure));
        return false;
    }
    task->is_started = true;
    pthread_setname_np(task->thread, task->name);
    return true;
}

/* Makes the task's loop return and waits until its thread has ended. */
void
base_task_stop(struct base_task *task)
{
    if (!task->is_started) {
        return;
    }
    g_atomic_int_set(&task->is_stopping, 1);
    task->ops->wake(task);
    pthread_join(task->thread, NULL);
    task->is_started = false;
}

/* Returns whether base_task_stop was called; any thread. */
bool
base_task_is_stopping(struct base_task *task)
{
    return g_atomic_int_get(&task->is_stopping) != 0;
}

/* Frees a stopped task and drops the calls left in its mailbox.  A thread
 * that has just posted a reply there may still be about to wake the task, so
 * this waits for such threads.  A call that is posted later would access freed
 * memory, so the task must have received the replies to all its calls before
 * this function is called. */
void
base_task_finish(struct base_task *task)
{
    struct base_call *call;

    if (task->mailbox == NULL) {
        return;
    }
    while (__atomic_load_n(&task->n_senders, __ATOMIC_ACQUIRE) > 0) {
        g_thread_yield();
    }
    while ((call = g_async_queue_try_pop(task->mailbox)) != NULL) {
        call->ops->drop(call);
    }
    g_async_queue_unref(task->mailbox);
    close(task->wake_fd);
    task->mailbox = NULL;
}

/* Implements base_task_ops.wake for loops that poll task->wake_fd. */
void
base_task_wake_fd(struct base_task *task)
{
    uint64_t one = 1;
    /* The write fails when the counter is full; then a wake is pending. */
    if (write(task->wake_fd, &one, sizeof(one)) < 0) {
        return;
    }
}

/* Resets task->wake_fd; call it before base_task_drain. */
void
base_task_clear_wake_fd(struct base_task *task)
{
    uint64_t count;
    if (read(task->wake_fd, &count, sizeof(count)) < 0) {
        return;
    }
}

/* Handles every call in the mailbox and returns how many there were.  The
 * queue's lock already orders a call's contents between the two threads.
 * ThreadSanitizer can't see that lock, as the library is not instrumented, so
 * is_reply is stored with release and loaded with acquire as well. */
unsigned
base_task_drain(struct base_task *task)
{
    struct base_call *call;
    unsigned handled = 0;

    while ((call = g_async_queue_try_pop(task->mailbox)) != NULL) {
        handled++;
        if (__atomic_load_n(&call->is_reply, __ATOMIC_ACQUIRE)) {
            call->ops->done(call, task->state);
        }
        else {
            call->ops->serve(call, task->state);
        }
    }
    return handled;
}

static void
post_call(struct base_call *call, struct base_task *to, bool is_reply)
{
    __atomic_add_fetch(&to->n_senders, 1, __ATOMIC_ACQ_REL);
    __atomic_store_n(&call->is_reply, is_reply, __ATOMIC_RELEASE);
    g_async_queue_push(to->mailbox, call);
    to->ops->wake(to);
    __atomic_sub_fetch(&to->n_senders, 1, __ATOMIC_RELEASE);
}

/* Sends a call to a task; any thread.  The call belongs to the receiver until
 * its reply reaches `from`.  If `from` is NULL, there is no reply and
 * base_call_reply frees the call by ops->drop. */
void
base_call_send(struct base_call *call, const struct base_call_ops *ops,
               struct base_task *to, struct base_task *from)
{
    call->ops = ops;
    call->from = from;
    post_call(call, to, false);
}

/* Sends a served call back to its sender.  The serving task must not access it
 * afterwards. */
void
base_call_reply(struct base_call *call)
{
    struct base_task *from = call->from;

    if (from == NULL) {
        call->ops->drop(call);
        return;
    }
    post_call(call, from, true);
}
