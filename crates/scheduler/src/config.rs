//! The configuration: the one place where it is read, checked and given defaults.

use super::config_validation;
use super::runtime_settings::RuntimeSettings;
use loomlb_consensus::storage::write_atomically;
use loomlb_policy::PeerId;
use loomlb_policy::raw_settings::RawSettings;
use serde::Deserialize;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::net::SocketAddr;
use std::os::fd::RawFd;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// Descriptors kept aside for the runtime, the log, discovery, peers and the listener itself.
const RESERVED: usize = 32;
/// Descriptors kept aside for the callers of the second address, its listener included.
const CALLERS: usize = 20;
/// Fewer descriptors than this serve nobody.
const FEWEST: usize = 64;

/// All that the program was told, checked.
#[derive(Debug)]
pub struct Config {
    /// This scheduler's name.
    pub name: String,
    /// Where clients and workers connect.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// The number of the listening socket that the platform holds for us, if it does.
    pub inherited_fd: Option<RawFd>,
    /// Where staff call, if anywhere.
    pub control: Option<SocketAddr>,
    /// Seed of the module's random numbers.
    pub seed: u64,
    /// Connections that may be open to the listener.
    pub max_inbound: usize,
    /// Beyond so many connections at the listener, idle ones are closed.
    pub idle_close_threshold: usize,
    /// Connections that may be open to targets.
    pub max_outbound: usize,
    /// Bytes that the bodies of open flows may take together.
    pub max_body_bytes: usize,
    /// Bytes of one list of discovery's; a longer one is turned down, and counts as a fault of the list.
    pub max_list_bytes: usize,
    /// Where peers' datagrams arrive, if there are peers.
    pub peer_listen: Option<SocketAddr>,
    /// The schedulers of the tier by number, this one included.
    pub peers: Vec<SocketAddr>,
    /// The address of all of them.
    pub peers_all: Option<SocketAddr>,
    /// The target group as it was last known, in discovery's form.
    pub initial_list: serde_json::Value,
    /// The settings of the start.
    pub settings: Rc<RuntimeSettings>,
    /// What was wrong with the file, where an earlier process's configuration stands in for it.
    pub rejected_file_error: Option<String>,
    /// The file it was read from, and what stood there when it was last found good.
    file: PathBuf,
    keys: RefCell<ConfigJson>,
    /// What is in force is not in the file for the next process yet.
    save_pending: Cell<bool>,
}

/// A configuration as its file has it.
pub type ConfigJson = serde_json::Map<String, serde_json::Value>;

/// What a reload changes.
#[derive(Debug)]
pub struct ReloadedConfig {
    /// Where discovery answers now.
    pub discovery: SocketAddr,
    /// The file's settings.
    pub settings: Rc<RuntimeSettings>,
    /// What stands in the file.
    keys: ConfigJson,
    /// Keys that have changed as well, and are read at a start only.
    pub restart_required: Vec<String>,
}

impl ReloadedConfig {
    /// The settings as they stand in the file.
    pub fn settings_json(&self) -> serde_json::Value {
        self.keys.get("settings").cloned().unwrap_or_default()
    }
}

#[derive(Deserialize, Default)]
#[serde(default)]
#[serde(expecting = "struct Raw")]
struct Raw {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    control: Option<String>,
    seed: Option<serde_json::Value>,
    limits: Limits,
    peer_listen: Option<String>,
    peers: Vec<String>,
    peers_all: Option<String>,
    known: serde_json::Value,
    settings: Option<RawSettings>,
}

#[derive(Deserialize)]
#[serde(default)]
#[serde(expecting = "struct Limits")]
struct Limits {
    memory_mb: usize,
    sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { memory_mb: 192, sockets: 1024 }
    }
}

impl Config {
    /// Reads the named file, or the one that `LB_CONFIG` names; other `LB_` variables override its keys.
    pub fn load(file: Option<&Path>) -> Result<Config, String> {
        let env = |name: &str| std::env::var(name).ok().filter(|v| !v.is_empty());
        let path = match file {
            Some(path) => path.to_path_buf(),
            None => env("LB_CONFIG").ok_or("LB_CONFIG: not set, and no --config given")?.into(),
        };
        let listen = env("LB_LISTEN");
        let over = |mut raw: Raw| {
            raw.name = env("LB_NAME").or(raw.name);
            raw.listen = listen.clone().or(raw.listen);
            raw.discovery = env("LB_DISCOVERY").or(raw.discovery);
            raw.control = raw.control.or(env("LB_CONTROL"));
            raw
        };
        // What a process of this scheduler has found good: a file that it turned down must not end the next one.
        let kept =
            listen.as_deref().and_then(|at| shared_path(at, "json")).and_then(|file| Raw::read(&file).ok());
        let fresh = Raw::read(&path).and_then(|(raw, keys)| {
            kept.iter().try_for_each(|kept| config_validation::validate_reload(&kept.1, &keys))?;
            over(raw).check(path.clone(), keys)
        });
        let mut config = match (fresh, kept) {
            (Ok(config), _) => config,
            (Err(fault), Some((raw, keys))) => {
                Config { rejected_file_error: Some(fault), ..over(raw).check(path, keys)? }
            }
            (Err(fault), None) => return Err(fault),
        };
        config.inherited_fd = match env("LB_FD") {
            Some(text) => {
                Some(text.parse().map_err(|_| format!("LB_FD: {text:?} is no number of a descriptor"))?)
            }
            None => None,
        };
        Ok(config)
    }

    /// Reads the same file again. `LB_DISCOVERY` was set at the start and cannot have changed since, so here
    /// the file's own word on discovery counts.
    pub fn reload(&self) -> Result<ReloadedConfig, String> {
        let (raw, keys) = Raw::read(&self.file)?;
        self.fresh(raw, keys)
    }

    /// The same file with other settings, as the tier has agreed on them.
    pub fn with_settings(&self, settings: serde_json::Value) -> Result<ReloadedConfig, String> {
        let mut keys = self.keys.borrow().clone();
        keys.insert("settings".into(), settings);
        // The file itself may have a known list and addresses that the environment overrides: those stay as they are.
        let raw = Raw::deserialize(&serde_json::Value::Object(keys.clone())).map_err(|e| e.to_string())?;
        self.fresh(raw, keys)
    }

    /// The settings as they stand in the file that was read last.
    pub fn settings_json(&self) -> serde_json::Value {
        self.keys.borrow().get("settings").cloned().unwrap_or_default()
    }

    fn fresh(&self, mut raw: Raw, keys: ConfigJson) -> Result<ReloadedConfig, String> {
        raw.listen = raw.listen.or_else(|| Some(self.listen.to_string()));
        raw.discovery = raw.discovery.or_else(|| Some(self.discovery.to_string()));
        let before = self.keys.borrow();
        config_validation::validate_reload(&before, &keys)?;
        let fresh = raw.check(self.file.clone(), keys)?;
        let keys = fresh.keys.into_inner();
        // A seed and a known list are for a start, and another one each time.
        let read = |key: &str| !["discovery", "settings", "seed", "known"].contains(&key);
        let all = before.keys().chain(keys.keys().filter(|k| !before.contains_key(*k)));
        let changed = all.filter(|k| read(k) && before.get(*k) != keys.get(*k));
        let restart_required = changed.cloned().collect();
        Ok(ReloadedConfig { discovery: fresh.discovery, settings: fresh.settings, keys, restart_required })
    }

    /// What a reload brought is in force: the next one is compared with it.
    pub fn record_active(&self, fresh: ReloadedConfig) {
        *self.keys.borrow_mut() = fresh.keys;
        self.save();
    }

    /// Keeps what is in force for the process that takes this one's place, where there may be one. After a failure the
    /// file of an earlier process or reload is still there, complete, and [`Config::is_unkept`] until a later call
    /// succeeds. Only the first failure of a run is logged.
    pub fn save(&self) {
        let Some(file) = shared_path(&self.listen.to_string(), "json") else { return };
        let fresh = file.with_extension(std::process::id().to_string());
        let text = serde_json::Value::Object(self.keys.borrow().clone()).to_string();
        match write_atomically(&file, &fresh, text.as_bytes()) {
            Ok(()) => {
                if self.save_pending.replace(false) {
                    tracing::info!("{}: written again", file.display());
                }
            }
            Err(e) => {
                if !self.save_pending.replace(true) {
                    tracing::warn!(
                        "{}: {e}; a next process has its own file alone until this one is written",
                        file.display()
                    );
                }
            }
        }
    }

    /// Whether the last attempt to keep what is in force has failed.
    pub fn is_save_pending(&self) -> bool {
        self.save_pending.get()
    }
}

/// A file that the processes of a scheduler share, where one may take another's place (`LB_FD`): in `$TMPDIR`, named by
/// the address that they share, as a directory may be shared by schedulers.
pub fn shared_path(listen: &str, ending: &str) -> Option<PathBuf> {
    let set = |name: &str| std::env::var_os(name).filter(|v| !v.is_empty());
    set("LB_FD")?;
    let name = format!("loomlb-{}.{ending}", listen.replace([':', '[', ']'], "-"));
    Some(PathBuf::from(set("TMPDIR")?).join(name))
}

fn address(key: &str, text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("{key}: {text:?} is no address of the form IP:PORT"))
}

fn needed<T>(key: &str, value: Option<T>) -> Result<T, String> {
    value.ok_or_else(|| format!("{key}: missing"))
}

impl Raw {
    fn read(file: &Path) -> Result<(Raw, ConfigJson), String> {
        let text = std::fs::read(file).map_err(|e| format!("{}: {e}", file.display()))?;
        let raw = serde_path_to_error::deserialize(&mut serde_json::Deserializer::from_slice(&text));
        let raw = raw.map_err(|e| match e.path().to_string().as_str() {
            "." | "?" => format!("the file: {}", e.inner()),
            path => format!("{path}: {}", e.inner()),
        })?;
        let keys = serde_json::from_slice(&text).map_err(|e| format!("{}: {e}", file.display()))?;
        Ok((raw, keys))
    }

    fn check(self, file: PathBuf, keys: ConfigJson) -> Result<Config, String> {
        let boot = needed("settings", self.settings)?;
        let (settings, names) = boot.to_settings();
        if settings.classes.is_empty() {
            return Err("settings.classes: names no class".into());
        }
        config_validation::validate_start(&keys)?;
        if self.limits.sockets < FEWEST {
            return Err(format!("limits.sockets: {} is too few ({FEWEST} at least)", self.limits.sockets));
        }
        if self.limits.memory_mb < 16 {
            return Err(format!("limits.memory_mb: {} is too little (16 at least)", self.limits.memory_mb));
        }
        let peers: Result<Vec<_>, _> =
            self.peers.iter().enumerate().map(|(i, p)| address(&format!("peers[{i}]"), p)).collect();
        let optional = |key: &str, text: Option<String>| text.map(|t| address(key, &t)).transpose();
        let seed = match self.seed {
            None | Some(serde_json::Value::Null) => 0,
            Some(serde_json::Value::Number(n)) => needed("seed", n.as_u64())?,
            Some(serde_json::Value::String(hex)) => u64::from_str_radix(&hex, 16)
                .map_err(|_| format!("seed: {hex:?} is not a hexadecimal number of 64 bits"))?,
            Some(other) => return Err(format!("seed: {other} is no number")),
        };
        // Clients are the many; a target's connections are reused, so a third is ample for them.
        let control = optional("control", self.control)?;
        let usable = self.limits.sockets - RESERVED - if control.is_some() { CALLERS } else { 0 };
        let outbound = usable / 3;
        Ok(Config {
            name: self.name.unwrap_or_else(|| "loomlb".into()),
            listen: address("listen", &needed("listen", self.listen)?)?,
            discovery: address("discovery", &needed("discovery", self.discovery)?)?,
            inherited_fd: None,
            control,
            seed,
            max_inbound: usable - outbound,
            idle_close_threshold: (usable - outbound).min(self.limits.sockets / 4),
            max_outbound: outbound,
            max_body_bytes: (self.limits.memory_mb << 20) / 4,
            max_list_bytes: (self.limits.memory_mb << 20) / 16,
            peer_listen: optional("peer_listen", self.peer_listen)?,
            peers: peers?,
            peers_all: optional("peers_all", self.peers_all)?,
            initial_list: self.known,
            settings: Rc::new(RuntimeSettings { network: boot.network_settings(), policy: settings, names }),
            rejected_file_error: None,
            file,
            keys: RefCell::new(keys),
            save_pending: Cell::new(false),
        })
    }
}

impl fmt::Display for Config {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "name: {}", self.name)?;
        writeln!(f, "listen: {}", self.listen)?;
        writeln!(f, "discovery: {}", self.discovery)?;
        let RuntimeSettings { policy, names, .. } = &*self.settings;
        let PeerId(me) = policy.own_id;
        writeln!(f, "scheduler {me} of {}, {} peers", policy.dispatcher_count, self.peers.len())?;
        writeln!(f, "classes: {}", names.classes.join(", "))?;
        writeln!(f, "tenants: {}", names.tenants.join(", "))?;
        if let Some(control) = self.control {
            writeln!(f, "control: {control}")?;
        }
        write!(f, "connections: {} in, {} out", self.max_inbound, self.max_outbound)
    }
}
