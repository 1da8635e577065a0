#include "config/desired-state.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <set>
#include <utility>

#include "base/text.h"

namespace kestrelreel {
namespace detail {

constexpr uint64_t most_replicas = 100'000;
constexpr uint64_t most_tasks = 200'000;
constexpr uint64_t most_slots = 10'000;
constexpr uint64_t most_accelerators = 64;
constexpr uint64_t most_priority = 1'000;

/// Reads the kinds of items of one file.
class state_reader {
 public:
  state_reader(fault_collector& faults, desired_state& state)
      : faults_(faults), state_(state) {}

  void read(const json_node& root) {
    object_reader all(faults_, root, "");
    state_.version = all.number("version", {1, INT64_MAX});
    const uint64_t before = state_.version > 0 ? state_.version - 1 : 0;
    state_.replaces = all.number("replaces", {0, INT64_MAX}, before);
    if (state_.replaces >= state_.version) {
      all.fault("replaces", str_cat(state_.replaces), "a number below version");
    }
    all.each("teams", [&](const auto& key, const auto& node, const auto& at) {
      read_team(key, node, at);
    });
    all.each("services", [&](const auto& key, const auto& node,
                             const auto& at) { read_service(key, node, at); });
    all.each("jobs", [&](const auto& key, const auto& node, const auto& at) {
      read_job(key, node, at);
    });
    for (const std::string& it : all.texts("evacuated")) {
      proto::spec_item item;
      item.mutable_evacuation()->set_data_centre(it);
      item.set_key("evacuation/" + it);
      state_.items.push_back(std::move(item));
    }
    all.finish();
  }

 private:
  void read_team(const std::string& key, const json_node& node,
                 const std::string& at) {
    object_reader it(faults_, node, at);
    proto::spec_item item;
    item.set_key("team/" + key);
    item.mutable_team()->set_name(key);
    if (const json_node* quota = it.node("quota")) {
      object_reader amount(faults_, *quota, at + "/quota");
      *item.mutable_team()->mutable_quota() = read_size(amount);
      amount.finish();
    }
    it.finish();
    teams_.insert(key);
    state_.items.push_back(std::move(item));
  }

  proto::resources read_size(object_reader& it) {
    proto::resources size;
    size.set_cpu_milli(it.processors("cpu").value);
    size.set_memory_bytes(it.bytes("memory").value);
    const uint64_t n = it.number("accelerators", {0, most_accelerators}, 0);
    size.set_accelerators(static_cast<uint32_t>(n));
    return size;
  }

  std::string read_team_name(object_reader& it) {
    const std::string name = it.text("team");
    if (name.empty() || teams_.contains(name)) return name;
    const std::vector<std::string> known(teams_.begin(), teams_.end());
    const std::string nearest = nearest_name(name, known);
    it.fault("team", str_cat("the unknown team \"", name, "\""),
             nearest.empty() ? "a team of this file"
                             : "\"" + nearest + "\", if that was meant");
    return name;
  }

  void read_service(const std::string& key, const json_node& node,
                    const std::string& at) {
    object_reader it(faults_, node, at);
    proto::spec_item item;
    item.set_key("service/" + key);
    proto::service_spec& spec = *item.mutable_service();
    spec.set_name(key);
    spec.set_team(read_team_name(it));
    *spec.mutable_size() = read_size(it);
    spec.set_slots(static_cast<uint32_t>(it.number("slots", {1, most_slots})));
    const uint64_t connections =
        it.number("connections", {1, most_slots}, spec.slots());
    spec.set_connections(static_cast<uint32_t>(connections));
    if (connections < spec.slots()) {
      it.fault("connections", str_cat(connections),
               "at least as many as slots");
    }
    const milliseconds deadline =
        it.duration("deadline", milliseconds(1), milliseconds(1'000));
    spec.set_deadline_ms(static_cast<uint64_t>(deadline.count()));
    spec.set_standing(it.flag("standing", false));
    read_replicas(it, spec);
    it.finish();
    state_.items.push_back(std::move(item));
  }

  void read_replicas(object_reader& it, proto::service_spec& spec) {
    if (!it.has("replicas")) {
      it.fault("replicas", "nothing", "a number for each data centre");
    }
    it.each("replicas", [&](const auto& name, const auto& n, const auto& at) {
      const auto* count = std::get_if<int64_t>(&n.value);
      const bool good = count != nullptr && *count >= 0 &&
                        static_cast<uint64_t>(*count) <= most_replicas;
      if (!good) {
        faults_.add(n.offset, at, n.show(),
                    str_cat("a whole number from 0 to ", most_replicas));
        return;
      }
      proto::replica_count& part = *spec.add_replicas();
      part.set_data_centre(name);
      part.set_count(static_cast<uint32_t>(*count));
    });
  }

  void read_job(const std::string& key, const json_node& node,
                const std::string& at) {
    object_reader it(faults_, node, at);
    proto::spec_item item;
    item.set_key("job/" + key);
    proto::job_spec& spec = *item.mutable_job();
    spec.set_name(key);
    spec.set_team(read_team_name(it));
    *spec.mutable_size() = read_size(it);
    spec.set_tasks(
        static_cast<uint32_t>(it.number("tasks", {1, most_tasks}, 1)));
    const milliseconds run_time = it.duration("run_time", milliseconds(1));
    spec.set_run_time_ms(static_cast<uint64_t>(run_time.count()));
    spec.set_priority(
        static_cast<uint32_t>(it.number("priority", {0, most_priority}, 0)));
    spec.set_urgent(it.flag("urgent", false));
    for (std::string& name : it.texts("data_centres")) {
      spec.add_data_centres(std::move(name));
    }
    it.finish();
    state_.items.push_back(std::move(item));
  }

  fault_collector& faults_;
  desired_state& state_;
  std::set<std::string> teams_;
};

void put_size(boost::json::object& out, const proto::resources& size) {
  constexpr uint64_t milli = 1'000;
  if (size.cpu_milli() % milli == 0) {
    out["cpu"] = size.cpu_milli() / milli;
  } else {
    out["cpu"] = static_cast<double>(size.cpu_milli()) / milli;
  }
  out["memory"] = format_bytes(byte_count{size.memory_bytes()});
  if (size.accelerators() > 0) out["accelerators"] = size.accelerators();
}

std::string duration_text(uint64_t ms) {
  return format_duration(milliseconds(static_cast<int64_t>(ms)));
}

boost::json::object format_service(const proto::service_spec& spec) {
  boost::json::object out;
  out["team"] = spec.team();
  put_size(out, spec.size());
  out["slots"] = spec.slots();
  out["connections"] = spec.connections();
  out["deadline"] = duration_text(spec.deadline_ms());
  out["standing"] = spec.standing();
  boost::json::object replicas;
  for (const proto::replica_count& it : spec.replicas()) {
    replicas[it.data_centre()] = it.count();
  }
  out["replicas"] = std::move(replicas);
  return out;
}

boost::json::object format_job(const proto::job_spec& spec) {
  boost::json::object out;
  out["team"] = spec.team();
  put_size(out, spec.size());
  out["tasks"] = spec.tasks();
  out["run_time"] = duration_text(spec.run_time_ms());
  out["priority"] = spec.priority();
  out["urgent"] = spec.urgent();
  boost::json::array names;
  for (const std::string& it : spec.data_centres()) names.emplace_back(it);
  if (!names.empty()) out["data_centres"] = std::move(names);
  return out;
}

boost::json::object format_team(const proto::team_spec& spec) {
  boost::json::object out;
  if (!spec.has_quota()) return out;
  boost::json::object quota;
  put_size(quota, spec.quota());
  out["quota"] = std::move(quota);
  return out;
}

}  // namespace detail

std::variant<desired_state, std::vector<config_fault>> parse_desired_state(
    const std::string& file, std::string_view text) {
  return parse_file<desired_state>(
      file, text, [](auto& faults, const auto& tree, auto& out) {
        detail::state_reader(faults, out).read(tree);
      });
}

std::string format_desired_state(const desired_state& state) {
  boost::json::object teams;
  boost::json::object services;
  boost::json::object jobs;
  boost::json::array evacuated;
  for (const proto::spec_item& it : state.items) {
    if (it.has_team()) {
      teams[it.team().name()] = detail::format_team(it.team());
    } else if (it.has_service()) {
      services[it.service().name()] = detail::format_service(it.service());
    } else if (it.has_job()) {
      jobs[it.job().name()] = detail::format_job(it.job());
    } else if (it.has_evacuation()) {
      evacuated.emplace_back(it.evacuation().data_centre());
    }
  }
  boost::json::object all;
  all["version"] = state.version;
  all["replaces"] = state.replaces;
  all["teams"] = std::move(teams);
  all["services"] = std::move(services);
  all["jobs"] = std::move(jobs);
  if (!evacuated.empty()) all["evacuated"] = std::move(evacuated);
  return boost::json::serialize(all);
}

}  // namespace kestrelreel
