//! The daemons of a small deployment, each a process with the command of the deploy file, and the clients and
//! the operator that call them.

use crate::{http, record::Record};
use std::{
    fs::{self, File},
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Arc,
    time::{Duration, Instant},
};

const CONTROL_PORT: u16 = 8_180;
const FRONT_PORT: u16 = 8_183;
const READY_PORT: u16 = 8_184;
const WORKER_PORT: u16 = 8_746;
pub const HOST: &str = "nony24.example";
pub const KEY: &str = "6x73d3zji9n73hh2b9wu";
pub const PREFIX: &str = "/lohu930/";
/// `maxAttempts` of the queues.
pub const MAX_ATTEMPTS: usize = 2;

struct Daemon {
    process: Child,
}

/// The daemons and their folder. Dropping it ends all of them.
pub struct Cell {
    block: (u8, u8),
    daemons: Vec<Daemon>,
    folder: PathBuf,
    record: Arc<Record>,
}

impl Cell {
    /// Starts five core daemons and three entry daemons, and waits until the first configuration is acknowledged
    /// and the entries are ready. `None` if that takes too long.
    pub fn start(record: Arc<Record>) -> Option<Self> {
        let block = free_block()?;
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).ok()?;
        let mut cell = Self {
            block,
            daemons: Vec::new(),
            folder,
            record,
        };
        for host in [1, 2, 3, 4, 5, 11, 12, 13] {
            cell.write_settings(host, true)?;
            cell.spawn(host)?;
        }
        let begin = Instant::now();
        while !cell.configure(7, true) {
            if begin.elapsed() > Duration::from_secs(12) {
                return None;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        while !cell
            .entries()
            .iter()
            .all(|entry| is_ready(SocketAddr::new(entry.ip(), READY_PORT)))
        {
            if begin.elapsed() > Duration::from_secs(16) {
                return None;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        cell.record.say("the cell is formed, configured and ready");
        Some(cell)
    }

    fn address(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(Ipv4Addr::new(127, self.block.0, self.block.1, host).into(), port)
    }

    /// Control addresses of the core daemons.
    pub fn control(&self) -> Vec<SocketAddr> {
        (1..=5).map(|host| self.address(host, CONTROL_PORT)).collect()
    }

    /// Addresses of the entry daemons for clients.
    pub fn entries(&self) -> Vec<SocketAddr> {
        (11..=13).map(|host| self.address(host, FRONT_PORT)).collect()
    }

    /// Address of a worker.
    pub fn worker_address(&self, number: usize) -> SocketAddr {
        self.address(101 + number as u8, WORKER_PORT)
    }

    fn folder_of(&self, host: u8) -> PathBuf {
        self.folder.join(format!("vm-{host}"))
    }

    fn write_settings(&self, host: u8, is_first_start: bool) -> Option<()> {
        let is_core = host < 10;
        let folder = self.folder_of(host);
        fs::create_dir_all(&folder).ok()?;
        let ip = self.address(host, 1).ip();
        let seeds: Vec<_> = (1..=3)
            .map(|seed| self.address(seed, CONTROL_PORT).to_string())
            .collect();
        let seeds = seeds.join(",");
        let class = if is_core { "core" } else { "front" };
        let serves = match is_core {
            true => format!(
                "serves=control\nlisten.control={}\ndataDir={}",
                self.address(host, CONTROL_PORT),
                folder.join("data").display()
            ),
            false => format!(
                "serves=front\nlisten.front={}\nlisten.ready={}",
                self.address(host, FRONT_PORT),
                self.address(host, READY_PORT)
            ),
        };
        let text = format!(
            "nodeName={class}-{host}\nrole={}\nmachineClass={class}\n{serves}\nip={ip}\nzone=z-a\nregion=r-a\n\
             zones.z-a=r-a\ninternalPorts=7420,7435\nseeds={seeds}\nbootstrap={is_first_start}\ninTolerance={is_core}\n\
             discovery=registry\nentry=vip\nheartbeatMs=1500\nfaultTolerance.machines=1\nbounds.contactMs=3000\n\
             bounds.graceS=6\nbounds.configApplyMs=2000\nbounds.maxHoldMs=10000\nbounds.stopMs=200\nbounds.cancel_ms=3000\n\
             bounds.visible_ms=3000\nbounds.status_s=120\nbounds.fencingRequired=true\nbounds.leaseMs=3000\n\
             config_mode=highest\norders=request\n",
            if is_core { "core" } else { "entry" },
        );
        fs::write(folder.join("node.conf"), text).ok()
    }

    fn spawn(&mut self, host: u8) -> Option<()> {
        let folder = self.folder_of(host);
        let output = File::options()
            .create(true)
            .append(true)
            .open(folder.join("output"))
            .ok()?;
        let process = Command::new("target/release/fuchsiatackd")
            .args(["--platform", "--cell-secret-file", "deploy/cell.secret"])
            .env("FUCHSIATACK_BOOT", folder.join("node.conf"))
            .stdin(Stdio::null())
            .stdout(output.try_clone().ok()?)
            .stderr(output)
            .spawn()
            .ok()?;
        self.daemons.push(Daemon { process });
        Some(())
    }

    /// Sends a configuration, with the queue of the jobs or without it. Returns whether it is acknowledged.
    pub fn configure(&self, version: u64, has_queue: bool) -> bool {
        let route = |name: &str, prefix: &str| {
            format!(
                "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"pathPrefix\":\"{prefix}\",\"type\":\"unsafe\",\
                 \"timeoutMs\":3000,\"targetLatencyMs\":250,\"priority\":0,\"service\":\"desk\",\
                 \"maxAttempts\":{MAX_ATTEMPTS},\"stretch\":1.5,\"public\":false}}"
            )
        };
        let mut routes = vec![route("r-v3nax7u", "/pule252/")];
        if has_queue {
            routes.push(route("r-cpihhac", PREFIX));
        }
        let body = format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"desk\",\"healthCheckPath\":\"/health\",\
             \"maxConnections\":64,\"protocol\":\"h1\",\"tls\":false,\"rejectsOverload\":false,\"standby\":false}}],\
             \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\
             \"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"kaje80\",\"apiKeys\":[\"{KEY}\"],\"priority\":1,\
             \"weight\":12,\"cap\":{{\"cpu\":0,\"memMb\":0,\"gpu\":0}}}}]}}",
            routes.join(",")
        );
        let control = self.control();
        let to = control[version as usize % control.len()];
        let response = http::call(to, "PUT", "/config", &[], &body, Duration::from_secs(1));
        let status = response.map(|(status, _)| status);
        self.record
            .line(&format!("operator: PUT /config {body} -> {status:?}"));
        status == Some(200)
    }

    /// Submits a job until it is answered with success. Returns whether it was.
    pub fn submit(&self, id: &str, steps: &str) -> bool {
        let entries = self.entries();
        let body = format!("{{\"spec\":\"work of {id}\",\"steps\":[{steps}]}}");
        for attempt in 0..8 {
            let response = self.client_call(entries[attempt % entries.len()], "POST", id, &body);
            let status = response.map(|(status, _)| status);
            self.record
                .line(&format!("client: POST {id} {body} -> {status:?}"));
            if status.is_some_and(|status| (200..300).contains(&status)) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Reads the state of a job. Returns status and body.
    pub fn read(&self, id: &str) -> Option<(u16, String)> {
        let entries = self.entries();
        let response = self.client_call(entries[0], "GET", id, "");
        self.record.line(&format!("client: GET {id} -> {response:?}"));
        response
    }

    fn client_call(&self, entry: SocketAddr, method: &str, id: &str, body: &str) -> Option<(u16, String)> {
        let authorization = format!("Token {KEY}");
        let headers = [
            ("Host", HOST),
            ("Authorization", authorization.as_str()),
            ("Fuchsiatack-Deadline-Ms", "3000"),
        ];
        let path = format!("{PREFIX}{id}");
        http::call(entry, method, &path, &headers, body, Duration::from_secs(3))
    }

    /// Reads the state of a job until it is one of `states` or the time is up. Returns the last state.
    pub fn wait_for(&self, id: &str, states: &[&str], limit: Duration) -> String {
        let begin = Instant::now();
        loop {
            let state = self
                .read(id)
                .and_then(|(_, body)| http::text(&body, "state").map(str::to_owned));
            let state = state.unwrap_or_default();
            if states.contains(&state.as_str()) || begin.elapsed() > limit {
                return state;
            }
            std::thread::sleep(Duration::from_millis(250));
        }
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            let _ = daemon.process.kill();
            let _ = daemon.process.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn is_ready(address: SocketAddr) -> bool {
    let response = http::call(address, "GET", "/ready", &[], "", Duration::from_secs(1));
    response.is_some_and(|(status, _)| status == 200)
}

/// Finds a block of loopback addresses on which nothing listens yet.
fn free_block() -> Option<(u8, u8)> {
    let seed = std::process::id();
    (0..200).find_map(|attempt| {
        let value = seed.wrapping_add(attempt * 7919);
        let block = (80 + (value % 100) as u8, 1 + ((value / 100) % 250) as u8);
        let address = |host| Ipv4Addr::new(127, block.0, block.1, host);
        let is_free = (1..=110).all(|host| {
            [CONTROL_PORT, FRONT_PORT, READY_PORT, WORKER_PORT, 7_420, 9_464]
                .iter()
                .all(|port| TcpListener::bind((address(host), *port)).is_ok())
        });
        is_free.then_some(block)
    })
}
