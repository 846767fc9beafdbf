#!/bin/sh
# Starts that wait for the window of the process's link.
. ./lib.subr

# Guards against starts that wait on the link, where they delay renewals and
# cannot be taken back. The job with the least work goes first.
play "starts beyond the window wait in the order of their jobs" two <<'EOT'
window
submit j1 3:1000:500
submit j2 1:1000:400
commit
advance 20
# A response makes room for one more.
started i1 j2.0.0.0 1 ok
tick
started i1 j1.0.0.0 1 ok
tick
EOT

# Guards against a start on an instance that began to leave while the start
# waited. It was not sent, so the task is placed elsewhere without a wait.
play "a start that waits is taken back when its instance leaves" two <<'EOT'
window
submit j1 3:1000:500
commit
instance i1 leaving=7000
advance 5
commit
advance 5
started i1 j1.0.0.0 1 ok
tick
EOT

# Guards against a process that was suspended while starts waited, and sends
# them although another process may own the pool by then.
play "a start that waits is not sent after the owner's lease" two <<'EOT'
lease 1000
window
submit j1 3:1000:500
commit
jump 1500
started i1 j1.0.0.0 1 ok
tick
EOT

# Guards against repeats of starts that are only late, which make all that come
# after them later still: none while one is in flight, then at growing intervals.
play "a start is not repeated while it is in flight" two <<'EOT'
window
submit j1 1:1000:500
commit
advance 1000
started i1 j1.0.0.0 1 none
advance 5
report i1 clock=1100
started i1 j1.0.0.0 1 none
advance 500
report i1 clock=1600
advance 500
report i1 clock=2100
EOT

# Guards against a gang of which some members wait for the window, while the
# others wait for them on their instances and give up.
play "a gang is sent as a whole" two <<'EOT'
window
submit j1 1:1000:500
submit j2 4:500:500:gang
commit
started i1 j1.0.0.0 1 ok
tick
EOT

# Guards against a start that waits for a connection to its instance, and is sent
# after the task was given up there and started elsewhere: it ran twice. i1 has
# two starts in flight, so the third waits; it is taken back when the lease of i1
# has expired. The two may be carried out late, so their tasks wait for longer.
play "a start does not outlive the lease of its instance" one <<'EOT'
window 100
submit j1 3:1000:500
commit
advance 20
renew-failed i1 none
started i1 j1.0.0.0 1 none
started i1 j1.0.0.1 1 none
instance i2
tick
report i2 clock=100
commit
started i2 j1.0.0.2 2 ok
advance 300
report i2 clock=400 run:j1.0.0.2:2:10
advance 4000
commit
advance 9200
commit
EOT

# The baseline, which collapses on a slow link.
play "without a window a start is repeated though it is in flight" two <<'EOT'
submit j1 1:1000:500
commit
advance 1000
EOT
