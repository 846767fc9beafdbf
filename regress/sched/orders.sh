#!/bin/sh
# Orders without an answer, late orders, and when a run is settled.
. ./lib.subr

# Guards against a second run while a repeated order of the first is on its way:
# one order is refused as late, the other, with a later deadline, arrives.
play "a refusal settles nothing while another order is out" two <<'EOT'
submit j1 1:1000:500
commit
advance 410
started i1 j1.0.0.0 1 late
stopped i1 j1.0.0.0 1 none
advance 405
stopped i1 j1.0.0.0 1 ok
tick
# Asked before the stop was answered: proves nothing.
report i1 clock=900 sent=700
commit
advance 5
report i1 clock=920
commit
EOT

# Guards against an order that is refused and never sent elsewhere.
play "a refusal of the only order settles it" two <<'EOT'
submit j1 1:1000:500
commit
started i1 j1.0.0.0 1 refused
advance 25
commit
EOT

# Guards against a lost order being taken as not done, and sent elsewhere.
play "an order without an answer is repeated where it went" two <<'EOT'
submit j1 1:1000:500
commit
started i1 j1.0.0.0 1 none
advance 405
report i1 clock=505 run:j1.0.0.0:1:10
state j1
EOT

# Guards against a run that goes on for ever on an instance that is silent: a
# hold that has no answer must not extend the wait.
play "a silent instance is waited out once" two <<'EOT'
submit j1 1:1000:500
commit
started i1 j1.0.0.0 1 ok
advance 50
hold-failed i1 none
advance 160
hold-failed i1 none
advance 1000
hold-failed i1 none
advance 2900
hold-failed i1 none
advance 100
commit
advance 100
commit
EOT

# Guards against waiting for a lease where another life proves the end.
play "another life at the address ends the runs at once" two <<'EOT'
submit j1 1:1000:500
commit
started i1 j1.0.0.0 1 ok
advance 50
hold-failed i1 replaced
commit
EOT

# Guards against a run that starts on an instance that said that it leaves
# while the store wrote the record of the run.
play "no order goes to an instance that began to leave meanwhile" two <<'EOT'
submit j1 1:1000:500
tick
take
instance i1 leaving=7000
done
commit
EOT

# Guards against a gang of which one member is ordered and another is not.
play "a gang waits as a whole when one of its instances leaves" <<'EOT'
pool
instance i1 cpu=1000
instance i2 cpu=1000
instance i3 cpu=1000
tick
report i1 clock=100
report i2 clock=100
submit j1 2:1000:500:gang
tick
take
instance i2 leaving=7000
done
commit
report i3 clock=100
commit
EOT

# Guards against a run that starts on an instance that leaves, by an order that
# is repeated since the first had no answer.
play "an order without an answer is not repeated where an instance leaves" two <<'EOT'
submit j1 1:1000:500
commit
started i1 j1.0.0.0 1 none
instance i1 leaving=7000
advance 405
stopped i1 j1.0.0.0 1 ok
advance 5
report i1 clock=515
commit
EOT
