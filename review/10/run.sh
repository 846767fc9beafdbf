#!/bin/bash
# A service has 46 minions and three larger ones. One of the larger ones is lost for
# good. Jobs that fit on a larger one only must still run on the other two.
case_dir=$(cd "$(dirname "$0")" && pwd)
. "$case_dir/../standin-2/lib.sh"
small=127.0.0.1:$((base + 48)) big=127.0.0.1:$((base + 49))
finish_s=14

start_store
start big "$bin/gwworkerd" --store="$store" --workers=3 --pool=p1 --id-prefix=big \
    --listen="127.0.0.1:$((base + 40))" --control="$big" --cpu-millis=16000 \
    --work-ms=300
start small "$bin/gwworkerd" --store="$store" --workers=46 --pool=p1 --id-prefix=w \
    --listen="127.0.0.1:$((base + 50))" --control="$small" --cpu-millis=4000 \
    --work-ms=300
config 1 "$(route r-q /q/ p1)" p1 >/dev/null
for n in 1 2; do
	start_entry $n
done
for n in 1 2; do
	until_true 20 is_ready $n || unable "not ready"
done
is_served()
{
	for k in 1 2 3 4 5 6 7 8; do
		[ "$(status_of "$(client 1 POST 00000000000000f$k "$(job cpu=100 1 100)")")" = 200 ] ||
		    return 1
	done
}
until_true 30 is_served || unable "no job accepted"
sleep 2
note "layout: $(get gw/layout)"
note "larger minions: $(call GET "$big" /workers)"
if [ "$trouble" != 0 ]; then
	note "big-0 is lost for good"
	call POST "$big" /control '{"worker":0,"muted":true}' >/dev/null
fi
# The registry entry of a lost minion goes after three heartbeats.
sleep 7
note "registry: $(call GET "$store" '/kv-range?prefix=servers/big' | grep -o '"key": *"[^"]*"' | tr '\n' ' ')"
accepted=
for number in 1 2 3 4 5 6 7 8 9 10; do
	id=$(printf '%016x' $((0xa00 + number)))
	for n in 1 2 1 2; do
		[ "$(status_of "$(client $n POST "$id" '{"spec":"cpu=10000","steps":[{"count":1,"cpu":10000,"mem_mb":1000,"estimated_ms":300}]}')")" = 200 ] || continue
		accepted="$accepted $id"
		break
	done
done
[ -n "$accepted" ] || unable "no job accepted"
for second in $(seq 1 $finish_s); do
	sleep 1
	note "larger minions: $(call GET "$big" /stats); others: $(call GET "$small" /stats)"
done
lost=0
for id in $accepted; do
	for n in 1 2 1 2; do
		answer=$(client $n GET "$id")
		[ "$(status_of "$answer")" = 200 ] && break
	done
	case $answer in *completed*) ;; *) lost=$((lost + 1)) ;; esac
done
note "larger minions: $(call GET "$big" /workers)"
# shellcheck disable=SC2086
echo "of $(set -- $accepted; echo $#) accepted jobs, have not run $finish_s s later, with two idle minions that fit: $lost"
[ $lost = 0 ]
