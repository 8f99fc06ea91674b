// File: server_stream.h
//
// The server's side of one HTTP request on a libwebsockets connection.
#ifndef SAMPHIREBANK_NET_INTERNAL_SERVER_STREAM_H_
#define SAMPHIREBANK_NET_INTERNAL_SERVER_STREAM_H_

#include <libwebsockets.h>

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "samphirebank/net/internal/loop_impl.h"
#include "samphirebank/net/net.h"

namespace samphirebank::net {

// ServerStreamImpl queues output and writes it when the connection can take
// it. After Detach it has no connection and all calls do nothing.
class ServerStreamImpl : public ServerStream {
 public:
  ServerStreamImpl(LoopState& owner, ServerVhost& vhost, lws* connection,
                   RequestHead request);
  ~ServerStreamImpl() override;

  const RequestHead& head() const override { return this->request_head; }
  void SendHead(int status, std::vector<Header> headers,
                std::optional<Bytes> length) override;
  void Send(std::string_view piece) override;
  void Finish() override;
  void Abort() override;
  void Reply(Response response) override;
  Bytes queued() const override { return this->queued_bytes; }
  bool closed() const override { return this->wsi == nullptr; }

  // RefuseAndClose replies and drops the connection without reading on.
  void RefuseAndClose(int status, std::string_view title);

  // What the connection's callbacks report.
  void OnBody(std::string_view piece);
  void OnBodyEnd();
  // OnWritable returns false when the connection has to close.
  bool OnWritable();
  // Detach ends the stream; tells on_closed if the response was not out.
  void Detach();

 private:
  struct PendingHead {
    int status = 200;
    std::vector<Header> headers;
    std::optional<Bytes> length;
  };

  // WatchCaller notices a caller that closes while its request is served.
  void WatchCaller();
  // ReasonOfHangup reads what a connection that the kernel ended failed with.
  CloseReason ReasonOfHangup(int error) const;
  bool WriteHead();
  bool WritePiece();
  bool WriteEnd();
  bool CompleteTransaction();
  void WantWrite();
  void StartWriteTimer();
  void StartReadTimer();
  void StopTimer(TimerId& timer);
  void OnSlowBody();
  void Cut(CloseReason reason);

  LoopState& impl;
  ServerVhost& server;
  lws* wsi = nullptr;
  RequestHead request_head;
  std::optional<PendingHead> pending_head;
  std::deque<std::string> output;
  Bytes queued_bytes;
  Bytes body_read;
  bool head_sent = false;
  bool chunked = false;
  bool finished = false;
  bool aborted = false;
  bool close_after = false;
  bool body_ended = false;
  bool response_out = false;
  CloseReason close_reason = CloseReason::kHungUp;
  TimePoint read_until;
  TimerId read_timer;
  TimerId write_timer;
};

}  // namespace samphirebank::net

#endif  // SAMPHIREBANK_NET_INTERNAL_SERVER_STREAM_H_
