//! Bounds on what a scheduler may need in a large fleet, as against the same day in a small one. Arithmetic alone.

use serde::Serialize;

/// Something that a scheduler needs, or what it serves for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Quantity {
    /// Processor time from start to end, in seconds.
    CpuSeconds,
    /// The most resident memory, in bytes.
    PeakMemory,
    /// The most descriptors open at once.
    Descriptors,
    /// Connections made to workers.
    WorkerConnections,
    /// Bytes of endpoint lists that discovery sent.
    ListBytes,
    /// Requests served, as a part of those that ended.
    ShareServed,
}

/// What a scheduler needed in one day.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Usage {
    /// Processor time from start to end, in seconds.
    pub cpu_seconds: f64,
    /// The most resident memory, in bytes.
    pub peak_memory: f64,
    /// The most descriptors open at once.
    pub descriptors: f64,
    /// Connections made to workers.
    pub worker_connections: f64,
    /// Bytes of endpoint lists that discovery sent.
    pub list_bytes: f64,
    /// Requests served, as a part of those that ended.
    pub share_served: f64,
}

impl Usage {
    /// One of the quantities.
    pub fn of(&self, quantity: Quantity) -> f64 {
        match quantity {
            Quantity::CpuSeconds => self.cpu_seconds,
            Quantity::PeakMemory => self.peak_memory,
            Quantity::Descriptors => self.descriptors,
            Quantity::WorkerConnections => self.worker_connections,
            Quantity::ListBytes => self.list_bytes,
            Quantity::ShareServed => self.share_served,
        }
    }
}

/// On which side of a bound the large fleet's figure has to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Side {
    /// At the bound or below it.
    AtMost,
    /// At the bound or above it.
    AtLeast,
}

/// A bound on the large fleet's figure, which grows with the small fleet's and with the workers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Of what.
    pub quantity: Quantity,
    /// A name for tables.
    pub name: &'static str,
    /// The unit of tables.
    pub unit: &'static str,
    /// The unit of tables, in units of the quantity.
    pub unit_size: f64,
    /// On which side the figure has to be.
    pub side: Side,
    /// So many times the small fleet's figure,
    pub factor: f64,
    /// and so much more,
    pub constant: f64,
    /// and so much more for each thousand workers of the large fleet.
    pub per_thousand_workers: f64,
}

/// Bytes of a kilobyte.
pub const KILOBYTE: f64 = 1e3;
/// Bytes of a megabyte.
pub const MEGABYTE: f64 = 1e6;

/// The operators' bounds for fleets of up to 3,200 workers and 900 schedulers.
pub const BOUNDS: [Bound; 6] = [
    Bound {
        quantity: Quantity::CpuSeconds,
        name: "CPU",
        unit: "s",
        unit_size: 1.0,
        side: Side::AtMost,
        factor: 1.4,
        constant: 0.02,
        per_thousand_workers: 0.03,
    },
    Bound {
        quantity: Quantity::PeakMemory,
        name: "peak memory",
        unit: "MB",
        unit_size: MEGABYTE,
        side: Side::AtMost,
        factor: 1.5,
        constant: 8.0 * MEGABYTE,
        per_thousand_workers: 4.0 * MEGABYTE,
    },
    Bound {
        quantity: Quantity::Descriptors,
        name: "descriptors",
        unit: "",
        unit_size: 1.0,
        side: Side::AtMost,
        factor: 2.0,
        constant: 40.0,
        per_thousand_workers: 0.0,
    },
    Bound {
        quantity: Quantity::WorkerConnections,
        name: "connections made to workers",
        unit: "",
        unit_size: 1.0,
        side: Side::AtMost,
        factor: 2.5,
        constant: 40.0,
        per_thousand_workers: 0.0,
    },
    Bound {
        quantity: Quantity::ListBytes,
        name: "bytes of lists from discovery",
        unit: "KB",
        unit_size: KILOBYTE,
        side: Side::AtMost,
        factor: 2.0,
        constant: 64.0 * KILOBYTE,
        per_thousand_workers: 500.0 * KILOBYTE,
    },
    Bound {
        quantity: Quantity::ShareServed,
        name: "share served",
        unit: "",
        unit_size: 1.0,
        side: Side::AtLeast,
        factor: 0.85,
        constant: 0.0,
        per_thousand_workers: 0.0,
    },
];

/// A row of the table: both figures, the bound, and whether it holds.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// Of what; `key` so that pages can name the row.
    pub key: Quantity,
    /// The small fleet's figure.
    pub small: f64,
    /// The large fleet's figure.
    pub large: f64,
    /// What the large fleet's figure is held to.
    pub bound: f64,
    /// On which side of it the figure has to be.
    pub side: Side,
    /// Whether it is there.
    pub holds: bool,
}

impl Bound {
    /// The bound for a large fleet of so many workers, where the small fleet's figure is `small`.
    pub fn value(&self, small: f64, large_workers: usize) -> f64 {
        self.factor * small + self.constant + self.per_thousand_workers * large_workers as f64 / 1e3
    }

    /// Holds the large fleet's figure to the bound. A figure that is no number does not hold.
    pub fn compare(&self, small: &Usage, large: &Usage, large_workers: usize) -> Row {
        let (small, large) = (small.of(self.quantity), large.of(self.quantity));
        let bound = self.value(small, large_workers);
        let holds = match self.side {
            Side::AtMost => large <= bound,
            Side::AtLeast => large >= bound,
        };
        Row { key: self.quantity, small, large, bound, side: self.side, holds }
    }
}

/// All rows, in the order of [`BOUNDS`].
pub fn compare(small: &Usage, large: &Usage, large_workers: usize) -> Vec<Row> {
    BOUNDS.iter().map(|bound| bound.compare(small, large, large_workers)).collect()
}
