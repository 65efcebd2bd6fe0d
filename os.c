#include "os.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/random.h>
#include <sys/signalfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "config.h"

#define LOG_MODULE "os"
#include "log.h"

uint64_t os_random(void)
{
	uint64_t value = 0;

	if (getrandom(&value, sizeof(value), 0) != sizeof(value)) {
		LOG_ERR("getrandom: %s", strerror(errno));
		abort();
	}
	return value | 1;
}

int os_signalfd(const int *numbers, size_t count)
{
	sigset_t set;

	signal(SIGPIPE, SIG_IGN);
	sigemptyset(&set);
	for (size_t i = 0; i < count; i++)
		sigaddset(&set, numbers[i]);
	sigprocmask(SIG_BLOCK, &set, NULL);
	return signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
}

int os_signal_read(int fd)
{
	struct signalfd_siginfo info;

	if (read(fd, &info, sizeof(info)) != sizeof(info))
		return 0;
	return (int)info.ssi_signo;
}

int os_socket(struct str addr, unsigned int user_timeout_ms,
	      struct sockaddr_in *sin)
{
	char ip[INET_ADDRSTRLEN];
	uint16_t port;
	int one = 1;
	int fd;

	if (addr_split(addr, ip, sizeof(ip), &port)) {
		errno = EINVAL;
		return -1;
	}
	*sin = (struct sockaddr_in){ .sin_family = AF_INET };
	inet_pton(AF_INET, ip, &sin->sin_addr);
	sin->sin_port = htons(port);
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms,
		   sizeof(user_timeout_ms));
	return fd;
}

int os_listen(struct str addr, unsigned int user_timeout_ms, int backlog)
{
	struct sockaddr_in sin;
	int one = 1;
	int fd = os_socket(addr, user_timeout_ms, &sin);
	int saved;

	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (!bind(fd, (struct sockaddr *)&sin, sizeof(sin)) &&
	    !listen(fd, backlog))
		return fd;
	saved = errno;
	close(fd);
	errno = saved;
	return -1;
}
