#include <string.h>

#include "gw/log.h"
#include "sched/impl.h"

/* A label that names a rack begins so. */
#define RACK_LABEL_PREFIX 'r'

/*
 * Returns the instance with this id; an unknown one is added as not listed. A
 * former owner may have held what runs there until shortly after it lost the
 * store, so its lease counts as lapsed only after that and one hold.
 */
sched_instance_t *
sched_instance_get(sched_pool_t *pool, const char *id)
{
	sched_instance_t *instance = g_hash_table_lookup(pool->instances, id);

	if (instance != NULL)
		return instance;
	instance = g_new0(sched_instance_t, 1);
	instance->pool = pool;
	g_strlcpy(instance->info.id, id, sizeof(instance->info.id));
	instance->tasks = g_ptr_array_new();
	instance->recorded =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	instance->lapse_us =
	    sched_pool_former_lapse_us(pool, id, gw_clock_now_us(pool->clock));
	g_hash_table_insert(pool->instances, instance->info.id, instance);
	return instance;
}

/*
 * Frees an instance on which nothing is placed.
 */
void
sched_instance_free(gpointer data)
{
	sched_instance_t *instance = data;

	g_ptr_array_free(instance->tasks, TRUE);
	g_hash_table_destroy(instance->recorded);
	g_strfreev(instance->info.labels);
	g_free(instance);
}

/*
 * Tells whether the instance may be given new work.
 */
bool
sched_instance_usable(const sched_instance_t *instance, uint64_t now_us)
{
	return instance->listed && instance->contacted &&
	    !instance->unreachable && !instance->info.leaving &&
	    now_us >= instance->avoid_until_us &&
	    now_us >= instance->drain_until_us;
}

/*
 * Tells whether a lasting task is placed on the instance.
 */
bool
sched_instance_hosts_lasting(const sched_instance_t *instance)
{
	for (guint i = 0; i < instance->tasks->len; i++)
		if (sched_task_step(instance->tasks->pdata[i])->lasting)
			return true;
	return false;
}

/*
 * Places the task on the instance and takes its room.
 */
void
sched_instance_take(sched_instance_t *instance, sched_task_t *task)
{
	const Gw__JobStep *step = sched_task_step(task);

	task->instance = instance;
	task->job->placed++;
	g_ptr_array_add(instance->tasks, task);
	instance->used.cpu_millis += sched_step_cpu(step);
	instance->used.memory_mib += step->memory_mib;
	instance->used.accelerators += step->accelerators;
}

/*
 * Takes the task from its instance and frees its room.
 */
void
sched_instance_release(sched_task_t *task)
{
	const Gw__JobStep *step = sched_task_step(task);
	sched_instance_t *instance = task->instance;

	instance->used.cpu_millis -= sched_step_cpu(step);
	instance->used.memory_mib -= step->memory_mib;
	instance->used.accelerators -= step->accelerators;
	g_ptr_array_remove_fast(instance->tasks, task);
	task->instance = NULL;
	task->job->placed--;
	task->confirmed_us = 0;
}

/*
 * Returns how long ms on an instance's clock may take here at the most.
 */
uint64_t
sched_drifted_us(uint64_t ms)
{
	return ms * GW_US_PER_MS * (1000 + SCHED_DRIFT_PERMILLE) / 1000;
}

/*
 * Estimates the instance's clock.
 */
uint64_t
sched_instance_clock_ms(const sched_instance_t *instance, uint64_t now_us)
{
	return instance->clock_ms +
	    (gw_elapsed_us(now_us, instance->clock_us)) / GW_US_PER_MS;
}

/*
 * Returns the deadline for an order that is sent now, and notes when the lease
 * that it grants has surely lapsed, should no answer come: the instance's clock
 * may lag behind the estimate by its drift.
 */
uint64_t
sched_instance_extend(sched_instance_t *instance, uint64_t now_us)
{
	uint64_t elapsed_us = gw_elapsed_us(now_us, instance->clock_us);
	uint64_t lag_us = elapsed_us * SCHED_DRIFT_PERMILLE / 1000;
	uint64_t left_us, lapse_us;

	instance->deadline_ms = MAX(instance->deadline_ms,
	    sched_instance_clock_ms(instance, now_us) + SCHED_HOLD_MS);
	left_us = (instance->deadline_ms - instance->clock_ms) * GW_US_PER_MS -
	    elapsed_us + lag_us;
	lapse_us = now_us + left_us * (1000 + SCHED_DRIFT_PERMILLE) / 1000;
	instance->lapse_us = MAX(instance->lapse_us, lapse_us);
	return instance->deadline_ms;
}

/*
 * Notes that an end is recorded, and moves the acknowledgement up to the first
 * that is not.
 */
void
sched_instance_ack(sched_instance_t *instance, uint64_t number)
{
	int64_t *key = g_new(int64_t, 1);
	int64_t next;

	*key = (int64_t)number;
	g_hash_table_add(instance->recorded, key);
	for (;;) {
		next = (int64_t)instance->ack_number + 1;
		if (!g_hash_table_remove(instance->recorded, &next))
			break;
		instance->ack_number++;
	}
	sched_instance_hold_at(
	    instance, gw_clock_now_us(instance->pool->clock) + GW_US_PER_S);
}

/*
 * Wants a hold at due_us, or earlier if that was wanted already.
 */
void
sched_instance_hold_at(sched_instance_t *instance, uint64_t due_us)
{
	if (instance->hold_due_us == 0 || due_us < instance->hold_due_us)
		instance->hold_due_us = due_us;
}

/*
 * Ends all runs of the instance: its life has ended, or its lease has lapsed.
 */
void
sched_instance_lost(sched_instance_t *instance, const char *reason)
{
	if (instance->tasks->len > 0)
		gw_log(GW_EV_INSTANCE_LOST,
		    "instance=%s pool=%s reason=%s runs=%u born=%" PRIu64,
		    instance->info.id, instance->pool->name, reason,
		    instance->tasks->len, instance->info.born_ms);
	while (instance->tasks->len > 0)
		sched_task_requeue(
		    instance->tasks->pdata[instance->tasks->len - 1], reason);
	instance->hold_due_us = 0;
}

/*
 * Forgets what belongs to one life of the instance.
 */
void
sched_instance_begin_life(sched_instance_t *instance, uint64_t born_ms)
{
	instance->info.born_ms = born_ms;
	instance->holding = false;
	instance->contacted = false;
	instance->unreachable = false;
	instance->seen_number = 0;
	instance->ack_number = 0;
	instance->clock_ms = 0;
	instance->deadline_ms = 0;
	instance->failed_in_row = 0;
	instance->avoid_until_us = 0;
	g_hash_table_remove_all(instance->recorded);
}

static const char *
find_rack(GStrv labels)
{
	const char *rack = NULL;

	for (char **label = labels; label != NULL && *label != NULL; label++)
		if ((*label)[0] == RACK_LABEL_PREFIX &&
		    strchr(*label, '-') != NULL)
			rack = *label;
	return rack;
}

/*
 * Takes the registry's entry of an instance: a new one, a change, or another
 * life under the same id.
 */
void
sched_pool_set_instance(sched_pool_t *pool, const sched_info_t *info)
{
	sched_instance_t *instance = sched_instance_get(pool, info->id);
	uint64_t now_us = gw_clock_now_us(pool->clock);
	bool is_new_life = instance->info.born_ms != info->born_ms;
	bool was_listed = instance->listed;

	if (is_new_life && instance->info.born_ms > info->born_ms)
		return; /* an entry of an earlier life */
	if (is_new_life) {
		sched_instance_lost(instance, "restarted");
		sched_instance_begin_life(instance, info->born_ms);
	}
	if (!was_listed || is_new_life ||
	    info->leaving != instance->info.leaving)
		gw_log(GW_EV_INSTANCE_LISTED,
		    "instance=%s pool=%s machine=%s address=%s born=%" PRIu64
		    " leaving=%d leaves_in_ms=%u cpu_millis=%" PRIu64,
		    info->id, pool->name, info->machine, info->address,
		    info->born_ms, info->leaving, info->leaves_in_ms,
		    info->capacity.cpu_millis);
	g_strfreev(instance->info.labels);
	instance->info = *info;
	instance->info.labels = g_strdupv(info->labels);
	instance->rack = find_rack(instance->info.labels);
	instance->listed = true;
	if (!instance->contacted)
		sched_instance_hold_at(instance, now_us);
}

/*
 * Takes the proof that an instance's life has ended: its machine was stopped,
 * or runs another instance.
 */
void
sched_pool_end_instance(sched_pool_t *pool, const char *id, const char *reason)
{
	sched_instance_t *instance = g_hash_table_lookup(pool->instances, id);

	if (instance == NULL)
		return;
	sched_instance_lost(instance, reason);
	instance->listed = false;
	instance->contacted = false;
}

/*
 * Takes the news that a machine runs an instance: earlier ones that it ran have
 * ended. News may come out of order, so the start of the life counts.
 */
void
sched_pool_machine_runs(sched_pool_t *pool, const sched_info_t *info)
{
	sched_instance_t *instance;
	GHashTableIter iter;

	if (info->machine[0] == '\0')
		return;
	g_hash_table_iter_init(&iter, pool->instances);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&instance))
		if (strcmp(instance->info.machine, info->machine) == 0 &&
		    instance->info.born_ms < info->born_ms)
			sched_pool_end_instance(
			    pool, instance->info.id, "machine-restarted");
}

/*
 * Takes the removal of the registry's entry. What runs there is held on as long
 * as the instance answers, and waited out otherwise.
 */
void
sched_pool_remove_instance(sched_pool_t *pool, const char *id)
{
	sched_instance_t *instance = g_hash_table_lookup(pool->instances, id);

	if (instance == NULL || !instance->listed)
		return;
	instance->listed = false;
	gw_log(GW_EV_INSTANCE_UNLISTED, "instance=%s pool=%s runs=%u", id,
	    pool->name, instance->tasks->len);
}

/*
 * Sends a hold. One to an instance that does not answer extends no lease:
 * otherwise the wait for its lapse would never end. Ends are acknowledged only
 * to an instance that was in contact just now: to another life under the same
 * id the number means another end.
 */
static void
send_hold(sched_instance_t *instance, uint64_t now_us)
{
	sched_pool_t *pool = instance->pool;
	bool is_busy = instance->tasks->len > 0;
	bool is_fresh = instance->contacted && !instance->unreachable &&
	    gw_elapsed_us(now_us, instance->report_us) < SCHED_ACK_FRESH_US;
	sched_hold_t hold = {
	    .instance = instance->info.id, .address = instance->info.address};

	if (is_busy && instance->clock_ms != 0 && !instance->unreachable &&
	    now_us < pool->ops->lease_until_us(pool->arg) +
		    pool->bounds.hold_grace_ms * GW_US_PER_MS)
		hold.deadline_ms = sched_instance_extend(instance, now_us);
	hold.ack_number = is_fresh ? instance->ack_number : 0;
	hold.wait_ms = is_fresh && is_busy ? SCHED_HOLD_WAIT_MS : 0;
	instance->holding = true;
	instance->hold_due_us = 0;
	instance->hold_sent_us = now_us;
	pool->ops->hold(&hold, pool->arg);
}

/*
 * Sends the hold that is due, and ends the runs of an instance that could not
 * be reached until its lease lapsed.
 */
void
sched_instance_tick(sched_instance_t *instance, uint64_t now_us)
{
	bool no_contact =
	    instance->unreachable || !instance->listed || !instance->contacted;

	if (instance->tasks->len > 0 && no_contact &&
	    now_us >= instance->lapse_us)
		sched_instance_lost(instance, "lapsed");
	if (!instance->holding && instance->hold_due_us != 0 &&
	    now_us >= instance->hold_due_us &&
	    instance->info.address[0] != '\0')
		send_hold(instance, now_us);
}

/*
 * Takes a failed hold. Another life at the address proves that this one has
 * ended; no answer proves nothing.
 */
void
sched_pool_hold_failed(
    sched_pool_t *pool, const char *id, sched_answer_t answer)
{
	sched_instance_t *instance = g_hash_table_lookup(pool->instances, id);
	uint64_t now_us = gw_clock_now_us(pool->clock);

	if (instance == NULL)
		return;
	instance->holding = false;
	if (answer == SCHED_ORDER_REPLACED) {
		sched_instance_lost(instance, "replaced");
		instance->contacted = false;
		instance->listed = false;
		return;
	}
	if (answer == SCHED_ORDER_FENCED) {
		pool->ops->fenced(id, pool->arg);
		return;
	}
	if (!instance->unreachable)
		gw_log(GW_EV_INSTANCE_UNREACHABLE,
		    "instance=%s pool=%s runs=%u lapse_ms=%" PRId64, id,
		    pool->name, instance->tasks->len,
		    ((int64_t)instance->lapse_us - (int64_t)now_us) / 1000);
	instance->unreachable = true;
	if (instance->listed || instance->tasks->len > 0)
		sched_instance_hold_at(instance, now_us + SCHED_HOLD_RETRY_US);
}
