#!/bin/sh
# Guards against a start without a response that the next incarnation of its
# instance carries out after the run is over.
. ./lib.subr

play "a run that is done is stopped on the next incarnation" one <<'EOF'
submit j1 1:1000:500
commit
started i1 j1.0.0.0 1 none
advance 405
started i1 j1.0.0.0 1 ok
advance 100
report i1 clock=600 end:1:j1.0.0.0:1:done
commit
state j1
instance i1 born=2
tick
submit j2 1:1000:500
commit
stopped i1 j1.0.0.0 1 none
advance 400
stopped i1 j1.0.0.0 1 ok
report i1 clock=500 born=2
commit
instance i1 born=3
tick
EOF

play "one whose lease has expired, too" two <<'EOF'
submit j1 1:1000:500
commit
started i1 j1.0.0.0 1 none
advance 50
renew-failed i1 none
advance 300
report i2 clock=450
gone i1
renew-failed i1 none
advance 13200
report i2 clock=13700
commit
instance i1 born=2
tick
EOF

play "a start that was answered late is not waited for" one <<'EOF'
submit j1 1:1000:500
commit
report i1 clock=200 run:j1.0.0.0:1:10
started i1 j1.0.0.0 1 ok
report i1 clock=300 end:1:j1.0.0.0:1:done
commit
submit j2 1:1000:500
commit
started i1 j2.0.0.0 1 none
advance 405
started i1 j2.0.0.0 1 ok
report i1 clock=900 end:2:j2.0.0.0:1:done
commit
started i1 j2.0.0.0 1 ok
instance i1 born=2
tick
EOF

play "a start that was carried out is not waited for though its response was lost" one <<'EOF'
submit j1 1:1000:500
commit
started i1 j1.0.0.0 1 none
report i1 clock=200 run:j1.0.0.0:1:10
report i1 clock=300 end:1:j1.0.0.0:1:done
commit
instance i1 born=2
tick
EOF

play "a start is forgotten after a minute" one <<'EOF'
submit j1 1:1000:500
commit
started i1 j1.0.0.0 1 none
advance 405
started i1 j1.0.0.0 1 ok
report i1 clock=600 end:1:j1.0.0.0:1:done
commit
jump 61000
tick
instance i1 born=2
tick
EOF

play "an instance that has gone is remembered, and its job's tasks may be freed" one <<'EOF'
submit j1 1:1000:500
commit
started i1 j1.0.0.0 1 none
advance 405
started i1 j1.0.0.0 1 ok
report i1 clock=600 end:1:j1.0.0.0:1:done
commit
gone i1
advance 1000
instance i1 born=2
tick
stopped i1 j1.0.0.0 1 ok
gone i1
report i1 clock=600 born=2
jump 61000
tick
EOF

# The stop has the answer of the incarnation that has ended in the meantime.
play "a stop counts for the incarnation that it was sent to" one <<'EOF'
submit j1 1:1000:500
commit
started i1 j1.0.0.0 1 none
advance 405
started i1 j1.0.0.0 1 ok
report i1 clock=600 end:1:j1.0.0.0:1:done
commit
instance i1 born=2
tick
instance i1 born=3
stopped i1 j1.0.0.0 1 ok
tick
commit
tick
EOF

# two_records OLD NEW: the first job has run on an incarnation that has ended, and
# may be started late by the present one, which runs the second one. The next
# owner reads the records in the order of the names.
two_records()
{
	cat <<EOF
submit $1 1:1000:500
commit
started i1 $1.0.0.0 1 none
advance 405
started i1 $1.0.0.0 1 ok
advance 300
report i1 clock=800 run:$1.0.0.0:1:10
commit
instance i1 born=2
tick
report i1 clock=100 born=2
submit $2 1:1000:500
commit
started i1 $2.0.0.0 1 ok
takeover previous-gone
instance i1 born=2
tick
advance 5
report i1 clock=200 born=2 run:$1.0.0.0:1:10 run:$2.0.0.0:1:10
commit
advance 500
report i1 clock=700 born=2 run:$2.0.0.0:1:10 end:1:$1.0.0.0:1:stopped
commit
EOF
}

# Guards against a run that a new owner takes for ended with an incarnation, while
# the present one has it, or may carry out its start.
two_records j1 j2 | play "records of two incarnations" one
two_records j2 j1 | play "records of two incarnations, the later one first" one
