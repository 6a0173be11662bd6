//! The operator's configuration, and a trainer's batch jobs.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::deployment::Log;
use crate::http;
use crate::worker::MODEL;

pub const HOST: &str = "drafts.example";

/// Returns the configuration of a small deployment: one route to engines, one to a plain service.
pub fn config(version: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-desk","host":"{HOST}","pathPrefix":"/desk/","kind":"idempotent","timeoutMs":3000,"sloMs":200,"priority":2,"service":"desk","maxAttempts":2}},{{"name":"r-once","host":"{HOST}","pathPrefix":"/once/","kind":"non_idempotent","timeoutMs":3000,"sloMs":200,"priority":2,"service":"desk","maxAttempts":2}},{{"name":"r-chat","host":"{HOST}","pathPrefix":"/chat/","kind":"stream","timeoutMs":15000,"sloMs":400,"priority":1,"service":"engines","maxAttempts":3,"sticky":true,"resumable":true}},{{"name":"r-drafts","host":"{HOST}","pathPrefix":"/drafts/","kind":"rollout","timeoutMs":10000,"sloMs":400,"priority":0,"service":"engines","maxAttempts":3,"maxQueueS":60.0,"dueMs":7500,"singleVersion":false,"sticky":true,"resumable":true}}],"services":[{{"name":"engines","healthPath":"/health","maxConns":180,"protocol":"h1","tls":false,"engine":{{"slots":12,"kvCapacity":43133,"kvTokenBytes":163840,"linkMbps":1400000.0,"moves":true,"backups":true,"stride":64,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{{"name":"{MODEL}"}}]}}}},{{"name":"desk","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":33554432,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
    )
}

/// A batch job of items, each with its group.
pub struct Job {
    pub id: String,
    pub step: u64,
    pub min_version: u64,
    pub target_groups: usize,
    pub items: Vec<(String, String)>,
}

impl Job {
    fn body(&self) -> String {
        let mut items = Vec::new();
        for (id, group) in &self.items {
            items.push(format!(
                r#"{{"id":"{id}","path":"/drafts/{}/{id}","headers":{{"Chestnutdrift-Model":"{MODEL}","Chestnutdrift-Token-Count":"271,512","Chestnutdrift-Prompt-Prefix":"9c2e41:255,{id}:16"}},"body":"q83vEjRWeJA=","tokens":783,"group":"{group}"}}"#,
                self.step
            ));
        }
        format!(
            r#"{{"step":{},"model":"{MODEL}","minVersion":{},"targetGroups":{},"requests":[{}]}}"#,
            self.step,
            self.min_version,
            self.target_groups,
            items.join(",")
        )
    }

    /// Submits the job at fronts in turn until it is accepted.
    pub fn submit(&self, log: &Log, fronts: &[SocketAddr], timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        let path = format!("/drafts/{}", self.id);
        let headers = [
            ("Host", HOST),
            ("Chestnutdrift-Request-Id", self.id.as_str()),
            ("Content-Type", "application/json"),
        ];
        while Instant::now() < until {
            for front in fronts {
                let body = self.body();
                let limit = Duration::from_secs(5);
                let answer = http::call(*front, "POST", &path, &headers, body.as_bytes(), limit);
                let status = answer.map_or(0, |answer| answer.status);
                log.note(format!("trainer: job {} at {front}: {status}", self.id));
                if status == 202 {
                    return true;
                }
                std::thread::sleep(Duration::from_millis(250));
            }
        }
        false
    }

    /// Reads the results from the start; `None` if no front answers 200. The result is the body, which
    /// holds one `"state"` for each listed item.
    pub fn read(&self, front: SocketAddr) -> Option<String> {
        let path = format!("/api/lots/{}?after=0", self.id);
        let second = Duration::from_millis(2_500);
        let answer = http::call(front, "GET", &path, &[("Host", HOST)], b"", second)?;
        (answer.status == 200).then(|| answer.text())
    }

    /// Waits until all items are listed.
    pub fn wait(&self, front: SocketAddr, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            let listed = self.read(front).map_or(0, |body| body.matches("\"state\"").count());
            if listed >= self.items.len() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(250));
        }
        false
    }

    /// Ends the job.
    pub fn end(&self, log: &Log, fronts: &[SocketAddr]) -> bool {
        for front in fronts {
            let path = format!("/api/lots/{}", self.id);
            let limit = Duration::from_secs(4);
            let answer = http::call(*front, "DELETE", &path, &[("Host", HOST)], b"", limit);
            let status = answer.map_or(0, |answer| answer.status);
            log.note(format!("trainer: end of job {} at {front}: {status}", self.id));
            if status == 200 {
                return true;
            }
        }
        false
    }
}
