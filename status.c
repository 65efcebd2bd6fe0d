#include "status.h"

#include "front.h"
#include "gate.h"
#include "member.h"
#include "once.h"
#include "quota.h"

static const char *const state_names[] = { "starting", "live", "leaving" };

static const char *target_state(const struct target *target)
{
	if (target->domain_out)
		return "domain_out";
	if (target->listed_leaving || target->draining)
		return "leaving";
	if (target->down)
		return "down";
	return target->limit < target->slots ? "cold" : "warm";
}

static void target_json(const struct target *target, struct buf *out)
{
	buf_str_add(out, STR("{\"target\":"));
	buf_json_add(out, target->name);
	buf_str_add(out, STR(",\"domain\":"));
	buf_json_add(out, target->domain);
	buf_printf(out, ",\"state\":\"%s\",\"limit\":%d,\"slots\":%d",
		   target_state(target), target->limit, target->slots);
	buf_printf(out, ",\"busy\":%d,\"queued\":%zu,\"requests\":%llu",
		   target->busy, target->queued,
		   (unsigned long long)target->requests);
	buf_printf(out, ",\"refused\":%llu,\"cold_starts\":%llu}",
		   (unsigned long long)target->refused,
		   (unsigned long long)target->cold_starts);
}

static void owned_targets_json(const struct node *node, struct buf *out)
{
	apr_hash_index_t *it;
	bool first = true;

	buf_add(out, "[", 1);
	for (it = apr_hash_first(NULL, node->gate->targets); it;
	     it = apr_hash_next(it)) {
		void *value;

		apr_hash_this(it, NULL, NULL, &value);

		const struct target *target = value;

		if (!target->owned)
			continue;
		if (!first)
			buf_add(out, ",", 1);
		first = false;
		target_json(target, out);
	}
	buf_add(out, "]", 1);
}

static void vm_json(const struct node *node, const struct vm *vm,
		    struct buf *out)
{
	int64_t heartbeat_age_ms = -1;

	if (vm->heartbeat_at != INT64_MIN)
		heartbeat_age_ms = (node->now - vm->heartbeat_at) / 1000;
	if (vm == node->membership->vms[0])
		heartbeat_age_ms = 0;
	buf_str_add(out, STR("{\"vm\":"));
	buf_json_add(out, vm->addr);
	buf_str_add(out, STR(",\"domain\":"));
	buf_json_add(out, vm->domain);
	buf_printf(out, ",\"state\":\"%s\",\"usable\":%s,\"listed\":%s",
		   state_names[vm->state],
		   member_usable(node, vm) ? "true" : "false",
		   vm->listed ? "true" : "false");
	buf_printf(out, ",\"incarnation\":\"%llx\",\"heard_ms\":%lld}",
		   (unsigned long long)vm->incarnation,
		   (long long)heartbeat_age_ms);
}

static void docs_json(const struct node *node, struct buf *out)
{
	const struct lists *lists = node->lists;
	const struct fleet *fleet = node->fleet;

	buf_printf(out, ",\"lists\":{\"version\":%llu,\"hash\":\"%llx\"}",
		   lists ? (unsigned long long)lists->version : 0,
		   lists ? (unsigned long long)lists->hash : 0);
	buf_printf(out, ",\"fleet\":{\"version\":%llu,\"hash\":\"%llx\"}",
		   fleet ? (unsigned long long)fleet->version : 0,
		   fleet ? (unsigned long long)fleet->hash : 0);
}

void status_json(const struct node *node, struct buf *out)
{
	buf_str_add(out, STR("{\"node\":"));
	buf_json_add(out, node->opt.addr);
	buf_str_add(out, STR(",\"domain\":"));
	buf_json_add(out, node->opt.domain);
	buf_printf(out, ",\"incarnation\":\"%llx\",\"state\":\"%s\"",
		   (unsigned long long)node->opt.incarnation,
		   state_names[member_state(node)]);
	buf_printf(out, ",\"view_confirmed\":%s,\"isolated\":%s",
		   member_view_confirmed(node) ? "true" : "false",
		   member_isolated(node) ? "true" : "false");
	docs_json(node, out);
	buf_printf(out, ",\"questions_open\":%zu,\"questions_limit\":%.0f",
		   front_open_count(node), node->front->limit);
	buf_printf(out, ",\"jobs_open\":%zu,\"entries_open\":%zu,\"vms\":[",
		   gate_open_count(node), once_open_count(node));
	for (size_t i = 0; i < node->membership->count; i++) {
		if (i)
			buf_add(out, ",", 1);
		vm_json(node, node->membership->vms[i], out);
	}
	buf_str_add(out, STR("],\"targets\":"));
	owned_targets_json(node, out);
	buf_add(out, "}", 1);
}

static void domain_json(const struct node *node, const struct domain *domain,
			struct buf *out)
{
	unsigned long long requests = 0;
	unsigned long long refused = 0;
	unsigned long long cold = 0;
	size_t owned = 0;

	for (apr_hash_index_t *it = apr_hash_first(NULL, node->gate->targets);
	     it; it = apr_hash_next(it)) {
		void *value;

		apr_hash_this(it, NULL, NULL, &value);

		const struct target *target = value;

		if (!str_eq(target->domain, domain->name))
			continue;
		owned += target->owned;
		requests += target->requests;
		refused += target->refused;
		cold += target->cold_starts;
	}
	buf_str_add(out, STR("{\"domain\":"));
	buf_json_add(out, domain->name);
	buf_printf(out, ",\"state\":\"%s\",\"targets_owned\":%zu",
		   domain->out ? "out" : "in", owned);
	buf_printf(out,
		   ",\"requests\":%llu,\"refused\":%llu,"
		   "\"cold_starts\":%llu}",
		   requests, refused, cold);
}

static void domains_json(const struct node *node, struct buf *out)
{
	buf_add(out, "[", 1);
	for (size_t i = 0; node->fleet && i < node->fleet->ndomains; i++) {
		if (i)
			buf_add(out, ",", 1);
		domain_json(node, &node->fleet->domains[i], out);
	}
	buf_add(out, "]", 1);
}

void status_counters_json(const struct node *node, struct buf *out)
{
	buf_str_add(out, STR("{\"counters\":"));
	counters_json(node->counters, out);
	buf_str_add(out, STR(",\"targets\":"));
	owned_targets_json(node, out);
	buf_str_add(out, STR(",\"domains\":"));
	domains_json(node, out);
	buf_str_add(out, STR(",\"customers\":"));
	quota_json(node, out);
	buf_add(out, "}", 1);
}
