#include <string.h>

#include "member/attempt.h"
#include "member/grant.h"
#include "member/sponsor.h"

/*
 * Guards against C code that allows a step which violates a property of the
 * specification. Replays the traces of regress/member/traces against
 * lib/member. Each trace is the counterexample that Spin found for a faulty
 * variant (mutant) of the specification. A line is one transition: a function
 * name and the values that the transition used. The first line names the
 * function that must refuse its step; no other line may be refused before it.
 */
#define ELECTED (1000 * GW_US_PER_S)

/* State of a replay, kept from line to line. */
typedef struct {
	const char *line;
	uint32_t ticks, elected_tick, renewal_tick, contact_tick;
	bool elected, renewed, contacted;
	attempt_t attempt;
	member_grants_t *grants;
	GPtrArray *nodes;
} replay_t;

/* Returns a named value of the line; aborts when it is missing. */
static uint32_t
value(const replay_t *r, const char *name)
{
	char *key, *found;
	uint32_t number;

	key = g_strdup_printf(" %s=", name);
	found = strstr(r->line, key);
	if (found == NULL)
		g_error("no %s in: %s", name, r->line);
	number = (uint32_t)g_ascii_strtoull(found + strlen(key), NULL, 10);
	g_free(key);
	return number;
}

/*
 * Converts a wait of the model from ticks to microseconds: 3 ticks are the
 * contact period, 4 or more the contact period and the hard deadline.
 */
static uint64_t
wait_us(uint32_t ticks)
{
	if (ticks >= 4)
		return member_wait_with_drift_us(
		    GW_CONTACT_MS + GW_HARD_DEADLINE_MS);
	return member_wait_with_drift_us(GW_CONTACT_MS) * ticks / 3;
}

/*
 * Returns the router's contact from the line. The instance's state has version
 * 5, so an acknowledged version of 4 is too old.
 */
static member_contact_t *
contact_of(const replay_t *r, uint64_t now_us)
{
	member_contact_t *contact;

	contact = member_contact_new("r", 1);
	contact->acked_version = value(r, "acked") ? 5 : 4;
	if (value(r, "in_flight"))
		g_hash_table_insert(
		    contact->in_flight, g_strdup("i"), GUINT_TO_POINTER(1));
	if (value(r, "ended"))
		member_contact_ended(contact, true, now_us);
	return contact;
}

static bool
replay_drained(replay_t *r)
{
	const uint64_t now_us = 2 * ELECTED;
	member_instance_t instance = {
	    .id = "i", .state = MEMBER_LEAVING, .state_version = 5};
	member_lease_t lease = {1, ELECTED, now_us, GW_LEASE_TTL_MS};
	member_contact_t *contact;
	bool allowed;

	if (r->elected)
		lease.elected_us = now_us - wait_us(r->ticks - r->elected_tick);
	instance.time_bound = value(r, "bound") >= 1;
	instance.bound_confirmed = value(r, "bound") == 2;
	contact = contact_of(r, now_us);
	contact->answered_us = now_us - wait_us(value(r, "silence"));
	allowed = member_router_drained(contact, &lease, &instance, now_us);
	member_contact_free(contact);
	return allowed;
}

static bool
replay_bound(replay_t *r)
{
	member_instance_t instance = {
	    .id = "i", .time_bound = true, .bound_version = 5};
	member_table_t *table;
	GPtrArray *contacts;
	bool allowed;

	table = member_table_new("d");
	(void)member_admit_router(table, "r", 1);
	contacts =
	    g_ptr_array_new_with_free_func((GDestroyNotify)member_contact_free);
	g_ptr_array_add(contacts, contact_of(r, ELECTED));
	allowed = member_bound_everywhere(table, &instance, contacts);
	g_ptr_array_unref(contacts);
	member_table_free(table);
	return allowed;
}

static bool
replay_answer(replay_t *r)
{
	member_instance_t instance = {.id = "i", .state = MEMBER_LEAVING};
	member_lease_t lease = {3, ELECTED, ELECTED, GW_LEASE_TTL_MS};
	member_table_t *table;
	uint64_t now_us;
	bool allowed;
	gw_err_t err;

	now_us = ELECTED + GW_US_PER_S;
	if (value(r, "lease") == 0)
		now_us = ELECTED + GW_LEASE_TTL_MS * GW_US_PER_MS;
	/* The lease, 4 ticks, counts from the sending of the renewal. */
	else if (r->renewed && value(r, "planner") == 0)
		now_us = ELECTED +
		    GW_LEASE_TTL_MS * GW_US_PER_MS *
			(r->ticks - r->renewal_tick) / 4;
	table = member_table_new("d");
	member_take_table(table, value(r, "own") ? 3 : 2);
	(void)member_table_add(table, &instance, &err);
	allowed = member_may_answer(&lease, table,
	    table->version - (value(r, "above_floor") ? 0 : 1), now_us);
	member_table_free(table);
	return allowed;
}

static bool
replay_send(replay_t *r)
{
	member_router_contact_t contact = {0};
	uint64_t now_us;

	now_us = ELECTED;
	if (value(r, "contact") > 0)
		member_router_contact_renew(&contact, 1, now_us);
	/* Contact, 3 ticks on a slow clock, counts from the heartbeat. */
	if (r->contacted)
		now_us += member_wait_with_drift_us(GW_CONTACT_MS) *
		    (r->ticks - r->contact_tick) / 3;
	return value(r, "admitted") &&
	    member_may_send(&contact, MEMBER_ACTIVE, value(r, "bound"), now_us);
}

/* Replays a step of a sponsor; the sponsor's own contact has not expired. */
static bool
replay_sponsor(replay_t *r, const char *name)
{
	member_router_contact_t router = {1, ELECTED};
	member_contact_t *contact;
	GPtrArray *sponsored;
	bool allowed;

	if (g_str_equal(name, "sponsor_may_answer"))
		return sponsor_may_answer(
		    value(r, "acked"), value(r, "request"));
	if (g_str_equal(name, "sponsored_may_send"))
		return sponsored_may_send(
		    &router, MEMBER_ACTIVE, value(r, "bound"), ELECTED);
	contact = member_contact_new("t", 1);
	sponsored =
	    g_ptr_array_new_with_free_func((GDestroyNotify)member_contact_free);
	g_ptr_array_add(sponsored, contact);
	if (g_str_equal(name, "member_router_gone")) {
		contact->ended = value(r, "ended");
		contact->ended_us = ELECTED;
		allowed = !value(r, "used") ||
		    member_router_gone(
			contact, ELECTED + wait_us(value(r, "age")));
	} else if (g_str_equal(name, "sponsor_ack_version")) {
		contact->answered_us = ELECTED;
		contact->acked_version = value(r, "sponsored");
		allowed = sponsor_ack_version(sponsored, value(r, "own"),
			      ELECTED + wait_us(value(r, "answered_age"))) ==
		    value(r, "acked");
	} else {
		contact->answered_us = ELECTED;
		if (value(r, "reported"))
			g_hash_table_insert(contact->in_flight, g_strdup("i"),
			    GUINT_TO_POINTER(1));
		allowed = sponsor_in_flight(sponsored, "i", 0,
			      ELECTED + wait_us(value(r, "answered_age"))) ==
		    value(r, "count");
	}
	g_ptr_array_unref(sponsored);
	return allowed;
}

/* Replays a change of grants; the C code must get the model's result. */
static bool
replay_grant(replay_t *r, const char *name)
{
	static const char *const names[] = {"0", "1"};
	const member_grant_t *grant;
	uint32_t node, wanted[2], i;

	node = value(r, "router");
	if (g_str_equal(name, "member_grants_acked")) {
		member_grants_acked(r->grants, names[node],
		    value(r, "sequence"), value(r, "held"));
	} else if (g_str_equal(name, "member_grants_reported")) {
		member_grants_reported(
		    r->grants, names[node], value(r, "held"), 1);
		r->grants->unreported--;
	} else {
		for (i = 0; i < 2; i++) {
			grant = member_grants_find(r->grants, names[i]);
			wanted[i] = grant == NULL ? 0 : grant->granted;
		}
		wanted[node] = value(r, "granted");
		(void)member_grants_divide(
		    r->grants, r->nodes, wanted, value(r, "sequence"));
	}
	grant = member_grants_find(r->grants, names[node]);
	return grant->granted == value(r, "granted") &&
	    grant->reserved == value(r, "reserved");
}

static bool
replay_attempt(replay_t *r, const char *name)
{
	static const attempt_outcome_t told[] = {ATTEMPT_NOT_RUN,
	    ATTEMPT_NOT_RUN, ATTEMPT_ANSWERED, ATTEMPT_UNKNOWN};

	if (g_str_equal(name, "attempt_init")) {
		attempt_init(
		    &r->attempt, value(r, "idempotent"), value(r, "tries"));
		return true;
	}
	if (g_str_equal(name, "attempt_outcome"))
		return attempt_outcome(&r->attempt) == told[value(r, "told")];
	if (g_str_equal(name, "attempt_start"))
		return attempt_start(&r->attempt) == value(r, "number");
	if (g_str_equal(name, "attempt_send"))
		return attempt_send(&r->attempt, value(r, "number"));
	if (g_str_equal(name, "attempt_response"))
		return attempt_response(&r->attempt, value(r, "number"));
	if (g_str_equal(name, "attempt_done"))
		return attempt_done(&r->attempt, value(r, "number"));
	return attempt_failed(&r->attempt, value(r, "number"));
}

/* Records an event that the C code can't refuse; always true. */
static bool
replay_event(replay_t *r, const char *name)
{
	if (g_str_equal(name, "tick"))
		r->ticks++;
	if (g_str_equal(name, "elected")) {
		r->elected = true;
		r->elected_tick = r->ticks;
		g_ptr_array_set_size(r->grants->grants, 0);
		r->grants->unreported = 2;
	}
	if (g_str_equal(name, "member_lease_valid")) {
		r->renewed = true;
		r->renewal_tick = r->ticks - value(r, "age");
	}
	if (g_str_equal(name, "member_contact_fresh")) {
		r->contacted = true;
		r->contact_tick = r->ticks - value(r, "age");
	}
	return true;
}

/* Returns whether the C code allows the line's step. */
static bool
replay_line(replay_t *r, const char *name)
{
	member_lease_t lease = {0};

	if (g_str_equal(name, "member_router_drained"))
		return replay_drained(r);
	if (g_str_equal(name, "member_bound_everywhere"))
		return replay_bound(r);
	if (g_str_equal(name, "member_may_answer"))
		return replay_answer(r);
	if (g_str_equal(name, "member_may_send"))
		return replay_send(r);
	if (g_str_equal(name, "member_adopt_view"))
		return member_adopt_view(
		    1, value(r, "held"), 1, value(r, "offered"));
	if (g_str_equal(name, "member_adopt_generation"))
		return member_adopt_generation(
		    value(r, "held"), value(r, "offered"));
	if (g_str_equal(name, "member_report_counts")) {
		lease.epoch = value(r, "epoch");
		return member_report_counts(&lease, value(r, "hello"));
	}
	if (g_str_has_prefix(name, "sponsor") ||
	    g_str_equal(name, "member_router_gone"))
		return replay_sponsor(r, name);
	if (g_str_has_prefix(name, "attempt"))
		return replay_attempt(r, name);
	if (g_str_has_prefix(name, "member_grants") ||
	    g_str_equal(name, "reduce") || g_str_equal(name, "raise"))
		return replay_grant(r, name);
	return replay_event(r, name);
}

static void
replay_file(gconstpointer path)
{
	replay_t r = {0};
	char *text, **lines, **words;
	const char *refused;
	guint i;

	g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
	lines = g_strsplit(text, "\n", -1);
	g_assert_true(g_str_has_prefix(lines[0], "refused "));
	r.grants = member_grants_new(2);
	r.nodes = g_ptr_array_new();
	g_ptr_array_add(r.nodes, "0");
	g_ptr_array_add(r.nodes, "1");
	refused = "nothing";
	for (i = 1; lines[i] != NULL && lines[i][0] != '\0'; i++) {
		r.line = lines[i];
		words = g_strsplit(lines[i], " ", 2);
		if (!replay_line(&r, words[0]))
			refused = lines[i];
		g_strfreev(words);
		if (refused == lines[i])
			break;
	}
	g_test_message("line %u refused: %s", i + 1, refused);
	g_assert_true(g_str_has_prefix(refused, lines[0] + strlen("refused ")));
	member_grants_free(r.grants);
	g_ptr_array_unref(r.nodes);
	g_strfreev(lines);
	g_free(text);
}

int
main(int argc, char **argv)
{
	const char *name;
	char *dir, *path, *test;
	GDir *files;
	int rc;

	g_test_init(&argc, &argv, NULL);
	dir = g_test_build_filename(G_TEST_DIST, "member", "traces", NULL);
	files = g_dir_open(dir, 0, NULL);
	g_assert_nonnull(files);
	while ((name = g_dir_read_name(files)) != NULL) {
		path = g_build_filename(dir, name, NULL);
		test = g_strdup_printf("/trace/%s", name);
		g_test_add_data_func_full(test, path, replay_file, g_free);
		g_free(test);
	}
	rc = g_test_run();
	g_dir_close(files);
	g_free(dir);
	return rc;
}
