#include "evidence.h"

#include "gossip.h"

enum {
	/*
	 * Evidence is sent directly to this many nodes of the failure domain.
	 * In a larger domain it goes to FANOUT nodes that relay it: four hops
	 * reach 910 nodes.
	 */
	DIRECT_MAX = 32,
	FANOUT = 8,
};

static void send_to_node(void *ctx, struct str addr, const struct msg *msg)
{
	struct calls *calls = ctx;
	struct flow_effect *fx = flow_add(calls->fx, FLOW_PEER_SEND);

	fx->addr = str_dup(calls->fx->pool, addr);
	fx->msg = *msg;
	fx->msg.body = str_dup(calls->fx->pool, msg->body);
}

static void send_to_members(struct calls *calls, struct msg msg, bool relay,
			    struct member_info *const *members, size_t count)
{
	msg.ran = relay;
	for (size_t i = 0; i < count; i++)
		send_to_node(calls, members[i]->addr, &msg);
}

static void broadcast(void *ctx, const struct msg *msg, bool near_only)
{
	struct calls *calls = ctx;
	bool use_relays = calls->gossip->near_live > DIRECT_MAX;
	struct member_info *members[DIRECT_MAX];
	size_t count;

	count = gossip_pick_near(calls->gossip,
				 use_relays ? FANOUT : DIRECT_MAX, calls->now,
				 members);
	send_to_members(calls, *msg, use_relays, members, count);
	if (near_only)
		return;
	count = gossip_pick_far(calls->gossip, DIRECT_MAX, calls->now, members);
	send_to_members(calls, *msg, true, members, count);
}

struct poison_transport evidence_transport(struct calls *calls)
{
	return (struct poison_transport){ broadcast, send_to_node, calls };
}
