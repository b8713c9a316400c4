//! Schema version 1: short field names, units that are implied.

use {
    crate::{
        Access, DrainSpec, KeyDigest, KeySpec, Kind, LimitSpec, QueueSpec, RecordError, ShareSpec, Spec,
        StoreMemberSpec, TeamSpec, WorkerClassSpec, bounds,
        fields::Fields,
        form::{Form, policy_name},
    },
    fuchsiatack_model::{Policy, Resources, WorkSpec},
    serde_json::{Value, json},
};

/// Bytes in one `memory_mb`.
const MB: u64 = 1_000_000;

/// Thousandths in one `percent` of a share.
const PERCENT_MILLIS: u32 = 10;

/// Policies with their names.
const TYPES: [(&str, Policy); 4] = [
    ("batch", Policy::Batch),
    ("gang", Policy::Gang),
    ("request", Policy::Interactive),
    ("service", Policy::Service),
];

/// Reads the contents of a record.
pub(crate) fn parse(kind: Kind, fields: &Fields<'_>) -> Result<Spec, RecordError> {
    match kind {
        Kind::Drain => Ok(Spec::Drain(DrainSpec {
            reason: fields.title("why")?,
        })),
        Kind::Key => Ok(Spec::Key(KeySpec {
            digest: KeyDigest::of(&fields.secret("secret")?),
            team: fields.team("team")?,
        })),
        Kind::Limit => Ok(Spec::Limit(LimitSpec {
            max_running: fields.small_number("max", "tasks", bounds::MAX_RUNNING)?,
            team: fields.team("team")?,
        })),
        Kind::Queue => parse_queue(fields).map(Spec::Queue),
        Kind::Share => Ok(Spec::Share(ShareSpec {
            team: fields.team("team")?,
            weight_millis: PERCENT_MILLIS
                * fields.small_number("percent", "percent", bounds::SHARE_PERCENT)?,
        })),
        Kind::StoreMember => Ok(Spec::StoreMember(StoreMemberSpec {
            address: fields.address("addr")?,
            identity: fields.number("id", "the disk's identity", bounds::IDENTITY)?,
        })),
        Kind::Team => Ok(Spec::Team(TeamSpec {
            title: fields.title("display_name")?,
        })),
        Kind::Work => parse_work(fields).map(Spec::Work),
        Kind::WorkerClass => Ok(Spec::WorkerClass(WorkerClassSpec {
            speed_millis: fields.thousandths("speed", "ordinary workers", bounds::SPEED_MILLIS)?,
        })),
    }
}

/// Writes the contents of a record, without what this version can not express.
pub(crate) fn write(spec: &Spec) -> Form {
    match spec {
        Spec::Drain(spec) => Form::new(json!({"why": spec.reason})),
        Spec::Key(spec) => Form::new(json!({"team": spec.team})).omit("secret_blake3"),
        Spec::Limit(spec) => Form::new(json!({"max": spec.max_running, "team": spec.team})),
        Spec::Queue(spec) => write_queue(spec),
        Spec::Share(spec) => write_share(spec),
        Spec::StoreMember(spec) => Form::new(json!({"addr": spec.address, "id": spec.identity})),
        Spec::Team(spec) => Form::new(json!({"display_name": spec.title})),
        Spec::Work(spec) => write_work(spec),
        Spec::WorkerClass(spec) => Form::new(json!({"speed": decimal(spec.speed_millis)})),
    }
}

fn parse_queue(fields: &Fields<'_>) -> Result<QueueSpec, RecordError> {
    let access = match fields.boolean("open")? {
        false => Access::Keyed,
        true => Access::Open,
    };
    Ok(QueueSpec {
        access,
        demand: Resources::default(),
        max_waiting: fields.small_number("length", "requests", bounds::MAX_WAITING)?,
        policy: fields.word("type", &TYPES)?,
        team: fields.queue_team("team", access)?,
    })
}

fn parse_work(fields: &Fields<'_>) -> Result<WorkSpec, RecordError> {
    let memory_mb = fields.number("memory_mb", "megabytes", 0..=bounds::MAX_MEMORY_BYTES / MB)?;
    Ok(WorkSpec {
        body: fields.text("payload", bounds::MAX_WORK_BODY_BYTES)?,
        demand: Resources {
            memory_bytes: memory_mb * MB,
            processors_millis: fields.thousandths("cpus", "cores", bounds::PROCESSORS_MILLIS)?,
            ..Resources::default()
        },
        idempotent: fields.boolean("restartable")?,
        policy: fields.word("kind", &bounds::WORK_POLICIES)?,
        tasks: fields.small_number("count", "tasks", bounds::WORK_TASKS)?,
        team: fields.team("team")?,
    })
}

fn write_queue(spec: &QueueSpec) -> Form {
    let form = Form::new(json!({
        "length": spec.max_waiting,
        "open": spec.access == Access::Open,
        "type": policy_name(&TYPES, spec.policy),
    }));
    let form = match &spec.team {
        None => form,
        Some(team) => form.with("team", json!(team)),
    };
    match spec.demand == Resources::default() {
        false => form.omit("demand"),
        true => form,
    }
}

fn write_share(spec: &ShareSpec) -> Form {
    let form = Form::new(json!({"team": spec.team}));
    match spec.weight_millis % PERCENT_MILLIS {
        0 => form.with("percent", json!(spec.weight_millis / PERCENT_MILLIS)),
        _ => form.omit("weight_millis"),
    }
}

fn write_work(spec: &WorkSpec) -> Form {
    let demand = &spec.demand;
    let default = Resources::default();
    let mut form = Form::new(json!({
        "count": spec.tasks,
        "cpus": decimal(demand.processors_millis),
        "kind": policy_name(&bounds::WORK_POLICIES, spec.policy),
        "payload": spec.body,
        "restartable": spec.idempotent,
        "team": spec.team,
    }));
    form = match demand.memory_bytes % MB {
        0 => form.with("memory_mb", json!(demand.memory_bytes / MB)),
        _ => form.omit("demand.memory_bytes"),
    };
    let others = [
        ("demand.accelerators", demand.accelerators, default.accelerators),
        ("demand.connections", demand.connections, default.connections),
        ("demand.slots", demand.slots, default.slots),
    ];
    for (field, amount, default) in others {
        if amount != default {
            form = form.omit(field);
        }
    }
    form
}

/// Writes thousandths as a whole number if possible, else as a decimal one.
fn decimal(millis: u32) -> Value {
    match millis % 1_000 {
        0 => json!(millis / 1_000),
        _ => json!(f64::from(millis) / 1e3),
    }
}
