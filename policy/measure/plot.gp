# Draws a trace of gwpolicymeasure --trace: gnuplot -e "trace='F'; out='F.png';
# from=S; to=S; heading='T'" plot.gp
set terminal pngcairo size 1100,700
set output out
set multiplot layout 2,1 title heading
set xrange [from:to]
set ylabel "slots"
set key outside
plot for [p=0:4] trace using 1:(column(2 + 2 * p)) with lines \
    title word("intake ledger claims audit spare", p + 1)." busy"
set xlabel "seconds"
plot for [p=0:4] trace using 1:(column(3 + 2 * p)) with steps \
    title word("intake ledger claims audit spare", p + 1)." held", \
    trace using 1:(8 * column(12)) with steps lw 2 title "in maintenance", \
    trace using 1:(8 * column(13)) with steps lw 2 title "lost"
unset multiplot
