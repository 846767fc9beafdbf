#!/bin/sh
# Guards against a job that never starts, since one of its tasks takes more than its
# team's quota leaves: while half of it is free, one such task may run.
. ./lib.subr

play "a task that takes more than the quota, with nothing else of the team" one <<'EOF'
teams a:1:1000
held a 1000 0
submit j1 team=a 1:1500:500
commit
quota
held a 1500 0
commit
submit j2 team=a 1:1500:500
commit
held a 1500 0
commit
EOF

play "and not while more than half is held elsewhere" one <<'EOF'
teams a:1:1000
held a 400 600
submit j1 team=a 1:1500:500
commit
held a 1500 600
commit
held a 1500 500
commit
EOF
