#include "instance.h"

/* The newest service time has a weight of 1/8 in the moving average. */
#define SERVICE_MEAN_SHIFT 3
/*
 * Time for which an instance gets no requests after it refused a connection or
 * a request, since it would not accept another one at once.
 */
#define BACKOFF_US (200 * GW_US_PER_MS)

/*
 * Returns an instance with no slots granted.
 */
instance_t *
instance_new(gw_rt_t *rt, const settings_t *settings, const char *id,
    const char *incarnation, const gw_addr_t *addr)
{
	instance_t *instance;

	instance = g_new0(instance_t, 1);
	instance->rt = rt;
	instance->endpoint_idle_ms = settings->endpoint_idle_ms;
	instance->addr = *addr;
	g_strlcpy(instance->id, id, sizeof(instance->id));
	g_strlcpy(
	    instance->incarnation, incarnation, sizeof(instance->incarnation));
	return instance;
}

/*
 * Frees the instance. No attempt on it may be in flight.
 */
void
instance_free(instance_t *instance)
{
	gw_target_unref(instance->target);
	g_free(instance);
}

/*
 * Returns the target for attempts, created at the first call.
 */
gw_target_t *
instance_target(instance_t *instance)
{
	if (instance->target == NULL)
		instance->target = gw_target_new(instance->rt, &instance->addr,
		    GW_CONNECT_TIMEOUT_MS, instance->endpoint_idle_ms);
	return instance->target;
}

/*
 * Sets the number of granted slots. Idle connections are closed when it becomes
 * 0. The number of connections never exceeds the highest grant, which is an
 * eighth of the 64 connections that an endpoint allows for its 8 slots.
 */
void
instance_set_granted(instance_t *instance, uint32_t granted)
{
	instance->granted = granted;
	if (granted > 0)
		return;
	gw_target_unref(instance->target);
	instance->target = NULL;
}

/*
 * Counts an attempt as in flight. was_time_bound is set when the instance is
 * time-bound now; the attempt then ends at the hard deadline. The same value
 * must be passed to instance_attempt_ended().
 */
void
instance_attempt_started(instance_t *instance, bool was_time_bound)
{
	instance->in_flight++;
	instance->counts.started++;
	if (!was_time_bound)
		instance->in_flight_not_time_bound++;
}

/*
 * Counts an attempt as ended.
 */
void
instance_attempt_ended(instance_t *instance, bool was_time_bound)
{
	instance->in_flight--;
	if (!was_time_bound)
		instance->in_flight_not_time_bound--;
}

/*
 * Adds a service time to the moving average.
 */
void
instance_record_service_time(instance_t *instance, uint64_t service_us)
{
	int64_t service_mean_us = instance->service_mean_us;

	if (service_mean_us == 0)
		service_mean_us = (int64_t)service_us;
	else
		service_mean_us += ((int64_t)service_us - service_mean_us) >>
		    SERVICE_MEAN_SHIFT;
	instance->service_mean_us =
	    (uint32_t)CLAMP(service_mean_us, 1, UINT32_MAX);
}

/*
 * Sends no requests to the instance for a short time, after an attempt that
 * could not be sent or was refused.
 */
void
instance_back_off(instance_t *instance)
{
	instance->backoff_until_us = gw_rt_now_us(instance->rt) + BACKOFF_US;
}

/*
 * Returns the number of attempts in flight to report to the planner. On an
 * active time-bound instance only those count that started before it was
 * time-bound, because the hard deadline does not end them. After a reduced
 * grant all of them count as long as they exceed it, since the planner keeps
 * that many slots reserved.
 */
uint32_t
instance_reported_in_flight(const instance_t *instance)
{
	if (instance->state == MEMBER_ACTIVE && instance->time_bound &&
	    instance->in_flight <= instance->granted)
		return instance->in_flight_not_time_bound;
	return instance->in_flight;
}

/*
 * Returns whether Ack and Heartbeat must name the instance. The planner waits
 * for the end of attempts on an instance that is not active or not in the view,
 * of attempts that exceed a reduced grant, and of attempts that started before
 * the instance was time-bound.
 */
bool
instance_needs_report(const instance_t *instance)
{
	if (instance->state != MEMBER_ACTIVE || !instance->in_view)
		return true;
	return instance->in_flight > instance->granted ||
	    (instance->time_bound && instance->in_flight_not_time_bound > 0);
}
