#include "deployment.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <filesystem>
#include <thread>
#include <utility>

namespace review2 {
namespace {

constexpr unsigned control_count = 3;
/// Of a control box, as its settings tell it.
constexpr size_t machine_memory = size_t{256} << 20;
constexpr unsigned entry_count = 2;
constexpr milliseconds call_limit{1'000};
constexpr milliseconds client_limit{3'000};
constexpr milliseconds start_limit{20'000};
constexpr milliseconds order_limit{10'000};
/// Below the ports that the kernel gives out by itself.
constexpr uint16_t first_port = 20'000;
constexpr uint16_t last_port = 32'000;
constexpr uint16_t ports_used = 8;
constexpr const char* zones[] = {"kumluca", "demre", "serik"};

std::string in_quotes(const std::string& text) { return "\"" + text + "\""; }

}  // namespace

void nap(milliseconds length) { std::this_thread::sleep_for(length); }

record::record(const std::string& file) : out_(file, std::ios::trunc) {}

milliseconds record::now() const {
  return std::chrono::duration_cast<milliseconds>(clock_type::now() - start_);
}

void record::note(const std::string& line) {
  const std::lock_guard lock(mutex_);
  out_ << now().count() << " ms " << line << std::endl;
}

deployment::deployment(std::string program, record& seen)
    : program_(std::move(program)), seen_(seen) {
  folder_ = std::filesystem::temp_directory_path() / "review-2-XXXXXX";
  if (::mkdtemp(folder_.data()) == nullptr) folder_.clear();
}

deployment::~deployment() {
  for (const auto& [name, pid] : processes_) ::kill(pid, SIGKILL);
  for (const auto& [name, pid] : processes_) ::waitpid(pid, nullptr, 0);
  std::error_code ec;
  if (!folder_.empty()) std::filesystem::remove_all(folder_, ec);
}

std::string deployment::ip_of_control(unsigned i) const {
  return "127." + std::to_string(net_) + ".0." + std::to_string(i + 1);
}

std::string deployment::ip_of_entry(unsigned i) const {
  return "127." + std::to_string(net_) + ".1." + std::to_string(i + 1);
}

std::string deployment::spare_address(unsigned i) const {
  return "127." + std::to_string(net_) + ".2." + std::to_string(i + 1) + ":" +
         std::to_string(port_);
}

/// The ports are alike on all boxes, and free on each of them.
void deployment::choose_ports() {
  constexpr unsigned nets = 100;
  constexpr unsigned first_net = 100;
  const auto pid = static_cast<unsigned>(::getpid());
  net_ = first_net + pid % nets;
  const auto is_free = [&](uint16_t port) {
    for (unsigned i = 0; i < control_count; ++i) {
      if (!port_is_free(ip_of_control(i), port)) return false;
      if (!port_is_free(ip_of_entry(i), port)) return false;
    }
    return true;
  };
  for (uint16_t at = first_port; at < last_port; at += ports_used) {
    bool all = true;
    for (uint16_t i = 0; i < ports_used; ++i)
      all = all && is_free(static_cast<uint16_t>(at + i));
    if (!all) continue;
    port_ = at;
    return;
  }
}

/// As the templates of the deploy file make them.
void deployment::write_settings() {
  const std::string peer = std::to_string(port_ + 2);
  std::string seeds;
  for (unsigned i = 0; i < control_count; ++i) {
    controls_.push_back(ip_of_control(i) + ":" + std::to_string(port_));
    seeds += (i == 0 ? "" : ",") + in_quotes(controls_.back());
  }
  const std::string common = ",\"peer_port\":" + peer + ",\"seeds\":[" + seeds +
                             "],\"memory\":\"256MiB\",\"stop_time\":\"6s\"";
  for (unsigned i = 0; i < control_count; ++i) {
    const std::string name = "control-" + std::to_string(i);
    const std::string data = folder_ + "/" + name;
    std::filesystem::create_directories(data);
    std::ofstream(data + ".json")
        << "{\"box\":" << in_quotes(ip_of_control(i))
        << ",\"name\":" << in_quotes(name)
        << ",\"data_centre\":" << in_quotes(zones[i])
        << R"(,"data_centres":["kumluca","demre","serik"],"role":"control")"
        << ",\"listen\":{\"control\":" << in_quotes(controls_[i])
        << "},\"found_cluster\":true,\"data_folder\":" << in_quotes(data)
        << R"(,"losses_tolerated":1,"worker_hold":"10000ms")"
        << ",\"worker_stop\":\"900ms\"" << common << "}\n";
  }
  for (unsigned i = 0; i < entry_count; ++i) {
    const std::string name = "entry-" + std::to_string(i);
    entries_.push_back(ip_of_entry(i) + ":" + std::to_string(port_));
    std::ofstream(folder_ + "/" + name + ".json")
        << "{\"box\":" << in_quotes(ip_of_entry(i))
        << ",\"name\":" << in_quotes(name)
        << ",\"data_centre\":" << in_quotes(zones[i])
        << ",\"role\":\"entry\",\"listen\":{\"callers\":"
        << in_quotes(entries_.back()) << ",\"readiness\":"
        << in_quotes(ip_of_entry(i) + ":" + std::to_string(port_ + 1))
        << "},\"decisions\":{\"hold_without_leader\":true}" << common << "}\n";
  }
}

void deployment::launch(const std::string& name) {
  const std::string settings = folder_ + "/" + name + ".json";
  const pid_t pid = ::fork();
  if (pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = ::open((folder_ + "/" + name + ".log").c_str(),
                           O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    ::execl(program_.c_str(), program_.c_str(), "--settings", settings.c_str(),
            nullptr);
    ::_exit(2);
  }
  processes_[name] = pid;
}

bool deployment::start(const std::vector<route>& routes) {
  if (folder_.empty()) return false;
  choose_ports();
  if (port_ == 0) return false;
  write_settings();
  for (unsigned i = 0; i < control_count; ++i)
    launch("control-" + std::to_string(i));
  for (unsigned i = 0; i < entry_count; ++i)
    launch("entry-" + std::to_string(i));
  const auto until = clock_type::now() + start_limit;
  while (put_config(1, routes) != 200) {
    if (clock_type::now() >= until) return false;
    nap(milliseconds(100));
  }
  return eventually(start_limit, [this] {
    for (unsigned i = 0; i < entry_count; ++i) {
      const std::string at = ip_of_entry(i) + ":" + std::to_string(port_ + 1);
      if (ask(at, {"GET", "/ready", ""}, call_limit).status != 200)
        return false;
    }
    return true;
  });
}

void deployment::signal(unsigned control, int number) {
  const std::string name = "control-" + std::to_string(control);
  ::kill(processes_.at(name), number);
  seen_.note("signal " + std::to_string(number) + " to " + name);
}

size_t deployment::memory_of(unsigned control) const {
  const pid_t pid = processes_.at("control-" + std::to_string(control));
  std::ifstream in("/proc/" + std::to_string(pid) + "/status");
  constexpr size_t kilobyte = 1'024;
  std::string name;
  while (in >> name) {
    size_t n = 0;
    if (name == "VmRSS:" && in >> n) return n * kilobyte;
  }
  return 0;
}

void deployment::end_and_start_again(unsigned control) {
  constexpr milliseconds delay{500};
  signal(control, SIGKILL);
  const std::string name = "control-" + std::to_string(control);
  ::waitpid(processes_.at(name), nullptr, 0);
  nap(delay);
  launch(name);
}

memory_guard::memory_guard(deployment& boxes, record& seen)
    : boxes_(boxes),
      seen_(seen),
      ends_(boxes.controls().size()),
      thread_([this] { watch(); }) {}

memory_guard::~memory_guard() {
  over_ = true;
  thread_.join();
}

std::vector<unsigned> memory_guard::ends() const {
  const std::lock_guard lock(mutex_);
  return ends_;
}

void memory_guard::watch() {
  constexpr milliseconds pause{20};
  while (!over_) {
    for (unsigned i = 0; i < boxes_.controls().size(); ++i) {
      const size_t held = boxes_.memory_of(i);
      if (held <= machine_memory) continue;
      seen_.note("control-" + std::to_string(i) + " holds " +
                 std::to_string(held) + " bytes of " +
                 std::to_string(machine_memory));
      boxes_.end_and_start_again(i);
      const std::lock_guard lock(mutex_);
      ++ends_[i];
    }
    nap(pause);
  }
}

std::optional<unsigned> deployment::number_of(
    const std::string& control) const {
  for (unsigned i = 0; i < controls_.size(); ++i) {
    if (controls_[i] == control) return i;
  }
  return std::nullopt;
}

int deployment::order(const http_question& question, unsigned first) {
  const auto until = clock_type::now() + order_limit;
  int status = 0;
  for (unsigned i = first; clock_type::now() < until; ++i) {
    const unsigned box = i % control_count;
    const http_reply reply = ask(controls_[box], question, call_limit);
    status = reply.status;
    seen_.note("operator " + question.method + " " + question.path +
               " at control-" + std::to_string(box) + " -> " +
               std::to_string(status));
    const bool again = status == 0 || status >= 500;
    if (!again) return status;
    nap(milliseconds(50));
  }
  return status;
}

int deployment::put_config(unsigned version, const std::vector<route>& routes) {
  std::string body = "{\"Version\":" + std::to_string(version);
  body += ",\"Routes\":[";
  for (size_t i = 0; i < routes.size(); ++i) {
    const route& it = routes[i];
    body += (i == 0 ? "" : ",") + std::string("{\"Name\":") +
            in_quotes(it.name) + R"(,"Host":"nony24.example","PathPrefix":)" +
            in_quotes(it.prefix) +
            R"(,"Kind":"non_idempotent","TimeoutMs":3000,"SloMs":1000)" +
            R"(,"Priority":0,"Service":"iklim-servis","MaxAttempts":)" +
            std::to_string(it.max_attempts) + ",\"Stretch\":1.5}";
  }
  body += R"(],"Services":[{"Name":"iklim-servis","HealthPath":"/health",)";
  body += R"("MaxConns":64,"Protocol":"h1","Tls":false,)";
  body += R"("EnforcesCapacity":true,"Spare":false}],)";
  body += R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,)";
  body += R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";
  return order({"PUT", "/config", body}, 0);
}

http_reply deployment::call(unsigned entry, const std::string& method,
                            const std::string& path, const std::string& body) {
  constexpr size_t most_shown = 4'000;
  const http_reply reply =
      ask(entries_.at(entry), {method, path, body}, client_limit);
  const std::string shown = body.size() <= most_shown
                                ? body
                                : body.substr(0, 100) + "... of " +
                                      std::to_string(body.size()) + " bytes";
  seen_.note("client " + method + " " + path + " at entry-" +
             std::to_string(entry) + (body.empty() ? "" : " " + shown) +
             " -> " + std::to_string(reply.status) + " " + reply.body);
  return reply;
}

}  // namespace review2
