//! What staff order on the command line, carried to a scheduler's second address.

use super::Order;
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// An answer is owed in a second; one that takes longer than this is none.
const LIMIT: Duration = Duration::from_secs(4);
/// Time between two looks while waiting.
const LOOK: Duration = Duration::from_millis(100);

/// One call: its status and what it says.
fn call(at: SocketAddr, call: &str, body: &str) -> Result<(u16, Value), String> {
    let named = |e: std::io::Error| format!("{at}: {e}");
    let mut stream = TcpStream::connect_timeout(&at, LIMIT).map_err(named)?;
    stream.set_read_timeout(Some(LIMIT)).map_err(named)?;
    let text = format!(
        "{call} HTTP/1.1\r\nHost: {at}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).map_err(named)?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).map_err(named)?;
    let cut = || format!("{at}: its answer is cut short");
    let (head, body) = answer.split_once("\r\n\r\n").ok_or_else(cut)?;
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).ok_or_else(cut)?;
    Ok((status, serde_json::from_str(body).unwrap_or(Value::Null)))
}

/// Carries an order out and says what came of it: status 0 for a yes, 1 for a no, 2 for a file that is none.
pub(crate) fn tier(at: SocketAddr, order: &Order) -> ExitCode {
    match carried_out(at, order) {
        Ok((yes, said)) => {
            println!("{said:#}");
            if yes { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
        Err(e) => {
            eprintln!("loomlb: tier: {e}");
            ExitCode::from(2)
        }
    }
}

fn carried_out(at: SocketAddr, order: &Order) -> Result<(bool, Value), String> {
    let status = || call(at, "GET /control/tier", "");
    let (code, said) = match order {
        Order::Status => {
            let (code, mut said) = status()?;
            if let Some(keys) = said.as_object_mut() {
                // Long, and asked for by their own order or in the file.
                ["history", "settings"].iter().for_each(|long| _ = keys.remove(*long));
            }
            (code, said)
        }
        Order::History => {
            let (code, said) = status()?;
            (code, said.get("history").cloned().unwrap_or(said))
        }
        Order::Propose { file, after } => {
            let named = |e: &dyn std::fmt::Display| format!("{}: {e}", file.display());
            let text = std::fs::read(file).map_err(|e| named(&e))?;
            let config: Value = serde_json::from_slice(&text).map_err(|e| named(&e))?;
            let settings = config.get("settings").ok_or_else(|| named(&"settings: missing"))?;
            let after = after.map_or(String::new(), |version| format!("/{version}"));
            call(at, &format!("PUT /control/tier/settings{after}"), &settings.to_string())?
        }
        Order::Wait { version, seconds } => {
            let end = Instant::now() + Duration::from_secs_f64(seconds.clamp(0.0, 86_400.0));
            loop {
                let (code, said) = status()?;
                if code != 200 || said["version"].as_u64() >= Some(*version) {
                    break (code, said["version"].clone());
                }
                if Instant::now() >= end {
                    return Ok((false, said["version"].clone()));
                }
                std::thread::sleep(LOOK);
            }
        }
    };
    Ok(((200..300).contains(&code), said))
}
