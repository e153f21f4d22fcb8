//! The `tier` commands, which call the control address of a scheduler.

use super::TierCommand;
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Time limit for a connection, and for each read of a response.
const REPLY_TIMEOUT: Duration = Duration::from_secs(4);
/// Interval between the status requests of `wait`.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Sends a request and returns the status and the body of the response.
fn request(address: SocketAddr, request_line: &str, body: &str) -> Result<(u16, Value), String> {
    let with_context = |e: std::io::Error| format!("{address}: {e}");
    let mut stream = TcpStream::connect_timeout(&address, REPLY_TIMEOUT).map_err(with_context)?;
    stream.set_read_timeout(Some(REPLY_TIMEOUT)).map_err(with_context)?;
    let text = format!(
        "{request_line} HTTP/1.1\r\nHost: {address}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).map_err(with_context)?;
    let mut response = String::new();
    stream.read_to_string(&mut response).map_err(with_context)?;
    let incomplete = || format!("{address}: the response is incomplete");
    let (head, body) = response.split_once("\r\n\r\n").ok_or_else(incomplete)?;
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).ok_or_else(incomplete)?;
    Ok((status, serde_json::from_str(body).unwrap_or(Value::Null)))
}

/// Executes a command and prints the result. The exit code is 0 on success, 1 if the command was refused or a
/// wait timed out, 2 after another error.
pub(crate) fn run(address: SocketAddr, command: &TierCommand) -> ExitCode {
    match execute(address, command) {
        Ok((accepted, reply)) => {
            println!("{reply:#}");
            if accepted { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
        Err(e) => {
            eprintln!("loomlb: tier: {e}");
            ExitCode::from(2)
        }
    }
}

fn execute(address: SocketAddr, command: &TierCommand) -> Result<(bool, Value), String> {
    let status = || request(address, "GET /control/tier", "");
    let (code, reply) = match command {
        TierCommand::Status => {
            let (code, mut reply) = status()?;
            if let Some(fields) = reply.as_object_mut() {
                // These are long; `history` prints the history, and the configuration file has the settings.
                ["history", "settings"].iter().for_each(|key| _ = fields.remove(*key));
            }
            (code, reply)
        }
        TierCommand::History => {
            let (code, reply) = status()?;
            (code, reply.get("history").cloned().unwrap_or(reply))
        }
        TierCommand::Propose { file, after } => {
            let with_context = |e: &dyn std::fmt::Display| format!("{}: {e}", file.display());
            let text = std::fs::read(file).map_err(|e| with_context(&e))?;
            let config: Value = serde_json::from_slice(&text).map_err(|e| with_context(&e))?;
            let settings = config.get("settings").ok_or_else(|| with_context(&"settings: missing"))?;
            let after = after.map_or(String::new(), |version| format!("/{version}"));
            request(address, &format!("PUT /control/tier/settings{after}"), &settings.to_string())?
        }
        TierCommand::Wait { version, seconds } => {
            let deadline = Instant::now() + Duration::from_secs_f64(seconds.clamp(0.0, 86_400.0));
            loop {
                let (code, reply) = status()?;
                if code != 200 || reply["version"].as_u64() >= Some(*version) {
                    break (code, reply["version"].clone());
                }
                if Instant::now() >= deadline {
                    return Ok((false, reply["version"].clone()));
                }
                std::thread::sleep(POLL_INTERVAL);
            }
        }
    };
    Ok(((200..300).contains(&code), reply))
}
