//! Receive memory: bounds the memory that client connections use for requests they are still sending, and for answers that
//! they do not receive. The listener owns one [`ReceiveMemory`]; each of its connections has a [`ReceiveReservation`] and
//! resizes it before a buffer grows.
//!
//! At the limit the connection that has neither sent nor received anything for the longest time is closed: a client that
//! stops in the middle of a request or an answer then makes room for one that continues.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Memory of each connection that does not count, as the number of connections bounds it. Holds a request of usual size,
/// so that those are received even at the limit.
pub const UNCOUNTED_BYTES: usize = 8 * 1024;

/// The part of a limit that is left for this process while other processes of the scheduler use some of it: at least an eighth,
/// as a new process must serve requests of usual size beside one that is full.
pub fn own_share(limit: usize, used_by_others: usize) -> usize {
    limit.saturating_sub(used_by_others).max(limit / 8)
}

/// The memory that all connections of a listener share.
#[derive(Debug)]
pub struct ReceiveMemory {
    /// Maximum number of counted bytes, with those of other processes.
    limit: usize,
    /// Number of counted bytes of the other processes of this scheduler.
    used_by_others: Cell<usize>,
    /// Number of counted bytes.
    used: Cell<usize>,
    holders: RefCell<HashMap<u64, Rc<Holder>>>,
    next_number: Cell<u64>,
    /// Notified when counted bytes are released.
    released: Notify,
}

/// What is known of a connection with a reservation.
#[derive(Debug)]
struct Holder {
    /// Its counted bytes.
    counted: Cell<usize>,
    /// When it last sent something, or received a part of an answer.
    last_activity: Cell<Instant>,
    /// Whether it is in the middle of a request or an answer.
    evictable: Cell<bool>,
    /// Whether it must close in the middle of that.
    evicted: Cell<bool>,
    /// Notified when `evicted` is set.
    eviction: Notify,
}

impl ReceiveMemory {
    /// Memory for up to `limit` counted bytes.
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(ReceiveMemory {
            limit,
            used_by_others: Cell::new(0),
            used: Cell::new(0),
            holders: RefCell::default(),
            next_number: Cell::new(0),
            released: Notify::new(),
        })
    }

    /// Number of counted bytes.
    pub fn used(&self) -> usize {
        self.used.get()
    }

    /// Sets the number of counted bytes of the other processes of this scheduler.
    pub fn set_used_by_others(&self, bytes: usize) {
        if self.used_by_others.replace(bytes) > bytes {
            self.released.notify_waiters();
        }
    }

    /// Maximum number of counted bytes of this process.
    fn own_limit(&self) -> usize {
        own_share(self.limit, self.used_by_others.get())
    }

    /// A reservation of nothing for a connection, which must close when [`ReceiveReservation::evicted`] ends.
    pub fn reservation(self: &Rc<Self>) -> ReceiveReservation {
        let number = self.next_number.replace(self.next_number.get() + 1);
        let holder = Rc::new(Holder {
            counted: Cell::new(0),
            last_activity: Cell::new(Instant::now()),
            evictable: Cell::new(false),
            evicted: Cell::new(false),
            eviction: Notify::new(),
        });
        self.holders.borrow_mut().insert(number, Rc::clone(&holder));
        ReceiveReservation { memory: Rc::clone(self), number, holder }
    }

    /// Requests connections to close until `needed` more bytes will be available, those first that have been inactive
    /// for the longest time. `requester` is spared.
    fn evict(&self, requester: &Rc<Holder>, needed: usize) {
        let holders = self.holders.borrow();
        let closing: usize =
            holders.values().filter(|holder| holder.evicted.get()).map(|holder| holder.counted.get()).sum();
        let mut remaining = self.used.get() - closing;
        while remaining + needed > self.own_limit() {
            let candidates = holders.values().filter(|holder| {
                holder.counted.get() > 0
                    && holder.evictable.get()
                    && !holder.evicted.get()
                    && !Rc::ptr_eq(holder, requester)
            });
            let Some(victim) = candidates.min_by_key(|holder| holder.last_activity.get()) else { return };
            remaining -= victim.counted.get();
            victim.evicted.set(true);
            victim.eviction.notify_waiters();
        }
    }
}

/// When a connection last sent something. Can be read while the connection reads.
#[derive(Clone, Debug)]
pub struct InputActivity(Rc<Holder>);

impl InputActivity {
    /// How long the connection has sent nothing.
    pub fn silent_for(&self) -> Duration {
        self.0.last_activity.get().elapsed()
    }
}

/// The memory reserved for a connection. Released when it is dropped.
#[derive(Debug)]
pub struct ReceiveReservation {
    memory: Rc<ReceiveMemory>,
    number: u64,
    holder: Rc<Holder>,
}

impl ReceiveReservation {
    /// When the connection last sent something.
    pub fn activity(&self) -> InputActivity {
        InputActivity(Rc::clone(&self.holder))
    }

    /// Records that the connection has sent something, or received a part of an answer.
    pub fn record_activity(&self) {
        self.holder.last_activity.set(Instant::now());
    }

    /// Records that the connection is in the middle of a request or an answer. Until [`Self::disallow_eviction`] it may be
    /// closed to make room.
    pub fn allow_eviction(&self) {
        self.holder.evicted.set(false);
        self.holder.evictable.set(true);
    }

    /// Records that the request or the answer is complete. If the connection was about to close to make room, another one does.
    pub fn disallow_eviction(&self) {
        self.holder.evictable.set(false);
        if self.holder.evicted.replace(false) {
            self.memory.released.notify_waiters();
        }
    }

    /// Whether the connection must close in the middle of its request or answer.
    pub fn is_evicted(&self) -> bool {
        self.holder.evicted.get()
    }

    /// Ends when the connection must close in the middle of its request or answer.
    pub fn evicted(&self) -> impl Future<Output = ()> + use<> {
        let holder = Rc::clone(&self.holder);
        async move {
            while !holder.evicted.get() {
                holder.eviction.notified().await;
            }
        }
    }

    /// Waits until the connection may use this many bytes. Cancel safe.
    pub async fn resize(&self, bytes: usize) {
        let counted = bytes.saturating_sub(UNCOUNTED_BYTES);
        let additional = counted.saturating_sub(self.holder.counted.get());
        while additional > 0 && self.memory.used.get() + additional > self.memory.own_limit() {
            // A connection that is about to close itself does not close others.
            if !self.holder.evicted.get() {
                self.memory.evict(&self.holder, additional);
            }
            self.memory.released.notified().await;
        }
        self.set_counted(counted);
    }

    /// Grows the reservation to this many bytes for requests after the present one, unless these would take more than half of
    /// all memory. Closes no other connection.
    pub fn try_grow_ahead(&self, bytes: usize) -> bool {
        let counted = bytes.saturating_sub(UNCOUNTED_BYTES);
        let previous = self.holder.counted.get();
        if counted > previous && self.memory.used.get() + counted - previous > self.memory.own_limit() / 2 {
            return false;
        }
        self.set_counted(counted.max(previous));
        true
    }

    /// Reduces the reservation to this many bytes; a smaller reservation stays as it is.
    pub fn shrink(&self, bytes: usize) {
        let counted = bytes.saturating_sub(UNCOUNTED_BYTES);
        self.set_counted(counted.min(self.holder.counted.get()));
    }

    fn set_counted(&self, counted: usize) {
        let previous = self.holder.counted.replace(counted);
        self.memory.used.set(self.memory.used.get() - previous + counted);
        if counted < previous {
            self.memory.released.notify_waiters();
        }
    }
}

impl Drop for ReceiveReservation {
    fn drop(&mut self) {
        self.set_counted(0);
        self.memory.holders.borrow_mut().remove(&self.number);
    }
}

#[cfg(test)]
mod tests;
