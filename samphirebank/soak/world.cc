#include "samphirebank/soak/internal/world.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <utility>

namespace samphirebank::soak {
namespace {

using std::chrono::milliseconds;

constexpr Duration kControlLimit = milliseconds(1500);
constexpr Duration kControlPause = milliseconds(150);
constexpr int kRedirect = 307;

// Asking is one call that waits for its answer.
struct Asking {
  explicit Asking(boost::asio::io_context& loop) : limit(loop) {}

  std::shared_ptr<web::Connection> connection{};
  web::AnswerReader reader{};
  boost::asio::steady_timer limit;
  std::function<void(const CallResult&)> done{};

  void End(const CallResult& result) {
    if (!this->done) return;
    const auto action = std::exchange(this->done, {});
    this->limit.cancel();
    if (this->connection != nullptr) this->connection->Close();
    action(result);
  }
};

std::string BytesOf(const net::SocketAddress& to, const ControlCall& call) {
  return call.method + " " + call.path + " HTTP/1.1\r\nhost: " + to.ToText() +
         "\r\nconnection: close\r\ncontent-length: " +
         std::to_string(call.body.size()) + "\r\n\r\n" + call.body;
}

void Read(Asking& asking) {
  const web::ReadState state = asking.reader.Feed(&asking.connection->input());
  if (state == web::ReadState::kMore) return;
  if (state != web::ReadState::kWhole) return asking.End({});
  asking.End({.status = asking.reader.status(),
              .headers = asking.reader.TakeHeaders(),
              .body = asking.reader.TakeBody()});
}

// AddressIn reads the address of "http://ip:port/path".
std::optional<net::SocketAddress> AddressIn(const std::string& location) {
  constexpr size_t kScheme = 7;
  if (location.size() < kScheme) return std::nullopt;
  const size_t slash = location.find('/', kScheme);
  return net::ParseSocketAddress(location.substr(kScheme, slash - kScheme));
}

void AskNext(World& world, const std::shared_ptr<ControlQuestion>& question,
             const std::optional<net::SocketAddress>& redirected) {
  const size_t index = question->first % question->coordinators.size();
  const net::SocketAddress to =
      redirected.value_or(question->coordinators[index]);
  Ask(world, to, question->call, kControlLimit,
      [&world, question](const CallResult& result) {
        if (question->accepts(result) || question->most_tries-- <= 1) {
          return question->done(result);
        }
        std::optional<net::SocketAddress> elsewhere;
        if (result.status == kRedirect) {
          elsewhere = AddressIn(
              net::FindHeader(result.headers, "location").value_or(""));
        }
        if (!elsewhere) ++question->first;
        After(world, kControlPause, [&world, question, elsewhere] {
          AskNext(world, question, elsewhere);
        });
      });
}

}  // namespace

const std::vector<ZonePlace>& FleetZones() {
  static const std::vector<ZonePlace> zones = {
      {.zone = ZoneId("z"), .region = RegionId("r")},
      {.zone = ZoneId("y"), .region = RegionId("r")},
      {.zone = ZoneId("x"), .region = RegionId("s")}};
  return zones;
}

const RegionId& RegionOf(const ZoneId& zone) {
  return std::ranges::find(FleetZones(), zone, &ZonePlace::zone)->region;
}

void After(World& world, Duration delay, std::function<void()> action) {
  auto timer = std::make_shared<boost::asio::steady_timer>(world.loop, delay);
  timer->async_wait([timer, action = std::move(action)](
                        const boost::system::error_code& stopped) {
    if (!stopped) action();
  });
}

void Ask(World& world, const net::SocketAddress& to, const ControlCall& call,
         Duration limit, std::function<void(const CallResult&)> done) {
  AskWith(world, to, BytesOf(to, call), limit, std::move(done));
}

void AskWith(World& world, const net::SocketAddress& to, std::string bytes,
             Duration limit, std::function<void(const CallResult&)> done) {
  auto asking = std::make_shared<Asking>(world.loop);
  asking->done = std::move(done);
  asking->limit.expires_after(limit);
  asking->limit.async_wait([asking](const boost::system::error_code& stopped) {
    if (!stopped) asking->End({});
  });
  web::Connect(
      world.loop, to, limit,
      [asking, bytes = std::move(bytes)](
          std::shared_ptr<web::Connection> connection, web::ConnectEnd) {
        if (connection == nullptr) return asking->End({});
        if (!asking->done) return connection->Close();
        asking->connection = std::move(connection);
        asking->connection->Start([asking] { Read(*asking); },
                                  [asking](web::End) { asking->End({}); });
        asking->connection->Send(bytes);
      });
}

void AskControl(World& world, ControlQuestion question) {
  AskNext(world, std::make_shared<ControlQuestion>(std::move(question)),
          std::nullopt);
}

}  // namespace samphirebank::soak
