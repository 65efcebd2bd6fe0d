#pragma once

#include "error.h"

/**
 * client_call() - send an HTTP request and wait for its reply.
 * @post: body of a POST; a GET is sent if its ptr is NULL
 * @out: body of the reply
 *
 * Blocks; for the command line.
 *
 * Return: HTTP status, or ERR_IO with @err.
 */
int client_call(struct str addr, const char *path, struct str post,
		int64_t timeout_ms, struct buf *out, struct error *err);
