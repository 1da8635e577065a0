// Callers, workers, operators and monitoring that don't keep to HTTP or to its
// pace.
#include <string>
#include <vector>

#include "support/crowds/crowd-test-parts.h"

using namespace kestrelreel;
using namespace kestrelreel::crowds;

namespace {

std::string hex(size_t n) { return str_cat(absl::Hex(n)); }

std::string head_of(const std::string& first_line) {
  return first_line + " HTTP/1.1\r\nHost: plans.example\r\n";
}
const std::string job_head = head_of("POST /plans/00000000000000bb");
const std::string heartbeat_head = head_of("PUT /instances/i-2");
const std::string question_head = head_of("POST /ready");
const std::string listed_head = head_of("POST /none");
const std::string admin_head = head_of("POST /metrics");
const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";

/// What goes on without an end in the framing of a body in chunks.
constexpr size_t endless_bytes = 80'000'000;
constexpr size_t endless_clients = 4;

transmission endless_trailers(const std::string& head) {
  return {head + chunked + "0\r\n", "X-T: " + letters + "\r\n", endless_bytes,
          ""};
}
transmission endless_trailer_line(const std::string& head) {
  return {head + chunked + "0\r\nX-T: ", letters, endless_bytes, ""};
}
transmission endless_extension(const std::string& head) {
  return {head + chunked + "5;e=", letters, endless_bytes, ""};
}

/// Bodies that stop short of their end.
constexpr size_t missing_bytes = 1'000;
constexpr size_t body_clients = 100;

transmission one_chunk(const std::string& head, size_t size) {
  return {head + chunked + hex(size) + "\r\n", letters, size - missing_bytes,
          ""};
}
transmission small_chunks(const std::string& head, size_t size) {
  const std::string chunk = "40\r\n" + std::string(0x40, 'a') + "\r\n";
  return {head + chunked, chunk, (size - missing_bytes) / 0x40 * chunk.size(),
          ""};
}
transmission sized_body(const std::string& head, size_t size) {
  return {str_cat(head, "Content-Length: ", size, "\r\n\r\n"), letters,
          size - missing_bytes, ""};
}
/// A whole request: `begin`, as many of `part` as fit into `size`, `end`.
transmission filled_body(const std::string& head, const std::string& begin,
                         const std::string& part, const std::string& end,
                         size_t size) {
  const size_t room = size - begin.size() - end.size();
  const size_t filled = room / part.size() * part.size();
  const size_t length = begin.size() + filled + end.size();
  transmission it{str_cat(head, "Content-Length: ", length, "\r\n\r\n", begin),
                  part, filled, end};
  it.reads = false;
  return it;
}
transmission job_of_steps(const std::string& path, size_t size) {
  return filled_body(head_of("POST " + path + "00000000000000bb"),
                     R"({"Spec":"s","Steps":[)", R"({"Count":1,"Cpu":1},)",
                     R"({"Count":1,"Cpu":1}]})", size);
}
/// A header of short fields, and a body that does not come.
transmission many_fields(const std::string& head, size_t size) {
  const std::string field = "a:\r\n";
  const size_t fields = (size - missing_bytes) / field.size();
  return {head, field, fields * field.size(), chunked};
}

std::vector<crowd_row> endless_rows(const endpoint& listener,
                                    const std::string& head,
                                    const ordinary& client) {
  const size_t n = endless_clients;
  return {
      {"trailers", {{listener, n, endless_trailers(head)}}, {client}},
      {"a trailer's line",
       {{listener, n, endless_trailer_line(head)}},
       {client}},
      {"a chunk's extension",
       {{listener, n, endless_extension(head)}},
       {client}},
  };
}

std::vector<crowd_row> unfinished_rows(const endpoint& listener,
                                       const std::string& head,
                                       const ordinary& client) {
  const size_t n = body_clients;
  const size_t size = most_body_bytes;
  return {
      {"one chunk", {{listener, n, one_chunk(head, size)}}, {client}},
      {"small chunks", {{listener, n, small_chunks(head, size)}}, {client}},
      {"a length", {{listener, n, sized_body(head, size)}}, {client}},
  };
}

}  // namespace

// A process ran out of memory: the parser looks for the end of a chunk's line,
// and of all trailers, before it takes a byte of them.
TEST_GROUP(endless_framing) { verdict_list all; };

TEST(endless_framing, entry_box) {
  play_at_entry(endless_rows(seeded_pair::callers(), job_head, job), all);
  play_at_entry(
      endless_rows(seeded_pair::readiness(), question_head, readiness), all);
  all.check();
}

TEST(endless_framing, control_box) {
  play_at_control(
      endless_rows(seeded_pair::controls(), heartbeat_head, heartbeat), all);
  all.check();
}

TEST(endless_framing, listed_box) {
  play_at_listed(
      endless_rows(listed_box::callers(), listed_head, listed_request), all);
  play_at_listed(endless_rows(listed_box::admin(), admin_head, health), all);
  all.check();
}

// Each connection was within its limits, and nothing bounded all of them.
TEST_GROUP(unfinished_requests) { verdict_list all; };

TEST(unfinished_requests, entry_box) {
  play_at_entry(unfinished_rows(seeded_pair::callers(), job_head, job), all);
  const crowd_part half{seeded_pair::callers(), body_clients / 2,
                        one_chunk(job_head, most_body_bytes)};
  crowd_part other = half;
  other.listener = seeded_pair::readiness();
  other.what = one_chunk(question_head, most_body_bytes);
  constexpr size_t header_clients = 100;
  play_at_entry({{"at both listeners", {half, other}, {job, readiness}},
                 {"many fields",
                  {{seeded_pair::callers(), header_clients,
                    many_fields(job_head, most_header_bytes)}},
                  {job}}},
                all);
  all.check();
}

TEST(unfinished_requests, control_box) {
  play_at_control(
      unfinished_rows(seeded_pair::controls(), heartbeat_head, heartbeat), all);
  constexpr size_t header_clients = 1'200;
  constexpr size_t header_bytes = 16'000;
  play_at_control({{"many fields",
                    {{seeded_pair::controls(), header_clients,
                      many_fields(heartbeat_head, header_bytes)}},
                    {heartbeat}}},
                  all);
  all.check();
}

TEST(unfinished_requests, listed_box) {
  play_at_listed(
      unfinished_rows(listed_box::callers(), listed_head, listed_request), all);
  constexpr size_t admin_clients = 400;
  constexpr size_t admin_bytes = 1 << 20;
  play_at_listed({{"at the admin address",
                   {{listed_box::admin(), admin_clients,
                     one_chunk(admin_head, admin_bytes)}},
                   {health}}},
                 all);
  all.check();
}

// Whole requests of many small parts take more memory once they are read.
TEST_GROUP(whole_requests) { verdict_list all; };

TEST(whole_requests, entry_box) {
  constexpr size_t n = 200;
  constexpr size_t size = 250'000;
  // The queue does not exist, so that no job of them is kept.
  play_at_entry({{"jobs of many steps",
                  {{seeded_pair::callers(), n, job_of_steps("/none/", size)}},
                  {job}}},
                all);
  all.check();
}

TEST(whole_requests, control_box) {
  constexpr size_t n = 60;
  play_at_control(
      {{"heartbeats of many ends",
        {{seeded_pair::controls(), n,
          filled_body(heartbeat_head,
                      R"({"Service":"planner","Addr":"127.0.52.8:8080",)"
                      R"("Zone":"z","Version":"v1","Slots":8,)"
                      R"("State":"ready","ColdLeftMs":0,"Capacity":)"
                      R"({"Cpu":16000,"MemMb":32768,"Gpu":0},"Labels":["a",)"
                      R"("r1-3"],"ClockMs":482113,"Seq":4,"Running":[],)"
                      R"("Ended":[)",
                      R"([1,"00000000000000aa.0.0.1",1,"done",""],)",
                      R"([1,"00000000000000aa.0.0.1",1,"done",""]]})",
                      most_body_bytes)}},
        {heartbeat}}},
      all);
  all.check();
}

// Clients that read nothing held a copy of the answer each.
TEST_GROUP(unread_answers) { verdict_list all; };

TEST(unread_answers, control_box) {
  constexpr size_t readers = 700;
  constexpr size_t routes = 3'000;
  transmission question;
  question.head = head_of("GET /config") + "\r\n";
  question.reads = false;
  play_at_control({{"the configuration",
                    {{seeded_pair::controls(), readers, question}},
                    {heartbeat}}},
                  all, routes);
  all.check();
}

// All connections were taken by clients that sent nothing, or part of a
// request, and the next client was closed at once.
TEST_GROUP(silent_connections) {
  verdict_list all;
  const size_t silent_clients = 2'100;
  const transmission nothing{};
  const transmission header_part{"POST /plans", "", 0, ""};
};

TEST(silent_connections, entry_box) {
  play_at_entry({{"nothing sent",
                  {{seeded_pair::callers(), silent_clients, nothing},
                   {seeded_pair::readiness(), silent_clients, nothing}},
                  {job, readiness}},
                 {"part of a header",
                  {{seeded_pair::callers(), silent_clients, header_part}},
                  {job}}},
                all);
  all.check();
}

TEST(silent_connections, control_box) {
  play_at_control({{"at both ports",
                    {{seeded_pair::controls(), silent_clients, nothing},
                     {seeded_pair::peers(), silent_clients, nothing}},
                    {heartbeat}}},
                  all);
  all.check();
}

TEST(silent_connections, listed_box) {
  constexpr size_t admin_clients = 3'000;
  play_at_listed({{"at both ports",
                   {{listed_box::callers(), silent_clients, nothing},
                    {listed_box::admin(), admin_clients, nothing}},
                   {listed_request, health}}},
                 all);
  all.check();
}

// The library's parser ended the process by an assertion.
TEST_GROUP(last_chunk_in_pieces) { verdict_list all; };

TEST(last_chunk_in_pieces, listed_box) {
  constexpr size_t n = 4;
  transmission body{listed_head + chunked, "", 0, "0\r\n\r\n"};
  body.tail_in_single_bytes = true;
  transmission question = body;
  question.head = admin_head + chunked;
  play_at_listed(
      {{"callers", {{listed_box::callers(), n, body}}, {listed_request}},
       {"admin", {{listed_box::admin(), n, question}}, {health}}},
      all);
  all.check();
}

// The leader was held up for seconds by each decision over a job of many steps,
// and ordinary jobs found no leader.
TEST_GROUP(job_of_many_steps) { verdict_list all; };

TEST(job_of_many_steps, control_box) {
  constexpr size_t n = 200;
  constexpr size_t size = 250'000;
  play_at_control(
      {{"one job from many callers",
        {{seeded_pair::callers(), n, job_of_steps("/plans/", size)}},
        {heartbeat, job}}},
      all);
  all.check();
}
