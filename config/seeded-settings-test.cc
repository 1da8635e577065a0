// Settings of a seeded deployment.
#include <CppUTest/TestHarness.h>

#include <optional>

#include "base/text.h"
#include "config/seeded-settings.h"

using namespace kestrelreel;

namespace {

std::string control(const std::string& extra) {
  return R"({ // a control box
    "box": "10.1.0.16", "data_centre": "kumluca", "role": "control",
    "listen": {"control": "10.1.0.16:8166"}, "peer_port": 7720,
    "seeds": ["10.1.0.16:8166", "10.2.0.32:8166"])" +
         extra + "}";
}

std::string entry(const std::string& extra) {
  return R"({"box": "10.1.0.17", "data_centre": "kumluca", "role": "entry",
    "listen": {"callers": "10.1.0.17:8080", "readiness": "10.1.0.17:8081"},
    "peer_port": 7720, "seeds": ["10.1.0.16:8166"])" +
         extra + "}";
}

}  // namespace

TEST_GROUP(seeded_settings){};

TEST(seeded_settings, sound_file_is_read) {
  const std::string text =
      control(R"(, "data_folder": "/d", "found_cluster": true,
      "worker_hold": "4s", "worker_stop": "200ms", "losses_tolerated": 2,
      "memory": "640MiB", "data_centres": ["kumluca", "demre"])");
  CHECK_TRUE(is_seeded(text));
  const auto parsed = parse_seeded_settings("f", text);
  const auto* it = std::get_if<seeded_settings>(&parsed);
  CHECK_TRUE(it != nullptr);
  CHECK_TRUE(it->role == seeded_role::control);
  CHECK_TRUE(it->found_cluster);
  LONGS_EQUAL(2, it->seeds.size());
  STRCMP_EQUAL("10.2.0.32", it->seeds[1].str().c_str());
  LONGS_EQUAL(4'000, it->worker_hold.count());
  LONGS_EQUAL(200, it->worker_stop.count());
  LONGS_EQUAL(2, it->losses_tolerated);
  LONGS_EQUAL(640 << 20, it->memory.value);
  LONGS_EQUAL(2, it->data_centres.size());
  STRCMP_EQUAL("demre", it->data_centres[1].c_str());
}

TEST(seeded_settings, decisions_are_off_unless_named) {
  struct row {
    const char* extra;
    load_decisions expected;
  };
  const row rows[] = {
      {"", {}},
      {R"(, "decisions": {})", {}},
      {R"(, "decisions": {"learn_run_times": true})", {true}},
      {R"(, "decisions": {"learn_run_times": true, "throttle_by_slack": true,
          "admission": true, "overload_order": true})",
       {true, true, true, true}}};
  for (const row& it : rows) {
    const auto parsed = parse_seeded_settings(
        "f", control(str_cat(R"(, "data_folder": "/d")", it.extra)));
    const auto* settings = std::get_if<seeded_settings>(&parsed);
    CHECK_TRUE(settings != nullptr);
    CHECK_TRUE(it.expected == settings->decisions);
  }
}

TEST(seeded_settings, entry_box_holds_submissions_only_when_told) {
  struct row {
    const char* extra;
    std::optional<bool> holds;
  };
  const row rows[] = {
      {"", false},
      {R"(, "decisions": {})", false},
      {R"(, "decisions": {"hold_without_leader": false})", false},
      {R"(, "decisions": {"hold_without_leader": true})", true},
      {R"(, "decisions": {"hold_without_leader": "yes"})", std::nullopt},
      {R"(, "decisions": {"hold_without_leader": 1})", std::nullopt},
      {R"(, "decisions": {"admission": true})", std::nullopt}};
  for (const row& it : rows) {
    const auto parsed = parse_seeded_settings("f", entry(it.extra));
    const auto* settings = std::get_if<seeded_settings>(&parsed);
    CHECK_EQUAL_TEXT(it.holds.has_value(), settings != nullptr, it.extra);
    if (settings)
      CHECK_EQUAL_TEXT(*it.holds, settings->hold_without_leader, it.extra);
  }
}

TEST(seeded_settings, unknown_decision_is_a_fault) {
  for (const char* it : {R"(, "decisions": {"hold_without_leader": true})",
                         R"(, "decisions": {"admission": "yes"})"}) {
    const auto parsed = parse_seeded_settings(
        "f", control(str_cat(R"(, "data_folder": "/d")", it)));
    CHECK_TRUE(std::holds_alternative<std::vector<config_fault>>(parsed));
  }
}

TEST(seeded_settings, box_may_listen_elsewhere_than_it_is_reached) {
  struct row {
    const char* listen;
    const char* address;
  };
  const row rows[] = {
      {R"({"control": "10.1.0.16:8166"})", ""},
      {R"({"control": "10.1.0.16:8166", "peers": "10.9.0.1:77"})",
       "10.9.0.1:77"}};
  for (const row& it : rows) {
    std::string text = control(R"(, "data_folder": "/d")");
    const std::string plain = rows[0].listen;
    text.replace(text.find(plain), plain.size(), it.listen);
    const auto parsed = parse_seeded_settings("f", text);
    const auto* settings = std::get_if<seeded_settings>(&parsed);
    CHECK_TRUE(settings != nullptr);
    STRCMP_EQUAL(it.address, settings->peer_address.c_str());
  }
}

TEST(seeded_settings, faults_are_told) {
  const std::string texts[] = {
      control(""),
      control(R"(, "data_folder": "/d", "unknown": 1)"),
      control(R"(, "data_folder": "/d", "worker_hold": "1ms")"),
      control(R"(, "data_folder": "/d", "data_centres": "kumluca")"),
      "{\"seeds\": [\"x\"]}",
      "{"};
  for (const std::string& it : texts) {
    const auto parsed = parse_seeded_settings("f", it);
    CHECK_TRUE(std::holds_alternative<std::vector<config_fault>>(parsed));
  }
}

TEST(seeded_settings, other_files_are_not_seeded) {
  CHECK_FALSE(is_seeded(R"({"box": "a", "boxes": []})"));
  CHECK_FALSE(is_seeded("nonsense"));
}
