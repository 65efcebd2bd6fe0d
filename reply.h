#pragma once

#include "headers.h"
#include "reply_syntax.h"

/**
 * DOC: incremental parser of an HTTP reply
 *
 * Assembles a reply from the bytes of a connection. Interim (1xx) replies and
 * replies that do not name the request are skipped; bytes that are not HTTP/1.1
 * by its grammar and replies that are too large are errors. So are bytes that
 * come without end and are part of no reply.
 */

/**
 * struct reply - a reply being parsed
 * @body_max: largest body accepted, bytes
 * @no_body: the reply has no body, whatever its headers state
 * @echo_name, @echo: name and expected value of a header that echoes the
 *                    request's id; a reply with another value, or without it,
 *                    belongs to no request or an earlier one. If @echo is
 *                    empty, the reply has no such header
 * @syntax: position in the head, or in the chunks of the body
 * @chunked: the body comes in chunks
 * @signature_name: name of a header that signs the reply; may be empty
 * @in_body: the headers are complete, but not the reply
 * @skip: this reply does not name the request
 * @skipped: number of such replies since the caller last cleared it
 * @received: bytes received for this reply, but for @foreign
 * @foreign: bytes of replies that do not name the request
 * @done: the reply is complete
 * @closes_after: the sender closes the connection after this reply
 */
struct reply {
	struct http_parser parser;
	struct headers headers;
	struct buf body;
	size_t body_max;
	bool no_body;
	struct buf echo_name;
	struct buf echo;
	struct buf signature_name;
	struct reply_syntax syntax;
	bool chunked;
	bool in_body;
	bool skip;
	unsigned int skipped;
	size_t received;
	size_t foreign;
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
/**
 * reply_parse_line() - parse a line of the head, or a trailer field.
 *
 * For a reply whose body is read by other code; @reply has no_body set.
 *
 * Return: whether the line may be a part of an acceptable reply
 */
bool reply_parse_line(struct reply *reply, struct str line);
/** reply_eof() - handle end of stream, which ends a reply without a length. */
void reply_eof(struct reply *reply);
