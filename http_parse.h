#pragma once

#include "catalog.h"
#include "error.h"
#include "headers.h"

/**
 * DOC: incremental parser of an HTTP request
 *
 * Assembles a caller's request from the bytes of a connection. Memory is taken
 * for what has arrived only, so that an idle connection costs next to nothing
 * and one with a large request as much as the limits allow.
 */

enum http_parse_state {
	HTTP_PARSE_METHOD,
	HTTP_PARSE_HEAD,
	HTTP_PARSE_BODY,
	HTTP_PARSE_DONE,
};

/**
 * struct http_parse - a request being parsed
 * @method, @uri: as received
 * @head_bytes: size of the request line and headers so far
 * @keep_alive: the caller keeps the connection open
 * @http_1_0: the caller closes the connection unless told otherwise
 * @awaits_continue: the caller sends the body after an interim answer
 */
struct http_parse {
	enum http_parse_state state;
	struct http_parser parser;
	const struct caller_limits *limits;
	struct buf method;
	struct buf uri;
	struct headers headers;
	struct buf body;
	size_t head_bytes;
	bool keep_alive;
	bool http_1_0;
	bool awaits_continue;
	int code;
};

/** http_parse_reset() - expect the next request; frees that of the last one. */
void http_parse_reset(struct http_parse *parse);
/**
 * http_parse() - parse bytes of the connection, up to the end of the request.
 * @limits: limits in force
 *
 * Return: number of bytes parsed, or ERR_BAD_REQUEST, ERR_HEADERS_TOO_LARGE or
 * ERR_TOO_LARGE; after an error no more bytes of the connection can be parsed.
 */
ssize_t http_parse(struct http_parse *parse, const struct caller_limits *limits,
		   const char *bytes, size_t len);
