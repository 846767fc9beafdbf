# Builds, checks and measures godwitline. See README.md.
TOP = .
VARIANT ?= release
JOBS ?= $(shell nproc)
BUILD_ROOT ?= build
export VARIANT BUILD_ROOT

LIBS = $(patsubst %/Makefile,%,$(wildcard lib/*/Makefile)) platform
PROGS = $(patsubst %/Makefile,%,$(wildcard gw*/Makefile tools/*/Makefile \
	policy/Makefile policy/*/Makefile bench/Makefile bench/*/Makefile))
REGRESS = $(patsubst %/Makefile,%,$(wildcard regress/*/Makefile))
C_FILES = $(shell git ls-files '*.c' '*.h' | grep -v '\.pb-c\.')

all: libs progs

libs: $(LIBS)

progs: $(PROGS)

$(LIBS):
	@$(MAKE) --no-print-directory -C $@

$(PROGS): libs
	@$(MAKE) --no-print-directory -C $@

$(REGRESS): libs progs
	@$(MAKE) --no-print-directory -C $@

# What runs on the platform; deploy/system.toml builds it so.
entry: libs
	@$(MAKE) --no-print-directory -C gwentryd

regress-programs: $(REGRESS)

# Runs every test; the last line counts them.
test: regress-programs
	@regress/run

# What CI runs: lint, the model checker, the fuzz targets, then the tests in
# both build variants. The runs of whole fleets (regress/system) judge times,
# and run in the release build only.
check:
	$(MAKE) --no-print-directory -j$(JOBS) lint spec check-build
	$(MAKE) --no-print-directory fuzz
	VARIANT=asan regress/run $(filter-out system,$(notdir $(REGRESS)))
	regress/run

check-build:
	$(MAKE) --no-print-directory VARIANT=asan regress-programs
	$(MAKE) --no-print-directory VARIANT=release regress-programs

# Rewrites the sources in the project's format.
fmt:
	@clang-format -i $(C_FILES)

# Checks format, static analysis, manual pages and the event catalogue.
lint:
	@mk/lint $(C_FILES)

clean:
	rm -rf build

include $(wildcard mk/targets/*.mk)

.PHONY: all libs progs entry regress-programs test check check-build fmt lint clean \
	$(LIBS) $(PROGS) $(REGRESS)
