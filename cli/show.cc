#include "cli/show.h"

#include <algorithm>
#include <boost/json.hpp>
#include <map>

#include "base/text.h"
#include "cli/table.h"

namespace kestrelreel {
namespace detail {

boost::json::object box_json(const proto::box_status& it) {
  return {{"box", it.box()},
          {"data_centre", it.data_centre()},
          {"live", it.live()},
          {"role", it.role()},
          {"version_in_force", it.version_in_force()},
          {"applied", it.applied()},
          {"holder_epoch", it.holder_epoch()},
          {"stopping", it.stopping()}};
}

/// What each box says of itself goes before what others say of it.
std::map<std::string, proto::box_status> merge_boxes(
    const std::vector<proto::status_reply>& replies) {
  std::map<std::string, proto::box_status> boxes;
  for (const proto::status_reply& reply : replies) {
    for (const proto::box_status& it : reply.boxes()) {
      proto::box_status& known = boxes[it.box()];
      const bool own = it.box() == reply.box();
      if (own || known.box().empty() || (it.live() && !known.live())) {
        known = it;
      }
    }
  }
  return boxes;
}

std::string replica_line(const std::vector<proto::status_reply>& replies) {
  const proto::status_reply* best = nullptr;
  for (const proto::status_reply& it : replies) {
    if (it.voters_size() == 0) continue;
    if (best == nullptr || it.losses_survived() > best->losses_survived()) {
      best = &it;
    }
  }
  if (best == nullptr) return "record: no replica answered\n";
  const std::string losses = best->losses_survived() < 0
                                 ? "unknown (no leader answered)"
                                 : str_cat(best->losses_survived());
  return str_cat("record: leader ", best->leader(), ", term ", best->term(),
                 ", voters ", best->voters_size(), ", learners ",
                 best->learners_size(),
                 ", further losses survived now: ", losses, "\n");
}

boost::json::object task_json(const proto::task_row& it,
                              const std::string& data_centre) {
  return {{"task", it.task()},       {"data_centre", data_centre},
          {"phase", it.phase()},     {"worker", it.worker()},
          {"attempt", it.attempt()}, {"reason", it.reason()},
          {"address", it.address()}};
}

}  // namespace detail

std::string show_evacuations(const std::vector<proto::status_reply>& replies) {
  // Of the box that is furthest.
  const auto best = std::max_element(
      replies.begin(), replies.end(),
      [](const auto& a, const auto& b) { return a.version() < b.version(); });
  std::string out;
  if (best == replies.end()) return out;
  constexpr uint64_t ms_per_s = 1'000;
  for (const proto::evacuation_state& it : best->evacuations()) {
    const uint64_t age =
        best->now_ms() - std::min(best->now_ms(), it.ordered_at_ms());
    str_append(out, "evacuated: ", it.data_centre(), ", version ", it.version(),
               ", by ", it.author(), ", for ", age / ms_per_s, " s\n");
  }
  return out;
}

std::string show_difference(const proto::apply_reply& reply) {
  std::string out;
  for (const std::string& it : reply.added()) {
    str_append(out, "+ ", it, "\n");
  }
  for (const std::string& it : reply.changed()) {
    str_append(out, "~ ", it, "\n");
  }
  for (const std::string& it : reply.removed()) {
    str_append(out, "- ", it, "\n");
  }
  return out.empty() ? "no difference\n" : out;
}

std::string show_applied(const proto::apply_request& request,
                         const proto::apply_reply& reply, bool json) {
  if (json) {
    const boost::json::object out{{"version", reply.outcome().version()},
                                  {"request_id", request.request_id()},
                                  {"added", reply.added_size()},
                                  {"changed", reply.changed_size()},
                                  {"removed", reply.removed_size()}};
    return boost::json::serialize(out) + "\n";
  }
  return str_cat("version ", reply.outcome().version(),
                 " accepted: ", reply.added_size(), " added, ",
                 reply.changed_size(), " changed, ", reply.removed_size(),
                 " removed\n");
}

std::string show_status(const std::vector<proto::status_reply>& replies,
                        bool json) {
  const auto boxes = detail::merge_boxes(replies);
  if (json) {
    boost::json::array out;
    for (const auto& [name, it] : boxes) out.push_back(detail::box_json(it));
    return boost::json::serialize(out) + "\n";
  }
  text_table table({"BOX", "DATA-CENTRE", "LIVE", "ROLE", "VERSION", "APPLIED",
                    "HOLDER-EPOCH"});
  for (const auto& [name, it] : boxes) {
    const char* live = it.stopping() ? "stopping" : "yes";
    table.add({name, it.data_centre(), it.live() ? live : "no", it.role(),
               str_cat(it.version_in_force()), str_cat(it.applied()),
               it.holder_epoch() > 0 ? str_cat(it.holder_epoch()) : "-"});
  }
  return table.str() + detail::replica_line(replies) +
         show_evacuations(replies);
}

std::string show_tasks(const std::vector<proto::tasks_reply>& replies,
                       bool json) {
  if (json) {
    boost::json::array out;
    for (const proto::tasks_reply& reply : replies) {
      for (const proto::task_row& it : reply.tasks()) {
        out.push_back(detail::task_json(it, reply.data_centre()));
      }
    }
    return boost::json::serialize(out) + "\n";
  }
  text_table table({"TASK", "DATA-CENTRE", "PHASE", "WORKER", "REASON"});
  for (const proto::tasks_reply& reply : replies) {
    for (const proto::task_row& it : reply.tasks()) {
      table.add({it.task(), reply.data_centre(), it.phase(),
                 it.worker().empty() ? "-" : it.worker(), it.reason()});
    }
  }
  return table.str();
}

std::string show_explanation(const std::vector<proto::tasks_reply>& replies,
                             const std::string& task) {
  for (const proto::tasks_reply& reply : replies) {
    for (const proto::task_row& it : reply.tasks()) {
      if (it.task() != task) continue;
      std::string out = str_cat(task, " of ", reply.data_centre(), " (holder ",
                                reply.holder(), "): ", it.phase());
      if (!it.worker().empty()) {
        str_append(out, " on ", it.worker(), ", attempt ", it.attempt());
      }
      if (!it.reason().empty()) str_append(out, "; ", it.reason());
      return out + "\n";
    }
  }
  return "";
}

}  // namespace kestrelreel
