#!/bin/sh
# Guards against a record that the store refuses, which stops all jobs of a pool.
. ./lib.subr

play "due occurrences beyond the limit wait" one <<'EOF'
submit j1 repeats=100000 first=0 interval=0 64:1000:500
commit
stored j1
EOF

play "a store that takes less" <<'EOF'
pool value=2000
instance i1
tick
report i1 clock=100
submit j1 repeats=100000 first=0 interval=0 4:1000:500
commit
stored j1
EOF

# Each occurrence has one task, and the next one is due when it is done.
play "done occurrences leave the record, and do not run again" one <<'EOF'
submit j1 repeats=4 first=0 interval=100 1:1000:50
commit
started i1 j1.0.0.0 1 ok
report i1 clock=150 end:1:j1.0.0.0:1:done
commit
advance 100
commit
stored j1
started i1 j1.1.0.0 1 ok
report i1 clock=250 end:2:j1.1.0.0:1:done
commit
advance 100
commit
stored j1
report i1 clock=260 end:2:j1.1.0.0:1:done
started i1 j1.2.0.0 1 ok
takeover previous-gone
instance i1
tick
advance 5
report i1 clock=300 run:j1.2.0.0:1:10
commit
report i1 clock=350 end:3:j1.2.0.0:1:done
commit
advance 100
commit
started i1 j1.3.0.0 1 ok
report i1 clock=450 end:4:j1.3.0.0:1:done
commit
state j1
EOF

play "checkpoints that do not fit are left out" <<'EOF'
pool value=300
instance i1
tick
report i1 clock=100
submit j1 1:1000:500:saves 1:1000:500:saves
commit
started i1 j1.0.0.0 1 ok
report i1 clock=200 end:1:j1.0.0.0:1:stopped:short
commit
stored j1
started i1 j1.0.0.0 2 ok
report i1 clock=300 end:2:j1.0.0.0:2:stopped:xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx
commit
stored j1
EOF

play "a new job whose record is refused does not stop others" one <<'EOF'
submit j1 key=00000000000000aa 1:1000:500
submit j2 key=00000000000000aa 1:1000:500
refuse
take
done
refuse
state j2
submit j2 key=00000000000000aa 1:1000:500
commit
submit j3 key=00000000000000bb 1:1000:500
refuse
submit j4 key=00000000000000bb 1:1000:500
commit
EOF

play "a recorded job whose record is refused is set aside" one <<'EOF'
submit j1 1:1000:500 1:1000:500
submit j2 1:1000:500 1:1000:500
commit
started i1 j1.0.0.0 1 ok
started i1 j2.0.0.0 1 ok
report i1 clock=200 end:1:j1.0.0.0:1:done end:2:j2.0.0.0:1:done
refuse
refuse
commit
advance 1200
report i1 clock=1400 run:j2.0.1.0:1:10
submit j1 1:1000:500 1:1000:500
commit
advance 4000
report i1 clock=5400 run:j2.0.1.0:1:10
commit
commit
advance 1000
cancel j1
commit
EOF

play "a job that is set aside can be cancelled" one <<'EOF'
submit j1 1:1000:500 1:1000:500
commit
report i1 clock=200 end:1:j1.0.0.0:1:done
refuse
commit
cancel j1
commit
state j1
EOF
