#include "headers.h"

#include <ctype.h>
#include <limits.h>
#include <stdlib.h>

#include "xmalloc.h"

enum {
	FIRST_CAPACITY = 16,
};

static bool is_space(char c)
{
	return c == ' ' || c == '\t';
}

static struct str trim(struct str s)
{
	while (s.len && is_space(s.ptr[s.len - 1]))
		s.len--;
	while (s.len && is_space(*s.ptr)) {
		s.ptr++;
		s.len--;
	}
	return s;
}

static struct header_span *begin_header(struct headers *headers)
{
	struct header_span *span;

	if (headers->count == headers->cap) {
		headers->cap = headers->cap ? 2 * headers->cap : FIRST_CAPACITY;
		headers->spans =
			xrealloc(headers->spans, headers->cap * sizeof(*span));
	}
	span = &headers->spans[headers->count++];
	*span = (struct header_span){ .name = headers->text.len };
	headers->in_value = false;
	return span;
}

void headers_add_name(struct headers *headers, const char *at, size_t len)
{
	struct header_span *span;

	if (headers->in_value || !headers->count)
		span = begin_header(headers);
	else
		span = &headers->spans[headers->count - 1];
	span->name_len += len;
	buf_add(&headers->text, at, len);
}

void headers_add_value(struct headers *headers, const char *at, size_t len)
{
	struct header_span *span = &headers->spans[headers->count - 1];

	if (!headers->in_value)
		span->value = headers->text.len;
	headers->in_value = true;
	span->value_len += len;
	buf_add(&headers->text, at, len);
}

static struct str span_str(const struct headers *headers, size_t offset,
			   size_t len)
{
	return trim((struct str){ headers->text.ptr + offset, len });
}

struct header headers_at(const struct headers *headers, size_t index)
{
	const struct header_span *span = &headers->spans[index];

	return (struct header){
		span_str(headers, span->name, span->name_len),
		span_str(headers, span->value, span->value_len),
	};
}

struct str headers_find(const struct headers *headers, struct str name)
{
	for (size_t i = 0; i < headers->count; i++) {
		struct header header = headers_at(headers, i);

		if (header_name_eq(header.name, name))
			return header.value;
	}
	return (struct str){ 0 };
}

size_t headers_size(const struct headers *headers)
{
	return headers->text.len + headers->count * sizeof(*headers->spans);
}

void headers_clear(struct headers *headers)
{
	headers->text.len = 0;
	headers->count = 0;
	headers->in_value = false;
}

void headers_free(struct headers *headers)
{
	buf_free(&headers->text);
	free(headers->spans);
	*headers = (struct headers){ 0 };
}

bool header_is_token_char(char c)
{
	return isalnum((unsigned char)c) || (c && strchr("!#$%&'*+-.^_`|~", c));
}

bool status_has_body(int status)
{
	return status / 100 != 1 && status != 204 && status != 304;
}

bool header_name_eq(struct str a, struct str b)
{
	return a.len == b.len && !strncasecmp(a.ptr, b.ptr, a.len);
}

void header_add_line(struct buf *out, struct str name, struct str value)
{
	buf_str_add(out, name);
	buf_str_add(out, STR(": "));
	buf_str_add(out, value);
	buf_str_add(out, STR("\r\n"));
}

void header_parser_init(struct http_parser *parser, enum http_parser_type type,
			void *data)
{
	http_parser_set_max_header_size(INT_MAX);
	http_parser_init(parser, type);
	parser->data = data;
}
