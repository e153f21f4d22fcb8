//! Measuring: which series and sizes are asked for, live bytes and allocations, time.

use loomlb_capacity::{Point, Series, Source};
use std::hint::black_box;
use std::time::{Duration, Instant};

/// Which series are measured, and how thoroughly.
#[derive(Clone, Debug)]
pub struct Plan {
    quick: bool,
    only: Option<String>,
}

impl Plan {
    /// All series that begin so; quick ones at few sizes.
    pub fn new(quick: bool, only: Option<String>) -> Plan {
        Plan { quick, only }
    }

    /// Whether a series is asked for.
    pub fn wants(&self, key: &str) -> bool {
        self.only.as_ref().is_none_or(|only| key.starts_with(only))
    }

    /// Whether any of these is.
    pub fn wants_any(&self, keys: &[&str]) -> bool {
        keys.iter().any(|key| self.wants(key))
    }

    /// The sizes, or the first two of them.
    pub fn sizes<'a, T>(&self, all: &'a [T]) -> &'a [T] {
        if self.quick { &all[..all.len().min(2)] } else { all }
    }

    /// Of a whole bench and of a quick one.
    pub fn pick<T>(&self, whole: T, quick: T) -> T {
        if self.quick { quick } else { whole }
    }

    /// Runs a size where it is timed.
    pub fn runs(&self) -> usize {
        self.pick(5, 2)
    }

    /// Nanoseconds a call, once for each run. A run lasts some tens of milliseconds, and one goes before that is not told.
    pub fn time(&self, mut call: impl FnMut()) -> Vec<f64> {
        let least = Duration::from_millis(self.pick(30, 2));
        let mut run = || {
            let (start, mut calls, mut batch) = (Instant::now(), 0u64, 1u64);
            loop {
                (0..batch).for_each(|_| call());
                calls += batch;
                let passed = start.elapsed();
                if passed >= least {
                    return passed.as_nanos() as f64 / calls as f64;
                }
                batch = calls.min(1 << 16);
            }
        };
        run();
        (0..self.runs()).map(|_| run()).collect()
    }
}

/// What is made, and the bytes that it holds on the heap, as they were asked for: the allocator's own part is not in them.
/// What is freed that was there before counts against it.
pub fn live<T>(make: impl FnOnce() -> T) -> (T, f64) {
    let mut made = None;
    let info = allocation_counter::measure(|| made = Some(black_box(make())));
    match made {
        Some(made) => (made, info.bytes_current as f64),
        None => unreachable!("it was made above"),
    }
}

/// How often memory is asked for meanwhile.
pub fn allocations(work: impl FnOnce()) -> f64 {
    allocation_counter::measure(work).count_total as f64
}

/// A series without points: its key, the unit of its values and of its sizes, how it is measured, and a note.
pub fn series(key: &str, unit: &str, by: &str, source: Source, note: &str) -> Series {
    let role = key.split('.').next().unwrap_or_default().to_string();
    let [unit, by, note] = [unit, by, note].map(String::from);
    Series { key: key.into(), role, unit, size_unit: by, source, note, points: Vec::new() }
}

/// Adds what was measured at a size.
pub fn point(series: &mut Series, size: f64, values: Vec<f64>) {
    series.points.push(Point { size, values });
}
