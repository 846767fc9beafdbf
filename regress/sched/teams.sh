#!/bin/sh
# Guards against a team that sees or cancels another team's jobs, and against a
# job that is accepted by a key that has been withdrawn.
. ./lib.subr

play "a job is shown to its team only" one <<'EOF'
submit j1 team=a 1:1000:500
submit j2 1:1000:500
commit
state j1 team=a
state j1 team=b
state j2 team=b
cancel j1 team=b
state j1 team=a
submit j1 team=b 1:1000:500
submit j1 team=a 1:1000:500
EOF

play "also by the next owner, and once the job has ended" one <<'EOF'
submit j1 team=a 1:1000:500
submit j2 team=a 1:1000:500
commit
cancel j1 team=a
commit
takeover previous-gone
state j1 team=b
state j1 team=a
state j2 team=b
state j2 team=a
EOF

play "a cancel that comes first counts for the team's own submission" one <<'EOF'
cancel j1 team=a
commit
submit j1 team=b 1:1000:500
submit j1 team=a 1:1000:500
commit
state j1 team=a
EOF

play "a job whose key is withdrawn before it is recorded is refused" one <<'EOF'
submit j1 key=00000000000000aa team=a 1:1000:500
submit j2 key=00000000000000aa team=b 1:1000:500
withdrawn a
commit
state j1 team=a
state j2 key=00000000000000aa team=b
submit j3 key=00000000000000aa team=a 1:1000:500
commit
withdrawn a
state j3 team=a
EOF

play "a name that is too long, from another process, counts as none" one <<'EOF'
submit j1 team=aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa 1:1000:500
submit j2 team=aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa 1:1000:500
commit
team-loads
submit j3 team=b 1:1000:500
team-loads
EOF
