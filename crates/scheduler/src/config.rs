//! The configuration: reads and validates the file, applies defaults, and saves the active configuration for
//! a successor.

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

/// File descriptors reserved for the runtime, the log, discovery, peers and the listener itself.
const RESERVED_DESCRIPTORS: usize = 32;
/// File descriptors reserved for the control listener and its connections.
const CONTROL_DESCRIPTORS: usize = 20;
/// The smallest valid `limits.sockets`; fewer descriptors would serve nobody.
const MIN_SOCKETS: usize = 64;
/// Memory of an id that stays in use after its request has ended.
const ENDED_ID_BYTES: usize = 200;

/// A validated configuration.
#[derive(Debug)]
pub struct Config {
    /// This scheduler's name.
    pub name: String,
    /// The address at which clients and workers connect.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The descriptor of the listening socket, if the platform passes one (`LB_FD`).
    pub inherited_fd: Option<RawFd>,
    /// The address of the control listener, if there is one.
    pub control: Option<SocketAddr>,
    /// Seed of the decision module's random numbers.
    pub seed: u64,
    /// Maximum number of connections to the listener.
    pub max_inbound: usize,
    /// Number of connections to the listener above which idle ones are closed.
    pub idle_close_threshold: usize,
    /// Maximum number of connections to targets.
    pub max_outbound: usize,
    /// Maximum total size of the requests of open flows, in bytes.
    pub max_request_bytes: usize,
    /// Maximum total size of requests that clients are still sending, in bytes, without the first
    /// [`UNCOUNTED_BYTES`](super::receive_memory::UNCOUNTED_BYTES) of each connection.
    pub max_receive_bytes: usize,
    /// Maximum number of ids that stay in use after their requests have ended.
    pub max_ended_ids: usize,
    /// Maximum size of a response of discovery, in bytes. A longer one is rejected as malformed.
    pub max_list_bytes: usize,
    /// The address at which datagrams of peers arrive, if there are peers.
    pub peer_listen: Option<SocketAddr>,
    /// The addresses of all schedulers by number, this one included.
    pub peers: Vec<SocketAddr>,
    /// The address that reaches all schedulers at once, if there is one.
    pub peers_all: Option<SocketAddr>,
    /// The endpoint list to start from, in discovery's format.
    pub initial_list: serde_json::Value,
    /// The settings at the start.
    pub settings: Rc<RuntimeSettings>,
    /// The error in the configuration file, if the saved configuration of an earlier process is used in its
    /// place.
    pub rejected_file_error: Option<String>,
    /// The path of the configuration file.
    path: PathBuf,
    /// The active configuration.
    json: RefCell<ConfigJson>,
    /// Whether the active configuration has yet to be saved for a successor.
    save_pending: Cell<bool>,
}

/// The JSON object of a configuration file.
pub type ConfigJson = serde_json::Map<String, serde_json::Value>;

/// A configuration that was read and validated by a reload.
#[derive(Debug)]
pub struct ReloadedConfig {
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The settings.
    pub settings: Rc<RuntimeSettings>,
    /// The file's content.
    json: ConfigJson,
    /// Changed keys that take effect only at the next start.
    pub restart_required: Vec<String>,
}

impl ReloadedConfig {
    /// Returns the `settings` section of the file.
    pub fn settings_json(&self) -> serde_json::Value {
        self.json.get("settings").cloned().unwrap_or_default()
    }
}

/// The keys of a configuration file.
#[derive(Deserialize, Default)]
#[serde(default)]
#[serde(expecting = "struct Raw")]
struct ConfigFile {
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

/// The `limits` section of a configuration file.
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
    /// Reads `file`, or the file that `LB_CONFIG` names. Other `LB_` variables override its keys. If the file
    /// is invalid, the configuration that an earlier process saved is used in its place.
    pub fn load(file: Option<&Path>) -> Result<Config, String> {
        let env = |name: &str| std::env::var(name).ok().filter(|v| !v.is_empty());
        let path = match file {
            Some(path) => path.to_path_buf(),
            None => env("LB_CONFIG").ok_or("LB_CONFIG: not set, and no --config given")?.into(),
        };
        let listen = env("LB_LISTEN");
        let with_environment = |mut file: ConfigFile| {
            file.name = env("LB_NAME").or(file.name);
            file.listen = listen.clone().or(file.listen);
            file.discovery = env("LB_DISCOVERY").or(file.discovery);
            file.control = file.control.or(env("LB_CONTROL"));
            file
        };
        // The last configuration that a process of this scheduler accepted. With it a start succeeds even if
        // the file is invalid.
        let saved = listen
            .as_deref()
            .and_then(|at| shared_path(at, "json"))
            .and_then(|path| ConfigFile::read(&path).ok());
        let loaded = ConfigFile::read(&path).and_then(|(file, json)| {
            saved.iter().try_for_each(|saved| config_validation::validate_reload(&saved.1, &json))?;
            with_environment(file).into_config(path.clone(), json)
        });
        let mut config = match (loaded, saved) {
            (Ok(config), _) => config,
            (Err(error), Some((file, json))) => {
                Config { rejected_file_error: Some(error), ..with_environment(file).into_config(path, json)? }
            }
            (Err(error), None) => return Err(error),
        };
        config.inherited_fd = match env("LB_FD") {
            Some(text) => Some(
                text.parse()
                    .map_err(|_| format!("LB_FD: {text:?} is not the number of a file descriptor"))?,
            ),
            None => None,
        };
        Ok(config)
    }

    /// Reads the configuration file again. The file's `discovery` applies, not `LB_DISCOVERY`, which cannot
    /// have changed since the start.
    pub fn reload(&self) -> Result<ReloadedConfig, String> {
        let (file, json) = ConfigFile::read(&self.path)?;
        self.validate_reloaded(file, json)
    }

    /// Returns the active configuration with other settings, such as those that the tier has agreed on.
    pub fn with_settings(&self, settings: serde_json::Value) -> Result<ReloadedConfig, String> {
        let mut json = self.json.borrow().clone();
        json.insert("settings".into(), settings);
        // Other keys, such as those that the environment overrides, stay as they are in the file.
        let file =
            ConfigFile::deserialize(&serde_json::Value::Object(json.clone())).map_err(|e| e.to_string())?;
        self.validate_reloaded(file, json)
    }

    /// Returns the `settings` section of the active configuration.
    pub fn settings_json(&self) -> serde_json::Value {
        self.json.borrow().get("settings").cloned().unwrap_or_default()
    }

    fn validate_reloaded(&self, mut file: ConfigFile, json: ConfigJson) -> Result<ReloadedConfig, String> {
        file.listen = file.listen.or_else(|| Some(self.listen.to_string()));
        file.discovery = file.discovery.or_else(|| Some(self.discovery.to_string()));
        let active = self.json.borrow();
        config_validation::validate_reload(&active, &json)?;
        let reloaded = file.into_config(self.path.clone(), json)?;
        let json = reloaded.json.into_inner();
        // `seed` and `known` are used at the start only and differ every time.
        let read_at_start = |key: &str| !["discovery", "settings", "seed", "known"].contains(&key);
        let all_keys = active.keys().chain(json.keys().filter(|k| !active.contains_key(*k)));
        let changed = all_keys.filter(|k| read_at_start(k) && active.get(*k) != json.get(*k));
        let restart_required = changed.cloned().collect();
        Ok(ReloadedConfig {
            discovery: reloaded.discovery,
            settings: reloaded.settings,
            json,
            restart_required,
        })
    }

    /// Records a reloaded configuration as the active one, with which the next reload is compared, and saves
    /// it.
    pub fn record_active(&self, reloaded: ReloadedConfig) {
        *self.json.borrow_mut() = reloaded.json;
        self.save();
    }

    /// Saves the active configuration for a successor, if there can be one. After a failure the file of an
    /// earlier process or reload remains intact, and [`Config::is_save_pending`] returns true until a later
    /// call succeeds. Only the first of consecutive failures is logged.
    pub fn save(&self) {
        let Some(path) = shared_path(&self.listen.to_string(), "json") else { return };
        let temporary = path.with_extension(std::process::id().to_string());
        let text = serde_json::Value::Object(self.json.borrow().clone()).to_string();
        match write_atomically(&path, &temporary, text.as_bytes()) {
            Ok(()) => {
                if self.save_pending.replace(false) {
                    tracing::info!("{}: the active configuration is saved again", path.display());
                }
            }
            Err(e) => {
                if !self.save_pending.replace(true) {
                    tracing::warn!(
                        "{}: the active configuration cannot be saved: {e}; until it is, a successor cannot fall back to it",
                        path.display()
                    );
                }
            }
        }
    }

    /// Returns whether the last attempt to save the active configuration failed.
    pub fn is_save_pending(&self) -> bool {
        self.save_pending.get()
    }
}

/// Returns the path of a file that the processes of a scheduler share, if one may take over from another
/// (`LB_FD`). It is in `$TMPDIR` and named after the listening address, as several schedulers may use one
/// directory.
pub fn shared_path(listen: &str, extension: &str) -> Option<PathBuf> {
    let variable = |name: &str| std::env::var_os(name).filter(|v| !v.is_empty());
    variable("LB_FD")?;
    let name = format!("loomlb-{}.{extension}", listen.replace([':', '[', ']'], "-"));
    Some(PathBuf::from(variable("TMPDIR")?).join(name))
}

fn parse_address(key: &str, text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("{key}: {text:?} is not an address of the form IP:PORT"))
}

fn required<T>(key: &str, value: Option<T>) -> Result<T, String> {
    value.ok_or_else(|| format!("{key}: missing"))
}

impl ConfigFile {
    fn read(path: &Path) -> Result<(ConfigFile, ConfigJson), String> {
        let text = std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
        let file = serde_path_to_error::deserialize(&mut serde_json::Deserializer::from_slice(&text));
        let file = file.map_err(|e| match e.path().to_string().as_str() {
            "." | "?" => format!("the file: {}", e.inner()),
            path => format!("{path}: {}", e.inner()),
        })?;
        let json = serde_json::from_slice(&text).map_err(|e| format!("{}: {e}", path.display()))?;
        Ok((file, json))
    }

    fn into_config(self, path: PathBuf, json: ConfigJson) -> Result<Config, String> {
        let boot_info = required("settings", self.settings)?;
        let (settings, names) = boot_info.to_settings();
        if settings.classes.is_empty() {
            return Err("settings.classes: names no class".into());
        }
        config_validation::validate_start(&json)?;
        if self.limits.sockets < MIN_SOCKETS {
            return Err(format!(
                "limits.sockets: {} is too few ({MIN_SOCKETS} at least)",
                self.limits.sockets
            ));
        }
        if self.limits.memory_mb < 16 {
            return Err(format!("limits.memory_mb: {} is too little (16 at least)", self.limits.memory_mb));
        }
        let peers: Result<Vec<_>, _> =
            self.peers.iter().enumerate().map(|(i, p)| parse_address(&format!("peers[{i}]"), p)).collect();
        let optional = |key: &str, text: Option<String>| text.map(|t| parse_address(key, &t)).transpose();
        let seed = match self.seed {
            None | Some(serde_json::Value::Null) => 0,
            Some(serde_json::Value::Number(n)) => required("seed", n.as_u64())?,
            Some(serde_json::Value::String(hex)) => u64::from_str_radix(&hex, 16)
                .map_err(|_| format!("seed: {hex:?} is not a hexadecimal number of 64 bits"))?,
            Some(other) => return Err(format!("seed: {other} is not a number")),
        };
        // A third of the descriptors is enough for targets, since their connections are reused.
        let control = optional("control", self.control)?;
        let usable = self.limits.sockets
            - RESERVED_DESCRIPTORS
            - if control.is_some() { CONTROL_DESCRIPTORS } else { 0 };
        let outbound = usable / 3;
        Ok(Config {
            name: self.name.unwrap_or_else(|| "loomlb".into()),
            listen: parse_address("listen", &required("listen", self.listen)?)?,
            discovery: parse_address("discovery", &required("discovery", self.discovery)?)?,
            inherited_fd: None,
            control,
            seed,
            max_inbound: usable - outbound,
            idle_close_threshold: (usable - outbound).min(self.limits.sockets / 4),
            max_outbound: outbound,
            max_request_bytes: (self.limits.memory_mb << 20) / 4,
            max_receive_bytes: (self.limits.memory_mb << 20) / 8,
            max_ended_ids: (self.limits.memory_mb << 20) / 20 / ENDED_ID_BYTES,
            max_list_bytes: (self.limits.memory_mb << 20) / 16,
            peer_listen: optional("peer_listen", self.peer_listen)?,
            peers: peers?,
            peers_all: optional("peers_all", self.peers_all)?,
            initial_list: self.known,
            settings: Rc::new(RuntimeSettings {
                network: boot_info.network_settings(),
                policy: settings,
                names,
            }),
            rejected_file_error: None,
            path,
            json: RefCell::new(json),
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
