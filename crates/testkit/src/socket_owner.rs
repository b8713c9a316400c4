//! Finds the process that owns a local socket, which identifies the sender of traffic on one machine.

use std::{
    fs,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
};

/// Transport protocol, which selects the kernel's socket table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Protocol {
    Tcp,
    Udp,
}

/// Returns which of the processes owns the socket that is bound to `local`.
pub(crate) fn owner_of(protocol: Protocol, local: SocketAddr, processes: &[u32]) -> Option<u32> {
    let table = match protocol {
        Protocol::Tcp => "/proc/net/tcp",
        Protocol::Udp => "/proc/net/udp",
    };
    let table = fs::read_to_string(table).ok()?;
    let inode = table.lines().skip(1).find_map(|line| inode_of(line, local))?;
    let link = format!("socket:[{inode}]");
    processes.iter().copied().find(|id| has_file(*id, &link))
}

fn has_file(process: u32, link: &str) -> bool {
    let Ok(files) = fs::read_dir(format!("/proc/{process}/fd")) else {
        return false;
    };
    files
        .flatten()
        .filter_map(|file| fs::read_link(file.path()).ok())
        .any(|target| target.as_os_str() == link)
}

/// Returns the inode of a table line if its socket is bound to `local`. The columns are `sl
/// local_address rem_address st queues timer retrnsmt uid timeout inode`. An unconnected socket may be
/// bound to all addresses.
fn inode_of(line: &str, local: SocketAddr) -> Option<u64> {
    let mut fields = line.split_whitespace();
    let bound = parse_address(fields.nth(1)?)?;
    let is_same_ip = bound.ip().is_unspecified() || SocketAddr::V4(bound).ip() == local.ip();
    match is_same_ip && bound.port() == local.port() {
        true => fields.nth(7)?.parse().ok().filter(|inode| *inode != 0),
        false => None,
    }
}

/// Parses an address like `0100007F:1F90`: IP address in the byte order of the machine and port, both in
/// hexadecimal.
fn parse_address(text: &str) -> Option<SocketAddrV4> {
    let (ip, port) = text.split_once(':')?;
    let ip = u32::from_str_radix(ip, 16).ok()?;
    let port = u16::from_str_radix(port, 16).ok()?;
    Some(SocketAddrV4::new(Ipv4Addr::from(ip.to_ne_bytes()), port))
}
