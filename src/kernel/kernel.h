#ifndef BORAGEWINCH_KERNEL_KERNEL_H_
#define BORAGEWINCH_KERNEL_KERNEL_H_

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/result.h"
#include "kernel/event_loop.h"
#include "kernel/service.h"

namespace boragewinch {

/// \brief Blocks SIGTERM, SIGINT and SIGHUP until Kernel::Run handles them. A
/// program calls it first, as the default action of a signal that arrives while
/// it reads its settings would terminate it.
void HoldSignals();

/// \brief Owns the services of a process, starts them in the order in which
/// they were added and stops them in reverse order.
class Kernel {
 public:
  Kernel();
  ~Kernel();

  [[nodiscard]] EventLoop& loop() noexcept { return loop_; }

  /// \brief Takes ownership of `service`, under a name unique in the process.
  void Add(std::string name, std::unique_ptr<Service> service);

  /// \returns the service called `name`, or nullptr if there is none or it has
  /// another type.
  template <typename T>
  [[nodiscard]] T* Find(std::string_view name) const {
    return dynamic_cast<T*>(FindService(name));
  }

  /// \brief Looks up a service that the caller depends on.
  /// \returns kUnknownName if there is no service `name` of that type.
  template <typename T>
  [[nodiscard]] Result<T*> Require(std::string_view name) const {
    if (T* service = Find<T>(name); service != nullptr)
      return service;
    return Fail(ErrorCode::kUnknownName, "no service \"" + std::string(name) +
                                             "\" of the expected type");
  }

  /// \brief Starts all services, then runs until a planned stop is complete.
  /// SIGTERM, SIGINT and RequestStop begin one.
  /// \returns kDuplicateName, or the first error of a service's start.
  [[nodiscard]] Status Run();

  /// \brief Begins the planned stop; further calls have no effect.
  void RequestStop();

 private:
  [[nodiscard]] Service* FindService(std::string_view name) const;
  [[nodiscard]] unsigned long open_requests() const;
  void StopNext();

  EventLoop loop_;
  std::vector<std::pair<std::string, std::unique_ptr<Service>>> services_;
  std::size_t running_ = 0;
  bool stopping_ = false;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_KERNEL_KERNEL_H_
