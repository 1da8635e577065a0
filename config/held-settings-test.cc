// A settings file that changes under a running process.
#include "config/held-settings.h"

#include <CppUTest/TestHarness.h>

using namespace kestrelreel;

namespace {

std::string entry(const char* seed) {
  return std::string(R"({"box": "10.1.0.13", "data_centre": "kumluca",
    "role": "entry", "listen": {"callers": "10.1.0.13:8161",
    "readiness": "10.1.0.13:8167"}, "peer_port": 7720, "seeds": [")") +
         seed + "\"]}";
}

}  // namespace

TEST_GROUP(held_settings){};

TEST(held_settings, last_sound_text_stays_in_force) {
  using outcome = held_settings::outcome;
  struct row {
    const char* name;
    std::string text;
    outcome became;
    const char* seed;
  };
  const std::string first = entry("10.1.0.16:8166");
  const std::string second = entry("10.2.0.32:8166");
  const row rows[] = {
      {"first", first, outcome::accepted, "10.1.0.16"},
      {"the same", first, outcome::unchanged, "10.1.0.16"},
      {"cut short", first.substr(0, 60), outcome::faulty, "10.1.0.16"},
      {"still cut short", first.substr(0, 60), outcome::unchanged, "10.1.0.16"},
      {"empty", "", outcome::faulty, "10.1.0.16"},
      {"other seeds", second, outcome::accepted, "10.2.0.32"},
      {"back", first, outcome::accepted, "10.1.0.16"},
  };
  held_settings held("f");
  for (const row& it : rows) {
    CHECK_TRUE_TEXT(held.offer(it.text) == it.became, it.name);
    STRCMP_EQUAL_TEXT(it.seed, held.settings().seeds.at(0).str().c_str(),
                      it.name);
    const std::string& sound = it.seed[3] == '1' ? first : second;
    STRCMP_EQUAL_TEXT(settings_digest(sound).c_str(), held.digest().c_str(),
                      it.name);
    STRCMP_EQUAL_TEXT(settings_digest(it.text).c_str(),
                      held.offered_digest().c_str(), it.name);
  }
}

TEST(held_settings, digest_tells_texts_apart) {
  STRCMP_EQUAL("00000000", settings_digest("").c_str());
  STRCMP_EQUAL("cbf43926", settings_digest("123456789").c_str());
}
