/*
 * A library for LD_PRELOAD that makes selected system calls of a process fail, or transfer only one byte.
 *
 * It affects only TCP and UDP sockets, files and folders; not pipes, the runtime's wake-up descriptors or its
 * signal socket.
 *
 *   FAILING_CALLS    names of calls, comma-separated: "bind", "accept4,recv"
 *   FAILING_ERROR    the name of the error ("EINTR"), or SHORT for transfers of one byte
 *   FAILING_SKIP     this many matching calls succeed first
 *   FAILING_FIRST    then this many may fail; 0 for no limit
 *   FAILING_EVERY    of these, one in this many fails
 *   FAILING_SOCKETS  only these sockets: "tcp", "udp", "outgoing" or "incoming" (TCP by who connected)
 *   FAILING_BUFFERS  bytes of the send and receive buffers of each TCP socket; 0 leaves them as they are
 *   FAILING_CONTROL  a file of two 64-bit words that is shared with the test: whether calls fail now, and
 *                    how many have failed so far
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/uio.h>
#include <unistd.h>

/* For descriptors above this, neither the direction nor the epoll registration is tracked. */
#define MAX_DESCRIPTORS 4096

/* Not an errno: the call is made, but transfers one byte. */
#define SHORT (-1)

/* The function of the C library that this library interposes. */
#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))

struct control {
    _Atomic uint64_t enabled;
    _Atomic uint64_t failed;
};

/* The last epoll registration of a descriptor, so that it can be repeated. */
struct watch {
    int epoll;
    struct epoll_event event;
};

static struct control *control;
static char calls[256];
static char sockets[16];
static int error;
static unsigned long skip, first, every, buffers;
static _Atomic unsigned long matched;
static _Atomic char outgoing[MAX_DESCRIPTORS];
static struct watch watches[MAX_DESCRIPTORS];

static const struct {
    const char *name;
    int number;
} ERRORS[] = {
    {"SHORT", SHORT},
    {"EACCES", EACCES}, {"EADDRINUSE", EADDRINUSE}, {"EADDRNOTAVAIL", EADDRNOTAVAIL},
    {"ECONNABORTED", ECONNABORTED}, {"ECONNREFUSED", ECONNREFUSED}, {"ECONNRESET", ECONNRESET},
    {"EDQUOT", EDQUOT}, {"EHOSTDOWN", EHOSTDOWN}, {"EHOSTUNREACH", EHOSTUNREACH}, {"EINTR", EINTR},
    {"EINVAL", EINVAL}, {"EIO", EIO}, {"EMFILE", EMFILE}, {"ENETDOWN", ENETDOWN},
    {"ENETUNREACH", ENETUNREACH}, {"ENFILE", ENFILE}, {"ENOBUFS", ENOBUFS}, {"ENOMEM", ENOMEM},
    {"ENONET", ENONET}, {"ENOPROTOOPT", ENOPROTOOPT}, {"ENOSPC", ENOSPC}, {"ENOTCONN", ENOTCONN},
    {"EOPNOTSUPP", EOPNOTSUPP}, {"EPERM", EPERM}, {"EPIPE", EPIPE}, {"EPROTO", EPROTO},
    {"ETIMEDOUT", ETIMEDOUT},
};

static unsigned long number_of(const char *name, unsigned long otherwise) {
    const char *text = getenv(name);
    return text ? strtoul(text, NULL, 10) : otherwise;
}

static void text_of(const char *name, char *into, size_t size) {
    const char *text = getenv(name);
    if (text && strlen(text) < size) strcpy(into, text);
}

static int error_named(const char *name) {
    for (size_t i = 0; name && i < sizeof ERRORS / sizeof ERRORS[0]; i++) {
        if (!strcmp(ERRORS[i].name, name)) return ERRORS[i].number;
    }
    /* A misspelt name must not result in a run without failures. */
    abort();
}

__attribute__((constructor)) static void begin(void) {
    const char *path = getenv("FAILING_CONTROL");
    if (!path) return;
    int fd = REAL(open)(path, O_RDWR | O_CLOEXEC);
    void *page = mmap(NULL, sizeof *control, PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    if (page == MAP_FAILED) abort();
    text_of("FAILING_CALLS", calls, sizeof calls);
    text_of("FAILING_SOCKETS", sockets, sizeof sockets);
    error = error_named(getenv("FAILING_ERROR"));
    skip = number_of("FAILING_SKIP", 0);
    first = number_of("FAILING_FIRST", 0);
    every = number_of("FAILING_EVERY", 1);
    buffers = number_of("FAILING_BUFFERS", 0);
    control = page;
}

static int is_named(const char *call) {
    size_t length = strlen(call);
    for (const char *at = calls; (at = strstr(at, call)); at += length) {
        int begins = at == calls || at[-1] == ',';
        int ends = at[length] == '\0' || at[length] == ',';
        if (begins && ends) return 1;
    }
    return 0;
}

static int option(int fd, int name) {
    int value = -1;
    socklen_t length = sizeof value;
    int before = errno;
    int failed = REAL(getsockopt)(fd, SOL_SOCKET, name, &value, &length);
    errno = before;
    return failed ? -1 : value;
}

/* Whether failures apply to a socket of this domain and type. */
static int is_affected(int domain, int type, int fd) {
    if (domain != AF_INET && domain != AF_INET6) return 0;
    int tcp = type == SOCK_STREAM;
    if (!*sockets) return 1;
    if (!strcmp(sockets, "tcp")) return tcp;
    if (!strcmp(sockets, "udp")) return !tcp;
    if (fd < 0 || fd >= MAX_DESCRIPTORS || !tcp) return 0;
    return outgoing[fd] == !strcmp(sockets, "outgoing");
}

/* Whether this call fails, by its number among the matching calls. */
static int is_selected(void) {
    unsigned long number = atomic_fetch_add(&matched, 1);
    if (number < skip) return 0;
    number -= skip;
    if ((first && number >= first) || number % every) return 0;
    atomic_fetch_add(&control->failed, 1);
    return 1;
}

static int is_enabled(const char *call) {
    return control && control->enabled && is_named(call);
}

/* The failure to inject into a call on a socket: 0, an errno, or SHORT. */
static int failure_on_socket(const char *call, int fd) {
    if (!is_enabled(call) || !is_affected(option(fd, SO_DOMAIN), option(fd, SO_TYPE), fd)) return 0;
    return is_selected() ? error : 0;
}

static int failure_on_file(const char *call, int fd) {
    struct stat info;
    if (!is_enabled(call) || fstat(fd, &info)) return 0;
    /* Folders are synced, too. */
    if (!S_ISREG(info.st_mode) && !S_ISDIR(info.st_mode)) return 0;
    return is_selected() ? error : 0;
}

/* The same for a call on a socket or a file, for reading and writing. */
static int failure_on_any(const char *call, int fd) {
    return option(fd, SO_DOMAIN) == -1 ? failure_on_file(call, fd) : failure_on_socket(call, fd);
}

static int fails(int injected) {
    if (injected <= 0) return 0;
    errno = injected;
    return 1;
}

/* On Linux a socket is not ready after a short transfer until a new event, and edge-triggered readers rely on that.
 * After an injected short transfer the descriptor is registered again, which causes the event. */
static void rearm(int injected, int fd) {
    if (injected != SHORT || fd < 0 || fd >= MAX_DESCRIPTORS || !watches[fd].event.events) return;
    int before = errno;
    struct epoll_event event = watches[fd].event;
    REAL(epoll_ctl)(watches[fd].epoll, EPOLL_CTL_MOD, fd, &event);
    errno = before;
}

static size_t shortened(int injected, size_t length) {
    return injected == SHORT && length > 1 ? 1 : length;
}

static void track_socket(int fd, int type) {
    if (!control || fd < 0 || fd >= MAX_DESCRIPTORS) return;
    outgoing[fd] = 0;
    watches[fd].event.events = 0;
    if (!buffers || type != SOCK_STREAM) return;
    int size = (int)buffers;
    REAL(setsockopt)(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
    REAL(setsockopt)(fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof size);
}

int socket(int domain, int type, int protocol) {
    int kind = type & ~(SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (is_enabled("socket") && is_affected(domain, kind, -1) && is_selected()) {
        errno = error;
        return -1;
    }
    int fd = REAL(socket)(domain, type, protocol);
    if (domain == AF_INET) track_socket(fd, kind);
    return fd;
}

int bind(int fd, const struct sockaddr *address, socklen_t length) {
    return fails(failure_on_socket("bind", fd)) ? -1 : REAL(bind)(fd, address, length);
}

int listen(int fd, int backlog) {
    return fails(failure_on_socket("listen", fd)) ? -1 : REAL(listen)(fd, backlog);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    if (fails(failure_on_socket("accept4", fd))) return -1;
    int accepted = REAL(accept4)(fd, address, length, flags);
    track_socket(accepted, SOCK_STREAM);
    return accepted;
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    if (fd >= 0 && fd < MAX_DESCRIPTORS) outgoing[fd] = 1;
    int injected = failure_on_socket("connect", fd);
    /* An interrupted connect goes on in the background. */
    if (injected == EINTR) REAL(connect)(fd, address, length);
    return fails(injected) ? -1 : REAL(connect)(fd, address, length);
}

/* The error of a failed connect is read as a socket option. */
int getsockopt(int fd, int level, int name, void *value, socklen_t *length) {
    int result = REAL(getsockopt)(fd, level, name, value, length);
    if (result || level != SOL_SOCKET || name != SO_ERROR) return result;
    int injected = failure_on_socket("getsockopt", fd);
    if (injected > 0) *(int *)value = injected;
    return result;
}

int setsockopt(int fd, int level, int name, const void *value, socklen_t length) {
    return fails(failure_on_socket("setsockopt", fd)) ? -1 : REAL(setsockopt)(fd, level, name, value, length);
}

int getsockname(int fd, struct sockaddr *address, socklen_t *length) {
    return fails(failure_on_socket("getsockname", fd)) ? -1 : REAL(getsockname)(fd, address, length);
}

int shutdown(int fd, int how) {
    return fails(failure_on_socket("shutdown", fd)) ? -1 : REAL(shutdown)(fd, how);
}

ssize_t recv(int fd, void *buffer, size_t length, int flags) {
    int injected = failure_on_socket("recv", fd);
    if (fails(injected)) return -1;
    ssize_t read = REAL(recv)(fd, buffer, shortened(injected, length), flags);
    rearm(injected, fd);
    return read;
}

ssize_t recvfrom(int fd, void *buffer, size_t length, int flags, struct sockaddr *from, socklen_t *size) {
    int injected = failure_on_socket("recvfrom", fd);
    return fails(injected) ? -1 : REAL(recvfrom)(fd, buffer, length, flags, from, size);
}

ssize_t read(int fd, void *buffer, size_t length) {
    int injected = failure_on_any("read", fd);
    return fails(injected) ? -1 : REAL(read)(fd, buffer, shortened(injected, length));
}

ssize_t send(int fd, const void *buffer, size_t length, int flags) {
    int injected = failure_on_socket("send", fd);
    if (fails(injected)) return -1;
    ssize_t written = REAL(send)(fd, buffer, shortened(injected, length), flags);
    rearm(injected, fd);
    return written;
}

ssize_t sendto(int fd, const void *buffer, size_t length, int flags, const struct sockaddr *to,
               socklen_t size) {
    int injected = failure_on_socket("sendto", fd);
    return fails(injected) ? -1 : REAL(sendto)(fd, buffer, length, flags, to, size);
}

ssize_t write(int fd, const void *buffer, size_t length) {
    int injected = failure_on_any("write", fd);
    return fails(injected) ? -1 : REAL(write)(fd, buffer, shortened(injected, length));
}

ssize_t writev(int fd, const struct iovec *pieces, int count) {
    int injected = failure_on_any("writev", fd);
    if (fails(injected)) return -1;
    int full = 0;
    while (injected == SHORT && full + 1 < count && !pieces[full].iov_len) full++;
    if (injected != SHORT || !count) return REAL(writev)(fd, pieces, count);
    size_t length = shortened(injected, pieces[full].iov_len);
    ssize_t written = REAL(send)(fd, pieces[full].iov_base, length, MSG_NOSIGNAL);
    rearm(injected, fd);
    return written;
}

int epoll_wait(int epoll, struct epoll_event *events, int most, int timeout) {
    if (is_enabled("epoll_wait") && is_selected()) {
        errno = error;
        return -1;
    }
    return REAL(epoll_wait)(epoll, events, most, timeout);
}

int epoll_ctl(int epoll, int operation, int fd, struct epoll_event *event) {
    /* Only new registrations need memory. */
    if (operation == EPOLL_CTL_ADD && fails(failure_on_socket("epoll_ctl", fd))) return -1;
    int result = REAL(epoll_ctl)(epoll, operation, fd, event);
    if (!result && operation == EPOLL_CTL_ADD && fd < MAX_DESCRIPTORS) {
        watches[fd].epoll = epoll;
        watches[fd].event = *event;
    }
    return result;
}

int fsync(int fd) {
    return fails(failure_on_file("fsync", fd)) ? -1 : REAL(fsync)(fd);
}

int fdatasync(int fd) {
    return fails(failure_on_file("fdatasync", fd)) ? -1 : REAL(fdatasync)(fd);
}

int open64(const char *path, int flags, ...) {
    __builtin_va_list arguments;
    __builtin_va_start(arguments, flags);
    mode_t mode = flags & (O_CREAT | __O_TMPFILE) ? __builtin_va_arg(arguments, mode_t) : 0;
    __builtin_va_end(arguments);
    if ((flags & O_CREAT) && is_enabled("open64") && is_selected()) {
        errno = error;
        return -1;
    }
    return REAL(open64)(path, flags, mode);
}
