#include "member/member.h"

/*
 * Returns a table of random but consistent content.
 */
static member_table_t *
random_table(GRand *rand)
{
	member_instance_t instance = {0};
	member_table_t *table;
	gw_err_t err;
	int i, n;

	table = member_table_new("dc1");
	member_take_table(table, g_rand_int(rand));
	for (i = g_rand_int_range(rand, 0, 4); i > 0; i--)
		(void)member_admit_router(table, "r\"1",
		    (uint64_t)g_rand_int(rand) << 32 | g_rand_int(rand));
	n = g_rand_int_range(rand, 0, 20);
	for (i = 0; i < n; i++) {
		(void)g_snprintf(instance.id, GW_NAME_BYTES, "i%d", i);
		g_strlcpy(instance.incarnation, "1", GW_NAME_BYTES);
		g_strlcpy(instance.address, "127.0.0.1", GW_NAME_BYTES);
		instance.port = (uint16_t)(i + 1);
		g_strlcpy(instance.failure_domain, "rack1", GW_NAME_BYTES);
		g_strlcpy(instance.pool, "a", GW_NAME_BYTES);
		g_strlcpy(instance.home_pool, "a", GW_NAME_BYTES);
		instance.state = (member_state_t)g_rand_int_range(
		    rand, MEMBER_ACTIVE, MEMBER_ENDED + 1);
		instance.purpose = MEMBER_PURPOSE_MOVE;
		g_strlcpy(instance.target_pool, "b", GW_NAME_BYTES);
		instance.time_bound = g_rand_boolean(rand);
		instance.bound_version = instance.time_bound ? 1 : 0;
		instance.bound_confirmed =
		    instance.time_bound && g_rand_boolean(rand);
		instance.slots = (uint32_t)g_rand_int_range(rand, 1, 9);
		g_assert_nonnull(member_table_add(table, &instance, &err));
	}
	return table;
}

/* Guards against a field that is lost or changed by encoding and decoding. */
static void
test_round_trip(void)
{
	member_table_t *table, *again;
	GRand *rand;
	char *json, *json2;
	gw_err_t err;
	guint i, k;

	rand = g_rand_new_with_seed(7);
	for (k = 0; k < 500; k++) {
		table = random_table(rand);
		json = member_table_encode(table);
		again = member_table_decode(json, &err);
		g_assert_nonnull(again);
		json2 = member_table_encode(again);
		g_assert_cmpstr(json, ==, json2);
		for (i = 0; i < table->instances->len; i++)
			g_assert_cmpmem(g_ptr_array_index(table->instances, i),
			    sizeof(member_instance_t),
			    g_ptr_array_index(again->instances, i),
			    sizeof(member_instance_t));
		g_free(json);
		g_free(json2);
		member_table_free(table);
		member_table_free(again);
	}
	g_rand_free(rand);
}

#define INSTANCE                                                 \
	"{\"id\":\"i\",\"incarnation\":\"1\",\"address\":\"x\"," \
	"\"port\":1,\"failure_domain\":\"f\",\"pool\":\"a\","    \
	"\"home_pool\":\"a\",\"state\":\"active\",\"slots\":8,"  \
	"\"state_version\":1"
#define TABLE(routers, instances)                                       \
	"{\"dc\":\"d\",\"epoch\":1,\"version\":2,\"routers\":[" routers \
	"],\"instances\":[" instances "]}"

/* Guards against a malformed or contradictory table that is accepted. */
static void
test_malformed(void)
{
	static const char *const bad[] = {"", "[]", "{}", "{\"dc\":\"d\"",
	    "{\"dc\":\"d\",\"dc\":\"d\"}",
	    "{\"dc\":\"d\",\"epoch\":-1,\"version\":2,\"routers\":[],"
	    "\"instances\":[]}",
	    "{\"dc\":\"d\",\"epoch\":1,\"version\":2,\"routers\":[]}",
	    TABLE("1", ""), TABLE("{\"node_id\":\"r\"}", ""),
	    TABLE("{\"node_id\":\"r\",\"boot_id\":1},"
		  "{\"node_id\":\"r\",\"boot_id\":1}",
		""),
	    TABLE("", INSTANCE "}," INSTANCE "}"),
	    TABLE("", INSTANCE ",\"purpose\":\"fun\"}"),
	    TABLE("", INSTANCE ",\"time_bound\":1}"),
	    TABLE("", INSTANCE ",\"bound_confirmed\":true}"),
	    TABLE("", INSTANCE ",\"bound_version\":3}"),
	    TABLE("", INSTANCE ",\"target_pool\":\"b\"}")};
	member_table_t *table;
	gw_err_t err;
	size_t i;

	table = member_table_decode(TABLE("", INSTANCE "}"), &err);
	g_assert_nonnull(table);
	g_assert_nonnull(member_table_find(table, "i"));
	member_table_free(table);
	for (i = 0; i < G_N_ELEMENTS(bad); i++) {
		err.code = GW_OK;
		g_assert_null(member_table_decode(bad[i], &err));
		g_assert_cmpint(err.code, ==, GW_ERR_INVALID);
		g_assert_cmpstr(err.text, !=, "");
	}
}

/*
 * Guards against a new instance that gets the address of an ended one to which
 * routers may still send, and against an index that misses a removal or copy.
 */
static void
test_index_and_address(void)
{
	member_instance_t instance = {.state = MEMBER_ACTIVE, .port = 1};
	member_table_t *table, *copy;
	gw_err_t err;

	table = member_table_new("d");
	g_strlcpy(instance.id, "i1", GW_NAME_BYTES);
	g_strlcpy(instance.address, "x", GW_NAME_BYTES);
	g_assert_nonnull(member_table_add(table, &instance, &err));
	member_mark_ended(table, member_table_find(table, "i1"));
	g_strlcpy(instance.id, "i2", GW_NAME_BYTES);
	g_assert_null(member_table_add(table, &instance, &err));
	g_assert_cmpint(err.code, ==, GW_ERR_CONFLICT);
	copy = member_table_copy(table);
	g_assert_true(member_table_remove(table, "i1"));
	g_assert_null(member_table_find(table, "i1"));
	g_assert_nonnull(member_table_add(table, &instance, &err));
	g_assert_nonnull(member_table_find(copy, "i1"));
	member_table_free(copy);
	member_table_free(table);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/table/round-trip", test_round_trip);
	g_test_add_func("/table/malformed", test_malformed);
	g_test_add_func("/table/index", test_index_and_address);
	return g_test_run();
}
