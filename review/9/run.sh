#!/bin/bash
# A minion crashes a moment after it has begun a task, starts again, and crashes
# again. No run of the task has ended failed, so its job must not be failed.
case_dir=$(cd "$(dirname "$0")" && pwd)
. "$case_dir/../standin-2/lib.sh"
control=127.0.0.1:$((base + 49))
id=0000000000000f01
crashes_max=5

# running: prints the tasks that run, one a line.
running()
{
	call GET "$control" /running | grep -o '[0-9a-f]\{16\}\.[0-9.]*'
}

runs_are()
{
	[ "$(running | wc -l)" = "$1" ]
}

# idle: prints the numbers of the minions that run nothing.
idle()
{
	call GET "$control" /workers | tr '{' '\n' |
	    sed -n 's/.*"id": *"w-\([0-9]*\)".*"runs": *0.*/\1/p'
}

has_begun()
{
	running | grep -q "$id"
}

start_store
start workers "$bin/gwworkerd" --store="$store" --workers=8 --pool=p1 \
    --listen="127.0.0.1:$((base + 50))" --control="$control" --work-ms=90000
config 1 "$(route r-q /q/ p1),$(route r-long /long/ p1)" p1 >/dev/null
for n in 1 2; do
	start_entry $n
done
for n in 1 2; do
	until_true 15 is_ready $n || unable "not ready"
done
until_true 15 owner_of p1 || unable "no owner"
is_long_accepted()
{
	[ "$(status_of "$(queue=/long/ client 1 POST 00000000000000f0 "$(job cpu=4000 7 4000)")")" = 200 ]
}
until_true 20 is_long_accepted || unable "no job accepted"
until_true 10 runs_are 7 || unable "the long tasks do not run"
sleep 2
number=$(idle)
note "the minion with room: w-$number"
[ "$(status_of "$(client 1 POST $id '{"spec":"cpu=1000 ms=1000","steps":[{"count":1,"cpu":1000,"mem_mb":10,"estimated_ms":1000}]}')")" = 200 ] ||
    unable "no job accepted"
crashes=0
while [ "$trouble" != 0 ] && [ $crashes -lt $crashes_max ]; do
	until_true 8 has_begun || break
	call POST "$control" /control "{\"worker\":$number,\"crash\":true}" >/dev/null
	crashes=$((crashes + 1))
	note "w-$number crashes while it runs the task: $crashes"
	sleep 0.2
done
state=
for sample in 1 2 3 4 5 6 7 8 9 10; do
	sleep 1
	state=$(client 2 GET $id)
	case $state in *completed*|*failed*) break ;; esac
done
note "stats: $(call GET "$control" /stats)"
note "the owner: $(grep -h "$id" "$tmp"/entry*.out | grep -o '[A-Z]*_[A-Z_]* job.*' | cut -c1-120 | tr '\n' '|')"
echo "state after $crashes crashes of one minion, no run ended failed: $state"
case $state in *failed*) exit 1 ;; esac
exit 0
