#ifndef BORAGEWINCH_ENTRY_ENTRY_OPTIONS_H_
#define BORAGEWINCH_ENTRY_ENTRY_OPTIONS_H_

#include <string>
#include <vector>

#include "base/strong_id.h"
#include "base/time.h"
#include "entry/entry_config.h"

namespace boragewinch {

/// \brief The validated settings of boraged-entry.
struct EntryOptions {
  ZoneName zone;
  EntryName name;
  std::string listen;          ///< callers, workers and operators
  std::string peer_listen;     ///< other processes
  std::string peer_advertise;  ///< advertised to other processes; may be empty
  std::vector<std::string> control;  ///< "IP:port" of control hosts
  std::string cluster_secret;
  std::string operator_secret;
  Millis stop_timeout{60'000};
  Millis share_blend{60'000};  ///< transition time to a new sheet's shares
  std::size_t max_record_bytes = kDefaultRecordBytes;
  Millis drain_move_after{30'000};
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_ENTRY_ENTRY_OPTIONS_H_
