#include "member/member.h"

/*
 * Returns the name of an instance's state as stored in the table.
 */
const char *
member_state_name(member_state_t state)
{
	static const char *const names[] = {NULL, "active", "leaving",
	    "drained", "free", "joining", "rebooting", "checking", "ended"};

	if (state < MEMBER_ACTIVE || state > MEMBER_ENDED)
		return "?";
	return names[state];
}

/*
 * Returns the name of a purpose as stored in the table.
 */
const char *
member_purpose_name(member_purpose_t purpose)
{
	static const char *const names[] = {"none", "move", "reboot", "return"};

	if ((unsigned)purpose > MEMBER_PURPOSE_RETURN)
		return "?";
	return names[purpose];
}
