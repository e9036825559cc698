/* A shared library, preloaded before libc (LD_PRELOAD), that makes calls on internet sockets fail.
 *
 * FAILING_CALLS is a comma-separated list of rules NAME:ERRNO:EVERY[:MAX]. Every EVERY-th call of the function NAME
 * fails with ERRNO before it does anything, MAX times at most. A second rule for the same name is tried where the first
 * lets a call pass. EVERY=1 without MAX is a permanent error.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

enum { MAX_RULES = 64, NAME_CAPACITY = 16 };

struct rule {
  char name[NAME_CAPACITY];
  int error;
  unsigned long every, max_failures;
  atomic_ulong calls, failed;
};

static struct rule rules[MAX_RULES];
static int rule_count;

static void read_rule(char *text) {
  struct rule *rule = &rules[rule_count];
  char *colon = strchr(text, ':');
  if (!colon || rule_count == MAX_RULES || colon - text >= NAME_CAPACITY) abort();
  memcpy(rule->name, text, colon - text);
  rule->error = strtol(colon + 1, &colon, 10);
  rule->every = *colon == ':' ? strtoul(colon + 1, &colon, 10) : 0;
  rule->max_failures = *colon == ':' ? strtoul(colon + 1, &colon, 10) : -1UL;
  if (!rule->error || !rule->every || *colon) abort();
  rule_count++;
}

__attribute__((constructor)) static void read_rules(void) {
  const char *setting = getenv("FAILING_CALLS");
  if (!setting) return;
  char *text = strdup(setting), *rest = text;
  for (char *rule = strtok_r(text, ",", &rest); rule; rule = strtok_r(NULL, ",", &rest)) read_rule(rule);
  free(text);
}

static int fails(const char *name) {
  for (int i = 0; i < rule_count; i++) {
    struct rule *rule = &rules[i];
    if (strcmp(rule->name, name)) continue;
    if ((atomic_fetch_add(&rule->calls, 1) + 1) % rule->every) continue;
    if (atomic_fetch_add(&rule->failed, 1) >= rule->max_failures) continue;
    errno = rule->error;
    return 1;
  }
  return 0;
}

static int is_internet(int socket) {
  int domain = 0, before = errno;
  socklen_t size = sizeof domain;
  int failed = getsockopt(socket, SOL_SOCKET, SO_DOMAIN, &domain, &size);
  errno = before;
  return !failed && (domain == AF_INET || domain == AF_INET6);
}

/* Defines a libc function whose first argument is a descriptor, and which fails where a rule says so. */
#define INTERPOSE(result, name, parameters, arguments)                        \
  result name parameters {                                                    \
    static result(*_Atomic real) parameters;                                  \
    if (!real) real = (result(*) parameters)dlsym(RTLD_NEXT, #name);          \
    return is_internet(fd) && fails(#name) ? (result)-1 : real arguments;     \
  }

INTERPOSE(int, bind, (int fd, const struct sockaddr *at, socklen_t size), (fd, at, size))
INTERPOSE(int, listen, (int fd, int backlog), (fd, backlog))
INTERPOSE(int, accept4, (int fd, struct sockaddr *from, socklen_t *size, int flags), (fd, from, size, flags))
INTERPOSE(int, connect, (int fd, const struct sockaddr *to, socklen_t size), (fd, to, size))
INTERPOSE(int, shutdown, (int fd, int how), (fd, how))
INTERPOSE(int, getsockname, (int fd, struct sockaddr *at, socklen_t *size), (fd, at, size))
INTERPOSE(int, setsockopt, (int fd, int level, int name, const void *value, socklen_t size),
          (fd, level, name, value, size))
INTERPOSE(ssize_t, read, (int fd, void *buffer, size_t size), (fd, buffer, size))
INTERPOSE(ssize_t, readv, (int fd, const struct iovec *slices, int count), (fd, slices, count))
INTERPOSE(ssize_t, write, (int fd, const void *buffer, size_t size), (fd, buffer, size))
INTERPOSE(ssize_t, writev, (int fd, const struct iovec *slices, int count), (fd, slices, count))
INTERPOSE(ssize_t, recv, (int fd, void *buffer, size_t size, int flags), (fd, buffer, size, flags))
INTERPOSE(ssize_t, send, (int fd, const void *buffer, size_t size, int flags), (fd, buffer, size, flags))
INTERPOSE(ssize_t, recvfrom,
          (int fd, void *buffer, size_t size, int flags, struct sockaddr *from, socklen_t *from_size),
          (fd, buffer, size, flags, from, from_size))
INTERPOSE(ssize_t, sendto,
          (int fd, const void *buffer, size_t size, int flags, const struct sockaddr *to, socklen_t to_size),
          (fd, buffer, size, flags, to, to_size))
INTERPOSE(ssize_t, recvmsg, (int fd, struct msghdr *message, int flags), (fd, message, flags))
INTERPOSE(ssize_t, sendmsg, (int fd, const struct msghdr *message, int flags), (fd, message, flags))

int socket(int domain, int type, int protocol) {
  static int (*_Atomic real)(int, int, int);
  if (!real) real = (int (*)(int, int, int))dlsym(RTLD_NEXT, "socket");
  int internet = domain == AF_INET || domain == AF_INET6;
  return internet && fails("socket") ? -1 : real(domain, type, protocol);
}
