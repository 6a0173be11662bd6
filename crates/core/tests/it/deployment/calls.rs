//! The calls of a simulated deployment's callers.

use chestnutdrift_core::gateway::{
    Answer, Call, Event, IncomingCall, JobBody, JobCaller, ResultsPage,
};
use chestnutdrift_core::{Fingerprint, HostId, Millis, RequestTag};

use super::Deployment;

impl Deployment {
    /// Sends a call to a host and returns its tag.
    pub(crate) fn send_call(&mut self, id: HostId, call: Call) -> RequestTag {
        let tag = RequestTag(self.next_tag);
        self.next_tag += 1;
        let trace = format!("call-{}", tag.0).into();
        let incoming = IncomingCall { tag, trace, wait_limit: None, call };
        self.deliver(id, Event::Opened(incoming));
        tag
    }

    /// Sends a call to a host and returns whether it is acknowledged within a second, after which an
    /// upstream calls another host.
    pub(crate) fn is_acknowledged(&mut self, id: HostId, call: Call) -> bool {
        let tag = self.send_call(id, call);
        for _ in 0..1_000 {
            if let Some(answer) = self.answers.get(&tag) {
                return *answer == Answer::Done;
            }
            self.run(1);
        }
        false
    }

    /// Sends a call to a host, advances the simulation, and returns the answer if there is one.
    pub(crate) fn call(&mut self, id: HostId, call: Call, millis: u64) -> Option<Answer> {
        let tag = self.send_call(id, call);
        self.run(millis);
        self.answers.get(&tag).cloned()
    }

    /// Submits a job through an entry and returns the tag of the call.
    pub(crate) fn submit(&mut self, entry: HostId, body: JobBody) -> RequestTag {
        let call = Call::Request {
            host: "jobs.example".into(),
            path: "/jobs/1".into(),
            fingerprint: Fingerprint::default(),
            resumes: None,
            key: None,
        };
        self.send_job(entry, call, body)
    }

    /// Sends a call that submits a job and returns its tag.
    pub(crate) fn send_job(&mut self, entry: HostId, call: Call, body: JobBody) -> RequestTag {
        let tag = self.send_call(entry, call);
        self.jobs.insert(tag, body);
        tag
    }

    /// Reads the results of a job that follow a position.
    pub(crate) fn results(&mut self, id: HostId, job: &str, after: u32) -> Option<ResultsPage> {
        let call =
            Call::Results { job: job.into(), after, wait: Millis(0), caller: JobCaller::default() };
        match self.call(id, call, 1_500)? {
            Answer::Results(page) => Some(page),
            _ => None,
        }
    }
}
