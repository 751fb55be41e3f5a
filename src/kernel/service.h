#ifndef BORAGEWINCH_KERNEL_SERVICE_H_
#define BORAGEWINCH_KERNEL_SERVICE_H_

#include <functional>
#include <string_view>

#include "base/result.h"

namespace boragewinch {

class Kernel;

/// \brief A part of a process with its own state and sockets. Services find
/// each other by name through the kernel and talk by messages.
class Service {
 public:
  virtual ~Service() = default;

  /// \brief Opens sockets and looks up other services. Called once.
  [[nodiscard]] virtual Status Start(Kernel& kernel) = 0;
  /// \brief Begins a planned stop.
  /// \param done must be called once when nothing of this service is open.
  virtual void Stop(const std::function<void()>& done) { done(); }
  /// \returns requests without an answer; after a planned stop, those left.
  [[nodiscard]] virtual std::size_t open_requests() const { return 0; }
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_KERNEL_SERVICE_H_
