#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "str.h"

/**
 * DOC: decoded configuration of routes and services
 *
 * A catalog is one version of the operators' configuration, decoded once and
 * immutable. Each request holds a reference to the version that it started
 * with, so that all parts of its answer use the same version even when newer
 * ones arrive meanwhile.
 */

/**
 * struct service - group of interchangeable targets
 * @key: hash of the name
 * @health_path: path of health check requests
 * @max_conns: connection limit of one target, over all its clients
 * @warmup_us: time after its start during which a target is cold
 * @cold_per_s: requests per second that a cold target can handle, 0 if not
 *              configured
 */
struct service {
	struct str name;
	uint64_t key;
	struct str health_path;
	int max_conns;
	int64_t warmup_us;
	double cold_per_s;
};

/** struct weighted_service - a service and its share of a route's requests */
struct weighted_service {
	uint64_t service;
	double weight;
};

/**
 * struct route - rule that assigns requests to services
 * @host, @prefix: host and path prefix to match; the longest prefix wins
 * @idempotent: a request may run more than once
 * @timeout_us: longest time until the caller gets an answer
 * @goal_us: target latency
 * @max_attempts: targets that one request may be sent to, per shard
 * @priority: 0 is the highest
 * @shares: services; more than one if requests are split by weight
 * @shards: services that each hold a part of the index; empty for routes
 *          without merging
 * @max_records: number of records in a merged answer
 * @min_coverage: fraction of the shards below which a merge fails
 */
struct route {
	struct str name;
	struct str host;
	struct str prefix;
	bool idempotent;
	int64_t timeout_us;
	int64_t goal_us;
	int max_attempts;
	int priority;
	struct weighted_service *shares;
	size_t nshares;
	uint64_t *shards;
	size_t nshards;
	size_t max_records;
	double min_coverage;
};

/** struct caller_limits - size limits and timeouts of callers' requests */
struct caller_limits {
	size_t header_bytes;
	size_t body_bytes;
	int64_t header_timeout_us;
	int64_t idle_timeout_us;
};

/** struct catalog - one version of the configuration, reference-counted */
struct catalog {
	apr_pool_t *pool;
	int refs;
	uint64_t version;
	struct route *routes;
	size_t nroutes;
	struct service *services;
	size_t nservices;
	struct caller_limits limits;
};

/** catalog_create() - empty catalog with one reference. */
struct catalog *catalog_create(void);
struct catalog *catalog_ref(struct catalog *catalog);
/** catalog_unref() - free @catalog with its last reference; NULL is ignored. */
void catalog_unref(struct catalog *catalog);
/**
 * catalog_find_route() - route of @host with the longest prefix of @path.
 *
 * Return: the route, or NULL.
 */
const struct route *catalog_find_route(const struct catalog *catalog,
				       struct str host, struct str path);
/** catalog_find_service() - service by the hash of its name, or NULL. */
const struct service *catalog_find_service(const struct catalog *catalog,
					   uint64_t key);
