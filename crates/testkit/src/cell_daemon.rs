//! A daemon process of a cell.

use {
    crate::{CellError, ChildProcess, DaemonSettings, Proxy},
    std::{fs, io, net::SocketAddr, path::Path, process::ExitStatus, time::Duration},
};

/// A `fuchsiatackd` process with its settings.
pub struct CellDaemon {
    process: ChildProcess,
    proxy: Option<Proxy>,
    settings: DaemonSettings,
}

impl CellDaemon {
    /// Writes the settings file `NAME.yaml` and starts the process, whose output goes to `NAME.log`.
    pub(crate) fn start(
        program: &Path,
        settings: DaemonSettings,
        folder: &Path,
        proxy: Option<Proxy>,
    ) -> Result<Self, CellError> {
        let file = folder.join(format!("{}.yaml", settings.name));
        let text = serde_saphyr::to_string(&settings).map_err(io::Error::other)?;
        fs::write(&file, text)?;
        let output = folder.join(format!("{}.log", settings.name));
        let arguments = vec!["--settings".into(), file.into()];
        let daemon = Self {
            process: ChildProcess::start(program, arguments, &output)?,
            proxy,
            settings,
        };
        daemon.register();
        Ok(daemon)
    }

    /// Settings that the daemon was started with.
    pub fn settings(&self) -> &DaemonSettings {
        &self.settings
    }

    /// Listen address for callers and workers.
    pub fn caller_address(&self) -> SocketAddr {
        self.settings.callers.address
    }

    /// Listen address for operators.
    pub fn operator_address(&self) -> SocketAddr {
        self.settings.operators.address
    }

    /// Process of the daemon, for signals and its state.
    pub fn process(&mut self) -> &mut ChildProcess {
        &mut self.process
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        self.process.kill();
    }

    /// Pauses the process with SIGSTOP until `resume`.
    pub fn pause(&self) -> Result<(), CellError> {
        Ok(self.process.pause()?)
    }

    /// Continues a paused process with SIGCONT.
    pub fn resume(&self) -> Result<(), CellError> {
        Ok(self.process.resume()?)
    }

    /// Sends SIGTERM and waits for the exit status, at most `limit`.
    pub async fn stop(&mut self, limit: Duration) -> Result<ExitStatus, CellError> {
        Ok(self.process.stop(limit).await?)
    }

    /// Starts the process again with the same settings and data folder. A running one is killed first.
    pub fn restart(&mut self) -> Result<(), CellError> {
        self.process.restart()?;
        self.register();
        Ok(())
    }

    /// Kills the process and empties its data folder, as after the loss of a disk.
    pub fn erase_data_folder(&mut self) -> Result<(), CellError> {
        self.process.kill();
        match &self.settings.store.data_folder {
            None => Ok(()),
            Some(folder) => {
                fs::remove_dir_all(folder)?;
                Ok(fs::create_dir(folder)?)
            }
        }
    }

    /// Registers the process and the peer address with the proxy as those of this daemon.
    fn register(&self) {
        if let (Some(proxy), Some(id)) = (&self.proxy, self.process.id()) {
            proxy.register_process(&self.settings.name, id);
            proxy.register_address(&self.settings.name, self.settings.peers.address);
        }
    }

    /// Standard output and error of all runs of the process.
    pub fn output(&self) -> Result<String, CellError> {
        Ok(String::from_utf8_lossy(&fs::read(self.process.output())?).into_owned())
    }
}
