#pragma once

#include <netinet/in.h>
#include <stdint.h>

#include "str.h"

/**
 * DOC: system interface
 *
 * Random numbers, signals through a file descriptor, and sockets that detect a
 * dead peer.
 */

/** os_random() - random number from the kernel; never 0. */
uint64_t os_random(void);

/**
 * os_signalfd() - block @numbers and open a signalfd for them; ignore SIGPIPE.
 * @count: length of @numbers
 *
 * Return: a non-blocking file descriptor.
 */
int os_signalfd(const int *numbers, size_t count);

/** os_signal_read() - pending signal of an os_signalfd(), 0 if none. */
int os_signal_read(int fd);

/**
 * os_socket() - open a non-blocking TCP socket for the "ip:port" @addr.
 * @user_timeout_ms: TCP_USER_TIMEOUT; the connection fails if sent bytes stay
 *                   unacknowledged for this long, as a peer without power
 *                   sends no reset
 * @sin: receives the parsed address
 *
 * Return: the descriptor, or -1 if @addr is invalid or no socket is available.
 */
int os_socket(struct str addr, unsigned int user_timeout_ms,
	      struct sockaddr_in *sin);

/**
 * os_listen() - open a non-blocking TCP socket that listens on @addr.
 * @user_timeout_ms: see os_socket(); accepted connections inherit it
 * @backlog: connections that may wait to be accepted
 *
 * Return: the descriptor, or -1 with errno set.
 */
int os_listen(struct str addr, unsigned int user_timeout_ms, int backlog);
