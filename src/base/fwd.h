#ifndef BORAGEWINCH_BASE_FWD_H_
#define BORAGEWINCH_BASE_FWD_H_

namespace boragewinch {

enum class ErrorCode;
enum class EventId;
enum class EventLevel;
enum class Invariant;
struct Error;
struct SourcePosition;
class Metrics;
class Settings;
class SettingsBuilder;

}  // namespace boragewinch

#endif  // BORAGEWINCH_BASE_FWD_H_
