#!/bin/sh
# Guards against a job that cannot be found by its queue's new name, and against
# one that another pool cannot know of: the row of its queue is missing.
. ./lib.subr

play "the row of a queue is written with its first job" one <<'EOF'
submit j1 key=00000000000000aa 1:1000:500
submit j2 key=00000000000000aa 1:1000:500
submit j3 key=00000000000000bb 1:1000:500
take
done
submit j4 key=00000000000000bb 1:1000:500
take
done
EOF

# The job ends, and its record is removed after status_s.
play "the row of a queue is removed with its last job" one <<'EOF'
submit j1 key=00000000000000aa 1:1000:500
commit
cancel j1
commit
ended i1
advance 1000
submit j2 key=00000000000000bb 1:1000:500
commit
jump 120000
commit
submit j3 key=00000000000000aa 1:1000:500
take
done
EOF

play "the next owner removes the row with the last job" one <<'EOF'
submit j1 key=00000000000000aa 1:1000:500
submit j2 key=00000000000000aa 1:1000:500
commit
cancel j1
commit
takeover previous-gone
submit j3 key=00000000000000aa 1:1000:500
take
done
cancel j2
cancel j3
commit
commit
jump 121000
commit
EOF

play "a job is found by its queue's address after the queue got another name" one <<'EOF'
submit j1 queue=old key=00000000000000aa 1:9000:500
commit
state j1 queue=new key=00000000000000aa
state j1 queue=new key=00000000000000bb
pending queue=new key=00000000000000aa
pending queue=new key=00000000000000bb
takeover previous-gone
state j1 queue=new key=00000000000000aa
cancel j1 queue=new key=00000000000000bb
cancel j1 queue=new key=00000000000000aa
commit
takeover previous-gone
state j1 queue=new key=00000000000000aa
EOF

play "a submission that the pool may have accepted before" one <<'EOF'
resubmit j1
submit j1 key=00000000000000aa 1:1000:500
resubmit j1
take
resubmit j1
done
resubmit j1
cancel j1
commit
resubmit j1
EOF

# Guards against a job that is accepted by a configuration that has been replaced,
# and that no other process finds in this pool.
play "a new job of a queue that has moved is refused, and takes no room" one <<'EOT'
submit j1 key=00000000000000aa 1:3000:500
tick
outdated
moved 00000000000000aa
submit j2 key=00000000000000bb 1:3000:500
commit
state j1
EOT

play "so is one that no batch has taken yet, and one that was cancelled" one <<'EOT'
submit j1 key=00000000000000aa 1:3000:500
submit j2 key=00000000000000aa 1:1000:500
cancel j2
moved 00000000000000aa
tick
take
EOT

play "one that was accepted before stays, and another queue's is written again" one <<'EOT'
submit j1 key=00000000000000aa 1:1000:500
commit
submit j2 key=00000000000000bb 1:1000:500
tick
outdated
moved 00000000000000aa
commit
state j1
EOT
