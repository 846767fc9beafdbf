#include <fcntl.h>
#include <unistd.h>

#include <glib.h>

#include "gw/clock.h"
#include "gw/log.h"

#include "bench.h"
#include "fit.h"

#define LINES_PER_FLUSH 64

/*
 * Returns the microseconds to log size lines of the length of a routing
 * decision's.
 */
static double
measure_log_us(uint32_t size, void *arg)
{
	gw_clock_t clock;
	uint64_t start_us;

	(void)arg;
	gw_clock_init_system(&clock);
	start_us = gw_clock_now_us(&clock);
	for (uint32_t i = 0; i < size; i++) {
		gw_log(GW_EV_LISTEN,
		    "request=%u pool=settlement instance=i-%u in_flight=%u "
		    "reason=least-loaded",
		    i, i % 1800, i % 8);
		if (i % LINES_PER_FLUSH == 0)
			gw_log_flush();
	}
	gw_log_flush();
	return (double)(gw_clock_now_us(&clock) - start_us);
}

/*
 * Measures logging against the number of lines. They go to /dev/null, which
 * leaves out the cost of storing them.
 */
void
bench_log(void)
{
	static const uint32_t sizes[] = {1000, 5000, 20000, 50000};
	fit_t fit = {.name = "log lines", .y_unit = "us", .x_unit = "line"};
	int fd;

	fd = open("/dev/null", O_WRONLY | O_CLOEXEC);
	gw_log_set_fd(fd);
	fit_run(&fit, sizes, G_N_ELEMENTS(sizes), measure_log_us, NULL);
	gw_log_set_fd(STDERR_FILENO);
	(void)close(fd);
	fit_print(&fit);
}
