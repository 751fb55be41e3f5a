#ifndef BORAGEWINCH_CTL_BORAGECTL_H_
#define BORAGEWINCH_CTL_BORAGECTL_H_

#include <ostream>
#include <string>
#include <vector>

#include "ctl/ctl_config.h"
#include "ctl/fleet_client.h"

namespace boragewinch {

/// \brief Command-line client for operators: runs one subcommand and returns
/// the process exit code.
class Boragectl {
 public:
  /// \param out receives tables, or one JSON document with `config.json`.
  /// \param err receives errors, hints and progress.
  /// \param terminal whether `err` is a terminal, so that progress is redrawn
  /// in place.
  Boragectl(EventLoop& loop,
            CtlConfig config,
            std::ostream& out,
            std::ostream& err,
            bool terminal = false);

  /// \param arguments subcommand and operands, such as {"host", "list"}.
  /// \returns kExitOk, kExitFailed, kExitBadSettings, kExitUnavailable or
  /// kExitRefused. A change that is committed but not in force within the
  /// timeout returns kExitFailed and lists the entry hosts that have not
  /// confirmed it.
  [[nodiscard]] int Run(const std::vector<std::string>& arguments);

  /// \returns the list of subcommands that --help prints.
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
  /// \param one_line prints only the explanation.
  int JobShow(const std::string& id, bool one_line);
  int JobList();
  int ShowStatus();
  int ShowMetrics();
  int Explain(const std::string& kind, const std::string& name);
  int WaveStatus();

  /// \brief Submits a command and waits until it is in force.
  int SubmitOperation(Json command, const std::string& done);
  [[nodiscard]] Json MakeOperation() const;
  /// \brief Sets "expected_version" to --expected-version or, by default, the
  /// current fleet version.
  /// \returns success, or the failed result.
  [[nodiscard]] CallResult AddVersion(Json* body);
  [[nodiscard]] CallResult SendSheet(const std::string& file,
                                     const char* mode,
                                     Json body);
  int SheetView(const std::string& file, const char* mode);
  /// \brief Polls until `version` is in force or the timeout has passed.
  /// \returns the last result of GET /v1/in-force.
  [[nodiscard]] CallResult WaitInForce(FleetVersion version);
  /// \brief Waits until the version in `document` is in force, then prints it.
  int FinishChange(Json document, const std::string& done);

  /// \brief Prints a failed result and, if the change may have been made, the
  /// flags with which it can be resent.
  /// \param sent body of the operation that was sent; null if there is none.
  /// \returns the exit code.
  int ReportError(const CallResult& response, const Json& sent = Json());
  int BadUsage(const std::string& detail);
  /// \brief Prints `document` with --json, otherwise `text`.
  void Print(const Json& document, const std::string& text);
  void PrintProgress(Millis elapsed, const std::string& text);
  /// \brief Clears a progress line and returns the error stream.
  std::ostream& Err();

  /// \returns the entry hosts in --zone, or all if it is empty.
  [[nodiscard]] std::vector<EntryAddress> entries() const;

  CtlConfig config_;
  std::ostream& out_;
  std::ostream& err_;
  bool terminal_;
  bool progress_shown_ = false;
  FleetClient client_;
};

/// \returns the exit code for an error code.
[[nodiscard]] int ExitCodeOf(ErrorCode code) noexcept;

[[nodiscard]] std::vector<std::string> Addresses(
    const std::vector<EntryAddress>& entries);

}  // namespace boragewinch

#endif  // BORAGEWINCH_CTL_BORAGECTL_H_
