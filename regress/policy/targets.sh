# Guards against missed targets of buffer cost, refusals and waves on the fixed
# seeds of the short measurement.
"$GW_BIN/gwpolicymeasure" --short >targets.out
grep -E 'buffer cost|refusals|wave over' targets.out |
    sed 's/  *[0-9.]* [<>]= .*//'
rm -f targets.out
