#include "control/platform_client.h"

#include <utility>

#include "base/json.h"

namespace boragewinch {

namespace {

[[nodiscard]] Status CheckStatus(int status) {
  if (status == 200)
    return Ok();
  const std::string detail = "status " + std::to_string(status);
  if (status == 404)
    return Fail(ErrorCode::kNotFound, detail);
  if (status >= 500)
    return Fail(ErrorCode::kUnavailable, detail);
  return Fail(ErrorCode::kProtocol, detail);
}

[[nodiscard]] Result<PlatformHost> ReadHost(
    const HostName& requested,
    const Result<HttpResponse>& response) {
  if (!response)
    return outcome::failure(response.error());
  BW_CHECK(CheckStatus(response.value().status));
  BW_TRY(const Json json, ParseJson(response.value().body));
  if (!json.isObject())
    return Fail(ErrorCode::kInvalidField, "the response must be a JSON object");
  BW_TRY(const auto name, StringField(json, "host"));
  if (name != requested.str()) {
    return Fail(ErrorCode::kConflict, "requested host \"" + requested.str() +
                                          "\", the response is about \"" +
                                          name + "\"");
  }
  PlatformHost host;
  BW_TRY(host.boots, IntField(json, "boots", 0, INT64_MAX));
  BW_TRY(host.up, BoolField(json, "up"));
  return host;
}

}  // namespace

PlatformClient::PlatformClient(HttpClient& client,
                               std::string address,
                               Millis timeout)
    : client_(client), address_(std::move(address)), timeout_(timeout) {}

void PlatformClient::Reboot(const HostName& host,
                            std::int64_t expected_boots,
                            Done done) {
  Json body;
  body["expected_boots"] = ::Json::Int64(expected_boots);
  HttpCall call{"POST",
                "http://" + address_ + "/hosts/" + host.str() + "/reboot"};
  call.body = WriteJson(body);
  Send(host, std::move(call), std::move(done));
}

void PlatformClient::Query(const HostName& host, Done done) {
  Send(host, HttpCall{"GET", "http://" + address_ + "/hosts/" + host.str()},
       std::move(done));
}

void PlatformClient::Send(const HostName& host, HttpCall call, Done done) {
  call.timeout = timeout_;
  call.max_response_bytes = kMaxPlatformResponseBytes;
  client_.Send(std::move(call), [host, done = std::move(done)](
                                    const Result<HttpResponse>& response) {
    done(ReadHost(host, response));
  });
}

}  // namespace boragewinch
