#include "reply.h"

static bool header_name_eq(struct str a, struct str b)
{
	return a.len == b.len && !strncasecmp(a.ptr, b.ptr, a.len);
}

struct str header_find(const struct header *headers, size_t count,
		       struct str name)
{
	for (size_t i = 0; i < count; i++)
		if (header_name_eq(headers[i].name, name))
			return headers[i].value;
	return (struct str){ 0 };
}

static struct str span_str(const struct reply *reply, struct span span)
{
	return (struct str){ reply->text.ptr + span.offset, span.len };
}

void reply_headers(const struct reply *reply, struct header *out)
{
	for (size_t i = 0; i < reply->nheaders; i++)
		out[i] = (struct header){
			span_str(reply, reply->names[i]),
			span_str(reply, reply->values[i]),
		};
}

static int on_header_field(http_parser *parser, const char *at, size_t len)
{
	struct reply *reply = parser->data;

	if (reply->in_value || !reply->nheaders) {
		if (reply->nheaders == REPLY_HEADERS_MAX)
			return 1;
		reply->names[reply->nheaders++] =
			(struct span){ reply->text.len, 0 };
		reply->values[reply->nheaders - 1] = (struct span){ 0 };
		reply->in_value = false;
	}
	reply->names[reply->nheaders - 1].len += len;
	buf_add(&reply->text, at, len);
	return 0;
}

static int on_header_value(http_parser *parser, const char *at, size_t len)
{
	struct reply *reply = parser->data;
	struct span *value = &reply->values[reply->nheaders - 1];

	if (!reply->in_value)
		*value = (struct span){ reply->text.len, 0 };
	reply->in_value = true;
	value->len += len;
	buf_add(&reply->text, at, len);
	return 0;
}

/*
 * A target may send a second reply to an earlier request, early or late. It
 * arrives in place of the reply to this request and differs only in the echoed
 * request id.
 */
static bool is_stale_reply(const struct reply *reply)
{
	struct str echo = buf_str(&reply->echo);

	for (size_t i = 0; i < reply->nheaders; i++)
		if (header_name_eq(span_str(reply, reply->names[i]),
				   buf_str(&reply->echo_name)))
			return echo.len &&
			       !str_eq(span_str(reply, reply->values[i]), echo);
	return false;
}

static int on_headers_complete(http_parser *parser)
{
	struct reply *reply = parser->data;

	reply->body_offset = reply->text.len;
	reply->skip = is_stale_reply(reply);
	return reply->no_body ? 1 : 0;
}

static int on_body(http_parser *parser, const char *at, size_t len)
{
	struct reply *reply = parser->data;

	if (reply->text.len - reply->body_offset + len > reply->body_max)
		return 1;
	buf_add(&reply->text, at, len);
	return 0;
}

static int on_message_complete(http_parser *parser)
{
	struct reply *reply = parser->data;

	reply->closes_after = !http_should_keep_alive(parser);
	if (parser->status_code / 100 == 1 || reply->skip) {
		reply->text.len = 0;
		reply->nheaders = 0;
		reply->in_value = false;
		reply->skip = false;
		return 0;
	}
	reply->done = true;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings parser_callbacks = {
	.on_header_field = on_header_field,
	.on_header_value = on_header_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_message_complete = on_message_complete,
};

void reply_reset(struct reply *reply)
{
	reply->text.len = 0;
	reply->nheaders = 0;
	reply->in_value = false;
	reply->body_offset = 0;
	reply->skip = false;
	reply->done = false;
	http_parser_init(&reply->parser, HTTP_RESPONSE);
	reply->parser.data = reply;
}

void reply_free(struct reply *reply)
{
	buf_free(&reply->echo_name);
	buf_free(&reply->echo);
	buf_free(&reply->text);
}

ssize_t reply_parse(struct reply *reply, const char *bytes, size_t len)
{
	size_t used = http_parser_execute(&reply->parser, &parser_callbacks,
					  bytes, len);

	if (!reply->done && HTTP_PARSER_ERRNO(&reply->parser) != HPE_OK)
		return -1;
	return (ssize_t)used;
}

void reply_eof(struct reply *reply)
{
	http_parser_execute(&reply->parser, &parser_callbacks, NULL, 0);
}
