// File: client_call.h
//
// The client's side of one HTTP request on a connection of its own.
#ifndef SAMPHIREBANK_NET_INTERNAL_CLIENT_CALL_H_
#define SAMPHIREBANK_NET_INTERNAL_CLIENT_CALL_H_

#include <libwebsockets.h>

#include <memory>
#include <string>
#include <string_view>

#include "samphirebank/http/http.h"
#include "samphirebank/net/internal/loop_impl.h"
#include "samphirebank/net/net.h"

namespace samphirebank::net {

// ClientCallImpl reports exactly one end of its request. The loop's registry
// keeps it until the turn after that.
class ClientCallImpl : public ClientCall, public RawHandler {
 public:
  ClientCallImpl(LoopState& owner, ClientRequest client_request);
  ~ClientCallImpl() override;

  // Start opens the connection; failures are reported from the loop.
  void Start();

  void Cancel() override;
  void PauseReading() override;
  void ResumeReading() override;
  SendState sent() const override { return this->send_state; }

  bool OnReadable() override;
  bool OnWritable() override;
  void OnClosed() override;

 private:
  bool FinishConnecting();
  bool SendSome();
  // The functions below return false when the call has ended.
  bool TakeAnswer();
  bool TakeHead();
  bool TakeBody();
  bool Complete();
  bool Fail(std::string_view detail);
  void SetTimer(Duration limit, std::string_view detail);
  void StopTimer();
  void OnTimeout(std::string_view detail);
  void ReportFailure(std::string_view detail);
  void End();
  void CloseConnection();

  LoopState& impl;
  ClientRequest request;
  int descriptor = -1;  // closed with `wsi`
  lws* wsi = nullptr;
  std::unique_ptr<http::AnswerReader> reader;
  std::string input;   // received and not yet read
  std::string output;  // of the request, not yet sent from `output_sent` on
  size_t output_sent = 0;
  SendState send_state = SendState::kNotSent;
  bool connected = false;
  bool paused = false;
  bool head_taken = false;
  bool ended = false;
  TimerId timer;
};

}  // namespace samphirebank::net

#endif  // SAMPHIREBANK_NET_INTERNAL_CLIENT_CALL_H_
