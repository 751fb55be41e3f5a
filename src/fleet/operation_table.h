#ifndef BORAGEWINCH_FLEET_OPERATION_TABLE_H_
#define BORAGEWINCH_FLEET_OPERATION_TABLE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "base/json.h"
#include "base/result.h"
#include "base/strong_id.h"
#include "fleet/command_result.h"

namespace boragewinch {

/// \brief An operation with its first result.
struct StoredOperation {
  std::uint64_t fingerprint = 0;  ///< of the command
  std::string operator_name;
  std::string command;  ///< name of the kind of command
  CommandResult result;
};

/// \brief The last kMaxStoredOperations operations by id. A resent operation
/// gets its first result instead of being executed again.
class OperationTable {
 public:
  /// \returns the operation, or null.
  [[nodiscard]] const StoredOperation* Find(
      const OperationId& id) const noexcept;

  void Store(const OperationId& id, StoredOperation operation);

  /// \returns "operation <id> (<command> by <operator>)" of the first stored
  /// change after `version`, or an empty string.
  [[nodiscard]] std::string FirstChangeAfter(FleetVersion version) const;

  [[nodiscard]] std::size_t size() const noexcept { return order_.size(); }
  /// \returns the operation ids in the table, oldest first.
  [[nodiscard]] const std::deque<OperationId>& order() const noexcept {
    return order_;
  }

  [[nodiscard]] Json Save() const;
  [[nodiscard]] static Result<OperationTable> Load(const Json& json);

 private:
  std::map<OperationId, StoredOperation> operations_;
  std::deque<OperationId> order_;  ///< oldest first
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_FLEET_OPERATION_TABLE_H_
