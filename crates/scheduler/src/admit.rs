//! Admit: whether an offer becomes a flow. It knows classes, tenants, deadlines and bounds, but no protocol.

use super::book::{Answer, Flow, Work};
use super::shares::Share;
use super::wheel::Due;
use super::{Scheduler, route};
use loomlb_policy::raw_settings::affinity_key;
use loomlb_policy::{ClassId, Event, Idempotency, Nanos, Request, RequestId, TenantId};
use std::rc::Rc;
use tokio::sync::oneshot;

/// How long a client should stay away when there is no room for its flow.
const NO_ROOM_WAIT: Nanos = 1_000_000_000;
/// The longest id of a flow.
const MAX_ID: usize = 128;

/// What a client offers, in words of no protocol.
#[derive(Debug, Default)]
pub struct Offer {
    /// What to pass on.
    pub work: Work,
    /// The class's name.
    pub class: String,
    /// The tenant's name.
    pub tenant: Option<String>,
    /// What it is about.
    pub subject: Option<String>,
    /// How long the client waits; none if it did not say.
    pub patience: Option<Nanos>,
    /// The client marks it as a retry.
    pub retry: bool,
    /// Slots it takes.
    pub slots: Option<f64>,
    /// Memory it takes.
    pub memory: Option<f64>,
    /// A hint of its work.
    pub expected: Option<Nanos>,
}

/// Why an offer was not taken.
#[derive(Debug, PartialEq, Eq)]
pub enum Rejection {
    /// It is faulty; no new try would help.
    Bad(&'static str),
    /// There is no room; try again after this time.
    NoRoom(Nanos),
}

/// A flow that was taken, and where its answer will come.
#[derive(Debug)]
pub struct Taken {
    /// Its number.
    pub id: RequestId,
    /// Its answer.
    pub answer: oneshot::Receiver<Answer>,
}

/// The id goes into the path of a give-up, so only what stands for itself there may be in it.
fn valid_id(id: &[u8]) -> bool {
    let plain = |b: &u8| b.is_ascii_alphanumeric() || b"-_.~:".contains(b);
    !id.is_empty() && id.len() <= MAX_ID && id.iter().all(plain)
}

/// Takes an offer in, or says why not.
pub fn admit(s: &Rc<Scheduler>, offer: Offer) -> Result<Taken, Rejection> {
    let epoch = s.epoch();
    let class = epoch.names.class_index(&offer.class);
    let Some(settings) = epoch.settings.classes.get(class) else {
        return Err(Rejection::Bad("unknown class"));
    };
    if !valid_id(&offer.work.correlation) {
        return Err(Rejection::Bad("missing or bad id"));
    }
    let now = s.clock.now();
    let mut book = s.book.borrow_mut();
    // Two flows of one id could not be told apart in call-backs.
    if book.find(&offer.work.correlation).is_some() {
        return Err(Rejection::Bad("id already in use"));
    }
    let full =
        book.len() >= epoch.terms.max_open || book.body_bytes() + offer.work.body.len() > s.config.body_bytes;
    if full || s.shutdown.service().refusing(now) || !s.tier.may_act() {
        book.counters.turned_back += 1;
        return Err(Rejection::NoRoom(NO_ROOM_WAIT.min(s.epoch().settings.limits.max_retry_after)));
    }
    let longest = epoch.settings.limits.max_retry_after;
    let most = epoch.settings.limits.max_attempts.max(1);
    let (slots, spread) = (offer.slots.unwrap_or(1.0), book.counters.flows ^ book.counters.turned_back << 32);
    let tenant = offer.tenant.as_deref().unwrap_or("");
    let (holding, in_share) = match s.shares.ask(now, tenant, class, slots, offer.retry, spread) {
        Share::Unasked => (None, None),
        Share::Pass(holding, in_share) => (Some(holding), Some(in_share)),
        Share::Stranger => (None, Some(false)),
        Share::Refused(after) => {
            book.counters.turned_back += 1;
            return Err(Rejection::NoRoom(after.min(longest)));
        }
    };
    let patience = offer.patience.unwrap_or(settings.client_timeout);
    // A process that ends answers sooner; to the module that is no sign of a client that has waited before.
    let within = s.shutdown.service().answer_by().map(|by| by.saturating_sub(now));
    let deadline = now.saturating_add(within.unwrap_or(patience).min(patience));
    let (reply, answer) = oneshot::channel();
    let correlation = offer.work.correlation.clone();
    let work = Rc::new(offer.work);
    let id = book.open(Flow {
        work,
        deadline,
        reply: Some(reply),
        forwards: Vec::new(),
        holding,
        slots,
        class,
        most,
        window: matches!(settings.idempotency, Idempotency::Deduplicated(_)).then_some(settings.dedup_window),
        ran: 0.0,
    });
    drop(book);
    // A tick later than the last time-out, whose news lets the module answer by itself.
    s.wheel.set(deadline.saturating_add(s.epoch().settings.tick), Due::Deadline(id));
    let flow = id.0;
    tracing::debug!(
        flow,
        id = %String::from_utf8_lossy(&correlation),
        class = offer.class,
        tenant = offer.tenant.as_deref().unwrap_or(""),
        "taken"
    );
    let tenant = offer.tenant.and_then(|name| s.epoch().names.tenants.iter().position(|t| *t == name));
    let request = Request {
        id,
        class: ClassId(class),
        tenant: tenant.map(TenantId),
        affinity_key: offer.subject.as_deref().map(affinity_key),
        slots,
        memory: offer.memory.unwrap_or(0.0),
        remaining: patience,
        answer_within: within,
        is_retry: offer.retry,
        in_share,
        expected_work: offer.expected,
    };
    route::feed(s, Event::Request(request));
    Ok(Taken { id, answer })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn ids_that_would_not_stand_for_themselves_in_a_path_are_bad() {
        assert!(valid_id(b"9b1f03aa5c7e2d41"));
        for bad in [&b""[..], b"a/b", b"a b", b"a%2f", b"a?x", &[b'x'; MAX_ID + 1], b"\xff"] {
            assert!(!valid_id(bad), "{bad:?}");
        }
    }
}
