#pragma once

#include "fingerprint.h"

/**
 * DOC: quarantine of requests that crash the targets that run them
 *
 * Callers repeat such a request under other ids, and each node that hedges and
 * retries it crashes more targets. It differs from the other requests in flight
 * at a crash: connections broke under it at several targets, in successive
 * rounds, and no target has ever answered it. After breaks at a few targets a
 * request is suspect: it is sent to one target at a time (trial.h), and an
 * answer clears it. After several rounds without an answer it is blocked.
 *
 * Evidence is kept per content and caller. The content is blocked for every
 * caller once two of them have enough evidence each, or once the evidence of
 * several adds up and no target has answered any of them.
 */

enum {
	/* Crashed targets that are recorded for a request. */
	POISON_TARGETS_MAX = 4,
	/* Requests with evidence; about 200 bytes each. */
	POISON_ENTRIES_MAX = 1024,
	/* Recent requests that are recorded: answered, and sent as canaries. */
	POISON_RECENT_MAX = 4096,
};

/** enum poison_verdict - how a request may be sent to targets */
enum poison_verdict {
	POISON_NONE,
	POISON_SUSPECT, /* to one target at a time, with a lease */
	POISON_BLOCKED, /* to no target */
};

/**
 * struct poison_crash - a target whose connection broke under a request
 * @key: key of the target
 * @born_ms: start of its process
 * @at: when its connection broke
 * @confirmed: the target was removed since, so its process did end
 */
struct poison_crash {
	uint64_t key;
	int64_t born_ms;
	int64_t at;
	bool confirmed;
};

/**
 * struct poison_targets - state of targets
 * @is_live: whether the process of @crash has not ended; called long after its
 *           connection broke
 */
struct poison_targets {
	bool (*is_live)(const void *ctx, const struct poison_crash *crash);
	const void *ctx;
};

/**
 * struct poison_entry - evidence against a request of one caller
 * @rounds: successive rounds of broken attempts; an attempt belongs to a new
 *          round if it was sent after the previous round had broken
 * @requested_at: last arrival of the request
 * @leased_until: end of the lease of a node that runs a trial
 * @harmless: a target answered it; kept as others send the same content
 * @pending: must be sent to other nodes at once
 * @announced: was sent to, or received from, other nodes
 * @next: entry of the same content with another caller
 */
struct poison_entry {
	struct fingerprint fingerprint;
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

/** struct recent_request - hash of a request, and a time */
struct recent_request {
	uint64_t key;
	int64_t at;
};

/**
 * struct poison - all evidence that this node has
 * @entries: content -> struct poison_entry, linked by next
 * @answered: recently answered requests by hash; a newer one overwrites an
 *            older one of the same slot
 * @canaries: the same of the last leases for canaries, by content
 * @count: total number of entries
 * @has_pending: some entry may be pending
 */
struct poison {
	apr_hash_t *entries;
	struct recent_request *answered;
	struct recent_request *canaries;
	struct poison_targets targets;
	size_t count;
	bool has_pending;
};

void poison_init(struct poison *poison, apr_pool_t *pool,
		 struct poison_targets targets);
void poison_destroy(struct poison *poison);
enum poison_verdict poison_verdict(const struct poison *poison,
				   const struct fingerprint *fingerprint);
/** poison_on_request() - record an arrival, which postpones expiry. */
void poison_on_request(struct poison *poison,
		       const struct fingerprint *fingerprint, int64_t now);
/** poison_next_round() - number of the round of an attempt sent now, from 1. */
int poison_next_round(const struct poison *poison,
		      const struct fingerprint *fingerprint);
/**
 * poison_on_crash() - record a broken connection to a target under a request.
 * @round: round of that attempt
 *
 * Return: the entry if it has new evidence and is not POISON_NONE, or NULL.
 */
const struct poison_entry *
poison_on_crash(struct poison *poison, const struct fingerprint *fingerprint,
		int round, const struct poison_crash *crash);
/**
 * poison_on_unanswered() - a request has ended without an answer of any target.
 *
 * Evidence of its first round is sent to other nodes only now, because most
 * requests that lose some connections are answered shortly after.
 */
void poison_on_unanswered(struct poison *poison,
			  const struct fingerprint *fingerprint);
/**
 * poison_on_answer() - a target answered the request, which clears it.
 *
 * Return: whether it was suspect or blocked.
 */
bool poison_on_answer(struct poison *poison,
		      const struct fingerprint *fingerprint, int64_t now);
/**
 * poison_take_lease() - take the lease for a trial.
 *
 * Return: false while another trial of the same content runs.
 */
bool poison_take_lease(struct poison *poison,
		       const struct fingerprint *fingerprint, int64_t now);
/**
 * poison_take_canary_lease() - take the lease for a canary; leaves no evidence.
 *
 * Return: false while another canary of the same content may be in flight.
 */
bool poison_take_canary_lease(struct poison *poison,
			      const struct fingerprint *fingerprint,
			      int64_t now);
/** poison_has_crashes() - whether a target crashed under the content. */
bool poison_has_crashes(const struct poison *poison,
			const struct fingerprint *fingerprint);
/** poison_was_answered() - whether a target has answered it lately. */
bool poison_was_answered(const struct poison *poison,
			 const struct fingerprint *fingerprint, int64_t now);
/**
 * poison_merge() - merge evidence of another node.
 * @from: the evidence, with times in this node's clock
 * @relay: send what is new to further nodes
 * @store_fresh: the table of targets is up to date
 */
void poison_merge(struct poison *poison, const struct poison_entry *from,
		  bool relay, bool store_fresh, int64_t now);
/**
 * poison_sweep() - remove evidence of targets that did not end, and old
 * entries.
 * @store_fresh: the table of targets is up to date
 */
void poison_sweep(struct poison *poison, bool store_fresh, int64_t now);
/**
 * poison_is_shared() - suspect, or evidence of a trial, for so long that all
 * nodes have the entry.
 */
bool poison_is_shared(const struct poison_entry *entry, int64_t now);
/**
 * poison_digest() - digest of the shared entries, equal on nodes with the same
 * evidence; 0 if there are none.
 *
 * Newer entries are left out, as they are still in flight between nodes.
 */
uint64_t poison_digest(const struct poison *poison, int64_t now);
/** struct poison_counts - contents by the worst verdict of their callers */
struct poison_counts {
	size_t suspect;
	size_t blocked;
};

struct poison_counts poison_count(const struct poison *poison);
