/* Runs a program and makes some of its system calls fail with errors that Linux documents:
 *
 *     faults SEED CALL:ERRNO:PER_MILLE [CALL:ERRNO:PER_MILLE ...] -- PROGRAM [ARGUMENT ...]
 *
 * CALL is accept4, connect, socket, sendto, recvfrom, epoll_wait or write; ERRNO is a number. A seccomp filter on
 * the program, which needs no privileges, notifies this process of each such call. Calls fail from FAULTS_AFTER_MS
 * (0 by default) after the start, for FAULTS_FOR_MS (by default until the end). SIGTERM, SIGHUP and SIGINT are
 * forwarded to the program, and its exit status becomes that of this process. */
#define _GNU_SOURCE
#include <errno.h>
#include <linux/audit.h>
#include <linux/filter.h>
#include <linux/seccomp.h>
#include <poll.h>
#include <signal.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

/* arm64 has no epoll_wait; programs call epoll_pwait there. */
#ifndef SYS_epoll_wait
#define SYS_epoll_wait SYS_epoll_pwait
#endif

struct rule { int call, error, per_mille; };
static struct rule rules[32];
static int rule_count;
static pid_t child;

static int call_number(const char *name) {
    static const struct { const char *name; int number; } known[] = {
        {"accept4", SYS_accept4}, {"connect", SYS_connect}, {"socket", SYS_socket}, {"sendto", SYS_sendto},
        {"recvfrom", SYS_recvfrom}, {"epoll_wait", SYS_epoll_wait}, {"write", SYS_write},
    };
    for (size_t i = 0; i < sizeof known / sizeof *known; i++)
        if (!strcmp(known[i].name, name)) return known[i].number;
    fprintf(stderr, "faults: unknown call %s\n", name);
    exit(2);
}

static void read_rule(const char *text) {
    char name[32];
    struct rule *rule = &rules[rule_count++];
    if (rule_count > 32 || sscanf(text, "%31[^:]:%d:%d", name, &rule->error, &rule->per_mille) != 3) {
        fprintf(stderr, "faults: not CALL:ERRNO:PER_MILLE: %s\n", text);
        exit(2);
    }
    rule->call = call_number(name);
}

static int install_filter(void) {
    struct sock_filter filter[4 + 32 + 2];
    int at = 0, count = rule_count;
    filter[at++] = (struct sock_filter)BPF_STMT(BPF_LD | BPF_W | BPF_ABS, offsetof(struct seccomp_data, nr));
    for (int i = 0; i < count; i++)
        filter[at++] = (struct sock_filter)BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, rules[i].call, count - i, 0);
    filter[at++] = (struct sock_filter)BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_ALLOW);
    filter[at++] = (struct sock_filter)BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_USER_NOTIF);
    struct sock_fprog program = {.len = at, .filter = filter};
    prctl(PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0);
    return syscall(SYS_seccomp, SECCOMP_SET_MODE_FILTER, SECCOMP_FILTER_FLAG_NEW_LISTENER, &program);
}

static void send_descriptor(int socket, int descriptor) {
    char byte = 0, space[CMSG_SPACE(sizeof(int))] = {0};
    struct iovec part = {&byte, 1};
    struct msghdr message = {.msg_iov = &part, .msg_iovlen = 1, .msg_control = space, .msg_controllen = sizeof space};
    struct cmsghdr *head = CMSG_FIRSTHDR(&message);
    head->cmsg_level = SOL_SOCKET, head->cmsg_type = SCM_RIGHTS, head->cmsg_len = CMSG_LEN(sizeof(int));
    memcpy(CMSG_DATA(head), &descriptor, sizeof(int));
    if (sendmsg(socket, &message, 0) < 0) _exit(2);
}

static int receive_descriptor(int socket) {
    char byte, space[CMSG_SPACE(sizeof(int))];
    struct iovec part = {&byte, 1};
    struct msghdr message = {.msg_iov = &part, .msg_iovlen = 1, .msg_control = space, .msg_controllen = sizeof space};
    int descriptor = -1;
    if (recvmsg(socket, &message, 0) > 0 && CMSG_FIRSTHDR(&message))
        memcpy(&descriptor, CMSG_DATA(CMSG_FIRSTHDR(&message)), sizeof(int));
    return descriptor;
}

static void forward_signal(int number) { kill(child, number); }

static unsigned long long state;
static unsigned random_below(unsigned bound) {
    state = state * 6364136223846793005ULL + 1442695040888963407ULL;
    return (state >> 33) % bound;
}

static long now_ms(void) {
    struct timespec at;
    clock_gettime(CLOCK_MONOTONIC, &at);
    return at.tv_sec * 1000 + at.tv_nsec / 1000000;
}

int main(int count, char **arguments) {
    int at = 2, pair[2];
    if (count < 5) return 2;
    state = strtoull(arguments[1], NULL, 10) * 2 + 1;
    while (at < count && strcmp(arguments[at], "--")) read_rule(arguments[at++]);
    if (at + 1 >= count || socketpair(AF_UNIX, SOCK_STREAM, 0, pair)) return 2;
    long after = getenv("FAULTS_AFTER_MS") ? atol(getenv("FAULTS_AFTER_MS")) : 0;
    long during = getenv("FAULTS_FOR_MS") ? atol(getenv("FAULTS_FOR_MS")) : 1L << 40;
    child = fork();
    if (child == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0);
        /* The filter may cover `write` and `sendto`: the listener is sent with `sendmsg`, which it never covers. */
        int listener = install_filter();
        send_descriptor(pair[1], listener);
        close(listener), close(pair[0]), close(pair[1]);
        execv(arguments[at + 1], arguments + at + 1);
        _exit(127);
    }
    close(pair[1]);
    int listener = receive_descriptor(pair[0]);
    if (listener < 0) return 2;
    signal(SIGTERM, forward_signal), signal(SIGHUP, forward_signal), signal(SIGINT, forward_signal);
    long began = now_ms();
    for (;;) {
        struct pollfd watched = {listener, POLLIN, 0};
        int status;
        if (waitpid(child, &status, WNOHANG) == child)
            return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
        if (poll(&watched, 1, 20) <= 0 || !(watched.revents & POLLIN)) {
            if (watched.revents & (POLLHUP | POLLERR)) usleep(5000);
            continue;
        }
        struct seccomp_notif request;
        memset(&request, 0, sizeof request);
        if (ioctl(listener, SECCOMP_IOCTL_NOTIF_RECV, &request)) continue;
        struct seccomp_notif_resp response = {.id = request.id, .flags = SECCOMP_USER_NOTIF_FLAG_CONTINUE};
        long since = now_ms() - began;
        for (int i = 0; i < rule_count && since >= after && since < after + during; i++) {
            if (rules[i].call == request.data.nr && random_below(1000) < (unsigned)rules[i].per_mille) {
                response.flags = 0, response.error = -rules[i].error;
                break;
            }
        }
        ioctl(listener, SECCOMP_IOCTL_NOTIF_SEND, &response);
    }
}
