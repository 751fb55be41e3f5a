#ifndef BORAGEWINCH_KERNEL_SERVICE_H_
#define BORAGEWINCH_KERNEL_SERVICE_H_

#include <functional>
#include <string_view>

#include "base/result.h"

namespace boragewinch {

class Kernel;

/// \brief A component of a process with its own state and sockets. Services
/// look each other up by name in the kernel and communicate by messages.
class Service {
 public:
  virtual ~Service() = default;

  /// \brief Opens sockets and looks up other services. Called once.
  [[nodiscard]] virtual Status Start(Kernel& kernel) = 0;
  /// \brief Begins a planned stop.
  /// \param done must be called once, when the service has no open work.
  virtual void Stop(const std::function<void()>& done) { done(); }
  /// \returns the number of requests without a response; after a planned stop,
  /// of those that were left unanswered.
  [[nodiscard]] virtual std::size_t open_requests() const { return 0; }
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_KERNEL_SERVICE_H_
