#pragma once

#include <http_parser.h>

#include "str.h"

/**
 * DOC: incremental parser of an HTTP reply
 *
 * Assembles a reply from the bytes of a connection. Interim (1xx) replies and
 * replies to an earlier request are skipped; bytes that are not HTTP and
 * replies that are too large are errors.
 */

enum {
	REPLY_HEADERS_MAX = 64,
};

/** struct header - one header of a request or reply */
struct header {
	struct str name;
	struct str value;
};

/** struct span - range of reply.text, which may be reallocated as it grows */
struct span {
	size_t offset;
	size_t len;
};

/**
 * struct reply - a reply being parsed
 * @text: header names and values, then the body
 * @body_offset: offset of the body in @text
 * @body_max: largest body accepted, bytes
 * @no_body: the reply has no body, whatever its headers state
 * @echo_name, @echo: name and expected value of a header that echoes the
 *                    request's id; a reply with another value belongs to an
 *                    earlier request. Not checked if @echo is empty or the
 *                    reply has no such header
 * @skip: this reply belongs to an earlier request
 * @done: the reply is complete
 * @closes_after: the sender closes the connection after this reply
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

/** reply_reset() - discard all state and expect the next reply. */
void reply_reset(struct reply *reply);
void reply_free(struct reply *reply);
/**
 * reply_parse() - parse bytes of the connection, up to the end of the reply.
 *
 * Return: number of bytes parsed, or -1 if they are not an acceptable reply.
 */
ssize_t reply_parse(struct reply *reply, const char *bytes, size_t len);
/** reply_eof() - handle end of stream, which ends a reply without a length. */
void reply_eof(struct reply *reply);
/** reply_headers() - fill @out, which has REPLY_HEADERS_MAX items. */
void reply_headers(const struct reply *reply, struct header *out);
/** header_find() - value of the first header named @name, or empty. */
struct str header_find(const struct header *headers, size_t count,
		       struct str name);
