#!/bin/sh
# What callers get when jobs are admitted by an estimate of their end, and how good
# the estimate is. The pool has one instance of 4 cores and 64 GiB.
. ./lib.subr

log=$(mktemp)
trap 'rm -f "$log"' EXIT

# run: plays standard input, with the log in a file, which has no limit.
run()
{
	"$GW_TOP/build/${VARIANT:-release}/regress/sched/schedplay" 2>"$log"
}

# load ADMISSION STEP...: for six seconds ten jobs a second with these words.
load()
{
	printf '%s\n' pool "admission $1" 'alive x' 'instance i1' 'advance 100'
	shift
	for n in $(seq 60); do
		echo "submit j$n $*"
		echo 'advance 100'
	done
	printf '%s\n' 'advance 6000' estimates
}

# summary OBJECTIVE: what the callers got.
summary()
{
	awk -v objective="$1" '
	/SCHED_REFUSED/ { refused++ }
	/SCHED_ENDED/ {
		split($NF, unused, "=")
		for (i = 1; i <= NF; i++)
			if (split($i, kv, "=") == 2 && kv[1] == "age_ms")
				if (kv[2] + 0 <= objective) in_time++
				else late++
	}
	END {
		print "in time", in_time + 0, "late", late + 0, "refused",
		    refused + 0
	}' "$log"
}

# Guards against jobs that are accepted and end late since admission counts CPU
# only: of these, each takes half of the memory for half a second, so the pool does
# four a second of ten. Their objective is 1.4 s.
for admission in in-time estimate; do
	echo "== memory is scarce, admission $admission"
	load $admission memory=32768 1:100:500 | run | grep estimates
	summary 1400
done

# Guards against an estimate that leaves out what runs: each job takes all four
# cores for half a second, and the pool does two a second.
for admission in in-time estimate; do
	echo "== CPU is scarce, admission $admission"
	load $admission 4:1000:500 | run | grep estimates
	summary 1400
done

# Guards against a job that is told to wait for less than it will: twelve tasks of a
# core on four cores run in three waves.
echo '== a step wider than the room'
printf '%s\n' pool 'alive x' 'instance i1' 'advance 100' \
    'submit j1 12:1000:500' 'advance 3000' estimates | run | grep estimates
sed -n 's/.* SCHED_ENDED .* \(age_ms=.*\)/\1/p' "$log"

# Guards against a refusal because of work of a lower priority, and against one of
# higher priority that is not counted.
play 'a higher priority is not refused for a lower one' one <<'EOT'
submit j1 4:1000:1000
commit
submit j2 priority=1 4:1000:1000
submit j3 priority=1 4:1000:1000
submit j4 4:1000:1000
submit j5 priority=1 4:1000:1000
commit
EOT

# Guards against promises that nobody counts: j3 comes back after it was told to, and
# is accepted as late since nothing in time waits.
echo '== a promise that held'
{
	printf '%s\n' pool 'admission estimate' 'alive x' 'instance i1' \
	    'advance 100' 'submit j1 4:1000:1000' 'advance 10' 'submit j2 4:1000:1000' \
	    'submit j3 4:1000:1000' 'advance 2100' 'submit j3 4:1000:1000' \
	    'advance 2000' estimates
} | run | grep estimates

# Guards against a job that is accepted as in time although its team holds the quota
# for one task at a time: two of the team wait before it, for 0.9 s each. A
# job of another team finds room at once.
play 'a team waits by its quota' one <<'EOT'
admission estimate
teams a:9:1000 b:9
parts 2
held a 1000
submit a1 team=a 1:1000:500
submit a2 team=a objective=9000 1:1000:900
submit a3 team=a objective=9000 1:1000:900
commit
submit a4 team=a 1:1000:500
submit b1 team=b 1:1000:500
commit
EOT
