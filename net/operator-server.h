// Takes the operators' calls and hands them to the io_context's thread.
#pragma once

#include <grpcpp/grpcpp.h>

#include <boost/asio/io_context.hpp>
#include <functional>

#include "absl/status/status.h"
#include "proto/operator.grpc.pb.h"

namespace kestrelreel {

/// Answers the operators' calls. A handler fills the reply and then calls
/// `done` once, then or later, on the thread that it was called on.
class operator_handler {
 public:
  using done_function = std::function<void(absl::Status)>;
  virtual ~operator_handler() = default;
  virtual void apply(const proto::apply_request& request,
                     proto::apply_reply& reply, done_function done) = 0;
  virtual void get(const proto::get_request& request, proto::get_reply& reply,
                   done_function done) = 0;
  virtual void status(const proto::status_request& request,
                      proto::status_reply& reply, done_function done) = 0;
  virtual void tasks(const proto::tasks_request& request,
                     proto::tasks_reply& reply, done_function done) = 0;
};

/// The gRPC side of it.
class operator_server final : public proto::operator_api::CallbackService {
 public:
  operator_server(boost::asio::io_context& io, operator_handler& handler);

  grpc::ServerUnaryReactor* apply(grpc::CallbackServerContext* context,
                                  const proto::apply_request* request,
                                  proto::apply_reply* reply) override;
  grpc::ServerUnaryReactor* get(grpc::CallbackServerContext* context,
                                const proto::get_request* request,
                                proto::get_reply* reply) override;
  grpc::ServerUnaryReactor* status(grpc::CallbackServerContext* context,
                                   const proto::status_request* request,
                                   proto::status_reply* reply) override;
  grpc::ServerUnaryReactor* tasks(grpc::CallbackServerContext* context,
                                  const proto::tasks_request* request,
                                  proto::tasks_reply* reply) override;

 private:
  template <typename Request, typename Reply>
  grpc::ServerUnaryReactor* run(
      grpc::CallbackServerContext* context, const Request* request,
      Reply* reply,
      void (operator_handler::*method)(const Request&, Reply&,
                                       operator_handler::done_function));

  boost::asio::io_context& io_;
  operator_handler& handler_;
};

/// Conversions between the two libraries' errors; the codes are the same.
grpc::Status to_grpc(const absl::Status& status);
absl::Status to_absl(const grpc::Status& status);

}  // namespace kestrelreel
