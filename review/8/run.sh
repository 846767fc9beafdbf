#!/bin/bash
# The minions of a zone are cut off for at most 5.5 s, and starts to them get no response.
# Once they are back, jobs that only they have room for must run.
case_dir=$(cd "$(dirname "$0")" && pwd)
. "$case_dir/../standin-2/lib.sh"
control=127.0.0.1:$((base + 49))
cut_s=5.3
finish_s=14

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

# have_begun: succeeds if a task of each of the given jobs has begun.
have_begun()
{
	seen="$(call GET "$control" /running) $(call GET "$control" /done)"
	for id in "$@"; do
		case $seen in *"$id."*) ;; *) return 1 ;; esac
	done
}

# hand_in ID: a job with a task of 1,425 millicores and 1 s.
hand_in()
{
	[ "$(status_of "$(client 1 POST "$1" '{"spec":"cpu=1425 ms=1000","steps":[{"count":1,"cpu":1425,"mem_mb":10,"estimated_ms":1000}]}')")" = 200 ]
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
# 6 of 8 minions have 0.65 of their room in use: 0.49 of the service's.
is_long_accepted()
{
	[ "$(status_of "$(queue=/long/ client 1 POST 00000000000000f0 "$(job cpu=2600 6 2600)")")" = 200 ]
}
until_true 20 is_long_accepted || unable "no job accepted"
until_true 10 runs_are 6 || unable "the long tasks do not run"
sleep 2
zone=$(idle)
# shellcheck disable=SC2086
[ "$(set -- $zone; echo $#)" = 2 ] || unable "not two idle minions"
note "minions: $(call GET "$control" /workers)"
if [ "$trouble" != 0 ]; then
	for number in $zone; do
		note "minion w-$number is cut off"
		call POST "$control" /control "{\"worker\":$number,\"muted\":true}" >/dev/null
	done
fi
accepted=
for number in 1 2 3 4; do
	id=$(printf '%016x' $((0xf00 + number)))
	hand_in "$id" && accepted="$accepted $id"
done
sleep $cut_s
for number in $zone; do
	note "minion w-$number is back"
	call POST "$control" /control "{\"worker\":$number,\"muted\":false}" >/dev/null
done
note "minions: $(call GET "$control" /workers)"
sleep 4
for number in 5 6; do
	id=$(printf '%016x' $((0xf00 + number)))
	hand_in "$id" && accepted="$accepted $id"
done
[ -n "$accepted" ] || unable "no job accepted"
waited=0
# shellcheck disable=SC2086
until have_begun $accepted || [ $waited -ge $((finish_s * 10)) ]; do
	sleep 0.1
	waited=$((waited + 1))
done
note "minions: $(call GET "$control" /workers)"
note "running: $(running | tr '\n' ' ')"
lost=0
# shellcheck disable=SC2086
for id in $accepted; do
	client 1 GET "$id" >/dev/null
	have_begun "$id" || lost=$((lost + 1))
done
for number in $zone; do
	note "the owner of w-$number: $(grep -h "instance=w-$number " "$tmp"/entry*.out |
	    grep -o 'INSTANCE_[A-Z]* ' | tr '\n' ' ')"
done
# shellcheck disable=SC2086
echo "jobs that were accepted and have not begun $((finish_s + 4)) s after the cut, though two minions are idle: $lost of $(set -- $accepted; echo $#)"
[ $lost = 0 ]
