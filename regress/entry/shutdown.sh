#!/bin/sh
# Guards against a shutdown that cuts off a request, or that leaves the pool
# without an owner for longer than the handover takes.
. ./lib.subr

start_all 2
first=$(owner)
other=$((3 - first))
eval "kill \$pid_entry$first"
until_true 3 owns "$other" && echo "handed over"
echo "served by the one that stops: $(submit "$first" "$(job_id 1)")"
ready "$first" || echo "not ready any more"
until_true 10 completed "$other" 1 1 && echo "completed"
eval "wait \$pid_entry$first"
echo "exit $?"
doubles
