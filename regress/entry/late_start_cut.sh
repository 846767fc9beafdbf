#!/bin/sh
# Guards against a task that runs twice: a worker carries a start out late, in its
# next life, which is cut off before its owner hears of it. The run goes on for the
# longest lease from then. The same after a change of the owner between the lives.
# Nor may a task that lasts wait for such a start for longer than it may stand.
. ./lib.subr
. ./cut.subr

cut_off="0 1 2 3"
others="4 5"

started()
{
	[ $(($(stat starts) - starts)) -ge 2 ]
}

two_run()
{
	[ "$(stat running)" -ge 2 ]
}

# begin ID LATE_MS SPEC [MEMBER]: the starts are on their way to four workers; the
# two others do not respond.
begin()
{
	each "$others" '"muted":true'
	sleep 5
	each "$cut_off" "\"late_starts\":9,\"late_ms\":$2"
	until_true 10 four_tasks "$1" "$(owner)" "$3" "${4:-}" ||
	    echo "not accepted"
	sleep 0.1
}

# play ID [kill]: the workers crash, and are cut off before they are back, 1 s later.
play()
{
	begin "$1" 1500 ms=12000
	each "$cut_off" '"crash":true'
	sleep 0.2
	each "$cut_off" '"cut":true'
	[ -z "${2:-}" ] || kill_owner
	sleep 2
	starts=$(stat starts)
	[ "$(stat running)" -ge 3 ] && echo "carried out late"
	each "$others" '"muted":false'
	sleep 4.5
	echo "started elsewhere while they run: $(($(stat starts) - starts))"
	until_true 14 started && echo "started elsewhere"
	echo "doubles: $(stat doubles)"
	each "$cut_off" '"cut":false'
	end_job "$1"
}

worker_count=6
start_all 2
until_true 10 completed 1 255 255
play 00000000000000d1
play 00000000000000d2 kill

# The four workers are lost for good.
begin 00000000000000d3 60000 lasting ',"daemon":true'
each "$cut_off" '"muted":true'
lost_ms=$(date +%s%3N)
each "$others" '"muted":false'
until_true 10 two_run
stood_ms=$(($(date +%s%3N) - lost_ms))
echo "stood for $stood_ms ms" >&2
[ $stood_ms -le 7000 ] && echo "tasks that last run elsewhere after 7 s at most"
