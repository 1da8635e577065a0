// A task's life under faults: the real book against stand-in agents on a
// virtual clock. A checker that shares no code with the book follows every
// start and end.
#include "placement/task-book.h"

#include <CppUTest/TestHarness.h>

#include <memory>

#include "base/text.h"
#include "support/standin/agent.h"

using namespace kestrelreel;

namespace {

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
  std::unique_ptr<task_book> book;
  unsigned books = 0;
  std::vector<letter> mail;
};

struct fault_row {
  const char* name;
  fault_rates rates;
};

const fault_row fault_rows[] = {
    {"none", {}},
    {"loss", {.loss = 200}},
    {"repeats", {.repeat = 200}},
    {"delays", {.delay = 700}},
    {"long delays", {.delay = 985}},
    {"reboots", {.reboot = 5}},
    {"new holders", {.new_holder = 3}},
    {"cancellations", {.cancel = 30}},
    {"loss and new holders", {.loss = 300, .new_holder = 2}},
    {"delays and reboots", {.repeat = 100, .delay = 900, .reboot = 5}},
    {"delays and new holders", {.repeat = 100, .delay = 985, .new_holder = 2}},
    {"all",
     {.loss = 100,
      .repeat = 100,
      .delay = 800,
      .reboot = 2,
      .new_holder = 1,
      .cancel = 5}},
};

}  // namespace

TEST_GROUP(task_book){};

TEST(task_book, nothing_runs_twice_and_no_worker_is_overfull) {
  for (const fault_row& row : fault_rows) {
    for (uint64_t seed = 1; seed <= 25; ++seed) {
      book_world world(seed, row.rates);
      world.add_tasks(10, task_class::batch, 900, milliseconds(3'000));
      world.add_tasks(4, task_class::service, 1'000, milliseconds(0));
      world.run(2'000);
      CHECK_TEXT(
          world.checker.violation.empty(),
          str_cat(row.name, ", seed ", seed, ": ", world.checker.violation)
              .c_str());
    }
  }
}

TEST(task_book, once_faults_end_all_work_gets_done) {
  for (const fault_row& row : fault_rows) {
    for (uint64_t seed = 1; seed <= 10; ++seed) {
      book_world world(seed, row.rates);
      world.add_tasks(10, task_class::batch, 900, milliseconds(3'000));
      world.add_tasks(4, task_class::service, 1'000, milliseconds(0));
      world.run(1'000);
      world.faults = {};
      world.run(3'000);
      const std::string text =
          str_cat(row.name, ", seed ", seed, ": ", world.checker.violation);
      CHECK_TEXT(world.checker.violation.empty(), text.c_str());
      CHECK_TRUE_TEXT(world.book->completions().empty(), text.c_str());
      CHECK_EQUAL_TEXT(world.wanted.size(), world.checker.running(),
                       text.c_str());
    }
  }
}

TEST(task_book, a_worker_out_of_reach_keeps_its_tasks_until_the_lease_ends) {
  book_world world(1, {}, 2);
  world.add_tasks(1, task_class::service, 1'000, milliseconds(0));
  world.run(600);
  const auto& task = world.book->tasks().begin()->second;
  CHECK_TRUE(task.run != nullptr);
  const attempt_number attempt = task.run->attempt;
  const time_point cut = world.clock.now();
  world.faults.loss = 1'000;
  while (task.run && task.run->attempt == attempt) world.step();
  const milliseconds waited = world.clock.now() - cut;
  // The lease runs from the last answer before the cut.
  const milliseconds since_answer =
      world.settings.sync_interval + milliseconds(100);
  CHECK_TRUE(waited + since_answer >= world.settings.lease_with_drift());
  CHECK_EQUAL(0, world.checker.running());
  CHECK_TRUE(world.checker.violation.empty());
}

TEST(task_book, a_new_holder_takes_over_what_runs) {
  book_world world(1, {});
  world.add_tasks(4, task_class::service, 1'000, milliseconds(0));
  world.run(600);
  CHECK_EQUAL(4, world.checker.starts);
  world.new_book();
  world.run(600);
  CHECK_EQUAL(4, world.checker.starts);
  CHECK_EQUAL(4, world.checker.running());
}

// The last holder's renewals may be two intervals old when it is lost, and
// the next one needs up to 3.4 s to get its lease.
TEST(task_book, a_new_holder_renews_before_the_old_leases_end) {
  book_world world(1, {});
  world.add_tasks(4, task_class::service, 1'000, milliseconds(0));
  world.run(600);
  for (int round = 0; round < 10; ++round) {
    world.faults.loss = 1'000;
    world.run(170 + 7 * static_cast<unsigned>(round % 3));
    world.faults.loss = 0;
    world.new_book();
    world.run(600);
  }
  CHECK_EQUAL(4, world.checker.starts);
}

TEST(task_book, an_order_of_an_older_holder_is_refused) {
  book_world world(1, {}, 1);
  world.add_tasks(1, task_class::batch, 1'000, milliseconds(60'000));
  world.run(600);
  proto::sync_request old = world.book->next_sync(worker_id("w0"));
  world.new_book();
  world.run(50);
  CHECK_TRUE(world.workers[0]->it->sync(old).refused());
}

// Found by "delays and new holders, seed 11: w0 is overfull".
TEST(task_book, a_start_ordered_twice_is_not_given_up_on_after_one_answer) {
  book_world world(1, {}, 1);
  world.run(600);
  world.add_tasks(1, task_class::batch, 1'000, milliseconds(60'000));
  world.book->set_tasks(world.wanted);
  world.book->place();
  const worker_id w0("w0");
  const proto::sync_request first = world.book->next_sync(w0);
  world.book->on_no_reply(w0);
  const proto::sync_request second = world.book->next_sync(w0);
  CHECK_EQUAL(1, second.starts_size());
  // The first arrives so late that the worker no longer takes its start.
  world.workers[0]->clock.at += 9'000;
  world.book->on_reply(world.workers[0]->it->sync(first));
  CHECK_EQUAL(0, world.checker.running());
  CHECK_TRUE(world.book->tasks().begin()->second.run != nullptr);
}

TEST(task_book, a_holder_that_is_outbid_is_told) {
  book_world world(1, {}, 1);
  proto::sync_reply refusal;
  refusal.set_worker("w0");
  refusal.set_refused(true);
  refusal.set_epoch(9);
  refusal.set_holder("other");
  const auto seen = world.book->on_reply(refusal);
  CHECK_TRUE(seen.has_value());
  CHECK_EQUAL(9, seen->value());
}

TEST(task_book, what_cannot_run_is_explained_and_blocks_nothing) {
  book_world world(1, {}, 2);
  world.add_tasks(1, task_class::urgent, 9'000, milliseconds(1'000));
  world.add_tasks(1, task_class::batch, 1'000, milliseconds(60'000));
  world.run(600);
  CHECK_EQUAL(1, world.checker.running());
  const auto& large = world.book->tasks().at(task_id("o2/0"));
  STRCMP_EQUAL("larger than any worker of this data centre",
               to_string(large.reason));
}

TEST(task_book, a_task_that_fails_is_tried_again_ever_later) {
  book_world world(1, {}, 1);
  world.workers[0]->it->set_broken(true);
  world.add_tasks(1, task_class::batch, 1'000, milliseconds(1'000));
  world.run(1'500);
  const uint64_t failures = world.book->counters().failed;
  CHECK_TRUE(failures >= 3);
  CHECK_TRUE(failures <= 7);
}

TEST(task_book, replicas_spread_over_racks) {
  book_world world(1, {}, 6);
  world.add_tasks(3, task_class::service, 500, milliseconds(0));
  world.run(600);
  std::set<std::string> racks;
  for (const auto& [id, task] : world.book->tasks()) {
    racks.insert(task.run->worker->info.rack);
  }
  CHECK_EQUAL(3, racks.size());
}

TEST(task_book, a_leaving_worker_drains_its_services_and_gets_nothing_new) {
  book_world world(1, {}, 2);
  world.add_tasks(2, task_class::service, 500, milliseconds(0));
  world.run(600);
  world.list[0].leaving = true;
  world.book->set_workers(world.list);
  world.step();
  for (const auto& [id, task] : world.book->tasks()) {
    if (task.run->worker->info.id == worker_id("w0")) {
      CHECK_TRUE(task.run->phase == run_phase::draining);
    }
  }
  world.run(600);
  for (const auto& [id, task] : world.book->tasks()) {
    CHECK_TRUE(task.run->worker->info.id == worker_id("w1"));
  }
}
