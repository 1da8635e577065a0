#include "cli/client.h"

#include <grpcpp/grpcpp.h>

#include <chrono>
#include <utility>

#include "absl/strings/str_join.h"
#include "base/text.h"
#include "net/channel.h"
#include "net/operator-server.h"

namespace kestrelreel {

operator_client::operator_client(std::vector<std::string> addresses,
                                 milliseconds timeout)
    : addresses_(std::move(addresses)), timeout_(timeout) {}

template <typename Request, typename Reply>
absl::StatusOr<Reply> operator_client::call(const std::string& address,
                                            const Request& request,
                                            method<Request, Reply> it) {
  const auto stub = proto::operator_api::NewStub(make_channel(address));
  grpc::ClientContext context;
  constexpr milliseconds margin{1'000};
  context.set_deadline(std::chrono::system_clock::now() + timeout_ + margin);
  Reply reply;
  const grpc::Status status = ((*stub).*it)(&context, request, &reply);
  if (!status.ok()) return to_absl(status);
  return reply;
}

template <typename Request, typename Reply>
absl::StatusOr<Reply> operator_client::call_any(const Request& request,
                                                method<Request, Reply> it) {
  absl::Status last = absl::UnavailableError("no address was given");
  for (const std::string& address : addresses_) {
    auto reply = call(address, request, it);
    if (reply.ok() || !absl::IsUnavailable(reply.status())) return reply;
    last = absl::UnavailableError(
        str_cat("none of ", absl::StrJoin(addresses_, ", "),
                " answers; the last said: ", reply.status().message()));
  }
  return last;
}

absl::StatusOr<proto::apply_reply> operator_client::apply(
    proto::apply_request request) {
  request.set_timeout_ms(static_cast<uint64_t>(timeout_.count()));
  return call_any(request, &proto::operator_api::Stub::apply);
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
