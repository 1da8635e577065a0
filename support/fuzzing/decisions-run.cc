#include "support/fuzzing/decisions-run.h"

#include <boost/json.hpp>
#include <deque>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "base/text.h"
#include "fleet/cancelled-test-world.h"
#include "platform/codec.h"
#include "support/fuzzing/other-writer.h"

namespace kestrelreel::fuzzing {
namespace {

namespace json = boost::json;

constexpr size_t worker_count = 3;
constexpr size_t room = 4;
constexpr uint64_t most_jobs = 12;
constexpr size_t kept_bodies = 8;
constexpr uint64_t first_birth = 1'768'000'000'000;
constexpr milliseconds call_pause{200};

/// One life of a worker.
struct life {
  std::string id;
  uint64_t born = 0;
  int64_t clock_ms = 0;
  time_point begun{};
  int64_t sequence = 0;
  int64_t ends = 0;
  std::map<run_key, int> runs;
  json::array ended;
  // Ends that this life listed, as long as none knows that they are noted.
  std::map<int64_t, task_key> listed;
  std::vector<std::string> said;
};

class run {
 public:
  explicit run(std::span<const uint8_t> bytes) : decide_(bytes) {
    for (size_t i = 0; i < worker_count; ++i) {
      begin(lives_.emplace_back(), str_cat("i-", i));
      call(lives_.back());
    }
  }

  std::string play() {
    while (!decide_.over() && wrong_.empty()) step();
    if (wrong_.empty()) end_calmly();
    return wrong_;
  }

 private:
  void fail(const std::string& what) {
    if (wrong_.empty()) wrong_ = what;
  }

  void begin(life& it, std::string id) {
    std::vector<std::string> said = std::move(it.said);
    it = life();
    it.id = std::move(id);
    it.said = std::move(said);
    // No two lives of a worker begin within one millisecond.
    boxes_.clock.advance(milliseconds(1));
    it.begun = boxes_.clock.now();
    it.born = first_birth + static_cast<uint64_t>(it.begun.count());
    it.clock_ms = 1'000 + static_cast<int64_t>(decide_.draw(256)) * 10'000;
  }

  void step() {
    life& it = lives_[decide_.draw(worker_count)];
    switch (decide_.draw(10)) {
      case 0:
      case 1:
      case 2:
        return pass(call_pause);
      case 3:
      case 4:
      case 5:
        return write_over(it);
      case 6:
        return submit();
      case 7:
        return end_one(it);
      case 8:
        if (decide_.draw(4) == 0) boxes_.elect(1 - boxes_.leads());
        return pass(call_pause);
      default:
        if (decide_.draw(4) != 0) return pass(call_pause);
        begin(it, it.id);
        return pass(call_pause);
    }
  }

  /// Time passes, and every worker calls.
  void pass(milliseconds n) {
    boxes_.pass(n);
    for (life& it : lives_) call(it);
  }

  void submit() {
    if (jobs_ == most_jobs) return;
    boxes_.ask(test_world::make_submit(
        ++jobs_,
        {test_world::make_step(static_cast<uint32_t>(1 + decide_.draw(4)))}));
  }

  void end_one(life& it) {
    if (it.runs.empty()) return;
    const run_key key = it.runs.begin()->first;
    it.runs.erase(key);
    ++it.ends;
    it.ended.push_back(
        json::array{it.ends, to_text(key.task), key.run.value(), "done", ""});
    it.listed[it.ends] = key.task;
  }

  std::string body_of(life& it) {
    const milliseconds age = boxes_.clock.now() - it.begun;
    json::array rows;
    for (const auto& [key, n] : it.runs) {
      rows.push_back(
          json::array{to_text(key.task), key.run.value(), "", 50, 900});
    }
    return json::serialize(json::object{
        {"Service", "pool"},
        {"Addr", str_cat(it.id, ":1")},
        {"Zone", "z"},
        {"Version", "v1"},
        {"Slots", 8},
        {"State", "ready"},
        {"ColdLeftMs", 0},
        {"Capacity", {{"Cpu", room * 1'000}, {"MemMb", 10'000}, {"Gpu", 0}}},
        {"Labels", {"a"}},
        {"ClockMs", it.clock_ms + age.count()},
        {"Seq", ++it.sequence},
        {"born", it.born},
        {"Running", rows},
        {"Ended", it.ended}});
  }

  /// What the box answers; none where the body is refused unread.
  std::optional<fleet::fleet_response> send(const std::string& id,
                                            const std::string& body) {
    const auto beat = platform::read_beat(id, body);
    if (!beat.ok()) return std::nullopt;
    // Odd ones call another box than the leader.
    if (id.back() % 2 == 1) return boxes_.forward(*beat);
    fleet::fleet_request request;
    *request.mutable_beat() = *beat;
    return boxes_.ask(request);
  }

  void call(life& it) {
    const std::string body = body_of(it);
    const auto response = send(it.id, body);
    it.said.push_back(body);
    if (it.said.size() > kept_bodies) it.said.erase(it.said.begin());
    if (!response) return fail(it.id + " was not understood");
    take(it, response->orders());
  }

  void take(life& it, const fleet::worker_orders& orders) {
    if (orders.hold_ms() == 0) return fail(it.id + " got no lease");
    if (orders.last_end() > static_cast<uint64_t>(it.ends)) {
      return fail(it.id + " is told of ends that it never listed");
    }
    while (!it.ended.empty() &&
           it.ended[0].as_array()[0].to_number<uint64_t>() <=
               orders.last_end()) {
      noted_.insert(it.listed.begin()->second);
      it.listed.erase(it.listed.begin());
      it.ended.erase(it.ended.begin());
    }
    for (const auto& stop : orders.stops()) {
      if (it.runs.contains({to_key(stop.task()), run_number(stop.run())})) {
        fail(to_text(to_key(stop.task())) + " is stopped for nothing");
      }
    }
    for (const auto& start : orders.starts()) start_run(it, start);
  }

  void start_run(life& it, const fleet::start_order& start) {
    const run_key key{to_key(start.task()), run_number(start.run())};
    for (const life& other : lives_) {
      for (const auto& [live, n] : other.runs) {
        if (live.task == key.task) fail(to_text(key.task) + " runs twice");
      }
    }
    if (noted_.contains(key.task)) fail(to_text(key.task) + " was done");
    if (it.runs.size() >= room) fail(it.id + " is over its room");
    it.runs[key] = 0;
  }

  /// The worker's own next call goes on from where it was.
  void write_over(life& it) {
    const written_body copy = write_as_another(it.said, decide_);
    const bool stranger = decide_.draw(4) == 0 && copy.unreadable;
    const auto response = send(stranger ? "i-9" : it.id, copy.text);
    if (copy.unreadable && response) {
      return fail(str_cat("read, though ", copy.how, ": ", copy.text));
    }
    if (response && response->orders().hold_ms() > 0) {
      return fail(str_cat("granted, though ", copy.how));
    }
    boxes_.pass(call_pause);
    for (life& each : lives_) call(each);
    if (!wrong_.empty()) wrong_ += str_cat(", after ", copy.how);
  }

  /// All that was accepted is done once nothing goes wrong any more.
  void end_calmly() {
    constexpr int rounds = 200;
    for (int i = 0; i < rounds && wrong_.empty(); ++i) {
      pass(call_pause);
      for (life& it : lives_) {
        while (!it.runs.empty()) end_one(it);
      }
      if (boxes_.book().live().empty()) return;
    }
    if (!boxes_.book().live().empty()) fail("a job does not end");
  }

  script decide_;
  cancelled::control_boxes boxes_;
  std::deque<life> lives_;
  std::set<task_key> noted_;
  uint64_t jobs_ = 0;
  std::string wrong_;
};

}  // namespace

std::string play_decisions(std::span<const uint8_t> bytes) {
  return run(bytes).play();
}

}  // namespace kestrelreel::fuzzing
