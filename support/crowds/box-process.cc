#include "support/crowds/box-process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <vector>

#include "base/text.h"

namespace kestrelreel::crowds {
namespace {

constexpr mode_t log_mode = 0644;
constexpr size_t shown_log_bytes = 2'000;
constexpr size_t bytes_per_kib = 1'024;

}  // namespace

box_process::box_process(const std::filesystem::path& folder,
                         const std::string& name, const std::string& settings,
                         bool new_cluster)
    : log_(folder / (name + ".log")) {
  const std::string file = folder / (name + ".json");
  std::ofstream(file) << settings;
  std::vector<std::string> words = {KESTRELREELD, "--settings", file};
  if (new_cluster) words.emplace_back("--new-cluster");
  std::vector<char*> args;
  args.reserve(words.size() + 1);
  for (std::string& it : words) args.push_back(it.data());
  args.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_.c_str(),
                                   O_WRONLY | O_CREAT | O_TRUNC | O_APPEND,
                                   log_mode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const int error = ::posix_spawn(&pid_, KESTRELREELD, &actions, nullptr,
                                  args.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    throw std::runtime_error(str_cat("cannot start ", name, ": ", error));
  }
}

box_process::~box_process() {
  if (!is_alive()) return;
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, nullptr, 0);
}

bool box_process::is_alive() {
  if (pid_ == 0) return false;
  if (::waitpid(pid_, nullptr, WNOHANG) == 0) return true;
  pid_ = 0;
  return false;
}

size_t box_process::status_bytes(const std::string& key) const {
  std::ifstream in(str_cat("/proc/", pid_, "/status"));
  std::string word;
  while (in >> word) {
    size_t kib = 0;
    if (word == key && in >> kib) return kib * bytes_per_kib;
  }
  return 0;
}

size_t box_process::peak_memory() const { return status_bytes("VmHWM:"); }

size_t box_process::memory() const { return status_bytes("VmRSS:"); }

size_t box_process::descriptors() const {
  std::error_code ec;
  const std::filesystem::directory_iterator it(str_cat("/proc/", pid_, "/fd"),
                                               ec);
  if (ec) return 0;
  return static_cast<size_t>(std::distance(begin(it), end(it)));
}

void box_process::freeze() const { ::kill(pid_, SIGSTOP); }

void box_process::thaw() const { ::kill(pid_, SIGCONT); }

std::string box_process::log_text() const {
  std::ifstream in(log_, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

std::string box_process::log_end() const {
  std::string text = log_text();
  if (text.size() > shown_log_bytes) {
    text.erase(0, text.size() - shown_log_bytes);
  }
  return text;
}

}  // namespace kestrelreel::crowds
