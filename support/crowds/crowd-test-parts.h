// Crowds and ordinary clients at the listeners of real processes: each process
// lives, holds no more memory and descriptors than a box has, and answers an
// ordinary client beside the crowd and after it.
#pragma once

#include <CppUTest/TestHarness.h>

#include <functional>
#include <string>
#include <vector>

#include "base/text.h"
#include "support/crowds/boxes.h"

namespace kestrelreel::crowds {

/// What the smallest control box of the users has: its memory, and its
/// descriptors less those kept for files outside its data folder.
constexpr size_t box_memory_bytes = 256'000'000;
constexpr size_t box_descriptors = 4'096 - 200;

/// Sanitizers hold memory of their own.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr bool checks_memory = false;
#else
constexpr bool checks_memory = true;
#endif

/// A crowd at one listener.
struct crowd_part {
  endpoint listener;
  size_t connections = 0;
  transmission what;
  /// In place of `what` where it names a call.
  partial_message call = {};
};

/// An ordinary client, and whether it gets its answer.
struct ordinary {
  const char* name;
  std::function<bool()> is_served;
};

struct crowd_row {
  const char* name;
  std::vector<crowd_part> crowd;
  std::vector<ordinary> clients;
};

/// Faults of all rows, so that each one is told.
class verdict_list {
 public:
  void add(const char* row, const std::string& fault) {
    str_append(faults_, "\n  ", row, ": ", fault);
  }
  void check() const {
    if (!faults_.empty()) FAIL(faults_.c_str());
  }

 private:
  std::string faults_;
};

inline void check_clients(const crowd_row& row, const char* when,
                          verdict_list& all) {
  for (const ordinary& it : row.clients) {
    if (it.is_served()) continue;
    all.add(row.name, str_cat("no answer to ", it.name, " ", when));
  }
}

inline void check_box(const crowd_row& row, box_process& box,
                      verdict_list& all) {
  if (!box.is_alive()) return all.add(row.name, "the process has ended");
  const size_t peak = box.peak_memory();
  if (checks_memory && peak > box_memory_bytes) {
    all.add(row.name, str_cat(peak, " bytes held"));
  }
  const size_t n = box.descriptors();
  if (n > box_descriptors) all.add(row.name, str_cat(n, " descriptors open"));
}

/// Twice, as the second crowd is to find as much room as the first.
inline void play(const crowd_row& row, box_process& box, verdict_list& all) {
  for (int round = 0; round < 2; ++round) {
    crowd met;
    for (const crowd_part& it : row.crowd) {
      if (it.call.path.empty()) {
        met.send(it.listener, it.connections, it.what);
      } else {
        met.upload(it.listener, it.connections, it.call);
      }
    }
    check_box(row, box, all);
    if (!box.is_alive()) return;
    check_clients(row, "beside the crowd", all);
    met.leave();
    check_clients(row, "after the crowd", all);
    check_box(row, box, all);
  }
}

inline const ordinary job{"a job", [] {
                            return is_answered(seeded_pair::callers(),
                                               seeded_pair::ordinary_job(),
                                               200);
                          }};
inline const ordinary heartbeat{"a heartbeat", [] {
                                  return is_answered(
                                      seeded_pair::controls(),
                                      seeded_pair::ordinary_heartbeat(), 200);
                                }};
inline const ordinary readiness{"the balancer", [] {
                                  return is_answered(
                                      seeded_pair::readiness(),
                                      seeded_pair::readiness_question(), 200);
                                }};
inline const ordinary listed_request{"a request", [] {
                                       return is_answered(
                                           listed_box::callers(),
                                           listed_box::ordinary_request(), 404);
                                     }};
inline const ordinary health{"a health question", [] {
                               return is_answered(listed_box::admin(),
                                                  listed_box::health_question(),
                                                  200);
                             }};
inline const ordinary an_operator{
    "an operator", [] { return listed_box::answers_operators(); }};

inline void play_at_entry(const std::vector<crowd_row>& rows,
                          verdict_list& all) {
  for (const crowd_row& it : rows) {
    seeded_pair boxes;
    play(it, boxes.entry(), all);
  }
}
inline void play_at_control(const std::vector<crowd_row>& rows,
                            verdict_list& all, size_t routes = 0) {
  for (const crowd_row& it : rows) {
    seeded_pair boxes(routes);
    play(it, boxes.control(), all);
  }
}
inline void play_at_listed(const std::vector<crowd_row>& rows,
                           verdict_list& all) {
  for (const crowd_row& it : rows) {
    listed_box box;
    play(it, box.box(), all);
  }
}

/// What a crowd repeats.
inline const std::string letters(1'000, 'a');

}  // namespace kestrelreel::crowds
