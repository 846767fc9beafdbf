#ifndef MEMBER_SPONSOR_H
#define MEMBER_SPONSOR_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "member/member.h"

/*
 * A sponsor keeps one member_contact_t per sponsored router, as the planner
 * does per admitted router, and answers for it towards the planner.
 */

/* Sponsor: may slots of the instance be lent? */
bool sponsor_may_lend(const member_instance_t *);
/* Sponsor: may it answer the request of a router that has this version? */
bool sponsor_may_answer(uint64_t acked_version, uint64_t request_version);
/* Sponsor: has the sponsored router stopped all work that it could start? */
bool sponsor_waited_out(const member_contact_t *, uint64_t now_us);
bool sponsor_waited_drained(const member_contact_t *, uint64_t now_us);
/* Sponsor: the highest table version that it may acknowledge. */
uint64_t sponsor_ack_version(
    const GPtrArray *sponsored, uint64_t own_version, uint64_t now_us);
/* Sponsor: what it must report as in flight on the instance. */
uint32_t sponsor_in_flight(const GPtrArray *sponsored, const char *instance_id,
    uint32_t own_in_flight, uint64_t now_us);

/* Sponsored router: may it send work to the instance? */
bool sponsored_may_send(const member_router_contact_t *, member_state_t,
    bool time_bound, uint64_t now_us);

#endif
