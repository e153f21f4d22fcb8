//! Changes of the agreed document, proposed at the second addresses of real schedulers at a steady pace.

use super::host::machine;
use super::http::Wire;
use super::list::name;
use loomlb_consensus::Nanos;
use serde_json::{Value, json};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::task::spawn_local;

/// What a call at the second address may take, body and all: longer settings are turned down, and the changes go on as
/// orders that take a worker out and put it back, which change the same document.
const BODY: usize = 64 * 1024;
/// Workers that such orders concern.
const ORDERED: usize = 64;
/// A proposal that nobody answers is given up.
const WAIT: Duration = Duration::from_secs(5);

/// A proposal, as it went.
#[derive(Clone, Copy, Debug)]
pub struct Change {
    /// When it was made, by the machine's monotonic clock.
    pub at: Nanos,
    /// The answer's status; none without one.
    pub status: Option<u16>,
    /// The version that it is.
    pub version: Option<u64>,
    /// It was an order for a worker.
    pub order: bool,
}

/// All proposals.
#[derive(Debug, Default)]
pub struct Changes {
    all: Mutex<Vec<Change>>,
    /// Proposals are to be made.
    pub on: AtomicBool,
}

impl Changes {
    /// The proposals so far that have an answer, or were given up.
    pub fn all(&self) -> Vec<Change> {
        self.all.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// The settings of the fleet, made as long as the document is to be by tenants.
pub fn settings(zones: usize, document: usize) -> Value {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "aim": 60_000_000_000u64,
        "give_up": 600_000_000_000u64, "worth": 1.0, "effect": effect})
    };
    let zones: Vec<String> = (0..zones).map(|z| format!("z{z}")).collect();
    let mut settings = json!({"balancers": 1, "rank": 0, "zones": zones, "my_zone": "z0", "kinds": ["k"],
        "tick": 2_000_000, "registry_mode": "automatic", "load_report": {"how": "inline", "fields": ["rif", "x0"]},
        "classes": [class("view", "idempotent"), class("lodge", "at_most_once")],
        "ceilings": {"cancel": true, "may_tell": false, "max_attempts": 2, "retry_after": true,
            "max_retry_after": 2_000_000_000u64, "dial_timeout": 1_000_000_000u64, "keepalive": 10_000_000_000u64,
            "second_copies": false, "max_open": 20_000},
        "obligations": {"drain_grace": 1_000_000_000u64}, "tenants": []});
    let bare = settings.to_string().len();
    let tenant = |number: usize| json!({"name": format!("t-{number:06}"), "quota_rps": 50.0, "share": 0.001});
    let each = tenant(0).to_string().len() + 1;
    let count = document.saturating_sub(bare).div_ceil(each).max(1);
    settings["tenants"] = (0..count).map(tenant).collect();
    settings
}

/// Proposes so many changes a second for as long as the host lives.
pub async fn run(
    gateways: Vec<SocketAddr>,
    settings: Value,
    workers: usize,
    rate: f64,
    changes: Arc<Changes>,
) {
    if rate <= 0.0 {
        return;
    }
    let latest = Rc::new(RefCell::new(settings));
    let mut next = tokio::time::Instant::now();
    for number in 0u64.. {
        while !changes.on.load(Ordering::Relaxed) {
            tokio::time::sleep(Duration::from_millis(20)).await;
            next = tokio::time::Instant::now();
        }
        tokio::time::sleep_until(next).await;
        next += Duration::from_secs_f64(1.0 / rate);
        let at = gateways[number as usize % gateways.len()];
        let (latest, changes) = (Rc::clone(&latest), Arc::clone(&changes));
        spawn_local(async move {
            let mut settings = latest.borrow().clone();
            // In turn one that harms nobody and one that contradicts what was before.
            if number % 2 == 0 {
                settings["classes"][0]["aim"] = (60_000_000_000u64 + number).into();
            } else if let Some(tenants) = settings["tenants"].as_array_mut() {
                let which = number as usize % tenants.len();
                tenants[which]["quota_rps"] = (50.0 + number as f64).into();
            }
            let text = settings.to_string();
            let order = text.len() > BODY;
            let (call, body) = if order {
                let host = name((number as usize / 2) % ORDERED.min(workers));
                let way = if number % 2 == 0 { "offline" } else { "online" };
                (format!("PUT /control/workers/{host}/{way}"), String::new())
            } else {
                ("PUT /control/tier/settings".to_string(), text)
            };
            let begun = machine();
            let asked = async {
                let mut wire = Wire::open(at).await.ok()?;
                wire.ask(&call, "", body.as_bytes()).await.ok()
            };
            let answer = tokio::time::timeout(WAIT, asked).await.ok().flatten();
            let status = answer.as_ref().and_then(|a| a.status());
            let said: Option<Value> = answer.and_then(|a| serde_json::from_slice(&a.body).ok());
            let agreed = matches!(status, Some(200 | 202));
            let version = said.and_then(|s| s["version"].as_u64()).filter(|_| agreed);
            if agreed && !order {
                *latest.borrow_mut() = settings;
            }
            let change = Change { at: begun, status, version, order };
            changes.all.lock().unwrap_or_else(PoisonError::into_inner).push(change);
        });
    }
}
