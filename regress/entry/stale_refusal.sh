#!/bin/sh
# Guards against a 404 by a configuration that may have been replaced.
. ./lib.subr

# status: of a request to a queue that the configuration in force does not have.
status()
{
	curl -s -m 3 -o /dev/null -w '%{http_code}' -H "Host: $host" \
	    http://127.0.0.1:28511/new/
}

is_status()
{
	[ "$(status)" = "$1" ]
}

start_all 1
echo "the configuration is current: $(status)"
store_fault '{"down":"hang"}'
sleep 4
echo "the store does not respond: $(status)"
store_fault '{"down":"no"}'
until_true 10 is_status 404 && echo "the store responds again: 404"
config 2 ',{"name":"q2","host":"jobs.example","prefix":"/new/","service":"p1"}'
until_true 5 is_status 200 && echo "the queue was added: 200"
