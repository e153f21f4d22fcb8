//! A stage for stories: the built program between scripted clients, targets and discovery on loopback.
#![allow(dead_code, reason = "each file of stories uses a part of it")]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

/// Longer than anything here takes; only a failure waits for it.
const LONG: Duration = Duration::from_secs(20);

const SETTINGS: &str = r#"{"balancers":1,"zones":["z"],"my_zone":"z","kinds":["k"],"tick":2000000,
"registry_mode":"automatic","load_report":{"how":"inline","fields":["rif","x0"]},
"classes":[{"name":"view","aim":900000000,"give_up":5000000000,"worth":1.0,"effect":"idempotent"},
{"name":"lodge","aim":900000000,"give_up":5000000000,"worth":1.0,"effect":"at_most_once"}],
"ceilings":{"cancel":true,"may_tell":true,"max_attempts":2,"retry_after":true,"max_retry_after":2000000000,
"dial_timeout":1000000000,"keepalive":60000000000},"obligations":{"drain_grace":1000000000}}"#;

/// One side of a connection that speaks HTTP by hand.
pub struct Line(BufReader<TcpStream>);

impl Line {
    pub fn new(stream: TcpStream) -> Line {
        stream.set_read_timeout(Some(LONG)).unwrap();
        Line(BufReader::new(stream))
    }
    pub fn say(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).unwrap();
    }
    /// The next message, or what came of it before the other side closed.
    pub fn hear(&mut self) -> String {
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
    pub fn answer(&mut self) -> String {
        let text = self.hear();
        let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
        format!("{} | {}", head.lines().next().unwrap_or("closed"), body.trim())
    }
    /// Waits until the other side closes.
    pub fn closed(&mut self) -> bool {
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
    pub fn at(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }
    pub fn accept(&self) -> Line {
        Line::new(self.listener.accept().unwrap().0)
    }
    /// Its entry in discovery's list.
    pub fn entry(&self, health: &str) -> String {
        let (host, dial) = (&self.name, self.at());
        format!(
            r#"{{"host":"{host}","dial":"{dial}","site":"z","class":"k","block":0,"health":"{health}","share":1.0,"born_ms":0}}"#
        )
    }
}

/// The connections that come to any of these servers from now on, with the servers' names.
pub struct Comers(Receiver<(String, TcpStream)>);

impl Comers {
    pub fn new(servers: &[&Server]) -> Comers {
        let (tell, came) = channel();
        for server in servers {
            let (tell, listener) = (tell.clone(), server.listener.try_clone().unwrap());
            let name = server.name.clone();
            std::thread::spawn(move || {
                let mut all = listener.incoming().map_while(Result::ok);
                all.all(|stream| tell.send((name.clone(), stream)).is_ok())
            });
        }
        Comers(came)
    }
    pub fn next(&self) -> (String, Line) {
        let (name, stream) = self.0.recv_timeout(LONG).unwrap();
        (name, Line::new(stream))
    }
}

/// The first connection that comes to any of these servers.
pub fn first(servers: &[&Server]) -> Line {
    Comers::new(servers).next().1
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
    fn lend(&self, command: &mut Command) {
        let socket: OwnedFd = self.listener.try_clone().unwrap().into();
        command.stdin(Stdio::from(socket)).env("LB_FD", "0").env("TMPDIR", self.folder.path());
        command.env("LB_LISTEN", "127.0.0.1:0");
    }
    /// Where a process finds the one before it.
    pub fn link(&self) -> std::path::PathBuf {
        self.folder.path().join("loomlb-127.0.0.1-0.sock")
    }
}

/// The program, running.
pub struct Stage {
    child: Child,
    pub at: SocketAddr,
    /// The second address, where it was asked for.
    pub control: SocketAddr,
    /// The first line of its log.
    pub first_line: String,
    log: Receiver<String>,
    config: String,
    files: tempfile::TempDir,
}

impl Stage {
    /// Starts it knowing these targets.
    pub fn new(known: &[&Server], discovery: &Server) -> Stage {
        Stage::with(known, discovery, "")
    }
    /// The same with further keys of the configuration.
    pub fn with(known: &[&Server], discovery: &Server, more: &str) -> Stage {
        Stage::launch(known, discovery, more, |_| {})
    }
    /// The same on a listening socket that the platform holds, beside whatever process has it already.
    pub fn beside(known: &[&Server], discovery: &Server, platform: &Platform) -> Stage {
        Stage::launch(known, discovery, r#""control":"127.0.0.1:0","#, |command| platform.lend(command))
    }
    /// The same with a text in place of its configuration.
    pub fn beside_as(discovery: &Server, platform: &Platform, text: &str) -> Stage {
        let text = text.to_string();
        Stage::launch(&[], discovery, r#""control":"127.0.0.1:0","#, move |command| {
            platform.lend(command);
            let file = command.get_args().last().unwrap().to_owned();
            std::fs::write(file, text).unwrap();
        })
    }
    fn launch(known: &[&Server], discovery: &Server, more: &str, with: impl FnOnce(&mut Command)) -> Stage {
        let entries: Vec<String> = known.iter().map(|t| t.entry("active")).collect();
        let config = format!(
            r#"{{"name":"n","listen":"127.0.0.1:0","discovery":"{}","seed":"2a","limits":{{"sockets":64}},{more}"known":{},"settings":{SETTINGS}}}"#,
            discovery.at(),
            list(1, true, &entries)
        );
        let files = tempfile::tempdir().unwrap();
        let file = files.path().join("config.json");
        std::fs::write(&file, &config).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_loomlb"));
        command.args(["serve", "--config"]).arg(&file).env_clear();
        command.env("LB_DISCOVERY", discovery.at().to_string()).stderr(Stdio::piped());
        with(&mut command);
        let mut child = command.spawn().unwrap();
        let (tell, log) = channel();
        let lines = BufReader::new(child.stderr.take().unwrap()).lines();
        std::thread::spawn(move || lines.map_while(Result::ok).all(|line| tell.send(line).is_ok()));
        let nowhere = ([127, 0, 0, 1], 0).into();
        let first_line: String = log.recv_timeout(LONG).unwrap();
        let mut stage = Stage { child, at: nowhere, control: nowhere, first_line, log, config, files };
        let at = stage.first_line.split_once("serves at ").map(|(_, at)| at.to_string());
        stage.at = at.unwrap_or_else(|| stage.logged("serves at ")).parse().unwrap();
        if stage.config.contains("\"control\"") {
            stage.control = stage.logged("control at ").parse().unwrap();
        }
        stage
    }
    /// The same with a second address.
    pub fn operated(known: &[&Server], discovery: &Server) -> Stage {
        Stage::with(known, discovery, r#""control":"127.0.0.1:0","#)
    }
    /// Changes words of its configuration and has it read again.
    pub fn reload(&mut self, old: &str, new: &str) {
        assert!(self.config.contains(old), "{old}");
        self.config = self.config.replacen(old, new, 1);
        self.reload_as(&self.config);
    }
    /// Its configuration, as it was last written.
    pub fn config(&self) -> &str {
        &self.config
    }
    /// Has another text read in place of its configuration.
    pub fn reload_as(&self, text: &str) {
        std::fs::write(self.files.path().join("config.json"), text).unwrap();
        self.signal("HUP");
    }
    /// What follows these words in the log.
    pub fn logged(&self, words: &str) -> String {
        loop {
            let line = self.log.recv_timeout(LONG).unwrap();
            if let Some((_, rest)) = line.split_once(words) {
                return rest.to_string();
            }
        }
    }
    pub fn connect(&self) -> Line {
        Line::new(TcpStream::connect(self.at).unwrap())
    }
    /// The answer to one request on a connection of its own.
    pub fn ask(&self, text: &str) -> String {
        let mut line = self.connect();
        line.say(text);
        line.answer()
    }
    /// The answer to a call at the second address.
    pub fn order(&self, call: &str) -> String {
        let mut line = Line::new(TcpStream::connect(self.control).unwrap());
        line.say(&format!("{call} HTTP/1.1\r\nHost: h\r\n\r\n"));
        line.answer()
    }
    /// Waits until it says yes to `ready`.
    pub fn ready(&self) {
        for _ in 0..1000 {
            if self.order("GET /control/ready").starts_with("HTTP/1.1 200") {
                return;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        panic!("it does not become ready");
    }
    pub fn call_back(&self, body: &str) -> String {
        let length = body.len();
        self.ask(&format!("POST /v1/job-events HTTP/1.1\r\nContent-Length: {length}\r\n\r\n{body}"))
    }
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args(["-s", name, &pid]).status().unwrap().success());
    }
    /// The counters named, as of now.
    pub fn counters(&self, names: &[&str]) -> String {
        self.signal("USR1");
        let all = self.logged("counters: ");
        let words = all.split([' ', ';']).filter(|w| names.iter().any(|n| w.starts_with(&format!("{n}="))));
        words.collect::<Vec<_>>().join(" ")
    }
    /// Descriptors that it holds.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }
    /// Waits for its end; whether that was orderly.
    pub fn ended(&mut self) -> bool {
        self.child.wait().unwrap().success()
    }
}

impl Drop for Stage {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
