// Whether a request may have run: what every error of the request path says.
#pragma once

#include <string>
#include <string_view>

namespace kestrelreel {

/// What is known of a request's execution when it gets no whole answer.
enum class verdict {
  /// No byte of the request can have reached a backend server, or the backend
  /// server itself refused it before running it.
  not_run,
  /// The request may or may not have run.
  may_have_run,
  /// The request ran.
  ran,
};

/// The verdict as callers see it: `not-run`, `may-have-run` or `ran`.
constexpr std::string_view to_string(verdict v) {
  switch (v) {
    case verdict::not_run:
      return "not-run";
    case verdict::may_have_run:
      return "may-have-run";
    case verdict::ran:
      return "ran";
  }
  return "may-have-run";
}

/// Why a request got no whole answer, with the verdict on its execution.
struct request_error {
  verdict ran = verdict::may_have_run;
  /// HTTP status for the caller.
  int status = 502;
  /// A short fixed word, such as `no-runner`; see docs/INTERFACE.md.
  std::string reason;
};

}  // namespace kestrelreel
