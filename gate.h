#pragma once

#include "member.h"

/**
 * DOC: gate
 *
 * The node that owns a target is the one place that sends it work. It meters
 * the target's slots, starts it as cold, raises the limit on timely answers
 * only, queues no longer than a request can wait, and refuses the rest at
 * once with a reason and whether the target may have seen the request.
 */

enum job_state {
	JOB_QUEUED,
	JOB_GRANTED, /* an entry holds a slot, its body has not come yet */
	JOB_RUNNING,
	JOB_DONE, /* an entry's tombstone */
};

/**
 * struct job - one request of a front, from its arrival to its reply
 * @number: number of the fetch, echoed by the target
 * @origin, @incarnation, @id, @attempt: who asked, as a key for replies
 * @is_entry: runs in two steps and never twice
 * @deadline: no start after this time, microseconds
 * @boot: id of the process that it was sent to, 0 when it is not known
 * @cancelled: the front gave up; the slot stays taken until the target ends
 * @replied: the front has its reply
 */
struct job {
	struct job *next;
	uint64_t number;
	uint64_t origin;
	uint64_t incarnation;
	uint64_t id;
	uint32_t attempt;
	struct str addr;
	bool is_entry;
	enum job_state state;
	struct target *target;
	uint32_t shard;
	uint64_t version;
	struct str index;
	struct str terms;
	int64_t queued_at;
	int64_t started_at;
	int64_t deadline;
	uint64_t boot;
	bool cancelled;
	bool replied;
};

/** struct handover - what the gate before knew of a target, @at a time */
struct handover {
	int64_t at;
	int limit;
	int64_t baseline_us;
	int64_t hold_us;
	uint64_t boot;
};

/**
 * struct target - a target as its gate sees it
 * @owned: this node is its gate; @owner: its gate at the last review
 * @owes: a handover to the next gate, once no job is in progress
 * @wait_until: no start before, unless the gate before has handed over
 * @handed: the last handover
 * @limit: requests that may be in progress, 1 to slots
 * @busy: slots taken, by running and granted jobs
 * @foreign: requests of others that the target reported
 * @boot: boot id of its last reply
 * @replied_at: time of its last reply
 * @unverified: idle for so long that it may have restarted unseen
 * @streak: timely answers since the last step of the ramp
 * @step_at: time of the last step or fall
 * @hold_us: shortest time between steps; grows with each relapse
 * @ramp_us: sum of their service times
 * @service_us: smoothed service time
 * @baseline_us: the same while warm, 0 when not known
 * @slow: answers in a row far over the baseline
 * @sheds: shedding replies in a row
 * @jobs: jobs that point here, tombstones too
 * @down: unreachable; @draining: says that it leaves. Probed, not used.
 */
struct target {
	uint64_t key;
	struct str name;
	struct str addr;
	struct str domain;
	int slots;
	bool listed;
	bool listed_leaving;
	bool domain_out;
	bool owned;
	uint64_t owner;
	bool owes;
	int64_t wait_until;
	struct handover handed;
	int limit;
	int busy;
	int foreign;
	uint64_t boot;
	int64_t replied_at;
	bool unverified;
	int streak;
	int64_t step_at;
	int64_t hold_us;
	int64_t ramp_us;
	int64_t service_us;
	int64_t baseline_us;
	int slow;
	int sheds;
	int broken;
	bool down;
	bool draining;
	bool probing;
	int64_t probe_us;
	struct job *head;
	struct job *tail;
	size_t queued;
	size_t jobs;
	uint64_t requests;
	uint64_t refused;
	uint64_t cold;
};

struct gate {
	apr_hash_t *targets; /* key -> struct target */
	apr_hash_t *numbers; /* number -> struct job */
	apr_hash_t *keys; /* origin, incarnation, id, attempt -> job */
	size_t open;
	apr_pool_t *pool;
};

void gate_init(struct node *node);
void gate_destroy(struct node *node);
void gate_view_changed(struct node *node);
void gate_leaf(struct node *node, struct str from, uint64_t incarnation,
	       const struct msg *msg);
void gate_reserve(struct node *node, struct str from, uint64_t incarnation,
		  const struct msg *msg);
void gate_go(struct node *node, struct str from, uint64_t incarnation,
	     const struct msg *msg);
/** gate_cancel() - CANCEL of a leaf request or RELEASE of a reservation. */
void gate_cancel(struct node *node, struct str from, uint64_t incarnation,
		 const struct msg *msg);
/** gate_handover() - the gate before this one is done with a target. */
void gate_handover(struct node *node, struct str from, uint64_t incarnation,
		   const struct msg *msg);
void gate_handover_timer(struct node *node, uint64_t key);
void gate_fetched(struct node *node, uint64_t number,
		  const struct fetch_response *fetch_response);
void gate_job_timer(struct node *node, uint64_t number);
/** gate_origin_lost() - a front is gone: drop what it waits for. */
void gate_origin_lost(struct node *node, uint64_t origin, uint64_t incarnation);
/** gate_resume() - the view is confirmed again: start what waits. */
void gate_resume(struct node *node);
/** gate_listed() - target in service by the current documents, or NULL. */
const struct target *gate_listed(const struct node *node, uint64_t key);
/** gate_knows() - the target is listed or has jobs here. */
bool gate_knows(const struct node *node, uint64_t key);
/** gate_refuse_all() - refuse all that is queued for @target. */
void gate_refuse_all(struct node *node, struct target *target, int status);
size_t gate_open(const struct node *node);

/* Shared with gate_owner.c. */

void gate_pump(struct node *node, struct target *target);
void gate_hand_over(struct node *node, struct target *target);
void gate_target_free(struct target *target);
