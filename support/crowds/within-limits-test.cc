// Requests at the limits of the interface are served while nobody else asks,
// however they are cut into pieces.
#include <string>
#include <vector>

#include "support/crowds/crowd-test-parts.h"

using namespace kestrelreel;
using namespace kestrelreel::crowds;

namespace {

/// JSON of that size: what is sent, and blanks.
std::string padded(const std::string& json, size_t size) {
  std::string out = json;
  out.insert(1, size - json.size(), ' ');
  return out;
}

std::string sized(const std::string& head, const std::string& body) {
  return str_cat(head, "Content-Length: ", body.size(), "\r\n\r\n", body);
}

std::string in_chunks(const std::string& head, const std::string& body,
                      size_t size, const std::string& extension = "",
                      const std::string& trailer = "") {
  std::string out = head + "Transfer-Encoding: chunked\r\n\r\n";
  for (size_t at = 0; at < body.size(); at += size) {
    const std::string chunk = body.substr(at, size);
    str_append(out, absl::Hex(chunk.size()), extension, "\r\n", chunk, "\r\n");
  }
  return out + "0" + extension + "\r\n" + trailer + "\r\n";
}

const std::string job_head =
    "POST /plans/00000000000000aa HTTP/1.1\r\nHost: plans.example\r\n";
const std::string job_body =
    R"({"Spec":"s","Steps":[{"Count":1,"Cpu":1,"MemMb":1}]})";

struct request_row {
  const char* name;
  endpoint listener;
  std::string request;
  unsigned status;
};

}  // namespace

TEST_GROUP(within_limits){};

TEST(within_limits, jobs_are_taken) {
  constexpr size_t most_job_bytes = 262'144;
  constexpr size_t usual_line_bytes = 200;
  const std::string body = padded(job_body, most_job_bytes);
  std::string fields;
  while (fields.size() < most_header_bytes - 2 * usual_line_bytes) {
    fields += "X-Long: " + std::string(usual_line_bytes / 2, 'a') + "\r\n";
  }
  const std::string word(usual_line_bytes, 'a');
  const endpoint listener = seeded_pair::callers();
  const request_row rows[] = {
      {"a length", listener, sized(job_head, body), 200},
      {"one chunk", listener, in_chunks(job_head, body, body.size()), 200},
      {"chunks of 1,000 bytes", listener, in_chunks(job_head, body, 1'000),
       200},
      {"chunks of 1 byte", listener, in_chunks(job_head, body, 1), 200},
      {"extensions and a trailer", listener,
       in_chunks(job_head, body, 1'000, ";e=" + word, "X-T: " + word + "\r\n"),
       200},
      {"the largest header", listener, sized(job_head + fields, job_body), 200},
      {"the largest body", listener,
       sized(job_head, padded(job_body, most_body_bytes)), 200},
  };
  seeded_pair boxes;
  for (const request_row& it : rows) {
    CHECK_TRUE_TEXT(is_answered(it.listener, it.request, it.status), it.name);
  }
}

TEST(within_limits, heartbeats_are_taken) {
  seeded_pair boxes;
  const std::string usual = seeded_pair::ordinary_heartbeat();
  const std::string usual_body = usual.substr(usual.find('{'));
  const std::string head = usual.substr(0, usual.find("Content-Length"));
  const std::string body = padded(usual_body, most_body_bytes);
  const endpoint listener = seeded_pair::controls();
  CHECK_TRUE(is_answered(listener, sized(head, body), 200));
  CHECK_TRUE(is_answered(listener, in_chunks(head, body, 1'000), 200));
  CHECK_TRUE(is_answered(listener, in_chunks(head, body, body.size()), 200));
}

TEST(within_limits, listed_callers_are_answered) {
  listed_box box;
  const std::string head = "POST /none HTTP/1.1\r\nHost: entry\r\n";
  const std::string body(most_body_bytes, 'a');
  const endpoint listener = listed_box::callers();
  CHECK_TRUE(is_answered(listener, sized(head, body), 404));
  CHECK_TRUE(is_answered(listener, in_chunks(head, body, 1'000), 404));
  CHECK_TRUE(is_answered(listener, in_chunks(head, body, body.size()), 404));
}

TEST(within_limits, largest_change_is_read) {
  constexpr size_t most_message_bytes = 64 << 20;
  constexpr size_t rest_bytes = 1'000;
  listed_box box;
  CHECK_TRUE(listed_box::reads_change(most_message_bytes - rest_bytes));
}

// A refusal did not come, or its connection was reset before it was read.
TEST_GROUP(unread_refusals){};

TEST(unread_refusals, all_boxes) {
  constexpr size_t beyond = 2 * most_body_bytes;
  const std::string line(most_header_bytes + 1'000, 'a');
  seeded_pair boxes;
  listed_box box;
  const std::string listed = "POST /none HTTP/1.1\r\nHost: entry\r\n";
  const request_row rows[] = {
      {"a body", seeded_pair::callers(),
       sized(job_head, std::string(beyond, 'a')), 413},
      {"a header", seeded_pair::callers(), job_head + "X: " + line, 431},
      {"trailers", seeded_pair::callers(),
       in_chunks(job_head, job_body, 1'000, "", "X: " + line), 431},
      {"a listed box's body", listed_box::callers(),
       sized(listed, std::string(beyond, 'a')), 413},
      {"a listed box's trailers", listed_box::callers(),
       in_chunks(listed, job_body, 1'000, "", "X: " + line), 431},
  };
  for (const request_row& it : rows) {
    CHECK_TRUE_TEXT(is_answered(it.listener, it.request, it.status), it.name);
  }
}
