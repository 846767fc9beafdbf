#!/bin/sh
# Guards against tasks that last and wait too long after their instance was lost,
# because all entry processes are killed at one moment when the store is back.
. ./leave.subr

# lose_all NUMBER...: ends all entry processes at one moment and starts these again.
lose_all()
{
	kill -KILL "$pid_entry1" "$pid_entry2" "$pid_entry3"
	sleep 0.5
	for n; do
		start_entry "$n"
	done
	calm_from_ms=$(now_ms)
}

# lose_fullest_without_store: the fullest instance ends; the store is away for 3 s.
lose_fullest_without_store()
{
	lost=$(fullest)
	fault "{\"worker\":$lost,\"leave_ms\":100}"
	until_true 2 has_left "$lost"
	store_fault '{"down":"refuse"}'
	sleep 3
	store_fault '{"down":"no"}'
}

start_lasting
lose_fullest_without_store
lose_all 1 2 3
run_again
fault '{"add":"p1","zone":"dc-a"}'
sleep 5
echo "the owner's process stays away"
last=$(last_to_gain)
lose_fullest_without_store
lose_all $(seq 3 | grep -v "$last")
run_again
doubles
