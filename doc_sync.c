#include "doc_sync.h"

#include <stdio.h>
#include <stdlib.h>

#include "replica.h"
#include "xmalloc.h"

enum {
	WATCHERS = 2,
	WATCH_US = 1000000,
	LOOK_AGE_US = 2000000,
	LOOKERS = 2,
	POLL_MIN_US = 5000000,
	POLL_PER_VM_US = 20000,
	RETRY_US = 200000,
	RETRY_MAX_SHIFT = 4,
	ASK_PEER_US = 500000,
	JOIN_US = 600000,
	JOIN_MAX_US = 3000000,
	TIMER_JOIN = DOC_KINDS,
};

static bool is_newer(uint64_t version, uint64_t hash,
		     const struct conf_doc *doc)
{
	if (version != doc->version)
		return version > doc->version;
	return hash > doc->hash;
}

bool conf_behind(const struct node *node)
{
	const struct conf *conf = node->conf;

	for (int i = 0; i < DOC_KINDS; i++)
		if (conf->docs[i].behind > conf->docs[i].version)
			return true;
	return false;
}

static bool is_watcher(const struct node *node, enum doc_kind kind)
{
	return member_rank(node, kind + 1) < WATCHERS;
}

static void read_doc(struct node *node, enum doc_kind kind, int64_t wait)
{
	struct conf_doc *doc = &node->conf->docs[kind];

	if (doc->reading)
		return;
	doc->reading = true;
	doc->read_at = node->now;

	struct effect *fx = effects_add(node->fx, FX_READ_DOC);

	fx->doc = kind;
	fx->version = doc->version;
	fx->hash = doc->hash;
	fx->wait_us = wait;

	node->counters[CNT_PLATFORM_READS]++;
}

/* Half to one and a half of @us, so that a fleet does not call in step. */
static int64_t jitter(struct node *node, int64_t us)
{
	return us / 2 + (int64_t)rng_below(&node->rng, (uint64_t)us + 1);
}

static int64_t poll_period(const struct node *node)
{
	int64_t period = (int64_t)member_count(node) * POLL_PER_VM_US;

	return period > POLL_MIN_US ? period : POLL_MIN_US;
}

static void read_again(struct node *node, enum doc_kind kind)
{
	struct conf_doc *doc = &node->conf->docs[kind];
	int shift = doc->failures < RETRY_MAX_SHIFT ? doc->failures
						    : RETRY_MAX_SHIFT;

	if (doc->failures)
		timer_add(&node->timers,
			  node->now + jitter(node, (int64_t)RETRY_US << shift),
			  TIMER_CONF, kind);
	else if (!node->conf->joined)
		timer_add(&node->timers, node->now + RETRY_US, TIMER_CONF,
			  kind);
	else if (is_watcher(node, kind))
		read_doc(node, kind, WATCH_US);
	else
		timer_add(&node->timers,
			  node->now + jitter(node, poll_period(node)),
			  TIMER_CONF, kind);
}

void conf_read_now(struct node *node)
{
	read_doc(node, DOC_LISTS, 0);
	read_doc(node, DOC_FLEET, 0);
}

/*
 * The watchers can be the very nodes that the platform does not answer. The
 * symptom would be a change that waits for the next poll of the rest. By the
 * heartbeats everyone knows the age of the newest reading; once it is old, a
 * few nodes a second look, whatever the size of the fleet.
 */
void conf_look(struct node *node, int64_t fresh_age)
{
	if (!node->conf->joined || fresh_age < LOOK_AGE_US ||
	    rng_below(&node->rng, member_count(node)) >= LOOKERS)
		return;
	conf_read_now(node);
}

void conf_init(struct node *node)
{
	node->conf = xcalloc(1, sizeof(*node->conf));
	node->conf->join_at = node->now + JOIN_US;
	node->conf->join_by = INT64_MAX;
	conf_read_now(node);
	timer_add(&node->timers, node->conf->join_at, TIMER_CONF, TIMER_JOIN);
}

void conf_destroy(struct node *node)
{
	for (int i = 0; i < DOC_KINDS; i++) {
		buf_free(&node->conf->docs[i].body);
		buf_free(&node->conf->candidate[i]);
	}
	free(node->conf);
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

static void keep(struct node *node, enum doc_kind kind, uint64_t version,
		 uint64_t hash, struct str body, const char *why)
{
	struct conf_doc *doc = &node->conf->docs[kind];

	audit_doc(node, kind, doc->version, version, why);
	node->counters[CNT_DOCS_ACCEPTED]++;
	doc->version = version;
	doc->hash = hash;
	doc->body.len = 0;
	buf_str_add(&doc->body, body);
}

/*
 * The order by version and hash is what keeps a node from going back: a stale
 * reader of the platform, or a peer that woke up, can offer an older document
 * at any time. The symptom would be a limit that was lifted coming back. Two
 * bodies with one version are an operator's slip; the higher hash wins
 * everywhere, so that the nodes at least agree.
 */
static bool may_take(struct node *node, enum doc_kind kind, uint64_t version,
		     uint64_t hash)
{
	struct conf_doc *doc = &node->conf->docs[kind];

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
	if (doc->stale != hash)
		audit_doc(node, kind, doc->version, doc->version,
			  "an older document was read and ignored");
	doc->stale = hash;
	return false;
}

static void refuse(struct node *node, enum doc_kind kind, struct str body,
		   const struct error *err)
{
	struct conf_doc *doc = &node->conf->docs[kind];
	uint64_t hash = str_hash(body);

	if (doc->refused == hash)
		return;
	doc->refused = hash;
	doc->behind = doc->version;
	node->counters[CNT_DOCS_REFUSED]++;
	audit_doc(node, kind, doc->version, doc->version, err->text);
}

static bool take_lists(struct node *node, struct str body, const char *why)
{
	struct error err = { 0 };
	struct lists *lists = lists_parse(body, &err);

	if (!lists) {
		refuse(node, DOC_LISTS, body, &err);
		return false;
	}
	if (!may_take(node, DOC_LISTS, lists->version, lists->hash)) {
		lists_free(lists);
		return false;
	}
	keep(node, DOC_LISTS, lists->version, lists->hash, body, why);
	lists_free(node->lists);
	node->lists = lists;
	return true;
}

static bool take_fleet(struct node *node, struct str body, const char *why)
{
	struct error err = { 0 };
	struct fleet *fleet = fleet_parse(body, &err);

	if (!fleet) {
		refuse(node, DOC_FLEET, body, &err);
		return false;
	}
	if (!may_take(node, DOC_FLEET, fleet->version, fleet->hash)) {
		fleet_unref(fleet);
		return false;
	}
	keep(node, DOC_FLEET, fleet->version, fleet->hash, body, why);
	fleet_unref(node->fleet);
	node->fleet = fleet;
	member_fleet_changed(node);
	return true;
}

static void take(struct node *node, enum doc_kind kind, struct str body,
		 const char *why)
{
	struct conf_doc *doc = &node->conf->docs[kind];

	if (doc->refused && str_hash(body) == doc->refused)
		return;
	bool taken = kind == DOC_LISTS ? take_lists(node, body, why)
				       : take_fleet(node, body, why);

	if (taken)
		node_view_changed(node);
	if (taken && kind == DOC_FLEET)
		replica_forget(node);
	member_caught_up(node);
}

/* The VMs named in a fleet that is not in force yet are asked for newer. */
static void probe_candidate(struct node *node, struct str body)
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
	struct conf *conf = node->conf;
	bool first = !conf->candidate[kind].len;

	conf->candidate[kind].len = 0;
	buf_str_add(&conf->candidate[kind], body);
	if (kind == DOC_FLEET && first) {
		probe_candidate(node, body);
		conf->join_at = node->now + JOIN_US;
		conf->join_by = node->now + JOIN_MAX_US;
		timer_add(&node->timers, conf->join_at, TIMER_CONF, TIMER_JOIN);
	}
}

void conf_offered(struct node *node, const struct vm *vm, enum doc_kind kind,
		  uint64_t version, uint64_t hash)
{
	struct conf_doc *doc = &node->conf->docs[kind];

	if (!version || !is_newer(version, hash, doc) || hash == doc->refused)
		return;
	if (version > doc->behind)
		doc->behind = version;
	if (node->now < doc->asked_until)
		return;
	doc->asked_until = node->now + ASK_PEER_US;

	struct msg msg = { .kind = MSG_DOC_GET, .doc = kind };

	node_send(node, vm->addr, vm->incarnation, &msg);
}

void conf_asked(struct node *node, struct str from, uint64_t incarnation,
		const struct msg *msg)
{
	if (msg->doc >= DOC_KINDS)
		return;

	struct conf_doc *doc = &node->conf->docs[msg->doc];
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

void conf_peer_doc(struct node *node, const struct msg *msg)
{
	if (msg->doc >= DOC_KINDS)
		return;
	node->conf->docs[msg->doc].asked_until = 0;
	take(node, (enum doc_kind)msg->doc, msg->body, "from a peer");
}

/*
 * The reply to a read that began before a pause lay in the socket since, and
 * may be older than a change that was published meanwhile. Taken for fresh, it
 * would confirm the old view. It counts for nothing and is read again.
 */
static void answered(struct node *node, enum doc_kind kind, bool current)
{
	if (node->conf->docs[kind].read_at < node->member->paused_at) {
		read_doc(node, kind, 0);
		return;
	}
	if (current && kind == DOC_FLEET)
		member_platform_read(node);
	read_again(node, kind);
}

void conf_platform_doc(struct node *node, enum doc_kind kind, struct str body)
{
	struct conf_doc *doc = &node->conf->docs[kind];
	uint64_t stale = node->counters[CNT_DOCS_STALE];

	doc->reading = false;
	doc->failures = 0;
	if (node->conf->joined)
		take(node, kind, body, "from the platform");
	else
		set_candidate(node, kind, body);
	/* A platform that serves an old document is no proof of freshness. */
	doc->failures = stale != node->counters[CNT_DOCS_STALE];
	answered(node, kind, !doc->failures);
}

void conf_platform_same(struct node *node, enum doc_kind kind)
{
	node->conf->docs[kind].reading = false;
	node->conf->docs[kind].failures = 0;
	answered(node, kind, true);
}

void conf_platform_failed(struct node *node, enum doc_kind kind)
{
	node->conf->docs[kind].reading = false;
	node->conf->docs[kind].failures++;
	node->counters[CNT_PLATFORM_FAILED]++;
	read_again(node, kind);
}

/*
 * A node that has just started beside a stale platform would put an old
 * document in force and act on it. So the first reading is only a candidate
 * until the VMs that it names had time to offer something newer.
 */
static void join(struct node *node)
{
	struct conf *conf = node->conf;

	if (conf->joined)
		return;
	if (node->now < conf->join_at ||
	    (conf_behind(node) && node->now < conf->join_by)) {
		timer_add(&node->timers, node->now + JOIN_US / 4, TIMER_CONF,
			  TIMER_JOIN);
		return;
	}
	for (int i = 0; i < DOC_KINDS; i++)
		if (conf->candidate[i].len)
			take(node, (enum doc_kind)i,
			     buf_str(&conf->candidate[i]),
			     "first reading, after asking the peers");
	if (!node->lists || !node->fleet) {
		for (int i = 0; i < DOC_KINDS; i++)
			conf->candidate[i].len = 0;
		conf_read_now(node);
		timer_add(&node->timers, node->now + RETRY_US, TIMER_CONF,
			  TIMER_JOIN);
		return;
	}
	conf->joined = true;
	if (member_state(node) == VM_STARTING)
		member_set_state(node, VM_LIVE);
	conf_read_now(node);
}

void conf_timer(struct node *node, uint64_t kind)
{
	if (kind == TIMER_JOIN)
		join(node);
	else
		read_doc(node, (enum doc_kind)kind,
			 is_watcher(node, (enum doc_kind)kind) ? WATCH_US : 0);
}
