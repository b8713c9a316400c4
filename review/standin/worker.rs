//! A worker of the platform, as PROTOCOL.md describes it: runs tasks under leases, keeps the ends that are not
//! taken note of, and sends heartbeats.

use crate::{
    http::{self, Request},
    record::{Kind, Record},
};
use std::{
    collections::BTreeMap,
    io::BufReader,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

const MAX_HOLD_MS: u64 = 10_000;
const MAX_WAIT_MS: u64 = 2_000;
/// Maximum number of ends in one response.
const ENDS_AT_A_TIME: usize = 500;
const HEARTBEAT_MS: u64 = 1_500;
const TICK: Duration = Duration::from_millis(2);

/// Work of a run.
#[derive(Clone, Copy)]
pub struct Work {
    pub length_ms: u64,
    /// How it ends: `done`, `failed`, or never if it `LASTS`.
    pub how: &'static str,
}

/// Work that lasts until it is stopped.
pub const LASTS: &str = "lasts";

impl Work {
    /// Work that ends `done`.
    pub fn done(length_ms: u64) -> Self {
        Self {
            length_ms,
            how: "done",
        }
    }
}

/// Returns the work of a run by task and run number.
pub type WorkTime = Arc<dyn Fn(&str, u64) -> Work + Send + Sync>;

struct Run {
    number: u64,
    begin: Instant,
    work: Work,
}

struct End {
    sequence: u64,
    task: String,
    run: u64,
    how: &'static str,
    lapsed_since: bool,
}

/// An order that gets no answer and is carried out later.
struct Late {
    path: String,
    body: String,
}

/// Orders to be left unanswered from now on.
pub enum Capture {
    /// The next hold with a `lastSeen` of at least this number.
    Hold { last_seen: u64 },
}

struct Life {
    number: u32,
    born_ms: u64,
    begin: Instant,
    fence: u64,
    lease_until_ms: u64,
    running: BTreeMap<String, Run>,
    highest: BTreeMap<String, u64>,
    ended: Vec<End>,
    last_end: u64,
    beats: u64,
}

impl Life {
    fn new(number: u32) -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        Self {
            number,
            born_ms: unix.as_millis() as u64,
            begin: Instant::now(),
            fence: 0,
            lease_until_ms: 0,
            running: BTreeMap::new(),
            highest: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            beats: 0,
        }
    }

    fn clock_ms(&self) -> u64 {
        self.begin.elapsed().as_millis() as u64
    }

    fn extend(&mut self, deadline_ms: Option<u64>) {
        let limit_ms = self.clock_ms() + MAX_HOLD_MS;
        self.lease_until_ms = self.lease_until_ms.max(deadline_ms.unwrap_or(0).min(limit_ms));
    }
}

struct State {
    life: Life,
    is_up: bool,
    cut_until: Option<Instant>,
    capture: Option<Capture>,
    late: Option<Late>,
    streams: Vec<TcpStream>,
}

/// A worker with its server and its heartbeats.
pub struct Worker {
    pub number: usize,
    address: SocketAddr,
    control: Vec<SocketAddr>,
    labels: String,
    record: Arc<Record>,
    state: Mutex<State>,
    changed: Condvar,
    work_time: WorkTime,
}

impl Worker {
    /// Starts a worker. `labels` are the words of a JSON list.
    pub fn start(
        number: usize,
        address: SocketAddr,
        control: Vec<SocketAddr>,
        labels: &str,
        record: Arc<Record>,
        work_time: WorkTime,
    ) -> Arc<Self> {
        let state = State {
            life: Life::new(1),
            is_up: true,
            cut_until: None,
            capture: None,
            late: None,
            streams: Vec::new(),
        };
        let worker = Arc::new(Self {
            number,
            address,
            control,
            labels: labels.to_owned(),
            record,
            state: Mutex::new(state),
            changed: Condvar::new(),
            work_time,
        });
        let (server, beats, ticks) = (worker.clone(), worker.clone(), worker.clone());
        thread::spawn(move || server.serve());
        thread::spawn(move || beats.send_heartbeats());
        thread::spawn(move || ticks.tick());
        worker
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Number of runs at work.
    pub fn running(&self) -> usize {
        self.state().life.running.len()
    }

    /// Whether a task of this job is at work.
    pub fn runs_job(&self, job: &str) -> bool {
        self.state().life.running.keys().any(|task| task.starts_with(job))
    }

    /// Number of the last end of the present life.
    pub fn last_end(&self) -> u64 {
        self.state().life.last_end
    }

    /// Cuts the worker off from all machines. It runs on.
    pub fn cut(&self, length: Duration) {
        self.record.say(&format!(
            "worker {} is cut off for {} ms",
            self.number,
            length.as_millis()
        ));
        self.state().cut_until = Some(Instant::now() + length);
    }

    /// Leaves one order unanswered, which `carry_out_late` carries out.
    pub fn capture(&self, capture: Capture) {
        self.state().capture = Some(capture);
    }

    /// Whether an order was left unanswered.
    pub fn has_late(&self) -> bool {
        self.state().late.is_some()
    }

    /// Carries out the order that was left unanswered.
    pub fn carry_out_late(&self) {
        let late = self.state().late.take();
        if let Some(late) = late {
            self.record.say(&format!(
                "worker {} carries out late: {} {}",
                self.number, late.path, late.body
            ));
            let request = Request {
                path: late.path,
                body: late.body,
            };
            let (status, body) = self.obey(&mut self.state(), &request);
            self.record.line(&format!(
                "worker {} would answer {status} {}",
                self.number,
                short(&body)
            ));
        }
    }

    /// Crashes: all connections and runs are gone.
    pub fn crash(&self) {
        let mut state = self.state();
        state.is_up = false;
        for stream in state.streams.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let (life, running) = (state.life.number, std::mem::take(&mut state.life.running));
        drop(state);
        self.record.say(&format!(
            "worker {} crashes with {} runs",
            self.number,
            running.len()
        ));
        for (task, run) in running {
            self.record
                .event(self.number, life, &task, run.number, Kind::Ended("crashed"));
        }
    }

    /// Starts again under its id. It knows nothing of before.
    pub fn restart(&self) {
        let mut state = self.state();
        state.life = Life::new(state.life.number + 1);
        state.is_up = true;
        self.record.say(&format!(
            "worker {} starts again, born {}",
            self.number, state.life.born_ms
        ));
    }

    fn serve(self: Arc<Self>) {
        let mut listener: Option<TcpListener> = None;
        loop {
            let is_up = self.state().is_up;
            match (&listener, is_up) {
                (Some(_), false) => listener = None,
                (None, true) => {
                    listener = TcpListener::bind(self.address).ok();
                    if let Some(listener) = &listener {
                        let _ = listener.set_nonblocking(true);
                    }
                }
                _ => {}
            }
            match listener.as_ref().map(TcpListener::accept) {
                Some(Ok((stream, _))) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    if let Ok(copy) = stream.try_clone() {
                        self.state().streams.push(copy);
                    }
                    let worker = self.clone();
                    thread::spawn(move || worker.serve_connection(stream));
                }
                _ => thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    fn serve_connection(&self, stream: TcpStream) {
        let life = self.state().life.number;
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        let mut stream = stream;
        while let Some(request) = http::read_request(&mut reader) {
            // What is sent to a worker that is cut off is lost.
            let cut_until = self.state().cut_until.filter(|until| Instant::now() < *until);
            if let Some(until) = cut_until {
                thread::sleep(until.saturating_duration_since(Instant::now()));
                return;
            }
            if self.capture_request(&request) {
                thread::sleep(Duration::from_secs(15));
                return;
            }
            let Some((status, body)) = self.respond(&request, life) else {
                return;
            };
            // What it answers while it is cut off is lost as well.
            let is_cut = self.state().cut_until.is_some_and(|until| Instant::now() < until);
            if is_cut || http::write_response(&mut stream, status, &body).is_none() {
                return;
            }
        }
    }

    fn capture_request(&self, request: &Request) -> bool {
        let mut state = self.state();
        let matches = match (&state.capture, request.path.as_str()) {
            (Some(Capture::Hold { last_seen }), "/hold") => {
                http::number(&request.body, "lastSeen").unwrap_or(0) >= *last_seen
            }
            _ => false,
        };
        if matches {
            state.capture = None;
            state.late = Some(Late {
                path: request.path.clone(),
                body: request.body.clone(),
            });
            self.record.say(&format!(
                "worker {} leaves unanswered: {} {}",
                self.number, request.path, request.body
            ));
        }
        matches
    }

    fn respond(&self, request: &Request, life: u32) -> Option<(u16, String)> {
        let mut state = self.state();
        if request.path == "/hold" {
            let wait_ms = http::number(&request.body, "waitMs")
                .unwrap_or(0)
                .min(MAX_WAIT_MS);
            let until = Instant::now() + Duration::from_millis(wait_ms);
            let seen = http::number(&request.body, "lastSeen").unwrap_or(0);
            // Takes effect on arrival; the response waits for an end.
            let (status, body) = self.obey(&mut state, request);
            if status != 200 {
                return Some((status, body));
            }
            loop {
                let left = until.saturating_duration_since(Instant::now());
                let has_end = state.life.ended.iter().any(|end| end.sequence > seen);
                if has_end || left.is_zero() || !state.is_up || state.life.number != life {
                    break;
                }
                state = self.changed.wait_timeout(state, left).unwrap().0;
            }
        }
        if !state.is_up || state.life.number != life {
            return None;
        }
        match request.path.as_str() {
            "/hold" => Some((200, lists(&state.life))),
            _ => Some(self.obey(&mut state, request)),
        }
    }

    /// Carries out an order.
    fn obey(&self, state: &mut State, request: &Request) -> (u16, String) {
        let life = &mut state.life;
        let body = request.body.as_str();
        let fence = http::number(body, "fencingToken").unwrap_or(0);
        let rejected = |life: &Life, reason: &str| {
            let text = format!(
                "{{\"clockMs\":{},\"born\":{},\"reason\":\"{reason}\"}}",
                life.clock_ms(),
                life.born_ms
            );
            (409, text)
        };
        if fence < life.fence {
            return rejected(life, "fence");
        }
        life.fence = fence;
        let deadline_ms = http::number(body, "deadlineMs");
        let task = http::text(body, "task").unwrap_or("").to_owned();
        let number = http::number(body, "run").unwrap_or(0);
        let done = |life: &Life| {
            (
                200,
                format!("{{\"clockMs\":{},\"born\":{}}}", life.clock_ms(), life.born_ms),
            )
        };
        match request.path.as_str() {
            "/hold" => {
                life.extend(deadline_ms);
                let seen = http::number(body, "lastSeen").unwrap_or(0);
                let (noted, kept) = std::mem::take(&mut life.ended)
                    .into_iter()
                    .partition::<Vec<_>, _>(|end| end.sequence <= seen);
                life.ended = kept;
                for end in noted {
                    let kind = Kind::Noted {
                        lapsed: end.lapsed_since,
                    };
                    self.record
                        .event(self.number, life.number, &end.task, end.run, kind);
                }
                (200, lists(life))
            }
            "/run-start" => {
                if life.running.get(&task).is_some_and(|run| run.number == number) {
                    life.extend(deadline_ms);
                    return done(life);
                }
                if life.highest.get(&task).is_some_and(|highest| number <= *highest) {
                    life.extend(deadline_ms);
                    return rejected(life, "old");
                }
                if deadline_ms.unwrap_or(0) <= life.clock_ms() {
                    return rejected(life, "late");
                }
                life.extend(deadline_ms);
                let work = (self.work_time)(&task, number);
                life.running.insert(
                    task.clone(),
                    Run {
                        number,
                        begin: Instant::now(),
                        work,
                    },
                );
                self.record
                    .event(self.number, life.number, &task, number, Kind::Started);
                done(life)
            }
            "/run-stop" => {
                if life.running.get(&task).is_some_and(|run| run.number == number) {
                    self.end(life, &task, "stopped");
                }
                let highest = life.highest.entry(task).or_default();
                *highest = (*highest).max(number);
                done(life)
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn end(&self, life: &mut Life, task: &str, how: &'static str) {
        let Some(run) = life.running.remove(task) else {
            return;
        };
        life.last_end += 1;
        let highest = life.highest.entry(task.to_owned()).or_default();
        *highest = (*highest).max(run.number);
        life.ended.push(End {
            sequence: life.last_end,
            task: task.to_owned(),
            run: run.number,
            how,
            lapsed_since: false,
        });
        self.record
            .event(self.number, life.number, task, run.number, Kind::Ended(how));
        self.changed.notify_all();
    }

    fn tick(&self) {
        loop {
            thread::sleep(TICK);
            let mut state = self.state();
            if !state.is_up {
                continue;
            }
            let life = &mut state.life;
            let is_due = |run: &Run| {
                run.work.how != LASTS && run.begin.elapsed().as_millis() as u64 >= run.work.length_ms
            };
            let due: Vec<_> = life
                .running
                .iter()
                .filter(|(_, run)| is_due(run))
                .map(|(task, run)| (task.clone(), run.work.how))
                .collect();
            for (task, how) in due {
                self.end(life, &task, how);
            }
            if life.clock_ms() > life.lease_until_ms {
                life.ended.iter_mut().for_each(|end| end.lapsed_since = true);
                let all: Vec<_> = life.running.keys().cloned().collect();
                for task in all {
                    self.end(life, &task, "lapsed");
                }
            }
        }
    }

    fn send_heartbeats(&self) {
        let mut next = self.number;
        loop {
            let beat = {
                let mut state = self.state();
                let is_cut = state.cut_until.is_some_and(|until| Instant::now() < until);
                state.life.beats += 1;
                (state.is_up && !is_cut).then(|| self.heartbeat(&state))
            };
            let Some(body) = beat else {
                thread::sleep(Duration::from_millis(50));
                continue;
            };
            let control = self.control[next % self.control.len()];
            let path = format!("/instances/i-{:04x}", self.number + 1);
            let response = http::call(control, "PUT", &path, &[], &body, Duration::from_secs(1));
            match response {
                Some((200..300, _)) => thread::sleep(Duration::from_millis(HEARTBEAT_MS)),
                _ => {
                    next += 1;
                    thread::sleep(Duration::from_millis(20));
                }
            }
        }
    }

    fn heartbeat(&self, state: &State) -> String {
        format!(
            "{{\"service\":\"desk\",\"address\":\"{}\",\"zone\":\"z-a\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\
             \"coldRemainingMs\":0,\"capacity\":{{\"cpu\":32000,\"memMb\":131072,\"gpu\":0}},\"labels\":[{}],\
             \"machine\":\"m-{}\",\"clockMs\":{},\"sequence\":{},\"born\":{}}}",
            self.address,
            self.labels,
            self.number,
            state.life.clock_ms(),
            state.life.beats,
            state.life.born_ms,
        )
    }
}

fn lists(life: &Life) -> String {
    let running = life.running.iter().map(|(task, run)| {
        let percent = (run.begin.elapsed().as_millis() as u64 * 100 / run.work.length_ms.max(1))
            .min(if run.work.how == LASTS { 100 } else { 99 });
        format!("[\"{task}\",{},\"\",{percent},0]", run.number)
    });
    let running: Vec<_> = running.collect();
    let ended = life.ended.iter().take(ENDS_AT_A_TIME);
    let ended: Vec<_> = ended
        .map(|end| {
            format!(
                "[{},\"{}\",{},\"{}\",\"\"]",
                end.sequence, end.task, end.run, end.how
            )
        })
        .collect();
    format!(
        "{{\"clockMs\":{},\"born\":{},\"running\":[{}],\"ended\":[{}]}}",
        life.clock_ms(),
        life.born_ms,
        running.join(","),
        ended.join(",")
    )
}

fn short(text: &str) -> &str {
    &text[..text.len().min(160)]
}
