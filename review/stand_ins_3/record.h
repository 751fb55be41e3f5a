#ifndef REVIEW_STAND_INS_3_RECORD_H_
#define REVIEW_STAND_INS_3_RECORD_H_

#include <cstdio>
#include <mutex>
#include <string>

#include "http.h"

namespace review {

/// The time since the start of the process, in milliseconds.
inline long SinceStart() {
  static const Clock::time_point start = Clock::now();
  return static_cast<long>(
      std::chrono::duration_cast<Millis>(Clock::now() - start).count());
}

/// Writes one line of the record: what was sent, answered or run.
inline void Record(const std::string& line) {
  static std::mutex mutex;
  const std::lock_guard lock(mutex);
  const long at = SinceStart();
  std::printf("%4ld.%03ld %s\n", at / 1000, at % 1000, line.c_str());
  std::fflush(stdout);
}

}  // namespace review

#endif  // REVIEW_STAND_INS_3_RECORD_H_
