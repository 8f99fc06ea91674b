// File: header_fields.h
//
// Reads the header fields of a libwebsockets connection into plain structs.
#ifndef SAMPHIREBANK_NET_INTERNAL_HEADER_FIELDS_H_
#define SAMPHIREBANK_NET_INTERNAL_HEADER_FIELDS_H_

#include <libwebsockets.h>

#include <vector>

#include "samphirebank/net/net.h"

namespace samphirebank::net::internal {

// KeepKnown returns the header fields that this system uses; the others go
// nowhere.
std::vector<Header> KeepKnown(std::vector<Header> headers);

// RequestFault says why a request head is refused at once.
enum class RequestFault : uint8_t {
  kNone,
  kConflictingLength,  // two or a malformed content-length: 400
  kTransferEncoding,   // a chunked request body: 411
  kNoLength,           // a method with a body but no length: 411
  kMalformed,          // no usable method or path, or control bytes: 400
};

// ReadRequestHead fills `head`; the connection is in its HTTP callback.
RequestFault ReadRequestHead(lws* wsi, RequestHead& head);

}  // namespace samphirebank::net::internal

#endif  // SAMPHIREBANK_NET_INTERNAL_HEADER_FIELDS_H_
