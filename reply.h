#pragma once

#include <http_parser.h>

#include "str.h"

/**
 * DOC: one HTTP reply, as it comes in
 *
 * Between a connection's bytes and a whole reply. Interim replies and those to
 * an earlier request are skipped; what is no HTTP, or too long, is an error.
 */

enum {
	REPLY_HEADERS_MAX = 64,
};

/** struct header - one line of a head */
struct header {
	struct str name;
	struct str value;
};

/** struct span - a piece of reply.text, which may move while it grows */
struct span {
	size_t at;
	size_t len;
};

/**
 * struct reply - a reply that is being read
 * @text: header names and values, then the body
 * @body_offset: where the body begins in @text
 * @body_max: bytes of it that are taken
 * @no_body: it has none whatever its head says
 * @echo_name, @echo: header that must hold @echo, if there is such a header; a
 *                    reply with another value is one to an earlier request
 * @skip: this one is
 * @done: it is whole
 * @closes_after: its sender closes the connection after it
 */
struct reply {
	struct http_parser parser;
	struct buf text;
	struct span names[REPLY_HEADERS_MAX];
	struct span values[REPLY_HEADERS_MAX];
	size_t nheaders;
	bool in_value;
	size_t body_offset;
	size_t body_max;
	bool no_body;
	struct buf echo_name;
	struct buf echo;
	bool skip;
	bool done;
	bool closes_after;
};

/** reply_reset() - forget what was read; the next reply is expected. */
void reply_reset(struct reply *reply);
void reply_free(struct reply *reply);
/**
 * reply_parse() - take bytes of the connection, up to the end of the reply
 *
 * Return: how many were taken, or -1 when they are no reply that can be taken.
 */
ssize_t reply_parse(struct reply *reply, const char *bytes, size_t len);
/** reply_eof() - the connection has ended: so may a reply without a length. */
void reply_eof(struct reply *reply);
/** reply_headers() - fill @out, of REPLY_HEADERS_MAX. */
void reply_headers(const struct reply *reply, struct header *out);
/** header_find() - value of the first header with this name, or empty. */
struct str header_find(const struct header *headers, size_t count,
		       struct str name);
