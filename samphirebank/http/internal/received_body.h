// File: received_body.h
//
// A body for Boost.Beast's parsers that takes memory for what was received. A
// stated length reserves nothing, so that a sender cannot make this process
// take memory, or fail to, by a number. Meets Beast's requirements of a Body
// that is read.
//
// Example:
//
//   beast::response_parser<ReceivedBody> parser;
//   parser.put(buffer, error);
//   std::string piece = std::exchange(parser.get().body(), {});
#ifndef SAMPHIREBANK_HTTP_INTERNAL_RECEIVED_BODY_H_
#define SAMPHIREBANK_HTTP_INTERNAL_RECEIVED_BODY_H_

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional/optional.hpp>
#include <boost/system/error_code.hpp>
#include <cstdint>
#include <limits>
#include <string>

namespace samphirebank::http::internal {

// ReceivedBody keeps a body as a string, whose capacity is never above the
// stated length, if there is one, nor above twice what was received.
struct ReceivedBody {
  using value_type = std::string;

  // NOLINTNEXTLINE: the name that Beast calls
  class reader {
   public:
    template <bool kIsRequest, typename Fields>
    reader(boost::beast::http::header<kIsRequest, Fields>& /*head*/,
           value_type& given)
        : body(given) {}

    // NOLINTNEXTLINE: the name that Beast calls
    void init(const boost::optional<uint64_t>& length,
              boost::system::error_code& error) {
      error = {};
      this->max_bytes = length.value_or(std::numeric_limits<uint64_t>::max());
    }

    template <typename Buffers>
    // NOLINTNEXTLINE: the name that Beast calls
    size_t put(const Buffers& buffers, boost::system::error_code& error) {
      error = {};
      const size_t count = boost::asio::buffer_size(buffers);
      this->MakeRoom(this->body.size() + count);
      for (const auto piece : boost::beast::buffers_range_ref(buffers)) {
        this->body.append(static_cast<const char*>(piece.data()), piece.size());
      }
      return count;
    }

    // NOLINTNEXTLINE: the name that Beast calls
    static void finish(boost::system::error_code& error) { error = {}; }

   private:
    void MakeRoom(size_t needed) {
      if (needed <= this->body.capacity()) return;
      const uint64_t doubled = 2 * uint64_t{this->body.capacity()};
      const uint64_t room =
          std::max<uint64_t>(needed, std::min(doubled, this->max_bytes));
      // The string's own growth would go beyond the stated length.
      std::string grown;
      grown.reserve(room);
      grown.append(this->body);
      this->body.swap(grown);
    }

    value_type& body;
    uint64_t max_bytes = std::numeric_limits<uint64_t>::max();
  };
};

}  // namespace samphirebank::http::internal

#endif  // SAMPHIREBANK_HTTP_INTERNAL_RECEIVED_BODY_H_
