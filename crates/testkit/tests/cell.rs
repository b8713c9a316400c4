//! Tests that a cell ends the processes that it started and keeps data and addresses across restarts.
//! A stub takes the place of the daemon.

use {
    fuchsiatack_testkit::{
        Behaviour, Cell, CellBuilder, DaemonSettings, TaskBody, WorkerEventKind, WorkerMode, example_program,
    },
    std::{
        fs,
        panic::{AssertUnwindSafe, catch_unwind},
        path::{Path, PathBuf},
        time::Duration,
    },
};

fn stub() -> PathBuf {
    example_program("stub_daemon").expect("cargo test builds the examples of this package")
}

fn is_alive(id: u32) -> bool {
    Path::new(&format!("/proc/{id}")).exists()
}

/// Guards against processes that survive a failed test and disturb later ones.
#[test]
fn a_panic_ends_all_processes() {
    let runtime = tokio::runtime::Runtime::new().expect("the runtime should start");
    let mut ids = Vec::new();
    let mut folder = PathBuf::new();

    let result = catch_unwind(AssertUnwindSafe(|| {
        runtime.block_on(async {
            let mut cell = CellBuilder::new(stub())
                .daemons(2)
                .workers(1)
                .worker_mode(WorkerMode::Process)
                .start()
                .await
                .expect("the cell should start");
            folder = cell.path().to_path_buf();
            ids.push(
                cell.daemon(1)
                    .process()
                    .id()
                    .expect("the daemon should be running"),
            );
            ids.push(
                cell.daemon(2)
                    .process()
                    .id()
                    .expect("the daemon should be running"),
            );
            ids.push(
                cell.worker("worker-1")
                    .process()
                    .expect("the worker should run as a process")
                    .id()
                    .expect("the process should be running"),
            );
            assert!(ids.iter().all(|id| is_alive(*id)));
            panic!("the panic of this test");
        })
    }));

    assert!(result.is_err());
    assert!(ids.iter().all(|id| !is_alive(*id)));
    assert!(!folder.exists());
}

/// Guards against a restart with another folder or address, and an erased data folder that is not empty.
#[tokio::test]
async fn restarts_on_the_same_data_and_address() {
    let mut cell = CellBuilder::new(stub())
        .daemons(4)
        .store_members(3)
        .data_centers(&["dc-a", "dc-b"])
        .start()
        .await
        .expect("the cell should start");
    let address = cell.daemon(1).caller_address();
    let data = cell
        .daemon(1)
        .settings()
        .store
        .data_folder
        .clone()
        .expect("the daemon should be a store member");
    assert_eq!(cell.daemon(4).settings().store.data_folder, None);
    assert_eq!(cell.daemon(2).settings().data_center, "dc-b");
    fs::write(data.join("entry"), "kept").expect("the file should be written");

    cell.daemon(1).kill();
    assert!(!cell.is_ready(1).await);
    cell.daemon(1).restart().expect("the daemon should restart");
    cell.wait_ready()
        .await
        .expect("the daemon should become ready again");
    assert_eq!(cell.daemon(1).caller_address(), address);
    assert!(data.join("entry").exists());

    cell.daemon(1)
        .erase_data_folder()
        .expect("the folder should be erased");
    assert!(data.exists() && !data.join("entry").exists());
    cell.daemon(1).restart().expect("the daemon should restart");
    cell.wait_ready()
        .await
        .expect("the daemon should become ready again");
    cell.stop().await.expect("all processes should exit with code 0");
}

/// Guards against a paused daemon that still responds, and workers that do not announce to another one.
#[tokio::test]
async fn workers_announce_to_another_daemon_while_one_is_paused() {
    let mut cell = CellBuilder::new(stub())
        .daemons(2)
        .worker(|worker| worker.leave_grace_ms = 50)
        .worker_mode(WorkerMode::Process)
        .start()
        .await
        .expect("the cell should start");
    cell.daemon(1).pause().expect("the signal should be delivered");
    assert!(!cell.is_ready(1).await);
    let second = cell.daemon(2).caller_address().to_string();

    cell.wait_until("the worker announced itself to entry-2", async |cell| {
        let events = cell.worker_events()?;
        Ok(events
            .iter()
            .any(|event| event.event == WorkerEventKind::Announced && event.detail == second))
    })
    .await
    .expect("the worker should announce itself");

    cell.daemon(1).resume().expect("the signal should be delivered");
    cell.wait_ready()
        .await
        .expect("the daemon should become ready again");
    cell.stop().await.expect("all processes should exit with code 0");
}

/// Guards against tasks of a paused worker that are logged as running after their lease expired, and
/// against a worker that continues them when it resumes.
#[tokio::test]
async fn a_lease_ends_while_its_worker_is_paused() {
    let mut cell = CellBuilder::new(stub())
        .worker(|worker| worker.leave_grace_ms = 50)
        .worker_mode(WorkerMode::Process)
        .start()
        .await
        .expect("the cell should start");
    let worker = cell.worker("worker-1").address();
    let client = reqwest::Client::builder()
        .no_proxy()
        .build()
        .expect("a client without TLS needs no system support");
    cell.wait_until("the worker is fenced", async |_| {
        let request = client
            .post(format!("http://{worker}/v1/epoch"))
            .json(&serde_json::json!({"epoch": 3, "lease_ms": 700}));
        Ok(request.send().await.is_ok())
    })
    .await
    .expect("the worker should respond");
    let body = TaskBody {
        behaviour: Behaviour::Hang,
        ..TaskBody::default()
    };
    let run = client
        .post(format!("http://{worker}/v1/tasks/1-1/run"))
        .header("fuchsiatack-epoch", 3)
        .header("fuchsiatack-team", "anfa")
        .body(body.to_json())
        .send();
    let run = tokio::spawn(run);
    cell.wait_until("the task runs", async |cell| {
        let events = cell.worker_events()?;
        Ok(events.iter().any(|event| event.event == WorkerEventKind::Started))
    })
    .await
    .expect("the worker should start the task");

    let process = cell
        .worker("worker-1")
        .process()
        .expect("the worker should run as a process");
    process.pause().expect("the signal should be delivered");
    tokio::time::sleep(Duration::from_secs(2)).await;
    process.resume().expect("the signal should be delivered");

    let status = run
        .await
        .expect("the task should not panic")
        .expect("the worker should respond")
        .status();
    assert_eq!(status, 410);
    let events = cell.worker_events().expect("the worker log should be readable");
    let at_us = |kind| {
        let event = events.iter().find(|event| event.event == kind);
        event.expect("the event should be logged").at_us
    };
    let ran_us = at_us(WorkerEventKind::Stopped) - at_us(WorkerEventKind::Fenced);
    assert!((300_000..1_800_000).contains(&ran_us), "the task ran {ran_us} us");
    cell.stop().await.expect("all processes should exit with code 0");
}

/// Guards against traffic between workers and daemons that bypasses the proxy, and a cut that affects the
/// wrong pair.
#[tokio::test]
async fn the_proxy_is_between_workers_and_daemons() {
    let mut cell = CellBuilder::new(stub())
        .daemons(2)
        .worker(|worker| worker.leave_grace_ms = 50)
        .with_proxy(1)
        .start()
        .await
        .expect("the cell should start");
    let peers = &cell.daemon(1).settings().peers;
    let advertised = peers
        .advertised_address
        .expect("the proxy should advertise an address");
    assert_ne!(advertised, peers.address);
    assert_eq!(cell.daemon(2).settings().store.members[0].address, advertised);
    let sent_bytes = |cell: &Cell, daemon: &str| {
        let traffic = cell.proxy().traffic();
        let found = traffic.get(&("worker-1".into(), daemon.into()));
        found.copied().unwrap_or_default().bytes
    };
    // The worker may have started before entry-1 listened, so it may announce itself to either daemon.
    let names = ["entry-1", "entry-2"];
    cell.wait_until("the worker announced itself", async |cell| {
        Ok(names.iter().any(|name| sent_bytes(cell, name) > 0))
    })
    .await
    .expect("the worker should announce itself");
    let is_first = sent_bytes(&cell, "entry-2") == 0;
    let [used, other] = if is_first { names } else { ["entry-2", "entry-1"] };
    assert_eq!(sent_bytes(&cell, other), 0);

    cell.proxy().cut("worker-1", used);
    cell.wait_until("the worker announced itself to the other daemon", async |cell| {
        Ok(sent_bytes(cell, other) > 0)
    })
    .await
    .expect("the worker should announce itself");
    cell.proxy().heal_all();
    cell.stop().await.expect("all processes should exit with code 0");
}

/// Guards against settings files that are read back with other values, and against optional keys that are
/// written without a value.
#[tokio::test]
async fn settings_have_the_form_of_the_design() {
    let mut cell = CellBuilder::new(stub())
        .adjust_daemon(|settings| settings.weight = 4)
        .start()
        .await
        .expect("the cell should start");
    let file = cell.path().join("entry-1.yaml");

    let text = fs::read_to_string(file).expect("the settings file should be readable");
    let read: DaemonSettings =
        serde_saphyr::from_str(&text).expect("the settings file should hold daemon settings");

    assert_eq!(&read, cell.daemon(1).settings());
    assert_eq!(read.weight, 4);
    assert!(!text.contains("advertised_address"));
}
