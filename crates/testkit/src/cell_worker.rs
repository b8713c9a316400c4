//! A fake worker of a cell, in the test's process or in its own.

use {
    crate::{CellError, ChildProcess, FakeWorker, FakeWorkerSettings, WorkerControl},
    std::{
        env, fs, io,
        net::SocketAddr,
        path::{Path, PathBuf},
        time::Duration,
    },
};

/// How the fake workers of a cell run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerMode {
    /// Each in its own process, which can be paused.
    Process,
    /// As tasks in the test's process.
    Task,
}

enum Instance {
    Process(ChildProcess),
    Task(Option<FakeWorker>),
}

/// A fake worker of a cell.
pub struct CellWorker {
    instance: Instance,
    settings: FakeWorkerSettings,
}

impl CellWorker {
    /// Starts the worker. The port of `settings.address` must not be 0, as a restart uses the same one.
    pub(crate) async fn start(
        settings: FakeWorkerSettings,
        mode: WorkerMode,
        program: Option<&Path>,
        folder: &Path,
    ) -> Result<Self, CellError> {
        let instance = match mode {
            WorkerMode::Process => {
                let program = match program {
                    Some(program) => program.to_path_buf(),
                    None => example_program("fake_worker")?,
                };
                let file = folder.join(format!("{}.json", settings.name));
                fs::write(
                    &file,
                    serde_json::to_vec_pretty(&settings).map_err(io::Error::other)?,
                )?;
                let output = folder.join(format!("{}.log", settings.name));
                let arguments = vec!["--settings".into(), file.into()];
                Instance::Process(ChildProcess::start(&program, arguments, &output)?)
            }
            WorkerMode::Task => Instance::Task(Some(FakeWorker::start(settings.clone()).await?)),
        };
        Ok(Self { instance, settings })
    }

    /// Settings that the worker was started with.
    pub fn settings(&self) -> &FakeWorkerSettings {
        &self.settings
    }

    /// Address the worker listens on.
    pub fn address(&self) -> SocketAddr {
        self.settings.address
    }

    /// Process of the worker; absent with `WorkerMode::Task`.
    pub fn process(&mut self) -> Option<&mut ChildProcess> {
        match &mut self.instance {
            Instance::Process(process) => Some(process),
            Instance::Task(_) => None,
        }
    }

    /// Ends the worker without notice.
    pub fn kill(&mut self) {
        match &mut self.instance {
            Instance::Process(process) => process.kill(),
            Instance::Task(worker) => drop(worker.take()),
        }
    }

    /// Starts the worker again with the same address and log. A running one is killed first.
    pub async fn restart(&mut self) -> Result<(), CellError> {
        match &mut self.instance {
            Instance::Process(process) => process.restart()?,
            Instance::Task(worker) => {
                drop(worker.take());
                *worker = Some(FakeWorker::start(self.settings.clone()).await?);
            }
        }
        Ok(())
    }

    /// Stops the worker gracefully: it announces that it is leaving and finishes its tasks. `limit`
    /// applies to a process only.
    pub async fn stop(&mut self, limit: Duration) -> Result<(), CellError> {
        match &mut self.instance {
            Instance::Process(process) => {
                let status = process.stop(limit).await?;
                if !status.success() {
                    return Err(CellError::Io(io::Error::other(format!(
                        "worker {} ended with {status}",
                        self.settings.name
                    ))));
                }
            }
            Instance::Task(worker) => {
                if let Some(worker) = worker.take() {
                    worker.stop().await;
                }
            }
        }
        Ok(())
    }

    /// Replaces the injected faults of the worker.
    pub async fn control(&self, control: &WorkerControl) -> Result<(), CellError> {
        let call = format!("http://{}/testkit/control", self.settings.address);
        let built = reqwest::Client::builder().no_proxy().build().and_then(|client| {
            client
                .post(&call)
                .json(control)
                .build()
                .map(|request| (client, request))
        });
        let failed = |cause: String| CellError::Call {
            call: call.clone(),
            cause,
        };
        let (client, request) = built.map_err(|error| failed(error.to_string()))?;
        let response = client
            .execute(request)
            .await
            .map_err(|error| failed(error.to_string()))?;
        match response.status().is_success() {
            true => Ok(()),
            false => Err(failed(response.status().to_string())),
        }
    }
}

/// Finds an example program of this package beside the test executable.
pub fn example_program(name: &str) -> io::Result<PathBuf> {
    let executable = env::current_exe()?;
    let found = executable
        .ancestors()
        .skip(1)
        .take(2)
        .map(|folder| match folder.ends_with("examples") {
            true => folder.join(name),
            false => folder.join("examples").join(name),
        })
        .find(|path| path.is_file());
    found.ok_or_else(|| {
        io::Error::new(
            io::ErrorKind::NotFound,
            format!(
                "no example program {name} beside {}; build it with \
                 `cargo build -p fuchsiatack-testkit --examples`",
                executable.display()
            ),
        )
    })
}
