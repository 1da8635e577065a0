#include "support/faults/soak-boxes.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <utility>

#include "base/text.h"

namespace kestrelreel::faults {
namespace {

std::string read_from(const std::string& file, size_t at) {
  std::ifstream in(file, std::ios::binary);
  in.seekg(static_cast<std::streamoff>(at));
  return {std::istreambuf_iterator<char>(in), {}};
}

}  // namespace

std::string soak_place::control_ip(unsigned i) const {
  return str_cat("127.", net, ".0.", i + 1);
}
std::string soak_place::entry_ip(unsigned i) const {
  return str_cat("127.", net, ".1.", i + 1);
}
std::string soak_place::hidden_ip(unsigned i) const {
  return str_cat("127.", net, ".2.", i + 1);
}
std::string soak_place::control_address(unsigned i) const {
  return str_cat(control_ip(i), ":", soak_control_port);
}
std::string soak_place::callers_address(unsigned i) const {
  return str_cat(entry_ip(i), ":", soak_callers_port);
}
std::string soak_place::control_name(unsigned i) {
  return str_cat("control-", i);
}
std::string soak_place::entry_name(unsigned i) { return str_cat("entry-", i); }

std::string soak_boxes::path(const std::string& name, const char* what) const {
  return str_cat(place_.folder, "/", name, ".", what);
}

void soak_boxes::write_settings() const {
  std::string seeds;
  for (unsigned i = 0; i < place_.controls; ++i) {
    seeds += str_cat(i == 0 ? "" : ",", "\"", place_.control_ip(i), ":",
                     soak_peer_port, "\"");
  }
  const std::string common =
      str_cat(R"(,"data_centre":"z","peer_port":)", soak_peer_port,
              R"(,"seeds":[)", seeds, "]");
  const unsigned tolerated = (place_.controls - 1) / 2;
  for (unsigned i = 0; i < place_.controls; ++i) {
    const std::string name = soak_place::control_name(i);
    std::filesystem::create_directories(path(name, "data"));
    std::ofstream(path(name, "json"))
        << R"({"box":")" << place_.control_ip(i) << R"(","name":")" << name
        << R"(","role":"control","found_cluster":true,"data_folder":")"
        << path(name, "data") << R"(","losses_tolerated":)" << tolerated
        << R"(,"worker_hold":"3s","listen":{"control":")"
        << place_.control_address(i) << R"(","peers":")" << place_.hidden_ip(i)
        << ":" << soak_peer_port << "\"}"
        << R"(,"decisions":{"learn_run_times":true,"throttle_by_slack":true,)"
        << R"("admission":true,"overload_order":true})" << common << "}\n";
  }
  for (unsigned i = 0; i < place_.entries; ++i) {
    const std::string name = soak_place::entry_name(i);
    std::ofstream(path(name, "json"))
        << R"({"box":")" << place_.entry_ip(i) << R"(","name":")" << name
        << R"(","role":"entry","listen":{"callers":")"
        << place_.callers_address(i) << R"(","readiness":")"
        << place_.entry_ip(i) << ":" << soak_ready_port << "\"}"
        << R"(,"decisions":{"hold_without_leader":true})" << common << "}\n";
  }
}

void soak_boxes::mark_suspended(const std::string& name) const {
  std::ofstream(path(name, "suspended"));
}

std::vector<std::string> soak_boxes::names() const {
  std::vector<std::string> out;
  for (unsigned i = 0; i < place_.controls; ++i) {
    out.push_back(soak_place::control_name(i));
  }
  for (unsigned i = 0; i < place_.entries; ++i) {
    out.push_back(soak_place::entry_name(i));
  }
  return out;
}

int soak_boxes::pid_of(const std::string& name) const {
  if (std::filesystem::exists(path(name, "exit"))) return 0;
  int pid = 0;
  std::ifstream(path(name, "pid")) >> pid;
  return pid;
}

bool soak_boxes::is_up(const std::string& name) const {
  return pid_of(name) > 0;
}

bool soak_boxes::start(const std::string& name) {
  const bool ended = std::filesystem::exists(path(name, "exit"));
  // One that was asked for may have no process id yet.
  if (!asked_.insert(name).second && !ended) return false;
  if (ended && !stopped_.contains(name)) {
    unasked_ends_.push_back(str_cat("ENDED ", name, " by itself: code ",
                                    read_from(path(name, "exit"), 0)));
  }
  stopped_.erase(name);
  std::filesystem::remove(path(name, "pid"));
  std::filesystem::remove(path(name, "exit"));
  std::cout << "start " << name << std::endl;
  return true;
}

bool soak_boxes::signal(const std::string& name, int number) {
  const int pid = pid_of(name);
  return pid > 0 && ::kill(pid, number) == 0;
}

bool soak_boxes::stop(const std::string& name, int number) {
  if (!signal(name, number)) return false;
  stopped_.insert(name);
  return true;
}

unsigned soak_boxes::leader() {
  for (unsigned i = 0; i < place_.controls; ++i) {
    const std::string name = soak_place::control_name(i);
    size_t& at = log_read_[name];
    const std::string text = read_from(path(name, "log"), at);
    at += text.size();
    if (text.find("event=leads ") != std::string::npos) leader_ = i;
  }
  return leader_;
}

std::vector<std::string> soak_boxes::ended_by_themselves() const {
  std::vector<std::string> out = unasked_ends_;
  for (const std::string& it : names()) {
    if (!std::filesystem::exists(path(it, "exit"))) continue;
    if (stopped_.contains(it)) continue;
    out.push_back(str_cat("ENDED ", it, " by itself: code ",
                          read_from(path(it, "exit"), 0)));
  }
  return out;
}

}  // namespace kestrelreel::faults
