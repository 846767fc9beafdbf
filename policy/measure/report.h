#ifndef POLICY_REPORT_H
#define POLICY_REPORT_H

#include "series.h"

/* Numbers of targets that were met and missed. */
typedef struct {
	uint32_t met;
	uint32_t missed;
} report_t;

void report_table(const GPtrArray *all, const char *user);
/* Prints and counts a target; bound is a lower bound with at_least. */
void report_target(
    report_t *, const char *what, double value, double bound, bool at_least);
void report_fleet_targets(report_t *, const GPtrArray *all);

/* Targets of job placement, of moves against the optimum, and of speed. */
void report_jobs(report_t *, uint32_t seeds);
void report_optimum(report_t *, uint32_t cases);
void report_speed(report_t *);

#endif
