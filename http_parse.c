#include "http_parse.h"

#include <limits.h>

/*
 * The library knows a fixed list of methods, callers may use any other. The
 * method changes nothing in how a request is parsed, but for CONNECT, so that
 * one method stands for all.
 */
static const struct str parsed_method = { "POST ", 5 };

static int on_url(http_parser *parser, const char *at, size_t len)
{
	struct http_parse *parse = parser->data;

	buf_add(&parse->uri, at, len);
	return 0;
}

/* Trailer fields behind a body in chunks are neither headers nor body. */
static bool in_trailer(const struct http_parse *parse)
{
	return parse->state != HTTP_PARSE_HEAD;
}

static int on_header_field(http_parser *parser, const char *at, size_t len)
{
	struct http_parse *parse = parser->data;

	if (!in_trailer(parse))
		headers_add_name(&parse->headers, at, len);
	return 0;
}

static int on_header_value(http_parser *parser, const char *at, size_t len)
{
	struct http_parse *parse = parser->data;

	if (!in_trailer(parse))
		headers_add_value(&parse->headers, at, len);
	return 0;
}

/*
 * "Content-Length : 5" is a length to some readers and none to others, so that
 * bytes of a body could pass for the next request.
 */
static bool has_space_in_name(const struct headers *headers)
{
	for (size_t i = 0; i < headers->count; i++) {
		const struct header_span *span = &headers->spans[i];

		if (memchr(headers->text.ptr + span->name, ' ', span->name_len))
			return true;
	}
	return false;
}

/* Pauses, so that the caller of the parser learns where the headers end. */
static int on_headers_complete(http_parser *parser)
{
	struct http_parse *parse = parser->data;
	struct str expect = headers_find(&parse->headers, STR("Expect"));

	parse->state = HTTP_PARSE_BODY;
	parse->keep_alive = http_should_keep_alive(parser);
	parse->http_1_0 = parser->http_major == 1 && parser->http_minor == 0;
	parse->awaits_continue = header_name_eq(expect, STR("100-continue"));
	if (parser->http_major != 1 || has_space_in_name(&parse->headers))
		parse->code = ERR_BAD_REQUEST;
	else if (parser->content_length != ULLONG_MAX &&
		 parser->content_length > parse->limits->body_bytes)
		parse->code = ERR_TOO_LARGE;
	/* The connection goes on in HTTP/1.1, whatever the caller offers. */
	parser->upgrade = 0;
	http_parser_pause(parser, 1);
	return 0;
}

static int on_body(http_parser *parser, const char *at, size_t len)
{
	struct http_parse *parse = parser->data;

	if (parse->body.len + len > parse->limits->body_bytes) {
		parse->code = ERR_TOO_LARGE;
		return 1;
	}
	buf_add(&parse->body, at, len);
	return 0;
}

static int on_message_complete(http_parser *parser)
{
	struct http_parse *parse = parser->data;

	parse->state = HTTP_PARSE_DONE;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings parser_callbacks = {
	.on_url = on_url,
	.on_header_field = on_header_field,
	.on_header_value = on_header_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_message_complete = on_message_complete,
};

void http_parse_reset(struct http_parse *parse)
{
	buf_free(&parse->method);
	buf_free(&parse->uri);
	headers_free(&parse->headers);
	buf_free(&parse->body);
	*parse = (struct http_parse){ 0 };
	header_parser_init(&parse->parser, HTTP_REQUEST, parse);
}

/* Return: bytes parsed; an error is left in @parse. */
static size_t execute(struct http_parse *parse, const char *bytes, size_t len)
{
	size_t used = http_parser_execute(&parse->parser, &parser_callbacks,
					  bytes, len);
	enum http_errno result = HTTP_PARSER_ERRNO(&parse->parser);

	if (result == HPE_PAUSED)
		http_parser_pause(&parse->parser, 0);
	else if (result != HPE_OK && !parse->code)
		parse->code = ERR_BAD_REQUEST;
	return used;
}

static size_t parse_method(struct http_parse *parse, const char *bytes,
			   size_t len)
{
	size_t used = 0;
	size_t start;

	/* Empty lines may come before a request. */
	while (!parse->method.len && used < len &&
	       (bytes[used] == '\r' || bytes[used] == '\n'))
		used++;
	start = used;
	while (used < len && header_is_token_char(bytes[used]))
		used++;
	buf_add(&parse->method, bytes + start, used - start);
	if (used == len)
		return used;
	if (bytes[used++] != ' ' || !parse->method.len) {
		parse->code = ERR_BAD_REQUEST;
		return used;
	}
	parse->state = HTTP_PARSE_HEAD;
	execute(parse, parsed_method.ptr, parsed_method.len);
	return used;
}

static size_t parse_some(struct http_parse *parse, const char *bytes,
			 size_t len)
{
	size_t used;

	if (parse->state == HTTP_PARSE_BODY)
		return execute(parse, bytes, len);
	used = parse->state == HTTP_PARSE_METHOD
		       ? parse_method(parse, bytes, len)
		       : execute(parse, bytes, len);
	parse->head_bytes += used;
	/* The pause comes before the last byte of the headers. */
	if (parse->state == HTTP_PARSE_BODY)
		parse->head_bytes++;
	if (parse->head_bytes > parse->limits->header_bytes)
		parse->code = ERR_HEADERS_TOO_LARGE;
	return used;
}

ssize_t http_parse(struct http_parse *parse, const struct caller_limits *limits,
		   const char *bytes, size_t len)
{
	size_t used = 0;

	parse->limits = limits;
	while (used < len && parse->state != HTTP_PARSE_DONE) {
		used += parse_some(parse, bytes + used, len - used);
		if (parse->code)
			return parse->code;
	}
	return (ssize_t)used;
}
