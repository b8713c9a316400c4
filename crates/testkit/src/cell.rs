//! A cell of real daemon processes and fake workers.

use {
    crate::{
        AddressSettings, CallerSettings, CellBuilder, CellDaemon, CellError, CellWorker, Control,
        ControlEvent, DaemonSettings, ElectionSettings, FakeWorkerSettings, History, LeaseSettings,
        LoadSettings, LogSettings, MemberSettings, Proxy, StoreSettings, TraceSettings, WorkerEvent,
        free_address, read_json_log,
    },
    fuchsiatack_model::{KeyName, TeamName, WorkName, WorkerName},
    futures_util::future::try_join_all,
    serde_json::Value,
    std::{
        collections::BTreeMap,
        env, fs,
        net::SocketAddr,
        path::{Path, PathBuf},
        time::Duration,
    },
    tempfile::TempDir,
    tokio::time::{Instant, sleep},
};

/// Longest wait for a condition of a test. Generous, because the machines that run tests are shared.
pub const WAIT_LIMIT: Duration = Duration::from_secs(60);
/// Environment variable that, when set, keeps the folder of a cell after the test.
const KEEP_FOLDERS_VARIABLE: &str = "TESTKIT_KEEP_FOLDERS";
/// Event log of the load generator in the cell's folder.
const CALLER_LOG: &str = "callers.jsonl";
/// Length of the end of each daemon's log that is printed when a test fails, in bytes.
const LOG_TAIL_BYTES: usize = 4_000;
const OPERATOR_KEY: &str = "operator-key-of-a-test";
/// Longest wait for a response to `GET /ready`; a paused daemon does not respond.
const READY_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which a condition of a test is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// A running cell. Dropping it kills its processes. If a test panics, the ends of the daemons' logs are
/// printed as well.
pub struct Cell {
    builder: CellBuilder,
    client: reqwest::Client,
    controls: Vec<ControlEvent>,
    daemons: Vec<CellDaemon>,
    folder: Option<TempDir>,
    members: Vec<MemberSettings>,
    /// Number of record writes so far; part of the operation identifier.
    operation_count: u64,
    /// Number of the daemon that record writes go through; the first running one if absent.
    writer: Option<usize>,
    path: PathBuf,
    proxy: Option<Proxy>,
    workers: BTreeMap<String, CellWorker>,
}

impl Cell {
    pub(crate) async fn start(mut builder: CellBuilder) -> Result<Self, CellError> {
        let folder = tempfile::Builder::new().prefix("fuchsiatack-cell-").tempdir()?;
        let path = folder.path().to_path_buf();
        fs::write(path.join("cell.secret"), "cell-secret-of-a-test")?;
        fs::write(path.join("operator.key"), OPERATOR_KEY)?;
        let workers = std::mem::take(&mut builder.workers);
        let count = builder.daemons;
        let proxy = builder.proxy_seed.map(Proxy::new);
        let mut cell = Self {
            builder,
            client: reqwest::Client::builder()
                .no_proxy()
                .timeout(Duration::from_secs(10))
                .build()
                .expect("a client without TLS needs no system support"),
            controls: Vec::new(),
            daemons: Vec::new(),
            folder: Some(folder),
            members: Vec::new(),
            operation_count: 0,
            writer: None,
            path,
            proxy,
            workers: BTreeMap::new(),
        };
        let mut peers = Vec::new();
        for index in 0..count {
            peers.push(cell.peer_settings(index).await?);
        }
        cell.members = peers
            .iter()
            .take(cell.builder.store_members)
            .enumerate()
            .map(|(index, peer)| MemberSettings {
                name: daemon_name(index),
                address: peer.advertised_address.unwrap_or(peer.address),
            })
            .collect();
        for (index, peer) in peers.into_iter().enumerate() {
            let settings = cell.daemon_settings(index, peer)?;
            cell.start_daemon(settings)?;
        }
        for settings in workers {
            cell.add_worker(settings).await?;
        }
        cell.wait_ready().await?;
        for records in cell.builder.records.clone() {
            cell.apply(&records).await?;
        }
        Ok(cell)
    }

    /// Folder with the settings, logs and data of the cell.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Daemons in the order of their numbers.
    pub fn daemons(&mut self) -> &mut [CellDaemon] {
        &mut self.daemons
    }

    /// Daemon `entry-{number}`; numbers start at 1.
    pub fn daemon(&mut self, number: usize) -> &mut CellDaemon {
        &mut self.daemons[number - 1]
    }

    /// Worker with this name; panics if there is none.
    pub fn worker(&mut self, name: &str) -> &mut CellWorker {
        self.workers
            .get_mut(name)
            .unwrap_or_else(|| panic!("the cell has no worker {name}"))
    }

    /// Proxy of the cell; panics if the cell was built without one.
    pub fn proxy(&self) -> &Proxy {
        self.proxy.as_ref().expect("the cell was built with `with_proxy`")
    }

    /// Addresses of all daemons for callers, in the order of their numbers.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(CellDaemon::caller_address).collect()
    }

    /// File with the operator's key.
    pub fn operator_key_file(&self) -> PathBuf {
        self.path.join("operator.key")
    }

    /// Starts another daemon, without the store role, and returns its number.
    pub async fn add_daemon(&mut self) -> Result<usize, CellError> {
        let index = self.daemons.len();
        let peers = self.peer_settings(index).await?;
        let settings = self.daemon_settings(index, peers)?;
        self.start_daemon(settings)?;
        Ok(self.daemons.len())
    }

    /// Starts another worker. A port 0, missing entry addresses and a missing event log are filled in.
    pub async fn add_worker(&mut self, mut settings: FakeWorkerSettings) -> Result<(), CellError> {
        if settings.address.port() == 0 {
            settings.address = free_address()?;
        }
        if settings.entries.is_empty() {
            settings.entries = self.caller_addresses();
            let first = self.workers.len() % settings.entries.len().max(1);
            settings.entries.rotate_left(first);
        }
        let log = self.path.join(format!("{}.events", settings.name));
        settings.log.get_or_insert(log);
        self.route_worker(&mut settings).await?;
        let name = settings.name.to_string();
        let mode = self.builder.worker_mode;
        let program = self.builder.worker_program.as_deref();
        let worker = CellWorker::start(settings, mode, program, &self.path).await?;
        self.workers.insert(name, worker);
        Ok(())
    }

    /// Waits until a condition is true, at most `WAIT_LIMIT`. An error of the condition counts as false.
    /// `description` completes "timed out while waiting until" in the error.
    pub async fn wait_until<F>(&mut self, description: &str, mut condition: F) -> Result<(), CellError>
    where
        F: AsyncFnMut(&mut Self) -> Result<bool, CellError>,
    {
        let deadline = Instant::now() + WAIT_LIMIT;
        loop {
            let result = condition(self).await;
            if let Ok(true) = result {
                return Ok(());
            }
            if Instant::now() >= deadline {
                return Err(CellError::TimedOut {
                    condition: description.to_owned(),
                    last: format!("{result:?}"),
                });
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until every running daemon is ready, at most `WAIT_LIMIT`.
    pub async fn wait_ready(&mut self) -> Result<(), CellError> {
        self.wait_until("all daemons are ready", async |cell| {
            for index in 0..cell.daemons.len() {
                if cell.daemons[index].process().is_running() && !cell.is_ready(index + 1).await {
                    return Ok(false);
                }
            }
            Ok(true)
        })
        .await
    }

    /// Returns whether daemon `entry-{number}` responds to `GET /ready` with a success status.
    pub async fn is_ready(&self, number: usize) -> bool {
        let address = self.daemons[number - 1].operator_address();
        let request = self.client.get(format!("http://{address}/ready"));
        let response = request.timeout(READY_TIMEOUT).send().await;
        response.is_ok_and(|response| response.status().is_success())
    }

    /// Reads `GET /v1/status` of daemon `entry-{number}`.
    pub async fn status(&self, number: usize) -> Result<Value, CellError> {
        self.operate(number, reqwest::Method::GET, "/v1/status", None)
            .await
    }

    /// Reads the metrics of daemon `entry-{number}` in their text format.
    pub async fn metrics(&self, number: usize) -> Result<String, CellError> {
        let call = format!("http://{}/metrics", self.daemons[number - 1].operator_address());
        let failed = |error: reqwest::Error| CellError::Call {
            call: call.clone(),
            cause: error.to_string(),
        };
        let response = self.client.get(&call).send().await.map_err(failed)?;
        response.text().await.map_err(failed)
    }

    /// Waits until all daemons together report this number of free slots, at most `WAIT_LIMIT`.
    pub async fn wait_free_slots(&mut self, slots: u64) -> Result<(), CellError> {
        self.wait_until(
            format!("the daemons report {slots} free slots").as_str(),
            async |cell| {
                let mut free = 0.0;
                for index in 0..cell.daemons.len() {
                    let metrics = cell.metrics(index + 1).await?;
                    let values = metrics.lines().filter_map(|line| line.rsplit_once(' '));
                    free += values
                        .filter(|(name, _)| name.ends_with("free_slots"))
                        .filter_map(|(_, value)| value.parse::<f64>().ok())
                        .sum::<f64>();
                }
                Ok(free as u64 == slots)
            },
        )
        .await
    }

    /// Writes all records of a YAML text, one after the other.
    pub async fn apply(&mut self, yaml: &str) -> Result<(), CellError> {
        let records: Vec<Value> =
            serde_saphyr::from_multiple(yaml).map_err(|error| CellError::Io(std::io::Error::other(error)))?;
        for record in records {
            self.put_record(&record).await?;
        }
        Ok(())
    }

    /// Writes one record through the first running daemon, or the one set by [`Self::write_through`], and
    /// returns the response.
    pub async fn put_record(&mut self, record: &Value) -> Result<Value, CellError> {
        let text = |field: &str| record[field].as_str().unwrap_or_default().to_owned();
        let path = format!("/v1/records/{}/{}", text("kind"), text("name"));
        let number = self.writing_daemon();
        self.operation_count += 1;
        let response = self
            .operate(number, reqwest::Method::PUT, &path, Some(record))
            .await?;
        let control = match text("kind").as_str() {
            "drain" => Some(Control::Drained {
                worker: WorkerName::new(text("name")),
            }),
            "limit" => limit_set(&record["spec"]),
            "work" => work_submitted(record),
            _ => None,
        };
        self.controls.extend(control.map(ControlEvent::now));
        Ok(response)
    }

    /// Reads one record in schema version 2 from daemon `entry-{number}`.
    pub async fn get_record(&self, number: usize, kind: &str, name: &str) -> Result<Value, CellError> {
        let path = format!("/v1/records/{kind}/{name}?schema=2");
        self.operate(number, reqwest::Method::GET, &path, None).await
    }

    /// Deletes one record if it still has this version, and returns the response.
    pub async fn delete_record(&mut self, kind: &str, name: &str, version: u64) -> Result<Value, CellError> {
        let path = format!("/v1/records/{kind}/{name}?version={version}");
        let number = self.writing_daemon();
        self.operation_count += 1;
        let response = self.operate(number, reqwest::Method::DELETE, &path, None).await?;
        let control = match kind {
            "drain" => Some(Control::DrainEnded {
                worker: WorkerName::new(name),
            }),
            "key" => Some(Control::KeyWithdrawn {
                key: KeyName::new(name),
            }),
            _ => None,
        };
        self.controls.extend(control.map(ControlEvent::now));
        Ok(response)
    }

    /// Kills a worker and records that for the history checker.
    pub fn kill_worker(&mut self, name: &str) {
        self.worker(name).kill();
        self.record(Control::WorkerKilled {
            worker: WorkerName::new(name),
        });
    }

    /// Records an action for the history checker that was not performed through this type.
    pub fn record(&mut self, control: Control) {
        self.controls.push(ControlEvent::now(control));
    }

    /// Records for the history checker that a work, given as a record of schema version 2, was accepted.
    pub fn record_work(&mut self, record: &Value) {
        self.controls
            .extend(work_submitted(record).map(ControlEvent::now));
    }

    /// Records the status of a work at the end of a test, as `GET /v1/work/{name}` returns it.
    pub fn record_work_end(&mut self, name: &str, status: &Value) -> Result<(), CellError> {
        let outcomes = serde_json::from_value(status["outcomes"].clone()).map_err(std::io::Error::other)?;
        let work = WorkName::new(name);
        self.record(Control::WorkEnded { outcomes, work });
        Ok(())
    }

    /// Settings of a load on all daemons with an event log for the history checker. The caller must add
    /// teams.
    pub fn load_settings(&self) -> LoadSettings {
        LoadSettings {
            entries: self.caller_addresses(),
            log: Some(self.path.join(CALLER_LOG)),
            ..LoadSettings::default()
        }
    }

    /// Returns the events of workers and callers so far, and the actions of the test.
    pub fn history(&self) -> Result<History, CellError> {
        let mut history = History {
            controls: self.controls.clone(),
            workers: self.worker_events()?,
            ..History::default()
        };
        let callers = self.path.join(CALLER_LOG);
        if callers.exists() {
            history.read_callers(&callers)?;
        }
        Ok(history)
    }

    /// Sends an operator's request to daemon `entry-{number}` and returns the JSON body of the response,
    /// or null if it is empty. A status other than success is an error.
    pub async fn operate(
        &self,
        number: usize,
        method: reqwest::Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Value, CellError> {
        let address = self.daemons[number - 1].operator_address();
        let call = format!("{method} http://{address}{path}");
        let failed = |cause: String| CellError::Call {
            call: call.clone(),
            cause,
        };
        let mut request = self
            .client
            .request(method, format!("http://{address}{path}"))
            .bearer_auth(OPERATOR_KEY)
            .header(
                "fuchsiatack-operation-id",
                format!("test-{}", self.operation_count),
            );
        if let Some(body) = body {
            request = request.json(body);
        }
        let response = request.send().await.map_err(|error| failed(error.to_string()))?;
        let status = response.status();
        let text = response.text().await.map_err(|error| failed(error.to_string()))?;
        match status.is_success() {
            true if text.is_empty() => Ok(Value::Null),
            true => serde_json::from_str(&text).map_err(|error| failed(error.to_string())),
            false => Err(failed(format!("{status} {text}"))),
        }
    }

    /// Events of all workers so far, ordered by time.
    pub fn worker_events(&self) -> Result<Vec<WorkerEvent>, CellError> {
        let mut events = Vec::new();
        for worker in self.workers.values() {
            if let Some(log) = &worker.settings().log {
                events.extend(read_json_log::<WorkerEvent>(log)?);
            }
        }
        // The stable sort keeps the order of events of one worker in the same microsecond.
        events.sort_by_key(|event| event.at_us);
        Ok(events)
    }

    /// Stops workers, then daemons, gracefully. Returns an error unless all processes end with exit code 0.
    pub async fn stop(mut self) -> Result<(), CellError> {
        let stops = self.workers.values_mut().map(|worker| worker.stop(WAIT_LIMIT));
        try_join_all(stops).await?;
        for daemon in &mut self.daemons {
            if !daemon.process().is_running() {
                continue;
            }
            let status = daemon.stop(WAIT_LIMIT).await?;
            if !status.success() {
                let name = &daemon.settings().name;
                return Err(CellError::Io(std::io::Error::other(format!(
                    "daemon {name} ended with {status}"
                ))));
            }
        }
        Ok(())
    }

    /// Sends later record writes to daemon `entry-{number}` instead of the first running one.
    pub fn write_through(&mut self, number: usize) {
        self.writer = Some(number);
    }

    fn writing_daemon(&mut self) -> usize {
        match self.writer {
            Some(number) => number,
            None => self.first_running(),
        }
    }

    fn first_running(&mut self) -> usize {
        let running = self
            .daemons
            .iter_mut()
            .position(|daemon| daemon.process().is_running());
        running.unwrap_or(0) + 1
    }

    fn start_daemon(&mut self, settings: DaemonSettings) -> Result<(), CellError> {
        let daemon = CellDaemon::start(
            &self.builder.daemon_program,
            settings,
            &self.path,
            self.proxy.clone(),
        )?;
        self.daemons.push(daemon);
        Ok(())
    }

    async fn peer_settings(&self, index: usize) -> Result<AddressSettings, CellError> {
        let address = free_address()?;
        let advertised_address = match &self.proxy {
            None => None,
            Some(proxy) => Some(proxy.open(&daemon_name(index), address).await?),
        };
        Ok(AddressSettings {
            address,
            advertised_address,
        })
    }

    /// Routes the traffic of a worker through the proxy in both directions.
    async fn route_worker(&self, settings: &mut FakeWorkerSettings) -> Result<(), CellError> {
        let Some(proxy) = &self.proxy else { return Ok(()) };
        let name = settings.name.as_str();
        settings.advertised_address = Some(proxy.open(name, settings.address).await?);
        for daemon in &self.daemons {
            let address = daemon.caller_address();
            let proxy_address = proxy.open_from(name, &daemon.settings().name, address).await?;
            settings.routes.insert(address.to_string().into(), proxy_address);
        }
        Ok(())
    }

    fn daemon_settings(&self, index: usize, peers: AddressSettings) -> Result<DaemonSettings, CellError> {
        let name = daemon_name(index);
        let is_member = self.members.iter().any(|member| member.name == name);
        let data_folder = self.path.join(format!("{name}.data"));
        if is_member {
            fs::create_dir_all(&data_folder)?;
        }
        let data_centers = &self.builder.data_centers;
        let roles: &[&str] = if is_member {
            &["entry", "store"]
        } else {
            &["entry"]
        };
        let mut settings = DaemonSettings {
            data_center: data_centers[index % data_centers.len()].to_string(),
            roles: roles.iter().map(ToString::to_string).collect(),
            weight: 1,
            cell_secret_file: self.path.join("cell.secret"),
            operator_key_file: self.operator_key_file(),
            callers: CallerSettings {
                address: free_address()?,
                advertised_address: None,
                max_body_bytes: 1 << 20,
                max_connections: 4_096,
            },
            operators: AddressSettings {
                address: free_address()?,
                advertised_address: None,
            },
            peers,
            placement_rule: None,
            store: StoreSettings {
                data_folder: is_member.then_some(data_folder),
                members: self.members.clone(),
            },
            leases: LeaseSettings::default(),
            election: ElectionSettings::default(),
            log: LogSettings {
                level: "info".to_owned(),
                file: None,
            },
            traces: TraceSettings { file: None },
            name,
        };
        for adjust in &self.builder.adjust_daemon {
            adjust(&mut settings);
        }
        Ok(settings)
    }

    fn print_logs(&self) {
        for daemon in &self.daemons {
            let output = daemon.output().unwrap_or_default();
            let mut start = output.len().saturating_sub(LOG_TAIL_BYTES);
            while !output.is_char_boundary(start) {
                start += 1;
            }
            eprintln!("--- end of the log of {}", daemon.settings().name);
            eprintln!("{}", &output[start..]);
        }
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.print_logs();
        }
        self.workers.clear();
        self.daemons.clear();
        if env::var_os(KEEP_FOLDERS_VARIABLE).is_some()
            && let Some(folder) = self.folder.take()
        {
            eprintln!("folder of the cell kept: {}", folder.keep().display());
        }
    }
}

fn limit_set(spec: &Value) -> Option<Control> {
    Some(Control::LimitSet {
        max_running: spec["max_running"].as_u64()?.try_into().ok()?,
        team: TeamName::new(spec["team"].as_str()?),
    })
}

fn work_submitted(record: &Value) -> Option<Control> {
    let spec = &record["spec"];
    Some(Control::WorkSubmitted {
        idempotent: spec["idempotent"].as_bool()?,
        tasks: spec["tasks"].as_u64()?.try_into().ok()?,
        work: WorkName::new(record["name"].as_str()?),
    })
}

fn daemon_name(index: usize) -> String {
    format!("entry-{}", index + 1)
}
