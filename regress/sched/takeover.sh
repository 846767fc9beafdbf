#!/bin/sh
# A new owner, and what it knows of the former one's runs.
. ./lib.subr

# Guards against a second run of a task whose order was sent, or lost, by the
# former owner: the instance's answer to the new fence decides.
play "an order of the former owner was lost" one <<'EOT'
submit j1 2:1000:500
commit
started i1 j1.0.0.0 1 ok
takeover
instance i1
tick
report i1 clock=300 run:j1.0.0.0:1:50
commit
EOT

# Guards against a second run while the first may go on behind a cut: without
# news of the former owner the wait covers its last holds as well.
play "an instance that cannot be reached is waited out" one <<'EOT'
submit j1 1:1000:500
commit
takeover
instance i1
instance i2 dc=dc-b
tick
report i2 clock=300
hold-failed i1 none
advance 8230
commit
advance 15
commit
EOT

play "and a shorter time when the former owner has surely gone" one <<'EOT'
submit j1 1:1000:500
commit
takeover former-gone
instance i1
instance i2 dc=dc-b
tick
report i2 clock=300
hold-failed i1 none
advance 4110
commit
advance 15
commit
EOT

# Guards against a wait that begins anew with every owner: each tells the next
# how long its leases run.
play "the former owner tells how long its leases run" one <<'EOT'
submit j1 1:1000:500
commit
takeover left ms=1500
instance i1
instance i2 dc=dc-b
tick
report i2 clock=300
hold-failed i1 none
advance 1540
commit
advance 15
commit
EOT

# Guards against an owner that stands still, is deposed, and goes on: it starts
# nothing after its lease, and holds nothing beyond the grace time.
play "an owner whose lease has ended" <<'EOT'
pool
lease 2000
instance i1
tick
report i1 clock=100
submit j1 2:1000:500
commit
started i1 j1.0.0.0 1 ok
started i1 j1.0.0.1 1 none
jump 3000
tick
report i1 clock=3100 run:j1.0.0.0:1:50
jump 2000
tick
lease 2000
tick
EOT

# Guards against a job that is lost, or not shown, after a takeover.
play "cancelled and finished jobs stay so" one <<'EOT'
submit j1 1:1000:500
submit j2 1:1000:500
commit
cancel j2
commit
takeover
state j1
state j2
instance i1
tick
report i1 clock=300 run:j1.0.0.0:1:50 run:j2.0.0.0:1:50
EOT

# Guards against news of an instance's earlier life that come late.
play "news of machines out of order" <<'EOT'
pool
instance new machine=m1 born=20
tick
report new clock=100 born=20
submit j1 1:1000:500
commit
started new j1.0.0.0 1 ok
instance old machine=m1 born=10
commit
instance newest machine=m1 born=30
commit
EOT
