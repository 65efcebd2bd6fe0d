#include "reply.h"

enum {
	/* Limit of what a target that never ends its headers can fill. */
	HEADERS_MAX_BYTES = 1024 * 1024,
	/*
	 * Bytes that are kept nowhere: line ends, interim replies, trailer
	 * fields. A body in chunks of one byte has five for each of its own.
	 */
	FRAMING_MAX_BYTES = 1024 * 1024,
	FRAMING_PER_BYTE_MAX = 16,
	/* Results of the callback at the end of the headers. */
	SKIP_BODY = 1,
	BAD_HEAD = -1,
};

/* Trailer fields behind a body in chunks are neither headers nor body. */
static int on_header_field(http_parser *parser, const char *at, size_t len)
{
	struct reply *reply = parser->data;

	if (reply->in_body)
		return 0;
	headers_add_name(&reply->headers, at, len);
	return headers_size(&reply->headers) > HEADERS_MAX_BYTES;
}

static int on_header_value(http_parser *parser, const char *at, size_t len)
{
	struct reply *reply = parser->data;

	if (reply->in_body)
		return 0;
	headers_add_value(&reply->headers, at, len);
	return headers_size(&reply->headers) > HEADERS_MAX_BYTES;
}

/*
 * A target may send a second reply to an earlier request, early or late, or
 * other bytes that look like a reply. They arrive in place of the reply to this
 * request, and only the echoed request id tells them apart. Without one, a
 * caller was told that its request is bad while the target ran it.
 */
static bool is_foreign(const struct reply *reply)
{
	struct str echo = buf_str(&reply->echo);
	struct str value =
		headers_find(&reply->headers, buf_str(&reply->echo_name));

	if (!echo.len)
		return value.len > 0;
	return !value.ptr || !str_eq(value, echo);
}

/* Of two ids or signatures, it cannot be told which is the reply's. */
static bool has_two_values(const struct headers *headers, struct str name)
{
	struct str first = headers_find(headers, name);

	for (size_t i = 0; i < headers->count; i++) {
		struct header header = headers_at(headers, i);

		if (header_name_eq(header.name, name) &&
		    !str_eq(header.value, first))
			return true;
	}
	return false;
}

/* A comma stands between signatures, also in the answer over all shards. */
static bool is_list(const struct headers *headers, struct str name)
{
	struct str value = headers_find(headers, name);

	return value.len && memchr(value.ptr, ',', value.len);
}

static bool is_ambiguous(const struct reply *reply)
{
	struct str signature_name = buf_str(&reply->signature_name);

	return has_two_values(&reply->headers, buf_str(&reply->echo_name)) ||
	       has_two_values(&reply->headers, signature_name) ||
	       is_list(&reply->headers, signature_name);
}

/*
 * A target may use no other coding unasked. The body would be passed on
 * encoded, or, without chunks, be awaited until the connection ends.
 */
static bool has_known_coding(const struct headers *headers)
{
	bool found = false;

	for (size_t i = 0; i < headers->count; i++) {
		struct header header = headers_at(headers, i);

		if (!header_name_eq(header.name, STR("Transfer-Encoding")))
			continue;
		if (found || !header_name_eq(header.value, STR("chunked")))
			return false;
		found = true;
	}
	return true;
}

static int on_headers_complete(http_parser *parser)
{
	struct reply *reply = parser->data;
	bool has_body =
		!reply->no_body && status_has_body((int)parser->status_code);

	/* No request asks for another protocol. */
	if (parser->status_code == HTTP_STATUS_SWITCHING_PROTOCOLS ||
	    !has_known_coding(&reply->headers) || is_ambiguous(reply))
		return BAD_HEAD;
	reply->in_body = true;
	reply->chunked = has_body && parser->flags & F_CHUNKED;
	reply->skip = reply->parser.status_code / 100 != 1 && is_foreign(reply);
	reply->skipped += reply->skip;
	return has_body ? 0 : SKIP_BODY;
}

static int on_body(http_parser *parser, const char *at, size_t len)
{
	struct reply *reply = parser->data;

	if (reply->body.len + len > reply->body_max)
		return 1;
	buf_add(&reply->body, at, len);
	return 0;
}

/* Bytes behind a 204 that states a body could pass for the next reply. */
static bool is_followed_by_body(const http_parser *parser)
{
	return parser->status_code == HTTP_STATUS_NO_CONTENT &&
	       (parser->flags & (F_CHUNKED | F_CONTENTLENGTH)) &&
	       parser->content_length;
}

/* Pauses, so that the caller of the parser learns where the reply ends. */
static int on_message_complete(http_parser *parser)
{
	struct reply *reply = parser->data;

	reply->closes_after =
		!http_should_keep_alive(parser) || is_followed_by_body(parser);
	reply->in_body = false;
	http_parser_pause(parser, 1);
	if (parser->status_code / 100 == 1 || reply->skip) {
		headers_clear(&reply->headers);
		reply->body.len = 0;
		reply->skip = false;
		return 0;
	}
	reply->done = true;
	return 0;
}

static const http_parser_settings parser_callbacks = {
	.on_header_field = on_header_field,
	.on_header_value = on_header_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_message_complete = on_message_complete,
};

/*
 * A faulty target may send bytes without end. Those that are kept have limits
 * of their own; without one on the others, in a reason phrase, between replies
 * or in replies to other requests, a caller would wait for its whole deadline
 * for a reply that cannot come.
 */
static bool is_endless(const struct reply *reply)
{
	size_t kept = headers_size(&reply->headers) + reply->body.len;

	return reply->foreign > reply->body_max + HEADERS_MAX_BYTES ||
	       reply->received >
		       FRAMING_MAX_BYTES + (1 + FRAMING_PER_BYTE_MAX) * kept;
}

void reply_reset(struct reply *reply)
{
	reply->received = 0;
	reply->foreign = 0;
	headers_clear(&reply->headers);
	reply->body.len = 0;
	reply_syntax_head(&reply->syntax);
	reply->chunked = false;
	reply->in_body = false;
	reply->skip = false;
	reply->done = false;
	header_parser_init(&reply->parser, HTTP_RESPONSE, reply);
}

void reply_free(struct reply *reply)
{
	buf_free(&reply->echo_name);
	buf_free(&reply->echo);
	buf_free(&reply->signature_name);
	headers_free(&reply->headers);
	buf_free(&reply->body);
}

/* Return: bytes parsed, up to the end of the reply, or -1. */
static ssize_t execute(struct reply *reply, const char *bytes, size_t len)
{
	size_t used = http_parser_execute(&reply->parser, &parser_callbacks,
					  bytes, len);
	enum http_errno result = HTTP_PARSER_ERRNO(&reply->parser);

	if (result == HPE_PAUSED)
		http_parser_pause(&reply->parser, 0);
	return result == HPE_OK || result == HPE_PAUSED ? (ssize_t)used : -1;
}

/* The parser gets no byte that the grammar has not accepted. */
static ssize_t parse_head(struct reply *reply, const char *bytes, size_t len)
{
	ssize_t used = reply_syntax_check(&reply->syntax, bytes, len);
	bool complete = reply_syntax_complete(&reply->syntax);

	if (used < 0 || execute(reply, bytes, (size_t)used) != used)
		return -1;
	if (!complete)
		return reply->in_body ? -1 : used;
	if (reply->in_body && reply->chunked)
		reply_syntax_chunks(&reply->syntax);
	else
		reply_syntax_head(&reply->syntax);
	return used;
}

static ssize_t parse_chunks(struct reply *reply, const char *bytes, size_t len)
{
	ssize_t used = reply_syntax_check(&reply->syntax, bytes, len);
	bool complete = reply_syntax_complete(&reply->syntax);

	if (used < 0 || execute(reply, bytes, (size_t)used) != used ||
	    complete == reply->in_body)
		return -1;
	if (complete)
		reply_syntax_head(&reply->syntax);
	return used;
}

static ssize_t parse_some(struct reply *reply, const char *bytes, size_t len)
{
	unsigned int skipped = reply->skipped;
	ssize_t used;

	if (!reply->in_body)
		used = parse_head(reply, bytes, len);
	else if (reply->chunked)
		used = parse_chunks(reply, bytes, len);
	else
		used = execute(reply, bytes, len);
	if (used < 0)
		return -1;
	if (reply->skip || reply->skipped != skipped)
		reply->foreign += (size_t)used;
	else
		reply->received += (size_t)used;
	return used;
}

ssize_t reply_parse(struct reply *reply, const char *bytes, size_t len)
{
	size_t used = 0;

	while (used < len && !reply->done) {
		ssize_t n = parse_some(reply, bytes + used, len - used);

		if (n < 0 || (!reply->done && is_endless(reply)))
			return -1;
		used += (size_t)n;
	}
	return (ssize_t)used;
}

bool reply_parse_line(struct reply *reply, struct str line)
{
	if (reply->done) {
		reply->received += line.len;
		return !is_endless(reply) &&
		       reply_syntax_check(&reply->syntax, line.ptr, line.len) ==
			       (ssize_t)line.len;
	}
	if (reply_parse(reply, line.ptr, line.len) != (ssize_t)line.len)
		return false;
	if (reply->done)
		reply_syntax_trailer(&reply->syntax);
	return true;
}

void reply_eof(struct reply *reply)
{
	http_parser_execute(&reply->parser, &parser_callbacks, NULL, 0);
}
