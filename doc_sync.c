#include "doc_sync.h"

#include <stdio.h>
#include <stdlib.h>

#include "replica.h"
#include "xmalloc.h"

enum {
	WATCHERS = 2,
	WATCH_WAIT_US = 1000000,
	EXTRA_READ_AGE_US = 2000000,
	EXTRA_READERS = 2,
	POLL_MIN_US = 5000000,
	POLL_PER_VM_US = 20000,
	RETRY_BACKOFF_US = 200000,
	RETRY_MAX_SHIFT = 4,
	PEER_FETCH_TIMEOUT_US = 500000,
	JOIN_MIN_US = 600000,
	JOIN_MAX_US = 3000000,
	JOIN_TIMER_ID = DOC_KINDS,
};

static bool is_newer(uint64_t version, uint64_t hash,
		     const struct synced_doc *doc)
{
	if (version != doc->version)
		return version > doc->version;
	return hash > doc->hash;
}

bool doc_sync_behind(const struct node *node)
{
	const struct doc_sync *doc_sync = node->doc_sync;

	for (int i = 0; i < DOC_KINDS; i++)
		if (doc_sync->docs[i].offered_version >
		    doc_sync->docs[i].version)
			return true;
	return false;
}

static bool is_watcher(const struct node *node, enum doc_kind kind)
{
	return member_rank(node, kind + 1) < WATCHERS;
}

static void read_doc(struct node *node, enum doc_kind kind, int64_t wait)
{
	struct synced_doc *doc = &node->doc_sync->docs[kind];

	if (doc->reading)
		return;
	doc->reading = true;
	doc->read_started_at = node->now;

	struct effect *fx = effects_add(node->fx, FX_READ_DOC);

	fx->doc = kind;
	fx->version = doc->version;
	fx->hash = doc->hash;
	fx->wait_us = wait;

	node->counters[CNT_PLATFORM_READS]++;
}

/* Returns 0.5 to 1.5 times @us, so that nodes do not poll in lockstep. */
static int64_t jitter(struct node *node, int64_t us)
{
	return us / 2 + (int64_t)rng_below(&node->rng, (uint64_t)us + 1);
}

static int64_t poll_period(const struct node *node)
{
	int64_t period = (int64_t)member_usable_count(node) * POLL_PER_VM_US;

	return period > POLL_MIN_US ? period : POLL_MIN_US;
}

static void schedule_read(struct node *node, enum doc_kind kind)
{
	struct synced_doc *doc = &node->doc_sync->docs[kind];
	int shift = doc->failures < RETRY_MAX_SHIFT ? doc->failures
						    : RETRY_MAX_SHIFT;

	if (doc->failures)
		timer_add(&node->timers,
			  node->now + jitter(node, (int64_t)RETRY_BACKOFF_US
							   << shift),
			  TIMER_DOC, kind);
	else if (!node->doc_sync->joined)
		timer_add(&node->timers, node->now + RETRY_BACKOFF_US,
			  TIMER_DOC, kind);
	else if (is_watcher(node, kind))
		read_doc(node, kind, WATCH_WAIT_US);
	else
		timer_add(&node->timers,
			  node->now + jitter(node, poll_period(node)),
			  TIMER_DOC, kind);
}

void doc_sync_read_now(struct node *node)
{
	read_doc(node, DOC_LISTS, 0);
	read_doc(node, DOC_FLEET, 0);
}

/*
 * The platform may fail to answer just the watchers; a change would then wait
 * for the next poll of the other nodes. Heartbeats carry the age of the newest
 * reading. Once it is old, each node reads with a probability that makes a few
 * reads per heartbeat period over the fleet, whatever its size.
 */
void doc_sync_read_if_stale(struct node *node, int64_t platform_age)
{
	if (!node->doc_sync->joined || platform_age < EXTRA_READ_AGE_US ||
	    rng_below(&node->rng, member_usable_count(node)) >= EXTRA_READERS)
		return;
	doc_sync_read_now(node);
}

void doc_sync_init(struct node *node)
{
	node->doc_sync = xcalloc(1, sizeof(*node->doc_sync));
	node->doc_sync->join_not_before = node->now + JOIN_MIN_US;
	node->doc_sync->join_deadline = INT64_MAX;
	doc_sync_read_now(node);
	timer_add(&node->timers, node->doc_sync->join_not_before, TIMER_DOC,
		  JOIN_TIMER_ID);
}

void doc_sync_destroy(struct node *node)
{
	for (int i = 0; i < DOC_KINDS; i++) {
		buf_free(&node->doc_sync->docs[i].body);
		buf_free(&node->doc_sync->candidate[i]);
	}
	free(node->doc_sync);
}

static void audit_doc(struct node *node, enum doc_kind kind, uint64_t from,
		      uint64_t to, const char *why)
{
	char old[24];
	char new[24];

	snprintf(old, sizeof(old), "%llu", (unsigned long long)from);
	snprintf(new, sizeof(new), "%llu", (unsigned long long)to);
	node_audit(node, doc_name(kind), str_of(old), str_of(new), why, to);
}

static void store_doc(struct node *node, enum doc_kind kind, uint64_t version,
		      uint64_t hash, struct str body, const char *why)
{
	struct synced_doc *doc = &node->doc_sync->docs[kind];

	audit_doc(node, kind, doc->version, version, why);
	node->counters[CNT_DOCS_ACCEPTED]++;
	doc->version = version;
	doc->hash = hash;
	doc->body.len = 0;
	buf_str_add(&doc->body, body);
}

/*
 * Ordering by version and hash keeps a node from reverting to an older
 * document, which a stale platform or a peer that was paused can offer at any
 * time; a limit that was lifted would come back. Two bodies with the same
 * version are an operator's mistake; the higher hash wins on every node, so
 * that they agree.
 */
static bool should_accept(struct node *node, enum doc_kind kind,
			  uint64_t version, uint64_t hash)
{
	struct synced_doc *doc = &node->doc_sync->docs[kind];

	if (hash == doc->hash && version == doc->version)
		return false;
	if (node->opt.off.no_version_order)
		return true;
	if (is_newer(version, hash, doc)) {
		if (version == doc->version)
			audit_doc(node, kind, doc->version, version,
				  "two bodies with one version");
		return true;
	}
	node->counters[CNT_DOCS_STALE]++;
	if (doc->stale_hash != hash)
		audit_doc(node, kind, doc->version, doc->version,
			  "an older document was read and ignored");
	doc->stale_hash = hash;
	return false;
}

static void refuse_doc(struct node *node, enum doc_kind kind, struct str body,
		       const struct error *err)
{
	struct synced_doc *doc = &node->doc_sync->docs[kind];
	uint64_t hash = str_hash(body);

	if (doc->refused_hash == hash)
		return;
	doc->refused_hash = hash;
	doc->offered_version = doc->version;
	node->counters[CNT_DOCS_REFUSED]++;
	audit_doc(node, kind, doc->version, doc->version, err->text);
}

static bool accept_lists(struct node *node, struct str body, const char *why)
{
	struct error err = { 0 };
	struct lists *lists = lists_parse(body, &err);

	if (!lists) {
		refuse_doc(node, DOC_LISTS, body, &err);
		return false;
	}
	if (!should_accept(node, DOC_LISTS, lists->version, lists->hash)) {
		lists_free(lists);
		return false;
	}
	store_doc(node, DOC_LISTS, lists->version, lists->hash, body, why);
	lists_free(node->lists);
	node->lists = lists;
	return true;
}

static bool accept_fleet(struct node *node, struct str body, const char *why)
{
	struct error err = { 0 };
	struct fleet *fleet = fleet_parse(body, &err);

	if (!fleet) {
		refuse_doc(node, DOC_FLEET, body, &err);
		return false;
	}
	if (!should_accept(node, DOC_FLEET, fleet->version, fleet->hash)) {
		fleet_unref(fleet);
		return false;
	}
	store_doc(node, DOC_FLEET, fleet->version, fleet->hash, body, why);
	fleet_unref(node->fleet);
	node->fleet = fleet;
	member_on_fleet_changed(node);
	return true;
}

static void accept_doc(struct node *node, enum doc_kind kind, struct str body,
		       const char *why)
{
	struct synced_doc *doc = &node->doc_sync->docs[kind];

	if (doc->refused_hash && str_hash(body) == doc->refused_hash)
		return;
	bool accepted = kind == DOC_LISTS ? accept_lists(node, body, why)
					  : accept_fleet(node, body, why);

	if (accepted)
		node_view_changed(node);
	if (accepted && kind == DOC_FLEET)
		replica_remove_unlisted(node);
	member_on_docs_updated(node);
}

/* Probes the VMs of a fleet that is not yet in force for newer documents. */
static void probe_candidate_vms(struct node *node, struct str body)
{
	struct error err = { 0 };
	struct fleet *fleet = fleet_parse(body, &err);

	if (!fleet)
		return;
	for (size_t i = 0; i < fleet->nvms; i++)
		if (fleet->vms[i].key != node->key)
			member_probe(node, fleet->vms[i].addr);
	fleet_unref(fleet);
}

static void set_candidate(struct node *node, enum doc_kind kind,
			  struct str body)
{
	struct doc_sync *doc_sync = node->doc_sync;
	bool first = !doc_sync->candidate[kind].len;

	doc_sync->candidate[kind].len = 0;
	buf_str_add(&doc_sync->candidate[kind], body);
	if (kind == DOC_FLEET && first) {
		probe_candidate_vms(node, body);
		doc_sync->join_not_before = node->now + JOIN_MIN_US;
		doc_sync->join_deadline = node->now + JOIN_MAX_US;
		timer_add(&node->timers, doc_sync->join_not_before, TIMER_DOC,
			  JOIN_TIMER_ID);
	}
}

void doc_sync_on_offer(struct node *node, const struct vm *vm,
		       enum doc_kind kind, uint64_t version, uint64_t hash)
{
	struct synced_doc *doc = &node->doc_sync->docs[kind];

	if (!version || !is_newer(version, hash, doc) ||
	    hash == doc->refused_hash)
		return;
	if (version > doc->offered_version)
		doc->offered_version = version;
	if (node->now < doc->peer_fetch_until)
		return;
	doc->peer_fetch_until = node->now + PEER_FETCH_TIMEOUT_US;

	struct msg msg = { .kind = MSG_DOC_GET, .doc = kind };

	node_send(node, vm->addr, vm->incarnation, &msg);
}

void doc_sync_on_doc_get(struct node *node, struct str from,
			 uint64_t incarnation, const struct msg *msg)
{
	if (msg->doc >= DOC_KINDS)
		return;

	struct synced_doc *doc = &node->doc_sync->docs[msg->doc];
	struct msg reply = {
		.kind = MSG_DOC,
		.doc = msg->doc,
		.version = doc->version,
		.hash = doc->hash,
		.body = buf_str(&doc->body),
	};

	if (doc->version)
		node_send(node, from, incarnation, &reply);
}

void doc_sync_on_peer_doc(struct node *node, const struct msg *msg)
{
	if (msg->doc >= DOC_KINDS)
		return;
	node->doc_sync->docs[msg->doc].peer_fetch_until = 0;
	accept_doc(node, (enum doc_kind)msg->doc, msg->body, "from a peer");
}

/*
 * The reply to a read that began before a pause has been in the socket since,
 * and may predate a change that was published meanwhile. Counted as fresh, it
 * would confirm the old view, so the document is read again.
 */
static void on_platform_reply(struct node *node, enum doc_kind kind,
			      bool current)
{
	if (node->doc_sync->docs[kind].read_started_at <
	    node->membership->paused_at) {
		read_doc(node, kind, 0);
		return;
	}
	if (current && kind == DOC_FLEET)
		member_on_platform_read(node);
	schedule_read(node, kind);
}

void doc_sync_on_platform_doc(struct node *node, enum doc_kind kind,
			      struct str body)
{
	struct synced_doc *doc = &node->doc_sync->docs[kind];
	uint64_t stale_before = node->counters[CNT_DOCS_STALE];

	doc->reading = false;
	doc->failures = 0;
	if (node->doc_sync->joined)
		accept_doc(node, kind, body, "from the platform");
	else
		set_candidate(node, kind, body);
	/* An older document does not show that the view is current. */
	doc->failures = stale_before != node->counters[CNT_DOCS_STALE];
	on_platform_reply(node, kind, !doc->failures);
}

void doc_sync_on_unchanged(struct node *node, enum doc_kind kind)
{
	node->doc_sync->docs[kind].reading = false;
	node->doc_sync->docs[kind].failures = 0;
	on_platform_reply(node, kind, true);
}

void doc_sync_on_failure(struct node *node, enum doc_kind kind)
{
	node->doc_sync->docs[kind].reading = false;
	node->doc_sync->docs[kind].failures++;
	node->counters[CNT_PLATFORM_FAILED]++;
	schedule_read(node, kind);
}

/*
 * A node that starts while the platform is stale would put an old document in
 * force and act on it. The first reading is therefore only a candidate until
 * the VMs that it names have had time to offer a newer one.
 */
static void try_join(struct node *node)
{
	struct doc_sync *doc_sync = node->doc_sync;

	if (doc_sync->joined)
		return;
	if (node->now < doc_sync->join_not_before ||
	    (doc_sync_behind(node) && node->now < doc_sync->join_deadline)) {
		timer_add(&node->timers, node->now + JOIN_MIN_US / 4, TIMER_DOC,
			  JOIN_TIMER_ID);
		return;
	}
	for (int i = 0; i < DOC_KINDS; i++)
		if (doc_sync->candidate[i].len)
			accept_doc(node, (enum doc_kind)i,
				   buf_str(&doc_sync->candidate[i]),
				   "first reading, after asking the peers");
	if (!node->lists || !node->fleet) {
		for (int i = 0; i < DOC_KINDS; i++)
			doc_sync->candidate[i].len = 0;
		doc_sync_read_now(node);
		timer_add(&node->timers, node->now + RETRY_BACKOFF_US,
			  TIMER_DOC, JOIN_TIMER_ID);
		return;
	}
	doc_sync->joined = true;
	if (member_state(node) == VM_STARTING)
		member_set_state(node, VM_LIVE);
	doc_sync_read_now(node);
}

void doc_sync_on_timer(struct node *node, uint64_t kind)
{
	if (kind == JOIN_TIMER_ID)
		try_join(node);
	else
		read_doc(node, (enum doc_kind)kind,
			 is_watcher(node, (enum doc_kind)kind) ? WATCH_WAIT_US
							       : 0);
}
