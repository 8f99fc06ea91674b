#include "samphirebank/operators/operators.h"

#include <algorithm>
#include <iostream>
#include <iterator>
#include <random>
#include <thread>
#include <vector>

#include "samphirebank/operators/internal/client.h"

namespace samphirebank::operators {
namespace {

using settings::OperatorSettings;
using settings::OperatorVerb;

constexpr int kNotFound = 404;
constexpr int kExitRefused = 1;
constexpr Duration kStatusTimeout = std::chrono::seconds(2);

// FreshChangeId returns an id that no other change has.
ChangeId FreshChangeId() {
  std::random_device random;
  std::string text = "change";
  for (int i = 0; i < 3; ++i) text += "-" + std::to_string(random());
  return ChangeId(text);
}

std::optional<std::string> ReadContract(const std::string& path) {
  if (path == "-") {
    return std::string(std::istreambuf_iterator<char>(std::cin), {});
  }
  return settings::ProcessEnvironment().read_file(path);
}

// ReadRevision asks for the revision that the contract has; 0 if there is
// none, nothing if no control instance says so.
std::optional<Revision> ReadRevision(const OperatorSettings& settings,
                                     const std::string& organisation) {
  OperatorSettings get = settings;
  get.verb = OperatorVerb::kContractGet;
  get.subject = organisation;
  const ApiReply reply = Exchange(get, RequestOf(get, ""));
  if (reply.status == kNotFound) return Revision(0);
  if (reply.status == 200) return RevisionOf(reply.body);
  std::cerr << ProblemText(reply);
  return std::nullopt;
}

int Print(const OperatorSettings& settings, const ApiReply& reply) {
  const bool done = reply.status >= 200 && reply.status < 300;
  if (settings.json) {
    std::cout << (reply.status == 0 ? "{}\n" : reply.body);
  } else if (done) {
    std::cout << TableOf(reply.body);
  }
  if (done) return 0;
  std::cerr << ProblemText(reply);
  const bool question = settings.verb == OperatorVerb::kStatus;
  const bool unsure = !question && (reply.status == 0 || reply.status >= 500);
  if (unsure && !settings.change_id.value.empty()) {
    std::cerr << "To send the same change again: --change-id "
              << settings.change_id.value << "\n";
  }
  return kExitRefused;
}

// AskEach asks every server for its status; they hear different instances.
ApiReply AskEach(const OperatorSettings& settings) {
  std::vector<ServerStatus> all;
  ApiReply last;
  for (const net::SocketAddress& server : settings.servers) {
    OperatorSettings one = settings;
    one.servers = {server};
    one.timeout = std::min(settings.timeout, kStatusTimeout);
    const ApiReply reply = Exchange(one, RequestOf(one, ""));
    const bool answered = reply.status == 200;
    all.push_back({.address = server, .body = answered ? reply.body : ""});
    if (answered || last.status != 200) last = reply;
  }
  if (last.status == 200) last.body = MergeStatus(all);
  return last;
}

// Change sends a change. Its wait is spent here rather than on a connection
// that may go silent; then the same change is sent again, whoever leads by now.
ApiReply Change(const OperatorSettings& settings, const std::string& contract) {
  OperatorSettings first = settings;
  first.wait_in_force = false;
  const ApiReply accepted = Exchange(first, RequestOf(first, contract));
  const std::optional<Duration> left = WaitFor(accepted);
  if (!settings.wait_in_force || !left) return accepted;
  std::this_thread::sleep_for(*left);
  return Exchange(settings, RequestOf(settings, contract));
}

}  // namespace

int RunOperator(const OperatorSettings& given) {
  OperatorSettings settings = given;
  if (settings.verb == OperatorVerb::kStatus) {
    return Print(settings, AskEach(settings));
  }
  std::string contract;
  std::string organisation = settings.subject;
  if (settings.verb == OperatorVerb::kContractPut) {
    const auto text = ReadContract(settings.subject);
    const auto named = OrganisationOf(text.value_or(""));
    if (!named) {
      std::cerr << "FILE: " << settings.subject
                << ": a JSON object with an \"organisation\"\n";
      return settings::kExitBadSettings;
    }
    contract = *text;
    organisation = *named;
  }
  if (settings.change_id.value.empty()) settings.change_id = FreshChangeId();
  if (NeedsRevision(settings)) {
    settings.if_match = ReadRevision(settings, organisation);
    if (!settings.if_match) return kExitRefused;
  }
  return Print(settings, Change(settings, contract));
}

}  // namespace samphirebank::operators
