#include "base/base.h"

#include <time.h>

static int64_t
read_clock_us(clockid_t clock)
{
    struct timespec now;
    clock_gettime(clock, &now);
    return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

/* Returns milliseconds since boot.  The clock also advances while the machine
 * is suspended or the process is stopped, so a lease that is measured by it
 * expires during a pause. */
int64_t
base_clock_ms(void)
{
    return read_clock_us(CLOCK_BOOTTIME) / 1000;
}

/* Returns microseconds since boot, on the same clock as base_clock_ms. */
int64_t
base_clock_us(void)
{
    return read_clock_us(CLOCK_BOOTTIME);
}

/* Returns milliseconds since 1970, for output that people read and for records
 * that are used after a reboot. */
int64_t
base_wall_ms(void)
{
    return read_clock_us(CLOCK_REALTIME) / 1000;
}

/* Returns microseconds since 1970. */
int64_t
base_wall_us(void)
{
    return read_clock_us(CLOCK_REALTIME);
}
