#include <math.h>

#include <glib.h>

#include "gw/clock.h"
#include "sched/forecast.h"

/* Demand that rises within a second or two is seen at this resolution. */
#define INTERVAL_US (500 * GW_US_PER_MS)
#define HISTORY_INTERVALS 512
/* Shorter turns are over before a machine that is ordered for one arrives. */
#define PERIOD_MIN_INTERVALS 8
/* Two rises are a certain time apart by chance; three show a period. */
#define TURNS_MIN 3
#define PERIOD_MAX_INTERVALS ((HISTORY_INTERVALS - 2) / TURNS_MIN)
/*
 * Its error must be below these parts of the error of the mean, which is small
 * where demand is steady, and of the mean rate, which is small where demand
 * rises seldom: one rise in two that comes unexpected is above.
 */
#define ERROR_OF_MEAN_SHARE_MAX 0.5
#define RATE_SHARE_MAX 0.4
/*
 * Periods longer by this must have been compared too: while the error still
 * falls with the length, the period is longer.
 */
#define LONGER_INTERVALS 2
/* Of periods whose errors differ by less, the shortest is taken. */
#define ERROR_TOLERANCE 1.1

struct forecast {
	uint64_t interval;  /* the one that work is added to */
	double work_cpu_ms; /* arrived in it so far */
	/* Rates of the intervals before, in thousandths of a core. */
	double rates[HISTORY_INTERVALS];
	/* Those, smoothed; the last interval has no smoothed rate yet. */
	double smooth[HISTORY_INTERVALS];
	uint64_t count;	 /* intervals recorded since the start */
	uint32_t period; /* in intervals; 0: none */
	double error;	 /* of the period, over the last turns */
};

/*
 * Creates a forecast without a history.
 */
forecast_t *
forecast_new(uint64_t now_us)
{
	forecast_t *forecast = g_new0(forecast_t, 1);

	forecast->interval = now_us / INTERVAL_US;
	return forecast;
}

void
forecast_free(forecast_t *forecast)
{
	g_free(forecast);
}

static double *
rate_before(forecast_t *forecast, uint64_t intervals)
{
	return &forecast->rates[(forecast->count - 1 - intervals) %
	    HISTORY_INTERVALS];
}

/*
 * Returns the smoothed rate of the interval that lies this many intervals
 * before the last one, at least one.
 */
static double
smooth_before(const forecast_t *forecast, uint64_t intervals)
{
	return forecast
	    ->smooth[(forecast->count - 1 - intervals) % HISTORY_INTERVALS];
}

/*
 * Smooths the last rate but one. Work arrives in whole jobs, which a turn
 * brings a little sooner or later than the one before.
 */
static void
smooth_rate(forecast_t *forecast)
{
	if (forecast->count < 3)
		return;
	forecast->smooth[(forecast->count - 2) % HISTORY_INTERVALS] =
	    (*rate_before(forecast, 0) + 2 * *rate_before(forecast, 1) +
		*rate_before(forecast, 2)) /
	    4;
}

/*
 * Returns the mean error of the period over the last turns, each compared with
 * the one before, or a negative number if it does not predict demand.
 */
static double
period_error(const forecast_t *forecast, uint32_t period)
{
	uint32_t compared = period * (TURNS_MIN - 1);
	double error = 0, error_of_mean = 0, mean = 0;

	for (uint32_t i = 1; i <= compared; i++)
		mean += smooth_before(forecast, i) / compared;
	for (uint32_t i = 1; i <= compared; i++) {
		double rate = smooth_before(forecast, i);

		error +=
		    fabs(rate - smooth_before(forecast, i + period)) / compared;
		error_of_mean += fabs(rate - mean) / compared;
	}
	return error < error_of_mean * ERROR_OF_MEAN_SHARE_MAX &&
		error < mean * RATE_SHARE_MAX
	    ? error
	    : -1;
}

/*
 * Sets the period to the one with the least error, of those that were seen
 * TURNS_MIN times.
 */
static void
choose_period(forecast_t *forecast)
{
	uint64_t longest = MIN(PERIOD_MAX_INTERVALS,
	    (forecast->count - MIN(forecast->count, 2)) / TURNS_MIN);

	forecast->period = 0;
	for (uint32_t i = PERIOD_MIN_INTERVALS; i <= longest; i++) {
		double error = period_error(forecast, i);

		if (error < 0 ||
		    (forecast->period != 0 &&
			error * ERROR_TOLERANCE >= forecast->error))
			continue;
		forecast->period = i;
		forecast->error = error;
	}
	if (forecast->period + LONGER_INTERVALS > longest)
		forecast->period = 0;
}

static void
end_interval(forecast_t *forecast)
{
	forecast->rates[forecast->count % HISTORY_INTERVALS] =
	    forecast->work_cpu_ms * GW_US_PER_S / INTERVAL_US;
	forecast->count++;
	forecast->interval++;
	forecast->work_cpu_ms = 0;
	smooth_rate(forecast);
}

/*
 * Adds work that arrived since the last call. Work that arrived over several
 * intervals is spread over those.
 */
void
forecast_add(forecast_t *forecast, uint64_t work_cpu_ms, uint64_t now_us)
{
	uint64_t interval = now_us / INTERVAL_US;
	uint64_t passed = interval - MIN(interval, forecast->interval);
	double part;

	if (passed == 0) {
		forecast->work_cpu_ms += (double)work_cpu_ms;
		return;
	}
	part = (double)work_cpu_ms / (double)passed;
	for (uint64_t i = 0; i < MIN(passed, HISTORY_INTERVALS); i++) {
		forecast->work_cpu_ms += part;
		end_interval(forecast);
	}
	forecast->interval = interval;
	choose_period(forecast);
}

/*
 * Returns the period at which demand repeats, or 0 if none is known.
 */
uint64_t
forecast_period_us(const forecast_t *forecast)
{
	return forecast->period * INTERVAL_US;
}

/*
 * Sets the highest rate that is expected from from_us to to_us, times after
 * the last forecast_add(). Returns false if no period is known.
 */
bool
forecast_highest(const forecast_t *forecast, uint64_t from_us, uint64_t to_us,
    forecast_rate_t *out)
{
	uint32_t period = forecast->period;
	double highest = 0;

	if (period == 0)
		return false;
	/* The interval after the last one that was recorded comes first. */
	for (uint64_t i = from_us / INTERVAL_US + 1;
	     i <= to_us / INTERVAL_US + 1; i++) {
		/* At least one interval back, which can be smoothed. */
		uint64_t back = period - 1 - (i - 1) % period;

		highest = MAX(highest,
		    smooth_before(forecast, back == 0 ? period : back));
	}
	out->rate_cpu_millis = (uint64_t)highest;
	out->error_cpu_millis = (uint64_t)forecast->error;
	return true;
}
