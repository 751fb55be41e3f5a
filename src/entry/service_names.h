#ifndef BORAGEWINCH_ENTRY_SERVICE_NAMES_H_
#define BORAGEWINCH_ENTRY_SERVICE_NAMES_H_

namespace boragewinch {

/// Names under which the services of boraged-entry look each other up.
inline constexpr char kOutboundService[] = "outbound";
inline constexpr char kEntryService[] = "entry";
inline constexpr char kPeersService[] = "peers";
inline constexpr char kControlService[] = "control";
inline constexpr char kTasksService[] = "tasks";
inline constexpr char kCallersService[] = "callers";
inline constexpr char kOperatorsService[] = "operators";
inline constexpr char kPublicService[] = "public";

}  // namespace boragewinch

#endif  // BORAGEWINCH_ENTRY_SERVICE_NAMES_H_
