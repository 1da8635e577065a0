#include "support/crowds/boxes.h"

#include <chrono>
#include <stdexcept>

#include "base/text.h"
#include "cli/client.h"

namespace kestrelreel::crowds {
namespace {

constexpr const char* control_ip = "127.0.52.1";
constexpr const char* entry_ip = "127.0.52.2";
constexpr const char* listed_ip = "127.0.52.3";
constexpr const char* platform_ip = "127.0.52.4";

/// Each process of a test has four, below those that the kernel gives out.
uint16_t port(int i) {
  constexpr int first = 10'000;
  constexpr int each = 4;
  constexpr int shares = 2'500;
  return static_cast<uint16_t>(first + getpid() % shares * each + i);
}

/// How long an operator waits.
constexpr milliseconds patience{10'000};

std::string text_of(const endpoint& it) { return str_cat(it.ip, ":", it.port); }

std::string with_body(const std::string& head, const std::string& body) {
  return str_cat(head, "Content-Type: application/json\r\nContent-Length: ",
                 body.size(), "\r\n\r\n", body);
}

std::string route(const std::string& name, const std::string& prefix) {
  return str_cat(R"({"Name":")", name, R"(","Host":"plans.example",)",
                 R"("PathPrefix":")", prefix, R"(","Kind":"non_idempotent",)",
                 R"("TimeoutMs":3000,"SloMs":1200,"Priority":0,)",
                 R"("Service":"planner","MaxAttempts":4,"Stretch":1.5})");
}

/// A crowd on a slow machine needs its time.
std::string configuration(size_t more_routes) {
  std::string routes = route("plans", "/plans/");
  for (size_t i = 0; i < more_routes; ++i) {
    routes += "," + route(str_cat("more-", i), str_cat("/more-", i, "/"));
  }
  return str_cat(
      R"({"Version":1,"Routes":[)", routes,
      R"(],"Services":[{"Name":"planner","HealthPath":"/health",)",
      R"("MaxConns":64,"Protocol":"h1","Tls":false,"EnforcesCapacity":true,)",
      R"("Spare":false}],"Limits":{"MaxHeaderBytes":)", most_header_bytes,
      R"(,"MaxBodyBytes":)", most_body_bytes,
      R"(,"HeaderTimeoutMs":60000,"IdleTimeoutMs":60000}})");
}

std::string seeded_settings(const char* ip, const char* role,
                            const std::string& more) {
  return str_cat(R"({"box":")", ip, R"(","role":")", role,
                 R"(","data_centre":"z","peer_port":)", port(0),
                 R"(,"seeds":[")", control_ip, ":", port(0), R"("],)", more,
                 "}\n");
}

void expect(const char* what, const endpoint& at, const std::string& request,
            unsigned status, box_process& box) {
  constexpr std::chrono::seconds start_patience{60};
  const auto end = std::chrono::steady_clock::now() + start_patience;
  while (std::chrono::steady_clock::now() < end && box.is_alive()) {
    if (is_answered(at, request, status)) return;
  }
  throw std::runtime_error(str_cat(what, " got no answer ", status,
                                   " at the start; ", box.log_end()));
}

}  // namespace

scratch_folder::scratch_folder()
    : path_(std::filesystem::temp_directory_path() /
            str_cat("crowd-", getpid())) {
  std::filesystem::remove_all(path_);
  std::filesystem::create_directories(path_);
}

scratch_folder::~scratch_folder() {
  std::error_code ec;
  std::filesystem::remove_all(path_, ec);
}

endpoint seeded_pair::peers() { return {control_ip, port(0)}; }
endpoint seeded_pair::controls() { return {control_ip, port(1)}; }
endpoint seeded_pair::callers() { return {entry_ip, port(2)}; }
endpoint seeded_pair::readiness() { return {entry_ip, port(3)}; }

seeded_pair::seeded_pair(size_t more_routes) {
  control_ = std::make_unique<box_process>(
      folder_.path(), "control",
      seeded_settings(
          control_ip, "control",
          str_cat(R"("found_cluster":true,"losses_tolerated":0,)",
                  R"("data_folder":")", folder_.path().string(),
                  R"(","listen":{"control":")", text_of(controls()), "\"}")),
      false);
  expect("the configuration", controls(),
         with_body("PUT /config HTTP/1.1\r\nHost: control\r\n",
                   configuration(more_routes)),
         200, *control_);
  entry_ = std::make_unique<box_process>(
      folder_.path(), "entry",
      seeded_settings(
          entry_ip, "entry",
          str_cat(R"("listen":{"callers":")", text_of(callers()),
                  R"(","readiness":")", text_of(readiness()), "\"}")),
      false);
  expect("a job", callers(), ordinary_job(), 200, *entry_);
}

std::string seeded_pair::ordinary_job() {
  return with_body(
      "POST /plans/00000000000000aa HTTP/1.1\r\nHost: plans.example\r\n",
      R"({"Spec":"s","Steps":[{"Count":1,"Cpu":1,"MemMb":1}]})");
}

std::string seeded_pair::ordinary_heartbeat() {
  return with_body(
      "PUT /instances/i-1 HTTP/1.1\r\nHost: control\r\n",
      R"({"Service":"planner","Addr":"127.0.52.9:8080","Zone":"z",)"
      R"("Version":"v1","Slots":8,"State":"ready","ColdLeftMs":0,)"
      R"("Capacity":{"Cpu":16000,"MemMb":32768,"Gpu":0},)"
      R"("Labels":["a","r1-3"],"ClockMs":482113,"Seq":4,"Running":[],"Ended":[]})");
}

std::string seeded_pair::readiness_question() {
  return "GET /ready HTTP/1.1\r\nHost: entry\r\n\r\n";
}

endpoint listed_box::peers() { return {listed_ip, port(0)}; }
endpoint listed_box::callers() { return {listed_ip, port(1)}; }
endpoint listed_box::operators() { return {listed_ip, port(2)}; }
endpoint listed_box::admin() { return {listed_ip, port(3)}; }

listed_box::listed_box() {
  const std::string settings =
      str_cat(R"({"box":"a","boxes":[{"id":"a","data_centre":"z","peer":")",
              text_of(peers()), R"(","replica":true}],"listen":{"callers":")",
              text_of(callers()), R"(","operators":")", text_of(operators()),
              R"(","admin":")", text_of(admin()), R"("},"data_folder":")",
              folder_.path().string(), R"(","platform":")", platform_ip, ":",
              port(0), R"(","limits":{"body":"4MiB","idle":"60s"}})", "\n");
  box_ = std::make_unique<box_process>(folder_.path(), "a", settings, true);
  expect("a health question", admin(), health_question(), 200, *box_);
  apply_state();
  expect("a request", callers(), ordinary_request(), 404, *box_);
}

void listed_box::apply_state() {
  constexpr milliseconds start_patience{60'000};
  proto::apply_request change;
  change.set_request_id("first");
  change.set_version(1);
  proto::spec_item& item = *change.add_items();
  item.set_key("service/answers");
  item.mutable_service()->set_name("answers");
  operator_client client({text_of(operators())}, start_patience);
  const auto reply = client.apply(change);
  if (!reply.ok()) {
    throw std::runtime_error(str_cat("no state: ", reply.status().message()));
  }
}

bool listed_box::reads_change(size_t bytes) {
  proto::apply_request change;
  change.set_request_id("large");
  change.set_replaces(1);
  change.set_version(2);
  change.set_dry_run(true);
  change.set_author(std::string(bytes, 'a'));
  return operator_client({text_of(operators())}, patience).apply(change).ok();
}

bool listed_box::answers_operators() {
  return operator_client({text_of(operators())}, patience).status().ok();
}

std::string listed_box::ordinary_request() {
  return "GET /none HTTP/1.1\r\nHost: entry\r\n\r\n";
}

std::string listed_box::health_question() {
  return "GET /healthz HTTP/1.1\r\nHost: entry\r\n\r\n";
}

}  // namespace kestrelreel::crowds
