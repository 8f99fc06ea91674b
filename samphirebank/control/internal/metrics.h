// File: metrics.h
//
// The series that a control instance exports.
#ifndef SAMPHIREBANK_CONTROL_INTERNAL_METRICS_H_
#define SAMPHIREBANK_CONTROL_INTERNAL_METRICS_H_

#include "samphirebank/metrics/metrics.h"

namespace samphirebank::control {

// Metrics owns the series; the references stay valid as long as it lives. The
// gauges are set when they are asked for.
struct Metrics {
  metrics::Registry registry;

  metrics::Gauge& leads = this->registry.AddGauge(
      {.name = "control_leads", .help = "1 if this instance leads."});
  metrics::Gauge& term = this->registry.AddGauge(
      {.name = "control_term", .help = "The term of the replicated log."});
  metrics::Gauge& log_index = this->registry.AddGauge(
      {.name = "control_log_index", .help = "The newest entry of the log."});
  metrics::Gauge& disk_full = this->registry.AddGauge(
      {.name = "control_disk_full",
       .help = "1 while the data folder takes no writes."});
  metrics::Gauge& revision = this->registry.AddGauge(
      {.name = "config_revision", .help = "The newest revision here."});
  metrics::Gauge& lease_left = this->registry.AddGauge(
      {.name = "config_lease_left_seconds",
       .help = "How long the configuration may still be acted on."});
  metrics::Gauge& contracts = this->registry.AddGauge(
      {.name = "contracts", .help = "Contracts that stand."});
  metrics::Gauge& claims = this->registry.AddGauge(
      {.name = "claims", .help = "Claims of calls that may run once."});
  metrics::Gauge& heard = this->registry.AddGauge(
      {.name = "instances_heard", .help = "Instances heard lately."});
  metrics::Counter& packets_sent = this->registry.AddCounter(
      {.name = "peer_packets_sent_total", .help = "Packets to instances."});
  metrics::Counter& packet_bytes_sent = this->registry.AddCounter(
      {.name = "peer_bytes_sent_total", .help = "Bytes to instances."});
  metrics::Counter& packet_bytes_received = this->registry.AddCounter(
      {.name = "peer_bytes_received_total", .help = "Bytes from instances."});
};

}  // namespace samphirebank::control

#endif  // SAMPHIREBANK_CONTROL_INTERNAL_METRICS_H_
