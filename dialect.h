#pragma once

#include "catalog.h"
#include "error.h"

/**
 * DOC: how the outside speaks
 *
 * Names, formats and calls of the platform that a node runs on, as one table
 * of functions and names. The rest of the program knows only the types below.
 */

enum {
	SEEDS_MAX = 8,
};

/**
 * struct vm_settings - what a VM is told at its start, and at a reload
 * @name: of the VM, for logs
 * @ip: own address
 * @domain: failure domain
 * @caller_addr: "ip:port" for callers
 * @ready_addr: "ip:port" where readiness is asked for
 * @store_addr: "ip:port" of the platform's store
 * @store_value_max: bytes of the largest value that the store takes
 * @peer_port: for the connections between nodes, the same on all VMs
 * @seeds: IP numbers of VMs that may know others; may be stale
 * @core: share of a processor core
 * @memory_mb: memory that ends the process when it is exceeded
 * @drain_us: how long a leaving target goes on serving
 * @grace_us: from the signal to stop until the process is killed
 * @retry_ratio: requests beyond the first a shard, per first request
 * @retry_window_us: time over which they are counted
 * @retry_extra: such requests that are free in each window
 * @cold_factor, @cold_extra: a cold target takes its rate x factor + extra
 * @heartbeat_us: how often targets refresh their entries
 * @first_start: all VMs start for the first time, and no callers wait yet
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
 * struct store_item - one key of the store as it was written last
 * @value: decoded bytes; absent when @deleted
 * @revision: of its last change
 */
struct store_item {
	struct str key;
	struct str value;
	uint64_t revision;
	bool deleted;
};

/**
 * struct store_reply - a page of keys, or changes since a revision
 * @revision: of the store when it answered
 * @more: keys are left after the last of @items
 */
struct store_reply {
	struct store_item *items;
	size_t count;
	uint64_t revision;
	bool more;
};

/**
 * struct target_entry - a target as it is published
 * @id: of this start of it
 * @slots: requests that it works on at a time
 * @leaving: takes its last requests
 * @cold_us: how long it stays cold from the time of writing
 * @born_ms: start of the process, Unix milliseconds; 0 when not stated. An id
 *           with another @born_ms is another process, which knows nothing of
 *           what the one before was sent
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

/** enum store_record_kind - what a key of the store says */
enum store_record_kind {
	RECORD_NONE, /* a key of others */
	RECORD_CATALOG,
	RECORD_TARGET,
	RECORD_DOMAIN_OUT, /* nothing more may be sent to a failure domain */
};

/** struct store_record - a store item, decoded */
struct store_record {
	enum store_record_kind kind;
	struct catalog *catalog;
	struct target_entry target;
	struct str domain;
};

/** struct header_names - names of the headers that a node reads and writes */
struct header_names {
	struct str request_id;
	struct str time_left; /* milliseconds that the caller still waits */
	struct str expected; /* id of the target that a request is meant for */
	struct str signature; /* of a target's answer */
	struct str load; /* running, waiting and slots of a target */
	struct str not_run; /* the target says that it did not run it */
	struct str cold_left; /* milliseconds until the target is warm */
	struct str signatures; /* of the parts of a merged answer */
	struct str missing; /* shards left out of a merged answer */
};

/**
 * struct dialect - one way to speak with the outside
 * @settings_variable: environment variable with the path of the settings
 * @prefixes: keys of the store that a node wants, each read as one range
 * @settings: decode the settings of a VM
 * @range_uri: path and query of a read of the keys under @prefix after @after
 * @watch_uri: the same of a call that waits for changes after @revision
 * @range_reply, @watch_reply: decode what came back; strings live in @pool
 * @store_record_kind: what a key is about, whatever its value
 * @decode: decode the value of a key; ERR_LIST when it cannot be used
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
