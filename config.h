#pragma once

#include "error.h"

enum {
	CONFIG_MAX_PLATFORMS = 8,
	CONFIG_MAX_PEERS = 64,
};

/**
 * struct config - settings of one VM, from its JSON file
 * @peer: "ip:port" on which other nodes reach this one; its identity
 * @callers: "ip:port" for callers' HTTP
 * @operators: "ip:port" for status, audit, counters and drain
 * @domain: failure domain of this VM
 * @platforms: platform addresses, tried in turn
 * @peers: nodes to ask before the platform has answered; may be empty
 * @max_open: questions open at a time
 * @drain_us: longest wait for open requests at a planned stop, microseconds
 * @log_level: "error", "warn", "info" or "debug"
 */
struct config {
	apr_pool_t *pool;
	struct str peer;
	struct str callers;
	struct str operators;
	struct str domain;
	struct str *platforms;
	size_t nplatforms;
	struct str *peers;
	size_t npeers;
	int max_open;
	int64_t drain_us;
	struct str log_level;
};

/** config_parse() - judge settings; NULL and @err when they are refused. */
struct config *config_parse(const char *file, struct str text,
			    struct error *err);
struct config *config_load(const char *file, struct error *err);
void config_free(struct config *config);
/** file_read() - whole file into @out, at most @max bytes. */
int file_read(const char *file, size_t max, struct buf *out, struct error *err);
/** addr_split() - "ip:port" into a terminated IP and a port, or ERR_IO. */
int addr_split(struct str addr, char *ip, size_t size, uint16_t *port);
