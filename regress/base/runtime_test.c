#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "gw/log.h"
#include "gw/metric.h"
#include "gw/runtime.h"

static GString *order;

static void
append_name(gw_timer_t *timer, void *arg)
{
	(void)timer;
	g_string_append(order, arg);
}

/*
 * Guards against timers that fire early, late or out of order, or after they
 * were stopped, when a paused clock is advanced past several due times.
 */
static void
test_timers_follow_paused_clock(void)
{
	gw_rt_t *rt = gw_rt_new_paused(1000);
	gw_timer_t a = {0}, b = {0}, c = {0};

	order = g_string_new(NULL);
	gw_timer_start(rt, &a, 300, append_name, "a");
	gw_timer_start(rt, &b, 100, append_name, "b");
	gw_timer_start(rt, &c, 200, append_name, "c");
	gw_rt_advance(rt, 99);
	g_assert_cmpstr(order->str, ==, "");
	gw_timer_stop(&c);
	gw_rt_advance(rt, 201);
	g_assert_cmpstr(order->str, ==, "ba");
	g_assert_cmpuint(gw_rt_now_us(rt), ==, 1300);
	g_assert_false(gw_timer_armed(&a));
	g_string_free(order, TRUE);
	gw_rt_free(rt);
}

/*
 * Guards against a log that blocks the process when nobody reads standard
 * error, and against a logged value that forges a line by a control character.
 */
static void
test_log_drops_instead_of_blocking(void)
{
	char buf[4096], *text = g_strnfill(1000, 'x');
	int fds[2];
	ssize_t n;

	g_assert_cmpint(pipe(fds), ==, 0);
	gw_log_set_fd(fds[1]);
	gw_log(GW_EV_START, "value=%s", "a\nforged");
	gw_log_flush();
	n = read(fds[0], buf, sizeof(buf) - 1);
	g_assert_cmpint(n, >, 0);
	buf[n] = '\0';
	g_assert_nonnull(strstr(buf, "1001 START value=a?forged\n"));
	for (int i = 0; i < 1000; i++) {
		gw_log(GW_EV_START, "text=%s", text);
		gw_log_flush();
	}
	g_assert_cmpuint(gw_log_dropped(), >, 0);
	gw_log_set_fd(STDERR_FILENO);
	close(fds[0]);
	close(fds[1]);
	g_free(text);
}

/*
 * Guards against a metrics text that is not in the Prometheus format: misplaced
 * labels, or bucket counts that are not cumulative.
 */
static void
test_metrics_text(void)
{
	gw_metrics_t *set = gw_metrics_new();
	gw_metric_t *counter;
	gw_histogram_t *hist;
	GString *text;

	counter = gw_metrics_add(set, GW_METRIC_COUNTER, "gw_requests_total",
	    "pool=\"a\"", "requests");
	counter->value = 3;
	hist = gw_metrics_add_histogram(set, "gw_wait_us", "", "wait");
	gw_histogram_record(hist, 3);
	text = gw_metrics_text(set);
	g_assert_nonnull(
	    strstr(text->str, "gw_requests_total{pool=\"a\"} 3\n"));
	g_assert_nonnull(strstr(text->str, "gw_wait_us_bucket{le=\"2\"} 0\n"));
	g_assert_nonnull(strstr(text->str, "gw_wait_us_bucket{le=\"4\"} 1\n"));
	g_string_free(text, TRUE);
	gw_metrics_free(set);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/runtime/timers", test_timers_follow_paused_clock);
	g_test_add_func("/log/drops", test_log_drops_instead_of_blocking);
	g_test_add_func("/metrics/text", test_metrics_text);
	return g_test_run();
}
