#!/bin/sh
# What each team gets of a pool that is full, with and without shares. The load:
# 19 teams submit a job each second, and one submits ten; each job takes a core for
# half a second, and the pool has 4 cores, so it does 8 of 29 jobs a second.
. ./lib.subr

teams=$(seq -f 't%02.0f' 1 19)

# second NUMBER HOT: what is submitted in one second, in ten parts.
second()
{
	for part in 0 1 2 3 4 5 6 7 8 9; do
		i=0
		for team in $teams; do
			i=$((i + 1))
			[ $((i % 10)) -eq $part ] &&
			    echo "submit j$team-$1 team=$team 1:1000:500"
		done
		[ "$2" -gt 0 ] && echo "submit jhot-$1-$part team=hot 1:1000:500"
		echo "advance 100"
	done
}

# load HOT RATE: six seconds, then time for all to end, then the states.
load()
{
	echo pool
	echo "alive j"
	echo "instance i1"
	echo "advance 100"
	echo "teams hot:1 $(for team in $teams; do printf '%s:1 ' "$team"; done)"
	for n in 1 2 3 4 5 6; do
		[ $n -gt 1 ] && echo "rate hot $2"
		second $n "$1"
	done
	echo "advance 4000"
	for n in 1 2 3 4 5 6; do
		for team in $teams; do
			echo "state j$team-$n team=$team"
		done
		for part in 0 1 2 3 4 5 6 7 8 9; do
			[ "$1" -gt 0 ] && echo "state jhot-$n-$part team=hot"
		done
	done
}

# summary: jobs accepted and refused, and those that ended, of the team that
# submits more and of the others.
summary()
{
	awk '/ reply / || / state / {
		who = $3 ~ /^jhot/ ? "hot" : "others"
		n[who " " $2 " " $4]++
		split($3, id, "-")
		if ($2 == "reply" && $4 == "ok") got[id[1]]++
	}
	END {
		for (key in n) print key, n[key]
		least = 1000
		for (team in got) if (team != "jhot") {
			if (got[team] < least) least = got[team]
			if (got[team] > most) most = got[team]
			teams++
		}
		print "of the others", teams, "got", least, "to", most, "jobs accepted"
	}' | sort
}

# share POLICY: plays standard input under the policy.
share()
{
	sed "s/^pool$/&\nsharing $1/" |
	    "$GW_TOP/build/${VARIANT:-release}/regress/sched/schedplay" 2>/dev/null |
	    summary
}

for sharing in none weighted; do
	echo "== one team submits ten times its share, sharing $sharing"
	load 10 10 | share $sharing
done

# Guards against a team that is held to its share while there is room.
echo "== there is room for all that a team submits beyond its share"
{
	echo pool
	echo "alive j"
	echo "instance i1"
	echo "advance 100"
	echo "teams hot:1 t01:1"
	echo "rate hot 6"
	for n in 1 2 3 4 5 6; do
		echo "submit jhot-$n team=hot 1:1000:500"
		echo "advance 160"
	done
	echo "submit jt01-1 team=t01 1:1000:500"
	echo "advance 2000"
} | share weighted

# Guards against jobs beyond a share that are placed before those within one: the
# instance is full, and what is within a share starts first although it came last.
play "a job within its team's share starts before one beyond" one <<'EOF'
teams a:0 b:1
submit j0 4:1000:500
commit
rate a 5
submit j1 team=a 4:1000:400
submit j2 team=b 4:1000:500
submit j3 team=a 4:1000:300
commit
report i1 end:1:j0.0.0.0:1:done end:2:j0.0.0.1:1:done end:3:j0.0.0.2:1:done end:4:j0.0.0.3:1:done
commit
EOF

play "teams take turns by their weights" one <<'EOF'
teams a:1 b:3
submit j0 4:1000:500
commit
submit a1 team=a objective=9000 4:1000:500
submit a2 team=a objective=9000 4:1000:500
submit b1 team=b objective=9000 4:1000:500
submit b2 team=b objective=9000 4:1000:500
submit b3 team=b objective=9000 4:1000:500
commit
report i1 end:1:j0.0.0.0:1:done end:2:j0.0.0.1:1:done end:3:j0.0.0.2:1:done end:4:j0.0.0.3:1:done
commit
EOF
