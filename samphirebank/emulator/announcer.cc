#include "samphirebank/emulator/internal/announcer.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace samphirebank::emulator {
namespace {

using Json = nlohmann::ordered_json;

constexpr Duration kAnswerTimeout = std::chrono::seconds(2);
constexpr char kBasePath[] = "/targets/v1/";

}  // namespace

Announcer::Announcer(
    net::Loop& event_loop,
    std::shared_ptr<const settings::EmulatorSettings> emulator_settings,
    TargetId target, net::SocketAddress target_address,
    std::function<Load()> load_now)
    : loop(event_loop),
      settings(std::move(emulator_settings)),
      id(std::move(target)),
      address(std::move(target_address)),
      load(std::move(load_now)) {
  if (this->settings->routers.empty()) return;
  this->router =
      std::hash<TargetId>()(this->id) % this->settings->routers.size();
  this->timer =
      this->loop.Every(this->settings->renew, [this] { this->Renew(); });
  this->loop.After(Duration::zero(), [this, living = this->alive] {
    if (*living) this->Renew();
  });
}

Announcer::~Announcer() {
  *this->alive = false;
  if (this->timer != net::TimerId()) this->loop.Cancel(this->timer);
}

void Announcer::Renew() {
  if (this->leaving) return;
  if (!this->announced) {
    this->Post("announce", this->Announcement(),
               [this](bool ok) { this->announced = ok; });
    return;
  }
  this->Post(this->id.value + "/load", this->Report(), [this](bool ok) {
    if (!ok) this->announced = false;
  });
}

void Announcer::Leave() {
  if (this->settings->routers.empty()) return;
  this->leaving = true;
  this->Post(this->id.value + "/leave", "{}", [this](bool ok) {
    if (!ok) this->Leave();
  });
}

void Announcer::Post(const std::string& path, std::string body,
                     const std::function<void(bool ok)>& done) {
  const auto& routers = this->settings->routers;
  auto status = std::make_shared<int>(0);
  this->loop.Call(
      {.to = routers[this->router % routers.size()],
       .method = "POST",
       .path = kBasePath + path,
       .headers = {{"authorization",
                    "Bearer " + this->settings->target_token.value},
                   {"content-type", "application/json"}},
       .body = std::move(body),
       .first_byte_timeout = kAnswerTimeout,
       .idle_timeout = kAnswerTimeout,
       .on_head = [status](int code,
                           const std::vector<net::Header>&) { *status = code; },
       .on_end =
           [status, done, living = this->alive] {
             if (*living) done(*status >= 200 && *status < 300);
           },
       .on_error =
           [this, done, living = this->alive](const net::CallError&) {
             if (!*living) return;
             ++this->router;
             this->loop.After(kAnswerTimeout / 20, [done, living] {
               if (*living) done(false);
             });
           }});
}

std::string Announcer::Announcement() const {
  Json services = Json::array();
  for (const settings::EmulatedService& service : this->settings->services) {
    services.push_back({{"name", service.service.value},
                        {"kind", service.model ? "model" : "service"},
                        {"repeatable", service.repeatable}});
  }
  const auto renew = std::chrono::duration_cast<std::chrono::milliseconds>(
      this->settings->renew);
  return Json{{"id", this->id.value},
              {"region", this->settings->region.value},
              {"availability_zone", this->settings->zone.value},
              {"address", this->address.ToText()},
              {"services", services},
              {"slots", this->settings->slots},
              {"checks_fencing", this->settings->checks_fencing},
              {"can_resume", this->settings->can_resume},
              {"echoes_request_id", true},
              {"states_not_run", true},
              {"renew_ms", renew.count()}}
      .dump();
}

std::string Announcer::Report() const {
  const Load now = this->load();
  return Json{{"running", now.running},
              {"waiting", now.waiting},
              {"tokens_per_s", now.running * this->settings->tokens_per_second}}
      .dump();
}

}  // namespace samphirebank::emulator
