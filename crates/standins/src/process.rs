//! Child processes of the development tools, stopped by their ids.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use rustix::process::{Pid, kill_process};

pub use rustix::process::Signal;

/// The pause between two looks at a child.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// A child process that is killed where it is dropped.
#[derive(Debug)]
pub struct Process {
    name: Box<str>,
    child: Child,
}

impl Process {
    /// Starts a program, with its standard output and error in a file.
    ///
    /// # Errors
    ///
    /// Returns an error where it can't be started.
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

    /// Returns its name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns its id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends it a signal.
    ///
    /// # Errors
    ///
    /// Returns an error where the signal can't be sent.
    pub fn signal(&self, signal: Signal) -> anyhow::Result<()> {
        let id = Pid::from_child(&self.child);
        kill_process(id, signal)
            .with_context(|| format!("signal {signal:?} to {} ({}) failed", self.name, self.id()))
    }

    /// Waits for it to end.
    ///
    /// # Errors
    ///
    /// Returns an error where it does not end in time.
    pub fn wait(&mut self, within: Duration) -> anyhow::Result<ExitStatus> {
        let end = Instant::now() + within;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            if Instant::now() > end {
                bail!("{} did not end within {within:?}", self.name);
            }
            std::thread::sleep(LOOK_EVERY);
        }
    }

    /// Kills it and takes it away.
    ///
    /// # Errors
    ///
    /// Returns an error where it can't be killed.
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

/// Returns a program that was built beside this one.
///
/// # Errors
///
/// Returns an error where there is none.
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

/// Waits until a condition holds.
///
/// # Errors
///
/// Returns an error that says what was waited for, where it does not hold in time.
pub fn wait_until(
    what: &str,
    within: Duration,
    mut holds: impl FnMut() -> bool,
) -> anyhow::Result<Duration> {
    let start = Instant::now();
    while !holds() {
        if start.elapsed() > within {
            bail!("not within {within:?}: {what}");
        }
        std::thread::sleep(LOOK_EVERY);
    }
    Ok(start.elapsed())
}
