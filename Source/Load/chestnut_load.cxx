#include <iostream>

#include "Control/command_line.h"
#include "Load/load_options.h"
#include "Load/runner.h"

namespace {

using chestnuthead::load_options;

constexpr int failed_checks_status = 1;
constexpr int usage_status = 2;

// Returns an error message if the options are invalid, or an empty string.
std::string find_option_error(const load_options& options) {
  if (options.routers.empty()) {
    return "The option --routers is missing; one or more addresses such as 127.0.0.1:8080 were "
           "expected.";
  }
  if (options.customers.empty()) {
    return "The option --customers is empty; one or more names were expected.";
  }
  if (options.concurrency == 0) {
    return "The option --concurrency is 0; a number above zero was expected.";
  }
  if (options.only_model && options.only_service) {
    return "The options --only-model and --only-service exclude each other.";
  }
  return "";
}

}  // namespace

int main(int argc, char** argv) {
  load_options options;
  const auto done = chestnuthead::handle_command_line(
      argc, argv,
      "Plays chats, long plans, quick checks, look-ups and at-most-once calls against routers,\n"
      "checks every answer, and prints one line of JSON. Exit status 0: every request got a\n"
      "whole, own and true outcome; 1: some did not; 2: wrong options.",
      {{"routers", &options.routers, "Addresses of routers, separated by commas."},
       {"requests", &options.requests, "Requests to play."},
       {"seed", &options.seed, "Seed of what is played."},
       {"rate", &options.rate, "Sessions begun a second; 0 begins all at once."},
       {"concurrency", &options.concurrency, "Calls in flight at most."},
       {"customers", &options.customers, "Customers, separated by commas."},
       {"model", &options.model, "Model that chats, plans and checks go to."},
       {"service", &options.service, "Plain service of the other calls."},
       {"call-path", &options.call_path, "Path of at-most-once calls."},
       {"lookup-path", &options.lookup_path, "Path of look-ups."},
       {"pause-ms", &options.pause_ms, "Mean pause between turns of a chat."},
       {"patience-ms", &options.patience_ms, "Time that a caller asks for one answer."},
       {"executions-from", &options.executions_from, "Plain services to compare with."},
       {"model-endpoints", &options.model_endpoints, "Number of model endpoints, for the skew."},
       {"only-model", &options.only_model, "Play calls to the model only."},
       {"only-service", &options.only_service, "Play calls to the plain service only."}});
  if (done) {
    return *done;
  }
  const std::string error = find_option_error(options);
  if (!error.empty()) {
    std::cerr << error << "\n";
    return usage_status;
  }
  const auto start = std::chrono::steady_clock::now();
  chestnuthead::tally total = chestnuthead::run_load(options);
  const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now() - start);
  chestnuthead::check_executions(total, options);
  std::cout << chestnuthead::summarise(total, options.model_endpoints, elapsed) << std::endl;
  return chestnuthead::all_checks_passed(total) ? 0 : failed_checks_status;
}
