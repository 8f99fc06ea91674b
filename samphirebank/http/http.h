// File: http.h
//
// HTTP/1.1 messages: readers of requests and answers on Boost.Beast that are
// fed bytes and do no I/O. All answers that come from outside are read by
// AnswerReader, so that one set of rules says which of them are broken.
//
// Example:
//
//   AnswerReader reader;
//   const ReadState state = reader.Feed(&received);
//   if (reader.head_done()) OnHead(reader.status(), reader.TakeHeaders());
//   OnBody(reader.TakeBody());
#ifndef SAMPHIREBANK_HTTP_HTTP_H_
#define SAMPHIREBANK_HTTP_HTTP_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace samphirebank::http {

// Header is one header field; names are in lower case, without a colon.
struct Header {
  std::string name;
  std::string value;
};

// Headers are the fields of one message, in their order.
using Headers = std::vector<Header>;

// ReadState says how far a reader is.
enum class ReadState : uint8_t {
  kMore,          // needs more bytes
  kWhole,         // the message was read to its end
  kMalformed,     // not HTTP, or with framing that cannot be relied on
  kHeadTooLarge,  // above ReadLimits::head_bytes
  kBodyTooLarge,  // above ReadLimits::body_bytes
};

// ReadLimits bound a message.
struct ReadLimits {
  uint64_t head_bytes = 16 << 10;
  uint64_t body_bytes = 8 << 20;
};

// Request is a whole request.
struct Request {
  std::string method{};
  std::string target{};  // path and query
  Headers headers{};
  std::string body{};
  bool keep_alive = true;
  // The sender has closed the connection: it has given the request up. Set by
  // Server only.
  bool sender_gone = false;
};

// RequestReader reads one request.
class RequestReader {
 public:
  explicit RequestReader(ReadLimits limits);
  ~RequestReader();
  RequestReader(const RequestReader&) = delete;
  RequestReader& operator=(const RequestReader&) = delete;

  // Feed takes bytes from the front of `input`, up to the request's end.
  ReadState Feed(std::string* input);
  // head_done says whether the head was read.
  bool head_done() const;
  // wants_continue says whether the head is read and the sender waits for a
  // 100 before it sends the body.
  bool wants_continue() const;
  // held is how many bytes the request takes, as far as is known: its head, and
  // its body by the stated length or by what was read.
  uint64_t held() const;
  // Take returns the request after kWhole.
  Request Take();
  // TakeHead returns the request without its body, once head_done.
  Request TakeHead();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

// AnswerReader reads one answer, piece by piece.
class AnswerReader {
 public:
  // Answers to HEAD have no body.
  explicit AnswerReader(bool to_head_request = false);
  ~AnswerReader();
  AnswerReader(const AnswerReader&) = delete;
  AnswerReader& operator=(const AnswerReader&) = delete;

  // Feed takes bytes from the front of `input`, up to the answer's end.
  ReadState Feed(std::string* input);
  // FeedEnd tells that the sender closed its side in an orderly way. An answer
  // without a stated length is whole then.
  ReadState FeedEnd();
  bool head_done() const;
  int status() const;
  // stated_length is the length in bytes that the head states of the body;
  // empty before head_done, and where it states none. Nothing is reserved for
  // it, and the body may end before.
  std::optional<uint64_t> stated_length() const;
  Headers TakeHeaders();
  // TakeBody returns what was read of the body since the last call.
  std::string TakeBody();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace samphirebank::http

#endif  // SAMPHIREBANK_HTTP_HTTP_H_
