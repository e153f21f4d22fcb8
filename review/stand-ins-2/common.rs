//! Stand-ins for the second review: discovery, workers, clients and the platform, by the operators' pages.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The record of a run: what was sent, answered and run, with seconds since its start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn new() -> Record {
        let path = std::env::var("RECORD").expect("RECORD names the record");
        Record { start: Instant::now(), file: Arc::new(Mutex::new(File::create(path).expect("record"))) }
    }
    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.4} {}", text.as_ref());
    }
    /// Also printed, for who runs the script.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
}

/// Whether the disruption is played.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ends with status 2: the case could not run.
pub fn cannot_run(record: &Record, why: &str) -> ! {
    record.say(format!("cannot run: {why}"));
    end(2);
}

/// The schedulers that run. Their ids are also in a file, for the script that ends what is left.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn note_running(change: impl FnOnce(&mut Vec<u32>)) {
    let mut running = RUNNING.lock().unwrap();
    change(&mut running);
    let text: Vec<String> = running.iter().map(u32::to_string).collect();
    let _ = std::fs::write(work_folder().join("pids"), text.join("\n") + "\n");
}

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// Sends a signal to a process that this program started.
pub fn signal_process(id: u32, signal: i32) {
    // SAFETY: a plain system call.
    unsafe { kill(id as i32, signal) };
}

/// Ends all schedulers and then this program, with this status.
pub fn end(status: i32) -> ! {
    let running = RUNNING.lock().unwrap().clone();
    for id in running {
        signal_process(id, SIGKILL);
    }
    std::process::exit(status);
}

/// One HTTP message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map_or("", |(_, value)| value)
    }
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }
    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
    pub fn id(&self) -> String {
        self.header("X-Correlation-Id").to_string()
    }
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads a message with `Content-Length`; none if the connection ended or the read timed out.
pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 || !line.ends_with('\n') {
            return None;
        }
        let line = line.trim_end();
        if message.start.is_empty() {
            message.start = line.to_string();
        } else if line.is_empty() {
            break;
        } else if let Some((key, value)) = line.split_once(':') {
            message.headers.push((key.trim().to_string(), value.trim().to_string()));
        }
    }
    let length: usize = message.header("Content-Length").parse().unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

pub fn response(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// A reader and a writer of one connection, without delay.
pub fn split(stream: TcpStream) -> (BufReader<TcpStream>, TcpStream) {
    let _ = stream.set_nodelay(true);
    (BufReader::new(stream.try_clone().expect("clone of a socket")), stream)
}

pub fn connect(address: SocketAddr) -> std::io::Result<(BufReader<TcpStream>, TcpStream)> {
    Ok(split(TcpStream::connect_timeout(&address, Duration::from_secs(2))?))
}

// ---- discovery

/// The discovery agent: answers the list and watches on it.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<(u64, Vec<String>)>, Condvar)>,
}

impl Discovery {
    pub fn start(entries: Vec<String>) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("discovery");
        let address = listener.local_addr().unwrap();
        let state = Arc::new((Mutex::new((1, entries)), Condvar::new()));
        let discovery = Discovery { address, state };
        let server = discovery.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                std::thread::spawn(move || server.serve(stream));
            }
        });
        discovery
    }
    pub fn publish(&self, entries: Vec<String>) {
        let mut state = self.state.0.lock().unwrap();
        *state = (state.0 + 1, entries);
        self.state.1.notify_all();
    }
    /// The list, as for `known`.
    pub fn list(&self) -> String {
        let state = self.state.0.lock().unwrap();
        format!(r#"{{"seq":{},"whole":true,"hosts":[{}]}}"#, state.0, state.1.join(","))
    }
    fn serve(&self, stream: TcpStream) {
        let (mut reader, mut writer) = split(stream);
        while let Some(call) = read_message(&mut reader) {
            let number = |name: &str| {
                let query = call.path().split_once('?').map_or("", |(_, query)| query).to_string();
                query.split('&').find_map(|part| part.strip_prefix(name)?.parse::<u64>().ok())
            };
            let (from, hold) = (number("from="), number("hold_ms=").unwrap_or(0).min(60_000));
            let until = Instant::now() + Duration::from_millis(hold);
            let mut state = self.state.0.lock().unwrap();
            while from == Some(state.0) && Instant::now() < until {
                state = self.state.1.wait_timeout(state, until - Instant::now()).unwrap().0;
            }
            let (whole, hosts) =
                if from == Some(state.0) { (false, String::new()) } else { (true, state.1.join(",")) };
            let body = format!(r#"{{"seq":{},"whole":{whole},"hosts":[{hosts}]}}"#, state.0);
            drop(state);
            if writer.write_all(response("200 OK", "", &body).as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// An entry of the list.
pub fn entry(host: &str, dial: SocketAddr, pod: u32, health: &str) -> String {
    format!(
        r#"{{"host":"{host}","dial":"{dial}","site":"dc1","class":"std","block":{pod},"health":"{health}","share":1.0,"born_ms":0}}"#
    )
}

// ---- workers

type Handler = dyn Fn(&Message, &mut TcpStream) -> bool + Send + Sync;

/// A worker: `handle` gets every call and writes the answer; the connection ends when it returns false.
pub struct Worker {
    pub host: String,
    pub address: SocketAddr,
}

impl Worker {
    pub fn start(host: &str, handle: impl Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static) -> Worker {
        let listener = TcpListener::bind("127.0.0.1:0").expect("worker");
        let address = listener.local_addr().unwrap();
        let handle: Arc<Handler> = Arc::new(handle);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let handle = Arc::clone(&handle);
                std::thread::spawn(move || {
                    let (mut reader, mut writer) = split(stream);
                    while let Some(call) = read_message(&mut reader) {
                        if !handle(&call, &mut writer) {
                            return;
                        }
                    }
                });
            }
        });
        Worker { host: host.to_string(), address }
    }
}

/// Answers what is no job: probes and `DELETE`.
pub fn answer_call(call: &Message, writer: &mut TcpStream) -> bool {
    let body = if call.path() == "/load" { "inflight=0,qps=1,x0=4" } else { "" };
    writer.write_all(response("200 OK", "", body).as_bytes()).is_ok()
}

/// A worker's call to the scheduler: tried until answered with 200 or 204, ten times at most. Returns whether it was.
pub fn call_back(record: &Record, scheduler: SocketAddr, host: &str, id: &str, state: &str, more: &str) -> bool {
    let body = format!(r#"{{"id":"{id}","from":"{host}","state":"{state}"{more}}}"#);
    let call = format!("POST /v1/job-events HTTP/1.1\r\nHost: s\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    for attempt in 0..10 {
        let answered = connect(scheduler).ok().and_then(|(mut reader, mut writer)| {
            let _ = writer.set_read_timeout(Some(Duration::from_secs(1)));
            writer.write_all(call.as_bytes()).ok()?;
            read_message(&mut reader)
        });
        let status = answered.map_or(0, |answer| answer.status());
        record.line(format!("{host} tells {state} of {id}: {status}"));
        if status == 200 || status == 204 {
            return true;
        }
        std::thread::sleep(Duration::from_millis(100 << attempt.min(3)));
    }
    false
}

// ---- clients

/// A request of a client.
pub fn job(class: &str, id: &str, time_left: f64) -> String {
    let body = format!("job {id}");
    format!(
        "POST /{class}/k{id} HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: {id}\r\nX-Service-Class: {class}\r\n\
         X-Account: acme\r\nX-Time-Left: {time_left:.3}\r\nIdempotency-Key: key{id}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Sends one request on a connection of its own and returns the status and body; 0 if there was no answer by then.
pub fn ask(address: SocketAddr, request: &str, patience: f64) -> (u16, String) {
    let until = Instant::now() + Duration::from_secs_f64(patience);
    let Ok((mut reader, mut writer)) = connect(address) else { return (0, "not connected".into()) };
    if writer.write_all(request.as_bytes()).is_err() {
        return (0, "not written".into());
    }
    let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    let _ = writer.set_read_timeout(Some(left));
    read_message(&mut reader).map_or((0, "no answer".into()), |answer| (answer.status(), answer.text()))
}

/// How often each id began to run, and where.
#[derive(Clone, Default)]
pub struct Runs(Arc<Mutex<HashMap<String, Vec<(String, Instant)>>>>);

impl Runs {
    pub fn add(&self, id: &str, host: &str) {
        self.0.lock().unwrap().entry(id.to_string()).or_default().push((host.to_string(), Instant::now()));
    }
    pub fn of(&self, id: &str) -> Vec<(String, Instant)> {
        self.0.lock().unwrap().get(id).cloned().unwrap_or_default()
    }
    pub fn more_than_once(&self) -> Vec<(String, Vec<String>)> {
        let runs = self.0.lock().unwrap();
        let several = runs.iter().filter(|(_, runs)| runs.len() > 1);
        several.map(|(id, runs)| (id.clone(), runs.iter().map(|run| run.0.clone()).collect())).collect()
    }
}

// ---- the platform

/// A free port of loopback.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Settings of a small deployment: three classes, one data centre, pushed lists, reports in answers.
pub fn settings(balancers: u32, pods_of: &str) -> String {
    format!(
        r#"{{"balancers":{balancers},"rank":0,"my_zone":"dc1","zones":["dc1"],"kinds":["std"],"layer":0,"layers":["workers"],
"family":"jobs","tick":2000000,"registry_mode":"automatic","weights":"nominal","worth_by":"request","over_share_worth":0.2,
"tenants":[{{"name":"acme","quota_rps":500.0,"share":1.0}}],"client_habits":{{"marks_retry":false}},
"load_report":{{"how":"inline","fields":["rif","rate","x0"]}},
"classes":[
{{"name":"view","aim":150000000,"give_up":5000000000,"worth":1.0,"late_worth":0.0,"effect":"idempotent","group":"all","repeat_window":5000000000,"stream":false}},
{{"name":"sign","aim":150000000,"give_up":5000000000,"worth":5.0,"late_worth":0.0,"effect":"deduplicated","group":"{pods_of}","repeat_window":7500000000,"stream":false}},
{{"name":"lodge","aim":150000000,"give_up":6000000000,"worth":3.0,"late_worth":0.0,"effect":"at_most_once","group":"all","repeat_window":5000000000,"stream":false}}],
"ceilings":{{"cancel":true,"cpu_us_per_request":0,"cpu_us_per_s":500000,"dial_timeout":120000000,"keepalive":5000000000,"max_attempts":4,
"max_open":20000,"max_retry_after":2000000000,"may_tell":false,"probing":true,"retry_after":true,"second_copies":true,"streams_per_conn":1}},
"obligations":{{"cold":23000000000,"cold_from":0.13,"drain_grace":1000000000,"grace_to_answer":8000000,"must_ask_in":10000000000,"overload_factor":2.5,"overload_for":1500000000}},
"penalties":{{"cross_zone":0.0,"handshake":0.02,"late_fail":0.064,"peer":0.0086,"probe":0.002,"waste":0.02}},
"extra":{{"class_kind":[-1,-1,-1],"class_priority":[0,1,0],"class_stretch":[2.0,1.75,2.5],"progress":1000000000,"queue_order":"fifo","report_x0":"free slots","tells_start":true}}}}"#
    )
}

/// A configuration file.
pub fn config(listen: SocketAddr, discovery: &Discovery, settings: &str) -> String {
    format!(
        r#"{{"name":"n1","listen":"{listen}","discovery":"{}","seed":"{:016x}","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"peers":[],"known":{},"settings":{settings}}}"#,
        discovery.address,
        unix_ms(),
        discovery.list()
    )
}

/// A scheduler process, started by the deploy file's `run`. Killed when dropped.
pub struct Scheduler {
    pub child: Child,
    pub listen: SocketAddr,
}

/// The folder for what the processes of a run write, removed by the script.
pub fn work_folder() -> PathBuf {
    PathBuf::from(std::env::var("WORK").expect("WORK names a folder"))
}

impl Scheduler {
    /// Starts it with this configuration and these further variables.
    pub fn start(name: &str, listen: SocketAddr, config: &str, variables: &[(&str, String)], log: &Path) -> Scheduler {
        let folder = work_folder();
        let file = folder.join(format!("{name}.json"));
        std::fs::write(&file, config).expect("configuration");
        let run = std::env::var("RUN").expect("RUN holds the deploy file's command");
        let log = File::options().create(true).append(true).open(log).expect("log");
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(run).env("LB_CONFIG", &file).env("LB_LISTEN", listen.to_string()).env("LB_NAME", "n1");
        command.env("RUST_LOG", std::env::var("RUST_LOG").unwrap_or("info".into()));
        for (key, value) in variables {
            command.env(key, value);
        }
        let child = command
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log"))
            .stderr(log)
            .spawn()
            .expect("the deploy file's run");
        note_running(|running| running.push(child.id()));
        Scheduler { child, listen }
    }
    /// Waits until `/healthz` answers 200.
    pub fn wait_until_ready(&mut self, record: &Record) {
        let until = Instant::now() + Duration::from_secs(30);
        while Instant::now() < until {
            if ask(self.listen, "GET /healthz HTTP/1.1\r\nHost: s\r\n\r\n", 1.0).0 == 200 {
                return;
            }
            if let Ok(Some(status)) = self.child.try_wait() {
                cannot_run(record, &format!("the scheduler ended: {status}"));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        cannot_run(record, "the scheduler is not ready");
    }
    pub fn signal(&self, signal: i32) {
        signal_process(self.child.id(), signal);
    }
    /// Whether it has ended by then.
    pub fn ends_within(&mut self, seconds: f64) -> bool {
        let until = Instant::now() + Duration::from_secs_f64(seconds);
        while Instant::now() < until {
            if matches!(self.child.try_wait(), Ok(Some(_))) {
                let ended = self.child.id();
                note_running(|running| running.retain(|id| *id != ended));
                return true;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        false
    }
}

impl Drop for Scheduler {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let ended = self.child.id();
        note_running(|running| running.retain(|id| *id != ended));
    }
}

pub fn sleep(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}
