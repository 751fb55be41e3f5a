#ifndef BORAGEWINCH_TESTS_CUT_RELAY_H_
#define BORAGEWINCH_TESTS_CUT_RELAY_H_

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

/// \brief What a relay does with its connections.
enum class RelayMode {
  kForward,
  kCut,    ///< closes every connection, present and new
  kStall,  ///< keeps connections open and passes nothing, present and new
  /// Drops what callers send; answers pass. Connections that lost bytes close
  /// when the mode ends, since the rest of their stream is of no use.
  kSwallowCalls,
  kSwallowAnswers,  ///< the same with the directions exchanged
};

/// \brief TCP relay on loopback with a thread of its own, for partitions.
class CutRelay {
 public:
  /// \param target "127.0.0.1:port", which need not listen yet.
  /// \param listen "IP:port"; port 0 takes a free one.
  explicit CutRelay(std::string target,
                    const std::string& listen = "127.0.0.1:0");
  CutRelay(const CutRelay&) = delete;
  CutRelay& operator=(const CutRelay&) = delete;
  ~CutRelay();

  [[nodiscard]] const std::string& address() const noexcept { return address_; }
  void SetMode(RelayMode mode) noexcept { mode_ = mode; }
  /// \brief Bytes wait for so long before they pass.
  void SetDelay(std::chrono::milliseconds delay) noexcept {
    delay_ms_ = delay.count();
  }
  /// \brief Resets every connection that is open now; new ones work.
  void ResetPresent() noexcept { ++resets_; }
  /// \brief Connections open now never pass a byte again and stay open; new
  /// ones work.
  void SilencePresent() noexcept { ++silenced_; }
  /// \returns bytes passed in both directions.
  [[nodiscard]] std::uint64_t bytes() const noexcept { return bytes_; }

 private:
  struct Pipe {
    int from = -1;
    int to = -1;
    std::string pending;
    /// When bytes came, and how many of `pending` precede the next ones.
    std::deque<std::pair<std::chrono::steady_clock::time_point, std::size_t>>
        arrivals;
  };
  struct Link {
    Pipe up;
    Pipe down;
    int generation = 0;
    bool torn = false;  ///< bytes of it were dropped
  };

  void Run();
  void Accept();
  [[nodiscard]] bool Pump(Pipe* pipe);
  [[nodiscard]] bool PumpLink(Link* link, RelayMode mode);
  /// \brief Drops what can be read.
  /// \returns whether the connection is still open.
  [[nodiscard]] static bool Swallow(Pipe* pipe, bool* dropped);
  static void Close(const Link& link);
  static void Reset(const Link& link);
  /// \returns how many bytes of `pipe` have waited for the delay.
  [[nodiscard]] std::size_t Ripe(const Pipe& pipe) const;

  std::string target_;
  std::string address_;
  int listener_ = -1;
  std::atomic<RelayMode> mode_{RelayMode::kForward};
  std::atomic<int> silenced_{0};
  std::atomic<int> resets_{0};
  std::atomic<std::int64_t> delay_ms_{0};
  std::atomic<bool> stop_{false};
  std::atomic<std::uint64_t> bytes_{0};
  std::list<Link> links_;
  std::thread thread_;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_TESTS_CUT_RELAY_H_
