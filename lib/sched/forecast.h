#ifndef SCHED_FORECAST_H
#define SCHED_FORECAST_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Learns from the work that arrives in short intervals the period at which
 * demand repeats, and expects what arrived one period earlier. A period counts
 * only while it predicts demand much better than the mean does. Pure: the time
 * is an argument, and nothing is logged.
 */
typedef struct forecast forecast_t;

/* Rates are in thousandths of a core. */
typedef struct {
	uint64_t rate_cpu_millis;
	/* Mean error of such forecasts over the last turns. */
	uint64_t error_cpu_millis;
} forecast_rate_t;

forecast_t *forecast_new(uint64_t now_us);
void forecast_free(forecast_t *);
/* Adds work, in core milliseconds, that arrived until now_us. */
void forecast_add(forecast_t *, uint64_t work_cpu_ms, uint64_t now_us);
/* Returns the period at which demand repeats; 0: none is known. */
uint64_t forecast_period_us(const forecast_t *);
/*
 * Sets the highest rate that is expected between two times after the last
 * forecast_add(). Returns false if no period is known.
 */
bool forecast_highest(
    const forecast_t *, uint64_t from_us, uint64_t to_us, forecast_rate_t *);

#endif
