#include "daemon/record-service.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <cstdlib>
#include <utility>

#include "base/text.h"
#include "kernel/log.h"

namespace kestrelreel {
namespace detail {

constexpr milliseconds tick_interval{100};
constexpr milliseconds heartbeat_interval{500};
constexpr int disk_failure_exit = 74;

std::vector<box_entry> box_entries(const process_settings& settings) {
  std::vector<box_entry> result;
  for (const box_settings& it : settings.boxes) {
    result.push_back({it.id, it.data_centre, it.peer_address, it.replica});
  }
  return result;
}

}  // namespace detail

record_service::record_service(process_context& context)
    : context_(context), tick_timer_(context.io), heartbeat_timer_(context.io) {
  boxes_ = std::make_unique<box_table>(context.settings.box,
                                       detail::box_entries(context.settings),
                                       context.clock);
}

record_service::~record_service() = default;

absl::Status record_service::start(service_registry& registry) {
  network_ = registry.find<network_service>(service_names::network);
  started_ = context_.clock.now();
  const auto send_to = [this](const box_id& to, proto::peer_message m) {
    network_->send(to, std::move(m));
  };
  source_ = std::make_unique<feed_source>(state_, context_.clock, send_to);
  if (context_.settings.self().replica) {
    absl::Status status = start_replica();
    if (!status.ok()) return status;
  } else {
    sink_ = std::make_unique<feed_sink>(*boxes_, context_.clock, send_to);
  }
  subscribe();
  tick_timer_.start(detail::tick_interval, [this] { tick(); });
  heartbeat_timer_.start(detail::heartbeat_interval, [this] {
    // Other data centres get every fourth one.
    send_heartbeat(heartbeats_++ % 4 == 0);
  });
  return absl::OkStatus();
}

void record_service::stop() {
  tick_timer_.stop();
  heartbeat_timer_.stop();
  disk_thread_.reset();
  replica_.reset();
}

proto::membership record_service::founding_members() const {
  proto::membership members;
  for (const box_settings& it : context_.settings.boxes) {
    if (!it.replica) continue;
    proto::replica& voter = *members.add_voters();
    voter.set_box(it.id.str());
    voter.set_identity("founder");
  }
  return members;
}

std::string record_service::new_identity() {
  return str_cat(absl::Hex(context_.random.next(), absl::kZeroPad16));
}

absl::StatusOr<std::unique_ptr<log_store>> record_service::open_store() {
  const box_id& self = context_.settings.box;
  auto store = log_store::open(*folder_, self);
  if (!absl::IsNotFound(store.status())) {
    if (context_.new_cluster && store.ok()) {
      return absl::FailedPreconditionError(
          "the data folder holds a record already; start without "
          "--new-cluster");
    }
    return store;
  }
  if (context_.new_cluster) {
    return log_store::create(*folder_, self, "founder", founding_members());
  }
  log_event("record", log_level::warn, "empty-data-folder")
      .with("effect", "joins as a new replica, which votes once it caught up");
  return log_store::create(*folder_, self, new_identity(), {});
}

absl::Status record_service::start_replica() {
  auto folder = folder_disk::open_folder(context_.settings.data_folder);
  if (!folder.ok()) return folder.status();
  folder_ = std::move(*folder);
  auto store = open_store();
  if (!store.ok()) return store.status();
  raft_settings settings;
  settings.self = context_.settings.box;
  settings.identity = (*store)->identity();
  for (const box_settings& it : context_.settings.boxes) {
    if (it.replica) settings.replica_boxes.push_back(it.id);
  }
  disk_thread_ = std::make_unique<blocking_thread>(context_.io);
  replica_ = std::make_unique<replica>(std::move(settings), context_.random,
                                       std::move(*store), *disk_thread_, *this);
  return absl::OkStatus();
}

void record_service::subscribe() {
  using body = proto::peer_message;
  network_->subscribe(body::kRaft, [this](const auto&, const auto& m) {
    if (replica_) replica_->receive(m.raft());
  });
  network_->subscribe(body::kFeed, [this](const auto& from, const auto& m) {
    on_feed_request(from, m.feed());
  });
  network_->subscribe(body::kFed, [this](const auto& from, const auto& m) {
    on_fed(from, m.fed());
  });
  network_->subscribe(body::kProposal, [this](const auto&, const auto& m) {
    if (leads()) propose(m.proposal().payload());
  });
  network_->subscribe(body::kDigest, [this](const auto& from, const auto& m) {
    boxes_->record_heartbeat(from, m.incarnation(), m.digest());
  });
}

const raft* record_service::replica_state() const {
  return replica_ ? &replica_->state() : nullptr;
}

box_id record_service::leader() const {
  return box_id(replica_ ? replica_->state().leader() : fed_leader_);
}

bool record_service::leads() const {
  return replica_ && replica_->state().role() == raft_role::leader;
}

bool record_service::ready() const {
  if (context_.clock.now() - started_ < 2 * detail::heartbeat_interval) {
    return false;
  }
  for (const box_entry& it : boxes_->boxes()) {
    if (it.id == boxes_->self() || !boxes_->live(it.id)) continue;
    if (boxes_->view(it.id).digest.version_in_force() > state_.version()) {
      return false;
    }
  }
  return state_.applied() > 0;
}

void record_service::propose(const proto::command& command) {
  if (leads()) {
    const absl::Status status = replica_->propose(command.SerializeAsString());
    if (status.ok()) return;
  }
  const box_id to = leader();
  if (to.empty() || to == context_.settings.box) return;
  proto::peer_message m;
  *m.mutable_proposal()->mutable_payload() = command;
  network_->send(to, std::move(m));
}

void record_service::on_change(change_handler it) {
  change_handlers_.push_back(std::move(it));
}

void record_service::on_heartbeat(std::function<void(proto::box_digest&)> it) {
  heartbeat_handlers_.push_back(std::move(it));
}

void record_service::transfer_leadership() {
  if (replica_) replica_->transfer_leadership();
}

void record_service::send(const proto::raft_message& m) {
  proto::peer_message out;
  *out.mutable_raft() = m;
  network_->send(box_id(m.to()), std::move(out));
}

void record_service::install(const proto::log_snapshot& snapshot) {
  state_.install(snapshot);
  source_->on_installed();
  changed();
}

void record_service::apply(const proto::log_entry& entry) {
  state_.apply(entry);
  source_->on_applied(entry);
  changed();
}

std::string record_service::save_state() { return state_.save(); }

void record_service::disk_failed(const absl::Status& status) {
  log_event("record", log_level::error, "disk-failed")
      .with("error", status.message())
      .with("effect", "the process ends, as no write may be trusted now");
  std::_Exit(detail::disk_failure_exit);
}

/// Tells the other services once for all entries that came together.
void record_service::changed() {
  if (std::exchange(change_pending_, true)) return;
  boost::asio::post(context_.io, [this] {
    change_pending_ = false;
    source_->flush();
    const auto touched = state_.take_touched();
    for (const auto& it : change_handlers_) it(touched);
    if (state_.version() != version_told_) send_heartbeat();
  });
}

void record_service::on_feed_request(const box_id& from,
                                     const proto::feed_request& it) {
  source_->on_request(from, it, leader().str());
}

void record_service::on_fed(const box_id& from,
                            const proto::feed_reply& reply) {
  if (!sink_) return;
  fed_leader_ = reply.leader();
  const proto::log_snapshot* snapshot = sink_->take_snapshot(from, reply);
  if (snapshot && snapshot->index() > state_.applied()) install(*snapshot);
  for (const proto::log_entry& it : reply.entries()) {
    if (it.index() == state_.applied() + 1) apply(it);
  }
  sink_->on_reply(from, reply, state_.applied());
}

void record_service::tick() {
  if (sink_) sink_->tick(state_.applied());
  source_->flush();
  if (!replica_) return;
  replica_->tick();
  const raft& it = replica_->state();
  if (it.role() == last_role_) return;
  last_role_ = it.role();
  log_event("record", log_level::info, "role-changed")
      .with("role", to_string(it.role()))
      .with("term", it.term())
      .with("leader", it.leader());
}

void record_service::send_heartbeat(bool to_all) {
  version_told_ = state_.version();
  proto::peer_message m;
  proto::box_digest& digest = *m.mutable_digest();
  digest.set_version_in_force(state_.version());
  digest.set_applied(state_.applied());
  digest.set_stopping(context_.stopping);
  for (const auto& it : heartbeat_handlers_) it(digest);
  boxes_->record_heartbeat(context_.settings.box, context_.incarnation, digest);
  for (const box_entry& it : boxes_->boxes()) {
    if (it.id == context_.settings.box) continue;
    if (to_all || boxes_->is_local(it.id)) network_->send(it.id, m);
  }
}

}  // namespace kestrelreel
