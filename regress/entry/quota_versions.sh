#!/bin/sh
# Guards against a quota that is lowered while tasks of two pools wait, and that the
# owners, each with the part that it had, go on using as it was.
. ./lib.subr
. ./quota.subr

work_ms=300
start_all 3
until_true 10 owns_both
for i in $(seq 1 8); do
	until_true 15 is_handed_in 1 q "$i" ""
	until_true 15 is_handed_in 2 r $((i + 1000)) ""
done
until_true 5 runs_at_least 3000
echo "a quota of 4 cores is lowered to 1:"
config 2 1000
# The bound on applying a version, and a run that has just begun by the older one.
sleep 3
watch_most 4 "$tmp/most"
[ "$(cat "$tmp/most")" -le 2000 ] || echo "ran $(cat "$tmp/most")"
[ "$(cat "$tmp/most")" -ge 1000 ] && echo "one core did"
echo "two versions at once, the higher one last:"
config 3 2000
config 4 4000
until_true 20 all_done 1 1 8
doubles | jq -c '{doubles}'
