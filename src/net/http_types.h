#ifndef BORAGEWINCH_NET_HTTP_TYPES_H_
#define BORAGEWINCH_NET_HTTP_TYPES_H_

#include <cstddef>
#include <map>
#include <string>

#include "base/time.h"

namespace boragewinch {

/// \brief A request received by a server.
struct HttpRequest {
  std::string method;
  std::string path;  ///< without query
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;  ///< names in lower case
  std::string body;
};

/// \brief A response, sent or received.
struct HttpResponse {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  /// Additional headers to send; empty in a received response.
  std::map<std::string, std::string> headers = {};
};

inline constexpr char kBinaryContentType[] = "application/octet-stream";

/// \brief An outgoing request to another process.
struct HttpCall {
  std::string method = "GET";
  std::string url;
  std::map<std::string, std::string> headers;
  std::string body;
  std::string content_type = "application/json";
  Millis timeout{2'000};
  std::size_t max_response_bytes = 0;  ///< 0: the limit of the client
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_NET_HTTP_TYPES_H_
