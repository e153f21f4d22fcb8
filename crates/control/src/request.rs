//! Requests to the admin address, parsed from method and path.

/// A request to the admin address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminRequest {
    /// Reports whether this process is ready to serve.
    Ready,
    /// Takes this worker offline: it gets no more jobs.
    Offline(String),
    /// Puts this worker back online.
    Online(String),
    /// Drains this scheduler.
    OutOfService,
    /// Ends the drain: clients are accepted again.
    InService,
    /// Reports the status of the tier.
    TierStatus,
    /// Proposes the settings in the body to the tier, based on this version if the path names one.
    ProposeSettings(Option<u64>),
}

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// The path is malformed (400).
    Malformed,
    /// The path does not exist (404).
    NotFound,
    /// The path supports only this method (405).
    MethodNotAllowed(&'static str),
}

impl AdminRequest {
    /// Parses a request. The worker's id in the path is percent-decoded.
    pub fn parse(method: &[u8], path: &[u8]) -> Result<AdminRequest, RequestError> {
        let path = std::str::from_utf8(path).map_err(|_| RequestError::Malformed)?;
        let path = path.split('?').next().unwrap_or_default();
        let rest = path.strip_prefix("/control/").ok_or(RequestError::NotFound)?;
        let (request, method_allowed) = match rest.split('/').collect::<Vec<_>>()[..] {
            ["ready"] => (AdminRequest::Ready, "GET"),
            ["out-of-service"] => (AdminRequest::OutOfService, "PUT"),
            ["in-service"] => (AdminRequest::InService, "PUT"),
            ["tier"] => (AdminRequest::TierStatus, "GET"),
            ["tier", "settings"] => (AdminRequest::ProposeSettings(None), "PUT"),
            ["tier", "settings", base] => (
                AdminRequest::ProposeSettings(Some(base.parse().map_err(|_| RequestError::Malformed)?)),
                "PUT",
            ),
            ["workers", id, "offline"] => (AdminRequest::Offline(percent_decode(id)?), "PUT"),
            ["workers", id, "online"] => (AdminRequest::Online(percent_decode(id)?), "PUT"),
            _ => return Err(RequestError::NotFound),
        };
        if method == method_allowed.as_bytes() {
            Ok(request)
        } else {
            Err(RequestError::MethodNotAllowed(method_allowed))
        }
    }
}

/// Decodes percent-encoding. Incomplete or invalid escapes and invalid UTF-8 are malformed.
fn percent_decode(text: &str) -> Result<String, RequestError> {
    let mut decoded = Vec::with_capacity(text.len());
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        decoded.push(match byte {
            b'%' => {
                let mut digit = || bytes.next().and_then(|b| char::from(b).to_digit(16));
                let (high, low) =
                    (digit().ok_or(RequestError::Malformed)?, digit().ok_or(RequestError::Malformed)?);
                (high * 16 + low) as u8
            }
            literal => literal,
        });
    }
    String::from_utf8(decoded).map_err(|_| RequestError::Malformed)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn valid_requests_are_parsed_and_invalid_ones_rejected() {
        let parse = |text: &str| {
            let (method, path) = text.split_once(' ').unwrap();
            AdminRequest::parse(method.as_bytes(), path.as_bytes())
        };
        assert_eq!(parse("GET /control/ready?x=1"), Ok(AdminRequest::Ready));
        assert_eq!(parse("PUT /control/out-of-service"), Ok(AdminRequest::OutOfService));
        assert_eq!(parse("PUT /control/in-service"), Ok(AdminRequest::InService));
        assert_eq!(
            parse("PUT /control/workers/s-1%2F%c3%a9/offline"),
            Ok(AdminRequest::Offline("s-1/é".into()))
        );
        assert_eq!(parse("PUT /control/workers/s-1/online"), Ok(AdminRequest::Online("s-1".into())));
        assert_eq!(parse("POST /control/ready"), Err(RequestError::MethodNotAllowed("GET")));
        assert_eq!(parse("GET /control/workers/s-1/online"), Err(RequestError::MethodNotAllowed("PUT")));
        for path in
            ["/", "/control", "/control/", "/control/workers/s-1", "/control/workers/a/b/online", "/healthz"]
        {
            assert_eq!(AdminRequest::parse(b"PUT", path.as_bytes()), Err(RequestError::NotFound), "{path}");
        }
        for id in ["%", "%2", "%zz", "%ff", "%+1"] {
            let path = format!("/control/workers/{id}/online");
            assert_eq!(AdminRequest::parse(b"PUT", path.as_bytes()), Err(RequestError::Malformed), "{id}");
        }
        assert_eq!(AdminRequest::parse(b"PUT", b"\xff"), Err(RequestError::Malformed));
    }
}
