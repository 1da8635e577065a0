// Slopes of the holder's book: memory and processor time by workers and tasks.
#include <vector>

#include "base/text.h"
#include "placement/task-book.h"
#include "support/capacity/slopes.h"

namespace kestrelreel::capacity {
namespace {

struct virtual_clock final : clock_source {
  time_point now() const override { return at; }
  time_point at{100'000};
};

constexpr uint64_t tasks_per_worker = 31;
constexpr uint64_t tasks_per_owner = 300;

/// A book with workers whose answers are made up without agents.
class book_bench {
 public:
  explicit book_bench(size_t workers) : workers_(workers) {
    for (size_t i = 0; i < workers; ++i) {
      worker_info it;
      it.id = worker_id(str_cat("kumluca-w", i));
      it.address = "127.0.0.1:1";
      it.rack = str_cat("rack-", i / 8);
      it.capacity = {cpu_milli{32'000}, byte_count{125ull << 30},
                     accelerator_count{2}};
      list_.push_back(it);
    }
    replies_.resize(workers);
    for (size_t i = 0; i < workers * tasks_per_worker; ++i) {
      if (i % tasks_per_owner == 0) shape_ = shape_of(i / tasks_per_owner);
      const auto index = static_cast<uint32_t>(i % tasks_per_owner);
      const task_id id(str_cat("job/", shape_->owner, "/", index));
      tasks_.emplace(id, task_spec{shape_, index});
    }
  }

  void run() {
    const double empty = heap_bytes();
    book_.set_workers(list_);
    book_.begin(epoch_number(1), "kumluca-1");
    const double with_workers = heap_bytes();
    book_.set_tasks(tasks_);
    exchange_all();
    clock_.at += milliseconds(10'000);
    exchange_all();
    const double begun = cpu_us();
    place_all();
    place_us = (cpu_us() - begun) / static_cast<double>(tasks_.size());
    exchange_all();
    clock_.at += milliseconds(1'500);
    bytes_out_ = bytes_in_ = 0;
    const double exchange_begun = cpu_us();
    exchange_all();
    exchange_us = (cpu_us() - exchange_begun) / static_cast<double>(workers_);
    quiet_out = bytes_out_ / static_cast<double>(workers_);
    quiet_in = bytes_in_ / static_cast<double>(workers_);
    worker_bytes = (with_workers - empty) / static_cast<double>(workers_);
    task_bytes =
        (heap_bytes() - with_workers) / static_cast<double>(tasks_.size());
    measure_passes();
    measure_rebuild();
  }

  double place_us = 0;
  double exchange_us = 0;
  double quiet_out = 0;
  double quiet_in = 0;
  double worker_bytes = 0;
  double task_bytes = 0;
  double pass_us = 0;
  double set_us = 0;
  double rebuild_s = 0;

 private:
  static std::shared_ptr<const task_shape> shape_of(size_t number) {
    auto it = std::make_shared<task_shape>();
    it->kind = number % 8 == 0 ? task_class::service : task_class::batch;
    it->owner = str_cat("owner-", number);
    it->size = {cpu_milli{900}, byte_count{3ull << 30}, accelerator_count{0}};
    return it;
  }

  void place_all() {
    uint64_t before = 0;
    do {
      before = book_.counters().started;
      book_.place();
    } while (book_.counters().started != before);
  }

  /// One exchange with every worker, with the messages' bytes made and read
  /// as a transport would.
  void exchange_all() {
    for (size_t i = 0; i < workers_; ++i) {
      const std::string out = book_.next_sync(list_[i].id).SerializeAsString();
      bytes_out_ += static_cast<double>(out.size());
      proto::sync_request request;
      request.ParseFromString(out);
      const std::string in = answer(i, request).SerializeAsString();
      bytes_in_ += static_cast<double>(in.size());
      proto::sync_reply reply;
      reply.ParseFromString(in);
      book_.on_reply(reply);
    }
  }

  proto::sync_reply answer(size_t i, const proto::sync_request& request) {
    proto::sync_reply& reply = replies_[i];
    reply.set_worker(request.worker());
    reply.set_sequence(request.sequence());
    reply.set_epoch(request.epoch());
    reply.set_holder(request.holder());
    reply.set_incarnation("1f2e3d4c5b6a7988");
    reply.set_clock_ms(static_cast<uint64_t>(clock_.at.count()));
    for (const proto::task_order& it : request.starts()) {
      proto::task_report& row = *reply.add_tasks();
      row.set_task(it.task());
      row.set_attempt(it.attempt());
      row.set_phase(proto::task_running);
      *row.mutable_size() = it.size();
    }
    uint64_t digest = 1;
    for (const proto::task_report& it : reply.tasks()) digest += it.attempt();
    reply.set_report_digest(digest);
    reply.set_whole(true);
    if (digest != request.have_report()) return reply;
    proto::sync_reply quiet;
    quiet.set_worker(reply.worker());
    quiet.set_sequence(reply.sequence());
    quiet.set_epoch(reply.epoch());
    quiet.set_holder(reply.holder());
    quiet.set_incarnation(reply.incarnation());
    quiet.set_clock_ms(reply.clock_ms());
    quiet.set_report_digest(digest);
    return quiet;
  }

  /// What the holder does twenty times a second beside exchanges, and on each
  /// change of the record.
  void measure_passes() {
    pass_us = us_per_call(20, [&](size_t) {
      book_.expire();
      book_.place();
      book_.due();
      book_.completions();
    });
    set_us = us_per_call(5, [&](size_t) { book_.set_tasks(tasks_); });
  }

  /// A new holder learns all that runs from the workers' answers.
  void measure_rebuild() {
    const double begun = cpu_us();
    book_.begin(epoch_number(2), "kumluca-2");
    book_.set_tasks(tasks_);
    exchange_all();
    rebuild_s = (cpu_us() - begun) / 1e6;
  }

  size_t workers_;
  double bytes_out_ = 0;
  double bytes_in_ = 0;
  std::shared_ptr<const task_shape> shape_;
  std::vector<worker_info> list_;
  std::vector<proto::sync_reply> replies_;
  task_specs tasks_;
  virtual_clock clock_;
  packing_policy policy_;
  task_book book_{book_settings(), policy_, clock_};
};

}  // namespace

void measure_book() {
  std::vector<std::pair<double, double>> place;
  std::vector<std::pair<double, double>> pass;
  std::vector<std::pair<double, double>> set;
  for (const size_t workers : {50u, 200u, 500u, 1'043u, 7'300u}) {
    book_bench bench(workers);
    bench.run();
    const auto n = static_cast<double>(workers);
    place.emplace_back(n, bench.place_us);
    pass.emplace_back(n * tasks_per_worker, bench.pass_us);
    set.emplace_back(n * tasks_per_worker, bench.set_us);
    const std::string at = str_cat("-at-", workers);
    print_slope("place" + at, bench.place_us, "us/decision");
    print_slope("exchange-book" + at, bench.exchange_us, "us/exchange");
    print_slope("rebuild" + at, bench.rebuild_s, "s");
    if (workers != 1'043u) continue;
    print_slope("exchange-out", bench.quiet_out, "B/exchange");
    print_slope("exchange-in", bench.quiet_in, "B/exchange");
    print_slope("book-worker", bench.worker_bytes, "B/worker");
    print_slope("book-task", bench.task_bytes, "B/task");
  }
  const line_fit place_fit = fit_line(place);
  print_slope("place-base", place_fit.base, "us/decision",
              place_fit.error_percent);
  print_slope("place-worker", place_fit.slope, "us/decision/worker",
              place_fit.error_percent);
  const line_fit pass_fit = fit_line(pass);
  print_slope("pass-task", pass_fit.slope, "us/pass/task",
              pass_fit.error_percent);
  const line_fit set_fit = fit_line(set);
  print_slope("set-task", set_fit.slope, "us/change/task",
              set_fit.error_percent);
}

}  // namespace kestrelreel::capacity
