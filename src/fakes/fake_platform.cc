#include "fakes/fake_platform.h"

#include "base/json.h"

namespace boragewinch {

HttpResponse FakePlatform::HandleRequest(const HttpRequest& request,
                                         TimePoint now) {
  static const std::string kPrefix = "/hosts/";
  static const std::string kReboot = "/reboot";
  if (!request.path.starts_with(kPrefix))
    return {404, R"({"error":"not_found"})"};
  std::string name = request.path.substr(kPrefix.size());
  if (request.method == "POST" && name.ends_with(kReboot)) {
    name.resize(name.size() - kReboot.size());
    HostRecord& host = hosts_[name];
    const Result<Json> body =
        ParseJson(request.body.empty() ? "{}" : request.body);
    if (!body || !body.value().isObject())
      return {400, R"({"error":"malformed"})"};
    const auto expected =
        IntFieldOr(body.value(), "expected_boots", host.boots, 0, INT64_MAX);
    if (!expected)
      return {400, R"({"error":"malformed"})"};
    // A repeated request during a reboot is idempotent.
    if (host.up_at <= now && expected.value() == host.boots) {
      ++host.boots;
      host.up_at = now + reboot_time_;
    }
  }
  Json json;
  json["host"] = name;
  json["boots"] = ::Json::Int64(boots(name));
  json["up"] = up(name, now);
  return {200, WriteJson(json)};
}

std::int64_t FakePlatform::boots(const std::string& host) const {
  const auto found = hosts_.find(host);
  return found == hosts_.end() ? 0 : found->second.boots;
}

bool FakePlatform::up(const std::string& host, TimePoint now) const {
  const auto found = hosts_.find(host);
  return found == hosts_.end() || found->second.up_at <= now;
}

}  // namespace boragewinch
