#include "cli/client.h"

#include <grpcpp/grpcpp.h>

#include <chrono>
#include <utility>

#include "absl/strings/str_join.h"
#include "base/text.h"
#include "net/channel.h"
#include "net/operator-server.h"

namespace kestrelreel {
namespace detail {

using clock = std::chrono::system_clock;

/// True once a connection stands; what is called without one was not read.
bool connect(grpc::Channel& channel, clock::time_point until) {
  for (;;) {
    const grpc_connectivity_state state = channel.GetState(true);
    if (state == GRPC_CHANNEL_READY) return true;
    if (state == GRPC_CHANNEL_TRANSIENT_FAILURE) return false;
    if (!channel.WaitForStateChange(state, until)) return false;
  }
}

}  // namespace detail

operator_client::operator_client(std::vector<std::string> addresses,
                                 milliseconds timeout)
    : addresses_(std::move(addresses)), timeout_(timeout) {}

template <typename Request, typename Reply>
absl::StatusOr<Reply> operator_client::call(const std::string& address,
                                            const Request& request,
                                            method<Request, Reply> it,
                                            bool* reached) {
  constexpr milliseconds margin{1'000};
  const auto until = detail::clock::now() + timeout_ + margin;
  const auto channel = make_channel(address);
  if (!detail::connect(*channel, until)) {
    const std::string fault = str_cat("cannot connect to ", address);
    if (detail::clock::now() < until) return absl::UnavailableError(fault);
    return absl::DeadlineExceededError(fault);
  }
  if (reached != nullptr) *reached = true;
  const auto stub = proto::operator_api::NewStub(channel);
  grpc::ClientContext context;
  context.set_deadline(until);
  Reply reply;
  const grpc::Status status = ((*stub).*it)(&context, request, &reply);
  if (!status.ok()) return to_absl(status);
  return reply;
}

template <typename Request, typename Reply>
absl::StatusOr<Reply> operator_client::call_any(const Request& request,
                                                method<Request, Reply> it,
                                                bool* unclear) {
  absl::Status last = absl::UnavailableError("no address was given");
  for (const std::string& address : addresses_) {
    bool reached = false;
    auto reply = call(address, request, it, &reached);
    if (reply.ok() || !absl::IsUnavailable(reply.status())) return reply;
    if (reached && unclear != nullptr) *unclear = true;
    last = absl::UnavailableError(
        str_cat("none of ", absl::StrJoin(addresses_, ", "),
                " answers; the last said: ", reply.status().message()));
  }
  return last;
}

absl::StatusOr<proto::apply_reply> operator_client::apply(
    proto::apply_request request) {
  request.set_timeout_ms(static_cast<uint64_t>(timeout_.count()));
  // The answer of the last box alone would stand for one before it that had
  // read the change and stopped.
  bool unclear = false;
  auto reply = call_any(request, &proto::operator_api::Stub::apply, &unclear);
  if (reply.ok() || !unclear) return reply;
  return absl::DeadlineExceededError(
      str_cat("whether the change was accepted is not known: ",
              reply.status().message()));
}

absl::StatusOr<proto::get_reply> operator_client::get() {
  return call_any(proto::get_request(), &proto::operator_api::Stub::get);
}

absl::StatusOr<proto::status_reply> operator_client::status() {
  return call_any(proto::status_request(), &proto::operator_api::Stub::status);
}

std::vector<proto::status_reply> operator_client::all_statuses() {
  std::vector<proto::status_reply> result;
  for (const std::string& address : addresses_) {
    auto reply = call(address, proto::status_request(),
                      &proto::operator_api::Stub::status);
    if (reply.ok()) result.push_back(std::move(*reply));
  }
  return result;
}

absl::StatusOr<std::vector<proto::tasks_reply>> operator_client::tasks() {
  std::vector<proto::tasks_reply> result;
  absl::Status last = absl::UnavailableError("no address was given");
  for (const std::string& address : addresses_) {
    auto reply = call(address, proto::tasks_request(),
                      &proto::operator_api::Stub::tasks);
    if (reply.ok()) {
      result.push_back(std::move(*reply));
    } else {
      last = reply.status();
    }
  }
  if (result.empty()) return last;
  return result;
}

}  // namespace kestrelreel
