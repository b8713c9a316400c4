//! Processor utilisation of the whole machine.

use std::{fs, io};

/// Measures the processor utilisation between its start and [`Self::busy_fraction`], from `/proc/stat`.
#[derive(Clone, Copy, Debug)]
pub struct CpuMeter {
    idle: u64,
    total: u64,
}

impl CpuMeter {
    /// Reads the counters at the start of the measurement.
    pub fn start() -> io::Result<Self> {
        let text = fs::read_to_string("/proc/stat")?;
        let line = text.lines().next().unwrap_or_default();
        // The fields after the eighth are guest times, which the first two include.
        let fields: Vec<u64> = line
            .split_whitespace()
            .skip(1)
            .take(8)
            .filter_map(|field| field.parse().ok())
            .collect();
        Ok(Self {
            idle: fields.iter().skip(3).take(2).sum(),
            total: fields.iter().sum(),
        })
    }

    /// Fraction of the processor time that was used since the start, from 0 to 1.
    pub fn busy_fraction(&self) -> io::Result<f64> {
        let now = Self::start()?;
        let total = now.total.saturating_sub(self.total).max(1);
        let idle = now.idle.saturating_sub(self.idle);
        Ok(1.0 - idle as f64 / total as f64)
    }
}
