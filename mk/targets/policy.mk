# Measures the decision modules. Prints a table per user, with the targets that
# are met or missed.
POLICY_MEASURE = build/$(VARIANT)/bin/gwpolicymeasure

policy: all
	@$(POLICY_MEASURE)

# Draws docs/policy-surge.png and docs/policy-wave.png.
policy-plots: all
	@$(POLICY_MEASURE) --only surges --trace build/surge.trace
	@$(POLICY_MEASURE) --only wave+rack --trace build/wave.trace
	@gnuplot -e "trace='build/surge.trace'; out='docs/policy-surge.png'; \
	    from=150; to=220; heading='surges in turn'" policy/measure/plot.gp
	@gnuplot -e "trace='build/wave.trace'; out='docs/policy-wave.png'; \
	    from=30; to=220; heading='a wave, a rack lost at 70 s'" \
	    policy/measure/plot.gp

.PHONY: policy policy-plots
