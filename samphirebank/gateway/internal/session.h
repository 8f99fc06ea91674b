// File: session.h
//
// One caller's connection: it reads requests one after the other and sends
// their answers.
#ifndef SAMPHIREBANK_GATEWAY_INTERNAL_SESSION_H_
#define SAMPHIREBANK_GATEWAY_INTERNAL_SESSION_H_

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string_view>

#include "samphirebank/memory/memory.h"
#include "samphirebank/quarantine/quarantine.h"
#include "samphirebank/web/web.h"

namespace samphirebank::gateway {

class Exchange;
class Server;

// Session belongs to the loop's thread and keeps itself alive while its
// connection is open.
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(Server& owner, std::shared_ptr<web::Connection> accepted);

  void Start();
  // CloseIfIdle closes a connection on which no request runs.
  void CloseIfIdle();
  // OnQuarantine lets the running request look at the quarantined parts.
  void OnQuarantine();
  // ReportProgress tells of the running answer; see Exchange.
  void ReportProgress(quarantine::Ages* ages) const;
  // OnShutdown gives the running request its final answer, and closes the
  // connection unless a request is being read.
  void OnShutdown();
  std::weak_ptr<web::Connection> connection_handle() const {
    return this->connection;
  }
  bool answering() const { return this->exchange != nullptr; }

  // The exchange answers by either Reply, or BeginChunks, any number of
  // SendChunk, and EndChunks or Cut.
  void Reply(const web::Answer& answer);
  void BeginChunks(int status, const web::Headers& headers);
  void SendChunk(std::string_view piece);
  void EndChunks();
  // Cut breaks the answer off so that it cannot be taken for a whole one.
  void Cut();
  // Abandon gives up the running request and the connection after a fault.
  void Abandon();
  // CallerGone looks whether the caller has closed the connection; what the
  // loop has not come to yet counts too.
  bool CallerGone() { return this->connection->OtherSideClosed(); }
  // queued is how much of the answer the caller has not taken yet.
  size_t queued() const { return this->connection->queued(); }
  void OnDrained(std::function<void()> action);
  // ReleaseMemory counts the running request's body no more.
  void ReleaseMemory() { this->account.Release(); }

 private:
  void OnData();
  void OnEnd();
  // Guard runs a handler of this connection; what it throws ends only it.
  void Guard(const std::function<void()>& handler);
  void ReadRequest();
  void RefuseRequest(web::ReadState state);
  // HasMemory counts what is read, and says whether it may go on.
  bool HasMemory();
  void RefuseForMemory();
  void EndAnswer();
  void NextRequest();
  void SetTimer(Duration limit);
  bool KeepsAlive();

  Server& server;
  std::shared_ptr<web::Connection> connection;
  std::unique_ptr<web::RequestReader> reader;
  std::shared_ptr<Exchange> exchange;
  memory::Account account;      // of the request that is read or runs
  OrganisationId organisation;  // of a long one
  boost::asio::steady_timer timer;
  bool reading = false;     // a part of a request is read
  bool keep_alive = true;   // as the caller's request says
  bool told_close = false;  // the answer's head says that we close
};

}  // namespace samphirebank::gateway

#endif  // SAMPHIREBANK_GATEWAY_INTERNAL_SESSION_H_
