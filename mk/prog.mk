# Builds the program PROG from SRCS and the libraries named in GWLIBS.
include $(TOP)/mk/common.mk

GWARCHIVES = $(patsubst %,$(LIBDIR)/lib%.a,$(GWLIBS))

all: $(BINDIR)/$(PROG)

$(BINDIR)/$(PROG): $(OBJS) $(GWARCHIVES)
	@mkdir -p $(@D)
	@echo "LD $(PROG)"
	@$(CC) $(CFLAGS) $(LDFLAGS) -o $@ $(OBJS) -Wl,--start-group \
	    $(GWARCHIVES) -Wl,--end-group $(LDLIBS_ext)

.PHONY: all
