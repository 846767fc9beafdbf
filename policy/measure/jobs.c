#include <math.h>
#include <string.h>

#include "jobs.h"

#define STEP_US (100 * GW_US_PER_MS)
#define ROUND_US (500 * GW_US_PER_MS)
#define REPORT_US (2 * GW_US_PER_S)
#define REPORT_LAG_US (10 * GW_US_PER_S)
#define ARRIVALS_END_US (400 * GW_US_PER_S)
#define END_US (1200 * GW_US_PER_S)
#define RACK_LOST_US (200 * GW_US_PER_S)
#define CHECKPOINT_US (1500 * GW_US_PER_MS)
#define THROTTLED_SPEED 0.25
#define RUN_MEAN_S 20.0
#define KINDS 12
#define WORKERS 50
#define URGENT_PERCENT 10
#define UNSCHEDULABLE_PERCENT 2

/* A job with its true size and its remaining run time. */
typedef struct {
	place_job_t job; /* first member: cast back from place_job_t * */
	double cpu, left_s;
	uint64_t memory;
	uint32_t starts;
	uint64_t checkpointed_us; /* when its checkpoint is complete */
	bool unschedulable, first_started;
} task_t;

typedef struct {
	const user_t *user;
	place_t *place;
	GRand *rand;
	GPtrArray *tasks;  /* all */
	GPtrArray *active; /* started, and neither done nor unknown */
	jobs_result_t *result;
	uint64_t now_us;
	uint64_t cpu, memory; /* of a worker */
	double kind_cpu[KINDS], kind_error[KINDS];
} jobs_t;

static void
add_nodes_and_teams(jobs_t *jobs)
{
	place_size_t size = {{jobs->cpu, jobs->memory, 0}}, quota = {{0}};
	char id[16], rack[16];

	for (int i = 0; i < WORKERS; i++) {
		g_snprintf(id, sizeof(id), "w%d", i);
		g_snprintf(rack, sizeof(rack), "r%d", i / USER_RACK);
		place_set_node(jobs->place, id, rack, &size);
	}
	for (uint32_t t = 0; t < USER_TEAMS; t++) {
		g_snprintf(id, sizeof(id), "t%u", t);
		place_set_team(jobs->place, id, user_weights[t], &quota);
	}
	/* Declared sizes are wrong by a factor of up to 3, fixed per kind. */
	for (int k = 0; k < KINDS; k++) {
		jobs->kind_cpu[k] =
		    jobs->cpu * g_rand_double_range(jobs->rand, 0.05, 0.3);
		jobs->kind_error[k] =
		    exp(g_rand_double_range(jobs->rand, -1.1, 1.1));
	}
}

static void
fill_job(jobs_t *jobs, task_t *task, uint32_t number)
{
	int kind = g_rand_int_range(jobs->rand, 0, KINDS);
	place_job_t *job = &task->job;

	g_snprintf(job->id, sizeof(job->id), "j%u", number);
	g_snprintf(job->team, sizeof(job->team), "t%d",
	    g_rand_int_range(jobs->rand, 0, USER_TEAMS));
	g_snprintf(job->kind, sizeof(job->kind), "k%d", kind);
	task->cpu =
	    jobs->kind_cpu[kind] * g_rand_double_range(jobs->rand, 0.8, 1.2);
	task->memory = jobs->memory / 16;
	task->left_s = -log(1 - g_rand_double(jobs->rand)) * RUN_MEAN_S + 1;
	job->declared.of[PLACE_CPU_MILLIS] = (uint64_t)MIN(
	    task->cpu * jobs->kind_error[kind], (double)jobs->cpu);
	job->declared.of[PLACE_MEMORY_MIB] = task->memory;
	job->urgent = g_rand_int_range(jobs->rand, 0, 100) < URGENT_PERCENT;
	job->idempotent = g_rand_int_range(jobs->rand, 0, 2) == 0;
	job->can_throttle = g_rand_int_range(jobs->rand, 0, 2) == 0;
	job->can_checkpoint = g_rand_int_range(jobs->rand, 0, 2) == 0;
	if (g_rand_int_range(jobs->rand, 0, 100) < UNSCHEDULABLE_PERCENT) {
		task->unschedulable = true;
		g_strlcpy(job->kind, "never", sizeof(job->kind));
		job->declared.of[PLACE_ACCELERATORS] = 1;
	}
}

static void
submit(jobs_t *jobs)
{
	task_t *task = g_new0(task_t, 1);
	char reason[96];

	fill_job(jobs, task, jobs->tasks->len);
	g_ptr_array_add(jobs->tasks, task);
	jobs->result->submitted++;
	if (!place_submit(jobs->place, &task->job, jobs->now_us, reason,
		sizeof(reason))) {
		task->job.state = PLACE_DONE;
		jobs->result->refused++;
	} else if (task->unschedulable) {
		jobs->result->never_run_admitted++;
	}
}

static void
submit_arrivals(jobs_t *jobs, double load)
{
	double sum = 0, rate;

	for (int k = 0; k < KINDS; k++)
		sum += jobs->kind_cpu[k];
	rate = load * WORKERS * (double)jobs->cpu /
	    (sum / KINDS * (RUN_MEAN_S + 1));
	rate *= (double)STEP_US / GW_US_PER_S;
	while (g_rand_double(jobs->rand) < rate / (1 + rate))
		submit(jobs);
}

static void
record_start(jobs_t *jobs, task_t *task)
{
	uint64_t wait_us = jobs->now_us - task->job.submitted_us;

	if (task->first_started) {
		if (!task->job.idempotent && task->checkpointed_us == 0)
			jobs->result->double_runs++;
	} else {
		histogram_add(task->job.urgent ? &jobs->result->urgent
					       : &jobs->result->normal,
		    wait_us);
		g_ptr_array_add(jobs->active, task);
	}
	task->first_started = true;
	task->checkpointed_us = 0;
}

static void
run_round(jobs_t *jobs)
{
	GPtrArray *decisions = g_ptr_array_new_with_free_func(g_free);

	place_schedule(jobs->place, jobs->now_us, decisions);
	for (uint32_t i = 0; i < decisions->len; i++) {
		place_decision_t *d = decisions->pdata[i];
		task_t *task = (task_t *)d->job;

		switch (d->action) {
		case PLACE_START:
			record_start(jobs, task);
			break;
		case PLACE_CHECKPOINT:
			task->checkpointed_us = jobs->now_us + CHECKPOINT_US;
			jobs->result->moves++;
			break;
		case PLACE_THROTTLE:
			jobs->result->moves++;
			break;
		case PLACE_REPORT_UNKNOWN:
			jobs->result->unknown++;
			break;
		}
	}
	g_ptr_array_free(decisions, TRUE);
}

/* Sum of the CPU that the jobs on the worker of the task use. */
static double
node_demand(const jobs_t *jobs, const task_t *task)
{
	double sum = 0;

	for (uint32_t i = 0; i < jobs->active->len; i++) {
		const task_t *other = jobs->active->pdata[i];

		if (other->job.node != NULL &&
		    other->job.node == task->job.node)
			sum += other->cpu *
			    (other->job.throttled ? THROTTLED_SPEED : 1);
	}
	return sum;
}

static void
run_jobs(jobs_t *jobs)
{
	double step_s = (double)STEP_US / GW_US_PER_S;

	jobs->result->capacity += WORKERS * (double)jobs->cpu * step_s;
	for (uint32_t i = 0; i < jobs->active->len; i++) {
		task_t *task = jobs->active->pdata[i];
		double speed = task->job.throttled ? THROTTLED_SPEED : 1;

		if (task->job.node == NULL)
			continue;
		speed *= MIN(1, jobs->cpu / node_demand(jobs, task));
		task->left_s -= speed * step_s;
		jobs->result->used += speed * task->cpu * step_s;
		if (task->left_s <= 0) {
			place_complete(jobs->place, &task->job);
			jobs->result->done++;
		} else if (task->job.state == PLACE_STOPPING &&
		    jobs->now_us >= task->checkpointed_us) {
			place_checkpointed(
			    jobs->place, &task->job, jobs->now_us);
		}
	}
	for (uint32_t i = jobs->active->len; i-- > 0;) {
		task_t *task = jobs->active->pdata[i];
		if (task->job.state == PLACE_DONE ||
		    task->job.state == PLACE_UNKNOWN)
			g_ptr_array_remove_index_fast(jobs->active, i);
	}
}

/* Reports the usage of jobs submitted at least REPORT_LAG_US ago. */
static void
report_usage(jobs_t *jobs)
{
	for (uint32_t i = 0; i < jobs->active->len; i++) {
		task_t *task = jobs->active->pdata[i];
		place_size_t usage = {{(uint64_t)task->cpu, task->memory, 0}};

		if (task->job.node != NULL &&
		    jobs->now_us >= task->job.submitted_us + REPORT_LAG_US)
			place_record_usage(jobs->place, &task->job, &usage);
	}
}

static void
lose_rack(jobs_t *jobs)
{
	char id[16];

	for (int i = 0; i < USER_RACK; i++) {
		g_snprintf(id, sizeof(id), "w%d", i);
		place_node_lost(jobs->place, id, jobs->now_us);
	}
}

static void
count_losses(jobs_t *jobs)
{
	for (uint32_t i = 0; i < jobs->tasks->len; i++) {
		const task_t *task = jobs->tasks->pdata[i];
		jobs->result->losses += task->job.state != PLACE_DONE &&
		    task->job.state != PLACE_UNKNOWN;
	}
}

void
jobs_run(const user_t *user, const place_ops_t *ops, double load, uint32_t seed,
    jobs_result_t *result)
{
	jobs_t jobs = {.user = user, .result = result};

	memset(result, 0, sizeof(*result));
	jobs.place = place_new(ops);
	jobs.rand = g_rand_new_with_seed(seed);
	jobs.tasks = g_ptr_array_new_with_free_func(g_free);
	jobs.active = g_ptr_array_new();
	jobs.cpu = user == &users[0] ? 16000 : 32000;
	jobs.memory = user == &users[0] ? 65536 : 131072;
	add_nodes_and_teams(&jobs);
	for (; jobs.now_us < END_US; jobs.now_us += STEP_US) {
		if (jobs.now_us < ARRIVALS_END_US)
			submit_arrivals(&jobs, load);
		if (jobs.now_us == RACK_LOST_US)
			lose_rack(&jobs);
		run_jobs(&jobs);
		if (jobs.now_us % REPORT_US == 0)
			report_usage(&jobs);
		if (jobs.now_us % ROUND_US == 0)
			run_round(&jobs);
	}
	count_losses(&jobs);
	place_free(jobs.place);
	g_ptr_array_free(jobs.tasks, TRUE);
	g_ptr_array_free(jobs.active, TRUE);
	g_rand_free(jobs.rand);
}
