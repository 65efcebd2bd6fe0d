#include "client.h"

#include <curl/curl.h>

#include "reply.h"

enum {
	/* Far above the audit trail of a node. */
	BODY_MAX_BYTES = 64 * 1024 * 1024,
};

/** struct transfer - @head checks the head and the trailer fields */
struct transfer {
	struct reply head;
	struct buf *body;
	bool malformed;
};

static size_t header_cb(char *data, size_t size, size_t count, void *ctx)
{
	struct transfer *t = ctx;
	struct str line = { data, size * count };

	t->malformed = !reply_parse_line(&t->head, line);
	return t->malformed ? 0 : line.len;
}

static size_t write_cb(char *data, size_t size, size_t count, void *ctx)
{
	struct transfer *t = ctx;
	size_t len = size * count;

	t->malformed = t->body->len + len > BODY_MAX_BYTES;
	if (t->malformed)
		return 0;
	buf_add(t->body, data, len);
	return len;
}

int client_call(struct str addr, const char *path, struct str post,
		int64_t timeout_ms, struct buf *out, struct error *err)
{
	struct transfer t = { .head = { .no_body = true }, .body = out };
	struct buf url = { 0 };
	long status = 0;
	CURL *easy;

	curl_global_init(CURL_GLOBAL_DEFAULT);
	easy = curl_easy_init();
	reply_reset(&t.head);

	buf_printf(&url, "http://%.*s%s", STR_ARG(addr), path);
	buf_add(&url, "", 1);
	curl_easy_setopt(easy, CURLOPT_URL, url.ptr);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, write_cb);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, &t);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, header_cb);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, &t);
	if (post.ptr) {
		curl_easy_setopt(easy, CURLOPT_POST, 1L);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, post.ptr);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, (long)post.len);
	}

	CURLcode code = curl_easy_perform(easy);

	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(easy);
	curl_global_cleanup();
	buf_free(&url);
	reply_free(&t.head);
	if (t.malformed)
		return error_set(err, ERR_IO,
				 "%.*s%s: its answer is not in HTTP/1.1, or "
				 "too large",
				 STR_ARG(addr), path);
	if (code != CURLE_OK)
		return error_set(err, ERR_IO, "%.*s%s: %s", STR_ARG(addr), path,
				 curl_easy_strerror(code));
	return (int)status;
}
