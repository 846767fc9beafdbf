#!/bin/sh
# Guards against a team that runs more than its quota over two pools, whose owners
# start tasks each by itself, and against quota that stays where it is not needed:
# in calm, after the owner that holds a part is killed, and while the store is away.
. ./lib.subr
. ./quota.subr

work_ms=300
start_all 3
until_true 10 owns_both
echo "both pools want the whole quota of 4 cores:"
watch_most 8 "$tmp/most" &
watch=$!
for i in $(seq 1 6); do
	until_true 15 is_handed_in 1 q "$i" ""
	until_true 15 is_handed_in 2 r $((i + 1000)) ""
done
until_true 20 all_done 1 1 6
wait $watch
[ "$(cat "$tmp/most")" -le 5000 ] && echo "never more than 5 ran"
[ "$(cat "$tmp/most")" -ge 3000 ] && echo "3 and more did"

echo "one pool alone gets all of it:"
until_true 15 is_handed_in 1 q 20 "ms=6000"
until_true 5 runs_at_least 4000
until_true 20 is_done 1 q 20

echo "an owner is killed while its team runs, and the other pool wants more:"
owner=$(for n in 1 2 3; do
	curl -s -m 1 "http://127.0.0.1:$((28520 + n))/metrics" |
	    grep -q '^gw_entry_pools [12]$' && echo $n
done | head -1)
other=$((owner % 3 + 1))
until_true 15 is_handed_in $other q 30 "ms=1500"
until_true 15 is_handed_in $other r 1030 "ms=1500"
eval "kill -9 \$pid_entry$owner"
watch_most 9 "$tmp/most" &
watch=$!
until_true 20 is_done $other q 30
until_true 20 is_done $other r 1030
wait $watch
[ "$(cat "$tmp/most")" -le 5000 ] && echo "never more than 5 ran"

echo "the store is away while the team needs more:"
store_fault '{"down":"refuse"}'
[ "$(curl -s -o /dev/null -w '%{http_code}' "$store/kv-key?key=op/config")" = 200 ] ||
    echo "it is"
hand_in $other q 40 "ms=300" >"$tmp/status"
[ "$(cat "$tmp/status")" = 200 ] && echo "accepted without a record"
sleep 1
store_fault '{"down":"no"}'
until_true 15 owns_both
until_true 15 is_handed_in $other q 40 "ms=300"
until_true 20 is_done $other q 40

echo "a lower quota stops no run, a higher one counts:"
until_true 15 is_handed_in $other q 50 "ms=20000"
until_true 5 runs_at_least 4000
config 2 1000
sleep 1
cores
config 3 8000
until_true 15 is_handed_in $other r 1050 "ms=20000"
until_true 5 runs_at_least 8000
doubles | jq -c '{doubles}'
