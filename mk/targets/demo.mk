# Installs the packages that the demo needs and runs one user's fleet on this
# machine.
demo:
	@.ci/install
	@$(MAKE) --no-print-directory -j$(JOBS) all >/dev/null
	@demo/run

.PHONY: demo
