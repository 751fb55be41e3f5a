#ifndef BORAGEWINCH_BASE_WIRE_H_
#define BORAGEWINCH_BASE_WIRE_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <utility>

#include "base/enum_table.h"
#include "base/result.h"

namespace boragewinch {

/// \brief Writes the binary encoding of log entries and of messages between
/// processes: numbers as LEB128, strings with a length prefix.
class WireWriter {
 public:
  void Number(std::uint64_t value) {
    constexpr std::uint64_t kMore = 0x80;
    for (; value >= kMore; value >>= 7)
      bytes_.push_back(static_cast<char>(value | kMore));
    bytes_.push_back(static_cast<char>(value));
  }
  /// Zigzag encoding: small absolute values take few bytes.
  void Signed(std::int64_t value) {
    Number((static_cast<std::uint64_t>(value) << 1) ^
           static_cast<std::uint64_t>(value >> 63));
  }
  void Flag(bool value) { bytes_.push_back(value ? 1 : 0); }
  void Text(std::string_view text) {
    Number(text.size());
    bytes_.append(text);
  }
  /// \param value of an enumeration whose values are 0, 1, 2 and so on.
  template <typename E>
  void Enum(E value) {
    Number(static_cast<std::uint64_t>(value));
  }
  /// \brief Appends the output of another writer.
  void Append(const WireWriter& other) { bytes_ += other.bytes_; }

  [[nodiscard]] const std::string& bytes() const noexcept { return bytes_; }
  [[nodiscard]] std::string Take() { return std::move(bytes_); }

 private:
  std::string bytes_;
};

/// \brief Decodes the output of WireWriter from an untrusted source. After the
/// first error every value reads as 0 or empty, so a decoder needs to check for
/// errors only once, before it uses the values.
class WireReader {
 public:
  explicit WireReader(std::string_view bytes) noexcept : rest_(bytes) {}

  [[nodiscard]] std::uint64_t Number(
      std::uint64_t high = std::numeric_limits<std::uint64_t>::max()) {
    std::uint64_t value = 0;
    for (unsigned shift = 0; shift < 64 && !rest_.empty(); shift += 7) {
      const auto byte = static_cast<unsigned char>(rest_.front());
      rest_.remove_prefix(1);
      const std::uint64_t part = byte & 0x7fU;
      if (shift == 63 && part > 1)
        break;
      value |= part << shift;
      if ((byte & 0x80U) == 0)
        return value <= high ? value : SetError("number is out of range");
    }
    return SetError("number is truncated or too long");
  }
  [[nodiscard]] std::uint32_t Number32() {
    return static_cast<std::uint32_t>(
        Number(std::numeric_limits<std::uint32_t>::max()));
  }
  [[nodiscard]] std::int64_t Signed() {
    const std::uint64_t value = Number();
    return static_cast<std::int64_t>((value >> 1) ^ (~(value & 1) + 1));
  }
  [[nodiscard]] bool Flag() { return Number(1) == 1; }
  /// \returns a view into the bytes passed to the constructor.
  [[nodiscard]] std::string_view Text(std::size_t max_bytes) {
    const std::uint64_t size = Number();
    if (size > max_bytes) {
      SetError("string is too long", ErrorCode::kTooLarge);
      return {};
    }
    if (size > rest_.size()) {
      SetError("string is truncated");
      return {};
    }
    const std::string_view text = rest_.substr(0, size);
    rest_.remove_prefix(size);
    return text;
  }
  /// \returns the number of items that follow, each at least one byte long.
  [[nodiscard]] std::size_t Count(std::size_t high) {
    const std::uint64_t count = Number();
    if (count > high)
      return SetError("too many items", ErrorCode::kTooLarge);
    if (count > rest_.size())
      return SetError("list is truncated");
    return count;
  }
  template <typename E, std::size_t N>
  [[nodiscard]] E Enum(const EnumTable<E, N>&) {
    return static_cast<E>(Number(N - 1));
  }
  /// \brief Records a decoding error; the first one is kept.
  std::uint64_t SetError(const char* what,
                         ErrorCode code = ErrorCode::kInvalidField) {
    if (error_ == nullptr) {
      error_ = what;
      code_ = code;
    }
    rest_ = {};
    return 0;
  }

  [[nodiscard]] bool failed() const noexcept { return error_ != nullptr; }
  [[nodiscard]] bool empty() const noexcept { return rest_.empty(); }
  /// \returns kInvalidField or kTooLarge after an error.
  [[nodiscard]] Status Check() const {
    if (error_ != nullptr)
      return Fail(code_, error_);
    return Ok();
  }
  /// \returns the result of Check, or kInvalidField if bytes remain.
  [[nodiscard]] Status Finish() const {
    if (error_ == nullptr && !rest_.empty())
      return Fail(ErrorCode::kInvalidField,
                  "trailing bytes after the last field");
    return Check();
  }

 private:
  std::string_view rest_;
  const char* error_ = nullptr;
  ErrorCode code_ = ErrorCode::kInvalidField;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_BASE_WIRE_H_
