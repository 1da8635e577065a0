#include "config/settings.h"

#include <set>
#include <utility>

#include "base/text.h"

namespace kestrelreel {
namespace detail {

/// Reads one settings file.
class settings_reader {
 public:
  settings_reader(fault_collector& faults, process_settings& settings)
      : faults_(faults), settings_(settings) {}

  void read(const json_node& root) {
    object_reader all(faults_, root, "");
    settings_.box = box_id(all.text("box"));
    all.each_element(
        "boxes", [&](const auto& node, const auto& at) { read_box(node, at); });
    if (const json_node* it = listen_node(all)) read_listen(*it);
    if (all.has("data_folder")) {
      settings_.data_folder = all.text("data_folder");
    } else {
      all.node("data_folder");
    }
    settings_.platform_address = all.address("platform");
    settings_.memory = read_box_memory(all, settings_.memory);
    settings_.log_level = all.word(
        "log_level", {"debug", "info", "warn", "error"}, settings_.log_level);
    settings_.placement_policy =
        all.word("placement_policy", {"packing", "least-loaded"},
                 settings_.placement_policy);
    if (const json_node* it = all.node("limits")) read_limits(*it);
    if (const json_node* it = all.node("leases")) read_leases(*it);
    check_self(all);
    all.finish();
  }

 private:
  const json_node* listen_node(object_reader& all) {
    if (!all.has("listen")) {
      all.fault("listen", "nothing", "an object of addresses");
    }
    return all.node("listen");
  }

  void read_box(const json_node& node, const std::string& at) {
    object_reader it(faults_, node, at);
    box_settings box;
    box.id = box_id(it.text("id"));
    box.data_centre = data_centre_id(it.text("data_centre"));
    box.peer_address = it.address("peer");
    box.replica = it.flag("replica", false);
    if (!box.id.empty() && !ids_.insert(box.id.str()).second) {
      it.fault("id", str_cat("the box \"", box.id.str(), "\" again"),
               "each box once");
    }
    it.finish();
    settings_.boxes.push_back(std::move(box));
  }

  void read_listen(const json_node& node) {
    object_reader it(faults_, node, "/listen");
    settings_.callers_address = it.address("callers");
    settings_.admin_address = it.address("admin");
    settings_.operators_address = it.address("operators");
    it.finish();
  }

  void read_limits(const json_node& node) {
    constexpr uint64_t most_body = 64ull << 20;
    constexpr uint64_t most_connections = 100'000;
    object_reader it(faults_, node, "/limits");
    request_limits& limits = settings_.limits;
    limits.body = it.bytes("body", limits.body);
    if (limits.body.value > most_body) {
      it.fault("body", format_bytes(limits.body), "at most \"64MiB\"");
    }
    limits.connections =
        it.number("connections", {1, most_connections}, limits.connections);
    limits.queued_per_service = it.number(
        "queued_per_service", {0, most_connections}, limits.queued_per_service);
    limits.idle = it.duration("idle", milliseconds(100), limits.idle);
    limits.stop_delay =
        it.duration("stop_delay", milliseconds(0), limits.stop_delay);
    limits.retry_percent =
        it.number("retry_percent", {0, 100}, limits.retry_percent);
    it.finish();
  }

  void read_leases(const json_node& node) {
    object_reader it(faults_, node, "/leases");
    settings_.holder_lease =
        it.duration("holder", milliseconds(500), settings_.holder_lease);
    settings_.task_lease =
        it.duration("task", milliseconds(2'000), settings_.task_lease);
    settings_.clock_drift_percent = static_cast<unsigned>(it.number(
        "clock_drift_percent", {1, 50}, settings_.clock_drift_percent));
    it.finish();
  }

  void check_self(object_reader& all) {
    if (settings_.box.empty()) return;
    const std::string& name = settings_.box.str();
    if (!ids_.contains(name)) {
      const std::vector<std::string> known(ids_.begin(), ids_.end());
      const std::string nearest = nearest_name(name, known);
      all.fault("box", str_cat("the unknown box \"", name, "\""),
                nearest.empty() ? "an id of /boxes"
                                : "\"" + nearest + "\", if that was meant");
      return;
    }
    const bool replica = settings_.self().replica;
    if (replica && settings_.data_folder.empty()) {
      all.fault("data_folder", "nothing", "a folder, as this box is a replica");
    }
    if (!replica && !settings_.data_folder.empty()) {
      all.fault("data_folder", settings_.data_folder,
                "nothing, as this box is no replica");
    }
  }

  fault_collector& faults_;
  process_settings& settings_;
  std::set<std::string> ids_;
};

}  // namespace detail

const box_settings& process_settings::self() const {
  for (const box_settings& it : boxes) {
    if (it.id == box) return it;
  }
  static const box_settings none;
  return none;
}

std::variant<process_settings, std::vector<config_fault>> parse_settings(
    const std::string& file, std::string_view text) {
  return parse_file<process_settings>(
      file, text, [](auto& faults, const auto& tree, auto& out) {
        detail::settings_reader(faults, out).read(tree);
      });
}

}  // namespace kestrelreel
