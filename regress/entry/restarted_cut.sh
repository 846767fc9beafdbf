#!/bin/sh
# Guards against a task that runs twice: workers crash and are back under their ids,
# starts that were meant for their former lives reach them, with deadlines on other
# clocks, and then the workers are cut off while their tasks run on.
. ./lib.subr
. ./cut.subr

first="0 1 2 3"

# begin ID LATE_MS: the starts of the job are carried out so much later, without a
# response, after the workers have crashed and are back.
begin()
{
	each "4 5" '"muted":true'
	sleep 5
	each "$first" "\"late_starts\":9,\"late_ms\":$2"
	until_true 10 four_tasks "$1" "$(owner)" ms=22000 || echo "not accepted"
	sleep 0.1
	each "$first" '"crash":true'
}

# cut ID: the workers are cut off, and two others come, each with room for a task.
# A start that was on its way to the former ones may be counted, too. The tasks may
# wait for as long as the starts without a response could still be carried out.
cut()
{
	starts=$(stat starts) doubles=$(stat doubles)
	each "$first" '"muted":true'
	each "4 5" '"muted":false'
	sleep 18
	[ $(($(stat starts) - starts)) -ge 2 ] && echo "started elsewhere"
	echo "doubles: $(($(stat doubles) - doubles))"
	each "$first" '"muted":false'
	end_job "$1"
}

worker_count=6
start_all 2
until_true 10 completed 1 255 255

begin 00000000000000d1 1500
sleep 1.8
cut 00000000000000d1

# Another owner finds the workers' next lives with these runs.
begin 00000000000000d2 1800
kill_owner
until_true 10 owner >/dev/null
sleep 0.3
cut 00000000000000d2
