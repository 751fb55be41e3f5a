#ifndef BORAGEWINCH_FLEET_FWD_H_
#define BORAGEWINCH_FLEET_FWD_H_

namespace boragewinch {

struct Command;
struct CommandResult;
struct EntryReport;
struct FleetDelta;
struct Ledger;
struct Sheet;
struct SheetDiff;
class AllotmentPlanner;
class OperationTable;
class FleetState;
class ReclaimPlanner;

}  // namespace boragewinch

#endif  // BORAGEWINCH_FLEET_FWD_H_
