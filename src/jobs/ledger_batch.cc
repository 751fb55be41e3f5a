#include "jobs/ledger_batch.h"

#include <cstddef>
#include <iterator>
#include <map>
#include <utility>

#include "base/wire.h"
#include "jobs/run_tables.h"

namespace boragewinch::jobs {

namespace {

/// First byte of the binary format. Earlier versions wrote a JSON object, whose
/// first byte is a brace.
constexpr char kBinaryFormat = 1;
constexpr std::size_t kMaxDocumentBytes = 64UL * 1024 * 1024;

/// \brief Writes runs and their workers; job and worker ids go into tables.
class RunWriter {
 public:
  void Write(const RunName& run,
             const WorkerIncarnation& worker,
             WireWriter* out) {
    jobs_.Write(run, out);
    const auto [it, added] = indexes_.try_emplace(worker, indexes_.size());
    if (added) {
      workers_.Text(worker.id.str());
      workers_.Signed(worker.start_time);
    }
    out->Number(it->second);
  }
  void WriteTo(WireWriter* out) const {
    jobs_.WriteTo(out);
    out->Number(indexes_.size());
    out->Append(workers_);
  }

 private:
  JobTableWriter jobs_;
  std::map<WorkerIncarnation, std::size_t> indexes_;
  WireWriter workers_;
};

/// \brief Reads what RunWriter wrote.
class RunReader {
 public:
  explicit RunReader(WireReader* in) : in_(*in), jobs_(in) {
    for (std::size_t left = in_.Count(kMaxWireRows); left > 0; --left) {
      WorkerId id{std::string(in_.Text(kMaxWireNameBytes))};
      workers_.push_back({std::move(id), in_.Signed()});
    }
  }
  void Read(RunName* run, WorkerIncarnation* worker) {
    *run = jobs_.Read();
    const std::uint64_t index = in_.Number();
    if (index < workers_.size())
      *worker = workers_[index];
    else
      in_.SetError("worker index of a run out of range");
  }

 private:
  WireReader& in_;
  JobTable jobs_;
  std::vector<WorkerIncarnation> workers_;
};

[[nodiscard]] Status RunFromJson(const Json& row,
                                 RunName* run,
                                 WorkerIncarnation* worker) {
  const bool valid = row.isArray() && row.size() >= 7 && row[0].isString() &&
                     row[1].isUInt() && row[2].isUInt() && row[3].isUInt() &&
                     row[4].isUInt() && row[5].isString() && row[6].isInt64();
  if (!valid)
    return Fail(ErrorCode::kInvalidField, "malformed row of a run");
  run->task = {JobId(row[0].asString()), row[1].asUInt(), row[2].asUInt(),
               row[3].asUInt()};
  run->number = row[4].asUInt();
  worker->id = WorkerId(row[5].asString());
  worker->start_time = row[6].asInt64();
  return Ok();
}

[[nodiscard]] Result<EndRecord> EndFromJson(const Json& row) {
  EndRecord end;
  BW_CHECK(RunFromJson(row, &end.run, &end.worker));
  const bool valid = row.size() == 10 && row[7].isString() &&
                     row[8].isInt64() && row[9].isString();
  const auto how =
      valid ? kRunEnds.Parse(row[7].asString()) : std::optional<RunEnd>();
  if (!how)
    return Fail(ErrorCode::kInvalidField, "malformed row of a run end");
  end.how = *how;
  end.end_sequence = row[8].asInt64();
  end.checkpoint = row[9].asString();
  return end;
}

[[nodiscard]] Json ToJson(const Submission& submission) {
  Json json;
  json["id"] = submission.id.str();
  json["queue"] = submission.queue.str();
  json["customer"] = submission.customer.str();
  json["job"] = ToJson(submission.spec);
  json["host"] = submission.virtual_host;
  json["prefix"] = submission.path_prefix;
  return json;
}

[[nodiscard]] Result<Submission> SubmissionFromJson(const Json& json) {
  Submission submission;
  BW_TRY(const std::string id, StoredText(json, "id"));
  submission.id = JobId(id);
  BW_TRY(const std::string queue, StoredText(json, "queue"));
  submission.queue = QueueName(queue);
  BW_TRY(const std::string customer, StoredText(json, "customer"));
  submission.customer = CustomerName(customer);
  BW_TRY(submission.spec, JobSpecFromJson(json["job"]));
  BW_TRY(submission.virtual_host, StoredTextOrEmpty(json, "host"));
  BW_TRY(submission.path_prefix, StoredTextOrEmpty(json, "prefix"));
  return submission;
}

[[nodiscard]] Result<StartRecord> StartFromJson(const Json& row) {
  StartRecord start;
  BW_CHECK(RunFromJson(row, &start.run, &start.worker));
  return start;
}

[[nodiscard]] Json ToJson(const OpeningRecord& opening) {
  Json row(::Json::arrayValue);
  row.append(opening.job.str());
  row.append(opening.occurrence);
  return row;
}

[[nodiscard]] Result<OpeningRecord> OpeningFromJson(const Json& row) {
  if (!row.isArray() || row.size() != 2 || !row[0].isString() ||
      !row[1].isUInt()) {
    return Fail(ErrorCode::kInvalidField,
                "malformed row of an opened occurrence");
  }
  return OpeningRecord{JobId(row[0].asString()), row[1].asUInt()};
}

[[nodiscard]] Json ToJson(const UnseenCancel& cancel) {
  Json json;
  json["id"] = cancel.id.str();
  json["host"] = cancel.virtual_host;
  json["prefix"] = cancel.path_prefix;
  json["customer"] = cancel.customer.str();
  return json;
}

[[nodiscard]] Result<UnseenCancel> UnseenCancelFromJson(const Json& json) {
  UnseenCancel cancel;
  BW_TRY(const std::string id, StoredText(json, "id"));
  cancel.id = JobId(id);
  BW_TRY(cancel.virtual_host, StoredText(json, "host"));
  BW_TRY(cancel.path_prefix, StoredText(json, "prefix"));
  BW_TRY(const std::string customer, StoredText(json, "customer"));
  cancel.customer = CustomerName(customer);
  return cancel;
}

[[nodiscard]] Json ToJson(const WaveProgress& progress) {
  Json row(::Json::arrayValue);
  row.append(::Json::Int64(progress.wave));
  row.append(progress.host.str());
  return row;
}

[[nodiscard]] Result<WaveProgress> ProgressFromJson(const Json& row) {
  if (!row.isArray() || row.size() != 2 || !row[0].isInt64() ||
      !row[1].isString()) {
    return Fail(ErrorCode::kInvalidField, "malformed row of wave progress");
  }
  return WaveProgress{row[0].asInt64(), HostName(row[1].asString())};
}

[[nodiscard]] Json ToJson(const ZoneChange& change) {
  Json row(::Json::arrayValue);
  row.append(change.zone.str());
  row.append(change.evacuated);
  return row;
}

[[nodiscard]] Result<ZoneChange> ZoneChangeFromJson(const Json& row) {
  if (!row.isArray() || row.size() != 2 || !row[0].isString() ||
      !row[1].isBool()) {
    return Fail(ErrorCode::kInvalidField, "malformed row of a zone");
  }
  return ZoneChange{ZoneName(row[0].asString()), row[1].asBool()};
}

template <typename T>
void PutAll(Json* json, const char* name, const std::vector<T>& items) {
  for (const T& item : items)
    (*json)[name].append(ToJson(item));
}

template <typename T, typename Read>
[[nodiscard]] Status ReadAll(const Json& json,
                             const char* name,
                             const Read& read,
                             std::vector<T>* items) {
  for (const Json& row : json[name]) {
    BW_TRY(T item, read(row));
    items->push_back(std::move(item));
  }
  return Ok();
}

template <typename T>
void AppendAll(std::vector<T>* items, std::vector<T> more) {
  items->insert(items->end(), std::make_move_iterator(more.begin()),
                std::make_move_iterator(more.end()));
}

}  // namespace

void Batch::Append(Batch other) {
  if (other.config && (!config || config->version < other.config->version))
    config = std::move(other.config);
  AppendAll(&workers, std::move(other.workers));
  AppendAll(&submissions, std::move(other.submissions));
  AppendAll(&cancels, std::move(other.cancels));
  AppendAll(&unseen_cancels, std::move(other.unseen_cancels));
  AppendAll(&openings, std::move(other.openings));
  AppendAll(&begun, std::move(other.begun));
  AppendAll(&confirmed, std::move(other.confirmed));
  AppendAll(&ends, std::move(other.ends));
  AppendAll(&starts, std::move(other.starts));
  AppendAll(&waves, std::move(other.waves));
  AppendAll(&progress, std::move(other.progress));
  AppendAll(&host_orders, std::move(other.host_orders));
  AppendAll(&zone_changes, std::move(other.zone_changes));
}

Json ToJson(const WorkerRecord& record) {
  Json json;
  json["id"] = record.incarnation.id.str();
  json["born"] = ::Json::Int64(record.incarnation.start_time);
  json["address"] = record.address;
  json["host"] = record.host.str();
  json["pool"] = record.pool.str();
  json["zone"] = record.zone.str();
  json["rack"] = record.rack.str();
  json["labels"] = Json(::Json::arrayValue);
  for (const std::string& label : record.labels)
    json["labels"].append(label);
  json["capacity"] = ResourcesToJson(record.capacity);
  json["draining"] = record.draining;
  json["departed"] = record.departed;
  return json;
}

Result<WorkerRecord> WorkerRecordFromJson(const Json& json) {
  WorkerRecord record;
  BW_TRY(const std::string id, StoredText(json, "id"));
  record.incarnation.id = WorkerId(id);
  BW_TRY(record.incarnation.start_time, IntField(json, "born", 0, kMaxNumber));
  BW_TRY(record.address, StoredText(json, "address"));
  BW_TRY(const std::string host, StoredTextOrEmpty(json, "host"));
  record.host = HostName(host);
  BW_TRY(const std::string pool, StoredText(json, "pool"));
  record.pool = PoolName(pool);
  BW_TRY(const std::string zone, StoredText(json, "zone"));
  record.zone = ZoneName(zone);
  BW_TRY(const std::string rack, StoredText(json, "rack"));
  record.rack = RackName(rack);
  for (const Json& label : json["labels"]) {
    if (!label.isString())
      return Fail(ErrorCode::kInvalidField, "worker label is not a string");
    record.labels.push_back(label.asString());
  }
  BW_TRY(record.capacity, ResourcesFromJson(json["capacity"]));
  BW_TRY(record.draining, BoolField(json, "draining"));
  BW_TRY(record.departed, BoolField(json, "departed"));
  return record;
}

Json ToJson(const HostOrderRecord& order) {
  Json json;
  json["host"] = order.host.str();
  json["term"] = ::Json::UInt64(order.term);
  json["wave"] = ::Json::Int64(order.wave);
  json["to"] = order.to.str();
  return json;
}

Result<HostOrderRecord> HostOrderFromJson(const Json& json) {
  HostOrderRecord order;
  BW_TRY(const std::string host, StoredText(json, "host"));
  order.host = HostName(host);
  BW_TRY(const std::int64_t term, IntField(json, "term", 0, kMaxNumber));
  order.term = static_cast<std::uint64_t>(term);
  BW_TRY(order.wave, IntField(json, "wave", 0, kMaxNumber));
  BW_TRY(const std::string to, StoredText(json, "to"));
  order.to = PoolName(to);
  return order;
}

Json ToJson(const WaveOrder& order) {
  Json json;
  json["number"] = ::Json::Int64(order.number);
  json["hosts"] = Json(::Json::arrayValue);
  for (const HostName& host : order.hosts)
    json["hosts"].append(host.str());
  json["duration_ms"] = ::Json::Int64(order.duration.count());
  json["at_once"] = ::Json::Int64(order.at_once);
  return json;
}

Result<WaveOrder> WaveOrderFromJson(const Json& json) {
  WaveOrder order;
  BW_TRY(order.number, IntField(json, "number", 0, kMaxNumber));
  for (const Json& host : json["hosts"]) {
    if (!host.isString())
      return Fail(ErrorCode::kInvalidField, "host of a wave is not a string");
    order.hosts.emplace_back(host.asString());
  }
  BW_TRY(const std::int64_t duration,
         IntField(json, "duration_ms", 0, kMaxNumber));
  order.duration = Millis(duration);
  BW_TRY(order.at_once, IntField(json, "at_once", 1, kMaxNumber));
  return order;
}

namespace {

/// \returns the members of a batch other than starts and ends as JSON, or null
/// if all of them are empty.
[[nodiscard]] Json OtherMembersToJson(const Batch& batch) {
  Json json;
  if (batch.config)
    json["rules"] = ToJson(*batch.config);
  PutAll(&json, "workers", batch.workers);
  PutAll(&json, "submit", batch.submissions);
  for (const JobId& id : batch.cancels)
    json["cancel"].append(id.str());
  PutAll(&json, "cancel_unseen", batch.unseen_cancels);
  PutAll(&json, "open", batch.openings);
  PutAll(&json, "begun", batch.begun);
  PutAll(&json, "confirmed", batch.confirmed);
  PutAll(&json, "waves", batch.waves);
  PutAll(&json, "progress", batch.progress);
  PutAll(&json, "host_orders", batch.host_orders);
  PutAll(&json, "zones", batch.zone_changes);
  return json;
}

[[nodiscard]] Status ReadOtherMembers(const Json& json, Batch* batch) {
  if (!json.isObject())
    return Fail(ErrorCode::kInvalidField, "batch is not a JSON object");
  if (json.isMember("rules")) {
    BW_TRY(batch->config, FleetConfigFromJson(json["rules"]));
  }
  BW_CHECK(ReadAll(json, "workers", WorkerRecordFromJson, &batch->workers));
  BW_CHECK(ReadAll(json, "submit", SubmissionFromJson, &batch->submissions));
  for (const Json& id : json["cancel"]) {
    if (!id.isString())
      return Fail(ErrorCode::kInvalidField,
                  "id of a cancelled job is not a string");
    batch->cancels.emplace_back(id.asString());
  }
  BW_CHECK(ReadAll(json, "cancel_unseen", UnseenCancelFromJson,
                   &batch->unseen_cancels));
  BW_CHECK(ReadAll(json, "open", OpeningFromJson, &batch->openings));
  BW_CHECK(ReadAll(json, "begun", RunNameFromJson, &batch->begun));
  BW_CHECK(ReadAll(json, "confirmed", RunNameFromJson, &batch->confirmed));
  BW_CHECK(ReadAll(json, "waves", WaveOrderFromJson, &batch->waves));
  BW_CHECK(ReadAll(json, "progress", ProgressFromJson, &batch->progress));
  BW_CHECK(
      ReadAll(json, "host_orders", HostOrderFromJson, &batch->host_orders));
  return ReadAll(json, "zones", ZoneChangeFromJson, &batch->zone_changes);
}

/// Reads an entry in the JSON format of earlier versions.
[[nodiscard]] Result<Batch> DecodeJsonBatch(std::string_view bytes) {
  BW_TRY(const Json json, ParseTrustedJson(bytes));
  Batch batch;
  BW_CHECK(ReadOtherMembers(json, &batch));
  BW_TRY(batch.now, IntField(json, "now", 0, kMaxNumber));
  BW_CHECK(ReadAll(json, "end", EndFromJson, &batch.ends));
  BW_CHECK(ReadAll(json, "start", StartFromJson, &batch.starts));
  return batch;
}

}  // namespace

std::string EncodeBatch(const Batch& batch) {
  RunWriter runs;
  WireWriter rows;
  rows.Number(batch.starts.size());
  for (const StartRecord& start : batch.starts)
    runs.Write(start.run, start.worker, &rows);
  rows.Number(batch.ends.size());
  for (const EndRecord& end : batch.ends) {
    runs.Write(end.run, end.worker, &rows);
    rows.Enum(end.how);
    rows.Signed(end.end_sequence);
    rows.Text(end.checkpoint);
  }
  const Json others = OtherMembersToJson(batch);
  WireWriter out;
  out.Number(kBinaryFormat);
  out.Signed(batch.now);
  out.Text(others.isNull() ? "" : WriteJson(others));
  runs.WriteTo(&out);
  out.Append(rows);
  return out.Take();
}

Result<Batch> DecodeBatch(std::string_view bytes) {
  if (bytes.empty() || bytes.front() != kBinaryFormat)
    return DecodeJsonBatch(bytes);
  WireReader in(bytes.substr(1));
  Batch batch;
  batch.now = in.Signed();
  if (const std::string_view others = in.Text(kMaxDocumentBytes);
      !others.empty()) {
    BW_TRY(const Json json, ParseTrustedJson(others));
    BW_CHECK(ReadOtherMembers(json, &batch));
  }
  RunReader runs(&in);
  const std::size_t starts = in.Count(kMaxWireRows);
  batch.starts.reserve(starts);
  for (std::size_t i = 0; i < starts && !in.failed(); ++i) {
    StartRecord& start = batch.starts.emplace_back();
    runs.Read(&start.run, &start.worker);
  }
  const std::size_t ends = in.Count(kMaxWireRows);
  batch.ends.reserve(ends);
  for (std::size_t i = 0; i < ends && !in.failed(); ++i) {
    EndRecord& end = batch.ends.emplace_back();
    runs.Read(&end.run, &end.worker);
    end.how = in.Enum(kRunEnds);
    end.end_sequence = in.Signed();
    end.checkpoint = in.Text(kMaxDocumentBytes);
  }
  BW_CHECK(in.Finish());
  return batch;
}

}  // namespace boragewinch::jobs
