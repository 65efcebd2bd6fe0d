#include "client.h"

#include <curl/curl.h>

static size_t write_cb(char *data, size_t size, size_t count, void *ctx)
{
	buf_add(ctx, data, size * count);
	return size * count;
}

int client_call(struct str addr, const char *path, struct str post,
		int64_t timeout_ms, struct buf *out, struct error *err)
{
	struct buf url = { 0 };
	long status = 0;
	CURL *easy;

	curl_global_init(CURL_GLOBAL_DEFAULT);
	easy = curl_easy_init();

	buf_printf(&url, "http://%.*s%s", STR_ARG(addr), path);
	buf_add(&url, "", 1);
	curl_easy_setopt(easy, CURLOPT_URL, url.ptr);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, write_cb);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, out);
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
	if (code != CURLE_OK)
		return error_set(err, ERR_IO, "%.*s%s: %s", STR_ARG(addr), path,
				 curl_easy_strerror(code));
	return (int)status;
}
