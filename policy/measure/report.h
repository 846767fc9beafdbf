#ifndef POLICY_REPORT_H
#define POLICY_REPORT_H

#include "series.h"

/* Prints targets as met or missed and counts the missed ones. */
typedef struct {
	uint32_t met;
	uint32_t missed;
} report_t;

void report_table(const GPtrArray *all, const char *user);
/* A figure with an upper bound, or a lower one when at_least is set. */
void report_target(
    report_t *, const char *what, double value, double bound, bool at_least);
void report_fleet_targets(report_t *, const GPtrArray *all);

/* Job placement, moves against the optimum, and speed. */
void report_jobs(report_t *, uint32_t seeds);
void report_optimum(report_t *, uint32_t cases);
void report_speed(report_t *);

#endif
