// usage: review-2 CASE RECORD. Exits with 1 if the rule was broken, 0 if it
// held and 2 if the case could not run.

#include <curl/curl.h>

#include <csignal>
#include <cstdio>
#include <string>

#include "base/event_log.h"
#include "lab.h"

int main(int argc, char** argv) {
  if (argc != 3)
    return review::kCouldNotRun;
  signal(SIGPIPE, SIG_IGN);
  curl_global_init(CURL_GLOBAL_DEFAULT);
  boragewinch::ConfigureEventLog("review-2", boragewinch::EventLevel::kError,
                                 boragewinch::EventStream::kStandardError);
  const std::string name = argv[1];
  review::Lab lab(argv[2]);
  int code = review::kCouldNotRun;
  if (name == "log-stall")
    code = review::LogStall(lab);
  else if (name == "late-leave")
    code = review::LateLeave(lab);
  else if (name == "cancelled-unseen")
    code = review::CancelledUnseen(lab);
  else if (name == "advice-beyond")
    code = review::AdviceBeyond(lab);
  else if (name == "config-growth")
    code = review::ConfigGrowth(lab);
  else if (name == "replaced-route")
    code = review::ReplacedRoute(lab);
  lab.Note("exit code " + std::to_string(code));
  return code;
}
