#include "ticket.h"

#include <inttypes.h>
#include <stdio.h>

#include <xxhash.h>

#include "once.h"

uint64_t ticket_check(const struct node *node, const struct ticket *ticket,
		      struct str customer, struct str request_id)
{
	uint64_t parts[] = { node->once->secret, ticket->seq,
			     (uint64_t)ticket->issued_at, str_hash(customer),
			     str_hash(request_id) };

	return XXH64(parts, sizeof(parts), node->once->secret);
}

struct str ticket_issue(struct node *node, struct str customer,
			struct str request_id, char *text, size_t size)
{
	struct ticket ticket = {
		.addr = node->opt.addr,
		.incarnation = node->opt.incarnation,
		.seq = ++node->next_id,
		.issued_at = node->now,
	};

	ticket.check = ticket_check(node, &ticket, customer, request_id);
	snprintf(text, size,
		 "%.*s/%" PRIx64 "/%" PRIx64 "/%" PRIx64 "/%" PRIx64,
		 STR_ARG(ticket.addr), ticket.incarnation, ticket.seq,
		 (uint64_t)ticket.issued_at, ticket.check);
	if (node->now - node->once->issued_at >= TICKET_VALID_US)
		node->once->unused_tickets = 0;
	node->once->unused_tickets++;
	node->once->issued_at = node->now;
	node->counters[CNT_TICKETS]++;
	return str_of(text);
}

bool ticket_parse(struct str text, struct ticket *ticket)
{
	const char *slash = text.len ? memchr(text.ptr, '/', text.len) : NULL;
	char rest[TICKET_TEXT_MAX + 1];
	uint64_t issued;
	int used = 0;

	if (!slash || text.len > TICKET_TEXT_MAX)
		return false;
	ticket->addr.ptr = text.ptr;
	ticket->addr.len = (size_t)(slash - text.ptr);

	size_t len = text.len - ticket->addr.len - 1;

	memcpy(rest, slash + 1, len);
	rest[len] = '\0';
	if (sscanf(rest,
		   "%16" SCNx64 "/%16" SCNx64 "/%16" SCNx64 "/%16" SCNx64 "%n",
		   &ticket->incarnation, &ticket->seq, &issued, &ticket->check,
		   &used) != 4)
		return false;
	ticket->issued_at = (int64_t)issued;
	return used == (int)len;
}
