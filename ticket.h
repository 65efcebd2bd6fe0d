#pragma once

#include "node.h"

/**
 * DOC: tickets
 *
 * A ticket is the text "address/incarnation/number/issued/check". Any node can
 * read the issuer from it, and the issuer stores nothing before its first use.
 */

enum {
	TICKET_VALID_US = 10000000,
	TICKET_TEXT_MAX = 128,
};

/** struct ticket - parsed form of a ticket's text */
struct ticket {
	struct str addr;
	uint64_t incarnation;
	uint64_t seq;
	int64_t issued_at;
	uint64_t check;
};

/** ticket_check() - keyed hash over ticket, customer and request id. */
uint64_t ticket_check(const struct node *node, const struct ticket *ticket,
		      struct str customer, struct str request_id);
/** ticket_issue() - issue a ticket, written to @text of @size bytes. */
struct str ticket_issue(struct node *node, struct str customer,
			struct str request_id, char *text, size_t size);
/** ticket_parse() - parse a ticket; false if @text is not one. */
bool ticket_parse(struct str text, struct ticket *ticket);
