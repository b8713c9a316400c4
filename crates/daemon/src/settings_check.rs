//! Checks the values of the settings after parsing.

use {
    crate::{Role, Settings, SettingsError, client_limits::caller_limits, yaml_location::line_of},
    fuchsiatack_http::LimitError,
    std::{collections::HashSet, net::SocketAddr, path::Path},
};

/// Minimum length of a secret in characters.
const MIN_SECRET_CHARACTERS: usize = 16;
/// Largest memory of a VM in MB that is accepted, so that a wrong unit does not remove the limits.
const MAX_MEMORY_MB: usize = 1 << 20;
/// Minimum number of renewals in the time of one lease, so that a lost message does not end the lease.
const MIN_RENEWALS_PER_LEASE: u64 = 3;

struct InvalidSetting {
    key: String,
    message: String,
}

type CheckResult = Result<(), InvalidSetting>;

fn invalid(key: &str, message: impl Into<String>) -> InvalidSetting {
    InvalidSetting {
        key: key.into(),
        message: message.into(),
    }
}

/// Checks all settings. Returns the first invalid one with its line.
pub(crate) fn check(settings: &Settings, file: &Path, text: &str) -> Result<(), SettingsError> {
    let checks = [
        check_identity,
        check_addresses,
        check_sizes,
        check_clients,
        check_store,
        check_leases,
        check_election,
        check_log,
        check_secrets,
    ];
    checks
        .iter()
        .try_for_each(|check| check(settings))
        .map_err(|invalid| {
            let path: Vec<_> = invalid.key.split('.').collect();
            SettingsError::Invalid {
                file: file.display().to_string(),
                line: line_of(text, &path),
                key: invalid.key,
                message: invalid.message,
            }
        })
}

fn require(condition: bool, key: &str, message: impl Into<String>) -> CheckResult {
    match condition {
        true => Ok(()),
        false => Err(invalid(key, message)),
    }
}

fn check_identity(settings: &Settings) -> CheckResult {
    require(!settings.name.is_empty(), "name", "the daemon needs a name")?;
    require(
        !settings.data_center.is_empty(),
        "data_center",
        "the daemon needs a data centre",
    )?;
    require(
        !settings.roles.is_empty(),
        "roles",
        "at least one of `entry` and `store` is needed",
    )?;
    require(settings.weight > 0, "weight", "the weight must be at least 1")
}

fn check_addresses(settings: &Settings) -> CheckResult {
    let addresses = [
        ("callers.address", settings.callers.address),
        ("operators.address", settings.operators.address),
        ("peers.address", settings.peers.address),
    ];
    let mut taken: Vec<(&str, SocketAddr)> = Vec::new();
    for (key, address) in addresses {
        let address = address.ok_or_else(|| invalid(key, "an address such as 127.0.0.1:8080 is missing"))?;
        let conflict = taken.iter().find(|(_, other)| conflicts(*other, address));
        if let Some((other, _)) = conflict {
            return Err(invalid(key, format!("{address} is also used by {other}")));
        }
        taken.push((key, address));
    }
    Ok(())
}

fn conflicts(one: SocketAddr, other: SocketAddr) -> bool {
    let same_ip = one.ip() == other.ip() || one.ip().is_unspecified() || other.ip().is_unspecified();
    one.port() != 0 && one.port() == other.port() && same_ip
}

fn check_sizes(settings: &Settings) -> CheckResult {
    require(
        settings.callers.max_body_bytes > 0,
        "callers.max_body_bytes",
        "must be at least 1",
    )?;
    require(
        settings.callers.max_connections > 0,
        "callers.max_connections",
        "must be at least 1",
    )?;
    require(
        settings.traces.sample_millis <= 1_000,
        "traces.sample_millis",
        "must be at most 1000 thousandths",
    )
}

fn check_clients(settings: &Settings) -> CheckResult {
    let clients = &settings.clients;
    for (key, value) in [
        ("clients.max_depth", clients.max_depth),
        ("clients.max_elements", clients.max_elements),
        ("clients.max_fields", clients.max_fields),
        ("clients.memory_mb", clients.memory_mb),
    ] {
        require(value > 0, key, "must be at least 1")?;
    }
    require(
        clients.memory_mb <= MAX_MEMORY_MB,
        "clients.memory_mb",
        format!("must be at most {MAX_MEMORY_MB} MB"),
    )?;
    caller_limits(settings).check().map_err(|error| {
        let key = match error {
            LimitError::HeadTooShort(_) => "clients.max_head_bytes",
            LimitError::Zero("head_timeout") => "clients.head_timeout_ms",
            LimitError::Zero("idle_timeout") => "clients.idle_timeout_ms",
            LimitError::Zero("max_connections_per_address") => "clients.max_connections_per_address",
            LimitError::Zero("max_headers") => "clients.max_headers",
            LimitError::Zero(_) => "clients.max_pipelined",
        };
        invalid(key, error.to_string())
    })
}

fn check_store(settings: &Settings) -> CheckResult {
    let members = &settings.store.members;
    require(
        !members.is_empty(),
        "store.members",
        "at least one store member is required",
    )?;
    let mut names = HashSet::new();
    let mut addresses = HashSet::new();
    for (number, member) in members.iter().enumerate() {
        let key = format!("store.members.{number}");
        require(
            names.insert(&member.name),
            &format!("{key}.name"),
            format!("member {} is listed twice", member.name),
        )?;
        require(
            addresses.insert(member.address),
            &format!("{key}.address"),
            format!("{} is listed twice", member.address),
        )?;
        require(
            member.address.port() != 0,
            &format!("{key}.address"),
            "the port must not be 0",
        )?;
    }
    match settings.has_role(Role::Store) {
        true => check_own_member(settings),
        false => Ok(()),
    }
}

fn check_own_member(settings: &Settings) -> CheckResult {
    require(
        settings.store.data_folder.is_some(),
        "store.data_folder",
        "the store role needs a data folder",
    )?;
    let own = settings
        .store
        .members
        .iter()
        .position(|member| member.name == settings.name);
    let Some(number) = own else {
        let message = format!("the store role needs {} itself in the member list", settings.name);
        return Err(invalid("store.members", message));
    };
    let address = Some(settings.store.members[number].address);
    require(
        address == settings.peers.address || address == settings.peers.advertised_address,
        &format!("store.members.{number}.address"),
        "differs from peers.address of this daemon",
    )
}

fn check_leases(settings: &Settings) -> CheckResult {
    let leases = &settings.leases;
    for (key, time_ms) in [
        ("leases.margin_ms", leases.margin_ms),
        ("leases.session_renewal_ms", leases.session_renewal_ms),
        ("leases.task_renewal_ms", leases.task_renewal_ms),
    ] {
        require(time_ms > 0, key, "must be at least 1")?;
    }
    check_renewal(
        "leases.session_renewal_ms",
        leases.session_renewal_ms,
        leases.session_ms,
    )?;
    check_renewal("leases.task_renewal_ms", leases.task_renewal_ms, leases.task_ms)
}

fn check_renewal(key: &str, renewal_ms: u64, lease_ms: u64) -> CheckResult {
    let longest_ms = lease_ms / MIN_RENEWALS_PER_LEASE;
    let message =
        format!("{renewal_ms} ms is too long for a lease of {lease_ms} ms; use at most {longest_ms} ms");
    require(renewal_ms <= longest_ms, key, message)
}

fn check_election(settings: &Settings) -> CheckResult {
    let election = &settings.election;
    require(
        election.heartbeat_ms > 0,
        "election.heartbeat_ms",
        "must be at least 1",
    )?;
    require(
        election.heartbeat_ms <= election.minimum_ms / 2,
        "election.heartbeat_ms",
        format!(
            "must be at most half of minimum_ms, which is {} ms",
            election.minimum_ms
        ),
    )?;
    require(
        election.minimum_ms < election.maximum_ms,
        "election.maximum_ms",
        format!(
            "must be more than minimum_ms, which is {} ms",
            election.minimum_ms
        ),
    )?;
    require(
        election.maximum_ms < settings.leases.session_ms,
        "election.maximum_ms",
        format!(
            "must be less than leases.session_ms, which is {} ms",
            settings.leases.session_ms
        ),
    )
}

fn check_log(settings: &Settings) -> CheckResult {
    let level = &settings.log.level;
    require(
        crate::logs::level_of(level).is_some(),
        "log.level",
        format!("level {level} is unknown; use critical, error, warn, info, debug, trace or off"),
    )
}

fn check_secrets(settings: &Settings) -> CheckResult {
    check_secret("cell_secret_file", &settings.cell_secret_file)?;
    check_secret("operator_key_file", &settings.operator_key_file)
}

fn check_secret(key: &str, file: &Path) -> CheckResult {
    require(!file.as_os_str().is_empty(), key, "must name a file")?;
    let secret = Settings::read_secret(file)
        .map_err(|error| invalid(key, format!("cannot read {}: {error}", file.display())))?;
    require(
        secret.chars().count() >= MIN_SECRET_CHARACTERS,
        key,
        format!(
            "the secret in {} is shorter than {MIN_SECRET_CHARACTERS} characters",
            file.display()
        ),
    )
}
