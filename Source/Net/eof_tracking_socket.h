#pragma once

#include <atomic>

#include <Poco/Net/StreamSocketImpl.h>

namespace chestnuthead {

/// A socket that records whether the peer closed the connection while more
/// bytes were being read. Poco's HTTP streams report end of file for a complete
/// and for a truncated answer alike. An answer with a Content-Length or in
/// chunks is read only up to its last byte, so end of file on the socket means
/// that it was truncated.
class eof_tracking_socket : public Poco::Net::StreamSocketImpl {
 public:
  int receiveBytes(void* buffer, int length, int flags) override {
    const int size = StreamSocketImpl::receiveBytes(buffer, length, flags);
    if (size == 0) {
      this->eof_seen = true;
    }
    return size;
  }

  [[nodiscard]] bool saw_eof() const {
    return this->eof_seen;
  }

 private:
  std::atomic<bool> eof_seen{false};
};

}  // namespace chestnuthead
