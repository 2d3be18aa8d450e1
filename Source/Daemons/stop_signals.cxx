#include "Daemons/stop_signals.h"

#include <csignal>
#include <ctime>

namespace chestnuthead {

namespace {

sigset_t stop_signals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace

void block_stop_signals() {
  const sigset_t signals = stop_signals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

bool wait_for_stop_signal(std::chrono::milliseconds longest) {
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(longest);
  const std::chrono::nanoseconds rest = longest - seconds;
  const timespec time{seconds.count(), rest.count()};
  const sigset_t signals = stop_signals();
  return sigtimedwait(&signals, nullptr, &time) > 0;
}

}  // namespace chestnuthead
