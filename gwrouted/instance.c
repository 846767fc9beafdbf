#include "instance.h"

/* Weight of the newest service time in the moving average: 1 / 8. */
#define RECENT_SHIFT 3
/* A refused connection needs some time to be accepted again. */
#define AVOID_US (200 * GW_US_PER_MS)

/*
 * Returns an instance without grants.
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
 * Frees an instance on which nothing is in flight.
 */
void
instance_free(instance_t *instance)
{
	gw_target_unref(instance->target);
	g_free(instance);
}

/*
 * Returns the target for attempts, made at the first use.
 */
gw_target_t *
instance_target(instance_t *instance)
{
	if (instance->target == NULL)
		instance->target = gw_target_new(instance->rt, &instance->addr,
		    GW_CONNECT_MS, instance->endpoint_idle_ms);
	return instance->target;
}

/*
 * Sets the slots that may be used. Connections are never more than the slots
 * granted at most, an eighth of the 64 that an endpoint has for its 8 slots;
 * without any grant the idle ones are closed.
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
 * Counts the start of an attempt. bound tells whether the instance is
 * time-bound, and the attempt so under the hard deadline.
 */
void
instance_started(instance_t *instance, bool bound)
{
	instance->in_flight++;
	instance->tally.started++;
	if (!bound)
		instance->in_flight_unbound++;
}

/*
 * Counts the end of an attempt.
 */
void
instance_ended(instance_t *instance, bool bound)
{
	instance->in_flight--;
	if (!bound)
		instance->in_flight_unbound--;
}

/*
 * Learns a service time.
 */
void
instance_served(instance_t *instance, uint64_t service_us)
{
	int64_t service_mean_us = instance->service_mean_us;

	if (service_mean_us == 0)
		service_mean_us = (int64_t)service_us;
	else
		service_mean_us +=
		    ((int64_t)service_us - service_mean_us) >> RECENT_SHIFT;
	instance->service_mean_us =
	    (uint32_t)CLAMP(service_mean_us, 1, UINT32_MAX);
}

/*
 * Keeps the instance out of the choice for a moment after a failed connect.
 */
void
instance_avoid(instance_t *instance)
{
	instance->avoid_until_us = gw_rt_now_us(instance->rt) + AVOID_US;
}

/*
 * Returns what the planner asks about: on an active time-bound instance the
 * attempts that began before it was time-bound, else all. Beyond a reduced
 * grant all count, because the planner keeps that many slots reserved.
 */
uint32_t
instance_reported_in_flight(const instance_t *instance)
{
	if (instance->state == MEMBER_ACTIVE && instance->time_bound &&
	    instance->in_flight <= instance->granted)
		return instance->in_flight_unbound;
	return instance->in_flight;
}

/*
 * Tells whether Ack and Heartbeat name the instance: it is not active, slots
 * are in use beyond the grant, or work of before its time bound goes on.
 */
bool
instance_needs_report(const instance_t *instance)
{
	if (instance->state != MEMBER_ACTIVE || !instance->in_view)
		return true;
	return instance->in_flight > instance->granted ||
	    (instance->time_bound && instance->in_flight_unbound > 0);
}
