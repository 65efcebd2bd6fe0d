#include "head.h"

#include <stdio.h>
#include <stdlib.h>

enum {
	NUMBER_TEXT_MAX = 24,
	TIME_MAX_MS = 86400000,
};

static const struct dialect *active_dialect;

/* Headers that apply to one connection, or are rewritten for the next one. */
static const struct str hop_by_hop_names[] = {
	{ "Connection", 10 },
	{ "Keep-Alive", 10 },
	{ "Transfer-Encoding", 17 },
	{ "Content-Length", 14 },
	{ "TE", 2 },
	{ "Trailer", 7 },
	{ "Upgrade", 7 },
	{ "Proxy-Connection", 16 },
	{ "Expect", 6 },
	{ "Host", 4 },
	{ "Date", 4 },
};

static bool is_hop_by_hop(struct str name)
{
	for (size_t i = 0;
	     i < sizeof(hop_by_hop_names) / sizeof(*hop_by_hop_names); i++)
		if (header_name_eq(name, hop_by_hop_names[i]))
			return true;
	return false;
}

void head_set_dialect(const struct dialect *dialect)
{
	active_dialect = dialect;
}

bool head_is_forwarded(struct str name)
{
	const struct header_names *names = &active_dialect->names;

	return !is_hop_by_hop(name) &&
	       !header_name_eq(name, names->request_id) &&
	       !header_name_eq(name, names->time_left) &&
	       !header_name_eq(name, names->expected);
}

static void add_number(struct buf *out, struct str name, int64_t value)
{
	char text[NUMBER_TEXT_MAX];
	int len = snprintf(text, sizeof(text), "%lld", (long long)value);

	header_add_line(out, name, (struct str){ text, (size_t)len });
}

void head_write_request(const struct dialect *dialect,
			const struct flow_effect *fx, struct buf *out)
{
	const struct flow_request *request = fx->request;
	const struct header_names *names = &dialect->names;
	int64_t left_ms = fx->time_left_us / 1000;

	buf_str_add(out, request->method);
	buf_str_add(out, STR(" "));
	buf_str_add(out, request->uri);
	buf_str_add(out, STR(" HTTP/1.1\r\n"));
	header_add_line(out, STR("Host"), request->host);
	if (request->request_id.len)
		header_add_line(out, names->request_id, request->request_id);
	add_number(out, names->time_left, left_ms > 0 ? left_ms : 1);
	header_add_line(out, names->expected, fx->expected);
	buf_str_add(out, request->headers);
	if (request->body.len || !str_eq(request->method, STR("GET")))
		add_number(out, STR("Content-Length"),
			   (int64_t)request->body.len);
	buf_str_add(out, STR("\r\n"));
}

/* Header values are not NUL-terminated, so the text is copied. */
static double parse_number(struct str value, double fallback)
{
	char text[NUMBER_TEXT_MAX];
	char *end;
	double number;

	if (!value.len || value.len >= sizeof(text))
		return fallback;
	memcpy(text, value.ptr, value.len);
	text[value.len] = '\0';
	number = strtod(text, &end);
	return end == text || number < 0 || number > TIME_MAX_MS ? fallback
								 : number;
}

int64_t head_parse_time_left(struct str value)
{
	double ms = parse_number(value, -1);

	return ms < 0 ? -1 : (int64_t)(ms * 1e3);
}

static void parse_load(struct str value, struct flow_reply *out)
{
	char text[NUMBER_TEXT_MAX];

	out->running = -1;
	out->waiting = -1;
	if (!value.len || value.len >= sizeof(text))
		return;
	memcpy(text, value.ptr, value.len);
	text[value.len] = '\0';
	if (sscanf(text, "%d,%d", &out->running, &out->waiting) != 2)
		out->running = out->waiting = -1;
}

void head_parse_reply(const struct dialect *dialect,
		      const struct upstream_reply *reply,
		      struct flow_reply *out, struct buf *lines)
{
	const struct header_names *names = &dialect->names;
	struct str cold;

	*out = (struct flow_reply){ .result = reply->result,
				    .conn = reply->conn,
				    .status = reply->status,
				    .cold_us = -1,
				    .running = -1,
				    .waiting = -1 };
	if (reply->result != FETCH_OK)
		return;
	out->signature = headers_find(reply->headers, names->signature);
	out->encoded =
		headers_find(reply->headers, STR("Content-Encoding")).len > 0;
	out->wrong_target = reply->status == 421;
	out->not_run = out->wrong_target ||
		       headers_find(reply->headers, names->not_run).len > 0;
	cold = headers_find(reply->headers, names->cold_left);
	out->cold_us = head_parse_time_left(cold);
	parse_load(headers_find(reply->headers, names->load), out);
	out->body = reply->body;
	for (size_t i = 0; i < reply->headers->count; i++) {
		struct header header = headers_at(reply->headers, i);

		if (!is_hop_by_hop(header.name))
			header_add_line(lines, header.name, header.value);
	}
	out->headers = buf_str(lines);
}

void head_write_answer(const struct dialect *dialect,
		       const struct flow_effect *fx, struct buf *out)
{
	char text[NUMBER_TEXT_MAX];
	int len;

	buf_str_add(out, fx->headers);
	if (fx->merged) {
		header_add_line(out, dialect->names.signatures, fx->signatures);
		add_number(out, dialect->names.missing, (int64_t)fx->missing);
	}
	if (!fx->retry_after_us)
		return;
	len = snprintf(text, sizeof(text), "%.3f",
		       (double)fx->retry_after_us / 1e6);
	header_add_line(out, STR("Retry-After"),
			(struct str){ text, (size_t)len });
}
