//! Calls at the second address: what a method and a path ask for.

/// What a caller wants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether this process is ready to serve.
    Ready,
    /// Nothing more to this worker.
    Offline(String),
    /// This worker may serve again.
    Online(String),
    /// Drain.
    OutOfService,
    /// Take clients again.
    InService,
    /// What the tier has agreed on.
    Tier,
    /// New settings for the whole tier, in the body; the version that they are meant to follow, if that is named.
    Propose(Option<u64>),
}

/// Why a call is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The path cannot be read (400).
    Malformed,
    /// Nothing is at this path (404).
    Unknown,
    /// The path takes this method alone (405).
    Method(&'static str),
}

impl Call {
    /// Reads a call. The worker's id is percent-decoded, and taken whole.
    pub fn read(method: &[u8], path: &[u8]) -> Result<Call, Fault> {
        let path = std::str::from_utf8(path).map_err(|_| Fault::Malformed)?;
        let path = path.split('?').next().unwrap_or_default();
        let rest = path.strip_prefix("/control/").ok_or(Fault::Unknown)?;
        let (call, takes) = match rest.split('/').collect::<Vec<_>>()[..] {
            ["ready"] => (Call::Ready, "GET"),
            ["out-of-service"] => (Call::OutOfService, "PUT"),
            ["in-service"] => (Call::InService, "PUT"),
            ["tier"] => (Call::Tier, "GET"),
            ["tier", "settings"] => (Call::Propose(None), "PUT"),
            ["tier", "settings", base] => {
                (Call::Propose(Some(base.parse().map_err(|_| Fault::Malformed)?)), "PUT")
            }
            ["workers", id, "offline"] => (Call::Offline(decoded(id)?), "PUT"),
            ["workers", id, "online"] => (Call::Online(decoded(id)?), "PUT"),
            _ => return Err(Fault::Unknown),
        };
        if method == takes.as_bytes() { Ok(call) } else { Err(Fault::Method(takes)) }
    }
}

/// Undoes percent-encoding; a cut or false escape, or what is no UTF-8, is malformed.
fn decoded(text: &str) -> Result<String, Fault> {
    let mut out = Vec::with_capacity(text.len());
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        out.push(match byte {
            b'%' => {
                let mut digit = || bytes.next().and_then(|b| char::from(b).to_digit(16));
                let (high, low) = (digit().ok_or(Fault::Malformed)?, digit().ok_or(Fault::Malformed)?);
                (high * 16 + low) as u8
            }
            plain => plain,
        });
    }
    String::from_utf8(out).map_err(|_| Fault::Malformed)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn calls_are_read_whole_and_faults_named() {
        let read = |text: &str| {
            let (method, path) = text.split_once(' ').unwrap();
            Call::read(method.as_bytes(), path.as_bytes())
        };
        assert_eq!(read("GET /control/ready?x=1"), Ok(Call::Ready));
        assert_eq!(read("PUT /control/out-of-service"), Ok(Call::OutOfService));
        assert_eq!(read("PUT /control/in-service"), Ok(Call::InService));
        assert_eq!(read("PUT /control/workers/s-1%2F%c3%a9/offline"), Ok(Call::Offline("s-1/é".into())));
        assert_eq!(read("PUT /control/workers/s-1/online"), Ok(Call::Online("s-1".into())));
        assert_eq!(read("POST /control/ready"), Err(Fault::Method("GET")));
        assert_eq!(read("GET /control/workers/s-1/online"), Err(Fault::Method("PUT")));
        for path in
            ["/", "/control", "/control/", "/control/workers/s-1", "/control/workers/a/b/online", "/healthz"]
        {
            assert_eq!(Call::read(b"PUT", path.as_bytes()), Err(Fault::Unknown), "{path}");
        }
        for id in ["%", "%2", "%zz", "%ff", "%+1"] {
            let path = format!("/control/workers/{id}/online");
            assert_eq!(Call::read(b"PUT", path.as_bytes()), Err(Fault::Malformed), "{id}");
        }
        assert_eq!(Call::read(b"PUT", b"\xff"), Err(Fault::Malformed));
    }
}
