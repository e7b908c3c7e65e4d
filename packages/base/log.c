#include "base/base.h"

#include <poll.h>
#include <stdarg.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

enum {
    LINE_SIZE = 1024,
    /* Lines a second below the level of notices, and how many at once; what
     * is beyond is counted.  A node serves some tens of requests a second. */
    LINES_PER_S = 500,
    LINES_AT_ONCE = 1000,
    MS_PER_S = 1000,
};

/* The process has one standard output, hence one log setting. */
static struct {
    int fd;
    char node[64];
    enum base_log_level lowest;
    pthread_mutex_t lock;
    int64_t room; /* in thousandths of a line */
    int64_t room_ms;
    int64_t n_left_out; /* since the last line that was written */
} log_settings = {
    .fd = STDOUT_FILENO,
    .node = "-",
    .lowest = BASE_LOG_INFO,
    .lock = PTHREAD_MUTEX_INITIALIZER,
    .room = (int64_t)LINES_AT_ONCE * MS_PER_S,
};

/* Sets the node name shown on each line and the lowest level written.  Call
 * it before the first task starts. */
void
base_log_setup(const char *node_name, enum base_log_level lowest)
{
    g_strlcpy(log_settings.node, node_name, sizeof(log_settings.node));
    log_settings.lowest = lowest;
}

/* Sends lines to another descriptor than standard output, for programs whose
 * output is data.  Call it before the first task starts. */
void
base_log_output(int fd)
{
    log_settings.fd = fd;
}

/* Line breaks in a value would end the event early. */
static void
flatten_line(char *line)
{
    for (char *at = line; *at != '\0'; at++) {
        if (*at == '\n' || *at == '\r') {
            *at = ' ';
        }
    }
}

/* Whether a line may be written: within the rate, and only where that can't
 * block.  *n_left_out gets how many were left out before it. */
static bool
take_room(enum base_log_level level, int64_t *n_left_out)
{
    struct pollfd out = {.fd = log_settings.fd, .events = POLLOUT};
    int64_t now_ms = base_clock_ms();
    bool is_taken;

    pthread_mutex_lock(&log_settings.lock);
    log_settings.room =
        MIN(log_settings.room + (now_ms - log_settings.room_ms) * LINES_PER_S,
            (int64_t)LINES_AT_ONCE * MS_PER_S);
    log_settings.room_ms = now_ms;
    is_taken = (level <= BASE_LOG_NOTICE || log_settings.room >= MS_PER_S) &&
               poll(&out, 1, 0) > 0;
    if (is_taken) {
        log_settings.room = MAX(log_settings.room - MS_PER_S, 0);
        *n_left_out = log_settings.n_left_out;
        log_settings.n_left_out = 0;
    }
    else {
        log_settings.n_left_out++;
    }
    pthread_mutex_unlock(&log_settings.lock);
    return is_taken;
}

static int
format_line(char line[LINE_SIZE], enum base_log_level level, const char *event,
            const char *pairs, int64_t n_left_out)
{
    int64_t now_ms = base_wall_ms();
    time_t seconds = (time_t)(now_ms / MS_PER_S);
    struct tm utc;
    char stamp[32];
    char left_out[48] = "";

    if (n_left_out > 0) {
        g_snprintf(left_out, sizeof(left_out),
                   " lines_left_out=%" G_GINT64_FORMAT, n_left_out);
    }
    gmtime_r(&seconds, &utc);
    strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &utc);
    return snprintf(line, LINE_SIZE - 1,
                    "<%d>%s.%03dZ cardamompick[%d]: node=%s event=%s%s%s%s",
                    (int)level, stamp, (int)(now_ms % MS_PER_S), (int)getpid(),
                    log_settings.node, event, left_out, *pairs ? " " : "",
                    pairs);
}

static void
write_line(enum base_log_level level, const char *event, const char *pairs)
{
    char line[LINE_SIZE];
    int64_t n_left_out = 0;
    int length;

    if (!take_room(level, &n_left_out)) {
        return;
    }
    length = format_line(line, level, event, pairs, n_left_out);
    length = MIN(length, LINE_SIZE - 2);
    line[length] = '\0';
    flatten_line(line);
    line[length] = '\n';
    /* One write per line keeps lines of different tasks whole. */
    if (write(log_settings.fd, line, (size_t)length + 1) < 0) {
        return; /* nobody reads them; the work goes on */
    }
}

/* Writes one syslog-style line of key=value pairs for one event.  Never
 * blocks; lines that are left out are counted on the next one. */
void
base_log(enum base_log_level level, const char *event, const char *format, ...)
{
    char pairs[LINE_SIZE];
    va_list args;

    if (level > log_settings.lowest) {
        return;
    }
    va_start(args, format);
    vsnprintf(pairs, sizeof(pairs), format, args);
    va_end(args);
    write_line(level, event, pairs);
}

/* As base_log at the error level, with the error's code and text. */
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
