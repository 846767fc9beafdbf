/*
 * Guards against a job that runs twice, is said to be absent or runs on after
 * its cancel, because its queue's pool has changed since it was accepted.
 */
#include <stdlib.h>
#include <string.h>

#include "sched/config.h"
#include "sched/lookup.h"
#include "sched/shard.h"

#define KEY "00000000000000aa"
#define OTHER_KEY "00000000000000bb"
#define ID "0123456789abcdef"

/*
 * Sets the outcome, or a refusal that names the shard where the job is.
 */
static void
set_outcome(Gw__Reply *response, const char *outcome)
{
	if (g_ascii_isdigit(outcome[0])) {
		response->outcome = (Gw__CallOutcome)atoi(outcome);
		return;
	}
	response->outcome = GW__CALL_OUTCOME__CALL_REFUSED;
	response->moved_to = (char *)outcome;
}

/*
 * Makes all calls of a request, and responds to each as row says: the shard and
 * the first letter of the outcome. Returns "SHARD:KIND ..." and the result.
 */
static char *
play(const sched_homes_t *homes, Gw__CallKind kind, uint32_t shard_count,
    const char *const *outcomes)
{
	static const char *const kinds[] = {"submit", "state", "cancel",
	    "pending", "drain", "load", "owns", "resubmit"};
	static const char *const results[] = {
	    "ok", "absent", "refused", "unknown"};
	const sched_lookup_queue_t queue = {KEY, "p2", shard_count};
	sched_lookup_t *lookup = sched_lookup_new(homes, &queue, kind, ID);
	GString *out = g_string_new("");
	const sched_lookup_call_t *call;
	bool is_decided = false;

	while (!is_decided && (call = sched_lookup_next(lookup)) != NULL) {
		Gw__Reply response = GW__REPLY__INIT;

		g_string_append_printf(
		    out, "%s:%s ", call->shard, kinds[call->kind]);
		response.pending = 3;
		for (int i = 0; outcomes[i] != NULL; i += 2)
			if (strcmp(outcomes[i], call->shard) == 0)
				set_outcome(&response, outcomes[i + 1]);
		is_decided = sched_lookup_add(lookup, &response);
	}
	g_assert_true(is_decided);
	g_string_append(out, results[sched_lookup_result(lookup)->outcome]);
	if (kind == GW__CALL_KIND__CALL_PENDING)
		g_string_append_printf(
		    out, " %u", sched_lookup_result(lookup)->pending);
	sched_lookup_free(lookup);
	return g_string_free(out, FALSE);
}

#define OK "0"
#define ABSENT "1"
#define REFUSED "2"
#define UNKNOWN "3"

static const struct {
	Gw__CallKind kind;
	const char *p1, *p2; /* outcomes */
	const char *expected;
} rows[] = {
    /* A job is submitted only once the former pool does not have it. */
    {GW__CALL_KIND__CALL_SUBMIT, ABSENT, OK, "p1:resubmit p2:submit ok"},
    {GW__CALL_KIND__CALL_SUBMIT, ABSENT, REFUSED,
	"p1:resubmit p2:submit refused"},
    {GW__CALL_KIND__CALL_SUBMIT, OK, OK, "p1:resubmit ok"},
    /* "Refused" would say that the job never runs. */
    {GW__CALL_KIND__CALL_SUBMIT, REFUSED, OK, "p1:resubmit unknown"},
    {GW__CALL_KIND__CALL_SUBMIT, UNKNOWN, OK, "p1:resubmit unknown"},
    {GW__CALL_KIND__CALL_STATE, ABSENT, OK, "p2:state ok"},
    {GW__CALL_KIND__CALL_STATE, OK, ABSENT, "p2:state p1:state ok"},
    {GW__CALL_KIND__CALL_STATE, OK, REFUSED, "p2:state p1:state ok"},
    {GW__CALL_KIND__CALL_STATE, ABSENT, ABSENT, "p2:state p1:state absent"},
    {GW__CALL_KIND__CALL_STATE, REFUSED, ABSENT, "p2:state p1:state refused"},
    {GW__CALL_KIND__CALL_STATE, ABSENT, REFUSED, "p2:state p1:state refused"},
    {GW__CALL_KIND__CALL_CANCEL, OK, ABSENT, "p2:cancel p1:cancel ok"},
    {GW__CALL_KIND__CALL_CANCEL, ABSENT, UNKNOWN,
	"p2:cancel p1:cancel unknown"},
    {GW__CALL_KIND__CALL_CANCEL, UNKNOWN, REFUSED,
	"p2:cancel p1:cancel unknown"},
    {GW__CALL_KIND__CALL_PENDING, OK, OK, "p2:pending p1:pending ok 6"},
};

static void
test_moved(void)
{
	sched_homes_t *homes = sched_homes_new();

	sched_homes_add(homes, KEY, "p1");
	sched_homes_add(homes, KEY, "p2");
	sched_homes_add(homes, OTHER_KEY, "p3");
	g_assert_true(sched_homes_has_other(homes, KEY, "p2"));
	g_assert_false(sched_homes_has_other(homes, OTHER_KEY, "p3"));
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		const char *const outcomes[] = {
		    "p1", rows[i].p1, "p2", rows[i].p2, NULL};
		g_autofree char *got = play(homes, rows[i].kind, 1, outcomes);

		g_assert_cmpstr(got, ==, rows[i].expected);
	}
	sched_homes_free(homes);
}

/* Of a pool with shards only the one of the job's number is asked. */
static void
test_shards(void)
{
	const char *const outcomes[] = {"p1~0", ABSENT, "p1~1", ABSENT, "p2~0",
	    ABSENT, "p2~1", ABSENT, NULL};
	sched_homes_t *homes = sched_homes_new();
	uint32_t number = shard_of_id(ID, 2);
	g_autofree char *expected =
	    g_strdup_printf("p2~%u:state p1~%u:state absent", number, number);
	g_autofree char *got = NULL;

	sched_homes_add(homes, KEY, "p1~0");
	sched_homes_add(homes, KEY, "p1~1");
	got = play(homes, GW__CALL_KIND__CALL_STATE, 2, outcomes);
	g_assert_cmpstr(got, ==, expected);
	sched_homes_free(homes);
}

/*
 * A job that its shard has transferred is asked for where it is; it is not said
 * to be absent because that one has just given it away again.
 */
static void
test_transferred(void)
{
	static const char *const rows_of_two[][3] = {
	    {"p2~9", OK, "p2~%u:cancel p2~9:cancel ok"},
	    {"p2~9", ABSENT, "p2~%u:cancel p2~9:cancel refused"},
	    {"p2~9", UNKNOWN, "p2~%u:cancel p2~9:cancel unknown"},
	    {"p2~9", "p2~0", "p2~%u:cancel p2~9:cancel refused"},
	};
	uint32_t number = shard_of_id(ID, 2);
	sched_homes_t *homes = sched_homes_new();

	for (size_t i = 0; i < G_N_ELEMENTS(rows_of_two); i++) {
		const char *const *row = rows_of_two[i];
		g_autofree char *home = g_strdup_printf("p2~%u", number);
		const char *const outcomes[] = {
		    home, row[0], "p2~9", row[1], NULL};
		g_auto(GStrv) parts = g_strsplit(row[2], "%u", 2);
		g_autofree char *expected =
		    g_strdup_printf("%s%u%s", parts[0], number, parts[1]);
		g_autofree char *got =
		    play(homes, GW__CALL_KIND__CALL_CANCEL, 2, outcomes);

		g_assert_cmpstr(got, ==, expected);
	}
	sched_homes_free(homes);
}

/* Without a former pool nothing else is asked. */
static void
test_not_moved(void)
{
	const char *const outcomes[] = {"p2", ABSENT, NULL};
	sched_homes_t *homes = sched_homes_new();
	g_autofree char *state =
	    play(homes, GW__CALL_KIND__CALL_STATE, 1, outcomes);
	g_autofree char *submit =
	    play(homes, GW__CALL_KIND__CALL_SUBMIT, 1, outcomes);

	g_assert_cmpstr(state, ==, "p2:state absent");
	g_assert_cmpstr(submit, ==, "p2:submit absent");
	sched_homes_free(homes);
}

/*
 * A process that has been asked for a job by a newer configuration accepts none
 * by an older one, although it does not have the newer one yet.
 */
static void
test_older_copy(void)
{
	sched_config_t *config = sched_config_new();
	sched_config_claim_t claim = {
	    .config = config, .version = 3, .queue = "q", .pool = "p1"};

	config->version = 3;
	g_assert_true(sched_config_allows(&claim));
	claim.seen_version = 7;
	g_assert_false(sched_config_allows(&claim));
	claim.config = NULL;
	g_assert_false(sched_config_allows(&claim));
	claim.version = 7;
	g_assert_true(sched_config_allows(&claim));
	sched_config_free(config);
}

/* Name, pool and settings of a queue may change; callers know the address. */
static void
test_key(void)
{
	sched_queue_t a = {.host = "Jobs.Example", .path_prefix = "/q/"};
	sched_queue_t b = {.host = "jobs.example", .path_prefix = "/q/"};
	sched_queue_t c = {.host = "jobs.example", .path_prefix = "/r/"};

	sched_queue_set_key(&a);
	sched_queue_set_key(&b);
	sched_queue_set_key(&c);
	g_assert_cmpstr(a.key, ==, b.key);
	g_assert_cmpstr(a.key, !=, c.key);
	g_assert_cmpuint(strlen(a.key), ==, SCHED_QUEUE_KEY_BYTES - 1);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/lookup/moved", test_moved);
	g_test_add_func("/lookup/shards", test_shards);
	g_test_add_func("/lookup/not-moved", test_not_moved);
	g_test_add_func("/lookup/transferred", test_transferred);
	g_test_add_func("/lookup/older-copy", test_older_copy);
	g_test_add_func("/lookup/key", test_key);
	return g_test_run();
}
