#include "fleet/operation_table.h"

#include <utility>

#include "base/hash.h"
#include "fleet/codec.h"

namespace boragewinch {

const StoredOperation* OperationTable::Find(
    const OperationId& id) const noexcept {
  const auto it = operations_.find(id);
  return it == operations_.end() ? nullptr : &it->second;
}

void OperationTable::Store(const OperationId& id, StoredOperation operation) {
  if (!operations_.emplace(id, std::move(operation)).second)
    return;
  order_.push_back(id);
  if (order_.size() > kMaxStoredOperations) {
    operations_.erase(order_.front());
    order_.pop_front();
  }
}

std::string OperationTable::FirstChangeAfter(FleetVersion version) const {
  std::string text;
  for (auto id = order_.rbegin(); id != order_.rend(); ++id) {
    const StoredOperation& stored = operations_.at(*id);
    // Versions grow along the order, so no older operation can match.
    if (stored.result.version <= version)
      break;
    if (stored.result.changed) {
      text = "operation " + id->str() + " (" + stored.command + " by " +
             stored.operator_name + ")";
    }
  }
  return text;
}

Json OperationTable::Save() const {
  Json json(::Json::arrayValue);
  for (const OperationId& id : order_) {
    const StoredOperation& stored = operations_.at(id);
    Json item = ToJson(stored.result);
    item["operation_id"] = id.str();
    item["fingerprint"] = Hex64(stored.fingerprint);
    item["operator"] = stored.operator_name;
    item["command"] = stored.command;
    json.append(std::move(item));
  }
  return json;
}

Result<OperationTable> OperationTable::Load(const Json& json) {
  OperationTable table;
  for (const Json& item : json) {
    StoredOperation stored;
    BW_TRY(const auto id, NameField<OperationId>(item, "operation_id"));
    BW_TRY(const auto fingerprint, NameText(item, "fingerprint"));
    BW_TRY(stored.operator_name, StringField(item, "operator"));
    BW_TRY(stored.command, StringField(item, "command"));
    BW_TRY(stored.result, CommandResultFromJson(item));
    for (const char digit : fingerprint) {
      const int value = digit <= '9' ? digit - '0' : digit - 'a' + 10;
      if (value < 0 || value > 15) {
        return Fail(ErrorCode::kInvalidField,
                    "field \"fingerprint\" must be hexadecimal");
      }
      stored.fingerprint =
          stored.fingerprint << 4 | static_cast<std::uint64_t>(value);
    }
    table.Store(id, std::move(stored));
  }
  return table;
}

}  // namespace boragewinch
