#pragma once

#include <http_parser.h>

#include "str.h"

/**
 * DOC: headers of an HTTP message
 *
 * Collects the names and values that a parser delivers in pieces. Their number
 * and size are bounded by the owner alone, which knows what the other side may
 * send.
 */

/** struct header - one header of a request or reply, without outer spaces */
struct header {
	struct str name;
	struct str value;
};

/** struct header_span - ranges in headers.text, which may be reallocated */
struct header_span {
	size_t name;
	size_t name_len;
	size_t value;
	size_t value_len;
};

/**
 * struct headers - all headers of a message
 * @text: names and values, one after the other
 * @spans, @count, @cap: ranges of @text, in the order of the message
 * @in_value: the last piece belonged to a value
 */
struct headers {
	struct buf text;
	struct header_span *spans;
	size_t count;
	size_t cap;
	bool in_value;
};

/** headers_add_name() - add a piece of a name. */
void headers_add_name(struct headers *headers, const char *at, size_t len);
/** headers_add_value() - add a piece of the value of the last name. */
void headers_add_value(struct headers *headers, const char *at, size_t len);
/** headers_at() - the header at @index, below headers.count. */
struct header headers_at(const struct headers *headers, size_t index);
/** headers_find() - value of the first header named @name, or empty. */
struct str headers_find(const struct headers *headers, struct str name);
/** headers_size() - memory that the headers take up, bytes. */
size_t headers_size(const struct headers *headers);
/** headers_clear() - forget all headers, but keep the memory. */
void headers_clear(struct headers *headers);
void headers_free(struct headers *headers);
/** header_is_token_char() - whether a name may contain @c. */
bool header_is_token_char(char c);
/** status_has_body() - whether a reply with this status may have a body. */
bool status_has_body(int status);
/** header_name_eq() - compare names, without regard to case. */
bool header_name_eq(struct str a, struct str b);
/** header_add_line() - append "Name: value\r\n". */
void header_add_line(struct buf *out, struct str name, struct str value);
/**
 * header_parser_init() - prepare @parser for the next message.
 *
 * The parser's own limit of a message's headers is lifted: it is one for the
 * whole process, and lower than what a configuration may allow.
 */
void header_parser_init(struct http_parser *parser, enum http_parser_type type,
			void *data);
