//! Counters of the traffic that the control of workers costs.

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

/// Calls between a daemon and workers that are not tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WorkerCall {
    Announce,
    Epoch,
    Lease,
}

impl WorkerCall {
    /// Last part of the path, which is also the metric label.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Announce => "announce",
            Self::Epoch => "epoch",
            Self::Lease => "lease",
        }
    }
}

/// Bytes of the bodies of such calls. Headers are not counted.
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
