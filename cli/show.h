// What the operators' client prints.
#pragma once

#include <string>
#include <vector>

#include "proto/operator.pb.h"

namespace kestrelreel {

/// Items added, changed and removed, a line each.
std::string show_difference(const proto::apply_reply& reply);
/// An accepted change.
std::string show_applied(const proto::apply_request& request,
                         const proto::apply_reply& reply, bool json);
/// The boxes, each by its own word where it answered.
std::string show_status(const std::vector<proto::status_reply>& replies,
                        bool json);
/// A line for each evacuated data centre; none without.
std::string show_evacuations(const std::vector<proto::status_reply>& replies);

/// All tasks of the data centres that answered.
std::string show_tasks(const std::vector<proto::tasks_reply>& replies,
                       bool json);
/// Why a task runs where it does or does not run; empty for an unknown one.
std::string show_explanation(const std::vector<proto::tasks_reply>& replies,
                             const std::string& task);

}  // namespace kestrelreel
