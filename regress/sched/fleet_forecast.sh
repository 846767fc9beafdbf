#!/bin/sh
# The lending policy that follows a forecast of demand, beside the baseline.
. ./lib.subr

STANDBY=$(for i in $(seq 10 39); do printf 'm%d:s::up ' "$i"; done)

# Replaces the names of the machines by their number.
count_moves()
{
	sed 's/move m[0-9]* /move /' | uniq -c | sed 's/^ *//'
}

# Load: one job of 8 tasks of 6.7 cores, 112 core seconds, in a quiet pool. Guards
# against a job that is taken for the beginning of a steep rise: it can use 54
# cores, four machines.
for lending in rate forecast; do
	play_fleet "lending policy $lending: one large job" <<EOT | count_moves
fleet $lending
pool p
pool s standby
list m1:p:i1:up m2:p:i2:up $STANDBY
load p instances=2 i1 i2
advance 200
load p instances=2 waiting=112000 waiting_cpu=53600 i1 i2
advance 200
load p instances=2 used=32000 placed=67000 waiting=45000 waiting_cpu=21600
advance 200
EOT
done

# Load: work for 320 cores a second from one report to the next, ten times what the
# pool has. Guards against a bound that holds back machines in a real surge.
for lending in rate forecast; do
	play_fleet "lending policy $lending: a surge" <<EOT | count_moves
fleet $lending
pool p
pool s standby
list m1:p:i1:up m2:p:i2:up $STANDBY
load p instances=2 placed=100000
advance 200
load p instances=2 used=32000 placed=106400 waiting=57600 waiting_cpu=57600
advance 200
load p instances=2 used=32000 placed=112800 waiting=115200 waiting_cpu=115200
advance 100
EOT
done

# Prints the first COUNT reports of demand that rises for 8 s every 20 s.
print_turns()
{
	seq 0 $(($1 - 1)) | awk '{
		if ($1 % 100 < 40)
			total += 32000
		printf "load p instances=2 placed=%d i1 i2\nadvance 200\n", total
	}'
}

# Load: demand that rises every 20 s. Guards against machines that are ordered only
# once the work of a rise has arrived, although four rises came at that distance:
# the fifth begins at 80 s, and a move takes 1.5 s. Standby has machines from 76 s.
for lending in rate forecast; do
	echo "== lending policy $lending: the fifth rise"
	{
		printf '%s\n' "fleet $lending" 'pool p' 'pool s standby' \
		    "list m1:p:i1:up m2:p:i2:up"
		print_turns 410 | sed "760i list m1:p:i1:up m2:p:i2:up $STANDBY"
	} | "$GW_TOP/build/${VARIANT:-release}/regress/sched/fleetplay" 2>/dev/null |
	    awk '$2 == "move" { print $1 " first move"; exit }'
done

# Load: a pool with work after all processes were lost; half of its instances are in
# contact. Guards against machines that are switched off although callers, who
# send again, need them a second later.
for lending in rate forecast; do
	play_fleet "lending policy $lending: a new owner's first reports" <<EOT
fleet $lending
pool p
pool s standby
list m1:p:i1:up m2:p:i2:up m3:p:i3:up m4:p:i4:up m5:p:i5:up m6:p:i6:up
load p instances=4 used=4000 i3 i4
advance 1000
load p instances=5 used=4000 i3 i4
advance 1000
load p instances=6 used=4000 i3 i4 i5 i6
advance 600
EOT
done

# Load: a surplus while the store does not take orders. Guards against machines that
# are drained, and so out of use, for a move to standby that can't be ordered.
play_fleet "a pool keeps its machines while orders are unavailable" <<'EOT'
fleet forecast
pool p
pool s standby
list m1:p:i1:up m2:p:i2:up m3:p:i3:up m4:p:i4:up
orders off
load p instances=4 i1 i2 i3 i4
advance 1000
load p instances=4 i1 i2 i3 i4
advance 1000
orders on
load p instances=4 i1 i2 i3 i4
advance 1000
load p instances=4 i1 i2 i3 i4
advance 800
EOT
