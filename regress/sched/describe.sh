#!/bin/sh
# Guards against an operator who is told nothing, or something wrong, on why a job
# waits, and on what a team runs, holds and waits for. Each figure is compared with
# what the play has done.
. ./lib.subr

many=$(mktemp)
trap 'rm -f "$many"' EXIT

# shown TITLE BEGINNING: plays the script, and prints what operators see.
shown()
{
	play "$@" | grep -E '^==|^ *[0-9]+ (job|team) '
}

shown "a job that lacks quota, and one that has no room" one <<'EOT'
teams a:1:4000
held a 1000
submit j1 team=a 3:1000:500
submit j2 2:16000:500
commit
started i1 j1.0.0.0 1 ok
tick
describe j1
describe j2
team-views
EOT

shown "a pause after a failure, the runs so far, and the end" one <<'EOT'
submit j1 1:1000:500 1:1000:500
commit
started i1 j1.0.0.0 1 ok
advance 100
report i1 clock=200 end:1:j1.0.0.0:1:failed
describe j1
commit
advance 2000
commit
describe j1
cancel j1
commit
describe j1
describe j9
EOT

shown "a lease of an instance that is gone" one <<'EOT'
submit j1 1:1000:500
commit
started i1 j1.0.0.0 1 ok
gone i1
renew-failed i1 none
describe j1
EOT

shown "many tasks that wait for the same" one <<'EOT'
submit j1 2000:100000:500
commit
describe j1
EOT

shown "of 100 tasks that are placed, 64 are listed" <<'EOT' >"$many"
pool
instance i1 cpu=200000 mem=200000
tick
report i1 clock=100
submit j1 100:1000:500
commit
describe j1
EOT
sed 's/ i1:.*//' "$many"
grep -o ' i1:' "$many" | wc -l

shown "a job in another shard" <<'EOT'
pool
shard 1 2 other=p~0
instance i1
tick
report i1 clock=100
submit j1 1:10000:300
commit
advance 1100
describe j1
commit
describe j1
EOT

# Of what a team sends beyond its weight, a part is refused for its share; the rest
# is refused as anybody's is.
shown "refused for the share, and for overload" one <<'EOT'
teams a:1 b:1
rate a 4000
submit j1 1:4000:500
submit j2 1:4000:500
submit j3 team=a 1:4000:500
submit j4 team=a 1:4000:500
submit j5 team=a 1:4000:500
submit j6 team=b 1:4000:500
team-views
EOT

shown "a team that a version removes while it runs" one <<'EOT'
teams a:1:4000
held a 2000
submit j1 team=a 2:1000:500
commit
teams b:1
team-views
EOT
