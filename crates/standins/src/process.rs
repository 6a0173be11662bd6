//! Child processes of the development tools, which are signalled by process id.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use rustix::process::{Pid, WaitId, WaitIdOptions, kill_process, waitid};

pub use rustix::process::Signal;

/// The pause between two polls of a child or a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A child process, which is killed when it is dropped.
#[derive(Debug)]
pub struct Process {
    name: Box<str>,
    child: Child,
}

impl Process {
    /// Starts a program and appends its standard output and error to the file `log`.
    ///
    /// # Errors
    ///
    /// Returns an error where the log can't be opened or the program can't be started.
    pub fn start(
        name: impl Into<Box<str>>,
        program: &Path,
        args: &[&str],
        log: &Path,
    ) -> anyhow::Result<Self> {
        let log = std::fs::File::options().create(true).append(true).open(log)?;
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .with_context(|| format!("{} can't be started", program.display()))?;
        Ok(Self { name: name.into(), child })
    }

    /// Returns the name of the process.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    ///
    /// Returns an error where the signal can't be sent.
    pub fn signal(&self, signal: Signal) -> anyhow::Result<()> {
        let id = Pid::from_child(&self.child);
        kill_process(id, signal)
            .with_context(|| format!("signal {signal:?} to {} ({}) failed", self.name, self.id()))
    }

    /// Returns whether the process has exited.
    #[must_use]
    pub fn has_exited(&self) -> bool {
        let options = WaitIdOptions::EXITED | WaitIdOptions::NOHANG | WaitIdOptions::NOWAIT;
        let id = WaitId::Pid(Pid::from_child(&self.child));
        // The call fails for a child that has been reaped.
        waitid(id, options).map_or(true, |status| status.is_some())
    }

    /// Waits for the process to exit.
    ///
    /// # Errors
    ///
    /// Returns an error where the process does not exit within `timeout`.
    pub fn wait(&mut self, timeout: Duration) -> anyhow::Result<ExitStatus> {
        let deadline = Instant::now() + timeout;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            if Instant::now() > deadline {
                bail!("{} did not exit within {timeout:?}", self.name);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Kills the process and waits for its exit.
    ///
    /// # Errors
    ///
    /// Returns an error where the process can't be killed.
    pub fn kill(mut self) -> anyhow::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the path of a program in the build folder of the running one.
///
/// The folder `deps`, from which tests run, is left out of the path.
///
/// # Errors
///
/// Returns an error where the program is not built.
pub fn sibling_program(name: &str) -> anyhow::Result<PathBuf> {
    let mut folder = std::env::current_exe()?;
    folder.pop();
    if folder.ends_with("deps") {
        folder.pop();
    }
    let path = folder.join(name);
    if !path.exists() {
        bail!("{} is not built", path.display());
    }
    Ok(path)
}

/// Polls a condition until it holds, and returns the time that it took.
///
/// # Errors
///
/// Returns an error with `what`, the description of the condition, where it does not hold within
/// `timeout`.
pub fn wait_until(
    what: &str,
    timeout: Duration,
    mut condition: impl FnMut() -> bool,
) -> anyhow::Result<Duration> {
    let start = Instant::now();
    while !condition() {
        if start.elapsed() > timeout {
            bail!("condition not met within {timeout:?}: {what}");
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    Ok(start.elapsed())
}
