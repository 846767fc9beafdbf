# Measures the performance of a router; not part of "make check".
bench: libs progs regress/router
	@VARIANT=$(VARIANT) bench/router/run

.PHONY: bench
