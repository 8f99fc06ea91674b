// The exchange of `samphirebank zone` with the coordinators.
#include <algorithm>
#include <iostream>
#include <memory>

#include "samphirebank/operators/internal/zone_order.h"
#include "samphirebank/operators/operators.h"

namespace samphirebank::operators {
namespace {

constexpr Duration kSilence = std::chrono::seconds(1);
constexpr Duration kRetryPause = std::chrono::milliseconds(200);
constexpr int kExitRefused = 1;

// ZoneExchange sends one order on a loop of its own until it is answered for
// good or the settings' timeout has passed.
class ZoneExchange {
 public:
  ZoneExchange(const settings::ZoneSettings& zone_settings,
               const dialect::Dialect& dialect)
      : settings(zone_settings),
        path(ZonePath(zone_settings, dialect)),
        tries{.servers = zone_settings.servers} {}

  // Run returns whether the order was carried out.
  bool Run() {
    this->tries.last.fault = "no answer in time";
    this->loop.After(this->settings.timeout, [this] {
      this->tries.is_unclear = this->tries.is_unclear || this->is_connected;
      this->loop.Stop();
    });
    this->Try();
    this->loop.Run();
    return this->is_done;
  }

  const ZoneTries& result() const { return this->tries; }

 private:
  void Try() {
    const Duration limit = std::min(kSilence, this->settings.timeout);
    auto answer = std::make_shared<ZoneAnswer>();
    this->is_connected = true;
    this->loop.Call(
        {.to = NextServer(this->tries),
         .method = ZoneMethod(this->settings.verb),
         .path = this->path,
         .connect_timeout = limit,
         .first_byte_timeout = limit,
         .idle_timeout = limit,
         .on_head =
             [answer](int status, const std::vector<net::Header>& headers) {
               answer->status = status;
               answer->location =
                   net::FindHeader(headers, "location").value_or("");
             },
         .on_data = [answer](std::string_view piece) { answer->body += piece; },
         .on_end = [this, answer] { this->OnAnswer(*answer); },
         .on_error =
             [this](const net::CallError& error) {
               this->OnAnswer(
                   {.fault = error.detail,
                    .was_sent = error.sent != net::SendState::kNotSent});
             }});
  }

  void OnAnswer(const ZoneAnswer& answer) {
    this->is_connected = false;
    switch (RecordAnswer(this->tries, answer)) {
      case ZoneStep::kDone:
        this->is_done = answer.status >= 200 && answer.status < 300;
        return this->loop.Stop();
      case ZoneStep::kFollow:
        return this->Try();
      case ZoneStep::kRetry:
        this->loop.After(kRetryPause, [this] { this->Try(); });
    }
  }

  const settings::ZoneSettings& settings;
  std::string path;
  ZoneTries tries;
  bool is_connected = false;  // a try waits for its answer
  bool is_done = false;
  net::Loop loop;
};

}  // namespace

int RunZone(const settings::ZoneSettings& settings,
            const dialect::Dialect& dialect) {
  ZoneExchange exchange(settings, dialect);
  const bool done = exchange.Run();
  const ZoneAnswer& last = exchange.result().last;
  if (!done) {
    if (settings.json) std::cout << "{}\n";
    std::cerr << ZoneFault(settings, exchange.result());
    return kExitRefused;
  }
  std::cout << (settings.json ? last.body + "\n" : ZoneText(settings, last));
  return 0;
}

}  // namespace samphirebank::operators
