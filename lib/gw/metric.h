#ifndef GW_METRIC_H
#define GW_METRIC_H

#include <inttypes.h>

#include <glib.h>

/* Buckets with the upper bounds 2^0, 2^1, .. 2^(N-1) microseconds. */
#define GW_HISTOGRAM_BUCKETS 26

typedef enum {
	GW_METRIC_COUNTER,
	GW_METRIC_GAUGE
} gw_metric_kind_t;

/* A counter or gauge; labels are written as pool="a" and may be empty. */
typedef struct {
	gw_metric_kind_t kind;
	const char *help;
	char name[64];
	char labels[128];
	uint64_t value;
} gw_metric_t;

/* A latency distribution in microseconds. */
typedef struct {
	const char *help;
	char name[64];
	char labels[128];
	uint64_t buckets[GW_HISTOGRAM_BUCKETS]; /* not cumulative */
	uint64_t count; /* values above the last bound included */
	uint64_t sum_us;
} gw_histogram_t;

/* The metrics of one process, in the order of registration. */
typedef struct gw_metrics gw_metrics_t;

gw_metrics_t *gw_metrics_new(void);
void gw_metrics_free(gw_metrics_t *);
gw_metric_t *gw_metrics_add(gw_metrics_t *, gw_metric_kind_t, const char *name,
    const char *labels, const char *help);
gw_histogram_t *gw_metrics_add_histogram(
    gw_metrics_t *, const char *name, const char *labels, const char *help);
void gw_histogram_record(gw_histogram_t *, uint64_t value_us);
GString *gw_metrics_text(const gw_metrics_t *);

#endif
