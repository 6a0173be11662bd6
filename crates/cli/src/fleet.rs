//! Calls to the hosts of a fleet.

use std::time::Duration;

use anyhow::{Context, bail};
use chestnutdrift_core::action::HostReport;
use chestnutdrift_wire::api::problem::ProblemBody;
use serde::Serialize;
use serde::de::DeserializeOwned;
use ureq::Agent;

/// How long a host may take to answer.
const TIMEOUT: Duration = Duration::from_secs(10);

/// The hosts of a fleet, reached through one of them.
#[derive(Debug)]
pub(crate) struct Fleet {
    entry: Box<str>,
    agent: Agent,
}

/// What came of asking every host.
#[derive(Debug)]
pub(crate) struct Asked<T> {
    pub(crate) host: HostReport,
    pub(crate) answer: anyhow::Result<T>,
}

impl Fleet {
    /// Makes a fleet that is reached through a host.
    pub(crate) fn new(entry: impl Into<Box<str>>) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(TIMEOUT))
            .build();
        Self { entry: entry.into(), agent: config.new_agent() }
    }

    /// Fetches from the entry host.
    pub(crate) fn get<T: DeserializeOwned>(&self, path: &str) -> anyhow::Result<T> {
        self.get_from(&self.entry, path)
    }

    /// Fetches from a host.
    pub(crate) fn get_from<T: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
    ) -> anyhow::Result<T> {
        let url = format!("http://{address}{path}");
        let answer = self.agent.get(&url).call();
        read(answer.with_context(|| format!("host {address} does not answer"))?, &[200])
    }

    /// Posts to a host, taking any of the statuses as an answer.
    pub(crate) fn post_to<T: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        body: &impl Serialize,
        statuses: &[u16],
    ) -> anyhow::Result<T> {
        let url = format!("http://{address}{path}");
        let answer = self.agent.post(&url).send_json(body);
        read(answer.with_context(|| format!("host {address} does not answer"))?, statuses)
    }

    /// Posts to the entry host, taking any of the statuses as an answer.
    pub(crate) fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
        statuses: &[u16],
    ) -> anyhow::Result<T> {
        self.post_to(&self.entry, path, body, statuses)
    }

    /// Returns the hosts of the fleet.
    pub(crate) fn hosts(&self) -> anyhow::Result<Vec<HostReport>> {
        self.get("/v1/operator/hosts")
    }

    /// Fetches from every host at once.
    pub(crate) fn ask_all<T>(&self, path: &str) -> anyhow::Result<Vec<Asked<T>>>
    where
        T: DeserializeOwned + Send,
    {
        let hosts = self.hosts()?;
        let asked = std::thread::scope(|scope| {
            let mut threads = Vec::new();
            for host in hosts {
                threads.push(scope.spawn(move || {
                    let answer = self.get_from(&host.http, path);
                    Asked { host, answer }
                }));
            }
            threads.into_iter().filter_map(|thread| thread.join().ok()).collect()
        });
        Ok(asked)
    }
}

fn read<T: DeserializeOwned>(
    answer: ureq::http::Response<ureq::Body>,
    statuses: &[u16],
) -> anyhow::Result<T> {
    let status = answer.status().as_u16();
    let text = answer.into_body().read_to_string()?;
    if statuses.contains(&status) {
        return serde_json::from_str(&text).with_context(|| format!("an answer: {text}"));
    }
    match serde_json::from_str::<ProblemBody>(&text) {
        Ok(problem) => bail!("{}: {}", problem.title, problem.detail),
        Err(_) => bail!("status {status}: {text}"),
    }
}
