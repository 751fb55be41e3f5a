#ifndef BORAGEWINCH_CTL_BORAGECTL_H_
#define BORAGEWINCH_CTL_BORAGECTL_H_

#include <ostream>
#include <string>
#include <vector>

#include "ctl/ctl_config.h"
#include "ctl/fleet_client.h"

namespace boragewinch {

/// \brief The operators' client as a class: runs one subcommand and returns
/// the exit code of the program.
class Boragectl {
 public:
  /// \param out receives tables, or one JSON document with `config.json`.
  /// \param err receives errors, hints and progress.
  /// \param terminal whether progress may overwrite its line.
  Boragectl(EventLoop& loop,
            CtlConfig config,
            std::ostream& out,
            std::ostream& err,
            bool terminal = false);

  /// \param arguments subcommand and its operands, such as {"host", "list"}.
  /// \returns kExitOk, kExitFailed, kExitBadSettings, kExitUnavailable or
  /// kExitRefused. A change that is committed but not in force within the
  /// timeout returns kExitFailed and names the entry hosts that lack it.
  [[nodiscard]] int Run(const std::vector<std::string>& arguments);

  /// \returns the list of subcommands for --help.
  [[nodiscard]] static std::string Usage();

 private:
  struct Subcommand;
  static const std::vector<Subcommand>& subcommands();

  // Changes.
  int SheetCheck(const std::string& file);
  int SheetDiff(const std::string& file);
  int SheetApply(const std::string& file);
  int HostMove(const std::string& host, const std::string& pool);
  int HostDrain(const std::string& host);
  int HostReturn(const std::string& host);
  int KeyCreate(const std::string& team);
  int KeyWithdraw(const std::string& id);
  int WaveStart(const std::string& pool);
  int EntryDeclareLost(const std::string& entry);

  // Views.
  int SheetHistory();
  int List(const char* part, const std::vector<std::string>& members);
  /// \param one_line shows the reason only.
  int JobShow(const std::string& id, bool one_line);
  int JobList();
  int ShowStatus();
  int ShowMetrics();
  int Explain(const std::string& kind, const std::string& name);
  int WaveStatus();

  /// \brief Sends a command and waits until it is in force.
  int Operate(Json command, const std::string& done);
  [[nodiscard]] Json MakeOperation() const;
  /// \brief Sets "expected_version" to --expected-version or the present one.
  /// \returns success, or the answer that failed.
  [[nodiscard]] CallAnswer AddVersion(Json* body);
  [[nodiscard]] CallAnswer SendSheet(const std::string& file,
                                     const char* mode,
                                     Json body);
  int SheetView(const std::string& file, const char* mode);
  /// \brief Polls until `version` is in force or the timeout passed.
  /// \returns the last answer of GET /v1/in-force.
  [[nodiscard]] CallAnswer WaitInForce(FleetVersion version);
  /// \brief Waits until the answered version is in force, then prints.
  int FinishChange(Json document, const std::string& done);

  /// \brief Prints a failed answer and, if the change may have been made, how
  /// to send it again.
  /// \param sent the operation, or null.
  /// \returns the exit code.
  int Report(const CallAnswer& answer, const Json& sent = Json());
  int BadUsage(const std::string& detail);
  /// \brief Prints `document` with --json, else `text`.
  void Print(const Json& document, const std::string& text);
  void PrintProgress(Millis elapsed, const std::string& text);
  /// \brief Starts a line on the error stream, below any progress line.
  std::ostream& Err();

  /// \returns entry hosts of --zone, or all.
  [[nodiscard]] std::vector<EntryAddress> entries() const;

  CtlConfig config_;
  std::ostream& out_;
  std::ostream& err_;
  bool terminal_;
  bool progress_shown_ = false;
  FleetClient client_;
};

/// \returns the exit code for a failure.
[[nodiscard]] int ExitCodeOf(ErrorCode code) noexcept;

/// \returns the addresses of `entries`.
[[nodiscard]] std::vector<std::string> Addresses(
    const std::vector<EntryAddress>& entries);

}  // namespace boragewinch

#endif  // BORAGEWINCH_CTL_BORAGECTL_H_
