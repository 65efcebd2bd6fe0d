#pragma once

#include "front.h"

/**
 * DOC: questions that crash their targets
 *
 * Applies the verdicts of poison.h to the questions of a front: decides whether
 * a leaf request may be sent, and records evidence from replies.
 */

void front_poison_init(struct node *node);
void front_poison_destroy(struct node *node);
/** front_poison_is_blocked() - whether no target may get the question. */
bool front_poison_is_blocked(const struct node *node, const struct question *q);
/**
 * front_poison_is_suspect() - whether the question is blocked, or limited to
 * one leaf request at a time
 */
bool front_poison_is_suspect(const struct node *node, const struct question *q);
/** front_poison_may_send() - whether a leaf request may be sent now. */
bool front_poison_may_send(const struct node *node, const struct question *q);
/**
 * front_poison_on_connection_broke() - record a connection that was lost during
 * a leaf request
 */
void front_poison_on_connection_broke(struct node *node,
				      const struct question *q,
				      const struct attempt *attempt,
				      const struct msg *msg);
/** front_poison_on_target_reply() - record a reply to a leaf request. */
void front_poison_on_target_reply(struct node *node, struct question *q,
				  const struct attempt *attempt,
				  const struct msg *msg);
/**
 * front_poison_on_question_end() - record that the question ended, if no target
 * has replied to it
 */
void front_poison_on_question_end(struct node *node, const struct question *q);
/** front_poison_digest() - digest of the evidence, for heartbeats. */
uint64_t front_poison_digest(const struct node *node);
/** front_poison_on_digest() - compare the evidence with that of @from. */
void front_poison_on_digest(struct node *node, struct str from,
			    uint64_t digest);
/**
 * front_poison_on_start() - send all evidence to the node at @from, which takes
 * no questions yet.
 */
void front_poison_on_start(struct node *node, struct str from);
/** front_poison_sweep() - drop refuted and expired evidence. */
void front_poison_sweep(struct node *node);
void front_poison_on_msg(struct node *node, struct str from,
			 uint64_t incarnation, const struct msg *msg);
