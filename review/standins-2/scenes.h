// The cases that are scripts. Each returns 0 if the rule held, 1 if it was
// broken and 2 if the case couldn't run.
#pragma once

#include <string>

#include "deployment.h"

namespace review2 {

/// What a scene is played with.
struct stage {
  /// The program that the deploy file runs.
  std::string program;
  record& seen;
  /// False: the same without the disruption.
  bool trouble = true;
};

int play_unanswered_leave(const stage& on);
int play_late_order(const stage& on);
int play_failing_gang(const stage& on);
int play_avoided_runner(const stage& on);
int play_cancelled_jobs(const stage& on);

constexpr int held = 0;
constexpr int broken = 1;
constexpr int not_run = 2;

}  // namespace review2
