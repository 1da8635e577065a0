// Sound files read back as they were; each fault of a bad one is told with its
// place.
#include "config/desired-state.h"

#include <CppUTest/TestHarness.h>

using namespace kestrelreel;

namespace {

const char* const sound = R"({
  // A comment with "quotes" in it.
  "version": 7, "replaces": 5,
  "teams": {"growers": {"quota": {"cpu": 10, "memory": "1TiB"}}},
  "services": {"iklim-servis": {"team": "growers", "cpu": 0.5,
    "memory": "8GiB", "slots": 8, "connections": 64, "deadline": "250ms",
    "replicas": {"kumluca": 17, "demre": 0}}},
  /* another */
  "jobs": {"night-plan": {"team": "growers", "cpu": 8, "memory": "24GiB",
    "accelerators": 1, "tasks": 12, "run_time": "20m", "urgent": true,
    "data_centres": ["kumluca"]}},
  "evacuated": ["demre", "serik"],
})";

struct fault_row {
  const char* text;
  /// Start of the first fault, after the file's name.
  const char* fault;
};

#define JOB(rest) \
  R"({"version":1,"teams":{"t":{}},"jobs":{"j":{"team":"t",)" rest "}}}"
#define SERVICE(rest) \
  R"({"version":1,"teams":{"t":{}},"services":{"s":{"team":"t",)" rest "}}}"

const fault_row faults[] = {
    {"", "1:1: /: found incomplete JSON"},
    {"{\"version\": 1", "1:14: /: found incomplete JSON"},
    {"{\"version\": 1}}", "1:15: /: found extra data"},
    {"{\"version\" 1}", "1:12: /: found syntax error"},
    {"{\"version\": 01}", "1:14: /: found syntax error"},
    {"/* open\n{}", "1:1: /: found syntax error"},
    {"[]", "1:1: /: found a list, allowed: an object"},
    {"{}", "1:1: /version: found nothing"},
    {"{\"version\": 0}", "1:13: /version: found 0"},
    {"{\"version\": -1}", "1:13: /version: found -1"},
    {"{\"version\": 1.5}", "1:13: /version: found 1.5"},
    {"{\"version\": \"1\"}", "1:13: /version: found \"1\""},
    {"{\"version\": 2, \"replaces\": 2}", "1:28: /replaces: found 2"},
    {"{\"version\": 1,\n \"servces\": {}}",
     "2:2: /servces: found the unknown key \"servces\", allowed: \"services\""},
    {"{\"version\": 1, \"version\": 1}", "1:16: /version: found the key a"},
    {"{\"version\": 1, \"teams\": []}", "1:25: /teams: found a list"},
    {"{\"version\": 1, \"teams\": {\"A\": {}}}",
     "1:26: /teams/A: found the name \"A\""},
    {"{\"version\": 1, \"teams\": {\"a\": {}, \"a\": {}}}",
     "1:35: /teams/a: found the name a second time"},
    {"{\"version\":1,\"jobs\":{\"j\":{\"team\":\"x\",\"cpu\":1,"
     "\"memory\":\"1GiB\",\"run_time\":\"1s\"}}}",
     "1:34: /jobs/j/team: found the unknown team \"x\""},
    {JOB(R"("cpu":0,"memory":"1GiB","run_time":"1s")"),
     "1:61: /jobs/j/cpu: found 0"},
    {JOB(R"("cpu":"4","memory":"1GiB","run_time":"1s")"),
     "1:61: /jobs/j/cpu: found \"4\""},
    {JOB(R"("cpu":1,"memory":12,"run_time":"1s")"),
     "1:72: /jobs/j/memory: found 12"},
    {JOB(R"("cpu":1,"memory":"12GB","run_time":"1s")"),
     "1:72: /jobs/j/memory: found \"12GB\""},
    {JOB(R"("cpu":1,"memory":"1GiB","run_time":"0ms")"),
     "1:90: /jobs/j/run_time: found \"0ms\""},
    {JOB(R"("cpu":1,"memory":"1GiB")"),
     "1:43: /jobs/j/run_time: found nothing"},
    {JOB(R"("cpu":1,"memory":"1GiB","run_time":"1s","tasks":0)"),
     "1:103: /jobs/j/tasks: found 0"},
    {JOB(R"("cpu":1,"memory":"1GiB","run_time":"1s","urgent":"yes")"),
     "1:104: /jobs/j/urgent: found \"yes\""},
    {JOB(R"("cpu":1,"memory":"1GiB","run_time":"1s","data_centres":[1])"),
     "1:111: /jobs/j/data_centres: found 1"},
    {SERVICE(R"("cpu":1,"memory":"1GiB","slots":1)"),
     "1:47: /services/s/replicas: found nothing"},
    {SERVICE(R"("cpu":1,"memory":"1GiB","slots":8,"connections":4,)"
             R"("replicas":{})"),
     "1:107: /services/s/connections: found 4"},
    {SERVICE(R"("cpu":1,"memory":"1GiB","slots":8,"replicas":{"k":-1})"),
     "1:109: /services/s/replicas/k: found -1"},
};

}  // namespace

TEST_GROUP(desired_state){};

TEST(desired_state, a_sound_file_reads_back_the_same) {
  const auto first = parse_desired_state("f", sound);
  CHECK_TRUE(std::holds_alternative<desired_state>(first));
  const auto& a = std::get<desired_state>(first);
  const auto second = parse_desired_state("g", format_desired_state(a));
  CHECK_TRUE(std::holds_alternative<desired_state>(second));
  const auto& b = std::get<desired_state>(second);
  CHECK_EQUAL(7, b.version);
  CHECK_EQUAL(5, b.replaces);
  CHECK_EQUAL(a.items.size(), b.items.size());
  STRCMP_EQUAL("evacuation/serik", a.items.back().key().c_str());
  for (size_t i = 0; i < a.items.size(); ++i) {
    STRCMP_EQUAL(a.items[i].ShortDebugString().c_str(),
                 b.items[i].ShortDebugString().c_str());
  }
}

TEST(desired_state, each_fault_is_told_with_its_place) {
  std::string wrong;
  for (const fault_row& row : faults) {
    const auto parsed = parse_desired_state("f", row.text);
    const auto* found = std::get_if<std::vector<config_fault>>(&parsed);
    std::string told = "no fault";
    if (found != nullptr) told = found->front().str().substr(2);
    if (told.starts_with(row.fault)) continue;
    wrong += std::string("\nin ") + row.text + "\n wanted " + row.fault +
             "\n told   " + told;
  }
  STRCMP_EQUAL("", wrong.c_str());
}

TEST(desired_state, all_faults_of_a_file_are_told_at_once) {
  const auto parsed = parse_desired_state(
      "f", JOB(R"("cpu":0,"memory":1,"run_time":"x","taks":1)"));
  const auto& found = std::get<std::vector<config_fault>>(parsed);
  CHECK_EQUAL(4, found.size());
}
