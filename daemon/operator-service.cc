#include "daemon/operator-service.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_join.h"
#include "base/text.h"
#include "kernel/log.h"
#include "net/grpc-server.h"

namespace kestrelreel {
namespace detail {

constexpr milliseconds review_interval{50};
constexpr milliseconds propose_again{500};
constexpr uint64_t longest_wait_ms = 60'000;

}  // namespace detail

operator_service::operator_service(process_context& context)
    : context_(context), review_timer_(context.io) {}

operator_service::~operator_service() = default;

absl::Status operator_service::start(service_registry& registry) {
  record_ = registry.find<record_service>(service_names::record);
  holder_ = registry.find<holder_service>(service_names::holder);
  calls_ = std::make_unique<operator_server>(context_.io, *this);
  auto server = start_grpc_server(context_.settings.operators_address, *calls_,
                                  context_.grpc_memory);
  if (!server.ok()) return server.status();
  server_ = std::move(*server);
  record_->on_change([this](const auto&) { review(); });
  review_timer_.start(detail::review_interval, [this] { review(); });
  return absl::OkStatus();
}

void operator_service::stop() {
  review_timer_.stop();
  for (pending_change& it : pending_) {
    it.done(absl::UnavailableError(
        "this box stops; whether the change was accepted is not known: send "
        "it again with the same request id"));
  }
  pending_.clear();
  stop_grpc_server(*server_);
}

std::vector<std::string> operator_service::unknown_data_centres(
    const proto::apply_request& request) const {
  std::vector<std::string> unknown;
  for (const proto::spec_item& it : request.items()) {
    if (!it.has_evacuation()) continue;
    const data_centre_id name(it.evacuation().data_centre());
    if (record_->boxes().in_data_centre(name).empty()) {
      unknown.push_back(name.str());
    }
  }
  return unknown;
}

void operator_service::fill_difference(const proto::apply_request& request,
                                       proto::apply_reply& reply) const {
  const spec_difference it =
      compare(record_->state().items(), by_key(request.items()));
  reply.mutable_added()->Assign(it.added.begin(), it.added.end());
  reply.mutable_changed()->Assign(it.changed.begin(), it.changed.end());
  reply.mutable_removed()->Assign(it.removed.begin(), it.removed.end());
}

void operator_service::apply(const proto::apply_request& request,
                             proto::apply_reply& reply, done_function done) {
  if (request.request_id().empty() || request.version() == 0 ||
      request.replaces() >= request.version()) {
    return done(absl::InvalidArgumentError(
        "a change needs a request id, a version, and a lower version that it "
        "replaces"));
  }
  const std::vector<std::string> unknown = unknown_data_centres(request);
  if (!unknown.empty()) {
    return done(absl::InvalidArgumentError(
        str_cat("no box stands in the data centre to be evacuated: ",
                absl::StrJoin(unknown, ", "))));
  }
  fill_difference(request, reply);
  if (request.dry_run()) {
    reply.mutable_outcome()->set_version(record_->state().version());
    return done(absl::OkStatus());
  }
  const uint64_t wait = std::min(request.timeout_ms(), detail::longest_wait_ms);
  pending_change it;
  it.request = request;
  it.reply = &reply;
  it.done = std::move(done);
  it.deadline = context_.clock.now() + milliseconds(static_cast<int64_t>(wait));
  pending_.push_back(std::move(it));
  review();
}

void operator_service::review() {
  for (auto it = pending_.begin(); it != pending_.end();) {
    if (finished(*it)) {
      it = pending_.erase(it);
      continue;
    }
    propose(*it);
    ++it;
  }
}

bool operator_service::finished(pending_change& it) {
  const auto* outcome = record_->state().outcome(it.request.request_id());
  if (outcome != nullptr) {
    *it.reply->mutable_outcome() = *outcome;
    log_event("operators", log_level::info, "change-decided")
        .with("change", it.request.request_id())
        .with("author", it.request.author())
        .with("result", proto::change_result_Name(outcome->result()))
        .with("version", outcome->version());
    it.done(absl::OkStatus());
    return true;
  }
  if (context_.clock.now() < it.deadline) return false;
  it.done(absl::DeadlineExceededError(
      "no quorum of the record answered in time; whether the change was "
      "accepted is not known: send it again with the same request id"));
  return true;
}

/// Asks the leader for the change, as the difference to the version that it
/// replaces. What can no longer be accepted is sent as well: the record alone
/// decides, so that equal versions get one answer everywhere.
void operator_service::propose(pending_change& it) {
  const time_point now = context_.clock.now();
  const record_state& state = record_->state();
  if (now < it.next_try) return;
  it.next_try = now + detail::propose_again;
  const spec_items wanted = by_key(it.request.items());
  proto::command command;
  proto::state_change& change = *command.mutable_change();
  const bool complete = state.version() == it.request.replaces();
  if (complete) change = make_change(state.items(), wanted);
  change.set_incomplete(!complete);
  change.set_digest(digest_of(wanted));
  change.set_request_id(it.request.request_id());
  change.set_author(it.request.author());
  change.set_replaces(it.request.replaces());
  change.set_version(it.request.version());
  change.set_proposed_at_ms(wall_clock_ms());
  record_->propose(command);
}

void operator_service::get(const proto::get_request& /*request*/,
                           proto::get_reply& reply, done_function done) {
  const record_state& state = record_->state();
  reply.set_version(state.version());
  reply.set_author(state.author());
  reply.set_request_id(state.request_id());
  reply.set_digest(state.digest());
  for (const auto& [key, it] : state.items()) *reply.add_items() = it;
  done(absl::OkStatus());
}

proto::box_status operator_service::status_of(const box_entry& box) const {
  const box_table& boxes = record_->boxes();
  const box_view& view = boxes.view(box.id);
  proto::box_status it;
  it.set_box(box.id.str());
  it.set_data_centre(box.data_centre.str());
  it.set_live(boxes.live(box.id));
  it.set_role(box.id == record_->leader() ? "leader"
              : box.replica               ? "replica"
                                          : "entry");
  it.set_version_in_force(view.digest.version_in_force());
  it.set_applied(view.digest.applied());
  it.set_holder_epoch(view.digest.holder_epoch());
  it.set_stopping(view.digest.stopping());
  if (box.id == boxes.self()) {
    it.set_version_in_force(record_->state().version());
    it.set_applied(record_->state().applied());
  }
  const milliseconds silent = context_.clock.now() - view.last_heard;
  if (view.ever_heard) {
    it.set_silent_ms(static_cast<uint64_t>(silent.count()));
  }
  return it;
}

void operator_service::status(const proto::status_request& /*request*/,
                              proto::status_reply& reply, done_function done) {
  reply.set_box(context_.settings.box.str());
  reply.set_leader(record_->leader().str());
  reply.set_version(record_->state().version());
  reply.set_losses_survived(-1);
  reply.set_now_ms(wall_clock_ms());
  for (const auto& [name, it] : record_->state().evacuations()) {
    *reply.add_evacuations() = it;
  }
  for (const box_entry& it : record_->boxes().boxes()) {
    *reply.add_boxes() = status_of(it);
  }
  const raft* it = record_->replica_state();
  if (it == nullptr) return done(absl::OkStatus());
  reply.set_term(it->term());
  reply.set_commit(it->commit_index());
  reply.set_losses_survived(it->losses_survived());
  for (const auto& voter : it->members().voters()) {
    reply.add_voters(voter.box());
  }
  for (const auto& learner : it->members().learners()) {
    reply.add_learners(learner.box());
  }
  done(absl::OkStatus());
}

void operator_service::tasks(const proto::tasks_request& request,
                             proto::tasks_reply& reply, done_function done) {
  const data_centre_id& here = record_->boxes().own_data_centre();
  reply.set_data_centre(here.str());
  reply.set_holder(holder_->holder().str());
  const bool other =
      !request.data_centre().empty() && request.data_centre() != here.str();
  if (other || !holder_->holds()) {
    return done(absl::FailedPreconditionError(
        str_cat("box ", context_.settings.box.str(), " of ", here.str(),
                " is not the holder; the holder there is '",
                holder_->holder().str(), "'")));
  }
  reply.set_epoch(holder_->book().epoch().value());
  for (const auto& [id, task] : holder_->book().tasks()) {
    proto::task_row& row = *reply.add_tasks();
    row.set_task(id.str());
    row.set_reason(to_string(task.reason));
    row.set_phase(task.done ? "done" : "waiting");
    if (!task.run) continue;
    row.set_phase(to_string(task.run->phase));
    row.set_worker(task.run->worker->info.id.str());
    row.set_attempt(task.run->attempt.value());
    row.set_address(task.run->address);
  }
  done(absl::OkStatus());
}

}  // namespace kestrelreel
