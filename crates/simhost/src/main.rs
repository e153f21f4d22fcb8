//! Hosts many dispatchers for the simulator: batches of events on standard input, replies on standard output,
//! both as JSON lines. All decisions are made by `loomlb_policy`.

mod wire;

use base64::Engine as _;
use loomlb_policy::raw_settings::{SettingNames, affinity_key};
use loomlb_policy::{
    Action, AttemptResult, ClassId, Dispatcher, Event, JobProgress, Nanos, PeerId, Request, RequestId,
    TenantId, WorkerId,
};
use rustc_hash::FxHashMap;
use std::io::{BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use wire::{Batch, NameOrZero, NamedEntry, Outbox, RawAction, RawEvent, Reply};

/// A running dispatcher with the names in its settings.
struct Instance {
    dispatcher: Dispatcher,
    names: SettingNames,
}

#[derive(Default)]
struct Host {
    instances: FxHashMap<u64, Instance>,
    /// Worker lists by their `roster_id`.
    rosters: FxHashMap<usize, Vec<NamedEntry>>,
    /// Actions of one event; kept to reuse its allocation.
    actions: Vec<Action>,
}

/// Returns the value of a field, or an error that names the field.
fn required<T>(value: Option<T>, field: &str) -> Result<T, String> {
    value.ok_or_else(|| format!("{field}: missing"))
}

impl Host {
    /// Handles a batch and returns the reply.
    fn handle_batch(&mut self, line: &[u8]) -> Result<Reply, String> {
        let batch: Batch = serde_json::from_slice(line).map_err(|e| describe_parse_error(line, &e))?;
        let mut reply = Reply { round: batch.round, dispatchers: Vec::new() };
        let mut actions = Vec::new();
        for (g, inbox) in batch.dispatchers.into_iter().enumerate() {
            for (i, event) in inbox.input.into_iter().enumerate() {
                self.handle_event(batch.t, inbox.dispatcher, event, &mut actions)
                    .map_err(|e| format!("batch {}: dispatchers[{g}].input[{i}]: {e}", batch.round))?;
            }
            if !actions.is_empty() {
                let outbox = std::mem::take(&mut actions);
                match reply.dispatchers.iter_mut().find(|o| o.dispatcher == inbox.dispatcher) {
                    Some(existing) => existing.outbox.extend(outbox),
                    None => reply.dispatchers.push(Outbox { dispatcher: inbox.dispatcher, outbox }),
                }
            }
        }
        Ok(reply)
    }

    fn handle_event(
        &mut self,
        now: Nanos,
        dispatcher_id: u64,
        e: RawEvent,
        out: &mut Vec<RawAction>,
    ) -> Result<(), String> {
        match &*e.op {
            "MANIFEST" => {
                let entries = required(e.entries, "entries")?;
                let entries: Result<_, String> = entries.iter().map(|x| x.to_named_entry()).collect();
                self.rosters.insert(required(e.roster_id, "roster_id")?, entries?);
                return Ok(());
            }
            "BOOT" => {
                let (settings, names) = required(e.boot_info, "boot_info")?.to_settings();
                let dispatcher = Dispatcher::new(settings, required(e.nonce64, "nonce64")?);
                self.instances.insert(dispatcher_id, Instance { dispatcher, names });
                return Ok(());
            }
            "SHUTDOWN" => {
                // Actions of the same batch are dropped: the process no longer runs.
                out.clear();
                self.instances.remove(&dispatcher_id);
                return Ok(());
            }
            _ => {}
        }
        let instance = self
            .instances
            .get_mut(&dispatcher_id)
            .ok_or_else(|| format!("dispatcher {dispatcher_id} is not running: no BOOT before this event"))?;
        let event = Instance::convert_event(&instance.names, e, &self.rosters)?;
        let actions = &mut self.actions;
        let handled = catch_unwind(AssertUnwindSafe(|| instance.dispatcher.handle(now, event, actions)));
        out.extend(actions.drain(..).map(RawAction::from));
        if let Err(panic) = handled {
            let text = panic.downcast_ref::<&str>().map(|s| s.to_string());
            let text = text.or_else(|| panic.downcast_ref::<String>().cloned());
            out.push(RawAction::Broken { msg: text.unwrap_or_else(|| "panic".into()) });
        }
        Ok(())
    }
}

impl Instance {
    /// Converts an event of the wire for the decision module.
    fn convert_event(
        names: &SettingNames,
        e: RawEvent,
        rosters: &FxHashMap<usize, Vec<NamedEntry>>,
    ) -> Result<Event, String> {
        let id = || required(e.req, "req").map(RequestId);
        let attempt = || required(e.hop, "hop");
        let result = || {
            let status = required(e.status.as_deref(), "status")?;
            let outcome =
                wire::parse_outcome(status).ok_or_else(|| format!("status: unknown value {status:?}"))?;
            let latency = required(e.duration, "duration")?;
            Ok::<_, String>(AttemptResult {
                outcome,
                latency,
                request_finished: e.closed,
                load_report: e.report.map(Into::into),
            })
        };
        Ok(match &*e.op {
            "ORDER" => {
                let tenant = match &e.user_group {
                    Some(NameOrZero::Name(name)) => {
                        names.tenants.iter().position(|t| t == name).map(TenantId)
                    }
                    _ => None,
                };
                Event::Request(Request {
                    id: id()?,
                    class: ClassId(names.class_index(required(e.category.as_deref(), "category")?)),
                    tenant,
                    affinity_key: e.path_key.as_deref().map(affinity_key),
                    slots: e.slots.unwrap_or(1.0),
                    memory: e.mem.unwrap_or(0.0),
                    remaining: required(e.remaining, "remaining")?,
                    answer_within: None,
                    is_retry: e.retry,
                    in_share: None,
                    expected_work: e.expected,
                })
            }
            "COMPLETED" => Event::AttemptEnded { id: id()?, attempt: attempt()?, result: result()? },
            "HEARTBEAT" => {
                let progress = match required(e.sort, "sort")? {
                    1 => JobProgress::Started,
                    _ => JobProgress::Fraction(e.x.unwrap_or(0.0)),
                };
                Event::JobProgress(id()?, attempt()?, progress)
            }
            "RING" => Event::TimerFired(required(e.ctx, "ctx")?),
            "LAPSED" => Event::RequestAbandoned(id()?),
            "OPENED" => Event::ResponseStarted(id()?, attempt()?),
            "TARGETS" => match required(e.how.as_deref(), "how")? {
                "Error" => Event::ListRequestFailed,
                how => {
                    let kind =
                        wire::parse_list_kind(how).ok_or_else(|| format!("how: unknown value {how:?}"))?;
                    let roster_id = required(e.roster_id, "roster_id")?;
                    let entries = rosters.get(&roster_id).ok_or_else(|| {
                        format!("roster_id: no MANIFEST with {roster_id} before this event")
                    })?;
                    Event::WorkerList {
                        kind,
                        entries: entries
                            .iter()
                            .map(|e| names.with_zone_and_kind(&e.zone, &e.kind, e.worker.clone()))
                            .collect(),
                    }
                }
            },
            "PING_RESULT" => {
                Event::ProbeEnded { worker: WorkerId(required(e.worker, "worker")?), result: result()? }
            }
            "DATAGRAM" => {
                let raw = required(e.raw.as_deref(), "raw")?;
                let bytes = base64::engine::general_purpose::STANDARD.decode(raw);
                Event::PeerMessage(PeerId(required(e.by, "by")?), bytes.map_err(|e| format!("raw: {e}"))?)
            }
            other => return Err(format!("op: unknown value {other:?}")),
        })
    }
}

/// Describes which field of which batch is wrong. Parses the line again with the path of each field.
fn describe_parse_error(line: &[u8], error: &serde_json::Error) -> String {
    #[derive(serde::Deserialize)]
    struct Round {
        round: u64,
    }
    let batch = match serde_json::from_slice::<Round>(line) {
        Ok(Round { round }) => format!("batch {round}"),
        Err(_) => "batch of unknown number".to_string(),
    };
    match serde_path_to_error::deserialize::<_, Batch>(&mut serde_json::Deserializer::from_slice(line)) {
        Err(e) if e.path().iter().next().is_some() => format!("{batch}: {}: {}", e.path(), e.inner()),
        _ => format!("{batch}: {error}"),
    }
}

/// Hosts the decision module on the simulator's wire: JSON lines on standard input, replies on standard
/// output.
#[derive(clap::Parser)]
#[command(name = "loomlb-simhost", version)]
struct Args {}

fn main() -> std::process::ExitCode {
    let Args {} = clap::Parser::parse();
    let stdin = std::io::stdin();
    let mut input = std::io::BufReader::with_capacity(1 << 20, stdin.lock());
    let mut output = std::io::stdout().lock();
    let (mut host, mut line, mut text) = (Host::default(), Vec::new(), Vec::new());
    loop {
        line.clear();
        match input.read_until(b'\n', &mut line) {
            Ok(0) => return std::process::ExitCode::SUCCESS,
            Ok(_) if line.trim_ascii().is_empty() => continue,
            Ok(_) => {}
            Err(e) => {
                eprintln!("loomlb-simhost: standard input: {e}");
                return std::process::ExitCode::FAILURE;
            }
        }
        text.clear();
        let written = host.handle_batch(&line).and_then(|reply| {
            serde_json::to_writer(&mut text, &reply).map_err(|e| e.to_string())?;
            text.push(b'\n');
            output.write_all(&text).and_then(|()| output.flush()).map_err(|e| format!("standard output: {e}"))
        });
        if let Err(e) = written {
            eprintln!("loomlb-simhost: {e}");
            return std::process::ExitCode::FAILURE;
        }
    }
}
