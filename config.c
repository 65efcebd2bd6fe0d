#include "config.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>

#include "json.h"

enum {
	ADDR_MAX = 21,
	SETTINGS_MAX_BYTES = 64 * 1024,
	READ_CHUNK_BYTES = 16 * 1024,
};

int addr_split(struct str addr, char *ip, size_t size, uint16_t *port)
{
	const char *colon = addr.len ? memchr(addr.ptr, ':', addr.len) : NULL;
	struct in_addr parsed;
	char digits[8];

	if (!colon)
		return ERR_IO;

	size_t ip_len = (size_t)(colon - addr.ptr);
	size_t port_len = addr.len - ip_len - 1;

	if (ip_len >= size || !port_len || port_len >= sizeof(digits))
		return ERR_IO;
	memcpy(ip, addr.ptr, ip_len);
	ip[ip_len] = '\0';
	memcpy(digits, colon + 1, port_len);
	digits[port_len] = '\0';

	char *end;
	long number = strtol(digits, &end, 10);

	if (*end || number < 1 || number > UINT16_MAX)
		return ERR_IO;
	if (inet_pton(AF_INET, ip, &parsed) != 1)
		return ERR_IO;
	*port = (uint16_t)number;
	return 0;
}

static void check_addr(struct json_input *in, const char *key, struct str addr)
{
	char ip[INET_ADDRSTRLEN];
	uint16_t port;

	if (!in->err.code && addr_split(addr, ip, sizeof(ip), &port))
		json_error_set(in, key,
			       "must be \"ip:port\", such as "
			       "\"127.0.0.1:7100\"");
}

static struct str parse_addr(struct json_input *in, json_t *doc,
			     const char *key, apr_pool_t *pool)
{
	struct str addr = json_get_string(in, key, doc, key, ADDR_MAX);

	check_addr(in, key, addr);
	return str_dup(pool, addr);
}

static struct str *parse_addrs(struct json_input *in, json_t *doc,
			       const char *key, apr_pool_t *pool, size_t max,
			       size_t *count)
{
	struct str *list = json_get_strings(in, key, doc, key, pool, count);

	if (*count > max)
		json_error_set(in, key, "has over %zu addresses", max);
	for (size_t i = 0; i < *count; i++)
		check_addr(in, key, list[i]);
	return list;
}

static void check_ports(struct json_input *in, const struct config *config)
{
	if (in->err.code)
		return;
	if (str_eq(config->peer, config->callers) ||
	    str_eq(config->peer, config->operators) ||
	    str_eq(config->callers, config->operators))
		json_error_set(in, "peer, callers, operators",
			       "must be three different addresses");
}

static void parse_level(struct json_input *in, json_t *doc,
			struct config *config)
{
	static const char *const levels[] = { "error", "warn", "info",
					      "debug" };

	config->log_level = STR("info");
	if (!json_object_get(doc, "log_level"))
		return;
	config->log_level =
		str_dup(config->pool,
			json_get_string(in, "log_level", doc, "log_level", 8));
	for (size_t i = 0; i < sizeof(levels) / sizeof(*levels); i++)
		if (str_eq(config->log_level, str_of(levels[i])))
			return;
	json_error_set(in, "log_level", "must be error, warn, info or debug");
}

static void parse_fields(struct json_input *in, json_t *doc,
			 struct config *config)
{
	static const char *const keys[] = {
		"peer",	 "callers",  "operators", "domain",    "platforms",
		"peers", "max_open", "drain_ms",  "log_level", NULL
	};

	json_check_keys(in, "top", doc, keys);
	config->peer = parse_addr(in, doc, "peer", config->pool);
	config->callers = parse_addr(in, doc, "callers", config->pool);
	config->operators = parse_addr(in, doc, "operators", config->pool);
	config->domain = str_dup(
		config->pool, json_get_string(in, "domain", doc, "domain", 64));
	config->platforms =
		parse_addrs(in, doc, "platforms", config->pool,
			    CONFIG_MAX_PLATFORMS, &config->nplatforms);
	if (!config->nplatforms)
		json_error_set(in, "platforms", "must not be empty");
	if (json_object_get(doc, "peers"))
		config->peers = parse_addrs(in, doc, "peers", config->pool,
					    CONFIG_MAX_PEERS, &config->npeers);
	config->max_open = (int)json_get_int_or(in, "max_open", doc, "max_open",
						1, 100000, 4000);
	config->drain_us = json_get_int_or(in, "drain_ms", doc, "drain_ms", 0,
					   600000, 30000) *
			   1000;
	parse_level(in, doc, config);
	check_ports(in, config);
}

struct config *config_parse(const char *file, struct str text,
			    struct error *err)
{
	struct json_input in = { .file = file, .code = ERR_SETTINGS };
	json_t *doc = json_parse(&in, text);
	struct config *config = NULL;
	apr_pool_t *pool;

	if (doc) {
		apr_pool_create(&pool, NULL);
		config = apr_pcalloc(pool, sizeof(*config));
		config->pool = pool;
		parse_fields(&in, doc, config);
		json_decref(doc);
	}
	if (!in.err.code)
		return config;
	*err = in.err;
	config_free(config);
	return NULL;
}

int file_read(const char *file, size_t max, struct buf *out, struct error *err)
{
	FILE *in = fopen(file, "rb");
	size_t got;

	if (!in)
		return error_set(err, ERR_IO, "%s: %s", file, strerror(errno));
	do {
		buf_reserve(out, READ_CHUNK_BYTES);
		got = fread(out->ptr + out->len, 1, READ_CHUNK_BYTES, in);
		out->len += got;
	} while (got && out->len <= max);
	fclose(in);
	if (out->len > max)
		return error_set(err, ERR_TOO_LARGE, "%s: over %zu bytes", file,
				 max);
	return 0;
}

struct config *config_load(const char *file, struct error *err)
{
	struct buf text = { 0 };
	struct config *config = NULL;

	if (!file_read(file, SETTINGS_MAX_BYTES, &text, err))
		config = config_parse(file, buf_str(&text), err);
	buf_free(&text);
	return config;
}

void config_free(struct config *config)
{
	if (config)
		apr_pool_destroy(config->pool);
}
