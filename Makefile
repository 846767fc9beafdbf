# Builds, checks and measures godwitline. See README.md.
TOP = .
VARIANT ?= release
JOBS ?= $(shell nproc)
BUILD_ROOT ?= build
export VARIANT BUILD_ROOT

LIBS = $(patsubst %/Makefile,%,$(wildcard lib/*/Makefile)) platform
PROGS = $(patsubst %/Makefile,%,$(wildcard gw*/Makefile tools/*/Makefile \
	policy/Makefile policy/*/Makefile bench/Makefile bench/*/Makefile soak/Makefile))
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

# The program that runs on the platform; deploy/system.toml builds this target.
entry: libs
	@$(MAKE) --no-print-directory -C gwentryd

regress-programs: $(REGRESS)

# Runs all tests. The last line counts the results.
test: regress-programs
	@regress/run

# What CI runs: lint, the model checker, the fuzz targets, then the tests in
# both build variants. The system tests (regress/system) depend on time limits
# and run in the release build only.
check:
	$(MAKE) --no-print-directory -j$(JOBS) lint spec check-build
	$(MAKE) --no-print-directory fuzz
	VARIANT=asan regress/run $(filter-out system,$(notdir $(REGRESS)))
	regress/run

check-build:
	$(MAKE) --no-print-directory VARIANT=asan regress-programs
	$(MAKE) --no-print-directory VARIANT=release regress-programs

# Formats the C sources with clang-format.
fmt:
	@clang-format -i $(C_FILES)

# Checks the format of the C sources, static analysis, the manual pages and the
# list of log events.
lint:
	@mk/lint $(C_FILES)

clean:
	rm -rf build

include $(wildcard mk/targets/*.mk)

.PHONY: all libs progs entry regress-programs test check check-build fmt \
	lint clean $(LIBS) $(PROGS) $(REGRESS)
