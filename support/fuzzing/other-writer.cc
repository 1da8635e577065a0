#include "support/fuzzing/other-writer.h"

#include <boost/json.hpp>

namespace kestrelreel::fuzzing {
namespace {

namespace json = boost::json;

constexpr const char* members[] = {
    "Service", "Addr",       "Zone",     "Version", "Slots",
    "State",   "ColdLeftMs", "Capacity", "Labels",  "ClockMs",
    "Seq",     "Running",    "Ended",    "born"};
constexpr size_t member_count = std::size(members);
/// Without a birth the body is sound, but names no life of this worker.
constexpr size_t with_birth = member_count;
constexpr size_t without_birth = member_count - 1;

json::value of_another_type(const json::value& value, size_t pick) {
  const json::value others[] = {"text", 7.25, true, nullptr,
                                json::object{{"a", 1}}};
  json::value other = others[pick];
  return other.kind() == value.kind() ||
                 (other.is_double() && value.is_string())
             ? json::value(nullptr)
             : other;
}

std::string without_member(json::object body, script& decide) {
  body.erase(members[decide.draw(without_birth)]);
  return json::serialize(body);
}

/// A figure may be told with a fraction where it is a time.
std::string with_another_type(json::object body, script& decide) {
  const char* name = members[decide.draw(with_birth)];
  json::value& at = body[name];
  const size_t pick = decide.draw(5);
  const bool is_time = std::string_view(name) == "ClockMs" ||
                       std::string_view(name) == "ColdLeftMs";
  at = is_time ? json::value("text") : of_another_type(at, pick);
  return json::serialize(body);
}

std::string with_a_bad_row(json::object body, script& decide) {
  const bool running = decide.draw(2) == 0;
  const json::value rows[] = {json::array{}, json::array{"x", 1, "", 1, 1}, 7,
                              "row", json::array{0, "x", 0, "odd", 0}};
  json::array& list = body[running ? "Running" : "Ended"].as_array();
  list.push_back(rows[decide.draw(std::size(rows))]);
  return json::serialize(body);
}

std::string with_a_control_byte(std::string text, script& decide) {
  const size_t at = decide.draw(256) * text.size() / 256;
  text[at] = '\x01';
  return text;
}

written_body sound_but_of_another(json::object body, script& decide) {
  written_body out;
  out.unreadable = false;
  switch (decide.draw(4)) {
    case 0:
      out.how = "unknown service";
      body["Service"] = "none";
      body["Seq"] = body["Seq"].to_number<int64_t>() + 1;
      break;
    case 1:
      out.how = "no birth";
      body.erase("born");
      body["Seq"] = body["Seq"].to_number<int64_t>() + 1;
      body["Running"] = json::array();
      break;
    case 2:
      out.how = "clock behind its sequence";
      body["Seq"] = body["Seq"].to_number<int64_t>() + 1;
      body["ClockMs"] = body["ClockMs"].to_number<int64_t>() - 1;
      body["Running"] = json::array();
      break;
    default:
      out.how = "clock far ahead";
      body["Seq"] = body["Seq"].to_number<int64_t>() + 1'000;
      body["ClockMs"] = body["ClockMs"].to_number<int64_t>() + 900'000;
      body["Running"] = json::array();
  }
  out.text = json::serialize(body);
  return out;
}

}  // namespace

written_body write_as_another(const std::vector<std::string>& own,
                              script& decide) {
  const std::string& last = own.back();
  json::object body = json::parse(last).as_object();
  switch (decide.draw(8)) {
    case 0:
      return {without_member(std::move(body), decide), true, "missing member"};
    case 1:
      return {with_another_type(std::move(body), decide), true, "other type"};
    case 2:
      body["State"] = decide.draw(2) == 0 ? "gone" : "Ready";
      return {json::serialize(body), true, "unknown state"};
    case 3:
      return {with_a_bad_row(std::move(body), decide), true, "bad row"};
    case 4:
      return {last.substr(0, decide.draw(256) * last.size() / 256), true,
              "cut short"};
    case 5:
      return {with_a_control_byte(last, decide), true, "control byte"};
    case 6:
      return {own[decide.draw(own.size())], false, "an older one again"};
    default:
      return sound_but_of_another(std::move(body), decide);
  }
}

}  // namespace kestrelreel::fuzzing
