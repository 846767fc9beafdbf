#include <stdlib.h>

#include "gw/setting.h"

static uint32_t slots;
static gw_addr_t listen_addr;
static const gw_setting_t settings[] = {
    {"slots", GW_SETTING_U32, &slots, "8", "slots", 1, 64},
    {"listen", GW_SETTING_ADDR, &listen_addr, "127.0.0.1:0", "address", 0, 0},
};

static int
load(const char *arg, gw_err_t *err)
{
	char *argv[] = {"test", (char *)arg, NULL};

	return gw_settings_load(settings, G_N_ELEMENTS(settings),
	    arg == NULL ? 1 : 2, argv, NULL, err);
}

/*
 * Guards against an environment variable that overrides the flag, and against
 * an invalid value that is accepted or reported without the setting's name.
 */
static void
test_flag_environment_and_errors(void)
{
	gw_err_t err;

	setenv("GW_SLOTS", "16", 1);
	g_assert_cmpint(load(NULL, &err), ==, 0);
	g_assert_cmpuint(slots, ==, 16);
	g_assert_cmpint(load("--slots=32", &err), ==, 0);
	g_assert_cmpuint(slots, ==, 32);
	g_assert_cmpint(load("--slots=65", &err), ==, -1);
	g_assert_cmpstr(
	    err.text, ==, "--slots: '65' is not a whole number from 1 to 64");
	g_assert_cmpint(load("--listen=localhost:80", &err), ==, -1);
	g_assert_cmpstr(
	    err.text, ==, "--listen: 'localhost' is not an IP number");
	unsetenv("GW_SLOTS");
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/setting/load", test_flag_environment_and_errors);
	return g_test_run();
}
