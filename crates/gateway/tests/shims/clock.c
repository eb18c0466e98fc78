/* Shifts the wall clock of one process: preloaded, it adds the number of seconds on the first line of the file
 * named by SHIM_CLOCK_FILE to CLOCK_REALTIME. The file is read on each call, so that a test can set the clock
 * while the process runs. Other clocks, such as CLOCK_MONOTONIC, are not shifted. */
#define _GNU_SOURCE
#include <stdio.h>
#include <stdlib.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

static long offset_seconds(void) {
    const char *path = getenv("SHIM_CLOCK_FILE");
    FILE *file = path ? fopen(path, "r") : NULL;
    long seconds = 0;
    if (file) {
        if (fscanf(file, "%ld", &seconds) != 1) seconds = 0;
        fclose(file);
    }
    return seconds;
}

int clock_gettime(clockid_t clock, struct timespec *at) {
    int failed = syscall(SYS_clock_gettime, clock, at);
    if (failed == 0 && clock == CLOCK_REALTIME) at->tv_sec += offset_seconds();
    return failed;
}
