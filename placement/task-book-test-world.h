// What the tests of the task book share: the real book against stand-in agents
// on a virtual clock, messages that are lost, late or doubled, and a checker
// that shares no code with the book and follows every start and end.
#pragma once

#include <CppUTest/TestHarness.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/text.h"
#include "placement/task-book.h"
#include "support/standin/agent.h"

namespace kestrelreel {

struct virtual_clock final : clock_source {
  time_point now() const override {
    return milliseconds(static_cast<int64_t>(at));
  }
  double at = 100'000;
  double pace = 1;
};

/// Follows what runs: no task in two places, no worker overfull, no task that
/// is recorded as done runs again.
class run_checker {
 public:
  void started(const std::string& worker, const proto::task_order& order) {
    if (++running_[order.task()] > 1) fail(order.task() + " runs twice");
    if (recorded.contains(order.task())) fail(order.task() + " runs again");
    used_[worker] += order.size().cpu_milli();
    if (used_[worker] > capacity) fail(worker + " is overfull");
    ++starts;
  }
  void ended(const std::string& worker, const proto::task_order& order) {
    --running_[order.task()];
    used_[worker] -= order.size().cpu_milli();
  }
  void fail(const std::string& text) {
    if (violation.empty()) violation = text;
  }
  unsigned running() const {
    unsigned n = 0;
    for (const auto& [task, count] : running_) n += count;
    return n;
  }

  uint64_t capacity = 4'000;
  uint64_t starts = 0;
  std::string violation;
  std::set<std::string> recorded;

 private:
  std::map<std::string, unsigned> running_;
  std::map<std::string, uint64_t> used_;
};

/// A worker with a clock of its own.
struct test_worker final : standin::agent_host {
  test_worker(std::string name, run_checker& all)
      : name_(std::move(name)), checker(all) {
    boot();
  }
  void boot() {
    resource_amount capacity;
    capacity.cpu.value = checker.capacity;
    capacity.memory.value = 1;
    it.reset();
    it = std::make_unique<standin::agent>(name_, str_cat("boot", ++boots),
                                          capacity, clock, *this);
  }
  std::string started(const proto::task_order& order) override {
    checker.started(name_, order);
    return order.service().empty() ? "" : "127.0.0.1:1";
  }
  void ended(const proto::task_order& order) override {
    checker.ended(name_, order);
  }
  std::string name_;
  run_checker& checker;
  virtual_clock clock;
  unsigned boots = 0;
  std::unique_ptr<standin::agent> it;
};

struct letter {
  size_t worker;
  proto::sync_request request;
  proto::sync_reply reply;
  bool is_reply;
  unsigned book;
};

struct fault_rates {
  unsigned loss = 0;
  unsigned repeat = 0;
  unsigned delay = 0;
  unsigned reboot = 0;
  unsigned new_holder = 0;
  unsigned cancel = 0;
  unsigned freeze = 0;
};

struct book_world {
  book_world(uint64_t seed, fault_rates rates, size_t count = 4)
      : random(seed), faults(rates) {
    for (size_t i = 0; i < count; ++i) {
      workers.push_back(
          std::make_unique<test_worker>(str_cat("w", i), checker));
      workers.back()->clock.pace =
          0.98 + 0.04 * static_cast<double>(random.below(100)) / 100.0;
      worker_info info;
      info.id = worker_id(str_cat("w", i));
      info.rack = str_cat("r", i / 2);
      info.capacity = workers.back()->it->capacity();
      list.push_back(info);
    }
    new_book();
  }

  void add_tasks(unsigned n, task_class kind, uint64_t cpu,
                 milliseconds run_time) {
    auto shape = std::make_shared<task_shape>();
    shape->kind = kind;
    shape->owner = str_cat("o", static_cast<int>(kind));
    shape->size.cpu.value = cpu;
    shape->run_time = run_time;
    for (unsigned i = 0; i < n; ++i) {
      wanted[task_id(str_cat(shape->owner, "/", i))] = {shape, i};
    }
  }

  /// The old holder is gone; the next one begins once the lease is over. Old
  /// messages may still be on their way.
  void new_book() {
    ++books;
    book = std::make_unique<task_book>(settings, policy, clock);
    book->set_workers(list);
    book->begin(epoch_number(books), str_cat("box", books));
  }

  bool chance(unsigned permille) { return random.below(1'000) < permille; }

  void step() {
    clock.at += 20;
    for (auto& it : workers) {
      it->clock.at += 20 * it->clock.pace;
      it->it->tick();
    }
    if (chance(faults.new_holder)) new_book();
    if (chance(faults.reboot)) workers[random.below(workers.size())]->boot();
    if (chance(faults.cancel) && !wanted.empty()) {
      wanted.erase(std::next(wanted.begin(),
                             static_cast<long>(random.below(wanted.size()))));
    }
    book->set_tasks(wanted);
    book->set_evacuated(evacuated);
    book->expire();
    book->place();
    for (const worker_id& id : book->due()) {
      const size_t i = std::stoul(id.str().substr(1));
      mail.push_back({i, book->next_sync(id), {}, false, books});
    }
    record_ends();
    deliver();
  }

  void record_ends() {
    if (!chance(100)) return;
    for (const auto& [job, tasks] : book->completions()) {
      for (const uint32_t i : tasks) {
        const std::string id = str_cat(job, "/", i);
        checker.recorded.insert(id);
        wanted.erase(task_id(id));
      }
    }
  }

  void deliver() {
    std::vector<letter> now;
    std::swap(now, mail);
    for (letter& it : now) {
      if (chance(faults.delay)) {
        mail.push_back(std::move(it));
        continue;
      }
      if (chance(faults.repeat)) mail.push_back(it);
      const bool lost = chance(faults.loss);
      if (!it.is_reply) {
        if (lost) {
          if (it.book == books) book->on_no_reply(list[it.worker].id);
          continue;
        }
        it.reply = workers[it.worker]->it->sync(it.request);
        it.is_reply = true;
        mail.push_back(std::move(it));
        continue;
      }
      if (it.book != books) continue;
      if (lost) {
        book->on_no_reply(list[it.worker].id);
      } else {
        book->on_reply(it.reply);
      }
    }
  }

  void run(unsigned steps) {
    for (unsigned i = 0; i < steps && checker.violation.empty(); ++i) step();
  }

  seeded_random random;
  fault_rates faults;
  run_checker checker;
  virtual_clock clock;
  packing_policy policy;
  book_settings settings;
  std::vector<std::unique_ptr<test_worker>> workers;
  std::vector<worker_info> list;
  task_specs wanted;
  bool evacuated = false;
  std::unique_ptr<task_book> book;
  unsigned books = 0;
  std::vector<letter> mail;
};

}  // namespace kestrelreel
