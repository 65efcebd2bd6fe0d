#include "merge.h"

#include "batch.h"
#include "records.h"
#include "trial.h"

enum {
	/*
	 * A reply is late after this multiple of its target's usual time: few
	 * replies that are merely slow are then asked for twice.
	 */
	HEDGE_TIMES = 2,
	/* Never sooner, so that a round trip's noise does not count. */
	HEDGE_LEAST_US = 12000,
	/* A part that no target could be asked for is looked at again. */
	LOOK_AGAIN_US = 10000,
	/* On a refusal: targets that rest are back within about this time. */
	RETRY_AFTER_US = 300000,
	/* The way back to the caller, and what a busy core needs to answer. */
	RETURN_US = 12000,
	/* Nodes that refuse, as they have another version, are not asked on. */
	HANDED_MOST = 2,
	/* A message to another node costs as much as a request to a target. */
	BATCH_LEAST = 2,
};

/* A hedge at a slow target must still be in time itself. */
static const double HEDGE_GOAL_PART = 0.3;
/* Goals are short where little is merged; the return takes its part of them. */
static const double SOFT_GOAL_PART = 0.85;
/*
 * Another node hedges by itself, so it is given longer than a target; then it
 * is taken to be stuck, while targets can still be asked in time from here.
 */
static const double BATCH_GOAL_PART = 0.5;
/* By then it tells what it has, so that it is not taken to be stuck. */
static const double TELL_GOAL_PART = 0.35;

/**
 * struct merge_state - what is there of the answer
 * @fresh, @nfresh: shards in @records that the asking node was not told of
 * @told: it was told something
 */
struct merge_state {
	struct records records;
	struct buf signatures;
	uint16_t *fresh;
	size_t nfresh;
	bool told;
};

static apr_status_t free_state(void *data)
{
	struct merge_state *state = data;

	buf_free(&state->signatures);
	return APR_SUCCESS;
}

static bool is_suspect(const struct calls *calls, const struct call *call)
{
	return poison_verdict(calls->poison, &call->print) != POISON_NONE;
}

bool merge_enough(const struct route *route, size_t done)
{
	double need = route->min_coverage * (double)route->nshards;

	return done > 0 && (double)done + 1e-9 >= need;
}

int64_t merge_soft_at(const struct call *call)
{
	int64_t goal = call->route->goal_us;
	int64_t soft = (int64_t)((double)goal * SOFT_GOAL_PART);

	return call->start +
	       (soft < goal - RETURN_US ? soft : goal - RETURN_US);
}

static int64_t merge_tell_at(const struct call *call)
{
	return call->start +
	       (int64_t)((double)call->route->goal_us * TELL_GOAL_PART);
}

static int64_t merge_batch_at(const struct call *call)
{
	return call->start +
	       (int64_t)((double)call->route->goal_us * BATCH_GOAL_PART);
}

static int64_t hedge_after(const struct call *call,
			   const struct attempt *attempt)
{
	int64_t late =
		(int64_t)(track_reply_us(attempt->target, attempt->usual_us) *
			  HEDGE_TIMES);
	int64_t most =
		(int64_t)((double)call->route->goal_us * HEDGE_GOAL_PART);

	if (late < HEDGE_LEAST_US)
		late = HEDGE_LEAST_US;
	return late < most ? late : most;
}

static void answer(struct calls *calls, struct call *call, const char *why)
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

static bool is_idle(const struct part *part)
{
	return !part->done && !part->open && !part->batched;
}

static bool any_ran(const struct call *call)
{
	for (size_t i = 0; i < call->nparts; i++)
		if (call->parts[i].ran || call->parts[i].open ||
		    call->parts[i].again || call->parts[i].batched)
			return true;
	return false;
}

/* "Not run" is promised only where it is so. */
static void give_up(struct calls *calls, struct call *call, const char *why)
{
	int64_t retry_us = RETRY_AFTER_US;

	trial_excuse(calls, call, &why, &retry_us);
	if (calls->now >= call->give_up_at)
		call_refuse(calls, call, 504, why, 0);
	else if (any_ran(call))
		call_refuse(calls, call, 502, why, retry_us);
	else
		call_refuse(calls, call, 503, why, retry_us);
}

/*
 * Shards that are in, or still may be: those too that wait for room at a target
 * or for a part of the retry budget. While too few are in, a late answer is
 * better than none: given up at the soft deadline, callers would ask all shards
 * anew, and the load that makes them wait would grow. Where no target of a
 * shard is left there is nothing to wait for, and the caller is told so at
 * once.
 */
static size_t count_possible(const struct calls *calls, const struct call *call)
{
	bool waits = (call_has(calls, MECHANISM_LATE_ANSWERS) ||
		      calls->now < call->soft_at) &&
		     !trial_hopeless(calls, call);
	size_t possible = 0;

	for (size_t i = 0; i < call->nparts; i++) {
		const struct part *part = &call->parts[i];

		if (part->done || part->open || part->batched ||
		    (waits && call_may_send(call, part) &&
		     roster_any(calls->roster, part->service, calls->now)))
			possible++;
	}
	return possible;
}

/* For a caller. Return: true when the call has ended. */
static bool settle_answer(struct calls *calls, struct call *call)
{
	bool late = calls->now >= call->soft_at;
	size_t possible = count_possible(calls, call);

	if (call->ndone == call->nparts) {
		answer(calls, call, "complete");
		return true;
	}
	if (!call->ndone && trial_hopeless(calls, call)) {
		give_up(calls, call, "no target may have it");
		return true;
	}
	if (merge_enough(call->route, call->ndone) &&
	    (late || possible == call->ndone)) {
		answer(calls, call, late ? "soft deadline" : "nothing more");
		return true;
	}
	if (calls->now >= call->give_up_at) {
		give_up(calls, call, "out of time");
		return true;
	}
	if (!merge_enough(call->route, possible)) {
		give_up(calls, call, "too few shards can be reached");
		return true;
	}
	return false;
}

static void tell_asker(struct calls *calls, struct call *call, bool last)
{
	struct merge_state *state = call->state;

	batch_tell(calls, call, state->fresh, state->nfresh,
		   records_str(&state->records), buf_str(&state->signatures),
		   last);
	state->told = true;
	state->nfresh = 0;
	state->records.count = 0;
	state->signatures.len = 0;
}

/*
 * For another node, which knows what is enough: it is told once early, so that
 * it knows that this one is at work; again at the soft deadline, and then each
 * shard as it comes.
 */
static bool settle_batch(struct calls *calls, struct call *call)
{
	const struct merge_state *state = call->state;
	bool late = calls->now >= call->soft_at;
	bool last = count_possible(calls, call) == call->ndone ||
		    calls->now >= call->give_up_at ||
		    trial_hopeless(calls, call);

	if (last || (late && state->nfresh) ||
	    (!state->told && calls->now >= merge_tell_at(call)))
		tell_asker(calls, call, last);
	if (last)
		call_finish(calls, call);
	return last;
}

static bool settle(struct calls *calls, struct call *call)
{
	return call->asker.len ? settle_batch(calls, call)
			       : settle_answer(calls, call);
}

/* Of two times the earlier, unless it is over. */
static int64_t sooner(int64_t when, int64_t other, int64_t now)
{
	return other > now && other < when ? other : when;
}

static void plan_review(struct calls *calls, struct call *call)
{
	int64_t when = sooner(call->give_up_at, call->soft_at, calls->now);

	if (call->batches)
		when = sooner(when, merge_batch_at(call), calls->now);
	if (call->asker.len)
		when = sooner(when, merge_tell_at(call), calls->now);
	for (const struct attempt *at = call->attempts; at; at = at->next) {
		int64_t due = at->sent_at + hedge_after(call, at);

		if (!call_may_send(call, &call->parts[at->part]))
			continue;
		if (due <= calls->now)
			due = calls->now + LOOK_AGAIN_US;
		if (due < when)
			when = due;
	}
	for (size_t i = 0; i < call->nparts; i++) {
		const struct part *part = &call->parts[i];

		if (is_idle(part) && call_may_send(call, part) &&
		    calls->now + LOOK_AGAIN_US < when)
			when = calls->now + LOOK_AGAIN_US;
	}
	call_review_at(calls, call, when);
}

/*
 * On behalf of another node further targets are asked only once it knows: else,
 * should it hear nothing more from here, it would ask yet others itself, and
 * all together more than the route allows.
 */
static void send_again(struct calls *calls, struct call *call, size_t part)
{
	const struct merge_state *state = call->state;

	if (!call->asker.len || call->go || !call->parts[part].ntried)
		call_send(calls, call, part);
	else if (!state->told)
		tell_asker(calls, call, false);
}

static void hedge(struct calls *calls, struct call *call)
{
	for (size_t i = 0; i < call->nparts; i++) {
		struct part *part = &call->parts[i];

		if (is_idle(part))
			send_again(calls, call, i);
	}
	if (!call_has(calls, MECHANISM_HEDGES))
		return;
	/* call_send() puts new attempts in front of those that are walked. */
	for (struct attempt *at = call->attempts; at; at = at->next)
		if (call->parts[at->part].open == 1 &&
		    calls->now - at->sent_at >= hedge_after(call, at))
			send_again(calls, call, at->part);
}

static void review(struct calls *calls, struct call *call)
{
	if (settle(calls, call))
		return;
	if (calls->now >= merge_batch_at(call))
		batch_overdue(calls, call);
	if (call->over)
		return;
	trial_over(calls, call);
	hedge(calls, call);
	plan_review(calls, call);
}

static size_t count_reachable(struct calls *calls, const struct call *call)
{
	size_t reachable = 0;

	for (size_t i = 0; i < call->nparts; i++)
		if (roster_any(calls->roster, call->parts[i].service,
			       calls->now))
			reachable++;
	return reachable;
}

static void hand_over(struct calls *calls, struct call *call,
		      struct member_info *member, const uint16_t *parts,
		      size_t nparts, size_t tried)
{
	bool whole = !call->asker.len &&
		     !spread_here(calls->batches->spread, call->catalog,
				  call->route, calls->now);

	call->handed += whole;
	for (size_t i = 0; i < nparts; i++)
		call->parts[parts[i]].batched = true;
	batch_send(calls, call, member, parts, nparts, whole, tried);
}

/* Shards whose best target is in @domain, and that nobody has yet. */
static size_t collect(struct calls *calls, const struct call *call,
		      uint64_t domain, uint16_t *parts)
{
	size_t count = 0;

	for (size_t i = 0; i < call->nparts; i++) {
		const struct part *part = &call->parts[i];

		if (!is_idle(part))
			continue;
		if (roster_holds(calls->roster, part->service, domain,
				 calls->now))
			parts[count++] = (uint16_t)i;
	}
	return count;
}

/* The failure domain that holds most of the shards that nobody has yet. */
static uint64_t best_domain(struct calls *calls, const struct call *call,
			    uint16_t *parts)
{
	const struct spread *spread = calls->batches->spread;
	uint64_t domains[SPREAD_DOMAINS_MAX];
	size_t count = spread_domains(spread, domains);
	uint64_t best = 0;
	size_t most = BATCH_LEAST - 1;

	for (size_t i = 0; i < count; i++) {
		size_t held = collect(calls, call, domains[i], parts);

		if (held <= most)
			continue;
		most = held;
		best = domains[i];
	}
	return best;
}

/* Shards without a good target in this failure domain go to nodes elsewhere. */
static void send_far(struct calls *calls, struct call *call)
{
	struct spread *spread = calls->batches->spread;
	uint16_t *parts =
		apr_palloc(call->pool, (call->nparts + 1) * sizeof(*parts));

	for (int i = 0;
	     i < SPREAD_DOMAINS_MAX && call_has(calls, MECHANISM_BATCHES) &&
	     !is_suspect(calls, call);
	     i++) {
		uint64_t domain = best_domain(calls, call, parts);
		struct member_info *member;
		size_t count;

		if (!domain)
			return;
		member = spread_choose(spread, call->catalog, call->route,
				       domain, calls->now);
		if (!member)
			return;
		count = collect(calls, call, domain, parts);
		hand_over(calls, call, member, parts, count, call->tried);
	}
}

static void send_near(struct calls *calls, struct call *call)
{
	struct choice choice = { .usual_us = call->usual->us,
				 .goal_us = call->route->goal_us,
				 .now = calls->now };

	for (size_t i = 0; i < call->nparts; i++) {
		choice.service = call->parts[i].service;
		if (is_idle(&call->parts[i]) &&
		    roster_near_first(calls->roster, &choice))
			call_send(calls, call, i);
	}
}

static void send_rest(struct calls *calls, struct call *call)
{
	for (size_t i = 0; i < call->nparts; i++)
		if (is_idle(&call->parts[i]))
			call_send(calls, call, i);
}

static void send_all(struct calls *calls, struct call *call, bool may_hand_on)
{
	send_near(calls, call);
	if (may_hand_on)
		send_far(calls, call);
	send_rest(calls, call);
}

/* Return: true if another node was asked for the whole question. */
static bool send_whole(struct calls *calls, struct call *call)
{
	struct spread *spread = calls->batches->spread;
	struct member_info *member;
	uint16_t *parts;

	if (spread_here(spread, call->catalog, call->route, calls->now))
		return false;
	member = spread_choose(spread, call->catalog, call->route, 0,
			       calls->now);
	if (!member)
		return false;
	parts = apr_palloc(call->pool, (call->nparts + 1) * sizeof(*parts));
	for (size_t i = 0; i < call->nparts; i++)
		parts[i] = (uint16_t)i;
	hand_over(calls, call, member, parts, call->nparts, 0);
	return true;
}

/* Targets that other nodes asked: not known by name, only that they count. */
static void mark_tried(struct part *part, size_t tried)
{
	part->again = tried > 0;
	while (part->ntried < tried && part->ntried < CALL_TRIES_MAX)
		part->tried[part->ntried++] = 0;
}

static void prepare(struct calls *calls, struct call *call)
{
	const struct route *route = call->route;
	struct merge_state *state =
		apr_pcalloc(call->pool, sizeof(struct merge_state));

	(void)calls;
	call->state = state;
	apr_pool_cleanup_register(call->pool, state, free_state,
				  apr_pool_cleanup_null);
	records_init(&state->records, route->top_k, call->pool);
	state->fresh = apr_palloc(call->pool,
				  (route->nshards + 1) * sizeof(*state->fresh));
	call->soft_at = call_has(calls, MECHANISM_SOFT_DEADLINE)
				? merge_soft_at(call)
				: call->give_up_at;
	call->retry_share = spread_share(calls->batches->spread, call->catalog,
					 route, calls->now);
	call->nparts = call->wanted ? call->nwanted : route->nshards;
	call->parts = apr_pcalloc(call->pool,
				  (call->nparts + 1) * sizeof(*call->parts));
	for (size_t i = 0; i < call->nparts; i++)
		call->parts[i].service =
			route->shards[call->wanted ? call->wanted[i] : i];
	for (size_t i = 0; i < call->nparts; i++)
		mark_tried(&call->parts[i], call->tried);
}

static void begin(struct calls *calls, struct call *call)
{
	prepare(calls, call);
	if (call->asker.len) {
		send_all(calls, call, call->may_hand_on);
		if (!settle(calls, call))
			plan_review(calls, call);
		return;
	}
	if (!merge_enough(call->route, count_reachable(calls, call))) {
		call_refuse(calls, call, 503, "too few shards have a target",
			    RETRY_AFTER_US);
		return;
	}
	if (is_suspect(calls, call)) {
		/* The first shard whose target is free is the trial. */
		send_rest(calls, call);
		if (settle(calls, call))
			return;
	} else if (!send_whole(calls, call)) {
		send_all(calls, call, true);
	}
	plan_review(calls, call);
}

static bool is_part(const struct flow_reply *reply)
{
	return reply->result == FETCH_OK && reply->status / 100 == 2 &&
	       reply->signature.len && !reply->encoded;
}

static void take(struct call *call, struct str records, struct str signatures)
{
	struct merge_state *state = call->state;

	records_take(&state->records, records);
	if (state->signatures.len)
		buf_str_add(&state->signatures, STR(", "));
	buf_str_add(&state->signatures, signatures);
}

static void take_part(struct call *call, size_t index)
{
	struct merge_state *state = call->state;

	call->parts[index].done = true;
	call->parts[index].batched = false;
	call->ndone++;
	state->fresh[state->nfresh++] =
		call->wanted ? call->wanted[index] : (uint16_t)index;
}

static void replied(struct calls *calls, struct call *call,
		    const struct attempt *attempt,
		    const struct flow_reply *reply)
{
	if (is_part(reply)) {
		take_part(call, attempt->part);
		take(call, reply->body, reply->signature);
	} else if (!call->parts[attempt->part].open) {
		send_again(calls, call, attempt->part);
	}
	if (trial_over(calls, call))
		send_all(calls, call, call->may_hand_on || !call->asker.len);
	if (!settle(calls, call) && !is_part(reply))
		plan_review(calls, call);
}

static void batch_replied(struct calls *calls, struct call *call,
			  const uint16_t *parts, size_t nparts,
			  const struct msg *msg)
{
	const struct merge_state *state = call->state;

	for (size_t i = 0; i < nparts; i++)
		take_part(call, parts[i]);
	if (nparts) {
		take(call, msg->body, msg->text);
		call_served(calls, call);
	}
	/* It may be about to retry, of which this one's asker must know. */
	if (!msg->state && call->asker.len && !state->told)
		tell_asker(calls, call, false);
	settle(calls, call);
}

/*
 * A small VM that merges by itself takes longer than the goal. It hands the
 * shards to another merging node once more. Return: false where it may not.
 */
static bool hand_over_again(struct calls *calls, struct call *call,
			    const uint16_t *parts, size_t nparts, size_t tried)
{
	struct spread *spread = calls->batches->spread;
	struct member_info *member;

	if (call->asker.len || nparts < BATCH_LEAST ||
	    call->handed >= HANDED_MOST ||
	    (int)tried >= call->route->max_attempts ||
	    is_suspect(calls, call) ||
	    spread_here(spread, call->catalog, call->route, calls->now))
		return false;
	member = spread_choose(spread, call->catalog, call->route, 0,
			       calls->now);
	if (!member)
		return false;
	hand_over(calls, call, member, parts, nparts, tried);
	return true;
}

static void batch_failed(struct calls *calls, struct call *call,
			 const uint16_t *parts, size_t nparts, size_t tried)
{
	for (size_t i = 0; i < nparts; i++) {
		call->parts[parts[i]].batched = false;
		mark_tried(&call->parts[parts[i]], tried);
	}
	if (!hand_over_again(calls, call, parts, nparts, tried))
		for (size_t i = 0; i < nparts; i++)
			send_again(calls, call, parts[i]);
	if (!settle(calls, call))
		plan_review(calls, call);
}

static void ended(struct calls *calls, struct call *call)
{
	batch_cancel_all(calls, call);
}

void merge_init(struct calls *calls, struct batch_book *batches)
{
	batches->replied = batch_replied;
	batches->failed = batch_failed;
	calls->batches = batches;
	calls->shards_kind = &merge_kind;
}

const struct call_kind merge_kind = {
	.name = "merge",
	.in_line = true,
	.begin = begin,
	.replied = replied,
	.review = review,
	.ended = ended,
};
