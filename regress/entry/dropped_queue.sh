#!/bin/sh
# Guards against a job that an old configuration takes for a dropped queue.
. ./lib.subr

is_dropped()
{
	[ "$(submit 1 "$(job_id 2)")" = 404 ]
}

start_all 1
start relay gwrelay --listen=127.0.0.1:28502 --to=127.0.0.1:28501 \
    --control=127.0.0.1:28503
store_port=28502 start_entry 2
until_true 10 ready 2
echo "both have the queue: $(submit 2 "$(job_id 1)")"
curl -s -o /dev/null -X POST http://127.0.0.1:28503/silent
put op/config '{"version":2,"routes":[],"services":[{"name":"p1","enforces_capacity":true}],"limits":{}}'
until_true 5 is_dropped && echo "the owner has dropped it: 404"
echo "the other has not: $(submit 2 "$(job_id 3)")"
echo "a job that it has: $(submit 2 "$(job_id 1)")"
