//! Metrics of the process and its peer port, which are collected for each read of the metrics.

use {
    fuchsiatack_wire::{PeerTraffic, TrafficDirection, TrafficKind},
    prometheus_client::{
        collector::Collector,
        encoding::{DescriptorEncoder, EncodeLabelSet, EncodeMetric},
        metrics::{MetricType, counter::ConstCounter, gauge::ConstGauge},
        registry::Unit,
    },
    rustix::time::{ClockId, clock_gettime},
    std::fmt,
};

const BYTES_PER_KIB: u64 = 1_024;
const NANOSECONDS_PER_SECOND: f64 = 1e9;
/// File with the memory use of the process.
const STATUS_FILE: &str = "/proc/self/status";
/// Start of the line of `STATUS_FILE` with the resident memory in KiB.
const RESIDENT_LINE: &str = "VmRSS:";

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TrafficLabels {
    direction: &'static str,
    kind: &'static str,
}

/// Collects processor time, resident memory and peer traffic.
#[derive(Debug)]
pub(crate) struct ProcessCollector;

impl Collector for ProcessCollector {
    fn encode(&self, mut encoder: DescriptorEncoder) -> fmt::Result {
        let help = "Bytes on the peer port by direction and kind of frame";
        encode_traffic(&mut encoder, "peer_bytes", help, PeerTraffic::bytes)?;
        let help = "Frames and datagrams on the peer port by direction and kind";
        encode_traffic(&mut encoder, "peer_frames", help, PeerTraffic::frames)?;
        encode_processor_seconds(&mut encoder)?;
        encode_resident_bytes(&mut encoder)
    }
}

fn encode_traffic(
    encoder: &mut DescriptorEncoder,
    name: &str,
    help: &str,
    value: impl Fn(&PeerTraffic, TrafficDirection, TrafficKind) -> u64,
) -> fmt::Result {
    let mut family = encoder.encode_descriptor(name, help, None, MetricType::Counter)?;
    for direction in TrafficDirection::ALL {
        for kind in TrafficKind::ALL {
            let labels = TrafficLabels {
                direction: direction.as_str(),
                kind: kind.as_str(),
            };
            let counter = ConstCounter::new(value(PeerTraffic::global(), direction, kind));
            counter.encode(family.encode_family(&labels)?)?;
        }
    }
    Ok(())
}

fn encode_processor_seconds(encoder: &mut DescriptorEncoder) -> fmt::Result {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    let seconds = time.tv_sec as f64 + time.tv_nsec as f64 / NANOSECONDS_PER_SECOND;
    let counter = ConstCounter::new(seconds);
    let help = "Processor time of the process in user and system mode";
    let metric = encoder.encode_descriptor("process_cpu", help, Some(&Unit::Seconds), MetricType::Counter)?;
    counter.encode(metric)
}

fn encode_resident_bytes(encoder: &mut DescriptorEncoder) -> fmt::Result {
    let Some(bytes) = resident_bytes() else {
        return Ok(());
    };
    let gauge = ConstGauge::new(bytes);
    let help = "Resident memory of the process";
    let unit = Some(&Unit::Bytes);
    let metric = encoder.encode_descriptor("process_resident_memory", help, unit, MetricType::Gauge)?;
    gauge.encode(metric)
}

fn resident_bytes() -> Option<u64> {
    let status = std::fs::read_to_string(STATUS_FILE).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix(RESIDENT_LINE))?;
    let kib: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kib * BYTES_PER_KIB)
}
