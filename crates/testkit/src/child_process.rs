//! A child process of a test.

use {
    crate::ports,
    rustix::process::{Pid, Signal, kill_process},
    std::{
        ffi::OsString,
        fs::{self, OpenOptions},
        io,
        path::{Path, PathBuf},
        process::{Child, Command, ExitStatus, Stdio},
        time::Duration,
    },
    tokio::time::{Instant, sleep},
};

/// Interval at which `wait` checks whether the process has ended.
const EXIT_POLL: Duration = Duration::from_millis(10);
/// Longest wait until all threads of a paused process have stopped.
const PAUSE_LIMIT: Duration = Duration::from_secs(10);
const PAUSE_POLL: Duration = Duration::from_millis(1);

/// A child process that can be paused and restarted. Dropping it kills the process, also while a test
/// panics.
#[derive(Debug)]
pub struct ChildProcess {
    arguments: Vec<OsString>,
    child: Option<Child>,
    output: PathBuf,
    program: PathBuf,
}

impl ChildProcess {
    /// Starts a program whose standard output and error are appended to `output`.
    pub fn start(program: &Path, arguments: Vec<OsString>, output: &Path) -> io::Result<Self> {
        let mut process = Self {
            arguments,
            child: None,
            output: output.to_path_buf(),
            program: program.to_path_buf(),
        };
        process.restart()?;
        Ok(process)
    }

    /// Starts the program again with the same arguments. A running process is killed first.
    pub fn restart(&mut self) -> io::Result<()> {
        self.kill();
        let output = OpenOptions::new().append(true).create(true).open(&self.output)?;
        let probing_block = ports::block_probing();
        let child = Command::new(&self.program)
            .args(&self.arguments)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()
            .map_err(|error| {
                io::Error::new(
                    error.kind(),
                    format!("cannot start {}: {error}", self.program.display()),
                )
            })?;
        drop(probing_block);
        self.child = Some(child);
        Ok(())
    }

    /// Process identifier; absent once the process has been reaped.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// File with the standard output and error of all runs of the program.
    pub fn output(&self) -> &Path {
        &self.output
    }

    /// Returns whether the process has not ended; a paused one counts as running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.as_mut().map(Child::try_wait), Some(Ok(None)))
    }

    /// Ends the process with SIGKILL and reaps it.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Pauses the process with SIGSTOP and waits until all its threads have stopped. Without the wait,
    /// they could still handle a request after the signal was sent.
    pub fn pause(&self) -> io::Result<()> {
        self.signal(Signal::STOP)?;
        let deadline = Instant::now() + PAUSE_LIMIT;
        while !self.is_paused()? {
            if Instant::now() >= deadline {
                return Err(io::Error::new(
                    io::ErrorKind::TimedOut,
                    format!(
                        "{} did not pause within {PAUSE_LIMIT:?} after SIGSTOP",
                        self.program.display()
                    ),
                ));
            }
            std::thread::sleep(PAUSE_POLL);
        }
        Ok(())
    }

    /// Continues a paused process with SIGCONT.
    pub fn resume(&self) -> io::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Sends SIGHUP and returns at once.
    pub fn hang_up(&self) -> io::Result<()> {
        self.signal(Signal::HUP)
    }

    /// Sends SIGTERM and returns at once.
    pub fn terminate(&self) -> io::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Waits until the process has ended and reaps it. A process that has not ended after `limit` keeps
    /// running, and the error has the kind `TimedOut`.
    pub async fn wait(&mut self, limit: Duration) -> io::Result<ExitStatus> {
        let deadline = Instant::now() + limit;
        let missing = || io::Error::new(io::ErrorKind::NotFound, "the process was already reaped");
        loop {
            if let Some(status) = self.child.as_mut().ok_or_else(missing)?.try_wait()? {
                self.child = None;
                return Ok(status);
            }
            if Instant::now() >= deadline {
                return Err(io::Error::new(
                    io::ErrorKind::TimedOut,
                    format!("{} did not end within {limit:?}", self.program.display()),
                ));
            }
            sleep(EXIT_POLL).await;
        }
    }

    /// Sends SIGTERM and waits until the process has ended, at most `limit`.
    pub async fn stop(&mut self, limit: Duration) -> io::Result<ExitStatus> {
        self.terminate()?;
        self.wait(limit).await
    }

    /// Returns whether all threads are stopped. The state in `stat` is the field after the command in
    /// parentheses.
    fn is_paused(&self) -> io::Result<bool> {
        let id = self.id().unwrap_or_default();
        for thread in fs::read_dir(format!("/proc/{id}/task"))? {
            let stat = fs::read_to_string(thread?.path().join("stat"))?;
            let state = stat.rsplit_once(") ").and_then(|(_, rest)| rest.chars().next());
            if state != Some('T') {
                return Ok(false);
            }
        }
        Ok(true)
    }

    fn signal(&self, signal: Signal) -> io::Result<()> {
        let id = self
            .child
            .as_ref()
            .and_then(|child| Pid::from_raw(child.id() as i32));
        match id {
            Some(id) => Ok(kill_process(id, signal)?),
            None => Err(io::Error::new(
                io::ErrorKind::NotFound,
                "the process was already reaped",
            )),
        }
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
