#ifndef BORAGEWINCH_TESTS_FAULT_RELAY_H_
#define BORAGEWINCH_TESTS_FAULT_RELAY_H_

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <thread>
#include <utility>

namespace boragewinch {

/// \brief Fault that a relay injects into its connections, existing and new.
enum class RelayMode {
  kForward,  ///< no fault
  kCut,      ///< closes every connection
  kStall,    ///< keeps connections open and forwards nothing
  /// Drops what clients send and forwards the responses. Connections that lost
  /// bytes close when the mode ends, since the rest of their stream is corrupt.
  kDropRequests,
  kDropResponses,  ///< the same with the directions exchanged
};

/// \brief TCP relay on loopback that injects network faults. It runs on its own
/// thread.
class FaultRelay {
 public:
  /// \param target "127.0.0.1:port"; it need not be listening yet.
  /// \param listen "IP:port"; port 0 selects a free one.
  explicit FaultRelay(std::string target,
                      const std::string& listen = "127.0.0.1:0");
  FaultRelay(const FaultRelay&) = delete;
  FaultRelay& operator=(const FaultRelay&) = delete;
  ~FaultRelay();

  [[nodiscard]] const std::string& address() const noexcept { return address_; }
  void SetMode(RelayMode mode) noexcept { mode_ = mode; }
  /// \brief Delays all bytes by `delay`.
  void SetDelay(std::chrono::milliseconds delay) noexcept {
    delay_ms_ = delay.count();
  }
  /// \brief Resets every open connection; new ones work.
  void ResetExisting() noexcept { ++resets_; }
  /// \brief Keeps every open connection open but forwards nothing on it any
  /// more; new ones work.
  void BlackholeExisting() noexcept { ++generation_; }
  /// \returns whether the last mode set is in effect and no connection has a
  /// call that was forwarded but not answered. Meant for kDropRequests, which
  /// forwards no new calls; a blackholed connection keeps its call open.
  [[nodiscard]] bool IsDrained() const noexcept {
    return applied_mode_ == mode_ && open_calls_ == 0;
  }
  /// \returns the bytes forwarded in both directions.
  [[nodiscard]] std::uint64_t bytes() const noexcept { return bytes_; }

 private:
  struct Pipe {
    int from = -1;
    int to = -1;
    std::string pending;
    /// Arrival times and sizes of the chunks in `pending`.
    std::deque<std::pair<std::chrono::steady_clock::time_point, std::size_t>>
        arrivals;
    std::uint64_t forwarded = 0;  ///< bytes
  };
  struct Link {
    Pipe up;
    Pipe down;
    int generation = 0;       ///< blackholed if it is not the relay's
    bool lost_bytes = false;  ///< some of its bytes were dropped
    bool open_call = false;   ///< forwarded a call but not yet its response
  };

  void Run();
  void Accept();
  [[nodiscard]] bool Pump(Pipe* pipe);
  [[nodiscard]] bool PumpLink(Link* link, RelayMode mode);
  /// \brief PumpLink, and records whether the link has an open call.
  [[nodiscard]] bool PumpCalls(Link* link, RelayMode mode);
  /// \brief Reads and drops all available bytes.
  /// \returns whether the connection is still open.
  [[nodiscard]] static bool Drop(Pipe* pipe, bool* dropped);
  static void Close(const Link& link);
  static void Reset(const Link& link);
  /// \returns the number of pending bytes whose delay has passed.
  [[nodiscard]] std::size_t SendableBytes(const Pipe& pipe) const;

  std::string target_;
  std::string address_;
  int listener_ = -1;
  std::atomic<RelayMode> mode_{RelayMode::kForward};
  std::atomic<RelayMode> applied_mode_{RelayMode::kForward};
  std::atomic<int> open_calls_{0};
  std::atomic<int> generation_{0};
  std::atomic<int> resets_{0};
  std::atomic<std::int64_t> delay_ms_{0};
  std::atomic<bool> stop_{false};
  std::atomic<std::uint64_t> bytes_{0};
  std::list<Link> links_;
  std::thread thread_;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_TESTS_FAULT_RELAY_H_
