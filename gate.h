#pragma once

#include "member.h"

/**
 * DOC: limits and queues of targets
 *
 * The gate of a target is the node that owns it, the only one that sends it
 * requests. It limits the requests in progress to the target's slots, treats a
 * new target as cold, raises the limit only on timely replies, and queues a
 * request no longer than its deadline allows. Other requests are refused
 * immediately, with a reason and whether the target may have received the
 * request.
 */

enum job_state {
	JOB_QUEUED,
	JOB_GRANTED, /* an entry holds a slot, its body has not arrived */
	JOB_RUNNING,
	JOB_TOMBSTONE, /* a finished entry, kept to detect repeats */
};

/**
 * struct job - one request of another node, from arrival to reply
 * @number: number of the fetch, echoed by the target
 * @origin, @incarnation, @id, @attempt: sender and its request; the key of the
 *                                       job
 * @addr: address of the sender
 * @is_entry: reserved and sent in two steps, runs at most once
 * @deadline: end of the current state, microseconds; a queued job does not
 *            start later
 * @boot: boot id of the target process that it was sent to, 0 if unknown
 * @cancelled: no longer needed; keeps its slot until the target is done
 * @replied: the reply was sent, or none is needed
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

/** struct handover - state of a target from its previous gate, received @at */
struct handover {
	int64_t at;
	int limit;
	int64_t baseline_us;
	int64_t step_interval_us;
	uint64_t boot;
};

/**
 * struct target - state of a target at its gate
 * @owned: this node is its gate
 * @owner: its gate in the last view
 * @handover_due: send a handover to the next gate once no job is in progress
 * @start_after: start no job before this time, or before a handover arrives
 * @handover: the last handover received
 * @limit: requests that may be in progress, 1 to @slots
 * @busy: slots taken by running and granted jobs
 * @foreign_load: requests of other senders, from the load the target reported
 * @boot: boot id of its last reply
 * @replied_at: time of its last reply
 * @unverified: was idle so long that it may have restarted unnoticed
 * @ramp_streak: timely replies counted towards the next raise of @limit
 * @limit_changed_at: time of the last raise or cut of @limit
 * @step_interval_us: minimum time between raises; doubles with each relapse
 * @ramp_service_us: sum of the service times counted in @ramp_streak
 * @service_us: smoothed service time
 * @baseline_us: smoothed service time while warm, 0 if unknown
 * @slow_streak: consecutive replies far above the baseline
 * @shed_streak: consecutive replies that shed load
 * @failure_streak: consecutive broken connections and timeouts
 * @down: unreachable, gets only probes
 * @draining: reported that it is leaving, gets only probes
 * @jobs: jobs of this target, including tombstones
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
	bool handover_due;
	int64_t start_after;
	struct handover handover;
	int limit;
	int busy;
	int foreign_load;
	uint64_t boot;
	int64_t replied_at;
	bool unverified;
	int ramp_streak;
	int64_t limit_changed_at;
	int64_t step_interval_us;
	int64_t ramp_service_us;
	int64_t service_us;
	int64_t baseline_us;
	int slow_streak;
	int shed_streak;
	int failure_streak;
	bool down;
	bool draining;
	bool probing;
	int64_t probe_interval_us;
	struct job *head;
	struct job *tail;
	size_t queued;
	size_t jobs;
	uint64_t requests;
	uint64_t refused;
	uint64_t cold_starts;
};

struct gate {
	apr_hash_t *targets; /* key -> struct target */
	apr_hash_t *jobs_by_number; /* number -> struct job */
	apr_hash_t *jobs_by_key; /* origin, incarnation, id, attempt -> job */
	size_t open_jobs;
	apr_pool_t *pool;
};

void gate_init(struct node *node);
void gate_destroy(struct node *node);
void gate_on_view_changed(struct node *node);
void gate_on_leaf(struct node *node, struct str from, uint64_t incarnation,
		  const struct msg *msg);
void gate_on_reserve(struct node *node, struct str from, uint64_t incarnation,
		     const struct msg *msg);
void gate_on_go(struct node *node, struct str from, uint64_t incarnation,
		const struct msg *msg);
/** gate_on_cancel() - cancel a leaf request or release a reservation. */
void gate_on_cancel(struct node *node, struct str from, uint64_t incarnation,
		    const struct msg *msg);
/** gate_on_handover() - handle HANDOVER from the previous gate of a target. */
void gate_on_handover(struct node *node, struct str from, uint64_t incarnation,
		      const struct msg *msg);
void gate_on_handover_timer(struct node *node, uint64_t key);
void gate_on_fetch_done(struct node *node, uint64_t number,
			const struct parsed_reply *parsed_reply);
void gate_on_job_timer(struct node *node, uint64_t number);
/** gate_on_origin_lost() - cancel the jobs of a lost node. */
void gate_on_origin_lost(struct node *node, uint64_t origin,
			 uint64_t incarnation);
/** gate_on_pause() - wait for handovers of nodes that may have been gates. */
void gate_on_pause(struct node *node);
/** gate_resume() - start queued jobs after the view is confirmed again. */
void gate_resume(struct node *node);
/**
 * gate_target_in_service() - look up a target
 *
 * Return: the target if the current documents have it in service, else NULL.
 */
const struct target *gate_target_in_service(const struct node *node,
					    uint64_t key);
/** gate_has_target() - whether the target is listed or has jobs here. */
bool gate_has_target(const struct node *node, uint64_t key);
/** gate_refuse_queued() - refuse all queued jobs of @target. */
void gate_refuse_queued(struct node *node, struct target *target, int status);
size_t gate_open_count(const struct node *node);

/* Shared with gate_owner.c. */

void gate_start_queued(struct node *node, struct target *target);
void gate_send_handover(struct node *node, struct target *target);
void gate_target_free(struct target *target);
