#include "fleet/controller.h"

#include <utility>

#include "base/text.h"
#include "fleet/queue-map.h"
#include "kernel/log.h"

namespace kestrelreel {
namespace detail {

constexpr const char* service_name = "controller";

scheduler_settings scheduling_of(const controller_settings& it) {
  scheduler_settings out = it.scheduling;
  out.worker_stop = it.worker_stop;
  out.decisions = it.decisions;
  return out;
}

}  // namespace detail

fleet::fleet_response make_response(fleet::fleet_status status,
                                    std::string reason) {
  fleet::fleet_response response;
  response.set_status(status);
  response.set_reason(std::move(reason));
  return response;
}

fleet_controller::fleet_controller(controller_settings settings,
                                   clock_source& clock, fleet_log& log,
                                   metrics_registry& metrics)
    : settings_(std::move(settings)),
      clock_(clock),
      log_(log),
      metrics_(metrics),
      outages_(book_, clock),
      workers_(settings_.leases, clock),
      scheduler_(detail::scheduling_of(settings_), book_, outages_, workers_,
                 clock) {}

void fleet_controller::request(const fleet::fleet_request& request,
                               const respond_function& respond) {
  if (!leads_ || !log_.may_decide()) {
    return respond(make_response(fleet::fleet_unavailable, "no-leader"));
  }
  switch (request.body_case()) {
    case fleet::fleet_request::kJob:
      return on_job(request.job(), respond);
    case fleet::fleet_request::kBeat:
      return on_heartbeat(request.beat(), respond);
    case fleet::fleet_request::kWorkerLeaves:
      return on_leave(request.worker_leaves(), request.leaver_born(), respond);
    case fleet::fleet_request::kPutConfig:
      return on_put_config(request.put_config(), respond);
    case fleet::fleet_request::kGetConfig:
      return on_get_config(respond);
    case fleet::fleet_request::kEvacuation:
      return on_evacuation(request.evacuation(), respond);
    case fleet::fleet_request::BODY_NOT_SET:
      break;
  }
  respond(make_response(fleet::fleet_invalid, "unknown-request"));
}

void fleet_controller::on_job(const fleet::job_call& call,
                              const respond_function& respond) {
  if (book_.config().version() == 0) {
    return respond(make_response(fleet::fleet_unavailable, "no-configuration"));
  }
  if (call.has_submit() && is_known_submission(call)) {
    return respond(make_response(fleet::fleet_ok, "known-already"));
  }
  const fleet::queue_route* queue =
      match_queue(book_.config(), call.host(), call.path());
  if (queue == nullptr) {
    return respond(make_response(fleet::fleet_no_queue, "no-such-queue"));
  }
  // The path is the queue's prefix followed by the job number; a count has no
  // job number.
  constexpr size_t job_digits = 16;
  const size_t suffix_size = call.path().size() - queue->path_prefix().size();
  if (suffix_size != (call.counts_pending() ? 0 : job_digits)) {
    return respond(make_response(fleet::fleet_no_queue, "no-such-path"));
  }
  switch (call.what_case()) {
    case fleet::job_call::kSubmit:
      return on_submit(call, *queue, respond);
    case fleet::job_call::kState:
      return on_state(call, *queue, respond);
    case fleet::job_call::kCancel:
      return on_cancel(job_number(call.job()), *queue, respond);
    case fleet::job_call::WHAT_NOT_SET:
      break;
  }
  respond(make_response(fleet::fleet_invalid, "unknown-call"));
}

uint64_t fleet_controller::pending_of(const fleet::queue_route& queue) const {
  uint64_t n = 0;
  for (const auto& [order, number] : book_.live()) {
    const job_entry& job = *book_.find(number);
    if (!job.begun && job.queue.name() == queue.name()) ++n;
  }
  return n;
}

void fleet_controller::on_state(const fleet::job_call& call,
                                const fleet::queue_route& queue,
                                const respond_function& respond) {
  fleet::fleet_response response;
  response.set_status(fleet::fleet_ok);
  if (call.counts_pending()) {
    response.set_counts_pending(true);
    response.set_pending(pending_of(queue));
    return respond(std::move(response));
  }
  const job_entry* job = book_.find(job_number(call.job()));
  if (job == nullptr || job->queue.name() != queue.name()) {
    return respond(make_response(fleet::fleet_no_job, "no-such-job"));
  }
  response.set_phase(job->phase);
  respond(std::move(response));
}

void fleet_controller::on_cancel(job_number number,
                                 const fleet::queue_route& queue,
                                 const respond_function& respond) {
  const job_entry* job = book_.find(number);
  if (job != nullptr && job->queue.name() != queue.name()) {
    return respond(make_response(fleet::fleet_no_job, "no-such-job"));
  }
  admission_.forget(number);
  if (job != nullptr && !job->live()) {
    return respond(make_response(fleet::fleet_ok));
  }
  // An unknown job's submission may be received and not yet committed, so the
  // cancel is logged as well: log order decides which came first. Otherwise the
  // job could run after its caller was told that it does not exist.
  fleet::fleet_command command;
  command.mutable_cancel()->add_jobs(number.value());
  log_event(detail::service_name, log_level::info, "job-cancel")
      .with("job", to_text(number))
      .with("recorded", job == nullptr ? "no" : "yes");
  commit(std::move(command), respond);
}

void fleet_controller::on_put_config(const fleet::fleet_config& config,
                                     const respond_function& respond) {
  const absl::Status validity = check_config(config);
  log_event(detail::service_name, log_level::info, "config-comes")
      .with("version", config.version())
      .with("held", book_.config().version())
      .with("queues", config.queues_size())
      .with("fault", validity.message());
  if (!validity.ok()) {
    return respond(
        make_response(fleet::fleet_invalid, std::string(validity.message())));
  }
  if (config.version() <= book_.config().version()) {
    return respond(make_response(fleet::fleet_ok, "held-already"));
  }
  fleet::fleet_command command;
  *command.mutable_config() = config;
  commit(std::move(command), respond);
}

void fleet_controller::on_get_config(const respond_function& respond) {
  if (book_.config().version() == 0) {
    return respond(make_response(fleet::fleet_unavailable, "no-configuration"));
  }
  fleet::fleet_response response;
  response.set_status(fleet::fleet_ok);
  response.set_config(book_.config().source());
  respond(std::move(response));
}

/// Returns the token that identifies the command when it is applied.
uint64_t fleet_controller::commit(fleet::fleet_command command,
                                  respond_function respond) {
  const uint64_t token = next_token_++;
  command.set_token(token);
  pending_responses_[token] = std::move(respond);
  add_command(std::move(command));
  return token;
}

void fleet_controller::add_command(fleet::fleet_command command) {
  *batch_.add_commands() = std::move(command);
  has_pending_decisions_ = true;
}

/// Proposes all commands since the last call as one entry. One entry per
/// heartbeat costs a message to each follower and a reply, which saturated a
/// leader with 0.39 cores at about 300 workers.
void fleet_controller::flush() {
  if (batch_.commands_size() == 0) return;
  fleet::fleet_command command;
  *command.mutable_batch() = std::exchange(batch_, {});
  const absl::Status status = log_.propose(command);
  if (status.ok()) return;
  log_event(detail::service_name, log_level::warn, "commands-not-recorded")
      .with("commands", command.batch().commands_size())
      .with("error", status.message());
  for (const auto& it : command.batch().commands()) undo_proposal(it, status);
}

/// Reverts the in-memory changes made when the command was proposed, so that
/// the command can be proposed again.
void fleet_controller::undo_proposal(const fleet::fleet_command& command,
                                     const absl::Status& status) {
  if (command.has_starts()) on_starts_applied(command.starts());
  if (command.has_loss()) {
    const worker_id worker(command.loss().worker());
    settle_loss(worker);
    worker_view* it = workers_.find(worker);
    if (it != nullptr && command.loss().over()) it->loss_proposed = false;
    if (it != nullptr && command.loss().gone()) it->forget_proposed = false;
  }
  if (command.has_leave()) {
    // The worker got no acknowledgement of its leave and may continue.
    worker_view* it = workers_.find(worker_id(command.leave().worker()));
    if (it != nullptr) it->is_leaving = it->leave_recorded_at.has_value();
  }
  if (command.has_evacuation())
    settle_evacuation(command.evacuation().data_centre());
  if (command.has_report()) {
    const worker_id worker(command.report().worker());
    worker_view* it = workers_.find(worker);
    if (it != nullptr) it->last_end_proposed = book_.last_end(worker);
    settle_successes(command.report());
  }
  const auto it = pending_responses_.find(command.token());
  if (it == pending_responses_.end()) return;
  const respond_function respond = std::move(it->second);
  pending_responses_.erase(it);
  respond(
      make_response(fleet::fleet_unavailable, std::string(status.message())));
}

void fleet_controller::applied(const fleet::fleet_command& command) {
  has_pending_decisions_ = true;
  if (!command.has_batch()) return apply_one(command);
  for (const auto& it : command.batch().commands()) apply_one(it);
}

void fleet_controller::apply_one(const fleet::fleet_command& command) {
  const std::vector<run_key> ended = outages_.runs_ended_by(command);
  const job_book::result result = book_.apply(command);
  outages_.apply(command, ended);
  if (command.has_starts()) on_starts_applied(command.starts());
  if (command.has_report()) {
    mark_runs_changed(command.report().worker());
    settle_successes(command.report());
  }
  if (command.has_loss()) {
    mark_runs_changed(command.loss().worker());
    settle_loss(worker_id(command.loss().worker()));
    if (command.loss().gone()) {
      forget_worker(command.loss().worker(), command.loss().over());
    }
  }
  if (command.has_evacuation()) {
    settle_evacuation(command.evacuation().data_centre());
    evacuation_versions_.record(clock_.now(), book_.evacuated().version());
    log_evacuation(command.evacuation());
  }
  if (command.has_leave() && leads_) mark_left(command.leave().worker());
  if (!leads_) return;
  for (const job_book::late_end& it : result.late_ends)
    log_late_end(command.report().worker(), it);
  record_given_up_tasks(result);
  const auto it = pending_responses_.find(command.token());
  if (it == pending_responses_.end()) return;
  const respond_function respond = std::move(it->second);
  pending_responses_.erase(it);
  respond(make_response(result.status, result.reason));
}

/// A proposed loss was applied or could not be proposed.
void fleet_controller::settle_loss(const worker_id& worker) {
  const auto it = pending_losses_.find(worker);
  if (it != pending_losses_.end() && --it->second == 0)
    pending_losses_.erase(it);
}

void fleet_controller::mark_runs_changed(const std::string& worker) {
  worker_view* it = workers_.find(worker_id(worker));
  if (it == nullptr) return;
  it->load_is_stale = it->freed = true;
  workers_.groups().freed.add(*it);
}

void fleet_controller::mark_left(const std::string& worker) {
  worker_view& it = workers_.expect(worker_id(worker));
  it.is_leaving = true;
  if (!it.leave_recorded_at) it.leave_recorded_at = clock_.now();
  workers_.groups().left.add(it);
}

/// Answers the worker's waiting call, so that the worker calls again.
void fleet_controller::forget_worker(const std::string& worker, bool over) {
  const worker_id id(worker);
  worker_view* it = workers_.find(id);
  const respond_function respond =
      it == nullptr ? nullptr : std::exchange(it->respond, nullptr);
  if (over) workers_.end_incarnation(id);
  workers_.erase(id);
  if (respond) respond(make_response(fleet::fleet_ok, "forgotten"));
}

absl::Status fleet_controller::installed(const std::string& bytes) {
  const absl::Status status = book_.load(bytes);
  if (!status.ok()) return status;
  outages_.reload();
  evacuation_versions_.record(clock_.now(), book_.evacuated().version());
  for (auto& [id, it] : workers_.views()) it.load_is_stale = true;
  has_pending_decisions_ = true;
  return status;
}

void fleet_controller::set_leading(bool now) {
  // Another box may have led between two terms of this box.
  if (now && leads_ && log_.term() != led_term_) set_leading(false);
  if (now == leads_) return;
  leads_ = now;
  // Commands that were never proposed cannot be committed.
  const absl::Status error = absl::UnavailableError("leadership-lost");
  const fleet::command_batch batch = std::exchange(batch_, {});
  for (const auto& it : batch.commands()) undo_proposal(it, error);
  // Proposed commands may or may not be committed by the next leader.
  std::map<uint64_t, respond_function> responses;
  responses.swap(pending_responses_);
  if (!leads_) {
    log_event(detail::service_name, log_level::info, "leads-no-more")
        .with("told-not-taken", batch.commands_size())
        .with("told-may-have-run", responses.size());
  }
  for (auto& [token, respond] : responses) {
    respond(make_response(fleet::fleet_unknown, "leadership-lost"));
  }
  for (auto& [id, it] : workers_.views()) {
    if (it.respond) {
      std::exchange(it.respond, nullptr)(
          make_response(fleet::fleet_unavailable, "leadership-lost"));
    }
  }
  workers_.clear();
  pending_losses_.clear();
  pending_successes_.clear();
  pending_evacuations_.clear();
  moving_.clear();
  evicting_.clear();
  crash_times_.clear();
  recorded_progress_.clear();
  scheduler_.progress().clear();
  scheduler_.reset_slack();
  admission_.clear();
  if (!leads_) return;
  led_term_ = log_.term();
  // Tokens of an earlier leadership of this box must never match.
  next_token_ = led_term_.value() << 32U;
  for (const auto& [id, runs] : book_.runs()) workers_.expect(id);
  for (const auto& [id, end] : book_.workers()) workers_.expect(id);
  load_recorded_places();
  await_recorded_starts();
  // The time since a leave restarts, as heartbeats that the previous leader
  // received after the leave may be lost.
  for (const worker_id& id : book_.left()) mark_left(id.str());
  led_since_ = ticked_at_ = clock_.now();
  scheduler_.begin_leadership(led_since_ + settings_.leases.expiry_delay());
  heartbeats_since_tick_ = late_heartbeats_since_tick_ = 0;
  catching_up_until_ = losses_deferred_until_ = {};
  losses_reviewed_ = true;
  lag_.reset();
  load_ = {};
  load_.since = led_since_;
  has_pending_decisions_ = true;
  log_event(detail::service_name, log_level::info, "leads")
      .with("term", log_.term().value())
      .with("jobs-live", book_.live().size())
      .with("workers-with-runs", book_.runs().size())
      .with("workers-leaving", book_.left().size())
      .with("evacuated", book_.evacuated().names())
      .with("config", book_.config().version());
}

}  // namespace kestrelreel
