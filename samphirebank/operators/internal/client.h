// File: client.h
//
// The parts of an operator command: the request it stands for, its exchange
// with the control instances, and its print.
//
// Example:
//
//   const ApiRequest request = RequestOf(settings, contract);
//   const ApiReply reply = Exchange(settings, request);
//   std::cout << TableOf(settings.verb, reply.body);
#ifndef SAMPHIREBANK_OPERATORS_INTERNAL_CLIENT_H_
#define SAMPHIREBANK_OPERATORS_INTERNAL_CLIENT_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "samphirebank/base/base.h"
#include "samphirebank/net/net.h"
#include "samphirebank/settings/settings.h"

namespace samphirebank::operators {

// ApiRequest is one call of the operator API.
struct ApiRequest {
  std::string method = "GET";
  std::string path;
  std::vector<net::Header> headers;  // without the credentials
  std::string body;
  // A server that is silent for longer is left for another one.
  Duration silence_limit = std::chrono::seconds(1);
};

// ApiReply is the last answer that came.
struct ApiReply {
  int status = 0;  // 0: none
  std::string body;
  std::string fault;  // why there is none
};

// RequestOf returns the request of a command. `contract` is the text of the
// contract file; it is used by `contract put` only.
ApiRequest RequestOf(const settings::OperatorSettings& settings,
                     const std::string& contract);

// NeedsRevision tells whether the command's request must name a revision that
// the settings do not give.
bool NeedsRevision(const settings::OperatorSettings& settings);

// OrganisationOf returns the organisation that a contract's text names.
std::optional<std::string> OrganisationOf(const std::string& contract);

// RevisionOf returns the revision of a record as `contract get` shows it.
std::optional<Revision> RevisionOf(const std::string& body);

// Plan says which server to ask next.
struct Plan {
  std::vector<net::SocketAddress> servers;
  size_t next = 0;
  std::optional<net::SocketAddress> leader;  // as a follower named it
  std::optional<net::SocketAddress> silent;  // gave no answer in time
  int skips = 0;  // how often `silent` is still passed over
};

// NoteSilent passes a server over for a while, also when followers still name
// it as the leader: they find the next one meanwhile.
void NoteSilent(Plan& plan, const net::SocketAddress& server);

// NextServer returns the leader that was named, else the servers in turn.
net::SocketAddress NextServer(Plan& plan);

// TakeReply decides whether a reply ends the exchange, and learns the leader
// from a follower's reply.
bool TakeReply(Plan& plan, const ApiReply& reply);

// Exchange asks the servers until one answers for good or the settings'
// timeout has passed; the request stays the same over all tries.
ApiReply Exchange(const settings::OperatorSettings& settings,
                  const ApiRequest& request);

// WaitFor returns how long an accepted change still needs until it is in force;
// nothing if the reply accepts nothing.
std::optional<Duration> WaitFor(const ApiReply& reply);

// ServerStatus is what one control instance says of the fleet.
struct ServerStatus {
  net::SocketAddress address;
  std::string body;  // empty: it did not answer
};

// MergeStatus returns one JSON object: a row for each control instance, each
// other instance as the control instance that heard it last knows it, and the
// voters and pools of the newest revision.
std::string MergeStatus(const std::vector<ServerStatus>& servers);

// TableOf returns a reply as a table for people; the reply itself if it is no
// JSON.
std::string TableOf(const std::string& body);

// ProblemText returns a refusal for people, with all findings.
std::string ProblemText(const ApiReply& reply);

}  // namespace samphirebank::operators

#endif  // SAMPHIREBANK_OPERATORS_INTERNAL_CLIENT_H_
