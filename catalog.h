#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "str.h"

/**
 * DOC: the operators' configuration
 *
 * One version of it, decoded once and never changed. A request keeps the
 * version it began with by a reference, so all parts of its answer come from
 * one version however many arrive meanwhile.
 */

/**
 * struct service - targets that serve the same thing
 * @key: hash of the name
 * @health_path: what a health check asks for
 * @max_conns: connections that one target takes from all callers together
 * @warmup_us: how long a target stays cold after its start
 * @cold_per_s: requests a second that a cold target bears, 0 when not stated
 */
struct service {
	struct str name;
	uint64_t key;
	struct str health_path;
	int max_conns;
	int64_t warmup_us;
	double cold_per_s;
};

/** struct weighted_service - a service and its part of a route's requests */
struct weighted_service {
	uint64_t service;
	double weight;
};

/**
 * struct route - which requests go where
 * @host, @prefix: what a request must name; the longest prefix wins
 * @idempotent: a request may run more than once
 * @timeout_us: longest time that a caller is kept waiting
 * @goal_us: answers within this time are worth most
 * @max_attempts: targets that one request may be sent to, for each shard
 * @priority: 0 is the highest
 * @shares: services, one unless the requests are split by weight
 * @shards: services that each hold a part of the index, or none
 * @top_k: records in a merged answer
 * @min_coverage: share of the shards below which a merged answer is none
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
	size_t top_k;
	double min_coverage;
};

/** struct caller_limits - what callers may send, and how long they may take */
struct caller_limits {
	size_t header_bytes;
	size_t body_bytes;
	int64_t header_timeout_us;
	int64_t idle_timeout_us;
};

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

/** catalog_create() - empty, with one reference; fill it before use. */
struct catalog *catalog_create(void);
struct catalog *catalog_ref(struct catalog *catalog);
/** catalog_unref() - frees it with the last reference; NULL is fine. */
void catalog_unref(struct catalog *catalog);
/** catalog_find_route() - route with the longest prefix of @path, or NULL. */
const struct route *catalog_find_route(const struct catalog *catalog,
				       struct str host, struct str path);
/** catalog_find_service() - by the hash of its name, or NULL. */
const struct service *catalog_find_service(const struct catalog *catalog,
					   uint64_t key);
