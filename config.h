#pragma once

#include "error.h"

enum {
	CONFIG_MAX_PLATFORMS = 8,
	CONFIG_MAX_PEERS = 64,
};

/**
 * struct config - settings of one VM, from its JSON file
 * @pool: holds the settings
 * @peer: "ip:port" for traffic between nodes; identifies the node
 * @callers: "ip:port" of the callers' HTTP interface
 * @operators: "ip:port" for status, audit, counters and drain
 * @domain: failure domain of this VM
 * @platforms: platform addresses; the next one is used after a failure
 * @nplatforms: number of @platforms
 * @peers: nodes to contact before the platform has replied; may be empty
 * @npeers: number of @peers
 * @max_open: maximum number of open questions
 * @drain_us: maximum wait for open requests at a planned stop, microseconds
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

/**
 * config_parse() - parse and validate settings
 * @file: file name for error messages
 *
 * Return: the settings, or NULL with @err when they are invalid.
 */
struct config *config_parse(const char *file, struct str text,
			    struct error *err);
struct config *config_load(const char *file, struct error *err);
void config_free(struct config *config);
/** file_read() - append a whole file of at most @max bytes to @out. */
int file_read(const char *file, size_t max, struct buf *out, struct error *err);
/**
 * addr_split() - split "ip:port"
 * @ip: receives the NUL-terminated IP address, of at most @size bytes
 *
 * Return: 0, or ERR_IO when @addr is malformed.
 */
int addr_split(struct str addr, char *ip, size_t size, uint16_t *port);
