// Plays one scene against the project's processes.
//   scene NAME PROGRAM RECORD; TROUBLE=0 plays it without the disruption.
#include <cstdlib>
#include <iostream>
#include <map>
#include <string>

#include "scenes.h"

int main(int argc, char** argv) {
  using namespace review2;
  const std::map<std::string, int (*)(const stage&)> scenes = {
      {"unanswered-leave", play_unanswered_leave},
      {"late-order", play_late_order},
      {"failing-gang", play_failing_gang},
      {"avoided-runner", play_avoided_runner},
      {"cancelled-jobs", play_cancelled_jobs}};
  const auto found = argc == 4 ? scenes.find(argv[1]) : scenes.end();
  if (found == scenes.end()) {
    std::cerr << "usage: scene NAME PROGRAM RECORD\n";
    return not_run;
  }
  const char* trouble = std::getenv("TROUBLE");
  record seen(argv[3]);
  const stage on{argv[2], seen, trouble == nullptr || *trouble != '0'};
  const int result = found->second(on);
  if (result == not_run) seen.note("the case couldn't run");
  return result;
}
