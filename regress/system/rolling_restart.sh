# Guards against requests that are lost or have their connection broken while
# all entry instances of a data centre are restarted one after the other under
# load.
. ./lib.subr
start_system
start_load 14000 17
for n in 1 2; do
	for kind in router fleet; do
		eval "pid=\$pid_$kind"1$n
		kill "$pid"
		wait "$pid"
		echo "$kind $n: exit status $?"
	done
	start_fleet 1 $n
	start_router 1 $n
	wait_for "entry instance $n is ready" 10 \
	    curl -sf -m 1 "http://127.0.0.1:2841$n/readyz"
done
verify_run 2 '"restart"'
