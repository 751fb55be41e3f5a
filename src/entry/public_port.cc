#include "entry/public_port.h"

#include "entry/service_names.h"

namespace boragewinch {

namespace {

constexpr std::size_t kMaxPublicBodyBytes = 2UL * 1024 * 1024;
constexpr unsigned kMaxConnections = 4'096;

}  // namespace

PublicPort::PublicPort(const EntryOptions& options) : options_(options) {}

Status PublicPort::Start(Kernel& kernel) {
  BW_TRY(callers_, kernel.Require<CallerApi>(kCallersService));
  BW_TRY(tasks_, kernel.Require<TaskLink>(kTasksService));
  BW_TRY(operators_, kernel.Require<OperatorApi>(kOperatorsService));
  HttpServerLimits limits;
  limits.max_body_bytes = kMaxPublicBodyBytes;
  limits.max_connections = kMaxConnections;
  limits.max_connections_per_address = kMaxConnections;
  server_ = std::make_unique<HttpServer>(
      kernel.loop(), limits,
      [this](const HttpRequest& request, const HttpResponder& respond) {
        Serve(request, respond);
      });
  return server_->Listen(options_.listen);
}

void PublicPort::Serve(const HttpRequest& request,
                       const HttpResponder& respond) {
  if (TaskLink::Handles(request))
    tasks_->Serve(request, respond);
  else if (CallerApi::Handles(request) && !operators_->Handles(request))
    callers_->Serve(request, respond);
  else
    respond(operators_->Serve(request));
}

}  // namespace boragewinch
