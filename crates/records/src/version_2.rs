//! Parser and writer of schema version 2, whose field names end in their unit. They are the names
//! in the `*Spec` types, except for the digest of a key.

use {
    crate::{
        Access, DrainSpec, KeySpec, Kind, LimitSpec, QueueSpec, RecordError, ShareSpec, Spec,
        StoreMemberSpec, TeamSpec, WorkerClassSpec, bounds,
        encoded_spec::{EncodedSpec, policy_name},
        fields::Fields,
    },
    fuchsiatack_model::{Policy, WorkSpec},
    serde_json::json,
};

/// Names of the values of `Access`.
const ACCESSES: [(&str, Access); 2] = [("keyed", Access::Keyed), ("open", Access::Open)];

/// Names and policies of a queue.
const POLICIES: [(&str, Policy); 4] = [
    ("batch", Policy::Batch),
    ("gang", Policy::Gang),
    ("interactive", Policy::Interactive),
    ("service", Policy::Service),
];

/// Parses the contents of a record of the given kind.
pub(crate) fn parse(kind: Kind, fields: &Fields<'_>) -> Result<Spec, RecordError> {
    match kind {
        Kind::Drain => Ok(Spec::Drain(DrainSpec {
            reason: fields.single_line("reason")?,
        })),
        Kind::Key => Ok(Spec::Key(KeySpec {
            digest: fields.digest("secret_blake3")?,
            team: fields.team("team")?,
        })),
        Kind::Limit => Ok(Spec::Limit(LimitSpec {
            max_running: fields.number_u32("max_running", "tasks", bounds::MAX_RUNNING)?,
            team: fields.team("team")?,
        })),
        Kind::Queue => parse_queue(fields).map(Spec::Queue),
        Kind::Share => Ok(Spec::Share(ShareSpec {
            team: fields.team("team")?,
            weight_millis: fields.number_u32("weight_millis", "thousandths", bounds::SHARE_MILLIS)?,
        })),
        Kind::StoreMember => Ok(Spec::StoreMember(StoreMemberSpec {
            address: fields.address("address")?,
            identity: fields.number("identity", "the disk's identity", bounds::IDENTITY)?,
        })),
        Kind::Team => Ok(Spec::Team(TeamSpec {
            title: fields.single_line("title")?,
        })),
        Kind::Work => parse_work(fields).map(Spec::Work),
        Kind::WorkerClass => Ok(Spec::WorkerClass(WorkerClassSpec {
            speed_millis: fields.number_u32(
                "speed_millis",
                "thousandths of an ordinary worker's speed",
                bounds::SPEED_MILLIS,
            )?,
        })),
    }
}

/// Encodes the contents of a record.
pub(crate) fn write(spec: &Spec) -> EncodedSpec {
    EncodedSpec::new(match spec {
        Spec::Drain(spec) => json!(spec),
        Spec::Key(spec) => json!({"secret_blake3": spec.digest.to_hex(), "team": spec.team}),
        Spec::Limit(spec) => json!(spec),
        Spec::Queue(spec) => json!({
            "access": spec.access,
            "demand": spec.demand,
            "max_waiting": spec.max_waiting,
            "policy": policy_name(&POLICIES, spec.policy),
            "team": spec.team,
        }),
        Spec::Share(spec) => json!(spec),
        Spec::StoreMember(spec) => json!(spec),
        Spec::Team(spec) => json!(spec),
        Spec::Work(spec) => json!(spec),
        Spec::WorkerClass(spec) => json!(spec),
    })
}

fn parse_queue(fields: &Fields<'_>) -> Result<QueueSpec, RecordError> {
    let access = fields.choice("access", &ACCESSES)?;
    Ok(QueueSpec {
        access,
        demand: fields.resources("demand")?,
        max_waiting: fields.number_u32("max_waiting", "requests", bounds::MAX_WAITING)?,
        policy: fields.choice("policy", &POLICIES)?,
        team: fields.queue_team("team", access)?,
    })
}

fn parse_work(fields: &Fields<'_>) -> Result<WorkSpec, RecordError> {
    Ok(WorkSpec {
        body: fields.text("body", bounds::MAX_WORK_BODY_BYTES)?,
        demand: fields.resources("demand")?,
        idempotent: fields.boolean("idempotent")?,
        policy: fields.choice("policy", &bounds::WORK_POLICIES)?,
        tasks: fields.number_u32("tasks", "tasks", bounds::WORK_TASKS)?,
        team: fields.team("team")?,
    })
}
