#pragma once

#include "front.h"

/**
 * DOC: questions that crash their targets
 *
 * What poison.h tells of a request, for the questions of a front: which of
 * their leaf requests may be sent, and what a reply says of them.
 */

void front_poison_init(struct node *node);
void front_poison_destroy(struct node *node);
/** front_question_blocked() - it must not be sent to any target. */
bool front_question_blocked(const struct node *node, const struct question *q);
/** front_question_suspect() - it is blocked, or only one target at a time may
 * have it.
 */
bool front_question_suspect(const struct node *node, const struct question *q);
/** front_may_send() - a leaf request of it may be sent now. */
bool front_may_send(const struct node *node, const struct question *q);
/** front_connection_broke() - a connection broke under a leaf request of it. */
void front_connection_broke(struct node *node, const struct question *q,
			    const struct attempt *attempt,
			    const struct msg *msg);
/** front_target_served() - a target answered a leaf request of it. */
void front_target_served(struct node *node, struct question *q,
			 const struct attempt *attempt, const struct msg *msg);
/** front_question_unserved() - it has ended without an answer of any target. */
void front_question_unserved(struct node *node, const struct question *q);
/** front_poison_digest() - for heartbeats. */
uint64_t front_poison_digest(const struct node *node);
/** front_poison_handle_digest() - digest of the node at @from. */
void front_poison_handle_digest(struct node *node, struct str from,
				uint64_t digest);
/** front_poison_sweep() - drop evidence that does not hold any more. */
void front_poison_sweep(struct node *node);
void front_poison_handle_msg(struct node *node, struct str from,
			     uint64_t incarnation, const struct msg *msg);
