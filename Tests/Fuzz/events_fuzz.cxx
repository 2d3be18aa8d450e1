#include <algorithm>
#include <string>

#include "Fuzz/fuzz_input.h"
#include "Gateway/event_stream.h"

/// Event streams of endpoints: how their bytes are cut must not matter, and only
/// bytes that came are passed on.
namespace chestnuthead {

namespace {

struct outcome {
  gateway::event_splitter splitter;
  std::string passed;
};

outcome split_in_pieces(std::string_view bytes, std::size_t piece) {
  outcome result;
  for (std::size_t begin = 0; begin < bytes.size() && result.splitter.sound; begin += piece) {
    split_events(result.splitter, bytes.substr(begin, piece), result.passed);
  }
  return result;
}

}  // namespace

void fuzz(std::string_view input) {
  const fuzz_choice choice = choose(input);
  const outcome whole = split_in_pieces(choice.rest, std::max<std::size_t>(1, choice.rest.size()));
  const outcome cut = split_in_pieces(choice.rest, 1 + choice.number % 16);
  require(whole.splitter.sound == cut.splitter.sound,
          "a fault does not depend on how bytes are cut");
  if (whole.splitter.sound) {
    require(whole.passed == cut.passed, "events do not depend on how bytes are cut");
    require(whole.splitter.partial == cut.splitter.partial,
            "what is not whole does not depend on how bytes are cut");
  }
  require(whole.passed.size() + whole.splitter.partial.size() <= choice.rest.size(),
          "no byte is passed that did not come");
}

}  // namespace chestnuthead
