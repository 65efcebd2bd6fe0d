#include "poison.h"

#include <stdlib.h>

#include "xmalloc.h"

enum {
	/*
	 * One broken connection has many causes: a reset, a restart, a target
	 * that breaks off some of its replies.
	 */
	SUSPECT_CRASHES = 2,
	/*
	 * All requests under way at a crash break with it, also at the next
	 * target if that ends just then. Not a third time in a row while no
	 * target at all answers them.
	 */
	BLOCKED_ROUNDS = 3,
	BLOCKED_CRASHES = 3,
	/* One trial of a request at a time; its reply is there or lost by then.
	 */
	LEASE_US = 1000000,
	/*
	 * A target that ended is no longer published by then: entries last
	 * three heartbeats of silence, of a second or so each.
	 */
	SETTLE_US = 10000000,
	/*
	 * A request that is asked often is under way at each crash, and breaks
	 * at many targets while replies are lost. It is answered all the time
	 * too.
	 */
	SERVED_US = 10000000,
	/* News has reached all nodes by then. */
	SHARED_US = 3000000,
	HARMLESS_KEPT_US = 60000000,
	SUSPECT_KEPT_S = 3600,
};

static const int64_t SUSPECT_KEPT_US = SUSPECT_KEPT_S * 1000000LL;

void poison_init(struct poison *poison, apr_pool_t *pool,
		 struct poison_targets targets)
{
	*poison = (struct poison){ .entries = hash_make(pool),
				   .targets = targets };
	poison->served = xcalloc(POISON_SERVED_MAX, sizeof(*poison->served));
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
	free(poison->served);
}

/* Table. */

static struct poison_entry *first_of(const struct poison *poison,
				     const struct fingerprint *print)
{
	if (!poison->count)
		return NULL;
	return apr_hash_get(poison->entries, print->content,
			    sizeof(print->content));
}

static struct poison_entry *find(const struct poison *poison,
				 const struct fingerprint *print)
{
	struct poison_entry *entry = first_of(poison, print);

	while (entry && entry->print.caller != print->caller)
		entry = entry->next;
	return entry;
}

/* The table's key lives in the first entry of its content. */
static void link_entry(struct poison *poison, struct poison_entry *entry)
{
	struct poison_entry *first = first_of(poison, &entry->print);

	if (first) {
		entry->next = first->next;
		first->next = entry;
	} else {
		apr_hash_set(poison->entries, entry->print.content,
			     sizeof(entry->print.content), entry);
	}
	poison->count++;
}

static void drop(struct poison *poison, struct poison_entry *entry)
{
	struct poison_entry *first = first_of(poison, &entry->print);
	struct poison_entry *before = first;

	if (first == entry) {
		apr_hash_set(poison->entries, entry->print.content,
			     sizeof(entry->print.content), NULL);
		if (entry->next)
			apr_hash_set(poison->entries,
				     entry->next->print.content,
				     sizeof(entry->next->print.content),
				     entry->next);
	} else {
		while (before->next != entry)
			before = before->next;
		before->next = entry->next;
	}
	poison->count--;
	free(entry);
}

/** struct chain - what is known of a content, over all its callers */
struct chain {
	int rounds;
	size_t crashes;
	int callers; /* with enough evidence to be suspect */
	bool blocked; /* for one of them at least */
};

static bool is_blocked(const struct poison_entry *entry, size_t crashes)
{
	return entry->rounds >= BLOCKED_ROUNDS &&
	       entry->ncrashes >= SUSPECT_CRASHES && crashes >= BLOCKED_CRASHES;
}

static struct chain sum_up(const struct poison_entry *first)
{
	struct chain chain = { 0 };

	for (const struct poison_entry *at = first; at; at = at->next) {
		if (at->rounds > chain.rounds)
			chain.rounds = at->rounds;
		chain.crashes += at->ncrashes;
		chain.callers += at->ncrashes >= SUSPECT_CRASHES;
	}
	for (const struct poison_entry *at = first; at; at = at->next)
		chain.blocked = chain.blocked || is_blocked(at, chain.crashes);
	return chain;
}

/* Return: what to give up for a new entry: the blocked ones last. */
static struct poison_entry *least_wanted(const struct poison *poison)
{
	struct poison_entry *least = NULL;
	bool least_blocked = true;
	apr_hash_index_t *it;

	for (it = apr_hash_first(NULL, poison->entries); it;
	     it = apr_hash_next(it)) {
		struct poison_entry *first = hash_value(it);
		bool blocked = sum_up(first).blocked;

		for (struct poison_entry *at = first; at; at = at->next) {
			if (least && (blocked > least_blocked ||
				      (blocked == least_blocked &&
				       at->asked_at >= least->asked_at)))
				continue;
			least = at;
			least_blocked = blocked;
		}
	}
	return least;
}

static struct poison_entry *get(struct poison *poison,
				const struct fingerprint *print, int64_t now)
{
	struct poison_entry *entry = find(poison, print);

	if (entry)
		return entry;
	if (poison->count >= POISON_ENTRIES_MAX)
		drop(poison, least_wanted(poison));
	entry = xcalloc(1, sizeof(*entry));
	entry->print = *print;
	entry->asked_at = now;
	link_entry(poison, entry);
	return entry;
}

static void set_news(struct poison *poison, struct poison_entry *entry)
{
	entry->news = true;
	poison->has_news = true;
}

/* Verdict. */

enum poison_verdict poison_verdict(const struct poison *poison,
				   const struct fingerprint *print)
{
	const struct poison_entry *first = first_of(poison, print);
	const struct poison_entry *own;
	struct chain chain;

	if (!first)
		return POISON_NONE;
	chain = sum_up(first);
	own = find(poison, print);
	if (own && own->harmless)
		return POISON_NONE;
	if (own && is_blocked(own, chain.crashes))
		return POISON_BLOCKED;
	if (chain.blocked && chain.callers > 1)
		return POISON_BLOCKED;
	return chain.callers ? POISON_SUSPECT : POISON_NONE;
}

void poison_asked(struct poison *poison, const struct fingerprint *print,
		  int64_t now)
{
	struct poison_entry *entry = first_of(poison, print);

	for (; entry; entry = entry->next)
		entry->asked_at = now;
}

int poison_round(const struct poison *poison, const struct fingerprint *print)
{
	return sum_up(first_of(poison, print)).rounds + 1;
}

/* Requests that were answered. */

static uint64_t served_key(const struct fingerprint *print)
{
	return str_hash((struct str){ (const char *)print, sizeof(*print) });
}

static void note_served(struct poison *poison, const struct fingerprint *print,
			int64_t now)
{
	uint64_t key = served_key(print);

	poison->served[key % POISON_SERVED_MAX] =
		(struct poison_served){ key, now };
}

static bool was_served(const struct poison *poison,
		       const struct fingerprint *print, int64_t now)
{
	uint64_t key = served_key(print);
	const struct poison_served *served =
		&poison->served[key % POISON_SERVED_MAX];

	return served->key == key && now - served->at < SERVED_US;
}

/* Evidence. */

static bool knows_crash(const struct poison_entry *entry,
			const struct poison_crash *crash)
{
	for (size_t i = 0; i < entry->ncrashes; i++)
		if (entry->crashes[i].key == crash->key &&
		    entry->crashes[i].born_ms == crash->born_ms)
			return true;
	return false;
}

/* What is known when the list is full is enough; the newest takes its end. */
static bool add_crash(struct poison_entry *entry,
		      const struct poison_crash *crash)
{
	if (knows_crash(entry, crash))
		return false;
	if (entry->ncrashes < POISON_TARGETS_MAX)
		entry->ncrashes++;
	entry->crashes[entry->ncrashes - 1] = *crash;
	return true;
}

/* Return: whether it is other evidence than @before. */
static bool has_grown(const struct poison_entry *entry,
		      const struct poison_entry *before)
{
	return entry->ncrashes > before->ncrashes ||
	       entry->rounds > before->rounds;
}

const struct poison_entry *poison_broke(struct poison *poison,
					const struct fingerprint *print,
					int round,
					const struct poison_crash *crash)
{
	struct poison_entry *entry;
	struct poison_entry before;

	if (was_served(poison, print, crash->at))
		return NULL;
	entry = get(poison, print, crash->at);
	before = *entry;
	entry->harmless = false;
	if (add_crash(entry, crash) && round > entry->rounds)
		entry->rounds = round;
	if (!has_grown(entry, &before) ||
	    poison_verdict(poison, print) == POISON_NONE)
		return NULL;
	/* The first round is told when its request has ended. */
	if (entry->rounds > 1 && entry->rounds > before.rounds)
		set_news(poison, entry);
	return entry;
}

void poison_unserved(struct poison *poison, const struct fingerprint *print)
{
	struct poison_entry *entry = find(poison, print);

	if (entry && entry->ncrashes && !entry->told)
		set_news(poison, entry);
}

/* Return: another caller has sent the same, and targets broke under it. */
static bool others_suspect(const struct poison *poison,
			   const struct fingerprint *print)
{
	const struct poison_entry *at = first_of(poison, print);

	for (; at; at = at->next)
		if (at->print.caller != print->caller && at->ncrashes)
			return true;
	return false;
}

static void clear(struct poison_entry *entry)
{
	entry->rounds = 0;
	entry->ncrashes = 0;
	entry->leased_until = 0;
	entry->harmless = true;
}

/* Return: the entry if it was not known to be harmless, else NULL. */
static struct poison_entry *set_harmless(struct poison *poison,
					 const struct fingerprint *print,
					 int64_t now)
{
	struct poison_entry *entry = find(poison, print);

	note_served(poison, print, now);
	if (!entry && !others_suspect(poison, print))
		return NULL;
	entry = get(poison, print, now);
	if (entry->harmless)
		return NULL;
	clear(entry);
	return entry;
}

bool poison_served(struct poison *poison, const struct fingerprint *print,
		   int64_t now)
{
	bool was_suspect = poison_verdict(poison, print) != POISON_NONE;
	struct poison_entry *entry = set_harmless(poison, print, now);

	if (entry && entry->told)
		set_news(poison, entry);
	return was_suspect;
}

bool poison_lease(struct poison *poison, const struct fingerprint *print,
		  int64_t now)
{
	const struct poison_entry *at = first_of(poison, print);

	for (; at; at = at->next)
		if (at->leased_until > now)
			return false;
	get(poison, print, now)->leased_until = now + LEASE_US;
	return true;
}

/*
 * A target that is still published long after its connection broke did not
 * end: the connection broke for another reason.
 */
static bool is_refuted(const struct poison *poison,
		       const struct poison_crash *crash, int64_t now)
{
	return now - crash->at > SETTLE_US &&
	       poison->targets.lives(poison->targets.ctx, crash);
}

/* Return: the entry if @from brought something new, else NULL. */
static struct poison_entry *merge_crashes(struct poison *poison,
					  const struct poison_entry *from,
					  bool store_fresh, int64_t now)
{
	struct poison_entry *entry = find(poison, &from->print);
	struct poison_entry before = { 0 };

	if (entry)
		before = *entry;
	if (was_served(poison, &from->print, now))
		return NULL;
	for (size_t i = 0; i < from->ncrashes; i++) {
		if (store_fresh && is_refuted(poison, &from->crashes[i], now))
			continue;
		entry = get(poison, &from->print, now);
		entry->harmless = false;
		add_crash(entry, &from->crashes[i]);
	}
	if (!entry || !entry->ncrashes)
		return NULL;
	if (from->rounds > entry->rounds)
		entry->rounds = from->rounds;
	return has_grown(entry, &before) ? entry : NULL;
}

void poison_take(struct poison *poison, const struct poison_entry *from,
		 bool relay, bool store_fresh, int64_t now)
{
	struct poison_entry *entry =
		from->harmless ? set_harmless(poison, &from->print, now)
			       : merge_crashes(poison, from, store_fresh, now);

	if (!entry)
		return;
	entry->told = true;
	if (relay)
		set_news(poison, entry);
}

static void settle_crashes(struct poison *poison, struct poison_entry *entry,
			   int64_t now)
{
	size_t had = entry->ncrashes;
	size_t kept = 0;

	for (size_t i = 0; i < entry->ncrashes; i++) {
		struct poison_crash crash = entry->crashes[i];

		if (!crash.settled && is_refuted(poison, &crash, now))
			continue;
		if (now - crash.at > SETTLE_US)
			crash.settled = true;
		entry->crashes[kept++] = crash;
	}
	entry->ncrashes = kept;
	if (kept < had && entry->rounds > (int)kept)
		entry->rounds = (int)kept;
}

static bool is_old(const struct poison_entry *entry, bool blocked, int64_t now)
{
	int64_t age = now - entry->asked_at;

	if (entry->harmless || !entry->ncrashes)
		return age > HARMLESS_KEPT_US;
	return !blocked && age > SUSPECT_KEPT_US;
}

/* Return: one to be dropped, or NULL. */
static struct poison_entry *find_old(const struct poison *poison, int64_t now)
{
	apr_hash_index_t *it;

	for (it = apr_hash_first(NULL, poison->entries); it;
	     it = apr_hash_next(it)) {
		struct poison_entry *first = hash_value(it);
		bool blocked = sum_up(first).blocked;

		for (struct poison_entry *at = first; at; at = at->next)
			if (is_old(at, blocked, now))
				return at;
	}
	return NULL;
}

void poison_settle(struct poison *poison, bool store_fresh, int64_t now)
{
	struct poison_entry *old;
	apr_hash_index_t *it;

	for (it = store_fresh ? apr_hash_first(NULL, poison->entries) : NULL;
	     it; it = apr_hash_next(it))
		for (struct poison_entry *at = hash_value(it); at;
		     at = at->next)
			settle_crashes(poison, at, now);
	while ((old = find_old(poison, now)))
		drop(poison, old);
}

bool poison_is_shared(const struct poison_entry *entry, int64_t now)
{
	return entry->ncrashes >= SUSPECT_CRASHES &&
	       now - entry->crashes[0].at > SHARED_US;
}

static uint64_t entry_digest(const struct poison_entry *entry)
{
	uint64_t words[] = { entry->print.content[0], entry->print.content[1],
			     entry->print.caller, (uint64_t)entry->rounds };

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
		struct chain chain = sum_up(hash_value(it));

		counts.blocked += chain.blocked;
		counts.suspect += !chain.blocked && chain.callers;
	}
	return counts;
}
