#include "sim_dialect.h"

#include <stdio.h>
#include <stdlib.h>

#include "sim.h"

enum {
	GOAL_US = 100000,
	RESHARD_VERSION = 10,
	TOP_K = 4,
};

static const struct str prefixes[] = { { "all/", 4 } };

static enum store_record_kind record_kind(struct str key)
{
	if (key.len < 5)
		return STORE_RECORD_NONE;
	switch (key.ptr[4]) {
	case 'c':
		return STORE_RECORD_CATALOG;
	case 't':
		return STORE_RECORD_TARGET;
	case 'o':
		return STORE_RECORD_DOMAIN_OUT;
	default:
		return STORE_RECORD_NONE;
	}
}

struct str sim_format(apr_pool_t *pool, const char *fmt, int number)
{
	char out[32];
	int len = snprintf(out, sizeof(out), fmt, number);

	return str_dup(pool, (struct str){ out, (size_t)len });
}

static void add_service(struct catalog *catalog, struct str name,
			double cold_per_s)
{
	catalog->services[catalog->nservices++] =
		(struct service){ .name = name,
				  .key = str_hash(name),
				  .max_conns = 64,
				  .cold_per_s = cold_per_s };
}

static struct route *add_route(struct catalog *catalog, const char *name)
{
	struct route *route = &catalog->routes[catalog->nroutes++];

	*route = (struct route){ .name = str_of(name),
				 .host = STR("h"),
				 .prefix = str_of(name),
				 .idempotent = true,
				 .timeout_us = SIM_TIMEOUT_US,
				 .goal_us = GOAL_US,
				 .max_attempts = 2 };
	return route;
}

static void add_single(struct catalog *catalog, const char *name,
		       bool idempotent)
{
	struct route *route = add_route(catalog, name);

	route->idempotent = idempotent;
	route->shares = apr_pcalloc(catalog->pool, sizeof(*route->shares));
	route->shares[0] =
		(struct weighted_service){ str_hash(STR("single")), 1 };
	route->nshares = 1;
}

static void add_merged(struct catalog *catalog, const char *name,
		       double min_coverage, const char *fmt)
{
	struct route *route = add_route(catalog, name);

	route->max_records = TOP_K;
	route->min_coverage = min_coverage;
	route->shards =
		apr_pcalloc(catalog->pool, SIM_SHARDS * sizeof(uint64_t));
	for (int i = 0; i < SIM_SHARDS; i++)
		route->shards[route->nshards++] =
			str_hash(sim_format(catalog->pool, fmt, i));
}

static struct catalog *make_catalog(uint64_t version, double cold_per_s)
{
	struct catalog *catalog = catalog_create();
	apr_pool_t *pool = catalog->pool;
	const char *fmt = version >= RESHARD_VERSION ? "r%d" : "s%d";

	catalog->version = version;
	catalog->routes = apr_pcalloc(pool, 5 * sizeof(*catalog->routes));
	catalog->services = apr_pcalloc(
		pool, (SIM_SHARDS + 1) * sizeof(*catalog->services));
	add_merged(catalog, "/all/", 0.7, fmt);
	add_merged(catalog, "/strict/", 0.9, fmt);
	catalog->routes[1].max_attempts = 3;
	for (int i = 0; i < SIM_SHARDS; i++)
		add_service(catalog, sim_format(pool, fmt, i), cold_per_s);
	add_service(catalog, STR("single"), cold_per_s);
	add_single(catalog, "/one/", true);
	add_single(catalog, "/once/", false);
	return catalog;
}

/* The value is "VERSION [COLD_PER_S]". */
static struct catalog *decode_catalog(struct str value)
{
	char *rest;
	uint64_t version = strtoull(value.ptr, &rest, 10);

	return make_catalog(version, strtod(rest, NULL));
}

static int decode_record(struct str key, struct str value,
			 struct store_record *out, apr_pool_t *pool,
			 struct error *err)
{
	char service[32];
	char addr[32];
	int domain;
	int leaving;
	long long born;
	long long cold_ms = 0;

	*out = (struct store_record){ .kind = record_kind(key) };
	if (out->kind == STORE_RECORD_CATALOG)
		out->catalog = decode_catalog(value);
	if (out->kind == STORE_RECORD_DOMAIN_OUT)
		out->domain =
			str_dup(pool, (struct str){ key.ptr + 6, key.len - 6 });
	if (out->kind != STORE_RECORD_TARGET)
		return 0;
	out->target.id =
		str_dup(pool, (struct str){ key.ptr + 6, key.len - 6 });
	if (sscanf(value.ptr, "%31s %31s %d %d %lld %lld", service, addr,
		   &domain, &leaving, &born, &cold_ms) < 5)
		return error_set(err, ERR_LIST, "entry");
	out->target.service = str_hash(str_of(service));
	out->target.addr = str_dup(pool, str_of(addr));
	out->target.domain = sim_format(pool, "d%d", domain);
	out->target.slots = 2;
	out->target.cold_us = cold_ms * 1000;
	out->target.leaving = leaving;
	out->target.born_ms = born;
	return 0;
}

const struct dialect sim_dialect = {
	.prefixes = prefixes,
	.nprefixes = 1,
	.kind = record_kind,
	.decode = decode_record,
};
