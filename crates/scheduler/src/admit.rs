//! Admit: decides whether an offer becomes a flow, by its class, tenant, deadline and the limits. Independent of the
//! client's protocol.

use super::book::{Answer, Flow, JobRequest};
use super::quotas::QuotaDecision;
use super::receive_memory::own_share;
use super::timers::TimerEvent;
use super::{Scheduler, route};
use loomlb_policy::raw_settings::affinity_key;
use loomlb_policy::{ClassId, Event, Idempotency, Nanos, Request, RequestId, TenantId};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Advice to clients that are rejected for lack of capacity: when to retry.
pub const UNAVAILABLE_RETRY_AFTER: Nanos = 1_000_000_000;
/// A request that has waited for less since it was received counts as just received.
const MIN_DEDUCTED_WAIT: Duration = Duration::from_millis(2);
/// Maximum length of a correlation id.
const MAX_CORRELATION_ID_BYTES: usize = 128;

/// A request that a client offers, in protocol-independent terms.
#[derive(Debug, Default)]
pub struct Offer {
    /// The request to forward.
    pub job: JobRequest,
    /// The name of its class.
    pub class: String,
    /// The name of its tenant.
    pub tenant: Option<String>,
    /// The object that the request is about, for affinity: the last segment of its path.
    pub subject: Option<String>,
    /// How long the client waits; `None` if the request does not say.
    pub time_left: Option<Nanos>,
    /// Whether the client marked the request as a retry.
    pub retry: bool,
    /// Slots that the job occupies.
    pub slots: Option<f64>,
    /// Memory that the job occupies.
    pub memory: Option<f64>,
    /// The client's estimate of the work.
    pub expected_work: Option<Nanos>,
}

impl Offer {
    /// Takes the time since the request was received off the time that its client waits. It may have waited behind other
    /// requests of its connection.
    pub fn deduct_wait(&mut self, scheduler: &Scheduler, received_at: Option<Instant>) {
        let waited = received_at.map_or(Duration::ZERO, |at| at.elapsed());
        if waited < MIN_DEDUCTED_WAIT {
            return;
        }
        let settings = scheduler.settings();
        let class = settings.policy.classes.get(settings.names.class_index(&self.class));
        let time_left = self.time_left.or(class.map(|class| class.client_timeout));
        self.time_left = time_left.map(|time_left| time_left.saturating_sub(waited.as_nanos() as Nanos));
    }
}

/// Why an offer was not admitted.
#[derive(Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The offer is invalid; a retry would fail as well.
    Invalid(&'static str),
    /// Another open request has its id.
    IdInUse,
    /// There is no capacity or quota for it now; the client may retry after this time.
    Unavailable(Nanos),
}

/// An admitted flow.
#[derive(Debug)]
pub struct Admitted {
    /// The id of the flow.
    pub id: RequestId,
    /// Receives the final answer.
    pub answer: oneshot::Receiver<Answer>,
}

/// Whether a correlation id can be used unescaped in the path `/jobs/ID`, by which a job is cancelled.
pub fn is_valid_correlation_id(id: &[u8]) -> bool {
    let unescaped = |byte: &u8| byte.is_ascii_alphanumeric() || b"-_.~:".contains(byte);
    !id.is_empty() && id.len() <= MAX_CORRELATION_ID_BYTES && id.iter().all(unescaped)
}

/// Admits an offer as a flow and passes it to the decision module, or rejects it.
pub fn admit(scheduler: &Rc<Scheduler>, offer: Offer) -> Result<Admitted, Rejection> {
    let active = scheduler.settings();
    let class = active.names.class_index(&offer.class);
    let Some(settings) = active.policy.classes.get(class) else {
        return Err(Rejection::Invalid("unknown class"));
    };
    if !is_valid_correlation_id(&offer.job.correlation_id) {
        return Err(Rejection::Invalid("missing or bad id"));
    }
    let now = scheduler.clock.now();
    let mut book = scheduler.book.borrow_mut();
    // Call-backs name their flow by this id alone, so it must be unique.
    if book.find_by_correlation_id(&offer.job.correlation_id).is_some() {
        return Err(Rejection::IdInUse);
    }
    let max_request_bytes =
        own_share(scheduler.config.max_request_bytes, scheduler.upgrade.held_by_others().request_bytes);
    let full =
        book.len() >= active.network.max_open || book.request_bytes() + offer.job.size() > max_request_bytes;
    if full || scheduler.shutdown.service().refuses_jobs(now) || !scheduler.tier.may_serve() {
        book.counters.turned_back += 1;
        return Err(Rejection::Unavailable(
            UNAVAILABLE_RETRY_AFTER.min(scheduler.settings().policy.limits.max_retry_after),
        ));
    }
    let max_retry_after = active.policy.limits.max_retry_after;
    let max_forwards = active.policy.limits.max_attempts.max(1);
    let (slots, spread) = (offer.slots.unwrap_or(1.0), book.counters.flows ^ book.counters.turned_back << 32);
    let tenant = offer.tenant.as_deref().unwrap_or("");
    let (quota_grant, in_share) = match scheduler.quotas.admit(now, tenant, class, slots, offer.retry, spread)
    {
        QuotaDecision::Disabled => (None, None),
        QuotaDecision::Admitted(grant, in_share) => (Some(grant), Some(in_share)),
        QuotaDecision::UnknownTenant => (None, Some(false)),
        QuotaDecision::Refused(retry_after) => {
            book.counters.turned_back += 1;
            return Err(Rejection::Unavailable(retry_after.min(max_retry_after)));
        }
    };
    let time_left = offer.time_left.unwrap_or(settings.client_timeout);
    // A process that shuts down must answer sooner. The decision module gets this limit as a value of its own: a short
    // time left would mean that the client has already waited.
    let within = scheduler.shutdown.service().answer_deadline().map(|by| by.saturating_sub(now));
    let deadline = now.saturating_add(within.unwrap_or(time_left).min(time_left));
    let (reply, answer) = oneshot::channel();
    let correlation_id = offer.job.correlation_id.clone();
    let job = Rc::new(offer.job);
    let id = book.insert(Flow {
        job,
        deadline,
        reply: Some(reply),
        forwards: Vec::new(),
        quota_grant,
        slots,
        class,
        max_forwards,
        repeat_window: matches!(settings.idempotency, Idempotency::Deduplicated(_))
            .then_some(settings.dedup_window),
        run_seconds: 0.0,
        served: false,
    });
    drop(book);
    // One tick later, so that the decision module can still answer when the last forward times out at the deadline.
    scheduler
        .timers
        .schedule(deadline.saturating_add(scheduler.settings().policy.tick), TimerEvent::FlowDeadline(id));
    let flow = id.0;
    tracing::debug!(
        flow,
        id = %String::from_utf8_lossy(&correlation_id),
        class = offer.class,
        tenant = offer.tenant.as_deref().unwrap_or(""),
        "taken"
    );
    let tenant = offer
        .tenant
        .and_then(|name| scheduler.settings().names.tenants.iter().position(|tenant| *tenant == name));
    let request = Request {
        id,
        class: ClassId(class),
        tenant: tenant.map(TenantId),
        affinity_key: offer.subject.as_deref().map(affinity_key),
        slots,
        memory: offer.memory.unwrap_or(0.0),
        remaining: time_left,
        answer_within: within,
        is_retry: offer.retry,
        in_share,
        expected_work: offer.expected_work,
    };
    route::handle_event(scheduler, Event::Request(request));
    Ok(Admitted { id, answer })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn correlation_ids_that_need_escaping_in_a_path_are_invalid() {
        assert!(is_valid_correlation_id(b"9b1f03aa5c7e2d41"));
        for invalid in
            [&b""[..], b"a/b", b"a b", b"a%2f", b"a?x", &[b'x'; MAX_CORRELATION_ID_BYTES + 1], b"\xff"]
        {
            assert!(!is_valid_correlation_id(invalid), "{invalid:?}");
        }
    }
}
