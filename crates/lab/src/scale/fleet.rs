//! The real processes of a run: started, killed, stopped and read in /proc. All of them end when this is dropped.

use super::links::Links;
use super::{Error, Named};
use rustix::process::{Pid, Signal, kill_process};
use serde::Serialize;
use serde_json::{Value, json};
use std::ffi::OsString;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::time::Duration;

/// The key of the run's tier.
pub const KEY: &str = "a key for runs on one machine";

/// What a real process is there for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// It votes.
    Voter,
    /// It serves jobs and is measured.
    Serving,
    /// It serves nothing, so that all that it spends is for control.
    Idle,
    /// Staff propose changes at it.
    Gateway,
    /// Its links are cut for the run's length.
    Cut,
}

/// What a process has spent so far, and has now.
#[derive(Clone, Copy, Debug, Default)]
pub struct Spent {
    /// Processor time, in seconds.
    pub cpu: f64,
    /// Resident memory, in bytes.
    pub memory: f64,
    /// The most that it ever was.
    pub peak: f64,
    /// Bytes written to disks.
    pub written: f64,
}

/// Reads a process in /proc; none if it has ended.
pub fn spent(pid: u32) -> Option<Spent> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let field = |text: &str, name: &str| {
        let line = text.lines().find_map(|l| l.strip_prefix(name))?;
        line.trim().split(' ').next()?.parse::<f64>().ok()
    };
    let io = std::fs::read_to_string(format!("/proc/{pid}/io")).unwrap_or_default();
    Some(Spent {
        cpu: cpu(&format!("/proc/{pid}/stat"))?,
        memory: field(&status, "VmRSS:")? * 1024.0,
        peak: field(&status, "VmHWM:")? * 1024.0,
        written: field(&io, "write_bytes:").unwrap_or(0.0),
    })
}

/// Processor time of a process or a thread, in seconds, from its `stat`.
pub fn cpu(path: &str) -> Option<f64> {
    let text = std::fs::read_to_string(path).ok()?;
    let fields: Vec<&str> = text.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = |at: usize| fields.get(at)?.parse::<f64>().ok();
    Some((ticks(11)? + ticks(12)?) / rustix::param::clock_ticks_per_second() as f64)
}

/// One real scheduler.
#[derive(Debug)]
pub struct Node {
    /// Its name.
    pub name: String,
    /// What it is there for.
    pub role: Role,
    /// Where clients, staff and the tier find it.
    pub at: [SocketAddr; 3],
    config: Value,
    operator: String,
    child: Option<Child>,
    /// It was killed or stopped, so its figures are none.
    pub disturbed: bool,
}

/// What all real schedulers are told.
#[derive(Debug)]
pub struct Told<'a> {
    /// The list, in discovery's form.
    pub known: Value,
    /// The agreed settings at the start.
    pub settings: &'a Value,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// The tier's bound, in seconds.
    pub bound: f64,
    /// Connections at one scheduler, at the most.
    pub sockets: usize,
}

/// Several real schedulers and the workers' processes.
#[derive(Debug)]
pub struct Fleet {
    files: tempfile::TempDir,
    program: Vec<OsString>,
    logs: bool,
    /// The schedulers.
    pub nodes: Vec<Node>,
    /// The processes of workers, and what holds them open.
    pub workers: Vec<(Child, Option<ChildStdin>)>,
}

/// Addresses for so many schedulers, free in a moment, each at an address of its own.
pub fn addresses(net: u8, count: usize) -> std::io::Result<Vec<[SocketAddr; 3]>> {
    let free = |node: usize, which: u8| {
        TcpListener::bind(SocketAddr::from(([127, net, node as u8, which + 1], 0)))?.local_addr()
    };
    (0..count).map(|n| Ok([free(n, 0)?, free(n, 1)?, free(n, 2)?])).collect()
}

impl Fleet {
    /// Makes a directory of its own; nothing runs yet.
    pub fn new(program: Vec<OsString>, logs: bool) -> Result<Fleet, Error> {
        let files = tempfile::Builder::new().prefix("loomlb-scale-").tempdir().map_err(Error::Files)?;
        Ok(Fleet { files, program, logs, nodes: Vec::new(), workers: Vec::new() })
    }

    /// Where its files are.
    pub fn path(&self) -> &Path {
        self.files.path()
    }

    fn file(&self, n: usize, ending: &str) -> PathBuf {
        self.files.path().join(format!("n{n}.{ending}"))
    }

    /// Adds a scheduler, which does not run yet.
    pub fn add(&mut self, role: Role, at: [SocketAddr; 3], links: &Links, voters: usize, told: &Told<'_>) {
        let n = self.nodes.len();
        let name = format!("n{n}");
        let config = json!({"name": name, "listen": at[0].to_string(), "control": at[1].to_string(),
            "discovery": told.discovery.to_string(), "seed": format!("{n:x}"),
            "limits": {"cores": 1.0, "memory_mb": 256, "sockets": told.sockets},
            "known": told.known, "settings": told.settings});
        let mut operator = format!(
            "[tier]\nkey = \"{KEY}\"\nbound_s = {:?}\nfound = FOUND\nstore = {:?}\nhistory = {:?}\n",
            told.bound,
            self.file(n, "log"),
            self.file(n, "history")
        );
        if n < voters {
            operator += &format!("listen = \"{}\"\n", at[2]);
        }
        for (voter, through) in links.at.iter().enumerate() {
            let to = if voter == n { at[2] } else { *through };
            operator += &format!("\n[[tier.voter]]\nname = \"n{voter}\"\nat = \"{to}\"\n");
        }
        self.nodes.push(Node { name, role, at, config, operator, child: None, disturbed: false });
    }

    /// Starts a scheduler. `found`: a voter's file may be missing.
    pub fn launch(&mut self, n: usize, found: bool) -> Result<(), Error> {
        let (config, operator) = (self.file(n, "json"), self.file(n, "toml"));
        std::fs::write(&config, self.nodes[n].config.to_string()).map_err(Error::Files)?;
        let text = self.nodes[n].operator.replace("FOUND", &found.to_string());
        std::fs::write(&operator, text).map_err(Error::Files)?;
        let failed =
            |e: std::io::Error| Error::Start { program: self.program.first().cloned().into(), source: e };
        let Some((program, first)) = self.program.split_first() else {
            return Err(failed(std::io::ErrorKind::NotFound.into()));
        };
        let mut command = Command::new(program);
        command.args(first).arg("serve").env_clear();
        command.env("LB_CONFIG", &config).env("LOOMLB_OPERATOR", &operator);
        command.stdin(Stdio::null()).stdout(Stdio::null());
        if self.logs {
            if let Some(level) = std::env::var_os("RUST_LOG") {
                command.env("RUST_LOG", level);
            }
        } else {
            command.stderr(Stdio::null());
        }
        let child = command.spawn().map_err(failed)?;
        self.nodes[n].child = Some(child);
        Ok(())
    }

    /// Starts processes of workers, and waits until they listen.
    pub fn start_workers(
        &mut self,
        host: &Path,
        count: usize,
        net: u8,
        port: u16,
        at: &[SocketAddr],
    ) -> Result<(), Error> {
        let failed =
            |e: std::io::Error| Error::Start { program: Named::from(Some(host.to_path_buf())), source: e };
        let at: Vec<String> = at.iter().map(ToString::to_string).collect();
        for first in (0..count).step_by(super::workers::MOST) {
            let count = (count - first).min(super::workers::MOST);
            let mut command = Command::new(host);
            command.args(["scale-workers", "--first", &first.to_string(), "--count", &count.to_string()]);
            command.args(["--net", &net.to_string(), "--port", &port.to_string()]);
            command.args(["--schedulers", &at.join(",")]);
            command.stdin(Stdio::piped()).stdout(Stdio::piped());
            let mut child = command.spawn().map_err(failed)?;
            let (stdin, stdout) = (child.stdin.take(), child.stdout.take());
            self.workers.push((child, stdin));
            let mut line = String::new();
            if let Some(stdout) = stdout {
                let _ = BufReader::new(stdout).read_line(&mut line);
            }
            if line.trim() != "ready" {
                return Err(failed(std::io::Error::other("the workers cannot listen")));
            }
        }
        Ok(())
    }

    /// The number of a scheduler's process, while it runs.
    pub fn pid(&self, n: usize) -> Option<u32> {
        self.nodes[n].child.as_ref().map(Child::id)
    }

    /// Whether a scheduler's process runs.
    pub fn runs(&mut self, n: usize) -> bool {
        self.nodes[n].child.as_mut().is_some_and(|c| matches!(c.try_wait(), Ok(None)))
    }

    /// Kills a scheduler outright.
    pub fn kill(&mut self, n: usize) {
        self.nodes[n].disturbed = true;
        if let Some(mut child) = self.nodes[n].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Stops a scheduler where it is, or has it go on.
    pub fn stop(&mut self, n: usize, stop: bool) {
        self.nodes[n].disturbed = true;
        let pid = self.pid(n).and_then(|pid| Pid::from_raw(pid as i32));
        if let Some(pid) = pid.filter(|_| self.runs(n)) {
            let _ = kill_process(pid, if stop { Signal::STOP } else { Signal::CONT });
        }
    }

    /// Whether a scheduler says that it may serve.
    pub fn ready(&self, n: usize) -> bool {
        call(self.nodes[n].at[1], "GET /control/ready").is_some_and(|c| c.0 == 200)
    }

    /// What a scheduler says of the tier, its settings left out.
    pub fn tier(&self, n: usize) -> Option<Value> {
        let mut said = call(self.nodes[n].at[1], "GET /control/tier")?.1;
        said["settings"] = Value::Null;
        Some(said)
    }

    /// The lines of a scheduler's history.
    pub fn history(&self, n: usize) -> Vec<loomlb_consensus::history_check::HistoryRecord> {
        let text = std::fs::read_to_string(self.file(n, "history")).unwrap_or_default();
        text.lines().filter_map(|l| serde_json::from_str(l).ok()).collect()
    }
}

/// A short call: status and body; none without an answer within 2 s.
fn call(at: SocketAddr, first: &str) -> Option<(u16, Value)> {
    let limit = Duration::from_secs(2);
    let mut stream = TcpStream::connect_timeout(&at, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.write_all(format!("{first} HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n").as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    let (head, body) = answer.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((status, serde_json::from_str(body).unwrap_or(Value::Null)))
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for n in 0..self.nodes.len() {
            self.kill(n);
        }
        for (child, stdin) in &mut self.workers {
            drop(stdin.take());
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
