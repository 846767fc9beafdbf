#!/bin/sh
# Guards against a job that runs after its cancel was acknowledged, since its
# submission was still on its way.
. ./lib.subr

play "the submission is accepted, shown as cancelled and not run" one <<'EOT'
cancel j1
commit
state j1
pending
cancel j1
submit j1 1:1000:500
state j1
commit
state j1
cancel j1
EOT

play "also by the next owner, and before the cancel is in the store" one <<'EOT'
cancel j1
cancel j2
submit j2 1:1000:500
commit
takeover
state j1
state j2
submit j1 1:1000:500
resubmit j1
commit
takeover
state j1
EOT

play "it is forgotten after the time for which states are kept" one <<'EOT'
cancel j1
commit
advance 120000
commit
submit j1 1:1000:500
commit
EOT

play "a cancel that is not written is not acknowledged" one <<'EOT'
cancel j1 key=00000000000000aa
tick
outdated
moved 00000000000000aa
state j1
submit j1 1:1000:500
commit
EOT
