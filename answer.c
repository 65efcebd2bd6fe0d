#include "answer.h"

#include <math.h>

#define COVERAGE_STEPS 1e6

double answer_coverage(const struct question *q, double weight)
{
	return q->total_weight > 0 ? weight / q->total_weight : 0;
}

static void add_missing(const struct question *q, struct buf *out)
{
	bool first = true;

	buf_str_add(out, STR(",\"missing\":["));
	for (size_t i = 0; i < q->nleaves; i++) {
		const struct leaf *leaf = &q->leaves[i];

		if (leaf->state == LEAF_MERGED)
			continue;
		buf_printf(out, "%s{\"shard\":%u,\"index\":", first ? "" : ",",
			   leaf->shard->id);
		buf_json_add(out, leaf->shard->index);
		buf_printf(
			out, ",\"kind\":\"%s\"}",
			error_info(leaf->state == LEAF_OPEN && !leaf->error_code
					   ? ERR_DEADLINE
					   : leaf->error_code)
				->kind);
		first = false;
	}
	buf_add(out, "]", 1);
}

static void add_rows(const struct question *q, struct buf *out)
{
	bool first = true;

	buf_str_add(out, STR(",\"rows\":["));
	for (size_t i = 0; i < q->nleaves; i++) {
		struct str rows = q->leaves[i].rows;

		if (q->leaves[i].state != LEAF_MERGED || rows.len <= 2)
			continue;
		if (!first)
			buf_add(out, ",", 1);
		buf_add(out, rows.ptr + 1, rows.len - 2);
		first = false;
	}
	buf_str_add(out, STR("]}"));
}

static bool is_complete(const struct question *q)
{
	for (size_t i = 0; i < q->nleaves; i++)
		if (q->leaves[i].state != LEAF_MERGED)
			return false;
	return true;
}

void answer_send(struct node *node, const struct question *q)
{
	struct buf out = { 0 };
	bool complete = is_complete(q);
	/* Rounded down: a partial answer must not show a coverage of 1. */
	double covered = complete ? 1
				  : floor(answer_coverage(q, q->merged_weight) *
					  COVERAGE_STEPS) /
					    COVERAGE_STEPS;
	int status = covered > 0 ? 200 : 504;

	if (node->opt.off.no_coverage_merge)
		covered = 1;
	buf_str_add(&out, STR("{\"request_id\":"));
	buf_json_add(&out, q->request.request_id);
	buf_printf(&out, ",\"snapshot\":%llu,\"coverage\":%.6f",
		   (unsigned long long)q->snapshot->version, covered);
	buf_printf(&out, ",\"complete\":%s", complete ? "true" : "false");
	buf_printf(&out, ",\"elapsed_ms\":%.3f,\"requests\":%u,\"hedges\":%u",
		   (double)(node->now - q->started_at) / 1000, q->sent,
		   q->hedges);
	add_missing(q, &out);
	add_rows(q, &out);
	node->counters[CNT_ANSWERED]++;
	node->counters[complete ? CNT_COMPLETE : CNT_PARTIAL]++;
	node_answer(node, q->caller, status, buf_str(&out));
	buf_free(&out);
}
