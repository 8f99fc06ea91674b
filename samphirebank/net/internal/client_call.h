// File: client_call.h
//
// The client's side of one HTTP request on a libwebsockets connection.
#ifndef SAMPHIREBANK_NET_INTERNAL_CLIENT_CALL_H_
#define SAMPHIREBANK_NET_INTERNAL_CLIENT_CALL_H_

#include <libwebsockets.h>

#include <string>
#include <string_view>

#include "samphirebank/net/internal/loop_impl.h"
#include "samphirebank/net/net.h"

namespace samphirebank::net {

// ClientCallImpl reports exactly one end of its request.
class ClientCallImpl : public ClientCall {
 public:
  ClientCallImpl(LoopState& owner, ClientRequest client_request);
  ~ClientCallImpl() override;

  // Start opens the connection; failures are reported from the loop.
  void Start();

  void Cancel() override;
  void PauseReading() override;
  void ResumeReading() override;
  SendState sent() const override { return this->send_state; }

  // What the connection's callbacks report. A false return closes it.
  bool OnAppendHeaders(unsigned char** at, unsigned char* end);
  bool OnWritable();
  bool OnHead();
  bool OnReadable();
  void OnData(std::string_view piece);
  void OnCompleted();
  void OnFailed(std::string_view detail);
  void OnConnectionGone() { this->wsi = nullptr; }

 private:
  // Framing is how the answer's end is known.
  enum class Framing : uint8_t { kNone, kLength, kChunked };

  void ReadFraming(int status);
  bool WholeByFraming() const;
  void SetTimer(Duration limit, std::string_view detail);
  void StopTimer();
  void OnTimeout(std::string_view detail);
  void End();
  void CloseConnection();

  LoopState& impl;
  ClientRequest request;
  std::string host;
  lws* wsi = nullptr;
  size_t body_sent = 0;
  SendState send_state = SendState::kNotSent;
  bool ended = false;
  // read_has_bytes: the read in progress found bytes, not just the closing of
  // the connection.
  bool read_has_bytes = false;
  Framing framing = Framing::kNone;
  Bytes expected;
  Bytes received;
  TimerId timer;
};

}  // namespace samphirebank::net

#endif  // SAMPHIREBANK_NET_INTERNAL_CLIENT_CALL_H_
