#include "base/metrics.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <sstream>
#include <tuple>
#include <utility>

#include <boost/histogram.hpp>

#include "base/build_info.h"
#include "base/event_log.h"

namespace boragewinch {

namespace {

namespace histogram = boost::histogram;

// Durations from 1 ms to 2^22 ms (70 minutes), four bins per octave.
constexpr int kOctaves = 22;
constexpr int kBinsPerOctave = 4;
constexpr int kBins = kOctaves * kBinsPerOctave;

using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;
using DurationHistogram =
    histogram::histogram<std::tuple<Axis>,
                         histogram::dense_storage<std::uint64_t>>;

struct Durations {
  DurationHistogram bins{Axis(kBins, 1.0, std::ldexp(1.0, kOctaves))};
  std::uint64_t count = 0;
  Millis sum{0};
  Millis max{0};

  void Add(Millis duration) {
    duration = std::max(duration, Millis(0));
    ++count;
    sum += duration;
    max = std::max(max, duration);
    // Prometheus buckets include their upper bound, Boost's bins exclude it.
    // Values are whole milliseconds, so subtracting half a millisecond makes
    // them agree. The minimum of 0.5 keeps 0 in the underflow bin: Boost puts
    // -0.5, which has no logarithm, into the overflow bin.
    bins(std::max(static_cast<double>(duration.count()) - 0.5, 0.5));
  }

  [[nodiscard]] Millis Quantile(double fraction) const {
    const auto rank = static_cast<std::uint64_t>(
        std::ceil(static_cast<double>(count) * fraction));
    std::uint64_t cumulative = 0;
    for (int i = -1; i < kBins; ++i) {
      cumulative += bins.at(i);
      if (cumulative >= rank) {
        // The largest whole number of milliseconds in the bin, see Add.
        return std::min(Millis(std::lround(bins.axis().value(i + 1))), max);
      }
    }
    return max;
  }

  [[nodiscard]] DurationSummary Summary() const {
    return {count, sum, max, Quantile(0.5), Quantile(0.99)};
  }
};

template <typename T>
using Series = std::map<MetricLabels, T>;
template <typename T>
using Family = std::map<std::string, Series<T>, std::less<>>;

template <typename T>
[[nodiscard]] const T* Lookup(const Family<T>& family,
                              std::string_view name,
                              const MetricLabels& labels) {
  const auto series = family.find(name);
  if (series == family.end())
    return nullptr;
  const auto found = series->second.find(labels);
  return found == series->second.end() ? nullptr : &found->second;
}

[[nodiscard]] std::string Escape(const std::string& value) {
  std::string text;
  for (const char c : value) {
    if (c == '\\' || c == '"')
      text += '\\';
    if (c == '\n')
      text += "\\n";
    else
      text += c;
  }
  return text;
}

// Formats labels as {team="..",class=".."}; `extra` is a further label or
// empty.
[[nodiscard]] std::string LabelText(const MetricLabels& labels,
                                    const std::string& extra = "") {
  std::string text;
  const auto add = [&text](const std::string& part) {
    text += (text.empty() ? "" : ",") + part;
  };
  if (!labels.team.empty())
    add("team=\"" + Escape(labels.team) + "\"");
  if (!labels.class_name.empty())
    add("class=\"" + Escape(labels.class_name) + "\"");
  if (!extra.empty())
    add(extra);
  return text.empty() ? "" : "{" + text + "}";
}

void WriteDurations(std::ostream& out,
                    const std::string& name,
                    const MetricLabels& labels,
                    const Durations& durations) {
  const auto bucket = [&](const std::string& bound, std::uint64_t count) {
    out << name << "_bucket" << LabelText(labels, "le=\"" + bound + "\"") << " "
        << count << "\n";
  };
  std::uint64_t cumulative = durations.bins.at(-1);
  bucket("1", cumulative);
  for (int octave = 0; octave < kOctaves; ++octave) {
    for (int i = 0; i < kBinsPerOctave; ++i)
      cumulative += durations.bins.at(octave * kBinsPerOctave + i);
    bucket(std::to_string(1L << (octave + 1)), cumulative);
  }
  bucket("+Inf", durations.count);
  out << name << "_sum" << LabelText(labels) << " " << durations.sum.count()
      << "\n"
      << name << "_count" << LabelText(labels) << " " << durations.count
      << "\n";
}

[[nodiscard]] Json LabelJson(const std::string& name,
                             const MetricLabels& labels) {
  Json json;
  json["name"] = name;
  json["team"] = labels.team;
  json["class"] = labels.class_name;
  return json;
}

}  // namespace

struct Metrics::Impl {
  template <typename T>
  T& Find(Family<T>& family,
          std::string_view name,
          const MetricLabels& labels) {
    auto found = family.find(name);
    if (found == family.end())
      found = family.emplace(std::string(name), Series<T>()).first;
    Series<T>& series = found->second;
    if (const auto entry = series.find(labels); entry != series.end())
      return entry->second;
    const MetricLabels other{std::string(kOverflowLabel),
                             std::string(kOverflowLabel)};
    const std::size_t named = series.size() - series.count(other);
    if (named < max_label_sets || labels == other)
      return series[labels];
    if (!series.contains(other)) {
      LogEvent(EventId::kBoundReached,
               {{"bound", "metric_label_sets"},
                {"metric", name},
                {"limit", static_cast<unsigned long>(max_label_sets)}});
    }
    return series[other];
  }

  std::size_t max_label_sets;
  Family<std::uint64_t> counters;
  Family<double> gauges;
  Family<Durations> durations;
};

Metrics::Metrics(std::size_t max_label_sets)
    : impl_(std::make_unique<Impl>(Impl{max_label_sets, {}, {}, {}})) {}

Metrics::~Metrics() = default;

void Metrics::Count(std::string_view name,
                    const MetricLabels& labels,
                    std::uint64_t n) {
  impl_->Find(impl_->counters, name, labels) += n;
}

void Metrics::Gauge(std::string_view name,
                    const MetricLabels& labels,
                    double value) {
  impl_->Find(impl_->gauges, name, labels) = value;
}

void Metrics::Observe(std::string_view name,
                      const MetricLabels& labels,
                      Millis duration) {
  impl_->Find(impl_->durations, name, labels).Add(duration);
}

std::uint64_t Metrics::counter(std::string_view name,
                               const MetricLabels& labels) const {
  const auto* value = Lookup(impl_->counters, name, labels);
  return value == nullptr ? 0 : *value;
}

DurationSummary Metrics::durations(std::string_view name,
                                   const MetricLabels& labels) const {
  const auto* value = Lookup(impl_->durations, name, labels);
  return value == nullptr ? DurationSummary() : value->Summary();
}

std::string Metrics::PrometheusText() const {
  std::ostringstream out;
  const BuildInfo& build = build_info();
  out << "# TYPE boragewinch_build_info "
         "gauge\nboragewinch_build_info{version=\""
      << build.version << "\",revision=\"" << build.revision << "\"} 1\n";
  for (const auto& [name, series] : impl_->counters) {
    const std::string full = "boragewinch_" + name + "_total";
    out << "# TYPE " << full << " counter\n";
    for (const auto& [labels, value] : series)
      out << full << LabelText(labels) << " " << value << "\n";
  }
  for (const auto& [name, series] : impl_->gauges) {
    const std::string full = "boragewinch_" + name;
    out << "# TYPE " << full << " gauge\n";
    for (const auto& [labels, value] : series)
      out << full << LabelText(labels) << " " << value << "\n";
  }
  for (const auto& [name, series] : impl_->durations) {
    const std::string full = "boragewinch_" + name + "_ms";
    out << "# TYPE " << full << " histogram\n";
    for (const auto& [labels, value] : series)
      WriteDurations(out, full, labels, value);
  }
  return out.str();
}

Json Metrics::ToJson() const {
  Json json;
  Json& counters = json["counters"] = Json(::Json::arrayValue);
  for (const auto& [name, series] : impl_->counters) {
    for (const auto& [labels, value] : series) {
      Json item = LabelJson(name, labels);
      item["value"] = ::Json::UInt64(value);
      counters.append(std::move(item));
    }
  }
  Json& gauges = json["gauges"] = Json(::Json::arrayValue);
  for (const auto& [name, series] : impl_->gauges) {
    for (const auto& [labels, value] : series) {
      Json item = LabelJson(name, labels);
      item["value"] = value;
      gauges.append(std::move(item));
    }
  }
  Json& durations = json["durations"] = Json(::Json::arrayValue);
  for (const auto& [name, series] : impl_->durations) {
    for (const auto& [labels, value] : series) {
      const DurationSummary summary = value.Summary();
      Json item = LabelJson(name, labels);
      item["count"] = ::Json::UInt64(summary.count);
      item["median_ms"] = ::Json::Int64(summary.median.count());
      item["p99_ms"] = ::Json::Int64(summary.p99.count());
      item["max_ms"] = ::Json::Int64(summary.max.count());
      item["sum_ms"] = ::Json::Int64(summary.sum.count());
      durations.append(std::move(item));
    }
  }
  return json;
}

}  // namespace boragewinch
