//! Quotas: nested tenant quotas, checked at admission if the operator file defines them.
//!
//! [`admit`](super::admit) asks for every flow. When a flow is finished, the work that it really took is charged, in slot
//! seconds between the starts and ends that targets reported. Without quotas every flow passes, and the decision module
//! applies its own shares.

use loomlb_policy::Nanos;
use loomlb_quota::share_split::{self, ShareSplit};
use loomlb_quota::{Quota, QuotaRequest, ShareStatus, Spec, Ticket, Verdict};
use std::cell::RefCell;
use std::fmt;

/// Weight of the newest job in a class's mean work (exponential moving average).
const MEAN_WORK_GAIN: f64 = 0.05;
/// Number of loans in the log summary.
const MAX_LOGGED_LOANS: usize = 20;

/// The mean work of a class before its first job has finished, in seconds: its desired latency.
fn initial_mean_work(aim: &Nanos) -> f64 {
    (*aim as f64 / 1e9).max(0.001)
}

/// The quotas of the operator file, and a function that reads them again.
pub struct QuotaSource {
    /// The tree of quotas; `None` without quotas.
    pub spec: Option<Spec>,
    /// Reads the operator file again.
    pub reload: Box<dyn Fn() -> Result<Option<Spec>, String>>,
}

/// The quota that a flow occupies until it is finished.
#[derive(Clone, Copy, Debug)]
pub struct QuotaGrant {
    ticket: Ticket,
    /// Index of the flow's class.
    pub class: usize,
    /// The flow's slots.
    pub slots: f64,
}

/// The quotas of all tenants, with the mean work by which new flows are charged.
pub struct TenantQuotas {
    quota: RefCell<Option<Quota>>,
    /// Mean work by class, in slot seconds per slot.
    mean_work: RefCell<Vec<f64>>,
    reload: Box<dyn Fn() -> Result<Option<Spec>, String>>,
    /// Number of schedulers that share the quotas. Each holds an equal part, or one in proportion to its traffic if the
    /// schedulers exchange messages.
    schedulers: u32,
    parts: RefCell<ShareSplit>,
}

impl fmt::Debug for TenantQuotas {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("TenantQuotas").field("quota", &self.quota).finish_non_exhaustive()
    }
}

/// The decision on a flow.
#[derive(Debug)]
pub enum QuotaDecision {
    /// There are no quotas.
    Disabled,
    /// Admitted; true if within its tenant's share, borrowed capacity included.
    Admitted(QuotaGrant, bool),
    /// The tenant is not in the tree: the flow counts as over its share and occupies no quota.
    UnknownTenant,
    /// A ceiling is reached; the client may retry after this time.
    Refused(Nanos),
}

impl TenantQuotas {
    /// The quotas of one of this many schedulers. The tree must have been checked. `aims` holds the desired latency of
    /// each class.
    pub fn new(
        source: QuotaSource,
        aims: &[Nanos],
        schedulers: u32,
        now: Nanos,
    ) -> Result<TenantQuotas, String> {
        let schedulers = schedulers.max(1);
        let quota = source.spec.map(|spec| Quota::new(spec.scaled(1.0 / f64::from(schedulers)), now));
        let quota = quota.transpose().map_err(|error| format!("quota: {error}"))?;
        let mean_work = aims.iter().map(initial_mean_work).collect();
        Ok(TenantQuotas {
            quota: RefCell::new(quota),
            mean_work: RefCell::new(mean_work),
            reload: source.reload,
            schedulers,
            parts: RefCell::new(ShareSplit::new(schedulers as usize)),
        })
    }

    /// Adds the classes that new settings have appended. Known classes keep their mean work.
    pub fn add_classes(&self, aims: &[Nanos]) {
        let mut mean_work = self.mean_work.borrow_mut();
        let known = mean_work.len();
        mean_work.extend(aims.iter().skip(known).map(initial_mean_work));
    }

    /// Decides on a flow. `spread` is any number that differs between flows, by which the retry times of refused ones are
    /// spread.
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
        let work = self.mean_work.borrow().get(class).copied().unwrap_or(0.0) * slots;
        if self.schedulers > 1 {
            self.parts.borrow_mut().record_demand(now, share_split::node_number(tenant), work);
        }
        match quota.admit(now, tenant, &QuotaRequest { slots, work, retry, jitter_seed: spread }) {
            Verdict::Admitted(ticket, standing) => {
                QuotaDecision::Admitted(QuotaGrant { ticket, class, slots }, standing != ShareStatus::Over)
            }
            Verdict::Refused(refusal) => QuotaDecision::Refused(refusal.retry_after),
            Verdict::Unknown => QuotaDecision::UnknownTenant,
        }
    }

    /// Charges a finished flow, whose jobs ran for this many seconds in total, to its tenant and releases its grant.
    pub fn charge(&self, now: Nanos, grant: QuotaGrant, run_seconds: f64) {
        if let Some(mean_work) =
            self.mean_work.borrow_mut().get_mut(grant.class).filter(|_| run_seconds > 0.0)
        {
            *mean_work += (run_seconds - *mean_work) * MEAN_WORK_GAIN;
        }
        if let Some(quota) = self.quota.borrow_mut().as_mut() {
            quota.complete(now, grant.ticket, run_seconds * grant.slots);
        }
    }

    /// Updates this scheduler's parts of the quotas, and returns the datagrams that report the traffic here to peers. Empty
    /// without quotas or peers.
    pub fn traffic_digests(&self, now: Nanos) -> Vec<Vec<u8>> {
        let mut quota = self.quota.borrow_mut();
        let Some(quota) = quota.as_mut().filter(|_| self.schedulers > 1) else { return Vec::new() };
        let mut parts = self.parts.borrow_mut();
        for node in parts.active_nodes() {
            quota.scale_share(now, node, parts.share(now, node) * f64::from(self.schedulers));
        }
        parts.digests(now)
    }

    /// Handles a peer's datagram if it is a traffic digest; false if it is for the decision module.
    pub fn handle_digest(&self, now: Nanos, peer: usize, bytes: &[u8]) -> bool {
        let is_digest = bytes.first() == Some(&share_split::DIGEST_MARK) && self.quota.borrow().is_some();
        if is_digest {
            self.parts.borrow_mut().apply_digest(now, peer, bytes);
        }
        is_digest
    }

    /// Reads the operator file again and replaces the tree of quotas. After an error the old one stays.
    pub fn reload(&self, now: Nanos) -> Result<(), String> {
        let new_spec = (self.reload)()?;
        let part = 1.0 / f64::from(self.schedulers);
        let mut quota = self.quota.borrow_mut();
        match (quota.as_mut(), new_spec) {
            (Some(quota), Some(spec)) => {
                quota.replace_spec(now, spec.scaled(part)).map_err(|error| format!("quota: {error}"))
            }
            (_, new_spec) => {
                let new_quota = new_spec.map(|spec| Quota::new(spec.scaled(part), now)).transpose();
                *quota = new_quota.map_err(|error| format!("quota: {error}"))?;
                Ok(())
            }
        }
    }

    /// Counters and the largest loans, for the log; `None` without quotas.
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
            quota.open_tickets(),
            c.lent[0],
            c.lent[1]
        );
        for loan in loans.iter().take(MAX_LOGGED_LOANS) {
            let measure =
                if loan.measure == loomlb_quota::Measure::Requests { "requests" } else { "slot seconds" };
            text += &format!("; {}: owes {:.1}, is owed {:.1} {measure}", loan.node, loan.owes, loan.is_owed);
        }
        Some(text)
    }
}
