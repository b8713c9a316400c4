//! Parser and writer of schema version 1, which has short field names and implied units.

use {
    crate::{
        Access, DrainSpec, KeyDigest, KeySpec, Kind, LimitSpec, QueueSpec, RecordError, ShareSpec, Spec,
        StoreMemberSpec, TeamSpec, WorkerClassSpec, bounds,
        encoded_spec::{EncodedSpec, policy_name},
        fields::Fields,
    },
    fuchsiatack_model::{Policy, Resources, WorkSpec},
    serde_json::{Value, json},
};

/// Bytes in one megabyte, the unit of `memory_mb`.
const MEGABYTE_BYTES: u64 = 1_000_000;

/// Thousandths in one percent of a share's weight.
const PERCENT_MILLIS: u32 = 10;

/// Names and policies of the `type` of a queue.
const QUEUE_TYPES: [(&str, Policy); 4] = [
    ("batch", Policy::Batch),
    ("gang", Policy::Gang),
    ("request", Policy::Interactive),
    ("service", Policy::Service),
];

/// Parses the contents of a record of the given kind.
pub(crate) fn parse(kind: Kind, fields: &Fields<'_>) -> Result<Spec, RecordError> {
    match kind {
        Kind::Drain => Ok(Spec::Drain(DrainSpec {
            reason: fields.single_line("why")?,
        })),
        Kind::Key => Ok(Spec::Key(KeySpec {
            digest: KeyDigest::of(&fields.secret("secret")?),
            team: fields.team("team")?,
        })),
        Kind::Limit => Ok(Spec::Limit(LimitSpec {
            max_running: fields.number_u32("max", "tasks", bounds::MAX_RUNNING)?,
            team: fields.team("team")?,
        })),
        Kind::Queue => parse_queue(fields).map(Spec::Queue),
        Kind::Share => Ok(Spec::Share(ShareSpec {
            team: fields.team("team")?,
            weight_millis: PERCENT_MILLIS * fields.number_u32("percent", "percent", bounds::SHARE_PERCENT)?,
        })),
        Kind::StoreMember => Ok(Spec::StoreMember(StoreMemberSpec {
            address: fields.address("addr")?,
            identity: fields.number("id", "the disk's identity", bounds::IDENTITY)?,
        })),
        Kind::Team => Ok(Spec::Team(TeamSpec {
            title: fields.single_line("display_name")?,
        })),
        Kind::Work => parse_work(fields).map(Spec::Work),
        Kind::WorkerClass => Ok(Spec::WorkerClass(WorkerClassSpec {
            speed_millis: fields.thousandths("speed", "ordinary workers", bounds::SPEED_MILLIS)?,
        })),
    }
}

/// Encodes the contents of a record and lists the fields that this version cannot express.
pub(crate) fn write(spec: &Spec) -> EncodedSpec {
    match spec {
        Spec::Drain(spec) => EncodedSpec::new(json!({"why": spec.reason})),
        Spec::Key(spec) => EncodedSpec::new(json!({"team": spec.team})).omit("secret_blake3"),
        Spec::Limit(spec) => EncodedSpec::new(json!({"max": spec.max_running, "team": spec.team})),
        Spec::Queue(spec) => write_queue(spec),
        Spec::Share(spec) => write_share(spec),
        Spec::StoreMember(spec) => EncodedSpec::new(json!({"addr": spec.address, "id": spec.identity})),
        Spec::Team(spec) => EncodedSpec::new(json!({"display_name": spec.title})),
        Spec::Work(spec) => write_work(spec),
        Spec::WorkerClass(spec) => EncodedSpec::new(json!({"speed": decimal(spec.speed_millis)})),
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
        max_waiting: fields.number_u32("length", "requests", bounds::MAX_WAITING)?,
        policy: fields.choice("type", &QUEUE_TYPES)?,
        team: fields.queue_team("team", access)?,
    })
}

fn parse_work(fields: &Fields<'_>) -> Result<WorkSpec, RecordError> {
    let memory_mb = fields.number(
        "memory_mb",
        "megabytes",
        0..=bounds::MAX_MEMORY_BYTES / MEGABYTE_BYTES,
    )?;
    Ok(WorkSpec {
        body: fields.text("payload", bounds::MAX_WORK_BODY_BYTES)?,
        demand: Resources {
            memory_bytes: memory_mb * MEGABYTE_BYTES,
            processors_millis: fields.thousandths("cpus", "cores", bounds::PROCESSORS_MILLIS)?,
            ..Resources::default()
        },
        idempotent: fields.boolean("restartable")?,
        policy: fields.choice("kind", &bounds::WORK_POLICIES)?,
        tasks: fields.number_u32("count", "tasks", bounds::WORK_TASKS)?,
        team: fields.team("team")?,
    })
}

fn write_queue(spec: &QueueSpec) -> EncodedSpec {
    let encoded = EncodedSpec::new(json!({
        "length": spec.max_waiting,
        "open": spec.access == Access::Open,
        "type": policy_name(&QUEUE_TYPES, spec.policy),
    }));
    let encoded = match &spec.team {
        None => encoded,
        Some(team) => encoded.with("team", json!(team)),
    };
    match spec.demand == Resources::default() {
        false => encoded.omit("demand"),
        true => encoded,
    }
}

fn write_share(spec: &ShareSpec) -> EncodedSpec {
    let encoded = EncodedSpec::new(json!({"team": spec.team}));
    match spec.weight_millis % PERCENT_MILLIS {
        0 => encoded.with("percent", json!(spec.weight_millis / PERCENT_MILLIS)),
        _ => encoded.omit("weight_millis"),
    }
}

fn write_work(spec: &WorkSpec) -> EncodedSpec {
    let demand = &spec.demand;
    let default = Resources::default();
    let mut encoded = EncodedSpec::new(json!({
        "count": spec.tasks,
        "cpus": decimal(demand.processors_millis),
        "kind": policy_name(&bounds::WORK_POLICIES, spec.policy),
        "payload": spec.body,
        "restartable": spec.idempotent,
        "team": spec.team,
    }));
    encoded = match demand.memory_bytes % MEGABYTE_BYTES {
        0 => encoded.with("memory_mb", json!(demand.memory_bytes / MEGABYTE_BYTES)),
        _ => encoded.omit("demand.memory_bytes"),
    };
    let others = [
        ("demand.accelerators", demand.accelerators, default.accelerators),
        ("demand.connections", demand.connections, default.connections),
        ("demand.slots", demand.slots, default.slots),
    ];
    for (field, amount, default) in others {
        if amount != default {
            encoded = encoded.omit(field);
        }
    }
    encoded
}

/// Converts thousandths to a whole number of units if possible, otherwise to a decimal number.
fn decimal(millis: u32) -> Value {
    match millis % 1_000 {
        0 => json!(millis / 1_000),
        _ => json!(f64::from(millis) / 1e3),
    }
}
