#include <algorithm>
#include <chrono>
#include <cmath>
#include <fstream>
#include <functional>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include "base/settings.h"
#include "bench/policy_run.h"
#include "bench/policy_scale.h"
#include "bench/policy_trace.h"

namespace boragewinch::bench {
namespace {

struct Summary {
  std::vector<RunFigures> runs;
  double moves_per_thousand_jobs = 0;
};

[[nodiscard]] double Mean(
    const Summary& summary,
    const std::function<double(const RunFigures&)>& value) {
  double sum = 0;
  for (const RunFigures& run : summary.runs)
    sum += value(run);
  return sum / static_cast<double>(summary.runs.size());
}

[[nodiscard]] double Worst(
    const Summary& summary,
    const std::function<double(const RunFigures&)>& value) {
  double worst = 0;
  for (const RunFigures& run : summary.runs)
    worst = std::max(worst, value(run));
  return worst;
}

[[nodiscard]] std::string Number(double value, int digits) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(digits) << value;
  return text.str();
}

[[nodiscard]] std::string Waits(const Summary& summary, Urgency urgency) {
  std::vector<double> waits;
  for (const RunFigures& run : summary.runs) {
    const auto& part = run.waits[static_cast<std::size_t>(urgency)];
    waits.insert(waits.end(), part.begin(), part.end());
  }
  std::sort(waits.begin(), waits.end());
  if (waits.empty())
    return "-";
  const auto at = [&](double part) {
    return Number(waits[static_cast<std::size_t>(
                      part * static_cast<double>(waits.size() - 1))] /
                      1'000,
                  2);
  };
  return at(0.5) + " / " + at(0.99) + " / " + at(1);
}

[[nodiscard]] double LateFraction(const std::vector<double>& waits) {
  const auto late = std::count_if(waits.begin(), waits.end(), [](double wait) {
    return wait > static_cast<double>(kUrgentStartBound.count());
  });
  return waits.empty()
             ? 0
             : static_cast<double>(late) / static_cast<double>(waits.size());
}

using Row = std::function<std::string(const Summary&)>;

[[nodiscard]] std::vector<std::pair<std::string, Row>> Rows() {
  const auto mean = [](auto member, int digits, double scale) {
    return [=](const Summary& summary) {
      return Number(scale * Mean(summary,
                                 [=](const RunFigures& run) {
                                   return static_cast<double>(run.*member);
                                 }),
                    digits);
    };
  };
  const auto worst = [](auto member, int digits, double scale) {
    return [=](const Summary& summary) {
      return Number(scale * Worst(summary,
                                  [=](const RunFigures& run) {
                                    return static_cast<double>(run.*member);
                                  }),
                    digits);
    };
  };
  return {
      {"capacity held back, % (mean)", mean(&RunFigures::held_back, 1, 100)},
      {"spare hosts", mean(&RunFigures::buffer_hosts, 0, 1)},
      {"roll-out over lower bound (mean)", mean(&RunFigures::roll_out, 2, 1)},
      {"roll-out over lower bound (worst)", worst(&RunFigures::roll_out, 2, 1)},
      {"the same, hosts lost meanwhile left out (mean)",
       mean(&RunFigures::roll_out_without_lost, 2, 1)},
      {"the same, hosts lost meanwhile left out (worst)",
       worst(&RunFigures::roll_out_without_lost, 2, 1)},
      {"roll-outs not completed",
       [](const Summary& summary) {
         return std::to_string(std::count_if(
             summary.runs.begin(), summary.runs.end(),
             [](const RunFigures& run) { return run.roll_out == 0; }));
       }},
      {"host moves per wave (mean)", mean(&RunFigures::host_moves, 1, 1)},
      {"task moves per drained slot (worst)",
       [](const Summary& summary) {
         return Number(Worst(summary,
                             [](const RunFigures& run) {
                               return run.task_moves /
                                      std::max(run.drained_slots, 1.0);
                             }),
                       3);
       }},
      {"task moves per 1,000 jobs (mean)",
       [](const Summary& summary) {
         return Number(Mean(summary,
                            [](const RunFigures& run) {
                              const double jobs = static_cast<double>(
                                  run.waits[0].size() + run.waits[1].size());
                              return 1'000 * run.task_moves /
                                     std::max(jobs, 1.0);
                            }),
                       2);
       }},
      {"distance to share, % of capacity (mean)",
       mean(&RunFigures::distance_mean, 2, 100)},
      {"distance to share, % of capacity (largest)",
       worst(&RunFigures::distance_max, 2, 100)},
      {"normal wait s, 50th / 99th / worst",
       [](const Summary& s) { return Waits(s, Urgency::kNormal); }},
      {"urgent wait s, 50th / 99th / worst",
       [](const Summary& s) { return Waits(s, Urgency::kUrgent); }},
      {"urgent later than 1.2 s, %",
       [](const Summary& s) {
         return Number(100 * Mean(s,
                                  [](const RunFigures& run) {
                                    return LateFraction(
                                        run.waits[static_cast<std::size_t>(
                                            Urgency::kUrgent)]);
                                  }),
                       3);
       }},
      {"the same, time at the team's own limit left out, %",
       [](const Summary& s) {
         return Number(
             100 * Mean(s,
                        [](const RunFigures& run) {
                          return LateFraction(run.urgent_waits_below_limit);
                        }),
             3);
       }},
      {"failed starts per 1,000 jobs", mean(&RunFigures::failed_starts, 2, 1)},
      {"tasks stopped per 1,000 jobs", mean(&RunFigures::preempted, 2, 1)},
      {"work lost by stops, %", mean(&RunFigures::lost_work, 3, 100)},
      {"limit violations", worst(&RunFigures::limit_violations, 0, 1)},
      {"budget violations", worst(&RunFigures::budget_violations, 0, 1)},
      {"pool-seconds below availability budget (mean)",
       mean(&RunFigures::below_budget_seconds, 1, 1)},
      {"pool-seconds below budget after the replacement time (worst)",
       worst(&RunFigures::unreplaced_seconds, 0, 1)},
      {"waits beyond bound", worst(&RunFigures::max_wait_exceeded, 0, 1)},
      {"jobs not ended (worst)", worst(&RunFigures::unfinished, 0, 1)},
  };
}

void WriteTable(std::ostream& out,
                const std::string& title,
                const std::vector<PolicyKind>& kinds,
                const std::vector<Summary>& summaries) {
  out << "\n" << title << "\n\n| measure |";
  for (const PolicyKind kind : kinds)
    out << " " << kPolicyKinds.Name(kind) << " |";
  out << "\n|---|";
  for (std::size_t i = 0; i < kinds.size(); ++i)
    out << "---|";
  out << "\n";
  for (const auto& [name, row] : Rows()) {
    out << "| " << name << " |";
    for (const Summary& summary : summaries)
      out << " " << row(summary) << " |";
    out << "\n";
  }
}

[[nodiscard]] PolicyParams ParamsFor(PolicyKind kind,
                                     const Settings& settings) {
  PolicyParams params = ParamsOf(kind);
  if (kind == PolicyKind::kOurs) {
    params.urgent.headroom_percent =
        static_cast<double>(settings.integer("headroom"));
    params.urgent.preempt = !settings.flag("no-preempt");
    if (settings.flag("best-fit"))
      params.placement.rule = PackingRule::kBestFit;
    if (settings.flag("trace"))
      params.trace = &std::cerr;
  }
  return params;
}

void Compare(std::ostream& out,
             const std::vector<PolicyKind>& kinds,
             const Settings& settings) {
  const std::int64_t seeds = settings.integer("seeds");
  const std::int64_t first = settings.integer("first-seed");
  for (std::size_t u = 0; u < kUsers.entries.size(); ++u) {
    const User user = kUsers.entries[u].first;
    for (const bool held_out : {false, true}) {
      std::vector<Summary> summaries(kinds.size());
      for (std::int64_t seed = first; seed <= seeds; ++seed) {
        const auto number = static_cast<std::uint64_t>(seed);
        if ((KindOf(number) != TraceKind::kUsual) != held_out)
          continue;
        const Trace trace = MakeTrace(user, number);
        for (std::size_t i = 0; i < kinds.size(); ++i) {
          const auto start = std::chrono::steady_clock::now();
          summaries[i].runs.push_back(
              Run(trace, ParamsFor(kinds[i], settings)));
          const std::chrono::duration<double> took =
              std::chrono::steady_clock::now() - start;
          std::cerr << kUsers.Name(user) << " seed " << seed << " "
                    << kPolicyKinds.Name(kinds[i]) << ": "
                    << Number(took.count(), 1) << " s\n";
        }
      }
      if (summaries.front().runs.empty())
        continue;
      WriteTable(out,
                 std::string(kUsers.Name(user)) +
                     (held_out ? ", held-out traces" : ", usual traces"),
                 kinds, summaries);
    }
  }
}

[[nodiscard]] SettingsBuilder Declare() {
  SettingsBuilder builder("policy",
                          "compares scheduling policies on seeded traces");
  builder.Flag("scale", "measure decision time and memory instead")
      .Text("policy", "one policy instead of all", "all")
      .Integer("seeds", "last seed to run; 9 and 10 of each ten are held out",
               10, 1, 1'000)
      .Integer("first-seed", "first seed to run", 1, 1, 1'000)
      .Integer("headroom",
               "percent of slots that ours reserves for urgent work", 0, 0, 50)
      .Flag("no-preempt", "disables preemption in ours")
      .Flag("best-fit", "uses best-fit packing in ours")
      .Flag("trace", "prints each step of ours to standard error")
      .Text("markdown", "file to which the tables are also written", "");
  return builder;
}

[[nodiscard]] Status Measure(const Settings& settings) {
  std::ostringstream text;
  if (settings.flag("scale")) {
    RunScale(text);
  } else {
    std::vector<PolicyKind> kinds;
    for (const auto& [kind, name] : kPolicyKinds.entries) {
      if (settings.text("policy") == "all" || settings.text("policy") == name)
        kinds.push_back(kind);
    }
    if (kinds.empty()) {
      return Fail(ErrorCode::kInvalidSetting,
                  "unknown policy \"" + settings.text("policy") + "\"");
    }
    Compare(text, kinds, settings);
  }
  std::cout << text.str();
  if (!settings.text("markdown").empty()) {
    std::ofstream file(settings.text("markdown"));
    file << text.str();
    if (!file) {
      return Fail(ErrorCode::kStorageWrite,
                  "can't write " + settings.text("markdown"));
    }
  }
  return Ok();
}

}  // namespace
}  // namespace boragewinch::bench

int main(int argc, char** argv) {
  const auto builder = boragewinch::bench::Declare();
  std::vector<boragewinch::Error> errors;
  const auto settings = builder.Parse(argc, argv, &errors);
  if (const auto code =
          boragewinch::HandleStandardSettings(builder, settings, errors)) {
    return *code;
  }
  const auto status = boragewinch::bench::Measure(settings);
  if (!status) {
    std::cerr << status.error().Text() << "\n";
    return boragewinch::kExitBadSettings;
  }
  return boragewinch::kExitOk;
}
