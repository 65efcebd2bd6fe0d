#pragma once

#include <netinet/in.h>
#include <stdint.h>

#include "str.h"

/**
 * DOC: what a node asks of the system
 *
 * Random numbers, signals as a descriptor, sockets that notice a dead peer.
 */

/** os_random() - from the system; never 0. */
uint64_t os_random(void);

/**
 * os_signalfd() - descriptor that becomes readable with one of @count @numbers,
 * which no longer interrupt the process; SIGPIPE is ignored
 */
int os_signalfd(const int *numbers, size_t count);

/** os_signal_read() - the signal that is pending on such a descriptor, or 0. */
int os_signal_read(int fd);

/**
 * os_socket() - TCP socket that never blocks, for the "ip:port" @addr
 * @user_timeout_ms: bytes that are not taken for this long end the connection:
 * a peer without power sends no reset
 * @sin: filled with the address
 *
 * Return: the descriptor, or -1 if @addr is none or the system has no more.
 */
int os_socket(struct str addr, unsigned int user_timeout_ms,
	      struct sockaddr_in *sin);
