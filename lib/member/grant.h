#ifndef MEMBER_GRANT_H
#define MEMBER_GRANT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "member/member.h"

/* Slots of one instance that one router may use. */
typedef struct {
	char node_id[GW_NAME_BYTES];
	uint32_t granted;  /* what the router may use from now on */
	uint32_t reserved; /* what it may still be using: granted or more */
	uint64_t revoked_sequence; /* view that carried the last reduction */
	uint64_t revoked_us;
} member_grant_t;

/*
 * All grants of one instance. The sum of reserved never exceeds slots.
 */
typedef struct {
	uint32_t slots;
	GPtrArray *grants; /* member_grant_t */
} member_grants_t;

member_grants_t *member_grants_new(uint32_t slots);
void member_grants_free(member_grants_t *);
uint32_t member_grants_reserved(const member_grants_t *);

/* Sets the wanted share of each router and grants what is free now. */
void member_grants_divide(member_grants_t *, const GPtrArray *node_ids,
    const uint32_t *wanted, uint64_t view_sequence, uint64_t now_us);
void member_grants_acked(member_grants_t *, const char *node_id,
    uint64_t view_sequence, uint32_t held);
void member_grants_expire(
    member_grants_t *, const char *node_id, bool time_bound, uint64_t now_us);
void member_grants_drop(member_grants_t *, const char *node_id);

#endif
