#include <stdio.h>
#include <string.h>
#include <sysexits.h>

#include "gw/log.h"

#include "bench.h"

/*
 * Prints the measurements that docs/CAPACITY.md is calculated from: values at
 * four sizes each, and the line fitted to them with its largest error.
 */
int
main(int argc, char **argv)
{
	(void)argv;
	if (argc > 1) {
		(void)fprintf(stderr, "usage: gwcapacity\n");
		return EX_USAGE;
	}
	gw_log_init("gwcapacity", LOG_INFO);
	bench_wire();
	bench_manifest();
	bench_queue();
	bench_log();
	return 0;
}
