#!/bin/sh
# Which jobs get room when the queues of a pool together submit more than it can
# do. The pool has one instance of 4 cores and 64 GiB.
. ./lib.subr

log=$(mktemp)
trap 'rm -f "$log"' EXIT

# half N: what five queues submit in half a second, about twice what the pool can
# do: urgent and usual jobs, each small or with four tasks, and one that needs
# little CPU and half of the instance's memory.
half()
{
	echo "submit us-$1 queue=us objective=1500 1:1000:500"
	echo "submit uw-$1 queue=uw objective=1500 4:1000:200"
	echo "submit ns-$1 queue=ns objective=1500 priority=1 1:1000:500"
	echo "submit nw-$1 queue=nw objective=1500 priority=1 4:1000:200"
	echo "submit nm-$1 queue=nm objective=1500 priority=1 memory=32768 1:100:400"
	echo "advance 500"
}

# load ORDER: twelve seconds, then time for all to end.
load()
{
	printf '%s\n' pool "order $1" 'alive x' 'instance i1' 'advance 100'
	for n in $(seq 24); do
		half "$n"
	done
	echo 'advance 6000'
	for n in $(seq 24); do
		for queue in us uw ns nw nm; do
			echo "state $queue-$n queue=$queue"
		done
	done
}

# summary: of each queue the jobs that were refused, and of the accepted ones
# those that ended in time (in 1.5 s and 1.6 times their estimate) or late.
summary()
{
	sed -n 's/.* \(SCHED_[A-Z]*\) /\1 /p' | awk '
	{ for (i = 2; i <= NF; i++) { split($i, kv, "="); v[kv[1]] = kv[2] }
	  split(v["job"], id, "-"); queue = id[1] }
	/^SCHED_REFUSED/ { refused[queue]++ }
	/^SCHED_ENDED/ {
		est = queue ~ /s/ ? 500 : queue == "nm" ? 400 : 200
		if (v["age_ms"] <= 1500 + est * 1.6) in_time[queue]++
		else late[queue]++
	}
	END {
		n = split("us uw ns nw nm", queues)
		for (i = 1; i <= n; i++) {
			q = queues[i]
			print q, "in time", in_time[q] + 0, "late", late[q] + 0,
			    "refused", refused[q] + 0
		}
	}'
}

# Guards against urgent jobs that pay as much as others when a pool is full, and
# against a kind of job that gets nothing at all.
for order in cpu priority; do
	echo "== five queues submit too much, order $order"
	load $order |
	    "$GW_TOP/build/${VARIANT:-release}/regress/sched/schedplay" \
		2>"$log" >/dev/null
	summary <"$log"
done

# Guards against a waiting urgent job that starts after others: it comes last and
# takes the most work.
for order in cpu priority; do
	play "the urgent job of three first, order $order" one <<EOT
order $order
submit j0 4:1000:500
commit
submit j1 priority=1 objective=9000 4:1000:400
submit j2 priority=1 objective=9000 4:1000:300
submit j3 objective=9000 4:1000:500
commit
report i1 end:1:j0.0.0.0:1:done end:2:j0.0.0.1:1:done end:3:j0.0.0.2:1:done end:4:j0.0.0.3:1:done
commit
EOT
done

# Guards against an order by CPU alone: j1 takes little of it, but the memory that
# two tasks of j2 need.
for order in cpu priority; do
	play "a job that fills the memory comes later, order $order" one <<EOT
order $order
submit j0 memory=60000 1:1000:500
commit
submit j1 memory=60000 objective=9000 1:500:400
submit j2 memory=20000 objective=9000 2:1000:300
commit
report i1 end:1:j0.0.0.0:1:done
commit
EOT
done

# starve ORDER: urgent jobs that are always in time and fill the pool for 20 s, and
# two usual jobs with a task as wide as the instance.
starve()
{
	printf '%s\n' pool "order $1" 'admission all' 'alive w' 'instance i1' \
	    'advance 100' 'submit w1 priority=1 1:4000:400' \
	    'submit w2 priority=1 1:4000:400'
	for n in $(seq 200); do
		echo "submit u$n objective=60000 1:1000:500"
		echo 'advance 100'
	done
}

# Guards against work that never gets room since there is always work in time. In
# the pool's order an overdue job has its turn as soon as others got more than 16
# times what overdue jobs took; an instance is kept free for its wide task.
for order in cpu priority; do
	echo "== an overdue job beside endless work in time, order $order"
	starve $order |
	    "$GW_TOP/build/${VARIANT:-release}/regress/sched/schedplay" \
		2>/dev/null | grep start
done
