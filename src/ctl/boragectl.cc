#include "ctl/boragectl.h"

#include <algorithm>
#include <functional>
#include <string_view>
#include <utility>

#include "ctl/table.h"

namespace boragewinch {

namespace {

constexpr std::size_t kMaxOperandBytes = 256;

// Operands become part of a URL path or query, so only characters that need no
// escaping are allowed. The parts of a job id are separated by dots.
[[nodiscard]] bool IsOperand(const std::string& text) {
  return !text.empty() && text.size() <= kMaxOperandBytes &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '_' || c == '-' || c == '.';
         });
}

}  // namespace

struct Boragectl::Subcommand {
  using Operands = std::vector<std::string>;

  std::vector<std::string> words;
  std::vector<std::string> operands;
  const char* help;
  std::function<int(Boragectl&, const Operands&)> run;

  [[nodiscard]] std::string Synopsis() const {
    std::string text;
    for (const auto* part : {&words, &operands}) {
      for (const std::string& word : *part)
        text += (text.empty() ? "" : " ") + word;
    }
    return text;
  }
  [[nodiscard]] bool Matches(const std::vector<std::string>& arguments) const {
    return arguments.size() >= words.size() &&
           std::equal(words.begin(), words.end(), arguments.begin());
  }
};

const std::vector<Boragectl::Subcommand>& Boragectl::subcommands() {
  using B = Boragectl;
  using O = Subcommand::Operands;
  static const std::vector<Subcommand> kSubcommands = {
      {{"sheet", "check"},
       {"FILE"},
       "check a sheet against the fleet",
       [](B& b, const O& o) { return b.SheetCheck(o[0]); }},
      {{"sheet", "diff"},
       {"FILE"},
       "show what a sheet would change",
       [](B& b, const O& o) { return b.SheetDiff(o[0]); }},
      {{"sheet", "apply"},
       {"FILE"},
       "apply a sheet and wait until it is in force",
       [](B& b, const O& o) { return b.SheetApply(o[0]); }},
      {{"sheet", "history"},
       {},
       "show the changes of the fleet state",
       [](B& b, const O&) { return b.SheetHistory(); }},
      {{"pool", "list"},
       {},
       "list pools",
       [](B& b, const O&) {
         return b.List("pools", {"name", "min_available", "spare",
                                 "maintenance_days", "version"});
       }},
      {{"host", "list"},
       {},
       "list hosts",
       [](B& b, const O&) {
         return b.List("hosts", {"name", "pool", "zone", "rack", "state",
                                 "assignment", "maintained_at", "version"});
       }},
      {{"host", "move"},
       {"HOST", "POOL"},
       "move a drained host to another pool",
       [](B& b, const O& o) { return b.HostMove(o[0], o[1]); }},
      {{"host", "drain"},
       {"HOST"},
       "take a host out of service within its pool's budget",
       [](B& b, const O& o) { return b.HostDrain(o[0]); }},
      {{"host", "return"},
       {"HOST"},
       "put a host back into service",
       [](B& b, const O& o) { return b.HostReturn(o[0]); }},
      {{"team", "list"},
       {},
       "list teams",
       [](B& b, const O&) {
         return b.List("teams", {"name", "share", "limit", "version"});
       }},
      {{"key", "create"},
       {"TEAM"},
       "create a key and print it; it is not shown again",
       [](B& b, const O& o) { return b.KeyCreate(o[0]); }},
      {{"key", "withdraw"},
       {"ID"},
       "withdraw a key at the control group and every entry host",
       [](B& b, const O& o) { return b.KeyWithdraw(o[0]); }},
      {{"job", "show"},
       {"ID"},
       "show the record of a job",
       [](B& b, const O& o) { return b.JobShow(o[0], false); }},
      {{"job", "list"},
       {},
       "list jobs of the entry hosts",
       [](B& b, const O&) { return b.JobList(); }},
      {{"status"},
       {},
       "show the processes in --control and --entries and their invariants",
       [](B& b, const O&) { return b.ShowStatus(); }},
      {{"metrics"},
       {},
       "show counters and durations of the entry hosts",
       [](B& b, const O&) { return b.ShowMetrics(); }},
      {{"explain"},
       {"job|host|team|pool", "NAME"},
       "show why something is in its present state",
       [](B& b, const O& o) { return b.Explain(o[0], o[1]); }},
      {{"wave", "start"},
       {"POOL|all"},
       "start a maintenance wave",
       [](B& b, const O& o) { return b.WaveStart(o[0]); }},
      {{"wave", "status"},
       {},
       "show maintenance waves",
       [](B& b, const O&) { return b.WaveStatus(); }},
      {{"entry", "list"},
       {},
       "list entry hosts and their allotments",
       [](B& b, const O&) {
         return b.List("entries", {"name", "zone", "incarnation", "address",
                                   "peer_address", "allotment"});
       }},
      {{"entry", "declare-lost"},
       {"NAME"},
       "reclaim the allotment of an entry host that is certainly gone",
       [](B& b, const O& o) { return b.EntryDeclareLost(o[0]); }},
  };
  return kSubcommands;
}

Boragectl::Boragectl(EventLoop& loop,
                     CtlConfig config,
                     std::ostream& out,
                     std::ostream& err,
                     bool terminal)
    : config_(std::move(config)),
      out_(out),
      err_(err),
      terminal_(terminal),
      client_(loop,
              config_.control,
              config_.secret,
              config_.timeout,
              config_.attempt_timeout,
              [this](Millis elapsed, const std::string& text) {
                PrintProgress(elapsed, text);
              }) {}

std::string Boragectl::Usage() {
  std::string text = "Subcommands:\n";
  for (const Subcommand& subcommand : subcommands()) {
    std::string synopsis = subcommand.Synopsis();
    synopsis.resize(std::max<std::size_t>(synopsis.size() + 2, 34), ' ');
    text += "  " + synopsis + subcommand.help + "\n";
  }
  return text;
}

int Boragectl::Run(const std::vector<std::string>& arguments) {
  const auto& all = subcommands();
  const auto found =
      std::find_if(all.begin(), all.end(), [&](const Subcommand& subcommand) {
        return subcommand.Matches(arguments);
      });
  if (found == all.end()) {
    return BadUsage(arguments.empty()
                        ? "a subcommand is required"
                        : "unknown subcommand \"" + arguments.front() + "\"");
  }
  const std::vector<std::string> operands(
      arguments.begin() + static_cast<std::ptrdiff_t>(found->words.size()),
      arguments.end());
  if (operands.size() != found->operands.size())
    return BadUsage("usage: boragectl " + found->Synopsis());
  for (std::size_t i = 0; i < operands.size(); ++i) {
    if (found->operands[i] != "FILE" && !IsOperand(operands[i])) {
      return BadUsage(found->operands[i] + " is \"" + operands[i] +
                      "\"; allowed are characters of A-Z a-z 0-9 _ - .");
    }
  }
  std::string command_line;
  for (const std::string& argument : arguments)
    command_line += (command_line.empty() ? "" : " ") + argument;
  client_.SetProgressText(command_line);
  const int code = found->run(*this, operands);
  if (progress_shown_)
    Err();
  return code;
}

int Boragectl::ReportError(const CallResult& response, const Json& sent) {
  const Error& error = *response.error;
  const std::vector<Json> errors =
      Rows(response.body.isObject() ? response.body["errors"] : Json());
  if (config_.json) {
    Json document =
        response.body.isObject() ? response.body : Json(::Json::objectValue);
    document["error"] = std::string(kErrorCodes.Name(error.code));
    document["detail"] = error.detail;
    if (sent.isObject()) {
      document["operation_id"] = sent["operation_id"];
      document["expected_version"] = sent["expected_version"];
      document["may_have_acted"] = response.may_have_acted;
    }
    out_ << WriteJson(document) << "\n";
  }
  Err() << "boragectl: " << CellText(Json(error.Text())) << "\n";
  bool confirm = error.code == ErrorCode::kNeedsConfirmation;
  for (const Json& item : errors) {
    if (!item.isObject())
      continue;
    confirm = confirm || CellText(item["error"]) ==
                             kErrorCodes.Name(ErrorCode::kNeedsConfirmation);
    if (item.isMember("line")) {
      err_ << CellText(item["file"]) << ":" << CellText(item["line"]) << ":"
           << CellText(item["column"]) << ": ";
    } else if (CellText(item["detail"]) == CellText(Json(error.detail))) {
      continue;
    }
    err_ << CellText(item["detail"]) << "\n";
  }
  if (confirm)
    err_ << "To go on, add --allow-lowering.\n";
  if (response.may_have_acted && sent.isObject()) {
    err_ << "The change may have been made. To find out, repeat it with "
            "--operation-id="
         << CellText(sent["operation_id"])
         << " --expected-version=" << CellText(sent["expected_version"])
         << "\n";
  }
  return ExitCodeOf(error.code);
}

int Boragectl::BadUsage(const std::string& detail) {
  if (config_.json) {
    Json document;
    document["error"] =
        std::string(kErrorCodes.Name(ErrorCode::kInvalidSetting));
    document["detail"] = detail;
    out_ << WriteJson(document) << "\n";
  }
  Err() << "boragectl: " << CellText(Json(detail))
        << "; --help lists the subcommands\n";
  return kExitBadSettings;
}

void Boragectl::Print(const Json& document, const std::string& text) {
  if (config_.json) {
    out_ << WriteJson(document) << "\n";
  } else {
    out_ << text;
  }
  out_.flush();
}

void Boragectl::PrintProgress(Millis elapsed, const std::string& text) {
  const std::string line = CellText(Json(text)) + " ... " +
                           std::to_string(elapsed.count() / 1'000) + " s";
  if (terminal_) {
    // Redraws the line in place.
    err_ << "\r\033[K" << line;
    progress_shown_ = true;
  } else {
    err_ << line << "\n";
  }
  err_.flush();
}

std::ostream& Boragectl::Err() {
  if (progress_shown_) {
    err_ << "\r\033[K";
    progress_shown_ = false;
  }
  return err_;
}

std::vector<EntryAddress> Boragectl::entries() const {
  std::vector<EntryAddress> chosen;
  for (const EntryAddress& entry : config_.entries) {
    if (config_.zone.empty() || entry.zone == config_.zone)
      chosen.push_back(entry);
  }
  return chosen;
}

int ExitCodeOf(ErrorCode code) noexcept {
  switch (code) {
    case ErrorCode::kTransport:
    case ErrorCode::kTimeout:
    case ErrorCode::kProtocol:
    case ErrorCode::kUnavailable:
    case ErrorCode::kNotLeader:
      return kExitUnavailable;
    case ErrorCode::kInvalidSetting:
      return kExitBadSettings;
    case ErrorCode::kInvalidJson:
    case ErrorCode::kStorageWrite:
    case ErrorCode::kStorageCorrupt:
    case ErrorCode::kStorageMissing:
      return kExitFailed;
    default:
      return kExitRefused;
  }
}

std::vector<std::string> Addresses(const std::vector<EntryAddress>& entries) {
  std::vector<std::string> addresses;
  addresses.reserve(entries.size());
  for (const EntryAddress& entry : entries)
    addresses.push_back(entry.address);
  return addresses;
}

}  // namespace boragewinch
