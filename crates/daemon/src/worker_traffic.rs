//! Counters of the control traffic with workers.

use {
    fuchsiatack_wire::TrafficDirection,
    prometheus_client::{
        encoding::EncodeLabelSet,
        metrics::{counter::Counter, family::Family},
    },
};

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct WorkerLabels {
    direction: &'static str,
    kind: &'static str,
}

/// Control calls between a daemon and workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WorkerCall {
    Announce,
    Epoch,
    Lease,
}

impl WorkerCall {
    /// Last segment of the path, which is also the value of the metric label.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Announce => "announce",
            Self::Epoch => "epoch",
            Self::Lease => "lease",
        }
    }
}

/// Bytes of the bodies of control calls, by direction and call. Headers are not counted.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkerTraffic {
    pub(crate) bytes: Family<WorkerLabels, Counter>,
}

impl WorkerTraffic {
    pub(crate) fn add(&self, direction: TrafficDirection, call: WorkerCall, bytes: usize) {
        let labels = WorkerLabels {
            direction: direction.as_str(),
            kind: call.as_str(),
        };
        self.bytes.get_or_create(&labels).inc_by(bytes as u64);
    }
}
