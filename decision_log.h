#pragma once

#include "call.h"
#include "metric.h"

/**
 * DOC: log of decisions
 *
 * Logs each decision as a JSON object with the request id, the state that the
 * decision was based on, the age of that state, and the outcome. The rate is
 * limited per kind; a separate line reports the number of omitted lines.
 */

enum decision_kind {
	DECISION_FINAL, /* end of a request */
	DECISION_ATTEMPT, /* a failed or rejected attempt */
	DECISION_STATE, /* this node's view of the system has changed */
	DECISION_KINDS,
};

/**
 * struct decision_log - rate limits, common fields of the lines, and metrics
 * @second: start of the current second of the rate limits
 * @lines, @omitted: lines written and omitted in it
 * @version: version of the configuration in force
 * @revision: store revision of this node's replica
 * @read_at: time of the newest reading of the store, 0 for none
 */
struct decision_log {
	struct flow_effects *fx;
	int64_t second;
	int lines[DECISION_KINDS];
	int omitted[DECISION_KINDS];
	uint64_t version;
	uint64_t revision;
	int64_t read_at;
	struct metrics metrics;
};

/**
 * decision_log_final() - log and count the answer to a caller.
 *
 * Complete answers within the route's goal are counted only.
 */
void decision_log_final(struct decision_log *decision_log, int64_t now,
			const struct call *call, const struct final *final);
/** decision_log_refused() - log a request refused before it became a call. */
void decision_log_refused(struct decision_log *decision_log, int64_t now,
			  struct str request_id, int status, const char *why);
/**
 * decision_log_caller_gone() - log a request that its caller closed, or that
 * the node which had delegated it cancelled.
 */
void decision_log_caller_gone(struct decision_log *decision_log, int64_t now,
			      const struct call *call);
/** decision_log_attempt() - log and count a failed or rejected attempt. */
void decision_log_attempt(struct decision_log *decision_log, int64_t now,
			  const struct call *call,
			  const struct attempt *attempt,
			  const struct flow_reply *reply);
/** decision_log_suspect() - log new evidence against a request. */
void decision_log_suspect(struct decision_log *decision_log, int64_t now,
			  const struct poison *poison,
			  const struct poison_entry *entry, struct str target);
/** decision_log_cleared() - log that a target answered a suspect request. */
void decision_log_cleared(struct decision_log *decision_log, int64_t now,
			  const struct fingerprint *fingerprint);
/**
 * decision_log_batch_failed() - log that this node takes back shards which it
 * had delegated to the node at @addr.
 */
void decision_log_batch_failed(struct decision_log *decision_log, int64_t now,
			       const struct call *call, struct str addr,
			       size_t shards, const char *why);
/**
 * struct drain_progress - what a node that stops still holds
 * @since_us: since the signal to stop
 * @open: requests without an answer
 * @delegated: those of them that other nodes delegated
 * @oldest_us: age of the oldest of them
 * @requests: requests of callers that arrived since the signal
 * @batches: batches of other nodes that arrived since the signal
 */
struct drain_progress {
	int64_t since_us;
	size_t open;
	size_t delegated;
	int64_t oldest_us;
	uint64_t requests;
	uint64_t batches;
};

/** decision_log_drain() - log the progress of a planned stop. */
void decision_log_drain(struct decision_log *decision_log, int64_t now,
			const struct drain_progress *progress, const char *why);
/** decision_log_state() - log that @what changed for @who, because of @why. */
void decision_log_state(struct decision_log *decision_log, int64_t now,
			const char *what, struct str who, const char *why,
			uint64_t version);
/** decision_log_error() - log a change that needs an operator, as an error. */
void decision_log_error(struct decision_log *decision_log, int64_t now,
			const char *what, struct str who, const char *why,
			uint64_t version);
