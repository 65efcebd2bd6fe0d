#pragma once

#include "node.h"

/**
 * DOC: tickets
 *
 * Text "address/incarnation/number/issued/check": any node can tell the
 * issuer, and the issuer needs no memory of a ticket before its first use.
 */

enum {
	TICKET_US = 10000000,
	TICKET_MAX = 128,
};

/** struct ticket - the parts of a ticket's text */
struct ticket {
	struct str addr;
	uint64_t incarnation;
	uint64_t seq;
	int64_t issued_at;
	uint64_t check;
};

/** ticket_check() - binds the ticket to a customer and a request id. */
uint64_t ticket_check(const struct node *node, const struct ticket *ticket,
		      struct str customer, struct str request_id);
/** ticket_issue() - a new ticket as text, in @text of @size bytes. */
struct str ticket_issue(struct node *node, struct str customer,
			struct str request_id, char *text, size_t size);
/** ticket_parse() - false when @text is no ticket. */
bool ticket_parse(struct str text, struct ticket *ticket);
