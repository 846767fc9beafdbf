#include <string.h>

#include "gw/metric.h"

struct gw_metrics {
	GPtrArray *metrics;    /* gw_metric_t */
	GPtrArray *histograms; /* gw_histogram_t */
};

/*
 * Returns an empty set of metrics.
 */
gw_metrics_t *
gw_metrics_new(void)
{
	gw_metrics_t *set;

	set = g_new0(gw_metrics_t, 1);
	set->metrics = g_ptr_array_new_with_free_func(g_free);
	set->histograms = g_ptr_array_new_with_free_func(g_free);
	return set;
}

/*
 * Frees the set and the metrics in it.
 */
void
gw_metrics_free(gw_metrics_t *set)
{
	if (set == NULL)
		return;
	g_ptr_array_free(set->metrics, TRUE);
	g_ptr_array_free(set->histograms, TRUE);
	g_free(set);
}

/*
 * Registers a counter or gauge and returns it; the caller writes the member
 * value directly. help is not copied and must be a string constant.
 */
gw_metric_t *
gw_metrics_add(gw_metrics_t *set, gw_metric_kind_t kind, const char *name,
    const char *labels, const char *help)
{
	gw_metric_t *metric;

	metric = g_new0(gw_metric_t, 1);
	metric->kind = kind;
	metric->help = help;
	g_strlcpy(metric->name, name, sizeof(metric->name));
	g_strlcpy(metric->labels, labels, sizeof(metric->labels));
	g_ptr_array_add(set->metrics, metric);
	return metric;
}

/*
 * Registers a latency histogram. help is not copied and must be a string
 * constant.
 */
gw_histogram_t *
gw_metrics_add_histogram(
    gw_metrics_t *set, const char *name, const char *labels, const char *help)
{
	gw_histogram_t *hist;

	hist = g_new0(gw_histogram_t, 1);
	hist->help = help;
	g_strlcpy(hist->name, name, sizeof(hist->name));
	g_strlcpy(hist->labels, labels, sizeof(hist->labels));
	g_ptr_array_add(set->histograms, hist);
	return hist;
}

/*
 * Records one value. Values above the last bound count only in +Inf.
 */
void
gw_histogram_record(gw_histogram_t *hist, uint64_t value_us)
{
	for (uint32_t i = 0; i < GW_HISTOGRAM_BUCKETS; i++) {
		if (value_us <= UINT64_C(1) << i) {
			hist->buckets[i]++;
			break;
		}
	}
	hist->count++;
	hist->sum_us += value_us;
}

static void
write_header(GString *out, GHashTable *seen, const char *name, const char *help,
    const char *type)
{
	if (!g_hash_table_add(seen, (gpointer)name))
		return;
	g_string_append_printf(
	    out, "# HELP %s %s\n# TYPE %s %s\n", name, help, name, type);
}

static void
write_histogram(GString *out, const gw_histogram_t *hist)
{
	const char *comma = hist->labels[0] == '\0' ? "" : ",";
	uint64_t total = 0;

	for (uint32_t i = 0; i < GW_HISTOGRAM_BUCKETS; i++) {
		total += hist->buckets[i];
		g_string_append_printf(out,
		    "%s_bucket{%s%sle=\"%" PRIu64 "\"} %" PRIu64 "\n",
		    hist->name, hist->labels, comma, UINT64_C(1) << i, total);
	}
	g_string_append_printf(out,
	    "%s_bucket{%s%sle=\"+Inf\"} %" PRIu64 "\n"
	    "%s_sum{%s} %" PRIu64 "\n%s_count{%s} %" PRIu64 "\n",
	    hist->name, hist->labels, comma, hist->count, hist->name,
	    hist->labels, hist->sum_us, hist->name, hist->labels, hist->count);
}

/*
 * Returns the set in the Prometheus text format; the caller frees it. Metrics
 * of the same name must have been registered consecutively, since the format
 * requires them in one group.
 */
GString *
gw_metrics_text(const gw_metrics_t *set)
{
	GString *out = g_string_new(NULL);
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < set->metrics->len; i++) {
		const gw_metric_t *metric = set->metrics->pdata[i];

		write_header(out, seen, metric->name, metric->help,
		    metric->kind == GW_METRIC_COUNTER ? "counter" : "gauge");
		if (metric->labels[0] == '\0')
			g_string_append_printf(out, "%s %" PRIu64 "\n",
			    metric->name, metric->value);
		else
			g_string_append_printf(out, "%s{%s} %" PRIu64 "\n",
			    metric->name, metric->labels, metric->value);
	}
	for (guint i = 0; i < set->histograms->len; i++) {
		const gw_histogram_t *hist = set->histograms->pdata[i];

		write_header(out, seen, hist->name, hist->help, "histogram");
		write_histogram(out, hist);
	}
	g_hash_table_destroy(seen);
	return out;
}
