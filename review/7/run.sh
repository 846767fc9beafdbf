#!/bin/bash
# An operator gives a route to another service while the open connections of one
# entry process to the store have gone silent. A job that this process accepts for
# the old service in the time that a configuration has, and that a client sends
# again seconds later at another node, must remain one job.
case_dir=$(cd "$(dirname "$0")" && pwd)
. "$case_dir/../standin-2/lib.sh"
control1=127.0.0.1:$((base + 48)) control2=127.0.0.1:$((base + 49))
id=00000000000000b1
queue=/moved/

runs_of()
{
	call GET "$1" /running | grep -o "$id[.0-9]*" | tr '\n' ' '
}

start_store
start p1 "$bin/gwworkerd" --store="$store" --workers=3 --pool=p1 --id-prefix=v \
    --listen="127.0.0.1:$((base + 50))" --control="$control1" --work-ms=6000
start p2 "$bin/gwworkerd" --store="$store" --workers=3 --pool=p2 --id-prefix=w \
    --listen="127.0.0.1:$((base + 60))" --control="$control2" --work-ms=6000
old="$(route r-q /q/ p1),$(route r-moved /moved/ p1)"
new="$(route r-q /q/ p1),$(route r-moved /moved/ p2)"
config 1 "$old" p1 p2 >/dev/null
for n in 1 2; do
	start "relay$n" "$bin/relay" $((base + n)) "$base"
	start_entry $n $((base + n))
done
until_true 15 is_ready 1 && until_true 15 is_ready 2 || unable "not ready"
until_true 15 owner_of p1 && until_true 15 owner_of p2 || unable "no owner"
is_served()
{
	[ "$(status_of "$(queue=/q/ client "$1" POST "00000000000000c$1" "$(job cpu=100 1 100)")")" = 200 ]
}
until_true 20 is_served 1 && until_true 20 is_served 2 || unable "no job accepted"
sleep 2
a=$(owner_of p1)
b=$((3 - a))
note "entry $a owns p1; entry $b is the other one"
if [ "$trouble" != 0 ]; then
	note "the open connections of entry $a to the store go silent; new ones work"
	eval "kill -USR1 \$pid_relay$a"
	sleep 0.05
fi
note "operator: version 2 gives $queue to p2: $(config 2 "$new" p1 p2)"
sleep 0.2
# A client of entry a; the bound of a configuration is 2 s.
first=$(client "$a" POST $id "$(job cpu=500 2 500)")
sleep 0.5
# The same request arrives again, at the other node.
again=$(client "$b" POST $id "$(job cpu=500 2 500)")
failed=0
for sample in $(seq 1 20); do
	one=$(runs_of "$control1") two=$(runs_of "$control2")
	note "running on p1: $one; on p2: $two"
	for task in $one; do
		case " $two " in *" $task "*) failed=1 ;; esac
	done
	sleep 0.1
done
[ "$(status_of "$first")" = 200 ] || [ "$(status_of "$again")" = 200 ] ||
    unable "the job was not accepted"
note "stats of p1: $(call GET "$control1" /stats)"
note "stats of p2: $(call GET "$control2" /stats)"
echo "a task ran twice at the same time: $failed"
exit $failed
