// File: hangup_watch.h
//
// Notices callers that go away while their connection is not being read.
// libwebsockets reports that only when it reads or writes.
#ifndef SAMPHIREBANK_NET_INTERNAL_HANGUP_WATCH_H_
#define SAMPHIREBANK_NET_INTERNAL_HANGUP_WATCH_H_

#include <functional>
#include <map>

#include "samphirebank/net/internal/loop_impl.h"

namespace samphirebank::net {

// HangupWatch runs an action once when the other side of a socket closes.
class HangupWatch : public RawHandler {
 public:
  explicit HangupWatch(LoopState& state);

  // Watch replaces an earlier watch of the same socket.
  void Watch(int socket, std::function<void()> on_hangup);
  void Unwatch(int socket);

  bool OnReadable() override;
  bool OnWritable() override { return true; }
  void OnClosed() override {}

 private:
  int epoll = -1;
  std::map<int, std::function<void()>> actions;
};

}  // namespace samphirebank::net

#endif  // SAMPHIREBANK_NET_INTERNAL_HANGUP_WATCH_H_
