#ifndef SCHED_IMPL_H
#define SCHED_IMPL_H

#include "sched/state.h"

/* The functions that the scheduler's modules call of each other. */

/* job.c */
sched_job_t *sched_job_new(sched_pool_t *, const char *id);
void sched_job_free(gpointer);
void sched_job_clear_key(sched_job_t *);
void sched_job_set_spec(sched_job_t *, Gw__JobSpec *);
void sched_job_open_occurrences(
    const sched_pool_t *, sched_job_t *, uint64_t wall_ms);
void sched_job_close_occurrences(sched_job_t *);
sched_occurrence_t *sched_job_find_occurrence(
    const sched_job_t *, uint32_t number);
sched_occurrence_t *sched_occurrence_new(sched_job_t *, uint32_t number);
void sched_occurrence_free(gpointer);
const Gw__JobStep *sched_task_step_spec(const sched_task_t *);
sched_step_t *sched_task_step_state(const sched_task_t *);
bool sched_step_is_ready(
    const sched_job_t *, const sched_occurrence_t *, uint32_t step);
bool sched_spec_is_long_running(const Gw__JobSpec *);
uint64_t sched_step_work_cpu_ms(const Gw__JobStep *, uint64_t count);
void sched_job_add_ready(const sched_job_t *, sched_ready_t *);
bool sched_job_has_ended(const sched_job_t *);
void sched_job_find_open_steps(
    const sched_job_t *, bool is_open[SCHED_STEPS_MAX]);
void sched_step_clear_tickets(sched_step_t *);
void sched_job_mark_dirty(sched_pool_t *, sched_job_t *);
void sched_job_end(sched_pool_t *, sched_job_t *, Gw__JobState);
sched_task_t *sched_pool_find_task(
    const sched_pool_t *, const sched_task_ref_t *);
sched_task_ref_t sched_task_ref(const sched_task_t *);

/* aside.c */
void sched_aside_add(sched_pool_t *, sched_job_t *);
void sched_aside_end(sched_pool_t *, sched_job_t *);
void sched_job_refuse_new(
    sched_pool_t *, sched_job_t *, const sched_response_t *);
void sched_aside_tick(sched_pool_t *, uint64_t now_us);

/* queue.c */
void sched_job_set_queue_key(sched_pool_t *, sched_job_t *, const char *key);
void sched_queue_job_removed(sched_pool_t *, sched_job_t *);
void sched_queue_use(sched_pool_t *, const char *key);
void sched_queue_unuse(sched_pool_t *, const char *key);
bool sched_queue_take_row(sched_pool_t *, const sched_job_t *);
void sched_queue_undo_write(sched_pool_t *, const sched_write_t *);
char *sched_queue_take_unused(sched_pool_t *);

/* team.c */
void sched_job_set_team(sched_pool_t *, sched_job_t *, const char *name);
void sched_team_job_removed(sched_job_t *);
sched_team_t *sched_team_get(sched_pool_t *, const char *name);
bool sched_team_may_see(const sched_job_t *, const char *team);
sched_resources_t sched_step_resources(const Gw__JobStep *);
void sched_team_add_used(sched_team_t *, const sched_resources_t *);
void sched_team_subtract_used(sched_team_t *, const sched_resources_t *);

/* share.c */
bool sched_share_is_beyond(
    const sched_pool_t *, const char *team, const char *id, uint64_t now_us);
void sched_share_order(const sched_pool_t *, GPtrArray *jobs);
void sched_share_note_placed(sched_pool_t *, const sched_task_t *);

/* quota.c */
uint64_t sched_quota_available(uint64_t limit, uint64_t others);
bool sched_quota_is_half_free(uint64_t limit, uint64_t others, uint64_t used);
void sched_quota_set_limit(sched_team_t *, const sched_resources_t *);
bool sched_quota_has_part(const sched_team_t *);
bool sched_quota_allows(const sched_task_t *);
void sched_quota_note_lacking(const sched_task_t *, uint32_t tasks);
void sched_quota_begin_round(sched_pool_t *);
void sched_quota_end_round(sched_pool_t *, uint64_t now_us);

/* record.c */
GBytes *sched_record_encode(const sched_job_t *, uint64_t max_bytes);
GBytes *sched_record_encode_handed(
    const sched_job_t *, const char *part_of, uint64_t max_bytes);
int sched_record_apply(sched_pool_t *, sched_job_t *, const Gw__JobRecord *);

/* instance.c */
sched_instance_t *sched_instance_get(sched_pool_t *, const char *id);
void sched_instance_free(gpointer);
sched_exclusion_t sched_instance_exclusion(
    const sched_instance_t *, uint64_t now_us);
bool sched_instance_may_start(const sched_instance_t *, uint64_t now_us);
bool sched_instance_is_usable(const sched_instance_t *, uint64_t now_us);
bool sched_instance_has_no_contact(const sched_instance_t *);
bool sched_instance_is_full(const sched_instance_t *);
bool sched_instance_hosts_long_running(const sched_instance_t *);
uint64_t sched_instance_long_running_cpu_millis(const sched_instance_t *);
void sched_instance_assign(sched_instance_t *, sched_task_t *);
void sched_instance_release(sched_task_t *);
uint64_t sched_instance_clock_ms(const sched_instance_t *, uint64_t now_us);
uint64_t sched_instance_extend_lease(sched_instance_t *, uint64_t now_us);
void sched_instance_ack(sched_instance_t *, uint64_t number);
void sched_instance_schedule_renewal(sched_instance_t *, uint64_t due_us);
void sched_instance_request_ended(sched_pool_t *, const char *id);
void sched_instance_tick(sched_instance_t *, uint64_t now_us);

uint64_t sched_drift_bound_us(uint64_t ms);

/* fence.c */
void sched_fence_raise(sched_instance_t *);
uint64_t sched_fence_use(sched_instance_t *);
void sched_fence_tick(sched_pool_t *);
void sched_fence_seen(sched_instance_t *, uint64_t now_us);

/* late_start.c */
uint32_t sched_late_start_count(const sched_task_t *);
uint64_t sched_late_start_until_us(const sched_task_t *);
uint64_t sched_task_lapses_us(const sched_task_t *);
void sched_late_start_begun_again(sched_task_t *);
bool sched_late_start_excludes(const sched_task_t *, const sched_instance_t *);
uint64_t sched_late_start_instance_until_us(const sched_instance_t *);

/* lapse.c */
bool sched_lapse_may_be_listed(const sched_instance_t *);
void sched_lapse_tick(sched_pool_t *, uint64_t now_us);
GBytes *sched_lapse_take_list(sched_pool_t *);
void sched_lapse_list_written(sched_pool_t *);

/* loss.c */
void sched_instance_expect_late_start(sched_instance_t *, uint64_t now_us);
void sched_instance_limit_expiry(sched_instance_t *, uint64_t bound_us);
void sched_instance_end_runs(
    sched_instance_t *, const char *reason, sched_loss_t);
void sched_instance_lapse(sched_instance_t *, uint64_t now_us);
bool sched_instance_waits_for_late_starts(
    const sched_instance_t *, uint64_t now_us);
void sched_instance_restarted(sched_instance_t *, uint64_t born_ms);

/* stray.c */
GArray *sched_strays_new(void);
void sched_strays_free(GArray *);
void sched_stray_add(const sched_task_t *, uint64_t now_us);
void sched_stray_start_answered(
    sched_instance_t *, const sched_task_ref_t *, uint32_t run, sched_result_t);
void sched_stray_stop_answered(
    sched_instance_t *, const sched_task_ref_t *, uint32_t run, sched_result_t);
bool sched_stray_is_possible(const sched_instance_t *);
void sched_stray_tick(sched_instance_t *, uint64_t now_us);

/* batch.c */
extern const sched_response_t sched_response_owner_gone;
void sched_notify_waiters(const GArray *waiters, const sched_response_t *);
GBytes *sched_spec_encode(const Gw__JobSpec *);
void sched_acknowledge(sched_pool_t *, const sched_ack_t *);

/* caller.c */
void sched_job_wait_for_record(
    sched_pool_t *, sched_job_t *, sched_response_cb_t, void *arg);

/* transfer.c */
GBytes *sched_transfer_encode(const sched_job_t *);
bool sched_transfer_find(
    const sched_pool_t *, const char *id, sched_response_t *);
const char *sched_transfer_place(const sched_pool_t *, const char *id);
void sched_transfer_done(sched_pool_t *, sched_job_t *);
char *sched_transfer_take_old(sched_pool_t *);
void sched_transfer_keep_row(sched_pool_t *, const char *id);
void sched_transfer_undo_write(sched_pool_t *, const sched_write_t *);
void sched_transfer_tick(sched_pool_t *, uint64_t now_us);

/* part.c */
bool sched_job_is_part(const sched_job_t *);
bool sched_job_is_split(const sched_job_t *);
sched_job_t *sched_pool_find_job(const sched_pool_t *, const char *id);
bool sched_pool_holds_part(const sched_pool_t *, const char *id);
void sched_part_load(sched_pool_t *, sched_job_t *, const Gw__JobRecord *);
void sched_part_free(sched_job_t *);
void sched_part_clear_hand(sched_job_t *);
sched_peer_t *sched_part_find_peer(const sched_job_t *, const char *shard);
void sched_part_tell(sched_pool_t *, sched_job_t *, const char *shard);
void sched_part_forget_peers(sched_pool_t *, sched_job_t *);

/* part_hand.c */
uint64_t sched_part_blocked_since_us(
    const sched_pool_t *, const sched_job_t *, uint64_t now_us);
void sched_part_ask(
    sched_pool_t *, sched_job_t *, const char *shard, uint64_t now_us);
void sched_part_apply_offer(
    sched_pool_t *, sched_job_t *, const char *shard, uint32_t tasks);
uint32_t sched_part_count_writes(const sched_job_t *);
void sched_part_recorded(sched_pool_t *, sched_job_t *);
void sched_part_not_recorded(sched_pool_t *, sched_job_t *);
void sched_part_job_ended(sched_pool_t *, sched_job_t *);
void sched_part_return_hopeless(sched_pool_t *, sched_job_t *, uint64_t now_us);

/* part_call.c */
bool sched_part_may_start(const sched_job_t *, uint64_t now_us);
void sched_part_tick(sched_pool_t *, uint64_t now_us);

/* part_steps.c */
void sched_part_steps_report(
    sched_peer_t *, const GArray *steps, uint64_t now_us);
GArray *sched_part_steps_new(const sched_job_t *, uint64_t now_us);
bool sched_part_steps_have_leaving(const GArray *steps);
void sched_part_steps_grant(
    const sched_job_t *, sched_peer_t *, GArray *may_stop, uint64_t now_us);
void sched_part_steps_allow(
    sched_job_t *, const GArray *may_stop, uint64_t sent_us, uint64_t now_us);
bool sched_part_steps_take(sched_task_t *, uint64_t now_us);
uint32_t sched_part_steps_unavailable(const sched_job_t *,
    const sched_occurrence_t *, uint32_t step, uint64_t now_us);

/* overflow.c */
bool sched_overflow_holds(sched_pool_t *, sched_job_t *, uint64_t now_us);
void sched_overflow_tick(sched_pool_t *, uint64_t now_us);

/* handover.c */
uint64_t sched_pool_previous_expiry_us(
    const sched_pool_t *, const char *instance, uint64_t now_us);
uint64_t sched_handover_late_until_us(
    const sched_pool_t *, const char *instance);
void sched_handover_set_expiry(
    sched_pool_t *, const Gw__LeaseLeft *, uint64_t read_us);
GPtrArray *sched_ended_runs_new(void);
void sched_handover_apply_ends(sched_pool_t *);

/* run.c */
void sched_task_requeue(sched_task_t *, const char *reason);
void sched_task_send_start(sched_task_t *, uint64_t now_us);
void sched_task_stop(sched_task_t *);
void sched_task_apply_end(
    sched_task_t *, sched_instance_t *, const sched_run_end_t *);

/* send.c */
uint32_t sched_task_start_bytes(const sched_job_t *);
void sched_send_reserved(sched_pool_t *, const sched_task_t *);
void sched_send_unreserved(sched_pool_t *, sched_task_t *);
void sched_send_recorded(sched_pool_t *, sched_task_t *);
void sched_send_starts(sched_pool_t *, uint64_t now_us);
void sched_send_repeat(sched_task_t *, uint64_t now_us);
uint64_t sched_renew_delay_us(const sched_pool_t *);

/* choose.c */
sched_instance_t *sched_place_find_instance(sched_pool_t *,
    const sched_task_t *, const char *only_rack, uint64_t now_us);
sched_exclusion_t sched_place_exclusion(
    const sched_instance_t *, const sched_task_t *, uint64_t now_us);
bool sched_place_takes_last_choice(const sched_task_t *, uint64_t now_us);
bool sched_place_withhold(
    sched_pool_t *, const sched_task_t *, uint64_t now_us);
bool sched_place_fits(const sched_instance_t *, const Gw__JobStep *);
bool sched_place_will_fit(const sched_instance_t *, const sched_task_t *);
uint64_t sched_step_cpu_millis(const Gw__JobStep *);

/* place.c */
void sched_place_round(sched_pool_t *, uint64_t now_us);
bool sched_place_has_advice(
    const sched_job_t *, const sched_step_t *, uint64_t now_us);
bool sched_place_ensure_advice(
    sched_pool_t *, sched_task_t *, sched_step_t *, uint64_t now_us);
void sched_place_reserve(
    sched_pool_t *, sched_task_t *, sched_instance_t *, uint32_t run);
void sched_place_gang(sched_pool_t *, sched_occurrence_t *,
    const sched_step_t *, const Gw__JobStep *, uint64_t now_us);
void sched_place_mark_blocked(sched_job_t *, uint64_t now_us);
void sched_place_mark_task_blocked(sched_task_t *, uint64_t now_us);

/* withhold.c */
void sched_withhold_for_job(sched_pool_t *, const sched_job_t *, uint64_t);
void sched_withhold_for_first(sched_pool_t *, const sched_job_t *, uint64_t);

/* trial.c */
uint64_t sched_trial_cost(const sched_instance_t *);
void sched_trial_begin_round(sched_pool_t *);
void sched_trial_place_jobs(
    sched_pool_t *, const GPtrArray *, guint first, guint end, uint64_t now_us);

/* crash.c */
bool sched_crash_is_suspect(const sched_task_t *);
void sched_crash_run_placed(sched_task_t *);
void sched_crash_run_settled(sched_task_t *);
void sched_crash_run_survived(sched_pool_t *, sched_task_t *, uint64_t at_us);
void sched_crash_clear(sched_pool_t *, sched_task_t *);
uint64_t sched_crash_report_due_us(const sched_instance_t *, uint64_t now_us);
void sched_crash_note_silence(const sched_instance_t *, uint64_t now_us);
bool sched_crash_is_watched(const sched_instance_t *, uint64_t now_us);
bool sched_crash_prefers_other(
    const sched_instance_t *, const sched_task_t *, uint64_t now_us);
bool sched_crash_may_start(const sched_instance_t *, const sched_task_t *);
void sched_crash_count(sched_task_t *, const char *instance, bool is_certain);
void sched_crash_count_ended(sched_pool_t *, const sched_task_ref_t *,
    uint32_t run, const char *instance);
bool sched_crash_is_refusal(sched_result_t);
GPtrArray *sched_crash_count_runs(
    sched_instance_t *, const GPtrArray *tasks, sched_loss_t);
bool sched_crash_is_hopeless(const sched_task_t *);
void sched_crash_give_up(sched_pool_t *, const GPtrArray *suspects);
void sched_crash_give_up_job(sched_pool_t *, const sched_job_t *);
void sched_crash_give_up_loaded(sched_pool_t *);

/* wait_name.c */
const char *sched_task_state_name(sched_task_state_t);

/* wait.c */
sched_finding_t sched_wait_find_reason(
    const sched_pool_t *, const sched_task_t *, uint64_t now_us);
void sched_wait_note_ran(sched_task_t *);
void sched_wait_tick(sched_pool_t *, uint64_t now_us);

/* evacuate.c */
uint32_t sched_evacuate_unavailable(const sched_job_t *,
    const sched_occurrence_t *, uint32_t step, const sched_task_t *except,
    uint64_t now_us);
void sched_evacuate(sched_instance_t *, uint64_t now_us);

/* refusal.c */
sched_refusals_t *sched_refusals_new(void);
void sched_refusals_free(sched_refusals_t *);
uint64_t sched_refusal_first_us(
    const sched_pool_t *, const char *id, uint64_t now_us);
void sched_refusal_record(sched_pool_t *, const Gw__JobSpec *,
    uint32_t retry_after_ms, uint64_t now_us);
void sched_refusal_accepted(sched_pool_t *, const char *id);
uint32_t sched_refusal_retry_ms(uint64_t wait_ms);

/* admit.c */
sched_arrivals_t sched_arrivals(const sched_pool_t *, uint64_t now_us);
bool sched_admit(sched_pool_t *, const Gw__JobSpec *, bool is_beyond_share,
    sched_verdict_t *);

/* estimate.c */
void sched_estimate_record_end(sched_pool_t *, const sched_job_t *);
void sched_estimate_add_errors(const sched_pool_t *, sched_estimate_errors_t *);
bool sched_estimate_job(const sched_pool_t *, const Gw__JobSpec *,
    const sched_backlog_t *, const sched_arrivals_t *, uint64_t now_us,
    sched_estimate_t *);

/* rank.c */
sched_rank_t sched_job_update_rank(
    const sched_pool_t *, sched_job_t *, uint64_t now_us);
uint64_t sched_objective_ms(const Gw__JobSpec *, uint64_t critical_path_ms);
uint32_t sched_critical_path_ms(
    const Gw__JobSpec *, const sched_occurrence_t *);

/* kind.c */
void sched_kind_order(const sched_pool_t *, sched_job_t **jobs, guint count);
void sched_kind_note_placed(sched_pool_t *, const sched_task_t *);

/* order.c */
bool sched_order_kinds_take_turns(const sched_pool_t *);
void sched_order_update_capacity(sched_pool_t *, uint64_t now_us);
uint64_t sched_order_step_work(
    const sched_pool_t *, const Gw__JobStep *, uint64_t count);
int sched_order_compare_tier(
    const sched_pool_t *, const sched_order_key_t *, const sched_order_key_t *);
int sched_order_compare(
    const sched_pool_t *, const sched_job_t *, const sched_job_t *);
void sched_order_sort(sched_pool_t *, GPtrArray *jobs, uint64_t now_us);
sched_job_t *sched_order_next_overdue(sched_pool_t *, const GPtrArray *jobs);
void sched_order_note_placed(sched_pool_t *, const sched_task_t *);

#endif
