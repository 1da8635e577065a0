#include "support/faults/soak-worker.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "base/text.h"

namespace kestrelreel::faults {
namespace {

namespace json = boost::json;

/// An answer that takes longer is dropped.
constexpr milliseconds answer_limit{1'000};
constexpr milliseconds retry_pause{50};
/// How often runs are looked at for their ends, while no call is out.
constexpr milliseconds longest_nap{50};
constexpr uint64_t cpu_milli = 32'000;
/// One worker in so many shrinks at times, to the room of two tasks.
constexpr uint64_t shrinks_of = 3;
constexpr uint64_t shrunk_milli = 2 * task_cpu_milli;
constexpr uint64_t room_seed = 0x726f6f6d;
/// A room stays as it is for at least so long, and up to so much longer.
constexpr uint64_t least_room_ms = 5'000;
constexpr uint64_t room_spread_ms = 3'000;
constexpr uint64_t memory_mb = 64'000;

uint64_t number_or(const json::object& from, const char* name, uint64_t other) {
  const json::value* it = from.if_contains(name);
  return it == nullptr ? other : it->to_number<uint64_t>();
}

std::string text_at(const json::array& row, size_t i) {
  return std::string(row.at(i).as_string());
}

const json::array& rows_of(const json::object& from, const char* name) {
  static const json::array none;
  const json::value* it = from.if_contains(name);
  return it == nullptr ? none : it->as_array();
}

}  // namespace

soak_worker::soak_worker(boost::asio::io_context& io, clock_source& clock,
                         worker_settings settings, history& seen, uint64_t seed)
    : io_(io),
      clock_(clock),
      settings_(std::move(settings)),
      seen_(seen),
      random_(seed),
      room_random_(seed ^ room_seed),
      room_milli_(cpu_milli) {}

/// Each life after a crash has a name of its own.
std::string soak_worker::id() const {
  return crashes_ == 0 ? settings_.id : str_cat(settings_.id, "-", crashes_);
}

void soak_worker::resize_room() {
  const time_point now = clock_.now();
  if (resized_at_ == time_point{}) resized_at_ = now;
  const milliseconds least(
      static_cast<int64_t>(least_room_ms + room_random_.below(room_spread_ms)));
  if (now - resized_at_ < least) return;
  resized_at_ = now;
  const bool shrinks =
      room_milli_ == cpu_milli && room_random_.below(shrinks_of) == 0;
  room_milli_ = shrinks ? shrunk_milli : cpu_milli;
}

/// True when it crashed: it knows and holds nothing of before.
bool soak_worker::crash_if_due() {
  const time_point now = clock_.now();
  if (!crashes_at_ || now < *crashes_at_) return false;
  for (const auto& [task, it] : running_) {
    seen_.ended(task, it.run, now, false);
  }
  seen_.leases().life_over(id());
  running_.clear();
  over_.clear();
  ended_.clear();
  told_.clear();
  sequence_ = last_end_ = fence_ = 0;
  lease_until_ = {};
  crashes_at_.reset();
  ++crashes_;
  seen_.worker_crashed();
  return true;
}

void soak_worker::check_room(const task_name& task) {
  const bool fits = running_.size() * task_cpu_milli <= room_milli_;
  if (fits || clock_.now() - resized_at_ <= room_counts_after) return;
  seen_.over_room(task, id(), running_.size());
}

http_connection& soak_worker::connection() {
  const std::string address =
      told_.empty() ? settings_.controls[next_control_] : told_;
  auto& it = connections_[address];
  if (!it) it = std::make_unique<http_connection>(io_, address);
  return *it;
}

std::string soak_worker::body() {
  json::array running;
  for (const auto& [task, it] : running_) {
    running.push_back(json::array{task.str(), it.run, it.saved, 50});
  }
  json::array ended;
  for (const listed_end& it : ended_) {
    ended.push_back(json::array{it.number, it.task.str(), it.run, it.how, ""});
  }
  json::object out{{"Service", "pool"},
                   {"Addr", settings_.address},
                   {"Zone", "z"},
                   {"Version", "v1"},
                   {"Slots", 8},
                   {"State", "ready"},
                   {"ColdLeftMs", 0},
                   {"Labels", json::array()},
                   {"Seq", ++sequence_},
                   {"ClockMs", clock_.now().count()},
                   {"Running", std::move(running)},
                   {"Ended", std::move(ended)}};
  out["Capacity"] = json::object{{"Cpu", room_milli_}, {"MemMb", memory_mb}};
  return json::serialize(out);
}

boost::asio::awaitable<void> soak_worker::run() {
  boost::asio::steady_timer timer(io_);
  while (true) {
    if (crash_if_due()) {
      timer.expires_after(crash_pause);
      co_await timer.async_wait(boost::asio::use_awaitable);
    }
    resize_room();
    http_connection& to = connection();
    const time_point sent = clock_.now();
    http_question question;
    question.method = boost::beast::http::verb::put;
    question.target = "/instances/" + id();
    question.body = body();
    const http_reply reply = co_await to.ask(std::move(question), answer_limit);
    end_what_is_due();
    const bool timely = clock_.now() - sent <= answer_limit;
    if (reply.status == 200 && timely) {
      take_answer(reply.body, to.address(), sent);
    } else {
      told_.clear();
      next_control_ = (next_control_ + 1) % settings_.controls.size();
      pause_ = retry_pause;
    }
    const time_point due = clock_.now() + pause_;
    const size_t listed = ended_.size();
    while (clock_.now() < due) {
      timer.expires_after(std::min(longest_nap, due - clock_.now()));
      co_await timer.async_wait(boost::asio::use_awaitable);
      end_what_is_due();
      if (ended_.size() > listed || crashes_at_) break;
    }
  }
}

void soak_worker::take_answer(const std::string& text, const std::string& from,
                              time_point sent) {
  const json::value value = json::parse(text);
  const json::object& orders = value.as_object();
  pause_ = milliseconds(number_or(orders, "BackoffMs", 200));
  if (const auto* at = orders.if_contains("HeartbeatAddr")) {
    told_ = std::string(at->as_string());
  }
  const uint64_t fence = number_or(orders, "FenceToken", 0);
  if (fence < fence_) return;
  fence_ = fence;
  const milliseconds hold(number_or(orders, "HoldMs", 0));
  if (hold.count() > 0) {
    lease_until_ = std::max(lease_until_, sent + hold);
    seen_.leases().granted(id(), sent, hold);
  }
  note_ends(number_or(orders, "LastSeen", 0));
  take_stops(orders);
  if (clock_.now() < lease_until_) take_starts(orders, from);
}

void soak_worker::take_starts(const json::object& orders,
                              const std::string& from) {
  for (const json::value& it : rows_of(orders, "Start")) {
    const json::array& row = it.as_array();
    const task_name task(text_at(row, 0));
    const auto run = row.at(1).to_number<uint32_t>();
    const auto live = running_.find(task);
    if (live != running_.end() && live->second.run >= run) continue;
    if (live != running_.end() || over_[task] >= run) {
      ended_.push_back({++last_end_, task, run, "refused"});
      continue;
    }
    const time_point now = clock_.now();
    running_[task] = {run, "", now + work_of(text_at(row, 2))};
    run_record record;
    record.run = run;
    record.worker = id();
    record.ordered_by = from;
    record.began = now;
    seen_.began(task, record);
    check_room(task);
    if (text_at(row, 2).starts_with(crash_spec) &&
        task.str().ends_with(".0.0.0")) {
      crashes_at_ = now + crash_delay;
      seen_.crashes(task, run);
    }
  }
}

milliseconds soak_worker::work_of(const std::string& text) {
  if (text.starts_with(long_spec)) return long_work;
  const auto spread = static_cast<uint64_t>(
      (settings_.most_work - settings_.least_work).count());
  return settings_.least_work + milliseconds(random_.below(spread + 1));
}

void soak_worker::take_stops(const json::object& orders) {
  for (const json::value& it : rows_of(orders, "Stop")) {
    const json::array& row = it.as_array();
    const task_name task(text_at(row, 0));
    const auto run = row.at(1).to_number<uint32_t>();
    const auto live = running_.find(task);
    if (live != running_.end() && live->second.run == run) {
      end(task, run, "stopped");
    }
    over_[task] = std::max(over_[task], run);
  }
}

void soak_worker::note_ends(uint64_t last) {
  std::erase_if(ended_, [&](const listed_end& it) {
    if (it.number > last) return false;
    seen_.noted(it.task, it.run, clock_.now());
    return true;
  });
}

void soak_worker::end_what_is_due() {
  const time_point now = clock_.now();
  std::vector<std::pair<task_name, const char*>> due;
  for (const auto& [task, it] : running_) {
    const bool lapsed = now >= lease_until_;
    if (!lapsed && now < it.ends) continue;
    due.emplace_back(task, lapsed && now < it.ends ? "lapsed" : "done");
  }
  for (const auto& [task, how] : due) end(task, running_.at(task).run, how);
}

void soak_worker::end(const task_name& task, uint32_t run, const char* how) {
  running_.erase(task);
  over_[task] = std::max(over_[task], run);
  ended_.push_back({++last_end_, task, run, how});
  seen_.ended(task, run, clock_.now(), std::string_view(how) == "done");
}

}  // namespace kestrelreel::faults
