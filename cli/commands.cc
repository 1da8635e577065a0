#include "cli/commands.h"

#include <unistd.h>

#include <boost/json.hpp>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <iterator>
#include <set>
#include <thread>
#include <utility>
#include <vector>

#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "base/text.h"
#include "base/units.h"
#include "cli/client.h"
#include "cli/show.h"
#include "config/desired-state.h"
#include "record/spec.h"

namespace kestrelreel {
namespace detail {

using option_map = std::map<std::string, docopt::value>;

constexpr const char* via_variable = "KESTRELREEL_VIA";

exit_code report(const absl::Status& status) {
  std::cerr << "kestrelreel: " << status.message() << "\n";
  switch (status.code()) {
    case absl::StatusCode::kUnavailable:
      std::cerr << "check that the boxes run and that --via names their "
                   "operator addresses\n";
      return exit_code::unreachable;
    case absl::StatusCode::kDeadlineExceeded:
      return exit_code::timed_out;
    case absl::StatusCode::kInvalidArgument:
    case absl::StatusCode::kFailedPrecondition:
      return exit_code::refused;
    default:
      return exit_code::failed;
  }
}

std::string text_option(option_map& options, const std::string& name) {
  return options[name] ? options[name].asString() : "";
}

/// Options that all commands share.
struct common_options {
  std::vector<std::string> via;
  milliseconds timeout{10'000};
  bool json = false;
};

bool read_common(option_map& options, common_options& common) {
  std::string via = text_option(options, "--via");
  const char* variable = std::getenv(via_variable);
  if (via.empty() && variable != nullptr) via = variable;
  common.via = absl::StrSplit(via, ',', absl::SkipEmpty());
  if (common.via.empty()) {
    std::cerr << "kestrelreel: no box to ask; name some by --via or "
              << via_variable << "\n";
    return false;
  }
  const std::string limit = text_option(options, "--timeout");
  const auto timeout = parse_duration(limit);
  if (!timeout || timeout->count() == 0) {
    std::cerr << "kestrelreel: --timeout '" << limit
              << "' is no length of time, such as 10s\n";
    return false;
  }
  common.timeout = *timeout;
  const std::string output = text_option(options, "--output");
  if (output != "table" && output != "json") {
    std::cerr << "kestrelreel: --output '" << output
              << "' is not one of table, json\n";
    return false;
  }
  common.json = output == "json";
  return true;
}

std::optional<desired_state> load_state(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  if (!in) {
    std::cerr << "kestrelreel: cannot read '" << file << "'\n";
    return std::nullopt;
  }
  const std::string text{std::istreambuf_iterator<char>(in), {}};
  auto parsed = parse_desired_state(file, text);
  if (const auto* faults = std::get_if<std::vector<config_fault>>(&parsed)) {
    for (const config_fault& it : *faults) std::cerr << it.str() << "\n";
    return std::nullopt;
  }
  return std::get<desired_state>(std::move(parsed));
}

exit_code check(option_map& options) {
  const std::string file = text_option(options, "FILE");
  const auto state = load_state(file);
  if (!state) return exit_code::faulty_file;
  std::cout << file << ": sound; version " << state->version << ", "
            << state->items.size() << " items\n";
  return exit_code::ok;
}

std::string new_request_id() {
  seeded_random random(0);
  return str_cat(absl::Hex(random.next(), absl::kZeroPad16),
                 absl::Hex(random.next(), absl::kZeroPad16));
}

std::string default_author() {
  const char* user = std::getenv("USER");
  return user != nullptr && *user != '\0' ? user : "operator";
}

proto::apply_request make_request(option_map& options,
                                  const desired_state& state) {
  proto::apply_request request;
  request.set_request_id(text_option(options, "--request-id"));
  if (request.request_id().empty()) request.set_request_id(new_request_id());
  request.set_author(text_option(options, "--author"));
  if (request.author().empty()) request.set_author(default_author());
  request.set_version(state.version);
  request.set_replaces(state.replaces);
  for (const proto::spec_item& it : state.items) *request.add_items() = it;
  return request;
}

exit_code explain_refusal(const proto::apply_request& request,
                          const proto::apply_reply& reply) {
  const proto::change_outcome& outcome = reply.outcome();
  std::cerr << "kestrelreel: version " << request.version()
            << " was not accepted: version " << outcome.version() << " by "
            << outcome.winner_author() << " (request "
            << outcome.winner_request() << ") is in force\n";
  const bool stale = outcome.result() == proto::change_stale;
  std::cerr << (stale ? "an older version never replaces a newer one; "
                      : "another change came first; ")
            << "see what differs by 'kestrelreel diff', then set replaces to "
            << outcome.version() << " and raise version\n";
  if (!stale) std::cerr << show_difference(reply);
  return stale ? exit_code::refused : exit_code::conflict;
}

/// Boxes that are live and do not have the version yet.
std::set<std::string> lagging_boxes(const proto::status_reply& status,
                                    uint64_t version) {
  std::set<std::string> result;
  for (const proto::box_status& it : status.boxes()) {
    if (it.live() && it.version_in_force() < version) result.insert(it.box());
  }
  return result;
}

exit_code wait_in_force(operator_client& client, uint64_t version,
                        milliseconds timeout) {
  constexpr milliseconds poll_interval{100};
  const boot_clock clock;
  const time_point end = clock.now() + timeout;
  const bool terminal = ::isatty(STDERR_FILENO) == 1;
  std::set<std::string> lagging;
  while (clock.now() < end) {
    const auto status = client.status();
    if (status.ok()) {
      lagging = lagging_boxes(*status, version);
      if (lagging.empty()) return exit_code::ok;
    }
    if (terminal) {
      std::cerr << "\rwaiting for " << lagging.size() << " boxes "
                << std::flush;
    }
    std::this_thread::sleep_for(poll_interval);
  }
  std::cerr << "kestrelreel: accepted, but not yet in force on "
            << absl::StrJoin(lagging, ", ") << "\n";
  return exit_code::timed_out;
}

exit_code apply(option_map& options, const common_options& common) {
  const auto state = load_state(text_option(options, "FILE"));
  if (!state) return exit_code::faulty_file;
  operator_client client(common.via, common.timeout);
  proto::apply_request request = make_request(options, *state);
  request.set_dry_run(options["--dry-run"].asBool());
  const auto reply = client.apply(request);
  if (!reply.ok()) {
    std::cerr << "request id " << request.request_id()
              << " (for --request-id, to send the same change again)\n";
    return report(reply.status());
  }
  if (request.dry_run()) {
    std::cout << show_difference(*reply);
    return exit_code::ok;
  }
  if (reply->outcome().result() != proto::change_accepted) {
    return explain_refusal(request, *reply);
  }
  if (options["--wait"].asBool()) {
    const exit_code waited =
        wait_in_force(client, state->version, common.timeout);
    if (waited != exit_code::ok) return waited;
  }
  std::cout << show_applied(request, *reply, common.json);
  return exit_code::ok;
}

exit_code diff(option_map& options, const common_options& common) {
  options["--dry-run"] = docopt::value(true);
  options["--wait"] = docopt::value(false);
  return apply(options, common);
}

exit_code get(const common_options& common) {
  operator_client client(common.via, common.timeout);
  const auto reply = client.get();
  if (!reply.ok()) return report(reply.status());
  desired_state state;
  state.version = reply->version();
  state.replaces = state.version > 0 ? state.version - 1 : 0;
  state.items.assign(reply->items().begin(), reply->items().end());
  std::cout << format_desired_state(state) << "\n";
  return exit_code::ok;
}

exit_code status(const common_options& common) {
  operator_client client(common.via, common.timeout);
  const auto replies = client.all_statuses();
  if (replies.empty()) {
    return report(absl::UnavailableError("no box answers"));
  }
  std::cout << show_status(replies, common.json);
  return exit_code::ok;
}

exit_code tasks(const common_options& common) {
  operator_client client(common.via, common.timeout);
  const auto replies = client.tasks();
  if (!replies.ok()) return report(replies.status());
  std::cout << show_tasks(*replies, common.json);
  return exit_code::ok;
}

exit_code explain(option_map& options, const common_options& common) {
  const std::string task = text_option(options, "TASK");
  operator_client client(common.via, common.timeout);
  const auto replies = client.tasks();
  if (!replies.ok()) return report(replies.status());
  const std::string text = show_explanation(*replies, task);
  if (text.empty()) {
    std::cerr << "kestrelreel: no holder that answered knows task '" << task
              << "'; 'kestrelreel tasks' lists them\n";
    return exit_code::refused;
  }
  std::cout << text;
  return exit_code::ok;
}

using item_list = std::vector<proto::spec_item>;

/// Changes the desired state in force by one item, which `edit` adds or takes
/// out; when it returns false, its answer stands instead.
exit_code change_now(option_map& options, const common_options& common,
                     const std::function<bool(item_list&, exit_code&)>& edit) {
  operator_client client(common.via, common.timeout);
  const auto now = client.get();
  if (!now.ok()) return report(now.status());
  desired_state state;
  state.replaces = now->version();
  state.version = now->version() + 1;
  state.items.assign(now->items().begin(), now->items().end());
  exit_code answer = exit_code::ok;
  if (!edit(state.items, answer)) return answer;
  proto::apply_request request = make_request(options, state);
  const auto reply = client.apply(request);
  if (!reply.ok()) return report(reply.status());
  if (reply->outcome().result() != proto::change_accepted) {
    return explain_refusal(request, *reply);
  }
  std::cout << show_applied(request, *reply, common.json);
  return exit_code::ok;
}

bool take_out(item_list& items, const std::string& key) {
  return std::erase_if(items, [&](const auto& it) { return it.key() == key; }) >
         0;
}

exit_code cancel(option_map& options, const common_options& common) {
  const std::string job = text_option(options, "JOB");
  return change_now(options, common, [&](item_list& items, exit_code& answer) {
    if (take_out(items, "job/" + job)) return true;
    std::cerr << "kestrelreel: there is no job '" << job
              << "'; 'kestrelreel get' shows them\n";
    answer = exit_code::refused;
    return false;
  });
}

/// The same order again is no error: its first answer may have been lost.
exit_code evacuate(option_map& options, const common_options& common) {
  const std::string name = text_option(options, "NAME");
  return change_now(options, common, [&](item_list& items, exit_code&) {
    proto::spec_item item;
    item.mutable_evacuation()->set_data_centre(name);
    item.set_key(evacuation_key(name));
    const bool held = take_out(items, item.key());
    items.push_back(std::move(item));
    if (held) std::cout << name << " is evacuated already\n";
    return !held;
  });
}

exit_code take_back(option_map& options, const common_options& common) {
  const std::string name = text_option(options, "NAME");
  return change_now(options, common, [&](item_list& items, exit_code&) {
    if (take_out(items, evacuation_key(name))) return true;
    std::cout << name << " is not evacuated\n";
    return false;
  });
}

}  // namespace detail

exit_code run_command(std::map<std::string, docopt::value>& options) {
  if (options["check"].asBool()) return detail::check(options);
  detail::common_options common;
  if (!detail::read_common(options, common)) return exit_code::usage;
  if (options["apply"].asBool()) return detail::apply(options, common);
  if (options["diff"].asBool()) return detail::diff(options, common);
  if (options["get"].asBool()) return detail::get(common);
  if (options["status"].asBool()) return detail::status(common);
  if (options["tasks"].asBool()) return detail::tasks(common);
  if (options["explain"].asBool()) return detail::explain(options, common);
  if (options["cancel"].asBool()) return detail::cancel(options, common);
  if (options["evacuate"].asBool()) return detail::evacuate(options, common);
  if (options["return"].asBool()) return detail::take_back(options, common);
  return exit_code::usage;
}

}  // namespace kestrelreel
