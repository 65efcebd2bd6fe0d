#pragma once

#include "fingerprint.h"

/**
 * DOC: requests that crash the targets that run them
 *
 * Such a request comes again under other ids, and each node that hedges and
 * retries it crashes more targets. What tells it from all others that were
 * under way at a crash: it has broken off at several targets, in rounds that
 * followed each other, and none has ever answered it. A request that has broken
 * off at a few is suspect: it is tried at one target at a time (trial.h), and
 * an answer clears it. After some rounds without one it is blocked.
 *
 * Evidence is against a caller's request. The content alone is blocked once it
 * has crashed targets for two callers.
 */

enum {
	/* Targets that are kept in mind for a request. */
	POISON_TARGETS_MAX = 4,
	/* Requests that there is evidence against; some 200 bytes each. */
	POISON_ENTRIES_MAX = 1024,
	/* Requests of which it is remembered that they were just answered. */
	POISON_ANSWERED_MAX = 4096,
};

/** enum poison_verdict - what may be done with a request */
enum poison_verdict {
	POISON_NONE,
	POISON_SUSPECT, /* one target at a time, by leave */
	POISON_BLOCKED, /* none */
};

/**
 * struct poison_crash - a target that broke off under a request
 * @key, @born_ms: of that start of it
 * @at: when its connection broke
 * @confirmed: its entry is gone since, so it did end
 */
struct poison_crash {
	uint64_t key;
	int64_t born_ms;
	int64_t at;
	bool confirmed;
};

/**
 * struct poison_targets - what is known of targets
 * @is_live: the one of @crash has not ended; asked long after its connection
 *         broke
 */
struct poison_targets {
	bool (*is_live)(const void *ctx, const struct poison_crash *crash);
	const void *ctx;
};

/**
 * struct poison_entry - evidence against a request of one caller
 * @rounds: breaks of sends that were made after the round before had broken
 * @requested_at: when it came last
 * @leased_until: it is tried by some node until then
 * @harmless: a target answered it; kept as others send the same content
 * @pending: to be sent to other nodes at once
 * @announced: other nodes have been sent it, or have sent it
 * @next: the same content of another caller
 */
struct poison_entry {
	struct fingerprint print;
	int rounds;
	struct poison_crash crashes[POISON_TARGETS_MAX];
	size_t ncrashes;
	int64_t requested_at;
	int64_t leased_until;
	bool harmless;
	bool pending;
	bool announced;
	struct poison_entry *next;
};

/** struct poison_answered - a request, by its hash, and when it was answered */
struct poison_answered {
	uint64_t key;
	int64_t at;
};

/**
 * struct poison - all evidence that this node knows
 * @entries: content -> struct poison_entry, linked by next
 * @answered: answered lately, by their keys; a newer one takes an older one's
 *          place
 * @count: entries in all
 * @has_pending: some entry is news
 */
struct poison {
	apr_hash_t *entries;
	struct poison_answered *answered;
	struct poison_targets targets;
	size_t count;
	bool has_pending;
};

void poison_init(struct poison *poison, apr_pool_t *pool,
		 struct poison_targets targets);
void poison_destroy(struct poison *poison);
enum poison_verdict poison_verdict(const struct poison *poison,
				   const struct fingerprint *print);
/** poison_touch() - the request came: it is not forgotten soon. */
void poison_touch(struct poison *poison, const struct fingerprint *print,
		  int64_t now);
/** poison_round() - which round a send made now belongs to, from 1 on. */
int poison_round(const struct poison *poison, const struct fingerprint *print);
/**
 * poison_crashed() - a connection broke at a target that ran the request
 * @round: that it was sent in
 *
 * Return: the entry if it is more evidence against a suspect, else NULL.
 */
const struct poison_entry *poison_crashed(struct poison *poison,
					  const struct fingerprint *print,
					  int round,
					  const struct poison_crash *crash);
/**
 * poison_unanswered() - it has ended without an answer of any target
 *
 * Only now is what broke under it told to others: most requests that lose some
 * connections are answered a moment later.
 */
void poison_unanswered(struct poison *poison, const struct fingerprint *print);
/**
 * poison_answered() - a target answered it
 *
 * Return: whether it was suspect.
 */
bool poison_answered(struct poison *poison, const struct fingerprint *print,
		     int64_t now);
/** poison_lease() - false while another trial of the same content runs. */
bool poison_lease(struct poison *poison, const struct fingerprint *print,
		  int64_t now);
/**
 * poison_merge() - another node's evidence; times in it are of this node's
 * clock
 * @relay: what is new here is news to further nodes
 */
void poison_merge(struct poison *poison, const struct poison_entry *from,
		  bool relay, bool store_fresh, int64_t now);
/**
 * poison_sweep() - drop what the table of targets refutes, and what is old
 * @store_fresh: the table is what the store says now
 */
void poison_sweep(struct poison *poison, bool store_fresh, int64_t now);
/** poison_is_shared() - it is suspect, and has been for some seconds. */
bool poison_is_shared(const struct poison_entry *entry, int64_t now);
/**
 * poison_digest() - alike on nodes that share the same; 0 for nothing
 *
 * What is newer is on its way between them.
 */
uint64_t poison_digest(const struct poison *poison, int64_t now);
/** struct poison_counts - contents by the worst verdict over their callers */
struct poison_counts {
	size_t suspect;
	size_t blocked;
};

struct poison_counts poison_count(const struct poison *poison);
