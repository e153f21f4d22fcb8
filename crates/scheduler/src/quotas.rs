//! TenantQuotas: nested quotas between admit and the module, where the operator file has them.
//!
//! `admit` asks for every flow; what a flow really took, in slot seconds of the starts and ends that its targets told, is
//! settled when it is over. Without quotas nothing is asked and the module's own shares hold.

use loomlb_policy::Nanos;
use loomlb_quota::parts::{self, Parts};
use loomlb_quota::{Ask, Quota, Spec, Standing, Ticket, Verdict};
use std::cell::RefCell;
use std::fmt;

/// How much of a class's mean work the newest job tells.
const NEW: f64 = 0.05;
/// Rows of the table of loans that are logged.
const ROWS: usize = 20;

/// What a class's jobs are taken to need, in seconds, before one has ended.
fn first_mean(aim: &Nanos) -> f64 {
    (*aim as f64 / 1e9).max(0.001)
}

/// The quotas of the operator file, and how to read them again.
pub struct QuotaSource {
    /// The tree; none where there are no quotas.
    pub spec: Option<Spec>,
    /// Reads the operator file again.
    pub reload: Box<dyn Fn() -> Result<Option<Spec>, String>>,
}

/// What a flow holds of its tenant's shares until it is over.
#[derive(Clone, Copy, Debug)]
pub struct QuotaGrant {
    ticket: Ticket,
    /// Its class.
    pub class: usize,
    /// Its slots.
    pub slots: f64,
}

/// The quota core with what it needs to know of classes.
pub struct TenantQuotas {
    quota: RefCell<Option<Quota>>,
    /// Mean work of each class's jobs, in slot seconds of one slot.
    mean: RefCell<Vec<f64>>,
    reload: Box<dyn Fn() -> Result<Option<Spec>, String>>,
    /// Schedulers that share the tree: each holds an equal part of it, or what its traffic calls for where they talk.
    schedulers: u32,
    parts: RefCell<Parts>,
}

impl fmt::Debug for TenantQuotas {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("TenantQuotas").field("quota", &self.quota).finish_non_exhaustive()
    }
}

/// What admit is told.
#[derive(Debug)]
pub enum QuotaDecision {
    /// There are no quotas.
    Disabled,
    /// It may pass; whether it is within its tenant's share, lent room included.
    Admitted(QuotaGrant, bool),
    /// No node has its tenant's name: over share, and nothing is held.
    UnknownTenant,
    /// A ceiling is reached; come back after this time.
    Refused(Nanos),
}

impl TenantQuotas {
    /// The shares of one of so many schedulers. The tree is checked by whoever read it.
    pub fn new(
        quotas: QuotaSource,
        aims: &[Nanos],
        schedulers: u32,
        now: Nanos,
    ) -> Result<TenantQuotas, String> {
        let schedulers = schedulers.max(1);
        let quota = quotas.spec.map(|spec| Quota::new(spec.part(1.0 / f64::from(schedulers)), now));
        let quota = quota.transpose().map_err(|e| format!("quota: {e}"))?;
        let mean = aims.iter().map(first_mean).collect();
        Ok(TenantQuotas {
            quota: RefCell::new(quota),
            mean: RefCell::new(mean),
            reload: quotas.reload,
            schedulers,
            parts: RefCell::new(Parts::new(schedulers as usize)),
        })
    }

    /// The classes' aims have changed: a class behind those known starts from its own.
    pub fn add_classes(&self, aims: &[Nanos]) {
        let mut mean = self.mean.borrow_mut();
        let known = mean.len();
        mean.extend(aims.iter().skip(known).map(first_mean));
    }

    /// Asks for a flow.
    pub fn admit(
        &self,
        now: Nanos,
        tenant: &str,
        class: usize,
        slots: f64,
        retry: bool,
        spread: u64,
    ) -> QuotaDecision {
        let mut quota = self.quota.borrow_mut();
        let Some(quota) = quota.as_mut() else { return QuotaDecision::Disabled };
        let slots = slots.max(1.0);
        let work = self.mean.borrow().get(class).copied().unwrap_or(0.0) * slots;
        if self.schedulers > 1 {
            self.parts.borrow_mut().asked(now, parts::number(tenant), work);
        }
        match quota.admit(now, tenant, &Ask { slots, work, retry, spread }) {
            Verdict::Admitted(ticket, standing) => {
                QuotaDecision::Admitted(QuotaGrant { ticket, class, slots }, standing != Standing::Over)
            }
            Verdict::Refused(refusal) => QuotaDecision::Refused(refusal.after),
            Verdict::Unknown => QuotaDecision::UnknownTenant,
        }
    }

    /// A flow is over, and its jobs ran for so many seconds in all.
    pub fn settle(&self, now: Nanos, holding: QuotaGrant, seconds: f64) {
        if let Some(mean) = self.mean.borrow_mut().get_mut(holding.class).filter(|_| seconds > 0.0) {
            *mean += (seconds - *mean) * NEW;
        }
        if let Some(quota) = self.quota.borrow_mut().as_mut() {
            quota.settle(now, holding.ticket, seconds * holding.slots);
        }
    }

    /// What peers are to be told of the traffic here; this scheduler's own parts are brought up to date. Nothing
    /// without quotas or without peers.
    pub fn traffic_digests(&self, now: Nanos) -> Vec<Vec<u8>> {
        let mut quota = self.quota.borrow_mut();
        let Some(quota) = quota.as_mut().filter(|_| self.schedulers > 1) else { return Vec::new() };
        let mut parts = self.parts.borrow_mut();
        for node in parts.nodes() {
            quota.hold(now, node, parts.part(now, node) * f64::from(self.schedulers));
        }
        parts.digest(now)
    }

    /// Takes in a peer's datagram if it is a digest of traffic; false if it is for the module.
    pub fn handle_digest(&self, now: Nanos, peer: usize, bytes: &[u8]) -> bool {
        let ours = bytes.first() == Some(&parts::MARK) && self.quota.borrow().is_some();
        if ours {
            self.parts.borrow_mut().hear(now, peer, bytes);
        }
        ours
    }

    /// Reads the operator file again and puts its tree in place, whole; a faulty one changes nothing.
    pub fn reload(&self, now: Nanos) -> Result<(), String> {
        let fresh = (self.reload)()?;
        let part = 1.0 / f64::from(self.schedulers);
        let mut quota = self.quota.borrow_mut();
        match (quota.as_mut(), fresh) {
            (Some(quota), Some(spec)) => {
                quota.change(now, spec.part(part)).map_err(|e| format!("quota: {e}"))
            }
            (_, fresh) => {
                let made = fresh.map(|spec| Quota::new(spec.part(part), now)).transpose();
                *quota = made.map_err(|e| format!("quota: {e}"))?;
                Ok(())
            }
        }
    }

    /// Counters and the largest loans, for the log; none without quotas.
    pub fn summary(&self, now: Nanos) -> Option<String> {
        let mut quota = self.quota.borrow_mut();
        let quota = quota.as_mut()?;
        let mut loans = quota.loans(now);
        loans.sort_by(|a, b| (b.owes + b.is_owed).total_cmp(&(a.owes + a.is_owed)));
        let c = &quota.counters;
        let mut text = format!(
            "quota: within={} borrowed={} over={} refused={} unknown={} open={} lent={:.0} requests, {:.1} slot seconds",
            c.within,
            c.borrowed,
            c.over,
            c.refused,
            c.unknown,
            quota.open(),
            c.lent[0],
            c.lent[1]
        );
        for l in loans.iter().take(ROWS) {
            let measure =
                if l.measure == loomlb_quota::Measure::Requests { "requests" } else { "slot seconds" };
            text += &format!("; {}: owes {:.1}, is owed {:.1} {measure}", l.node, l.owes, l.is_owed);
        }
        Some(text)
    }
}
