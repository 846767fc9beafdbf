#!/bin/sh
# Guards against a part that two shards use, or that none does, when an owner is
# killed while it hands the part over and the store's responses are lost.
. ./lib.subr
. ./quota.subr

work_ms=300
start_all 3
until_true 10 owns_both
for round in 1 2 3; do
	until_true 15 is_handed_in 1 q "${round}0" "ms=400"
	until_true 10 is_done 1 q "${round}0"
	# Shard p1 has the quota still, and is asked for it.
	owner=$(for n in 1 2 3; do
		curl -s -m 1 "http://127.0.0.1:$((28520 + n))/metrics" |
		    grep -q '^gw_entry_pools [12]$' && echo $n
	done | head -1)
	other=$((owner % 3 + 1))
	watch_most 6 "$tmp/most" &
	watch=$!
	store_fault '{"lose_answers":4}'
	hand_in $other r "${round}1" "ms=1500" >"$tmp/status"
	sleep 0.1
	eval "kill -9 \$pid_entry$owner"
	store_fault '{"lose_answers":0}'
	until_true 15 is_handed_in $other r "${round}1" "ms=1500"
	until_true 15 is_done $other r "${round}1"
	wait $watch
	[ "$(cat "$tmp/most")" -le 5000 ] || echo "ran $(cat "$tmp/most")"
	start_entry "$owner"
	until_true 10 ready "$owner"
	until_true 10 owns_both
	echo "round $round"
done
echo "one pool alone gets all of it:"
until_true 15 is_handed_in 1 q 90 "ms=6000"
until_true 5 runs_at_least 4000
doubles | jq -c '{doubles}'
