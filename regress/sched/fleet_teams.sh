#!/bin/sh
# Guards against a rate of submissions that stays when a shard's new owner, whose
# counts begin at 0, no longer reports the team.
. ./lib.subr

play_fleet "rates are averages over a second, of all pools" <<'EOF'
fleet lend
pool p
pool q
load p team:a:0
load q team:a:0
advance 500
load p team:a:100
load q team:a:50
rates
advance 500
load p team:a:200
load q team:a:100
rates
EOF

play_fleet "a team that is not reported any more" <<'EOF'
fleet lend
pool p
pool q
load p team:a:0
advance 500
load p team:a:500
rates
advance 500
load p
advance 500
load p
advance 500
load p
rates
advance 500
load p team:a:10
rates
EOF

play_fleet "a pool that does not report" <<'EOF'
fleet lend
pool p
pool q
load p team:a:0
advance 500
load p team:a:500
advance 1000
rates
EOF
