#pragma once

#include "call.h"
#include "metric.h"

/**
 * DOC: what a node decided, for the log
 *
 * A JSON object for each decision, with the request's id, what it was decided
 * on and how old that was, and the outcome. Bounded for each kind a second;
 * what was left out is counted in a line of its own.
 */

enum decision_kind {
	DECISION_FINAL, /* the last word to a caller */
	DECISION_ATTEMPT, /* a reply that was not good, and what was done */
	DECISION_STATE, /* what this node takes to be so has changed */
	DECISION_KINDS,
};

/**
 * struct decision_log - bounds, what the lines tell of, and what is counted
 * @version: of the configuration in force
 * @revision, @read_at: of the store, and when it was last heard of
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

/** decision_log_final() - the last word; good answers in time are counted only.
 */
void decision_log_final(struct decision_log *dlog, int64_t now,
			const struct call *call, const struct final *final);
void decision_log_caller_gone(struct decision_log *dlog, int64_t now,
			      const struct call *call);
/** decision_log_attempt() - a target did not serve; @left_us: time that is
 * left. */
void decision_log_attempt(struct decision_log *dlog, int64_t now,
			  const struct call *call,
			  const struct attempt *attempt,
			  const struct flow_reply *reply);
/** decision_log_suspect() - there is more evidence against a request. */
void decision_log_suspect(struct decision_log *dlog, int64_t now,
			  const struct poison *poison,
			  const struct poison_entry *entry, struct str target);
/** decision_log_cleared() - there was evidence, and a target has answered it.
 */
void decision_log_cleared(struct decision_log *dlog, int64_t now,
			  const struct fingerprint *print);
/** decision_log_batch() - shards handed to the node at @addr are asked for
 * here. */
void decision_log_batch(struct decision_log *dlog, int64_t now,
			const struct call *call, struct str addr, size_t shards,
			const char *why);
/** decision_log_state() - @what changed for @who, and on what grounds. */
void decision_log_state(struct decision_log *dlog, int64_t now,
			const char *what, struct str who, const char *why,
			uint64_t version);
/** decision_log_error() - the same of what an operator has to mend, as an
 * error. */
void decision_log_error(struct decision_log *dlog, int64_t now,
			const char *what, struct str who, const char *why,
			uint64_t version);
