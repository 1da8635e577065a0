#include "daemon/holder-service.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <map>
#include <utility>

#include "daemon/platform-list.h"
#include "kernel/log.h"

namespace kestrelreel {
namespace detail {

constexpr milliseconds work_interval{50};
constexpr milliseconds slow_interval{1'000};
constexpr int ticks_per_lease = 12;

}  // namespace detail

holder_service::holder_service(process_context& context)
    : context_(context),
      lease_timer_(context.io),
      work_timer_(context.io),
      slow_timer_(context.io) {}

holder_service::~holder_service() = default;

absl::Status holder_service::start(service_registry& registry) {
  network_ = registry.find<network_service>(service_names::network);
  record_ = registry.find<record_service>(service_names::record);
  const process_settings& settings = context_.settings;
  auto policy = make_policy(settings.placement_policy);
  if (!policy.ok()) return policy.status();
  policy_ = std::move(*policy);
  book_settings book;
  book.task_lease = settings.task_lease;
  book.drift_percent = settings.clock_drift_percent;
  book_ = std::make_unique<task_book>(book, *policy_, context_.clock);
  make_leases();
  const box_table& boxes = record_->boxes();
  lender_ = std::make_unique<slot_lender>(
      boxes.in_data_centre(boxes.own_data_centre()), loan_settings(),
      context_.clock);
  workers_ = std::make_unique<grpc_worker_link>(context_.io);
  subscribe();
  lease_timer_.start(settings.holder_lease / detail::ticks_per_lease,
                     [this] { lease_tick(); });
  work_timer_.start(detail::work_interval, [this] { work_tick(); });
  slow_timer_.start(detail::slow_interval, [this] {
    poll_platform();
    plan();
  });
  return absl::OkStatus();
}

void holder_service::make_leases() {
  const box_table& boxes = record_->boxes();
  lease_settings settings;
  settings.duration = context_.settings.holder_lease;
  settings.drift_percent = context_.settings.clock_drift_percent;
  for (const box_entry& box : boxes.boxes()) {
    const data_centre_id& it = box.data_centre;
    const auto grantors = lease_grantors(boxes, it);
    const bool grants = std::find(grantors.begin(), grantors.end(),
                                  boxes.self()) != grantors.end();
    if (!grants || leases_.contains(it)) continue;
    leases_[it] = std::make_unique<holder_lease>(
        boxes.self(), it, grantors, settings, context_.clock,
        [this](const box_id& to, proto::peer_message m) {
          network_->send(to, std::move(m));
        });
  }
  lease_ = leases_.at(boxes.own_data_centre()).get();
}

holder_lease* holder_service::find_lease(const std::string& data_centre) {
  const auto it = leases_.find(data_centre_id(data_centre));
  return it == leases_.end() ? nullptr : it->second.get();
}

void holder_service::stop() {
  lease_timer_.stop();
  work_timer_.stop();
  slow_timer_.stop();
  workers_.reset();
}

void holder_service::subscribe() {
  using body = proto::peer_message;
  network_->subscribe(body::kLease, [this](const auto& from, const auto& m) {
    holder_lease* it = find_lease(m.lease().data_centre());
    if (it != nullptr) it->on_request(from, m.lease());
  });
  network_->subscribe(body::kLeased, [this](const auto& from, const auto& m) {
    holder_lease* it = find_lease(m.leased().data_centre());
    if (it == nullptr) return;
    it->on_reply(from, m.leased());
    lease_tick();
  });
  network_->subscribe(body::kRunners, [this](const auto& from, const auto& m) {
    answer_runners(from, m.runners());
  });
  record_->on_change([this](const record_state::touched_items& touched) {
    touched_.all |= touched.all;
    touched_.keys.insert(touched.keys.begin(), touched.keys.end());
  });
  record_->on_heartbeat([this](proto::box_digest& digest) {
    if (!holds()) return;
    digest.set_holder_epoch(lease_->epoch().value());
    *digest.mutable_free() = to_proto(book_->free_room());
  });
}

box_id holder_service::holder() const {
  if (holds()) return context_.settings.box;
  const box_table& boxes = record_->boxes();
  box_id best;
  uint64_t highest = 0;
  for (const box_id& it : boxes.in_data_centre(boxes.own_data_centre())) {
    if (it == boxes.self() || !boxes.live(it)) continue;
    const uint64_t epoch = boxes.view(it).digest.holder_epoch();
    if (epoch <= highest) continue;
    highest = epoch;
    best = it;
  }
  return best;
}

void holder_service::lease_tick() {
  const box_id it = holder();
  if (!record_->ready() && !lease_->held()) return;
  lease_->tick(!it.empty() && it != context_.settings.box);
  const bool held = lease_->held();
  const bool same = active_ && book_->epoch() == lease_->epoch();
  if (held && !same) begin_reign();
  if (!held && active_) end_reign();
}

void holder_service::begin_reign() {
  active_ = true;
  book_->begin(lease_->epoch(), context_.settings.box.str());
  lender_->begin();
  touched_.all = true;
  log_event("holder", log_level::info, "lease-begins")
      .with("epoch", lease_->epoch().value());
  poll_platform();
  record_->send_heartbeat();
}

void holder_service::end_reign() {
  active_ = false;
  log_event("holder", log_level::warn, "lease-ends")
      .with("epoch", book_->epoch().value());
  record_->send_heartbeat();
}

void holder_service::resign() {
  if (lease_) lease_->resign();
  if (active_) end_reign();
}

void holder_service::work_tick() {
  // Without a current record wanted tasks would look like orphans.
  if (!holds() || !record_->ready()) return;
  update_tasks();
  book_->set_evacuated(
      record_->state().evacuated(record_->boxes().own_data_centre()));
  book_->expire();
  book_->place();
  sync_workers();
  record_completions();
}

/// Tells the book what the record wants now, of the items that changed.
void holder_service::update_tasks() {
  const record_state::touched_items touched = std::exchange(touched_, {});
  const record_state& state = record_->state();
  const data_centre_id& here = record_->boxes().own_data_centre();
  if (touched.all) return book_->set_tasks(tasks_of(state, here));
  for (const std::string& key : touched.keys) {
    book_->set_tasks(task_prefix(key), tasks_of_item(state, key, here));
  }
}

void holder_service::sync_workers() {
  for (const worker_id& id : book_->due()) {
    const proto::sync_request request = book_->next_sync(id);
    const std::string& address = book_->workers().at(id).info.address;
    const uint64_t sequence = request.sequence();
    workers_->sync(address, request,
                   [this, id, sequence](absl::StatusOr<proto::sync_reply> it) {
                     on_reply(id, sequence, std::move(it));
                   });
  }
}

void holder_service::on_reply(const worker_id& worker, uint64_t /*sequence*/,
                              absl::StatusOr<proto::sync_reply> reply) {
  if (!reply.ok()) return book_->on_no_reply(worker);
  if (!holds()) return;
  const auto outbid = book_->on_reply(*reply);
  if (!outbid) return;
  log_event("holder", log_level::warn, "outbid")
      .with("worker", worker.str())
      .with("epoch", outbid->value());
  lease_->outbid(*outbid);
}

void holder_service::record_completions() {
  const time_point now = context_.clock.now();
  if (now - last_completion_ < detail::slow_interval / 2) return;
  last_completion_ = now;
  const auto jobs = book_->completions();
  if (jobs.empty()) return;
  proto::command command;
  proto::completion& completion = *command.mutable_complete();
  completion.set_data_centre(record_->boxes().own_data_centre().str());
  for (const auto& [job, tasks] : jobs) {
    auto& done = *completion.add_jobs();
    done.set_job(job);
    done.mutable_tasks()->Add(tasks.begin(), tasks.end());
  }
  record_->propose(command);
}

/// The leader of the record gives new jobs to data centres.
void holder_service::plan() {
  if (!record_->leads()) return;
  const box_table& boxes = record_->boxes();
  data_centre_rooms rooms;
  for (const box_entry& it : boxes.boxes()) {
    if (!boxes.live(it.id)) continue;
    const proto::box_digest& digest = boxes.view(it.id).digest;
    if (digest.holder_epoch() == 0) continue;
    rooms[it.data_centre] = to_amount(digest.free());
  }
  proto::command command;
  *command.mutable_delegate() = plan_jobs(record_->state(), std::move(rooms));
  if (command.delegate().grants_size() > 0) record_->propose(command);
}

void holder_service::poll_platform() {
  if (!active_ || std::exchange(polling_, true)) return;
  boost::asio::co_spawn(
      context_.io,
      fetch_workers(context_.io, context_.settings.platform_address),
      [this](const std::exception_ptr& error,
             absl::StatusOr<std::vector<worker_info>> list) {
        polling_ = false;
        if (error) return;
        if (list.ok()) return take_list(*list);
        log_event("holder", log_level::warn, "no-platform-list")
            .with("error", list.status().message());
      });
}

/// The platform's list lags and may be partial. A list that loses more than
/// half of the workers that still answer is not believed.
void holder_service::take_list(const std::vector<worker_info>& workers) {
  std::map<worker_id, bool> listed;
  for (const worker_info& it : workers) listed[it.id] = true;
  size_t answering = 0;
  size_t lost = 0;
  const time_point now = context_.clock.now();
  for (const auto& [id, it] : book_->workers()) {
    if (!it.synced || now - it.last_answer > 3 * detail::slow_interval) {
      continue;
    }
    ++answering;
    if (!listed.contains(id)) ++lost;
  }
  if (lost * 2 > answering) {
    log_event("holder", log_level::warn, "platform-list-not-believed")
        .with("listed", workers.size())
        .with("answering", answering)
        .with("lost", lost);
    return;
  }
  book_->set_workers(workers);
  std::map<std::string, bool> addresses;
  for (const auto& [id, it] : book_->workers()) {
    addresses[it.info.address] = true;
  }
  workers_->retain(addresses);
}

std::vector<lendable_runner> holder_service::runners() const {
  std::vector<lendable_runner> result;
  for (const auto& [id, task] : book_->tasks()) {
    if (!task.run || !task.run->counted) continue;
    const task_run& run = *task.run;
    if (run.phase == run_phase::starting || run.address.empty()) continue;
    lendable_runner it;
    it.task = id;
    it.attempt = run.attempt;
    it.service = run.counted->owner;
    it.address = run.address;
    it.slots = run.counted->slots;
    it.leaving = run.phase != run_phase::running;
    result.push_back(std::move(it));
  }
  return result;
}

void holder_service::answer_runners(const box_id& from,
                                    const proto::runner_request& it) {
  // A table that lacks runners not heard of yet would take them away.
  if (!holds() || !book_->settled()) return;
  const box_table& boxes = record_->boxes();
  proto::peer_message m;
  *m.mutable_table() = lender_->answer(
      from, it, runners(), boxes.serving_in(boxes.own_data_centre()));
  m.mutable_table()->set_epoch(lease_->epoch().value());
  network_->send(from, std::move(m));
}

}  // namespace kestrelreel
