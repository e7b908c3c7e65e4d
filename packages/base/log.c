#include "base/base.h"

#include <poll.h>
#include <stdarg.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

enum {
    LINE_SIZE = 1024,
    /* Rate limit and burst of lines less severe than a notice.  Lines over
     * the limit are counted.  A node serves some tens of requests a second,
     * so normal operation stays below the limit. */
    LINES_PER_S = 500,
    BURST_LINES = 1000,
    MS_PER_S = 1000,
};

/* The process has one standard output, hence one log setting. */
static struct {
    int fd;
    char node[BASE_NODE_NAME_SIZE];
    enum base_log_level least_severe;
    pthread_mutex_t lock;
    int64_t budget;         /* token bucket, in thousandths of a line */
    int64_t refilled_at_ms; /* last refill, base_clock_ms */
    int64_t n_left_out;     /* lines left out since the last one written */
} log_settings = {
    .fd = STDOUT_FILENO,
    .node = "-",
    .least_severe = BASE_LOG_INFO,
    .lock = PTHREAD_MUTEX_INITIALIZER,
    .budget = (int64_t)BURST_LINES * MS_PER_S,
};

/* Sets the node name shown on each line and the least severe level that is
 * written.  Call it before the first task starts. */
void
base_log_setup(const char *node_name, enum base_log_level least_severe)
{
    g_strlcpy(log_settings.node, node_name, sizeof(log_settings.node));
    log_settings.least_severe = least_severe;
}

/* Writes log lines to this descriptor instead of standard output, for programs
 * whose standard output is data.  Call it before the first task starts. */
void
base_log_output(int fd)
{
    log_settings.fd = fd;
}

/* Replaces line breaks in values by spaces, so that each event is one line. */
static void
replace_line_breaks(char *line)
{
    for (char *at = line; *at != '\0'; at++) {
        if (*at == '\n' || *at == '\r') {
            *at = ' ';
        }
    }
}

/* Returns whether a line may be written: the rate limit allows it, or it is a
 * notice or more severe, and the write would not block.  Then sets *n_left_out
 * to the number of lines left out before it. */
static bool
take_line_budget(enum base_log_level level, int64_t *n_left_out)
{
    struct pollfd out = {.fd = log_settings.fd, .events = POLLOUT};
    int64_t now_ms = base_clock_ms();
    bool is_allowed;

    pthread_mutex_lock(&log_settings.lock);
    log_settings.budget =
        MIN(log_settings.budget +
                (now_ms - log_settings.refilled_at_ms) * LINES_PER_S,
            (int64_t)BURST_LINES * MS_PER_S);
    log_settings.refilled_at_ms = now_ms;
    is_allowed =
        (level <= BASE_LOG_NOTICE || log_settings.budget >= MS_PER_S) &&
        poll(&out, 1, 0) > 0;
    if (is_allowed) {
        log_settings.budget = MAX(log_settings.budget - MS_PER_S, 0);
        *n_left_out = log_settings.n_left_out;
        log_settings.n_left_out = 0;
    }
    else {
        log_settings.n_left_out++;
    }
    pthread_mutex_unlock(&log_settings.lock);
    return is_allowed;
}

static int
format_line(char line[LINE_SIZE], enum base_log_level level, const char *event,
            const char *pairs, int64_t n_left_out)
{
    int64_t now_ms = base_wall_ms();
    time_t seconds = (time_t)(now_ms / MS_PER_S);
    struct tm utc;
    char timestamp[32];
    char left_out[48] = "";

    if (n_left_out > 0) {
        g_snprintf(left_out, sizeof(left_out),
                   " lines_left_out=%" G_GINT64_FORMAT, n_left_out);
    }
    gmtime_r(&seconds, &utc);
    strftime(timestamp, sizeof(timestamp), "%Y-%m-%dT%H:%M:%S", &utc);
    return snprintf(line, LINE_SIZE - 1,
                    "<%d>%s.%03dZ cardamompick[%d]: node=%s event=%s%s%s%s",
                    (int)level, timestamp, (int)(now_ms % MS_PER_S),
                    (int)getpid(), log_settings.node, event, left_out,
                    *pairs ? " " : "", pairs);
}

static void
write_line(enum base_log_level level, const char *event, const char *pairs)
{
    char line[LINE_SIZE];
    int64_t n_left_out = 0;
    int length;

    if (!take_line_budget(level, &n_left_out)) {
        return;
    }
    length = format_line(line, level, event, pairs, n_left_out);
    length = MIN(length, LINE_SIZE - 2);
    line[length] = '\0';
    replace_line_breaks(line);
    line[length] = '\n';
    /* A single write per line, so that lines of different tasks don't mix. */
    if (write(log_settings.fd, line, (size_t)length + 1) < 0) {
        return; /* ignored: a lost log line must not stop the node */
    }
}

/* Writes one event as a syslog-style line of key=value pairs; any thread.
 * Never blocks: a line over the rate limit, or that would block, is left out,
 * and the next line written has their number in lines_left_out. */
void
base_log(enum base_log_level level, const char *event, const char *format, ...)
{
    char pairs[LINE_SIZE];
    va_list args;

    if (level > log_settings.least_severe) {
        return;
    }
    va_start(args, format);
    vsnprintf(pairs, sizeof(pairs), format, args);
    va_end(args);
    write_line(level, event, pairs);
}

/* Like base_log at the error level; adds the error's code and text. */
void
base_log_error(const char *event, const struct base_error *err,
               const char *format, ...)
{
    char pairs[LINE_SIZE];
    va_list args;
    size_t used;

    va_start(args, format);
    vsnprintf(pairs, sizeof(pairs), format, args);
    va_end(args);
    used = strlen(pairs);
    snprintf(pairs + used, sizeof(pairs) - used, "%scode=%s error=\"%s\"",
             used ? " " : "", base_code_name(err->code), err->text);
    write_line(BASE_LOG_ERROR, event, pairs);
}
