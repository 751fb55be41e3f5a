#include "control/platform_client.h"

#include <utility>

#include "base/json.h"

namespace boragewinch {

namespace {

[[nodiscard]] Result<PlatformHost> ReadHost(
    const Result<HttpResponse>& response) {
  if (!response)
    return outcome::failure(response.error());
  BW_TRY(const Json json, ParseJson(response.value().body));
  PlatformHost host;
  BW_TRY(host.boots, IntField(json, "boots", 0, INT64_MAX));
  BW_TRY(host.up, BoolFieldOr(json, "up", false));
  return host;
}

}  // namespace

PlatformClient::PlatformClient(HttpClient& client, std::string address)
    : client_(client), address_(std::move(address)) {}

void PlatformClient::Reboot(const HostName& host, Done done) {
  Call("POST", "/hosts/" + host.str() + "/reboot", std::move(done));
}

void PlatformClient::Query(const HostName& host, Done done) {
  Call("GET", "/hosts/" + host.str(), std::move(done));
}

void PlatformClient::Call(const char* method,
                          const std::string& path,
                          Done done) {
  HttpCall call{method, "http://" + address_ + path};
  client_.Send(std::move(call),
               [done = std::move(done)](const Result<HttpResponse>& response) {
                 done(ReadHost(response));
               });
}

}  // namespace boragewinch
