#include <string.h>

#include "sched/impl.h"

/*
 * The record of a team's quota in the store, which has the parts of all shards.
 */

bool
sched_resources_equal(const sched_resources_t *x, const sched_resources_t *y)
{
	return x->cpu_millis == y->cpu_millis &&
	    x->memory_mib == y->memory_mib &&
	    x->accelerators == y->accelerators;
}

sched_resources_t
sched_quota_part(const Gw__QuotaRecord *record, const char *shard)
{
	sched_resources_t part = {0};

	for (size_t i = 0; record != NULL && i < record->n_parts; i++)
		if (strcmp(record->parts[i]->shard, shard) == 0)
			part = (sched_resources_t){record->parts[i]->cpu_millis,
			    record->parts[i]->memory_mib,
			    record->parts[i]->accelerators};
	return part;
}

/*
 * Returns whether half of a limit is neither used here nor held elsewhere. Then
 * one task may run that takes more than is left: else a team that runs little
 * would wait with a task of more than half its quota. No other shard can do the
 * same beside it.
 */
bool
sched_quota_is_half_free(uint64_t limit, uint64_t others, uint64_t used)
{
	return sched_quota_available(limit, others) >= used + limit - limit / 2;
}

/*
 * Returns what the shard can have of one member.
 */
static uint64_t
grant_member(uint64_t limit, uint64_t others, uint64_t used, uint64_t wanted,
    uint64_t largest)
{
	if (limit != 0 && sched_quota_is_half_free(limit, others, used))
		used += largest;
	return limit == 0
	    ? 0
	    : MAX(MIN(wanted, sched_quota_available(limit, others)), used);
}

sched_resources_t
sched_quota_others(const Gw__QuotaRecord *record, const char *shard)
{
	sched_resources_t others = {0};

	for (size_t i = 0; record != NULL && i < record->n_parts; i++) {
		const Gw__QuotaPart *part = record->parts[i];

		if (strcmp(part->shard, shard) == 0)
			continue;
		others.cpu_millis += part->cpu_millis;
		others.memory_mib += part->memory_mib;
		others.accelerators += part->accelerators;
	}
	return others;
}

sched_resources_t
sched_quota_grant(const Gw__QuotaRecord *record, const char *shard,
    const sched_quota_change_t *change)
{
	sched_resources_t others = sched_quota_others(record, shard);

	return (sched_resources_t){
	    grant_member(change->quota.cpu_millis, others.cpu_millis,
		change->used.cpu_millis, change->wanted.cpu_millis,
		change->largest.cpu_millis),
	    grant_member(change->quota.memory_mib, others.memory_mib,
		change->used.memory_mib, change->wanted.memory_mib,
		change->largest.memory_mib),
	    grant_member(change->quota.accelerators, others.accelerators,
		change->used.accelerators, change->wanted.accelerators,
		change->largest.accelerators)};
}

GBytes *
sched_quota_encode(const Gw__QuotaRecord *from, const char *shard,
    const sched_resources_t *part)
{
	g_autoptr(GPtrArray) parts = g_ptr_array_new();
	Gw__QuotaRecord record = GW__QUOTA_RECORD__INIT;
	Gw__QuotaPart own = GW__QUOTA_PART__INIT;
	size_t size_bytes;
	uint8_t *data;

	for (size_t i = 0; from != NULL && i < from->n_parts; i++)
		if (strcmp(from->parts[i]->shard, shard) != 0)
			g_ptr_array_add(parts, from->parts[i]);
	own.shard = (char *)shard;
	own.cpu_millis = part->cpu_millis;
	own.memory_mib = part->memory_mib;
	own.accelerators = part->accelerators;
	if (part->cpu_millis > 0 || part->memory_mib > 0 ||
	    part->accelerators > 0)
		g_ptr_array_add(parts, &own);
	if (parts->len == 0)
		return NULL;
	record.parts = (Gw__QuotaPart **)parts->pdata;
	record.n_parts = parts->len;
	size_bytes = gw__quota_record__get_packed_size(&record);
	data = g_malloc(size_bytes);
	gw__quota_record__pack(&record, data);
	return g_bytes_new_take(data, size_bytes);
}
