#include "merge.h"

#include "batch.h"
#include "records.h"
#include "trial.h"

enum {
	/*
	 * A reply is late after this multiple of its target's expected latency.
	 * Few replies that are merely slow are then hedged.
	 */
	HEDGE_FACTOR = 2,
	/* Minimum hedge delay, above the noise of a round trip. */
	HEDGE_MIN_US = 12000,
	/* Interval of reviews while a part has no attempt in flight. */
	REVIEW_INTERVAL_US = 10000,
	/* On a refusal: targets in backoff return within about this time. */
	RETRY_AFTER_US = 300000,
	/* Return path to the caller, and time for a busy core to answer. */
	RESPONSE_MARGIN_US = 12000,
	/*
	 * Nodes with another version of the configuration refuse; at most this
	 * many nodes are tried.
	 */
	DELEGATIONS_MAX = 2,
	/* A message to a node costs as much as a request to a target. */
	BATCH_SHARDS_MIN = 2,
	/* A verdict takes two runs, and a run may end the only target left. */
	TRIAL_SHARDS_MIN = 2,
};

/* Maximum hedge delay: the hedge's own reply must still be in time. */
static const double HEDGE_GOAL_FRACTION = 0.3;
/*
 * Soft deadline. Goals are short where little is merged, so the time left for
 * the return path is a fraction of the goal.
 */
static const double SOFT_GOAL_FRACTION = 0.85;
/*
 * A node that was delegated shards hedges by itself, so it gets more time than
 * a target. After this fraction of the goal it is considered stuck, early
 * enough for this node to send to targets itself.
 */
static const double BATCH_GOAL_FRACTION = 0.5;
/* Progress of a batch is reported by then, before it is considered stuck. */
static const double PROGRESS_GOAL_FRACTION = 0.35;

/**
 * struct merge_state - merged answer so far
 * @records: greatest records of the parts received
 * @signatures: signatures of these parts
 * @unreported: shards in @records that have not been reported to the origin
 * @nunreported: number of shards in @unreported
 * @reported: something has been reported to the origin
 */
struct merge_state {
	struct records records;
	struct buf signatures;
	uint16_t *unreported;
	size_t nunreported;
	bool reported;
};

static apr_status_t free_state(void *data)
{
	struct merge_state *state = data;

	buf_free(&state->signatures);
	return APR_SUCCESS;
}

static bool is_suspect(const struct calls *calls, const struct call *call)
{
	return poison_verdict(calls->poison, &call->fingerprint) != POISON_NONE;
}

/* Also true for an unproven request, which is sent to one target first. */
static bool is_held_back(const struct calls *calls, const struct call *call)
{
	return trial_verdict(calls, call) != POISON_NONE;
}

bool merge_has_coverage(const struct route *route, size_t done)
{
	double required = route->min_coverage * (double)route->nshards;

	return done > 0 && (double)done + 1e-9 >= required;
}

int64_t merge_soft_deadline(const struct call *call)
{
	int64_t goal = call->route->goal_us;
	int64_t soft = (int64_t)((double)goal * SOFT_GOAL_FRACTION);

	return call->start + (soft < goal - RESPONSE_MARGIN_US
				      ? soft
				      : goal - RESPONSE_MARGIN_US);
}

static int64_t progress_due_at(const struct call *call)
{
	return call->start +
	       (int64_t)((double)call->route->goal_us * PROGRESS_GOAL_FRACTION);
}

static int64_t batch_due_at(const struct call *call)
{
	return call->start +
	       (int64_t)((double)call->route->goal_us * BATCH_GOAL_FRACTION);
}

static int64_t hedge_delay(const struct call *call,
			   const struct attempt *attempt)
{
	int64_t delay =
		(int64_t)(target_health_expected_us(attempt->target,
						    attempt->baseline_us) *
			  HEDGE_FACTOR);
	int64_t max =
		(int64_t)((double)call->route->goal_us * HEDGE_GOAL_FRACTION);

	if (delay < HEDGE_MIN_US)
		delay = HEDGE_MIN_US;
	return delay < max ? delay : max;
}

static void send_answer(struct calls *calls, struct call *call, const char *why)
{
	struct merge_state *state = call->state;
	struct final final = {
		.status = 200,
		.merged = true,
		.headers = STR("Content-Type: application/octet-stream\r\n"),
		.body = records_str(&state->records),
		.signatures = buf_str(&state->signatures),
		.missing = call->nparts - call->ndone,
		.why = why,
	};

	call_answer(calls, call, &final);
}

static bool is_unassigned(const struct part *part)
{
	return !part->done && !part->open && !part->delegated;
}

static bool may_have_run(const struct call *call)
{
	for (size_t i = 0; i < call->nparts; i++)
		if (call->parts[i].ran || call->parts[i].open ||
		    call->parts[i].sent_elsewhere || call->parts[i].delegated)
			return true;
	return false;
}

/* Status 503 promises that nothing ran, so it is sent only if that holds. */
static void give_up(struct calls *calls, struct call *call, const char *why)
{
	int64_t retry_us = RETRY_AFTER_US;

	trial_refusal_reason(calls, call, &why, &retry_us);
	if (calls->now >= call->deadline)
		call_refuse(calls, call, 504, why, 0);
	else if (may_have_run(call))
		call_refuse(calls, call, 502, why, retry_us);
	else
		call_refuse(calls, call, 503, why, retry_us);
}

/*
 * Counts shards that have been received or still may be, including those that
 * wait for a target with capacity or for the retry budget. Without sufficient
 * coverage a late answer is better than none: if calls gave up at the soft
 * deadline, callers would query all shards again and increase the load that
 * makes them wait. A shard without usable targets is not waited for, and the
 * caller gets the error at once.
 */
static size_t count_possible(const struct calls *calls, const struct call *call)
{
	bool can_wait =
		(calls_mechanism_enabled(calls, MECHANISM_LATE_ANSWERS) ||
		 calls->now < call->soft_deadline) &&
		!trial_exhausted(calls, call);
	size_t possible = 0;

	for (size_t i = 0; i < call->nparts; i++) {
		const struct part *part = &call->parts[i];

		if (part->done || part->open || part->delegated ||
		    (can_wait && call_may_send(call, part) &&
		     balancer_has_usable(calls->balancer, part->service,
					 calls->now)))
			possible++;
	}
	return possible;
}

/*
 * A trial needs a target for each of its runs, not the coverage of an answer.
 * After a crash of all targets it runs as soon as the first ones are back, so
 * that the request is blocked before the others are.
 */
static bool is_in_trial(const struct calls *calls, const struct call *call)
{
	if (!is_suspect(calls, call) || trial_exhausted(calls, call))
		return false;
	if (call->attempts)
		return true;
	for (size_t i = 0; i < call->nparts; i++)
		if (call_may_send(call, &call->parts[i]) &&
		    balancer_has_usable(calls->balancer, call->parts[i].service,
					calls->now))
			return true;
	return false;
}

/* For a caller's request. Return: true if the call has ended. */
static bool finish_answer(struct calls *calls, struct call *call)
{
	bool ends = calls->now >= call_ends_at(calls, call);
	bool late = ends || calls->now >= call->soft_deadline;
	size_t possible = count_possible(calls, call);

	if (call->ndone == call->nparts) {
		send_answer(calls, call, "complete");
		return true;
	}
	if (!call->ndone && trial_exhausted(calls, call)) {
		give_up(calls, call, "request may not be sent to any target");
		return true;
	}
	if (merge_has_coverage(call->route, call->ndone) &&
	    (late || possible == call->ndone)) {
		send_answer(calls, call,
			    late ? "soft deadline" : "nothing more");
		return true;
	}
	if (ends) {
		give_up(calls, call, call_end_reason(calls, call));
		return true;
	}
	if (!merge_has_coverage(call->route, possible) &&
	    !is_in_trial(calls, call)) {
		give_up(calls, call, "too few shards can be reached");
		return true;
	}
	return false;
}

static void report_to_origin(struct calls *calls, struct call *call, bool last)
{
	struct merge_state *state = call->state;

	batch_send_reply(calls, call, state->unreported, state->nunreported,
			 records_str(&state->records),
			 buf_str(&state->signatures), last);
	state->reported = true;
	state->nunreported = 0;
	state->records.count = 0;
	state->signatures.len = 0;
}

/*
 * For a batch of another node, which checks coverage itself. Reports progress
 * once early, so that the origin does not consider this node stuck, again at
 * the soft deadline, and from then on each shard as it arrives.
 *
 * Return: true if the call has ended.
 */
static bool finish_batch(struct calls *calls, struct call *call)
{
	const struct merge_state *state = call->state;
	bool late = calls->now >= call->soft_deadline;
	bool last = count_possible(calls, call) == call->ndone ||
		    calls->now >= call_ends_at(calls, call) ||
		    trial_exhausted(calls, call);

	if (last || (late && state->nunreported) ||
	    (!state->reported && calls->now >= progress_due_at(call)))
		report_to_origin(calls, call, last);
	if (last)
		call_finish(calls, call);
	return last;
}

static bool finish_if_settled(struct calls *calls, struct call *call)
{
	return call->origin.len ? finish_batch(calls, call)
				: finish_answer(calls, call);
}

/* Return: the earlier of @when and @other, or @when if @other has passed. */
static int64_t earlier_unless_passed(int64_t when, int64_t other, int64_t now)
{
	return other > now && other < when ? other : when;
}

static void schedule_next_review(struct calls *calls, struct call *call)
{
	int64_t when = earlier_unless_passed(call_ends_at(calls, call),
					     call->soft_deadline, calls->now);

	if (call->batches)
		when = earlier_unless_passed(when, batch_due_at(call),
					     calls->now);
	if (call->origin.len)
		when = earlier_unless_passed(when, progress_due_at(call),
					     calls->now);
	for (const struct attempt *at = call->attempts; at; at = at->next) {
		int64_t due = at->sent_at + hedge_delay(call, at);

		if (!call_may_send(call, &call->parts[at->part]))
			continue;
		if (due <= calls->now)
			due = calls->now + REVIEW_INTERVAL_US;
		if (due < when)
			when = due;
	}
	for (size_t i = 0; i < call->nparts; i++) {
		const struct part *part = &call->parts[i];

		if (is_unassigned(part) && call_may_send(call, part) &&
		    calls->now + REVIEW_INTERVAL_US < when)
			when = calls->now + REVIEW_INTERVAL_US;
	}
	call_schedule_review(calls, call, when);
}

/*
 * For a batch of another node, retries and hedges are sent only after the
 * origin has sent a retry grant. Otherwise an origin that receives nothing more
 * from this node would send to further targets itself, and both together would
 * exceed the route's limit on targets.
 */
static void send_retry(struct calls *calls, struct call *call, size_t part)
{
	const struct merge_state *state = call->state;

	if (!call->origin.len || call->retries_granted ||
	    !call->parts[part].ntried)
		call_send(calls, call, part);
	else if (!state->reported)
		report_to_origin(calls, call, false);
}

static void send_retries(struct calls *calls, struct call *call)
{
	for (size_t i = 0; i < call->nparts; i++) {
		struct part *part = &call->parts[i];

		if (is_unassigned(part))
			send_retry(calls, call, i);
	}
	if (!calls_mechanism_enabled(calls, MECHANISM_HEDGES))
		return;
	/* call_send() prepends new attempts, so this loop does not see them. */
	for (struct attempt *at = call->attempts; at; at = at->next)
		if (call->parts[at->part].open == 1 &&
		    calls->now - at->sent_at >= hedge_delay(call, at))
			send_retry(calls, call, at->part);
}

static void review(struct calls *calls, struct call *call)
{
	if (finish_if_settled(calls, call))
		return;
	if (calls->now >= batch_due_at(call))
		batch_fail_overdue(calls, call);
	if (call->finished)
		return;
	trial_clear(calls, call);
	send_retries(calls, call);
	schedule_next_review(calls, call);
}

static size_t count_reachable(struct calls *calls, const struct call *call)
{
	size_t reachable = 0;

	for (size_t i = 0; i < call->nparts; i++)
		if (balancer_has_usable(calls->balancer, call->parts[i].service,
					calls->now))
			reachable++;
	return reachable;
}

/* Return: shards with a target suffice for an answer, or for a trial. */
static bool is_reachable(struct calls *calls, const struct call *call)
{
	size_t reachable = count_reachable(calls, call);

	return merge_has_coverage(call->route, reachable) ||
	       (is_suspect(calls, call) && reachable >= TRIAL_SHARDS_MIN);
}

static void delegate_parts(struct calls *calls, struct call *call,
			   struct member_info *member, const uint16_t *parts,
			   size_t nparts, size_t ntried)
{
	bool whole_question =
		!call->origin.len &&
		!placement_is_local(calls->batches->placement, call->catalog,
				    call->route, calls->now);

	call->delegations += whole_question;
	for (size_t i = 0; i < nparts; i++)
		call->parts[parts[i]].delegated = true;
	batch_send(calls, call, member, parts, nparts, whole_question, ntried);
}

/* Collects unassigned shards that have an available target in @domain. */
static size_t collect_in_domain(struct calls *calls, const struct call *call,
				uint64_t domain, uint16_t *parts)
{
	size_t count = 0;

	for (size_t i = 0; i < call->nparts; i++) {
		const struct part *part = &call->parts[i];

		if (!is_unassigned(part))
			continue;
		if (balancer_has_target_in(calls->balancer, part->service,
					   domain, calls->now))
			parts[count++] = (uint16_t)i;
	}
	return count;
}

/*
 * Return: the other failure domain with targets of most unassigned shards, or 0
 * if none has enough for a batch.
 */
static uint64_t best_domain(struct calls *calls, const struct call *call,
			    uint16_t *parts)
{
	const struct placement *placement = calls->batches->placement;
	uint64_t domains[PLACEMENT_DOMAINS_MAX];
	size_t count = placement_list_domains(placement, domains);
	uint64_t best = 0;
	size_t max_shards = BATCH_SHARDS_MIN - 1;

	for (size_t i = 0; i < count; i++) {
		size_t shards =
			collect_in_domain(calls, call, domains[i], parts);

		if (shards <= max_shards)
			continue;
		max_shards = shards;
		best = domains[i];
	}
	return best;
}

/*
 * Delegates shards without a good target in this failure domain to nodes in
 * other domains.
 */
static void delegate_to_far_domains(struct calls *calls, struct call *call)
{
	struct placement *placement = calls->batches->placement;
	uint16_t *parts =
		apr_palloc(call->pool, (call->nparts + 1) * sizeof(*parts));

	for (int i = 0; i < PLACEMENT_DOMAINS_MAX &&
			calls_mechanism_enabled(calls, MECHANISM_BATCHES) &&
			!is_held_back(calls, call);
	     i++) {
		uint64_t domain = best_domain(calls, call, parts);
		struct member_info *member;
		size_t count;

		if (!domain)
			return;
		member = placement_choose_merger(placement, call->catalog,
						 call->route, domain,
						 calls->now);
		if (!member)
			return;
		count = collect_in_domain(calls, call, domain, parts);
		delegate_parts(calls, call, member, parts, count, call->ntried);
	}
}

static void send_to_near_targets(struct calls *calls, struct call *call)
{
	struct target_query target_query = { .baseline_us = call->baseline->us,
					     .goal_us = call->route->goal_us,
					     .now = calls->now };

	for (size_t i = 0; i < call->nparts; i++) {
		target_query.service = call->parts[i].service;
		if (is_unassigned(&call->parts[i]) &&
		    balancer_prefers_near(calls->balancer, &target_query))
			call_send(calls, call, i);
	}
}

static void send_unassigned(struct calls *calls, struct call *call)
{
	for (size_t i = 0; i < call->nparts; i++)
		if (is_unassigned(&call->parts[i]))
			call_send(calls, call, i);
}

static void send_all(struct calls *calls, struct call *call, bool may_delegate)
{
	send_to_near_targets(calls, call);
	if (may_delegate)
		delegate_to_far_domains(calls, call);
	send_unassigned(calls, call);
}

/* Return: true if the whole question was delegated to another node. */
static bool delegate_whole_question(struct calls *calls, struct call *call)
{
	struct placement *placement = calls->batches->placement;
	struct member_info *member;
	uint16_t *parts;
	size_t count = 0;

	if (placement_is_local(placement, call->catalog, call->route,
			       calls->now))
		return false;
	member = placement_choose_merger(placement, call->catalog, call->route,
					 0, calls->now);
	if (!member)
		return false;
	parts = apr_palloc(call->pool, (call->nparts + 1) * sizeof(*parts));
	for (size_t i = 0; i < call->nparts; i++)
		if (is_unassigned(&call->parts[i]) && !call->parts[i].ntried)
			parts[count++] = (uint16_t)i;
	if (!count)
		return false;
	delegate_parts(calls, call, member, parts, count, 0);
	return true;
}

/* Starts a call, or continues it after a trial. */
static void send_everywhere(struct calls *calls, struct call *call)
{
	if (call->origin.len)
		send_all(calls, call, call->may_delegate);
	else if (!delegate_whole_question(calls, call))
		send_all(calls, call, true);
}

/*
 * Counts targets that other nodes may have sent the part to. Their keys are not
 * known, so 0 stands for each.
 */
static void count_tried_elsewhere(struct part *part, size_t ntried)
{
	part->sent_elsewhere = ntried > 0;
	while (part->ntried < ntried && part->ntried < CALL_TARGETS_MAX)
		part->tried[part->ntried++] = 0;
}

static void prepare_call(struct calls *calls, struct call *call)
{
	const struct route *route = call->route;
	struct merge_state *state =
		apr_pcalloc(call->pool, sizeof(struct merge_state));

	(void)calls;
	call->state = state;
	apr_pool_cleanup_register(call->pool, state, free_state,
				  apr_pool_cleanup_null);
	records_init(&state->records, route->max_records, call->pool);
	state->unreported = apr_palloc(
		call->pool, (route->nshards + 1) * sizeof(*state->unreported));
	call->soft_deadline =
		calls_mechanism_enabled(calls, MECHANISM_SOFT_DEADLINE)
			? merge_soft_deadline(call)
			: call->deadline;
	call->retry_share = placement_retry_share(
		calls->batches->placement, call->catalog, route, calls->now);
	call->nparts =
		call->requested_shards ? call->nrequested : route->nshards;
	call->parts = apr_pcalloc(call->pool,
				  (call->nparts + 1) * sizeof(*call->parts));
	for (size_t i = 0; i < call->nparts; i++)
		call->parts[i].service =
			route->shards[call->requested_shards
					      ? call->requested_shards[i]
					      : i];
	for (size_t i = 0; i < call->nparts; i++)
		count_tried_elsewhere(&call->parts[i], call->ntried);
}

static void begin(struct calls *calls, struct call *call)
{
	prepare_call(calls, call);
	if (call->origin.len) {
		send_everywhere(calls, call);
		if (!finish_if_settled(calls, call))
			schedule_next_review(calls, call);
		return;
	}
	if (!is_reachable(calls, call)) {
		call_refuse(calls, call, 503, "too few shards have a target",
			    RETRY_AFTER_US);
		return;
	}
	if (is_held_back(calls, call)) {
		/* The first shard with an available target is the trial. */
		send_unassigned(calls, call);
		if (finish_if_settled(calls, call))
			return;
	} else {
		send_everywhere(calls, call);
	}
	schedule_next_review(calls, call);
}

static bool is_valid_part(const struct flow_reply *reply)
{
	return reply->result == FETCH_OK && reply->status / 100 == 2 &&
	       reply->signature.len && !reply->encoded;
}

static void add_records(struct call *call, struct str records,
			struct str signatures)
{
	struct merge_state *state = call->state;

	records_merge(&state->records, records);
	if (state->signatures.len)
		buf_str_add(&state->signatures, STR(", "));
	buf_str_add(&state->signatures, signatures);
}

static void mark_part_done(struct call *call, size_t index)
{
	struct merge_state *state = call->state;

	call->parts[index].done = true;
	call->parts[index].delegated = false;
	call->ndone++;
	state->unreported[state->nunreported++] =
		call->requested_shards ? call->requested_shards[index]
				       : (uint16_t)index;
}

static void replied(struct calls *calls, struct call *call,
		    const struct attempt *attempt,
		    const struct flow_reply *reply)
{
	if (is_valid_part(reply)) {
		mark_part_done(call, attempt->part);
		add_records(call, reply->body, reply->signature);
	} else if (!call->parts[attempt->part].open) {
		send_retry(calls, call, attempt->part);
	}
	if (trial_clear(calls, call))
		send_everywhere(calls, call);
	if (!finish_if_settled(calls, call) && !is_valid_part(reply))
		schedule_next_review(calls, call);
}

static void batch_replied(struct calls *calls, struct call *call,
			  const uint16_t *parts, size_t nparts,
			  const struct msg *msg)
{
	const struct merge_state *state = call->state;

	for (size_t i = 0; i < nparts; i++)
		mark_part_done(call, parts[i]);
	if (nparts) {
		add_records(call, msg->body, msg->text);
		call_mark_served(calls, call);
	}
	/* The node may be about to retry, which needs the origin's grant. */
	if (!msg->state && call->origin.len && !state->reported)
		report_to_origin(calls, call, false);
	finish_if_settled(calls, call);
}

/*
 * A small VM that merges by itself takes longer than the goal, so it delegates
 * the shards to another merging node once more.
 *
 * Return: false if that is not possible.
 */
static bool delegate_again(struct calls *calls, struct call *call,
			   const uint16_t *parts, size_t nparts, size_t ntried)
{
	struct placement *placement = calls->batches->placement;
	struct member_info *member;

	if (call->origin.len || nparts < BATCH_SHARDS_MIN ||
	    call->delegations >= DELEGATIONS_MAX ||
	    (int)ntried >= call->route->max_attempts ||
	    is_held_back(calls, call) ||
	    placement_is_local(placement, call->catalog, call->route,
			       calls->now))
		return false;
	member = placement_choose_merger(placement, call->catalog, call->route,
					 0, calls->now);
	if (!member)
		return false;
	delegate_parts(calls, call, member, parts, nparts, ntried);
	return true;
}

static void batch_failed(struct calls *calls, struct call *call,
			 const uint16_t *parts, size_t nparts, size_t ntried)
{
	for (size_t i = 0; i < nparts; i++) {
		call->parts[parts[i]].delegated = false;
		count_tried_elsewhere(&call->parts[parts[i]], ntried);
	}
	if (!delegate_again(calls, call, parts, nparts, ntried))
		for (size_t i = 0; i < nparts; i++)
			send_retry(calls, call, parts[i]);
	if (!finish_if_settled(calls, call))
		schedule_next_review(calls, call);
}

static void ended(struct calls *calls, struct call *call)
{
	batch_cancel_all(calls, call);
}

void merge_init(struct calls *calls, struct batch_table *batches)
{
	batches->replied = batch_replied;
	batches->failed = batch_failed;
	calls->batches = batches;
	calls->delegated_call_kind = &merge_kind;
}

const struct call_kind merge_kind = {
	.name = "merge",
	.may_queue = true,
	.begin = begin,
	.replied = replied,
	.review = review,
	.ended = ended,
};
