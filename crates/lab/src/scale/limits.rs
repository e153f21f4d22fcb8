//! What a run needs of the machine, reckoned before anything is started.

use super::{Error, Options, Sizes};
use serde::Serialize;

/// What the machine has.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Machine {
    /// Cores.
    pub cores: usize,
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Descriptors that one process may have open.
    pub descriptors: u64,
    /// Processes and threads that this user may have.
    pub processes: u64,
    /// Ports that the kernel chooses from for whoever opens a connection.
    pub ports: u64,
}

/// What a run needs.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Need {
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Descriptors of the process that needs most.
    pub descriptors: u64,
    /// Processes and threads.
    pub processes: u64,
    /// Connections opened to one address.
    pub ports: u64,
}

impl Machine {
    /// This one.
    pub fn here() -> Machine {
        let number = |text: Option<&str>| text.and_then(|t| t.parse::<u64>().ok());
        let memory = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
        let total = memory.lines().find_map(|l| l.strip_prefix("MemTotal:"));
        let ports = std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range").unwrap_or_default();
        let mut ports = ports.split_whitespace();
        let (first, last) = (number(ports.next()).unwrap_or(32_768), number(ports.next()).unwrap_or(60_999));
        let limit = |which| rustix::process::getrlimit(which).current.unwrap_or(u64::MAX);
        Machine {
            cores: std::thread::available_parallelism().map_or(1, usize::from),
            memory_mb: number(total.and_then(|t| t.split_whitespace().next())).unwrap_or(0) / 1024,
            descriptors: limit(rustix::process::Resource::Nofile),
            processes: limit(rustix::process::Resource::Nproc),
            ports: last.saturating_sub(first),
        }
    }
}

/// What this run needs, with room to spare.
pub fn need(options: &Options, sizes: &Sizes) -> Need {
    let real = options.real();
    let (hollow, flows, workers) = (sizes.hollow(options) as u64, sizes.flows as u64, sizes.workers as u64);
    let (serving, voters) = (options.serving as u64, options.voters as u64);
    // Links of hollow ones, both ends of those through here, clients' connections.
    let here = hollow * voters + 4 * (real as u64 + 1) * voters + serving * flows * 2 + 256;
    let one = workers.min(super::workers::MOST as u64) + 3 * serving * (sizes.starts as u64 * 10 + 100) + 64;
    let scheduler = sizes.sockets() as u64 + sizes.schedulers as u64 + 256;
    // A document as values of JSON takes some 12 times its text, and a scheduler has several.
    let document = (sizes.document as u64 * 12) / 1024;
    let memory_kb =
        real as u64 * (60 * 1024 + workers * 8 + document * 6) + hollow * (64 + document * 2) + workers * 8;
    Need {
        memory_mb: memory_kb / 1024,
        descriptors: here.max(one).max(scheduler),
        processes: real as u64 + workers.div_ceil(super::workers::MOST as u64) + 16,
        ports: (sizes.schedulers as u64).max(2 * flows) + 1024,
    }
}

/// Refuses a run that the machine cannot bear.
pub fn check(need: &Need, machine: &Machine) -> Result<(), Error> {
    let short = |what, need, have, way_out| Err(Error::TooLittle { what, need, have, way_out });
    if need.memory_mb * 2 > machine.memory_mb {
        return short(
            "memory in MB (half of the machine's)",
            need.memory_mb,
            machine.memory_mb / 2,
            "lower --part, or take a larger machine",
        );
    }
    if need.descriptors > machine.descriptors {
        return short(
            "descriptors of one process",
            need.descriptors,
            machine.descriptors,
            "raise `ulimit -n`, or lower --part",
        );
    }
    if need.processes > machine.processes {
        return short("processes", need.processes, machine.processes, "raise `ulimit -u`");
    }
    if need.ports > machine.ports {
        return short(
            "ports for connections to one address",
            need.ports,
            machine.ports,
            "widen net.ipv4.ip_local_port_range, or lower --part",
        );
    }
    Ok(())
}
