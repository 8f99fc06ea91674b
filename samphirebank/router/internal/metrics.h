// File: metrics.h
//
// The series that a router exports.
#ifndef SAMPHIREBANK_ROUTER_INTERNAL_METRICS_H_
#define SAMPHIREBANK_ROUTER_INTERNAL_METRICS_H_

#include "samphirebank/metrics/metrics.h"

namespace samphirebank::router {

// Metrics owns the series; the references stay valid as long as it lives.
struct Metrics {
  metrics::Registry registry;

  metrics::Counter& received = this->registry.AddCounter(
      {.name = "requests_received_total", .help = "Callers' requests."});
  metrics::Counter& answered = this->registry.AddCounter(
      {.name = "requests_answered_total", .help = "Requests answered whole."});
  metrics::Counter& refused = this->registry.AddCounter(
      {.name = "requests_refused_total",
       .help = "Requests refused, with any outcome."});
  metrics::Counter& cut = this->registry.AddCounter(
      {.name = "requests_cut_total",
       .help = "Answers ended before they were whole."});
  metrics::Counter& retried = this->registry.AddCounter(
      {.name = "requests_retried_total",
       .help = "Requests queued again after a failed attempt."});
  metrics::Histogram& first_byte = this->registry.AddHistogram(
      {.name = "first_byte_seconds",
       .help = "From a request's arrival to the first byte of its answer."},
      {});
  metrics::Histogram& answer = this->registry.AddHistogram(
      {.name = "answer_seconds",
       .help = "From a request's arrival to the end of its answer."},
      {});
  metrics::Counter& packets_sent = this->registry.AddCounter(
      {.name = "peer_packets_sent_total", .help = "Packets to instances."});
  metrics::Counter& packet_bytes_sent = this->registry.AddCounter(
      {.name = "peer_bytes_sent_total", .help = "Bytes to instances."});
  metrics::Counter& packet_bytes_received = this->registry.AddCounter(
      {.name = "peer_bytes_received_total", .help = "Bytes from instances."});
  metrics::Counter& packets_received =
      this->registry.AddCounter({.name = "peer_packets_received_total",
                                 .help = "Packets from instances."});
  metrics::Counter& control_cpu = this->registry.AddCounter(
      {.name = "control_cpu_nanoseconds_total",
       .help = "Processor time of sharing, configuration and packets, without "
               "callers' requests."});
  metrics::Counter& packets_refused = this->registry.AddCounter(
      {.name = "peer_packets_refused_total",
       .help = "Packets that were forged, replayed, truncated or malformed."});
};

}  // namespace samphirebank::router

#endif  // SAMPHIREBANK_ROUTER_INTERNAL_METRICS_H_
