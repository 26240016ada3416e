//! Parses and checks the headers of a request before its body is read.

use std::time::Duration;

use hyper::{HeaderMap, Method, StatusCode, Uri};
use smol_str::SmolStr;

use crate::errors;

/// The header that names the tenant.
const TENANT_HEADER: &str = "x-tenant";
/// The header that names the request class.
const CLASS_HEADER: &str = "x-class";
/// The header with the deadline, in milliseconds after the arrival of the request.
const DEADLINE_HEADER: &str = "x-deadline-ms";
/// The header with the idempotency key.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// The longest deadline that a caller may set, in milliseconds.
const MAX_DEADLINE_MS: u64 = 600_000;
/// The longest name, request id or idempotency key, in bytes.
const MAX_VALUE_BYTES: usize = 128;

/// The request properties that callers set in headers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Head {
    /// The tenant on whose behalf the request is made.
    pub tenant: SmolStr,
    /// The request class, if one is named.
    pub class: Option<SmolStr>,
    /// The deadline, as a duration from the arrival, if one is set.
    pub deadline: Option<Duration>,
    /// The idempotency key, if one is set.
    pub key: Option<SmolStr>,
}

impl Head {
    /// Parses the headers.
    ///
    /// # Errors
    ///
    /// Returns the [`errors::Problem`] to answer with when a header is missing or invalid.
    pub fn parse(headers: &HeaderMap) -> Result<Self, errors::Problem> {
        let tenant = single_value(headers, TENANT_HEADER)?.ok_or_else(|| {
            errors::Problem::new(
                StatusCode::UNAUTHORIZED,
                "missing_tenant",
                "the header x-tenant must name the tenant",
            )
        })?;
        Ok(Self {
            tenant: parse_name(TENANT_HEADER, tenant)?,
            class: parse_optional_name(headers, CLASS_HEADER)?,
            deadline: parse_deadline(headers)?,
            key: parse_optional_name(headers, IDEMPOTENCY_KEY_HEADER)?,
        })
    }
}

/// Returns the caller's request id, or a new random one.
///
/// # Errors
///
/// Returns the [`errors::Problem`] to answer with when the caller's request id is invalid.
pub fn request_id(headers: &HeaderMap) -> Result<SmolStr, errors::Problem> {
    match single_value(headers, errors::REQUEST_ID_HEADER)? {
        // The id becomes a segment of the path that cancels a stream.
        Some(id) if is_token(id) => Ok(SmolStr::new(id)),
        Some(_) => Err(errors::Problem::bad_request(
            "bad_request_id",
            "x-request-id takes 1 to 128 letters, digits, and the characters - _ . ~",
        )),
        None => Ok(errors::generate_id()),
    }
}

/// Checks that every server in the chain interprets the path in the same way.
///
/// # Errors
///
/// Returns the [`errors::Problem`] to answer with when the path is ambiguous.
pub fn check_path(method: &Method, uri: &Uri) -> Result<(), errors::Problem> {
    let path = uri.path();
    // A service that resolves dot segments would run another path than the one whose route decided whether
    // the request is idempotent.
    let has_dots = path.split('/').any(|segment| {
        let segment = segment.to_ascii_lowercase().replace("%2e", ".");
        segment == "." || segment == ".."
    });
    if method == Method::CONNECT || !path.starts_with('/') || has_dots {
        return Err(errors::Problem::bad_request(
            "bad_path",
            "the path must begin with / and have no . or .. segments",
        ));
    }
    Ok(())
}

fn single_value<'a>(
    headers: &'a HeaderMap,
    name: &'static str,
) -> Result<Option<&'a str>, errors::Problem> {
    let mut values = headers.get_all(name).into_iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(bad_header(name, "stands more than once"));
    }
    let text = value.to_str();
    text.map(Some)
        .map_err(|_| bad_header(name, "takes plain ASCII text"))
}

fn parse_optional_name(
    headers: &HeaderMap,
    header: &'static str,
) -> Result<Option<SmolStr>, errors::Problem> {
    let value = single_value(headers, header)?;
    value.map(|value| parse_name(header, value)).transpose()
}

fn parse_name(header: &'static str, value: &str) -> Result<SmolStr, errors::Problem> {
    if value.is_empty() || value.len() > MAX_VALUE_BYTES {
        return Err(bad_header(header, "takes 1 to 128 characters"));
    }
    Ok(SmolStr::new(value))
}

fn parse_deadline(headers: &HeaderMap) -> Result<Option<Duration>, errors::Problem> {
    let Some(text) = single_value(headers, DEADLINE_HEADER)? else {
        return Ok(None);
    };
    // Only digits are valid; the number parser would accept a plus sign as well.
    let is_digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    let number = is_digits.then(|| text.parse().ok()).flatten();
    match number {
        Some(millis @ 1..=MAX_DEADLINE_MS) => Ok(Some(Duration::from_millis(millis))),
        _ => Err(errors::Problem::bad_request(
            "bad_deadline",
            "x-deadline-ms takes a whole number from 1 to 600000",
        )),
    }
}

fn bad_header(name: &'static str, what: &str) -> errors::Problem {
    errors::Problem::bad_request("bad_header", format!("the header {name} {what}"))
}

fn is_token(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte);
    // A segment that consists only of dots would be resolved in a path.
    let is_dots = text.bytes().all(|byte| byte == b'.');
    !is_dots && text.len() <= MAX_VALUE_BYTES && text.bytes().all(allowed)
}
