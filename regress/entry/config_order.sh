#!/bin/sh
# Guards against entry processes that go back to an older configuration, or drop
# the one in force, when an older or a malformed one is written to the store.
. ./lib.subr

route()
{
	curl -s -o /dev/null -w '%{http_code}' -H "Host: $host" \
	    "http://127.0.0.1:$((28510 + $1))/new/"
}

has_route()
{
	[ "$(route 1)" = 200 ] && [ "$(route 2)" = 200 ]
}

start_all 2
echo "before: $(route 1) $(route 2)"
config 7 ',{"name":"q2","host":"jobs.example","prefix":"/new/","service":"p1"}'
until_true 5 has_route && echo "version 7 is in force"
config 7
config 5
put op/config '{"version":9,"routes":[{"name":"broken"}],"services":[]}'
sleep 1
echo "after the same, an older and a broken one: $(route 1) $(route 2)"
