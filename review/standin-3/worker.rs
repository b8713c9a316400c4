//! A worker process as the platform's pages describe it: it sends heartbeats, carries out orders and reports
//! the ends of its runs.
//!
//! The spec of a job tells what its tasks do: `work=MS` for tasks that end, `lasts` for others.

use crate::{
    http,
    json::{Json, quoted},
    record::{Record, unix_ms},
};
use std::{
    collections::BTreeMap,
    io::BufReader,
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

const HEARTBEAT: Duration = Duration::from_millis(1_500);
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest lease that the worker grants, in milliseconds.
const MAX_HOLD_MS: u64 = 10_000;
/// Time from a stop order to the end of the run, in milliseconds; the pages allow 200 ms.
const STOP_MS: u64 = 40;
/// Time after which a run fails on a worker that fails all that it starts, in milliseconds.
const FAILURE_MS: u64 = 50;
/// Time after which an unanswered order is carried out.
const LATE: Duration = Duration::from_secs(3);
const MAX_LISTED_ENDS: usize = 500;

/// What a worker is started with.
pub struct Settings {
    pub address: SocketAddr,
    pub controls: Vec<SocketAddr>,
    pub cpu: u64,
    /// Time from its start to the first heartbeat.
    pub first_heartbeat: Duration,
    pub labels: Vec<String>,
    pub name: String,
    pub record: PathBuf,
    pub service: String,
    pub zone: String,
}

struct Run {
    number: u64,
    began_ms: u64,
    /// Reading of the worker's clock at which it ends, and how; `None` if it does not end by itself.
    end: Option<(u64, &'static str)>,
}

struct State {
    ended: Vec<(u64, String, u64, &'static str)>,
    fencing_token: u64,
    /// Highest run of each task that was stopped or has ended here.
    highest: BTreeMap<String, u64>,
    is_draining: bool,
    is_failing: bool,
    /// Whether the next order gets no answer.
    is_next_order_late: bool,
    lease_until_ms: u64,
    next_end: u64,
    runs: BTreeMap<String, Run>,
}

struct Worker {
    born_unix_ms: u64,
    changed: Condvar,
    record: Record,
    settings: Settings,
    started_at: Instant,
    state: Mutex<State>,
}

/// Runs a worker until its process is killed.
pub fn run(settings: Settings) -> std::io::Result<()> {
    let listener = TcpListener::bind(settings.address)?;
    let worker = Arc::new(Worker {
        born_unix_ms: unix_ms(),
        changed: Condvar::new(),
        record: Record::open(&settings.record)?,
        started_at: Instant::now(),
        state: Mutex::new(State {
            ended: Vec::new(),
            fencing_token: 0,
            highest: BTreeMap::new(),
            is_draining: false,
            is_failing: false,
            is_next_order_late: false,
            lease_until_ms: 0,
            next_end: 1,
            runs: BTreeMap::new(),
        }),
        settings,
    });
    worker
        .record
        .write(&format!("worker {} is up", worker.settings.name));
    let beating = worker.clone();
    thread::spawn(move || beating.send_heartbeats());
    let ticking = worker.clone();
    thread::spawn(move || ticking.end_runs());
    for stream in listener.incoming().flatten() {
        let worker = worker.clone();
        thread::spawn(move || worker.serve(stream));
    }
    Ok(())
}

impl Worker {
    fn clock_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64 + 1
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics with the lock")
    }

    fn send_heartbeats(&self) {
        let Settings {
            address,
            controls,
            cpu,
            labels,
            name,
            service,
            zone,
            ..
        } = &self.settings;
        let labels: Vec<_> = labels.iter().map(|label| quoted(label)).collect();
        let mut target = name.len() % controls.len();
        let mut sequence = 0;
        thread::sleep(self.settings.first_heartbeat);
        loop {
            let sent_at = Instant::now();
            sequence += 1;
            let is_draining = self.lock().is_draining;
            let state = if is_draining { "draining" } else { "ready" };
            let body = format!(
                r#"{{"service":{},"address":"{address}","zone":{},"version":"v1","slots":8,"state":"{state}","coldRemainingMs":0,"capacity":{{"cpu":{cpu},"memMb":131072,"gpu":0}},"labels":[{}],"clockMs":{},"born":{},"sequence":{sequence}}}"#,
                quoted(service),
                quoted(zone),
                labels.join(","),
                self.clock_ms(),
                self.born_unix_ms,
            );
            let path = format!("/instances/{name}");
            // Each daemon is asked once, and those that fail are left for the next heartbeat.
            for _ in 0..controls.len() {
                let result = http::call(controls[target], "PUT", &path, &[], &body, HEARTBEAT_TIMEOUT);
                if result.is_ok_and(|(status, _)| (200..300).contains(&status)) {
                    if is_draining {
                        self.record.write(&format!("worker {name} reports draining"));
                    }
                    break;
                }
                target = (target + 1) % controls.len();
            }
            thread::sleep(HEARTBEAT.saturating_sub(sent_at.elapsed()));
        }
    }

    /// Ends runs that are due, and all runs when their lease expires.
    fn end_runs(&self) {
        loop {
            thread::sleep(Duration::from_millis(5));
            let now_ms = self.clock_ms();
            let mut state = self.lock();
            let has_lapsed = now_ms >= state.lease_until_ms;
            let due: Vec<_> = state
                .runs
                .iter()
                .filter_map(|(task, run)| match run.end {
                    Some((end_ms, how)) if now_ms >= end_ms => Some((task.clone(), how)),
                    _ if has_lapsed => Some((task.clone(), "lapsed")),
                    _ => None,
                })
                .collect();
            for (task, how) in due {
                let Some(run) = state.runs.remove(&task) else {
                    continue;
                };
                let name = &self.settings.name;
                self.record
                    .write(&format!("worker {name} ended {task} run {} {how}", run.number));
                let highest = state.highest.entry(task.clone()).or_default();
                *highest = run.number.max(*highest);
                let number = state.next_end;
                state.next_end += 1;
                state.ended.push((number, task, run.number, how));
                self.changed.notify_all();
            }
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut reader) {
            let (status, body) = self.handle(&request);
            if http::respond(&mut writer, status, &body).is_err() {
                return;
            }
        }
    }

    fn handle(&self, request: &http::Message) -> (u16, String) {
        let path = request.word(1).to_owned();
        // Only the harness calls this: from now on the worker fails all that it starts, or does so no more.
        if let Some(switch) = path.strip_prefix("/test-failing/") {
            self.lock().is_failing = switch == "on";
            return (200, "{}".to_owned());
        }
        // Only the harness calls these: the next order gets no answer, and the worker drains.
        if path == "/test-late" {
            self.lock().is_next_order_late = true;
            return (200, "{}".to_owned());
        }
        if path == "/test-drain" {
            self.lock().is_draining = true;
            return (200, "{}".to_owned());
        }
        if request.word(0) == "GET" {
            return (200, "{}".to_owned());
        }
        let expected = request.header("fuchsiatack-expect-instance");
        if !expected.is_empty() && expected != self.settings.name {
            return (421, "{}".to_owned());
        }
        let Some(order) = Json::parse(&request.body) else {
            return (400, "{}".to_owned());
        };
        let mut state = self.lock();
        if std::mem::take(&mut state.is_next_order_late) {
            drop(state);
            let name = &self.settings.name;
            self.record
                .write(&format!("worker {name} leaves an order {path} unanswered"));
            thread::sleep(LATE);
            state = self.lock();
        }
        let token = order.integer("fencingToken");
        if token < state.fencing_token {
            return self.reject("fence");
        }
        state.fencing_token = token;
        match path.as_str() {
            "/run-start" => self.start(state, &order),
            "/run-stop" => self.stop(state, &order),
            "/hold" => self.hold(state, &order),
            "/pace" => (200, format!(r#"{{"clockMs":{}}}"#, self.clock_ms())),
            _ => (400, "{}".to_owned()),
        }
    }

    fn reject(&self, reason: &str) -> (u16, String) {
        (
            409,
            format!(r#"{{"clockMs":{},"reason":"{reason}"}}"#, self.clock_ms()),
        )
    }

    fn extend_lease(&self, state: &mut State, deadline_ms: u64) {
        let deadline_ms = deadline_ms.min(self.clock_ms() + MAX_HOLD_MS);
        state.lease_until_ms = state.lease_until_ms.max(deadline_ms);
    }

    fn start(&self, mut state: MutexGuard<'_, State>, order: &Json) -> (u16, String) {
        let (task, number) = (order.text("task").to_owned(), order.integer("run"));
        let now_ms = self.clock_ms();
        let deadline_ms = order.integer("deadlineMs");
        if deadline_ms <= now_ms {
            return self.reject("late");
        }
        self.extend_lease(&mut state, deadline_ms);
        let present = state.runs.get(&task).map(|run| run.number);
        if present == Some(number) {
            return (200, format!(r#"{{"clockMs":{now_ms}}}"#));
        }
        let highest = state.highest.get(&task).copied().unwrap_or(0);
        if number <= highest.max(present.unwrap_or(0)) {
            return self.reject("old");
        }
        let spec = order.text("spec");
        let work_ms = spec
            .strip_prefix("work=")
            .and_then(|text| text.parse::<u64>().ok());
        let end = match work_ms {
            _ if state.is_failing => Some((now_ms + FAILURE_MS, "failed")),
            Some(work_ms) => Some((now_ms + work_ms, "done")),
            None => None,
        };
        let name = &self.settings.name;
        self.record
            .write(&format!("worker {name} began {task} run {number}"));
        let began_ms = now_ms;
        state.runs.insert(
            task,
            Run {
                number,
                began_ms,
                end,
            },
        );
        (200, format!(r#"{{"clockMs":{now_ms}}}"#))
    }

    fn stop(&self, mut state: MutexGuard<'_, State>, order: &Json) -> (u16, String) {
        let (task, number) = (order.text("task").to_owned(), order.integer("run"));
        let now_ms = self.clock_ms();
        let highest = state.highest.entry(task.clone()).or_default();
        *highest = number.max(*highest);
        if let Some(run) = state.runs.get_mut(&task).filter(|run| run.number <= number) {
            run.end = Some((now_ms + STOP_MS, "stopped"));
        }
        (200, format!(r#"{{"clockMs":{now_ms}}}"#))
    }

    fn hold(&self, mut state: MutexGuard<'_, State>, order: &Json) -> (u16, String) {
        let last_seen = order.integer("lastSeen");
        let wait = Duration::from_millis(order.integer("waitMs").min(2_000));
        state.ended.retain(|(number, ..)| *number > last_seen);
        self.extend_lease(&mut state, order.integer("deadlineMs"));
        if state.ended.is_empty() && !wait.is_zero() {
            let waited = self
                .changed
                .wait_timeout_while(state, wait, |state| state.ended.is_empty());
            state = waited.expect("no thread panics with the lock").0;
        }
        let now_ms = self.clock_ms();
        let running: Vec<_> = state
            .runs
            .iter()
            .map(|(task, run)| {
                let percent = match run.end {
                    Some((end_ms, "done")) => (now_ms - run.began_ms) * 100 / (end_ms - run.began_ms).max(1),
                    _ => 100,
                };
                format!(r#"["{task}",{},"",{},0]"#, run.number, percent.min(100))
            })
            .collect();
        let ended: Vec<_> = state
            .ended
            .iter()
            .take(MAX_LISTED_ENDS)
            .map(|(number, task, run, how)| format!(r#"[{number},"{task}",{run},"{how}",""]"#))
            .collect();
        let body = format!(
            r#"{{"clockMs":{now_ms},"born":{},"running":[{}],"ended":[{}]}}"#,
            self.born_unix_ms,
            running.join(","),
            ended.join(",")
        );
        (200, body)
    }
}
