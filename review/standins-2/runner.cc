#include "runner.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cstdlib>
#include <utility>

namespace review2 {
namespace {

namespace json = boost::json;

/// An answer that comes later is dropped.
constexpr milliseconds answer_limit{1'000};
constexpr milliseconds pause_after_end{50};
constexpr milliseconds usual_pause{200};
constexpr milliseconds nap_length{5};
/// How long a stop takes, below the 900 ms of the deployment's `stop_ms`.
constexpr milliseconds stop_time{700};
constexpr milliseconds fails_after{100};
/// When the members of a gang learn that another one has ended.
constexpr milliseconds gang_patience{3'000};
constexpr unsigned cpu = 32'000;
constexpr unsigned memory_mb = 125'000;

uint64_t number_or(const json::object& from, const char* name, uint64_t other) {
  const json::value* it = from.if_contains(name);
  return it == nullptr ? other : it->to_number<uint64_t>();
}

const json::array& rows_of(const json::object& from, const char* name) {
  static const json::array none;
  const json::value* it = from.if_contains(name);
  return it == nullptr ? none : it->as_array();
}

std::string text_at(const json::array& row, size_t i) {
  return std::string(row.at(i).as_string());
}

std::optional<unsigned> number_after(const std::string& spec,
                                     const std::string& name) {
  const size_t at = spec.find(name);
  if (at == std::string::npos) return std::nullopt;
  return static_cast<unsigned>(
      std::strtoul(&spec[at + name.size()], nullptr, 10));
}

/// ID.K.STEP of a task, and the run that the members of a gang share.
std::string gang_of(const std::string& task, unsigned run) {
  return task.substr(0, task.rfind('.')) + "/" + std::to_string(run);
}

}  // namespace

size_t run_book::began(const std::string& task, unsigned run,
                       const std::string& runner, const std::string& zone) {
  const std::lock_guard lock(mutex_);
  runs_.push_back({task, run, runner, zone, seen_.now(), std::nullopt, ""});
  seen_.note("runner " + runner + " in " + zone + " begins " + task + " run " +
             std::to_string(run));
  return runs_.size() - 1;
}

void run_book::ended(size_t which, const std::string& how) {
  const std::lock_guard lock(mutex_);
  seen_run& it = runs_.at(which);
  it.ended = seen_.now();
  it.how = how;
  seen_.note("runner " + it.runner + " ends " + it.task + " run " +
             std::to_string(it.run) + ": " + how);
}

std::vector<seen_run> run_book::all() const {
  const std::lock_guard lock(mutex_);
  return runs_;
}

unsigned run_book::count(const std::string& how) const {
  const std::lock_guard lock(mutex_);
  return static_cast<unsigned>(
      std::count_if(runs_.begin(), runs_.end(),
                    [&](const seen_run& it) { return it.how == how; }));
}

size_t run_book::present(const std::string& gang_run,
                         const std::string& member) {
  const std::lock_guard lock(mutex_);
  members_[gang_run].insert(member);
  return members_[gang_run].size();
}

size_t run_book::present(const std::string& gang_run) const {
  const std::lock_guard lock(mutex_);
  const auto it = members_.find(gang_run);
  return it == members_.end() ? 0 : it->second.size();
}

void run_book::fail_gang(const std::string& gang_run) {
  const std::lock_guard lock(mutex_);
  failed_gangs_.insert(gang_run);
}

bool run_book::gang_failed(const std::string& gang_run) const {
  const std::lock_guard lock(mutex_);
  return failed_gangs_.contains(gang_run);
}

runner::runner(runner_settings settings, std::vector<std::string> controls,
               run_book& book, record& seen)
    : settings_(std::move(settings)),
      controls_(std::move(controls)),
      book_(book),
      seen_(seen),
      fails_all_(settings_.fails_all) {
  seen_.note("runner " + settings_.id + " is up");
  thread_ = std::thread([this] { work(); });
}

runner::~runner() {
  up_ = false;
  thread_.join();
}

void runner::crash() {
  const std::lock_guard lock(mutex_);
  if (!up_.exchange(false)) return;
  for (const auto& [task, it] : running_) book_.ended(it.seen, "died");
  running_.clear();
  seen_.note("runner " + settings_.id + " is gone");
}

void runner::drain(milliseconds remaining) {
  const std::lock_guard lock(mutex_);
  gone_at_ = clock_type::now() + remaining;
}

std::string runner::heartbeat_address() const {
  const std::lock_guard lock(mutex_);
  return told_;
}

std::string runner::body() {
  json::array running;
  for (const auto& [task, it] : running_)
    running.push_back(json::array{task, it.run, it.saved, 50, 0});
  json::array ended;
  for (const listed_end& it : ended_)
    ended.push_back(json::array{it.number, it.task, it.run, it.how, ""});
  json::array labels;
  for (const std::string& it : settings_.labels) labels.emplace_back(it);
  const auto now = clock_type::now();
  const auto in_ms = [](auto length) {
    return std::chrono::duration_cast<milliseconds>(length).count();
  };
  json::object out{{"Service", "iklim-servis"},
                   {"Addr", settings_.address},
                   {"Zone", settings_.zone},
                   {"machine", settings_.machine},
                   {"Version", "v1"},
                   {"Slots", 8},
                   {"State", gone_at_ ? "draining" : "ready"},
                   {"ColdLeftMs", 0},
                   {"Labels", std::move(labels)},
                   {"Seq", ++sequence_},
                   {"ClockMs", in_ms(now - born_) + 1},
                   {"Running", std::move(running)},
                   {"Ended", std::move(ended)}};
  if (gone_at_)
    out["RemainingMs"] = std::max<int64_t>(0, in_ms(*gone_at_ - now));
  out["Capacity"] =
      json::object{{"Cpu", cpu}, {"MemMb", memory_mb}, {"Gpu", 0}};
  return json::serialize(out);
}

/// Returns false when no answer came.
bool runner::beat() {
  http_question question{"PUT", "/instances/" + settings_.id, ""};
  std::string to;
  bool drains = false;
  {
    const std::lock_guard lock(mutex_);
    question.body = body();
    drains = gone_at_.has_value();
    to = told_.empty() ? controls_[next_control_] : told_;
  }
  const auto sent = clock_type::now();
  const http_reply reply = ask(to, question, answer_limit);
  const std::lock_guard lock(mutex_);
  if (!up_) return true;
  const bool timely = clock_type::now() - sent <= answer_limit;
  if (reply.status == 200 && timely) {
    take(reply.body, sent);
    if (drains) drain_acknowledged_ = true;
    return true;
  }
  told_.clear();
  next_control_ = (next_control_ + 1) % controls_.size();
  return false;
}

void runner::take(const std::string& text, clock_type::time_point sent) {
  const json::value value = json::parse(text);
  const json::object& orders = value.as_object();
  pause_ = milliseconds(number_or(orders, "BackoffMs", usual_pause.count()));
  if (const auto* at = orders.if_contains("HeartbeatAddr"))
    told_ = std::string(at->as_string());
  const uint64_t fence = number_or(orders, "FenceToken", 0);
  if (fence < fence_) return;
  fence_ = fence;
  const milliseconds hold(number_or(orders, "HoldMs", 0));
  if (hold.count() > 0) {
    ++answers_;
    lease_until_ = std::max(lease_until_, sent + hold);
  }
  const uint64_t noted = number_or(orders, "LastSeen", 0);
  std::erase_if(ended_, [&](const auto& it) { return it.number <= noted; });
  for (const json::value& it : rows_of(orders, "Stop")) {
    const json::array& row = it.as_array();
    stop(text_at(row, 0), row.at(1).to_number<unsigned>());
  }
  if (hold.count() == 0 || clock_type::now() >= lease_until_) return;
  for (const json::value& it : rows_of(orders, "Start")) {
    const json::array& row = it.as_array();
    start(text_at(row, 0), row.at(1).to_number<unsigned>(), text_at(row, 2));
  }
}

void runner::start(const std::string& task, unsigned run,
                   const std::string& spec) {
  const auto live = running_.find(task);
  if (live != running_.end() && live->second.run >= run) return;
  if (live != running_.end() || over_[task] >= run) {
    ended_.push_back({++last_end_, task, run, "refused"});
    return;
  }
  const auto now = clock_type::now();
  live_run it;
  it.run = run;
  it.began = now;
  if (const auto ms = number_after(spec, "ms="))
    it.done_at = now + milliseconds(*ms);
  it.gang_size = number_after(spec, "gang=").value_or(0);
  it.seen = book_.began(task, run, settings_.id, settings_.zone);
  if (it.gang_size > 0) book_.present(gang_of(task, run), task);
  running_[task] = it;
}

void runner::stop(const std::string& task, unsigned run) {
  over_[task] = std::max(over_[task], run);
  const auto live = running_.find(task);
  if (live == running_.end() || live->second.run != run) return;
  if (live->second.stopped_at) return;
  seen_.note("runner " + settings_.id + " is told to stop " + task + " run " +
             std::to_string(run));
  live->second.stopped_at = clock_type::now() + stop_time;
}

const char* runner::how_it_ends(const std::string& task, const live_run& it,
                                clock_type::time_point now) const {
  if (now >= lease_until_) return "lapsed";
  if (it.stopped_at && now >= *it.stopped_at) return "stopped";
  if (it.gang_size > 0) {
    const std::string gang = gang_of(task, it.run);
    if (book_.present(gang) < it.gang_size)
      return now >= it.began + gang_patience ? "alone" : nullptr;
    if (!fails_all_ && book_.gang_failed(gang)) return "broken";
  }
  if (fails_all_) return now >= it.began + fails_after ? "failed" : nullptr;
  if (it.done_at && now >= *it.done_at) return "done";
  return nullptr;
}

void runner::end_what_is_due() {
  const auto now = clock_type::now();
  std::vector<std::pair<std::string, const char*>> due;
  for (const auto& [task, it] : running_) {
    const char* how = how_it_ends(task, it, now);
    if (how != nullptr) due.emplace_back(task, how);
  }
  for (const auto& [task, how] : due) finish(task, how);
}

void runner::finish(const std::string& task, const char* how) {
  const live_run it = running_.at(task);
  running_.erase(task);
  over_[task] = std::max(over_[task], it.run);
  ended_.push_back({++last_end_, task, it.run, how});
  book_.ended(it.seen, how);
  if (it.gang_size > 0 && std::string_view(how) == "failed")
    book_.fail_gang(gang_of(task, it.run));
}

/// Waits for the next heartbeat; sooner after an end. False once it is gone.
bool runner::may_wait_until(clock_type::time_point until) {
  size_t listed = 0;
  {
    const std::lock_guard lock(mutex_);
    listed = ended_.size();
  }
  while (up_ && clock_type::now() < until) {
    nap(nap_length);
    const std::lock_guard lock(mutex_);
    if (!up_) return false;
    end_what_is_due();
    if (ended_.size() > listed)
      until = std::min(until, clock_type::now() + pause_after_end);
    listed = ended_.size();
  }
  return up_;
}

void runner::work() {
  while (up_) {
    const bool answered = beat();
    const auto now = clock_type::now();
    if (!may_wait_until(now + (answered ? pause_ : pause_after_end))) return;
  }
}

}  // namespace review2
