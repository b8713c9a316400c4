//! Orders to empty data centres across restarts of the whole core. Guards against an acknowledged order that
//! is lost with the processes.

mod common;

use {
    common::{caller, wait_for},
    fuchsiatack_jobs::{CellCall, CellReport, CellResponse, PlannerSettings},
    fuchsiatack_ledger::Command,
    fuchsiatack_model::DataCenter,
    fuchsiatack_store::{InitialMember, JobsSettings, Store, StoreSettings, WorkMetrics},
    fuchsiatack_wire::{CellSecret, Request, Response},
    std::{path::Path, time::Duration},
    tokio::{
        sync::{mpsc::unbounded_channel, watch},
        time::sleep,
    },
};

/// Number of entries after which a snapshot is taken.
const SNAPSHOT_ENTRIES: u64 = 20;
/// Pause between two tries of a call, in milliseconds.
const RETRY_MS: u64 = 20;
/// Maximum number of tries of a call.
const MAX_TRIES: u32 = 500;

/// The only member of a core, with its latest report on the cell.
struct Core {
    reports: watch::Receiver<CellReport>,
    store: Store,
}

impl Core {
    fn start(folder: &Path) -> Self {
        let (sender, reports) = watch::channel(CellReport::default());
        let listed = InitialMember {
            address: ([127, 0, 0, 1], 1).into(),
            name: "store-0".into(),
        };
        let settings = StoreSettings {
            jobs: Some(JobsSettings {
                effects: unbounded_channel().0,
                log_events: unbounded_channel().0,
                planner: PlannerSettings::default(),
                reports: sender,
                work: WorkMetrics::default(),
            }),
            snapshot_entries: SNAPSHOT_ENTRIES,
            ..StoreSettings::new("store-0", folder, vec![listed], CellSecret::new("store tests"))
        };
        let store = Store::start(settings).expect("the data folder is readable");
        Self { reports, store }
    }

    /// Sends a call until it is acknowledged.
    async fn acknowledge(&self, call: &CellCall) {
        for _ in 0..MAX_TRIES {
            let request = Request::Cell(Box::new(call.clone()));
            if let Response::Cell(response) = self.store.call(caller(1).0, request).await
                && *response == CellResponse::Done
            {
                return;
            }
            sleep(Duration::from_millis(RETRY_MS)).await;
        }
        panic!("the call was not acknowledged");
    }

    /// Appends entries until a snapshot is due.
    async fn append_entries(&self) {
        for _ in 0..=SNAPSHOT_ENTRIES {
            let request = Request::Propose(Box::new(Command::Noop));
            self.store.call(caller(1).0, request).await;
        }
    }

    /// Returns the evacuated data centres of the first report.
    async fn evacuated(&mut self) -> Vec<String> {
        wait_for("a report", || {
            self.reports.has_changed().ok().filter(|changed| *changed)
        })
        .await;
        let report = self.reports.borrow_and_update();
        let names = report
            .evacuations
            .iter()
            .map(|evacuation| &evacuation.data_center);
        names.map(ToString::to_string).collect()
    }

    /// Ends the member without a planned stop.
    async fn crash(self, folder: &Path) {
        drop(self);
        let lock = std::fs::File::open(folder.join("lock")).expect("the data folder has a lock");
        wait_for("the lock", || lock.try_lock().ok()).await;
    }
}

fn evacuate(data_center: &str) -> CellCall {
    CellCall::EvacuateDataCenter {
        data_center: DataCenter::new(data_center),
        ordered_by: None,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn acknowledged_orders_survive_the_loss_of_all_processes() {
    let folder = tempfile::tempdir().expect("a folder can be created");
    let core = Core::start(folder.path());
    core.acknowledge(&evacuate("in-snapshot")).await;
    core.acknowledge(&evacuate("restored")).await;
    core.append_entries().await;
    core.acknowledge(&evacuate("in-log")).await;
    core.acknowledge(&CellCall::RestoreDataCenter(DataCenter::new("restored")))
        .await;
    core.crash(folder.path()).await;

    let mut core = Core::start(folder.path());
    let first = core.evacuated().await;
    core.crash(folder.path()).await;
    let mut core = Core::start(folder.path());
    let second = core.evacuated().await;

    assert_eq!(first, ["in-log", "in-snapshot"]);
    assert_eq!(second, first);
}
