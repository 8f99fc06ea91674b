// File: exchange.h
//
// One caller's request from its reading to the end of its answer: it chooses
// targets, sends, relays, and ends as forwarding decides.
#ifndef SAMPHIREBANK_GATEWAY_INTERNAL_EXCHANGE_H_
#define SAMPHIREBANK_GATEWAY_INTERNAL_EXCHANGE_H_

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "samphirebank/accounting/accounting.h"
#include "samphirebank/dialect/dialect.h"
#include "samphirebank/dispatch/dispatch.h"
#include "samphirebank/events/events.h"
#include "samphirebank/forwarding/forwarding.h"
#include "samphirebank/origins/origins.h"
#include "samphirebank/quarantine/quarantine.h"
#include "samphirebank/residency/residency.h"
#include "samphirebank/routes/routes.h"
#include "samphirebank/warmup/warmup.h"
#include "samphirebank/web/web.h"

namespace samphirebank::gateway {

class Server;
class Session;
struct ChosenTarget;
struct TargetFilter;

// Exchange belongs to the loop's thread. Its session outlives it, except after
// CallerLeft.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(Server& owner, Session& caller, web::Request given);

  void Start();
  // RefuseForMemory refuses a request whose body was not read.
  void RefuseForMemory();
  // CallerLeft ends the work at the target; nothing is answered any more.
  void CallerLeft();
  // OnQuarantine ends the work at the target if the prompt has a part that was
  // quarantined meanwhile and the answer has not begun.
  void OnQuarantine();
  // ReportProgress adds the age of an answer that goes on to those of the
  // prompt's suspected parts, and tells when its target was last seen alive.
  void ReportProgress(quarantine::Ages* ages) const;
  // OnOrigin goes on with a stream that its caller takes up, now that it is
  // known what began it; empty: it is not.
  void OnOrigin(std::optional<origins::Software> software);
  // OnShutdown gives the caller the final answer, because the process ends.
  void OnShutdown();

 private:
  // Sending is one send to a target, from its choice to its end.
  struct Sending {
    TargetId target{};
    net::SocketAddress address{};
    std::shared_ptr<web::Connection> connection{};
    std::unique_ptr<web::AnswerReader> reader{};
    dialect::AnswerHead head{};
    int status = 0;
    std::string body{};  // of an answer that is not streamed on
    bool head_seen = false;
    bool foreign = false;  // the answer being read is another request's
    uint32_t foreign_seen = 0;
    bool read_noted = false;     // the target has read the prompt
    bool ends_by_close = false;  // what came ended with the connection
    // Pieces of the answer's body; empty until the first has come.
    std::optional<TimePoint> first_piece_at{};
    TimePoint last_piece_at{};
    bool at_home = false;
    bool in_other_region = false;
    std::optional<warmup::Token> token{};  // if the target is cold
    Duration reading{};                    // of the prompt, as it was estimated
    dispatch::Prediction prediction{};
    int64_t run_started_at_ms = 0;  // of the target
    origins::Software software{};   // of the target
    TimePoint sent_at{};
  };

  // Before the first send.
  bool Admit();
  bool FindOrganisation();
  bool Shed();
  bool StopIfQuarantined();
  void StartLimit();
  void OnLimit();
  // EndUnanswered ends a request without waiting for its target any longer;
  // `target_result` is recorded for a target to which it was sent.
  void EndUnanswered(const std::string& reason,
                     dispatch::HealthResult target_result);

  // Streams that go on.
  bool TakesUpStream() const;
  void LookUpOrigin();
  // StopIfOutOfStep ends a stream that has begun if this instance may take a
  // target for an earlier run of another version.
  bool StopIfOutOfStep(TimePoint now);
  // FindServiceOf returns the service of the route with targets of `software`;
  // empty if there is none.
  std::optional<ServiceId> FindServiceOf(origins::Software wanted) const;
  void NoteOrigin();

  // Sending.
  void SendToTarget();
  // Filter returns which targets may get the request now.
  TargetFilter Filter() const;
  // AllowedRegions returns the regions that the table at the request's arrival
  // and the newest table both allow.
  residency::AllowedRegions AllowedRegions() const;
  void ReturnToken();
  bool DecodeCall();
  // ReleaseBody gives up the request's body if it is not sent again.
  void ReleaseBody();
  void EndWithoutTarget(const TargetFilter& filter, TimePoint now);
  bool AdmitPrompt(const ChosenTarget& chosen);
  Tokens TokensOf() const;
  void OnConnection(std::shared_ptr<web::Connection> connection,
                    web::ConnectEnd end);
  void SendRequest(TimePoint now);
  void Listen();
  void OnAnswerData();
  void OnConnectionEnd(web::End end);
  // Guard runs a handler of the target's connection. What it throws ends the
  // send as if the answer were broken, or else the caller's connection.
  void Guard(const std::function<void()>& handler);
  // DropAnswer returns false if no answer is awaited.
  bool DropAnswer();
  void NotePiece();
  // AnswerAge is the time from the answer's first piece to its newest, at least
  // 1 ms; 0 before the first.
  Duration AnswerAge() const;
  void NoteBrokenOff(web::End end);
  // NoteWhole records which prompt was answered.
  void NoteWhole();
  bool TakeHead();
  void NoteTargetSaid();
  void TakeBody();
  void LearnReadingTime();
  // HoldsTooMuch says whether more is held back of the answer than may be, or
  // would be by the length that it states.
  bool HoldsTooMuch(web::ReadState state) const;
  void OnAnswerWhole();
  void NextAnswer();
  bool IsSuccess() const;
  void PassEvents(std::string_view piece);
  void HoldBack();

  // After a send.
  void ReleaseConnection();
  void EndSending(dispatch::HealthResult ending);
  void Continue(forwarding::SendResult end);
  void SendAgain(forwarding::SendResult end);

  // The end.
  void Complete();
  void PassOn();
  void Refuse(int status, const std::string& reason);
  // Without `return_after` the caller comes back soon.
  void RefuseForNow(const std::string& reason,
                    std::optional<Duration> return_after = std::nullopt);
  void FailUnknown(int status, const std::string& reason);
  void Cut(const std::string& reason);
  void Close();
  Duration Elapsed() const;
  events::Event EventOf(events::Number number) const;

  Server& server;
  Session& session;
  web::Request request;                     // without its body
  std::shared_ptr<const std::string> body;  // shared with the connection
  dialect::Call call;
  std::shared_ptr<const routes::RouteIndex> index;
  const routes::Route* route = nullptr;
  ServiceId service;
  OrganisationId organisation;
  dispatch::RequestProfile work;
  std::vector<quarantine::PartId> prompt_parts;  // in order, its own last
  forwarding::Progress progress;
  forwarding::EventStream stream;
  std::optional<origins::Software> begun_by;  // what began the stream
  std::optional<Sending> sending;
  TargetId last_target;
  boost::asio::steady_timer limit_timer;
  TimePoint begun_at;
  Duration time_limit{};
  std::optional<TimePoint> first_answer_at;
  int64_t bytes_passed = 0;
  bool arrived = false;   // its organisation is known, and it is allowed
  bool admitted = false;  // its prompt
  // The reason that a refusal is counted under.
  accounting::Refusal refusal = accounting::Refusal::kOther;
  bool ended = false;
};

}  // namespace samphirebank::gateway

#endif  // SAMPHIREBANK_GATEWAY_INTERNAL_EXCHANGE_H_
