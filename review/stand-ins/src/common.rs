//! What all cases share: the record, HTTP messages, the settings, and the stand-ins for workers, discovery and the
//! platform's process control.

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
const PR_SET_PDEATHSIG: i32 = 1;

// The C library, which the standard library links anyway.
unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64, _: u64, _: u64, _: u64) -> i32;
    fn dup2(old: i32, new: i32) -> i32;
}

/// Makes descriptor `new` a duplicate of `old` that every child process inherits.
pub fn duplicate_descriptor(old: i32, new: i32) {
    assert!(unsafe { dup2(old, new) } == new, "dup2 failed");
}

pub fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

// ---- the run

struct Run {
    record: Mutex<File>,
    start: Instant,
    folder: PathBuf,
    children: Mutex<Vec<i32>>,
}

static RUN: OnceLock<Run> = OnceLock::new();

fn run() -> &'static Run {
    RUN.get().expect("the run is started first")
}

/// Opens the record and a temporary folder, and ends the run with status 2 if it takes too long or a thread panics.
pub fn start_run(record: &Path) {
    let folder = std::env::temp_dir().join(format!("loomlb-review-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    let file = File::create(record).expect("the record");
    let started = Run { record: Mutex::new(file), start: Instant::now(), folder, children: Mutex::default() };
    assert!(RUN.set(started).is_ok());
    std::panic::set_hook(Box::new(|panic| finish(2, &format!("could not run: {panic}"))));
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(110));
        finish(2, "could not run: not done after 110 s");
    });
}

/// Seconds since the start of the run.
pub fn seconds() -> f64 {
    run().start.elapsed().as_secs_f64()
}

/// The temporary folder of the run.
pub fn folder() -> &'static Path {
    &run().folder
}

/// Writes a line to the record.
pub fn note(text: &str) {
    let mut record = run().record.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let _ = writeln!(record, "{:8.3} {text}", seconds());
}

/// Ends all processes and the run: 0 the rule held, 1 it was broken, 2 the case could not run.
pub fn finish(status: i32, verdict: &str) -> ! {
    static FINISHING: AtomicBool = AtomicBool::new(false);
    if FINISHING.swap(true, Ordering::SeqCst) {
        loop {
            thread::park();
        }
    }
    note(&format!("VERDICT {status}: {verdict}"));
    println!("{verdict}");
    for pid in run().children.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).iter() {
        unsafe { kill(*pid, SIGKILL) };
    }
    let _ = std::fs::remove_dir_all(folder());
    std::process::exit(status)
}

/// Whether the disruption takes place (`TROUBLE` is not 0).
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

// ---- HTTP

/// An HTTP message with its start line, headers (names in lower case) and body.
pub struct Message {
    pub start: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }
    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads one message; an error if the connection ends or breaks before it is whole.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Message> {
    let line = |reader: &mut BufReader<TcpStream>| {
        let mut text = String::new();
        match reader.read_line(&mut text)? {
            0 => Err(io::Error::from(io::ErrorKind::UnexpectedEof)),
            _ if !text.ends_with('\n') => Err(io::Error::from(io::ErrorKind::UnexpectedEof)),
            _ => Ok(text.trim_end().to_string()),
        }
    };
    let start = line(reader)?;
    let mut headers = HashMap::new();
    loop {
        let text = line(reader)?;
        let Some((name, value)) = text.split_once(':') else { break };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
    }
    let length = headers.get("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Message { start, headers, body })
}

pub fn connect(address: SocketAddr) -> io::Result<(TcpStream, BufReader<TcpStream>)> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
    stream.set_nodelay(true)?;
    Ok((stream.try_clone()?, BufReader::new(stream)))
}

/// A job request as a client sends it.
pub fn job(id: &str, class: &str, time_left: f64, body: &str) -> String {
    let key = if class == "sign" { format!("Idempotency-Key: key-{id}\r\n") } else { String::new() };
    format!(
        "POST /{class}/petition-{id} HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: {id}\r\n\
         X-Service-Class: {class}\r\nX-Account: foni-politon\r\nX-Time-Left: {time_left:.3}\r\n{key}\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A correlation id that no other request of the run has.
pub fn new_id() -> String {
    static LAST: AtomicU64 = AtomicU64::new(0x9b1f_03aa_0000_0000);
    format!("{:016x}", LAST.fetch_add(1, Ordering::Relaxed))
}

// ---- workers

/// What a worker did with a job.
#[derive(Clone, Debug)]
pub struct JobRun {
    pub at: f64,
    pub worker: String,
    pub id: String,
    pub ended_at: Option<f64>,
    pub body: String,
}

/// The jobs that the workers took, in order.
pub type JobRuns = Arc<Mutex<Vec<JobRun>>>;

/// A worker: takes each job with 202, reports its start and, after `run_time`, its end; drops a job at DELETE.
pub struct Worker {
    pub name: String,
    pub address: SocketAddr,
}

struct WorkerState {
    name: String,
    scheduler: SocketAddr,
    run_time: Duration,
    runs: JobRuns,
    cancelled: Mutex<Vec<String>>,
    in_flight: AtomicU64,
}

const SLOTS: u64 = 4;

impl Worker {
    pub fn start(number: usize, scheduler: SocketAddr, run_time: Duration, runs: &JobRuns) -> Worker {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let (name, address) = (format!("s-0badca{number:02x}"), listener.local_addr().unwrap());
        let state = Arc::new(WorkerState {
            name: name.clone(),
            scheduler,
            run_time,
            runs: Arc::clone(runs),
            cancelled: Mutex::default(),
            in_flight: AtomicU64::new(0),
        });
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = Arc::clone(&state);
                thread::spawn(move || state.serve(stream));
            }
        });
        Worker { name, address }
    }

    /// Its entry in discovery's list.
    pub fn entry(&self) -> String {
        format!(
            r#"{{"host":"{}","dial":"{}","site":"athens-dc1","class":"quad-std","block":0,"health":"active","share":1.0,"born_ms":0}}"#,
            self.name, self.address
        )
    }
}

impl WorkerState {
    fn load(&self) -> String {
        let in_flight = self.in_flight.load(Ordering::Relaxed);
        format!("inflight={in_flight},qps=5,x0={}", SLOTS.saturating_sub(in_flight))
    }

    fn serve(self: Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        // The settings' time for idle connections.
        let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(message) = read_message(&mut reader) {
            let answer = |status: &str, body: &str| {
                format!(
                    "HTTP/1.1 {status}\r\nX-Backend-Load: {}\r\nContent-Length: {}\r\n\r\n{body}",
                    self.load(),
                    body.len()
                )
            };
            let reply = match (message.start.split(' ').next(), message.header("x-correlation-id")) {
                (Some("DELETE"), _) => {
                    let id = message.start.split(' ').nth(1).and_then(|path| path.strip_prefix("/jobs/"));
                    note(&format!("worker {}: {}", self.name, message.start));
                    self.cancelled.lock().unwrap().extend(id.map(str::to_string));
                    answer("200 OK", "")
                }
                (Some("GET"), _) => answer("200 OK", &self.load()),
                (_, None) => answer("404 Not Found", ""),
                (_, Some(id)) => {
                    self.take(id, &message);
                    answer("202 Accepted", "")
                }
            };
            if writer.write_all(reply.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn take(self: &Arc<Self>, id: &str, message: &Message) {
        let index = {
            let mut runs = self.runs.lock().unwrap();
            let (worker, id, body) = (self.name.clone(), id.to_string(), message.text());
            runs.push(JobRun { at: seconds(), worker, id, ended_at: None, body });
            runs.len() - 1
        };
        note(&format!(
            "worker {}: takes {} id={id} X-Time-Left={}",
            self.name,
            message.start,
            message.header("x-time-left").unwrap_or("-")
        ));
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        let (state, id) = (Arc::clone(self), id.to_string());
        thread::spawn(move || {
            state.call_back(&id, "started", "");
            thread::sleep(state.run_time);
            state.in_flight.fetch_sub(1, Ordering::Relaxed);
            state.runs.lock().unwrap()[index].ended_at = Some(seconds());
            if state.cancelled.lock().unwrap().contains(&id) {
                return note(&format!("worker {}: {id} was given up", state.name));
            }
            let result = format!(r#","result":"{}""#, result_of(&state.name, &id));
            state.call_back(&id, "done", &result);
        });
    }

    /// Makes a call-back, up to ten times until it is answered.
    fn call_back(&self, id: &str, job_state: &str, more: &str) {
        let body = format!(r#"{{"id":"{id}","from":"{}","state":"{job_state}"{more}}}"#, self.name);
        let call = format!(
            "POST /v1/job-events HTTP/1.1\r\nHost: scheduler\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        for _ in 0..10 {
            let answer = connect(self.scheduler).and_then(|(mut stream, mut reader)| {
                stream.set_read_timeout(Some(Duration::from_secs(1)))?;
                stream.write_all(call.as_bytes())?;
                read_message(&mut reader)
            });
            if let Ok(answer) = answer
                && [200, 204].contains(&answer.status())
            {
                if job_state != "started" {
                    note(&format!("worker {}: {id} {job_state}, answered {}", self.name, answer.status()));
                }
                return;
            }
            thread::sleep(ms(100));
        }
        note(&format!("worker {}: {id} {job_state} was never answered", self.name));
    }
}

/// The result that a worker returns for a job.
pub fn result_of(worker: &str, id: &str) -> String {
    format!("result of {id} by {worker}")
}

// ---- discovery

/// Discovery's agent: answers with the whole list, and holds watches until their time is over, as nothing changes.
pub fn start_discovery(entries: Vec<String>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let entries = entries.clone();
            thread::spawn(move || {
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Ok(call) = read_message(&mut reader) {
                    let path = call.start.split(' ').nth(1).unwrap_or("").to_string();
                    let hold = path.split_once("hold_ms=").and_then(|(_, hold)| hold.parse().ok());
                    thread::sleep(ms(hold.unwrap_or(0)));
                    let body = match path.contains("from=") {
                        true => r#"{"seq":41,"whole":false,"hosts":[]}"#.to_string(),
                        false => whole_list(&entries),
                    };
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                    if writer.write_all((head + &body).as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

pub fn whole_list(entries: &[String]) -> String {
    format!(r#"{{"seq":41,"whole":true,"hosts":[{}]}}"#, entries.join(","))
}

// ---- the platform

/// A class of requests in the settings.
pub struct Class {
    pub name: &'static str,
    pub effect: &'static str,
    pub group: &'static str,
    pub give_up_ms: u64,
    pub worth: f64,
}

pub fn classes(give_up_ms: [u64; 3]) -> Vec<Class> {
    let class = |name, effect, group, give_up_ms, worth| Class { name, effect, group, give_up_ms, worth };
    vec![
        class("page-view", "idempotent", "all", give_up_ms[0], 1.0),
        class("sign", "deduplicated", "cell", give_up_ms[1], 5.0),
        class("lodge", "at_most_once", "all", give_up_ms[2], 3.0),
    ]
}

/// The settings of a small deployment: one scheduler, one data centre, three classes.
pub fn settings(classes: &[Class]) -> String {
    let class = |class: &Class| {
        format!(
            r#"{{"aim":150000000,"effect":"{}","give_up":{}000000,"group":"{}","late_worth":0.0,"name":"{}","repeat_window":7500000000,"stream":false,"worth":{:.1}}}"#,
            class.effect, class.give_up_ms, class.group, class.name, class.worth
        )
    };
    let list = |value: &str| vec![value; classes.len()].join(",");
    let class_list: Vec<String> = classes.iter().map(class).collect();
    format!(
        r#"{{"balancers":1,"ceilings":{{"cancel":true,"cpu_us_per_request":0.0,"cpu_us_per_s":500000,"dial_timeout":120000000,"keepalive":5000000000,"max_attempts":4,"max_open":20000,"max_retry_after":2000000000,"may_tell":true,"probing":true,"retry_after":true,"second_copies":true,"streams_per_conn":1}},
"classes":[{}],
"client_habits":{{"marks_retry":false}},
"extra":{{"class_kind":[{}],"class_priority":[{}],"class_stretch":[{}],"memory_unit":"a worker has one unit for each slot","notes":"1 it has started, 2 share done","progress":1000000000,"queue_order":"fifo","report_x0":"free slots","report_x1":"free memory","tells_start":true}},
"family":"jobs","kinds":["quad-std","penta-slow"],"layer":0,"layers":["petition-workers"],
"load_report":{{"fields":["rif","rate","x0"],"how":"inline"}},"my_zone":"athens-dc1",
"objective_mix":{{"whole":0.25,"worst_class":0.2,"worst_tenant":0.1,"worst_window":0.45}},
"obligations":{{"cold":23000000000,"cold_from":0.13,"drain_grace":1000000000,"grace_to_answer":8000000,"must_ask_in":10000000000,"overload_factor":2.5,"overload_for":1500000000}},
"over_share_worth":0.2,
"penalties":{{"connection":0.0,"cross_zone":0.0,"handshake":0.02,"late_fail":0.064,"moves":0.0,"origin":0.0,"peer":0.0086,"probe":0.002,"registry_mode":0.0,"waste":0.02}},
"rank":0,"registry_mode":"automatic",
"tenants":[{{"name":"foni-politon","quota_rps":45.0,"share":0.73}},{{"name":"aitima-gr","quota_rps":17.0,"share":0.27}}],
"tick":2000000,"weights":"live","worth_by":"work","zones":["athens-dc1"]}}"#,
        class_list.join(","),
        list("-1"),
        list("0"),
        list("2.0")
    )
}

/// A configuration file as the platform writes it.
pub struct Configuration {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub memory_mb: u64,
    pub sockets: u64,
    pub entries: Vec<String>,
}

impl Configuration {
    /// Puts the file in place at once, as a rename does.
    pub fn write(&self, path: &Path, settings: &str) {
        let text = format!(
            r#"{{"name":"n0","listen":"{}","discovery":"{}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"peers":[],"known":{},"settings":{}}}"#,
            self.listen,
            self.discovery,
            self.memory_mb,
            self.sockets,
            whole_list(&self.entries),
            settings
        );
        let temporary = path.with_extension("new");
        std::fs::write(&temporary, text).expect("the configuration");
        std::fs::rename(&temporary, path).expect("the configuration");
    }
}

/// A loopback address that nobody uses.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a port")
}

/// The value of `run` in the deploy file.
fn run_command() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").expect("deploy/balancer.toml");
    let value = text.lines().find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
    value.expect("`run` in deploy/balancer.toml").to_string()
}

/// A scheduler process, started as the deploy file says.
pub struct Scheduler {
    pub child: Child,
}

impl Scheduler {
    /// Starts `run` by `/bin/sh -c`, with the variables of the deployment page and these further ones. Called on the main
    /// thread, with whose end the process is killed.
    pub fn start(name: &str, config: &Path, at: &Configuration, more: &[(&str, String)]) -> Scheduler {
        let tmpdir = folder().join("tmp");
        std::fs::create_dir_all(&tmpdir).expect("TMPDIR");
        let log = File::create(folder().join(format!("{name}.log"))).expect("the log");
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(run_command()).env("LB_NAME", "n0").env("LB_CONFIG", config);
        command.env("LB_LISTEN", at.listen.to_string()).env("LB_DISCOVERY", at.discovery.to_string());
        command.env("TMPDIR", &tmpdir).env("RUST_LOG", "info").stdin(Stdio::null());
        command.envs(more.iter().map(|(key, value)| (key, value)));
        command.stdout(log.try_clone().expect("the log")).stderr(log);
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0);
                Ok(())
            })
        };
        let child = command.spawn().expect("the scheduler starts");
        run().children.lock().unwrap().push(child.id() as i32);
        note(&format!("platform: starts {name} (pid {})", child.id()));
        Scheduler { child }
    }

    pub fn signal(&self, signal: i32, name: &str) {
        note(&format!("platform: {name} to pid {}", self.child.id()));
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Waits until `GET path` at this address answers 200.
    pub fn wait_until_ready(&mut self, address: SocketAddr, path: &str) {
        for _ in 0..600 {
            if let Some(status) = self.child.try_wait().expect("the process") {
                finish(2, &format!("could not run: the scheduler ended with {status}"));
            }
            let answer = connect(address).and_then(|(mut stream, mut reader)| {
                stream.set_read_timeout(Some(Duration::from_secs(1)))?;
                stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: n0\r\n\r\n").as_bytes())?;
                read_message(&mut reader)
            });
            if answer.is_ok_and(|answer| answer.status() == 200) {
                return note(&format!("platform: pid {} is ready", self.child.id()));
            }
            thread::sleep(ms(10));
        }
        finish(2, "could not run: the scheduler was not ready in time");
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().expect("the process").is_some()
    }
}

/// Copies a process's log to the record.
pub fn record_log(name: &str) {
    for line in std::fs::read_to_string(folder().join(format!("{name}.log"))).unwrap_or_default().lines() {
        note(&format!("log of {name}: {line}"));
    }
}
