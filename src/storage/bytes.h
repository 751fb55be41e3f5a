#ifndef BORAGEWINCH_STORAGE_BYTES_H_
#define BORAGEWINCH_STORAGE_BYTES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace boragewinch {

/// \brief Appends `value` as 8 bytes in little-endian order.
inline void PutU64(std::string* out, std::uint64_t value) {
  for (int shift = 0; shift < 64; shift += 8)
    out->push_back(static_cast<char>((value >> shift) & 0xff));
}

/// \brief Reads numbers written by PutU64 and raw bytes.
class ByteReader {
 public:
  explicit ByteReader(std::string_view bytes) noexcept : rest_(bytes) {}

  /// \returns the next 8 bytes as a number, or nothing if fewer remain.
  [[nodiscard]] std::optional<std::uint64_t> U64() noexcept {
    const auto bytes = Take(8);
    if (!bytes)
      return std::nullopt;
    std::uint64_t value = 0;
    for (int i = 7; i >= 0; --i)
      value = value << 8 | static_cast<unsigned char>((*bytes)[i]);
    return value;
  }

  /// \returns the next `count` bytes, or nothing if fewer remain.
  [[nodiscard]] std::optional<std::string_view> Take(
      std::uint64_t count) noexcept {
    if (count > rest_.size())
      return std::nullopt;
    const std::string_view taken = rest_.substr(0, count);
    rest_.remove_prefix(count);
    return taken;
  }

  [[nodiscard]] std::string_view rest() const noexcept { return rest_; }

 private:
  std::string_view rest_;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_STORAGE_BYTES_H_
