//! A small deployment on loopback addresses: five core daemons, two entry daemons, twelve workers and an operator.
//! Daemons and workers are processes; all of them end with the deployment.

use crate::{
    http,
    record::{Record, unix_ms},
};
use std::{
    fs::{self, File},
    io::{Result, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

const CORES: u8 = 5;
const ENTRIES: u8 = 2;
pub const WORKERS: usize = 12;
pub const WORKER_CPU: u64 = 32_000;
pub const SERVICE: &str = "huvo11a";
pub const HOST: &str = "nony24.example";
pub const KEY: &str = "6x73d3zji9n73hh2b9wu";
/// Queues by priority: quick tasks, tasks that last, and batch work.
pub const QUICK: &str = "/lohu930/";
pub const LASTING: &str = "/pule252/";
pub const BATCH: &str = "/pufi791/";
const CONTROL_PORT: u16 = 8_180;
const FRONT_PORT: u16 = 8_183;
const READY_PORT: u16 = 8_184;
const METRICS_PORT: u16 = 9_464;
const PEER_PORT: u16 = 7_420;
const WORKER_PORT: u16 = 8_080;
/// Port that a run holds on the first address of its network.
const LOCK_PORT: u16 = 9_999;
const ZONES: [&str; 3] = ["derb-omar", "habous", "ain-sebaa"];
const START_LIMIT: Duration = Duration::from_secs(25);
/// Time after which the platform closes the connection of a DELETE without an answer.
const DELETE_TIMEOUT: Duration = Duration::from_secs(10);
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

struct Process {
    name: String,
    child: Option<Child>,
}

/// A process that ends all others if the harness ends without having done so.
struct Guard(Child);

impl Guard {
    fn start() -> Result<Self> {
        let guard = Command::new(std::env::current_exe()?)
            .arg("guard")
            .stdin(Stdio::piped())
            .spawn()?;
        Ok(Self(guard))
    }

    fn add(&mut self, child: &Child) -> Result<()> {
        match &mut self.0.stdin {
            Some(stdin) => writeln!(stdin, "{}", child.id()),
            None => Ok(()),
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        // The others have ended, and nothing is left to do for it.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Reads the ids of processes until the harness ends, and kills them.
pub fn guard() {
    let lines = std::io::stdin().lines().map_while(Result::ok);
    let ids: Vec<u32> = lines.filter_map(|line| line.parse().ok()).collect();
    for id in ids {
        signal("KILL", id);
    }
}

/// A worker as the harness starts it.
struct WorkerProcess {
    address: SocketAddr,
    labels: String,
    process: Process,
    zone: &'static str,
}

pub struct Cell {
    daemons: Vec<Process>,
    guard: Guard,
    /// Keeps the network from other runs.
    _network_lock: TcpListener,
    /// Time from the start of a worker to its first heartbeat, in milliseconds.
    first_heartbeat_ms: u64,
    folder: PathBuf,
    network: [u8; 2],
    pub record: Record,
    record_path: PathBuf,
    repository: PathBuf,
    workers: Vec<WorkerProcess>,
}

impl Cell {
    /// Starts all processes and waits until the entries are ready. `labels_of` gives the kind and the rack of each
    /// worker.
    pub fn start(
        repository: &Path,
        record_path: &Path,
        first_heartbeat_ms: u64,
        labels_of: impl Fn(usize) -> [&'static str; 2],
    ) -> Result<Self> {
        let (network, network_lock) = free_network()?;
        let folder = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), unix_ms()));
        fs::create_dir_all(&folder)?;
        let mut cell = Self {
            daemons: Vec::new(),
            guard: Guard::start()?,
            _network_lock: network_lock,
            first_heartbeat_ms,
            folder,
            network,
            record: Record::open(record_path)?,
            record_path: record_path.to_owned(),
            repository: repository.to_owned(),
            workers: Vec::new(),
        };
        for number in 0..CORES + ENTRIES {
            cell.write_settings(number, true)?;
            cell.daemons.push(Process {
                name: daemon_name(number),
                child: None,
            });
            cell.start_daemon(number)?;
        }
        for number in 0..WORKERS {
            let address = SocketAddr::new(cell.ip(100 + number as u8), WORKER_PORT);
            cell.workers.push(WorkerProcess {
                address,
                labels: labels_of(number).join(","),
                process: Process {
                    name: worker_name(number),
                    child: None,
                },
                zone: ZONES[number % ZONES.len()],
            });
            cell.start_worker(number)?;
        }
        cell.configure()?;
        cell.wait_until_ready()?;
        // Traffic starts some seconds after the machines, once all workers have sent heartbeats.
        thread::sleep(Duration::from_secs(6));
        Ok(cell)
    }

    fn ip(&self, host: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.network[0], self.network[1], host))
    }

    fn daemon_ip(&self, number: u8) -> IpAddr {
        self.ip(10 + number)
    }

    fn settings_path(&self, number: u8) -> PathBuf {
        self.folder.join(format!("{}.conf", daemon_name(number)))
    }

    fn write_settings(&self, number: u8, is_first_start: bool) -> Result<()> {
        let ip = self.daemon_ip(number);
        let seeds: Vec<_> = (0..3)
            .map(|core| format!("{}:{CONTROL_PORT}", self.daemon_ip(core)))
            .collect();
        let zone = ZONES[number as usize % ZONES.len()];
        let name = daemon_name(number);
        let mut text = format!(
            "nodeName={name}\nip={ip}\nzone={zone}\nregion=casa-settat\ninternalPorts={PEER_PORT},7435\n\
             seeds={}\nbootstrap={is_first_start}\ninTolerance=false\nlimits.cpuShare=0.5\nlimits.cores=1\n\
             limits.memoryMb=256\nlimits.maxFds=4096\nlimits.linkMbps=1000.0\ndiscovery=registry\n\
             entry=vip\nheartbeatMs=1500\nfaultTolerance.machines=1\nbounds.contactMs=3000\n\
             bounds.graceS=6\nbounds.maxHoldMs=10000\nbounds.leaseMs=3000\nconfig_mode=highest\n\
             orders=request\n",
            seeds.join(",")
        );
        match number < CORES {
            true => {
                let data = self.folder.join(&name);
                fs::create_dir_all(&data)?;
                text.push_str(&format!(
                    "role=core\nmachineClass=core\nserves=control\nlisten.control={ip}:{CONTROL_PORT}\n\
                     limits.diskMb=128\ndataDir={}\n",
                    data.display()
                ));
            }
            false => text.push_str(&format!(
                "role=entry\nmachineClass=front\nserves=front\nlisten.front={ip}:{FRONT_PORT}\n\
                 listen.ready={ip}:{READY_PORT}\n"
            )),
        }
        fs::write(self.settings_path(number), text)
    }

    /// Starts a daemon with the command of the deploy file.
    fn start_daemon(&mut self, number: u8) -> Result<()> {
        let process = &self.daemons[number as usize];
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", process.name)))?;
        let child = Command::new(self.repository.join("target/release/fuchsiatackd"))
            .args(["--platform", "--cell-secret-file", "deploy/cell.secret"])
            .current_dir(&self.repository)
            .env("FUCHSIATACK_BOOT", self.settings_path(number))
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.guard.add(&child)?;
        self.daemons[number as usize].child = Some(child);
        Ok(())
    }

    /// Starts a worker's process; again under its name after it was killed.
    pub fn start_worker(&mut self, number: usize) -> Result<()> {
        let controls: Vec<_> = (0..CORES)
            .map(|core| format!("{}:{CONTROL_PORT}", self.daemon_ip(core)))
            .collect();
        let worker = &mut self.workers[number];
        let child = Command::new(std::env::current_exe()?)
            .arg("worker")
            .arg(&worker.process.name)
            .arg(worker.address.to_string())
            .arg(worker.zone)
            .arg(&worker.labels)
            .arg(WORKER_CPU.to_string())
            .arg(self.first_heartbeat_ms.to_string())
            .arg(controls.join(","))
            .arg(&self.record_path)
            .stdin(Stdio::null())
            .spawn()?;
        self.guard.add(&child)?;
        worker.process.child = Some(child);
        self.record.write(&format!(
            "worker {} is started with the labels {}",
            worker.process.name, worker.labels
        ));
        Ok(())
    }

    /// Kills a worker. Its runs end with it.
    pub fn kill_worker(&mut self, number: usize) {
        let process = &mut self.workers[number].process;
        kill(process);
        self.record
            .write(&format!("worker {} is down: killed", process.name));
    }

    /// Changes the labels that a worker has from its next start on.
    pub fn set_labels(&mut self, number: usize, labels: [&str; 2]) {
        self.workers[number].labels = labels.join(",");
    }

    /// Lets a worker report that it drains.
    pub fn drain_worker(&self, number: usize) -> Result<()> {
        let address = self.workers[number].address;
        http::call(address, "POST", "/test-drain", &[], "{}", CALL_TIMEOUT).map(drop)
    }

    /// Sends a worker's DELETE to a core daemon, and ends the worker. Its machine is taken away, so that the
    /// connection of the DELETE is not closed.
    pub fn take_worker_away(&mut self, number: usize, core: u8) {
        let control = SocketAddr::new(self.daemon_ip(core), CONTROL_PORT);
        let name = self.workers[number].process.name.clone();
        self.record
            .write(&format!("worker {name} sends DELETE to {control}"));
        let path = format!("/instances/{name}");
        thread::spawn(move || http::call(control, "DELETE", &path, &[], "", DELETE_TIMEOUT));
        thread::sleep(Duration::from_millis(100));
        kill(&mut self.workers[number].process);
        self.record.write(&format!("worker {name} is down: left"));
    }

    /// Lets a worker leave its next order unanswered.
    pub fn delay_next_order(&self, number: usize) -> Result<()> {
        let address = self.workers[number].address;
        http::call(address, "POST", "/test-late", &[], "{}", CALL_TIMEOUT).map(drop)
    }

    /// Returns the number of the leading core daemon, by its metrics.
    pub fn leader(&self) -> Option<u8> {
        (0..CORES).find(|core| {
            let address = SocketAddr::new(self.daemon_ip(*core), METRICS_PORT);
            let response = http::call(address, "GET", "/metrics", &[], "", Duration::from_millis(500));
            response.is_ok_and(|(_, text)| {
                let leads = |line: &str| line.trim_start_matches("fuchsiatack_") == "leads 1";
                text.lines().any(leads)
            })
        })
    }

    /// Freezes a core daemon, or lets it run on.
    pub fn set_frozen(&self, number: u8, is_frozen: bool) {
        let process = &self.daemons[number as usize];
        if let Some(child) = &process.child {
            signal(if is_frozen { "STOP" } else { "CONT" }, child.id());
        }
        self.record
            .write(&format!("daemon {} is frozen: {is_frozen}", process.name));
    }

    /// Lets a worker fail all that it starts, or ends that.
    pub fn set_failing(&self, number: usize, is_failing: bool) -> Result<()> {
        let worker = &self.workers[number];
        let path = format!("/test-failing/{}", if is_failing { "on" } else { "off" });
        http::call(worker.address, "POST", &path, &[], "{}", CALL_TIMEOUT)?;
        let name = &worker.process.name;
        self.record
            .write(&format!("worker {name} fails all that it starts: {is_failing}"));
        Ok(())
    }

    fn configure(&self) -> Result<()> {
        let route = |name: &str, prefix: &str, priority: u32, attempts: u32, target_ms: u32| {
            format!(
                r#"{{"name":"{name}","host":"{HOST}","pathPrefix":"{prefix}","type":"unsafe","timeoutMs":3000,"targetLatencyMs":{target_ms},"priority":{priority},"service":"{SERVICE}","maxAttempts":{attempts},"stretch":2.2,"public":false}}"#
            )
        };
        let body = format!(
            r#"{{"version":3,"routes":[{},{},{}],"services":[{{"name":"{SERVICE}","healthCheckPath":"/health","maxConnections":64,"protocol":"h1","tls":false,"rejectsOverload":false,"standby":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"kaje80","apiKeys":["{KEY}"],"priority":1,"weight":12,"cap":{{"cpu":300000,"memMb":1500000,"gpu":0}}}}]}}"#,
            route("r-cpihhac", QUICK, 0, 4, 250),
            route("r-v3nax7u", LASTING, 1, 4, 2_500),
            route("r-ruddede", BATCH, 2, 4, 1_200),
        );
        let deadline = Instant::now() + START_LIMIT;
        let mut core = 0;
        while Instant::now() < deadline {
            let address = SocketAddr::new(self.daemon_ip(core), CONTROL_PORT);
            let result = http::call(address, "PUT", "/config", &[], &body, Duration::from_secs(1));
            if result.is_ok_and(|(status, _)| status == 200) {
                self.record.write("operator: configuration 3 is acknowledged");
                return Ok(());
            }
            core = (core + 1) % CORES;
            thread::sleep(Duration::from_millis(200));
        }
        Err(std::io::Error::other("the configuration was not acknowledged"))
    }

    fn wait_until_ready(&self) -> Result<()> {
        let deadline = Instant::now() + START_LIMIT;
        let is_ready = |number: u8| {
            let address = SocketAddr::new(self.daemon_ip(number), READY_PORT);
            let response = http::call(address, "GET", "/ready", &[], "", Duration::from_secs(1));
            response.is_ok_and(|(status, _)| status == 200)
        };
        while Instant::now() < deadline {
            if (CORES..CORES + ENTRIES).all(is_ready) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(200));
        }
        Err(std::io::Error::other("the entries are not ready"))
    }

    /// Returns a client. Clients may be used by several threads.
    pub fn client(&self) -> Result<Client> {
        Ok(Client {
            entries: (CORES..CORES + ENTRIES)
                .map(|number| SocketAddr::new(self.daemon_ip(number), FRONT_PORT))
                .collect(),
            record: Record::open(&self.record_path)?,
        })
    }

    /// Copies the daemons' logs to a folder, for the search of a cause.
    pub fn keep_logs(&self, to: &Path) -> Result<()> {
        fs::create_dir_all(to)?;
        for process in &self.daemons {
            let name = format!("{}.log", process.name);
            fs::copy(self.folder.join(&name), to.join(&name))?;
        }
        Ok(())
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        for worker in &mut self.workers {
            kill(&mut worker.process);
        }
        for process in &mut self.daemons {
            kill(process);
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// A client of the tenant `kaje80`.
pub struct Client {
    entries: Vec<SocketAddr>,
    record: Record,
}

impl Client {
    /// Hands a job in; tries up to five times. Returns whether it was accepted.
    pub fn submit(&self, queue: &str, job: &str, spec: &str, steps: &str) -> bool {
        let body = format!(r#"{{"spec":"{spec}","steps":[{steps}]}}"#);
        (0..5).any(|attempt| {
            let status = self.call("POST", &format!("{queue}{job}"), &body, attempt);
            if status.is_none_or(|(status, _)| status >= 300) {
                thread::sleep(Duration::from_millis(200 << attempt));
            }
            matches!(status, Some((200..=299, _)))
        })
    }

    /// Returns the state of a job; empty if none was answered.
    pub fn state(&self, queue: &str, job: &str) -> String {
        let path = format!("{queue}{job}");
        let answer = (0..3).find_map(|attempt| match self.read(&path, attempt) {
            Some((200, body)) => Some(body),
            _ => None,
        });
        let state = answer.and_then(|body| crate::json::Json::parse(&body));
        state.map_or(String::new(), |state| state.text("state").to_owned())
    }

    fn read(&self, path: &str, attempt: usize) -> Option<(u16, String)> {
        let key = format!("Token {KEY}");
        let headers = [
            ("Host", HOST),
            ("Authorization", key.as_str()),
            ("Fuchsiatack-Deadline-Ms", "3000"),
        ];
        let entry = self.entries[attempt % self.entries.len()];
        let response = http::call(entry, "GET", path, &headers, "", CALL_TIMEOUT);
        let text = response
            .as_ref()
            .map_or("no response".to_owned(), |(status, body)| {
                format!("{status} {body}")
            });
        self.record.write(&format!("client GET {path}: {text}"));
        response.ok()
    }

    fn call(&self, method: &str, path: &str, body: &str, attempt: usize) -> Option<(u16, ())> {
        let key = format!("Token {KEY}");
        let headers = [
            ("Host", HOST),
            ("Authorization", key.as_str()),
            ("Fuchsiatack-Deadline-Ms", "3000"),
        ];
        let entry = self.entries[attempt % self.entries.len()];
        let response = http::call(entry, method, path, &headers, body, CALL_TIMEOUT);
        let text = response
            .as_ref()
            .map_or("no response".to_owned(), |(status, _)| status.to_string());
        self.record
            .write(&format!("client {method} {path} {body}: {text}"));
        response.ok().map(|(status, _)| (status, ()))
    }
}

fn daemon_name(number: u8) -> String {
    match number < CORES {
        true => format!("core-{}", number + 1),
        false => format!("front-{}", number - CORES + 1),
    }
}

/// Returns the name of a worker.
pub fn worker_name(number: usize) -> String {
    format!("i-7f3a91{number:02}")
}

fn kill(process: &mut Process) {
    if let Some(mut child) = process.child.take() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

fn signal(name: &str, id: u32) {
    let _ = Command::new("kill")
        .arg(format!("-{name}"))
        .arg(id.to_string())
        .status();
}

/// Finds a loopback network whose addresses have the ports free.
fn free_network() -> Result<([u8; 2], TcpListener)> {
    let start = unix_ms() / 7 + u64::from(std::process::id());
    for attempt in 0..50 {
        let number = start.wrapping_add(attempt * 257);
        let network = [(number % 180) as u8 + 40, (number / 180 % 250) as u8 + 1];
        let Ok(lock) = TcpListener::bind((Ipv4Addr::new(127, network[0], network[1], 1), LOCK_PORT)) else {
            continue;
        };
        let is_free = |host: u8, port: u16| {
            TcpListener::bind((Ipv4Addr::new(127, network[0], network[1], host), port)).is_ok()
        };
        let daemons = (10..10 + CORES + ENTRIES).all(|host| {
            let mut ports = [METRICS_PORT, PEER_PORT, CONTROL_PORT, FRONT_PORT, READY_PORT].into_iter();
            ports.all(|port| is_free(host, port))
        });
        if daemons && (100..100 + WORKERS as u8).all(|host| is_free(host, WORKER_PORT)) {
            return Ok((network, lock));
        }
    }
    Err(std::io::Error::other("no free loopback addresses"))
}
