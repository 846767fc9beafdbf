#ifndef MEMBER_SPONSOR_H
#define MEMBER_SPONSOR_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "member/member.h"

/*
 * A sponsor is an admitted router that lends slots to other routers, which keep
 * contact with it instead of with the planner. The sponsor keeps one
 * member_contact_t per sponsored router, as the planner does per admitted
 * router, and includes the sponsored routers in its own acknowledgements and
 * in-flight counts.
 */

/* Sponsor: may slots of the instance be lent? */
bool sponsor_may_lend(const member_instance_t *);
/* Sponsor: may it answer a router that has request_version in force? */
bool sponsor_may_answer(uint64_t acked_version, uint64_t request_version);
/* Sponsor: does the sponsored router start no more work? */
bool sponsor_contact_expired(const member_contact_t *, uint64_t now_us);
/* Sponsor: have the sponsored router's requests ended as well? */
bool sponsor_work_expired(const member_contact_t *, uint64_t now_us);
/* Sponsor: the highest table version that it may acknowledge. */
uint64_t sponsor_ack_version(
    const GPtrArray *sponsored, uint64_t own_version, uint64_t now_us);
/* Sponsor: the in-flight count that it must report for the instance. */
uint32_t sponsor_in_flight(const GPtrArray *sponsored, const char *instance_id,
    uint32_t own_in_flight, uint64_t now_us);

/* Sponsored router: may it send work to the instance? */
bool sponsored_may_send(const member_router_contact_t *, member_state_t,
    bool time_bound, uint64_t now_us);

#endif
