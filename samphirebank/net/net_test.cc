#include "samphirebank/net/net.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstring>
#include <filesystem>
#include <iterator>
#include <optional>
#include <string>
#include <vector>

namespace samphirebank::net {
namespace {

constexpr Duration kGiveUp = std::chrono::seconds(20);

// Answer is what a test call ended with.
struct Answer {
  int status = 0;
  std::string body;
  bool whole = false;
  bool failed = false;
  CallError error;
};

ClientRequest Recording(Loop& loop, Answer& answer, uint16_t port) {
  ClientRequest request;
  request.to = {.ip = "127.0.0.1", .port = port};
  request.on_head = [&](int status, const std::vector<Header>&) {
    answer.status = status;
  };
  request.on_data = [&](std::string_view piece) { answer.body += piece; };
  request.on_end = [&] {
    answer.whole = true;
    loop.Stop();
  };
  request.on_error = [&](const CallError& error) {
    answer.failed = true;
    answer.error = error;
    loop.Stop();
  };
  return request;
}

void RunLimited(Loop& loop) {
  loop.After(kGiveUp, [&loop] { loop.Stop(); });
  loop.Run();
}

// Connected returns a socket that is connected to a port of this host.
int Connected(uint16_t port) {
  const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(port);
  to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  connect(descriptor, reinterpret_cast<sockaddr*>(&to), sizeof(to));
  return descriptor;
}

// Raw sends `bytes` over a socket of its own and returns all that comes back.
std::string Raw(uint16_t port, std::string_view bytes) {
  const int descriptor = Connected(port);
  send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  std::string all;
  char buffer[4096];
  for (;;) {
    const ssize_t size = recv(descriptor, buffer, sizeof(buffer), 0);
    if (size <= 0) break;
    all.append(buffer, static_cast<size_t>(size));
  }
  close(descriptor);
  return all;
}

TEST_CASE("a posted body comes back whole") {
  Loop loop;
  const uint16_t port = loop.Listen(
      {.on_request = [](const std::shared_ptr<ServerStream>& stream) {
        auto body = std::make_shared<std::string>();
        stream->on_body = [body](std::string_view piece) { *body += piece; };
        stream->on_body_end = [body, raw = stream.get()] {
          raw->Reply({.body = *body});
        };
      }});
  Answer answer;
  ClientRequest request = Recording(loop, answer, port);
  request.method = "POST";
  request.body = std::string(300'000, 'x');
  const std::string sent = request.body;
  loop.Call(std::move(request));
  RunLimited(loop);
  CHECK(answer.status == 200);
  CHECK(answer.whole);
  CHECK(answer.body.size() == sent.size());
  CHECK((answer.body == sent));
}

TEST_CASE("a chunked stream arrives in order; an aborted one is not whole") {
  for (const bool cut : {false, true}) {
    Loop loop;
    const uint16_t port = loop.Listen(
        {.on_request = [&](const std::shared_ptr<ServerStream>& stream) {
          stream->SendHead(200, {}, std::nullopt);
          stream->Send("one ");
          stream->Send("two");
          cut ? stream->Abort() : stream->Finish();
        }});
    Answer answer;
    loop.Call(Recording(loop, answer, port));
    RunLimited(loop);
    CHECK(answer.body == "one two");
    CHECK(answer.whole == !cut);
    CHECK(answer.failed == cut);
  }
}

// Pace is how a server of the tests sends its bytes.
enum class Pace { kAtOnce, kBytewise };

void SendAll(int descriptor, std::string_view bytes, Pace pace) {
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const size_t step = pace == Pace::kBytewise ? 1 : bytes.size();
  for (; !bytes.empty(); bytes.remove_prefix(step)) {
    send(descriptor, bytes.data(), step, MSG_NOSIGNAL);
  }
}

// ServeOnce answers the first connection with `bytes` in a process of its own
// and closes; returns the port. What it has not read then of a request above
// 4 KiB makes that a reset.
uint16_t ServeOnce(const std::string& bytes, Pace pace = Pace::kAtOnce) {
  const int listening = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof(address);
  bind(listening, reinterpret_cast<sockaddr*>(&address), length);
  listen(listening, 1);
  getsockname(listening, reinterpret_cast<sockaddr*>(&address), &length);
  if (fork() == 0) {
    const int accepted = accept(listening, nullptr, nullptr);
    char request[4096];
    recv(accepted, request, sizeof(request), 0);
    SendAll(accepted, bytes, pace);
    close(accepted);
    _exit(0);
  }
  close(listening);
  return ntohs(address.sin_port);
}

TEST_CASE(
    "wholeness follows the framing, also when the target closes at once") {
  const std::string chunked =
      "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
  const std::string sized = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n";
  struct Case {
    std::string bytes;
    bool whole;
  };
  const std::vector<Case> cases = {
      {chunked + "5\r\nhello\r\n0\r\n\r\n", true},
      {chunked + "5\r\nhello\r\n5\r\nagain\r\n0\r\n\r\n", true},
      {chunked + "5\r\nhello\r\n", false},
      {chunked + "5\r\nhello\r\n0\r\n", false},
      {chunked + "5\r\nhel", false},
      {chunked, false},
      {chunked + "0\r\n\r\n", true},
      {sized + "hello", true},
      {sized + "hell", false},
      {"HTTP/1.1 200 OK\r\n\r\nhello", false},
      {"HTTP/1.1 200 OK\r\ncontent-le", false},
  };
  for (const Case& item : cases) {
    CAPTURE(item.bytes);
    Loop loop;
    Answer answer;
    loop.Call(Recording(loop, answer, ServeOnce(item.bytes)));
    RunLimited(loop);
    CHECK(answer.whole == item.whole);
    CHECK(answer.failed == !item.whole);
  }
}

// Guards against an answer whose head breaks off and that is taken for a whole
// one with an empty or short body.
TEST_CASE("an answer whose head breaks off anywhere is not whole") {
  const std::string head =
      "HTTP/1.1 200 OK\r\nx-a: b\r\ncontent-length: 10\r\n\r\n";
  for (size_t size = 0; size < head.size(); ++size) {
    CAPTURE(size);
    Loop loop;
    Answer answer;
    loop.Call(Recording(loop, answer, ServeOnce(head.substr(0, size))));
    RunLimited(loop);
    CHECK_FALSE(answer.whole);
    CHECK(answer.failed);
    CHECK(answer.status == 0);
  }
}

// CheckBroken checks that a call whose answer is `bytes` fails, and that no
// part of the answer is reported.
void CheckBroken(const std::string& bytes) {
  Loop loop;
  Answer answer;
  loop.Call(Recording(loop, answer, ServeOnce(bytes, Pace::kBytewise)));
  RunLimited(loop);
  CHECK(answer.failed);
  CHECK_FALSE(answer.error.timed_out);
  CHECK(answer.error.sent == SendState::kSent);
  CHECK_FALSE(answer.whole);
  CHECK(answer.status == 0);
  CHECK(answer.body.empty());
}

TEST_CASE("an answer with a status that HTTP does not have is broken") {
  for (const std::string status : {"000", "099", "600", "999"}) {
    CAPTURE(status);
    CheckBroken("HTTP/1.1 " + status + " X\r\ncontent-length: 2\r\n\r\nhi");
  }
}

TEST_CASE(
    "an answer with a blank or control byte in a field's name is broken") {
  for (const std::string line :
       {"X Bad: 1", "X-Bad : 1", " X-Bad: 1", "X\tBad: 1", "X\x01Z: 1",
        "X\x7fZ: 1", "X\rZ: 1", "content-length : 1", "content length: 1",
        "transfer-encoding : chunked"}) {
    for (const std::string rest : {"x-a: b\r\n", ""}) {
      CAPTURE(line);
      CAPTURE(rest);
      std::string bytes = "HTTP/1.1 200 OK\r\n";
      bytes.append(rest).append(line);
      CheckBroken(bytes.append("\r\ncontent-length: 2\r\n\r\nhi"));
    }
  }
}

// Guards against fields that a router cannot pass on to its caller.
TEST_CASE("an answer with too long fields is broken") {
  CheckBroken("HTTP/1.1 200 OK\r\ncontent-type: " + std::string(8'000, 'x') +
              "\r\ncontent-length: 2\r\n\r\nhi");
}

TEST_CASE("an answer without a length that is reset early is not whole") {
  Loop loop;
  Answer answer;
  ClientRequest request = Recording(
      loop, answer, ServeOnce("HTTP/1.1 200 OK\r\n\r\nhello", Pace::kBytewise));
  request.method = "POST";
  request.body = std::string(16 << 20, 'x');
  loop.Call(std::move(request));
  RunLimited(loop);
  CHECK(answer.failed);
  CHECK_FALSE(answer.whole);
}

// A target may answer before it has read the request.
TEST_CASE("an early answer that is whole by its length outlives a reset") {
  const std::string body(40'000, 'a');  // arrives before the reset
  Loop loop;
  Answer answer;
  ClientRequest request =
      Recording(loop, answer,
                ServeOnce("HTTP/1.1 200 OK\r\ncontent-length: " +
                          std::to_string(body.size()) + "\r\n\r\n" + body));
  request.method = "POST";
  request.body = std::string(16 << 20, 'x');
  loop.Call(std::move(request));
  RunLimited(loop);
  CHECK(answer.whole);
  CHECK((answer.body == body));
}

TEST_CASE("an interim answer is none") {
  Loop loop;
  Answer answer;
  loop.Call(Recording(loop, answer,
                      ServeOnce("HTTP/1.1 100 X\r\n\r\nHTTP/1.1 103 X\r\n"
                                "x-a: b\r\n\r\nHTTP/1.1 200 OK\r\n"
                                "content-length: 2\r\n\r\nhi",
                                Pace::kBytewise)));
  RunLimited(loop);
  CHECK(answer.whole);
  CHECK(answer.status == 200);
  CHECK(answer.body == "hi");
}

// NumDescriptors counts this process's open files and sockets.
size_t NumDescriptors() {
  const std::filesystem::directory_iterator all("/proc/self/fd");
  return static_cast<size_t>(std::distance(begin(all), end(all)));
}

TEST_CASE("calls leave no descriptor open, however they end") {
  Loop loop;
  const uint16_t port = loop.Listen(
      {.on_request = [](const std::shared_ptr<ServerStream>& stream) {
        if (stream->head().path == "/") return stream->Reply({.body = "{}"});
        stream->Abort();
      }});
  constexpr int kRounds = 20;
  const size_t before = NumDescriptors();
  int num_ended = 0;
  const auto call = [&](uint16_t to, const std::string& path) {
    return loop.Call({.to = {.ip = "127.0.0.1", .port = to},
                      .path = path,
                      .on_end = [&] { ++num_ended; },
                      .on_error = [&](const CallError&) { ++num_ended; }});
  };
  for (int i = 0; i < kRounds; ++i) {
    call(port, "/");
    call(port, "/aborted");
    call(1, "/");
    call(port, "/")->Cancel();
  }
  loop.Every(std::chrono::milliseconds(10), [&] {
    if (num_ended < 3 * kRounds || NumDescriptors() > before) return;
    loop.Stop();
  });
  RunLimited(loop);
  CHECK(num_ended == 3 * kRounds);
  CHECK(NumDescriptors() <= before);
}

TEST_CASE("a refused connection is known as not sent") {
  Loop loop;
  Answer answer;
  loop.Call(Recording(loop, answer, 1));
  RunLimited(loop);
  CHECK(answer.failed);
  CHECK(answer.error.sent == SendState::kNotSent);
}

TEST_CASE("a target that accepts and stays silent times out as sent") {
  Loop loop;
  const uint16_t port =
      loop.Listen({.on_request = [](const std::shared_ptr<ServerStream>&) {}});
  Answer answer;
  ClientRequest request = Recording(loop, answer, port);
  request.first_byte_timeout = std::chrono::milliseconds(50);
  loop.Call(std::move(request));
  RunLimited(loop);
  CHECK(answer.failed);
  CHECK(answer.error.timed_out);
  CHECK(answer.error.sent == SendState::kSent);
}

// Guards against a timer of the call that outlives the loop's context.
TEST_CASE("a loop may end while a call waits for its answer") {
  Answer answer;
  {
    Loop loop;
    const uint16_t port =
        loop.Listen({.on_request = [&](const std::shared_ptr<ServerStream>&) {
          loop.Stop();
        }});
    loop.Call(Recording(loop, answer, port));
    RunLimited(loop);
  }
  CHECK_FALSE(answer.whole);
  CHECK_FALSE(answer.failed);
}

TEST_CASE("a caller that goes away is noticed") {
  Loop loop;
  bool closed = false;
  const uint16_t port = loop.Listen(
      {.on_request = [&](const std::shared_ptr<ServerStream>& stream) {
        stream->on_closed = [&](CloseReason) {
          closed = true;
          loop.Stop();
        };
      }});
  Answer answer;
  const auto call = loop.Call(Recording(loop, answer, port));
  loop.After(std::chrono::milliseconds(50), [call] { call->Cancel(); });
  RunLimited(loop);
  CHECK(closed);
  CHECK(!answer.failed);
}

TEST_CASE("a caller that does not read is a slow reader to the kernel, too") {
  Loop loop;
  std::optional<CloseReason> reason;
  // The kernel's limit ends before the server's own.
  const uint16_t port = loop.Listen(
      {.write_timeout = 2 * kGiveUp,
       .on_request = [&](const std::shared_ptr<ServerStream>& stream) {
         stream->on_closed = [&](CloseReason why) {
           reason = why;
           loop.Stop();
         };
         stream->SendHead(200, {}, std::nullopt);
         stream->on_drained = [kept = stream.get()] {
           kept->Send(std::string(64 << 10, 'x'));
         };
       }});
  const int caller = Connected(port);
  const std::string_view bytes = "GET / HTTP/1.1\r\nhost: x\r\n\r\n";
  send(caller, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  RunLimited(loop);
  close(caller);
  REQUIRE(reason);
  CHECK(*reason == CloseReason::kSlowReader);
}

TEST_CASE("requests that could smuggle another are refused and cut") {
  Loop loop;
  int requests = 0;
  const uint16_t port = loop.Listen(
      {.max_body = Bytes(100),
       .on_request = [&](const std::shared_ptr<ServerStream>& stream) {
         ++requests;
         stream->Reply({.body = "{}"});
       }});
  const std::vector<std::string> bad = {
      "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
      "0\r\n\r\nGET /second HTTP/1.1\r\nhost: a\r\n\r\n",
      "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n"
      "content-length: 2\r\n\r\nab",
      "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: -1\r\n\r\n",
      "POST / HTTP/1.1\r\nhost: a\r\n\r\n",
      "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 101\r\n\r\n",
  };
  // The raw client blocks, so it runs in a process of its own.
  const pid_t child = fork();
  if (child == 0) {
    int wrong = 0;
    for (const std::string& bytes : bad) {
      const std::string answer = Raw(port, bytes);
      const bool refused = answer.find("HTTP/1.1 4") == 0 &&
                           answer.find("/second") == std::string::npos;
      if (!refused) ++wrong;
    }
    _exit(wrong);
  }
  loop.Every(std::chrono::milliseconds(10), [&] {
    int status = 0;
    if (waitpid(child, &status, WNOHANG) != child) return;
    CHECK(WEXITSTATUS(status) == 0);
    loop.Stop();
  });
  RunLimited(loop);
  CHECK(requests == 0);
}

TEST_CASE("peer messages travel by datagram and, when large, by TCP") {
  Loop loop;
  std::vector<size_t> sizes;
  const auto receiver = loop.OpenPeerSocket(
      {.on_message = [&](const SocketAddress&, std::string_view message) {
        sizes.push_back(message.size());
        if (sizes.size() == 3) loop.Stop();
      }});
  const auto sender = loop.OpenPeerSocket(
      {.on_message = [](const SocketAddress&, std::string_view) {}});
  const SocketAddress to{.ip = "127.0.0.1", .port = receiver->port()};
  sender->Send(to, std::string(10, 'a'));
  sender->Send(to, std::string(200'000, 'b'));
  sender->Send(to, std::string(5'000, 'c'));
  RunLimited(loop);
  CHECK(sizes == std::vector<size_t>{10, 200'000, 5'000});
}

// WithLength returns a message as it goes over a peers' connection.
std::string WithLength(uint32_t length, const std::string& message) {
  const uint32_t network = htonl(length);
  std::string bytes(sizeof(network), '\0');
  std::memcpy(bytes.data(), &network, sizeof(network));
  return bytes + message;
}

// SendAndReset sends to a peer and resets the connection.
void SendAndReset(uint16_t port, const std::string& bytes) {
  const int descriptor = Connected(port);
  SendAll(descriptor, bytes, Pace::kBytewise);
  const linger at_once{.l_onoff = 1, .l_linger = 0};
  setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
  close(descriptor);
}

TEST_CASE("a peer's message that breaks off is none, and holds up no other") {
  const std::string message(3'000, 'm');
  const std::vector<std::string> broken = {
      "", std::string(3, '\0'), WithLength(3'000, ""),
      WithLength(3'000, message.substr(1)),
      WithLength(kMaxPeerMessage + 1, message)};
  Loop loop;
  std::vector<std::string> messages;
  const auto receiver = loop.OpenPeerSocket(
      {.on_message = [&](const SocketAddress&, std::string_view bytes) {
        messages.emplace_back(bytes);
        loop.Stop();
      }});
  const uint16_t port = receiver->port();
  // The sockets block, so they are in a process of their own.
  const pid_t child = fork();
  if (child == 0) {
    for (const std::string& bytes : broken) {
      const int descriptor = Connected(port);
      SendAll(descriptor, bytes, Pace::kBytewise);
      close(descriptor);
      SendAndReset(port, bytes);
    }
    const int sound = Connected(port);
    SendAll(sound, WithLength(3'000, message), Pace::kBytewise);
    close(sound);
    _exit(0);
  }
  RunLimited(loop);
  waitpid(child, nullptr, 0);
  CHECK((messages == std::vector<std::string>{message}));
}

TEST_CASE("socket addresses are numbers only") {
  CHECK(ParseSocketAddress("127.0.0.1:80") ==
        SocketAddress{.ip = "127.0.0.1", .port = 80});
  CHECK(!ParseSocketAddress("localhost:80").has_value());
  CHECK(!ParseSocketAddress("127.0.0.1:70000").has_value());
  CHECK(!ParseSocketAddress("127.0.0.1").has_value());
}

}  // namespace
}  // namespace samphirebank::net
