#include <stdio.h>
#include <string.h>

#include "gw/log.h"

#include "bench.h"

/*
 * Prints the costs that docs/CAPACITY.md is worked out from: values at four
 * sizes each, the fitted line and its largest error.
 */
int
main(int argc, char **argv)
{
	(void)argv;
	if (argc > 1) {
		(void)fprintf(stderr, "usage: gwcapacity\n");
		return 64;
	}
	gw_log_init("gwcapacity", LOG_INFO);
	bench_wire();
	bench_manifest();
	bench_queue();
	bench_log();
	return 0;
}
