//! Load generator: callers that send requests and check the responses.

use {
    crate::{
        AttemptOutcome, CallerEvent, JsonLog, LoadReport, LoadSettings, LoadTeam, Pace, TaskBody,
        is_complete_response, is_response_to, wall_us,
    },
    bytes::Bytes,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    smol_str::{SmolStr, format_smolstr},
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{
        sync::Semaphore,
        task::JoinSet,
        time::{Instant, sleep, sleep_until},
    },
};

/// Longest part of an error body in the event log, in characters.
const DETAIL_CHARS: usize = 200;

/// A request as drawn from the seed, independent of any timing.
#[derive(Clone, Debug)]
struct PlannedRequest {
    body: Bytes,
    /// Entry VM of each attempt, the first one included.
    entries: Vec<SocketAddr>,
    idempotent: bool,
    request: SmolStr,
    team: LoadTeam,
}

struct LoadRun {
    client: reqwest::Client,
    log: JsonLog,
    report: Mutex<LoadReport>,
    settings: LoadSettings,
}

/// Runs the load that the settings describe and returns the outcomes. Fails if no entry address or no
/// team is given, or if the event log cannot be opened.
pub async fn run_load(settings: LoadSettings) -> io::Result<LoadReport> {
    if settings.entries.is_empty() || settings.teams.is_empty() {
        return Err(io::Error::new(
            io::ErrorKind::InvalidInput,
            "the load needs at least one entry address and one team",
        ));
    }
    let log = match &settings.log {
        Some(path) => JsonLog::open(path)?,
        None => JsonLog::discard(),
    };
    let client = reqwest::Client::builder()
        .no_proxy()
        .timeout(settings.deadline + settings.wait_margin)
        .build()
        .map_err(io::Error::other)?;
    let run = Arc::new(LoadRun {
        client,
        log,
        report: Mutex::default(),
        settings,
    });
    match run.settings.pace {
        Pace::Closed => closed_loop(&run).await,
        Pace::Open { .. } | Pace::Poisson { .. } => open_loop(&run).await,
    }
    let report = run.report.lock().unwrap_or_else(PoisonError::into_inner);
    Ok(report.clone())
}

async fn closed_loop(run: &Arc<LoadRun>) {
    let end = Instant::now() + run.settings.duration;
    let callers = run.settings.callers as u64;
    let mut tasks = JoinSet::new();
    for caller in 0..callers {
        let run = run.clone();
        tasks.spawn(async move {
            let mut number = caller;
            while Instant::now() < end && number < run.settings.max_requests {
                run.request(number, Instant::now()).await;
                number += callers;
            }
        });
    }
    tasks.join_all().await;
}

async fn open_loop(run: &Arc<LoadRun>) {
    let mut gaps = StdRng::seed_from_u64(run.settings.seed);
    let mut due_after = Duration::ZERO;
    let start = Instant::now();
    let slots = Arc::new(Semaphore::new(run.settings.callers));
    let mut tasks = JoinSet::new();
    for number in 0..run.settings.max_requests {
        due_after = match run.settings.pace {
            Pace::Closed => break,
            Pace::Open { per_second } => Duration::from_secs_f64(number as f64 / per_second),
            Pace::Poisson { per_second } => {
                // Inverse of the exponential distribution function at a random point in (0, 1].
                let point = 1.0 - gaps.random::<f64>();
                due_after + Duration::from_secs_f64(-point.ln() / per_second)
            }
        };
        if due_after >= run.settings.duration {
            break;
        }
        let due = start + due_after;
        sleep_until(due).await;
        while tasks.try_join_next().is_some() {}
        let Ok(slot) = slots.clone().try_acquire_owned() else {
            run.report.lock().unwrap_or_else(PoisonError::into_inner).skipped += 1;
            continue;
        };
        let run = run.clone();
        tasks.spawn(async move {
            run.request(number, due).await;
            drop(slot);
        });
    }
    tasks.join_all().await;
}

impl LoadRun {
    /// Sends one request until it has an outcome. Its wait is measured from `due`, so that the report
    /// includes the delay of requests that a slow system holds up.
    async fn request(&self, number: u64, due: Instant) {
        let planned = self.plan(number);
        for (index, entry) in planned.entries.iter().enumerate() {
            if index > 0 {
                sleep(self.settings.resend_pause).await;
            }
            let mut event = self.attempt(&planned, *entry).await;
            event.attempt = index as u32 + 1;
            event.last =
                event.seen != AttemptOutcome::Lost || event.attempt as usize == planned.entries.len();
            event.wait_us = due.elapsed().as_micros() as u64;
            self.log.write(&event);
            self.report
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .add(&event);
            if event.last {
                return;
            }
        }
    }

    async fn attempt(&self, planned: &PlannedRequest, entry: SocketAddr) -> CallerEvent {
        let mut event = CallerEvent {
            at_us: 0,
            attempt: 0,
            detail: SmolStr::default(),
            entry: format_smolstr!("{entry}"),
            idempotent: planned.idempotent,
            key: planned.team.key_name.clone(),
            last: false,
            own: false,
            request: planned.request.clone(),
            seen: AttemptOutcome::Lost,
            sent_us: wall_us(),
            team: planned.team.name.clone(),
            wait_us: 0,
            whole: false,
        };
        let queue = &self.settings.queue;
        let mut request = self
            .client
            .post(format!("http://{entry}/v1/queues/{queue}/requests"))
            .header("fuchsiatack-request-id", planned.request.as_str())
            .header(
                "fuchsiatack-deadline-ms",
                self.settings.deadline.as_millis() as u64,
            )
            .header("fuchsiatack-idempotent", planned.idempotent.to_string())
            .body(planned.body.clone());
        if let Some(key) = &planned.team.key {
            request = request.bearer_auth(key);
        }
        match request.send().await {
            Ok(response) => {
                let status = response.status();
                let outcome = response.headers().get("fuchsiatack-outcome");
                let outcome = outcome.and_then(|text| text.to_str().ok()).unwrap_or_default();
                event.seen = AttemptOutcome::from_header(outcome);
                // Status 410 reports a completed request whose response is no longer stored.
                let has_result = event.seen == AttemptOutcome::Done && status.as_u16() != 410;
                match response.bytes().await {
                    Ok(body) if has_result => {
                        event.own = is_response_to(&body, &planned.body);
                        event.whole = is_complete_response(&body);
                    }
                    Ok(body) => {
                        event.own = true;
                        event.whole = true;
                        let text: String = String::from_utf8_lossy(&body)
                            .chars()
                            .take(DETAIL_CHARS)
                            .collect();
                        event.detail = format_smolstr!("{} {text}", status.as_u16());
                    }
                    Err(error) => {
                        event.seen = AttemptOutcome::Lost;
                        event.detail = format_smolstr!("{error}");
                    }
                }
            }
            Err(error) => event.detail = format_smolstr!("{error}"),
        }
        event.at_us = wall_us();
        event
    }

    /// Draws request `number`. The result depends only on the seed and the number, so a run can be
    /// repeated even if the order of responses differs.
    fn plan(&self, number: u64) -> PlannedRequest {
        let settings = &self.settings;
        let mut random = StdRng::seed_from_u64(settings.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ number);
        let request = format_smolstr!("load-{}-{number}", settings.seed);
        let total: u32 = settings.teams.iter().map(|team| team.weight).sum();
        let mut drawn = random.random_range(0..total.max(1));
        let team = settings.teams.iter().find(|team| {
            let is_drawn = drawn < team.weight;
            drawn = drawn.saturating_sub(team.weight);
            is_drawn
        });
        let padding_bytes = draw_between(&mut random, settings.body_bytes.start, settings.body_bytes.end);
        let body = TaskBody {
            padding: (0..padding_bytes)
                .map(|_| char::from(random.random_range(b'a'..=b'z')))
                .collect(),
            request: request.clone(),
            run_ms: Some(draw_between(
                &mut random,
                settings.run_ms.start as usize,
                settings.run_ms.end as usize,
            ) as u64),
            ..TaskBody::default()
        };
        let entries = draw_entries(&mut random, &settings.entries, settings.resends);
        PlannedRequest {
            body: body.to_json().into(),
            entries,
            idempotent: random.random_range(0..1_000) < settings.idempotent_millis,
            request,
            team: team.unwrap_or(&settings.teams[0]).clone(),
        }
    }
}

/// Draws an entry address for each attempt. A resend goes to another entry than the attempt before it,
/// as callers avoid a daemon that did not respond.
fn draw_entries(random: &mut StdRng, all: &[SocketAddr], resends: u32) -> Vec<SocketAddr> {
    let mut position = random.random_range(0..all.len());
    let mut entries = vec![all[position]];
    for _ in 0..resends {
        if all.len() > 1 {
            position = (position + random.random_range(1..all.len())) % all.len();
        }
        entries.push(all[position]);
    }
    entries
}

fn draw_between(random: &mut StdRng, start: usize, end: usize) -> usize {
    match start < end {
        true => random.random_range(start..end),
        false => start,
    }
}
