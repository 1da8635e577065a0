#include "support/faults/soak-caller.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <cstdio>
#include <utility>

#include "base/text.h"
#include "support/faults/soak-worker.h"

namespace kestrelreel::faults {
namespace {

namespace json = boost::json;
using boost::beast::http::verb;

/// As the platform's callers: the time that they wait, and their tries.
constexpr milliseconds caller_limit{3'000};
constexpr uint64_t most_tries = 4;
constexpr uint64_t try_pause_ms = 400;
constexpr uint64_t job_pause_ms = 250;
constexpr uint64_t most_steps = 2;
constexpr uint64_t most_count = 3;
/// Of so many jobs one is cancelled, half of these while their tasks run long.
constexpr uint64_t cancelled_of = 4;
/// Jobs whose names end so have a task that crashes its workers: one in 256.
constexpr const char* crashes_by_name = "00";
constexpr uint64_t cancel_pause_ms = 900;
constexpr uint64_t cancel_tries = 3;
/// How many states are read once no more jobs are handed in.
constexpr size_t last_reads = 6;
constexpr uint64_t read_pause_ms = 1'000;
constexpr milliseconds operator_limit{1'000};
constexpr milliseconds operator_pause{100};
constexpr uint64_t reads_a_change = 4;
constexpr uint64_t most_read_pause_ms = 200;
constexpr size_t job_digits = 16;

boost::asio::awaitable<void> nap(boost::asio::io_context& io,
                                 milliseconds length) {
  boost::asio::steady_timer timer(io, length);
  co_await timer.async_wait(boost::asio::use_awaitable);
}

std::vector<std::unique_ptr<http_connection>> connections_to(
    boost::asio::io_context& io, const std::vector<std::string>& addresses) {
  std::vector<std::unique_ptr<http_connection>> out;
  out.reserve(addresses.size());
  for (const std::string& it : addresses) {
    out.push_back(std::make_unique<http_connection>(io, it));
  }
  return out;
}

std::string config_of(config_number version) {
  return str_cat(
      R"({"Version":)", version.value(),
      R"(,"Routes":[{"Name":"r","Host":"plans.example","PathPrefix":"/plans/",)"
      R"("Kind":"non_idempotent","TimeoutMs":3000,"SloMs":1000,"Priority":0,)"
      R"("Service":"pool","MaxAttempts":4,"Stretch":2.0}],)"
      R"("Services":[{"Name":"pool","EnforcesCapacity":true}],)"
      R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,)"
      R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})");
}

}  // namespace

soak_caller::soak_caller(boost::asio::io_context& io, clock_source& clock,
                         const std::vector<std::string>& entries, history& seen,
                         uint64_t seed, size_t text_bytes)
    : io_(io),
      clock_(clock),
      entries_(connections_to(io, entries)),
      seen_(seen),
      random_(seed),
      text_bytes_(text_bytes) {}

job_name soak_caller::draw_name() {
  char name[job_digits + 1];
  std::snprintf(name, sizeof(name), "%016llx",
                static_cast<unsigned long long>(random_.next()));
  return job_name{std::string(name)};
}

soak_caller::intent soak_caller::draw_intent() {
  if (random_.below(cancelled_of) != 0) return intent::to_end;
  return random_.below(2) == 0 ? intent::cancel_short : intent::cancel_long;
}

std::string soak_caller::make_body(const job_name& job, intent meant) {
  json::array steps;
  std::vector<task_name> tasks;
  const bool is_long = meant == intent::cancel_long;
  const uint64_t n = is_long ? 1 : 1 + random_.below(most_steps);
  for (uint64_t step = 0; step < n; ++step) {
    const uint64_t count = 1 + random_.below(most_count);
    json::object it{{"Count", count}, {"Cpu", task_cpu_milli}, {"MemMb", 10}};
    if (step > 0) it["DependsOn"] = json::array{step - 1};
    steps.push_back(std::move(it));
    for (uint64_t i = 0; i < count; ++i) {
      tasks.emplace_back(str_cat(job.str(), ".0.", step, ".", i));
    }
  }
  seen_.plan_job(job, tasks);
  const bool crashes =
      meant == intent::to_end && job.str().ends_with(crashes_by_name);
  if (crashes) seen_.plan_crash(job);
  std::string text = is_long ? long_spec : crashes ? crash_spec : "s";
  text.resize(std::max(text.size(), text_bytes_), '.');
  return json::serialize(json::object{{"Spec", text}, {"Steps", steps}});
}

boost::asio::awaitable<void> soak_caller::run(time_point until) {
  while (clock_.now() < until) {
    const job_name job = draw_name();
    const intent meant = draw_intent();
    const std::string body = make_body(job, meant);
    const bool taken = co_await hand_in(job, body);
    if (taken && meant == intent::to_end) taken_.push_back(job);
    if (taken && meant != intent::to_end) co_await cancel(job);
    co_await nap(io_, milliseconds(random_.below(job_pause_ms)));
    co_await read_state_of_one();
  }
  for (size_t i = 0; i < last_reads; ++i) {
    co_await nap(io_, milliseconds(random_.below(read_pause_ms)));
    co_await read_state_of_one();
  }
}

boost::asio::awaitable<soak_caller::call_answer> soak_caller::call(
    http_question question) {
  http_connection& at = *entries_[random_.below(entries_.size())];
  call_answer out;
  out.call.entry = at.address();
  out.call.sent = clock_.now();
  out.reply = co_await at.ask(std::move(question), caller_limit);
  out.call.ended = clock_.now();
  out.call.status = out.reply.status;
  if (!out.reply.cut_by.empty()) {
    seen_.stops().cut(
        {out.call.entry, out.call.sent, out.call.ended, out.reply.cut_by});
  }
  co_return out;
}

boost::asio::awaitable<bool> soak_caller::hand_in(const job_name& job,
                                                  const std::string& body) {
  // One that leaves after its first refusal shows what that alone was worth.
  const uint64_t tries = 1 + random_.below(most_tries);
  for (uint64_t i = 0; i < tries; ++i) {
    http_question question{verb::post, "/plans/" + job.str(), body};
    const call_answer it = co_await call(std::move(question));
    seen_.tried(job, it.call);
    if (outcome_of(it.call.status) == try_outcome::taken) co_return true;
    const milliseconds pause =
        it.reply.retry_after / 4 + milliseconds(random_.below(try_pause_ms));
    co_await nap(io_, pause);
  }
  co_return false;
}

boost::asio::awaitable<void> soak_caller::cancel(const job_name& job) {
  co_await nap(io_, milliseconds(random_.below(cancel_pause_ms)));
  for (uint64_t i = 0; i < cancel_tries; ++i) {
    http_question question{verb::delete_, "/plans/" + job.str(), ""};
    const call_answer it = co_await call(std::move(question));
    seen_.cancelled(job, it.call);
    if (acknowledges_cancel(it.call.status)) co_return;
    co_await nap(io_, milliseconds(random_.below(try_pause_ms)));
  }
}

boost::asio::awaitable<void> soak_caller::read_state_of_one() {
  if (taken_.empty()) co_return;
  const job_name job = taken_[random_.below(taken_.size())];
  http_question question{verb::get, "/plans/" + job.str(), ""};
  const call_answer it = co_await call(std::move(question));
  state_record record;
  record.call = it.call;
  if (it.reply.status == 200) {
    const json::value value = json::parse(it.reply.body);
    record.state = std::string(value.at("State").as_string());
  }
  seen_.state_read(job, record);
}

soak_operator::soak_operator(boost::asio::io_context& io, clock_source& clock,
                             const std::vector<std::string>& controls,
                             history& seen, uint64_t seed, place_in_line place)
    : io_(io),
      clock_(clock),
      controls_(connections_to(io, controls)),
      seen_(seen.configurations()),
      random_(seed),
      place_(place) {}

http_connection& soak_operator::any() {
  return *controls_[random_.below(controls_.size())];
}

config_number soak_operator::next_version() const {
  uint64_t out = seen_.newest_sent().value() + 1;
  while (out % place_.of != place_.number) ++out;
  return config_number(out);
}

boost::asio::awaitable<bool> soak_operator::send(config_number version,
                                                 milliseconds patience) {
  const time_point until = clock_.now() + patience;
  seen_.sent(version);
  while (clock_.now() < until) {
    http_question question{verb::put, "/config", config_of(version)};
    const http_reply reply =
        co_await any().ask(std::move(question), operator_limit);
    if (reply.status == 200) {
      seen_.acknowledged(version, clock_.now());
      co_return true;
    }
    co_await nap(io_, operator_pause);
  }
  co_return false;
}

boost::asio::awaitable<bool> soak_operator::found(milliseconds patience) {
  co_return co_await send(next_version(), patience);
}

boost::asio::awaitable<bool> soak_operator::read_once(milliseconds patience) {
  const time_point until = clock_.now() + patience;
  while (clock_.now() < until) {
    const register_history::reading begun = seen_.begin_read(clock_.now());
    http_question question{verb::get, "/config", ""};
    const http_reply reply =
        co_await any().ask(std::move(question), operator_limit);
    if (reply.status == 200) {
      const json::value value = json::parse(reply.body);
      const config_number version(value.at("Version").to_number<uint64_t>());
      seen_.end_read(begun, version, clock_.now());
      co_return true;
    }
    co_await nap(io_, operator_pause);
  }
  co_return false;
}

boost::asio::awaitable<void> soak_operator::run(time_point until) {
  while (clock_.now() < until) {
    co_await send(next_version(), until - clock_.now());
    for (uint64_t i = 0; i < reads_a_change; ++i) {
      co_await read_once(operator_pause);
      co_await nap(io_, milliseconds(random_.below(most_read_pause_ms)));
    }
  }
}

}  // namespace kestrelreel::faults
