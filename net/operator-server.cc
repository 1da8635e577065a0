#include "net/operator-server.h"

#include <boost/asio/post.hpp>

namespace kestrelreel {

grpc::Status to_grpc(const absl::Status& status) {
  return {static_cast<grpc::StatusCode>(status.code()),
          std::string(status.message())};
}

absl::Status to_absl(const grpc::Status& status) {
  return {static_cast<absl::StatusCode>(status.error_code()),
          status.error_message()};
}

operator_server::operator_server(boost::asio::io_context& io,
                                 operator_handler& handler)
    : io_(io), handler_(handler) {}

template <typename Request, typename Reply>
grpc::ServerUnaryReactor* operator_server::run(
    grpc::CallbackServerContext* context, const Request* request, Reply* reply,
    void (operator_handler::*method)(const Request&, Reply&,
                                     operator_handler::done_function)) {
  grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
  boost::asio::post(io_, [this, reactor, request, reply, method] {
    (handler_.*method)(*request, *reply, [reactor](const absl::Status& it) {
      reactor->Finish(to_grpc(it));
    });
  });
  return reactor;
}

grpc::ServerUnaryReactor* operator_server::apply(
    grpc::CallbackServerContext* context, const proto::apply_request* request,
    proto::apply_reply* reply) {
  return run(context, request, reply, &operator_handler::apply);
}

grpc::ServerUnaryReactor* operator_server::get(
    grpc::CallbackServerContext* context, const proto::get_request* request,
    proto::get_reply* reply) {
  return run(context, request, reply, &operator_handler::get);
}

grpc::ServerUnaryReactor* operator_server::status(
    grpc::CallbackServerContext* context, const proto::status_request* request,
    proto::status_reply* reply) {
  return run(context, request, reply, &operator_handler::status);
}

grpc::ServerUnaryReactor* operator_server::tasks(
    grpc::CallbackServerContext* context, const proto::tasks_request* request,
    proto::tasks_reply* reply) {
  return run(context, request, reply, &operator_handler::tasks);
}

}  // namespace kestrelreel
