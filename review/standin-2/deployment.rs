//! The processes of the project under test, and the record of what happened.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http;

/// The program of the deploy file.
const PROGRAM: &str = "target/release/chestnutdrift-platform";

/// The record of a run.
#[derive(Clone)]
pub struct Log {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Log {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can't be created");
        Self { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Returns the time since the start of the run.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn note(&self, line: impl AsRef<str>) {
        let mut file = self.file.lock().expect("the record is poisoned");
        let line = format!("{:9.3} s  {}\n", self.now().as_secs_f64(), line.as_ref());
        let _ = file.write_all(line.as_bytes());
    }
}

/// A machine of the deployment.
#[derive(Debug, Clone)]
pub struct Machine {
    pub name: String,
    pub role: &'static str,
    pub zone: &'static str,
    pub ip: Ipv4Addr,
}

/// The machines, their settings and their processes.
pub struct Deployment {
    pub log: Log,
    pub machines: Vec<Machine>,
    ports: Ports,
    folder: PathBuf,
    tolerated: usize,
    processes: BTreeMap<String, Child>,
    starts: BTreeMap<String, u32>,
    bounds: BTreeMap<&'static str, String>,
}

#[derive(Debug, Clone, Copy)]
struct Ports {
    front: u16,
    ready: u16,
    control: u16,
    link: u16,
}

impl Deployment {
    /// Creates a deployment of stores and fronts, one zone after the other, on loopback addresses.
    pub fn new(log: Log, folder: &Path, stores: usize, fronts: usize) -> Self {
        const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
        let net = std::process::id();
        let (second, third) = (100 + (net / 250 % 100) as u8, (net % 250) as u8);
        let mut machines = Vec::new();
        for (number, role) in std::iter::repeat_n("store", stores)
            .chain(std::iter::repeat_n("entry", fronts))
            .enumerate()
        {
            let zone = ZONES[number % 3];
            let class = if role == "store" { "store" } else { "front" };
            machines.push(Machine {
                name: format!("{class}-{zone}-{}", number / 3 + 1),
                role,
                zone,
                ip: Ipv4Addr::new(127, second, third, number as u8 + 1),
            });
        }
        let ports = Ports { front: 0, ready: 0, control: 0, link: 0 };
        let mut deployment = Self {
            log,
            machines,
            ports,
            folder: folder.into(),
            tolerated: 1,
            processes: BTreeMap::new(),
            starts: BTreeMap::new(),
            bounds: BTreeMap::new(),
        };
        let mut next = 20_000 + (net % 20_000) as u16;
        let mut free = || {
            loop {
                next += 1;
                let ips = deployment.machines.iter().map(|machine| machine.ip);
                if ips.map(|ip| TcpListener::bind((ip, next))).all(|bound| bound.is_ok()) {
                    return next;
                }
            }
        };
        let ports = Ports { front: free(), ready: free(), control: free(), link: free() };
        deployment.ports = ports;
        // The bounds of the small deployments.
        for (name, value) in [("graceS", "8"), ("leaseMs", "3000"), ("statusS", "120")] {
            deployment.bounds.insert(name, value.into());
        }
        deployment
    }

    pub fn names(&self, role: &str) -> Vec<String> {
        let machines = self.machines.iter().filter(|machine| machine.role == role);
        machines.map(|machine| machine.name.clone()).collect()
    }

    fn machine(&self, name: &str) -> &Machine {
        self.machines.iter().find(|machine| machine.name == name).expect("no such machine")
    }

    pub fn control(&self, name: &str) -> SocketAddr {
        SocketAddr::from((self.machine(name).ip, self.ports.control))
    }

    pub fn front(&self, name: &str) -> SocketAddr {
        SocketAddr::from((self.machine(name).ip, self.ports.front))
    }

    pub fn ready(&self, name: &str) -> SocketAddr {
        SocketAddr::from((self.machine(name).ip, self.ports.ready))
    }

    /// Renders the template of the deploy file for a machine.
    fn settings(&self, machine: &Machine, first_start: bool) -> String {
        let seeds: Vec<String> =
            self.names("store").iter().take(3).map(|name| self.control(name).to_string()).collect();
        let is_store = machine.role == "store";
        let address = |serves: bool, port: u16| {
            if serves { format!("{}:{port}", machine.ip) } else { String::new() }
        };
        let data = self.folder.join(&machine.name);
        let values: BTreeMap<&str, String> = BTreeMap::from([
            ("node", machine.name.clone()),
            ("role", machine.role.into()),
            ("ip", machine.ip.to_string()),
            ("zone", machine.zone.into()),
            ("dataDir", if is_store { data.display().to_string() } else { String::new() }),
            ("bootstrap", first_start.to_string()),
            ("listen.front", address(!is_store, self.ports.front)),
            ("listen.ready", address(!is_store, self.ports.ready)),
            ("listen.control", address(is_store, self.ports.control)),
            ("portRange.0", self.ports.link.to_string()),
            ("seeds", seeds.join(",")),
            ("tolerate.machines", self.tolerated.to_string()),
            ("limits.memoryMb", if is_store { "340" } else { "260" }.into()),
            ("heartbeatMs", "1200".into()),
            ("bounds.leaseMs", self.bounds["leaseMs"].clone()),
            ("bounds.graceS", self.bounds["graceS"].clone()),
            ("bounds.statusS", self.bounds["statusS"].clone()),
        ]);
        let template = fs::read_to_string("deploy/host.ini").expect("no template");
        render(&template, &values, &["zone-a", "zone-b", "zone-c"])
    }

    /// Starts the process of a machine.
    pub fn start(&mut self, name: &str) {
        let machine = self.machine(name).clone();
        let starts = self.starts.entry(name.into()).or_default();
        *starts += 1;
        let number = *starts;
        let path = self.folder.join(format!("{name}.ini"));
        fs::write(&path, self.settings(&machine, number == 1)).expect("settings");
        let output = File::create(self.folder.join(format!("{name}.{number}.log"))).expect("log");
        let mut command = Command::new(PROGRAM);
        command.env_clear().env("CHESTNUTDRIFT_SETTINGS", &path);
        for key in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(key) {
                command.env(key, value);
            }
        }
        let errors = output.try_clone().expect("log");
        command.stdin(Stdio::null()).stdout(output).stderr(errors);
        let child = command.spawn().expect("the program of the deploy file can't be started");
        let pids = self.folder.join("pids");
        let mut pids = fs::OpenOptions::new().create(true).append(true).open(pids).expect("pids");
        let _ = writeln!(pids, "{}", child.id());
        self.log.note(format!("{name} ({}) starts, process {}", machine.ip, child.id()));
        self.processes.insert(name.into(), child);
    }

    pub fn start_all(&mut self) {
        let names: Vec<String> = self.machines.iter().map(|machine| machine.name.clone()).collect();
        names.iter().for_each(|name| self.start(name));
    }

    /// Kills the processes of machines at the same moment.
    pub fn kill(&mut self, names: &[String]) {
        for name in names {
            self.log.note(format!("{name} is killed (SIGKILL)"));
            if let Some(child) = self.processes.get_mut(name) {
                let _ = child.kill();
            }
        }
        for name in names {
            if let Some(mut child) = self.processes.remove(name) {
                let _ = child.wait();
            }
        }
    }

    /// Makes an operator's call to the stores in turn until one answers 2xx; `false` if none does in time.
    pub fn operator_call(&self, method: &str, path: &str, body: &str, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            for store in self.names("store") {
                let headers = [("Content-Type", "application/json")];
                let to = self.control(&store);
                let second = Duration::from_secs(1);
                let answer = http::call(to, method, path, &headers, body.as_bytes(), second);
                let status = answer.map_or(0, |answer| answer.status);
                self.log.note(format!("operator: {method} {path} to {store}: {status}"));
                if (200..300).contains(&status) {
                    return true;
                }
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        false
    }

    /// Waits until all fronts report that they are ready.
    pub fn wait_ready(&self, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        let second = Duration::from_secs(1);
        let is_ready = |name: &String| {
            let answer = http::call(self.ready(name), "GET", "/api/ready", &[], b"", second);
            answer.is_some_and(|answer| answer.status == 200)
        };
        while Instant::now() < until {
            if self.names("entry").iter().all(is_ready) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let names: Vec<String> = self.processes.keys().cloned().collect();
        self.kill(&names);
    }
}

/// Fills in a template as the platform does; sections without a value are left out.
fn render(template: &str, values: &BTreeMap<&str, String>, zones: &[&str]) -> String {
    let mut text = template.to_string();
    while let Some(start) = text.find("{{#") {
        let name_end = start + text[start..].find("}}").expect("an open section");
        let name = text[start + 3..name_end].to_string();
        let close = format!("{{{{/{name}}}}}");
        let end = name_end + text[name_end..].find(&close).expect("a section without its end");
        let inner = text[name_end + 2..end].to_string();
        let mut filled = String::new();
        if name == "zones" {
            for zone in zones {
                let region = zone.replace("zone", "region");
                filled.push_str(&inner.replace("{{@}}", zone).replace("{{.}}", &region));
            }
        }
        text.replace_range(start..end + close.len(), &filled);
    }
    while let Some(start) = text.find("{{") {
        let end = start + text[start..].find("}}").expect("an open placeholder");
        let value = values.get(&text[start + 2..end]).cloned().unwrap_or_default();
        text.replace_range(start..end + 2, &value);
    }
    text
}
