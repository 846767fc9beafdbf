#!/bin/sh
# Guards against a shard that runs more of a team's jobs than the part of the
# team's quota that it holds, and against one that keeps what it does not use.
. ./lib.subr

play "nothing starts before the store shows a part, and no more than it" one <<'EOF'
teams a:1:4000
parts 2
submit j1 team=a 4:1000:500
commit
quota
held a 2000
commit
quota
held a 5000
commit
quota
EOF

play "jobs without a team, of a team without a quota, or removed, are not held" one <<'EOF'
teams a:1 b:1:4000
submit j1 1:1000:500
submit j2 team=a 1:1000:500
submit j3 team=b 1:1000:500
commit
teams a:1
commit
quota
EOF

play "what has become free is given back after a second, and at once when asked" one <<'EOF'
teams a:1:4000
parts 2
held a 4000
submit j1 team=a 3:1000:500
commit
started i1 j1.0.0.0 1 ok
started i1 j1.0.0.1 1 ok
started i1 j1.0.0.2 1 ok
quota
report i1 end:1:j1.0.0.0:1:done end:2:j1.0.0.1:1:done run:j1.0.0.2:1
commit
quota
advance 900
quota
advance 200
quota
yield a
quota
EOF

play "a lower quota stops nothing, and the next owner counts what runs" one <<'EOF'
teams a:1:4000
held a 4000
submit j1 team=a 3:1000:500
commit
teams a:1:1000
tick
takeover previous-gone
teams a:1:1000
quota
submit j2 team=a 1:1000:500
commit
quota
EOF

play "a gang starts once the part has room for all its members" one <<'EOF'
teams a:1:4000
held a 1000
submit j1 team=a 3:1000:500:gang
commit
quota
held a 3000
commit
EOF

play "a start without a response counts until its lease has ended" one <<'EOF'
teams a:1:4000
parts 100
held a 1000
submit j1 team=a 1:1000:500
commit
started i1 j1.0.0.0 1 none
advance 410
started i1 j1.0.0.0 1 ok
report i1 clock=500 end:1:j1.0.0.0:1:done
submit j2 team=a 1:1000:500
commit
quota
advance 5500
report i1 clock=6000
commit
EOF

play "what ends above a lowered quota is not replaced, and its part given back" one <<'EOF'
teams a:1:4000
held a 2000 2000
submit j1 team=a 4:1000:500
commit
started i1 j1.0.0.0 1 ok
started i1 j1.0.0.1 1 ok
teams a:1:1000
report i1 end:1:j1.0.0.0:1:done run:j1.0.0.1:1
commit
quota
held a 1000 0
commit
report i1 end:1:j1.0.0.0:1:done end:2:j1.0.0.1:1:done
commit
EOF

play "what is free is given back although the store is read again and again" one <<'EOF'
teams a:1:4000
parts 4
held a 4000
quota
advance 600
held a 4000
quota
advance 600
held a 4000
quota
EOF

play "a team that a version removes keeps its part until that is given back" one <<'EOF'
teams a:1:4000
parts 4
held a 4000
teams b:1
quota
advance 1100
quota
held a 0
teams b:1
quota
EOF

play "also if the write that gives it back may have been lost" one <<'EOF'
teams a:1:4000
parts 4
held a 4000
teams b:1
uncertain a
teams b:1
quota
held a 0
quota
EOF

play "a shard that is asked for a part that it does not know of reads the store" one <<'EOF'
teams a:1:3
parts 4
held a 0
quota
yield a
quota
EOF

play "a shard that is asked sees what others have used since a quota was set" one <<'EOF'
teams a:1:4000
held a 4000
submit j1 team=a 4:1000:500
commit
started i1 j1.0.0.0 1 ok
started i1 j1.0.0.1 1 ok
started i1 j1.0.0.2 1 ok
started i1 j1.0.0.3 1 ok
advance 1100
yield a
quota
held a 4000 3000
report i1 end:1:j1.0.0.0:1:done run:j1.0.0.1:1 run:j1.0.0.2:1 run:j1.0.0.3:1
submit j2 team=a 1:1000:500
commit
quota
EOF

play "after a quota is lowered nothing starts until the other parts are read" one <<'EOF'
teams a:1:4000
held a 2000 0
submit j1 team=a 4:1000:500
commit
started i1 j1.0.0.0 1 ok
started i1 j1.0.0.1 1 ok
teams a:1:2000
report i1 end:1:j1.0.0.0:1:done run:j1.0.0.1:1
commit
quota
held a 2000 1000
commit
held a 2000 0
commit
teams a:1:3000
quota
EOF
