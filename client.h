#pragma once

#include "error.h"

/**
 * client_call() - blocking HTTP request, for the command line
 * @post: body of a POST; a GET when its ptr is NULL
 * @out: body of the reply
 *
 * Return: HTTP status, or ERR_IO with @err.
 */
int client_call(struct str addr, const char *path, struct str post,
		int64_t timeout_ms, struct buf *out, struct error *err);
