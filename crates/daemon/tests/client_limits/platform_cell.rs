//! Core daemons and one entry daemon of the platform, each a process with its own settings file.

use {
    crate::{
        http,
        process_usage::{Bounds, UsageWatch},
        record::Record,
        worker::{Work, Worker},
    },
    fuchsiatack_testkit::ChildProcess,
    serde_json::{Value, json},
    std::{
        fs,
        net::{Ipv4Addr, SocketAddr},
        path::Path,
        sync::{
            Arc,
            atomic::{AtomicU8, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
    tempfile::TempDir,
};

const CONTROL_PORT: u16 = 8_180;
const FRONT_PORT: u16 = 8_183;
const METRICS_PORT: u16 = 9_464;
const READY_PORT: u16 = 8_184;
const WORKER_PORT: u16 = 8_746;
/// Longest wait for a condition. It ends a test that hangs and is no measurement.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
const POLL_PERIOD: Duration = Duration::from_millis(100);
/// Memory of the core VM in MB, lowered from 256.
pub const CORE_MEMORY_MB: usize = 96;
/// Memory of the entry VM in MB, lowered from 120.
pub const ENTRY_MEMORY_MB: usize = 48;
/// Descriptors of each VM, lowered from 3,075 and 4,096. 200 of them are for files.
pub const MAX_DESCRIPTORS: usize = 300;
pub const HOST: &str = "jobs.example";
const KEY: &str = "key-of-team-anfa";
/// Path prefix of the only route.
pub const PREFIX: &str = "/repairs/";
/// Host and key of a caller, as lines of a request head.
pub const CALLER_HEADERS: &str = "Host: jobs.example\r\nAuthorization: Token key-of-team-anfa\r\n";

/// Distinguishes the cells of this test process.
static CELLS: AtomicU8 = AtomicU8::new(0);

/// Number of addresses of each cell.
const ADDRESSES: u8 = 8;
/// Last part of the addresses of the core daemons, the first of which is the one that tests call.
const CORE_HOSTS: [u8; 3] = [1, 4, 5];
const ENTRY_HOST: u8 = 2;
const WORKER_HOST: u8 = 3;

/// Running core daemons and an entry daemon with a configuration of one route.
pub struct PlatformCell {
    cores: Vec<ChildProcess>,
    entry: ChildProcess,
    folder: TempDir,
    network: [u8; 3],
}

impl PlatformCell {
    /// Starts one core daemon and the entry, and waits until the configuration is acknowledged and the entry is
    /// ready.
    pub fn start() -> Self {
        Self::start_with_cores(1)
    }

    /// Like `start`, with up to three core daemons.
    pub fn start_with_cores(count: usize) -> Self {
        let folder = tempfile::tempdir().expect("the folder should be created");
        let process = std::process::id();
        let first = ADDRESSES * CELLS.fetch_add(1, Ordering::Relaxed);
        let network = [180 + (process >> 8) as u8 % 70, process as u8, first];
        let ip = |host| Ipv4Addr::new(127, network[0], network[1], first + host);
        let core_ips: Vec<_> = CORE_HOSTS.iter().take(count).map(|host| ip(*host)).collect();
        let start = |ip, is_core| start_daemon(folder.path(), ip, &core_ips, is_core);
        let cores = core_ips.iter().map(|ip| start(*ip, true)).collect();
        let entry = start(ip(ENTRY_HOST), false);
        let cell = Self {
            cores,
            entry,
            folder,
            network,
        };
        let configuration = configuration(1).to_string();
        wait_until("the configuration is acknowledged", || {
            call(cell.control(), "PUT", "/config", "", &configuration)
                .is_some_and(|(status, _)| status == 200)
        });
        wait_until("the entry is ready", || cell.probe() == Some(200));
        cell
    }

    fn address(&self, host: u8, port: u16) -> SocketAddr {
        let [high, middle, first] = self.network;
        SocketAddr::from((Ipv4Addr::new(127, high, middle, first + host), port))
    }

    pub fn control(&self) -> SocketAddr {
        self.address(CORE_HOSTS[0], CONTROL_PORT)
    }

    pub fn core_metrics(&self) -> SocketAddr {
        self.address(CORE_HOSTS[0], METRICS_PORT)
    }

    pub fn callers(&self) -> SocketAddr {
        self.address(ENTRY_HOST, FRONT_PORT)
    }

    pub fn entry_metrics(&self) -> SocketAddr {
        self.address(ENTRY_HOST, METRICS_PORT)
    }

    pub fn readiness(&self) -> SocketAddr {
        self.address(ENTRY_HOST, READY_PORT)
    }

    pub fn watch_core(&self) -> UsageWatch {
        UsageWatch::start(self.cores[0].id().expect("the core should run"))
    }

    pub fn watch_entry(&self) -> UsageWatch {
        UsageWatch::start(self.entry.id().expect("the entry should run"))
    }

    pub fn core_bounds() -> Bounds {
        Bounds {
            descriptors: MAX_DESCRIPTORS,
            memory_mb: CORE_MEMORY_MB,
        }
    }

    pub fn entry_bounds() -> Bounds {
        Bounds {
            descriptors: MAX_DESCRIPTORS,
            memory_mb: ENTRY_MEMORY_MB,
        }
    }

    /// Starts a stand-in worker whose tasks end after a short time.
    pub fn start_worker(&self) -> Arc<Worker> {
        let record =
            Record::create(&self.folder.path().join("record")).expect("the record should be created");
        let work_time = Arc::new(|_: &str, _: u64| Work::done(300));
        Worker::start(
            0,
            self.address(WORKER_HOST, WORKER_PORT),
            vec![self.control()],
            "\"a\",\"r1-1\"",
            Arc::new(record),
            work_time,
        )
    }

    /// Returns the status of a readiness probe.
    pub fn probe(&self) -> Option<u16> {
        call(self.readiness(), "GET", "/ready", "", "").map(|(status, _)| status)
    }

    /// Submits a small job once, and returns the status.
    pub fn submit(&self, id: &str) -> Option<u16> {
        self.submit_body(
            id,
            r#"{"spec":"text","steps":[{"count":1,"cpu":100,"memMb":16,"estimatedMs":300}]}"#,
        )
    }

    /// Submits a job once, and returns the status.
    pub fn submit_body(&self, id: &str, body: &str) -> Option<u16> {
        self.call_job("POST", id, body).map(|(status, _)| status)
    }

    /// Reads the state of a job.
    pub fn read(&self, id: &str) -> Option<String> {
        let (_, body) = self.call_job("GET", id, "")?;
        http::text(&body, "state").map(str::to_owned)
    }

    fn call_job(&self, method: &str, id: &str, body: &str) -> Option<(u16, String)> {
        let authorization = format!("Token {KEY}");
        let headers = [("Host", HOST), ("Authorization", authorization.as_str())];
        let path = format!("{PREFIX}{id}");
        http::call(self.callers(), method, &path, &headers, body, CALL_TIMEOUT)
    }

    /// Checks that an ordinary job is accepted and that a readiness probe is answered.
    pub fn check_entry_serves(&self) {
        wait_until("a job is accepted", || {
            self.submit("5c0e7a21d94b36f8") == Some(200)
        });
        wait_until("a probe is answered", || self.probe().is_some());
    }

    /// Checks that an ordinary heartbeat is accepted.
    pub fn check_core_serves(&self) {
        let body = heartbeat(&[json!("a"), json!("r1-1")]).to_string();
        wait_until("a heartbeat is accepted", || {
            call(self.control(), "PUT", "/instances/i-1", "", &body).is_some_and(|(status, _)| status == 200)
        });
    }
}

/// Makes a request without headers of its own on a new connection. Returns status and body.
pub fn call(to: SocketAddr, method: &str, path: &str, host: &str, body: &str) -> Option<(u16, String)> {
    let headers = [("Host", host)];
    let headers = if host.is_empty() { &[][..] } else { &headers[..] };
    http::call(to, method, path, headers, body, CALL_TIMEOUT)
}

/// Polls a condition until it holds, and fails the test if it does not.
pub fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let begin = Instant::now();
    while !condition() {
        assert!(begin.elapsed() < WAIT_TIMEOUT, "never seen: {what}");
        thread::sleep(POLL_PERIOD);
    }
}

/// A heartbeat of a worker without room for tasks.
pub fn heartbeat(labels: &[Value]) -> Value {
    json!({
        "service": "idle", "address": "127.0.0.1:9", "zone": "z-a", "version": "v1", "slots": 0,
        "state": "draining", "coldRemainingMs": 0, "capacity": { "cpu": 0, "memMb": 0, "gpu": 0 },
        "labels": labels, "clockMs": 9, "sequence": 4, "born": 5, "machine": "m-9",
    })
}

/// A configuration of one service, one route and one team.
pub fn configuration(version: u64) -> Value {
    json!({
        "version": version,
        "routes": [{
            "name": "r-repairs", "host": HOST, "pathPrefix": PREFIX, "type": "unsafe", "timeoutMs": 3_000,
            "targetLatencyMs": 250, "priority": 0, "service": "desk", "maxAttempts": 2, "stretch": 1.5,
            "public": false,
        }],
        "services": [{
            "name": "desk", "healthCheckPath": "/health", "maxConnections": 64, "protocol": "h1",
            "tls": false, "rejectsOverload": false, "standby": false,
        }],
        "limits": {
            "maxHeaderBytes": 16_384, "maxBodyBytes": 262_144, "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": [{
            "name": "anfa", "apiKeys": [KEY], "priority": 1, "weight": 12,
            "cap": { "cpu": 0, "memMb": 0, "gpu": 0 },
        }],
    })
}

fn start_daemon(folder: &Path, ip: Ipv4Addr, cores: &[Ipv4Addr], is_core: bool) -> ChildProcess {
    let folder = folder.join(ip.to_string());
    fs::create_dir_all(&folder).expect("the folder should be created");
    let (serves, memory_mb) = match is_core {
        true => {
            let data = folder.join("data");
            let text = format!(
                "serves=control\nlisten.control={ip}:{CONTROL_PORT}\ndataDir={}",
                data.display()
            );
            (text, CORE_MEMORY_MB)
        }
        false => {
            let text =
                format!("serves=front\nlisten.front={ip}:{FRONT_PORT}\nlisten.ready={ip}:{READY_PORT}");
            (text, ENTRY_MEMORY_MB)
        }
    };
    let seeds: Vec<_> = cores.iter().map(|ip| format!("{ip}:{CONTROL_PORT}")).collect();
    let seeds = seeds.join(",");
    let settings = format!(
        "nodeName=vm-{ip}\nip={ip}\n{serves}\ninternalPorts=7420,7435\nseeds={seeds}\n\
         bootstrap=true\nbounds.graceS=6\nbounds.maxHoldMs=10000\nlimits.memoryMb={memory_mb}\n\
         limits.maxFds={MAX_DESCRIPTORS}\n"
    );
    let file = folder.join("node.conf");
    fs::write(&file, settings).expect("the settings file should be written");
    let secret = folder.join("secret");
    fs::write(&secret, "secret of a test cell").expect("the secret should be written");
    let arguments = vec![
        "--platform".into(),
        "--cell-secret-file".into(),
        secret.into(),
        "--boot-file".into(),
        file.into(),
    ];
    let program = Path::new(env!("CARGO_BIN_EXE_fuchsiatackd"));
    ChildProcess::start(program, arguments, &folder.join("output")).expect("the daemon should start")
}
