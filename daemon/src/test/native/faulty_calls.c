/*
 * Makes system calls of a process fail and shifts its wall clock, as a control file specifies.
 *
 * Preloaded into the process under test; FAULTY_CALLS names the control file, which the test keeps
 * mapped and changes while the process runs. Its layout matches the Java class that writes it.
 *
 * Only calls through the C library are affected. CLOCK_MONOTONIC is not changed.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum call { NONE, ACCEPT, CONNECT, SOCKET, READ, WRITE, SYNC, FILE_WRITE };

enum { MAX_RULES = 16, SHORT = -1 };

/* A kind of failure: every n-th matching call fails with the error or transfers one byte. */
struct rule {
  int32_t call;
  int32_t port; /* local or remote port of the socket; 0 for any */
  int32_t error; /* an errno, or SHORT */
  int32_t every;
  int32_t seen;
  int32_t failed;
};

struct control {
  int64_t wall_clock_offset_nanos;
  struct rule rules[MAX_RULES];
};

static struct control *control;

__attribute__((constructor)) static void map_control_file(void) {
  const char *name = getenv("FAULTY_CALLS");
  int fd = name == NULL ? -1 : open(name, O_RDWR);
  if (fd < 0) {
    return;
  }
  void *mapped = mmap(NULL, sizeof *control, PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
  close(fd);
  if (mapped != MAP_FAILED) {
    control = mapped;
  }
}

#define REAL(name) \
  static __typeof__(name) *real; \
  if (real == NULL) { \
    real = (__typeof__(name) *) dlsym(RTLD_NEXT, #name); \
  }

static int port_of(const struct sockaddr_storage *address) {
  if (address->ss_family == AF_INET) {
    return ntohs(((const struct sockaddr_in *) address)->sin_port);
  }
  if (address->ss_family == AF_INET6) {
    return ntohs(((const struct sockaddr_in6 *) address)->sin6_port);
  }
  return -1;
}

static int has_port(int fd, int port) {
  struct sockaddr_storage address = {0};
  socklen_t size = sizeof address;
  if (getsockname(fd, (struct sockaddr *) &address, &size) == 0 && port_of(&address) == port) {
    return 1;
  }
  size = sizeof address;
  return getpeername(fd, (struct sockaddr *) &address, &size) == 0 && port_of(&address) == port;
}

static int is_socket(int fd) {
  struct stat status;
  return fstat(fd, &status) == 0 && S_ISSOCK(status.st_mode);
}

/* Returns 0 if this call should succeed, the errno with which it should fail, or SHORT. */
static int next_fault(enum call call, int fd, int port) {
  if (control == NULL) {
    return 0;
  }
  for (int i = 0; i < MAX_RULES; i++) {
    struct rule *rule = &control->rules[i];
    if (__atomic_load_n(&rule->call, __ATOMIC_ACQUIRE) != (int32_t) call) {
      continue;
    }
    int saved = errno;
    int matches = rule->port == 0 || rule->port == port || (fd >= 0 && has_port(fd, rule->port));
    errno = saved;
    if (matches && __atomic_add_fetch(&rule->seen, 1, __ATOMIC_RELAXED) % rule->every == 0) {
      __atomic_add_fetch(&rule->failed, 1, __ATOMIC_RELAXED);
      return rule->error;
    }
  }
  return 0;
}

static int socket_fault(enum call call, int fd) {
  return control != NULL && is_socket(fd) ? next_fault(call, fd, -1) : 0;
}

int accept(int fd, struct sockaddr *address, socklen_t *size) {
  REAL(accept)
  int error = next_fault(ACCEPT, fd, -1);
  if (error == ECONNABORTED) {
    /* Accepts the waiting connection and resets it. */
    int accepted = real(fd, address, size);
    if (accepted < 0) {
      return accepted;
    }
    struct linger reset = {1, 0};
    setsockopt(accepted, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    close(accepted);
  }
  if (error > 0) {
    errno = error;
    return -1;
  }
  return real(fd, address, size);
}

int connect(int fd, const struct sockaddr *address, socklen_t size) {
  REAL(connect)
  int error = next_fault(CONNECT, -1, port_of((const struct sockaddr_storage *) address));
  if (error > 0) {
    errno = error;
    return -1;
  }
  return real(fd, address, size);
}

int socket(int domain, int type, int protocol) {
  REAL(socket)
  int error = domain == AF_INET || domain == AF_INET6 ? next_fault(SOCKET, -1, -1) : 0;
  if (error > 0) {
    errno = error;
    return -1;
  }
  return real(domain, type, protocol);
}

ssize_t read(int fd, void *bytes, size_t count) {
  REAL(read)
  int error = socket_fault(READ, fd);
  if (error > 0) {
    errno = error;
    return -1;
  }
  return real(fd, bytes, error == SHORT && count > 1 ? 1 : count);
}

ssize_t readv(int fd, const struct iovec *parts, int count) {
  REAL(readv)
  int error = socket_fault(READ, fd);
  if (error > 0) {
    errno = error;
    return -1;
  }
  return real(fd, parts, count);
}

static enum call write_call(int fd) {
  return is_socket(fd) ? WRITE : FILE_WRITE;
}

ssize_t write(int fd, const void *bytes, size_t count) {
  REAL(write)
  /* Standard output and error never fail: the log goes there, which the test reads. */
  int error = control != NULL && fd > 2 ? next_fault(write_call(fd), fd, -1) : 0;
  if (error > 0) {
    errno = error;
    return -1;
  }
  return real(fd, bytes, error == SHORT && count > 1 ? 1 : count);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
  REAL(writev)
  int error = socket_fault(WRITE, fd);
  if (error > 0) {
    errno = error;
    return -1;
  }
  if (error == SHORT && count > 0 && parts[0].iov_len > 1) {
    struct iovec one = {parts[0].iov_base, 1};
    return real(fd, &one, 1);
  }
  return real(fd, parts, count);
}

ssize_t pwrite64(int fd, const void *bytes, size_t count, off64_t offset) {
  REAL(pwrite64)
  int error = control != NULL ? next_fault(FILE_WRITE, -1, -1) : 0;
  if (error > 0) {
    errno = error;
    return -1;
  }
  return real(fd, bytes, error == SHORT && count > 1 ? 1 : count, offset);
}

int fsync(int fd) {
  REAL(fsync)
  int error = next_fault(SYNC, -1, -1);
  if (error > 0) {
    errno = error;
    return -1;
  }
  return real(fd);
}

int fdatasync(int fd) {
  REAL(fdatasync)
  int error = next_fault(SYNC, -1, -1);
  if (error > 0) {
    errno = error;
    return -1;
  }
  return real(fd);
}

int clock_gettime(clockid_t clock, struct timespec *time) {
  REAL(clock_gettime)
  int result = real(clock, time);
  if (result == 0 && control != NULL && clock == CLOCK_REALTIME) {
    int64_t offset =
        __atomic_load_n(&control->wall_clock_offset_nanos, __ATOMIC_RELAXED);
    int64_t nanos = time->tv_nsec + offset % 1000000000;
    time->tv_sec += offset / 1000000000;
    if (nanos < 0) {
      nanos += 1000000000;
      time->tv_sec--;
    }
    if (nanos >= 1000000000) {
      nanos -= 1000000000;
      time->tv_sec++;
    }
    time->tv_nsec = nanos;
  }
  return result;
}

int gettimeofday(struct timeval *restrict time, void *restrict zone) {
  REAL(gettimeofday)
  int result = real(time, zone);
  if (result == 0 && control != NULL) {
    time->tv_sec +=
        __atomic_load_n(&control->wall_clock_offset_nanos, __ATOMIC_RELAXED) / 1000000000;
  }
  return result;
}
