#ifndef BORAGEWINCH_CONTROL_CONTROL_OPTIONS_H_
#define BORAGEWINCH_CONTROL_CONTROL_OPTIONS_H_

#include <cstdint>
#include <map>
#include <string>

#include "base/time.h"
#include "policy/buffer_moves.h"
#include "policy/wave_planner.h"

namespace boragewinch {

/// \brief The checked settings of boraged-control.
struct ControlOptions {
  std::string name;    ///< of this control host
  std::string listen;  ///< "IP:port" for operators and peers
  std::string data;    ///< data directory
  std::map<std::string, std::string> peers;  ///< name -> "IP:port", with self
  std::string platform;  ///< "IP:port" of the platform; empty if none
  std::string cluster_secret;
  std::string operator_secret;
  std::uint64_t snapshot_entries = 8192;
  Millis election_timeout{500};
  WaveConfig waves;
  BufferMoveConfig buffers;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_CONTROL_CONTROL_OPTIONS_H_
