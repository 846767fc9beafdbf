# Builds one GLib test program per file named in TESTS (NAME.c), linked with
# GWLIBS and with the objects of EXTRA_SRCS (paths relative to the directory).
# regress/run runs them, and the directory's scripts.
include $(TOP)/mk/common.mk

GWARCHIVES = $(patsubst %,$(LIBDIR)/lib%.a,$(GWLIBS))
PROGS = $(addprefix $(OBJDIR)/,$(TESTS))
EXTRA_OBJS = $(addprefix $(OBJDIR)/,$(EXTRA_SRCS:.c=.o))

all: $(PROGS)

$(PROGS): $(OBJDIR)/%: $(OBJDIR)/%.o $(EXTRA_OBJS) $(GWARCHIVES)
	@echo "LD $(HERE)/$(@F)"
	@$(CC) $(CFLAGS) $(LDFLAGS) -o $@ $< $(EXTRA_OBJS) -Wl,--start-group \
	    $(GWARCHIVES) -Wl,--end-group $(LDLIBS_ext)

-include $(PROGS:=.d) $(EXTRA_OBJS:.o=.d)

.PHONY: all
.SECONDARY:
