// How long a change of a running cluster takes to be accepted and to be in
// force on every box.
#include <algorithm>
#include <chrono>
#include <thread>
#include <vector>

#include "absl/strings/str_split.h"
#include "base/text.h"
#include "cli/client.h"
#include "kernel/metrics.h"
#include "support/capacity/slopes.h"

namespace kestrelreel::capacity {
namespace {

using steady = std::chrono::steady_clock;

double ms_since(steady::time_point it) {
  return std::chrono::duration<double, std::milli>(steady::now() - it).count();
}

bool in_force_everywhere(std::vector<operator_client>& boxes,
                         uint64_t version) {
  return std::all_of(boxes.begin(), boxes.end(), [&](operator_client& it) {
    const auto reply = it.get();
    return reply.ok() && reply->version() >= version;
  });
}

}  // namespace

int measure_changes(const std::string& addresses, size_t changes) {
  std::vector<operator_client> boxes;
  for (const auto& it : absl::StrSplit(addresses, ',')) {
    boxes.emplace_back(std::vector<std::string>{std::string(it)},
                       milliseconds(10'000));
  }
  auto now = boxes[0].get();
  if (!now.ok()) return 1;
  std::vector<double> accepted;
  std::vector<double> in_force;
  uint64_t version = now->version();
  for (size_t i = 0; i < changes; ++i) {
    proto::apply_request request;
    request.set_request_id(str_cat("capacity-", version));
    request.set_author("capacity");
    request.set_replaces(version);
    request.set_version(++version);
    *request.mutable_items() = now->items();
    proto::spec_item& team = *request.add_items();
    team.set_key("team/capacity");
    team.mutable_team()->set_name("capacity");
    team.mutable_team()->mutable_quota()->set_cpu_milli(version);
    const auto begun = steady::now();
    const auto reply = boxes[i % boxes.size()].apply(request);
    if (!reply.ok() || reply->outcome().result() != proto::change_accepted) {
      return 1;
    }
    accepted.push_back(ms_since(begun));
    while (!in_force_everywhere(boxes, version)) {
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    in_force.push_back(ms_since(begun));
  }
  std::sort(accepted.begin(), accepted.end());
  std::sort(in_force.begin(), in_force.end());
  print_slope("change-accepted-p50", accepted[changes / 2], "ms");
  print_slope("change-accepted-max", accepted.back(), "ms");
  print_slope("change-in-force-p50", in_force[changes / 2], "ms");
  print_slope("change-in-force-max", in_force.back(), "ms");
  return 0;
}

}  // namespace kestrelreel::capacity
