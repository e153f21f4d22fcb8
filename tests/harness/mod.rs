//! A scheduler for stories: the built program between scripted clients, targets and discovery on loopback.
#![allow(dead_code, reason = "each file of stories uses a part of it")]

use loomlb_fault_plan::FaultPlan;
use socket2::{Domain, SockRef, Socket, Type};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Longer than anything here takes; only a failure waits for it.
const LONG: Duration = Duration::from_secs(20);

const SETTINGS: &str = r#"{"balancers":1,"zones":["z"],"my_zone":"z","kinds":["k"],"tick":2000000,
"registry_mode":"automatic","load_report":{"how":"inline","fields":["rif","x0"]},
"classes":[{"name":"view","aim":900000000,"give_up":5000000000,"worth":1.0,"effect":"idempotent"},
{"name":"lodge","aim":900000000,"give_up":5000000000,"worth":1.0,"effect":"at_most_once"}],
"ceilings":{"cancel":true,"may_tell":true,"max_attempts":2,"retry_after":true,"max_retry_after":2000000000,
"dial_timeout":1000000000,"keepalive":60000000000},"obligations":{"drain_grace":1000000000}}"#;

/// One side of a connection that speaks HTTP by hand.
pub struct HttpConnection(BufReader<TcpStream>);

impl HttpConnection {
    pub fn new(stream: TcpStream) -> HttpConnection {
        stream.set_read_timeout(Some(LONG)).unwrap();
        HttpConnection(BufReader::new(stream))
    }
    pub fn send(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).unwrap();
    }
    /// The next message, or what came of it before the other side closed.
    pub fn receive(&mut self) -> String {
        let (mut text, mut length) = (String::new(), 0);
        loop {
            let start = text.len();
            if self.0.read_line(&mut text).unwrap_or(0) == 0 {
                return text;
            }
            let line = text[start..].to_ascii_lowercase();
            if let Some(value) = line.strip_prefix("content-length:") {
                length = value.trim().parse().unwrap();
            }
            if line == "\r\n" {
                let mut body = vec![0; length];
                self.0.read_exact(&mut body).unwrap();
                return text + &String::from_utf8(body).unwrap();
            }
        }
    }
    /// The status line and the body of the next message.
    pub fn receive_response(&mut self) -> String {
        let text = self.receive();
        let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
        format!("{} | {}", head.lines().next().unwrap_or("closed"), body.trim())
    }
    /// The same, or none if the connection is closed already.
    pub fn try_send(&mut self, text: &str) -> std::io::Result<()> {
        self.0.get_mut().write_all(text.as_bytes())
    }
    /// Says something, or a part of it, and goes: the connection ends behind all of it. The end is said by a shutdown: a
    /// process that another story starts in this moment may hold a copy of the descriptor until it runs.
    pub fn send_and_close(mut self, text: &str) {
        let _ = self.0.get_mut().write_all(text.as_bytes());
        let _ = self.0.get_ref().shutdown(std::net::Shutdown::Both);
    }
    /// Resets the connection.
    pub fn reset(self) {
        SockRef::from(self.0.get_ref()).set_linger(Some(Duration::ZERO)).unwrap();
    }
    /// Waits until the other side closes.
    pub fn wait_until_closed(&mut self) -> bool {
        matches!(self.0.read(&mut [0]), Ok(0) | Err(_))
    }
}

/// A scripted server: a target or discovery.
pub struct Server {
    pub name: String,
    listener: TcpListener,
}

impl Server {
    pub fn new(name: &str) -> Server {
        Server { name: name.to_string(), listener: TcpListener::bind("127.0.0.1:0").unwrap() }
    }
    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }
    /// The next connection; a story in which none comes has failed.
    pub fn accept(&self) -> HttpConnection {
        self.listener.set_nonblocking(true).unwrap();
        let mut came = None;
        wait_until("a connection", || {
            came = self.listener.accept().ok();
            came.is_some()
        });
        let (stream, _) = came.unwrap();
        stream.set_nonblocking(false).unwrap();
        HttpConnection::new(stream)
    }
    /// Its entry in discovery's list.
    pub fn entry(&self, health: &str) -> String {
        let (host, dial) = (&self.name, self.address());
        format!(
            r#"{{"host":"{host}","dial":"{dial}","site":"z","class":"k","block":0,"health":"{health}","share":1.0,"born_ms":0}}"#
        )
    }
}

/// A server whose machine has no room for one more connection: dials to it hang until there is.
pub struct FullBacklogServer {
    pub server: Server,
    queued: Vec<TcpStream>,
}

impl FullBacklogServer {
    pub fn new(name: &str) -> FullBacklogServer {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(0).unwrap();
        let server = Server { name: name.to_string(), listener: socket.into() };
        // Behind a backlog of none there is room for one that is not accepted yet.
        let queued = vec![TcpStream::connect(server.address()).unwrap()];
        FullBacklogServer { server, queued }
    }
    /// Makes room: the dials that hang come up, late.
    pub fn free_backlog(&mut self) {
        for _ in self.queued.drain(..) {
            self.server.accept();
        }
    }
}

/// What an agent does with calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AgentMode {
    /// It answers them, watches when there is news or their wait is over.
    Answers,
    /// It leaves those that wait and those that come without an answer, for ever.
    Silent,
    /// It turns them away.
    Refuses,
}

#[derive(Debug)]
struct AgentState {
    mode: AgentMode,
    seq: u32,
    entries: Vec<String>,
    calls: Vec<(Instant, String)>,
}

/// Discovery that answers by itself, for any number of processes.
pub struct DiscoveryAgent {
    pub server: Server,
    state: Arc<Mutex<AgentState>>,
}

impl DiscoveryAgent {
    /// It answers with this list, as version 2.
    pub fn new(mode: AgentMode, entries: &[String]) -> DiscoveryAgent {
        let server = Server::new("d");
        let state = AgentState { mode, seq: 2, entries: entries.to_vec(), calls: Vec::new() };
        let state = Arc::new(Mutex::new(state));
        let (listener, all) = (server.listener.try_clone().unwrap(), Arc::clone(&state));
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let state = Arc::clone(&all);
                std::thread::spawn(move || DiscoveryAgent::serve(HttpConnection::new(stream), &state));
            }
        });
        DiscoveryAgent { server, state }
    }
    fn lock(state: &Mutex<AgentState>) -> MutexGuard<'_, AgentState> {
        state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
    fn serve(mut line: HttpConnection, state: &Mutex<AgentState>) {
        loop {
            let call = line.receive();
            let Some(first) = call.lines().next().map(str::to_string) else { return };
            let number = |name: &str| {
                let rest = first.split_once(name)?.1;
                rest.split(|c: char| !c.is_ascii_digit()).next()?.parse::<u64>().ok()
            };
            let (from, hold) = (number("from="), Duration::from_millis(number("hold_ms=").unwrap_or(0)));
            let begun = Instant::now();
            DiscoveryAgent::lock(state).calls.push((begun, first));
            let text = loop {
                let state = DiscoveryAgent::lock(state);
                match state.mode {
                    AgentMode::Silent => {
                        drop(state);
                        line.wait_until_closed();
                        return;
                    }
                    AgentMode::Refuses => break response("503 Service Unavailable", ""),
                    AgentMode::Answers if from != Some(state.seq.into()) => {
                        break response("200 OK", &list(state.seq, true, &state.entries));
                    }
                    AgentMode::Answers if begun.elapsed() >= hold => {
                        break response("200 OK", &list(state.seq, false, &[]));
                    }
                    AgentMode::Answers => {}
                }
                drop(state);
                std::thread::sleep(Duration::from_millis(2));
            };
            if line.try_send(&text).is_err() {
                return;
            }
        }
    }
    pub fn set_mode(&self, mode: AgentMode) {
        DiscoveryAgent::lock(&self.state).mode = mode;
    }
    /// The list is another one from now on.
    pub fn publish(&self, entries: &[String]) {
        let mut state = DiscoveryAgent::lock(&self.state);
        (state.seq, state.entries) = (state.seq + 1, entries.to_vec());
    }
    /// The calls so far with these words in them.
    pub fn calls_containing(&self, words: &str) -> Vec<Instant> {
        let state = DiscoveryAgent::lock(&self.state);
        state.calls.iter().filter(|c| c.1.contains(words)).map(|c| c.0).collect()
    }
    /// Waits until there have been so many calls with these words in them.
    pub fn wait_for_calls(&self, words: &str, count: usize) {
        wait_until(&format!("{count} calls with {words}"), || self.calls_containing(words).len() >= count);
    }
}

/// Waits for something to become true.
pub fn wait_until(what: &str, mut is: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !is() {
        assert!(begun.elapsed() < LONG, "{what}: not within {LONG:?}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// The connections that come to any of these servers from now on, with the servers' names.
pub struct IncomingConnections(Receiver<(String, TcpStream)>);

impl IncomingConnections {
    pub fn new(servers: &[&Server]) -> IncomingConnections {
        let (tell, came) = channel();
        for server in servers {
            let (tell, listener) = (tell.clone(), server.listener.try_clone().unwrap());
            let name = server.name.clone();
            std::thread::spawn(move || {
                let mut all = listener.incoming().map_while(Result::ok);
                all.all(|stream| tell.send((name.clone(), stream)).is_ok())
            });
        }
        IncomingConnections(came)
    }
    pub fn next(&self) -> (String, HttpConnection) {
        let (name, stream) = self.0.recv_timeout(LONG).unwrap();
        (name, HttpConnection::new(stream))
    }
    /// The next connection, however late it comes; none once the servers are gone.
    pub fn next_unbounded(&self) -> Option<(String, HttpConnection)> {
        let (name, stream) = self.0.recv().ok()?;
        Some((name, HttpConnection::new(stream)))
    }
}

/// The first connection that comes to any of these servers.
pub fn first_connection(servers: &[&Server]) -> HttpConnection {
    IncomingConnections::new(servers).next().1
}

/// A list in discovery's form.
pub fn list(seq: u32, whole: bool, entries: &[String]) -> String {
    format!(r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#, entries.join(","))
}

/// A response with a body.
pub fn response(status: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// A job of a class, as a client sends it.
pub fn job(class: &str, id: &str, seconds: &str) -> String {
    format!(
        "POST /{class}/7f HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: {id}\r\nX-Service-Class: {class}\r\n\
         X-Time-Left: {seconds}\r\nContent-Length: 2\r\n\r\nhi"
    )
}

/// A platform that holds the listening socket, and a folder that all processes of a scheduler share.
pub struct Platform {
    listener: TcpListener,
    pub folder: tempfile::TempDir,
}

impl Platform {
    pub fn new() -> Platform {
        Platform { listener: TcpListener::bind("127.0.0.1:0").unwrap(), folder: tempfile::tempdir().unwrap() }
    }
    /// Has a process inherit the socket, as its standard input.
    fn pass_listener(&self, command: &mut Command) {
        let socket: OwnedFd = self.listener.try_clone().unwrap().into();
        command.stdin(Stdio::from(socket)).env("LB_FD", "0").env("TMPDIR", self.folder.path());
        command.env("LB_LISTEN", "127.0.0.1:0");
    }
    /// Where a process finds the one before it.
    pub fn restart_socket(&self) -> std::path::PathBuf {
        self.folder.path().join("loomlb-127.0.0.1-0.sock")
    }
}

/// The program, running.
pub struct SchedulerProcess {
    child: Child,
    pub address: SocketAddr,
    /// The second address, where it was asked for.
    pub control: SocketAddr,
    /// The first line of its log.
    pub first_log_line: String,
    log: Receiver<String>,
    config: String,
    files: tempfile::TempDir,
}

impl SchedulerProcess {
    /// Starts it knowing these targets.
    pub fn start(known: &[&Server], discovery: &Server) -> SchedulerProcess {
        SchedulerProcess::start_with_keys(known, discovery, "")
    }
    /// The same with further keys of the configuration.
    pub fn start_with_keys(known: &[&Server], discovery: &Server, more: &str) -> SchedulerProcess {
        SchedulerProcess::spawn_with_keys(known, discovery, more, |_| {})
    }
    /// The same with words of its configuration changed, wherever they stand.
    pub fn start_with_changes(
        known: &[&Server],
        discovery: &Server,
        changes: &[(&str, &str)],
    ) -> SchedulerProcess {
        SchedulerProcess::spawn(known, discovery, "", changes, |_| {})
    }
    /// The same on a listening socket that the platform holds, beside whatever process has it already.
    pub fn start_on_platform(known: &[&Server], discovery: &Server, platform: &Platform) -> SchedulerProcess {
        SchedulerProcess::spawn_with_keys(known, discovery, r#""control":"127.0.0.1:0","#, |command| {
            platform.pass_listener(command)
        })
    }
    /// The same with a text in place of its configuration.
    pub fn start_on_platform_with_config(
        discovery: &Server,
        platform: &Platform,
        text: &str,
    ) -> SchedulerProcess {
        let text = text.to_string();
        SchedulerProcess::spawn_with_keys(&[], discovery, r#""control":"127.0.0.1:0","#, move |command| {
            platform.pass_listener(command);
            let file = command.get_args().last().unwrap().to_owned();
            std::fs::write(file, text).unwrap();
        })
    }
    /// The same with further keys of the configuration and system calls that fail as planned.
    pub fn start_with_faults(
        plan: &FaultPlan,
        known: &[&Server],
        discovery: &Server,
        more: &str,
    ) -> SchedulerProcess {
        SchedulerProcess::spawn_with_keys(known, discovery, more, |command| plan.apply(command))
    }
    /// Under a plan, with words of its configuration changed.
    pub fn start_with_changes_and_faults(
        plan: &FaultPlan,
        discovery: &Server,
        changes: &[(&str, &str)],
    ) -> SchedulerProcess {
        SchedulerProcess::spawn(&[], discovery, "", changes, |command| plan.apply(command))
    }
    /// The same beside the process that has the platform's socket already.
    pub fn start_on_platform_with_changes_and_faults(
        plan: &FaultPlan,
        discovery: &Server,
        platform: &Platform,
        changes: &[(&str, &str)],
    ) -> SchedulerProcess {
        SchedulerProcess::spawn(&[], discovery, r#""control":"127.0.0.1:0","#, changes, |command| {
            platform.pass_listener(command);
            plan.apply(command);
        })
    }
    /// Beside the process that has the platform's socket already, with system calls that fail as planned.
    pub fn start_on_platform_with_faults(
        plan: &FaultPlan,
        known: &[&Server],
        discovery: &Server,
        platform: &Platform,
    ) -> SchedulerProcess {
        SchedulerProcess::spawn_with_keys(known, discovery, r#""control":"127.0.0.1:0","#, |command| {
            platform.pass_listener(command);
            plan.apply(command);
        })
    }
    fn spawn_with_keys(
        known: &[&Server],
        discovery: &Server,
        more: &str,
        with: impl FnOnce(&mut Command),
    ) -> SchedulerProcess {
        SchedulerProcess::spawn(known, discovery, more, &[], with)
    }
    fn spawn(
        known: &[&Server],
        discovery: &Server,
        more: &str,
        changes: &[(&str, &str)],
        with: impl FnOnce(&mut Command),
    ) -> SchedulerProcess {
        let entries: Vec<String> = known.iter().map(|t| t.entry("active")).collect();
        let mut config = format!(
            r#"{{"name":"n","listen":"127.0.0.1:0","discovery":"{}","seed":"2a","limits":{{"sockets":64}},{more}"known":{},"settings":{SETTINGS}}}"#,
            discovery.address(),
            list(1, true, &entries)
        );
        for (old, new) in changes {
            assert!(config.contains(old), "{old}");
            config = config.replace(old, new);
        }
        let files = tempfile::tempdir().unwrap();
        let file = files.path().join("config.json");
        std::fs::write(&file, &config).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_loomlb"));
        command.args(["serve", "--config"]).arg(&file).env_clear();
        command.env("LB_DISCOVERY", discovery.address().to_string()).stderr(Stdio::piped());
        with(&mut command);
        let mut child = command.spawn().unwrap();
        let (tell, log) = channel();
        let lines = BufReader::new(child.stderr.take().unwrap()).lines();
        std::thread::spawn(move || lines.map_while(Result::ok).all(|line| tell.send(line).is_ok()));
        let nowhere = ([127, 0, 0, 1], 0).into();
        let first_log_line: String = log.recv_timeout(LONG).unwrap();
        let mut scheduler = SchedulerProcess {
            child,
            address: nowhere,
            control: nowhere,
            first_log_line,
            log,
            config,
            files,
        };
        assert!(
            !scheduler.first_log_line.starts_with("loomlb: "),
            "it does not start: {}",
            scheduler.first_log_line
        );
        let at = scheduler.first_log_line.split_once("serves at ").map(|(_, at)| at.to_string());
        scheduler.address = at.unwrap_or_else(|| scheduler.wait_for_log("serves at ")).parse().unwrap();
        if scheduler.config.contains("\"control\"") {
            scheduler.control = scheduler.wait_for_log("control at ").parse().unwrap();
        }
        scheduler
    }
    /// The same with a second address.
    pub fn start_with_control(known: &[&Server], discovery: &Server) -> SchedulerProcess {
        SchedulerProcess::start_with_keys(known, discovery, r#""control":"127.0.0.1:0","#)
    }
    /// Changes words of its configuration and has it read again.
    pub fn reload(&mut self, old: &str, new: &str) {
        assert!(self.config.contains(old), "{old}");
        self.config = self.config.replacen(old, new, 1);
        self.reload_with(&self.config);
    }
    /// Its configuration, as it was last written.
    pub fn config(&self) -> &str {
        &self.config
    }
    /// Has another text read in place of its configuration.
    pub fn reload_with(&self, text: &str) {
        std::fs::write(self.files.path().join("config.json"), text).unwrap();
        self.signal("HUP");
    }
    /// What follows these words in the log.
    pub fn wait_for_log(&self, words: &str) -> String {
        loop {
            let line = self.log.recv_timeout(LONG).unwrap();
            if let Some((_, rest)) = line.split_once(words) {
                return rest.to_string();
            }
        }
    }
    /// Whether these words come in the log within this time.
    pub fn logs_within(&self, words: &str, within: Duration) -> bool {
        let until = Instant::now() + within;
        let mut lines = std::iter::from_fn(|| {
            self.log.recv_timeout(until.saturating_duration_since(Instant::now())).ok()
        });
        lines.any(|line| line.contains(words))
    }
    /// The number of its process.
    pub fn process_id(&self) -> u32 {
        self.child.id()
    }
    pub fn connect(&self) -> HttpConnection {
        HttpConnection::new(TcpStream::connect(self.address).unwrap())
    }
    /// The answer to one request on a connection of its own. The end of that is said by a shutdown: a process that another
    /// story starts in this moment may hold a copy of the descriptor until it runs, and the connection would rest meanwhile.
    pub fn request(&self, text: &str) -> String {
        let mut line = self.connect();
        line.send(text);
        let answer = line.receive_response();
        let _ = line.0.get_ref().shutdown(std::net::Shutdown::Both);
        answer
    }
    /// The answer to a call at the second address.
    pub fn control_request(&self, call: &str) -> String {
        let mut line = HttpConnection::new(TcpStream::connect(self.control).unwrap());
        line.send(&format!("{call} HTTP/1.1\r\nHost: h\r\n\r\n"));
        line.receive_response()
    }
    /// Waits until it says yes to `ready`.
    pub fn wait_until_ready(&self) {
        for _ in 0..1000 {
            if self.control_request("GET /control/ready").starts_with("HTTP/1.1 200") {
                return;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        panic!("it does not become ready");
    }
    pub fn call_back(&self, body: &str) -> String {
        let length = body.len();
        self.request(&format!("POST /v1/job-events HTTP/1.1\r\nContent-Length: {length}\r\n\r\n{body}"))
    }
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args(["-s", name, &pid]).status().unwrap().success());
    }
    /// Has it stand still, and waits until it does.
    pub fn freeze(&self) {
        self.signal("STOP");
        let state = format!("/proc/{}/stat", self.child.id());
        wait_until("it stands still", || std::fs::read_to_string(&state).unwrap().contains(") T "));
    }
    /// The counters named, as of now.
    pub fn counters(&self, names: &[&str]) -> String {
        self.signal("USR1");
        let all = self.wait_for_log("counters: ");
        let words = all.split([' ', ';']).filter(|w| names.iter().any(|n| w.starts_with(&format!("{n}="))));
        words.collect::<Vec<_>>().join(" ")
    }
    /// Waits until these counters are as said, in the order of the report.
    pub fn wait_for_counters(&self, counters: &str) {
        let names: Vec<&str> = counters.split(' ').filter_map(|c| c.split('=').next()).collect();
        let mut last = String::new();
        let begun = Instant::now();
        while last != counters {
            assert!(begun.elapsed() < LONG, "{last}, not {counters}");
            last = self.counters(&names);
        }
    }
    /// Whether its process has not ended.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }
    /// Descriptors that it holds.
    pub fn descriptor_count(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }
    /// Waits for its end; whether that was orderly.
    pub fn wait_for_exit(&mut self) -> bool {
        self.child.wait().unwrap().success()
    }
}

impl Drop for SchedulerProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
