#ifndef REGRESS_MANIFEST_EXAMPLE_H
#define REGRESS_MANIFEST_EXAMPLE_H

/* A small manifest that passes every check. */
#define EXAMPLE                                                              \
	"{\"version\": 1,"                                                   \
	"\"teams\": [{\"name\": \"logs\", \"weight\": 3,"                    \
	"  \"quota\": {\"cpu_millis\": 1000, \"memory_mib\": 64}}],"         \
	"\"pools\": ["                                                       \
	" {\"name\": \"intake\", \"team\": \"logs\", \"service\": \"logs\"," \
	"  \"data_centres\": {\"a\": {\"instances\": 3, \"minimum\": 1},"    \
	"  \"b\": {\"instances\": 2}}},"                                     \
	" {\"name\": \"spare\", \"team\": \"logs\", \"spare\": true,"        \
	"  \"data_centres\": {\"a\": {\"instances\": 2}}}],"                 \
	"\"budgets\": [{\"team\": \"logs\", \"pool\": \"intake\","           \
	"  \"max_unavailable\": 2}],"                                        \
	"\"lending\": [{\"from\": \"spare\", \"to\": \"intake\","            \
	"  \"max_instances\": 2, \"return_after_ms\": 60000}],"              \
	"\"routes\": ["                                                      \
	" {\"path_prefix\": \"/log\", \"pool\": \"intake\","                 \
	"  \"class\": \"quick\", \"deadline_ms\": 2000},"                    \
	" {\"path_prefix\": \"/log/old\", \"pool\": \"intake\","             \
	"  \"class\": \"archive\", \"deadline_ms\": 2000},"                  \
	" {\"host\": \"logs.example\", \"pool\": \"intake\","                \
	"  \"class\": \"settlement\", \"deadline_ms\": 2000,"                \
	"  \"idempotent\": false}],"                                         \
	"\"waves\": [{\"name\": \"weekly\", \"pools\": [\"intake\"],"        \
	"  \"concurrency\": 2, \"domain_limit\": 1,"                         \
	"  \"action\": \"reboot\"}]}"

#endif
