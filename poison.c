#include "poison.h"

#include <stdlib.h>

#include "xmalloc.h"

enum {
	/*
	 * A single broken connection has many other causes: a reset, a restart,
	 * a target that aborts some of its replies.
	 */
	SUSPECT_CRASHES = 2,
	/*
	 * All requests in flight at a crash lose their connections, and may
	 * lose the next one if that target ends at the same moment. A harmless
	 * request does not break a third time in a row without any answer.
	 */
	BLOCKED_ROUNDS = 3,
	BLOCKED_CRASHES = 3,
	/* Duration of a trial; by then its reply has arrived or is lost. */
	LEASE_US = 1000000,
	/* A few canaries one after the other, until there is a verdict. */
	CANARY_LEASE_US = 500000,
	/*
	 * A target that ended is not published any more by then: an entry
	 * expires after three missed heartbeats of about a second each.
	 */
	CONFIRM_US = 10000000,
	/*
	 * A frequent request is in flight at every crash, and breaks at many
	 * targets while replies are lost, but targets keep answering it. So a
	 * recent answer outweighs evidence.
	 */
	ANSWERED_RETENTION_US = 10000000,
	/* New evidence has reached all nodes by then. */
	PROPAGATION_US = 3000000,
	HARMLESS_RETENTION_US = 60000000,
	SUSPECT_RETENTION_S = 3600,
};

static const int64_t SUSPECT_RETENTION_US = SUSPECT_RETENTION_S * 1000000LL;

void poison_init(struct poison *poison, apr_pool_t *pool,
		 struct poison_targets targets)
{
	*poison = (struct poison){ .entries = hash_make(pool),
				   .targets = targets };
	poison->answered =
		xcalloc(POISON_RECENT_MAX, sizeof(*poison->answered));
	poison->canaries =
		xcalloc(POISON_RECENT_MAX, sizeof(*poison->canaries));
}

void poison_destroy(struct poison *poison)
{
	apr_hash_index_t *it;

	for (it = apr_hash_first(NULL, poison->entries); it;
	     it = apr_hash_next(it)) {
		struct poison_entry *entry = hash_value(it);

		while (entry) {
			struct poison_entry *next = entry->next;

			free(entry);
			entry = next;
		}
	}
	free(poison->answered);
	free(poison->canaries);
}

/* Table. */

static struct poison_entry *
find_first_entry(const struct poison *poison,
		 const struct fingerprint *fingerprint)
{
	if (!poison->count)
		return NULL;
	return apr_hash_get(poison->entries, fingerprint->content,
			    sizeof(fingerprint->content));
}

static struct poison_entry *find_entry(const struct poison *poison,
				       const struct fingerprint *fingerprint)
{
	struct poison_entry *entry = find_first_entry(poison, fingerprint);

	while (entry && entry->fingerprint.caller != fingerprint->caller)
		entry = entry->next;
	return entry;
}

/* The key of the hash table is stored in the first entry of a content. */
static void link_entry(struct poison *poison, struct poison_entry *entry)
{
	struct poison_entry *first =
		find_first_entry(poison, &entry->fingerprint);

	if (first) {
		entry->next = first->next;
		first->next = entry;
	} else {
		apr_hash_set(poison->entries, entry->fingerprint.content,
			     sizeof(entry->fingerprint.content), entry);
	}
	poison->count++;
}

static void remove_entry(struct poison *poison, struct poison_entry *entry)
{
	struct poison_entry *first =
		find_first_entry(poison, &entry->fingerprint);
	struct poison_entry *before = first;

	if (first == entry) {
		apr_hash_set(poison->entries, entry->fingerprint.content,
			     sizeof(entry->fingerprint.content), NULL);
		if (entry->next)
			apr_hash_set(poison->entries,
				     entry->next->fingerprint.content,
				     sizeof(entry->next->fingerprint.content),
				     entry->next);
	} else {
		while (before->next != entry)
			before = before->next;
		before->next = entry->next;
	}
	poison->count--;
	free(entry);
}

/**
 * struct evidence - summary of a content over all its callers
 * @callers: number with enough evidence to be suspect
 * @crashed_callers: number with any evidence
 * @blocked: for at least one caller
 * @harmless: for at least one caller
 */
struct evidence {
	int rounds;
	size_t crashes;
	int callers;
	int crashed_callers;
	bool blocked;
	bool harmless;
};

static bool is_blocked(const struct poison_entry *entry, size_t crashes)
{
	return entry->rounds >= BLOCKED_ROUNDS &&
	       entry->ncrashes >= SUSPECT_CRASHES && crashes >= BLOCKED_CRASHES;
}

static struct evidence sum_evidence(const struct poison_entry *first)
{
	struct evidence evidence = { 0 };

	for (const struct poison_entry *at = first; at; at = at->next) {
		if (at->rounds > evidence.rounds)
			evidence.rounds = at->rounds;
		evidence.crashes += at->ncrashes;
		evidence.callers += at->ncrashes >= SUSPECT_CRASHES;
		evidence.crashed_callers += at->ncrashes > 0;
		evidence.harmless = evidence.harmless || at->harmless;
	}
	for (const struct poison_entry *at = first; at; at = at->next)
		evidence.blocked =
			evidence.blocked || is_blocked(at, evidence.crashes);
	return evidence;
}

/* Return: the entry requested least recently, blocked contents last. */
static struct poison_entry *eviction_candidate(const struct poison *poison)
{
	struct poison_entry *candidate = NULL;
	bool candidate_blocked = true;
	apr_hash_index_t *it;

	for (it = apr_hash_first(NULL, poison->entries); it;
	     it = apr_hash_next(it)) {
		struct poison_entry *first = hash_value(it);
		bool blocked = sum_evidence(first).blocked;

		for (struct poison_entry *at = first; at; at = at->next) {
			if (candidate &&
			    (blocked > candidate_blocked ||
			     (blocked == candidate_blocked &&
			      at->requested_at >= candidate->requested_at)))
				continue;
			candidate = at;
			candidate_blocked = blocked;
		}
	}
	return candidate;
}

static struct poison_entry *
get_or_create_entry(struct poison *poison,
		    const struct fingerprint *fingerprint, int64_t now)
{
	struct poison_entry *entry = find_entry(poison, fingerprint);

	if (entry)
		return entry;
	if (poison->count >= POISON_ENTRIES_MAX)
		remove_entry(poison, eviction_candidate(poison));
	entry = xcalloc(1, sizeof(*entry));
	entry->fingerprint = *fingerprint;
	entry->requested_at = now;
	link_entry(poison, entry);
	return entry;
}

static void mark_pending(struct poison *poison, struct poison_entry *entry)
{
	entry->pending = true;
	poison->has_pending = true;
}

/* Verdict. */

/*
 * Other callers may send the same content with other headers, so what one of
 * them has shown does not block it for all. If each next caller had to show as
 * much alone, a request that many callers send would crash targets for each of
 * them. So their evidence adds up as long as no target has answered any.
 */
static bool is_blocked_for_all(const struct evidence *evidence)
{
	if (evidence->blocked && evidence->callers > 1)
		return true;
	return !evidence->harmless && evidence->crashed_callers > 1 &&
	       evidence->rounds >= BLOCKED_ROUNDS &&
	       evidence->crashes >= BLOCKED_CRASHES;
}

enum poison_verdict poison_verdict(const struct poison *poison,
				   const struct fingerprint *fingerprint)
{
	const struct poison_entry *first =
		find_first_entry(poison, fingerprint);
	const struct poison_entry *own;
	struct evidence evidence;

	if (!first)
		return POISON_NONE;
	evidence = sum_evidence(first);
	own = find_entry(poison, fingerprint);
	if (own && own->harmless)
		return POISON_NONE;
	if (own && is_blocked(own, evidence.crashes))
		return POISON_BLOCKED;
	if (is_blocked_for_all(&evidence))
		return POISON_BLOCKED;
	return evidence.callers ? POISON_SUSPECT : POISON_NONE;
}

void poison_on_request(struct poison *poison,
		       const struct fingerprint *fingerprint, int64_t now)
{
	struct poison_entry *entry = find_first_entry(poison, fingerprint);

	for (; entry; entry = entry->next)
		entry->requested_at = now;
}

int poison_next_round(const struct poison *poison,
		      const struct fingerprint *fingerprint)
{
	return sum_evidence(find_first_entry(poison, fingerprint)).rounds + 1;
}

/* Recently answered requests. */

static uint64_t answered_key(const struct fingerprint *fingerprint)
{
	return str_hash((struct str){ (const char *)fingerprint,
				      sizeof(*fingerprint) });
}

static void record_answered(struct poison *poison,
			    const struct fingerprint *fingerprint, int64_t now)
{
	uint64_t key = answered_key(fingerprint);

	poison->answered[key % POISON_RECENT_MAX] =
		(struct recent_request){ key, now };
}

bool poison_was_answered(const struct poison *poison,
			 const struct fingerprint *fingerprint, int64_t now)
{
	uint64_t key = answered_key(fingerprint);
	const struct recent_request *answered =
		&poison->answered[key % POISON_RECENT_MAX];

	return answered->key == key &&
	       now - answered->at < ANSWERED_RETENTION_US;
}

/* Evidence. */

static bool has_crash(const struct poison_entry *entry,
		      const struct poison_crash *crash)
{
	for (size_t i = 0; i < entry->ncrashes; i++)
		if (entry->crashes[i].key == crash->key &&
		    entry->crashes[i].born_ms == crash->born_ms)
			return true;
	return false;
}

/* A full list is evidence enough, so a new crash overwrites the last one. */
static bool add_crash(struct poison_entry *entry,
		      const struct poison_crash *crash)
{
	if (has_crash(entry, crash))
		return false;
	if (entry->ncrashes < POISON_TARGETS_MAX)
		entry->ncrashes++;
	entry->crashes[entry->ncrashes - 1] = *crash;
	return true;
}

/* Return: whether it has more crashes or rounds than @before. */
static bool has_grown(const struct poison_entry *entry,
		      const struct poison_entry *before)
{
	return entry->ncrashes > before->ncrashes ||
	       entry->rounds > before->rounds;
}

const struct poison_entry *
poison_on_crash(struct poison *poison, const struct fingerprint *fingerprint,
		int round, const struct poison_crash *crash)
{
	struct poison_entry *entry;
	struct poison_entry before;

	if (poison_was_answered(poison, fingerprint, crash->at))
		return NULL;
	entry = get_or_create_entry(poison, fingerprint, crash->at);
	before = *entry;
	entry->harmless = false;
	if (add_crash(entry, crash) && round > entry->rounds)
		entry->rounds = round;
	if (!has_grown(entry, &before) ||
	    poison_verdict(poison, fingerprint) == POISON_NONE)
		return NULL;
	/* The first round is sent by poison_on_unanswered(). */
	if (entry->rounds > 1 && entry->rounds > before.rounds)
		mark_pending(poison, entry);
	return entry;
}

void poison_on_unanswered(struct poison *poison,
			  const struct fingerprint *fingerprint)
{
	struct poison_entry *entry = find_entry(poison, fingerprint);

	if (entry && entry->ncrashes && !entry->announced)
		mark_pending(poison, entry);
}

/* Return: there are crashes under the same content of another caller. */
static bool other_callers_suspect(const struct poison *poison,
				  const struct fingerprint *fingerprint)
{
	const struct poison_entry *at = find_first_entry(poison, fingerprint);

	for (; at; at = at->next)
		if (at->fingerprint.caller != fingerprint->caller &&
		    at->ncrashes)
			return true;
	return false;
}

static void clear_evidence(struct poison_entry *entry)
{
	entry->rounds = 0;
	entry->ncrashes = 0;
	entry->leased_until = 0;
	entry->harmless = true;
}

/* Return: the entry if it has become harmless now, or NULL. */
static struct poison_entry *set_harmless(struct poison *poison,
					 const struct fingerprint *fingerprint,
					 int64_t now)
{
	struct poison_entry *entry = find_entry(poison, fingerprint);

	record_answered(poison, fingerprint, now);
	if (!entry && !other_callers_suspect(poison, fingerprint))
		return NULL;
	entry = get_or_create_entry(poison, fingerprint, now);
	if (entry->harmless)
		return NULL;
	clear_evidence(entry);
	return entry;
}

bool poison_on_answer(struct poison *poison,
		      const struct fingerprint *fingerprint, int64_t now)
{
	bool was_suspect = poison_verdict(poison, fingerprint) != POISON_NONE;
	struct poison_entry *entry = set_harmless(poison, fingerprint, now);

	if (entry && entry->announced)
		mark_pending(poison, entry);
	return was_suspect;
}

static struct recent_request *canary_slot(const struct poison *poison,
					  const struct fingerprint *fingerprint)
{
	return &poison->canaries[fingerprint->content[0] % POISON_RECENT_MAX];
}

static bool has_canary(const struct poison *poison,
		       const struct fingerprint *fingerprint, int64_t now)
{
	const struct recent_request *last = canary_slot(poison, fingerprint);

	return last->key == fingerprint->content[0] &&
	       now - last->at < CANARY_LEASE_US;
}

bool poison_take_lease(struct poison *poison,
		       const struct fingerprint *fingerprint, int64_t now)
{
	const struct poison_entry *at = find_first_entry(poison, fingerprint);

	if (has_canary(poison, fingerprint, now))
		return false;
	for (; at; at = at->next)
		if (at->leased_until > now)
			return false;
	get_or_create_entry(poison, fingerprint, now)->leased_until =
		now + LEASE_US;
	return true;
}

bool poison_take_canary_lease(struct poison *poison,
			      const struct fingerprint *fingerprint,
			      int64_t now)
{
	if (has_canary(poison, fingerprint, now))
		return false;
	*canary_slot(poison, fingerprint) =
		(struct recent_request){ fingerprint->content[0], now };
	return true;
}

bool poison_has_crashes(const struct poison *poison,
			const struct fingerprint *fingerprint)
{
	const struct poison_entry *at = find_first_entry(poison, fingerprint);

	while (at && !at->ncrashes)
		at = at->next;
	return at;
}

/*
 * A target that is still live long after its connection broke did not crash:
 * the connection broke for another reason.
 */
static bool is_refuted(const struct poison *poison,
		       const struct poison_crash *crash, int64_t now)
{
	return now - crash->at > CONFIRM_US &&
	       poison->targets.is_live(poison->targets.ctx, crash);
}

/* Return: the entry if @from added evidence, or NULL. */
static struct poison_entry *merge_crashes(struct poison *poison,
					  const struct poison_entry *from,
					  bool store_fresh, int64_t now)
{
	struct poison_entry *entry = find_entry(poison, &from->fingerprint);
	struct poison_entry before = { 0 };

	if (entry)
		before = *entry;
	if (poison_was_answered(poison, &from->fingerprint, now))
		return NULL;
	for (size_t i = 0; i < from->ncrashes; i++) {
		if (store_fresh && is_refuted(poison, &from->crashes[i], now))
			continue;
		entry = get_or_create_entry(poison, &from->fingerprint, now);
		entry->harmless = false;
		add_crash(entry, &from->crashes[i]);
	}
	if (!entry || !entry->ncrashes)
		return NULL;
	if (from->rounds > entry->rounds)
		entry->rounds = from->rounds;
	return has_grown(entry, &before) ? entry : NULL;
}

void poison_merge(struct poison *poison, const struct poison_entry *from,
		  bool relay, bool store_fresh, int64_t now)
{
	struct poison_entry *entry =
		from->harmless ? set_harmless(poison, &from->fingerprint, now)
			       : merge_crashes(poison, from, store_fresh, now);

	if (!entry)
		return;
	entry->announced = true;
	if (relay)
		mark_pending(poison, entry);
}

static void check_crashes(struct poison *poison, struct poison_entry *entry,
			  int64_t now)
{
	size_t ncrashes_before = entry->ncrashes;
	size_t kept = 0;

	for (size_t i = 0; i < entry->ncrashes; i++) {
		struct poison_crash crash = entry->crashes[i];

		if (!crash.confirmed && is_refuted(poison, &crash, now))
			continue;
		if (now - crash.at > CONFIRM_US)
			crash.confirmed = true;
		entry->crashes[kept++] = crash;
	}
	entry->ncrashes = kept;
	if (kept < ncrashes_before && entry->rounds > (int)kept)
		entry->rounds = (int)kept;
}

static bool is_expired(const struct poison_entry *entry, bool blocked,
		       int64_t now)
{
	int64_t age = now - entry->requested_at;

	if (entry->harmless || !entry->ncrashes)
		return age > HARMLESS_RETENTION_US;
	return !blocked && age > SUSPECT_RETENTION_US;
}

/* Return: an expired entry, or NULL. */
static struct poison_entry *find_expired(const struct poison *poison,
					 int64_t now)
{
	apr_hash_index_t *it;

	for (it = apr_hash_first(NULL, poison->entries); it;
	     it = apr_hash_next(it)) {
		struct poison_entry *first = hash_value(it);
		bool blocked = sum_evidence(first).blocked;

		for (struct poison_entry *at = first; at; at = at->next)
			if (is_expired(at, blocked, now))
				return at;
	}
	return NULL;
}

void poison_sweep(struct poison *poison, bool store_fresh, int64_t now)
{
	struct poison_entry *expired;
	apr_hash_index_t *it;

	for (it = store_fresh ? apr_hash_first(NULL, poison->entries) : NULL;
	     it; it = apr_hash_next(it))
		for (struct poison_entry *at = hash_value(it); at;
		     at = at->next)
			check_crashes(poison, at, now);
	while ((expired = find_expired(poison, now)))
		remove_entry(poison, expired);
}

bool poison_is_shared(const struct poison_entry *entry, int64_t now)
{
	bool from_trial = entry->ncrashes && entry->rounds > 1;

	return (entry->ncrashes >= SUSPECT_CRASHES || from_trial) &&
	       now - entry->crashes[0].at > PROPAGATION_US;
}

static uint64_t entry_digest(const struct poison_entry *entry)
{
	uint64_t words[] = { entry->fingerprint.content[0],
			     entry->fingerprint.content[1],
			     entry->fingerprint.caller,
			     (uint64_t)entry->rounds };

	return str_hash((struct str){ (const char *)words, sizeof(words) });
}

uint64_t poison_digest(const struct poison *poison, int64_t now)
{
	apr_hash_index_t *it;
	uint64_t digest = 0;

	for (it = apr_hash_first(NULL, poison->entries); it;
	     it = apr_hash_next(it))
		for (const struct poison_entry *at = hash_value(it); at;
		     at = at->next)
			if (poison_is_shared(at, now))
				digest ^= entry_digest(at);
	return digest;
}

struct poison_counts poison_count(const struct poison *poison)
{
	struct poison_counts counts = { 0 };
	apr_hash_index_t *it;

	for (it = apr_hash_first(NULL, poison->entries); it;
	     it = apr_hash_next(it)) {
		struct evidence evidence = sum_evidence(hash_value(it));

		counts.blocked += evidence.blocked;
		counts.suspect += !evidence.blocked && evidence.callers;
	}
	return counts;
}
