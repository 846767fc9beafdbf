/*
 * Guards against three failures of the forecast of demand: turns that repeat
 * are not expected; a rise is expected where there is no period; and the
 * forecast goes on with an earlier period after demand has changed its own.
 */
#include <glib.h>

#include "gw/clock.h"
#include "sched/forecast.h"

#define START_US (1000 * GW_US_PER_S)
#define REPORT_US (200 * GW_US_PER_MS)
#define LEAD_US (1800 * GW_US_PER_MS)
#define PEAK_CPU_MILLIS 1000000
#define JOB_CPU_MS 100000
#define TURN_S 9

static uint64_t now_us;

/* Work arrives during TURN_S of each period at PEAK_CPU_MILLIS, in whole jobs.
 */
static void
play_turns(forecast_t *forecast, uint64_t period_s, uint64_t for_s)
{
	uint64_t end_us = now_us + for_s * GW_US_PER_S;
	uint64_t begun_us = now_us, work = 0;

	for (; now_us < end_us; now_us += REPORT_US) {
		uint64_t second = (now_us - begun_us) / GW_US_PER_S % period_s;

		if (second >= period_s - TURN_S)
			work += PEAK_CPU_MILLIS * REPORT_US / GW_US_PER_S;
		forecast_add(forecast, work / JOB_CPU_MS * JOB_CPU_MS, now_us);
		work %= JOB_CPU_MS;
	}
}

static void
test_turns(void)
{
	forecast_t *forecast = forecast_new(now_us);
	forecast_rate_t rate;

	play_turns(forecast, 36, 72);
	g_assert_false(forecast_highest(forecast, 0, LEAD_US, &rate));
	play_turns(forecast, 36, 44);
	g_assert_cmpuint(forecast_period_us(forecast), >=, 35 * GW_US_PER_S);
	g_assert_cmpuint(forecast_period_us(forecast), <=, 37 * GW_US_PER_S);
	/* 8 s into the turn: the rise is 19 s ahead. */
	g_assert_true(forecast_highest(forecast, 0, LEAD_US, &rate));
	g_assert_cmpuint(rate.rate_cpu_millis, ==, 0);
	forecast_free(forecast);
}

/* The rise is expected before any of its work has arrived. */
static void
test_rise_ahead(void)
{
	forecast_t *forecast = forecast_new(now_us);
	forecast_rate_t rate;

	for (int i = 0; i < 3; i++)
		play_turns(forecast, 36, 36);
	play_turns(forecast, 36, 26);
	g_assert_true(forecast_highest(forecast, LEAD_US, LEAD_US, &rate));
	g_assert_cmpuint(rate.rate_cpu_millis, >, PEAK_CPU_MILLIS / 2);
	g_assert_cmpuint(rate.error_cpu_millis, <, PEAK_CPU_MILLIS / 4);
	forecast_free(forecast);
}

static void
test_no_period(void)
{
	static const uint64_t gaps_s[] = {17, 41, 12, 29, 53, 21, 37, 14};
	forecast_t *forecast = forecast_new(now_us);
	GRand *rand = g_rand_new_with_seed(7);

	for (guint i = 0; i < G_N_ELEMENTS(gaps_s); i++) {
		play_turns(forecast, gaps_s[i], gaps_s[i]);
		g_assert_cmpuint(forecast_period_us(forecast), ==, 0);
	}
	forecast_free(forecast);
	/* Noise around a constant rate. */
	forecast = forecast_new(now_us);
	for (int i = 0; i < 1500; i++) {
		now_us += REPORT_US;
		forecast_add(forecast,
		    (uint64_t)g_rand_int_range(rand, 0, 2) * JOB_CPU_MS,
		    now_us);
		g_assert_cmpuint(forecast_period_us(forecast), ==, 0);
	}
	g_rand_free(rand);
	forecast_free(forecast);
}

/* The earlier period is dropped within one turn, the new one is learned. */
static void
test_period_changes(void)
{
	forecast_t *forecast = forecast_new(now_us);

	for (int i = 0; i < 4; i++)
		play_turns(forecast, 30, 30);
	g_assert_cmpuint(forecast_period_us(forecast), >, 0);
	play_turns(forecast, 50, 50);
	g_assert_cmpuint(forecast_period_us(forecast), ==, 0);
	for (int i = 0; i < 3; i++)
		play_turns(forecast, 50, 50);
	play_turns(forecast, 50, 10);
	g_assert_cmpuint(forecast_period_us(forecast), >=, 49 * GW_US_PER_S);
	g_assert_cmpuint(forecast_period_us(forecast), <=, 51 * GW_US_PER_S);
	forecast_free(forecast);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	now_us = START_US;
	g_test_add_func("/forecast/turns", test_turns);
	g_test_add_func("/forecast/rise-ahead", test_rise_ahead);
	g_test_add_func("/forecast/no-period", test_no_period);
	g_test_add_func("/forecast/period-changes", test_period_changes);
	return g_test_run();
}
