//! Memory and open descriptors of a process, from `/proc`.

use std::{
    fs,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

/// Interval between two counts of the open descriptors.
const SAMPLE_PERIOD: Duration = Duration::from_millis(10);

/// Bounds that a process has to stay under.
pub struct Bounds {
    pub descriptors: usize,
    pub memory_mb: usize,
}

/// Counts the open descriptors of a process until it is checked.
pub struct UsageWatch {
    ends: Arc<AtomicBool>,
    highest: Arc<AtomicUsize>,
    id: u32,
    sampler: JoinHandle<()>,
}

impl UsageWatch {
    pub fn start(id: u32) -> Self {
        let ends = Arc::new(AtomicBool::new(false));
        let highest = Arc::new(AtomicUsize::new(0));
        let (sampler_ends, sampler_highest) = (ends.clone(), highest.clone());
        let sampler = thread::spawn(move || {
            while !sampler_ends.load(Ordering::Acquire) {
                sampler_highest.fetch_max(open_descriptors(id), Ordering::AcqRel);
                thread::sleep(SAMPLE_PERIOD);
            }
        });
        Self {
            ends,
            highest,
            id,
            sampler,
        }
    }

    /// Prints the highest memory and descriptor count, and checks them against the bounds.
    pub fn check(self, test: &str, bounds: &Bounds) {
        self.ends.store(true, Ordering::Release);
        self.sampler.join().expect("the sampler should not panic");
        let descriptors = self.highest.load(Ordering::Acquire);
        let memory_mb = highest_memory_mb(self.id).unwrap_or_else(|| panic!("{test}: the process has ended"));
        println!(
            "{test}: highest memory {memory_mb} MB of {}, highest descriptors {descriptors} of {}",
            bounds.memory_mb, bounds.descriptors
        );
        assert!(
            memory_mb < bounds.memory_mb,
            "{test}: {memory_mb} MB, the bound is {} MB",
            bounds.memory_mb
        );
        assert!(
            descriptors < bounds.descriptors,
            "{test}: {descriptors} descriptors, the bound is {}",
            bounds.descriptors
        );
    }
}

fn open_descriptors(id: u32) -> usize {
    fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count)
}

/// Returns `VmHWM`. `None` once the process has ended, also while it is not reaped.
fn highest_memory_mb(id: u32) -> Option<usize> {
    const KIB_PER_MB: usize = 1_024;
    let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
    let kib: usize = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kib.div_ceil(KIB_PER_MB))
}
