#include <fcntl.h>
#include <unistd.h>

#include <glib.h>

#include "gw/clock.h"
#include "gw/log.h"

#include "bench.h"
#include "fit.h"

/*
 * Returns the microseconds that size decision lines cost, written to a file
 * that discards them.
 */
static double
log_lines_us(uint32_t size, void *state)
{
	gw_clock_t clock;
	uint64_t start_us;

	(void)state;
	gw_clock_init_system(&clock);
	start_us = gw_clock_now_us(&clock);
	for (uint32_t i = 0; i < size; i++) {
		gw_log(GW_EV_LISTEN,
		    "request=%u pool=settlement instance=i-%u in_flight=%u "
		    "reason=least-loaded",
		    i, i % 1800, i % 8);
		if (i % 64 == 0)
			gw_log_flush();
	}
	gw_log_flush();
	return (double)(gw_clock_now_us(&clock) - start_us);
}

/*
 * Measures the cost of decision lines.
 */
void
bench_log(void)
{
	static const uint32_t sizes[] = {1000, 5000, 20000, 50000};
	fit_t fit = {.name = "log lines", .unit = "us", .size = "line"};
	int fd;

	fd = open("/dev/null", O_WRONLY | O_CLOEXEC);
	gw_log_set_fd(fd);
	fit_run(&fit, sizes, G_N_ELEMENTS(sizes), log_lines_us, NULL);
	gw_log_set_fd(STDERR_FILENO);
	(void)close(fd);
	fit_print(&fit);
}
