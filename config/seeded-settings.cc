#include "config/seeded-settings.h"

#include <boost/crc.hpp>
#include <utility>

#include "base/text.h"

namespace kestrelreel {
namespace detail {

constexpr uint64_t most_port = 65'535;
constexpr uint64_t most_losses = 4;
constexpr milliseconds least_hold{500};

/// The IP number of an IP:PORT text.
box_id box_of(const std::string& address) {
  std::string host;
  uint16_t port = 0;
  return split_address(address, host, port) ? box_id(host) : box_id();
}

void read_seeds(object_reader& all, seeded_settings& settings) {
  for (const std::string& it : all.texts("seeds")) {
    const box_id box = box_of(it);
    if (box.empty()) {
      all.fault("seeds", str_cat("\"", it, "\""), "IP:PORT texts");
      continue;
    }
    settings.seeds.push_back(box);
  }
}

void read_listen(fault_collector& faults, const json_node& node,
                 seeded_settings& settings) {
  object_reader it(faults, node, "/listen");
  if (settings.role == seeded_role::entry) {
    settings.callers_address = it.address("callers");
    settings.readiness_address = it.address("readiness");
  } else {
    settings.control_address = it.address("control");
    if (it.has("peers")) settings.peer_address = it.address("peers");
  }
  it.finish();
}

void read_decisions(fault_collector& faults, const json_node& node,
                    seeded_settings& settings) {
  object_reader it(faults, node, "/decisions");
  if (settings.role == seeded_role::entry) {
    settings.hold_without_leader = it.flag("hold_without_leader", false);
    return it.finish();
  }
  load_decisions& out = settings.decisions;
  out.learn_run_times = it.flag("learn_run_times", false);
  out.throttle_by_slack = it.flag("throttle_by_slack", false);
  out.admission = it.flag("admission", false);
  out.overload_order = it.flag("overload_order", false);
  it.finish();
}

void read_all(fault_collector& faults, const json_node& root,
              seeded_settings& settings) {
  object_reader all(faults, root, "");
  settings.box = box_id(all.text("box"));
  settings.name = all.text("name", settings.box.str());
  settings.data_centre = data_centre_id(all.text("data_centre"));
  if (all.has("data_centres")) {
    settings.data_centres = all.texts("data_centres");
  }
  settings.role = all.word("role", {"entry", "control"}) == "control"
                      ? seeded_role::control
                      : seeded_role::entry;
  settings.peer_port =
      static_cast<uint16_t>(all.number("peer_port", {1, most_port}));
  read_seeds(all, settings);
  settings.found_cluster = all.flag("found_cluster", false);
  settings.data_folder = all.text("data_folder", "");
  settings.memory = read_box_memory(all, settings.memory);
  settings.losses_tolerated = static_cast<unsigned>(all.number(
      "losses_tolerated", {0, most_losses}, settings.losses_tolerated));
  settings.worker_hold =
      all.duration("worker_hold", least_hold, settings.worker_hold);
  settings.worker_stop =
      all.duration("worker_stop", milliseconds(0), settings.worker_stop);
  settings.stop_time =
      all.duration("stop_time", milliseconds(0), settings.stop_time);
  settings.log_level = all.word("log_level", {"debug", "info", "warn", "error"},
                                settings.log_level);
  if (all.has("decisions")) {
    if (const json_node* it = all.node("decisions")) {
      read_decisions(faults, *it, settings);
    }
  }
  if (!all.has("listen")) all.fault("listen", "nothing", "addresses");
  if (const json_node* it = all.node("listen")) {
    read_listen(faults, *it, settings);
  }
  if (settings.role == seeded_role::control && settings.data_folder.empty()) {
    all.fault("data_folder", "nothing", "a folder, as this box keeps a record");
  }
  all.finish();
}

}  // namespace detail

bool is_seeded(std::string_view text) {
  auto tree = parse_json(text);
  const auto* root = std::get_if<json_node>(&tree);
  if (root == nullptr) return false;
  const auto* members = std::get_if<json_node::object>(&root->value);
  if (members == nullptr) return false;
  for (const json_member& it : *members) {
    if (it.name == "seeds") return true;
  }
  return false;
}

std::string settings_digest(std::string_view text) {
  boost::crc_32_type crc;
  crc.process_bytes(text.data(), text.size());
  return str_cat(absl::Hex(crc.checksum(), absl::kZeroPad8));
}

std::variant<seeded_settings, std::vector<config_fault>> parse_seeded_settings(
    const std::string& file, std::string_view text) {
  return parse_file<seeded_settings>(
      file, text, [](auto& faults, const auto& tree, auto& out) {
        detail::read_all(faults, tree, out);
      });
}

}  // namespace kestrelreel
