#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>

#include "samphirebank/operators/internal/client.h"

namespace samphirebank::operators {
namespace {

constexpr Duration kRetryPause = std::chrono::milliseconds(200);
// After the silence limit these tries take longer than an election.
constexpr int kSkips = 8;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;
constexpr int kUnknownOutcome = 504;

// LeaderOf reads the leader's operator address from a follower's reply.
std::optional<net::SocketAddress> LeaderOf(const std::string& body) {
  const auto json = nlohmann::json::parse(body, nullptr, false);
  const bool named =
      json.is_object() && json.contains("leader") && json["leader"].is_string();
  if (!named) return std::nullopt;
  return net::ParseSocketAddress(json["leader"].get<std::string>());
}

// Exchanger runs one exchange on a loop of its own.
class Exchanger {
 public:
  Exchanger(const settings::OperatorSettings& operator_settings,
            const ApiRequest& api_request)
      : settings(operator_settings),
        request(api_request),
        plan{.servers = operator_settings.servers} {}

  ApiReply Run() {
    this->reply.fault = "no control instance answered in time";
    this->loop.After(this->settings.timeout, [this] { this->loop.Stop(); });
    this->Try();
    this->loop.Run();
    return this->reply;
  }

 private:
  void Try() {
    std::vector<net::Header> headers = this->request.headers;
    headers.push_back(
        {"authorization", "Bearer " + this->settings.operator_token.value});
    headers.push_back({"content-type", "application/json"});
    auto answer = std::make_shared<ApiReply>();
    const net::SocketAddress server = NextServer(this->plan);
    const Duration limit =
        std::min(this->request.silence_limit, this->settings.timeout);
    this->loop.Call(
        {.to = server,
         .method = this->request.method,
         .path = this->request.path,
         .headers = std::move(headers),
         .body = this->request.body,
         .connect_timeout = limit,
         .first_byte_timeout = limit,
         .on_head =
             [answer](int status, const std::vector<net::Header>&) {
               answer->status = status;
             },
         .on_data = [answer](std::string_view piece) { answer->body += piece; },
         .on_end = [this, answer] { this->OnReply(*answer); },
         .on_error =
             [this, server](const net::CallError& error) {
               NoteSilent(this->plan, server);
               if (this->reply.status == 0) this->reply.fault = error.detail;
               this->TryLater();
             }});
  }

  void OnReply(const ApiReply& answer) {
    this->reply = answer;
    if (TakeReply(this->plan, answer)) {
      this->loop.Stop();
      return;
    }
    // A leader that was just named is asked at once, but two servers that name
    // each other are asked in peace.
    const bool follow = this->plan.leader && !this->followed;
    this->followed = follow;
    if (follow) {
      this->Try();
    } else {
      this->TryLater();
    }
  }

  void TryLater() {
    this->loop.After(kRetryPause, [this] { this->Try(); });
  }

  const settings::OperatorSettings& settings;
  const ApiRequest& request;
  Plan plan;
  ApiReply reply;
  bool followed = false;
  net::Loop loop;
};

}  // namespace

void NoteSilent(Plan& plan, const net::SocketAddress& server) {
  plan.leader.reset();
  plan.silent = server;
  plan.skips = kSkips;
}

net::SocketAddress NextServer(Plan& plan) {
  if (plan.leader) return *plan.leader;
  const size_t count = plan.servers.size();
  net::SocketAddress server = plan.servers[plan.next++ % count];
  if (server == plan.silent && plan.skips > 0 && count > 1) {
    --plan.skips;
    server = plan.servers[plan.next++ % count];
  }
  return server;
}

bool TakeReply(Plan& plan, const ApiReply& reply) {
  if (reply.status == kMisdirected) {
    plan.leader = LeaderOf(reply.body);
    if (plan.leader && plan.leader == plan.silent && plan.skips > 0) {
      --plan.skips;
      plan.leader.reset();
    }
    return false;
  }
  plan.leader.reset();
  return reply.status != kUnavailable && reply.status != kUnknownOutcome;
}

ApiReply Exchange(const settings::OperatorSettings& settings,
                  const ApiRequest& request) {
  return Exchanger(settings, request).Run();
}

}  // namespace samphirebank::operators
