#pragma once

#include "catalog.h"
#include "error.h"

/**
 * DOC: interface to the platform
 *
 * The names, formats and calls of the platform that a node runs on, as one
 * table of functions and names. All other code uses only the types below.
 */

enum {
	SEEDS_MAX = 8,
};

/**
 * struct vm_settings - settings of a VM, read at its start and on reload
 * @name: name of the VM, for logs
 * @ip: address of this VM
 * @domain: failure domain
 * @caller_addr: "ip:port" to listen on for callers
 * @ready_addr: "ip:port" to listen on for readiness checks
 * @store_addr: "ip:port" of the platform's store
 * @store_value_max: size limit of a value in the store, bytes
 * @peer_port: port for connections between nodes, the same on all VMs
 * @seeds: IP addresses of VMs to join through; may be stale
 * @core: share of a processor core
 * @memory_mb: memory limit, above which the process is killed
 * @drain_us: how long a leaving target continues to serve
 * @grace_us: time from the stop signal until the process is killed
 * @retry_ratio: retry budget: requests beyond the first one per shard, as a
 *               ratio to first requests
 * @retry_window_us: time window of the retry budget
 * @retry_extra: extra retries allowed in each window
 * @cold_factor, @cold_extra: a cold target may get its configured rate times
 *                            factor plus extra
 * @heartbeat_us: period at which targets refresh their entries
 * @first_start: all VMs start for the first time and there are no callers yet
 */
struct vm_settings {
	struct str name;
	struct str ip;
	struct str domain;
	struct str caller_addr;
	struct str ready_addr;
	struct str store_addr;
	size_t store_value_max;
	uint16_t peer_port;
	struct str seeds[SEEDS_MAX];
	size_t nseeds;
	double core;
	int memory_mb;
	int64_t drain_us;
	int64_t grace_us;
	double retry_ratio;
	int64_t retry_window_us;
	int retry_extra;
	double cold_factor;
	int cold_extra;
	int64_t heartbeat_us;
	bool first_start;
};

/**
 * struct store_item - current state of a key in the store
 * @value: decoded bytes; absent if @deleted
 * @revision: store revision of the last change
 */
struct store_item {
	struct str key;
	struct str value;
	uint64_t revision;
	bool deleted;
};

/**
 * struct store_reply - a page of keys, or the changes since a revision
 * @revision: store revision of the reply
 * @more: there are further keys after the last of @items
 */
struct store_reply {
	struct store_item *items;
	size_t count;
	uint64_t revision;
	bool more;
};

/**
 * struct target_entry - a target as published in the store
 * @id: id of the target's process
 * @service: hash of the service's name
 * @slots: number of requests that it processes concurrently
 * @leaving: it is draining
 * @cold_us: time until it is warm, from the time of writing
 * @born_ms: start of the process, Unix milliseconds; 0 if not stated. The same
 *           id with another @born_ms is another process, which has no record of
 *           the requests that the previous one got
 */
struct target_entry {
	struct str id;
	uint64_t service;
	struct str addr;
	struct str domain;
	int slots;
	bool leaving;
	int64_t cold_us;
	int64_t born_ms;
};

/** enum store_record_kind - type of a key in the store */
enum store_record_kind {
	STORE_RECORD_NONE, /* not used by this program */
	STORE_RECORD_CATALOG,
	STORE_RECORD_TARGET,
	STORE_RECORD_DOMAIN_OUT, /* takes a failure domain out of use */
};

/** struct store_record - a decoded store item */
struct store_record {
	enum store_record_kind kind;
	struct catalog *catalog;
	struct target_entry target;
	struct str domain;
};

/** struct header_names - names of the headers that a node reads and writes */
struct header_names {
	struct str request_id;
	struct str time_left; /* milliseconds until the caller's deadline */
	struct str expected; /* id of the target that a request is meant for */
	struct str signature; /* signature of a target's reply */
	struct str load; /* running, waiting and slots of a target */
	struct str not_run; /* the target did not run the request */
	struct str cold_left; /* milliseconds until the target is warm */
	struct str signatures; /* signatures of the parts of a merged answer */
	struct str missing; /* shards left out of a merged answer */
};

/**
 * struct dialect - interface to one kind of platform
 * @settings_variable: environment variable with the path of the settings
 * @names: names of the headers
 * @prefixes: prefixes of the store's keys to read
 * @settings: decode the settings of a VM
 * @range_uri: path and query to read a page of the keys under a prefix, after
 *             the key @after
 * @watch_uri: path and query to wait for changes after a revision
 * @range_reply, @watch_reply: decode the reply; strings live in @pool
 * @kind: type of a key, whatever its value
 * @decode: decode the value of a key; ERR_LIST if it is invalid
 */
struct dialect {
	const char *settings_variable;
	struct header_names names;
	const struct str *prefixes;
	size_t nprefixes;
	int (*settings)(struct str text, struct vm_settings *out,
			apr_pool_t *pool, struct error *err);
	void (*range_uri)(struct str prefix, struct str after, struct buf *uri);
	void (*watch_uri)(uint64_t revision, int64_t wait_us, struct buf *uri);
	int (*range_reply)(struct str body, struct store_reply *out,
			   apr_pool_t *pool, struct error *err);
	int (*watch_reply)(struct str body, struct store_reply *out,
			   apr_pool_t *pool, struct error *err);
	enum store_record_kind (*kind)(struct str key);
	int (*decode)(struct str key, struct str value,
		      struct store_record *out, apr_pool_t *pool,
		      struct error *err);
};
