//! HTTP calls to the hosts of a fleet.

use std::time::Duration;

use anyhow::{Context, bail};
use chestnutdrift_core::action::HostReport;
use chestnutdrift_wire::api::problem::ProblemBody;
use serde::Serialize;
use serde::de::DeserializeOwned;
use ureq::Agent;

/// The time limit of one call, from connecting to the end of the answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// A client of the fleet. It learns the addresses of the hosts from the entry host.
#[derive(Debug)]
pub(crate) struct Fleet {
    entry: Box<str>,
    agent: Agent,
}

/// The answer of one host to a call that is sent to all hosts.
#[derive(Debug)]
pub(crate) struct HostAnswer<T> {
    pub(crate) host: HostReport,
    pub(crate) answer: anyhow::Result<T>,
}

impl Fleet {
    /// Creates a client that uses the host at `entry`, an IP address and port, as its entry host.
    pub(crate) fn new(entry: impl Into<Box<str>>) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(CALL_TIMEOUT))
            .build();
        Self { entry: entry.into(), agent: config.new_agent() }
    }

    /// Sends a GET request to the entry host.
    pub(crate) fn get<T: DeserializeOwned>(&self, path: &str) -> anyhow::Result<T> {
        self.get_from(&self.entry, path)
    }

    /// Sends a GET request to a host and reads the JSON answer.
    ///
    /// # Errors
    ///
    /// Returns an error where the host can't be reached, or where its status is not 200.
    pub(crate) fn get_from<T: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
    ) -> anyhow::Result<T> {
        let url = format!("http://{address}{path}");
        let answer = self.agent.get(&url).call();
        read(answer.with_context(|| format!("host {address} did not answer"))?, &[200])
    }

    /// Sends a POST request to a host and reads the JSON answer.
    ///
    /// # Errors
    ///
    /// Returns an error where the host can't be reached, or where its status is none of `statuses`.
    pub(crate) fn post_to<T: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        body: &impl Serialize,
        statuses: &[u16],
    ) -> anyhow::Result<T> {
        let url = format!("http://{address}{path}");
        let answer = self.agent.post(&url).send_json(body);
        read(answer.with_context(|| format!("host {address} did not answer"))?, statuses)
    }

    /// Sends a POST request to the entry host; `statuses` are the accepted statuses.
    pub(crate) fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
        statuses: &[u16],
    ) -> anyhow::Result<T> {
        self.post_to(&self.entry, path, body, statuses)
    }

    /// Returns the hosts of the fleet, as the entry host reports them.
    pub(crate) fn hosts(&self) -> anyhow::Result<Vec<HostReport>> {
        self.get("/v1/operator/hosts")
    }

    /// Sends a GET request to all hosts in parallel.
    ///
    /// # Errors
    ///
    /// Returns an error where the entry host does not list the hosts. The failure of any host is in
    /// its own answer.
    pub(crate) fn get_from_all<T>(&self, path: &str) -> anyhow::Result<Vec<HostAnswer<T>>>
    where
        T: DeserializeOwned + Send,
    {
        let hosts = self.hosts()?;
        let answers = std::thread::scope(|scope| {
            let mut threads = Vec::new();
            for host in hosts {
                threads.push(scope.spawn(move || {
                    let answer = self.get_from(&host.http, path);
                    HostAnswer { host, answer }
                }));
            }
            threads.into_iter().filter_map(|thread| thread.join().ok()).collect()
        });
        Ok(answers)
    }
}

/// Reads the JSON of an answer with one of `statuses`; any other answer is an error.
fn read<T: DeserializeOwned>(
    answer: ureq::http::Response<ureq::Body>,
    statuses: &[u16],
) -> anyhow::Result<T> {
    let status = answer.status().as_u16();
    let text = answer.into_body().read_to_string()?;
    if statuses.contains(&status) {
        return serde_json::from_str(&text).with_context(|| format!("unexpected answer: {text}"));
    }
    match serde_json::from_str::<ProblemBody>(&text) {
        Ok(problem) => bail!("{}: {}", problem.title, problem.detail),
        Err(_) => bail!("status {status}: {text}"),
    }
}
