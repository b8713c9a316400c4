//! Builder of test cells.

use {
    crate::{Cell, CellError, DaemonSettings, FakeWorkerSettings, WorkerMode},
    fuchsiatack_model::{DataCenter, RackName, WorkerName},
    smol_str::{SmolStr, format_smolstr},
    std::path::{Path, PathBuf},
};

/// Workers per rack, as in the design.
const WORKERS_PER_RACK: usize = 8;

type Adjust<T> = Box<dyn Fn(&mut T) + Send + Sync>;

/// Describes a cell of real daemons and fake workers. [`Self::start`] starts it.
///
/// ```no_run
/// # async fn example() -> Result<(), fuchsiatack_testkit::CellError> {
/// # use fuchsiatack_testkit::CellBuilder;
/// let mut cell = CellBuilder::new("target/debug/fuchsiatackd")
///     .daemons(3)
///     .workers(4)
///     .records("{schema: 2, kind: team, name: anfa, version: 0, spec: {title: Anfa}}")
///     .start()
///     .await?;
/// cell.daemon(1).kill();
/// cell.daemon(1).restart()?;
/// cell.wait_ready().await?;
/// cell.stop().await
/// # }
/// ```
pub struct CellBuilder {
    pub(crate) adjust_daemon: Vec<Adjust<DaemonSettings>>,
    pub(crate) daemon_program: PathBuf,
    pub(crate) daemons: usize,
    pub(crate) data_centers: Vec<SmolStr>,
    pub(crate) records: Vec<String>,
    pub(crate) proxy_seed: Option<u64>,
    pub(crate) store_members: usize,
    pub(crate) worker_mode: WorkerMode,
    pub(crate) worker_program: Option<PathBuf>,
    pub(crate) workers: Vec<FakeWorkerSettings>,
}

impl CellBuilder {
    /// Describes a cell of one daemon without workers, started from the program at `daemon_program`.
    pub fn new(daemon_program: impl AsRef<Path>) -> Self {
        Self {
            adjust_daemon: Vec::new(),
            daemon_program: daemon_program.as_ref().to_path_buf(),
            daemons: 1,
            data_centers: vec!["dc-1".into(), "dc-2".into(), "dc-3".into()],
            records: Vec::new(),
            proxy_seed: None,
            store_members: 3,
            worker_mode: WorkerMode::Task,
            worker_program: None,
            workers: Vec::new(),
        }
    }

    /// Sets the number of daemons. They are named `entry-1`, `entry-2` and so on.
    pub fn daemons(mut self, count: usize) -> Self {
        self.daemons = count;
        self
    }

    /// Sets how many daemons have the store role, starting with `entry-1` and at most all; 3 by
    /// default.
    pub fn store_members(mut self, count: usize) -> Self {
        self.store_members = count;
        self
    }

    /// Sets the data centres. Daemons and workers are assigned to them in turn.
    pub fn data_centers(mut self, names: &[&str]) -> Self {
        self.data_centers = names.iter().map(SmolStr::new).collect();
        self
    }

    /// Changes the settings of every daemon before its settings file is written.
    pub fn adjust_daemon(mut self, adjust: impl Fn(&mut DaemonSettings) + Send + Sync + 'static) -> Self {
        self.adjust_daemon.push(Box::new(adjust));
        self
    }

    /// Adds workers of ordinary size, named `worker-1`, `worker-2` and so on.
    pub fn workers(mut self, count: usize) -> Self {
        for _ in 0..count {
            let settings = self.next_worker();
            self.workers.push(settings);
        }
        self
    }

    /// Adds one worker whose settings `adjust` has changed.
    pub fn worker(mut self, adjust: impl FnOnce(&mut FakeWorkerSettings)) -> Self {
        let mut settings = self.next_worker();
        adjust(&mut settings);
        self.workers.push(settings);
        self
    }

    /// Sets whether workers run as tasks of the test, which is the default, or in their own processes.
    pub fn worker_mode(mut self, mode: WorkerMode) -> Self {
        self.worker_mode = mode;
        self
    }

    /// Sets the program of workers in their own processes. The default is the example `fake_worker`
    /// beside the test executable.
    pub fn worker_program(mut self, program: impl AsRef<Path>) -> Self {
        self.worker_program = Some(program.as_ref().to_path_buf());
        self
    }

    /// Places the fault-injecting proxy between daemons, and between daemons and workers. The parties
    /// have the names of daemons and workers. Callers and operators connect directly.
    ///
    /// Daemons must announce `peers.advertised_address` to each other.
    pub fn with_proxy(mut self, seed: u64) -> Self {
        self.proxy_seed = Some(seed);
        self
    }

    /// Adds records as YAML documents, which are written once the cell is ready.
    pub fn records(mut self, yaml: impl Into<String>) -> Self {
        self.records.push(yaml.into());
        self
    }

    /// Starts daemons and workers, waits until all daemons are ready and writes the records.
    pub async fn start(self) -> Result<Cell, CellError> {
        Cell::start(self).await
    }

    fn next_worker(&self) -> FakeWorkerSettings {
        let index = self.workers.len();
        let data_center = &self.data_centers[index % self.data_centers.len()];
        let rack = index / WORKERS_PER_RACK + 1;
        FakeWorkerSettings {
            data_center: DataCenter::new(data_center),
            name: WorkerName(format_smolstr!("worker-{}", index + 1)),
            rack: RackName(format_smolstr!("rack-{rack}")),
            ..FakeWorkerSettings::default()
        }
    }
}
