//! The real daemons, each a process with its own address and settings file.

use {
    fuchsiatack_testkit::ChildProcess,
    std::{
        ffi::OsString,
        fs, io,
        net::{IpAddr, Ipv4Addr, SocketAddr},
        path::{Path, PathBuf},
    },
};

pub(crate) const CALLERS_PORT: u16 = 8_183;
pub(crate) const CONTROL_PORT: u16 = 8_180;
const READY_PORT: u16 = 8_184;
/// Value of `internalPorts`.
const PEER_PORTS: &str = "7420,7435";

/// One daemon process.
pub(crate) struct Daemon {
    folder: PathBuf,
    is_core: bool,
    name: String,
    pub(crate) process: ChildProcess,
}

/// Returns the address of a daemon or stub. Each cell has its own block of 256 loopback addresses.
pub(crate) fn ip(cell: u8, host: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 77, cell, host))
}

impl Daemon {
    /// Writes the settings file and starts a daemon. `seeds` are the addresses of the core daemons.
    pub(crate) fn start(
        program: &Path,
        folder: &Path,
        ip: IpAddr,
        is_core: bool,
        seeds: &[IpAddr],
        advice: SocketAddr,
    ) -> io::Result<Self> {
        let name = format!("{}-{ip}", if is_core { "core" } else { "front" });
        let folder = folder.join(&name);
        fs::create_dir_all(&folder)?;
        let seeds: Vec<_> = seeds
            .iter()
            .map(|seed| format!("{seed}:{CONTROL_PORT}"))
            .collect();
        let settings = Self::settings(&name, ip, is_core, &seeds.join(","), advice, &folder, true);
        let file = folder.join("node.conf");
        fs::write(&file, settings)?;
        let secret = folder.join("secret");
        fs::write(&secret, "soak")?;
        // The settings file is usually named by `FUCHSIATACK_BOOT`, which an argument list cannot set.
        let arguments: Vec<OsString> = vec![
            "--platform".into(),
            "--cell-secret-file".into(),
            secret.into(),
            "--boot-file".into(),
            file.into(),
        ];
        let process = ChildProcess::start(program, arguments, &folder.join("output"))?;
        Ok(Self {
            folder,
            is_core,
            name,
            process,
        })
    }

    fn settings(
        name: &str,
        ip: IpAddr,
        is_core: bool,
        seeds: &str,
        advice: SocketAddr,
        folder: &Path,
        is_bootstrap: bool,
    ) -> String {
        let listen = match is_core {
            true => format!(
                "serves=control\nlisten.control={ip}:{CONTROL_PORT}\ndataDir={}",
                folder.join("data").display()
            ),
            false => {
                format!("serves=front\nlisten.front={ip}:{CALLERS_PORT}\nlisten.ready={ip}:{READY_PORT}")
            }
        };
        format!(
            "nodeName={name}\nip={ip}\n{listen}\ninternalPorts={PEER_PORTS}\nseeds={seeds}\nbootstrap={is_bootstrap}\n\
             advice={advice}\nbounds.graceS=6\nbounds.maxHoldMs=10000\nunknown.key=1\n"
        )
    }

    /// Sets `bootstrap=false` in the settings file, as the platform does for starts after the
    /// cell has formed.
    pub(crate) fn mark_formed(&self) -> io::Result<()> {
        let file = self.folder.join("node.conf");
        let text = fs::read_to_string(&file)?;
        fs::write(&file, text.replace("bootstrap=true", "bootstrap=false"))
    }

    /// Removes the data folder of a core daemon, which must not be running. Other daemons have none.
    pub(crate) fn wipe(&self) -> io::Result<()> {
        match self.is_core {
            true => fs::remove_dir_all(self.folder.join("data")),
            false => Ok(()),
        }
    }

    pub(crate) fn name(&self) -> &str {
        &self.name
    }
}
