# All sources but main.c, so that tests can link them.
ROUTER_SRCS = admin.c attempt.c caller.c config.c drain.c fleet.c framing.c \
	headers.c hold.c instance.c intake.c metrics.c pool.c reason.c report.c \
	request.c retry.c router.c settings.c spill.c sweep.c view.c
SRCS += $(ROUTER_SRCS)
GWLIBS = gwhttp gwwire gwmember gwpolicy gwmanifest gw
