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

enum note_kind {
	NOTE_FINAL, /* the last word to a caller */
	NOTE_TRIED, /* a reply that was not good, and what was done */
	NOTE_BELIEF, /* what this node takes to be so has changed */
	NOTE_KINDS,
};

/**
 * struct note_book - bounds, what the lines tell of, and what is counted
 * @version: of the configuration in force
 * @revision, @read_at: of the store, and when it was last heard of
 */
struct note_book {
	struct flow_effects *fx;
	int64_t second;
	int lines[NOTE_KINDS];
	int left_out[NOTE_KINDS];
	uint64_t version;
	uint64_t revision;
	int64_t read_at;
	struct metrics metrics;
};

/** note_final() - the last word; good answers in time are counted only. */
void note_final(struct note_book *notes, int64_t now, const struct call *call,
		const struct final *final);
void note_gone(struct note_book *notes, int64_t now, const struct call *call);
/** note_tried() - a target did not serve; @left_us: time that is left. */
void note_tried(struct note_book *notes, int64_t now, const struct call *call,
		const struct attempt *attempt, const struct flow_reply *reply);
/** note_suspect() - there is more evidence against a request. */
void note_suspect(struct note_book *notes, int64_t now,
		  const struct poison *poison, const struct poison_entry *entry,
		  struct str target);
/** note_cleared() - there was evidence, and a target has answered it. */
void note_cleared(struct note_book *notes, int64_t now,
		  const struct fingerprint *print);
/** note_batch() - shards handed to the node at @addr are asked for here. */
void note_batch(struct note_book *notes, int64_t now, const struct call *call,
		struct str addr, size_t shards, const char *why);
/** note_belief() - @what changed for @who, and on what grounds. */
void note_belief(struct note_book *notes, int64_t now, const char *what,
		 struct str who, const char *why, uint64_t version);
/** note_fault() - the same of what an operator has to mend, as an error. */
void note_fault(struct note_book *notes, int64_t now, const char *what,
		struct str who, const char *why, uint64_t version);
